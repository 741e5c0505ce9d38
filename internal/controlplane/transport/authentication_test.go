package transport

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/peerauth"
	"dunespoke/internal/events"
)

const (
	oldKey = "0123456789abcdef0123456789abcdef"
	newKey = "fedcba9876543210fedcba9876543210"
)

// receiveTimeout is how long reaches retries before it reports that the other process receives nothing.
const receiveTimeout = time.Second

// peerProcess is a transport on an in-memory network. It records the senders of received messages and the
// reasons of logged refusals.
type peerProcess struct {
	*Transport
	received chan string
	refused  chan string
}

// startPeer starts a process at a host of an in-memory network and closes it when the test ends.
func startPeer(t *testing.T, network *memoryNetwork, host string,
	authentication Authentication) *peerProcess {
	t.Helper()
	p := &peerProcess{received: make(chan string, 64), refused: make(chan string, 64)}
	self := net.JoinHostPort(host, "7560")
	var err error
	p.Transport, err = New(Options{Self: self, Authentication: authentication, Dial: network.dialFrom(self),
		Listen: network.listen,
		Handle: func(from string, _ *message.Message) { p.received <- from },
		Log: func(e events.Event, pairs ...any) {
			if e == events.PeerNotAuthenticated {
				p.refused <- pairs[len(pairs)-1].(string)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// withKeys returns an Authentication with the given keys for the process at a host.
func withKeys(t *testing.T, host string, required bool, keys ...string) Authentication {
	t.Helper()
	parsed, err := peerauth.ParseKeys([]byte(strings.Join(keys, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	authenticator, err := peerauth.New(parsed, host)
	if err != nil {
		t.Fatal(err)
	}
	return Authentication{Authenticator: authenticator, Required: required}
}

// reaches reports whether the other process receives messages from p. It retries until receiveTimeout, as
// callers of a transport do.
func (p *peerProcess) reaches(other *peerProcess) bool {
	retry := time.NewTicker(20 * time.Millisecond)
	defer retry.Stop()
	end := time.After(receiveTimeout)
	for {
		p.Send(other.Self, &message.Message{Body: &message.Watch{}})
		select {
		case from := <-other.received:
			return from == p.Self
		case <-retry.C:
		case <-end:
			return false
		}
	}
}

// Whether two processes receive each other's messages depends on their keys and on whether they require
// authentication, in both directions. A process that refuses the other logs the reason.
func TestAuthenticationDependsOnSharedKeys(t *testing.T) {
	for _, c := range []struct {
		name      string
		a, b      func(t *testing.T, host string) Authentication
		reachable bool
		reason    string
	}{
		{"both have the key", keys(true, oldKey), keys(true, oldKey), true, ""},
		{"the keys are being replaced", keys(true, newKey, oldKey), keys(true, oldKey, newKey), true, ""},
		{"keys are being deployed", keys(false, oldKey), none, true, ""},
		{"both have the key, one requires it", keys(false, oldKey), keys(true, oldKey), true, ""},
		{"one has no key", none, keys(true, oldKey), false, errNotAuthenticated.Error()},
		{"one has another key", keys(true, newKey), keys(true, oldKey), false,
			peerauth.ErrUnknownAuthority.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newMemoryNetwork(t)
				a := startPeer(t, network, "127.0.0.1", c.a(t, "127.0.0.1"))
				b := startPeer(t, network, "127.0.0.2", c.b(t, "127.0.0.2"))
				if reachable := a.reaches(b); reachable != c.reachable {
					t.Errorf("from a to b: %v", reachable)
				}
				if reachable := b.reaches(a); reachable != c.reachable {
					t.Errorf("from b to a: %v", reachable)
				}
				if c.reason != "" && !loggedReason(c.reason, a, b) {
					t.Errorf("no process logged the reason %q", c.reason)
				}
			})
		})
	}
}

// none returns an Authentication without keys.
func none(*testing.T, string) Authentication { return Authentication{} }

// keys returns a constructor of an Authentication with the listed keys.
func keys(required bool, list ...string) func(t *testing.T, host string) Authentication {
	return func(t *testing.T, host string) Authentication { return withKeys(t, host, required, list...) }
}

// loggedReason reports whether any of the processes logged a refusal with the given reason.
func loggedReason(reason string, processes ...*peerProcess) bool {
	for _, p := range processes {
		for len(p.refused) > 0 {
			if strings.Contains(<-p.refused, reason) {
				return true
			}
		}
	}
	return false
}

// A process with a valid key that claims the address of another process in its handshake is refused,
// because its certificate is for its own address.
func TestAddressMustMatchCertificate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork(t)
		b := startPeer(t, network, "127.0.0.2", withKeys(t, "127.0.0.2", true, oldKey))
		impostor := startPeer(t, network, "127.0.0.1", withKeys(t, "127.0.0.1", true, oldKey))
		impostor.Self = "127.0.0.3:7"
		if impostor.reaches(b) {
			t.Error("a message was accepted from 127.0.0.3")
		}
	})
}

// The key can be replaced in one process after the other without interrupting communication. Afterwards a
// process that has only the old key is refused.
func TestKeysAreReplacedWithoutInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork(t)
		a := startPeer(t, network, "127.0.0.1", withKeys(t, "127.0.0.1", true, oldKey))
		b := startPeer(t, network, "127.0.0.2", withKeys(t, "127.0.0.2", true, oldKey))
		for _, step := range []struct {
			p    *peerProcess
			host string
			keys []string
		}{
			{a, "127.0.0.1", []string{oldKey, newKey}}, {b, "127.0.0.2", []string{oldKey, newKey}},
			{a, "127.0.0.1", []string{newKey, oldKey}}, {b, "127.0.0.2", []string{newKey, oldKey}},
			{a, "127.0.0.1", []string{newKey}}, {b, "127.0.0.2", []string{newKey}},
		} {
			step.p.SetAuthentication(withKeys(t, step.host, true, step.keys...))
			if !a.reaches(b) || !b.reaches(a) {
				t.Fatalf("with %d keys at %s: messages are not received", len(step.keys), step.host)
			}
		}
		old := startPeer(t, network, "127.0.0.4", withKeys(t, "127.0.0.4", true, oldKey))
		if old.reaches(b) {
			t.Error("the old key is still accepted")
		}
	})
}
