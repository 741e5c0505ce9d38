// Package office is the central office: all that one process does for control, put together. It is pure, and
// is driven by one goroutine, or by the in-memory fleet of the tests.
package node

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/events"
	"dunespoke/internal/ratelimit"
)

// Actions are what an Office does. They must not call it back.
type Actions interface {
	client.Actions
	Save(token uint64, r replica.PersistentState)
}

// Options are what New needs.
type Options struct {
	Self      message.Node
	Seeds     []string               // addresses for the system's own processes
	Tolerance replica.FaultTolerance // of the machines with a disk
	// ReplaceAfter is for how long a machine of the core must be silent before another takes its place; 0: two
	// seconds.
	ReplaceAfter time.Duration
	FirstStart   bool // the whole system starts for the first time
	Saved        *replica.PersistentState
	Incarnation  uint64 // of the process: no other has or had it
	Actions      Actions
	Limits       func(tenant string) ratelimit.Limits
}

// Node is one process's part in control.
type Node struct {
	options        Options
	replica        *replica.Replica // nil without a disk
	client         *client.Client
	bootstrapper   *replica.Bootstrapper // at seeds, until they are started again without anything kept
	allocator      *ratelimit.Allocator
	allocating     bool
	nextAnnounce   time.Duration // when a machine that is of no core yet says so again
	nextSeedUpdate time.Duration // and when one of the core tells the seeds
	now            time.Duration
}

// requestStamper has every question of this process say its life, and a machine that staff have removed that
// it was.
type requestStamper struct {
	Actions
	node *Node
}

func (a requestStamper) Send(to string, m *message.Message) {
	if m.IsRequest() {
		m.Incarnation = a.node.options.Incarnation
	}
	if m.Type == message.TypeAnnounce && a.node.replica != nil {
		m.RemovedByOperator = a.node.replica.PersistentState().RemovedByOperator
	}
	a.Actions.Send(to, m)
}

// nodesObserver passes an extension's actions on, and takes the members for the desk.
type nodesObserver struct {
	Actions
	node *Node
}

func (w nodesObserver) Members(list []message.Node) {
	w.node.allocator.SetNodes(w.node.now, list)
	w.Actions.Members(list)
}

// New returns an Office.
func New(now time.Duration, o Options) *Node {
	f := &Node{now: now, allocator: ratelimit.NewAllocator(o.Limits)}
	o.Actions = requestStamper{o.Actions, f}
	o.Seeds = slices.Sorted(slices.Values(o.Seeds))
	f.options = o
	known := &message.Message{}
	if o.Saved != nil {
		f.replica = replica.New(
			now,
			replica.Options{
				Self:         o.Self,
				Tolerance:    o.Tolerance,
				ReplaceAfter: o.ReplaceAfter,
				Incarnation:  o.Incarnation,
				FirstStart:   o.FirstStart,
				Seeds:        o.Seeds,
				Saved:        *o.Saved,
				Actions:      o.Actions,
			},
		)
		known = f.replica.MemberList()
	}
	f.newBootstrapper(now)
	f.client = client.New(now, client.Options{Self: o.Self, Seeds: o.Seeds, HasDisk: o.Saved != nil,
		FirstStart: f.firstStart(), Incarnation: o.Incarnation, Actions: nodesObserver{o.Actions, f}}, known)
	return f
}

// firstStart reports whether the whole system starts for the first time: by the settings, or by what the disk
// says from before this process was started again.
func (f *Node) firstStart() bool {
	if f.replica == nil {
		return f.options.FirstStart
	}
	return f.replica.Bootstrap().Trusted && !f.options.Saved.CaughtUp
}

