package replica

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// nextMembership returns the members of the next change, or nil if none is needed. It is called while a view
// serves without a pending view change, so that only one change is in progress at a time.
func (r *Replica) nextMembership() []message.Node {
	if len(r.store.saved.OutgoingMembers) > 0 || len(r.store.pending.OutgoingMembers) > 0 ||
		r.proposer() != r.self || !r.ServingWithQuorum() {
		return nil
	}
	r.removeStaleLearners()
	members := r.store.saved.Members
	promotable := r.membership.promotableLearners()
	for _, l := range promotable { // a new store at a member's address replaces the old one
		if hasAddress(members, l.Addr) {
			return withReplacement(members, l.Addr, l)
		}
	}
	if request := r.membership.request; request != nil {
		if r.now > request.receivedAt+changeRequestTimeout { // the client may send it again
			r.membership.request = nil
			return nil
		}
		next, err := r.requestedMembership(request.add, request.remove)
		if err != nil {
			return nil // not possible yet
		}
		return next
	}
	if lost := r.memberToReplace(); lost != "" {
		return r.replaceLost(lost, promotable)
	}
	return r.rebalancedMembership(promotable)
}

// removeStaleLearners removes the learners that are not heard any more or have become members.
func (r *Replica) removeStaleLearners() {
	for addr, l := range r.membership.learners {
		if !l.heard(r.now) || hasMember(r.store.saved.Members, l.Node) {
			delete(r.membership.learners, addr)
		}
	}
}

// replaceLost returns the members with the best suited learner in place of a lost member; nil if there is
// no learner.
func (r *Replica) replaceLost(lost string, promotable []message.Node) []message.Node {
	if len(promotable) == 0 {
		return nil
	}
	members := r.store.saved.Members
	zone := membersAt(members, []string{lost})[0].Zone
	best := r.tolerance.bestAddition(withoutAddress(members, lost), promotable, zone)
	return withReplacement(members, lost, promotable[best])
}

// rebalancedMembership returns members that can tolerate more failures; nil if there is no such change.
// Unless there are too few members, they are rebalanced only while all of them serve: a member that doesn't
// may have been lost, and then a learner is needed to replace it.
func (r *Replica) rebalancedMembership(promotable []message.Node) []message.Node {
	members := r.store.saved.Members
	tooFew := len(members) < 2*r.tolerance.Machines+1
	if !tooFew && (len(r.chain) < len(members) || r.now < r.membership.nextRebalance) {
		return nil
	}
	if old, i, ok := r.tolerance.improvement(members, promotable); ok {
		return withReplacement(members, old, promotable[i])
	}
	if old := r.tolerance.bestRemoval(members); old != "" {
		return withoutAddress(members, old)
	}
	r.membership.nextRebalance = r.now + learnerSnapshotInterval
	return nil
}

// memberToReplace returns the address of the member that should be replaced: one that is draining, or the one
// that has been lost for the longest time, because it is silent, unresponsive, or unhealthy as with a failing
// disk. It is empty if there is none.
func (r *Replica) memberToReplace() string {
	lost, since := "", r.now-cmp.Or(r.options.ReplaceAfter, defaultReplaceAfter)
	for _, m := range r.store.saved.Members {
		p := r.peers.byAddr[m.Addr]
		switch {
		case m.Addr == r.self && r.draining, p != nil && p.draining:
			return m.Addr
		case m.Addr == r.self:
		case p == nil && r.stateSince < since: // not heard in this incarnation, and this view began long ago
			lost, since = m.Addr, r.stateSince
		case p != nil && p.lastHealthy < since:
			lost, since = m.Addr, p.lastHealthy
		}
	}
	return lost
}

