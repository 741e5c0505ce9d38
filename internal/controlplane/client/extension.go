// Package extension is every machine's line to the core: it finds the core by the seeds, asks one of its
// machines for news with the versions that it has, and by asking renews this machine's lease. What it holds
// only ever moves on. It knows no sockets and no clock.
package client

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Tuned times, each with its reason.
const (
	helloEvery = 200 * time.Millisecond // while nothing is known
	pollWait   = 800 * time.Millisecond // that the core may keep a question: leases last for three
	lostAfter  = 450 * time.Millisecond // and beyond, without an answer, another machine is asked
	firstAfter = 250 * time.Millisecond // for the first answer of a machine
	firstMost  = 2 * firstAfter         // the same, where answers have come later than that
	againAfter = 60 * time.Millisecond  // between questions to machines that are out of service
	pauseMost  = 250 * time.Millisecond // between questions to machines that are silent
	partTime   = firstAfter / 2         // that a part of a snapshot is to take
	homeEvery  = 3 * time.Second        // after which the nearest machine is tried again
	callEvery  = 200 * time.Millisecond // a call to the core is sent again, to who is in charge by then
	CallLimit  = 880 * time.Millisecond // for a call: operators move on after a second of silence
)

// AnswerMost is how long an answer is awaited and taken; TurnMost: until another machine than one that has
// fallen silent has answered, or has not.
const (
	AnswerMost = pollWait + lostAfter
	TurnMost   = AnswerMost + firstMost
	NextAfter  = againAfter + firstMost // the same, from the answer of one that says that it is out of touch
)

// Actions are what an Extension does. They must not call it back.
type Actions interface {
	Send(to string, m *message.Message)
	Log(e events.Event, pairs ...any)
	// Config takes a configuration that is newer than the one before.
	Config(version uint64, config []byte)
	// Servers takes the list of servers.
	Servers(list []message.Server)
	// Members takes the machines that hold leases, in an agreed order.
	Members(list []message.Machine)
	// View takes the machines in charge.
	View(epoch uint64, chain []string)
}

// State is what an Extension is in.
type State int

// The states of an Extension.
const (
	Seeking  State = iota // it knows no machine of the core
	Asking                // it has asked one, and awaits the first answer
	Attached              // it is answered by one that is in service
)

// Options are what New needs.
type Options struct {
	Self    message.Machine
	Seeds   []string // addresses for the system's own processes
	Disk    bool
	First   bool // the whole system starts for the first time
	Life    uint64
	Actions Actions
}

// Extension is one machine's line to the core.
type Extension struct {
	Options
	now        time.Duration
	state      State
	registry   []message.Machine
	generation uint64            // of the registry
	removed    []message.Machine // that go with it
	joint      bool              // the change to it is not known to be complete
	epoch      uint64
	chain      []string
	version    uint64
	config     []byte
	whole      bool // what came did not come out right: the whole is asked for
	list       *message.List
	roster     uint64

	coming transfers
	base   text   // a configuration that is held and not in force
	room   uint64 // that an answer may have for snapshots
	slow   bool   // an answer came after another machine was asked
	silent int    // machines that were asked in a row and gave no answer in time

	at      string // the machine that is asked
	call    uint64
	askedAt time.Duration
	askAt   time.Duration // when to ask next; 0: a question is out
	homeAt  time.Duration
	freshAt time.Duration
	failed  int

	heard map[string]heard // what each machine of the core answered last

	calls    map[uint64]*call
	lastCall uint64
}

// heard is the last answer of a machine to a question for news.
type heard struct {
	call uint64
	at   time.Duration
}

// text is a configuration and its number.
type text struct {
	version uint64
	config  []byte
}

// call is a Put or a Read that awaits its end.
type call struct {
	m     message.Message
	began time.Duration
	sent  time.Duration
	tries int
	done  func(*message.Message)
}

// New returns an Extension. The members of the core may be known from before, as a Roll tells them.
func New(now time.Duration, o Options, known *message.Message) *Extension {
	e := &Extension{Options: o, now: now, calls: map[uint64]*call{}, heard: map[string]heard{},
		homeAt: now, coming: transfers{}, room: message.RoomFirst}
	e.know(known)
	return e
}

