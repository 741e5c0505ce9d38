// Package proxy is the data plane: its Handler finds a request's route and its tenant, holds the tenant to
// its quota, and hands the request to the core of the route's service, whose gate decides on server, retries
// and rejections.
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

// Options are what New needs.
type Options struct {
	NodeAddr   string // this gateway among the nodes
	Zone       string
	Tuning     choice.Tuning
	Limiter    *ratelimit.Limiter
	Clock      func() time.Duration // of the limiter
	BodyBudget *flow.Budget         // of long bodies
	SlowLog    *slowlog.Log         // of what ran late or was given up
	// NewCore starts a core for a service.
	NewCore func(service string, set choice.Settings) (*core.Core, error)
	Log     func(e events.Event, pairs ...any)
	// Observer is told of each request that has ended; nil: nobody is.
	Observer RequestObserver
}

// Outcome is how a request with a route and a tenant has ended.
type Outcome string

// The outcomes.
const (
	OutcomeServed    Outcome = "served"     // by a server's answer, within its route's latency target
	OutcomeLate      Outcome = "late"       // the same, after that
	OutcomeRejected  Outcome = "rejected"   // 503: it has not run
	OutcomeFailed    Outcome = "failed"     // 502 or 504: it may have run
	OutcomeOverQuota Outcome = "over_quota" // 429: beyond its tenant's quota
)

// RequestObserver is told of requests, from any goroutine. It must not block.
type RequestObserver interface {
	// RequestEnded tells of a request that came whole so long ago.
	RequestEnded(route *routing.Route, outcome Outcome, took time.Duration)
}

// Handler answers clients. Its methods may be called from any goroutine.
type Handler struct {
	Options
	config atomic.Pointer[config] // in force; nil: none yet

	mu        sync.Mutex
	cores     map[string]*core.Core // by service
	endpoints []message.Endpoint
	zoneNodes []string                           // addresses of the gateways of this zone
	classes   map[string]map[string]choice.Class // that each core has, by service and name
}

// New returns a handler that rejects all until it has a configuration.
func New(options Options) *Handler {
	return &Handler{Options: options, cores: map[string]*core.Core{},
		classes: map[string]map[string]choice.Class{}}
}

// Ready reports whether requests can be served: a configuration is in force, and servers are known.
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

// Limits are those of a tenant, by the configuration in force.
func (h *Handler) Limits(tenant string) ratelimit.Limits {
	if c := h.config.Load(); c != nil {
		if t := c.Tenants[tenant]; t != nil {
			return ratelimit.Limits{Rate: t.RatePerSecond, Burst: t.Burst}
		}
	}
	return ratelimit.Limits{}
}

// What clients are held to where the configuration doesn't say.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// ClientLimits are what clients are held to when they connect, by the configuration in force; what that
// leaves out is filled in.
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

func firstPositive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
