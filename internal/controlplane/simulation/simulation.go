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

// MaxStaleInForce is how long after an acknowledgement an older configuration may come into force at most:
// what a machine tells is as old as it may be, and is taken for as long as its answer is awaited.
const MaxStaleInForce = replica.MaxStaleness + client.ResponseTimeout

// Options say what an exchange is made of.
type Options struct {
	Zones           int
	ReplicasPerZone int // machines with a disk in each zone
	GatewaysPerZone int // and without
	SurviveMachines int // machines with a disk that may be lost at once
	// SurviveZones and SurviveRegions are as Survive; a region is so many zones in a row, one where that is 0.
	SurviveZones, SurviveRegions, ZonesPerRegion int

	Seed     uint64
	Latency  time.Duration // one way, at most; at least a third of it
	SyncTime time.Duration // of a disk
	Trace    func(line string)
	// Network says what becomes of a message on its way between two machines; nil: it comes once.
	Network  func(from, to string, m *message.Message) []Delivery
	Probe    Probe                       // may be nil
	ConfigOf func(version uint64) []byte // of the configurations that are sent; nil: short ones
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
	Name    string
	node    message.Node
	hasDisk bool
	removed bool // for good

	cluster       *Cluster
	controlNode   *node.Node
	starts        int
	incarnation   uint64 // the life's number among those of all machines
	up            bool
	frozen        bool
	delayed       []func() // what came while it was frozen
	stored        replica.PersistentState
	startedBefore bool // it has been started before
	diskBusyUntil time.Duration
	syncTime      time.Duration
	diskFull      bool
	diskHangs     bool
	hangingSaves  []func() // saves, while the disk hangs
	tickID        int

	version   uint64
	config    string
	endpoints []message.Endpoint
	nodes     int
	epoch     uint64 // of the view that it goes by
}

// Cluster is all machines, and what is between them.
type Cluster struct {
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
	// Observe is called with each message that a machine sends, before it may get lost; it may be nil.
	Observe func(from *Machine, to string, m *message.Message)
	// Tamper changes what a machine is about to take, and Spoil what a disk is about to hold: a test that plays
	// a defect shows what finds it. Both may be nil.
	Tamper func(to *Machine, m *message.Message)
	Spoil  func(m *Machine, r *replica.PersistentState)

	rng           *rand.Rand
	events        eventQueue
	seq           int
	partitions    map[[2]string]bool
	slowLinks     map[[2]string]time.Duration
	seeds         []string
	acknowledged  uint64
	violations    []string
	configs       map[uint64]string // by version: one content each
	memberships   membershipHistory
	addedMachines int    // machines that came after the first start
	incarnations  uint64 // of all processes so far

	// Defects that a test plays: a list is told under the epoch at its end, and a machine answers calls out of
	// what it goes by itself.
	lateToken, answersAlone bool
	// And one whose processes count machines alone, and know nothing of zones and regions.
	ignoresDomains bool
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
func New(o Options) *Cluster {
	c := &Cluster{
		Options:     o,
		Now:         time.Hour,
		rng:         rand.New(rand.NewPCG(o.Seed, 1)),
		partitions:  map[[2]string]bool{},
		slowLinks:   map[[2]string]time.Duration{},
		configs:     map[uint64]string{},
		memberships: newMembershipHistory(),
	}
	if c.Latency == 0 {
		c.Latency = 2 * time.Millisecond
	}
	if c.SyncTime == 0 {
		c.SyncTime = 5 * time.Millisecond
	}
	for z := range o.Zones {
		for i := range o.ReplicasPerZone + o.GatewaysPerZone {
			m := &Machine{Name: fmt.Sprintf("z%d-%d", z+1, i+1), hasDisk: i < o.ReplicasPerZone, cluster: c,
				syncTime: c.SyncTime,
				node:     message.Node{Addr: fmt.Sprintf("10.%d.0.%d:7", z+1, i+1), Zone: fmt.Sprintf("z%d", z+1)}}
			c.Machines = append(c.Machines, m)
			if i == 0 && len(c.seeds) < 3 {
				c.seeds = append(c.seeds, m.node.Addr)
			}
		}
	}
	slices.Sort(c.seeds)
	return c
}

// tolerance is what every process is told of what may be lost at once.
func (c *Cluster) tolerance() replica.FaultTolerance {
	if c.ignoresDomains {
		return replica.FaultTolerance{Machines: c.SurviveMachines}
	}
	t := replica.FaultTolerance{Machines: c.SurviveMachines, Zones: c.SurviveZones, Regions: c.SurviveRegions,
		RegionOfZone: map[string]string{}}
	for z := range c.Zones {
		t.RegionOfZone[fmt.Sprintf("z%d", z+1)] = fmt.Sprintf("r%d", z/max(1, c.ZonesPerRegion)+1)
	}
	return t
}

func (c *Cluster) schedule(after time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.Now + after, c.seq, do})
}