// withReplacement returns the members with a replica in place of the one at the address old, or in addition
// to all if old is empty; nil if no proposer id is free.
func withReplacement(members []message.Node, old string, replica message.Node) []message.Node {
	usedProposerIDs := map[uint64]bool{}
	var list []message.Node
	for _, m := range members {
		usedProposerIDs[m.ProposerID] = true
		if m.Addr != old {
			list = append(list, m)
		}
	}
	replica.ProposerID = 1
	for usedProposerIDs[replica.ProposerID] {
		replica.ProposerID++
	}
	if replica.ProposerID > maxProposerID {
		return nil
	}
	list = append(list, replica)
	slices.SortFunc(list, compareAddress)
	return list
}

// changeRequest is a membership change that an operator has requested.
type changeRequest struct {
	client      clientRequest
	add, remove string // addresses; empty: none
	receivedAt  time.Duration
}

// changeRefusedError reports why an operator's request can't be carried out.
type changeRefusedError struct{ reason string }

func (e *changeRefusedError) Error() string { return e.reason }

func refuseChange(format string, args ...any) error {
	return &changeRefusedError{fmt.Sprintf(format, args...)}
}

// handleChangeMembers handles an operator's request at the head. A request without a change returns the
// membership. A repeated request is treated as the pending one, and is answered when that has been applied.
func (r *Replica) handleChangeMembers(from string, m *message.Message, order *message.ChangeMembers) {
	if r.chainPosition() != 0 || !r.ServingWithQuorum() {
		r.redirect(from, m)
		return
	}
	client := clientRequest{from, m.Incarnation, m.RequestID}
	readOnly := order.AddMember == "" && order.RemoveMember == ""
	if readOnly || len(r.store.pending.OutgoingMembers) == 0 && r.isApplied(order.AddMember,
		order.RemoveMember) {
		r.respondToChange(client, nil)
		return
	}
	if current := r.membership.request; current != nil {
		if current.add != order.AddMember || current.remove != order.RemoveMember {
			r.respondToChange(client, refuseChange("another change by hand is under way: try again"))
			return
		}
		current.client = client // the response goes to the latest client
		return
	}
	if _, err := r.requestedMembership(order.AddMember, order.RemoveMember); err != nil {
		r.respondToChange(client, err)
		return
	}
	r.membership.request = &changeRequest{client, order.AddMember, order.RemoveMember, r.now}
	r.evaluateView()
}

// respondToChange answers a request: it has been applied, or the error is the reason why it was refused.
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

// isApplied reports whether the members already are as a request wants them.
func (r *Replica) isApplied(add, remove string) bool {
	members := r.store.saved.Members
	return (add == "" || hasAddress(members, add)) && (remove == "" || !hasAddress(members, remove))
}

// respondToAppliedChange answers the pending request if it has been applied.
func (r *Replica) respondToAppliedChange() {
	request := r.membership.request
	if request != nil && r.isApplied(request.add, request.remove) {
		r.membership.request = nil
		r.respondToChange(request.client, nil)
	}
}

// removedMembersAfter returns the list of members that operators have removed, as it is once the members in
// next are in force. The list is part of the membership and is always sent together with it.
func (r *Replica) removedMembersAfter(next []message.Node) []message.Node {
	saved, request := &r.store.saved, r.membership.request
	if request == nil || hasAddress(next, request.remove) {
		return saved.RemovedMembers
	}
	list := slices.Concat(saved.RemovedMembers, membersAt(saved.Members, []string{request.remove}))
	return list[max(0, len(list)-maxRemovedMembers):]
}

// requestedMembership returns the members that a request leads to. The error is a *changeRefusedError.
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

// checkMembership refuses a membership that would have no quorum, or that could not tolerate a failure that
// can be tolerated now. The member at the address add is the added one and counts as able to vote.
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
	remaining := slices.DeleteFunc(slices.Clone(next), func(m message.Node) bool {
		return m.Addr != add && !hasMember(healthy, m)
	})
	gap := r.tolerance.gap(remaining, next)
	if gap != "" && r.tolerance.gap(healthy, r.store.saved.Members) == "" {
		return refuseChange("a loss that can be tolerated now could not be any more: %s", gap)
	}
	return nil
}
