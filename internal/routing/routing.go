// Package routing is the routing configuration: parsed, validated by a schema and then by what it means, and
// made into a table by which a request finds its route and a key its tenant. It is pure: no sockets, no
// clock.
package routing

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/schema"
)

//go:embed config.schema.json
var schemaText []byte

// maxTimeout is the longest that a request may be held.
const maxTimeout = 10 * time.Minute

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

type configItem struct {
	Kind     string `json:"item_kind"`
	Metadata struct{ Name string }
	Desired  json.RawMessage
}

type configDocument struct {
	Version string       `json:"version"`
	Items   []configItem `json:"items_of"`
}

type routeJSON struct {
	Domain               string      `json:"domain"`
	PathPrefix           string      `json:"path_start"`
	Kind                 RequestKind `json:"kind"`
	TimeoutSeconds       float64     `json:"give_up_s"`
	LatencyTargetSeconds float64     `json:"target_s"`
	Priority             int         `json:"rank"`
	Backend              string      `json:"backend"`
	Shares               []shareJSON `json:"shares"`
	MaxAttempts          int         `json:"tries"`
	Public               bool        `json:"public"`
}

type shareJSON struct {
	Backend string  `json:"backend"`
	Share   float64 `json:"share"`
}

type serviceJSON struct {
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_conns"`
}

type tenantJSON struct {
	APIKeys       []string `json:"api_keys"`
	Priority      int      `json:"rank"`
	RatePerSecond float64  `json:"allowed_per_s"`
	Burst         float64  `json:"burst_size"`
}

type limitsJSON struct {
	MaxHeaderBytes       int     `json:"max_header_bytes"`
	MaxBodyBytes         int     `json:"max_body_bytes"`
	HeaderTimeoutSeconds float64 `json:"header_wait_s"`
	IdleTimeoutSeconds   float64 `json:"idle_s"`
}

var configSchema = schema.New("config", schemaText)

// Validate reads a configuration that an operator has sent. An error is a trace.BadParameter that names what
// is wrong.
func Validate(body []byte) (*Table, error) {
	if err := configSchema.Validate(body); err != nil {
		return nil, trace.Wrap(err, "configuration")
	}
	return Parse(body)
}

// Version reads a version such as r12. Numbers begin with 1: 0 is what the core holds before the first, so
// that a configuration under it would be acknowledged as not above that, and kept nowhere.
func Version(text string) (uint64, error) {
	digits, ok := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 63)
	if !ok || err != nil || digits[0] == '+' || n == 0 {
		return 0, trace.BadParameter("version %q: want r and a number above 0", text)
	}
	return n, nil
}

// Parse reads a configuration and checks what it means.
func Parse(body []byte) (*Table, error) {
	var doc configDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, trace.BadParameter("configuration: can't be read whole: %v", err)
	}
	version, err := Version(doc.Version)
	if err != nil {
		return nil, err
	}
	table := &Table{Version: version, Services: map[string]Service{}, Tenants: map[string]*Tenant{},
		routesByHost: map[string][]*Route{}, tenantsByKey: map[string]*Tenant{}}
	for i, it := range doc.Items {
		if err := table.addItem(it); err != nil {
			return nil, trace.BadParameter("configuration: item %d (%s %q): %v", i+1, it.Kind, it.Metadata.Name, err)
		}
	}
	if err := table.index(); err != nil {
		return nil, err
	}
	return table, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (table *Table) addItem(it configItem) error {
	name := it.Metadata.Name
	switch it.Kind {
	case "routes":
		var r routeJSON
		if err := json.Unmarshal(it.Desired, &r); err != nil {
			return trace.Wrap(err)
		}
		route := Route{
			Name:          name,
			Domain:        strings.ToLower(r.Domain),
			PathPrefix:    r.PathPrefix,
			Kind:          r.Kind,
			Timeout:       seconds(r.TimeoutSeconds),
			LatencyTarget: seconds(r.LatencyTargetSeconds),
			Priority:      r.Priority,
			MaxAttempts:   max(1, r.MaxAttempts),
			Public:        r.Public,
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, Share{s.Backend, s.Share})
		}
		if len(r.Shares) == 0 {
			route.Shares = []Share{{r.Backend, 1}}
		}
		table.Routes = append(table.Routes, route)
		return route.validate(r.TimeoutSeconds)
	case "backends":
		var s serviceJSON
		if err := json.Unmarshal(it.Desired, &s); err != nil {
			return trace.Wrap(err)
		}
		table.Services[name] = Service{Name: name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections}
	case "customers":
		var t tenantJSON
		if err := json.Unmarshal(it.Desired, &t); err != nil {
			return trace.Wrap(err)
		}
		table.RequiresKeys = true
		if t.RatePerSecond < 0 || t.Burst < 0 {
			return trace.BadParameter("a quota below 0")
		}
		table.Tenants[name] = &Tenant{
			Name:          name,
			APIKeys:       t.APIKeys,
			Priority:      t.Priority,
			RatePerSecond: t.RatePerSecond,
			Burst:         t.Burst,
		}
	case "limits":
		var l limitsJSON
		if err := json.Unmarshal(it.Desired, &l); err != nil {
			return trace.Wrap(err)
		}
		table.Limits = Limits{
			l.MaxHeaderBytes,
			l.MaxBodyBytes,
			seconds(l.HeaderTimeoutSeconds),
			seconds(l.IdleTimeoutSeconds),
		}
	}
	return nil // kinds that this program doesn't know are kept, and told again as they came
}

func (r *Route) validate(giveUp float64) error {
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
	case !(giveUp > 0):
		return trace.BadParameter("give_up_s must be above 0")
	case giveUp > maxTimeout.Seconds():
		return trace.BadParameter("give_up_s is over ten minutes")
	case total <= 0:
		return trace.BadParameter("shares that add up to nothing")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return trace.BadParameter("path_start must begin and end with a slash")
	}
	return nil
}

// index makes the tables, and checks what items say of each other.
func (table *Table) index() error {
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, s := range r.Shares {
			if _, known := table.Services[s.Service]; !known {
				return trace.BadParameter("configuration: route %q names an unknown service %q", r.Name, s.Service)
			}
		}
		table.routesByHost[r.Domain] = append(table.routesByHost[r.Domain], r)
	}
	for host, list := range table.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
		for i := range list[1:] {
			for _, other := range list[i+1:] {
				if other.PathPrefix == list[i].PathPrefix {
					return trace.BadParameter("configuration: routes %q and %q have the same place %s%s",
						list[i].Name, other.Name, host, other.PathPrefix)
				}
			}
		}
	}
	for _, t := range table.Tenants {
		for _, k := range t.APIKeys {
			if other := table.tenantsByKey[k]; other != nil && other != t {
				return trace.BadParameter("configuration: customers %q and %q share a key", other.Name, t.Name)
			}
			table.tenantsByKey[k] = t
		}
	}
	return nil
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
