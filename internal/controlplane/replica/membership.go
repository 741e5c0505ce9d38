package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times of members, each with its reason.
const (
	// defaultReplaceAfter is for where the settings name no sync_s, half of which it is: a successor has to be a
	// member within sync_s of its start, and a process that is started again is back within a second.
	defaultReplaceAfter = 2 * time.Second
	// to a candidate that has not answered: a configuration may be long
	learnerSnapshotInterval = time.Second
	changeRequestTimeout    = 5 * time.Second // for an order by hand to become a view
	maxProposerID           = epochsPerRound - 1
	// maxRemovedMembers is how many of those that staff have removed are remembered: who is started again only
	// after as many more comes as a newcomer.
	maxRemovedMembers = 64
)

// learner is a machine with a disk that would be a member. It is a learner, without a vote, until a view
// makes it a member.
type learner struct {
	message.Node
	lastHeard      time.Duration
	snapshotSentAt time.Duration
	caughtUp       bool // it has what there was on its disk
	// removedByOperator: staff have removed it. It takes nobody's place, and comes only if they add it.
	removedByOperator bool
}

// majority is how many of an electorate agree for all.
func majority[T any](all []T) int { return len(all)/2 + 1 }

// hasAddress reports whether a registry has a member at an address.
func hasAddress(registry []message.Node, addr string) bool {
	return slices.ContainsFunc(registry, func(m message.Node) bool { return m.Addr == addr })
}

// membersAt returns the members at some addresses.
func membersAt(registry []message.Node, addrs []string) []message.Node {
	return slices.DeleteFunc(slices.Clone(registry), func(m message.Node) bool {
		return !slices.Contains(addrs, m.Addr)
	})
}

// withoutAddress returns the members but the one at an address.
func withoutAddress(registry []message.Node, addr string) []message.Node {
	return slices.DeleteFunc(slices.Clone(registry), func(m message.Node) bool { return m.Addr == addr })
}

// hasMember reports whether a machine is a member: the same disk at the same address.
func hasMember(registry []message.Node, m message.Node) bool {
	return slices.ContainsFunc(
		registry,
		func(r message.Node) bool { return r.Addr == m.Addr && r.StoreID == m.StoreID },
	)
}

// hasQuorum reports whether those that a condition holds for are a majority of each of some electorates:
// registries of members, or the seeds of a first start.
func hasQuorum[T any](holds func(voter T) bool, electorates ...[]T) bool {
	for _, all := range electorates {
		n := 0
		for _, voter := range all {
			if holds(voter) {
				n++
			}
		}
		if n < majority(all) {
			return false
		}
	}
	return true
}

// withProposerIDs gives a registry without seats some, by its order.
func withProposerIDs(registry []message.Node) []message.Node {
	if slices.ContainsFunc(registry, func(m message.Node) bool { return m.ProposerID != 0 }) {
		return registry
	}
	registry = slices.Clone(registry)
	for i := range registry {
		registry[i].ProposerID = uint64(i) + 1
	}
	return registry
}

// compareAddress is the agreed order of a registry.
func compareAddress(a, b message.Node) int { return strings.Compare(a.Addr, b.Addr) }

// ensureStoreID gives a store that has just been made its id. That of an earlier program goes by the one that
// it has in its registry.
func (f *Replica) ensureStoreID() {
	for _, r := range []*PersistentState{&f.saved, &f.pending} {
		r.Members, r.OutgoingMembers = withProposerIDs(r.Members), withProposerIDs(r.OutgoingMembers)
	}
	if f.saved.StoreID != 0 {
		return
	}
	for _, m := range f.saved.Members {
		if m.Addr == f.self && f.saved.CaughtUp {
			f.saved.StoreID, f.pending.StoreID = m.StoreID, m.StoreID
			return
		}
	}
	f.pending.StoreID = max(1, f.Incarnation)
	if f.FirstStart {
		f.pending.Bootstrap = BootstrapState{Trusted: true, Seeds: f.Seeds}
	}
	f.save(nil)
}