// become is the one place where the state changes.
func (e *Extension) become(s State) {
	if s == e.state {
		return
	}
	if s == Attached {
		e.Actions.Log(events.Attached, "to", e.at, "epoch", e.epoch)
	} else if e.state == Attached && e.failed > 0 {
		e.Actions.Log(events.Detached, "from", e.at)
	}
	e.state = s
}

// Asks returns the host of the machine of the core that answers this one; nil: none does.
func (e *Extension) Asks() *string {
	if e.state != Attached {
		return nil
	}
	host, _, _ := strings.Cut(e.at, ":")
	return &host
}

// Registry returns the machines of the core, as far as known.
func (e *Extension) Registry() []message.Machine { return e.registry }

// Roll returns what this machine may tell others of the core; the registry is empty where it knows nothing
// for sure.
func (e *Extension) Roll() *message.Message {
	m := &message.Message{Kind: message.Roll, Generation: e.generation}
	if !e.joint {
		m.Registry, m.Removed = e.registry, e.removed
	}
	return m
}

// know takes what is said of the members. Of a change that is not known to be complete it is taken where
// nothing else is known, and not told on.
func (e *Extension) know(m *message.Message) {
	joint := len(m.Former) > 0
	if len(m.Registry) == 0 || m.Generation < e.generation || joint && len(e.registry) > 0 {
		return
	}
	e.removed = m.Removed
	if e.registry, e.joint = m.Registry, joint; !joint {
		e.generation = m.Generation
	}
	if e.state == Seeking {
		e.turn()
	}
}

