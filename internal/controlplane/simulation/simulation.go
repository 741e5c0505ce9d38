// Package rehearsal plays an exchange in memory, in virtual time: many machines with the control of the true
// program, and links, disks and clocks of its own that fail when told to. It checks the promises all the
// while: a configuration in force never goes back within a life, one version means one content, and what is
// acknowledged is what is read. It runs thousands of times faster than real time, and repeats by its seed.
package simulation

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/events"
	"dunespoke/internal/ratelimit"
)

// OldInForce is how long after an acknowledgement an older configuration may come into force at most: what a
// machine tells is as old as it may be, and is taken for as long as its answer is awaited.
const OldInForce = replica.MaxStaleness + client.ResponseTimeout

// Options say what an exchange is made of.
type Options struct {
	Zones   int
	Disks   int // machines with a disk in each zone
	Others  int // and without
	Survive int // machines with a disk that may be lost at once
	// SurviveZones and SurviveRegions are as Survive; a region is so many zones in a row, one where that is 0.
	SurviveZones, SurviveRegions, ZonesARegion int

	Seed    uint64
	Latency time.Duration // one way, at most; at least a third of it
	Sync    time.Duration // of a disk
	Trace   func(line string)
	// Wire says what becomes of a message on its way between two machines; nil: it comes once.
	Wire  func(from, to string, m *message.Message) []Delivery
	Probe Probe                       // may be nil
	Text  func(version uint64) []byte // of the configurations that are sent; nil: short ones
}

// Probe measures what machines do.
type Probe interface {
	// Sent is told of each message from one machine's address to another, and of its bytes without the frame.
	Sent(from, to string, m *message.Message, size int)
	// Run runs a piece of the work of the machine at an address: it calls do, once. What comes is decoded in the
	// midst of the sender's work, and is the receiver's.
	Run(addr string, do func())
}

// Machine is one machine of the exchange.
type Machine struct {
	Name string
	self message.Node
	disk bool
	gone bool // for good

	x      *Exchange
	office *node.Node
	life   int
	own    uint64 // the life's number among those of all machines
	up     bool
	frozen bool
	held   []func() // what came while it was frozen
	record replica.PersistentState
	has    bool // it has been started before
	saved  time.Duration
	sync   time.Duration
	full   bool
	hangs  bool
	stuck  []func() // saves, while the disk hangs
	tick   int

	version uint64
	config  string
	servers []message.Endpoint
	members int
	epoch   uint64 // of the view that it goes by
	reads   bool
}

// Exchange is all machines, and what is between them.
type Exchange struct {
	Options
	Now      time.Duration
	Machines []*Machine
	Servers  []message.Endpoint // as the platform lists them
	Messages int                // sent so far, those that got lost among them
	Bytes    int                // of these, without their frames
	Calls    []*Call            // of operators, in the order in which they began
	// ReadTime is how long the platform takes for its list; PlatformDown: for ever.
	ReadTime     time.Duration
	PlatformDown bool
	// Told is called with each message that a machine sends, before it may get lost; it may be nil.
	Told func(from *Machine, to string, m *message.Message)
	// Tamper changes what a machine is about to take, and Spoil what a disk is about to hold: a test that plays
	// a defect shows what finds it. Both may be nil.
	Tamper func(to *Machine, m *message.Message)
	Spoil  func(m *Machine, r *replica.PersistentState)

	rng    *rand.Rand
	events eventQueue
	seq    int
	cuts   map[[2]string]bool
	slow   map[[2]string]time.Duration
	seeds  []string
	acked  uint64
	broken []string
	texts  map[uint64]string // by version: one content each
	cores  registries
	added  int    // machines that came after the first start
	lives  uint64 // of all processes so far

	// Defects that a test plays: a list is told under the epoch at its end, and a machine answers calls out of
	// what it goes by itself.
	lateToken, alone bool
	// And one whose processes count machines alone, and know nothing of zones and regions.
	countsAlone bool
}

