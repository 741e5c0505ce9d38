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
	heartbeatInterval = 150 * time.Millisecond // four in the time after which silence counts
	// beats to one that tells of members: leases last for four of those
	heartbeatsPerLeaseReport = 5
	failureTimeout           = 650 * time.Millisecond  // some lost packets and a slow turn are no death
	viewChangeDelay          = 200 * time.Millisecond  // a wish for another view must last so long
	rejoinDelay              = 800 * time.Millisecond  // and one that came back be heard so long: flapping links
	phaseTimeout             = 700 * time.Millisecond  // for a phase of a proposal: two syncs of a slow disk
	phaseRetryInterval       = 120 * time.Millisecond  // those that have not answered a phase
	slowSaveThreshold        = 900 * time.Millisecond  // a save under way for so long makes the disk ill
	diskRecoveryTime         = 1000 * time.Millisecond // and it is well again so long after the last such one
	// for a machine that is heard and doesn't answer: within sync_s
	unresponsiveTimeout = 2 * time.Second
	servingTimeout      = 450 * time.Millisecond // for a machine of the chain to serve in its view
	relayRetryInterval  = 300 * time.Millisecond // of what goes down the chain
	// that a change of the view may take before others are asked
	viewChangeAllowance  = 500 * time.Millisecond
	nodeLeaseDuration    = 3 * time.Second         // of a member: three polls
	endpointsStaleAfter  = 2 * time.Second         // without a reading, the list that there is goes on
	bootstrapQuietPeriod = 400 * time.Millisecond  // without a new machine, before the first start
	seedStartTimeout     = 1500 * time.Millisecond // for a seed that may be starting yet
	// and then with fewer than survive asks for: quiet_s + confirm_s is 7
	bootstrapFallbackAfter = 5 * time.Second
	// that the members can't bear what survive names, before it is told
	gapReportDelay = 30 * time.Second
	maxProposals   = 64 // that wait for the head
)

// PersistentState is what a machine keeps on its disk.
type PersistentState struct {
	CaughtUp bool           // it has all that was acknowledged, and may vote
	StoreID  uint64         // of this store, made with it: with the address, it is who this machine is
	Members  []message.Node // the members of the core, in the order of their addresses
	// MembershipEpoch is the epoch of the view that installed the registry; 0: the first start did.
	MembershipEpoch uint64
	OutgoingMembers []message.Node // the registry before, until the change is known to be complete
	// RemovedMembers are the members that staff have removed last, with the ids that they had. They go with
	// Registry.
	RemovedMembers    []message.Node
	RemovedByOperator bool     // of a machine that was: it is no newcomer until staff add it
	PromisedEpoch     uint64   // no view below this epoch gets anything from here
	Epoch             uint64   // of the view installed last
	Chain             []string // and its machines
	Value
	Bootstrap BootstrapState // of a seed, at the first start
}

// Actions are what a Frame does. They must not call it back.
type Actions interface {
	// Send sends a message, or loses it.
	Send(to string, m *message.Message)
	// Save writes a record and syncs it, and then calls Saved with the token. Saves are done in order.
	Save(token uint64, r PersistentState)
	// Log writes an event.
	Log(e events.Event, pairs ...any)
}

// State is what a Frame is in.
type State int

// The states of a Frame.
const (
	StateUninitialized State = iota // it knows no core, or has lost its disk: it waits to be founded or mended
	StateStandby                    // it is of the core, and in no view that serves
	StateProposing                  // it has asked for promises
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
	// ReplaceAfter is for how long a member must be silent before another machine takes its place.
	ReplaceAfter time.Duration
	Incarnation  uint64 // a number of this life of the process: a store that is made in it gets it as its id
	FirstStart   bool   // the whole system starts for the first time
	Seeds        []string
	Saved        PersistentState // as found; the zero Record where nothing was
	Actions      Actions
}

