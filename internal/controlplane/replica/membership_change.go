package replica

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// nextMembership is the members that there should be next; nil: the present ones. It is asked for while a
// view serves well, so one change follows the other.
func (r *Replica) nextMembership() []message.Node {
	if len(r.store.saved.OutgoingMembers) > 0 || len(r.store.pending.OutgoingMembers) > 0 ||
		r.proposer() != r.self || !r.ServingWithQuorum() {
		return nil
	}
	r.forgetLearners()
	members := r.store.saved.Members
	ready := r.membership.promotableLearners()
	for _, l := range ready { // its store is another one: the old one is gone
		if hasAddress(members, l.Addr) {
			return withReplacement(members, l.Addr, l)
		}
	}
	if request := r.membership.request; request != nil {
		if r.now > request.receivedAt+changeRequestTimeout { // it may be sent again
			r.membership.request = nil
			return nil
		}
		next, err := r.requestedMembership(request.add, request.remove)
		if err != nil {
			return nil // not yet
		}
		return next
	}
	if lost := r.memberToReplace(); lost != "" {
		return r.replaceLost(lost, ready)
	}
	return r.rebalancedMembership(ready)
}

// forgetLearners drops learners that are heard no more, or are members by now.
func (r *Replica) forgetLearners() {
	for addr, l := range r.membership.learners {
		if !l.heard(r.now) || hasMember(r.store.saved.Members, l.Node) {
			delete(r.membership.learners, addr)
		}
	}
}

// replaceLost is the members with the best of some learners in the place of one that is lost; nil: there is
// none.
func (r *Replica) replaceLost(lost string, ready []message.Node) []message.Node {
	if len(ready) == 0 {
		return nil
	}
	members := r.store.saved.Members
	zone := membersAt(members, []string{lost})[0].Zone
	best := r.tolerance.bestAddition(withoutAddress(members, lost), ready, zone)
	return withReplacement(members, lost, ready[best])
}

// rebalancedMembership is the members by which more losses can be tolerated; nil: none. Who is away may be
// gone, and a learner is its successor then: members are spread only while all serve.
func (r *Replica) rebalancedMembership(ready []message.Node) []message.Node {
	members := r.store.saved.Members
	tooFew := len(members) < 2*r.tolerance.Machines+1
	if !tooFew && (len(r.chain) < len(members) || r.now < r.membership.nextRebalance) {
		return nil
	}
	if old, i, ok := r.tolerance.improvement(members, ready); ok {
		return withReplacement(members, old, ready[i])
	}
	if old := r.tolerance.bestRemoval(members); old != "" {
		return withoutAddress(members, old)
	}
	r.membership.nextRebalance = r.now + learnerSnapshotInterval
	return nil
}

// memberToReplace is the member whose place another should take: one that drains, or the one that is lost for
// longest: silent, unresponsive, or with a disk that takes nothing; empty: none.
func (r *Replica) memberToReplace() string {
	lost, since := "", r.now-cmp.Or(r.options.ReplaceAfter, defaultReplaceAfter)
	for _, m := range r.store.saved.Members {
		p := r.peers.byAddr[m.Addr]
		switch {
		case m.Addr == r.self && r.draining, p != nil && p.draining:
			return m.Addr
		case m.Addr == r.self:
		case p == nil && r.stateSince < since: // not heard in this incarnation, and long since this view began
			lost, since = m.Addr, r.stateSince
		case p != nil && p.lastHealthy < since:
			lost, since = m.Addr, p.lastHealthy
		}
	}
	return lost
}

// withReplacement is the members with a replica in place of another, or, where that is empty, beside all;
// nil: there is no proposer id for it.
func withReplacement(members []message.Node, old string, replica message.Node) []message.Node {
	taken := map[uint64]bool{}
	var list []message.Node
	for _, m := range members {
		taken[m.ProposerID] = true
		if m.Addr != old {
			list = append(list, m)
		}
	}
	replica.ProposerID = 1
	for taken[replica.ProposerID] {
		replica.ProposerID++
	}
	if replica.ProposerID > maxProposerID {
		return nil
	}
	list = append(list, replica)
	slices.SortFunc(list, compareAddress)
	return list
}

// changeRequest is a change of members that an operator has ordered.
type changeRequest struct {
	client      clientRequest
	add, remove string // addresses; empty: none
	receivedAt  time.Duration
}

// changeRefusedError says why an operator's order can't be carried out.
type changeRefusedError struct{ reason string }

func (e *changeRefusedError) Error() string { return e.reason }

func refuseChange(format string, args ...any) error {
	return &changeRefusedError{fmt.Sprintf(format, args...)}
}

