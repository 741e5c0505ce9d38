package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given more snapshots than may be cached, when each is requested in turn, then the least recently used ones
// are evicted, the one in use never is, and the counted bytes match the content. All expire once nobody
// requests them.
func TestSnapshotsAreBoundedByBytes(t *testing.T) {
	const size = maxSnapshotBytes / 4
	var c snapshotCache
	build := func() *message.WatchResponse {
		return &message.WatchResponse{Version: 1, Config: &message.Delta{Raw: make([]byte, size)}}
	}
	now := time.Hour
	for version := range uint64(12) {
		now += time.Millisecond
		c.get(now, configKey(0, 1), build) // requested throughout
		now += time.Millisecond
		c.get(now, configKey(version+1, 0), build)
		cachedBytes := 0
		for _, s := range c.byKey {
			cachedBytes += len(s.data)
		}
		if cachedBytes > maxSnapshotBytes || cachedBytes != c.bytes {
			t.Fatalf("%d snapshots have %d bytes, counted %d", len(c.byKey), cachedBytes, c.bytes)
		}
		if c.byKey[configKey(0, 1)] == nil || c.byKey[configKey(version+1, 0)] == nil {
			t.Fatal("a snapshot that was just used was evicted")
		}
	}
	c.expire(now + snapshotRetention + time.Second)
	if len(c.byKey) != 0 || c.bytes != 0 {
		t.Errorf("%d snapshots with %d bytes are left", len(c.byKey), c.bytes)
	}
}

// Given a snapshot that is larger than the bound, when it is requested, then it is still returned.
func TestSnapshotLargerThanTheBoundIsServed(t *testing.T) {
	var c snapshotCache
	s := c.get(time.Hour, configKey(1, 0), func() *message.WatchResponse {
		return &message.WatchResponse{Version: 1, Config: &message.Delta{Raw: make([]byte, maxSnapshotBytes+1)}}
	})
	if s == nil || len(c.byKey) != 1 {
		t.Errorf("%d snapshots are cached, want 1", len(c.byKey))
	}
}
