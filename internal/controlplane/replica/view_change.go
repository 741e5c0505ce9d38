package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// viewChange is a proposal under way: first promises are gathered, then the view is handed out.
type viewChange struct {
	epoch           uint64
	chain           []string
	members         []message.Node
	outgoing        []message.Node // of a change: the registry that it replaces
	removed         []message.Node // by staff, as part of the registry
	membershipEpoch uint64
	electorates     [][]message.Node // a majority of each has to promise
	leaving         []string         // live members of former alone: they install, and are in no chain
	newMember       string           // the machine that the change makes a member
	phaseStartedAt  time.Duration
	lastSentAt      time.Duration // when the phase's message went out last
	promised        map[string]bool
	storeIDs        map[string]uint64 // by which of its stores a machine has promised
	installed       map[string]bool
	newestValue     Value // that was told
	installMessage  *message.Message
	fullConfig      *message.Delta             // its configuration, once anyone needs all of it
	contents        map[string]replicaContents // what those who promised have
}

// replicaContents is what a machine told of the text that it has.
type replicaContents struct {
	version        uint64
	latestAccepted []message.AcceptedVersion // its number, with the digest
	configIndex    []byte                    // unless it has what the proposer has
	acceptedIndex  []byte                    // outline of the numbers taken
}

// epochsPerRound leaves each machine of the core epochs of its own, so that no two propose under the same.
const epochsPerRound = 64

// evaluateView looks whether another view is wanted, and proposes it if this machine is the first that is
// live.
func (f *Replica) evaluateView() {
	if f.viewChange != nil {
		switch {
		case f.now >= f.viewChange.phaseStartedAt+phaseTimeout:
			f.handlePhaseTimeout()
		case f.viewChange.lastSentAt != 0 && f.now >= f.viewChange.lastSentAt+phaseRetryInterval:
			f.sendPhase() // what was sent to a machine that has just started may be lost
		}
		return
	}
	want := f.desiredChainNow()
	switch {
	case !f.saved.CaughtUp || len(want) == 0 || f.proposer() != f.self:
		f.desiredChain = nil
		return
	case f.state == StateServing && slices.Equal(want, f.chain) && f.isChainHealthy():
		f.desiredChain = nil
		if next := f.nextMembership(); next != nil {
			f.startViewChange(want, next)
		}
		return
	case !slices.Equal(want, f.desiredChain):
		f.desiredChain, f.desiredSince = want, f.now
		return
	// no more can come
	case len(want) == len(f.saved.Members) && f.state != StateServing && f.now >= f.stateSince+heartbeatInterval:
	case f.now < f.desiredSince+f.currentViewChangeDelay() || f.now < f.stateSince+f.currentViewChangeDelay():
		return
	}
	f.startViewChange(want, nil)
}

// currentViewChangeDelay is how long a wish must last. A machine that serves nothing has nothing to lose by a
// wrong one.
func (f *Replica) currentViewChangeDelay() time.Duration {
	if f.state == StateServing {
		return viewChangeDelay
	}
	return viewChangeDelay / 2
}

// isChainHealthy reports whether all others of the chain serve in this view, or may yet do so in a moment:
// not one that has lost its disk, nor one that has promised another epoch to who is gone.
func (f *Replica) isChainHealthy() bool {
	return !slices.ContainsFunc(f.chain, func(addr string) bool {
		p := f.peers[addr]
		return addr != f.self &&
			(p == nil || !p.caughtUp || f.now > max(p.lastServingWithUs, f.stateSince)+servingTimeout)
	})
}

// proposer is the first live machine of the core in the agreed order, of those that serve in the newest view
// where any do: who is not in it, or hears only some of those who are, waits until they take it in.
func (f *Replica) proposer() (first string) {
	newest := uint64(0)
	for _, m := range f.saved.Members {
		epoch := uint64(0)
		switch p := f.peers[m.Addr]; {
		case !f.canVote(m):
			continue
		case m.Addr != f.self:
			epoch = p.epoch
		case f.state == StateServing:
			epoch = f.epoch
		}
		if first == "" || epoch > newest {
			first, newest = m.Addr, epoch
		}
	}
	return first
}

