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

// Terms are what one exchange is held to.
type Terms struct {
	ClientUp, ClientDown flow.Pace
	ServerUp, ServerDown flow.Pace
	Head                 time.Duration // for the answer's head, after a long request has gone; 0: any
	// Whole says that servers begin on a request once it is whole: one that was not sent whole has not run.
	Whole bool
	// Awaited says that the core's part lasts until an answer's head has come.
	Awaited bool
}

// Side is one side's connection in one direction, held to a pace. It is not safe for concurrent use.
type Side struct {
	Conn  net.Conn
	watch *flow.Monitor
	pace  flow.Pace
	start time.Time
	due   time.Duration // of the deadline that is set
	moved atomic.Int64
}

// NewSide returns a side that nobody waits for yet.
func NewSide(nc net.Conn, p flow.Pace) *Side {
	return &Side{Conn: nc, watch: flow.NewMonitor(p), pace: p, start: time.Now()}
}

// SlowError is the error of a side that was too slow.
type SlowError struct{ flow.Violation }

// Error says in what way.
func (e *SlowError) Error() string { return e.String() }

func (s *Side) now() time.Duration { return time.Since(s.start) }

// wait begins to wait for this side, and tells the deadline that is to be set; ok is false if the one that is
// set will do. To set one for each piece shows in the CPU of long bodies (0.97 of ReverseProxy's with, 0.91
// without), so that where only standing still counts, it is set for half as long again, and anew when it
// comes nearer than it may.
func (s *Side) wait() (due time.Time, ok bool) {
	now := s.now()
	s.watch.StartWait(now)
	at, _ := s.watch.Deadline()
	if s.pace.MinRate == 0 {
		if s.due >= at {
			return time.Time{}, false
		}
		at += s.pace.Stall / 2
	}
	s.due = at
	return s.start.Add(at), true
}

// Bytes tells how many have moved. It may be called by any goroutine.
func (s *Side) Bytes() int64 { return s.moved.Load() }

// Read reads what comes. A side that is too slow gives a *SlowError.
func (s *Side) Read(p []byte) (int, error) {
	if s.pace == (flow.Pace{}) {
		n, err := s.Conn.Read(p)
		s.moved.Add(int64(n))
		return n, err
	}
	if due, ok := s.wait(); ok {
		s.Conn.SetReadDeadline(due)
	}
	n, err := s.Conn.Read(p)
	now := s.now()
	if n == 0 && timeout(err) {
		if blame := s.watch.Check(now); blame != flow.None {
			return 0, &SlowError{blame}
		}
	}
	s.watch.Moved(now, n)
	s.moved.Add(int64(n))
	return n, err
}

// Write writes all, or tells why not.
func (s *Side) Write(p []byte) error {
	if s.pace == (flow.Pace{}) {
		n, err := s.Conn.Write(p)
		s.moved.Add(int64(n))
		return err
	}
	for len(p) > 0 {
		if due, ok := s.wait(); ok {
			s.Conn.SetWriteDeadline(due)
		}
		n, err := s.Conn.Write(p)
		now := s.now()
		if n == 0 && timeout(err) {
			if blame := s.watch.Check(now); blame != flow.None {
				return &SlowError{blame}
			}
		}
		s.watch.Moved(now, n)
		s.moved.Add(int64(n))
		// Part of it may have gone, slowly; whether that was too slow is judged with what comes next.
		if err != nil && (n == 0 || !timeout(err)) {
			return err
		}
		p = p[n:]
	}
	return nil
}

func timeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// Window is the memory that one direction of a transfer reads into. It grows while reads fill it and what
// was read is soon passed on, as far as the transfer's room lets it, and shrinks otherwise: a large one in
// front of a slow reader only holds memory for long.
type Window struct {
	room *flow.Transfer
	dir  flow.Direction
	base []byte // what there is without any room
	size int
	buf  *[]byte // nil: the base is in use
}

// NewWindow returns a window over a small buffer that is there anyway. The room may be nil.
func NewWindow(room *flow.Transfer, d flow.Direction, base []byte) *Window {
	return &Window{room: room, dir: d, base: base, size: len(base)}
}

// mostWindow is the size of the largest buffers: beyond it, larger ones save few system calls.
const mostWindow = 128 << 10

// Take returns where to read to.
func (w *Window) Take() []byte {
	if w.room == nil || w.size <= len(w.base) {
		return w.base
	}
	n := w.room.Reserve(w.dir, w.size)
	if n <= len(w.base) {
		w.room.Release(w.dir, n)
		return w.base
	}
	w.buf = buffer(n)
	return (*w.buf)[:n]
}

// soon is how long it may take to pass on what was read, if more is to be read at a time.
const soon = 100 * time.Millisecond

// Done tells that of what Take returned so much was used, and is not needed any more after it took so long to
// pass it on.
func (w *Window) Done(taken []byte, used int, took time.Duration) {
	if w.buf != nil {
		w.room.Release(w.dir, len(taken))
		release(w.buf)
		w.buf = nil
	}
	switch {
	case used == len(taken) && took < soon:
		w.size = min(2*len(taken), mostWindow)
	case used < len(taken)/4 || took > 2*soon:
		w.size = max(len(taken)/2, len(w.base))
	}
}

// buffers are kept by the power of two that is their size, by pointers that go to and fro with them: to make
// one for each piece took 192 allocations a MB instead of 180.
var buffers [bits.UintSize]sync.Pool

func buffer(n int) *[]byte {
	class := bits.Len(uint(n - 1))
	if b, ok := buffers[class].Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, 1<<class)
	return &b
}

func release(b *[]byte) { buffers[bits.Len(uint(len(*b)-1))].Put(b) }
