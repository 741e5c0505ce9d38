package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Timing and bounds of membership changes.
const (
	// defaultReplaceAfter is used where the settings name no sync_s, half of which it is: a replacement has to
	// be a member within sync_s of its start, and a restarted process is back within a second.
	defaultReplaceAfter = 2 * time.Second
	// learnerSnapshotInterval is the interval between snapshots to a learner that has not answered: a
	// configuration may be long.
	learnerSnapshotInterval = time.Second
	changeRequestTimeout    = 5 * time.Second // for an operator's request to take effect
	// maxRemovedMembers is how many of the members that operators removed are remembered. A removed member that
	// starts again only after that many more removals is an ordinary learner.
	maxRemovedMembers = 64
)

// learner is a replica that is not a member and wants to be one. It has no vote until a view makes it a
// member.
type learner struct {
	message.Node
	lastHeard      time.Duration
	snapshotSentAt time.Duration
	caughtUp       bool // it has stored the newest value on its disk
	// removedByOperator reports that it must not replace a member by itself: only an operator can add it.
	removedByOperator bool
}

// heard reports whether the learner has announced itself recently.
func (l *learner) heard(now time.Duration) bool { return now <= l.lastHeard+failureTimeout }

// membershipChanger tracks the replicas that may become members, and the change that an operator has
// requested.
type membershipChanger struct {
	learners      map[string]*learner // by address
	request       *changeRequest      // of an operator; nil: none
	retirements   uint64              // how often this incarnation has given up its membership
	nextRebalance time.Duration       // when to check next whether learners can improve the fault tolerance
}

func newMembershipChanger() membershipChanger {
	return membershipChanger{learners: map[string]*learner{}}
}

// stepMembership handles a message about the membership.
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

// admitHeartbeat reports whether a heartbeat was sent by a member. A sender that has been removed is sent the
// newer membership, and a newer membership is requested from a sender that knows one, by an announcement.
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

// handleMemberList handles the membership that another process reports. A replica without a vote ignores it
// while a change is not known to be complete.
func (r *Replica) handleMemberList(list *message.MemberList) {
	switch {
	case len(list.Members) == 0:
	case r.store.pending.CaughtUp:
		r.adoptMembers(list)
	case len(list.OutgoingMembers) == 0:
		r.storeMembers(list)
	}
}

// storeMembers stores the membership on a replica without a vote. If the membership is that of the first
// start and includes this store, the store has everything that was acknowledged since: it has caught up.
// Other replicas are repaired by a view.
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

// adoptMembers adopts a membership if it is newer than the pending one. If its change is not known to be
// complete, both memberships have to agree from then on. A replica that is in neither of them was removed.
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
	if r.view.change != nil { // the older members proposed it
		r.transition(StateStandby)
	}
}

// retire permanently gives up this replica's membership, because it was removed. Its stored value no longer
// counts. It may become another member, with another store id; if an operator removed it, only an operator
// can add it again. Its promises stay valid.
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

// completeMembershipChange records that a membership change is complete, because its view is on the disks of
// a majority of the members before and after it.
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

// HandleAnnounce records a replica that wants to be a member, and sends it the newest value.
func (r *Replica) HandleAnnounce(now time.Duration, from string, announce *message.Announce) {
	r.now = now
	saved := &r.store.saved
	announced := message.Node{Addr: from, Zone: announce.Zone, StoreID: announce.StoreID}
	if from == r.self || hasMember(saved.Members, announced) {
		return
	}
	r.markReplacedPeerDown(announced)
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

// markReplacedPeerDown marks a member as down if a process with another store has announced itself at its
// address. Otherwise a view change would wait for the member's promise until it counts as silent.
func (r *Replica) markReplacedPeerDown(announced message.Node) {
	p := r.peers.byAddr[announced.Addr]
	if p != nil && !p.down && announced.StoreID != 0 && p.storeID != announced.StoreID &&
		r.isMemberAddress(announced.Addr) {
		p.down = true
		r.log(events.PeerReplaced, "peer", announced.Addr)
		r.evaluateView()
	}
}

// handleLearnerSnapshot stores the newest value on a replica without a vote, so that it has the value already
// when a view makes it a member.
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
		return // it is sent again
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

// Drain records that this process was requested to stop. Another replica may replace it, and until then it
// stays a member.
func (r *Replica) Drain(now time.Duration) {
	r.now, r.draining = now, true
	r.sendHeartbeats()
}

// Leave records that this process is about to end: it releases its roles, and the other members install a
// view without it at once. It stays a member.
func (r *Replica) Leave(now time.Duration) {
	r.now, r.draining, r.leaving = now, true, true
	r.releaseAllocatorRole()
	r.sendHeartbeats()
}

// HandingOver reports whether this replica is about to be replaced: it is draining, and a learner is
// available.
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

// promotableLearners returns the learners that may become members without an operator's request: they have
// caught up, and no operator has removed them.
func (c *membershipChanger) promotableLearners() (list []message.Node) {
	for _, l := range c.learners {
		if l.caughtUp && !l.removedByOperator {
			list = append(list, l.Node)
		}
	}
	slices.SortFunc(list, compareAddress)
	return list
}