// desiredChainNow is the chain that there should be, in the agreed order; nil where too few live for any.
func (f *Replica) desiredChainNow() []string {
	if want := f.reachableChain(true); want != nil {
		return want
	}
	return f.reachableChain(false)
}

// reachableChain is that chain, without those that are heard and have not answered, or with them.
func (f *Replica) reachableChain(answering bool) []string {
	var want []string
	for _, m := range f.saved.Members {
		if !f.isLive(m.Addr) || answering && m.Addr != f.self && f.now < f.peers[m.Addr].unresponsiveUntil {
			continue
		}
		p := f.peers[m.Addr]
		if m.Addr != f.self && f.now < p.aliveSince+rejoinDelay && !slices.Contains(f.chain, m.Addr) &&
			f.state == StateServing {
			continue
		}
		if !f.isPartitioned(m.Addr, want) {
			want = append(want, m.Addr)
		}
	}
	votes := func(m message.Node) bool {
		return f.canVote(m) && (slices.Contains(want, m.Addr) || !hasAddress(f.saved.Members, m.Addr))
	}
	if !hasQuorum(votes, f.saved.electorates()...) ||
		!f.Tolerance.chainSuffices(membersAt(f.saved.Members, want), f.saved.Members) {
		return nil
	}
	return want
}

// isPartitioned reports whether a machine and one of some others don't hear each other: they can't be in one
// chain.
func (f *Replica) isPartitioned(addr string, others []string) bool {
	deaf := func(a, b string) bool { return a != f.self && slices.Contains(f.peers[a].unreachable, b) }
	return slices.ContainsFunc(others, func(o string) bool { return deaf(addr, o) || deaf(o, addr) })
}

// canVote reports whether a member is heard, and has a vote.
func (f *Replica) canVote(m message.Node) bool {
	if m.Addr == f.self {
		return f.is(m) && f.isLive(m.Addr) && f.saved.CaughtUp
	}
	return f.is(m) && f.isLive(m.Addr) && f.peers[m.Addr].caughtUp
}

// startViewChange asks for promises of a view. With other members, those before have to promise, and a
// majority of both has to have the view on disk before it is in service. A change that may be in service, or
// not, is gone on with.
func (f *Replica) startViewChange(want []string, change []message.Node) {
	i := slices.IndexFunc(f.saved.Members, func(m message.Node) bool { return m.Addr == f.self })
	if i < 0 || f.pending.MembershipEpoch != f.saved.MembershipEpoch ||
		len(f.pending.OutgoingMembers) != len(f.saved.OutgoingMembers) {
		return // another registry is being saved
	}
	highest := max(f.pending.PromisedEpoch, f.epoch, f.epochFloor)
	epoch := (highest/epochsPerRound+1)*epochsPerRound + f.saved.Members[i].ProposerID
	r := &viewChange{
		epoch:           epoch,
		chain:           want,
		phaseStartedAt:  f.now,
		promised:        map[string]bool{},
		storeIDs:        map[string]uint64{},
		installed:       map[string]bool{},
		contents:        map[string]replicaContents{},
		newestValue:     f.saved.Value,
		members:         f.saved.Members,
		outgoing:        f.saved.OutgoingMembers,
		membershipEpoch: f.saved.MembershipEpoch,
		electorates:     f.saved.electorates(),
		removed:         f.saved.RemovedMembers,
	}
	if change != nil {
		r.members, r.outgoing, r.removed = change, f.saved.Members, f.removedMembersAfter(change)
		r.chain = nil
		for _, m := range change {
			if !hasMember(r.outgoing, m) {
				r.newMember = m.Addr
			}
			if m.Addr == r.newMember || slices.Contains(want, m.Addr) {
				r.chain = append(r.chain, m.Addr)
			}
		}
	}
	if len(r.outgoing) > 0 {
		r.membershipEpoch = epoch
	}
	for _, m := range r.outgoing {
		if !hasAddress(r.members, m.Addr) && f.canVote(m) {
			r.leaving = append(r.leaving, m.Addr)
		}
	}
	f.transition(StateProposing)
	f.viewChange = r
	f.pending.PromisedEpoch = epoch
	f.save(func() {
		if f.viewChange != r || f.pending.PromisedEpoch != epoch {
			return
		}
		// the others have the time that this disk has taken, too
		r.newestValue, r.phaseStartedAt = f.saved.Value, f.now
		f.sendPhase()
		r.storeIDs[f.self] = f.saved.StoreID
		f.recordPromise(f.self)
	})
}

