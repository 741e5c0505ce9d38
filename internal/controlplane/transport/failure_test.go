package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// signals are what a transport tells of its peers: who has sent a message, and what became of whose process.
type signals struct {
	heard, disconnected, refused chan string
}

func watched(t *testing.T, listener net.Listener) (*Transport, signals) {
	t.Helper()
	s := signals{make(chan string, 64), make(chan string, 64), make(chan string, 64)}
	x, err := New(Options{Self: listener.Addr().String(), Dial: (&net.Dialer{}).DialContext,
		Listen:       func(string, string) (net.Listener, error) { return listener, nil },
		Handle:       func(from string, _ *message.Message) { s.heard <- from },
		Disconnected: func(peer string) { s.disconnected <- peer },
		Refused:      func(peer string) { s.refused <- peer },
		Log:          func(events.Event, ...any) {}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.Close() })
	return x, s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// told waits for a signal about a peer.
func told(t *testing.T, what string, signal chan string, peer string) {
	t.Helper()
	select {
	case got := <-signal:
		if got != peer {
			t.Errorf("%s is told of %s, want %s", what, got, peer)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%s is not told", what)
	}
}

// Given a peer that is connected, when its connections are reset and it lives on, then the end is told
// and no refusal; when its process is gone, then the next message finds its address refusing.
func TestAnEndOfAConnectionAndARefusalAreTold(t *testing.T) {
	a, heard := watched(t, listen(t))
	b, heardByB := watched(t, listen(t))
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	told(t, "a message", heardByB.heard, a.Self)
	b.closeConnections()
	told(t, "a reset", heard.disconnected, b.Self)
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	told(t, "a message", heardByB.heard, a.Self)
	if len(heard.refused)+len(heardByB.refused) > 0 {
		t.Error("a reset is told as a refusal")
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	b.closeConnections()
	told(t, "the process's end", heard.disconnected, b.Self)
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	told(t, "a refusal", heard.refused, b.Self)
}

// closeConnections ends all connections, as the end of the process does.
func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		closeQuietly(conn)
	}
}

// Given a peer whose machine answers nothing yet, when it comes up and opens a connection itself, then
// what waits for the dial goes out by that at once; and when it does not, by a further attempt of the
// dial.
func TestADialThatHangsHoldsUpNothing(t *testing.T) {
	t.Run("the peer connects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, b := givenDark(t, func(int32) bool { return false })
			began := time.Now()
			a.Send(b.Self, &message.Message{RequestID: 5, Body: &message.Watch{}})
			synctest.Wait() // it dials
			b.Send(a.Self, &message.Message{Body: &message.Watch{}})
			if id := <-b.came; id != 5 || time.Since(began) > 0 {
				t.Errorf("request %d came after %v", id, time.Since(began))
			}
		})
	})
	t.Run("another attempt", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, b := givenDark(t, func(attempt int32) bool { return attempt > 1 })
			began := time.Now()
			a.Send(b.Self, &message.Message{RequestID: 6, Body: &message.Watch{}})
			if id := <-b.came; id != 6 || time.Since(began) != dialAttemptInterval {
				t.Errorf("request %d came after %v", id, time.Since(began))
			}
		})
	})
}

// peerWithRequests is a transport and the requests that came to it.
type peerWithRequests struct {
	*Transport
	came chan uint64
}

// givenDark makes two processes. Attempts of the first one to dial get no answer, but for those that are
// answered.
func givenDark(t *testing.T, answered func(attempt int32) bool) (a, b *peerWithRequests) {
	t.Helper()
	network := newMemoryNetwork(t)
	start := func(self string, dial func(context.Context, string, string) (net.Conn, error)) *peerWithRequests {
		p := &peerWithRequests{came: make(chan uint64, 64)}
		var err error
		p.Transport, err = New(Options{Self: self, Dial: dial, Listen: network.listen,
			Handle: func(_ string, m *message.Message) { p.came <- m.RequestID },
			Log:    func(events.Event, ...any) {}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = p.Close() })
		return p
	}
	const first, second = "127.0.0.1:7560", "127.0.0.2:7560"
	var attempts atomic.Int32
	dial := network.dialFrom(first)
	a = start(first, func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !answered(attempts.Add(1)) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, addr)
	})
	return a, start(second, network.dialFrom(second))
}
