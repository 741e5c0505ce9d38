// Package proxy is the data plane. Its Handler finds the route and the tenant of a request, enforces the
// tenant's quota, and submits the request to the core of the route's service, which selects a server and
// decides on retries and load shedding.
package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
)

var _ accept.Streamer = (*Handler)(nil)

// Options are the dependencies and settings of a Handler.
type Options struct {
	NodeAddr   string // address of this gateway, as in SetNodes
	Zone       string
	Tuning     choice.Tuning
	Limiter    *ratelimit.Limiter
	Clock      func() time.Duration // monotonic time; the limiter uses the same clock
	BodyBudget *flow.Budget         // memory for long bodies
	SlowLog    *slowlog.Log         // receives requests that were late, rejected or failed
	// NewCore creates and starts the core of a service.
	NewCore func(service string, set choice.Settings) (*core.Core, error)
	Log     func(e events.Event, pairs ...any)
	// Observer is notified of each request that has ended. It may be nil.
	Observer RequestObserver
}

// Outcome is how a request ended that was submitted to a core or was over its quota.
type Outcome string

// The outcomes.
const (
	OutcomeServed    Outcome = "served"     // a server responded within the latency target of the route
	OutcomeLate      Outcome = "late"       // a server responded after the latency target
	OutcomeRejected  Outcome = "rejected"   // status 503: not executed by a server
	OutcomeFailed    Outcome = "failed"     // status 502 or 504: possibly executed by a server
	OutcomeOverQuota Outcome = "over_quota" // status 429: over the quota of the tenant
)

// RequestObserver is notified of requests. Its method is called concurrently, and must not block.
type RequestObserver interface {
	// RequestEnded reports the end of a request, took after it was received.
	RequestEnded(route *routing.Route, outcome Outcome, took time.Duration)
}

// Handler handles client requests. It is safe for concurrent use.
type Handler struct {
	Options
	config atomic.Pointer[config] // the current configuration; nil until the first one

	mu        sync.Mutex
	cores     map[string]*core.Core // by service
	endpoints []message.Endpoint
	zoneNodes []string                           // addresses of the gateways in this zone
	classes   map[string]map[string]choice.Class // known to each core, by service and class name
}

// New returns a handler that rejects all requests until it has a configuration.
func New(options Options) *Handler {
	return &Handler{Options: options, cores: map[string]*core.Core{},
		classes: map[string]map[string]choice.Class{}}
}

// Ready reports whether requests can be served: there is a configuration, and the core of at least one
// service knows its servers.
func (h *Handler) Ready() bool {
	c := h.config.Load()
	if c == nil {
		return false
	}
	for _, service := range c.cores {
		if service.Ready() {
			return true
		}
	}
	return false
}

// Limits returns the rate limits of a tenant in the current configuration. They are zero for an unknown
// tenant.
func (h *Handler) Limits(tenant string) ratelimit.Limits {
	if c := h.config.Load(); c != nil {
		if t := c.Tenants[tenant]; t != nil {
			return ratelimit.Limits{Rate: t.RatePerSecond, Burst: t.Burst}
		}
	}
	return ratelimit.Limits{}
}

// Limits of client connections that the configuration does not set.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// ClientLimits returns the limits of client connections in the current configuration, with defaults for
// those that it does not set.
func (h *Handler) ClientLimits() routing.Limits {
	limits := routing.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout}
	c := h.config.Load()
	if c == nil {
		return limits
	}
	limits.MaxHeaderBytes = firstPositive(c.Limits.MaxHeaderBytes, limits.MaxHeaderBytes)
	limits.HeaderTimeout = firstPositive(c.Limits.HeaderTimeout, limits.HeaderTimeout)
	limits.IdleTimeout = firstPositive(c.Limits.IdleTimeout, limits.IdleTimeout)
	return limits
}

func firstPositive[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