// is reports whether the machine that is heard at a member's address, or this one, is that member.
func (f *Replica) is(m message.Node) bool {
	if m.Addr == f.self {
		return m.StoreID == f.saved.StoreID
	}
	p := f.peers[m.Addr]
	return p != nil && p.storeID == m.StoreID
}

// selfMember is this machine with its present store.
func (f *Replica) selfMember() message.Node {
	return message.Node{Addr: f.self, Zone: f.Self.Zone, StoreID: f.pending.StoreID}
}

// electorates returns the registries of which a majority each has to agree: the one before, too, while a
// change is not known to be complete.
func (r *PersistentState) electorates() [][]message.Node {
	if len(r.OutgoingMembers) > 0 {
		return [][]message.Node{r.Members, r.OutgoingMembers}
	}
	return [][]message.Node{r.Members}
}

// allMembers returns the members, and those before a change that is not known to be complete.
func (f *Replica) allMembers() []message.Node {
	list := f.saved.Members
	for _, m := range f.saved.OutgoingMembers {
		if !hasAddress(f.saved.Members, m.Addr) {
			list = append(slices.Clip(list), m)
		}
	}
	return list
}

// MemberList returns what this machine tells of the core.
func (f *Replica) MemberList() *message.Message {
	return &message.Message{
		Type:            message.TypeMemberList,
		Members:         f.saved.Members,
		MembershipEpoch: f.saved.MembershipEpoch,
		OutgoingMembers: f.saved.OutgoingMembers,
		RemovedMembers:  f.saved.RemovedMembers,
	}
}

// admitHeartbeat reports whether a beat is a member's. One that was removed is told so, and who knows of a
// newer registry is asked for it.
func (f *Replica) admitHeartbeat(from string, m *message.Message) bool {
	if m.MembershipEpoch > f.saved.MembershipEpoch ||
		m.MembershipEpoch == f.saved.MembershipEpoch && len(f.saved.OutgoingMembers) > 0 && !m.Joint {
		f.Actions.Send(from, &message.Message{Type: message.TypeAnnounce, Zone: f.Self.Zone})
	}
	if hasMember(f.allMembers(), message.Node{Addr: from, StoreID: m.StoreID}) {
		return true
	}
	if m.MembershipEpoch < f.saved.MembershipEpoch || m.Joint && len(f.saved.OutgoingMembers) == 0 {
		r := f.MemberList()
		r.Type = message.TypeMemberUpdate
		f.Actions.Send(from, r)
	}
	return false
}

// handleMemberList takes what another machine says of the members. A machine without a vote waits until a
// change is known to be complete.
func (f *Replica) handleMemberList(m *message.Message) {
	switch {
	case len(m.Members) == 0:
	case f.pending.CaughtUp:
		f.adoptMembers(m)
	case len(m.OutgoingMembers) == 0:
		f.registerMembers(m, hasMember(m.Members, f.selfMember()))
	}
}

// registerMembers notes the members on a machine without a vote. Whoever stands in the registry of the first
// start with this very disk has had all that was acknowledged since: it is whole. Others are mended by a
// view.
func (f *Replica) registerMembers(m *message.Message, mine bool) {
	if !mine {
		f.pending.Members, f.pending.OutgoingMembers, f.pending.MembershipEpoch = nil, nil, 0
		return
	}
	if len(f.pending.Members) > 0 && m.MembershipEpoch <= f.pending.MembershipEpoch {
		return
	}
	f.pending.Members, f.pending.OutgoingMembers, f.pending.MembershipEpoch = withProposerIDs(
		m.Members,
	), nil, m.MembershipEpoch
	f.pending.CaughtUp = m.MembershipEpoch == 0 && f.pending.Epoch == 0
	f.save(func() {
		f.Actions.Log(events.MembersStored, "machines", len(f.saved.Members), "caught_up", f.saved.CaughtUp)
		if f.saved.CaughtUp && f.state == StateUninitialized {
			f.transition(StateStandby)
		}
	})
}