// newBootstrapper makes this machine's founder. One that is started again votes by what it has on its disk;
// without a disk it may have forgotten what it promised, and has no vote.
func (f *Node) newBootstrapper(now time.Duration) {
	o := replica.BootstrapOptions{
		Self:         f.options.Self.Addr,
		Seeds:        f.options.Seeds,
		Tolerance:    f.options.Tolerance,
		Actions:      f.options.Actions,
		ClusterKnown: func() bool { return len(f.knownMembers()) > 0 },
	}
	if f.replica == nil {
		o.Saved = replica.BootstrapState{Trusted: true, Seeds: o.Seeds}
		o.Save = func(_ replica.BootstrapState, then func()) { then() }
		if f.options.FirstStart && slices.Contains(o.Seeds, o.Self) {
			f.bootstrapper = replica.NewBootstrapper(now, o)
		}
		return
	}
	o.Saved = f.replica.Bootstrap()
	o.Save = func(k replica.BootstrapState, then func()) { f.replica.SaveBootstrap(f.now, k, then) }
	if o.Saved.Trusted {
		o.Seeds = o.Saved.Seeds
	}
	if !f.options.Saved.CaughtUp && (slices.Contains(o.Seeds, o.Self) || !o.Saved.Trusted) {
		f.bootstrapper = replica.NewBootstrapper(now, o)
	}
}

// Step takes a message of another process, or of this one. An answer that an earlier life of this process
// asked for, or another process at its address, is dropped.
func (f *Node) Step(now time.Duration, from string, m *message.Message) {
	f.now = now
	if m.IsResponse() && m.Incarnation != f.options.Incarnation {
		return
	}
	switch m.Type {
	case message.TypeAnnounce:
		f.handleAnnounce(now, from, m)
	case message.TypeTokenRequest:
		f.handleTokenRequest(now, from, m)
	case message.TypeBootstrapPrepare,
		message.TypeBootstrapPromise,
		message.TypeBootstrapAccept,
		message.TypeBootstrapAccepted:
		if f.bootstrapper != nil {
			f.bootstrapper.Handle(now, from, m)
		}
	case message.TypeWatchResponse,
		message.TypeReadResult,
		message.TypeConflict,
		message.TypeChangeMembersResult:
		f.client.Step(now, from, m)
	case message.TypeMemberList, message.TypeMemberUpdate:
		f.client.Step(now, from, m)
		f.stepReplica(now, from, m)
	case message.TypeCommitted, message.TypeReject:
		if m.RequestID != 0 {
			f.client.Step(now, from, m)
		} else {
			f.stepReplica(now, from, m)
		}
	default:
		f.stepReplica(now, from, m)
	}
}

func (f *Node) stepReplica(now time.Duration, from string, m *message.Message) {
	if f.replica != nil {
		f.replica.Step(now, from, m)
	}
}

// handleAnnounce tells a machine that starts what this one knows of the core.
func (f *Node) handleAnnounce(now time.Duration, from string, m *message.Message) {
	if f.bootstrapper != nil {
		f.bootstrapper.HandleAnnounce(now, from, m)
	}
	if f.replica != nil && m.HasDisk {
		f.replica.HandleAnnounce(now, from, m)
	}
	if r := f.memberList(); len(r.Members) > 0 {
		r.Incarnation = m.Incarnation
		f.options.Actions.Send(from, r)
	}
}

// memberList is what this machine tells of the core: what its frame has or what it was told, whichever is
// newer; and what a founder has decided where nothing is known.
func (f *Node) memberList() *message.Message {
	m := f.client.MemberList()
	if f.replica != nil {
		if own := f.replica.MemberList(); len(own.Members) > 0 && own.MembershipEpoch >= m.MembershipEpoch {
			return own
		}
	}
	if len(m.Members) == 0 && f.bootstrapper != nil {
		m.Members = f.bootstrapper.Members()
	}
	return m
}

// Members returns the machines of the core, as far as known.
func (f *Node) Members() []message.Node { return f.memberList().Members }

// knownMembers returns the machines of the core as this one was told them.
func (f *Node) knownMembers() []message.Node {
	if f.replica != nil && len(f.replica.PersistentState().Members) > 0 {
		return f.replica.PersistentState().Members
	}
	return f.client.Members()
}

func (f *Node) handleTokenRequest(now time.Duration, from string, m *message.Message) {
	if f.updateAllocator(now) {
		f.options.Actions.Send(from, f.allocator.Allocate(now, from, m))
	}
}

