package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// The rate-limit allocator grants tokens, and two allocators at the same time would grant twice the available
// amount. The epoch of a grant doesn't prevent that, because the clients of each allocator may know of no
// other one. The role is therefore protected by a lease, and the next holder waits until no lease of an
// earlier holder can still be valid.
//
// A holder has a lease from each replica that serves in the holder's view and has acknowledged a heartbeat
// that the holder sent less than allocatorLeaseDuration ago. It grants tokens only with leases from a quorum.
// A later view needs promises from a quorum, so at least one replica of the holder's quorum has left the
// holder's view by then. When a replica leaves a view, it records how long the lease that it granted to the
// holder of that view can last; no other replica has a lease from it. The next holder may grant tokens once
// all replicas of its chain have reported, in the new view, that none of the leases that they granted is
// still valid. A replica considers a granted lease ended if one of these is true:
//
//   - The lease has expired.
//   - The old holder took part in the new view, as a replica of the chain or as a member that leaves the
//     core, or has echoed a heartbeat that was sent in the new view. It left its own view before that.
//   - The old holder has reported that it released the role, as it does when it hears no quorum.
//   - Another process has sent heartbeats with the store id of the old holder. The old process has ended,
//     and a restarted process doesn't take part in an old view.
//
// A replica doesn't know which leases an earlier incarnation of its process granted. It waits until these
// must have expired, unless all replicas that may have one know of the new view. The possible holders are
// stored on disk together with the view.

// allocatorLeaseDuration is how long a lease lasts, counted from when its holder sent the heartbeat. The
// failure of a silent replica is detected, and a new view is desired, only after a longer time, so the lease
// doesn't delay a view change.
const allocatorLeaseDuration = contactTimeout

// allocatorLease is what a replica knows about allocator leases in the view that it serves in.
type allocatorLease struct {
	epoch            uint64   // of the view
	holder           string   // holder of the role in the view
	participants     []string // replicas that took part in the view
	firstHeartbeat   uint64   // sequence number of this replica's first heartbeat in the view; 0: none yet
	oldLeasesExpired bool     // this replica has reported that no lease of an earlier view is valid
	releasedEpoch    uint64   // of the last view in which this replica released the role
	granted          []grantedLease
	// inheritedHolders are the holders to which an earlier incarnation of this process may have granted leases.
	inheritedHolders []string
}

// grantedLease is a lease that a replica may have granted in a view that it has left.
type grantedLease struct {
	epoch       uint64
	holder      string
	incarnation uint64 // of the holder's process, from its heartbeats
	storeID     uint64 // of the holder's store
	expiresAt   time.Duration
}

// enterAllocatorView starts a view. The leases granted in earlier views stay recorded.
func (r *Replica) enterAllocatorView(epoch uint64, chain, leaving []string) {
	r.allocator = allocatorLease{epoch: epoch, holder: RoleHolder(chain, QuotaAllocator),
		participants:  slices.Concat(chain, leaving),
		releasedEpoch: r.allocator.releasedEpoch, granted: r.allocator.granted,
		inheritedHolders: r.allocator.inheritedHolders}
}

// leaveAllocatorView records the lease that the holder may have from this replica when the replica leaves the
// view that it served in. The holder's lease counts from a heartbeat that has been received by now.
func (r *Replica) leaveAllocatorView() {
	lease := &r.allocator
	lease.granted = slices.DeleteFunc(lease.granted, func(g grantedLease) bool { return r.now > g.expiresAt })
	if p := r.peers.byAddr[lease.holder]; p != nil {
		lease.granted = append(lease.granted, grantedLease{epoch: lease.epoch, holder: lease.holder,
			incarnation: p.incarnation(), storeID: p.storeID,
			expiresAt: p.lastHeartbeatAt + allocatorLeaseDuration})
	}
}

// releaseAllocatorRole releases the role in the current view, if this replica holds it, because it hears no
// quorum or is about to stop. A view change follows.
func (r *Replica) releaseAllocatorRole() {
	if r.state == StateServing && r.allocator.holder == r.self {
		r.allocator.releasedEpoch = r.epoch
	}
}

// allocatorReleased reports whether the holder of the role in the current view has released it.
func (r *Replica) allocatorReleased() bool {
	if r.allocator.holder == r.self {
		return r.allocator.releasedEpoch == r.epoch
	}
	p := r.peers.byAddr[r.allocator.holder]
	return p != nil && p.releasedEpoch == r.epoch
}

// recordHeartbeatInView records the first heartbeat that this replica sends in a view, and reports whether no
// replica outside the view can have a valid lease from this replica.
func (r *Replica) recordHeartbeatInView(sequence uint64) bool {
	lease := &r.allocator
	if lease.firstHeartbeat == 0 {
		lease.firstHeartbeat = sequence
	}
	lease.oldLeasesExpired = lease.oldLeasesExpired || r.grantedLeasesExpired()
	return lease.oldLeasesExpired
}