// adoptMembers takes a newer registry, if it is one. It may be of a change that is not known to be complete:
// then both registries have to agree from here on. A machine that is in neither was removed.
func (f *Replica) adoptMembers(m *message.Message) {
	known := m.MembershipEpoch == f.pending.MembershipEpoch &&
		(len(f.pending.OutgoingMembers) == 0 || len(m.OutgoingMembers) > 0)
	if m.MembershipEpoch < f.pending.MembershipEpoch || known {
		return
	}
	if !hasMember(m.Members, f.selfMember()) && !hasMember(m.OutgoingMembers, f.selfMember()) {
		f.retire(m.MembershipEpoch, m.RemovedMembers)
		return
	}
	f.pending.Members = m.Members
	f.pending.OutgoingMembers = m.OutgoingMembers
	f.pending.MembershipEpoch = m.MembershipEpoch
	f.pending.RemovedMembers = m.RemovedMembers
	f.save(nil)
	if f.viewChange != nil { // it was asked for by the older one
		f.transition(StateStandby)
	}
}

// retire gives up this machine's membership, for ever: it was removed. What it holds counts no more, and it
// may come back as another member, with another id; if staff have removed it, by them alone. What it has
// promised stays.
func (f *Replica) retire(generation uint64, removed []message.Node) {
	barred := hasMember(removed, f.selfMember())
	f.Actions.Log(events.Removed, "membership_epoch", generation, "by_operator", barred)
	f.retirements++
	f.pending = PersistentState{
		StoreID:           f.Incarnation ^ f.retirements<<40,
		PromisedEpoch:     f.pending.PromisedEpoch,
		Epoch:             f.pending.Epoch,
		RemovedByOperator: barred,
	}
	f.installedEpoch = 0
	f.transition(StateUninitialized)
	f.save(nil)
}

// HandleAnnounce notes a machine with a disk that would be a member.
func (f *Replica) HandleAnnounce(now time.Duration, from string, m *message.Message) {
	f.now = now
	if from == f.self || hasMember(f.saved.Members, message.Node{Addr: from, StoreID: m.StoreID}) {
		return
	}
	c := f.learners[from]
	if c == nil || c.StoreID != m.StoreID {
		c = &learner{Node: message.Node{Addr: from, Zone: m.Zone, StoreID: m.StoreID}}
		f.learners[from] = c
	}
	c.lastHeard, c.removedByOperator = now, m.RemovedByOperator
	if f.state == StateServing && !c.caughtUp && f.proposer() == f.self &&
		(c.snapshotSentAt == 0 || now >= c.snapshotSentAt+learnerSnapshotInterval) {
		c.snapshotSentAt = now
		f.Actions.Send(
			from,
			&message.Message{
				Type:             message.TypeLearnerSnapshot,
				StoreID:          c.StoreID,
				AcceptedEpoch:    f.saved.AcceptedEpoch,
				Version:          f.saved.Version,
				AcceptedVersions: f.saved.latestAccepted(),
				AcceptedDelta:    message.NewDelta(f.saved.encodedAcceptedVersions(), 0, nil),
				Config:           message.NewDelta(f.saved.Config, 0, nil),
			},
		)
	}
}

// handleLearnerSnapshot takes what there is, as a machine without a vote: a view that makes it a member finds
// it there.
func (f *Replica) handleLearnerSnapshot(from string, m *message.Message) {
	if f.state != StateUninitialized || f.pending.CaughtUp || m.StoreID != f.saved.StoreID || f.diskUnhealthy() {
		return
	}
	learnt, err := f.valueOf(m)
	if err != nil {
		return
	}
	f.pending.Value = learnt
	f.save(func() {
		f.Actions.Send(
			from,
			&message.Message{Type: message.TypeLearnerReady, StoreID: m.StoreID, Version: m.Version},
		)
	})
}

func (f *Replica) handleLearnerReady(from string, m *message.Message) {
	if c := f.learners[from]; c != nil && c.StoreID == m.StoreID {
		c.caughtUp, c.lastHeard = true, f.now
	}
}

