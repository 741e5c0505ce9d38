// Package node combines the parts of the control plane that run in one process: its client, its replica if it
// has a disk, its bootstrapper for the first start of the cluster, and its rate-limit allocator. It does no
// I/O and reads no clock. One goroutine, or the simulation of the tests, drives it: Step for each message,
// HandleSaved for each finished save, and Tick at the time that the last Tick returned.
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

// Timing of a node.
const (
	// announceInterval is how often a replica that belongs to no core announces itself.
	announceInterval = 300 * time.Millisecond
	// seedUpdateInterval is how often a member sends the list of members to the seeds. A seed without a disk
	// knows no members after a restart, and all processes discover the core through the seeds.
	seedUpdateInterval = 2 * time.Second
	// replicaTickInterval is the maximum time between two ticks of a replica.
	replicaTickInterval = 50 * time.Millisecond
)

// Actions are the side effects of a Node. Their methods must not call back into the Node.
type Actions interface {
	client.Actions
	// Save writes and syncs a state, and then causes a call of HandleSaved with the token. Saves are executed in
	// order.
	Save(token uint64, state replica.PersistentState)
}

// Options are the parameters of New.
type Options struct {
	Self      message.Node
	Seeds     []string               // internal addresses of the seed processes
	Tolerance replica.FaultTolerance // required of the machines with a disk
	// ReplaceAfter is how long a member must be silent before another replica replaces it; zero means two
	// seconds.
	ReplaceAfter time.Duration
	FirstStart   bool                     // the entire cluster starts for the first time
	Saved        *replica.PersistentState // as found on disk; nil without a disk
	Incarnation  uint64                   // identifies this run of the process; never reused
	Actions      Actions
	Limits       func(tenant string) ratelimit.Limits
}

// Node is the control-plane part of one process. It is not safe for concurrent use.
type Node struct {
	options      Options
	now          time.Duration
	replica      *replica.Replica // nil without a disk
	client       *client.Client
	bootstrapper *replica.Bootstrapper // nil if this process takes no part in a first start

	allocator  *ratelimit.Allocator
	allocating bool

	nextAnnounce   time.Duration // when a replica without a core announces itself again
	nextSeedUpdate time.Duration // when a member sends the list of members to the seeds again
}

// requestStamper is an Actions that adds this process's incarnation to its requests, and to its announcements
// whether an operator has removed it from the members.
type requestStamper struct {
	Actions
	node *Node
}

// Send completes requests and announcements, and sends all messages.
func (s requestStamper) Send(to string, m *message.Message) {
	if m.IsRequest() {
		m.Incarnation = s.node.options.Incarnation
	}
	if announce, ok := m.Body.(*message.Announce); ok && s.node.replica != nil {
		announce.RemovedByOperator = s.node.replica.PersistentState().RemovedByOperator
	}
	s.Actions.Send(to, m)
}

// nodesObserver is an Actions for the client that also passes the list of nodes to the allocator.
type nodesObserver struct {
	Actions
	node *Node
}

// SetNodes updates the allocator, and then the list of the wrapped Actions.
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
	members := &message.MemberList{}
	if options.Saved != nil {
		n.replica = replica.New(now, replica.Options{Self: options.Self, Tolerance: options.Tolerance,
			ReplaceAfter: options.ReplaceAfter, Incarnation: options.Incarnation, FirstStart: options.FirstStart,
			Seeds: options.Seeds, Saved: *options.Saved, Actions: options.Actions})
		members = n.replica.MemberList()
	}
	n.bootstrapper = n.newBootstrapper(now)
	n.client = client.New(now, client.Options{Self: options.Self, Seeds: options.Seeds,
		HasDisk: options.Saved != nil, FirstStart: n.isFirstStart(), Incarnation: options.Incarnation,
		Actions: nodesObserver{options.Actions, n}}, members)
	return n
}

// isFirstStart reports whether the entire cluster starts for the first time. Without a disk, the settings
// decide; otherwise the stored state, which survives a restart of this process during the first start.
func (n *Node) isFirstStart() bool {
	if n.replica == nil {
		return n.options.FirstStart
	}
	return n.replica.Bootstrap().Trusted && !n.options.Saved.CaughtUp
}

// newBootstrapper returns the bootstrapper of this process, or nil if the process takes no part in a first
// start. After a restart, a process with a disk votes according to its stored state. A process without a disk
// may have lost its promises and must not vote.
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

