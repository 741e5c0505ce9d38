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

// signals records the callbacks of a transport: the addresses of peers that sent a message, disconnected,
// or refused a connection.
type signals struct {
	received, disconnected, refused chan string
}

// newRecording starts a transport that records its callbacks, and closes it when the test ends.
func newRecording(t *testing.T, listener net.Listener) (*Transport, signals) {
	t.Helper()
	s := signals{make(chan string, 64), make(chan string, 64), make(chan string, 64)}
	x, err := New(Options{Self: listener.Addr().String(), Dial: (&net.Dialer{}).DialContext,
		Listen:       func(string, string) (net.Listener, error) { return listener, nil },
		Handle:       func(from string, _ *message.Message) { s.received <- from },
		Disconnected: func(peer string) { s.disconnected <- peer },
		Refused:      func(peer string) { s.refused <- peer },
		Log:          func(events.Event, ...any) {}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.Close() })
	return x, s
}

// listen opens a listener at a free port of the loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// expectSignal waits for a signal and checks that it is about peer.
func expectSignal(t *testing.T, what string, signal chan string, peer string) {
	t.Helper()
	select {
	case got := <-signal:
		if got != peer {
			t.Errorf("%s is reported for %s, want %s", what, got, peer)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%s is not reported", what)
	}
}

// If a peer closes its connections and keeps running, a disconnect is reported and no refusal. If its
// process has ended, the next message leads to a refusal.
func TestDisconnectsAndRefusalsAreReported(t *testing.T) {
	a, signalsOfA := newRecording(t, listen(t))
	b, signalsOfB := newRecording(t, listen(t))
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	expectSignal(t, "a message", signalsOfB.received, a.Self)
	b.closeConnections()
	expectSignal(t, "a reset", signalsOfA.disconnected, b.Self)
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	expectSignal(t, "a message", signalsOfB.received, a.Self)
	if len(signalsOfA.refused)+len(signalsOfB.refused) > 0 {
		t.Error("a disconnect is reported as a refusal")
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	b.closeConnections()
	expectSignal(t, "the process's end", signalsOfA.disconnected, b.Self)
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	expectSignal(t, "a refusal", signalsOfA.refused, b.Self)
}

// closeConnections closes all connections, as the end of the process would.
func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.openConns {
		closeQuietly(conn)
	}
}

// A dial to a machine that does not respond yet does not delay messages longer than necessary. If the peer
// opens a connection itself, the queued messages are sent on it at once. Otherwise they are sent when a
// later attempt of the dial succeeds.
func TestAnUnansweredDialDoesNotDelayMessages(t *testing.T) {
	t.Run("the peer connects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, b := newPairWithUnansweredDials(t, func(int32) bool { return false })
			start := time.Now()
			a.Send(b.Self, &message.Message{RequestID: 5, Body: &message.Watch{}})
			synctest.Wait() // until it dials
			b.Send(a.Self, &message.Message{Body: &message.Watch{}})
			if id := <-b.received; id != 5 || time.Since(start) > 0 {
				t.Errorf("request %d arrived after %v", id, time.Since(start))
			}
		})
	})
	t.Run("another attempt", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, b := newPairWithUnansweredDials(t, func(attempt int32) bool { return attempt > 1 })
			start := time.Now()
			a.Send(b.Self, &message.Message{RequestID: 6, Body: &message.Watch{}})
			if id := <-b.received; id != 6 || time.Since(start) != dialAttemptInterval {
				t.Errorf("request %d arrived after %v", id, time.Since(start))
			}
		})
	})
}

// peerWithRequests is a transport that records the ids of received messages.
type peerWithRequests struct {
	*Transport
	received chan uint64
}

// newPairWithUnansweredDials starts two processes on an in-memory network. A dial attempt of the first one
// gets no response unless answered returns true for its number, which starts at 1.
func newPairWithUnansweredDials(t *testing.T, answered func(attempt int32) bool) (a, b *peerWithRequests) {
	t.Helper()
	network := newMemoryNetwork(t)
	start := func(self string, dial func(context.Context, string, string) (net.Conn, error)) *peerWithRequests {
		p := &peerWithRequests{received: make(chan uint64, 64)}
		var err error
		p.Transport, err = New(Options{Self: self, Dial: dial, Listen: network.listen,
			Handle: func(_ string, m *message.Message) { p.received <- m.RequestID },
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