// Run plays for a time.
func (c *Cluster) Run(d time.Duration) {
	c.Until(func() bool { return false }, d)
}

// Until plays until a condition holds, and reports false if it does not within the limit.
func (c *Cluster) Until(done func() bool, limit time.Duration) bool {
	end := c.Now + limit
	for len(c.events) > 0 && c.events[0].at <= end {
		if done() {
			return true
		}
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = end
	return done()
}

// Violations returns the promises that were broken so far.
func (c *Cluster) Violations() []string { return c.violations }

func (c *Cluster) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.Now)+fmt.Sprintf(format, args...))
}

// Machine returns a machine.
func (c *Cluster) Machine(name string) *Machine {
	for _, m := range c.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// At returns the machine of an address.
func (c *Cluster) At(addr string) *Machine {
	for _, m := range c.Machines {
		if m.node.Addr == addr {
			return m
		}
	}
	return nil
}

// Replicas returns the machines with a disk.
func (c *Cluster) Replicas() []*Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(m *Machine) bool { return !m.hasDisk })
}

// StartAll starts every machine, all but at once.
func (c *Cluster) StartAll() {
	for _, m := range c.Machines {
		c.schedule(time.Duration(c.rng.IntN(200))*time.Millisecond, m.Start)
	}
}

// Cut cuts what two machines say to each other; Heal ends that.
func (c *Cluster) Cut(a, b *Machine, cut bool) {
	c.partitions[[2]string{a.node.Addr, b.node.Addr}] = cut
	c.partitions[[2]string{b.node.Addr, a.node.Addr}] = cut
}

// CutOneWay cuts what one machine says to another.
func (c *Cluster) CutOneWay(from, to *Machine, cut bool) {
	c.partitions[[2]string{from.node.Addr, to.node.Addr}] = cut
}

// Isolate cuts a machine off from the others with a disk.
func (c *Cluster) Isolate(m *Machine, cut bool) {
	for _, other := range c.Replicas() {
		if other != m {
			c.Cut(m, other, cut)
		}
	}
}

// SlowOneWay has what one machine says to another take longer by so much: it waits in some buffer.
func (c *Cluster) SlowOneWay(from, to *Machine, d time.Duration) {
	c.slowLinks[[2]string{from.node.Addr, to.node.Addr}] = d
}

// HealAll ends all cuts and slow links.
func (c *Cluster) HealAll() {
	clear(c.partitions)
	clear(c.slowLinks)
}

// Start starts a machine's process.
func (m *Machine) Start() {
	if m.up || m.removed {
		return
	}
	m.up, m.frozen = true, false
	m.starts++
	m.version, m.config, m.endpoints, m.nodes, m.epoch = 0, "", nil, 0, 0
	m.diskBusyUntil = 0
	m.cluster.incarnations++
	m.incarnation = 1<<61 + m.cluster.incarnations // as long as the program's numbers are
	o := node.Options{Self: m.node, Seeds: m.cluster.seeds, Tolerance: m.cluster.tolerance(),
		FirstStart:  !m.startedBefore,
		Incarnation: m.incarnation, Actions: &actions{m, m.starts},
		Limits: func(string) ratelimit.Limits { return ratelimit.Limits{} }}
	m.startedBefore = true
	if m.hasDisk {
		r := m.stored
		o.Saved = &r
	}
	m.controlNode = node.New(m.cluster.Now, o)
	m.scheduleTick(0)
	m.scheduleDiscovery(m.starts)
}

