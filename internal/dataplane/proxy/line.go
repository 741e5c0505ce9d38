// Package line is the subscribers' side of the exchange, the data plane's front: it finds a request's route
// and its tenant, holds the tenant to its quota, and hands the request to the core of the route's service,
// whose gate decides on server, attempts and refusals.
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
	"dunespoke/internal/dataplane/zonesubset"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
)

// margin is how long before the client gives up its answer is due: the answer's way there, and a late turn on
// the core.
const margin = 16 * time.Millisecond

// Retry-After of what is refused before the core has it.
const (
	startWait = 300 * time.Millisecond // while this process knows no configuration yet
	bodyWait  = 200 * time.Millisecond // while there is no room for a long body
)

// Options are what New needs.
type Options struct {
	Self   string // this ingress among the members
	Zone   string
	Tuning choice.Tuning
	Meter  *ratelimit.Meter
	Clock  func() time.Duration // of the meter
	Budget *flow.Budget         // of long bodies
	Board  *slowlog.Board       // of what ran late or was given up
	// Core starts a core for a service.
	Core func(service string, set choice.Settings) (*core.Core, error)
	Log  func(e events.Event, pairs ...any)
}

// Front answers clients. It is an accept.Streamer.
type Front struct {
	Options
	table atomic.Pointer[table]

	mu      sync.Mutex
	cores   map[string]*core.Core // by service
	servers []message.Server
	members []string                           // of the zone
	classes map[string]map[string]choice.Class // told to each core
}

// table is what requests go by: replaced whole, never changed.
type table struct {
	*routing.Directory
	cores   map[string]*core.Core
	classes map[*routing.Route]string
}

// New returns a front that refuses all until it is told a configuration.
func New(o Options) *Front {
	return &Front{Options: o, cores: map[string]*core.Core{}, classes: map[string]map[string]choice.Class{}}
}

// ranks is how many ranks of tenants the gates tell apart.
const ranks = 4

// settings are those of a service's gate.
func (f *Front) settings() choice.Settings {
	set := choice.Settings{Zone: f.Zone, Gateways: 1, MaxUnits: 1, MaxAttempts: 2, Cancel: true, QueueField: -1,
		MaxRetryAfter: time.Second, CrossZoneCost: 0.05, Tuning: f.Tuning}
	for i := range ranks {
		set.Plans = append(set.Plans, choice.Plan{Name: plan(i), Price: 1 / (1 + 0.5*float64(i))})
	}
	return set
}

func plan(rank int) string { return strconv.Itoa(min(max(rank, 0), ranks-1)) }

// Use has requests go by a configuration from now on.
func (f *Front) Use(d *routing.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &table{d, map[string]*core.Core{}, map[*routing.Route]string{}}
	for name := range d.Services {
		if f.cores[name] == nil {
			c, err := f.Core(name, f.settings())
			if err != nil {
				f.Log(events.Failed, "error", err.Error())
				continue
			}
			f.cores[name], f.classes[name] = c, map[string]choice.Class{}
			f.list(name)
		}
		t.cores[name] = f.cores[name]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		class := classOf(r)
		t.classes[r] = class.Name
		for _, s := range r.Shares {
			if told := f.classes[s.Service]; told != nil && told[class.Name] != class {
				told[class.Name] = class
				f.cores[s.Service].Class(class)
			}
		}
	}
	f.table.Store(t)
}

// classOf is what a route's requests count as. Routes that are alike are one class, so that what is learned
// of one holds for the others, and a configuration of many routes makes few classes.
func classOf(r *routing.Route) choice.Class {
	c := choice.Class{Aim: r.Target, Deadline: r.GiveUp, Repeat: choice.Unsafe, LateShare: 0.3, Tries: r.Tries,
		Worth: 1 / (1 + 0.25*float64(r.Rank))}
	if c.Aim <= 0 || c.Aim > c.Deadline {
		c.Aim = c.Deadline
	}
	if r.Kind == routing.ReadOnly {
		c.Repeat = choice.Safe
	}
	c.Name = strings.Join([]string{string(r.Kind), r.Target.String(), r.GiveUp.String(), strconv.Itoa(r.Rank),
		strconv.Itoa(r.Tries)}, " ")
	return c
}

