package storage

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/replica"
)

// While a member of the core stops, other members still request its promise, so saves may arrive while or
// after the storage is closed. They are reported as failed and don't stop the process; those queued before
// the close are stored.
func TestSavesDuringCloseFail(t *testing.T) {
	dir := t.TempDir()
	storage, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan bool, 2)
	storage.Save(replica.PersistentState{CaughtUp: true, PromisedEpoch: 64}, func(ok bool) { results <- ok })
	if err := storage.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	storage.Save(replica.PersistentState{CaughtUp: true, PromisedEpoch: 128},
		func(ok bool) { results <- ok })
	if first, second := <-results, <-results; !first || second {
		t.Errorf("saved before the close: %v, after it: %v", first, second)
	}
	storage, state, err := Open(dir)
	if err != nil || state.PromisedEpoch != 64 {
		t.Errorf("promised epoch %d, %v", state.PromisedEpoch, err)
	}
	storage.Close(time.Minute)
}
