package replica

import (
	"slices"

	"dunespoke/internal/controlplane/message"
)

// Who keeps the counts gives tokens away, and two who do so at once give twice what there is: the epoch of a
// grant can't tell, since each is asked by those who know of no other. So that duty is held by a lease, and
// its next holder waits until no lease of an earlier one can be left.
//
// A holder has a lease of each machine that has told it, in service in its view, of a beat that the holder
// sent less than keepFor ago, and gives only with those of a majority. A later view has the promises of a
// majority, so that one of these has left the holder's view: it told of beats that had come to it by then. So
// the lease has run out keepFor after the later view began; sooner, if that machine has had nothing for so
// long from who took no part in the later view, or those have heard it in that. Who took part, in the chain
// or by leaving the core, has left the view before.

// allocatorLeaseDuration is how long a lease of the counts lasts, from the holder's own sending. A machine
// that falls silent to all is missed, and the wish for another view has lasted, after more than that: nothing
// is waited for.
const allocatorLeaseDuration = contactTimeout

// allocatorLease is what a machine knows of leases of the counts in the view that it has in service.
type allocatorLease struct {
	participants     []string // the machines that took part in it
	firstHeartbeat   uint64   // this machine's first beat under it
	oldLeasesExpired bool     // it has said that no other machine can have a lease of it any more
}

// noteFirstHeartbeat notes the first beat under a view, and reports whether none who took no part in that can
// have a lease of this machine any more.
func (f *Replica) noteFirstHeartbeat(beat uint64) bool {
	if f.allocatorLease.firstHeartbeat == 0 {
		f.allocatorLease.firstHeartbeat = beat
	}
	f.allocatorLease.oldLeasesExpired = f.allocatorLease.oldLeasesExpired || f.outsideLeasesExpired()
	return f.allocatorLease.oldLeasesExpired
}

// outsideLeasesExpired reports that anew. What an earlier life of this process told, it does not know; that
// is nothing to those who have heard it in this view.
func (f *Replica) outsideLeasesExpired() bool {
	knows := func(addr string) bool {
		p := f.peers[addr]
		return slices.Contains(f.allocatorLease.participants, addr) || p != nil && p.sawUsInEpoch == f.epoch
	}
	for addr, p := range f.peers {
		if f.now <= p.lastHeartbeatAt+allocatorLeaseDuration && !knows(addr) {
			return false
		}
	}
	return f.now > f.startedAt+allocatorLeaseDuration ||
		!slices.ContainsFunc(f.allMembers(), func(m message.Node) bool {
			return !knows(m.Addr)
		})
}

// recordLease takes what a beat tells of leases: that of its sender, counted from the beat that it answers;
// that the sender has heard this machine in its view, and has none of it in an earlier one any more; and
// whether others may have one of the sender.
func (f *Replica) recordLease(p *peerState, m *message.Message) {
	sent, known := f.heartbeats.sentTime(m.EchoSequence)
	if p.leaseSentAt = 0; known && p.epoch == m.Epoch {
		p.leaseSentAt = sent
	}
	if m.OldLeasesExpired {
		p.oldLeasesExpiredIn = max(p.oldLeasesExpiredIn, m.Epoch)
	}
	if !known || f.state != StateServing || m.EchoSequence < f.allocatorLease.firstHeartbeat {
		return
	}
	if p.sawUsInEpoch = f.epoch; !f.allocatorLease.oldLeasesExpired && f.outsideLeasesExpired() {
		f.sendHeartbeats() // who waits for it need not wait for the next beat
	}
}

// holdsQuorumLease reports whether this machine has leases of a majority.
func (f *Replica) holdsQuorumLease() bool {
	return f.state == StateServing && hasQuorum(func(m message.Node) bool {
		return f.is(m) && (m.Addr == f.self || f.hasLeaseFrom(f.peers[m.Addr]))
	}, f.pending.electorates()...)
}

// hasLeaseFrom reports whether this machine has a lease of a peer.
func (f *Replica) hasLeaseFrom(p *peerState) bool {
	return f.inContact(p) && p.leaseSentAt != 0 && f.now < p.leaseSentAt+allocatorLeaseDuration
}

// predecessorLeasesExpired reports whether no earlier holder can have a lease: all of the chain have said so
// in this view, or the time of one has passed since that began.
func (f *Replica) predecessorLeasesExpired() bool {
	return f.now >= f.stateSince+allocatorLeaseDuration || !slices.ContainsFunc(f.chain, func(addr string) bool {
		if addr == f.self {
			return !f.allocatorLease.oldLeasesExpired
		}
		p := f.peers[addr]
		return p == nil || p.oldLeasesExpiredIn != f.epoch
	})
}
