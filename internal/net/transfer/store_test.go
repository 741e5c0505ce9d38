package transfer

import (
	"bytes"
	"errors"
	"testing"

	"dunespoke/internal/flow"
)

// taker is an attempt that takes so many bytes and breaks; below 0: that takes all.
type taker struct {
	bytes.Buffer
	most int
}

func (k *taker) Write(p []byte) error {
	if k.Buffer.Write(p); k.most >= 0 && k.Len() > k.most {
		return errors.New("broken")
	}
	return nil
}
func (k *taker) Commit()            {}
func (k *taker) Close([]byte) error { return nil }
func (k *taker) Cut()               {}

// A stored body goes to each attempt from its beginning. What the store has no room for flows behind it, to
// one attempt alone, and the store has its bytes back then.
func TestAStoredBodyGoesOutAgainUntilItFlows(t *testing.T) {
	store := flow.NewStore(4 * storeBlock)
	u, body := Stored(store), bytes.Repeat([]byte("stored!!"), storeBlock/8)
	if !u.Store(body[:9000]) || !u.Store(body[9000:]) || u.Store(body[:1]) {
		t.Fatal("want one block of four for one body, and no more")
	}
	u.Flow(storeBlock + 1)
	good := &taker{most: -1}
	broke := u.Attach(&taker{most: 9}) != nil && !u.Lost()
	if !broke || u.Attach(good) != nil || !bytes.Equal(good.Bytes(), body) {
		t.Fatalf("want a second attempt that has all of it, got %d bytes", good.Len())
	}
	if u.Write([]byte{1}) != nil || !u.Lost() || good.Len() != storeBlock+1 {
		t.Errorf("lost: %v, %d bytes", u.Lost(), good.Len())
	}
	for range 4 {
		if !store.Reserve(0, storeBlock) {
			t.Error("the store has not all of its bytes back")
		}
	}
}
