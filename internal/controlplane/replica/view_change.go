package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times of a view change.
const (
	phaseTimeout = 700 * time.Millisecond // at the least; see viewPhaseTimeout
	// writesPerPhase is how many saves of a slow disk a phase waits for: the one that it asks for, one that
	// is being written as the request comes, and one to spare.
	writesPerPhase     = 3
	phaseRetryInterval = 120 * time.Millisecond // to those that have not answered a phase
	// viewChangeAllowance is how long a change of the view may take before others are asked.
	viewChangeAllowance = 500 * time.Millisecond
)

// viewChanger is what a replica has to do with changes of the view.
type viewChanger struct {
	change         *viewChange // that this replica proposes; nil: none
	desired        []string    // the chain of another view
	desiredSince   time.Duration
	installedEpoch uint64 // of the view installed last in this incarnation
	epochFloor     uint64 // epochs up to here were promised by others
}

// viewChange is a proposal under way, in the two phases of single-decree agreement: first promises are
// gathered, then the view is handed out with the newest value that was told.
type viewChange struct {
	epoch           uint64
	chain           []string
	members         []message.Node
	outgoing        []message.Node // of a membership change: the members that it replaces
	removed         []message.Node // by operators, as part of the membership
	membershipEpoch uint64
	electorates     [][]message.Node // a majority of each has to promise
	leaving         []string         // live outgoing members: they install, and are in no chain
	newMember       string           // the replica that the change makes a member
	phaseStartedAt  time.Duration
	lastSentAt      time.Duration // when the phase's message went out last; 0: not yet
	promised        map[string]bool
	storeIDs        map[string]uint64 // by which of its stores a replica has promised
	installed       map[string]bool
	newest          Value                      // that was told
	contents        map[string]replicaContents // what those who promised have
	install         message.InstallView        // without a value
	fullConfig      *message.Delta             // once anyone needs it
}

// replicaContents is what a replica told of the value that it has.
type replicaContents struct {
	version        uint64
	latestAccepted []message.AcceptedVersion
	configIndex    []byte // unless it has what the proposer has
	acceptedIndex  []byte
}

// participants returns the replicas that are to have the view on disk.
func (v *viewChange) participants() []string { return append(slices.Clone(v.chain), v.leaving...) }

// hasPromised reports whether a member has, and not another store at its address.
func (v *viewChange) hasPromised(m message.Node) bool {
	return v.promised[m.Addr] && v.storeIDs[m.Addr] == m.StoreID
}

// installFor is the view for one replica, with the value as far as that has not told that it has it.
func (v *viewChange) installFor(to string, inFull bool) *message.InstallView {
	m, has := v.install, v.contents[to]
	if inFull {
		has = replicaContents{}
	}
	m.AcceptedDelta = v.newest.acceptedDeltaOver(has.version, has.acceptedIndex)
	switch {
	case v.newest.matchesLast(has.latestAccepted):
	case len(has.configIndex) > 0:
		m.Config = v.newest.configDeltaOver(has.version, has.configIndex)
	default:
		if v.fullConfig == nil {
			v.fullConfig = message.NewDelta(v.newest.Config, 0, nil)
		}
		m.Config = v.fullConfig
	}
	return &m
}

// stepViewChange takes a message of a view change.
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

// startViewChange asks for promises of a view. With other members, those before have to promise, and a
// majority of both has to have the view on disk before it serves. A change that may serve, or not, is gone on
// with.
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
		r.changeMembersIn(v, members)
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
		// the others have the time that this disk has taken, too
		v.newest, v.phaseStartedAt = r.store.saved.Value, r.now
		r.sendPhase()
		v.storeIDs[r.self] = r.store.saved.StoreID
		r.recordPromise(r.self)
	})
}

