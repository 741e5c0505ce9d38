// Package core takes requests from any front, has package choice decide on them, and carries the decisions
// out on any upstream. It knows no wire: what a request holds and what an answer holds is the business of
// the front and the upstream.
//
// One goroutine, that of Core.Run, owns the choice.Gate and all state here. Whatever happens elsewhere
// reaches it as an event of one queue, and is handled in the queue's order.
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

// Kind says what a final answer is.
type Kind int

// The kinds of final answers.
const (
	Served  Kind = iota // an upstream answered
	Refused             // it did not run; trying again is harmless
	Failed              // it may have run
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration // with Refused: when to come back; 0: not told
	Body       any           // with Served: what the upstream gave
}

// Request is what a front asks for.
type Request struct {
	Class       string
	Plan        string
	Customer    uint64
	Units       float64       // what it draws from its customer's quota
	ClientRetry bool          // a client's repeat, where clients tell
	Spread      int           // gateways through which the customer's requests arrive
	Deadline    time.Duration // reading of Core.Now by which the final answer is due
	Payload     any           // for the upstream
	// Reply gets the final answer: once, on the core's goroutine, unless the client left before. It must
	// not block.
	Reply func(Answer)
}

// Server is a server as the server list names it.
type Server struct {
	Name          string // the same at every gateway and after a restart
	Addr          string
	Zone          string
	Cell          int
	State         choice.State
	OutsideSubset bool // not in this gateway's part
	Weight        float64
	Started       time.Duration // Unix time of its last start; 0: long ago
}

// Result is how an attempt ended.
type Result struct {
	Code  choice.Code
	Body  any       // with choice.OK: for the front
	Units float64   // true units of the request; 0: not told
	Load  []float64 // the server's load report, if one came along
	Final bool      // unless OK: no further attempt can be made, since what it would need is gone
	Drop  func()    // with choice.OK: called if nobody wants the body, on the core's goroutine; may be nil
}

// Attempt is one send of a request to a server.
type Attempt struct {
	Server        Server
	Timeout       time.Duration // the core aborts the attempt after it
	Payload       any           // of the request
	NotRepeatable bool          // not safe to repeat: not for a connection that may have gone stale
	End           func(Result)  // to be called once, from any goroutine; late calls do no harm
}

// Running is an attempt under way.
type Running interface {
	// Abort ends the attempt and closes its connection before it returns. It reports whether the
	// request may have run, or may run yet.
	Abort() (mayHaveRun bool)
}

// UnsentAborter is a Running that tells whether anything of its request has left.
type UnsentAborter interface {
	// AbortUnsent ends the attempt as Abort does, if nothing of its request has left. It reports whether it did.
	AbortUnsent() bool
}

// Upstream sends attempts to servers. Its methods are called on the core's goroutine and must not block.
type Upstream interface {
	Start(Attempt) Running
	// Drop tells that a server drains or is gone: nothing new will be sent to it.
	Drop(Server)
}

// Counter adds to named counts. Add must not block; done may be called from any goroutine, or never.
// Answers for one name must keep the order of the calls.
type Counter interface {
	Add(name string, amount float64, keep time.Duration, done func(code choice.Code, total float64))
}

// Config is what New needs.
type Config struct {
	Settings choice.Settings
	Seed     uint64
	Upstream Upstream
	Counter  Counter           // may be nil where Settings.Counter is false
	Log      func(line string) // takes the gate's lines for on-call staff; may be nil
	Watch    Watcher           // is told of attempts; may be nil
	// FinishSent lets an attempt of a request that is not safe to repeat go on when its client leaves, once
	// it has been sent: to break it off would leave open what has become of it. It ends with its answer or
	// its deadline.
	FinishSent bool
}

// Watcher is told of attempts by the zone of their server, on the core's goroutine.
type Watcher interface {
	// Ended takes an attempt that a server answered or did not.
	Ended(zone string, failed bool, took time.Duration)
	// Hung takes one that is not answered yet, after the time that its class aims at.
	Hung(zone string, took time.Duration)
}

// grace is how long past its deadline a request may go unanswered before the core itself fails it. It is a
// net under the gate, which answers at the deadline, and below the slack that the rules leave.
const grace = 15 * time.Millisecond

// Core carries out the decisions of one gate.
type Core struct {
	set      choice.Settings
	upstream Upstream
	counter  Counter
	log      func(string)
	watch    Watcher
	finish   bool // see Config.FinishSent
	gate     *choice.Gate
	wary     map[string]bool // classes that are not safe to repeat
	aims     map[string]time.Duration
	start    time.Time
	origin   time.Duration // Unix time at start

	queue   queue
	ready   atomic.Bool
	figures *Stats

	// Owned by the goroutine of Run.
	timers     timers
	after      []func() // what follows from the actions of the event at hand
	lastID     uint64
	requests   map[uint64]*request
	lastServer uint64
	ids        map[string]uint64 // of servers, by name
	servers    map[uint64]Server // as the list says
	avoided    map[string]bool   // zones; see Avoid
	banned     map[string]bool   // by name: out of rotation by an operator's word, whatever the list says
	seenCount  int

	seen sync.Map // names that the list has held, up to seenMost; only that goroutine adds
}

