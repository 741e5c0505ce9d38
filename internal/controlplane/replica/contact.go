package replica

import (
	"time"

	"dunespoke/internal/controlplane/message"
)

// How old a machine's word may be. Both go by the teller's own steady clock, which runs on while its process
// stands still.
const (
	// A word that is told as fresh is at most so old: silence that counts as death, and a way there and back.
	contactFor = deadAfter + 100*time.Millisecond
	OldMost    = contactFor // the same, for others
	// A question for news is kept by a machine out of touch for at most so long.
	SilentMost = contactFor + mendTime
)

// mostBeats is how many beats of its own a machine remembers the times of: ten seconds of them.
const mostBeats = 64

// beatTimes are the times of the beats that a machine sent last, by their numbers.
type beatTimes struct {
	number uint64 // of the last one; each life begins with another, so that none is taken for one of an earlier
	at     [mostBeats]time.Duration
	sent   uint64 // in this life
}

func (b *beatTimes) next(now time.Duration) uint64 {
	b.number++
	b.sent++
	b.at[b.number%mostBeats] = now
	return b.number
}

// time returns when a beat was sent; false: it is none of those remembered.
func (b *beatTimes) time(number uint64) (at time.Duration, ok bool) {
	if back := b.number - number; back >= min(mostBeats, b.sent) {
		return 0, false
	}
	return b.at[number%mostBeats], true
}

// saidAt returns when a peer said a beat, by this machine's clock, or a little earlier: it names the last
// beat of this one that it had, and how long before it had that. What waited on its way, in a socket or
// before a process that stood still, is as old as it is, however late it is read. False: it has heard none.
func (f *Frame) saidAt(m *message.Message) (at time.Duration, ok bool) {
	sent, ok := f.beatsSent.time(m.Echo)
	return min(f.now, sent+time.Duration(m.Held)*time.Millisecond), ok
}

// echo has a beat name the last one that came from who it goes to.
func (f *Frame) echo(to string, m message.Message) *message.Message {
	if p := f.peers[to]; p != nil && p.beat != 0 {
		m.Echo, m.Held = p.beat, uint64((f.now - p.beatCame).Milliseconds())
	}
	return &m
}

// touched notes what a beat tells of its sender's view. One that was said before another changes nothing.
func (p *peer) touched(epoch uint64, at time.Duration) {
	if at >= p.contact {
		p.contact, p.epoch = at, epoch
	}
}

// inTouch reports whether a peer said a moment ago that it serves in this machine's view.
func (f *Frame) inTouch(p *peer) bool {
	return p != nil && p.epoch == f.epoch && p.contact != 0 && f.now < p.contact+contactFor
}

// hung reports whether something has been on this disk for long, and is not known to be committed: it may be,
// and acknowledged, and this machine alone has not been told.
func (f *Frame) hung() bool {
	return f.rec.Version > f.committed && f.now > f.heldSince+contactFor
}
