package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Times of choosing a view.
const (
	viewChangeDelay = 200 * time.Millisecond // another view must be desired for so long
	// knownFailureDelay is the same where each replica that the other view does without is known to be
	// down, or to be about to end.
	knownFailureDelay  = 20 * time.Millisecond
	flapRejoinDelay    = 800 * time.Millisecond // a replica that came back must be heard so long: flapping links
	restartRejoinDelay = 150 * time.Millisecond // where its process was restarted
	restartLoopWindow  = 5 * time.Second        // unless it was restarted within this before, too
	servingTimeout     = 450 * time.Millisecond // for a replica of the chain to serve in its view
)

// evaluateView looks whether another view is desired, and proposes it if this replica is the one to do so.
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
	complete := len(desired) == len(r.store.saved.Members) // no more can come
	if complete && r.state != StateServing && r.now >= r.stateSince+heartbeatInterval {
		r.startViewChange(desired, nil)
		return
	}
	delay := r.viewChangeDelay(desired)
	if r.now >= r.view.desiredSince+delay && r.now >= r.stateSince+delay {
		r.startViewChange(desired, nil)
	}
}

// viewChangeDelay is how long another view must be desired. A replica that doesn't serve has nothing to lose
// by a wrong one.
func (r *Replica) viewChangeDelay(desired []string) time.Duration {
	switch {
	case r.lacksOnlyLostPeers(desired):
		return knownFailureDelay
	case r.state == StateServing:
		return viewChangeDelay
	}
	return viewChangeDelay / 2
}

// lacksOnlyLostPeers reports whether a chain differs from the present one by lacking replicas that are
// down, or about to end, and by nothing else.
func (r *Replica) lacksOnlyLostPeers(chain []string) bool {
	if len(chain) >= len(r.chain) {
		return false
	}
	up := slices.DeleteFunc(slices.Clone(r.chain), func(addr string) bool {
		p := r.peers.byAddr[addr]
		return addr != r.self && p != nil && (p.down || p.leaving())
	})
	return slices.Equal(up, chain)
}

// isChainHealthy reports whether all others of the chain serve in this view, or may yet do so in a
// moment: not one that has lost its disk, nor one that has promised another epoch to who is gone. Nor is
// it healthy if the rate-limit allocator has given up its role.
func (r *Replica) isChainHealthy() bool {
	return !r.allocatorReleased() && !slices.ContainsFunc(r.chain, func(addr string) bool {
		if addr == r.self {
			return false
		}
		p := r.peers.byAddr[addr]
		return p == nil || !p.caughtUp || r.now > max(p.lastServingWithUs, r.stateSince)+servingTimeout
	})
}

// proposer is the first live member in the agreed order, of those that serve in the newest view where any do:
// who is not in it, or hears only some of those who are, waits until they take it in.
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

// desiredChain is the chain that there should be, in the agreed order; nil where too few members live for
// any.
func (r *Replica) desiredChain() []string {
	if chain := r.liveChain(false); chain != nil {
		return chain
	}
	return r.liveChain(true)
}

// liveChain is that chain, without those that are heard and have not answered, or with them.
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

// mayJoinChain reports whether a live peer may be in the chain: while this replica serves, one that has come
// back waits.
func (r *Replica) mayJoinChain(addr string, withUnresponsive bool) bool {
	p := r.peers.byAddr[addr]
	if !withUnresponsive && r.now < p.unresponsiveUntil {
		return false
	}
	return r.state != StateServing || slices.Contains(r.chain, addr) || r.now >= p.joinableAt
}