// changeMembersIn has a view change install other members: the new one is in the chain, beside those that are
// live.
func (r *Replica) changeMembersIn(v *viewChange, members []message.Node) {
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

// continueViewChange ends a phase that has taken too long, and repeats what may be lost.
func (r *Replica) continueViewChange() {
	v := r.view.change
	switch {
	case r.now >= v.phaseStartedAt+r.viewPhaseTimeout():
		r.endPhase()
	case v.lastSentAt != 0 && r.now >= v.lastSentAt+phaseRetryInterval:
		r.sendPhase() // what was sent to a replica that has just started may be lost
	}
}

// viewPhaseTimeout is how long a phase may take. Where this disk is slow the others may be, too: a
// proposal that is given up before they have answered would be followed by another, without end.
func (r *Replica) viewPhaseTimeout() time.Duration {
	return max(phaseTimeout, writesPerPhase*r.store.writeTime)
}

// sendPhase sends the phase's message to all participants that have not answered it. What is sent again
// relies on nothing that was told before.
func (r *Replica) sendPhase() {
	v := r.view.change
	again := v.lastSentAt != 0
	v.lastSentAt = r.now
	if r.state == StateInstalling {
		for _, to := range r.unanswered(v.installed) {
			r.send(to, v.installFor(to, again))
		}
		return
	}
	prepare := r.prepareMessage(again)
	for _, to := range r.unanswered(v.promised) {
		r.send(to, prepare)
	}
}

// unanswered returns the other participants that have not answered the phase.
func (r *Replica) unanswered(answered map[string]bool) []string {
	return slices.DeleteFunc(r.view.change.participants(), func(addr string) bool {
		return addr == r.self || answered[addr]
	})
}

func (r *Replica) prepareMessage(again bool) *message.Prepare {
	saved := &r.store.saved
	prepare := &message.Prepare{Epoch: r.view.change.epoch, AcceptedEpoch: saved.AcceptedEpoch,
		Version: saved.Version, AcceptedVersions: saved.latestAccepted(), MembershipEpoch: saved.MembershipEpoch}
	if r.view.installedEpoch == 0 && !again { // this process was just started: others may have a newer value
		prepare.ConfigIndex, prepare.AcceptedIndex = saved.configIndex(), saved.acceptedIndex()
	}
	return prepare
}

// handlePrepare promises to accept nothing below an epoch, unless a later one was promised.
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
		return // it is being saved
	case prepare.Epoch <= pending.PromisedEpoch:
		r.reject(from, m)
		return
	}
	pending.PromisedEpoch = prepare.Epoch
	r.transition(StateStandby) // from here on nothing more goes down the old chain through this replica
	r.save(func() {
		if r.store.pending.PromisedEpoch == prepare.Epoch {
			r.sendPromise(from, m, prepare)
		}
	})
}

// reject tells why nothing is promised: by the epoch that was, and the members.
func (r *Replica) reject(to string, request *message.Message) {
	saved := &r.store.saved
	r.reply(to, request, &message.Reject{Epoch: r.store.pending.PromisedEpoch, Members: saved.Members,
		MembershipEpoch: saved.MembershipEpoch, OutgoingMembers: saved.OutgoingMembers,
		RemovedMembers: saved.RemovedMembers})
}

// sendPromise tells the proposer what this replica holds, as far as it may lack that.
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

// handlePromise takes a promise, and the value with it if that is newer than what was told so far.
func (r *Replica) handlePromise(from string, promise *message.Promise) {
	v := r.view.change
	if v == nil || v.epoch != promise.Epoch || r.state != StateProposing ||
		!hasMember(slices.Concat(v.electorates...), message.Node{Addr: from, StoreID: promise.StoreID}) {
		return
	}
	v.contents[from] = replicaContents{promise.Version, promise.AcceptedVersions, promise.ConfigIndex,
		promise.AcceptedIndex}
	told := Value{AcceptedEpoch: promise.AcceptedEpoch, Version: promise.Version}
	if told.newerThan(v.newest.AcceptedEpoch, v.newest.Version) {
		value, err := r.store.pending.receive(transferredValue{promise.AcceptedEpoch, promise.Version,
			promise.AcceptedVersions, promise.AcceptedDelta, promise.Config})
		if err != nil {
			return // as if it had not answered
		}
		v.newest = value
	}
	v.storeIDs[from] = promise.StoreID
	r.recordPromise(from)
}

