package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"dunespoke/internal/net/direct"
)

// memConn is an in-memory TCP connection from the gateway to a server, with the methods of package direct's
// connections: the gateway can leave unsolicited bytes unread. Writes of the gateway go into a buffer of
// limited capacity, which the server reads.
type memConn struct {
	mu         sync.Mutex
	changed    sync.Cond
	generation int // counts changes that may end a wait

	toServer, toGateway []byte // bytes in transit in each direction
	capacity            int    // of toServer, in bytes
	serverClosed        bool   // the server has closed the connection; EOF follows the bytes in toGateway
	serverReset         bool   // the server has reset the connection
	gatewayClosed       bool   // the gateway has closed the connection
	deadlines           [2]time.Time

	// unusableSince is when the gateway could first detect that it must not reuse the connection; zero if it
	// may reuse it.
	unusableSince time.Time
	// onWrite is called with mu held before each write of the gateway. The function that it returns is called
	// with the number of bytes that were written.
	onWrite func(w *memConn, p []byte) (written func(n int))
}

// newMemConn returns a connection whose buffer to the server has the given capacity in bytes.
func newMemConn(capacity int) *memConn {
	w := &memConn{capacity: capacity}
	w.changed.L = &w.mu
	return w
}

// broadcast counts a change and wakes all waiters. It must be called with mu held.
func (w *memConn) broadcast() {
	w.generation++
	w.changed.Broadcast()
}

// update changes the connection with mu held, and wakes all waiters.
func (w *memConn) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	w.broadcast()
}

// waitForChange waits until the generation differs from the given one, or the deadline has passed; a zero
// deadline means no limit. It must be called with mu held.
func (w *memConn) waitForChange(generation int, deadline time.Time) error {
	for w.generation == generation {
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		w.changed.Wait()
	}
	return nil
}

const (
	readSide = iota
	writeSide
)

// setDeadline sets the deadline of one side, and wakes the waiters when it passes.
func (w *memConn) setDeadline(which int, t time.Time) error {
	w.update(func() { w.deadlines[which] = t })
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.changed.Broadcast()
		})
	}
	return nil
}

func (w *memConn) SetReadDeadline(t time.Time) error  { return w.setDeadline(readSide, t) }
func (w *memConn) SetWriteDeadline(t time.Time) error { return w.setDeadline(writeSide, t) }
func (w *memConn) SetDeadline(t time.Time) error {
	return errors.Join(w.setDeadline(readSide, t), w.setDeadline(writeSide, t))
}
func (w *memConn) LocalAddr() net.Addr  { return nil }
func (w *memConn) RemoteAddr() net.Addr { return nil }

// Close closes the end of the gateway.
func (w *memConn) Close() error {
	w.update(func() { w.gatewayClosed = true })
	return nil
}

// receive reads bytes that have arrived for the gateway; n is 0 without an error if there are none. It must
// be called with mu held.
func (w *memConn) receive(p []byte) (n int, err error) {
	switch {
	case w.gatewayClosed:
		return 0, net.ErrClosed
	case w.serverReset:
		return 0, syscall.ECONNRESET
	case len(w.toGateway) > 0:
		n = copy(p, w.toGateway)
		w.toGateway = w.toGateway[n:]
	case w.serverClosed:
		return 0, io.EOF
	}
	return n, nil
}

func (w *memConn) Read(p []byte) (int, error) {
	return w.ReadWanted(p, &sync.Mutex{}, func() bool { return true })
}

// ReadWanted reads if wanted, which is called with lock held, reports true. Otherwise it returns
// direct.ErrUnwanted as soon as there are bytes to read or the connection is closed.
func (w *memConn) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	for {
		w.mu.Lock()
		generation := w.generation
		w.mu.Unlock()
		lock.Lock()
		want := wanted()
		w.mu.Lock()
		unread := w.unread()
		n, err := 0, error(nil)
		if want {
			n, err = w.receive(p)
		}
		w.mu.Unlock()
		lock.Unlock()
		switch {
		case want && (n > 0 || err != nil):
			return n, err
		case unread:
			return 0, direct.ErrUnwanted
		}
		w.mu.Lock()
		err = w.waitForChange(generation, w.deadlines[readSide])
		w.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
}

// unread reports whether there are bytes to read or the connection is closed. It must be called with mu
// held.
func (w *memConn) unread() bool {
	return len(w.toGateway) > 0 || w.serverClosed || w.serverReset || w.gatewayClosed
}

func (w *memConn) Unread() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unread()
}

// Write writes into the buffer to the server, and blocks while that is full.
func (w *memConn) Write(p []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := w.onWrite(w, p)
	defer func() { written(n) }()
	for n < len(p) {
		switch {
		case w.gatewayClosed:
			return n, net.ErrClosed
		case w.serverReset:
			return n, syscall.ECONNRESET
		case w.serverClosed: // the bytes are sent, and the closed peer replies with a reset
			w.serverReset = true
			w.broadcast()
			return len(p), nil
		case len(w.toServer) < w.capacity:
			m := min(w.capacity-len(w.toServer), len(p)-n)
			w.toServer = append(w.toServer, p[n:n+m]...)
			n += m
			w.broadcast()
		default:
			if err := w.waitForChange(w.generation, w.deadlines[writeSide]); err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

// serverRead reads up to limit bytes for the server, and waits for the first one. It reports false once no
// more bytes can arrive.
func (w *memConn) serverRead(limit int) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.toServer) == 0 {
		if w.gatewayClosed || w.serverReset || w.serverClosed {
			return nil, false
		}
		_ = w.waitForChange(w.generation, time.Time{}) // without a deadline it returns no error
	}
	p := bytes.Clone(w.toServer[:min(limit, len(w.toServer))])
	w.toServer = w.toServer[len(p):]
	w.broadcast()
	return p, true
}

// serverWrite sends bytes from the server to the gateway, unless the connection is closed.
func (w *memConn) serverWrite(p []byte) {
	w.update(func() {
		if !w.gatewayClosed && !w.serverReset && !w.serverClosed {
			w.toGateway = append(w.toGateway, p...)
		}
	})
}
