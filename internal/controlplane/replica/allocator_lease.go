package replica

import (
	"slices"

	"dunespoke/internal/controlplane/message"
)

// The rate-limit allocator grants tokens, and two of them at once grant twice what there is: the epoch of a
// grant can't tell, since each is asked by those who know of no other. So that role is held by a lease, and
// its next holder waits until no lease of an earlier one can be left.
//
// A holder has a lease of each replica that has told it, serving in its view, of a heartbeat that the holder
// sent less than allocatorLeaseDuration ago, and grants only with those of a quorum. A later view has the
// promises of a quorum, so that one of these has left the holder's view: it told of heartbeats that had come
// to it by then. So the lease has run out allocatorLeaseDuration after the later view began; sooner, if that
// replica has had nothing for so long from who took no part in the later view, or those have heard it in
// that. Who took part, in the chain or by leaving the core, has left the view before.

// allocatorLeaseDuration is how long a lease lasts, from the holder's own sending. A replica that falls
// silent to all is missed, and another view has been wished for, after more than that: nothing is waited for.
const allocatorLeaseDuration = contactTimeout

// allocatorLease is what a replica knows of allocator leases in the view that it serves in.
type allocatorLease struct {
	participants     []string // the replicas that took part in the view
	firstHeartbeat   uint64   // this replica's first heartbeat under it
	oldLeasesExpired bool     // it has said that no other replica can hold a lease of it any more
}

// noteHeartbeatInView notes the first heartbeat under a view, and reports whether none who took no part in
// that can hold a lease of this replica any more.
func (r *Replica) noteHeartbeatInView(sequence uint64) bool {
	lease := &r.allocator
	if lease.firstHeartbeat == 0 {
		lease.firstHeartbeat = sequence
	}
	lease.oldLeasesExpired = lease.oldLeasesExpired || r.outsideLeasesExpired()
	return lease.oldLeasesExpired
}

// outsideLeasesExpired reports that anew. What an earlier incarnation of this process told, it does not know;
// that is nothing to those who have heard it in this view.
func (r *Replica) outsideLeasesExpired() bool {
	knowsView := func(addr string) bool {
		p := r.peers.byAddr[addr]
		return slices.Contains(r.allocator.participants, addr) || p != nil && p.sawUsInEpoch == r.epoch
	}
	for addr, p := range r.peers.byAddr {
		if r.now <= p.lastHeartbeatAt+allocatorLeaseDuration && !knowsView(addr) {
			return false
		}
	}
	if r.now > r.startedAt+allocatorLeaseDuration {
		return true
	}
	return !slices.ContainsFunc(r.store.saved.allMembers(),
		func(m message.Node) bool { return !knowsView(m.Addr) })
}

// recordAllocatorLease takes what a heartbeat tells of leases: that of its sender, counted from the heartbeat
// that it echoes; that the sender has heard this replica in its view, and holds none of it in an earlier one
// any more; and whether others may hold one of the sender.
func (r *Replica) recordAllocatorLease(p *peerState, h *message.Heartbeat) {
	sentAt, known := r.peers.sent.sentTime(h.EchoSequence)
	p.leaseSentAt = 0
	if known && p.epoch == h.Epoch {
		p.leaseSentAt = sentAt
	}
	if h.OldLeasesExpired {
		p.oldLeasesExpiredIn = max(p.oldLeasesExpiredIn, h.Epoch)
	}
	if !known || r.state != StateServing || h.EchoSequence < r.allocator.firstHeartbeat {
		return
	}
	p.sawUsInEpoch = r.epoch
	if !r.allocator.oldLeasesExpired && r.outsideLeasesExpired() {
		r.sendHeartbeats() // who waits for it need not wait for the next one
	}
}

// holdsAllocatorLease reports whether this replica has leases of a quorum.
func (r *Replica) holdsAllocatorLease() bool {
	return r.state == StateServing && hasQuorum(func(m message.Node) bool {
		return r.isPresent(m) && (m.Addr == r.self || r.hasLeaseOf(r.peers.byAddr[m.Addr]))
	}, r.store.pending.electorates()...)
}

// hasLeaseOf reports whether this replica has a lease of a peer.
func (r *Replica) hasLeaseOf(p *peerState) bool {
	return r.inContact(p) && p.leaseSentAt != 0 && r.now < p.leaseSentAt+allocatorLeaseDuration
}

// predecessorLeasesExpired reports whether no earlier holder can have a lease: all of the chain have said so
// in this view, or the time of one has passed since that began.
func (r *Replica) predecessorLeasesExpired() bool {
	if r.now >= r.stateSince+allocatorLeaseDuration {
		return true
	}
	return !slices.ContainsFunc(r.chain, func(addr string) bool {
		if addr == r.self {
			return !r.allocator.oldLeasesExpired
		}
		p := r.peers.byAddr[addr]
		return p == nil || p.oldLeasesExpiredIn != r.epoch
	})
}