// New returns a core, to be set going by Run.
func New(c Config) (*Core, error) {
	start := time.Now()
	k := &Core{set: c.Settings, upstream: c.Upstream, counter: c.Counter, log: c.Log, watch: c.Watch,
		finish: c.FinishSent,
		start:  start,
		origin: time.Duration(start.UnixNano()), requests: map[uint64]*request{},
		ids: map[string]uint64{}, servers: map[uint64]Server{}, banned: map[string]bool{}}
	k.queue.ready = make(chan struct{}, 1)
	k.wary, k.aims = map[string]bool{}, map[string]time.Duration{}
	var classes []string
	for _, class := range c.Settings.Classes {
		k.wary[class.Name], k.aims[class.Name] = class.Repeat != choice.Safe, class.Aim
		classes = append(classes, class.Name)
	}
	k.figures = newFigures(classes)
	if k.counter == nil {
		k.set.Counter = false
	}
	if k.log == nil {
		k.log = func(string) {}
	}
	gate, err := choice.New(k.set, c.Seed, actions{k})
	if err != nil {
		return nil, fmt.Errorf("settings of the gate: %w", err)
	}
	k.gate = gate
	// The first wake of a gate counts the time since the clock's origin, which is Unix time here. It runs
	// before any server is known, or cold ones would be credited with a budget saved up since 1970.
	k.fire()
	return k, nil
}

// Now is the core's clock: Unix time at the start plus monotonic time since. Gateways share it to within the
// error of their system clocks, and no step of a system clock turns it back.
func (c *Core) Now() time.Duration { return c.origin + time.Since(c.start) }

// Ready reports whether requests can be served: some server is live.
func (c *Core) Ready() bool { return c.ready.Load() }

// Run handles events until the context ends.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, event := range c.queue.take() {
			event()
			c.settle()
		}
		c.fire()
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

// settle runs what the actions of an event left to do: the gate must not be called back from within them.
func (c *Core) settle() {
	for len(c.after) > 0 {
		next := c.after[0]
		c.after = c.after[1:]
		next()
	}
	c.after = nil
}

func (c *Core) fire() {
	for {
		act := c.timers.due(c.Now())
		if act == nil {
			return
		}
		act()
		c.settle()
	}
}

// Ticket stands for a request that was handed in.
type Ticket struct {
	core *Core
	r    *request
}

// Submit hands in a request from any goroutine. From here on it gets one final answer.
func (c *Core) Submit(in Request) Ticket {
	r := &request{Request: in}
	c.queue.put(func() { c.take(r) })
	return Ticket{c, r}
}

// Leave says that the client has gone: it gets no answer any more, and its attempt is cancelled.
func (t Ticket) Leave() { t.core.queue.put(func() { t.core.leave(t.r) }) }

// TrackResponse tells that a served request's answer is still on its way to the client: it stays open, and
// counts as failed in the end if it could not be passed on whole. The end is to be told once, from any goroutine.
func (c *Core) TrackResponse(class string) (ended func(whole bool)) {
	c.queue.put(func() { c.figures.open.Add(1) })
	return func(whole bool) { c.queue.put(func() { c.figures.passed(class, whole) }) }
}

// Class tells of a class of requests that the settings did not name, or that has changed. Requests that are
// submitted after it may be of it.
func (c *Core) Class(class choice.Class) {
	c.queue.put(func() {
		c.wary[class.Name], c.aims[class.Name] = class.Repeat != choice.Safe, class.Aim
		c.gate.Class(c.Now(), class)
	})
}

// Servers takes news from the server list: all of it, or the entries that changed.
func (c *Core) Servers(full bool, list []Server) {
	c.queue.put(func() { c.learn(full, list) })
}

func (c *Core) learn(full bool, list []Server) {
	named := map[uint64]bool{}
	backends := make([]choice.Backend, 0, len(list))
	for _, s := range list {
		id, known := c.ids[s.Name]
		if !known {
			if s.State != choice.Live {
				continue
			}
			c.lastServer++
			id = c.lastServer
			c.ids[s.Name] = id
		}
		named[id] = true
		c.see(s.Name)
		if old, ok := c.servers[id]; ok && (s.State != choice.Live || old.Addr != s.Addr) {
			c.upstream.Drop(old)
		}
		if s.State == choice.Gone { // forgotten, or a fleet that comes and goes would fill the memory
			delete(c.servers, id)
			delete(c.ids, s.Name)
		} else {
			c.servers[id] = s
		}
		backends = append(backends, c.backend(id, s))
	}
	for id, s := range c.servers {
		if full && !named[id] {
			c.upstream.Drop(s)
			delete(c.servers, id)
			delete(c.ids, s.Name)
		}
	}
	c.count()
	c.gate.Backends(c.Now(), full, backends)
}

// backend is a server as the gate is told of it: one that is banned or in a zone to be left alone drains.
func (c *Core) backend(id uint64, s Server) choice.Backend {
	state := s.State
	if state == choice.Live && !c.live(s) {
		state = choice.Draining
	}
	return choice.Backend{ID: id, Key: key(s.Name), Zone: s.Zone, Cell: s.Cell, State: state,
		Far:     s.OutsideSubset,
		Weight:  s.Weight,
		Started: s.Started}
}

// live reports whether a server may be sent anything new.
func (c *Core) live(s Server) bool {
	return s.State == choice.Live && !c.banned[s.Name] && !c.avoided[s.Zone]
}

// count tells the figures and Ready what the list holds now.
func (c *Core) count() {
	live, out := false, 0
	for _, s := range c.servers {
		live = live || c.live(s)
		if !c.live(s) {
			out++
		}
	}
	c.ready.Store(live)
	c.figures.listed.Store(int64(len(c.servers)))
	c.figures.out.Store(int64(out))
}

// key is a server's at all gateways, whatever number each of them knows it by.
func key(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// queue holds the events that the core has not handled yet. It has no bound of its own: each event belongs
// to a connection, an attempt or a call, and those are bounded where they are made.
type queue struct {
	mu     sync.Mutex
	events []func()
	spare  []func()
	ready  chan struct{}
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

// take returns the events so far; they stay valid until the next call.
func (q *queue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], events
	return events
}
