package transfer

import (
	"errors"
	"math/bits"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/internal/flow"
)

// Terms are the limits of one exchange.
type Terms struct {
	ClientUp, ClientDown flow.Pace
	ServerUp, ServerDown flow.Pace
	Head                 time.Duration // for the response head after a long request was sent; 0: no limit
	// Whole says that servers process a request only once it is complete: if it was not sent completely, it has
	// not run.
	Whole bool
	// Awaited says that the core's attempt lasts until the response head is received.
	Awaited bool
}

// Side is one direction of a connection, with a minimum pace. It is not safe for concurrent use, except for
// Bytes.
type Side struct {
	Conn     net.Conn
	monitor  *flow.Monitor
	pace     flow.Pace
	start    time.Time
	deadline time.Duration // that is set on Conn, since start
	moved    atomic.Int64
}

// NewSide returns a side of a connection. The zero Pace means no limit.
func NewSide(nc net.Conn, p flow.Pace) *Side {
	return &Side{Conn: nc, monitor: flow.NewMonitor(p), pace: p, start: time.Now()}
}

// SlowError is returned when a side is slower than its pace allows.
type SlowError struct{ flow.Violation }

// Error returns which limit of the pace was violated.
func (e *SlowError) Error() string { return e.String() }

func (s *Side) now() time.Duration { return time.Since(s.start) }

// startWait begins a wait for this side and returns the deadline to set; ok is false if the deadline that is
// set is sufficient. Setting a deadline for each piece costs CPU time with long bodies (0.97 of
// ReverseProxy's with it, 0.91 without). Therefore, if the pace limits only stalls, the deadline is set half
// of the stall limit later than needed, and renewed once it is too early.
func (s *Side) startWait() (due time.Time, ok bool) {
	now := s.now()
	s.monitor.StartWait(now)
	at, _ := s.monitor.Deadline()
	if s.pace.MinRate == 0 {
		if s.deadline >= at {
			return time.Time{}, false
		}
		at += s.pace.Stall / 2
	}
	s.deadline = at
	return s.start.Add(at), true
}

// Bytes returns how many bytes were read or written. It is safe for concurrent use.
func (s *Side) Bytes() int64 { return s.moved.Load() }

// Read reads available input. If the side is too slow, the error is a *SlowError.
func (s *Side) Read(p []byte) (int, error) {
	if s.pace == (flow.Pace{}) {
		n, err := s.Conn.Read(p)
		s.moved.Add(int64(n))
		return n, err
	}
	if due, ok := s.startWait(); ok {
		s.Conn.SetReadDeadline(due)
	}
	n, err := s.Conn.Read(p)
	now := s.now()
	if n == 0 && isTimeout(err) {
		if violation := s.monitor.Check(now); violation != flow.None {
			return 0, &SlowError{violation}
		}
	}
	s.monitor.Moved(now, n)
	s.moved.Add(int64(n))
	return n, err
}

// Write writes all of p. If the side is too slow, the error is a *SlowError.
func (s *Side) Write(p []byte) error {
	if s.pace == (flow.Pace{}) {
		n, err := s.Conn.Write(p)
		s.moved.Add(int64(n))
		return err
	}
	for len(p) > 0 {
		if due, ok := s.startWait(); ok {
			s.Conn.SetWriteDeadline(due)
		}
		n, err := s.Conn.Write(p)
		now := s.now()
		if n == 0 && isTimeout(err) {
			if violation := s.monitor.Check(now); violation != flow.None {
				return &SlowError{violation}
			}
		}
		s.monitor.Moved(now, n)
		s.moved.Add(int64(n))
		// After a timeout part of p may have been written. Whether that was too slow is checked with the next
		// write.
		if err != nil && (n == 0 || !isTimeout(err)) {
			return err
		}
		p = p[n:]
	}
	return nil
}

// isTimeout reports whether a read or write failed because its deadline expired.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// Window is the read buffer of one direction of a transfer. It grows, within the memory that the transfer can
// reserve, while reads fill it and the data is passed on fast. It shrinks otherwise, since a large buffer in
// front of a slow reader only occupies memory for long.
type Window struct {
	reservation *flow.Transfer
	dir         flow.Direction
	base        []byte // the buffer used when no memory is reserved
	size        int
	buf         *[]byte // nil: base is in use
}

// NewWindow returns a window that begins with base, a small existing buffer. If reservation is nil, the
// window does not grow.
func NewWindow(reservation *flow.Transfer, d flow.Direction, base []byte) *Window {
	return &Window{reservation: reservation, dir: d, base: base, size: len(base)}
}

// maxWindowSize is the maximum size of a buffer, in bytes. Larger buffers would save few system calls.
const maxWindowSize = 128 << 10

// Acquire returns a buffer to read into. It must be passed to Release before the next call.
func (w *Window) Acquire() []byte {
	if w.reservation == nil || w.size <= len(w.base) {
		return w.base
	}
	n := w.reservation.Reserve(w.dir, w.size)
	if n <= len(w.base) {
		w.reservation.Release(w.dir, n)
		return w.base
	}
	w.buf = getBuffer(n)
	return (*w.buf)[:n]
}

// fastConsumption is the time within which the data read must be passed on for the window to grow.
const fastConsumption = 100 * time.Millisecond

// Release releases the buffer that Acquire returned and adjusts the size of the next one. used is the number
// of bytes read into it, and elapsed how long it took to pass them on.
func (w *Window) Release(buf []byte, used int, elapsed time.Duration) {
	if w.buf != nil {
		w.reservation.Release(w.dir, len(buf))
		putBuffer(w.buf)
		w.buf = nil
	}
	switch {
	case used == len(buf) && elapsed < fastConsumption:
		w.size = min(2*len(buf), maxWindowSize)
	case used < len(buf)/4 || elapsed > 2*fastConsumption:
		w.size = max(len(buf)/2, len(w.base))
	}
}

// buffers are pools of buffers, by the logarithm of their size, which is a power of two. They contain
// pointers that are kept along with the buffers: allocating a pointer for each piece took 192 allocations per
// MB instead of 180.
var buffers [bits.UintSize]sync.Pool

// getBuffer returns a buffer of at least n bytes.
func getBuffer(n int) *[]byte {
	class := bits.Len(uint(n - 1))
	if b, ok := buffers[class].Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, 1<<class)
	return &b
}

// putBuffer returns a buffer to its pool.
func putBuffer(b *[]byte) { buffers[bits.Len(uint(len(*b)-1))].Put(b) }
