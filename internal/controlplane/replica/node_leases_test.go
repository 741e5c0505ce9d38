package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given leases that are renewed here and elsewhere, when time passes, then each runs out by its last renewal,
// the checksum follows the list, and only those renewed here are told on.
func TestNodeLeasesRunOutByTheirLastRenewal(t *testing.T) {
	l := newNodeLeases()
	empty := l.checksum
	now := time.Hour
	l.renew(now, message.Node{Addr: "b", Zone: "z", LeaseAge: 500}, true)
	l.renew(now, message.Node{Addr: "a"}, false)
	both := l.checksum
	// an older word
	l.renew(now, message.Node{Addr: "a", LeaseAge: 2000}, false)
	// too old
	l.renew(now, message.Node{Addr: "old", LeaseAge: uint64(nodeLeaseDuration.Milliseconds()) + 1}, true)
	if list := l.all(); len(list) != 2 || list[0].Addr != "a" || both == empty || l.checksum != both {
		t.Fatalf("leases %v, checksum %d, %d before", list, l.checksum, both)
	}
	here := l.renewedHere(now)
	if len(here) != 1 || here[0].Addr != "b" || here[0].LeaseAge != 500 {
		t.Errorf("renewed here: %v", here)
	}
	for _, c := range []struct {
		after time.Duration
		left  int
	}{{nodeLeaseDuration - 500*time.Millisecond, 2}, {nodeLeaseDuration, 1}, {nodeLeaseDuration + 1, 0}} {
		if l.expire(now + c.after); len(l.all()) != c.left {
			t.Errorf("after %v: %v", c.after, l.all())
		}
	}
	if l.checksum == both {
		t.Error("the checksum stays though the list changes")
	}
}
