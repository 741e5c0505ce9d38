package flow

import "time"

// Pace is how fast one side of a transfer must be. The zero Pace lets it take any time.
type Pace struct {
	MinRate float64       // bytes a second; 0: any
	Grace   time.Duration // for which it may be slower; more bytes earn it back
	Stall   time.Duration // without a byte, however fast it was before; 0: any
}

// Violation is what a side has done wrong.
type Violation int

// The kinds of Blame.
const (
	None Violation = iota
	Slow
	Stalled
)

func (b Violation) String() string { return [...]string{"none", "slow", "stalled"}[b] }

// Monitor follows one side of a transfer. Only time spent waiting for this side counts, so that one that is
// slow because the other is slow is not blamed. It is not safe for concurrent use.
type Monitor struct {
	pace    Pace
	credit  time.Duration // of grace
	since   time.Duration // when the wait began
	waiting bool
	moved   int64
}

// NewMonitor returns a watch for a side that nobody waits for yet.
func NewMonitor(p Pace) *Monitor { return &Monitor{pace: p, credit: p.Grace} }

// StartWait tells that from now on the transfer waits for this side: to send, or to take what is being written to
// it.
func (w *Monitor) StartWait(now time.Duration) {
	if !w.waiting {
		w.waiting, w.since = true, now
	}
}

// Moved tells that the wait has brought so many bytes, and is over. Bytes that came without a wait count too.
func (w *Monitor) Moved(now time.Duration, n int) {
	w.moved += int64(n)
	if w.waiting {
		w.waiting = false
		w.credit -= now - w.since
	}
	if w.pace.MinRate > 0 {
		earned := time.Duration(float64(n) / w.pace.MinRate * float64(time.Second))
		w.credit = min(w.pace.Grace, w.credit+earned)
	}
}

// Bytes tells how many have moved.
func (w *Monitor) Bytes() int64 { return w.moved }

// Deadline tells when the side is to be blamed if nothing moves until then. ok is false if that is never.
func (w *Monitor) Deadline() (at time.Duration, ok bool) {
	if !w.waiting {
		return 0, false
	}
	if w.pace.Stall > 0 {
		at, ok = w.since+w.pace.Stall, true
	}
	if w.pace.MinRate > 0 {
		if slow := w.since + max(0, w.credit); !ok || slow < at {
			at, ok = slow, true
		}
	}
	return at, ok
}

// Check says what the side has done wrong by now.
func (w *Monitor) Check(now time.Duration) Violation {
	waited := time.Duration(0)
	if w.waiting {
		waited = now - w.since
	}
	switch {
	case w.pace.Stall > 0 && waited >= w.pace.Stall:
		return Stalled
	case w.pace.MinRate > 0 && (w.credit < waited || w.waiting && w.credit == waited):
		return Slow
	}
	return None
}
