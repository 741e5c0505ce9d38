// Package transport sends messages between the system's processes over TCP, with one connection per pair of
// processes, which is opened on demand and used in both directions. Messages that cannot be sent are lost,
// and the callers retry. No message is sent twice, and no part of an incomplete message is delivered.
//
// Both ends first send a handshake with their address and incarnation. If another process answers at the
// dialled address, the connection is closed before any message on it is handled.
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

// Limits and timeouts of connections.
const (
	// writeTimeout is how long a write may block, and how long sent data may stay unacknowledged, before the
	// connection is considered dead.
	writeTimeout          = 1000 * time.Millisecond
	redialDelay           = 100 * time.Millisecond // minimum time before an unreachable peer is dialled again
	maxWriteSize          = 64 << 10               // bytes per write; a link with 64 kB/s is not considered dead
	maxInboundConnections = 512
	idleTimeout           = 15 * time.Second // a connection on which nothing arrives for this long is closed
	readBufferSize        = 4 << 10
)

// Options are the parameters of New.
type Options struct {
	Self        string // address of this process
	Incarnation uint64 // of this process; no other process has or had the same
	Listen      func(network, addr string) (net.Listener, error)
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// Handle is called with each received message. It is called concurrently from many goroutines.
	Handle func(from string, m *message.Message)
	// Disconnected is called when a connection was closed by the peer or reset, but not when it timed out. The
	// peer's process may have ended or still be running. It is called concurrently and may be nil.
	Disconnected func(peer string)
	// Refused is called when a peer's address refuses a connection because no process listens there. It is
	// called concurrently and may be nil.
	Refused func(peer string)
	Log     func(e events.Event, pairs ...any)
	// Authentication is the initial authentication of peers. SetAuthentication replaces it.
	Authentication Authentication
}

// Transport manages the connections of a process to its peers. It is safe for concurrent use.
type Transport struct {
	Options
	listener net.Listener

	mu              sync.Mutex
	peers           map[string]*peer
	inbound         int
	authentication  Authentication
	openConns       map[net.Conn]struct{} // all open connections
	plaintextUntil  map[string]time.Time  // by address; until then the peer is dialled without TLS
	refusalLoggedAt map[string]time.Time  // by host; time of the last log line about a refusal
}

// peer is another process and the messages that are queued for it. Transport.mu guards it.
type peer struct {
	addr        string
	queue       sendQueue
	conn        net.Conn  // connection for writing; nil: none is open
	incarnation uint64    // of the process at the other end of conn; 0: not known yet
	writing     bool      // the write goroutine is running
	cancelDial  func()    // cancels the dial in progress; nil: there is none
	lastFailure time.Time // of dialling the peer
}

// New returns a Transport that accepts connections at options.Self.
func New(options Options) (*Transport, error) {
	listener, err := options.Listen("tcp", options.Self)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &Transport{Options: options, listener: listener, peers: map[string]*peer{},
		authentication: options.Authentication, openConns: map[net.Conn]struct{}{},
		plaintextUntil: map[string]time.Time{}, refusalLoggedAt: map[string]time.Time{}}
	go t.accept()
	return t, nil
}

// Close stops accepting connections. It does not close open ones; they end with the process.
func (t *Transport) Close() error { return t.listener.Close() }

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if its peer has failed or is
// unreachable. Otherwise TCP would retransmit at increasing intervals, and messages would be delayed for
// seconds after the peer is reachable again.
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
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(writeTimeout.Milliseconds()))
	})
	if err != nil || optionErr != nil {
		t.Log(events.UserTimeoutUnsupported)
	}
}

// accept accepts connections until the listener is closed.
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

// readInbound authenticates an accepted connection and receives messages from it until it ends.
func (t *Transport) readInbound(conn net.Conn) {
	authenticated, host, err := t.authenticateInbound(conn)
	if err != nil {
		t.logRefused(conn.RemoteAddr().String(), err)
		closeQuietly(conn)
		return
	}
	t.read(&inboundStream{transport: t, conn: authenticated, authenticatedHost: host})
}

// admitInbound reports whether another inbound connection is allowed, and counts it if so. The caller must
// then call releaseInbound when the connection ends.
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

// closeQuietly closes a connection that is no longer used, and ignores the error.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// peer returns the peer at an address and creates it if needed. It must be called with t.mu held.
func (t *Transport) peer(addr string) *peer {
	p := t.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		t.peers[addr] = p
	}
	return p
}

// attach uses a connection for writing to a peer, unless another one is already in use. If the one in use
// leads to another incarnation of the peer, attach closes and replaces it, as that process has ended.
func (t *Transport) attach(from string, incarnation uint64, conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	switch {
	case p.conn == conn:
		p.incarnation = incarnation
	case p.conn == nil || !p.writing:
		p.conn, p.incarnation = conn, incarnation
		if p.cancelDial != nil { // the queued messages are sent on this connection instead
			p.cancelDial()
		}
	case p.incarnation != 0 && p.incarnation != incarnation:
		closeQuietly(p.conn)
		p.conn, p.incarnation = conn, incarnation
	}
}

// detach stops using a connection that has ended, and removes the peer if nothing is being sent to it.
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

// Send queues a message for a peer, or drops it if the queue is full or dialling the peer has just failed.
// It does not block, except that a message to this process itself is passed to Handle before it returns.
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

// write sends the messages that are queued for a peer until the queue is empty. It runs in its own
// goroutine, one for each peer, and releases t.mu while it dials or writes.
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

// writeAll writes frames in chunks of at most maxWriteSize, each with its own deadline: a connection is
// dead if it makes no progress within writeTimeout, but not if a long queue takes longer to write.
func writeAll(conn net.Conn, frames []byte) error {
	for len(frames) > 0 {
		chunk := frames[:min(len(frames), maxWriteSize)]
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write(chunk); err != nil {
			return err
		}
		frames = frames[len(chunk):]
	}
	return nil
}
