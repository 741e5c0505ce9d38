package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given many who lack the same, when they ask, then it is encoded once; and it is not kept for long after.
func TestASnapshotIsEncodedOnceForAll(t *testing.T) {
	var s snapshots
	made := 0
	for range 100 {
		s.of(
			0,
			version{table: message.ServerTable},
			func() *message.Message { made++; return &message.Message{} },
		)
	}
	if made != 1 {
		t.Errorf("encoded %d times", made)
	}
	if s.forget(2 * snapshotsKept); len(s.made) != 0 {
		t.Errorf("%d snapshots are kept", len(s.made))
	}
}

// Given ever more who ask for parts, then what is on its way to all together stays within the bound, as long
// as each gets the least; and whoever stops asking is no longer counted.
func TestWhatIsOnItsWayIsBounded(t *testing.T) {
	s := snapshots{pulls: map[string]time.Duration{}}
	p := &poll{Message: message.Message{Room: 1 << 40}}
	for n := range roomAll / message.RoomLeast {
		if room := s.room(p); room > message.RoomMost || room*n > roomAll {
			t.Fatalf("%d get %d bytes each", n, room)
		}
		s.pulls[string(rune(n+1000))] = 0
	}
	if s.forget(2 * pullsFor); s.room(p) != message.RoomMost {
		t.Errorf("%d bytes for the only one", s.room(p))
	}
}
