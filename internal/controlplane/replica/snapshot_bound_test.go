package replica

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Given more snapshots than may be kept, when each is asked for in turn, then those used least recently
// go, the one in use never does, and what is counted is what is there; all go once nobody asks any more.
func TestSnapshotsAreBoundedByBytes(t *testing.T) {
	const size = maxSnapshotBytes / 4
	var c snapshotCache
	tell := func() *message.WatchResponse {
		return &message.WatchResponse{Version: 1, Config: &message.Delta{Raw: make([]byte, size)}}
	}
	now := time.Hour
	for version := range uint64(12) {
		now += time.Millisecond
		c.get(now, configKey(0, 1), tell) // asked for all the while
		now += time.Millisecond
		c.get(now, configKey(version+1, 0), tell)
		held := 0
		for _, s := range c.byKey {
			held += len(s.data)
		}
		if held > maxSnapshotBytes || held != c.bytes {
			t.Fatalf("%d snapshots, %d bytes, counted %d", len(c.byKey), held, c.bytes)
		}
		if c.byKey[configKey(0, 1)] == nil || c.byKey[configKey(version+1, 0)] == nil {
			t.Fatal("one that was just used is gone")
		}
	}
	c.expire(now + snapshotRetention + time.Second)
	if len(c.byKey) != 0 || c.bytes != 0 {
		t.Errorf("%d are left, %d bytes", len(c.byKey), c.bytes)
	}
}

// Given one snapshot that is longer than the bound, when it is asked for, then it is told all the same.
func TestASnapshotLongerThanTheBoundIsTold(t *testing.T) {
	var c snapshotCache
	s := c.get(time.Hour, configKey(1, 0), func() *message.WatchResponse {
		return &message.WatchResponse{Version: 1, Config: &message.Delta{Raw: make([]byte, maxSnapshotBytes+1)}}
	})
	if s == nil || len(c.byKey) != 1 {
		t.Errorf("%d are kept", len(c.byKey))
	}
}
