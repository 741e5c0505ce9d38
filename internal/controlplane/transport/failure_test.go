package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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

// Given a peer whose machine answers nothing yet, when it comes up and opens a connection itself, then
// what waits for the dial goes out by that at once; and when it does not, by a further attempt of the
// dial.
func TestADialThatHangsHoldsUpNothing(t *testing.T) {
	t.Run("the peer connects", func(t *testing.T) {
		dark, once := make(chan struct{}), sync.Once{}
		a, b := givenDark(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
			once.Do(func() { close(dark) })
			<-ctx.Done()
			return nil, ctx.Err()
		})
		a.Send(b.Self, &message.Message{RequestID: 5, Body: &message.Watch{}})
		<-dark
		began := time.Now()
		b.Send(a.Self, &message.Message{Body: &message.Watch{}})
		if id := <-b.came; id != 5 || time.Since(began) > dialTimeout/2 {
			t.Errorf("request %d came after %v", id, time.Since(began))
		}
	})
	t.Run("another attempt", func(t *testing.T) {
		var attempts atomic.Int32
		dialer := &net.Dialer{}
		a, b := givenDark(t, func(ctx context.Context, network, addr string) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dialer.DialContext(ctx, network, addr)
		})
		began := time.Now()
		a.Send(b.Self, &message.Message{RequestID: 6, Body: &message.Watch{}})
		if id := <-b.came; id != 6 || time.Since(began) > dialTimeout {
			t.Errorf("request %d came after %v, %d attempts", id, time.Since(began), attempts.Load())
		}
	})
}

// darkPeer is a transport and the requests that came to it.
type darkPeer struct {
	*Transport
	came chan uint64
}

// givenDark makes two ends on loopback addresses, of which the first dials by a function of its own.
func givenDark(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) (a, b *darkPeer) {
	t.Helper()
	var ends []*darkPeer
	type dialFunc = func(context.Context, string, string) (net.Conn, error)
	for _, dial := range []dialFunc{dial, (&net.Dialer{}).DialContext} {
		p, listener := &darkPeer{came: make(chan uint64, 64)}, listen(t)
		var err error
		p.Transport, err = New(Options{Self: listener.Addr().String(), Dial: dial,
			Listen: func(string, string) (net.Listener, error) { return listener, nil },
			Handle: func(_ string, m *message.Message) { p.came <- m.RequestID },
			Log:    func(events.Event, ...any) {}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = p.Close() })
		ends = append(ends, p)
	}
	return ends[0], ends[1]
}
