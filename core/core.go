// Package core accepts requests from any front, lets package choice decide on them, and carries out the
// decisions on any upstream. It is independent of the protocol: only the front and the upstream interpret the
// contents of requests and answers.
//
// One goroutine, that of Core.Run, owns the choice.Gate and all state of a Core. All other goroutines send it
// events through one queue, which are handled in their order.
package core

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/choice"
)

// Kind is the kind of a final answer.
type Kind int

// The kinds of final answers.
const (
	Served  Kind = iota // an upstream answered
	Refused             // the request did not run; a retry is safe
	Failed              // the request may have run
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration // with Refused: when a retry may succeed; 0: unknown
	Body       any           // with Served: Result.Body of the successful attempt
}

// Request is a request that a front submits.
type Request struct {
	Class       string
	Plan        string
	Customer    uint64
	Units       float64       // units of its customer's quota that it uses
	ClientRetry bool          // a retry by the client, where clients report them
	Spread      int           // number of gateways that receive the customer's requests
	Deadline    time.Duration // reading of Core.Now by which the final answer is due
	Payload     any           // passed to the upstream
	// Reply receives the final answer. It is called at most once, on the core's goroutine, and not after the
	// core has handled Ticket.Leave. It must not block.
	Reply func(Answer)
}

// Server is an entry of the server list.
type Server struct {
	Name          string // the same at every gateway and after a restart
	Addr          string
	Zone          string
	Cell          int
	State         choice.State
	OutsideSubset bool // not in the subset of servers that this gateway prefers
	Weight        float64
	Started       time.Duration // Unix time of its last start; 0: long ago
}

// Result describes how an attempt ended.
type Result struct {
	Code  choice.Code
	Body  any       // with choice.OK: for the front
	Units float64   // actual units of the request; 0: unknown
	Load  []float64 // the server's load report; nil if there was none
	Final bool      // unless OK: no further attempt is possible: data that it needs is no longer stored
	Drop  func()    // with choice.OK: called on the core's goroutine if Body is not used; may be nil
}

// Attempt is one attempt to have a request served by a server.
type Attempt struct {
	Server        Server
	Timeout       time.Duration // the core aborts the attempt after it
	Payload       any           // of the request
	NotRepeatable bool          // not safe to repeat, so unfit for an idle connection that may be stale
	End           func(Result)  // to be called once, from any goroutine; later calls are ignored
}

// Running is an attempt in flight.
type Running interface {
	// Abort ends the attempt and closes its connection before it returns. It reports whether the
	// request may have run or may still run.
	Abort() (mayHaveRun bool)
}

// UnsentAborter is a Running that can be aborted on the condition that nothing of its request was sent.
type UnsentAborter interface {
	// AbortUnsent ends the attempt as Abort does if nothing of its request was sent, and reports whether it
	// did.
	AbortUnsent() bool
}

// Upstream sends attempts to servers. Its methods are called on the core's goroutine and must not block.
type Upstream interface {
	Start(Attempt) Running
	// Drop is called when a server is draining or removed: no new attempt will be sent to it.
	Drop(Server)
}

// Counter adds to named counts. Add must not block; done may be called from any goroutine, or never.
// The answers for one name must be in the order of the calls.
type Counter interface {
	Add(name string, amount float64, keep time.Duration, done func(code choice.Code, total float64))
}

// Config contains the parameters of New.
type Config struct {
	Settings choice.Settings
	Seed     uint64
	Upstream Upstream
	Counter  Counter           // may be nil if Settings.Counter is false
	Log      func(line string) // receives log lines for on-call staff; may be nil
	Watch    Watcher           // observes attempts; may be nil
	// FinishSent lets an attempt of a request that is not safe to repeat continue after its client has left,
	// once anything of it was sent: aborting it would leave its effect unknown. It ends with its response or
	// at its deadline.
	FinishSent bool
}

// Watcher observes attempts by the zone of their server. Its methods are called on the core's goroutine.
type Watcher interface {
	// Ended is called after an attempt that the server answered or failed to answer.
	Ended(zone string, failed bool, took time.Duration)
	// Hung is called for an attempt that is still unanswered after the target latency of its class.
	Hung(zone string, took time.Duration)
}

