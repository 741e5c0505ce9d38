// Package proxy is the data plane: its Handler finds a request's route and its tenant, holds the tenant to
// its quota, and hands the request to the core of the route's service, whose gate decides on server, retries
// and rejections.
package proxy

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
	"dunespoke/internal/subset"
)

// deadlineMargin is how long before the client gives up its answer is due: the answer's way there, and a late
// turn on the core.
const deadlineMargin = 16 * time.Millisecond

// Retry-After of what is refused before the core has it.
const (
	startupRetryAfter = 300 * time.Millisecond // while this process knows no configuration yet
	bodyRetryAfter    = 200 * time.Millisecond // while there is no room for a long body
)

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
}

// Handler answers clients. It is an accept.Streamer.
type Handler struct {
	Options
	config atomic.Pointer[table]

	mu        sync.Mutex
	cores     map[string]*core.Core // by service
	endpoints []message.Endpoint
	zoneNodes []string                           // addresses of the gateways of this zone
	classes   map[string]map[string]choice.Class // that each core has, by service and name
}

// table is what requests go by: replaced whole, never changed.
type table struct {
	*routing.Table
	cores   map[string]*core.Core
	classes map[*routing.Route]string
}

// New returns a handler that rejects all until it has a configuration.
func New(o Options) *Handler {
	return &Handler{Options: o, cores: map[string]*core.Core{}, classes: map[string]map[string]choice.Class{}}
}

// priorityLevels is how many priorities of tenants the gates tell apart.
const priorityLevels = 4

// gateSettings are those of a service's gate.
func (h *Handler) gateSettings() choice.Settings {
	set := choice.Settings{Zone: h.Zone, Gateways: 1, MaxUnits: 1, MaxAttempts: 2, Cancel: true, QueueField: -1,
		MaxRetryAfter: time.Second, CrossZoneCost: 0.05, Tuning: h.Tuning}
	for i := range priorityLevels {
		set.Plans = append(set.Plans, choice.Plan{Name: planName(i), Price: 1 / (1 + 0.5*float64(i))})
	}
	return set
}

func planName(rank int) string { return strconv.Itoa(min(max(rank, 0), priorityLevels-1)) }

// SetConfig has requests go by a configuration from now on.
func (h *Handler) SetConfig(d *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &table{d, map[string]*core.Core{}, map[*routing.Route]string{}}
	for name := range d.Services {
		if h.cores[name] == nil {
			c, err := h.NewCore(name, h.gateSettings())
			if err != nil {
				h.Log(events.Failed, "error", err.Error())
				continue
			}
			h.cores[name], h.classes[name] = c, map[string]choice.Class{}
			h.updateCore(name)
		}
		t.cores[name] = h.cores[name]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		class := classOf(r)
		t.classes[r] = class.Name
		for _, s := range r.Shares {
			if told := h.classes[s.Service]; told != nil && told[class.Name] != class {
				told[class.Name] = class
				h.cores[s.Service].Class(class)
			}
		}
	}
	h.config.Store(t)
}

// classOf is what a route's requests count as. Routes that are alike are one class, so that what is learned
// of one holds for the others, and a configuration of many routes makes few classes.
func classOf(r *routing.Route) choice.Class {
	c := choice.Class{
		Aim:       r.LatencyTarget,
		Deadline:  r.Timeout,
		Repeat:    choice.Unsafe,
		LateShare: 0.3,
		Tries:     r.MaxAttempts,
		Worth:     1 / (1 + 0.25*float64(r.Priority)),
	}
	if c.Aim <= 0 || c.Aim > c.Deadline {
		c.Aim = c.Deadline
	}
	if r.Kind == routing.ReadOnly {
		c.Repeat = choice.Safe
	}
	c.Name = strings.Join(
		[]string{string(r.Kind), r.LatencyTarget.String(), r.Timeout.String(), strconv.Itoa(r.Priority),
			strconv.Itoa(r.MaxAttempts)},
		" ",
	)
	return c
}

// SetEndpoints takes the list of servers.
func (h *Handler) SetEndpoints(list []message.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints = list
	for name := range h.cores {
		h.updateCore(name)
	}
}

// SetNodes takes the gateways that there are, in an agreed order.
func (h *Handler) SetNodes(list []message.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneNodes = nil
	for _, request := range list {
		if request.Zone == h.Zone {
			h.zoneNodes = append(h.zoneNodes, request.Addr)
		}
	}
	for name := range h.cores {
		h.updateCore(name)
	}
}