// nextMembership is the registry that there should be next; nil: the present one. It is asked for while a
// view serves well, so one change follows the other.
func (f *Replica) nextMembership() []message.Node {
	if len(f.saved.OutgoingMembers) > 0 || len(f.pending.OutgoingMembers) > 0 || f.proposer() != f.self ||
		!f.ServingWithQuorum() {
		return nil
	}
	for addr, c := range f.learners {
		if f.now > c.lastHeard+failureTimeout || hasMember(f.saved.Members, c.Node) {
			delete(f.learners, addr)
		}
	}
	ready := f.readyLearners()
	for _, m := range ready { // its disk is another one: the old one is gone
		if hasAddress(f.saved.Members, m.Addr) {
			return f.withReplacement(m.Addr, m)
		}
	}
	if f.changeRequest != nil {
		if f.now > f.changeRequest.receivedAt+changeRequestTimeout { // it may be sent again
			f.changeRequest = nil
			return nil
		}
		next, _ := f.requestedMembership(f.changeRequest.add, f.changeRequest.remove)
		return next
	}
	if gone := f.memberToReplace(); gone != "" {
		if len(ready) == 0 {
			return nil
		}
		zone := membersAt(f.saved.Members, []string{gone})[0].Zone
		return f.withReplacement(
			gone,
			ready[f.Tolerance.bestAddition(withoutAddress(f.saved.Members, gone), ready, zone)],
		)
	}
	// Who is away may be gone, and a newcomer is its successor then: members are spread only while all serve.
	few := len(f.saved.Members) < 2*f.Tolerance.Machines+1
	if !few && (len(f.chain) < len(f.saved.Members) || f.now < f.nextRebalance) {
		return nil
	}
	if old, i, ok := f.Tolerance.improvement(f.saved.Members, ready); ok {
		return f.withReplacement(old, ready[i])
	}
	if old := f.Tolerance.bestRemoval(f.saved.Members); old != "" {
		return withoutAddress(f.saved.Members, old)
	}
	f.nextRebalance = f.now + learnerSnapshotInterval
	return nil
}

// readyLearners returns the machines that may become members of themselves: they have caught up, and staff
// have not removed them.
func (f *Replica) readyLearners() (list []message.Node) {
	for _, c := range f.learners {
		if c.caughtUp && !c.removedByOperator {
			list = append(list, c.Node)
		}
	}
	slices.SortFunc(list, compareAddress)
	return list
}

// memberToReplace is the member whose place another should take: one that leaves, or the one that is lost for
// longest: silent, deaf, or with a disk that takes nothing.
func (f *Replica) memberToReplace() string {
	lost, since := "", f.now-cmp.Or(f.ReplaceAfter, defaultReplaceAfter)
	for _, m := range f.saved.Members {
		p := f.peers[m.Addr]
		switch {
		case m.Addr == f.self && f.draining, p != nil && p.draining:
			return m.Addr
		case m.Addr == f.self:
		case p == nil && f.stateSince < since: // not heard in this life, and long since this view began
			lost, since = m.Addr, f.stateSince
		case p != nil && p.lastHealthy < since:
			lost, since = m.Addr, p.lastHealthy
		}
	}
	return lost
}

// withReplacement is the registry with a machine in place of another, or, where that is empty, besides all;
// nil: there is no seat for it.
func (f *Replica) withReplacement(old string, fresh message.Node) []message.Node {
	taken := map[uint64]bool{}
	var list []message.Node
	for _, m := range f.saved.Members {
		if taken[m.ProposerID] = true; m.Addr != old {
			list = append(list, m)
		}
	}
	for fresh.ProposerID = 1; taken[fresh.ProposerID]; fresh.ProposerID++ {
	}
	if fresh.ProposerID > maxProposerID {
		return nil
	}
	list = append(list, fresh)
	slices.SortFunc(list, compareAddress)
	return list
}

// changeRequest is a change of members by hand.
type changeRequest struct {
	client                 string
	incarnation, requestID uint64
	add, remove            string
	receivedAt             time.Duration
}

