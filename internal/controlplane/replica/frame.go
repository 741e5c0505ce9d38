// Package frame is the main distributing frame of the exchange: the control state that the machines with a
// disk hold together. They form a chain, entered at the head and answered from the tail; which of them do,
// and in which order, is a view under an epoch that a majority agrees on, one view at a time. There is no log
// and no leader.
//
// A Frame is one machine's part. It knows no sockets, disks or clocks: it is told what came, what was saved
// and what time it is, and acts through Actions. Its methods must not be called concurrently.
package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Tuned times, each with its reason.
const (
	beatEvery   = 150 * time.Millisecond  // four in the time after which silence counts
	membersEach = 5                       // beats to one that tells of members: leases last for four of those
	deadAfter   = 650 * time.Millisecond  // some lost packets and a slow turn are no death
	settleWait  = 200 * time.Millisecond  // a wish for another view must last so long
	rejoinAfter = 800 * time.Millisecond  // and one that came back be heard so long: flapping links
	roundWait   = 700 * time.Millisecond  // for a phase of a proposal: two syncs of a slow disk
	askAgain    = 120 * time.Millisecond  // those that have not answered a phase
	slowSave    = 900 * time.Millisecond  // a save under way for so long makes the disk ill
	healthyFor  = 1000 * time.Millisecond // and it is well again so long after the last such one
	deafFor     = 2 * time.Second         // for a machine that is heard and doesn't answer: within sync_s
	soundWait   = 450 * time.Millisecond  // for a machine of the chain to serve in its view
	resendEvery = 300 * time.Millisecond  // of what goes down the chain
	mendTime    = 500 * time.Millisecond  // that a change of the view may take before others are asked
	leaseTime   = 3 * time.Second         // of a member: three polls
	unreadFor   = 2 * time.Second         // without a reading, the list that there is goes on
	foundQuiet  = 400 * time.Millisecond  // without a new machine, before the first start
	seedWait    = 1500 * time.Millisecond // for a seed that may be starting yet
	foundFew    = 5 * time.Second         // and then with fewer than survive asks for: quiet_s + confirm_s is 7
	lackFor     = 30 * time.Second        // that the members can't bear what survive names, before it is told
	mostPuts    = 64                      // that wait for the head
)

// Record is what a machine keeps on its disk.
type Record struct {
	Whole    bool              // it has all that was acknowledged, and may vote
	ID       uint64            // of this store, made with it: with the address, it is who this machine is
	Registry []message.Machine // the members of the core, in the order of their addresses
	// Generation is the epoch of the view that installed the registry; 0: the first start did.
	Generation uint64
	Former     []message.Machine // the registry before, until the change is known to be complete
	// Removed are the members that staff have removed last, with the ids that they had. They go with Registry.
	Removed  []message.Machine
	Barred   bool     // of a machine that was: it is no newcomer until staff add it
	Promised uint64   // no view below this epoch gets anything from here
	Epoch    uint64   // of the view installed last
	Chain    []string // and its machines
	Content
	Founding Founding // of a seed, at the first start
}

// Actions are what a Frame does. They must not call it back.
type Actions interface {
	// Send sends a message, or loses it.
	Send(to string, m *message.Message)
	// Save writes a record and syncs it, and then calls Saved with the token. Saves are done in order.
	Save(token uint64, r Record)
	// Log writes an event.
	Log(e events.Event, pairs ...any)
}

// State is what a Frame is in.
type State int

// The states of a Frame.
const (
	Blank      State = iota // it knows no core, or has lost its disk: it waits to be founded or mended
	Aside                   // it is of the core, and in no view that serves
	Proposing               // it has asked for promises
	Installing              // it has handed out a view
	InService               // it is in the view that serves
)

func (s State) String() string {
	return [...]string{"blank", "aside", "proposing", "installing", "in-service"}[s]
}

// Options are what New needs.
type Options struct {
	Self    message.Machine
	Survive Tolerance
	// LostAfter is for how long a member must be silent before another machine takes its place.
	LostAfter time.Duration
	Life      uint64 // a number of this life of the process: a store that is made in it gets it as its id
	First     bool   // the whole system starts for the first time
	Seeds     []string
	Disk      Record // as found; the zero Record where nothing was
	Actions   Actions
}

