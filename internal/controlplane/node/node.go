// Package node puts together all that one process does for the control plane: its client, its replica if it
// has a disk, its part in the first start, and its rate-limit allocator. It is pure, and is driven by one
// goroutine, or by the simulation of the tests: Step for a message, HandleSaved for a save that has ended,
// Tick when it says so.
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

var (
	_ client.Actions  = nodesObserver{}
	_ replica.Actions = requestStamper{}
)

// Times of a node.
const (
	// announceInterval is how often a replica that is of no core says that it is there.
	announceInterval = 300 * time.Millisecond
	// seedUpdateInterval is how often a member tells its seeds who the members are: those that have no disk know
	// nothing after a start, and all processes find the core by them.
	seedUpdateInterval = 2 * time.Second
	// replicaTickInterval is how often a replica is to be looked after.
	replicaTickInterval = 50 * time.Millisecond
)

// Actions are what a Node does. They must not call it back.
type Actions interface {
	client.Actions
	// Save writes a state and syncs it, and then calls HandleSaved with the token. Saves are done in order.
	Save(token uint64, state replica.PersistentState)
}

// Options are what New needs.
type Options struct {
	Self      message.Node
	Seeds     []string               // addresses for the system's own processes
	Tolerance replica.FaultTolerance // of the machines with a disk
	// ReplaceAfter is for how long a member must be silent before another takes its place; 0: two seconds.
	ReplaceAfter time.Duration
	FirstStart   bool                     // the whole system starts for the first time
	Saved        *replica.PersistentState // as found on disk; nil without a disk
	Incarnation  uint64                   // of the process: no other has or had it
	Actions      Actions
	Limits       func(tenant string) ratelimit.Limits
}

// Node is one process's part in the control plane. Its methods must not be called concurrently.
type Node struct {
	options      Options
	now          time.Duration
	replica      *replica.Replica // nil without a disk
	client       *client.Client
	bootstrapper *replica.Bootstrapper // at seeds, until they are restarted with nothing kept; nil elsewhere

	allocator  *ratelimit.Allocator
	allocating bool

	nextAnnounce   time.Duration // when a replica that is of no core yet says so again
	nextSeedUpdate time.Duration // and when a member tells the seeds
}

// requestStamper has every request of this process tell its incarnation, and that it was a member that an
// operator has removed, if it was.
type requestStamper struct {
	Actions
	node *Node
}

// Send stamps requests and passes all on.
func (s requestStamper) Send(to string, m *message.Message) {
	if m.IsRequest() {
		m.Incarnation = s.node.options.Incarnation
	}
	if announce, ok := m.Body.(*message.Announce); ok && s.node.replica != nil {
		announce.RemovedByOperator = s.node.replica.PersistentState().RemovedByOperator
	}
	s.Actions.Send(to, m)
}

// nodesObserver passes a client's actions on, and takes the nodes for the allocator.
type nodesObserver struct {
	Actions
	node *Node
}

// SetNodes tells the allocator, too.
func (o nodesObserver) SetNodes(list []message.Node) {
	o.node.allocator.SetNodes(o.node.now, list)
	o.Actions.SetNodes(list)
}

// New returns a Node.
func New(now time.Duration, options Options) *Node {
	n := &Node{now: now, allocator: ratelimit.NewAllocator(options.Limits)}
	options.Actions = requestStamper{options.Actions, n}
	options.Seeds = slices.Sorted(slices.Values(options.Seeds))
	n.options = options
	known := &message.MemberList{}
	if options.Saved != nil {
		n.replica = replica.New(now, replica.Options{Self: options.Self, Tolerance: options.Tolerance,
			ReplaceAfter: options.ReplaceAfter, Incarnation: options.Incarnation, FirstStart: options.FirstStart,
			Seeds: options.Seeds, Saved: *options.Saved, Actions: options.Actions})
		known = n.replica.MemberList()
	}
	n.bootstrapper = n.newBootstrapper(now)
	n.client = client.New(now, client.Options{Self: options.Self, Seeds: options.Seeds,
		HasDisk: options.Saved != nil, FirstStart: n.isFirstStart(), Incarnation: options.Incarnation,
		Actions: nodesObserver{options.Actions, n}}, known)
	return n
}

// isFirstStart reports whether the whole system starts for the first time: by the settings, or by what the
// disk says from before this process was restarted.
func (n *Node) isFirstStart() bool {
	if n.replica == nil {
		return n.options.FirstStart
	}
	return n.replica.Bootstrap().Trusted && !n.options.Saved.CaughtUp
}