// participants returns the machines that are to have the view on disk.
func (r *viewChange) participants() []string { return append(slices.Clone(r.chain), r.leaving...) }

// sendPhase sends the phase's message to all of the round that have not answered it. What is sent again
// relies on nothing that was told before.
func (f *Replica) sendPhase() {
	r := f.viewChange
	again := r.lastSentAt != 0
	r.lastSentAt = f.now
	m, has := &message.Message{
		Type:             message.TypePrepare,
		Epoch:            r.epoch,
		AcceptedEpoch:    f.saved.AcceptedEpoch,
		Version:          f.saved.Version,
		AcceptedVersions: f.saved.latestAccepted(),
		MembershipEpoch:  f.saved.MembershipEpoch,
	}, r.promised
	if f.installedEpoch == 0 && !again { // it was just started: others may have a newer one
		m.ConfigIndex = message.ChunkIndex(f.saved.Config, message.ConfigChunks)
		m.AcceptedIndex = message.ChunkIndex(f.saved.encodedAcceptedVersions(), message.AcceptedVersionChunks)
	}
	if f.state == StateInstalling {
		has = r.installed
	}
	for _, to := range r.participants() {
		if to == f.self || has[to] {
			continue
		}
		if f.state == StateInstalling {
			m = r.installFor(to, again)
		}
		f.Actions.Send(to, m)
	}
}

// installFor is the view for one machine, with the configuration as far as that has not told that it has it.
func (r *viewChange) installFor(to string, whole bool) *message.Message {
	m, h := *r.installMessage, r.contents[to]
	if whole {
		h = replicaContents{}
	}
	m.AcceptedDelta = message.NewDeltaOver(
		r.newestValue.encodedAcceptedVersions(),
		h.version,
		h.acceptedIndex,
		message.AcceptedVersionChunks,
	)
	switch {
	case len(h.latestAccepted) > 0 && r.newestValue.matches(h.latestAccepted[len(h.latestAccepted)-1]):
	case len(h.configIndex) > 0:
		m.Config = message.NewDeltaOver(r.newestValue.Config, h.version, h.configIndex, message.ConfigChunks)
	default:
		if r.fullConfig == nil {
			r.fullConfig = message.NewDelta(r.newestValue.Config, 0, nil)
		}
		m.Config = r.fullConfig
	}
	return &m
}

func (f *Replica) handlePrepare(from string, m *message.Message) {
	if !f.saved.CaughtUp || !f.pending.CaughtUp || f.diskUnhealthy() {
		return
	}
	if m.MembershipEpoch < f.saved.MembershipEpoch {
		f.reject(from, m.Incarnation)
		return
	}
	if !f.isMemberAddress(from) && m.MembershipEpoch == f.saved.MembershipEpoch {
		return
	}
	if m.Epoch == f.saved.PromisedEpoch && m.Epoch == f.pending.PromisedEpoch &&
		f.installedEpoch != m.Epoch { // its answer was lost
		f.sendPromise(from, m)
		return
	}
	if m.Epoch == f.pending.PromisedEpoch && f.saved.PromisedEpoch != m.Epoch {
		return // it is being saved
	}
	if m.Epoch <= f.pending.PromisedEpoch {
		f.reject(from, m.Incarnation)
		return
	}
	f.pending.PromisedEpoch = m.Epoch
	f.transition(StateStandby) // from here on nothing more goes down the old chain through this machine
	f.save(func() {
		if f.pending.PromisedEpoch != m.Epoch {
			return
		}
		f.sendPromise(from, m)
	})
}

