package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// The rate-limit allocator grants tokens, and two of them at once grant twice what there is: the epoch of a
// grant can't tell, since each is asked by those who know of no other. So that role is held by a lease, and
// its next holder waits until no lease of an earlier one can be left.
//
// A holder has a lease of each replica that has told it, serving in its view, of a heartbeat that the
// holder sent less than allocatorLeaseDuration ago, and grants only with those of a quorum. A later view
// has the promises of a quorum, so that one of these has left the holder's view. Each replica notes, as
// it leaves a view, how long the lease can last that it has given to the holder there: no other has one
// of it. The next holder may grant once all of its chain have said, in the new view, that none of theirs
// is left:
//
//   - the time of the lease has passed, or
//   - the old holder took part in the new view, in the chain or by leaving the core, or has answered a
//     heartbeat that was sent in it: it has left its view before, or
//   - it has said that it gave the role up, as one does that hears no quorum, or
//   - another process speaks from its disk: it has ended, and one that was restarted takes no part in an
//     old view.
//
// What an earlier incarnation of its process has given, a replica doesn't know: it waits out the time, unless
// all who may have it know of the new view. Those are on its disk, with the view.

// allocatorLeaseDuration is how long a lease lasts, from the holder's own sending. A replica that falls
// silent to all is missed, and another view has been wished for, after more than that: nothing is waited for.
const allocatorLeaseDuration = contactTimeout

// allocatorLease is what a replica knows of allocator leases in the view that it serves in.
type allocatorLease struct {
	epoch            uint64   // of that view
	holder           string   // of the role in it
	participants     []string // the replicas that took part in the view
	firstHeartbeat   uint64   // this replica's first heartbeat under it
	oldLeasesExpired bool     // it has said that no other replica can hold a lease of it any more
	releasedEpoch    uint64   // of the last view in which this replica has given up the role
	given            []givenLease
	// inherited are the holders of leases that an earlier incarnation of this process may have given.
	inherited []string
}

// givenLease is the lease that a replica may have given in a view that it has left.
type givenLease struct {
	epoch       uint64
	holder      string
	incarnation uint64 // of the holder's process, as its heartbeats tell it
	storeID     uint64 // of its disk
	expiresAt   time.Duration
}

// enterAllocatorView begins a view. What was given in those before stays known.
func (r *Replica) enterAllocatorView(epoch uint64, chain, leaving []string) {
	r.allocator = allocatorLease{epoch: epoch, holder: RoleHolder(chain, QuotaAllocator),
		participants:  slices.Concat(chain, leaving),
		releasedEpoch: r.allocator.releasedEpoch, given: r.allocator.given,
		inherited: r.allocator.inherited}
}

// leaveAllocatorView notes what the holder may have of this replica as that leaves the view that it
// served in. The holder counts its lease from a heartbeat that had come by now.
func (r *Replica) leaveAllocatorView() {
	lease := &r.allocator
	lease.given = slices.DeleteFunc(lease.given, func(g givenLease) bool { return r.now > g.expiresAt })
	if p := r.peers.byAddr[lease.holder]; p != nil {
		lease.given = append(lease.given, givenLease{epoch: lease.epoch, holder: lease.holder,
			incarnation: p.incarnation(), storeID: p.storeID,
			expiresAt: p.lastHeartbeatAt + allocatorLeaseDuration})
	}
}

// releaseAllocatorRole gives up the role in the present view, if this replica holds it: it hears no
// quorum. Another view follows.
func (r *Replica) releaseAllocatorRole() {
	if r.state == StateServing && r.allocator.holder == r.self {
		r.allocator.releasedEpoch = r.epoch
	}
}

// allocatorReleased reports whether the holder of the role in the present view has given it up.
func (r *Replica) allocatorReleased() bool {
	if r.allocator.holder == r.self {
		return r.allocator.releasedEpoch == r.epoch
	}
	p := r.peers.byAddr[r.allocator.holder]
	return p != nil && p.releasedEpoch == r.epoch
}

// noteHeartbeatInView notes the first heartbeat under a view, and reports whether none who took no part in
// that can hold a lease of this replica any more.
func (r *Replica) noteHeartbeatInView(sequence uint64) bool {
	lease := &r.allocator
	if lease.firstHeartbeat == 0 {
		lease.firstHeartbeat = sequence
	}
	lease.oldLeasesExpired = lease.oldLeasesExpired || r.givenLeasesExpired()
	return lease.oldLeasesExpired
}

// givenLeasesExpired reports that anew. What an earlier incarnation of this process told, it does not know;
// that is nothing to those who have heard it in this view.
func (r *Replica) givenLeasesExpired() bool {
	for _, lease := range r.allocator.given {
		if r.now <= lease.expiresAt && !r.hasLeftView(lease) {
			return false
		}
	}
	if r.now > r.startedAt+allocatorLeaseDuration {
		return true
	}
	return !slices.ContainsFunc(r.allocator.inherited, func(addr string) bool { return !r.knowsView(addr) })
}

// inheritedLeaseHolders are the holders of leases that an earlier incarnation may have given, by what it
// has left on disk: it served in the view that is there, or in one before, of which the holders are
// noted. Where they are not, any member may be one.
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

// possibleLeaseHolders are those who may hold a lease of this replica, given in views that it has left.
func (r *Replica) possibleLeaseHolders() (holders []string) {
	for _, lease := range r.allocator.given {
		if r.now <= lease.expiresAt {
			holders = append(holders, lease.holder)
		}
	}
	if r.now <= r.startedAt+allocatorLeaseDuration {
		holders = append(holders, r.allocator.inherited...)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// hasLeftView reports whether the holder of a lease is known to have left the view in which it held that.
func (r *Replica) hasLeftView(lease givenLease) bool {
	if r.knowsView(lease.holder) {
		return true
	}
	p := r.peers.byAddr[lease.holder]
	if p == nil {
		return false
	}
	restarted := p.incarnation() != lease.incarnation && p.storeID == lease.storeID
	return restarted || p.releasedEpoch >= lease.epoch
}

// knowsView reports whether a replica took part in the present view, or has heard this one in it.
func (r *Replica) knowsView(addr string) bool {
	p := r.peers.byAddr[addr]
	return slices.Contains(r.allocator.participants, addr) || p != nil && p.sawUsInEpoch == r.epoch
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
	p.releasedEpoch = max(p.releasedEpoch, h.ReleasedEpoch)
	if r.state != StateServing {
		return
	}
	if known && h.EchoSequence >= r.allocator.firstHeartbeat {
		p.sawUsInEpoch = r.epoch
	}
	if !r.allocator.oldLeasesExpired && r.givenLeasesExpired() {
		r.sendHeartbeats() // who waits for it need not wait for the next one
	}
}

// holdsAllocatorLease reports whether this replica has leases of a quorum.
func (r *Replica) holdsAllocatorLease() bool {
	return r.state == StateServing && !r.allocatorReleased() && hasQuorum(func(m message.Node) bool {
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
