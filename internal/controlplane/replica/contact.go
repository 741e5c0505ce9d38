package replica

import (
	"time"

	"dunespoke/internal/controlplane/message"
)

// How old a machine's word may be. Both go by the teller's own steady clock, which runs on while its process
// stands still.
const (
	// A word that is told as fresh is at most so old: silence that counts as death, and a way there and back.
	contactTimeout = failureTimeout + 100*time.Millisecond
	MaxStaleness   = contactTimeout // the same, for others
	// A question for news is kept by a machine out of touch for at most so long.
	MaxWatchSilence = contactTimeout + viewChangeAllowance
)

// heartbeatHistorySize is how many beats of its own a machine remembers the times of: ten seconds of them.
const heartbeatHistorySize = 64

// heartbeatHistory are the times of the beats that a machine sent last, by their numbers.
type heartbeatHistory struct {
	// of the last one; each life begins with another, so that none is taken for one of an earlier
	lastSequence uint64
	sentAt       [heartbeatHistorySize]time.Duration
	count        uint64 // in this life
}

func (b *heartbeatHistory) record(now time.Duration) uint64 {
	b.lastSequence++
	b.count++
	b.sentAt[b.lastSequence%heartbeatHistorySize] = now
	return b.lastSequence
}

// sentTime returns when a beat was sent; false: it is none of those remembered.
func (b *heartbeatHistory) sentTime(number uint64) (at time.Duration, ok bool) {
	if back := b.lastSequence - number; back >= min(heartbeatHistorySize, b.count) {
		return 0, false
	}
	return b.sentAt[number%heartbeatHistorySize], true
}

// heartbeatSentAt returns when a peer said a beat, by this machine's clock, or a little earlier: it names the
// last beat of this one that it had, and how long before it had that. What waited on its way, in a socket or
// before a process that stood still, is as old as it is, however late it is read. False: it has heard none.
func (f *Replica) heartbeatSentAt(m *message.Message) (at time.Duration, ok bool) {
	sent, ok := f.heartbeats.sentTime(m.EchoSequence)
	return min(f.now, sent+time.Duration(m.EchoDelayMillis)*time.Millisecond), ok
}

// withEcho has a beat name the last one that came from who it goes to.
func (f *Replica) withEcho(to string, m message.Message) *message.Message {
	if p := f.peers[to]; p != nil && p.lastSequence != 0 {
		m.EchoSequence, m.EchoDelayMillis = p.lastSequence, uint64((f.now - p.lastHeartbeatAt).Milliseconds())
	}
	return &m
}

// recordContact notes what a beat tells of its sender's view. One that was said before another changes
// nothing.
func (p *peerState) recordContact(epoch uint64, at time.Duration) {
	if at >= p.contactAt {
		p.contactAt, p.epoch = at, epoch
	}
}

// inContact reports whether a peer said a moment ago that it serves in this machine's view.
func (f *Replica) inContact(p *peerState) bool {
	return p != nil && p.epoch == f.epoch && p.contactAt != 0 && f.now < p.contactAt+contactTimeout
}

// commitOverdue reports whether something has been on this disk for long, and is not known to be committed:
// it may be, and acknowledged, and this machine alone has not been told.
func (f *Replica) commitOverdue() bool {
	return f.saved.Version > f.committed && f.now > f.savedVersionSince+contactTimeout
}
