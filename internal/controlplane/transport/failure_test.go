package transport

import (
	"net"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// signals are what a transport tells of its peers' processes.
type signals struct {
	disconnected, refused chan string
}

func watched(t *testing.T, listener net.Listener) (*Transport, signals) {
	t.Helper()
	s := signals{make(chan string, 64), make(chan string, 64)}
	x, err := New(Options{Self: listener.Addr().String(), Dial: (&net.Dialer{}).DialContext,
		Listen:       func(string, string) (net.Listener, error) { return listener, nil },
		Handle:       func(string, *message.Message) {},
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
	waitConnected(t, b, a.Self)
	b.closeConnections()
	told(t, "a reset", heard.disconnected, b.Self)
	a.Send(b.Self, &message.Message{Body: &message.Heartbeat{}})
	waitConnected(t, b, a.Self)
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

// waitConnected waits until a transport has a connection to write to a peer.
func waitConnected(t *testing.T, x *Transport, peer string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		x.mu.Lock()
		p := x.peers[peer]
		connected := p != nil && p.conn != nil
		x.mu.Unlock()
		if connected {
			return
		}
	}
	t.Fatalf("%s is not connected", peer)
}