// Delivery is a message that comes, so long after the delay of the link. It is not to be changed any more.
type Delivery struct {
	To      string
	After   time.Duration
	Message *message.Message
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap's.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is heap's.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// New makes an exchange whose machines are all off.
func New(o Options) *Exchange {
	x := &Exchange{
		Options: o,
		Now:     time.Hour,
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		cuts:    map[[2]string]bool{},
		slow:    map[[2]string]time.Duration{},
		texts:   map[uint64]string{},
		cores:   newRegistries(),
	}
	if x.Latency == 0 {
		x.Latency = 2 * time.Millisecond
	}
	if x.Sync == 0 {
		x.Sync = 5 * time.Millisecond
	}
	for z := range o.Zones {
		for i := range o.Disks + o.Others {
			m := &Machine{Name: fmt.Sprintf("z%d-%d", z+1, i+1), disk: i < o.Disks, x: x, sync: x.Sync,
				self: message.Node{Addr: fmt.Sprintf("10.%d.0.%d:7", z+1, i+1), Zone: fmt.Sprintf("z%d", z+1)}}
			x.Machines = append(x.Machines, m)
			if i == 0 && len(x.seeds) < 3 {
				x.seeds = append(x.seeds, m.self.Addr)
			}
		}
	}
	slices.Sort(x.seeds)
	return x
}

// tolerance is what every process is told of what may be lost at once.
func (x *Exchange) tolerance() replica.FaultTolerance {
	if x.countsAlone {
		return replica.FaultTolerance{Machines: x.Survive}
	}
	t := replica.FaultTolerance{Machines: x.Survive, Zones: x.SurviveZones, Regions: x.SurviveRegions,
		RegionOfZone: map[string]string{}}
	for z := range x.Zones {
		t.RegionOfZone[fmt.Sprintf("z%d", z+1)] = fmt.Sprintf("r%d", z/max(1, x.ZonesARegion)+1)
	}
	return t
}

func (x *Exchange) at(after time.Duration, do func()) {
	x.seq++
	heap.Push(&x.events, event{x.Now + after, x.seq, do})
}

// Run plays for a time.
func (x *Exchange) Run(d time.Duration) {
	x.Until(func() bool { return false }, d)
}

// Until plays until a condition holds, and reports false if it does not within the limit.
func (x *Exchange) Until(done func() bool, limit time.Duration) bool {
	end := x.Now + limit
	for len(x.events) > 0 && x.events[0].at <= end {
		if done() {
			return true
		}
		e := heap.Pop(&x.events).(event)
		x.Now = e.at
		e.do()
	}
	x.Now = end
	return done()
}

// Broken returns the promises that were broken so far.
func (x *Exchange) Broken() []string { return x.broken }

func (x *Exchange) breaks(format string, args ...any) {
	x.broken = append(x.broken, fmt.Sprintf("%v: ", x.Now)+fmt.Sprintf(format, args...))
}

// Named returns a machine.
func (x *Exchange) Named(name string) *Machine {
	for _, m := range x.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// At returns the machine of an address.
func (x *Exchange) At(addr string) *Machine {
	for _, m := range x.Machines {
		if m.self.Addr == addr {
			return m
		}
	}
	return nil
}

// Disked returns the machines with a disk.
func (x *Exchange) Disked() []*Machine {
	return slices.DeleteFunc(slices.Clone(x.Machines), func(m *Machine) bool { return !m.disk })
}

// StartAll starts every machine, all but at once.
func (x *Exchange) StartAll() {
	for _, m := range x.Machines {
		x.at(time.Duration(x.rng.IntN(200))*time.Millisecond, m.Start)
	}
}

// Cut cuts what two machines say to each other; Heal ends that.
func (x *Exchange) Cut(a, b *Machine, cut bool) {
	x.cuts[[2]string{a.self.Addr, b.self.Addr}] = cut
	x.cuts[[2]string{b.self.Addr, a.self.Addr}] = cut
}

// CutOneWay cuts what one machine says to another.
func (x *Exchange) CutOneWay(from, to *Machine, cut bool) {
	x.cuts[[2]string{from.self.Addr, to.self.Addr}] = cut
}

// Isolate cuts a machine off from the others with a disk.
func (x *Exchange) Isolate(m *Machine, cut bool) {
	for _, other := range x.Disked() {
		if other != m {
			x.Cut(m, other, cut)
		}
	}
}

// SlowOneWay has what one machine says to another take longer by so much: it waits in some buffer.
func (x *Exchange) SlowOneWay(from, to *Machine, d time.Duration) {
	x.slow[[2]string{from.self.Addr, to.self.Addr}] = d
}

// HealAll ends all cuts and slow links.
func (x *Exchange) HealAll() {
	clear(x.cuts)
	clear(x.slow)
}

// Start starts a machine's process.
func (m *Machine) Start() {
	if m.up || m.gone {
		return
	}
	m.up, m.frozen = true, false
	m.life++
	m.version, m.config, m.servers, m.members, m.epoch = 0, "", nil, 0, 0
	m.saved = 0
	m.x.lives++
	m.own = 1<<61 + m.x.lives // as long as the program's numbers are
	o := node.Options{Self: m.self, Seeds: m.x.seeds, Tolerance: m.x.tolerance(), FirstStart: !m.has,
		Incarnation: m.own, Actions: &actions{m, m.life},
		Limits: func(string) ratelimit.Limits { return ratelimit.Limits{} }}
	m.has = true
	if m.disk {
		r := m.record
		o.Saved = &r
	}
	m.office = node.New(m.x.Now, o)
	m.wake(0)
	m.lists(m.life)
}

// Kill ends a machine's process. What is on its disk stays.
func (m *Machine) Kill() { m.up, m.office, m.held = false, nil, nil }

// Wipe takes what is on the disk of a machine that is down.
func (m *Machine) Wipe() { m.record = replica.PersistentState{} }

// Freeze has a machine stand still; Thaw lets it go on, with what came meanwhile.
func (m *Machine) Freeze() { m.frozen = true }

// Thaw lets a frozen machine go on.
func (m *Machine) Thaw() {
	m.frozen = false
	held := m.held
	m.held = nil
	for _, f := range held {
		f()
	}
	m.wake(0)
}

// SetSync sets how long a disk takes; Fill has it refuse writes.
func (m *Machine) SetSync(d time.Duration) { m.sync = d }

// Fill has a disk refuse writes, or take them again.
func (m *Machine) Fill(full bool) { m.full = full }

// Hang has a disk do nothing of what it is asked to, or go on with it.
func (m *Machine) Hang(hangs bool) {
	m.hangs = hangs
	for len(m.stuck) > 0 && !hangs {
		m.stuck[0]()
		m.stuck = m.stuck[1:]
	}
}

// Frame returns the machine's frame; nil without a disk, or while it is down.
func (m *Machine) Frame() *replica.Replica {
	if !m.up {
		return nil
	}
	return m.office.Replica()
}

// Up reports whether a machine's process runs.
func (m *Machine) Up() bool { return m.up }

// Addr is the machine's address.
func (m *Machine) Addr() string { return m.self.Addr }

// Version is that of the configuration in force.
func (m *Machine) Version() uint64 { return m.version }

// Servers is the list of servers that the machine goes by.
func (m *Machine) Servers() []message.Endpoint { return m.servers }

// Members is how many machines hold leases, as far as this one knows.
func (m *Machine) Members() int { return m.members }

// act does something on the machine in a life of it, once it runs.
func (m *Machine) act(life int, f func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.held = append(m.held, func() { m.act(life, f) })
	default:
		m.x.run(m.self.Addr, f)
		if m.up && m.life == life {
			m.wake(0)
		}
	}
}

// run has the machine at an address do something, under the eyes of the probe.
func (x *Exchange) run(addr string, do func()) {
	if x.Probe == nil {
		do()
		return
	}
	x.Probe.Run(addr, do)
}

// wake has the machine look after what is due, at once and then when it wants.
func (m *Machine) wake(after time.Duration) {
	m.tick++
	tick, life := m.tick, m.life
	m.x.at(after, func() {
		if !m.up || m.life != life || m.tick != tick || m.frozen {
			return
		}
		var next time.Duration
		m.x.run(m.self.Addr, func() { next = m.office.Tick(m.x.Now) })
		if m.tick == tick {
			m.wake(max(next-m.x.Now, time.Millisecond))
		}
	})
}

// lists reads the platform's list whenever that is the machine's duty.
func (m *Machine) lists(life int) {
	m.x.at(500*time.Millisecond, func() {
		if !m.up || m.life != life {
			return
		}
		m.act(life, func() {
			if epoch, ok := m.office.HoldsRole(m.x.Now, replica.EndpointReader); ok && !m.x.PlatformDown {
				list := slices.Clone(m.x.Servers)
				m.x.at(m.x.ReadTime, func() {
					m.act(life, func() {
						if m.x.lateToken {
							epoch, _ = m.office.HoldsRole(m.x.Now, replica.EndpointReader)
						}
						m.office.SetEndpoints(m.x.Now, epoch, list)
					})
				})
			}
		})
		m.lists(life)
	})
}

// Call is a call of the operator.
type Call struct {
	Read     bool   // it asks for the newest; otherwise it sends a configuration
	Version  uint64 // that was sent, or read
	Text     string
	Acked    bool // or read
	Conflict bool // it was refused: another text stands under the number
	Ended    bool
	Began    time.Duration
	At       time.Duration // when it ended
}

func (x *Exchange) begin(m *Machine, c *Call) *Call {
	c.Began = x.Now
	x.Calls = append(x.Calls, c)
	if !m.up {
		c.Ended, c.At = true, x.Now
	}
	return c
}

// Put sends a configuration to a machine, which answers or not. Its text is the same for each number.
func (x *Exchange) Put(m *Machine, version uint64) *Call {
	if x.Text != nil {
		return x.PutText(m, version, string(x.Text(version)))
	}
	return x.PutText(m, version, fmt.Sprintf("r%d", version))
}

// PutText sends a configuration with a text of its own.
func (x *Exchange) PutText(m *Machine, version uint64, text string) *Call {
	c := x.begin(m, &Call{Version: version, Text: text})
	if c.Ended {
		return c
	}
	m.act(m.life, func() {
		if x.alone && version <= m.version {
			c.Ended, c.At, c.Acked = true, x.Now, true
			return
		}
		m.office.Put(x.Now, version, []byte(text), func(_ uint64, err error) {
			var conflict *client.ConflictError
			c.Ended, c.At = true, x.Now
			c.Acked, c.Conflict = err == nil, errors.As(err, &conflict)
			if c.Acked {
				x.acked = max(x.acked, version)
			}
		})
	})
	return c
}

// Change sends a configuration to one machine after another until it is acknowledged, as operators do, and
// returns how long that took; ok is false if it was not within the limit.
func (x *Exchange) Change(first *Machine, version uint64, limit time.Duration) (took time.Duration, ok bool) {
	began := x.Now
	for at := slices.Index(x.Machines, first); x.Now < began+limit; at++ {
		m := x.Machines[at%len(x.Machines)]
		c := x.Put(m, version)
		x.Until(func() bool { return c.Ended || !m.up }, time.Second)
		if c.Acked {
			return x.Now - began, true
		}
		if !m.up { // the connection is refused: the next one at once, but not for nothing
			x.Run(10 * time.Millisecond)
		}
	}
	return limit, false
}

// Read asks a machine for the newest configuration. One that is older than what was acknowledged before the
// question is a broken promise.
func (x *Exchange) Read(m *Machine) *Call {
	c := x.begin(m, &Call{Read: true})
	if c.Ended {
		return c
	}
	before := x.acked
	m.act(m.life, func() {
		if x.alone {
			c.Ended, c.At, c.Acked, c.Version, c.Text = true, x.Now, true, m.version, m.config
			return
		}
		m.office.Read(x.Now, func(version uint64, config []byte, err error) {
			c.Ended, c.Acked, c.At = true, err == nil && config != nil, x.Now
			c.Version, c.Text = version, string(config)
			if !c.Acked {
				return
			}
			if c.Version < before {
				x.breaks("%s reads r%d after r%d was acknowledged", m.Name, c.Version, before)
			}
		})
	})
	return c
}

// Settled reports whether every machine that runs goes by a version.
func (x *Exchange) Settled(version uint64) bool {
	return !slices.ContainsFunc(x.Machines, func(m *Machine) bool { return m.up && m.version != version })
}

// Chain returns the machines of the view that serves, as those in service see it; nil: none is.
func (x *Exchange) Chain() []string {
	for _, m := range x.Disked() {
		if m.up && !m.frozen && m.office.Replica().ServingWithQuorum() {
			_, chain := m.office.Replica().View()
			return chain
		}
	}
	return nil
}

// actions is what an office sees of the rehearsal.
type actions struct {
	m    *Machine
	life int
}

func (a *actions) Send(to string, m *message.Message) {
	x := a.m.x
	from := a.m.self.Addr
	if x.Told != nil {
		x.Told(a.m, to, m)
	}
	if to == from && x.Tamper == nil { // as in the program: not copied
		x.at(0, func() { a.m.act(a.life, func() { a.m.office.Step(x.Now, from, m) }) })
		return
	}
	b := message.MarshalAppend(nil, m)
	x.Messages, x.Bytes = x.Messages+1, x.Bytes+len(b)
	if x.Probe != nil {
		x.Probe.Sent(from, to, m, len(b))
	}
	if x.cuts[[2]string{from, to}] {
		return
	}
	copied := new(message.Message)
	var err error
	x.run(to, func() { err = message.Unmarshal(b, copied) })
	if err != nil {
		x.breaks("%s sent what can't be read: %v", a.m.Name, err)
		return
	}
	all := []Delivery{{To: to, Message: copied}}
	if x.Wire != nil && to != from {
		all = x.Wire(from, to, copied)
	}
	for _, d := range all {
		x.deliver(from, d)
	}
}

// clone returns a message with a body of its own, so that a test can change what one receiver gets.
func clone(m *message.Message) *message.Message {
	copied := *m
	body := reflect.New(reflect.TypeOf(m.Body).Elem())
	body.Elem().Set(reflect.ValueOf(m.Body).Elem())
	copied.Body = body.Interface().(message.Body)
	return &copied
}

// deliver has a message come to whoever has the address by then.
func (x *Exchange) deliver(from string, d Delivery) {
	delay := x.Latency/3 + time.Duration(x.rng.Int64N(int64(x.Latency)*2/3)) +
		x.slow[[2]string{from, d.To}]
	x.at(d.After+delay, func() {
		for _, m := range x.Machines {
			if m.self.Addr != d.To || !m.up || x.cuts[[2]string{from, d.To}] {
				continue
			}
			came := clone(d.Message)
			if x.Tamper != nil {
				x.Tamper(m, came)
			}
			m.act(m.life, func() { m.office.Step(x.Now, from, came) })
		}
	})
}

func (a *actions) Save(token uint64, r replica.PersistentState) {
	m := a.m
	m.saved = max(m.saved, m.x.Now) + m.sync
	done := func() {
		if !m.up || m.life != a.life {
			return
		}
		ok := !m.full
		if ok {
			if m.record = r; m.x.Spoil != nil {
				m.x.Spoil(m, &m.record)
			}
			m.x.sequence(m, &m.record)
		}
		m.act(a.life, func() { m.office.HandleSaved(m.x.Now, token, ok) })
	}
	m.x.at(m.saved-m.x.Now, func() {
		if m.hangs {
			m.stuck = append(m.stuck, done)
			return
		}
		done()
	})
}

func (a *actions) Log(e events.Event, pairs ...any) {
	if x := a.m.x; x.Trace != nil {
		x.Trace(fmt.Sprintln(x.Now-time.Hour, a.m.Name, e.Text, pairs))
	}
}

func (a *actions) ApplyConfig(version uint64, config []byte) {
	m := a.m
	if version <= m.version {
		m.x.breaks("%s went from r%d back to r%d", m.Name, m.version, version)
	}
	if text, known := m.x.texts[version]; known && text != string(config) {
		m.x.breaks("%s: r%d has two contents", m.Name, version)
	}
	m.x.texts[version] = string(config)
	m.version, m.config = version, string(config)
	for _, c := range m.x.Calls {
		if c.Acked && !c.Read && c.Version > version && c.At < m.x.Now-OldInForce {
			m.x.breaks("%s takes r%d, r%d was acknowledged %v ago", m.Name, version, c.Version, m.x.Now-c.At)
			break
		}
	}
}

func (a *actions) SetEndpoints(list []message.Endpoint) { a.m.servers = list }

func (a *actions) SetNodes(list []message.Node) { a.m.members = len(list) }

func (a *actions) SetView(epoch uint64, _ []string) { a.m.epoch = epoch }