// newBootstrapper makes this process's bootstrapper; nil: it has no part in a first start. One that is
// restarted votes by what it has on its disk; without a disk it may have forgotten what it promised, and has
// no vote.
func (n *Node) newBootstrapper(now time.Duration) *replica.Bootstrapper {
	options := replica.BootstrapOptions{Self: n.options.Self.Addr, Seeds: n.options.Seeds,
		Tolerance: n.options.Tolerance, Actions: n.options.Actions,
		ClusterKnown: func() bool { return len(n.knownMembers()) > 0 }}
	isSeed := func() bool { return slices.Contains(options.Seeds, options.Self) }
	if n.replica == nil {
		if !n.options.FirstStart || !isSeed() {
			return nil
		}
		options.Saved = replica.BootstrapState{Trusted: true, Seeds: options.Seeds}
		options.Save = func(_ replica.BootstrapState, onSaved func()) { onSaved() }
		return replica.NewBootstrapper(now, options)
	}
	options.Saved = n.replica.Bootstrap()
	options.Save = func(state replica.BootstrapState, onSaved func()) {
		n.replica.SaveBootstrap(n.now, state, onSaved)
	}
	if options.Saved.Trusted {
		options.Seeds = options.Saved.Seeds
	}
	if n.options.Saved.CaughtUp || !isSeed() && options.Saved.Trusted {
		return nil
	}
	return replica.NewBootstrapper(now, options)
}

// Step takes a message of another process, or of this one. A response that an earlier incarnation of this
// process asked for, or another process at its address, is dropped.
func (n *Node) Step(now time.Duration, from string, m *message.Message) {
	n.now = now
	if m.IsResponse() && m.Incarnation != n.options.Incarnation {
		return
	}
	switch body := m.Body.(type) {
	case *message.Announce:
		n.handleAnnounce(from, m, body)
	case *message.TokenRequest:
		n.handleTokenRequest(from, m, body)
	case *message.BootstrapPrepare, *message.BootstrapPromise, *message.BootstrapAccept,
		*message.BootstrapAccepted:
		if n.bootstrapper != nil {
			n.bootstrapper.Step(now, from, m)
		}
	case *message.WatchResponse, *message.ReadResult, *message.Conflict, *message.ChangeMembersResult:
		n.client.Step(now, from, m)
	case *message.MemberList, *message.MemberUpdate:
		n.client.Step(now, from, m)
		n.stepReplica(from, m)
	case *message.Committed, *message.Reject:
		if m.RequestID != 0 { // the response to a call
			n.client.Step(now, from, m)
		} else {
			n.stepReplica(from, m)
		}
	default:
		n.stepReplica(from, m)
	}
}

func (n *Node) stepReplica(from string, m *message.Message) {
	if n.replica != nil {
		n.replica.Step(n.now, from, m)
	}
}

// HandleDisconnected tells that a connection to a process has ended, by its end or a reset.
func (n *Node) HandleDisconnected(now time.Duration, addr string) {
	n.now = now
	n.client.HandleDisconnected(now, addr)
	if n.replica != nil {
		n.replica.HandleDisconnected(now, addr)
	}
}

// HandleRefused tells that the address of a process has refused a connection.
func (n *Node) HandleRefused(now time.Duration, addr string) {
	n.now = now
	n.client.HandleRefused(now, addr)
	if n.replica != nil {
		n.replica.HandleRefused(now, addr)
	}
}

// handleAnnounce tells a process that starts what this one knows of the core.
func (n *Node) handleAnnounce(from string, m *message.Message, announce *message.Announce) {
	if n.bootstrapper != nil {
		n.bootstrapper.HandleAnnounce(n.now, from, announce)
	}
	if n.replica != nil && announce.HasDisk {
		n.replica.HandleAnnounce(n.now, from, announce)
	}
	if list := n.memberList(); len(list.Members) > 0 {
		n.options.Actions.Send(from, m.Reply(list))
	}
}

// memberList is what this process tells of the core: what its replica has or what it was told, whichever is
// newer; and what a bootstrapper has decided where nothing is known.
func (n *Node) memberList() *message.MemberList {
	list := n.client.MemberList()
	if n.replica != nil {
		if own := n.replica.MemberList(); len(own.Members) > 0 && own.MembershipEpoch >= list.MembershipEpoch {
			return own
		}
	}
	if len(list.Members) == 0 && n.bootstrapper != nil {
		list.Members = n.bootstrapper.Members()
	}
	return list
}

// Members returns the members of the core, as far as known.
func (n *Node) Members() []message.Node { return n.memberList().Members }

// knownMembers returns the members of the core as this process was told them.
func (n *Node) knownMembers() []message.Node {
	if n.replica != nil {
		if members := n.replica.PersistentState().Members; len(members) > 0 {
			return members
		}
	}
	return n.client.Members()
}

