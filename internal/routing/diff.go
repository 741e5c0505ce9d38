package routing

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Diff tells what a configuration changes against another, a line each, in a fixed order: first routes, then
// services, tenants and limits. Keys are counted and never told.
func Diff(old, fresh *Table) []string {
	lines := changes("route", routesOf(old), routesOf(fresh))
	lines = slices.Concat(lines,
		changes("service", textsOf(old.Services, service), textsOf(fresh.Services, service)),
		changes("customer", textsOf(old.Tenants, tenant), textsOf(fresh.Tenants, tenant)))
	for _, name := range slices.Sorted(maps.Keys(fresh.Tenants)) {
		if before := old.Tenants[name]; before != nil {
			if gone, come := countChanged(before.APIKeys, fresh.Tenants[name].APIKeys); gone+come > 0 {
				lines = append(lines, fmt.Sprintf("~ customer %s: %d keys taken away, %d added", name, gone, come))
			}
		}
	}
	if !reflect.DeepEqual(old.Limits, fresh.Limits) {
		lines = append(lines, fmt.Sprintf("~ limits: %+v -> %+v", old.Limits, fresh.Limits))
	}
	return lines
}

// changes compares texts by their names.
func changes(kind string, old, fresh map[string]string) (lines []string) {
	all := maps.Clone(old)
	maps.Copy(all, fresh)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		before, was := old[name]
		after, is := fresh[name]
		switch {
		case !was:
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, name, after))
		case !is:
			lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, name, before))
		case before != after:
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, name, before, after))
		}
	}
	return lines
}

func routesOf(d *Table) map[string]string {
	texts := map[string]string{}
	for _, r := range d.Routes {
		texts[r.Name] = fmt.Sprintf("%s%s %s to %v, give up %v, target %v, rank %d, tries %d, public %v", r.Domain,
			r.PathPrefix, r.Kind, r.Shares, r.Timeout, r.LatencyTarget, r.Priority, r.MaxAttempts, r.Public)
	}
	return texts
}

func textsOf[T any](all map[string]T, text func(T) string) map[string]string {
	texts := map[string]string{}
	for name, x := range all {
		texts[name] = text(x)
	}
	return texts
}

func service(s Service) string {
	return fmt.Sprintf("%d connections, health %s", s.MaxConnections, s.HealthPath)
}

func tenant(t *Tenant) string {
	return fmt.Sprintf("%g a second, burst %g, rank %d", t.RatePerSecond, t.Burst, t.Priority)
}

// countChanged counts what one list has that the other has not, both ways.
func countChanged(old, fresh []string) (gone, come int) {
	for _, x := range old {
		if !slices.Contains(fresh, x) {
			gone++
		}
	}
	for _, x := range fresh {
		if !slices.Contains(old, x) {
			come++
		}
	}
	return gone, come
}