// Servers takes the list of servers.
func (f *Front) Servers(list []message.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = list
	for name := range f.cores {
		f.list(name)
	}
}

// Members takes the ingresses that there are, in an agreed order.
func (f *Front) Members(list []message.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = nil
	for _, m := range list {
		if m.Zone == f.Zone {
			f.members = append(f.members, m.Addr)
		}
	}
	for name := range f.cores {
		f.list(name)
	}
}

// near returns the servers of a service that this ingress tries first, of those in its zone.
func (f *Front) near(service string) []string {
	var ids []string
	for _, s := range f.servers {
		if s.Service == service && s.Zone == f.Zone && !s.Draining {
			ids = append(ids, s.ID)
		}
	}
	return zonesubset.Part(f.Self, f.members, ids)
}

// list tells a service's core of its servers. The lock is held.
func (f *Front) list(service string) {
	var own []core.Server
	near := f.near(service)
	for _, s := range f.servers {
		if s.Service == service {
			state := choice.Live
			if s.Draining {
				state = choice.Draining
			}
			own = append(own, core.Server{Name: s.ID, Addr: s.Addr, Zone: s.Zone, State: state, Weight: 1,
				Far: s.Zone == f.Zone && !slices.Contains(near, s.ID)})
		}
	}
	if f.servers != nil {
		f.cores[service].Servers(true, own)
	}
}

