// Package replica implements the replicated state of the control plane, which is stored on the machines that
// have a disk. The replicas form a chain: a configuration is proposed at the head, replicated down the chain
// and committed once it is on the tail's disk. A view defines which replicas form the chain, and in which
// order. A majority agrees on each view and its epoch, one view at a time. There is no log and no leader.
//
// A Replica uses no sockets, disks or clocks. The caller drives it: it calls Step for each message,
// HandleSaved for each completed save and Tick about every 50 ms, each with the time of a monotonic clock.
// The Replica acts through Actions. Its methods must not be called concurrently.
//
// Each component is a type with its own state in its own file: stateStore (the state on disk),
// failureDetector, viewChanger, replication (the chain), epochConfirmations (quorum reads),
// membershipChanger, Bootstrapper, watchers, nodeLeases, endpointTable, snapshotCache, allocatorLease and
// toleranceMonitor. This file combines them.
package replica

import (
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Actions are the side effects of a Replica. They must not call the Replica.
type Actions interface {
	// Send sends a message, which may be lost.
	Send(to string, m *message.Message)
	// Save writes and syncs a state, and then calls HandleSaved with the token. Saves complete in order.
	Save(token uint64, state PersistentState)
	// Log logs an event with key-value pairs.
	Log(e events.Event, pairs ...any)
}

// State is the state of a Replica.
type State int

// The states of a Replica.
const (
	StateUninitialized State = iota // not a member, or has lost its disk: waits for bootstrap or repair
	StateStandby                    // a member, but not in a serving view
	StateProposing                  // has requested promises for a view
	StateInstalling                 // has sent a view to its replicas
	StateServing                    // in the serving view
)

func (s State) String() string {
	return [...]string{"uninitialized", "standby", "proposing", "installing", "serving"}[s]
}

// Options are the options of New.
type Options struct {
	Self      message.Node
	Tolerance FaultTolerance
	// ReplaceAfter is how long a member must be silent before another replica replaces it; 0 means two seconds.
	ReplaceAfter time.Duration
	Incarnation  uint64 // of the process; becomes the id of a store that it creates
	FirstStart   bool   // the whole system starts for the first time
	Seeds        []string
	Saved        PersistentState // as found on disk; the zero value if there was nothing
	Actions      Actions
}

// Replica is the part of the core on one machine.
type Replica struct {
	options   Options
	self      string
	tolerance FaultTolerance
	now       time.Duration
	startedAt time.Duration

	state      State
	stateSince time.Duration
	epoch      uint64   // of the serving view, as far as known
	chain      []string // of that view; nil: not known
	committed  uint64   // the highest version that can't be lost any more
	quorumSeen bool     // a quorum has been in contact in this view
	draining   bool     // this process was requested to stop
	leaving    bool     // this process is about to end: the others need a view without it

	store         stateStore
	peers         failureDetector
	view          viewChanger
	replication   replication
	confirmations epochConfirmations
	history       configHistory
	membership    membershipChanger
	watchers      watchers
	nodes         nodeLeases
	endpoints     endpointTable
	snapshots     snapshotCache
	allocator     allocatorLease
	monitor       toleranceMonitor
}

// New returns a Replica that starts at the time now.
func New(now time.Duration, options Options) *Replica {
	found := options.Saved
	r := &Replica{
		options: options, self: options.Self.Addr, tolerance: options.Tolerance, now: now, startedAt: now,
		epoch: found.Epoch, chain: found.Chain,
		store:         newStateStore(options.Actions, found),
		peers:         newFailureDetector(now, options),
		view:          viewChanger{desiredSince: now},
		confirmations: newEpochConfirmations(),
		history:       newConfigHistory(),
		membership:    newMembershipChanger(),
		watchers:      newWatchers(),
		nodes:         newNodeLeases(),
		monitor:       toleranceMonitor{tolerated: options.Tolerance.isZero()},
		allocator:     allocatorLease{inheritedHolders: inheritedLeaseHolders(options.Self.Addr, &found)},
	}
	r.ensureStoreID()
	if found.CaughtUp {
		r.transition(StateStandby)
		return r
	}
	r.transition(StateUninitialized)
	if !options.FirstStart {
		r.log(events.DiskEmpty)
	}
	return r
}

// transition changes the state. The state changes nowhere else.
func (r *Replica) transition(to State) {
	if to == r.state && r.now == r.stateSince {
		return
	}
	if to != r.state {
		r.log(events.ReplicaState, "from", r.state.String(), "to", to.String(), "epoch", r.epoch)
	}
	if r.state == StateServing && to != StateServing {
		r.leaveAllocatorView()
	}
	r.state, r.stateSince = to, r.now
	if to != StateProposing && to != StateInstalling {
		r.view.change = nil
	}
	if to != StateServing {
		r.quorumSeen = false
		r.replication.resetReplicating()
	}
}

// Step handles a message.
func (r *Replica) Step(now time.Duration, from string, m *message.Message) {
	r.now = now
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		r.handleHeartbeat(from, body)
	case *message.Prepare, *message.Promise, *message.Reject, *message.InstallView, *message.ViewInstalled,
		*message.ActivateView:
		r.stepViewChange(from, m)
	case *message.Put, *message.Replicate, *message.Committed:
		r.stepChain(from, m)
	case *message.Read, *message.ConfirmEpoch, *message.EpochConfirmed:
		r.stepRead(from, m)
	case *message.MemberList, *message.MemberUpdate, *message.ChangeMembers, *message.LearnerSnapshot,
		*message.LearnerReady:
		r.stepMembership(from, m)
	case *message.Watch:
		r.handleWatch(from, m, body)
	case *message.EndpointUpdate:
		r.handleEndpointUpdate(body)
	}
}

