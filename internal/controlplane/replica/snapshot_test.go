package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given many watchers that lack the same resource, when they watch, then the resource is encoded once, and
// the snapshot expires.
func TestSnapshotIsEncodedOnceForAllReaders(t *testing.T) {
	var c snapshotCache
	encodings := 0
	for range 100 {
		c.get(0, snapshotKey{resource: message.ResourceEndpoints}, func() *message.WatchResponse {
			encodings++
			return &message.WatchResponse{}
		})
	}
	if encodings != 1 {
		t.Errorf("encoded %d times, want 1", encodings)
	}
	if c.expire(2 * snapshotRetention); len(c.byKey) != 0 {
		t.Errorf("%d snapshots are still cached", len(c.byKey))
	}
}

// Given a growing number of readers of chunks, when each gets its budget, then the total in flight stays
// within the bound as long as each share is above the minimum. Readers that stop are no longer counted.
func TestTotalChunkBudgetIsBounded(t *testing.T) {
	c := snapshotCache{readers: map[string]time.Duration{}}
	watch := &message.Watch{ChunkBudget: 1 << 40}
	for n := range totalChunkBudget / message.MinChunkBudget {
		if budget := c.budget(watch); budget > message.MaxChunkBudget || budget*n > totalChunkBudget {
			t.Fatalf("%d readers get %d bytes each", n, budget)
		}
		c.readers[string(rune(n+1000))] = 0
	}
	if c.expire(2 * readerRetention); c.budget(watch) != message.MaxChunkBudget {
		t.Errorf("%d bytes for the only reader", c.budget(watch))
	}
}
