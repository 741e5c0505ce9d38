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

// pipes are connections in memory, from whoever dials to who listens at an address.
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

type listener struct{ calls chan net.Conn }

func (l listener) Accept() (net.Conn, error) {
	nc, ok := <-l.calls
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}
func (l listener) Close() error   { close(l.calls); return nil }
func (l listener) Addr() net.Addr { return nil }

// endpoint is a transport in memory, what it heard, and what it logged.
type endpoint struct {
	*Transport
	mu    sync.Mutex
	calls []uint64
	came  chan uint64
	log   chan events.Event
}

func (l pipes) end(t *testing.T, self string, life uint64,
	dial func(context.Context, string, string) (net.Conn, error)) *endpoint {
	t.Helper()
	e := &endpoint{came: make(chan uint64, 64), log: make(chan events.Event, 64)}
	var err error
	e.Transport, err = New(Options{Self: self, Incarnation: life, Listen: l.listen, Dial: dial,
		Handle: func(_ string, m *message.Message) {
			e.mu.Lock()
			e.calls = append(e.calls, m.RequestID)
			e.mu.Unlock()
			e.came <- m.RequestID
		},
		Log: func(v events.Event, _ ...any) {
			if v != events.UserTimeoutUnsupported {
				e.log <- v
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

var errReset = errors.New("reset")

// resetConn is reset after so many bytes that were written.
type resetConn struct {
	net.Conn
	left int
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

// resendingConn plays a transport that sends a queue anew on the next connection.
type resendingConn struct {
	net.Conn
	rung bool
	anew []byte
}

func (c *resendingConn) Write(p []byte) (int, error) {
	if c.rung {
		if _, err := c.Conn.Write(c.anew); err != nil {
			return 0, err
		}
		c.anew = nil
	}
	c.rung = true
	return c.Conn.Write(p)
}

// reset has one end send three calls over a connection that is reset after so many bytes, and then more of
// them until one comes, and returns what the other heard.
func reset(t *testing.T, after int, anew bool) []uint64 {
	l := pipes{}
	b := l.end(t, "b", 2, l.dial)
	first := true
	var sent bytes.Buffer
	ring := len(
		message.AppendFrame(nil,
			&message.Message{Incarnation: 1, Body: &message.Handshake{Sender: "a", Receiver: "b"}}),
	)
	a := l.end(t, "a", 1, func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := l.dial(ctx, network, addr)
		switch {
		case first:
			first = false
			return &resetConn{nc, after, &sent}, err
		case anew && sent.Len() > ring:
			return &resendingConn{Conn: nc, anew: sent.Bytes()[ring:]}, err
		}
		return nc, err
	})
	for call := range uint64(3) {
		a.Send("b", &message.Message{RequestID: call + 1, Body: &message.Put{}})
	}
	if v := <-b.log; v != events.PeerDisconnected {
		t.Errorf("reset after %d bytes: %s", after, v.Text)
	}
	for call := uint64(4); ; call++ {
		a.Transport.mu.Lock()
		a.peer("b").lastFailure = time.Time{} // it was too soon to dial again
		a.Transport.mu.Unlock()
		a.Send("b", &message.Message{RequestID: call, Body: &message.Put{}})
		select {
		case c := <-b.came:
			if c < 4 {
				continue
			}
		case <-time.After(time.Millisecond):
			continue
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return slices.Clone(b.calls)
	}
}

// Given calls on a connection, when it is reset at any byte, then each call is heard once, or never, and none
// in part; and the next are heard. A transport that sends its queue anew is found out.
func TestWhatAResetCutsOffIsNotSentTwice(t *testing.T) {
	size := len(
		message.AppendFrame(nil,
			&message.Message{Incarnation: 1, Body: &message.Handshake{Sender: "a", Receiver: "b"}}),
	) +
		3*len(message.AppendFrame(nil, &message.Message{RequestID: 1, Body: &message.Put{}}))
	twice := 0
	for after := range size {
		heard := reset(t, after, false)
		if !slices.IsSorted(heard) || len(slices.Compact(slices.Clone(heard))) != len(heard) {
			t.Errorf("reset after %d bytes: heard %v", after, heard)
		}
		heard = reset(t, after, true)
		slices.Sort(heard)
		if len(slices.Compact(slices.Clone(heard))) != len(heard) {
			twice++
		}
	}
	if twice == 0 {
		t.Error("a trunk that sends anew is not found out")
	}
}

// withoutReceiver plays a transport that doesn't say whom it calls.
type withoutReceiver struct{ net.Conn }

func (c withoutReceiver) Write(p []byte) (int, error) {
	var cut message.FrameDecoder
	cut.Feed(p)
	if m, _ := cut.Next(); m != nil {
		if handshake, ok := m.Body.(*message.Handshake); ok {
			handshake.Receiver = "b"
			p = message.AppendFrame(nil, m)
		}
	}
	return c.Conn.Write(p)
}

// Given an address that another process answers, when it is called, then that one takes nothing of what is
// said; and where it did not look, who called takes nothing from it.
func TestAPeerAtAnothersAddressIsDisconnected(t *testing.T) {
	for _, looks := range []bool{true, false} {
		l := pipes{}
		b := l.end(t, "b", 2, l.dial)
		a := l.end(t, "a", 1, func(ctx context.Context, network, _ string) (net.Conn, error) {
			nc, err := l.dial(ctx, network, "b")
			if !looks {
				nc = withoutReceiver{nc}
			}
			return nc, err
		})
		a.Send("old", &message.Message{RequestID: 1, Body: &message.ConfirmEpoch{}})
		if looks {
			if v := <-b.log; v != events.PeerProtocolError {
				t.Errorf("b says: %s", v.Text)
			}
			if len(b.came) > 0 {
				t.Error("what was said to another was taken")
			}
			continue
		}
		if v := <-a.log; v != events.PeerProtocolError { // the defect is found at the other end, too
			t.Errorf("a says: %s", v.Text)
		}
		if len(a.came) > 0 {
			t.Error("what another said was taken")
		}
	}
}

// handshake has a peer call a transport by hand, and returns its end once that has taken the connection.
func (l pipes) handshake(t *testing.T, from string, life uint64, to *endpoint) net.Conn {
	t.Helper()
	nc, _ := l.dial(context.Background(), "", to.Self)
	t.Cleanup(func() { nc.Close() })
	send(t, nc, &message.Message{Incarnation: life, Body: &message.Handshake{Sender: from, Receiver: to.Self}})
	m := next(nc)
	if m == nil {
		t.Fatal("no answer")
	}
	if handshake, ok := m.Body.(*message.Handshake); !ok || handshake.Sender != to.Self ||
		m.Incarnation != to.Incarnation {
		t.Fatalf("answered %+v", m)
	}
	send(t, nc, &message.Message{Body: &message.Heartbeat{}})
	<-to.came
	return nc
}

// send writes a message by hand.
func send(t *testing.T, nc net.Conn, m *message.Message) {
	t.Helper()
	if _, err := nc.Write(message.AppendFrame(nil, m)); err != nil {
		t.Fatal(err)
	}
}

// next reads a message; nil: the connection has ended.
func next(nc net.Conn) *message.Message {
	var c message.FrameDecoder
	buf := make([]byte, 1)
	for {
		if _, err := nc.Read(buf); err != nil {
			return nil
		}
		c.Feed(buf)
		if m, _ := c.Next(); m != nil {
			return m
		}
	}
}

// Given a peer that was started again while something is on its way to its earlier incarnation, when it
// calls, then the old connection ends at once, and what is said next comes to the new life, without what was
// cut off. Were lives not told apart, the old one would go on.
func TestANewIncarnationTakesTheConnectionOver(t *testing.T) {
	for life, ends := range map[uint64]bool{7: true, 1: false} {
		l := pipes{}
		b := l.end(t, "b", 2, l.dial)
		old := l.handshake(t, "a", 1, b)
		b.Send("a", &message.Message{RequestID: 1, Body: &message.Committed{}})
		if _, err := old.Read(make([]byte, 1)); err != nil { // it stands still in the midst of it
			t.Fatal(err)
		}
		young := l.handshake(t, "a", life, b)
		if _, err := old.Read(make([]byte, 1)); (err != nil) != ends {
			t.Errorf("life %d: the old connection ends: %v, want %v", life, err != nil, ends)
		}
		if !ends {
			continue
		}
		b.Send("a", &message.Message{RequestID: 2, Body: &message.Committed{}})
		if m := next(young); m == nil || m.RequestID != 2 {
			t.Errorf("the new life hears %+v", m)
		}
	}
}