// Replica is one machine's part of the core.
type Replica struct {
	Options
	self       string
	now        time.Duration
	startedAt  time.Duration
	state      State
	stateSince time.Duration // when the state began

	saved        PersistentState // on disk
	pending      PersistentState // and as it will be when all saves under way are done
	saveToken    uint64
	pendingSaves []pendingSave
	diskFailed   bool
	lastSlowSave time.Duration // when a save last took too long

	learners      map[string]*learner // machines with a disk that would be members
	draining      bool                // this process was told to stop
	changeRequest *changeRequest      // by hand
	retirements   uint64              // how often this life has given up its membership
	tolerant      bool                // what may be lost at once could be when last looked
	gapSince      time.Duration       // since when the members can't, were they all well; 0: they can
	nextRebalance time.Duration       // when it is looked again whether newcomers spread the members better
	gapReported   bool                // and that was told

	peers             map[string]*peerState
	nextHeartbeat     time.Duration
	heartbeats        heartbeatHistory
	savedVersionSince time.Duration // when the version on disk came there
	chain             []string      // of the view that serves, as far as known
	epoch             uint64
	desiredChain      []string // for another view
	desiredSince      time.Duration
	viewChange        *viewChange
	installedEpoch    uint64 // epoch of the view installed last in this life
	epochFloor        uint64 // epochs up to here are taken
	committed         uint64

	proposals        []proposal
	relayedVersion   uint64                       // the version that was sent down the chain last
	configHistory    []configVersion              // the configurations committed last
	deltas           map[[2]uint64]*message.Delta // of the one on disk, by its version and the base
	relayedAt        time.Duration
	confirmations    map[uint64]*epochConfirmation
	lastConfirmation uint64

	endpoints       message.EndpointList
	watchers        map[string]watcher
	answeredWatches map[string]answeredWatch // the last answer to each who asked for news
	nodes           map[string]nodeLease
	nodesChecksum   uint64
	lastServing     time.Duration // when it last served
	servingSince    time.Duration // since when it does, but for changes of the view
	quorumSeen      bool          // it has served in this view
	allocatorLease  allocatorLease

	snapshotCache snapshotCache
}

// configVersion is a configuration.
type configVersion struct {
	version uint64
	config  []byte
}

type pendingSave struct {
	token     uint64
	startedAt time.Duration
	state     PersistentState
	onSaved   func()
}

type peerState struct {
	lastHeard, aliveSince time.Duration // the last beat, and the first of the unbroken row
	// when it last said what it is in, by this machine's clock; 0: not known
	contactAt time.Duration
	// when this machine sent the beat that the last one of the peer answers
	leaseSentAt  time.Duration
	sawUsInEpoch uint64 // epoch of the view in which it has heard this machine
	// epoch under which it said that none outside the chain has a lease of it
	oldLeasesExpiredIn  uint64
	lastSequence        uint64 // its last beat
	lastHeartbeatAt     time.Duration
	lastHealthy         time.Duration // the last one of a machine that could be counted on
	lastServingWithUs   time.Duration // when it was last in service in the same view
	caughtUp, unhealthy bool
	draining, joint     bool
	storeID             uint64
	unreachable         []string // members that it does not hear
	// until then it is not asked for promises: it has answered none
	unresponsiveUntil                 time.Duration
	epoch                             uint64
	membershipEpoch                   uint64
	endpointsEpoch, endpointsSequence uint64
}

// New returns a Frame.
func New(now time.Duration, o Options) *Replica {
	f := &Replica{
		Options:         o,
		self:            o.Self.Addr,
		now:             now,
		startedAt:       now,
		saved:           o.Saved,
		pending:         o.Saved,
		peers:           map[string]*peerState{},
		confirmations:   map[uint64]*epochConfirmation{},
		watchers:        map[string]watcher{},
		answeredWatches: map[string]answeredWatch{},
		nodes:           map[string]nodeLease{},
		learners:        map[string]*learner{},
		deltas:          map[[2]uint64]*message.Delta{},
		nextHeartbeat:   now,
		lastSlowSave:    -diskRecoveryTime,
		tolerant:        o.Tolerance.isZero(),
		epoch:           o.Saved.Epoch,
		chain:           o.Saved.Chain,
		desiredSince:    now,
		heartbeats:      heartbeatHistory{lastSequence: o.Incarnation % (1 << 28) << 20},
	}
	f.saved.Value, f.pending.Value = o.Saved.withOwnDigest(), o.Saved.withOwnDigest()
	f.ensureStoreID()
	switch {
	case o.Saved.CaughtUp:
		f.transition(StateStandby)
	default:
		f.transition(StateUninitialized)
		if !o.FirstStart {
			o.Actions.Log(events.DiskEmpty)
		}
	}
	return f
}