// turn chooses the machine to ask: this one, then those of its zone, then the others; the next one each time.
func (e *Extension) turn() {
	order := slices.Clone(e.registry)
	rank := func(m message.Machine) int {
		switch {
		case m.Addr == e.Self.Addr:
			return 0
		case m.Zone == e.Self.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(order, func(a, b message.Machine) int { return rank(a) - rank(b) })
	e.at = order[e.failed%len(order)].Addr
	e.become(Asking)
	e.askAt = max(e.now, 1)
}

// Tick does what is due, and returns when it wants the next call at the latest.
func (e *Extension) Tick(now time.Duration) (next time.Duration) {
	e.now = now
	next = now + pollWait
	switch {
	case e.state == Seeking:
		if now >= e.askAt {
			e.Hello(0)
			e.askAt = now + helloEvery
		}
		next = e.askAt
	case e.askAt == 0 && now >= e.askedAt+e.patience():
		e.silent++
		e.room = max(e.room/4, message.RoomLeast)
		e.fail(e.pause())
	}
	if e.state == Attached && e.failed > 0 && now >= e.homeAt+homeEvery && len(e.coming) == 0 {
		e.failed, e.homeAt = 0, now
		e.turn()
	}
	if e.state != Seeking && e.askAt == 0 {
		next = min(next, e.askedAt+e.patience())
	}
	if e.state != Seeking && e.askAt != 0 {
		if now >= e.askAt {
			e.ask()
		} else {
			next = e.askAt
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.calls)) {
		c := e.calls[id]
		switch {
		case now >= c.began+CallLimit:
			delete(e.calls, id)
			c.done(nil)
		case now >= c.sent+callEvery:
			e.send(c)
		}
		next = min(next, c.sent+callEvery, c.began+CallLimit)
	}
	return next
}

// Hello tells the seeds, and the core as far as it is known, that this machine is there. One with a disk that
// would be a member tells the id of its store.
func (e *Extension) Hello(id uint64) {
	to := slices.Clone(e.Seeds)
	for _, m := range e.registry {
		to = append(to, m.Addr)
	}
	slices.Sort(to)
	for _, s := range slices.Compact(to) {
		e.Actions.Send(s, &message.Message{Kind: message.Hello, Zone: e.Self.Zone, Disk: e.Disk && id != 0,
			First: e.First, ID: id})
	}
}

// patience is how long an answer may take. A machine that is newly asked answers at once.
func (e *Extension) patience() time.Duration {
	switch {
	case e.state == Attached:
		return AnswerMost
	case e.slow:
		return firstMost
	}
	return firstAfter
}

// pause is how long to wait before the next machine is asked, when some have been silent, and late answers
// say that there is congestion: not at all after the first, and then longer each time. Many lines that fail
// at the same moment ask again at moments of their own. It stays short, since a cut that ends must be over
// for all soon after; where no answers come at all, as in a cut, there is none.
func (e *Extension) pause() time.Duration {
	if !e.slow || e.silent < 2 {
		return 0
	}
	d := min(againAfter<<min(e.silent-2, 4), pauseMost)
	return d/2 + time.Duration(mix(e.Life^e.call)%uint64(d/2))
}

// fail turns to another machine.
func (e *Extension) fail(wait time.Duration) {
	e.failed++
	if e.failed%len(e.registry) == 0 { // none of them answers: they may be members no longer
		e.Hello(0)
	}
	e.homeAt = e.now
	e.turn()
	e.askAt = e.now + max(wait, 1)
}

func (e *Extension) ask() {
	e.call++
	e.askAt, e.askedAt = 0, e.now
	m := &message.Message{
		Kind:    message.Poll,
		Call:    e.call,
		Epoch:   e.epoch,
		Version: e.version,
		Roster:  e.roster,
		Wait:    uint64(pollWait.Milliseconds()),
		Zone:    e.Self.Zone,
		Parts:   e.coming.held(),
	}
	if h, ok := e.heard[e.at]; ok { // so that it knows when this was sent: the lease counts from then
		m.Echo, m.Held = h.call, uint64((e.now - h.at).Milliseconds())
	}
	if e.room != message.RoomFirst {
		m.Room = e.room
	}
	if e.base.version > e.version {
		m.Base = e.base.version
	}
	if e.list != nil {
		m.List = &message.List{Epoch: e.list.Epoch, Seq: e.list.Seq}
	}
	if e.whole {
		m.Version, m.Base = 0, 0
	}
	if e.state != Attached {
		m.Wait = 0 // a machine that is newly asked says at once how it is
	}
	e.Actions.Send(e.at, m)
}

// Handle takes a message.
func (e *Extension) Handle(now time.Duration, from string, m *message.Message) {
	e.now = now
	switch m.Kind {
	case message.Roll, message.Notice:
		e.know(m)
	case message.News:
		// What comes later was held up on its way, or with this process and its turn to ask elsewhere: it is no
		// fresh word.
		if from == e.at && m.Call == e.call && e.askAt == 0 && now < e.askedAt+e.patience() {
			e.heard[from] = heard{m.Call, now}
			e.news(m)
		} else {
			e.late(m)
		}
	case message.Done, message.Conflict, message.Copy, message.Reformed:
		if c := e.calls[m.Call]; c != nil && slices.Contains(message.Questions[c.m.Kind], m.Kind) {
			delete(e.calls, m.Call)
			c.done(m)
		}
	case message.Refuse:
		if c := e.calls[m.Call]; c != nil && m.Epoch > e.epoch && len(m.Chain) > 0 {
			e.view(m.Epoch, m.Chain)
			e.send(c)
		}
	}
}

func (e *Extension) view(epoch uint64, chain []string) {
	e.epoch, e.chain = epoch, chain
	e.Actions.View(epoch, chain)
}

// news takes an answer, and asks for more.
func (e *Extension) news(m *message.Message) {
	e.silent = 0
	if !m.OK { // it is out of service, or cut off: what it says may be old
		e.fail(againAfter)
		return
	}
	if e.state != Attached {
		e.slow = e.now >= e.askedAt+firstAfter
	}
	e.become(Attached)
	if m.Epoch > e.epoch {
		e.know(m)
		e.view(m.Epoch, m.Chain)
	}
	e.take(m)
	e.parts(m.Parts)
	e.ask()
}

// take takes what is the newest of some tables.
func (e *Extension) take(m *message.Message) {
	if m.Version > e.version && m.Config != nil {
		config, err := e.unpack(m)
		if e.whole = err != nil; e.whole {
			e.Actions.Log(events.ChangeBad, "version", m.Version, "error", err.Error())
		} else {
			e.version, e.config = m.Version, config
			e.Actions.Config(m.Version, config)
		}
	}
	if e.base.version <= e.version {
		e.base = text{}
	}
	if l := m.List; l != nil && (e.list == nil || l.Epoch > e.list.Epoch ||
		l.Epoch == e.list.Epoch && l.Seq > e.list.Seq) {
		e.list = l
		e.Actions.Servers(l.Servers)
	}
	if m.Roster != 0 && m.Roster != e.roster {
		e.roster = m.Roster
		e.Actions.Members(m.Members)
	}
}

// unpack returns a configuration, which may be a change of the one in force or of the one that is held.
func (e *Extension) unpack(m *message.Message) ([]byte, error) {
	base := text{e.version, e.config}
	if m.Config.Base != base.version && m.Config.Base == e.base.version {
		base = e.base
	}
	return m.Config.Unpack(base.version, base.config)
}

// parts takes what an answer to the present question brings of snapshots. Each that the answer names as the
// newest, and that is whole by now, comes into force. What it doesn't name is of no use any more.
func (e *Extension) parts(list []message.Part) {
	named := transfers{}
	bytes := 0
	for i := range list {
		p := &list[i]
		bytes += len(p.Bytes)
		t := e.coming.merge(p, false)
		switch {
		case t == nil:
		case !t.whole():
			named[p.Table] = t
		case p.Stale:
			e.keep(t)
		default:
			if m, ok := t.open(); ok {
				e.take(m)
			}
		}
	}
	e.coming = named
	if len(named) == 0 {
		e.room = message.RoomFirst
		return
	}
	// As much as comes in that time at the rate of this answer, which counts the wait for it, too.
	rate := uint64(bytes) * uint64(partTime) / uint64(max(e.now-e.askedAt, time.Millisecond))
	e.room = min(max(e.room, rate), message.RoomMost)
}

// late takes what an answer to an earlier question brings: bytes, and not a word of what is newest, or of
// who is in service.
func (e *Extension) late(m *message.Message) {
	e.slow = true
	for i := range m.Parts {
		p := &m.Parts[i]
		if t := e.coming.merge(p, true); t != nil && t.whole() && p.Table == message.ConfigTable {
			e.keep(t)
			delete(e.coming, p.Table)
		}
	}
}

// keep keeps a configuration that is whole and may be old, as the base of changes: the next answer tells what
// is newer, or that nothing is, in a few bytes, and that puts it in force.
func (e *Extension) keep(t *transfer) {
	m, ok := t.open()
	if !ok || m.Config == nil || m.Version <= max(e.version, e.base.version) {
		return
	}
	if config, err := e.unpack(m); err == nil {
		e.base = text{m.Version, config}
	}
}

// Put hands a configuration to the core. done gets the answer, or nil when there was none in time.
func (e *Extension) Put(now time.Duration, version uint64, config []byte, done func(*message.Message)) {
	e.begin(
		now,
		message.Message{Kind: message.Put, Version: version, Config: message.Pack(config, 0, nil)},
		done,
	)
}

// Reform has the core change its members, or tell them. done gets the answer, or nil when there was none in
// time.
func (e *Extension) Reform(now time.Duration, add, remove string, done func(*message.Message)) {
	e.begin(now, message.Message{Kind: message.Reform, Add: add, Remove: remove}, done)
}

// Read asks the core for the newest configuration. done gets it, or nil when there was no clear answer.
func (e *Extension) Read(now time.Duration, done func(version uint64, config []byte)) {
	have, text := e.version, e.config
	e.begin(now, message.Message{Kind: message.Read, Version: have}, func(m *message.Message) {
		switch {
		case m == nil:
			done(0, nil)
		case m.Config == nil:
			done(have, text)
		default:
			config, err := m.Config.Unpack(have, text)
			if err != nil {
				done(0, nil)
				return
			}
			done(m.Version, config)
		}
	})
}

func (e *Extension) begin(now time.Duration, m message.Message, done func(*message.Message)) {
	e.now = now
	e.lastCall++
	m.Call = e.lastCall
	c := &call{m: m, began: now, done: done}
	e.calls[m.Call] = c
	e.send(c)
}

// send sends a call to who is in charge: puts to the head, reads to the tail; and where nobody is known, to
// one machine of the core after the other.
func (e *Extension) send(c *call) {
	c.sent = e.now
	c.tries++
	to := ""
	switch {
	case len(e.chain) > 0 && c.tries%3 != 0:
		if to = e.chain[0]; c.m.Kind == message.Read {
			to = e.chain[len(e.chain)-1]
		}
	case len(e.registry) > 0:
		to = e.registry[c.tries%len(e.registry)].Addr
	}
	if to != "" {
		m := c.m
		e.Actions.Send(to, &m)
	}
}