// Kill ends a machine's process. What is on its disk stays.
func (m *Machine) Kill() { m.up, m.controlNode, m.delayed = false, nil, nil }

// WipeDisk takes what is on the disk of a machine that is down.
func (m *Machine) WipeDisk() { m.stored = replica.PersistentState{} }

// Freeze has a machine stand still; Thaw lets it go on, with what came meanwhile.
func (m *Machine) Freeze() { m.frozen = true }

// Thaw lets a frozen machine go on.
func (m *Machine) Thaw() {
	m.frozen = false
	held := m.delayed
	m.delayed = nil
	for _, f := range held {
		f()
	}
	m.scheduleTick(0)
}

// SetSyncTime sets how long a disk takes; Fill has it refuse writes.
func (m *Machine) SetSyncTime(d time.Duration) { m.syncTime = d }

// FillDisk has a disk refuse writes, or take them again.
func (m *Machine) FillDisk(full bool) { m.diskFull = full }

// HangDisk has a disk do nothing of what it is asked to, or go on with it.
func (m *Machine) HangDisk(hangs bool) {
	m.diskHangs = hangs
	for len(m.hangingSaves) > 0 && !hangs {
		m.hangingSaves[0]()
		m.hangingSaves = m.hangingSaves[1:]
	}
}

// Replica returns the machine's frame; nil without a disk, or while it is down.
func (m *Machine) Replica() *replica.Replica {
	if !m.up {
		return nil
	}
	return m.controlNode.Replica()
}

// Up reports whether a machine's process runs.
func (m *Machine) Up() bool { return m.up }

// Addr is the machine's address.
func (m *Machine) Addr() string { return m.node.Addr }

// Version is that of the configuration in force.
func (m *Machine) Version() uint64 { return m.version }

// Endpoints is the list of servers that the machine goes by.
func (m *Machine) Endpoints() []message.Endpoint { return m.endpoints }

// Nodes is how many machines hold leases, as far as this one knows.
func (m *Machine) Nodes() int { return m.nodes }

// act does something on the machine in a life of it, once it runs.
func (m *Machine) act(life int, f func()) {
	switch {
	case !m.up || m.starts != life:
	case m.frozen:
		m.delayed = append(m.delayed, func() { m.act(life, f) })
	default:
		m.cluster.run(m.node.Addr, f)
		if m.up && m.starts == life {
			m.scheduleTick(0)
		}
	}
}

// run has the machine at an address do something, under the eyes of the probe.
func (c *Cluster) run(addr string, do func()) {
	if c.Probe == nil {
		do()
		return
	}
	c.Probe.Run(addr, do)
}

// scheduleTick has the machine look after what is due, at once and then when it wants.
func (m *Machine) scheduleTick(after time.Duration) {
	m.tickID++
	tick, life := m.tickID, m.starts
	m.cluster.schedule(after, func() {
		if !m.up || m.starts != life || m.tickID != tick || m.frozen {
			return
		}
		var next time.Duration
		m.cluster.run(m.node.Addr, func() { next = m.controlNode.Tick(m.cluster.Now) })
		if m.tickID == tick {
			m.scheduleTick(max(next-m.cluster.Now, time.Millisecond))
		}
	})
}

// scheduleDiscovery reads the platform's list whenever that is the machine's duty.
func (m *Machine) scheduleDiscovery(life int) {
	m.cluster.schedule(500*time.Millisecond, func() {
		if !m.up || m.starts != life {
			return
		}
		m.act(life, func() {
			if epoch, ok := m.controlNode.HoldsRole(m.cluster.Now, replica.EndpointReader); ok &&
				!m.cluster.PlatformDown {
				list := slices.Clone(m.cluster.Servers)
				m.cluster.schedule(m.cluster.ReadTime, func() {
					m.act(life, func() {
						if m.cluster.lateToken {
							epoch, _ = m.controlNode.HoldsRole(m.cluster.Now, replica.EndpointReader)
						}
						m.controlNode.SetEndpoints(m.cluster.Now, epoch, list)
					})
				})
			}
		})
		m.scheduleDiscovery(life)
	})
}