// Ready reports whether requests can be served: a configuration is in force, and servers are known.
func (f *Front) Ready() bool {
	t := f.table.Load()
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
func (f *Front) Limits(tenant string) ratelimit.Limits {
	if t := f.table.Load(); t != nil {
		if c := t.Tenants[tenant]; c != nil {
			return ratelimit.Limits{Rate: c.Rate, Burst: c.Burst}
		}
	}
	return ratelimit.Limits{}
}

// later is a promise that the request has not run and never will.
func later(status int, text string, after time.Duration) *http1.Answer {
	a := http1.Plain(status, text)
	if after > 0 {
		a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	}
	return a
}

// Stream takes a request of a client.
func (f *Front) Stream(x *accept.Exchange) (leave func()) {
	t := f.table.Load()
	if t == nil {
		x.Answer(later(http.StatusServiceUnavailable, "no configuration yet", startWait))
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
		x.Answer(later(http.StatusServiceUnavailable, "no such service yet", startWait))
		return nil
	}
	now := service.Now()
	m := &upstreamRequest{f: f, method: x.Method, target: x.RequestURI, host: x.Host, id: x.Header.Get(hID),
		header: x.Header, terms: &terms}
	m.trip.route, m.trip.service, m.trip.came = route, name, f.Clock()
	left := patience(x.Header.Get(hLeft), route.GiveUp)
	in := core.Request{Class: t.classes[route], Plan: plan(0), Units: 1, Spread: 1, Payload: m}
	if tenant != nil {
		in.Customer, in.Plan, m.customer = number(tenant.Name), plan(tenant.Rank), tenant.Name
	}
	var room *flow.Transfer
	if x.Long {
		if room, _ = f.Budget.Admit(now); room == nil {
			x.Answer(later(http.StatusServiceUnavailable, "no room for a long body now", bodyWait))
			return nil
		}
		held := terms
		held.Head, m.terms = left, &held
		left += terms.ClientUp.Grace
	}
	if left > m.terms.ServerDown.Stall { // a server's silence ends no answer before its time
		patient := *m.terms
		patient.ServerDown.Stall, m.terms = left, &patient
	}
	if ends, told := x.Left(); told { // an answer after the process's end is none
		left = min(left, ends-margin)
	}
	in.Deadline = now + left
	clean(m.header)
	for _, name := range own {
		delete(m.header, name)
	}
	x.Hold(m.terms, room, 0, service.Now)
	m.upload = x.Upload
	in.Reply = func(a core.Answer) { f.reply(x, service, in, a) }
	if tenant == nil {
		m.trip.admit(m.trip.came)
		return service.Submit(in).Leave
	}
	return f.metered(x, service, in, tenant)
}

// metered has a tenant's quota asked first.
func (f *Front) metered(x *accept.Exchange, service *core.Core, in core.Request,
	tenant *routing.Tenant) (leave func()) {
	var mu sync.Mutex
	var ticket func()
	gone := false
	trip := &in.Payload.(*upstreamRequest).trip
	decided := func(ok bool, after time.Duration) {
		if !ok {
			x.Answer(later(http.StatusTooManyRequests, "beyond the quota", after))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !gone {
			trip.admit(f.Clock())
			ticket = service.Submit(in).Leave
		}
	}
	switch v, after := f.Meter.Take(f.Clock(), tenant.Name, decided); v {
	case ratelimit.Pass:
		trip.admit(f.Clock())
		return service.Submit(in).Leave
	case ratelimit.Deny:
		x.Answer(later(http.StatusTooManyRequests, "beyond the quota", after))
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
	if x.Header.Get(hID) == "" {
		return nil, nil, http1.Plain(http.StatusBadRequest, hID+": missing")
	}
	route := t.Route(x.Host, path)
	if route == nil {
		return nil, nil, http1.Plain(http.StatusNotFound, "no such route")
	}
	tenant := t.Key(x.Header.Get(hKey))
	if tenant == nil && t.Keyed && !route.Public {
		return nil, nil, http1.Plain(http.StatusUnauthorized, "unknown key")
	}
	return route, tenant, nil
}

// patience is how long a request may be held: until its client gives up, but not longer than its route
// allows.
func patience(text string, giveUp time.Duration) time.Duration {
	ms, ok := http1.Decimal(text)
	if !ok || ms > 1e7 {
		return giveUp
	}
	return min(time.Duration(ms*float64(time.Millisecond))-margin, giveUp)
}

func number(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// reply hands a final answer on.
func (f *Front) reply(x *accept.Exchange, service *core.Core, in core.Request, a core.Answer) {
	f.observe(in.Payload.(*upstreamRequest), a.Kind)
	switch {
	case a.Kind == core.Served:
		if long, ok := a.Body.(*transfer.Reply); ok {
			x.OnEnd(service.Passing(in.Class))
			if room, _ := f.Budget.Admit(service.Now()); room != nil {
				x.Widen(room, service.Now)
			}
			x.Pass(long)
			return
		}
		x.Answer(a.Body.(*http1.Answer))
	case a.Kind == core.Refused:
		x.Answer(later(http.StatusServiceUnavailable, "refused: it has not run", max(a.RetryAfter,
			20*time.Millisecond)))
	case service.Now() >= in.Deadline:
		x.Answer(http1.Plain(http.StatusGatewayTimeout, "no answer in time"))
	default:
		x.Answer(http1.Plain(http.StatusBadGateway, "no answer"))
	}
}

// observe notes a request that ran late or was given up.
func (f *Front) observe(m *upstreamRequest, kind core.Kind) {
	now := f.Clock()
	switch {
	case kind == core.Refused:
		f.Board.Note(m.trip.call(now, m, slowlog.Refused))
	case kind == core.Failed:
		f.Board.Note(m.trip.call(now, m, slowlog.Failed))
	case m.trip.route.Target > 0 && now > m.trip.came+m.trip.route.Target:
		f.Board.Note(m.trip.call(now, m, slowlog.Late))
	}
}

// Bounds are what clients are held to when they connect, by the configuration in force; what that leaves out
// is filled in.
func (f *Front) Bounds() routing.Limits {
	l := routing.Limits{Head: 16 << 10, HeadWait: 3 * time.Second, IdleIn: 15 * time.Second}
	if t := f.table.Load(); t != nil {
		if t.Limits.Head > 0 {
			l.Head = t.Limits.Head
		}
		if t.Limits.HeadWait > 0 {
			l.HeadWait = t.Limits.HeadWait
		}
		if t.Limits.IdleIn > 0 {
			l.IdleIn = t.Limits.IdleIn
		}
	}
	return l
}