// recordPromise counts a promise. With a quorum, and all that can vote, the view is handed out.
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

// installView hands out the view to its replicas: those that promised, and those that are to be repaired.
func (r *Replica) installView() {
	v := r.view.change
	v.chain = slices.DeleteFunc(slices.Clone(v.chain), func(addr string) bool {
		p := r.peers.byAddr[addr]
		return !v.promised[addr] && addr != r.self && addr != v.newMember && (p == nil || p.caughtUp)
	})
	v.leaving = slices.DeleteFunc(v.leaving, func(addr string) bool { return !v.promised[addr] })
	if !r.mayInstall(v) {
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

// mayInstall reports whether a view can serve with those that promised: a quorum of each membership, spread
// as the tolerance wants it.
func (r *Replica) mayInstall(v *viewChange) bool {
	serves := func(m message.Node) bool { return slices.Contains(v.chain, m.Addr) }
	installs := func(m message.Node) bool {
		return slices.Contains(v.leaving, m.Addr) || hasMember(v.members, m) && serves(m)
	}
	return hasQuorum(v.hasPromised, v.electorates...) && hasQuorum(serves, v.members) &&
		(len(v.outgoing) == 0 || hasQuorum(installs, v.outgoing)) &&
		r.tolerance.chainSuffices(membersAt(v.members, v.chain), v.members)
}

// saveView saves a view, and the value that it begins with, under its epoch. Whatever else was on the disk is
// dropped: it was never acknowledged.
func (r *Replica) saveView(install *message.InstallView, value Value, onSaved func()) {
	pending := &r.store.pending
	pending.EarlierHolders, pending.HoldersKnown = r.possibleLeaseHolders(), true
	pending.Epoch, pending.Chain, pending.PromisedEpoch = install.Epoch, install.Chain, install.Epoch
	pending.CaughtUp, pending.RemovedByOperator = true, false
	pending.setMembers(&message.MemberList{Members: install.Members, OutgoingMembers: install.OutgoingMembers,
		MembershipEpoch: install.MembershipEpoch, RemovedMembers: install.RemovedMembers})
	pending.Value = value
	pending.AcceptedEpoch = install.Epoch
	r.history.forgetDeltas()
	epoch := install.Epoch
	r.save(func() {
		r.view.installedEpoch = epoch
		onSaved()
	})
}

// handleInstallView takes a view that a quorum has promised.
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
		return // it is being saved, or an earlier incarnation installed it, and may have accepted more since
	}
	value, err := pending.receive(transferredValue{0, install.Version, install.AcceptedVersions,
		install.AcceptedDelta,
		install.Config})
	if err != nil {
		return // it comes again, in full
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

// handleViewInstalled puts the view into service once all participants have it on disk.
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

// handleActivateView puts a view into service that all its replicas have on disk: what it began with is
// committed. A replica that was restarted since takes no part in the view that it finds on its disk: what it
// told under the epoch, such as endpoint lists by their numbers, is not on the disk. It comes back by another
// view.
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
	if !slices.Contains(r.chain, r.self) { // its own proposal, without itself: nothing comes to its disk there
		r.transition(StateStandby)
		return
	}
	r.commit(m.Version)
	r.transition(StateServing)
	r.log(events.ViewServing, "epoch", m.Epoch, "machines", len(m.Chain), "version", r.committed)
	r.sendHeartbeats() // so that all know at once that a quorum serves
	r.notifyWatchers()
	r.proposeNext()
}

// handleReject ends a proposal that came too late, or by members that are so no longer.
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

// endPhase ends a phase that took too long, with those that have answered.
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
