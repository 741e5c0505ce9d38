package flow

import "time"

// Pace is how fast one side of a transfer must be. The zero Pace lets it take any time.
type Pace struct {
	Least float64       // bytes a second; 0: any
	Grace time.Duration // for which it may be slower; more bytes earn it back
	Stall time.Duration // without a byte, however fast it was before; 0: any
}

// Blame is what a side has done wrong.
type Blame int

// The kinds of Blame.
const (
	None Blame = iota
	Slow
	Stalled
)

func (b Blame) String() string { return [...]string{"none", "slow", "stalled"}[b] }

// Watch follows one side of a transfer. Only time spent waiting for this side counts, so that one that is
// slow because the other is slow is not blamed. It is not safe for concurrent use.
type Watch struct {
	pace    Pace
	credit  time.Duration // of grace
	since   time.Duration // when the wait began
	waiting bool
	moved   int64
}

// NewWatch returns a watch for a side that nobody waits for yet.
func NewWatch(p Pace) *Watch { return &Watch{pace: p, credit: p.Grace} }

// Wait tells that from now on the transfer waits for this side: to send, or to take what is being written to
// it.
func (w *Watch) Wait(now time.Duration) {
	if !w.waiting {
		w.waiting, w.since = true, now
	}
}

// Moved tells that the wait has brought so many bytes, and is over. Bytes that came without a wait count too.
func (w *Watch) Moved(now time.Duration, n int) {
	w.moved += int64(n)
	if w.waiting {
		w.waiting = false
		w.credit -= now - w.since
	}
	if w.pace.Least > 0 {
		earned := time.Duration(float64(n) / w.pace.Least * float64(time.Second))
		w.credit = min(w.pace.Grace, w.credit+earned)
	}
}

// Bytes tells how many have moved.
func (w *Watch) Bytes() int64 { return w.moved }

// Due tells when the side is to be blamed if nothing moves until then. ok is false if that is never.
func (w *Watch) Due() (at time.Duration, ok bool) {
	if !w.waiting {
		return 0, false
	}
	if w.pace.Stall > 0 {
		at, ok = w.since+w.pace.Stall, true
	}
	if w.pace.Least > 0 {
		if slow := w.since + max(0, w.credit); !ok || slow < at {
			at, ok = slow, true
		}
	}
	return at, ok
}

// Judge says what the side has done wrong by now.
func (w *Watch) Judge(now time.Duration) Blame {
	waited := time.Duration(0)
	if w.waiting {
		waited = now - w.since
	}
	switch {
	case w.pace.Stall > 0 && waited >= w.pace.Stall:
		return Stalled
	case w.pace.Least > 0 && (w.credit < waited || w.waiting && w.credit == waited):
		return Slow
	}
	return None
}
