package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Timing of view changes.
const (
	phaseTimeout = 700 * time.Millisecond // the minimum; see viewPhaseTimeout
	// writesPerPhase is how many writes of a slow disk a phase waits for: the one that it requests, one that may
	// be in progress when the request arrives, and one as a reserve.
	writesPerPhase     = 3
	phaseRetryInterval = 120 * time.Millisecond // to the participants that have not answered a phase
	// viewChangeAllowance is how long a view change may take before watchers turn to other replicas.
	viewChangeAllowance = 500 * time.Millisecond
)

// viewChanger is the state of a replica for view changes.
type viewChanger struct {
	change         *viewChange // proposed by this replica; nil: none
	desired        []string    // the chain of another view that is desired
	desiredSince   time.Duration
	installedEpoch uint64 // of the last view that this incarnation installed
	epochFloor     uint64 // other replicas have promised epochs up to this one
}

// viewChange is a proposal in progress, in the two phases of single-decree agreement: first the proposer
// gathers promises, then it sends the view to its replicas together with the newest value that was reported.
type viewChange struct {
	epoch           uint64
	chain           []string
	members         []message.Node
	outgoing        []message.Node // the members that a membership change replaces
	removed         []message.Node // removed by operators; part of the membership
	membershipEpoch uint64
	electorates     [][]message.Node // a majority of each has to promise
	leaving         []string         // live outgoing members: they install the view, but are not in the chain
	newMember       string           // address of the replica that the change makes a member
	phaseStartedAt  time.Duration
	lastSentAt      time.Duration // when the message of the phase was last sent; 0: not yet
	promised        map[string]bool
	storeIDs        map[string]uint64 // of the replicas that promised
	installed       map[string]bool
	newest          Value                      // newest reported value
	contents        map[string]replicaContents // of the replicas that promised
	install         message.InstallView        // without the value
	fullConfig      *message.Delta             // set once a replica needs it
}

// replicaContents describes the value that a replica reported to have.
type replicaContents struct {
	version        uint64
	latestAccepted []message.AcceptedVersion
	configIndex    []byte // empty if the replica has the proposer's configuration
	acceptedIndex  []byte
}

// participants returns the replicas that must have the view on disk before it serves.
func (v *viewChange) participants() []string { return append(slices.Clone(v.chain), v.leaving...) }

// hasPromised reports whether a member has promised, rather than another store at its address.
func (v *viewChange) hasPromised(m message.Node) bool {
	return v.promised[m.Addr] && v.storeIDs[m.Addr] == m.StoreID
}

// installFor returns the view for one replica, without the parts of the value that the replica is known to
// have; inFull includes them all.
func (v *viewChange) installFor(to string, inFull bool) *message.InstallView {
	m, contents := v.install, v.contents[to]
	if inFull {
		contents = replicaContents{}
	}
	m.AcceptedDelta = v.newest.acceptedDeltaOver(contents.version, contents.acceptedIndex)
	switch {
	case v.newest.matchesLast(contents.latestAccepted):
	case len(contents.configIndex) > 0:
		m.Config = v.newest.configDeltaOver(contents.version, contents.configIndex)
	default:
		if v.fullConfig == nil {
			v.fullConfig = message.NewDelta(v.newest.Config, 0, nil)
		}
		m.Config = v.fullConfig
	}
	return &m
}

// stepViewChange handles a message of a view change.
func (r *Replica) stepViewChange(from string, m *message.Message) {
	switch body := m.Body.(type) {
	case *message.Prepare:
		r.handlePrepare(from, m, body)
	case *message.Promise:
		r.handlePromise(from, body)
	case *message.Reject:
		r.handleReject(body)
	case *message.InstallView:
		r.handleInstallView(from, m, body)
	case *message.ViewInstalled:
		r.handleViewInstalled(from, body)
	case *message.ActivateView:
		r.handleActivateView(body)
	}
}