// Step handles a message from another process or from this one. It drops a response to a request of an
// earlier incarnation of this process, or of another process at its address.
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

// HandleDisconnected handles the close or reset of a connection to a process.
func (n *Node) HandleDisconnected(now time.Duration, addr string) {
	n.now = now
	n.client.HandleDisconnected(now, addr)
	if n.replica != nil {
		n.replica.HandleDisconnected(now, addr)
	}
}

// HandleRefused handles a connection refused by the address of a process.
func (n *Node) HandleRefused(now time.Duration, addr string) {
	n.now = now
	n.client.HandleRefused(now, addr)
	if n.replica != nil {
		n.replica.HandleRefused(now, addr)
	}
}

// handleAnnounce handles the announcement of a process, and responds with the members of the core if they are
// known here.
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

// memberList returns the members of the core that this process sends to others: those of its replica or of
// its client, whichever are newer. If neither knows any, they are those that the bootstrapper has decided on.
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

// Members returns the known members of the core.
func (n *Node) Members() []message.Node { return n.memberList().Members }

// knownMembers returns the members of the core that are stored in the replica, or else those known to the
// client.
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

// updateAllocator activates the allocator when this process holds the allocator role; token buckets fill from
// then on. It reports whether the process holds the role.
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

// HoldsRole reports whether this process holds a role now, and in which epoch.
func (n *Node) HoldsRole(now time.Duration, role replica.Role) (epoch uint64, ok bool) {
	if n.replica == nil {
		return 0, false
	}
	return n.replica.HoldsRole(now, role)
}

// SetEndpoints publishes the list of servers that this process has read as the endpoint reader. The epoch is
// the one in which it held that role when it started to read.
func (n *Node) SetEndpoints(now time.Duration, epoch uint64, list []message.Endpoint) {
	if n.replica != nil {
		n.replica.SetEndpoints(now, epoch, list)
	}
}

// HandleSaved handles the end of a save; ok reports whether the state is on disk.
func (n *Node) HandleSaved(now time.Duration, token uint64, ok bool) {
	if n.replica != nil {
		n.replica.HandleSaved(now, token, ok)
	}
}

// Tick runs due timers and returns the time by which it must be called again.
func (n *Node) Tick(now time.Duration) (next time.Duration) {
	n.now = now
	next = n.client.Tick(now)
	if n.bootstrapper != nil {
		n.bootstrapper.Tick(now)
	}
	if n.replica == nil {
		return next
	}
	// Announce even if the client knows the core: the replica is not part of it yet.
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

// updateSeeds sends the list of members to the seeds that are not members.
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

// Drain tells the replica that this process has been requested to stop.
func (n *Node) Drain(now time.Duration) {
	if n.replica != nil {
		n.replica.Drain(now)
	}
}

// Leave starts the removal of the replica from the view, because this process is about to exit. Left reports
// when that is complete.
func (n *Node) Leave(now time.Duration) {
	if n.replica != nil {
		n.replica.Leave(now)
	}
}

// Left reports whether this process has no replica, or one that doesn't serve in the current view.
func (n *Node) Left() bool { return n.replica == nil || n.replica.State() != replica.StateServing }

// HandingOver reports whether another replica is about to replace this one in the core.
func (n *Node) HandingOver() bool { return n.replica != nil && n.replica.HandingOver() }

// Put sends a configuration to the core.
func (n *Node) Put(now time.Duration, version uint64, config []byte, done client.PutDone) {
	n.client.Put(now, version, config, done)
}

// ChangeMembers requests a change of the core's members for an operator. If both addresses are empty, it only
// lists them.
func (n *Node) ChangeMembers(now time.Duration, add, remove string, done client.ChangeMembersDone) {
	n.client.ChangeMembers(now, add, remove, done)
}

// Read requests the newest configuration from the core.
func (n *Node) Read(now time.Duration, done client.ReadDone) { n.client.Read(now, done) }

// Replica returns the replica, or nil without a disk.
func (n *Node) Replica() *replica.Replica { return n.replica }

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) { n.client.SetSeeds(seeds) }

// ConnectedHost returns the host of the replica to which this process is connected, or nil if it is not
// connected.
func (n *Node) ConnectedHost() *string { return n.client.ConnectedHost() }
