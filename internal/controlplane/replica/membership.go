package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times and bounds of membership.
const (
	// defaultReplaceAfter is for where the settings name no sync_s, half of which it is: a successor has to be a
	// member within sync_s of its start, and a process that is restarted is back within a second.
	defaultReplaceAfter = 2 * time.Second
	// learnerSnapshotInterval is between snapshots to a learner that has not answered: a configuration may be
	// long.
	learnerSnapshotInterval = time.Second
	changeRequestTimeout    = 5 * time.Second // for an operator's order to become a view
	// maxRemovedMembers is how many of those that operators have removed are remembered: who is started again
	// only after as many more comes as a learner.
	maxRemovedMembers = 64
)

// learner is a replica that is no member and would be one. It has no vote until a view makes it a member.
type learner struct {
	message.Node
	lastHeard      time.Duration
	snapshotSentAt time.Duration
	caughtUp       bool // it has the newest value on its disk
	// removedByOperator: it takes nobody's place, and becomes a member only if an operator adds it.
	removedByOperator bool
}

// heard reports whether a learner is heard.
func (l *learner) heard(now time.Duration) bool { return now <= l.lastHeard+failureTimeout }

// membershipChanger is what a replica knows of who may become a member, and what operators have ordered.
type membershipChanger struct {
	learners      map[string]*learner // by address
	request       *changeRequest      // of an operator; nil: none
	retirements   uint64              // how often this incarnation has given up its membership
	nextRebalance time.Duration       // when it is looked again whether learners spread the members better
}

func newMembershipChanger() membershipChanger {
	return membershipChanger{learners: map[string]*learner{}}
}

// stepMembership takes a message about the members.
func (r *Replica) stepMembership(from string, m *message.Message) {
	switch body := m.Body.(type) {
	case *message.MemberList:
		r.handleMemberList(body)
	case *message.MemberUpdate:
		r.handleMemberList((*message.MemberList)(body))
	case *message.ChangeMembers:
		r.handleChangeMembers(from, m, body)
	case *message.LearnerSnapshot:
		r.handleLearnerSnapshot(from, body)
	case *message.LearnerReady:
		r.handleLearnerReady(from, body)
	}
}

// admitHeartbeat reports whether a heartbeat is a member's. One that was removed is told so, and who knows of
// newer members is asked for them.
func (r *Replica) admitHeartbeat(from string, h *message.Heartbeat) bool {
	saved := &r.store.saved
	joint := len(saved.OutgoingMembers) > 0
	if h.MembershipEpoch > saved.MembershipEpoch ||
		h.MembershipEpoch == saved.MembershipEpoch && joint && !h.Joint {
		r.send(from, &message.Announce{Zone: r.options.Self.Zone})
	}
	if hasMember(saved.allMembers(), message.Node{Addr: from, StoreID: h.StoreID}) {
		return true
	}
	if h.MembershipEpoch < saved.MembershipEpoch || h.Joint && !joint {
		r.send(from, (*message.MemberUpdate)(saved.memberList()))
	}
	return false
}

// handleMemberList takes what another process says of the members. A replica without a vote waits until a
// change is known to be complete.
func (r *Replica) handleMemberList(list *message.MemberList) {
	switch {
	case len(list.Members) == 0:
	case r.store.pending.CaughtUp:
		r.adoptMembers(list)
	case len(list.OutgoingMembers) == 0:
		r.storeMembers(list)
	}
}

// storeMembers notes the members on a replica without a vote. Whoever stands among those of the first start
// with this very store has had all that was acknowledged since: it has caught up. Others are repaired by a
// view.
func (r *Replica) storeMembers(list *message.MemberList) {
	pending := &r.store.pending
	if !hasMember(list.Members, r.selfMember()) {
		pending.Members, pending.OutgoingMembers, pending.MembershipEpoch = nil, nil, 0
		return
	}
	if len(pending.Members) > 0 && list.MembershipEpoch <= pending.MembershipEpoch {
		return
	}
	pending.Members, pending.OutgoingMembers = withProposerIDs(list.Members), nil
	pending.MembershipEpoch = list.MembershipEpoch
	pending.CaughtUp = list.MembershipEpoch == 0 && pending.Epoch == 0
	r.save(func() {
		saved := &r.store.saved
		r.log(events.MembersStored, "machines", len(saved.Members), "caught_up", saved.CaughtUp)
		if saved.CaughtUp && r.state == StateUninitialized {
			r.transition(StateStandby)
		}
	})
}

// adoptMembers takes newer members, if they are. They may be of a change that is not known to be complete:
// then both memberships have to agree from here on. A replica that is in neither was removed.
func (r *Replica) adoptMembers(list *message.MemberList) {
	pending := &r.store.pending
	known := list.MembershipEpoch == pending.MembershipEpoch &&
		(len(pending.OutgoingMembers) == 0 || len(list.OutgoingMembers) > 0)
	if list.MembershipEpoch < pending.MembershipEpoch || known {
		return
	}
	self := r.selfMember()
	if !hasMember(list.Members, self) && !hasMember(list.OutgoingMembers, self) {
		r.retire(list.MembershipEpoch, list.RemovedMembers)
		return
	}
	pending.setMembers(list)
	r.save(nil)
	if r.view.change != nil { // it was proposed by the older members
		r.transition(StateStandby)
	}
}

