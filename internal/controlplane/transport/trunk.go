// Package trunk carries messages between the system's processes, over TCP: a connection for each pair that
// has something to say, used in both directions. What can't be sent is lost, as on any line: those who speak
// over it repeat themselves. Nothing is sent twice, and of a message that was cut off nothing is heard.
//
// Both ends say first who they are: their address, and their life. A call to an address that another process
// answers ends there, before anything that it says is taken.
package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Bounds and times of lines.
const (
	dialLimit = 400 * time.Millisecond
	// of a machine that has what was sent and does not say so: the line is dead
	silence     = 1000 * time.Millisecond
	retryAfter  = 100 * time.Millisecond // to a machine that could not be reached
	mostQueued  = 2 * message.MaxFrame   // bytes that wait for a line
	mostWritten = 64 << 10               // bytes at once: a link that bears 64 kB/s is no dead one
	mostLines   = 512                    // that others may have open to this process
	keepIdle    = 15 * time.Second       // after which a line with nothing to say is closed
)

// Options are what New needs.
type Options struct {
	Self   string // this process's address
	Life   uint64 // and its life: no other process has or had it
	Listen func(network, addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// Handle takes what others send. It is called from many goroutines.
	Handle func(from string, m *message.Message)
	Log    func(e events.Event, pairs ...any)
}

// Trunk is a process's lines to others.
type Trunk struct {
	Options
	listener net.Listener

	mu    sync.Mutex
	peers map[string]*peer
	lines int
}

// peer is another process.
type peer struct {
	addr    string
	queue   []byte
	conn    net.Conn // to write to; nil: none is open
	life    uint64   // of the process at its other end; 0: not said yet
	writing bool
	failed  time.Time
}

// New opens a process's end of its lines.
func New(o Options) (*Trunk, error) {
	l, err := o.Listen("tcp", o.Self)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &Trunk{Options: o, listener: l, peers: map[string]*peer{}}
	go t.accept()
	return t, nil
}

// Close takes no more calls.
func (t *Trunk) Close() { t.listener.Close() }

// harden has a connection end that leads to a machine which has gone or is cut off: left alone, it would try
// again at ever longer times, and hold up what is sent for seconds after the machine is back.
func (t *Trunk) harden(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		t.Log(events.LineSoft)
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		t.Log(events.LineSoft)
	}
}

func (t *Trunk) accept() {
	for {
		nc, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		full := t.lines >= mostLines
		if !full {
			t.lines++
		}
		t.mu.Unlock()
		if full {
			nc.Close()
			continue
		}
		t.harden(nc)
		go func() {
			t.read(nc, "")
			t.mu.Lock()
			t.lines--
			t.mu.Unlock()
		}()
	}
}

// Errors of lines.
var (
	errStranger = errors.New("it does not say who it is")
	errTwice    = errors.New("it says twice who it is")
	errWrong    = errors.New("another process has the address that was called")
)

// read takes messages from a connection until it ends. The address that was dialled is empty where the other
// end did so.
func (t *Trunk) read(nc net.Conn, dialled string) {
	from := dialled
	rung := false
	defer func() {
		nc.Close()
		t.drop(from, nc)
	}()
	var c message.Cutter
	buf := make([]byte, 4<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(keepIdle))
		n, err := nc.Read(buf)
		if n > 0 {
			c.Feed(buf[:n])
		}
		for {
			m, bad := c.Next()
			if bad != nil {
				t.Log(events.PeerBad, "from", from, "error", bad.Error())
				return
			}
			if m == nil {
				break
			}
			switch {
			case m.Kind != message.Ringing && !rung:
				bad = errStranger
			case m.Kind != message.Ringing:
				t.Handle(from, m)
			case rung:
				bad = errTwice
			default:
				rung = true
				if bad = t.rung(nc, dialled, m); bad == nil {
					from = m.From
				}
			}
			if bad != nil {
				t.Log(events.PeerBad, "from", nc.RemoteAddr().String(), "error", bad.Error())
				return
			}
		}
		if err != nil {
			t.Log(events.PeerGone, "from", from, "error", err.Error())
			return
		}
	}
}