// Frame is one machine's part of the core.
type Frame struct {
	Options
	self  string
	now   time.Duration
	begun time.Duration
	state State
	since time.Duration // when the state began

	rec   Record // on disk
	next  Record // and as it will be when all saves under way are done
	token uint64
	saves []save
	ill   bool
	slow  time.Duration // when a save last took too long

	candidates map[string]*candidate // machines with a disk that would be members
	leaving    bool                  // this process was told to stop
	order      *order                // by hand
	retired    uint64                // how often this life has given up its membership
	borne      bool                  // what may be lost at once could be when last looked
	lacking    time.Duration         // since when the members can't, were they all well; 0: they can
	spreadAt   time.Duration         // when it is looked again whether newcomers spread the members better
	lackTold   bool                  // and that was told

	peers     map[string]*peer
	beatAt    time.Duration
	beatsSent beatTimes
	heldSince time.Duration // when the version on disk came there
	chain     []string      // of the view that serves, as far as known
	epoch     uint64
	wish      []string // for another view
	wishAt    time.Duration
	round     *round
	took      uint64 // epoch of the view installed last in this life
	floor     uint64 // epochs up to here are taken
	committed uint64

	puts   []put
	passed uint64                        // the version that was sent down the chain last
	texts  []text                        // the configurations committed last
	packs  map[[2]uint64]*message.Packed // of the one on disk, by its version and the base
	sentAt time.Duration
	asks   map[uint64]*ask
	askSeq uint64

	list     message.List
	polls    map[string]poll
	answered map[string]answered // the last answer to each who asked for news
	members  map[string]member
	roster   uint64
	freshAt  time.Duration // when it last served
	gathers  time.Duration // since when it does, but for changes of the view
	served   bool          // it has served in this view
	keep     keep

	snapshots snapshots
}

// text is a configuration.
type text struct {
	version uint64
	text    []byte
}

type save struct {
	token uint64
	begun time.Duration
	rec   Record
	then  func()
}

type peer struct {
	heard, first     time.Duration // the last beat, and the first of the unbroken row
	contact          time.Duration // when it last said what it is in, by this machine's clock; 0: not known
	leased           time.Duration // when this machine sent the beat that the last one of the peer answers
	left             uint64        // epoch of the view in which it has heard this machine
	quietIn          uint64        // epoch under which it said that none outside the chain has a lease of it
	beat             uint64        // its last beat
	beatCame         time.Duration
	well             time.Duration // the last one of a machine that could be counted on
	along            time.Duration // when it was last in service in the same view
	whole, ill       bool
	leaving, joint   bool
	id               uint64
	misses           []string      // members that it does not hear
	deaf             time.Duration // until then it is not asked for promises: it has answered none
	epoch            uint64
	generation       uint64
	listEpoch, listN uint64
}

// New returns a Frame.
func New(now time.Duration, o Options) *Frame {
	f := &Frame{Options: o, self: o.Self.Addr, now: now, begun: now, rec: o.Disk, next: o.Disk,
		peers: map[string]*peer{},
		asks:  map[uint64]*ask{}, polls: map[string]poll{}, answered: map[string]answered{},
		members:    map[string]member{},
		candidates: map[string]*candidate{}, packs: map[[2]uint64]*message.Packed{}, beatAt: now,
		slow: -healthyFor, borne: o.Survive.none(), epoch: o.Disk.Epoch, chain: o.Disk.Chain, wishAt: now,
		beatsSent: beatTimes{number: o.Life % (1 << 28) << 20}}
	f.rec.Content, f.next.Content = o.Disk.known(), o.Disk.known()
	f.identify()
	switch {
	case o.Disk.Whole:
		f.become(Aside)
	default:
		f.become(Blank)
		if !o.First {
			o.Actions.Log(events.DiskLost)
		}
	}
	return f
}

// become is the one place where the state changes.
func (f *Frame) become(s State) {
	if s == f.state && f.now == f.since {
		return
	}
	if s != f.state {
		f.Actions.Log(events.FrameState, "from", f.state.String(), "to", s.String(), "epoch", f.epoch)
	}
	f.state, f.since = s, f.now
	if s != Proposing && s != Installing {
		f.round = nil
	}
	if s != InService {
		f.served = false
		for i := range f.puts {
			f.puts[i].rides = false
		}
	}
}

// Blank reports whether this machine is no member of the core, and would be one.
func (f *Frame) Blank() bool {
	return f.state == Blank && !f.leaving && f.rec.ID != 0 && f.rec.ID == f.next.ID
}

// Founding returns what is kept of the first start.
func (f *Frame) Founding() Founding { return f.next.Founding }

// Record returns what is on disk.
func (f *Frame) Record() Record { return f.rec }

