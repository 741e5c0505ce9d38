package transport

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// given makes two ends on this machine that log nothing but trouble.
func given(t *testing.T, heard func(from string, m *message.Message)) (a, b *Transport) {
	var ends []*Transport
	for range 2 {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x, err := New(Options{Self: l.Addr().String(), Dial: (&net.Dialer{}).DialContext, Handle: heard,
			Listen: func(string, string) (net.Listener, error) { return l, nil },
			Log: func(e events.Event, _ ...any) {
				if e == events.UserTimeoutUnsupported {
					t.Error(e.Text)
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = x.Close() })
		ends = append(ends, x)
	}
	return ends[0], ends[1]
}

// Given two processes, when each says something, then the other hears it, by one connection that ends early
// if the other machine goes.
func TestWhatIsSentComesByOneConnectionWithAUserTimeout(t *testing.T) {
	type heard struct {
		from string
		m    *message.Message
	}
	came := make(chan heard, 8)
	a, b := given(t, func(from string, m *message.Message) { came <- heard{from, m} })
	a.Send(b.Self, &message.Message{RequestID: 7, Body: &message.Watch{}})
	if h := <-came; h.from != a.Self || h.m.RequestID != 7 {
		t.Fatalf("b heard %+v of %s", h.m, h.from)
	}
	b.Send(a.Self, &message.Message{RequestID: 7, Body: &message.WatchResponse{}})
	if h := <-came; h.from != b.Self || h.m.Type() != message.TypeWatchResponse {
		t.Fatalf("a heard %+v of %s", h.m, h.from)
	}
	for _, x := range []*Transport{a, b} {
		x.mu.Lock()
		if len(x.peers) != 1 {
			t.Errorf("%d peers, want one", len(x.peers))
		}
		for _, p := range x.peers {
			raw, err := p.conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			err = raw.Control(func(fd uintptr) {
				ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
				if err != nil || ms != int(writeTimeout.Milliseconds()) {
					t.Errorf("a line ends after %d ms of silence, %v", ms, err)
				}
			})
			if err != nil {
				t.Error(err)
			}
		}
		x.mu.Unlock()
	}
	if a.inbound+b.inbound != 1 {
		t.Errorf("%d lines, want one", a.inbound+b.inbound)
	}
}

// Given a stranger who speaks something else, when it calls, then its line is closed and nothing is heard.
func TestAStrangerIsDisconnected(t *testing.T) {
	a, _ := given(t, func(from string, m *message.Message) { t.Errorf("heard %+v of %s", m, from) })
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", string(message.AppendFrame(nil,
		&message.Message{Body: &message.Heartbeat{}}))} {
		nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", a.Self)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := nc.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if n, err := nc.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("%q: %d bytes, %v; want the end", text, n, err)
		}
		nc.Close()
	}
}

// slow is a connection that ends at a piece, and counts what is written with a limit of its own.
type slow struct {
	net.Conn
	limits, pieces, bytes, most int
	end                         int
}

func (c *slow) SetWriteDeadline(time.Time) error { c.limits++; return nil }

func (c *slow) Write(p []byte) (int, error) {
	if c.pieces++; c.pieces == c.end {
		return 0, net.ErrClosed
	}
	c.bytes, c.most = c.bytes+len(p), max(c.most, len(p))
	return len(p), nil
}

// Given a line that takes much slowly, when a long queue is written, then each piece has the limit of silence
// to itself, and nothing is written behind a piece that failed.
func TestALongQueueIsWrittenInPieces(t *testing.T) {
	c, queue := &slow{}, make([]byte, 1<<20)
	if err := writeAll(c, queue); err != nil || c.bytes != len(queue) || c.most > maxWriteSize ||
		c.limits != c.pieces {
		t.Errorf("%+v, %v", c, err)
	}
	c = &slow{end: 3}
	if err := writeAll(c, queue); err == nil || c.pieces != 3 {
		t.Errorf("%+v, %v", c, err)
	}
}
