package routing

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Diff describes the changes from one configuration to another, one line each, in a fixed order: routes,
// services, tenants, API keys, limits. Changed API keys are counted and never printed.
func Diff(old, updated *Table) []string {
	lines := changes("route", describeRoutes(old), describeRoutes(updated))
	lines = slices.Concat(lines,
		changes("service", describeAll(old.Services, describeService),
			describeAll(updated.Services, describeService)),
		changes("customer", describeAll(old.Tenants, describeTenant), describeAll(updated.Tenants, describeTenant)))
	for _, name := range slices.Sorted(maps.Keys(updated.Tenants)) {
		if before := old.Tenants[name]; before != nil {
			if removed, added := countChanged(before.APIKeys, updated.Tenants[name].APIKeys); removed+added > 0 {
				lines = append(lines, fmt.Sprintf("~ customer %s: %d keys taken away, %d added", name, removed, added))
			}
		}
	}
	if !reflect.DeepEqual(old.Limits, updated.Limits) {
		lines = append(lines, fmt.Sprintf("~ limits: %+v -> %+v", old.Limits, updated.Limits))
	}
	return lines
}

// changes returns a line for each name whose description was added, removed or changed.
func changes(kind string, old, updated map[string]string) (lines []string) {
	all := maps.Clone(old)
	maps.Copy(all, updated)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		before, inOld := old[name]
		after, inUpdated := updated[name]
		switch {
		case !inOld:
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, name, after))
		case !inUpdated:
			lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, name, before))
		case before != after:
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, name, before, after))
		}
	}
	return lines
}

// describeRoutes returns the descriptions of a table's routes by name.
func describeRoutes(table *Table) map[string]string {
	descriptions := map[string]string{}
	for _, r := range table.Routes {
		descriptions[r.Name] = fmt.Sprintf(
			"%s%s %s to %v, give up %v, target %v, rank %d, tries %d, public %v", r.Domain, r.PathPrefix,
			r.Kind, r.Shares, r.Timeout, r.LatencyTarget, r.Priority, r.MaxAttempts, r.Public)
	}
	return descriptions
}

// describeAll returns the descriptions of all values by name.
func describeAll[T any](all map[string]T, describe func(T) string) map[string]string {
	descriptions := map[string]string{}
	for name, x := range all {
		descriptions[name] = describe(x)
	}
	return descriptions
}

func describeService(s Service) string {
	return fmt.Sprintf("%d connections, health %s", s.MaxConnections, s.HealthPath)
}

func describeTenant(t *Tenant) string {
	return fmt.Sprintf("%g a second, burst %g, rank %d", t.RatePerSecond, t.Burst, t.Priority)
}

// countChanged returns how many elements are only in the first list, and how many only in the second.
func countChanged(old, updated []string) (removed, added int) {
	for _, x := range old {
		if !slices.Contains(updated, x) {
			removed++
		}
	}
	for _, x := range updated {
		if !slices.Contains(old, x) {
			added++
		}
	}
	return removed, added
}
