package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given many who lack the same, when they watch, then it is encoded once; and it is not kept for long after.
func TestASnapshotIsEncodedOnceForAll(t *testing.T) {
	var c snapshotCache
	made := 0
	for range 100 {
		c.get(0, snapshotKey{resource: message.ResourceEndpoints}, func() *message.WatchResponse {
			made++
			return &message.WatchResponse{}
		})
	}
	if made != 1 {
		t.Errorf("encoded %d times", made)
	}
	if c.expire(2 * snapshotRetention); len(c.byKey) != 0 {
		t.Errorf("%d snapshots are kept", len(c.byKey))
	}
}

// Given ever more who ask for chunks, then what is on its way to all together stays within the bound, as long
// as each gets the least; and whoever stops asking is no longer counted.
func TestWhatIsOnItsWayIsBounded(t *testing.T) {
	c := snapshotCache{readers: map[string]time.Duration{}}
	watch := &message.Watch{ChunkBudget: 1 << 40}
	for n := range totalChunkBudget / message.MinChunkBudget {
		if budget := c.budget(watch); budget > message.MaxChunkBudget || budget*n > totalChunkBudget {
			t.Fatalf("%d get %d bytes each", n, budget)
		}
		c.readers[string(rune(n+1000))] = 0
	}
	if c.expire(2 * readerRetention); c.budget(watch) != message.MaxChunkBudget {
		t.Errorf("%d bytes for the only one", c.budget(watch))
	}
}