// State returns what the frame is in.
func (f *Frame) State() State { return f.state }

// Sick reports whether the disk can't be counted on.
func (f *Frame) Sick() bool { return f.sick() }

// Heard returns the machines of the core that are heard now, this one among them.
func (f *Frame) Heard() (list []string) {
	for _, m := range f.rec.Registry {
		if p := f.peers[m.Addr]; m.Addr == f.self || p != nil && f.now < p.heard+deadAfter {
			list = append(list, m.Addr)
		}
	}
	return list
}

// View returns the epoch and the chain that serve, as far as known.
func (f *Frame) View() (uint64, []string) { return f.epoch, f.chain }

// save writes what the record is to be, and goes on once that is on disk.
func (f *Frame) save(then func()) {
	f.token++
	f.saves = append(f.saves, save{f.token, f.now, f.next, then})
	f.Actions.Save(f.token, f.next)
}

// Saved tells that a save is done, or has failed.
func (f *Frame) Saved(now time.Duration, token uint64, ok bool) {
	f.now = now
	if len(f.saves) == 0 || f.saves[0].token != token {
		return
	}
	s := f.saves[0]
	f.saves = f.saves[1:]
	if now-s.begun > slowSave {
		f.slow = now
	}
	if !ok {
		// What it would have led to does not happen. The record to come keeps it, for the next try.
		if !f.ill {
			f.Actions.Log(events.DiskFailing)
		}
		f.ill, f.slow = true, now
		return
	}
	if f.ill {
		f.Actions.Log(events.DiskWell)
	}
	if s.rec.Version != f.rec.Version {
		f.heldSince = now
	}
	f.ill, f.rec = false, s.rec
	if s.then != nil {
		s.then()
	}
}

// sick reports whether the disk can't be counted on.
func (f *Frame) sick() bool {
	return f.ill || f.now < f.slow+healthyFor || len(f.saves) > 0 && f.now > f.saves[0].begun+slowSave
}

// majority is how many machines of the core agree for all.
func (f *Frame) majority() int { return majority(f.rec.Registry) }

// ofCore reports whether an address is a member's, or was before a change that is not complete.
func (f *Frame) ofCore(addr string) bool { return at(f.rec.Registry, addr) || at(f.rec.Former, addr) }

// live reports whether a machine of the core is heard, and can hold what it is given.
func (f *Frame) live(addr string) bool {
	if addr == f.self {
		return !f.sick()
	}
	p := f.peers[addr]
	return p != nil && f.now < p.heard+deadAfter && !p.ill
}

// Fresh reports whether this machine is in service, and a majority was with it a moment ago: since any later
// view needs the promises of a majority, none was in service before then, and what this one tells is not
// older than contactFor.
func (f *Frame) Fresh() bool {
	if f.state != InService {
		return false
	}
	return quorate(func(m message.Machine) bool {
		return f.is(m) && (m.Addr == f.self || f.inTouch(f.peers[m.Addr]))
	}, f.next.voters()...)
}

// Handle takes a message.
func (f *Frame) Handle(now time.Duration, from string, m *message.Message) {
	f.now = now
	switch m.Kind {
	case message.Roll, message.Notice:
		f.told(m)
	case message.Reform:
		f.reform(from, m)
	case message.Learn:
		f.learn(from, m)
	case message.Learned:
		f.learned(from, m)
	case message.Beat:
		f.beaten(from, m)
	case message.Prepare:
		f.prepare(from, m)
	case message.Promise:
		f.promised(from, m)
	case message.Refuse:
		f.refused(m)
	case message.Install:
		f.install(from, m)
	case message.Installed:
		f.installed(from, m)
	case message.Active:
		f.activate(m)
	case message.Put:
		f.put(from, m)
	case message.Relay:
		f.relayed(from, m)
	case message.Done:
		f.done(m)
	case message.Read:
		f.read(from, m)
	case message.Confirm:
		// Not what this machine serves, but what it has promised: no later view can be in service unless a
		// majority has promised its epoch.
		ok := f.rec.Whole && f.next.Whole && f.next.Promised == m.Epoch
		f.Actions.Send(from, &message.Message{Kind: message.Confirmed, Life: m.Life, Call: m.Call, Epoch: m.Epoch,
			OK: ok})
	case message.Confirmed:
		f.confirmed(from, m)
	case message.Poll:
		f.poll(from, m)
	case message.Lineup:
		f.lineup(m)
	}
}