// transition is the one place where the state changes.
func (f *Replica) transition(s State) {
	if s == f.state && f.now == f.stateSince {
		return
	}
	if s != f.state {
		f.Actions.Log(events.ReplicaState, "from", f.state.String(), "to", s.String(), "epoch", f.epoch)
	}
	f.state, f.stateSince = s, f.now
	if s != StateProposing && s != StateInstalling {
		f.viewChange = nil
	}
	if s != StateServing {
		f.quorumSeen = false
		for i := range f.proposals {
			f.proposals[i].replicating = false
		}
	}
}

// IsUninitialized reports whether this machine is no member of the core, and would be one.
func (f *Replica) IsUninitialized() bool {
	return f.state == StateUninitialized && !f.draining && f.saved.StoreID != 0 &&
		f.saved.StoreID == f.pending.StoreID
}

// Bootstrap returns what is kept of the first start.
func (f *Replica) Bootstrap() BootstrapState { return f.pending.Bootstrap }

// PersistentState returns what is on disk.
func (f *Replica) PersistentState() PersistentState { return f.saved }

// State returns what the frame is in.
func (f *Replica) State() State { return f.state }

// DiskUnhealthy reports whether the disk can't be counted on.
func (f *Replica) DiskUnhealthy() bool { return f.diskUnhealthy() }

// ReachableMembers returns the machines of the core that are heard now, this one among them.
func (f *Replica) ReachableMembers() (list []string) {
	for _, m := range f.saved.Members {
		if p := f.peers[m.Addr]; m.Addr == f.self || p != nil && f.now < p.lastHeard+failureTimeout {
			list = append(list, m.Addr)
		}
	}
	return list
}

// View returns the epoch and the chain that serve, as far as known.
func (f *Replica) View() (uint64, []string) { return f.epoch, f.chain }

// save writes what the record is to be, and goes on once that is on disk.
func (f *Replica) save(then func()) {
	f.saveToken++
	f.pendingSaves = append(f.pendingSaves, pendingSave{f.saveToken, f.now, f.pending, then})
	f.Actions.Save(f.saveToken, f.pending)
}

// HandleSaved tells that a save is done, or has failed.
func (f *Replica) HandleSaved(now time.Duration, token uint64, ok bool) {
	f.now = now
	if len(f.pendingSaves) == 0 || f.pendingSaves[0].token != token {
		return
	}
	s := f.pendingSaves[0]
	f.pendingSaves = f.pendingSaves[1:]
	if now-s.startedAt > slowSaveThreshold {
		f.lastSlowSave = now
	}
	if !ok {
		// What it would have led to does not happen. The record to come keeps it, for the next try.
		if !f.diskFailed {
			f.Actions.Log(events.DiskFailing)
		}
		f.diskFailed, f.lastSlowSave = true, now
		return
	}
	if f.diskFailed {
		f.Actions.Log(events.DiskRecovered)
	}
	if s.state.Version != f.saved.Version {
		f.savedVersionSince = now
	}
	f.diskFailed, f.saved = false, s.state
	if s.onSaved != nil {
		s.onSaved()
	}
}

// diskUnhealthy reports whether the disk can't be counted on.
func (f *Replica) diskUnhealthy() bool {
	return f.diskFailed || f.now < f.lastSlowSave+diskRecoveryTime ||
		len(f.pendingSaves) > 0 && f.now > f.pendingSaves[0].startedAt+slowSaveThreshold
}

// majority is how many machines of the core agree for all.
func (f *Replica) majority() int { return majority(f.saved.Members) }

// isMemberAddress reports whether an address is a member's, or was before a change that is not complete.
func (f *Replica) isMemberAddress(addr string) bool {
	return hasAddress(f.saved.Members, addr) || hasAddress(f.saved.OutgoingMembers, addr)
}

