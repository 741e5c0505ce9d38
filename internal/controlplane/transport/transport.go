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
	dialTimeout = 400 * time.Millisecond
	// of a machine that has what was sent and does not say so: the line is dead
	writeTimeout          = 1000 * time.Millisecond
	redialDelay           = 100 * time.Millisecond   // to a machine that could not be reached
	maxQueuedBytes        = 2 * message.MaxFrameSize // bytes that wait for a line
	maxWriteSize          = 64 << 10                 // bytes at once: a link that bears 64 kB/s is no dead one
	maxInboundConnections = 512                      // that others may have open to this process
	idleTimeout           = 15 * time.Second         // after which a line with nothing to say is closed
)

// Options are what New needs.
type Options struct {
	Self        string // this process's address
	Incarnation uint64 // and its life: no other process has or had it
	Listen      func(network, addr string) (net.Listener, error)
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// Handle takes what others send. It is called from many goroutines.
	Handle func(from string, m *message.Message)
	Log    func(e events.Event, pairs ...any)
}

// Transport is a process's lines to others.
type Transport struct {
	Options
	listener net.Listener

	mu      sync.Mutex
	peers   map[string]*peer
	inbound int
}

// peer is another process.
type peer struct {
	addr        string
	queue       []byte
	conn        net.Conn // to write to; nil: none is open
	incarnation uint64   // of the process at its other end; 0: not said yet
	writing     bool
	lastFailure time.Time
}

// New opens a process's end of its lines.
func New(o Options) (*Transport, error) {
	l, err := o.Listen("tcp", o.Self)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &Transport{Options: o, listener: l, peers: map[string]*peer{}}
	go t.accept()
	return t, nil
}

// Close takes no more calls.
func (t *Transport) Close() { t.listener.Close() }

// setUserTimeout has a connection end that leads to a machine which has gone or is cut off: left alone, it
// would try again at ever longer times, and hold up what is sent for seconds after the machine is back.
func (t *Transport) setUserTimeout(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		t.Log(events.UserTimeoutUnsupported)
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
	if err != nil {
		t.Log(events.UserTimeoutUnsupported)
	}
}

func (t *Transport) accept() {
	for {
		nc, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		full := t.inbound >= maxInboundConnections
		if !full {
			t.inbound++
		}
		t.mu.Unlock()
		if full {
			nc.Close()
			continue
		}
		t.setUserTimeout(nc)
		go func() {
			t.read(nc, "")
			t.mu.Lock()
			t.inbound--
			t.mu.Unlock()
		}()
	}
}

// Errors of lines.
var (
	errNoHandshake       = errors.New("it does not say who it is")
	errRepeatedHandshake = errors.New("it says twice who it is")
	errWrongPeer         = errors.New("another process has the address that was called")
)

// read takes messages from a connection until it ends. The address that was dialled is empty where the other
// end did so.
func (t *Transport) read(nc net.Conn, dialled string) {
	from := dialled
	rung := false
	defer func() {
		nc.Close()
		t.detachConn(from, nc)
	}()
	var c message.FrameDecoder
	buf := make([]byte, 4<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := nc.Read(buf)
		if n > 0 {
			c.Feed(buf[:n])
		}
		for {
			m, bad := c.Next()
			if bad != nil {
				t.Log(events.PeerProtocolError, "from", from, "error", bad.Error())
				return
			}
			if m == nil {
				break
			}
			switch {
			case m.Type != message.TypeHandshake && !rung:
				bad = errNoHandshake
			case m.Type != message.TypeHandshake:
				t.Handle(from, m)
			case rung:
				bad = errRepeatedHandshake
			default:
				rung = true
				if bad = t.handleHandshake(nc, dialled, m); bad == nil {
					from = m.Sender
				}
			}
			if bad != nil {
				t.Log(events.PeerProtocolError, "from", nc.RemoteAddr().String(), "error", bad.Error())
				return
			}
		}
		if err != nil {
			t.Log(events.PeerDisconnected, "from", from, "error", err.Error())
			return
		}
	}
}

func (t *Transport) peer(addr string) *peer {
	p := t.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		t.peers[addr] = p
	}
	return p
}

// handleHandshake takes who is at the other end of a connection, and answers who is at this one.
func (t *Transport) handleHandshake(nc net.Conn, dialled string, m *message.Message) error {
	switch {
	case m.Sender == "":
		return errNoHandshake
	case dialled != "" && m.Sender != dialled, dialled == "" && m.Receiver != t.Self:
		return errWrongPeer
	case dialled == "":
		if err := t.sendHandshake(nc, ""); err != nil {
			return err
		}
	}
	t.attachConn(m.Sender, m.Incarnation, nc)
	return nil
}

// sendHandshake says who is at this end of a connection, and whom it has called.
func (t *Transport) sendHandshake(nc net.Conn, to string) error {
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := nc.Write(
		message.AppendFrame(
			nil,
			&message.Message{Type: message.TypeHandshake, Sender: t.Self, Incarnation: t.Incarnation,
				Receiver: to},
		),
	)
	return err
}

// attachConn has a connection used to write to a peer. One that leads to another life of it is closed: the
// process that was there is gone.
func (t *Transport) attachConn(from string, life uint64, nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	switch {
	case p.conn == nc:
		p.incarnation = life
	case p.conn == nil || !p.writing:
		p.conn, p.incarnation = nc, life
	case p.incarnation != 0 && p.incarnation != life:
		p.conn.Close()
		p.conn, p.incarnation = nc, life
	}
}

func (t *Transport) detachConn(from string, nc net.Conn) {
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
func (t *Transport) Send(to string, m *message.Message) {
	if to == t.Self {
		t.Handle(to, m)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(to)
	if len(p.queue) > maxQueuedBytes || p.conn == nil && time.Since(p.lastFailure) < redialDelay {
		return
	}
	p.queue = message.AppendFrame(p.queue, m)
	if !p.writing {
		p.writing = true
		go t.write(p)
	}
}

// write sends what is queued for a peer, until nothing is.
func (t *Transport) write(p *peer) {
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
					p.lastFailure, p.queue = time.Now(), nil
				}
				continue
			}
			p.conn, p.incarnation, nc = dialed, 0, dialed
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
		piece := out[:min(len(out), maxWriteSize)]
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := nc.Write(piece); err != nil {
			return err
		}
		out = out[len(piece):]
	}
	return nil
}

// dial opens a line and says who is calling.
func (t *Transport) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := t.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t.setUserTimeout(nc)
	if err := t.sendHandshake(nc, addr); err != nil {
		nc.Close()
		return nil, trace.ConvertSystemError(err)
	}
	return nc, nil
}