// Call is a call of the operator.
type Call struct {
	Read         bool   // it asks for the newest; otherwise it sends a configuration
	Version      uint64 // that was sent, or read
	Text         string
	Acknowledged bool // or read
	Conflict     bool // it was refused: another text stands under the number
	Ended        bool
	StartedAt    time.Duration
	EndedAt      time.Duration // when it ended
}

func (c *Cluster) begin(m *Machine, call *Call) *Call {
	call.StartedAt = c.Now
	c.Calls = append(c.Calls, call)
	if !m.up {
		call.Ended, call.EndedAt = true, c.Now
	}
	return call
}

// PutVersion sends a configuration to a machine, which answers or not. Its text is the same for each number.
func (c *Cluster) PutVersion(m *Machine, version uint64) *Call {
	if c.ConfigOf != nil {
		return c.Put(m, version, string(c.ConfigOf(version)))
	}
	return c.Put(m, version, fmt.Sprintf("r%d", version))
}

// Put sends a configuration with a text of its own.
func (c *Cluster) Put(m *Machine, version uint64, text string) *Call {
	call := c.begin(m, &Call{Version: version, Text: text})
	if call.Ended {
		return call
	}
	m.act(m.starts, func() {
		if c.answersAlone && version <= m.version {
			call.Ended, call.EndedAt, call.Acknowledged = true, c.Now, true
			return
		}
		m.controlNode.Put(c.Now, version, []byte(text), func(_ uint64, err error) {
			var conflict *client.ConflictError
			call.Ended, call.EndedAt = true, c.Now
			call.Acknowledged, call.Conflict = err == nil, errors.As(err, &conflict)
			if call.Acknowledged {
				c.acknowledged = max(c.acknowledged, version)
			}
		})
	})
	return call
}

// PutUntilAcknowledged sends a configuration to one machine after another until it is acknowledged, as
// operators do, and returns how long that took; ok is false if it was not within the limit.
func (c *Cluster) PutUntilAcknowledged(first *Machine, version uint64,
	limit time.Duration) (took time.Duration, ok bool) {
	began := c.Now
	for at := slices.Index(c.Machines, first); c.Now < began+limit; at++ {
		m := c.Machines[at%len(c.Machines)]
		call := c.PutVersion(m, version)
		c.Until(func() bool { return call.Ended || !m.up }, time.Second)
		if call.Acknowledged {
			return c.Now - began, true
		}
		if !m.up { // the connection is refused: the next one at once, but not for nothing
			c.Run(10 * time.Millisecond)
		}
	}
	return limit, false
}

// Read asks a machine for the newest configuration. One that is older than what was acknowledged before the
// question is a broken promise.
func (c *Cluster) Read(m *Machine) *Call {
	call := c.begin(m, &Call{Read: true})
	if call.Ended {
		return call
	}
	before := c.acknowledged
	m.act(m.starts, func() {
		if c.answersAlone {
			call.Ended, call.EndedAt, call.Acknowledged, call.Version, call.Text = true, c.Now, true, m.version,
				m.config
			return
		}
		m.controlNode.Read(c.Now, func(version uint64, config []byte, err error) {
			call.Ended, call.Acknowledged, call.EndedAt = true, err == nil && config != nil, c.Now
			call.Version, call.Text = version, string(config)
			if !call.Acknowledged {
				return
			}
			if call.Version < before {
				c.violate("%s reads r%d after r%d was acknowledged", m.Name, call.Version, before)
			}
		})
	})
	return call
}

// Converged reports whether every machine that runs goes by a version.
func (c *Cluster) Converged(version uint64) bool {
	return !slices.ContainsFunc(c.Machines, func(m *Machine) bool { return m.up && m.version != version })
}

// Chain returns the machines of the view that serves, as those in service see it; nil: none is.
func (c *Cluster) Chain() []string {
	for _, m := range c.Replicas() {
		if m.up && !m.frozen && m.controlNode.Replica().ServingWithQuorum() {
			_, chain := m.controlNode.Replica().View()
			return chain
		}
	}
	return nil
}

