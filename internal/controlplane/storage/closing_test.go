package storage

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/replica"
)

// Given a storage that is being closed, when more saves come, as they do on a machine of the core that was
// told to stop while the others ask for its promise, then they are told as failed and the process goes on;
// and what was handed in before is there.
func TestSavesThatComeWhileItCloses(t *testing.T) {
	dir := t.TempDir()
	v, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan bool, 2)
	v.Save(replica.PersistentState{CaughtUp: true, PromisedEpoch: 64}, func(ok bool) { told <- ok })
	if err := v.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	v.Save(replica.PersistentState{CaughtUp: true, PromisedEpoch: 128}, func(ok bool) { told <- ok })
	if first, second := <-told, <-told; !first || second {
		t.Errorf("before it closed: %v, after: %v", first, second)
	}
	v, r, err := Open(dir)
	if err != nil || r.PromisedEpoch != 64 {
		t.Errorf("promised %d, %v", r.PromisedEpoch, err)
	}
	v.Close(time.Minute)
}