// grantedLeasesExpired evaluates whether no lease that this replica granted in an earlier view is still
// valid. The replica doesn't know what an earlier incarnation of its process granted, but that is irrelevant
// for holders that have seen the current view.
func (r *Replica) grantedLeasesExpired() bool {
	for _, lease := range r.allocator.granted {
		if r.now <= lease.expiresAt && !r.hasLeftView(lease) {
			return false
		}
	}
	if r.now > r.startedAt+allocatorLeaseDuration {
		return true
	}
	return !slices.ContainsFunc(r.allocator.inheritedHolders,
		func(addr string) bool { return !r.hasSeenView(addr) })
}

// inheritedLeaseHolders returns the replicas to which an earlier incarnation of the process at self may have
// granted leases, according to the state that it stored. It served in the stored view or in an earlier one,
// whose holders are stored with it. Where the holders were not stored, any member may be one.
func inheritedLeaseHolders(self string, found *PersistentState) (holders []string) {
	if !found.HoldersKnown {
		for _, m := range found.allMembers() {
			holders = append(holders, m.Addr)
		}
		return holders
	}
	holders = slices.Clone(found.EarlierHolders)
	if holder := RoleHolder(found.Chain, QuotaAllocator); holder != "" {
		holders = append(holders, holder)
	}
	return slices.DeleteFunc(holders, func(addr string) bool { return addr == self })
}

// possibleLeaseHolders returns the replicas that may have a lease granted by this replica in an earlier view.
func (r *Replica) possibleLeaseHolders() (holders []string) {
	for _, lease := range r.allocator.granted {
		if r.now <= lease.expiresAt {
			holders = append(holders, lease.holder)
		}
	}
	if r.now <= r.startedAt+allocatorLeaseDuration {
		holders = append(holders, r.allocator.inheritedHolders...)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// hasLeftView reports whether the holder of a lease is known to have left the view in which it got the lease.
func (r *Replica) hasLeftView(lease grantedLease) bool {
	if r.hasSeenView(lease.holder) {
		return true
	}
	p := r.peers.byAddr[lease.holder]
	if p == nil {
		return false
	}
	restarted := p.incarnation() != lease.incarnation && p.storeID == lease.storeID
	return restarted || p.releasedEpoch >= lease.epoch
}

// hasSeenView reports whether a replica took part in the current view or has heard this replica in it.
func (r *Replica) hasSeenView(addr string) bool {
	p := r.peers.byAddr[addr]
	return slices.Contains(r.allocator.participants, addr) || p != nil && p.heardSelfInEpoch == r.epoch
}

// recordAllocatorLease records what a heartbeat reports about leases: the lease that its sender grants, which
// counts from the heartbeat that it echoes; whether the sender has heard this replica in the current view,
// and so uses no lease of an earlier view; and whether the leases that the sender granted earlier have
// expired.
func (r *Replica) recordAllocatorLease(p *peerState, h *message.Heartbeat) {
	sentAt, known := r.peers.sent.sentTime(h.EchoSequence)
	p.leaseSentAt = 0
	if known && p.epoch == h.Epoch {
		p.leaseSentAt = sentAt
	}
	if h.OldLeasesExpired {
		p.oldLeasesExpiredEpoch = max(p.oldLeasesExpiredEpoch, h.Epoch)
	}
	p.releasedEpoch = max(p.releasedEpoch, h.ReleasedEpoch)
	if r.state != StateServing {
		return
	}
	if known && h.EchoSequence >= r.allocator.firstHeartbeat {
		p.heardSelfInEpoch = r.epoch
	}
	if !r.allocator.oldLeasesExpired && r.grantedLeasesExpired() {
		r.sendHeartbeats() // the next holder may be waiting for this report
	}
}

// holdsAllocatorLease reports whether this replica has leases from a quorum.
func (r *Replica) holdsAllocatorLease() bool {
	return r.state == StateServing && !r.allocatorReleased() && hasQuorum(func(m message.Node) bool {
		return r.isPresent(m) && (m.Addr == r.self || r.hasLeaseOf(r.peers.byAddr[m.Addr]))
	}, r.store.pending.electorates()...)
}

// hasLeaseOf reports whether this replica has a valid lease from a peer.
func (r *Replica) hasLeaseOf(p *peerState) bool {
	return r.inContact(p) && p.leaseSentAt != 0 && r.now < p.leaseSentAt+allocatorLeaseDuration
}

// predecessorLeasesExpired reports whether no earlier holder can have a valid lease: either all replicas of
// the chain have reported so in this view, or allocatorLeaseDuration has passed since this view began to
// serve.
func (r *Replica) predecessorLeasesExpired() bool {
	if r.now >= r.stateSince+allocatorLeaseDuration {
		return true
	}
	return !slices.ContainsFunc(r.chain, func(addr string) bool {
		if addr == r.self {
			return !r.allocator.oldLeasesExpired
		}
		p := r.peers.byAddr[addr]
		return p == nil || p.oldLeasesExpiredEpoch != r.epoch
	})
}