// KeepFounding saves what a founder is to keep, and goes on once that is on disk.
func (f *Frame) KeepFounding(now time.Duration, k Founding, then func()) {
	f.now = now
	f.next.Founding = k
	f.save(then)
}

// Tick does what is due. It is to be called every 50 ms or so.
func (f *Frame) Tick(now time.Duration) {
	f.now = now
	if f.ill && len(f.saves) == 0 && now >= f.slow+healthyFor/2 {
		f.slow = now
		f.save(nil)
	}
	if now >= f.beatAt {
		f.beatAt = now + beatEvery
		f.beat()
	}
	f.expire()
	f.consider()
	f.watch()
	f.resend()
	f.answerPolls()
}

// beat tells the others of the core how this machine is.
func (f *Frame) beat() {
	m := message.Message{Kind: message.Beat, OK: f.rec.Whole && f.next.Whole, Ill: f.sick() || !f.hears(),
		ID: f.rec.ID, Generation: f.rec.Generation, Joint: len(f.rec.Former) > 0, Leaving: f.leaving,
		Misses: f.misses(), Beat: f.beatsSent.next(f.now),
		List: &message.List{Epoch: f.list.Epoch, Seq: f.list.Seq}}
	if f.beatsSent.sent%membersEach == 0 {
		m.Members = f.own()
	}
	if f.state == InService {
		m.Epoch = f.epoch
		m.Version = f.committed
		m.Quiet = f.keepsQuiet(m.Beat)
	}
	for _, r := range f.concerned() {
		if r.Addr != f.self {
			f.Actions.Send(r.Addr, f.echo(r.Addr, m))
		}
	}
}

// misses returns the members that this machine does not hear. After a start it gives them time.
func (f *Frame) misses() (list []string) {
	for _, m := range f.concerned() {
		p := f.peers[m.Addr]
		if m.Addr != f.self && f.now > f.begun+deadAfter && (p == nil || f.now > p.heard+deadAfter) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// hears reports whether this machine hears a quorum, or may yet after its start. One that doesn't is of no
// use to those who hear it.
func (f *Frame) hears() bool {
	return f.now <= f.begun+deadAfter || quorate(func(m message.Machine) bool {
		return f.is(m) && (m.Addr == f.self || f.now < f.peers[m.Addr].heard+deadAfter)
	}, f.rec.voters()...)
}

func (f *Frame) beaten(from string, m *message.Message) {
	if !f.admits(from, m) {
		return
	}
	p := f.peers[from]
	if p == nil {
		p = &peer{first: f.now, well: f.now}
		f.peers[from] = p
	}
	heard := f.hears()
	p.beat, p.beatCame = m.Beat, f.now
	at, known := f.saidAt(m)
	if !known {
		at = 0
	}
	if p.id != m.ID { // what was heard is of another disk
		p.contact = 0
	}
	p.touched(m.Epoch, at)
	late := known &&
		f.now >= at+deadAfter // it has waited on its way, and tells how the peer was, not how it is
	if !late {
		if f.now > p.heard+deadAfter {
			p.first = f.now
		}
		p.heard, p.whole, p.ill = f.now, m.OK, m.Ill
		if p.id, p.misses = m.ID, m.Misses; !m.Ill {
			p.well = f.now
		}
		p.leaving, p.joint, p.generation = m.Leaving, m.Joint, m.Generation
	}
	if !heard && f.hears() {
		f.beat() // who waits for this machine need not wait for its next beat
	}
	for _, x := range m.Members {
		if known {
			x.Age += uint64((f.now - at).Milliseconds())
		}
		f.lease(x, false)
	}
	if m.List != nil {
		p.listEpoch, p.listN = m.List.Epoch, m.List.Seq
	}
	switch {
	case m.Epoch > f.epoch && f.state == InService: // it was left out: what it knows may be old
		f.epoch, f.chain = m.Epoch, nil
		f.become(Aside)
	case m.Epoch == f.epoch && f.state == InService:
		f.done(&message.Message{Epoch: m.Epoch, Version: m.Version})
	}
	if p.epoch == f.epoch && !late {
		p.along = f.now
	}
	f.leaseTold(p, m)
	if p.epoch == f.epoch && !f.served && f.Fresh() {
		f.served = true
		f.answerPolls()
	}
	if f.state == InService && m.OK && m.Epoch < f.epoch && slices.Contains(f.chain, from) {
		f.Actions.Send(from, &message.Message{Kind: message.Active, Epoch: f.epoch, Chain: f.chain,
			Version: f.committed}) // it missed the news
	}
	f.tellBehind(from, p)
}
