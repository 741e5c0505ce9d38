package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given many who lack the same, when they ask, then it is encoded once; and it is not kept for long after.
func TestASnapshotIsEncodedOnceForAll(t *testing.T) {
	var s snapshotCache
	made := 0
	for range 100 {
		s.get(
			0,
			snapshotKey{resource: message.ResourceEndpoints},
			func() *message.Message { made++; return &message.Message{} },
		)
	}
	if made != 1 {
		t.Errorf("encoded %d times", made)
	}
	if s.expire(2 * snapshotRetention); len(s.byKey) != 0 {
		t.Errorf("%d snapshots are kept", len(s.byKey))
	}
}

// Given ever more who ask for parts, then what is on its way to all together stays within the bound, as long
// as each gets the least; and whoever stops asking is no longer counted.
func TestWhatIsOnItsWayIsBounded(t *testing.T) {
	s := snapshotCache{readers: map[string]time.Duration{}}
	p := &watcher{Message: message.Message{ChunkBudget: 1 << 40}}
	for n := range totalChunkBudget / message.MinChunkBudget {
		if room := s.budget(p); room > message.MaxChunkBudget || room*n > totalChunkBudget {
			t.Fatalf("%d get %d bytes each", n, room)
		}
		s.readers[string(rune(n+1000))] = 0
	}
	if s.expire(2 * readerRetention); s.budget(p) != message.MaxChunkBudget {
		t.Errorf("%d bytes for the only one", s.budget(p))
	}
}