// overdueGrace is the time after its deadline at which the core itself fails a request that has no answer. It
// is a fallback, since the gate answers at the deadline, and is below the slack that the rules leave.
const overdueGrace = 15 * time.Millisecond

// Core carries out the decisions of one gate.
type Core struct {
	settings        choice.Settings
	upstream        Upstream
	counter         Counter
	log             func(string)
	watcher         Watcher
	finishSent      bool // Config.FinishSent
	gate            *choice.Gate
	notRepeatable   map[string]bool          // by class name: not safe to repeat
	targetLatencies map[string]time.Duration // by class name
	start           time.Time
	origin          time.Duration // Unix time at start

	queue queue
	ready atomic.Bool
	stats *Stats

	// Owned by the goroutine of Run.
	timers          timers
	deferred        []func() // to be run after the current event; see runDeferred
	lastRequestID   uint64
	requests        map[uint64]*request
	lastServerID    uint64
	serverIDs       map[string]uint64 // by name
	servers         map[uint64]Server // as in the server list
	avoidedZones    map[string]bool   // see Avoid
	banned          map[string]bool   // by server name; see Ban
	rememberedCount int

	// rememberedNames are the names that have been in the server list, up to maxRememberedNames. Only the
	// goroutine of Run adds to it.
	rememberedNames sync.Map
}

// New returns a core. It handles events only while Run is running.
func New(c Config) (*Core, error) {
	start := time.Now()
	k := &Core{settings: c.Settings, upstream: c.Upstream, counter: c.Counter, log: c.Log, watcher: c.Watch,
		finishSent: c.FinishSent,
		start:      start,
		origin:     time.Duration(start.UnixNano()), requests: map[uint64]*request{},
		serverIDs: map[string]uint64{}, servers: map[uint64]Server{}, banned: map[string]bool{}}
	k.queue.ready = make(chan struct{}, 1)
	k.notRepeatable, k.targetLatencies = map[string]bool{}, map[string]time.Duration{}
	var classes []string
	for _, class := range c.Settings.Classes {
		k.notRepeatable[class.Name], k.targetLatencies[class.Name] = class.Repeat != choice.Safe, class.Aim
		classes = append(classes, class.Name)
	}
	k.stats = newStats(classes)
	if k.counter == nil {
		k.settings.Counter = false
	}
	if k.log == nil {
		k.log = func(string) {}
	}
	gate, err := choice.New(k.settings, c.Seed, actions{k})
	if err != nil {
		return nil, fmt.Errorf("settings of the gate: %w", err)
	}
	k.gate = gate
	// The first wake of a gate covers the time since the clock's origin, which is that of Unix time here. It
	// must run before any server is known; otherwise cold servers would accumulate a budget since 1970.
	k.runTimers()
	return k, nil
}

// Now returns the time of the core's clock: the Unix time at its start plus the monotonic time since. The
// clocks of different gateways differ by the error of their system clocks. The clock never goes back, even if
// the system clock is set back.
func (c *Core) Now() time.Duration { return c.origin + time.Since(c.start) }

// Ready reports whether requests can be served, that is, whether any server is live and neither banned nor in
// an avoided zone.
func (c *Core) Ready() bool { return c.ready.Load() }

// Run handles events until the context is done.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, event := range c.queue.drain() {
			event()
			c.runDeferred()
		}
		c.runTimers()
		if at, ok := c.timers.next(); ok {
			timer.Reset(at - c.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.queue.ready:
		}
	}
}

// runDeferred runs the functions that the gate's actions deferred during an event, since the gate must not be
// called from within its actions.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		next()
	}
	c.deferred = nil
}

// runTimers runs all timers that are due.
func (c *Core) runTimers() {
	for {
		run := c.timers.popDue(c.Now())
		if run == nil {
			return
		}
		run()
		c.runDeferred()
	}
}

// Ticket identifies a submitted request.
type Ticket struct {
	core *Core
	r    *request
}

// Submit submits a request. The request gets one final answer unless its client leaves. Submit is safe for
// concurrent use.
func (c *Core) Submit(in Request) Ticket {
	r := &request{Request: in}
	c.queue.put(func() { c.accept(r) })
	return Ticket{c, r}
}