// startViewChange requests promises for a view with a chain. If members is not nil, the view also replaces
// the membership: the outgoing members have to promise, and majorities of both memberships must have the view
// on disk before it serves. An incomplete membership change, which may have taken effect or not, is
// continued.
func (r *Replica) startViewChange(chain []string, members []message.Node) {
	saved, pending := &r.store.saved, &r.store.pending
	i := slices.IndexFunc(saved.Members, func(m message.Node) bool { return m.Addr == r.self })
	if i < 0 || pending.MembershipEpoch != saved.MembershipEpoch ||
		len(pending.OutgoingMembers) != len(saved.OutgoingMembers) {
		return // another membership is being saved
	}
	epoch := nextEpoch(max(pending.PromisedEpoch, r.epoch, r.view.epochFloor), saved.Members[i].ProposerID)
	v := &viewChange{epoch: epoch, chain: chain, members: saved.Members, outgoing: saved.OutgoingMembers,
		removed: saved.RemovedMembers, membershipEpoch: saved.MembershipEpoch, electorates: saved.electorates(),
		phaseStartedAt: r.now, promised: map[string]bool{}, storeIDs: map[string]uint64{},
		installed: map[string]bool{}, newest: saved.Value, contents: map[string]replicaContents{}}
	if members != nil {
		r.applyMembershipChange(v, members)
	}
	if len(v.outgoing) > 0 {
		v.membershipEpoch = epoch
	}
	for _, m := range v.outgoing {
		if !hasAddress(v.members, m.Addr) && r.canVote(m) {
			v.leaving = append(v.leaving, m.Addr)
		}
	}
	r.transition(StateProposing)
	r.view.change = v
	pending.PromisedEpoch = epoch
	r.save(func() {
		if r.view.change != v || r.store.pending.PromisedEpoch != epoch {
			return
		}
		// the timeout of the phase begins only after this disk's write
		v.newest, v.phaseStartedAt = r.store.saved.Value, r.now
		r.sendPhase()
		v.storeIDs[r.self] = r.store.saved.StoreID
		r.recordPromise(r.self)
	})
}

// applyMembershipChange makes a view change install other members. The new member joins the live ones in the
// chain.
func (r *Replica) applyMembershipChange(v *viewChange, members []message.Node) {
	live := v.chain
	v.outgoing, v.members, v.removed = r.store.saved.Members, members, r.removedMembersAfter(members)
	v.chain = nil
	for _, m := range members {
		if !hasMember(v.outgoing, m) {
			v.newMember = m.Addr
		}
		if m.Addr == v.newMember || slices.Contains(live, m.Addr) {
			v.chain = append(v.chain, m.Addr)
		}
	}
}

// continueViewChange ends a phase that has timed out, and resends messages that may have been lost.
func (r *Replica) continueViewChange() {
	v := r.view.change
	switch {
	case r.now >= v.phaseStartedAt+r.viewPhaseTimeout():
		r.endPhase()
	case v.lastSentAt != 0 && r.now >= v.lastSentAt+phaseRetryInterval:
		r.sendPhase() // a message to a replica that has just started may be lost
	}
}

// viewPhaseTimeout returns how long a phase may take. If this disk is slow, the other disks may be, too:
// giving up a proposal before they have answered would lead to the next one, without end.
func (r *Replica) viewPhaseTimeout() time.Duration {
	return max(phaseTimeout, writesPerPhase*r.store.writeTime)
}

// sendPhase sends the message of the current phase to all participants that have not answered it. A repeated
// message doesn't rely on earlier ones having been received.
func (r *Replica) sendPhase() {
	v := r.view.change
	retransmission := v.lastSentAt != 0
	v.lastSentAt = r.now
	if r.state == StateInstalling {
		for _, to := range r.unanswered(v.installed) {
			r.send(to, v.installFor(to, retransmission))
		}
		return
	}
	prepare := r.prepareMessage(retransmission)
	for _, to := range r.unanswered(v.promised) {
		r.send(to, prepare)
	}
}

// unanswered returns the other participants that have not answered the current phase.
func (r *Replica) unanswered(answered map[string]bool) []string {
	return slices.DeleteFunc(r.view.change.participants(), func(addr string) bool {
		return addr == r.self || answered[addr]
	})
}

