package transport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// pipes is an in-memory network. It passes the server side of each dialled connection to the listener by
// address.
type pipes map[string]chan net.Conn

func (l pipes) listen(_, addr string) (net.Listener, error) {
	l[addr] = make(chan net.Conn)
	return listener{l[addr]}, nil
}

func (l pipes) dial(_ context.Context, _, addr string) (net.Conn, error) {
	if l[addr] == nil {
		return nil, errReset
	}
	a, b := net.Pipe()
	l[addr] <- b
	return a, nil
}

type listener struct{ incoming chan net.Conn }

func (l listener) Accept() (net.Conn, error) {
	conn, ok := <-l.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l listener) Close() error   { close(l.incoming); return nil }
func (l listener) Addr() net.Addr { return nil }

// endpoint is a transport on an in-memory network. It records the ids of received requests and the logged
// events.
type endpoint struct {
	*Transport
	mu         sync.Mutex
	requestIDs []uint64
	received   chan uint64
	logged     chan events.Event
}

// newEndpoint starts a transport at the address self and closes it when the test ends.
func (l pipes) newEndpoint(t *testing.T, self string, incarnation uint64,
	dial func(context.Context, string, string) (net.Conn, error)) *endpoint {
	t.Helper()
	e := &endpoint{received: make(chan uint64, 64), logged: make(chan events.Event, 64)}
	var err error
	e.Transport, err = New(Options{Self: self, Incarnation: incarnation, Listen: l.listen, Dial: dial,
		Handle: func(_ string, m *message.Message) {
			e.mu.Lock()
			e.requestIDs = append(e.requestIDs, m.RequestID)
			e.mu.Unlock()
			e.received <- m.RequestID
		},
		Log: func(v events.Event, _ ...any) {
			if v != events.UserTimeoutUnsupported {
				e.logged <- v
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

var errReset = errors.New("reset")

// resetConn is a connection that is reset after a number of written bytes. It records all bytes passed to
// Write.
type resetConn struct {
	net.Conn
	left int // bytes that may still be written
	sent *bytes.Buffer
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.sent.Write(p)
	n, _ := c.Conn.Write(p[:min(len(p), c.left)])
	if c.left -= n; n < len(p) {
		c.Close()
		return n, errReset
	}
	return n, nil
}

// resendingConn simulates a faulty transport that resends the queue of a broken connection on the next one,
// after the handshake.
type resendingConn struct {
	net.Conn
	handshakeSent bool
	resend        []byte
}

func (c *resendingConn) Write(p []byte) (int, error) {
	if c.handshakeSent {
		if _, err := c.Conn.Write(c.resend); err != nil {
			return 0, err
		}
		c.resend = nil
	}
	c.handshakeSent = true
	return c.Conn.Write(p)
}

// sendOverReset sends three requests over a connection that is reset after a number of bytes, then further
// ones until one is received over a new connection. It returns the ids that the other endpoint received. If
// resend is true, the new connection simulates a faulty transport that sends the first requests again.
func sendOverReset(t *testing.T, after int, resend bool) []uint64 {
	l := pipes{}
	b := l.newEndpoint(t, "b", 2, l.dial)
	first := true
	var sent bytes.Buffer
	handshakeSize := len(
		message.AppendFrame(nil,
			&message.Message{Incarnation: 1, Body: &message.Handshake{Sender: "a", Receiver: "b"}}),
	)
	a := l.newEndpoint(t, "a", 1, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := l.dial(ctx, network, addr)
		switch {
		case first:
			first = false
			return &resetConn{conn, after, &sent}, err
		case resend && sent.Len() > handshakeSize:
			return &resendingConn{Conn: conn, resend: sent.Bytes()[handshakeSize:]}, err
		}
		return conn, err
	})
	for id := range uint64(3) {
		a.Send("b", &message.Message{RequestID: id + 1, Body: &message.Put{}})
	}
	if v := <-b.logged; v != events.PeerDisconnected {
		t.Errorf("reset after %d bytes: %s", after, v.Text)
	}
	for id := uint64(4); ; id++ {
		a.Transport.mu.Lock()
		a.peer("b").lastFailure = time.Time{} // dial without waiting for redialDelay
		a.Transport.mu.Unlock()
		a.Send("b", &message.Message{RequestID: id, Body: &message.Put{}})
		select {
		case c := <-b.received:
			if c < 4 {
				continue
			}
		case <-time.After(time.Millisecond):
			continue
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return slices.Clone(b.requestIDs)
	}
}

// If a connection is reset after any number of bytes, each request on it is received at most once and never
// in part, and later requests are received. The test also checks that it detects a transport that sends its
// queue again.
func TestRequestsAreNotResentAfterAReset(t *testing.T) {
	size := len(
		message.AppendFrame(nil,
			&message.Message{Incarnation: 1, Body: &message.Handshake{Sender: "a", Receiver: "b"}}),
	) +
		3*len(message.AppendFrame(nil, &message.Message{RequestID: 1, Body: &message.Put{}}))
	duplicates := 0
	for after := range size {
		ids := sendOverReset(t, after, false)
		if !slices.IsSorted(ids) || len(slices.Compact(slices.Clone(ids))) != len(ids) {
			t.Errorf("reset after %d bytes: received %v", after, ids)
		}
		ids = sendOverReset(t, after, true)
		slices.Sort(ids)
		if len(slices.Compact(slices.Clone(ids))) != len(ids) {
			duplicates++
		}
	}
	if duplicates == 0 {
		t.Error("a transport that resends its queue is not detected")
	}
}

// withoutReceiver simulates a transport whose handshake does not contain the dialled address: it replaces
// the receiver by the address of the process that answers.
type withoutReceiver struct{ net.Conn }

func (c withoutReceiver) Write(p []byte) (int, error) {
	var decoder message.FrameDecoder
	decoder.Feed(p)
	if m, _ := decoder.Next(); m != nil {
		if handshake, ok := m.Body.(*message.Handshake); ok {
			handshake.Receiver = "b"
			p = message.AppendFrame(nil, m)
		}
	}
	return c.Conn.Write(p)
}

// If another process answers at the dialled address, it closes the connection without handling any message.
// If it does not check the dialled address, the dialling process detects the mismatch and handles no
// message from it.
func TestAProcessAtAWrongAddressIsDisconnected(t *testing.T) {
	for _, checksReceiver := range []bool{true, false} {
		l := pipes{}
		b := l.newEndpoint(t, "b", 2, l.dial)
		a := l.newEndpoint(t, "a", 1, func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := l.dial(ctx, network, "b")
			if !checksReceiver {
				conn = withoutReceiver{conn}
			}
			return conn, err
		})
		a.Send("old", &message.Message{RequestID: 1, Body: &message.ConfirmEpoch{}})
		if checksReceiver {
			if v := <-b.logged; v != events.PeerProtocolError {
				t.Errorf("b logged: %s", v.Text)
			}
			if len(b.received) > 0 {
				t.Error("b handled a message for another process")
			}
			continue
		}
		if v := <-a.logged; v != events.PeerProtocolError { // the mismatch is detected at the other end as well
			t.Errorf("a logged: %s", v.Text)
		}
		if len(a.received) > 0 {
			t.Error("a handled a message from another process")
		}
	}
}

// handshake connects a simulated peer to an endpoint and exchanges handshakes. It returns the peer's end of
// the connection once the endpoint has attached it.
func (l pipes) handshake(t *testing.T, from string, incarnation uint64, to *endpoint) net.Conn {
	t.Helper()
	conn, _ := l.dial(context.Background(), "", to.Self)
	t.Cleanup(func() { conn.Close() })
	send(t, conn, &message.Message{Incarnation: incarnation,
		Body: &message.Handshake{Sender: from, Receiver: to.Self}})
	m := next(conn)
	if m == nil {
		t.Fatal("no handshake in response")
	}
	if handshake, ok := m.Body.(*message.Handshake); !ok || handshake.Sender != to.Self ||
		m.Incarnation != to.Incarnation {
		t.Fatalf("handshake in response is %+v", m)
	}
	send(t, conn, &message.Message{Body: &message.Heartbeat{}})
	<-to.received
	return conn
}

// send writes a message to a connection.
func send(t *testing.T, conn net.Conn, m *message.Message) {
	t.Helper()
	if _, err := conn.Write(message.AppendFrame(nil, m)); err != nil {
		t.Fatal(err)
	}
}

// next reads a message. It returns nil if the connection has ended.
func next(conn net.Conn) *message.Message {
	var c message.FrameDecoder
	buf := make([]byte, 1)
	for {
		if _, err := conn.Read(buf); err != nil {
			return nil
		}
		c.Feed(buf)
		if m, _ := c.Next(); m != nil {
			return m
		}
	}
}

// If a peer restarts while a message to its previous incarnation is being written, and then connects, the
// old connection is closed at once. The next message reaches the new incarnation, without the rest of the
// interrupted one. A connection from the same incarnation does not close the old one.
func TestANewIncarnationReplacesTheConnection(t *testing.T) {
	for incarnation, closes := range map[uint64]bool{7: true, 1: false} {
		l := pipes{}
		b := l.newEndpoint(t, "b", 2, l.dial)
		old := l.handshake(t, "a", 1, b)
		b.Send("a", &message.Message{RequestID: 1, Body: &message.Committed{}})
		if _, err := old.Read(make([]byte, 1)); err != nil { // the peer stops reading in the middle of the message
			t.Fatal(err)
		}
		restarted := l.handshake(t, "a", incarnation, b)
		if _, err := old.Read(make([]byte, 1)); (err != nil) != closes {
			t.Errorf("incarnation %d: the old connection is closed: %v, want %v", incarnation, err != nil, closes)
		}
		if !closes {
			continue
		}
		b.Send("a", &message.Message{RequestID: 2, Body: &message.Committed{}})
		if m := next(restarted); m == nil || m.RequestID != 2 {
			t.Errorf("the new incarnation received %+v", m)
		}
	}
}