// handleChangeMembers takes an operator's order at the head, or tells the members where nothing is to be
// changed. An order that comes again is the same one, and is answered when it is carried out.
func (r *Replica) handleChangeMembers(from string, m *message.Message, order *message.ChangeMembers) {
	if r.chainPosition() != 0 || !r.ServingWithQuorum() {
		r.redirect(from, m)
		return
	}
	client := clientRequest{from, m.Incarnation, m.RequestID}
	onlyShow := order.AddMember == "" && order.RemoveMember == ""
	if onlyShow || len(r.store.pending.OutgoingMembers) == 0 && r.isApplied(order.AddMember,
		order.RemoveMember) {
		r.respondToChange(client, nil)
		return
	}
	if current := r.membership.request; current != nil {
		if current.add != order.AddMember || current.remove != order.RemoveMember {
			r.respondToChange(client, refuseChange("another change by hand is under way: try again"))
			return
		}
		current.client = client // who asked last waits for it
		return
	}
	if _, err := r.requestedMembership(order.AddMember, order.RemoveMember); err != nil {
		r.respondToChange(client, err)
		return
	}
	r.membership.request = &changeRequest{client, order.AddMember, order.RemoveMember, r.now}
	r.evaluateView()
}

// respondToChange answers an order: it is carried out, or why it is not.
func (r *Replica) respondToChange(client clientRequest, refused error) {
	saved := &r.store.saved
	result := &message.ChangeMembersResult{OK: refused == nil, Members: saved.Members,
		MembershipEpoch: saved.MembershipEpoch, Chain: r.chain, ToleratedFailures: uint64(r.ToleratedFailures()),
		ToleranceGap: r.ToleranceGap()}
	if refused != nil {
		result.Reason = refused.Error()
	}
	for _, l := range r.membership.learners {
		if l.heard(r.now) && !hasMember(saved.Members, l.Node) {
			result.Learners = append(result.Learners, l.Node)
		}
	}
	slices.SortFunc(result.Learners, compareAddress)
	r.respond(client, result)
}

// isApplied reports whether an order is carried out.
func (r *Replica) isApplied(add, remove string) bool {
	members := r.store.saved.Members
	return (add == "" || hasAddress(members, add)) && (remove == "" || !hasAddress(members, remove))
}

// respondToAppliedChange answers an order that is carried out.
func (r *Replica) respondToAppliedChange() {
	request := r.membership.request
	if request != nil && r.isApplied(request.add, request.remove) {
		r.membership.request = nil
		r.respondToChange(request.client, nil)
	}
}

// removedMembersAfter returns the members that operators have removed, once other members are in force. As
// they are part of the membership, who is told of one is told of the other.
func (r *Replica) removedMembersAfter(next []message.Node) []message.Node {
	saved, request := &r.store.saved, r.membership.request
	if request == nil || hasAddress(next, request.remove) {
		return saved.RemovedMembers
	}
	list := slices.Concat(saved.RemovedMembers, membersAt(saved.Members, []string{request.remove}))
	return list[max(0, len(list)-maxRemovedMembers):]
}

// requestedMembership is the members that an order asks for. The error is a *changeRefusedError.
func (r *Replica) requestedMembership(add, remove string) (next []message.Node, err error) {
	members := r.store.saved.Members
	var added message.Node
	if add != "" {
		if added, err = r.learnerToAdd(add); err != nil {
			return nil, err
		}
	}
	if remove != "" && !hasAddress(members, remove) {
		return nil, refuseChange("no member is at %s", remove)
	}
	if add == "" {
		next = withoutAddress(members, remove)
	} else if next = withReplacement(members, remove, added); next == nil {
		return nil, refuseChange("there is no place for more members")
	}
	if err := r.checkMembership(next, add); err != nil {
		return nil, err
	}
	return next, nil
}

// learnerToAdd returns the learner at an address, if it can become a member.
func (r *Replica) learnerToAdd(addr string) (message.Node, error) {
	l := r.membership.learners[addr]
	switch {
	case hasAddress(r.store.saved.Members, addr):
		return message.Node{}, refuseChange("%s is a member already", addr)
	case l == nil || !l.heard(r.now):
		return message.Node{}, refuseChange("no machine with a disk says that it is there at %s", addr)
	case !l.caughtUp:
		return message.Node{}, refuseChange("%s has not caught up yet: try again", addr)
	}
	return l.Node, nil
}

// checkMembership refuses members by which a quorum, or a loss that can be tolerated now, could not be any
// more. The member at the address add is one that is added, and can vote.
func (r *Replica) checkMembership(next []message.Node, add string) error {
	votes := 0
	for _, m := range next {
		if m.Addr == add || r.canVote(m) {
			votes++
		}
	}
	if len(next) <= r.tolerance.Machines {
		return refuseChange("%d members would be left: the loss of %d could not be tolerated", len(next),
			r.tolerance.Machines)
	}
	if votes < majority(next) {
		return refuseChange("no quorum would be left: "+
			"of the %d members, %d are heard and have a vote, and %d have to",
			len(next), votes, majority(next))
	}
	if !r.tolerance.coversDomains() {
		return nil
	}
	healthy := r.healthyMembers()
	staying := slices.DeleteFunc(slices.Clone(next), func(m message.Node) bool {
		return m.Addr != add && !hasMember(healthy, m)
	})
	gap := r.tolerance.gap(staying, next)
	if gap != "" && r.tolerance.gap(healthy, r.store.saved.Members) == "" {
		return refuseChange("a loss that can be tolerated now could not be any more: %s", gap)
	}
	return nil
}
