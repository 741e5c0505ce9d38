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
	Weight  float64
}

// Route is where some requests go.
type Route struct {
	Name          string
	Domain        string
	PathPrefix    string // of the path: it begins and ends with a slash
	Kind          RequestKind
	Timeout       time.Duration // the longest that a request is held
	LatencyTarget time.Duration // an answer within it has its full worth
	Priority      int           // 0 is the highest
	Shares        []Share
	MaxAttempts   int  // servers that one try may be sent to
	Public        bool // no key is asked for
}

// Service is a group of servers that do the same.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that each server takes, of all callers
}

// Tenant is whose requests count together.
type Tenant struct {
	Name          string
	APIKeys       []string
	Priority      int
	RatePerSecond float64 // requests a second; 0: no limit
	Burst         float64
}

// Limits are on what a client may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int // bytes
	HeaderTimeout, IdleTimeout   time.Duration
}

// Table is a whole configuration.
type Table struct {
	Version      uint64
	Routes       []Route
	Services     map[string]Service
	Tenants      map[string]*Tenant
	Limits       Limits
	RequiresKeys bool // requests carry keys

	routesByHost map[string][]*Route // by domain, the longest start first
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
