package routing

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// validate checks a route on its own. timeoutSeconds is the timeout as configured. Errors name the keys of
// the configuration.
func (r *Route) validate(timeoutSeconds float64) error {
	total := 0.0
	for _, s := range r.Shares {
		if s.Weight < 0 {
			return trace.BadParameter("a share below 0")
		}
		total += s.Weight
	}
	switch {
	case r.Domain == "":
		return trace.BadParameter("an empty domain")
	case !(timeoutSeconds > 0): // zero, negative or NaN
		return trace.BadParameter("give_up_s must be above 0")
	case timeoutSeconds > maxTimeout.Seconds():
		return trace.BadParameter("give_up_s is over ten minutes")
	case total <= 0:
		return trace.BadParameter("shares that add up to nothing")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return trace.BadParameter("path_start must begin and end with a slash")
	}
	return nil
}

// index builds the indexes of routes and API keys, and checks the references between items.
func (table *Table) index() error {
	if err := table.indexRoutes(); err != nil {
		return err
	}
	return table.indexKeys()
}

// indexRoutes checks that the routes' services exist, and indexes routes by domain. Two routes must not have
// the same domain and prefix.
func (table *Table) indexRoutes() error {
	for i := range table.Routes {
		route := &table.Routes[i]
		for _, share := range route.Shares {
			if _, known := table.Services[share.Service]; !known {
				return trace.BadParameter("configuration: route %q names an unknown service %q", route.Name,
					share.Service)
			}
		}
		table.routesByHost[route.Domain] = append(table.routesByHost[route.Domain], route)
	}
	for host, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
		if a, b := samePrefix(routes); a != nil {
			return trace.BadParameter("configuration: routes %q and %q have the same place %s%s",
				a.Name, b.Name, host, a.PathPrefix)
		}
	}
	return nil
}

// samePrefix returns two routes of a host that have the same path prefix, or nil if there are none. Routes
// must be sorted by decreasing length of their prefixes.
func samePrefix(routes []*Route) (a, b *Route) {
	for i, route := range routes {
		for _, other := range routes[i+1:] {
			if len(other.PathPrefix) < len(route.PathPrefix) {
				break
			}
			if other.PathPrefix == route.PathPrefix {
				return route, other
			}
		}
	}
	return nil, nil
}

// indexKeys indexes tenants by API key. A key must not belong to two tenants.
func (table *Table) indexKeys() error {
	for _, tenant := range table.Tenants {
		for _, key := range tenant.APIKeys {
			if other := table.tenantsByKey[key]; other != nil && other != tenant {
				return trace.BadParameter("configuration: customers %q and %q share a key", other.Name, tenant.Name)
			}
			table.tenantsByKey[key] = tenant
		}
	}
	return nil
}
