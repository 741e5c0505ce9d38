package transfer

import (
	"bytes"
	"errors"
	"testing"

	"dunespoke/internal/flow"
)

// taker is an attempt that fails after so many pieces; below 0: never.
type taker struct {
	got   bytes.Buffer
	after int
	done  bool
}

func (k *taker) Write(p []byte) error {
	if k.after--; k.after == -1 {
		return errors.New("broken")
	}
	k.got.Write(p)
	return nil
}

func (k *taker) Last()              {}
func (k *taker) Close([]byte) error { k.done = true; return nil }
func (k *taker) Cut()               {}

// A stored body goes to each attempt from its beginning, and its memory is given back with the answer.
func TestAStoredBodyGoesOutAgainWhole(t *testing.T) {
	store := flow.NewStore(16 * storeBlock)
	u := Stored(store)
	var want []byte
	for i := range 9 {
		piece := bytes.Repeat([]byte{byte('a' + i)}, 9000)
		want = append(want, piece...)
		if !u.Store(piece) {
			t.Fatalf("no room for piece %d", i+1)
		}
	}
	if store.Free() != 13*storeBlock || u.Length() != 81000 {
		t.Errorf("%d bytes free, length %d; want 3 blocks taken for 81,000 bytes", store.Free(), u.Length())
	}
	u.End(nil)
	if u.Attach(&taker{after: 1}) == nil || u.Lost() {
		t.Error("want an attempt that breaks, after which another is possible")
	}
	good := &taker{after: -1}
	if err := u.Attach(good); err != nil || !good.done || !bytes.Equal(good.got.Bytes(), want) {
		t.Errorf("%v, end told: %v, %d bytes", err, good.done, good.got.Len())
	}
	u.Over()
	u.Over()
	if store.Free() != 16*storeBlock {
		t.Errorf("%d bytes free after the answer", store.Free())
	}
}

// Beyond the store a body flows, and then only one attempt can have it.
func TestABodyBeyondTheStoreFlows(t *testing.T) {
	store := flow.NewStore(4 * storeBlock)
	u := Stored(store)
	if !u.Store(make([]byte, storeBlock)) || u.Store([]byte{1}) {
		t.Fatal("want one block")
	}
	u.Flow(storeBlock + 1)
	k := &taker{after: -1}
	if err := u.Attach(k); err != nil || u.Length() != storeBlock+1 {
		t.Fatal(err, u.Length())
	}
	if err := u.Write([]byte{1}); err != nil || !u.Lost() || k.got.Len() != storeBlock+1 {
		t.Errorf("%v, lost: %v, %d bytes", err, u.Lost(), k.got.Len())
	}
	if store.Free() != 4*storeBlock {
		t.Errorf("%d bytes free once the body is lost to others", store.Free())
	}
}