// isLive reports whether a machine of the core is heard, and can hold what it is given.
func (f *Replica) isLive(addr string) bool {
	if addr == f.self {
		return !f.diskUnhealthy()
	}
	p := f.peers[addr]
	return p != nil && f.now < p.lastHeard+failureTimeout && !p.unhealthy
}

// ServingWithQuorum reports whether this machine is in service, and a majority was with it a moment ago:
// since any later view needs the promises of a majority, none was in service before then, and what this one
// tells is not older than contactFor.
func (f *Replica) ServingWithQuorum() bool {
	if f.state != StateServing {
		return false
	}
	return hasQuorum(func(m message.Node) bool {
		return f.is(m) && (m.Addr == f.self || f.inContact(f.peers[m.Addr]))
	}, f.pending.electorates()...)
}

// Step takes a message.
func (f *Replica) Step(now time.Duration, from string, m *message.Message) {
	f.now = now
	switch m.Type {
	case message.TypeMemberList, message.TypeMemberUpdate:
		f.handleMemberList(m)
	case message.TypeChangeMembers:
		f.handleChangeMembers(from, m)
	case message.TypeLearnerSnapshot:
		f.handleLearnerSnapshot(from, m)
	case message.TypeLearnerReady:
		f.handleLearnerReady(from, m)
	case message.TypeHeartbeat:
		f.handleHeartbeat(from, m)
	case message.TypePrepare:
		f.handlePrepare(from, m)
	case message.TypePromise:
		f.handlePromise(from, m)
	case message.TypeReject:
		f.handleReject(m)
	case message.TypeInstallView:
		f.handleInstallView(from, m)
	case message.TypeViewInstalled:
		f.handleViewInstalled(from, m)
	case message.TypeActivateView:
		f.handleActivateView(m)
	case message.TypePut:
		f.handlePut(from, m)
	case message.TypeReplicate:
		f.handleReplicate(from, m)
	case message.TypeCommitted:
		f.handleCommitted(m)
	case message.TypeRead:
		f.handleRead(from, m)
	case message.TypeConfirmEpoch:
		// Not what this machine serves, but what it has promised: no later view can be in service unless a
		// majority has promised its epoch.
		ok := f.saved.CaughtUp && f.pending.CaughtUp && f.pending.PromisedEpoch == m.Epoch
		f.Actions.Send(
			from,
			&message.Message{
				Type:        message.TypeEpochConfirmed,
				Incarnation: m.Incarnation,
				RequestID:   m.RequestID,
				Epoch:       m.Epoch,
				OK:          ok,
			},
		)
	case message.TypeEpochConfirmed:
		f.handleEpochConfirmed(from, m)
	case message.TypeWatch:
		f.handleWatch(from, m)
	case message.TypeEndpointUpdate:
		f.handleEndpointUpdate(m)
	}
}

// SaveBootstrap saves what a founder is to keep, and goes on once that is on disk.
func (f *Replica) SaveBootstrap(now time.Duration, k BootstrapState, then func()) {
	f.now = now
	f.pending.Bootstrap = k
	f.save(then)
}

// Tick does what is due. It is to be called every 50 ms or so.
func (f *Replica) Tick(now time.Duration) {
	f.now = now
	if f.diskFailed && len(f.pendingSaves) == 0 && now >= f.lastSlowSave+diskRecoveryTime/2 {
		f.lastSlowSave = now
		f.save(nil)
	}
	if now >= f.nextHeartbeat {
		f.nextHeartbeat = now + heartbeatInterval
		f.sendHeartbeats()
	}
	f.expireLeases()
	f.evaluateView()
	f.reportTolerance()
	f.resend()
	f.answerDueWatchers()
}