// reject tells why nothing is promised: by the epoch that was, and the registry.
func (f *Replica) reject(to string, life uint64) {
	m := f.MemberList()
	m.Type, m.Incarnation, m.Epoch = message.TypeReject, life, f.pending.PromisedEpoch
	f.Actions.Send(to, m)
}

func (f *Replica) sendPromise(from string, m *message.Message) {
	p := &message.Message{
		Type:             message.TypePromise,
		Incarnation:      m.Incarnation,
		Epoch:            m.Epoch,
		AcceptedEpoch:    f.saved.AcceptedEpoch,
		Version:          f.saved.Version,
		StoreID:          f.saved.StoreID,
		AcceptedVersions: f.saved.latestAccepted(),
		AcceptedIndex:    message.ChunkIndex(f.saved.encodedAcceptedVersions(), message.AcceptedVersionChunks),
	}
	same := len(m.AcceptedVersions) > 0 && f.saved.matches(m.AcceptedVersions[len(m.AcceptedVersions)-1])
	newer := f.saved.acceptedAfter(m.AcceptedEpoch, m.Version)
	if newer {
		p.AcceptedDelta = message.NewDeltaOver(
			f.saved.encodedAcceptedVersions(),
			m.Version,
			m.AcceptedIndex,
			message.AcceptedVersionChunks,
		)
	}
	switch {
	case same:
	case newer:
		p.Config = message.NewDeltaOver(f.saved.Config, m.Version, m.ConfigIndex, message.ConfigChunks)
	default:
		p.ConfigIndex = message.ChunkIndex(f.saved.Config, message.ConfigChunks)
	}
	f.Actions.Send(from, p)
}

func (f *Replica) handlePromise(from string, m *message.Message) {
	r := f.viewChange
	if r == nil || r.epoch != m.Epoch || f.state != StateProposing ||
		!hasMember(slices.Concat(r.electorates...), message.Node{Addr: from, StoreID: m.StoreID}) {
		return
	}
	r.contents[from] = replicaContents{m.Version, m.AcceptedVersions, m.ConfigIndex, m.AcceptedIndex}
	if told := (Value{AcceptedEpoch: m.AcceptedEpoch, Version: m.Version}); told.acceptedAfter(
		r.newestValue.AcceptedEpoch,
		r.newestValue.Version,
	) {
		told, err := f.valueOf(m)
		if err != nil {
			return // as if it had not answered
		}
		r.newestValue = told
	}
	r.storeIDs[from] = m.StoreID
	f.recordPromise(from)
}

func (f *Replica) recordPromise(from string) {
	r := f.viewChange
	r.promised[from] = true
	for _, m := range slices.Concat(r.electorates...) {
		if slices.Contains(r.participants(), m.Addr) && f.canVote(m) && !r.promised[m.Addr] {
			return
		}
	}
	if hasQuorum(r.hasPromised, r.electorates...) {
		f.installView()
	}
}

// hasPromised reports whether a member has, and not another disk at its address.
func (r *viewChange) hasPromised(m message.Node) bool {
	return r.promised[m.Addr] && r.storeIDs[m.Addr] == m.StoreID
}

