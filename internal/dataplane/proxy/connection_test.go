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

// wire is a TCP connection in memory from the gateway to a server, as package direct has them: the gateway
// can leave unread what nobody asked for. What it writes is in the wire's buffer before the server reads it.
type wire struct {
	mu     sync.Mutex
	news   sync.Cond
	change int // counts what may end a wait

	up, down []byte // on their way to the server and to the gateway
	room     int    // bytes that up holds
	fin      bool   // the server has closed: an end behind what is on its way down
	reset    bool   // the server has reset it
	left     bool   // the gateway has closed
	due      [2]time.Time

	// since when the gateway can see that it is not to be used again; zero: it can be
	doubt time.Time
	watch func(w *wire, p []byte) (went func(n int)) // is told of writes; the lock is held
}

func newWire(room int) *wire {
	w := &wire{room: room}
	w.news.L = &w.mu
	return w
}

// touch tells of a change. The lock is held.
func (w *wire) touch() {
	w.change++
	w.news.Broadcast()
}

// set changes the wire.
func (w *wire) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	w.touch()
}

// await waits until something has changed since. The lock is held.
func (w *wire) await(since int, due time.Time) error {
	for w.change == since {
		if !due.IsZero() && !time.Now().Before(due) {
			return os.ErrDeadlineExceeded
		}
		w.news.Wait()
	}
	return nil
}

const (
	reads = iota
	writes
)

func (w *wire) limit(which int, t time.Time) error {
	w.set(func() { w.due[which] = t })
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.news.Broadcast()
		})
	}
	return nil
}

func (w *wire) SetReadDeadline(t time.Time) error  { return w.limit(reads, t) }
func (w *wire) SetWriteDeadline(t time.Time) error { return w.limit(writes, t) }
func (w *wire) SetDeadline(t time.Time) error {
	return errors.Join(w.limit(reads, t), w.limit(writes, t))
}
func (w *wire) LocalAddr() net.Addr  { return nil }
func (w *wire) RemoteAddr() net.Addr { return nil }

// Close is the gateway's.
func (w *wire) Close() error {
	w.set(func() { w.left = true })
	return nil
}

// get takes what has come for the gateway. The lock is held.
func (w *wire) get(p []byte) (n int, err error) {
	switch {
	case w.left:
		return 0, net.ErrClosed
	case w.reset:
		return 0, syscall.ECONNRESET
	case len(w.down) > 0:
		n = copy(p, w.down)
		w.down = w.down[n:]
	case w.fin:
		return 0, io.EOF
	}
	return n, nil
}

func (w *wire) Read(p []byte) (int, error) {
	return w.ReadWanted(p, &sync.Mutex{}, func() bool { return true })
}

func (w *wire) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	for {
		w.mu.Lock()
		since := w.change
		w.mu.Unlock()
		lock.Lock()
		ask := wanted()
		w.mu.Lock()
		unread := w.unread()
		n, err := 0, error(nil)
		if ask {
			n, err = w.get(p)
		}
		w.mu.Unlock()
		lock.Unlock()
		switch {
		case ask && (n > 0 || err != nil):
			return n, err
		case unread:
			return 0, direct.ErrUnwanted
		}
		w.mu.Lock()
		err = w.await(since, w.due[reads])
		w.mu.Unlock()
		if err != nil {
			return 0, err
		}
	}
}

func (w *wire) unread() bool { return len(w.down) > 0 || w.fin || w.reset || w.left }

func (w *wire) Unread() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unread()
}

func (w *wire) Write(p []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	went := w.watch(w, p)
	defer func() { went(n) }()
	for n < len(p) {
		switch {
		case w.left:
			return n, net.ErrClosed
		case w.reset:
			return n, syscall.ECONNRESET
		case w.fin: // it goes out, and a reset comes back
			w.reset = true
			w.touch()
			return len(p), nil
		case len(w.up) < w.room:
			m := min(w.room-len(w.up), len(p)-n)
			w.up = append(w.up, p[n:n+m]...)
			n += m
			w.touch()
		default:
			if err := w.await(w.change, w.due[writes]); err != nil {
				return n, err
			}
		}
	}
	return n, nil
}

// serverRead takes at most so many bytes for the server. It reports false once none will come.
func (w *wire) serverRead(most int) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.up) == 0 {
		if w.left || w.reset || w.fin {
			return nil, false
		}
		_ = w.await(w.change, time.Time{}) // without a limit it ends by a change alone
	}
	p := bytes.Clone(w.up[:min(most, len(w.up))])
	w.up = w.up[len(p):]
	w.touch()
	return p, true
}

// serverWrite sends to the gateway.
func (w *wire) serverWrite(p []byte) {
	w.set(func() {
		if !w.left && !w.reset && !w.fin {
			w.down = append(w.down, p...)
		}
	})
}
