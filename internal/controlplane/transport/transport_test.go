package transport

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// newPair starts two transports on the loopback interface and closes them when the test ends. The test
// fails if TCP_USER_TIMEOUT is unsupported.
func newPair(t *testing.T, received func(from string, m *message.Message)) (a, b *Transport) {
	var ends []*Transport
	for range 2 {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		transport, err := New(Options{Self: l.Addr().String(), Dial: (&net.Dialer{}).DialContext, Handle: received,
			Listen: func(string, string) (net.Listener, error) { return l, nil },
			Log: func(e events.Event, _ ...any) {
				if e == events.UserTimeoutUnsupported {
					t.Error(e.Text)
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = transport.Close() })
		ends = append(ends, transport)
	}
	return ends[0], ends[1]
}

// Messages in both directions use a single connection, on which TCP_USER_TIMEOUT is set, so that it fails
// early if the other machine fails.
func TestBothDirectionsShareOneConnectionWithUserTimeout(t *testing.T) {
	type received struct {
		from string
		m    *message.Message
	}
	messages := make(chan received, 8)
	a, b := newPair(t, func(from string, m *message.Message) { messages <- received{from, m} })
	a.Send(b.Self, &message.Message{RequestID: 7, Body: &message.Watch{}})
	if h := <-messages; h.from != a.Self || h.m.RequestID != 7 {
		t.Fatalf("b received %+v from %s", h.m, h.from)
	}
	b.Send(a.Self, &message.Message{RequestID: 7, Body: &message.WatchResponse{}})
	if h := <-messages; h.from != b.Self || h.m.Type() != message.TypeWatchResponse {
		t.Fatalf("a received %+v from %s", h.m, h.from)
	}
	for _, transport := range []*Transport{a, b} {
		transport.mu.Lock()
		if len(transport.peers) != 1 {
			t.Errorf("%d peers, want one", len(transport.peers))
		}
		for _, p := range transport.peers {
			raw, err := p.conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			err = raw.Control(func(fd uintptr) {
				ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
				if err != nil || ms != int(writeTimeout.Milliseconds()) {
					t.Errorf("TCP_USER_TIMEOUT is %d ms, error %v", ms, err)
				}
			})
			if err != nil {
				t.Error(err)
			}
		}
		transport.mu.Unlock()
	}
	if a.inbound+b.inbound != 1 {
		t.Errorf("%d connections, want one", a.inbound+b.inbound)
	}
}

// A client that does not begin with a handshake is disconnected, and no message is handled.
func TestAClientWithoutHandshakeIsDisconnected(t *testing.T) {
	a, _ := newPair(t, func(from string, m *message.Message) { t.Errorf("received %+v from %s", m, from) })
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", string(message.AppendFrame(nil,
		&message.Message{Body: &message.Heartbeat{}}))} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", a.Self)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("%q: read %d bytes, %v; want a closed connection", text, n, err)
		}
		conn.Close()
	}
}

// recordingConn is a connection that counts deadlines and writes. The write with number failAt fails.
type recordingConn struct {
	net.Conn
	deadlines, writes, bytes, maxSize int
	failAt                            int
}

func (c *recordingConn) SetWriteDeadline(time.Time) error { c.deadlines++; return nil }

func (c *recordingConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == c.failAt {
		return 0, net.ErrClosed
	}
	c.bytes, c.maxSize = c.bytes+len(p), max(c.maxSize, len(p))
	return len(p), nil
}

// A long queue is written in chunks of at most maxWriteSize, each with its own deadline, so that a slow
// connection is not taken for a dead one. Nothing is written after a chunk that failed.
func TestALongQueueIsWrittenInChunks(t *testing.T) {
	c, queue := &recordingConn{}, make([]byte, 1<<20)
	if err := writeAll(c, queue); err != nil || c.bytes != len(queue) || c.maxSize > maxWriteSize ||
		c.deadlines != c.writes {
		t.Errorf("%+v, %v", c, err)
	}
	c = &recordingConn{failAt: 3}
	if err := writeAll(c, queue); err == nil || c.writes != 3 {
		t.Errorf("%+v, %v", c, err)
	}
}
