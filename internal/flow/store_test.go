package flow

import "testing"

func TestAStoreKeepsToItsBytes(t *testing.T) {
	s := NewStore(400)
	if !s.Fits(100) || s.Fits(101) || !s.Fits(-1) {
		t.Error("one body may have a quarter, or not tell its length")
	}
	for i := range 4 {
		if !s.Take(0, 60) || !s.Take(60, 40) || s.Take(100, 1) {
			t.Errorf("body %d: want 60 and 40 bytes, and no more", i+1)
		}
	}
	if s.Take(0, 1) || s.Free() != 0 {
		t.Errorf("a full store takes more; %d free", s.Free())
	}
	s.Give(50)
	if s.Take(0, 51) || !s.Take(0, 50) {
		t.Error("want what was given back, and no more")
	}
}