// retire gives up this replica's membership, for ever: it was removed. What it holds counts no more, and it
// may come back as another member, with another store id; if an operator has removed it, by operators alone.
// What it has promised stays.
func (r *Replica) retire(membershipEpoch uint64, removed []message.Node) {
	const retirementShift = 40 // so that store ids of this incarnation differ from those of all others
	byOperator := hasMember(removed, r.selfMember())
	r.log(events.Removed, "membership_epoch", membershipEpoch, "by_operator", byOperator)
	r.membership.retirements++
	r.store.pending = PersistentState{
		StoreID:       r.options.Incarnation ^ r.membership.retirements<<retirementShift,
		PromisedEpoch: r.store.pending.PromisedEpoch, Epoch: r.store.pending.Epoch, RemovedByOperator: byOperator,
	}
	r.view.installedEpoch = 0
	r.transition(StateUninitialized)
	r.save(nil)
}

// completeMembershipChange notes that a change of members is so: its view is on the disks of a majority
// before and after.
func (r *Replica) completeMembershipChange(epoch uint64) {
	pending := &r.store.pending
	if len(pending.OutgoingMembers) == 0 || pending.MembershipEpoch != epoch {
		return
	}
	r.respondToAppliedChange()
	if !hasMember(pending.Members, r.selfMember()) {
		r.retire(pending.MembershipEpoch, pending.RemovedMembers)
		return
	}
	pending.OutgoingMembers = nil
	r.save(nil)
	r.log(events.MembershipChanged, "membership_epoch", pending.MembershipEpoch, "members", len(pending.Members))
}

// HandleAnnounce notes a replica that would be a member, and brings it up to date.
func (r *Replica) HandleAnnounce(now time.Duration, from string, announce *message.Announce) {
	r.now = now
	saved := &r.store.saved
	announced := message.Node{Addr: from, Zone: announce.Zone, StoreID: announce.StoreID}
	if from == r.self || hasMember(saved.Members, announced) {
		return
	}
	r.missReplacedStore(announced)
	l := r.membership.learners[from]
	if l == nil || l.StoreID != announce.StoreID {
		l = &learner{Node: announced}
		r.membership.learners[from] = l
	}
	l.lastHeard, l.removedByOperator = now, announce.RemovedByOperator
	due := l.snapshotSentAt == 0 || now >= l.snapshotSentAt+learnerSnapshotInterval
	if r.state == StateServing && !l.caughtUp && r.proposer() == r.self && due {
		l.snapshotSentAt = now
		r.send(from, &message.LearnerSnapshot{StoreID: l.StoreID, AcceptedEpoch: saved.AcceptedEpoch,
			Version: saved.Version, AcceptedVersions: saved.latestAccepted(),
			AcceptedDelta: saved.fullAcceptedDelta(), Config: message.NewDelta(saved.Config, 0, nil)})
	}
}

// missReplacedStore notes that a member is gone at whose address a process with another store has
// announced itself: its promise would be awaited in vain until it counts as silent.
func (r *Replica) missReplacedStore(announced message.Node) {
	p := r.peers.byAddr[announced.Addr]
	if p != nil && !p.down && announced.StoreID != 0 && p.storeID != announced.StoreID &&
		r.isMemberAddress(announced.Addr) {
		p.down = true
		r.log(events.PeerReplaced, "peer", announced.Addr)
		r.evaluateView()
	}
}

// handleLearnerSnapshot takes the newest value, as a replica without a vote: a view that makes it a member
// finds it there.
func (r *Replica) handleLearnerSnapshot(from string, m *message.LearnerSnapshot) {
	pending := &r.store.pending
	if r.state != StateUninitialized || pending.CaughtUp || m.StoreID != r.store.saved.StoreID ||
		r.DiskUnhealthy() {
		return
	}
	value, err := pending.receive(transferredValue{m.AcceptedEpoch, m.Version, m.AcceptedVersions,
		m.AcceptedDelta,
		m.Config})
	if err != nil {
		return // it comes again
	}
	pending.Value = value
	r.save(func() {
		r.send(from, &message.LearnerReady{StoreID: m.StoreID, Version: m.Version})
	})
}

func (r *Replica) handleLearnerReady(from string, m *message.LearnerReady) {
	if l := r.membership.learners[from]; l != nil && l.StoreID == m.StoreID {
		l.caughtUp, l.lastHeard = true, r.now
	}
}

// Drain notes that this process was told to stop: another replica may take its place, and until it has, this
// one stays a member.
func (r *Replica) Drain(now time.Duration) {
	r.now, r.draining = now, true
	r.sendHeartbeats()
}

// Leave notes that this process is about to end: it gives up its roles, and the others make a view
// without it at once. It stays a member.
func (r *Replica) Leave(now time.Duration) {
	r.now, r.draining, r.leaving = now, true, true
	r.releaseAllocatorRole()
	r.sendHeartbeats()
}

// HandingOver reports whether this replica is about to be replaced: it drains, and a learner waits.
func (r *Replica) HandingOver() bool {
	if !r.draining || !r.store.pending.CaughtUp || len(r.store.pending.Members) == 0 {
		return false
	}
	for _, l := range r.membership.learners {
		if l.heard(r.now) && !l.removedByOperator && !hasMember(r.store.saved.Members, l.Node) {
			return true
		}
	}
	return false
}

// promotableLearners returns the learners that may become members of themselves: they have caught up, and no
// operator has removed them.
func (c *membershipChanger) promotableLearners() (list []message.Node) {
	for _, l := range c.learners {
		if l.caughtUp && !l.removedByOperator {
			list = append(list, l.Node)
		}
	}
	slices.SortFunc(list, compareAddress)
	return list
}
