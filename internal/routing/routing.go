// Package routing parses the routing configuration, validates it against a schema and then semantically, and
// builds a table that maps requests to routes and API keys to tenants. It does no I/O and reads no clock.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// RequestKind determines how often a request of a route may be executed.
type RequestKind string

// The kinds of routes.
const (
	ReadOnly RequestKind = "read_only" // idempotent: any number of times
	Writing  RequestKind = "writing"   // at most once per attempt
)

// Share is the fraction of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64 // relative to the weights of the route's other shares; zero means no requests
}

// Route determines where the requests of a domain and path prefix go, and how they are handled.
type Route struct {
	Name          string
	Domain        string // compared with the request's host: in lower case, without a port
	PathPrefix    string // begins and ends with a slash; the longest matching prefix wins
	Kind          RequestKind
	Timeout       time.Duration // of a request; above 0, at most ten minutes
	LatencyTarget time.Duration // a response within it has its full value; zero means Timeout
	Priority      int           // 0 is the highest
	Shares        []Share       // at least one has a weight above 0
	MaxAttempts   int           // servers that a client's request may be sent to; at least 1
	Public        bool          // no API key is required
}

// Service is a group of interchangeable servers.
type Service struct {
	Name           string
	HealthPath     string // stored but never requested: the health of servers is derived from their responses
	MaxConnections int    // per server, over all gateways; zero means unspecified
}

// Tenant is a customer, whose requests share a quota.
type Tenant struct {
	Name          string
	APIKeys       []string // each belongs to one tenant only; never logged
	Priority      int      // 0 is the highest
	RatePerSecond float64  // over all gateways; zero means no limit
	Burst         float64  // requests that may be admitted at once beyond the rate
}

// Limits are limits on clients' connections and requests. Zero means the gateway's default, see
// proxy.Handler.ClientLimits.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // from connecting, or from the request's first byte, to the end of the header
	IdleTimeout    time.Duration // between requests
}

// Table is a complete configuration with indexes of its routes and API keys. It is immutable once parsed, so
// it is safe for concurrent use.
type Table struct {
	Version      uint64 // above 0; a later configuration has a higher one
	Routes       []Route
	Services     map[string]Service // by name
	Tenants      map[string]*Tenant // by name
	Limits       Limits
	RequiresKeys bool // there are tenants: requests on routes that are not public need an API key

	routesByHost map[string][]*Route // by Domain; the longest prefix first
	tenantsByKey map[string]*Tenant
}

// FindRoute returns the route of a request, or nil if there is none. host may include a port.
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

// FindTenant returns the tenant that an API key belongs to, or nil if there is none.
func (table *Table) FindTenant(key string) *Tenant { return table.tenantsByKey[key] }

// Pick selects the service for a request by the weights of the route's shares. position is a number in [0,
// 1), usually random.
func (r *Route) Pick(position float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	position *= total
	for _, s := range r.Shares {
		if position -= s.Weight; position < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// String returns the version and size of a configuration for logs. It contains no keys.
func (table *Table) String() string {
	return fmt.Sprintf("r%d: %d routes, %d services, %d customers", table.Version, len(table.Routes),
		len(table.Services),
		len(table.Tenants))
}