// actions is what an office sees of the rehearsal.
type actions struct {
	m      *Machine
	starts int
}

func (a *actions) Send(to string, m *message.Message) {
	x := a.m.cluster
	from := a.m.node.Addr
	if x.Observe != nil {
		x.Observe(a.m, to, m)
	}
	if to == from && x.Tamper == nil { // as in the program: not copied
		x.schedule(0, func() { a.m.act(a.starts, func() { a.m.controlNode.Step(x.Now, from, m) }) })
		return
	}
	b := message.MarshalAppend(nil, m)
	x.Messages, x.Bytes = x.Messages+1, x.Bytes+len(b)
	if x.Probe != nil {
		x.Probe.Sent(from, to, m, len(b))
	}
	if x.partitions[[2]string{from, to}] {
		return
	}
	copied := new(message.Message)
	var err error
	x.run(to, func() { err = message.Unmarshal(b, copied) })
	if err != nil {
		x.violate("%s sent what can't be read: %v", a.m.Name, err)
		return
	}
	all := []Delivery{{To: to, Message: copied}}
	if x.Network != nil && to != from {
		all = x.Network(from, to, copied)
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
func (c *Cluster) deliver(from string, d Delivery) {
	delay := c.Latency/3 + time.Duration(c.rng.Int64N(int64(c.Latency)*2/3)) +
		c.slowLinks[[2]string{from, d.To}]
	c.schedule(d.After+delay, func() {
		for _, m := range c.Machines {
			if m.node.Addr != d.To || !m.up || c.partitions[[2]string{from, d.To}] {
				continue
			}
			came := clone(d.Message)
			if c.Tamper != nil {
				c.Tamper(m, came)
			}
			m.act(m.starts, func() { m.controlNode.Step(c.Now, from, came) })
		}
	})
}

func (a *actions) Save(token uint64, r replica.PersistentState) {
	m := a.m
	m.diskBusyUntil = max(m.diskBusyUntil, m.cluster.Now) + m.syncTime
	done := func() {
		if !m.up || m.starts != a.starts {
			return
		}
		ok := !m.diskFull
		if ok {
			if m.stored = r; m.cluster.Spoil != nil {
				m.cluster.Spoil(m, &m.stored)
			}
			m.cluster.checkMemberships(m, &m.stored)
		}
		m.act(a.starts, func() { m.controlNode.HandleSaved(m.cluster.Now, token, ok) })
	}
	m.cluster.schedule(m.diskBusyUntil-m.cluster.Now, func() {
		if m.diskHangs {
			m.hangingSaves = append(m.hangingSaves, done)
			return
		}
		done()
	})
}

func (a *actions) Log(e events.Event, pairs ...any) {
	if x := a.m.cluster; x.Trace != nil {
		x.Trace(fmt.Sprintln(x.Now-time.Hour, a.m.Name, e.Text, pairs))
	}
}

func (a *actions) ApplyConfig(version uint64, config []byte) {
	m := a.m
	if version <= m.version {
		m.cluster.violate("%s went from r%d back to r%d", m.Name, m.version, version)
	}
	if text, known := m.cluster.configs[version]; known && text != string(config) {
		m.cluster.violate("%s: r%d has two contents", m.Name, version)
	}
	m.cluster.configs[version] = string(config)
	m.version, m.config = version, string(config)
	for _, c := range m.cluster.Calls {
		if c.Acknowledged && !c.Read && c.Version > version && c.EndedAt < m.cluster.Now-MaxStaleInForce {
			m.cluster.violate("%s takes r%d, r%d was acknowledged %v ago", m.Name, version, c.Version,
				m.cluster.Now-c.EndedAt)
			break
		}
	}
}

func (a *actions) SetEndpoints(list []message.Endpoint) { a.m.endpoints = list }

func (a *actions) SetNodes(list []message.Node) { a.m.nodes = len(list) }

func (a *actions) SetView(epoch uint64, _ []string) { a.m.epoch = epoch }