func (n *Node) handleTokenRequest(from string, m *message.Message, request *message.TokenRequest) {
	if !n.updateAllocator(n.now) {
		return
	}
	grant := n.allocator.Allocate(n.now, ratelimit.Requester{Addr: from, Incarnation: m.Incarnation},
		m.RequestID,
		request)
	n.options.Actions.Send(from, m.Reply(grant))
}

// updateAllocator activates the allocator as soon as this process holds that role: buckets fill from then on.
// It reports whether it does.
func (n *Node) updateAllocator(now time.Duration) bool {
	epoch, ok := n.HoldsRole(now, replica.QuotaAllocator)
	if ok && !n.allocating {
		n.options.Actions.Log(events.AllocatorActive, "epoch", epoch)
	}
	n.allocating = ok
	if ok {
		n.allocator.Activate(now, epoch)
	}
	return ok
}

// HoldsRole reports whether this process holds a role now, and under which epoch.
func (n *Node) HoldsRole(now time.Duration, role replica.Role) (epoch uint64, ok bool) {
	if n.replica == nil {
		return 0, false
	}
	return n.replica.HoldsRole(now, role)
}

// SetEndpoints takes the list of servers, as this process read it by its role: with the epoch under which it
// held that when the reading began.
func (n *Node) SetEndpoints(now time.Duration, epoch uint64, list []message.Endpoint) {
	if n.replica != nil {
		n.replica.SetEndpoints(now, epoch, list)
	}
}

// HandleSaved tells that a save has ended, and whether the state is on disk.
func (n *Node) HandleSaved(now time.Duration, token uint64, ok bool) {
	if n.replica != nil {
		n.replica.HandleSaved(now, token, ok)
	}
}

// Tick does what is due, and returns when it wants the next call at the latest.
func (n *Node) Tick(now time.Duration) (next time.Duration) {
	n.now = now
	next = n.client.Tick(now)
	if n.bootstrapper != nil {
		n.bootstrapper.Tick(now)
	}
	if n.replica == nil {
		return next
	}
	// its client may know the core, and it is none of that yet
	if n.replica.IsUninitialized() && now >= n.nextAnnounce {
		n.nextAnnounce = now + announceInterval
		n.client.Announce(n.replica.PersistentState().StoreID)
	}
	if n.replica.State() == replica.StateServing && now >= n.nextSeedUpdate {
		n.nextSeedUpdate = now + seedUpdateInterval
		n.updateSeeds()
	}
	n.replica.Tick(now)
	n.updateAllocator(now)
	return min(next, now+replicaTickInterval)
}

// updateSeeds tells the seeds that are no members who the members are.
func (n *Node) updateSeeds() {
	list := n.memberList()
	for _, seed := range n.client.Seeds() {
		isMember := slices.ContainsFunc(list.Members, func(m message.Node) bool { return m.Addr == seed })
		if !isMember {
			update := message.MemberUpdate(*list)
			n.options.Actions.Send(seed, &message.Message{Body: &update})
		}
	}
}

// Drain notes that this process was told to stop.
func (n *Node) Drain(now time.Duration) {
	if n.replica != nil {
		n.replica.Drain(now)
	}
}

// Leave notes that this process is about to end. Left reports whether the others do without it by now.
func (n *Node) Leave(now time.Duration) {
	if n.replica != nil {
		n.replica.Leave(now)
	}
}

// Left reports whether this process's replica is in no view that serves.
func (n *Node) Left() bool { return n.replica == nil || n.replica.State() != replica.StateServing }

// HandingOver reports whether another replica is about to take this one's place in the core.
func (n *Node) HandingOver() bool { return n.replica != nil && n.replica.HandingOver() }

// Put hands a configuration to the core.
func (n *Node) Put(now time.Duration, version uint64, config []byte, done client.PutDone) {
	n.client.Put(now, version, config, done)
}

// ChangeMembers has the core change its members by hand, or tell them where both addresses are empty.
func (n *Node) ChangeMembers(now time.Duration, add, remove string, done client.ChangeMembersDone) {
	n.client.ChangeMembers(now, add, remove, done)
}

// Read asks the core for the newest configuration.
func (n *Node) Read(now time.Duration, done client.ReadDone) { n.client.Read(now, done) }

// Replica returns the replica; nil without a disk.
func (n *Node) Replica() *replica.Replica { return n.replica }

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) { n.client.SetSeeds(seeds) }

// ConnectedHost returns the host of the replica that answers this process; nil: none does.
func (n *Node) ConnectedHost() *string { return n.client.ConnectedHost() }