func (r *Replica) prepareMessage(retransmission bool) *message.Prepare {
	saved := &r.store.saved
	prepare := &message.Prepare{Epoch: r.view.change.epoch, AcceptedEpoch: saved.AcceptedEpoch,
		Version: saved.Version, AcceptedVersions: saved.latestAccepted(), MembershipEpoch: saved.MembershipEpoch}
	if r.view.installedEpoch == 0 && !retransmission { // just started: others may have a newer value
		prepare.ConfigIndex, prepare.AcceptedIndex = saved.configIndex(), saved.acceptedIndex()
	}
	return prepare
}

// handlePrepare promises to accept nothing below an epoch, unless the same or a later one was promised.
func (r *Replica) handlePrepare(from string, m *message.Message, prepare *message.Prepare) {
	saved, pending := &r.store.saved, &r.store.pending
	if !saved.CaughtUp || !pending.CaughtUp || r.DiskUnhealthy() {
		return
	}
	promised, onDisk := pending.PromisedEpoch == prepare.Epoch, saved.PromisedEpoch == prepare.Epoch
	switch {
	case prepare.MembershipEpoch < saved.MembershipEpoch:
		r.reject(from, m)
		return
	case !r.isMemberAddress(from) && prepare.MembershipEpoch == saved.MembershipEpoch:
		return
	case promised && onDisk && r.view.installedEpoch != prepare.Epoch: // the response was lost
		r.sendPromise(from, m, prepare)
		return
	case promised && !onDisk:
		return // the promise is being saved
	case prepare.Epoch <= pending.PromisedEpoch:
		r.reject(from, m)
		return
	}
	pending.PromisedEpoch = prepare.Epoch
	r.transition(StateStandby) // from here on this replica passes nothing more down the old chain
	r.save(func() {
		if r.store.pending.PromisedEpoch == prepare.Epoch {
			r.sendPromise(from, m, prepare)
		}
	})
}

// reject reports why no promise is given: the epoch that was promised, and the membership.
func (r *Replica) reject(to string, request *message.Message) {
	saved := &r.store.saved
	r.reply(to, request, &message.Reject{Epoch: r.store.pending.PromisedEpoch, Members: saved.Members,
		MembershipEpoch: saved.MembershipEpoch, OutgoingMembers: saved.OutgoingMembers,
		RemovedMembers: saved.RemovedMembers})
}

// sendPromise sends the proposer a promise, and the parts of this replica's value that the proposer may lack.
func (r *Replica) sendPromise(to string, request *message.Message, prepare *message.Prepare) {
	saved := &r.store.saved
	promise := &message.Promise{Epoch: prepare.Epoch, AcceptedEpoch: saved.AcceptedEpoch, Version: saved.Version,
		StoreID: saved.StoreID, AcceptedVersions: saved.latestAccepted(), AcceptedIndex: saved.acceptedIndex()}
	newer := saved.newerThan(prepare.AcceptedEpoch, prepare.Version)
	if newer {
		promise.AcceptedDelta = saved.acceptedDeltaOver(prepare.Version, prepare.AcceptedIndex)
	}
	switch {
	case saved.matchesLast(prepare.AcceptedVersions):
	case newer:
		promise.Config = saved.configDeltaOver(prepare.Version, prepare.ConfigIndex)
	default:
		promise.ConfigIndex = saved.configIndex()
	}
	r.reply(to, request, promise)
}

// handlePromise handles a promise, and its value if that is newer than all reported so far.
func (r *Replica) handlePromise(from string, promise *message.Promise) {
	v := r.view.change
	if v == nil || v.epoch != promise.Epoch || r.state != StateProposing ||
		!hasMember(slices.Concat(v.electorates...), message.Node{Addr: from, StoreID: promise.StoreID}) {
		return
	}
	v.contents[from] = replicaContents{promise.Version, promise.AcceptedVersions, promise.ConfigIndex,
		promise.AcceptedIndex}
	reported := Value{AcceptedEpoch: promise.AcceptedEpoch, Version: promise.Version}
	if reported.newerThan(v.newest.AcceptedEpoch, v.newest.Version) {
		value, err := r.store.pending.receive(transferredValue{promise.AcceptedEpoch, promise.Version,
			promise.AcceptedVersions, promise.AcceptedDelta, promise.Config})
		if err != nil {
			return // ignored as if it had not answered
		}
		v.newest = value
	}
	v.storeIDs[from] = promise.StoreID
	r.recordPromise(from)
}

