// Package transport carries messages between the system's processes, over TCP: a connection for each pair
// that has something to say, used in both directions. What can't be sent is lost, and those who speak over it
// retry. Nothing is sent twice, and of a message that was cut off nothing is delivered.
//
// Both ends begin with a handshake: their address, and their incarnation. A connection to an address that
// another process answers ends there, before any message on it is taken.
package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Bounds and times of connections.
const (
	// writeTimeout is for a peer that has what was sent and does not say so: the connection is dead.
	writeTimeout          = 1000 * time.Millisecond
	redialDelay           = 100 * time.Millisecond // to a peer that could not be reached
	maxWriteSize          = 64 << 10               // bytes at once: a link that bears 64 kB/s is not dead
	maxInboundConnections = 512
	idleTimeout           = 15 * time.Second // after which a connection with nothing to say is closed
	readBufferSize        = 4 << 10
)

// Options are what New needs.
type Options struct {
	Self        string // this process's address
	Incarnation uint64 // and its incarnation: no other process has or had it
	Listen      func(network, addr string) (net.Listener, error)
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// Handle takes what others send. It is called from many goroutines.
	Handle func(from string, m *message.Message)
	// Disconnected is told when a connection to a peer has ended, by its end or a reset, and not by silence; its
	// process may be gone, or live on. Called from many goroutines; nil: nobody wants to know.
	Disconnected func(peer string)
	// Refused is told when a peer's address refuses a connection: no process listens there. Likewise.
	Refused func(peer string)
	Log     func(e events.Event, pairs ...any)
	// Authentication is by what peers are authenticated, until SetAuthentication.
	Authentication Authentication
}

// Transport is a process's connections to its peers.
type Transport struct {
	Options
	listener net.Listener

	mu             sync.Mutex
	peers          map[string]*peer
	inbound        int
	authentication Authentication
	open           map[net.Conn]struct{} // all connections
	plaintextUntil map[string]time.Time  // by address: it knows no TLS
	refusedAt      map[string]time.Time  // by host: when a log line last told that it was refused
}

// peer is another process, and what waits to be sent to it. The transport's lock guards it.
type peer struct {
	addr        string
	queue       sendQueue
	conn        net.Conn // to write to; nil: none is open
	incarnation uint64   // of the process at its other end; 0: not told yet
	writing     bool
	cancelDial  func() // ends the dial under way; nil: none is
	lastFailure time.Time
}

// New listens for peers.
func New(options Options) (*Transport, error) {
	listener, err := options.Listen("tcp", options.Self)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &Transport{Options: options, listener: listener, peers: map[string]*peer{},
		authentication: options.Authentication, open: map[net.Conn]struct{}{},
		plaintextUntil: map[string]time.Time{}, refusedAt: map[string]time.Time{}}
	go t.accept()
	return t, nil
}

// Close accepts no more connections. Open ones end with the process.
func (t *Transport) Close() error { return t.listener.Close() }

// setUserTimeout has a connection end that leads to a peer which has gone or is cut off: left alone, it would
// retransmit at ever longer times, and hold up what is sent for seconds after the peer is back.
func (t *Transport) setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Log(events.UserTimeoutUnsupported)
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	var refused error
	err = raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(writeTimeout.Milliseconds()))
	})
	if err != nil || refused != nil {
		t.Log(events.UserTimeoutUnsupported)
	}
}

func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		if !t.admitInbound() {
			closeQuietly(conn)
			continue
		}
		t.setUserTimeout(conn)
		go func() {
			defer t.releaseInbound()
			t.readInbound(conn)
		}()
	}
}

// readInbound authenticates a connection that a peer has opened, and reads it.
func (t *Transport) readInbound(conn net.Conn) {
	authenticated, host, err := t.authenticateInbound(conn)
	if err != nil {
		t.logRefused(conn.RemoteAddr().String(), err)
		closeQuietly(conn)
		return
	}
	t.read(&inboundStream{transport: t, conn: authenticated, authenticatedHost: host})
}

// admitInbound counts a connection that a peer has opened, unless there are too many.
func (t *Transport) admitInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound >= maxInboundConnections {
		return false
	}
	t.inbound++
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
}

// closeQuietly closes a connection that is given up anyway: nothing follows from an error.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

func (t *Transport) peer(addr string) *peer {
	p := t.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		t.peers[addr] = p
	}
	return p
}

// attach has a connection used to write to a peer. One that leads to another incarnation of it is closed: the
// process that was there is gone.
func (t *Transport) attach(from string, incarnation uint64, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	switch {
	case p.conn == conn:
		p.incarnation = incarnation
	case p.conn == nil || !p.writing:
		p.conn, p.incarnation = conn, incarnation
		if p.cancelDial != nil { // what waits for it goes by this connection
			p.cancelDial()
		}
	case p.incarnation != 0 && p.incarnation != incarnation:
		closeQuietly(p.conn)
		p.conn, p.incarnation = conn, incarnation
	}
}

// detach forgets a connection that has ended.
func (t *Transport) detach(from string, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[from]
	if p == nil || p.conn != conn {
		return
	}
	p.conn = nil
	if !p.writing {
		delete(t.peers, from)
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
	if p.conn == nil && time.Since(p.lastFailure) < redialDelay {
		return
	}
	if p.queue.push(m) && !p.writing {
		p.writing = true
		go t.write(p)
	}
}

// write sends what is queued for a peer, until nothing is.
func (t *Transport) write(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for !p.queue.empty() {
		conn := p.conn
		if conn == nil {
			conn = t.dialPeer(p)
			if conn == nil {
				continue
			}
		}
		frames := p.queue.pop()
		t.mu.Unlock()
		err := writeAll(conn, frames)
		t.mu.Lock()
		p.queue.recycle(frames)
		if err != nil {
			closeQuietly(conn)
			if p.conn == conn {
				p.conn = nil
			}
		}
	}
	p.queue.clear()
	p.writing = false
}

// writeAll writes frames. A connection is dead if it takes nothing for long, and not if it takes much
// slowly: the limit is on each piece.
func writeAll(conn net.Conn, frames []byte) error {
	for len(frames) > 0 {
		piece := frames[:min(len(frames), maxWriteSize)]
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		frames = frames[len(piece):]
	}
	return nil
}