// preferredEndpoints returns the servers of a service that this gateway tries first, of those in its zone.
func (h *Handler) preferredEndpoints(service string) []string {
	var ids []string
	for _, s := range h.endpoints {
		if s.Service == service && s.Zone == h.Zone && !s.Draining {
			ids = append(ids, s.ID)
		}
	}
	return subset.Slice(h.NodeAddr, h.zoneNodes, ids)
}

// updateCore tells a service's core of its servers. The lock is held.
func (h *Handler) updateCore(service string) {
	var own []core.Server
	near := h.preferredEndpoints(service)
	for _, s := range h.endpoints {
		if s.Service == service {
			state := choice.Live
			if s.Draining {
				state = choice.Draining
			}
			own = append(own, core.Server{Name: s.ID, Addr: s.Addr, Zone: s.Zone, State: state, Weight: 1,
				Far: s.Zone == h.Zone && !slices.Contains(near, s.ID)})
		}
	}
	if h.endpoints != nil {
		h.cores[service].Servers(true, own)
	}
}

// Ready reports whether requests can be served: a configuration is in force, and servers are known.
func (h *Handler) Ready() bool {
	t := h.config.Load()
	if t == nil {
		return false
	}
	for _, c := range t.cores {
		if c.Ready() {
			return true
		}
	}
	return false
}

// Limits are those of a tenant, by the configuration in force.
func (h *Handler) Limits(tenant string) ratelimit.Limits {
	if t := h.config.Load(); t != nil {
		if c := t.Tenants[tenant]; c != nil {
			return ratelimit.Limits{Rate: c.RatePerSecond, Burst: c.Burst}
		}
	}
	return ratelimit.Limits{}
}

// rejection is a promise that the request has not run and never will.
func rejection(status int, text string, after time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if after > 0 {
		a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	}
	return a
}

// Stream takes a request of a client.
func (h *Handler) Stream(x *accept.Exchange) (leave func()) {
	t := h.config.Load()
	if t == nil {
		x.Answer(rejection(http.StatusServiceUnavailable, "no configuration yet", startupRetryAfter))
		return nil
	}
	route, tenant, problem := t.find(x)
	if problem != nil {
		x.Answer(problem)
		return nil
	}
	name := route.Pick(rand.Float64())
	service := t.cores[name]
	if service == nil {
		x.Answer(rejection(http.StatusServiceUnavailable, "no such service yet", startupRetryAfter))
		return nil
	}
	now := service.Now()
	request := &upstreamRequest{
		handler: h,
		method:  x.Method,
		target:  x.RequestURI,
		host:    x.Host,
		id:      x.Header.Get(headerAttemptID),
		header:  x.Header,
		terms:   &defaultTerms,
	}
	request.trace.route, request.trace.service, request.trace.receivedAt = route, name, h.Clock()
	left := timeLeft(x.Header.Get(headerTimeLeft), route.Timeout)
	in := core.Request{Class: t.classes[route], Plan: planName(0), Units: 1, Spread: 1, Payload: request}
	if tenant != nil {
		in.Customer, in.Plan, request.tenant = tenantID(tenant.Name), planName(tenant.Priority), tenant.Name
	}
	var room *flow.Transfer
	if x.Long {
		if room, _ = h.BodyBudget.Admit(now); room == nil {
			x.Answer(rejection(http.StatusServiceUnavailable, "no room for a long body now", bodyRetryAfter))
			return nil
		}
		held := defaultTerms
		held.Head, request.terms = left, &held
		left += defaultTerms.ClientUp.Grace
	}
	if left > request.terms.ServerDown.Stall { // a server's silence ends no answer before its time
		patient := *request.terms
		patient.ServerDown.Stall, request.terms = left, &patient
	}
	if ends, told := x.Left(); told { // an answer after the process's end is none
		left = min(left, ends-deadlineMargin)
	}
	in.Deadline = now + left
	stripHopHeaders(request.header)
	for _, name := range ownHeaders {
		delete(request.header, name)
	}
	x.Hold(request.terms, room, 0, service.Now)
	request.upload = x.Upload
	in.Reply = func(a core.Answer) { h.reply(x, service, in, a) }
	if tenant == nil {
		request.trace.recordAdmitted(request.trace.receivedAt)
		return service.Submit(in).Leave
	}
	return h.streamLimited(x, service, in, tenant)
}