// recordPromise counts a promise. Once a quorum and all participants that can vote have promised, the view is
// installed.
func (r *Replica) recordPromise(from string) {
	v := r.view.change
	v.promised[from] = true
	participants := v.participants()
	for _, m := range slices.Concat(v.electorates...) {
		if slices.Contains(participants, m.Addr) && r.canVote(m) && !v.promised[m.Addr] {
			return
		}
	}
	if hasQuorum(v.hasPromised, v.electorates...) {
		r.installView()
	}
}

// installView sends the view to its replicas: those that promised, and those that need a repair.
func (r *Replica) installView() {
	v := r.view.change
	v.chain = slices.DeleteFunc(slices.Clone(v.chain), func(addr string) bool {
		p := r.peers.byAddr[addr]
		return !v.promised[addr] && addr != r.self && addr != v.newMember && (p == nil || p.caughtUp)
	})
	v.leaving = slices.DeleteFunc(v.leaving, func(addr string) bool { return !v.promised[addr] })
	if !r.canInstall(v) {
		r.transition(StateStandby)
		return
	}
	r.transition(StateInstalling)
	v.phaseStartedAt = r.now
	v.install = message.InstallView{Epoch: v.epoch, Chain: v.chain, Members: v.members,
		OutgoingMembers: v.outgoing, MembershipEpoch: v.membershipEpoch, RemovedMembers: v.removed,
		Version: v.newest.Version, AcceptedVersions: v.newest.latestAccepted()}
	v.lastSentAt = 0
	r.sendPhase()
	r.saveView(&v.install, v.newest, func() {
		r.handleViewInstalled(r.self, &message.ViewInstalled{Epoch: v.epoch})
	})
}

// canInstall reports whether a view can serve with the replicas that promised: they include a quorum of each
// membership, and the chain is spread as the fault tolerance requires.
func (r *Replica) canInstall(v *viewChange) bool {
	serves := func(m message.Node) bool { return slices.Contains(v.chain, m.Addr) }
	installs := func(m message.Node) bool {
		return slices.Contains(v.leaving, m.Addr) || hasMember(v.members, m) && serves(m)
	}
	return hasQuorum(v.hasPromised, v.electorates...) && hasQuorum(serves, v.members) &&
		(len(v.outgoing) == 0 || hasQuorum(installs, v.outgoing)) &&
		r.tolerance.chainSuffices(membersAt(v.members, v.chain), v.members)
}

// saveView saves a view and its initial value under its epoch. Any other value on the disk is dropped: it was
// never acknowledged.
func (r *Replica) saveView(install *message.InstallView, value Value, onSaved func()) {
	pending := &r.store.pending
	pending.EarlierHolders, pending.HoldersKnown = r.possibleLeaseHolders(), true
	pending.Epoch, pending.Chain, pending.PromisedEpoch = install.Epoch, install.Chain, install.Epoch
	pending.CaughtUp, pending.RemovedByOperator = true, false
	pending.setMembers(&message.MemberList{Members: install.Members, OutgoingMembers: install.OutgoingMembers,
		MembershipEpoch: install.MembershipEpoch, RemovedMembers: install.RemovedMembers})
	pending.Value = value
	pending.AcceptedEpoch = install.Epoch
	r.history.clearDeltas()
	epoch := install.Epoch
	r.save(func() {
		r.view.installedEpoch = epoch
		onSaved()
	})
}

