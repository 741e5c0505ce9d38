package routing

import (
	_ "embed"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/schema"
)

//go:embed config.schema.json
var schemaText []byte

// maxTimeout is the maximum timeout of a route.
const maxTimeout = 10 * time.Minute

// configItem is the JSON form of an item of a configuration. Its keys are part of the protocol.
type configItem struct {
	Kind     string `json:"item_kind"`
	Metadata struct{ Name string }
	Desired  json.RawMessage
}

// configDocument is the JSON form of a configuration.
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

// Validate checks a configuration from an operator against the schema and parses it. An error is a
// trace.BadParameter that names the fault.
func Validate(body []byte) (*Table, error) {
	if err := configSchema.Validate(body); err != nil {
		return nil, trace.Wrap(err, "configuration")
	}
	return Parse(body)
}

// Version parses a version such as r12. Versions start at 1: the core is at version 0 before the first
// configuration, so it would acknowledge a configuration of version 0 as not newer, and store it nowhere.
func Version(text string) (uint64, error) {
	digits, ok := strings.CutPrefix(text, "r")
	n, err := strconv.ParseUint(digits, 10, 63)
	if !ok || err != nil || digits[0] == '+' || n == 0 {
		return 0, trace.BadParameter("version %q: want r and a number above 0", text)
	}
	return n, nil
}

// Parse parses a configuration and checks its values and references, but not the schema.
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
	for i, item := range doc.Items {
		if err := table.addItem(item); err != nil {
			return nil, trace.BadParameter("configuration: item %d (%s %q): %v", i+1, item.Kind,
				item.Metadata.Name, err)
		}
	}
	if err := table.index(); err != nil {
		return nil, err
	}
	return table, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// addItem adds an item to the table. Items of unknown kinds are ignored here; the configuration is passed on
// as it was received, with them.
func (table *Table) addItem(item configItem) error {
	switch item.Kind {
	case "routes":
		return table.addRoute(item)
	case "backends":
		return table.addService(item)
	case "customers":
		return table.addTenant(item)
	case "limits":
		return table.setLimits(item)
	}
	return nil
}

func (table *Table) addRoute(item configItem) error {
	var r routeJSON
	if err := json.Unmarshal(item.Desired, &r); err != nil {
		return trace.Wrap(err)
	}
	route := Route{
		Name:          item.Metadata.Name,
		Domain:        strings.ToLower(r.Domain),
		PathPrefix:    r.PathPrefix,
		Kind:          r.Kind,
		Timeout:       seconds(r.TimeoutSeconds),
		LatencyTarget: seconds(r.LatencyTargetSeconds),
		Priority:      r.Priority,
		MaxAttempts:   max(1, r.MaxAttempts),
		Public:        r.Public,
	}
	for _, share := range r.Shares {
		route.Shares = append(route.Shares, Share{share.Backend, share.Share})
	}
	if len(r.Shares) == 0 {
		route.Shares = []Share{{r.Backend, 1}}
	}
	table.Routes = append(table.Routes, route)
	return route.validate(r.TimeoutSeconds)
}

func (table *Table) addService(item configItem) error {
	var s serviceJSON
	if err := json.Unmarshal(item.Desired, &s); err != nil {
		return trace.Wrap(err)
	}
	name := item.Metadata.Name
	table.Services[name] = Service{Name: name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections}
	return nil
}

func (table *Table) addTenant(item configItem) error {
	var t tenantJSON
	if err := json.Unmarshal(item.Desired, &t); err != nil {
		return trace.Wrap(err)
	}
	table.RequiresKeys = true
	if t.RatePerSecond < 0 || t.Burst < 0 {
		return trace.BadParameter("a quota below 0")
	}
	name := item.Metadata.Name
	table.Tenants[name] = &Tenant{Name: name, APIKeys: t.APIKeys, Priority: t.Priority,
		RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	return nil
}

func (table *Table) setLimits(item configItem) error {
	var l limitsJSON
	if err := json.Unmarshal(item.Desired, &l); err != nil {
		return trace.Wrap(err)
	}
	table.Limits = Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes,
		HeaderTimeout: seconds(l.HeaderTimeoutSeconds), IdleTimeout: seconds(l.IdleTimeoutSeconds)}
	return nil
}