// Tick runs the actions that are due. It has to be called about every 50 ms.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	r.store.tick(now)
	if r.peers.heartbeatDue(now) {
		r.sendHeartbeats()
	}
	r.expireNodeLeases()
	r.evaluateView()
	r.monitorTolerance()
	r.retryReplication()
	r.answerDueWatchers()
}

// HandleSaved handles the end of a save; ok reports whether the state is on disk.
func (r *Replica) HandleSaved(now time.Duration, token uint64, ok bool) {
	r.now = now
	r.store.handleSaved(now, token, ok)
}

// SaveBootstrap saves the state of a Bootstrapper, and calls onSaved once it is on disk.
func (r *Replica) SaveBootstrap(now time.Duration, state BootstrapState, onSaved func()) {
	r.now = now
	r.store.pending.Bootstrap = state
	r.save(onSaved)
}

// State returns the state of the replica.
func (r *Replica) State() State { return r.state }

// PersistentState returns the state on disk.
func (r *Replica) PersistentState() PersistentState { return r.store.saved }

// Bootstrap returns the stored state of the first start, including saves in progress.
func (r *Replica) Bootstrap() BootstrapState { return r.store.pending.Bootstrap }

// View returns the epoch and the chain of the serving view, as far as known.
func (r *Replica) View() (epoch uint64, chain []string) { return r.epoch, r.chain }

// MemberList returns the membership that this replica reports to others.
func (r *Replica) MemberList() *message.MemberList { return r.store.saved.memberList() }

// DiskUnhealthy reports whether the disk is failing or slow, or recently was.
func (r *Replica) DiskUnhealthy() bool { return r.store.unhealthy(r.now) }

// IsUninitialized reports whether this replica is not a member of the core and can become one.
func (r *Replica) IsUninitialized() bool {
	return r.state == StateUninitialized && !r.draining && r.store.saved.StoreID != 0 &&
		r.store.saved.StoreID == r.store.pending.StoreID
}

// ServingWithQuorum reports whether this replica serves and has recently been in contact with a quorum. Any
// later view needs promises from a quorum, so none served before that contact, and what this replica reports
// is at most contactTimeout old.
func (r *Replica) ServingWithQuorum() bool {
	if r.state != StateServing {
		return false
	}
	return hasQuorum(func(m message.Node) bool {
		return r.isPresent(m) && (m.Addr == r.self || r.inContact(r.peers.byAddr[m.Addr]))
	}, r.store.pending.electorates()...)
}

func (r *Replica) log(e events.Event, pairs ...any) { r.options.Actions.Log(e, pairs...) }

func (r *Replica) send(to string, body message.Body) {
	r.options.Actions.Send(to, &message.Message{Body: body})
}

func (r *Replica) reply(to string, request *message.Message, body message.Body) {
	r.options.Actions.Send(to, request.Reply(body))
}

// save writes the pending state, and calls onSaved once it is on disk.
func (r *Replica) save(onSaved func()) { r.store.save(r.now, onSaved) }

// ensureStoreID assigns an id to a store that was just created. A store of an earlier version of the program,
// which stored no id of its own, keeps the id that it has in the list of members.
func (r *Replica) ensureStoreID() {
	saved, pending := &r.store.saved, &r.store.pending
	if saved.StoreID != 0 {
		return
	}
	for _, m := range saved.Members {
		if m.Addr == r.self && saved.CaughtUp {
			saved.StoreID, pending.StoreID = m.StoreID, m.StoreID
			return
		}
	}
	pending.StoreID = max(1, r.options.Incarnation)
	if r.options.FirstStart {
		pending.Bootstrap = BootstrapState{Trusted: true, Seeds: r.options.Seeds}
	}
	r.save(nil)
}

// selfMember returns this replica as a member with its current store.
func (r *Replica) selfMember() message.Node {
	return message.Node{Addr: r.self, Zone: r.options.Self.Zone, StoreID: r.store.pending.StoreID}
}

// isPresent reports whether the replica at a member's address, or this one, is that member: it has its store.
func (r *Replica) isPresent(m message.Node) bool {
	if m.Addr == r.self {
		return m.StoreID == r.store.saved.StoreID
	}
	p := r.peers.byAddr[m.Addr]
	return p != nil && p.storeID == m.StoreID
}

// isMemberAddress reports whether there is a member at an address, or an outgoing member of an incomplete
// change.
func (r *Replica) isMemberAddress(addr string) bool {
	return hasAddress(r.store.saved.Members, addr) || hasAddress(r.store.saved.OutgoingMembers, addr)
}

// isLive reports whether a member is heard and healthy.
func (r *Replica) isLive(addr string) bool {
	if addr == r.self {
		return !r.DiskUnhealthy() && !r.leaving
	}
	p := r.peers.byAddr[addr]
	return p != nil && p.heard(r.now) && !p.unhealthy
}

// canVote reports whether a member is live and has a vote.
func (r *Replica) canVote(m message.Node) bool {
	if !r.isPresent(m) || !r.isLive(m.Addr) {
		return false
	}
	if m.Addr == r.self {
		return r.store.saved.CaughtUp
	}
	return r.peers.byAddr[m.Addr].caughtUp
}