// handleInstallView installs a view for which a quorum has promised.
func (r *Replica) handleInstallView(from string, m *message.Message, install *message.InstallView) {
	pending := &r.store.pending
	self := r.selfMember()
	if install.Epoch < pending.PromisedEpoch || install.MembershipEpoch < pending.MembershipEpoch ||
		r.DiskUnhealthy() || !hasMember(install.Members, self) && !hasMember(install.OutgoingMembers, self) {
		return // it is late, or for another store at this address
	}
	if r.view.installedEpoch == install.Epoch { // the response was lost
		r.reply(from, m, &message.ViewInstalled{Epoch: install.Epoch})
		return
	}
	if pending.Epoch == install.Epoch {
		return // it is being saved, or an earlier incarnation installed it and may have accepted more since
	}
	value, err := pending.receive(transferredValue{0, install.Version, install.AcceptedVersions,
		install.AcceptedDelta,
		install.Config})
	if err != nil {
		return // it is sent again, in full
	}
	if !r.store.saved.CaughtUp {
		r.log(events.ReplicaRepaired, "version", install.Version)
	}
	r.transition(StateStandby)
	r.saveView(install, value, func() {
		if r.store.pending.PromisedEpoch == install.Epoch {
			r.reply(from, m, &message.ViewInstalled{Epoch: install.Epoch})
		}
	})
}

// handleViewInstalled activates the view once all participants have it on disk.
func (r *Replica) handleViewInstalled(from string, installed *message.ViewInstalled) {
	v := r.view.change
	if v == nil || v.epoch != installed.Epoch || r.state != StateInstalling {
		return
	}
	v.installed[from] = true
	participants := v.participants()
	for _, addr := range participants {
		if !v.installed[addr] {
			return
		}
	}
	activate := &message.ActivateView{Epoch: v.epoch, Chain: v.chain, Version: v.newest.Version,
		LeavingMembers: v.leaving}
	for _, addr := range participants {
		if addr != r.self {
			r.send(addr, activate)
		}
	}
	r.handleActivateView(activate)
}

// handleActivateView starts to serve in a view that all its replicas have on disk; its initial value is
// committed. A replica that has restarted since it installed the view doesn't serve in it: its disk doesn't
// have everything that it reported in that epoch, such as the sequence numbers of endpoint lists. It rejoins
// by another view.
func (r *Replica) handleActivateView(m *message.ActivateView) {
	serving := r.state == StateServing && r.epoch == m.Epoch
	if r.view.installedEpoch != m.Epoch || r.store.pending.PromisedEpoch != m.Epoch || r.epoch > m.Epoch ||
		serving {
		return
	}
	r.completeMembershipChange(m.Epoch)
	if r.state == StateUninitialized {
		return
	}
	r.epoch, r.chain = m.Epoch, m.Chain
	r.enterAllocatorView(m.Epoch, m.Chain, m.LeavingMembers)
	if !slices.Contains(r.chain, r.self) { // its own proposal doesn't include it: it gets no updates
		r.transition(StateStandby)
		return
	}
	r.commit(m.Version)
	r.transition(StateServing)
	r.log(events.ViewServing, "epoch", m.Epoch, "machines", len(m.Chain), "version", r.committed)
	r.sendHeartbeats() // so that all learn at once that a quorum serves
	r.notifyWatchers()
	r.proposeNext()
}

// handleReject ends a proposal that is too late, and adopts the members if the proposer's are outdated.
func (r *Replica) handleReject(reject *message.Reject) {
	if r.store.pending.CaughtUp && len(reject.Members) > 0 {
		r.adoptMembers(reject.MemberList())
	}
	if r.view.change == nil || reject.Epoch <= r.view.change.epoch {
		return
	}
	r.view.epochFloor = max(r.view.epochFloor, reject.Epoch)
	r.transition(StateStandby)
}

// endPhase ends a phase that has timed out. The view is installed if a quorum has promised, and given up
// otherwise.
func (r *Replica) endPhase() {
	v := r.view.change
	answered := v.promised
	if r.state == StateInstalling {
		answered = v.installed
	}
	for _, addr := range v.participants() {
		if p := r.peers.byAddr[addr]; p != nil && !answered[addr] {
			p.unresponsiveUntil = r.now + unresponsiveTimeout
		}
	}
	if r.state == StateProposing && hasQuorum(v.hasPromised, v.electorates...) {
		r.installView()
		return
	}
	r.transition(StateStandby)
}
