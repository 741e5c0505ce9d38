// Package routing is the routing configuration: parsed, validated by a schema and then by what it means, and
// made into a table by which a request finds its route and a key its tenant. It is pure: no sockets, no
// clock.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// RequestKind says how often a request of a route may run.
type RequestKind string

// The kinds of routes.
const (
	ReadOnly RequestKind = "read_only" // any number of times
	Writing  RequestKind = "writing"   // at most once per try
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64 // beside the weights of the route's other shares; 0: none
}

// Route is where some requests go.
type Route struct {
	Name          string
	Domain        string // of the request's host, in lower case, without a port
	PathPrefix    string // it begins and ends with a slash; the longest that fits wins
	Kind          RequestKind
	Timeout       time.Duration // the longest that a request is held; above 0, ten minutes at most
	LatencyTarget time.Duration // an answer within it has its full value; 0: Timeout
	Priority      int           // 0 is the highest
	Shares        []Share       // at least one, of a weight above 0
	MaxAttempts   int           // servers that a client's request may be sent to; at least 1
	Public        bool          // no key is asked for
}

// Service is a group of servers that do the same.
type Service struct {
	Name           string
	HealthPath     string // kept, and not asked: responses tell how servers are
	MaxConnections int    // that each server takes, of all gateways; 0: not told
}

// Tenant is whose requests count together.
type Tenant struct {
	Name          string
	APIKeys       []string // each of one tenant alone; never logged
	Priority      int      // 0 is the highest
	RatePerSecond float64  // requests a second, over all gateways; 0: no limit
	Burst         float64  // requests above that, at once
}

// Limits are on what a client may send. 0: the gateway's default, see proxy.Handler.ClientLimits.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // from connecting, or from the request's first byte, to the end of the header
	IdleTimeout    time.Duration // between requests
}

// Table is a whole configuration, made into tables by which requests are found. It is never changed.
type Table struct {
	Version      uint64 // above 0; a later configuration has a higher one
	Routes       []Route
	Services     map[string]Service // by name
	Tenants      map[string]*Tenant // by name
	Limits       Limits
	RequiresKeys bool // there are tenants: requests on routes that are not public carry a key

	routesByHost map[string][]*Route // the longest prefix first
	tenantsByKey map[string]*Tenant
}

// FindRoute finds the route of a request, whose host may have a port; nil: there is none.
func (table *Table) FindRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range table.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// FindTenant finds whose key this is; nil: nobody's.
func (table *Table) FindTenant(key string) *Tenant { return table.tenantsByKey[key] }

// Pick chooses the service for a request, by the route's shares and a number between 0 and 1.
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// String tells a directory's size, for logs: never a key.
func (table *Table) String() string {
	return fmt.Sprintf("r%d: %d routes, %d services, %d customers", table.Version, len(table.Routes),
		len(table.Services),
		len(table.Tenants))
}
