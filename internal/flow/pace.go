package flow

import "time"

// Pace is the minimum speed that one side of a transfer must keep. The zero Pace sets no limit.
type Pace struct {
	MinRate float64       // bytes per second; 0 means no limit
	Grace   time.Duration // how long the side may fall behind MinRate; faster transfer earns it back
	Stall   time.Duration // longest wait without any byte, however fast the side was before; 0 means no limit
}

// Violation is the way in which a side fails to keep its Pace.
type Violation int

// The kinds of Violation.
const (
	None Violation = iota
	Slow
	Stalled
)

func (v Violation) String() string { return [...]string{"none", "slow", "stalled"}[v] }

// Monitor checks one side of a transfer against a Pace. Only time spent waiting for this side counts, so that
// a side that is slow because of the other side is not penalized. It is not safe for concurrent use.
type Monitor struct {
	pace      Pace
	grace     time.Duration // that is left
	waitStart time.Duration // valid while waiting
	waiting   bool
	bytes     int64
}

// NewMonitor returns a monitor of a side that the transfer is not waiting for yet.
func NewMonitor(p Pace) *Monitor { return &Monitor{pace: p, grace: p.Grace} }

// StartWait records that the transfer waits for this side from now on: for it to send, or to accept what is
// being written to it. It does nothing if the transfer is already waiting.
func (m *Monitor) StartWait(now time.Duration) {
	if !m.waiting {
		m.waiting, m.waitStart = true, now
	}
}

// Moved records that n bytes were transferred, and ends the wait if there is one. Bytes that are transferred
// without a wait count as well.
func (m *Monitor) Moved(now time.Duration, n int) {
	m.bytes += int64(n)
	if m.waiting {
		m.waiting = false
		m.grace -= now - m.waitStart
	}
	if m.pace.MinRate > 0 {
		earned := time.Duration(float64(n) / m.pace.MinRate * float64(time.Second))
		m.grace = min(m.pace.Grace, m.grace+earned)
	}
}

// Bytes returns the number of bytes transferred so far.
func (m *Monitor) Bytes() int64 { return m.bytes }

// Deadline returns the time at which the side violates its pace if no byte is transferred before. ok is false
// if there is no such time.
func (m *Monitor) Deadline() (at time.Duration, ok bool) {
	if !m.waiting {
		return 0, false
	}
	if m.pace.Stall > 0 {
		at, ok = m.waitStart+m.pace.Stall, true
	}
	if m.pace.MinRate > 0 {
		if slow := m.waitStart + max(0, m.grace); !ok || slow < at {
			at, ok = slow, true
		}
	}
	return at, ok
}

// Check returns the violation of the side as of now, or None.
func (m *Monitor) Check(now time.Duration) Violation {
	waited := time.Duration(0)
	if m.waiting {
		waited = now - m.waitStart
	}
	switch {
	case m.pace.Stall > 0 && waited >= m.pace.Stall:
		return Stalled
	case m.pace.MinRate > 0 && (m.grace < waited || m.waiting && m.grace == waited):
		return Slow
	}
	return None
}