// handleChangeMembers takes an order by hand at the head, or tells the members where nothing is to be
// changed. An order that comes again is the same one, and is answered when it is done.
func (f *Replica) handleChangeMembers(from string, m *message.Message) {
	if f.chainPosition() != 0 || !f.ServingWithQuorum() {
		f.redirect(from, m)
		return
	}
	o := changeRequest{from, m.Incarnation, m.RequestID, m.AddMember, m.RemoveMember, f.now}
	if m.AddMember == "" && m.RemoveMember == "" ||
		len(f.pending.OutgoingMembers) == 0 && f.isApplied(m.AddMember, m.RemoveMember) {
		f.answerChange(&o, "")
		return
	}
	if f.changeRequest != nil {
		if f.changeRequest.add != m.AddMember || f.changeRequest.remove != m.RemoveMember {
			f.answerChange(&o, "another change by hand is under way: try again")
			return
		}
		// who asked last waits for it
		f.changeRequest.client = from
		f.changeRequest.incarnation = m.Incarnation
		f.changeRequest.requestID = m.RequestID
		return
	}
	if _, why := f.requestedMembership(m.AddMember, m.RemoveMember); why != "" {
		f.answerChange(&o, why)
		return
	}
	f.changeRequest = &o
	f.evaluateView()
}

// answerChange answers an order: it is done, or why it is not.
func (f *Replica) answerChange(o *changeRequest, why string) {
	m := &message.Message{
		Type:              message.TypeChangeMembersResult,
		Incarnation:       o.incarnation,
		RequestID:         o.requestID,
		OK:                why == "",
		Reason:            why,
		Members:           f.saved.Members,
		MembershipEpoch:   f.saved.MembershipEpoch,
		Chain:             f.chain,
		ToleratedFailures: uint64(f.ToleratedFailures()),
		ToleranceGap:      f.ToleranceGap(),
	}
	for _, c := range f.learners {
		if f.now <= c.lastHeard+failureTimeout && !hasMember(f.saved.Members, c.Node) {
			m.Nodes = append(m.Nodes, c.Node)
		}
	}
	slices.SortFunc(m.Nodes, compareAddress)
	f.Actions.Send(o.client, m)
}

// removedMembersAfter returns the members that staff have removed, once another registry is in force. As they
// are part of it, who is told of one is told of the other.
func (f *Replica) removedMembersAfter(next []message.Node) []message.Node {
	if f.changeRequest == nil || hasAddress(next, f.changeRequest.remove) {
		return f.saved.RemovedMembers
	}
	list := slices.Concat(f.saved.RemovedMembers, membersAt(f.saved.Members, []string{f.changeRequest.remove}))
	return list[max(0, len(list)-maxRemovedMembers):]
}

// isApplied reports whether an order is carried out.
func (f *Replica) isApplied(add, remove string) bool {
	return (add == "" || hasAddress(f.saved.Members, add)) &&
		(remove == "" || !hasAddress(f.saved.Members, remove))
}

// answerAppliedChange answers an order that is carried out.
func (f *Replica) answerAppliedChange() {
	if o := f.changeRequest; o != nil && f.isApplied(o.add, o.remove) {
		f.changeRequest = nil
		f.answerChange(o, "")
	}
}

// requestedMembership is the registry that an order asks for, or why there is none.
func (f *Replica) requestedMembership(add, remove string) (next []message.Node, why string) {
	var fresh message.Node
	if add != "" {
		c := f.learners[add]
		switch {
		case hasAddress(f.saved.Members, add):
			return nil, add + " is a member already"
		case c == nil || f.now > c.lastHeard+failureTimeout:
			return nil, "no machine with a disk says that it is there at " + add
		case !c.caughtUp:
			return nil, add + " has not caught up yet: try again"
		}
		fresh = c.Node
	}
	if remove != "" && !hasAddress(f.saved.Members, remove) {
		return nil, "no member is at " + remove
	}
	if next = f.saved.Members; add != "" {
		if next = f.withReplacement(remove, fresh); next == nil {
			return nil, "there is no place for more members"
		}
	} else {
		next = withoutAddress(next, remove)
	}
	votes := 0
	for _, m := range next {
		if m.Addr == add || f.canVote(m) {
			votes++
		}
	}
	switch {
	case len(next) <= f.Tolerance.Machines:
		return nil, fmt.Sprintf("%d members would be left: the loss of %d could not be borne", len(next),
			f.Tolerance.Machines)
	case votes < majority(next):
		return nil, fmt.Sprintf(
			"no quorum would be left: of the %d members, %d are heard and have a vote, and %d "+
				"have to",
			len(next),
			votes,
			majority(next),
		)
	}
	if t := f.Tolerance; t.coversDomains() {
		well := f.healthyMembers()
		stay := slices.DeleteFunc(slices.Clone(next), func(m message.Node) bool {
			return m.Addr != add && !hasMember(well, m)
		})
		if why := t.gap(stay, next); why != "" && t.gap(well, f.saved.Members) == "" {
			return nil, "a loss that can be borne now could not be any more: " + why
		}
	}
	return next, ""
}