// sendHeartbeats tells the others of the core how this machine is.
func (f *Replica) sendHeartbeats() {
	m := message.Message{
		Type:               message.TypeHeartbeat,
		OK:                 f.saved.CaughtUp && f.pending.CaughtUp,
		Unhealthy:          f.diskUnhealthy() || !f.hearsQuorum(),
		StoreID:            f.saved.StoreID,
		MembershipEpoch:    f.saved.MembershipEpoch,
		Joint:              len(f.saved.OutgoingMembers) > 0,
		Draining:           f.draining,
		UnreachableMembers: f.unreachableMembers(),
		Sequence:           f.heartbeats.record(f.now),
		Endpoints:          &message.EndpointList{Epoch: f.endpoints.Epoch, Sequence: f.endpoints.Sequence},
	}
	if f.heartbeats.count%heartbeatsPerLeaseReport == 0 {
		m.Nodes = f.nodesLeasedHere()
	}
	if f.state == StateServing {
		m.Epoch = f.epoch
		m.Version = f.committed
		m.OldLeasesExpired = f.noteFirstHeartbeat(m.Sequence)
	}
	for _, r := range f.allMembers() {
		if r.Addr != f.self {
			f.Actions.Send(r.Addr, f.withEcho(r.Addr, m))
		}
	}
}

// unreachableMembers returns the members that this machine does not hear. After a start it gives them time.
func (f *Replica) unreachableMembers() (list []string) {
	for _, m := range f.allMembers() {
		p := f.peers[m.Addr]
		if m.Addr != f.self && f.now > f.startedAt+failureTimeout &&
			(p == nil || f.now > p.lastHeard+failureTimeout) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// hearsQuorum reports whether this machine hears a quorum, or may yet after its start. One that doesn't is of
// no use to those who hear it.
func (f *Replica) hearsQuorum() bool {
	return f.now <= f.startedAt+failureTimeout || hasQuorum(func(m message.Node) bool {
		return f.is(m) && (m.Addr == f.self || f.now < f.peers[m.Addr].lastHeard+failureTimeout)
	}, f.saved.electorates()...)
}

func (f *Replica) handleHeartbeat(from string, m *message.Message) {
	if !f.admitHeartbeat(from, m) {
		return
	}
	p := f.peers[from]
	if p == nil {
		p = &peerState{aliveSince: f.now, lastHealthy: f.now}
		f.peers[from] = p
	}
	heard := f.hearsQuorum()
	p.lastSequence, p.lastHeartbeatAt = m.Sequence, f.now
	at, known := f.heartbeatSentAt(m)
	if !known {
		at = 0
	}
	if p.storeID != m.StoreID { // what was heard is of another disk
		p.contactAt = 0
	}
	p.recordContact(m.Epoch, at)
	late := known &&
		f.now >= at+failureTimeout // it has waited on its way, and tells how the peer was, not how it is
	if !late {
		if f.now > p.lastHeard+failureTimeout {
			p.aliveSince = f.now
		}
		p.lastHeard, p.caughtUp, p.unhealthy = f.now, m.OK, m.Unhealthy
		if p.storeID, p.unreachable = m.StoreID, m.UnreachableMembers; !m.Unhealthy {
			p.lastHealthy = f.now
		}
		p.draining, p.joint, p.membershipEpoch = m.Draining, m.Joint, m.MembershipEpoch
	}
	if !heard && f.hearsQuorum() {
		f.sendHeartbeats() // who waits for this machine need not wait for its next beat
	}
	for _, x := range m.Nodes {
		if known {
			x.LeaseAge += uint64((f.now - at).Milliseconds())
		}
		f.renewLease(x, false)
	}
	if m.Endpoints != nil {
		p.endpointsEpoch, p.endpointsSequence = m.Endpoints.Epoch, m.Endpoints.Sequence
	}
	switch {
	case m.Epoch > f.epoch && f.state == StateServing: // it was left out: what it knows may be old
		f.epoch, f.chain = m.Epoch, nil
		f.transition(StateStandby)
	case m.Epoch == f.epoch && f.state == StateServing:
		f.handleCommitted(&message.Message{Epoch: m.Epoch, Version: m.Version})
	}
	if p.epoch == f.epoch && !late {
		p.lastServingWithUs = f.now
	}
	f.recordLease(p, m)
	if p.epoch == f.epoch && !f.quorumSeen && f.ServingWithQuorum() {
		f.quorumSeen = true
		f.answerDueWatchers()
	}
	if f.state == StateServing && m.OK && m.Epoch < f.epoch && slices.Contains(f.chain, from) {
		f.Actions.Send(from, &message.Message{Type: message.TypeActivateView, Epoch: f.epoch, Chain: f.chain,
			Version: f.committed}) // it missed the news
	}
	f.sendNewerEndpoints(from, p)
}