// streamLimited has a tenant's quota asked first.
func (h *Handler) streamLimited(x *accept.Exchange, service *core.Core, in core.Request,
	tenant *routing.Tenant) (leave func()) {
	var mu sync.Mutex
	var ticket func()
	gone := false
	trip := &in.Payload.(*upstreamRequest).trace
	decided := func(ok bool, after time.Duration) {
		if !ok {
			x.Answer(rejection(http.StatusTooManyRequests, "beyond the quota", after))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !gone {
			trip.recordAdmitted(h.Clock())
			ticket = service.Submit(in).Leave
		}
	}
	switch v, after := h.Limiter.Take(h.Clock(), tenant.Name, decided); v {
	case ratelimit.Allow:
		trip.recordAdmitted(h.Clock())
		return service.Submit(in).Leave
	case ratelimit.Deny:
		x.Answer(rejection(http.StatusTooManyRequests, "beyond the quota", after))
		return nil
	}
	return func() {
		mu.Lock()
		defer mu.Unlock()
		gone = true
		if ticket != nil {
			ticket()
		}
	}
}

// find finds a request's route and tenant, or the answer of one that has none.
func (t *table) find(x *accept.Exchange) (*routing.Route, *routing.Tenant, *http1.Answer) {
	path, _, _ := strings.Cut(x.RequestURI, "?")
	if x.Header.Get(headerAttemptID) == "" {
		return nil, nil, http1.Plain(http.StatusBadRequest, headerAttemptID+": missing")
	}
	route := t.FindRoute(x.Host, path)
	if route == nil {
		return nil, nil, http1.Plain(http.StatusNotFound, "no such route")
	}
	tenant := t.FindTenant(x.Header.Get(headerKey))
	if tenant == nil && t.RequiresKeys && !route.Public {
		return nil, nil, http1.Plain(http.StatusUnauthorized, "unknown key")
	}
	return route, tenant, nil
}

// timeLeft is how long a request may be held: until its client gives up, but not longer than its route
// allows.
func timeLeft(text string, giveUp time.Duration) time.Duration {
	ms, ok := http1.Decimal(text)
	if !ok || ms > 1e7 {
		return giveUp
	}
	return min(time.Duration(ms*float64(time.Millisecond))-deadlineMargin, giveUp)
}

func tenantID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// reply hands a final answer on.
func (h *Handler) reply(x *accept.Exchange, service *core.Core, in core.Request, a core.Answer) {
	h.recordSlow(in.Payload.(*upstreamRequest), a.Kind)
	switch {
	case a.Kind == core.Served:
		if long, ok := a.Body.(*transfer.Reply); ok {
			x.OnEnd(service.Passing(in.Class))
			if room, _ := h.BodyBudget.Admit(service.Now()); room != nil {
				x.Widen(room, service.Now)
			}
			x.Pass(long)
			return
		}
		x.Answer(a.Body.(*http1.Answer))
	case a.Kind == core.Refused:
		x.Answer(rejection(http.StatusServiceUnavailable, "refused: it has not run", max(a.RetryAfter,
			20*time.Millisecond)))
	case service.Now() >= in.Deadline:
		x.Answer(http1.Plain(http.StatusGatewayTimeout, "no answer in time"))
	default:
		x.Answer(http1.Plain(http.StatusBadGateway, "no answer"))
	}
}

// recordSlow notes a request that ran late or was given up.
func (h *Handler) recordSlow(request *upstreamRequest, kind core.Kind) {
	now := h.Clock()
	switch {
	case kind == core.Refused:
		h.SlowLog.Record(request.trace.entry(now, request, slowlog.OutcomeRejected))
	case kind == core.Failed:
		h.SlowLog.Record(request.trace.entry(now, request, slowlog.OutcomeFailed))
	case request.trace.route.LatencyTarget > 0 &&
		now > request.trace.receivedAt+request.trace.route.LatencyTarget:
		h.SlowLog.Record(request.trace.entry(now, request, slowlog.OutcomeLate))
	}
}

// ClientLimits are what clients are held to when they connect, by the configuration in force; what that
// leaves out is filled in.
func (h *Handler) ClientLimits() routing.Limits {
	l := routing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if t := h.config.Load(); t != nil {
		if t.Limits.MaxHeaderBytes > 0 {
			l.MaxHeaderBytes = t.Limits.MaxHeaderBytes
		}
		if t.Limits.HeaderTimeout > 0 {
			l.HeaderTimeout = t.Limits.HeaderTimeout
		}
		if t.Limits.IdleTimeout > 0 {
			l.IdleTimeout = t.Limits.IdleTimeout
		}
	}
	return l
}