// Leave reports that the client has left: the request gets no answer any more, and its attempt is cancelled.
func (t Ticket) Leave() { t.core.queue.put(func() { t.core.clientLeft(t.r) }) }

// TrackResponse reports that the response to a served request is still being sent to the client. The request
// counts as open until ended is called, and as failed if the response was not complete. ended must be called
// once, from any goroutine.
func (c *Core) TrackResponse(class string) (ended func(complete bool)) {
	c.queue.put(func() { c.stats.open.Add(1) })
	return func(complete bool) { c.queue.put(func() { c.stats.countResponseEnd(class, complete) }) }
}

// Class adds a class of requests that is not in the settings, or updates a class. Requests that are submitted
// after the call may use it.
func (c *Core) Class(class choice.Class) {
	c.queue.put(func() {
		c.notRepeatable[class.Name], c.targetLatencies[class.Name] = class.Repeat != choice.Safe, class.Aim
		c.gate.Class(c.Now(), class)
	})
}

// Servers updates the server list: list is the complete list if full is true, and the changed entries
// otherwise.
func (c *Core) Servers(full bool, list []Server) {
	c.queue.put(func() { c.updateServers(full, list) })
}

func (c *Core) updateServers(full bool, list []Server) {
	updated := map[uint64]bool{}
	backends := make([]choice.Backend, 0, len(list))
	for _, s := range list {
		id, known := c.serverIDs[s.Name]
		if !known {
			if s.State != choice.Live {
				continue
			}
			c.lastServerID++
			id = c.lastServerID
			c.serverIDs[s.Name] = id
		}
		updated[id] = true
		c.rememberName(s.Name)
		if old, ok := c.servers[id]; ok && (s.State != choice.Live || old.Addr != s.Addr) {
			c.upstream.Drop(old)
		}
		if s.State == choice.Gone { // otherwise servers that are replaced would exhaust the memory
			delete(c.servers, id)
			delete(c.serverIDs, s.Name)
		} else {
			c.servers[id] = s
		}
		backends = append(backends, c.backend(id, s))
	}
	for id, s := range c.servers {
		if full && !updated[id] {
			c.upstream.Drop(s)
			delete(c.servers, id)
			delete(c.serverIDs, s.Name)
		}
	}
	c.updateServerStats()
	c.gate.Backends(c.Now(), full, backends)
}

// backend returns a server in the form for the gate, in which a live server that is banned or in an avoided
// zone is draining.
func (c *Core) backend(id uint64, s Server) choice.Backend {
	state := s.State
	if state == choice.Live && !c.eligible(s) {
		state = choice.Draining
	}
	return choice.Backend{ID: id, Key: serverKey(s.Name), Zone: s.Zone, Cell: s.Cell, State: state,
		Far:     s.OutsideSubset,
		Weight:  s.Weight,
		Started: s.Started}
}

// eligible reports whether new requests may be sent to a server.
func (c *Core) eligible(s Server) bool {
	return s.State == choice.Live && !c.banned[s.Name] && !c.avoidedZones[s.Zone]
}

// updateServerStats updates Ready and the stats of the server list.
func (c *Core) updateServerStats() {
	ready, outOfRotation := false, 0
	for _, s := range c.servers {
		ready = ready || c.eligible(s)
		if !c.eligible(s) {
			outOfRotation++
		}
	}
	c.ready.Store(ready)
	c.stats.listed.Store(int64(len(c.servers)))
	c.stats.outOfRotation.Store(int64(outOfRotation))
}

// serverKey returns the key of a server, which is the same at all gateways, unlike its id.
func serverKey(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// queue contains the events that the core has not handled yet. It needs no limit of its own: each event
// belongs to a connection, an attempt or a call, and their numbers are limited where they are created. It is
// safe for concurrent use.
type queue struct {
	mu     sync.Mutex
	events []func()
	spare  []func()      // the slice that drain returned last, to be reused
	ready  chan struct{} // signals that there are events; capacity 1
}

func (q *queue) put(event func()) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// drain removes and returns all events. The slice is valid until the next call.
func (q *queue) drain() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], events
	return events
}
