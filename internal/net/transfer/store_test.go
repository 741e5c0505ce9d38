package transfer

import (
	"bytes"
	"errors"
	"testing"

	"dunespoke/internal/flow"
)

// limitedSink is an attempt that fails after more than max bytes; a negative max means no limit.
type limitedSink struct {
	bytes.Buffer
	max int
}

func (k *limitedSink) Write(p []byte) error {
	if k.Buffer.Write(p); k.max >= 0 && k.Len() > k.max {
		return errors.New("broken")
	}
	return nil
}
func (k *limitedSink) Commit()            {}
func (k *limitedSink) Close([]byte) error { return nil }
func (k *limitedSink) Cut()               {}

// Each attempt gets a stored body from its beginning. What the store has no capacity for is streamed after it
// to only one attempt, and the store's memory is released then.
func TestStoredBodyIsReplayableUntilItsRestIsStreamed(t *testing.T) {
	store := flow.NewStore(4 * storeBlock)
	u, body := Stored(store), bytes.Repeat([]byte("stored!!"), storeBlock/8)
	if !u.Store(body[:9000]) || !u.Store(body[9000:]) || u.Store(body[:1]) {
		t.Fatal("want one of the store's four blocks for one body, and no more")
	}
	u.StreamRest(storeBlock + 1)
	good := &limitedSink{max: -1}
	failed := u.Attach(&limitedSink{max: 9}) != nil && !u.Unreplayable()
	if !failed || u.Attach(good) != nil || !bytes.Equal(good.Bytes(), body) {
		t.Fatalf("want a second attempt that gets the whole body, got %d bytes", good.Len())
	}
	if u.Write([]byte{1}) != nil || !u.Unreplayable() || good.Len() != storeBlock+1 {
		t.Errorf("unreplayable: %v, %d bytes", u.Unreplayable(), good.Len())
	}
	for range 4 {
		if !store.Reserve(0, storeBlock) {
			t.Error("the store's memory was not released completely")
		}
	}
}