// installView gives the view to its machines: those that promised, and those that are to be mended.
func (f *Replica) installView() {
	r := f.viewChange
	r.chain = slices.DeleteFunc(slices.Clone(r.chain), func(addr string) bool {
		p := f.peers[addr]
		return !r.promised[addr] && addr != f.self && addr != r.newMember && (p == nil || p.caughtUp)
	})
	r.leaving = slices.DeleteFunc(r.leaving, func(addr string) bool { return !r.promised[addr] })
	serves := func(m message.Node) bool { return slices.Contains(r.chain, m.Addr) }
	installs := func(m message.Node) bool {
		return slices.Contains(r.leaving, m.Addr) || hasMember(r.members, m) && serves(m)
	}
	if !hasQuorum(r.hasPromised, r.electorates...) || !hasQuorum(serves, r.members) ||
		len(r.outgoing) > 0 && !hasQuorum(installs, r.outgoing) ||
		!f.Tolerance.chainSuffices(membersAt(r.members, r.chain), r.members) {
		f.transition(StateStandby)
		return
	}
	f.transition(StateInstalling)
	r.phaseStartedAt = f.now
	f.viewChange = r
	r.installMessage = &message.Message{
		Type:             message.TypeInstallView,
		Epoch:            r.epoch,
		Chain:            r.chain,
		Members:          r.members,
		OutgoingMembers:  r.outgoing,
		MembershipEpoch:  r.membershipEpoch,
		RemovedMembers:   r.removed,
		Version:          r.newestValue.Version,
		AcceptedVersions: r.newestValue.latestAccepted(),
	}
	r.lastSentAt = 0
	f.sendPhase()
	f.saveView(
		r.installMessage,
		r.newestValue,
		func() { f.handleViewInstalled(f.self, &message.Message{Epoch: r.epoch}) },
	)
}

// valueOf returns the content that a message tells, with this machine's own text if that is the same.
func (f *Replica) valueOf(m *message.Message) (c Value, err error) {
	c.AcceptedEpoch, c.Version = m.AcceptedEpoch, m.Version
	switch {
	case m.Version == 0:
		return c, nil
	case len(m.AcceptedVersions) != 1 || m.AcceptedDelta == nil:
		return c, message.ErrUnknownBase
	}
	numbers, err := m.AcceptedDelta.Apply(f.pending.Version, f.pending.encodedAcceptedVersions())
	if err != nil {
		return c, err
	}
	if c.AcceptedVersions, err = message.DecodeAcceptedVersions(numbers); err != nil {
		return c, err
	}
	if !c.matches(m.AcceptedVersions[0]) {
		return c, message.ErrDigestMismatch
	}
	switch {
	case f.pending.matches(m.AcceptedVersions[0]):
		c.Config = f.pending.Config
		return c, nil
	case m.Config == nil:
		return c, message.ErrUnknownBase
	}
	if c.Config, err = m.Config.Apply(f.pending.Version, f.pending.Config); err != nil {
		return c, err
	}
	if message.DigestOf(c.Config) != m.AcceptedVersions[0].Digest {
		return c, message.ErrDigestMismatch
	}
	return c, nil
}

// saveView saves a view, and what it begins with, under its epoch. Whatever else was on the disk is dropped:
// it was never acknowledged.
func (f *Replica) saveView(m *message.Message, begins Value, then func()) {
	f.pending.Epoch = m.Epoch
	f.pending.Chain = m.Chain
	f.pending.PromisedEpoch = m.Epoch
	f.pending.CaughtUp = true
	f.pending.Members = m.Members
	f.pending.OutgoingMembers = m.OutgoingMembers
	f.pending.MembershipEpoch = m.MembershipEpoch
	f.pending.RemovedMembers, f.pending.RemovedByOperator = m.RemovedMembers, false
	f.pending.Value = begins
	f.pending.AcceptedEpoch = m.Epoch
	clear(f.deltas)
	f.save(func() {
		f.installedEpoch = m.Epoch
		then()
	})
}

func (f *Replica) handleInstallView(from string, m *message.Message) {
	if m.Epoch < f.pending.PromisedEpoch || m.MembershipEpoch < f.pending.MembershipEpoch || f.diskUnhealthy() ||
		!hasMember(m.Members, f.selfMember()) &&
			!hasMember(m.OutgoingMembers, f.selfMember()) { // it may be for another disk at this address
		return
	}
	if f.installedEpoch == m.Epoch { // its answer was lost
		f.Actions.Send(
			from,
			&message.Message{Type: message.TypeViewInstalled, Incarnation: m.Incarnation, Epoch: m.Epoch},
		)
		return
	}
	if f.pending.Epoch == m.Epoch {
		return // it is being saved, or an earlier life took it, and may have accepted more since
	}
	begins, err := f.valueOf(m)
	if err != nil {
		return
	}
	if !f.saved.CaughtUp {
		f.Actions.Log(events.ReplicaRepaired, "version", m.Version)
	}
	f.transition(StateStandby)
	f.saveView(m, begins, func() {
		if f.pending.PromisedEpoch == m.Epoch {
			f.Actions.Send(
				from,
				&message.Message{Type: message.TypeViewInstalled, Incarnation: m.Incarnation, Epoch: m.Epoch},
			)
		}
	})
}