// Drain notes that this process was told to stop: another machine may take its place, and until it has,
// this one stays a member.
func (f *Replica) Drain(now time.Duration) {
	f.now, f.draining = now, true
	f.sendHeartbeats()
}

// HandingOver reports whether this machine is about to be replaced: it leaves, and another one waits.
func (f *Replica) HandingOver() bool {
	if !f.draining || !f.pending.CaughtUp || len(f.pending.Members) == 0 {
		return false
	}
	for _, c := range f.learners {
		if f.now <= c.lastHeard+failureTimeout && !c.removedByOperator && !hasMember(f.saved.Members, c.Node) {
			return true
		}
	}
	return false
}

// ToleratedFailures is how many machines of the core may be lost now with nothing lost and a view that serves
// again; 0 on one that does not know that a view serves. A repair has ended once it is what is to be borne.
func (f *Replica) ToleratedFailures() int {
	return f.Tolerance.toleratedFailures(f.healthyMembers(), f.saved.Members)
}

// ToleranceGap tells why not all that may be lost at once can be now, by machines, zones and regions; "": it
// can.
func (f *Replica) ToleranceGap() string {
	if f.Tolerance.isZero() {
		return ""
	}
	if !f.ServingWithQuorum() || len(f.saved.OutgoingMembers) > 0 {
		return "no view serves here, or its members are changing"
	}
	return f.Tolerance.gap(f.healthyMembers(), f.saved.Members)
}

// healthyMembers returns the members of the view that can be counted on: heard, whole, in service in it, with
// the last change noted as complete; none on a machine that does not know that a view serves.
func (f *Replica) healthyMembers() []message.Node {
	if !f.ServingWithQuorum() || len(f.saved.OutgoingMembers) > 0 {
		return nil
	}
	return slices.DeleteFunc(membersAt(f.saved.Members, f.chain), func(m message.Node) bool {
		p := f.peers[m.Addr]
		return !(m.Addr == f.self && !f.diskUnhealthy() || p != nil && f.isLive(m.Addr) && p.caughtUp &&
			p.epoch == f.epoch &&
			p.membershipEpoch == f.saved.MembershipEpoch && !p.joint)
	})
}

// reportTolerance tells when what is to be borne can be borne again, and when not; and once when it never can
// be, by the machines that there are.
func (f *Replica) reportTolerance() {
	why, was := f.ToleranceGap(), f.tolerant
	f.tolerant = why == ""
	switch {
	case f.tolerant && !was:
		f.Actions.Log(events.ToleranceRestored, "tolerated", f.ToleratedFailures(), "epoch", f.epoch,
			"members", len(f.saved.Members))
	case !f.tolerant && was:
		f.Actions.Log(events.ToleranceLost, "tolerated", f.ToleratedFailures(), "epoch", f.epoch, "why", why)
	}
	f.reportGap()
}

// reportGap says once that the members can't bear what the settings name, where no newcomer mends that for a
// while.
func (f *Replica) reportGap() {
	why := ""
	if f.Tolerance.coversDomains() {
		why = f.Tolerance.gap(f.saved.Members, f.saved.Members)
	}
	switch {
	case why == "":
		f.gapSince, f.gapReported = 0, false
	case f.gapReported:
	// who comes first only for a moment, or alone, has nothing to tell
	case f.proposer() != f.self || !f.ServingWithQuorum():
		f.gapSince = 0
	case f.gapSince == 0:
		f.gapSince = f.now
	case f.now >= f.gapSince+gapReportDelay:
		f.gapReported = true
		f.Actions.Log(events.ToleranceImpossible, "why", why, "members", len(f.saved.Members))
	}
}