// updateAllocator opens the desk as soon as that is this machine's duty: stores fill from then on.
func (f *Node) updateAllocator(now time.Duration) bool {
	epoch, ok := f.HoldsRole(now, replica.QuotaAllocator)
	if ok && !f.allocating {
		f.options.Actions.Log(events.AllocatorActive, "epoch", epoch)
	}
	if f.allocating = ok; ok {
		f.allocator.Activate(now, epoch)
	}
	return ok
}

// HoldsRole reports whether this process is to do a duty now, and under which epoch.
func (f *Node) HoldsRole(now time.Duration, d replica.Role) (epoch uint64, ok bool) {
	if f.replica == nil {
		return 0, false
	}
	return f.replica.HoldsRole(now, d)
}

// SetEndpoints takes the list of servers, as this process read it by its duty: with the epoch under which it
// held that when the reading began.
func (f *Node) SetEndpoints(now time.Duration, epoch uint64, list []message.Endpoint) {
	if f.replica != nil {
		f.replica.SetEndpoints(now, epoch, list)
	}
}

// HandleSaved tells that a save is done, or has failed.
func (f *Node) HandleSaved(now time.Duration, token uint64, ok bool) {
	if f.replica != nil {
		f.replica.HandleSaved(now, token, ok)
	}
}

// announceInterval is how often a machine with a disk that is of no core says that it is there.
const announceInterval = 300 * time.Millisecond

// seedUpdateInterval is how often a machine of the core tells its seeds who that is: those that have no disk
// know nothing after a start, and all machines find the core by them.
const seedUpdateInterval = 2 * time.Second

// replicaTickInterval is how often a frame is to be looked after.
const replicaTickInterval = 50 * time.Millisecond

// Tick does what is due, and returns when it wants the next call at the latest.
func (f *Node) Tick(now time.Duration) (next time.Duration) {
	f.now = now
	next = f.client.Tick(now)
	if f.bootstrapper != nil {
		f.bootstrapper.Tick(now)
	}
	if f.replica != nil {
		if f.replica.IsUninitialized() &&
			now >= f.nextAnnounce { // its line may know the core, and it is none of that yet
			f.nextAnnounce = now + announceInterval
			f.client.Announce(f.replica.PersistentState().StoreID)
		}
		if f.replica.State() == replica.StateServing && now >= f.nextSeedUpdate {
			f.nextSeedUpdate = now + seedUpdateInterval
			for _, s := range f.client.Seeds {
				m := f.memberList()
				if m.Type = message.TypeMemberUpdate; !slices.ContainsFunc(m.Members, func(r message.Node) bool {
					return r.Addr == s
				}) {
					f.options.Actions.Send(s, m)
				}
			}
		}
		f.replica.Tick(now)
		f.updateAllocator(now)
		next = min(next, now+replicaTickInterval)
	}
	return next
}

// Drain notes that this process was told to stop.
func (f *Node) Drain(now time.Duration) {
	if f.replica != nil {
		f.replica.Drain(now)
	}
}

// HandingOver reports whether another machine is about to take this one's place in the core.
func (f *Node) HandingOver() bool { return f.replica != nil && f.replica.HandingOver() }

// Put hands a configuration to the core.
func (f *Node) Put(now time.Duration, version uint64, config []byte, done func(*message.Message)) {
	f.client.Put(now, version, config, done)
}

// ChangeMembers has the core change its members by hand, or tell them where both addresses are empty. done
// gets the answer, or nil when there was none in time.
func (f *Node) ChangeMembers(now time.Duration, add, remove string, done func(*message.Message)) {
	f.client.ChangeMembers(now, add, remove, done)
}

// Read asks the core for the newest configuration. done gets nil when there was no clear answer.
func (f *Node) Read(now time.Duration, done func(version uint64, config []byte)) {
	f.client.Read(now, done)
}

// Replica returns the frame; nil without a disk.
func (f *Node) Replica() *replica.Replica { return f.replica }

// SetSeeds takes seeds as they now are.
func (f *Node) SetSeeds(seeds []string) { f.client.Seeds = seeds }

// ConnectedHost returns the host of the machine of the core that answers this one; nil: none does.
func (f *Node) ConnectedHost() *string { return f.client.ConnectedHost() }
