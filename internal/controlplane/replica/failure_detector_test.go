package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given heartbeats that were sent, when the send time of one is requested, then it is returned as long as it
// is remembered, and none is returned for a heartbeat that was never sent.
func TestHeartbeatHistory(t *testing.T) {
	h := newHeartbeatHistory(7)
	first := h.record(time.Second)
	for _, c := range []struct {
		name     string
		sequence uint64
		at       time.Duration
		known    bool
	}{
		{"the only heartbeat", first, time.Second, true},
		{"previous sequence number", first - 1, 0, false},
		{"next sequence number", first + 1, 0, false},
		{"another incarnation", newHeartbeatHistory(8).last + 1, 0, false},
	} {
		if at, known := h.sentTime(c.sequence); at != c.at || known != c.known {
			t.Errorf("%s: sent at %v, %v; want %v, %v", c.name, at, known, c.at, c.known)
		}
	}
	for range heartbeatHistorySize {
		h.record(2 * time.Second)
	}
	if _, known := h.sentTime(first); known {
		t.Error("an overwritten heartbeat is still known")
	}
}

// Given a peer that was heard once, when time passes, then it is reachable until the failure timeout and
// unreachable afterwards. A peer that was never heard has the same time after the start.
func TestPeersAreUnreachableAfterTheFailureTimeout(t *testing.T) {
	members := []message.Node{{Addr: "self"}, {Addr: "heard"}, {Addr: "never"}}
	d := newFailureDetector(0, Options{Self: members[0]})
	d.peer(0, "heard").update(time.Second, &message.Heartbeat{CaughtUp: true}, false)
	for _, c := range []struct {
		now                    time.Duration
		reachable, unreachable int
	}{
		{failureTimeout, 2, 0}, // no peer is reported while starting
		{time.Second + failureTimeout - 1, 2, 1},
		{time.Second + failureTimeout + 1, 1, 2},
	} {
		reachable, unreachable := d.reachable(c.now, members), d.unreachable(c.now, members)
		if len(reachable) != c.reachable || len(unreachable) != c.unreachable {
			t.Errorf("after %v: reachable %v, unreachable %v", c.now, reachable, unreachable)
		}
	}
}

// Given a heartbeat that was delayed, when it is received, then contact counts from when it was sent, and an
// earlier heartbeat changes nothing.
func TestContactTimeIsHeartbeatSendTime(t *testing.T) {
	d := newFailureDetector(0, Options{})
	echoed := d.sent.record(time.Second)
	h := &message.Heartbeat{EchoSequence: echoed, EchoDelayMillis: 100}
	at, known := d.sentTime(5*time.Second, h)
	if want := 1100 * time.Millisecond; at != want || !known {
		t.Errorf("sent at %v, %v; want %v", at, known, want)
	}
	if at, _ := d.sentTime(1050*time.Millisecond, h); at != 1050*time.Millisecond {
		t.Errorf("send time %v is in the future", at)
	}
	p := &peerState{}
	p.recordContact(64, 2*time.Second)
	if p.recordContact(128, time.Second); p.epoch != 64 || p.contactAt != 2*time.Second {
		t.Errorf("an earlier heartbeat changed the contact to %v in epoch %d", p.contactAt, p.epoch)
	}
}
