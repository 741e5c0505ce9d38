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

// notHeardAfter is when what one process sends counts as refused by another.
const notHeardAfter = time.Second

// peerProcess is a transport on a network in memory, what it heard, and whom it refused.
type peerProcess struct {
	*Transport
	heard   chan string
	refused chan string
}

func startPeer(t *testing.T, network *memoryNetwork, host string,
	authentication Authentication) *peerProcess {
	t.Helper()
	p := &peerProcess{heard: make(chan string, 64), refused: make(chan string, 64)}
	self := net.JoinHostPort(host, "7560")
	var err error
	p.Transport, err = New(Options{Self: self, Authentication: authentication, Dial: network.dialFrom(self),
		Listen: network.listen,
		Handle: func(from string, _ *message.Message) { p.heard <- from },
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

// withKeys is authentication by some keys, for the process at an address.
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

// reaches reports whether what one process sends comes to another: it retries, as those who speak over a
// transport do.
func (p *peerProcess) reaches(other *peerProcess) bool {
	retry := time.NewTicker(20 * time.Millisecond)
	defer retry.Stop()
	end := time.After(notHeardAfter)
	for {
		p.Send(other.Self, &message.Message{Body: &message.Watch{}})
		select {
		case from := <-other.heard:
			return from == p.Self
		case <-retry.C:
		case <-end:
			return false
		}
	}
}

// Given two processes with and without keys, when each sends to the other, then what comes is as the keys
// say, in both directions; a process that requires keys tells why it refuses one.
func TestWhoIsAPeer(t *testing.T) {
	for _, c := range []struct {
		name   string
		a, b   func(t *testing.T, host string) Authentication
		passes bool
		reason string
	}{
		{"both have the key", keys(true, oldKey), keys(true, oldKey), true, ""},
		{"the keys are being replaced", keys(true, newKey, oldKey), keys(true, oldKey, newKey), true, ""},
		{"keys are being given out", keys(false, oldKey), none, true, ""},
		{"all have keys, none requires them yet", keys(false, oldKey), keys(true, oldKey), true, ""},
		{"one has no key", none, keys(true, oldKey), false, errNotAuthenticated.Error()},
		{"one has another key", keys(true, newKey), keys(true, oldKey), false,
			peerauth.ErrUnknownAuthority.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newMemoryNetwork(t)
				a := startPeer(t, network, "127.0.0.1", c.a(t, "127.0.0.1"))
				b := startPeer(t, network, "127.0.0.2", c.b(t, "127.0.0.2"))
				if passes := a.reaches(b); passes != c.passes {
					t.Errorf("from a to b: %v", passes)
				}
				if passes := b.reaches(a); passes != c.passes {
					t.Errorf("from b to a: %v", passes)
				}
				if c.reason != "" && !toldReason(c.reason, a, b) {
					t.Errorf("nobody tells that %q", c.reason)
				}
			})
		})
	}
}

func none(*testing.T, string) Authentication { return Authentication{} }

func keys(required bool, list ...string) func(t *testing.T, host string) Authentication {
	return func(t *testing.T, host string) Authentication { return withKeys(t, host, required, list...) }
}

// toldReason reports whether a process has told a reason of refusing a peer.
func toldReason(reason string, processes ...*peerProcess) bool {
	for _, p := range processes {
		for len(p.refused) > 0 {
			if strings.Contains(<-p.refused, reason) {
				return true
			}
		}
	}
	return false
}

// Given a process with the key that claims another's address, when it sends, then nothing of it is taken: its
// certificate is for its own.
func TestAClaimedAddressIsNotBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork(t)
		b := startPeer(t, network, "127.0.0.2", withKeys(t, "127.0.0.2", true, oldKey))
		liar := startPeer(t, network, "127.0.0.1", withKeys(t, "127.0.0.1", true, oldKey))
		liar.Self = "127.0.0.3:7"
		if liar.reaches(b) {
			t.Error("it is heard as 127.0.0.3")
		}
	})
}

// Given processes that speak under a key, when that is replaced everywhere, one process after the other,
// then they hear each other all the while; and one that is left with the old key alone is heard no more.
func TestKeysAreReplacedWithoutAStop(t *testing.T) {
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
				t.Fatalf("with %d keys at %s: not heard", len(step.keys), step.host)
			}
		}
		old := startPeer(t, network, "127.0.0.4", withKeys(t, "127.0.0.4", true, oldKey))
		if old.reaches(b) {
			t.Error("the old key is still believed")
		}
	})
}