func (t *Trunk) peer(addr string) *peer {
	p := t.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		t.peers[addr] = p
	}
	return p
}

// rung takes who is at the other end of a connection, and answers who is at this one.
func (t *Trunk) rung(nc net.Conn, dialled string, m *message.Message) error {
	switch {
	case m.From == "":
		return errStranger
	case dialled != "" && m.From != dialled, dialled == "" && m.To != t.Self:
		return errWrong
	case dialled == "":
		if err := t.ring(nc, ""); err != nil {
			return err
		}
	}
	t.adopt(m.From, m.Life, nc)
	return nil
}

// ring says who is at this end of a connection, and whom it has called.
func (t *Trunk) ring(nc net.Conn, to string) error {
	nc.SetWriteDeadline(time.Now().Add(silence))
	_, err := nc.Write(message.Append(nil, &message.Message{Kind: message.Ringing, From: t.Self, Life: t.Life,
		To: to}))
	return err
}

// adopt has a connection used to write to a peer. One that leads to another life of it is closed: the process
// that was there is gone.
func (t *Trunk) adopt(from string, life uint64, nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	switch {
	case p.conn == nc:
		p.life = life
	case p.conn == nil || !p.writing:
		p.conn, p.life = nc, life
	case p.life != 0 && p.life != life:
		p.conn.Close()
		p.conn, p.life = nc, life
	}
}

func (t *Trunk) drop(from string, nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[from]; p != nil && p.conn == nc {
		p.conn = nil
		if !p.writing {
			delete(t.peers, from)
		}
	}
}

// Send sends a message, or loses it. It does not block.
func (t *Trunk) Send(to string, m *message.Message) {
	if to == t.Self {
		t.Handle(to, m)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(to)
	if len(p.queue) > mostQueued || p.conn == nil && time.Since(p.failed) < retryAfter {
		return
	}
	p.queue = message.Append(p.queue, m)
	if !p.writing {
		p.writing = true
		go t.write(p)
	}
}

// write sends what is queued for a peer, until nothing is.
func (t *Trunk) write(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var spare []byte
	for len(p.queue) > 0 {
		nc := p.conn
		if nc == nil {
			t.mu.Unlock()
			dialed, err := t.dial(p.addr)
			t.mu.Lock()
			if err != nil {
				if p.conn == nil { // nor has the peer called meanwhile
					p.failed, p.queue = time.Now(), nil
				}
				continue
			}
			p.conn, p.life, nc = dialed, 0, dialed
			go t.read(nc, p.addr)
		}
		out := p.queue
		p.queue = spare[:0]
		t.mu.Unlock()
		err := writeAll(nc, out)
		t.mu.Lock()
		if spare = out; cap(spare) > 16<<10 {
			spare = nil
		}
		if err != nil {
			nc.Close()
			if p.conn == nc {
				p.conn = nil
			}
		}
	}
	p.queue = nil
	p.writing = false
}

// writeAll writes a queue. A line is dead if it takes nothing for long, and not if it takes much slowly: the
// limit is on each piece.
func writeAll(nc net.Conn, out []byte) error {
	for len(out) > 0 {
		piece := out[:min(len(out), mostWritten)]
		nc.SetWriteDeadline(time.Now().Add(silence))
		if _, err := nc.Write(piece); err != nil {
			return err
		}
		out = out[len(piece):]
	}
	return nil
}

// dial opens a line and says who is calling.
func (t *Trunk) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	nc, err := t.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t.harden(nc)
	if err := t.ring(nc, addr); err != nil {
		nc.Close()
		return nil, trace.ConvertSystemError(err)
	}
	return nc, nil
}
