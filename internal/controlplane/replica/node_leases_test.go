package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given leases that are renewed at this replica and elsewhere, when time passes, then each expires after its
// last renewal, the checksum follows the list, and only those renewed at this replica are reported to the
// others.
func TestNodeLeasesExpireAfterLastRenewal(t *testing.T) {
	l := newNodeLeases()
	empty := l.checksum
	now := time.Hour
	l.renew(now, message.Node{Addr: "b", Zone: "z", LeaseAge: 500}, true)
	l.renew(now, message.Node{Addr: "a"}, false)
	both := l.checksum
	// an older renewal
	l.renew(now, message.Node{Addr: "a", LeaseAge: 2000}, false)
	// expired
	l.renew(now, message.Node{Addr: "old", LeaseAge: uint64(nodeLeaseDuration.Milliseconds()) + 1}, true)
	if list := l.all(); len(list) != 2 || list[0].Addr != "a" || both == empty || l.checksum != both {
		t.Fatalf("leases %v, checksum %d, previously %d", list, l.checksum, both)
	}
	here := l.renewedLocally(now)
	if len(here) != 1 || here[0].Addr != "b" || here[0].LeaseAge != 500 {
		t.Errorf("renewed at this replica: %v", here)
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
		t.Error("the checksum is unchanged although the list has changed")
	}
}
