// Package replica is the control state that the machines with a disk hold together. The replicas form a
// chain: a configuration is proposed at the head, handed down, and committed once it is on the tail's disk.
// Which replicas form the chain, and in which order, is a view under an epoch that a majority agrees on, one
// view at a time. There is no log and no leader.
//
// A Replica knows no sockets, disks or clocks. The caller drives it: Step for a message, HandleSaved for a
// save that has ended, Tick every 50 ms or so, each with the time of a clock that never goes back. It acts
// through Actions. Its methods must not be called concurrently.
//
// Each concern is a type with its own state, in a file of its own: stateStore (what is on disk),
// failureDetector, viewChanger, replication (the chain), epochConfirmations (quorum reads),
// membershipChanger, Bootstrapper, watchers, nodeLeases, endpointTable, snapshotCache, allocatorLease and
// toleranceMonitor. This file joins them.
package replica

import (
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Actions are what a Replica does. They must not call it back.
type Actions interface {
	// Send sends a message, or loses it.
	Send(to string, m *message.Message)
	// Save writes a state and syncs it, and then calls HandleSaved with the token. Saves are done in order.
	Save(token uint64, state PersistentState)
	// Log writes an event.
	Log(e events.Event, pairs ...any)
}

// State is what a Replica is in.
type State int

// The states of a Replica.
const (
	StateUninitialized State = iota // it is no member, or has lost its disk: it waits for bootstrap or repair
	StateStandby                    // it is a member, and in no view that serves
	StateProposing                  // it has asked for promises of a view
	StateInstalling                 // it has handed out a view
	StateServing                    // it is in the view that serves
)

func (s State) String() string {
	return [...]string{"uninitialized", "standby", "proposing", "installing", "serving"}[s]
}

// Options are what New needs.
type Options struct {
	Self      message.Node
	Tolerance FaultTolerance
	// ReplaceAfter is for how long a member must be silent before another replica takes its place; 0: two
	// seconds.
	ReplaceAfter time.Duration
	Incarnation  uint64 // of the process: a store that is made in it gets it as its id
	FirstStart   bool   // the whole system starts for the first time
	Seeds        []string
	Saved        PersistentState // as found on disk; the zero value where nothing was
	Actions      Actions
}

// Replica is one machine's part of the core.
type Replica struct {
	options   Options
	self      string
	tolerance FaultTolerance
	now       time.Duration
	startedAt time.Duration

	state      State
	stateSince time.Duration
	epoch      uint64   // of the view that serves, as far as known
	chain      []string // and its replicas; nil: not known
	committed  uint64   // the version that can't be lost any more
	quorumSeen bool     // a quorum has been in touch in this view
	draining   bool     // this process was told to stop
	leaving    bool     // and is about to end: the others are to do without it

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

// New returns a Replica.
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
		allocator:     allocatorLease{inherited: inheritedLeaseHolders(options.Self.Addr, &found)},
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

// transition is the one place where the state changes.
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
		r.replication.suspend()
	}
}

// Step takes a message.
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

// Tick does what is due. It is to be called every 50 ms or so.
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

// HandleSaved tells that a save has ended, and whether the state is on disk.
func (r *Replica) HandleSaved(now time.Duration, token uint64, ok bool) {
	r.now = now
	r.store.handleSaved(now, token, ok)
}

// SaveBootstrap saves what a Bootstrapper is to keep, and goes on once that is on disk.
func (r *Replica) SaveBootstrap(now time.Duration, state BootstrapState, onSaved func()) {
	r.now = now
	r.store.pending.Bootstrap = state
	r.save(onSaved)
}

// State returns what the replica is in.
func (r *Replica) State() State { return r.state }

// PersistentState returns what is on disk.
func (r *Replica) PersistentState() PersistentState { return r.store.saved }

// Bootstrap returns what is kept of the first start.
func (r *Replica) Bootstrap() BootstrapState { return r.store.pending.Bootstrap }

// View returns the epoch and the chain that serve, as far as known.
func (r *Replica) View() (epoch uint64, chain []string) { return r.epoch, r.chain }

// MemberList returns what this replica tells of the members of the core.
func (r *Replica) MemberList() *message.MemberList { return r.store.saved.memberList() }

// DiskUnhealthy reports whether the disk can't be counted on.
func (r *Replica) DiskUnhealthy() bool { return r.store.unhealthy(r.now) }

// IsUninitialized reports whether this replica is no member of the core, and would be one.
func (r *Replica) IsUninitialized() bool {
	return r.state == StateUninitialized && !r.draining && r.store.saved.StoreID != 0 &&
		r.store.saved.StoreID == r.store.pending.StoreID
}

// ServingWithQuorum reports whether this replica serves, and a quorum was with it a moment ago: since any
// later view needs the promises of a quorum, none served before then, and what this one tells is no older
// than contactTimeout.
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

// save writes what is pending, and goes on once that is on disk.
func (r *Replica) save(onSaved func()) { r.store.save(r.now, onSaved) }

// ensureStoreID gives a store that has just been made its id. That of an earlier program goes by the one that
// it has among its members.
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

// selfMember is this replica with its present store.
func (r *Replica) selfMember() message.Node {
	return message.Node{Addr: r.self, Zone: r.options.Self.Zone, StoreID: r.store.pending.StoreID}
}

// isPresent reports whether the replica that is heard at a member's address, or this one, is that member.
func (r *Replica) isPresent(m message.Node) bool {
	if m.Addr == r.self {
		return m.StoreID == r.store.saved.StoreID
	}
	p := r.peers.byAddr[m.Addr]
	return p != nil && p.storeID == m.StoreID
}

// isMemberAddress reports whether an address is a member's, or was before a change that is not complete.
func (r *Replica) isMemberAddress(addr string) bool {
	return hasAddress(r.store.saved.Members, addr) || hasAddress(r.store.saved.OutgoingMembers, addr)
}

// isLive reports whether a member is heard, and can hold what it is given.
func (r *Replica) isLive(addr string) bool {
	if addr == r.self {
		return !r.DiskUnhealthy() && !r.leaving
	}
	p := r.peers.byAddr[addr]
	return p != nil && p.heard(r.now) && !p.unhealthy
}

// canVote reports whether a member is heard, and has a vote.
func (r *Replica) canVote(m message.Node) bool {
	if !r.isPresent(m) || !r.isLive(m.Addr) {
		return false
	}
	if m.Addr == r.self {
		return r.store.saved.CaughtUp
	}
	return r.peers.byAddr[m.Addr].caughtUp
}
