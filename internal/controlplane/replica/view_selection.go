package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Timing of view selection.
const (
	viewChangeDelay = 200 * time.Millisecond // how long another view must be desired
	// knownFailureDelay is used instead if each replica that the other view lacks is known to be down or about
	// to end.
	knownFailureDelay  = 20 * time.Millisecond
	flapRejoinDelay    = 800 * time.Millisecond // for a returned replica to be heard; its link may flap
	restartRejoinDelay = 150 * time.Millisecond // if its process was restarted
	restartLoopWindow  = 5 * time.Second        // unless it was also restarted within this time before
	servingTimeout     = 450 * time.Millisecond // for a replica of the chain to begin to serve in its view
)

// evaluateView checks whether another view is desired, and proposes it if this replica is the proposer.
func (r *Replica) evaluateView() {
	if r.view.change != nil {
		r.continueViewChange()
		return
	}
	desired := r.desiredChain()
	if !r.store.saved.CaughtUp || len(desired) == 0 || r.proposer() != r.self {
		r.view.desired = nil
		return
	}
	if r.state == StateServing && slices.Equal(desired, r.chain) && r.isChainHealthy() {
		r.view.desired = nil
		if members := r.nextMembership(); members != nil {
			r.startViewChange(desired, members)
		}
		return
	}
	if !slices.Equal(desired, r.view.desired) {
		r.view.desired, r.view.desiredSince = desired, r.now
		return
	}
	complete := len(desired) == len(r.store.saved.Members) // no further member can join
	if complete && r.state != StateServing && r.now >= r.stateSince+heartbeatInterval {
		r.startViewChange(desired, nil)
		return
	}
	delay := r.viewChangeDelay(desired)
	if r.now >= r.view.desiredSince+delay && r.now >= r.stateSince+delay {
		r.startViewChange(desired, nil)
	}
}

// viewChangeDelay returns how long another view must be desired. A replica that doesn't serve loses nothing
// by a wrong proposal, so it waits for a shorter time.
func (r *Replica) viewChangeDelay(desired []string) time.Duration {
	switch {
	case r.removesOnlyDownPeers(desired):
		return knownFailureDelay
	case r.state == StateServing:
		return viewChangeDelay
	}
	return viewChangeDelay / 2
}

// removesOnlyDownPeers reports whether a chain is the current one without the replicas that are down or about
// to end, and differs in nothing else.
func (r *Replica) removesOnlyDownPeers(chain []string) bool {
	if len(chain) >= len(r.chain) {
		return false
	}
	up := slices.DeleteFunc(slices.Clone(r.chain), func(addr string) bool {
		p := r.peers.byAddr[addr]
		return addr != r.self && p != nil && (p.down || p.leaving())
	})
	return slices.Equal(up, chain)
}

// isChainHealthy reports whether all other replicas of the chain serve in this view or may still begin to. It
// is false if one has lost its disk, or has promised another epoch to a proposer that failed, or if the
// rate-limit allocator has released its role.
func (r *Replica) isChainHealthy() bool {
	return !r.allocatorReleased() && !slices.ContainsFunc(r.chain, func(addr string) bool {
		if addr == r.self {
			return false
		}
		p := r.peers.byAddr[addr]
		return p == nil || !p.caughtUp || r.now > max(p.lastInSameView, r.stateSince)+servingTimeout
	})
}

// proposer returns the first live member in address order among those in the newest view. A member that is
// not in that view, or hears only some of its replicas, waits until they include it.
func (r *Replica) proposer() (first string) {
	newest := uint64(0)
	for _, m := range r.store.saved.Members {
		if !r.canVote(m) {
			continue
		}
		epoch := uint64(0)
		switch {
		case m.Addr != r.self:
			epoch = r.peers.byAddr[m.Addr].epoch
		case r.state == StateServing:
			epoch = r.epoch
		}
		if first == "" || epoch > newest {
			first, newest = m.Addr, epoch
		}
	}
	return first
}

// desiredChain returns the chain that should serve, in address order; nil if too few members are live for
// one.
func (r *Replica) desiredChain() []string {
	if chain := r.liveChain(false); chain != nil {
		return chain
	}
	return r.liveChain(true)
}

// liveChain returns the chain of the live members that can serve together, in address order; nil if too few
// are live. withUnresponsive includes peers that are heard but have not answered a phase of a view change.
func (r *Replica) liveChain(withUnresponsive bool) []string {
	members := r.store.saved.Members
	var chain []string
	for _, m := range members {
		if r.isLive(m.Addr) && (m.Addr == r.self || r.mayJoinChain(m.Addr, withUnresponsive)) &&
			!r.peers.partitioned(m.Addr, chain) {
			chain = append(chain, m.Addr)
		}
	}
	votes := func(m message.Node) bool {
		return r.canVote(m) && (slices.Contains(chain, m.Addr) || !hasAddress(members, m.Addr))
	}
	if !hasQuorum(votes, r.store.saved.electorates()...) ||
		!r.tolerance.chainSuffices(membersAt(members, chain), members) {
		return nil
	}
	return chain
}

// mayJoinChain reports whether a live peer may be in the chain. While this replica serves, a peer that has
// returned must wait.
func (r *Replica) mayJoinChain(addr string, withUnresponsive bool) bool {
	p := r.peers.byAddr[addr]
	if !withUnresponsive && r.now < p.unresponsiveUntil {
		return false
	}
	return r.state != StateServing || slices.Contains(r.chain, addr) || r.now >= p.joinableAt
}