func (f *Replica) handleViewInstalled(from string, m *message.Message) {
	r := f.viewChange
	if r == nil || r.epoch != m.Epoch || f.state != StateInstalling {
		return
	}
	r.installed[from] = true
	for _, addr := range r.participants() {
		if !r.installed[addr] {
			return
		}
	}
	m = &message.Message{
		Type:           message.TypeActivateView,
		Epoch:          r.epoch,
		Chain:          r.chain,
		Version:        r.newestValue.Version,
		LeavingMembers: r.leaving,
	}
	for _, addr := range r.participants() {
		if addr != f.self {
			f.Actions.Send(addr, m)
		}
	}
	f.handleActivateView(m)
}

// handleActivateView puts a view into service that all its machines have on disk: what it began with is
// committed. A machine that was started again since takes no part in the view that it finds on its disk: what
// it told under the epoch, such as lists by their numbers, is not on the disk. It comes back by another view.
func (f *Replica) handleActivateView(m *message.Message) {
	if f.installedEpoch != m.Epoch || f.pending.PromisedEpoch != m.Epoch || f.epoch > m.Epoch ||
		f.state == StateServing && f.epoch == m.Epoch {
		return
	}
	if f.completeMembershipChange(m.Epoch); f.state == StateUninitialized {
		return
	}
	f.epoch, f.chain = m.Epoch, m.Chain
	f.allocatorLease = allocatorLease{participants: slices.Concat(m.Chain, m.LeavingMembers)}
	if !slices.Contains(f.chain, f.self) { // its own proposal, without itself: nothing comes to its disk there
		f.transition(StateStandby)
		return
	}
	f.recordCommit(m.Version)
	f.transition(StateServing)
	f.Actions.Log(events.ViewServing, "epoch", m.Epoch, "machines", len(m.Chain), "version", f.committed)
	f.sendHeartbeats() // so that all know at once that a majority serves
	f.notifyWatchers()
	f.proposeNext()
}

// completeMembershipChange notes that a change of members is so: its view is on the disks of a majority
// before and after.
func (f *Replica) completeMembershipChange(epoch uint64) {
	if len(f.pending.OutgoingMembers) == 0 || f.pending.MembershipEpoch != epoch {
		return
	}
	f.answerAppliedChange()
	if !hasMember(f.pending.Members, f.selfMember()) {
		f.retire(f.pending.MembershipEpoch, f.pending.RemovedMembers)
		return
	}
	f.pending.OutgoingMembers = nil
	f.save(nil)
	f.Actions.Log(events.MembershipChanged, "membership_epoch", f.pending.MembershipEpoch,
		"members", len(f.pending.Members))
}

// handleReject ends a proposal that came too late, or by members that are so no longer.
func (f *Replica) handleReject(m *message.Message) {
	if f.pending.CaughtUp && len(m.Members) > 0 {
		f.adoptMembers(m)
	}
	if f.viewChange == nil || m.Epoch <= f.viewChange.epoch {
		return
	}
	f.epochFloor = max(f.epochFloor, m.Epoch)
	f.transition(StateStandby)
}

// handlePhaseTimeout ends a phase that took too long, with those that have answered.
func (f *Replica) handlePhaseTimeout() {
	answered := f.viewChange.promised
	if f.state == StateInstalling {
		answered = f.viewChange.installed
	}
	for _, addr := range f.viewChange.participants() {
		if p := f.peers[addr]; p != nil && !answered[addr] {
			p.unresponsiveUntil = f.now + unresponsiveTimeout
		}
	}
	if f.state == StateProposing && hasQuorum(f.viewChange.hasPromised, f.viewChange.electorates...) {
		f.installView()
		return
	}
	f.transition(StateStandby)
}
