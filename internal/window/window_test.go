package window

import (
	"testing"
	"time"
)

func TestWindowsFollowEachOther(t *testing.T) {
	const length = 1.5
	for id := range uint64(50) {
		w := At(id, length, 1700000000*time.Second)
		if w.Left <= 0 || w.Left > 1500*time.Millisecond {
			t.Fatalf("customer %d: %v left of a window", id, w.Left)
		}
		at := 1700000000*time.Second + w.Left
		if next := At(id, length, at+time.Microsecond); next.Index != w.Index+1 {
			t.Errorf("customer %d: window %d ends, and %d begins", id, w.Index, next.Index)
		}
		if same := At(id, length, at-time.Microsecond); same.Index != w.Index {
			t.Errorf("customer %d: window %d is %d before its end", id, w.Index, same.Index)
		}
	}
}

func TestWindowsBeginSpread(t *testing.T) {
	parts := [10]int{}
	for id := range uint64(1000) {
		parts[int(At(id, 1, 0).Left.Seconds()*9.999)]++
	}
	for i, n := range parts {
		if n < 60 || n > 140 {
			t.Errorf("%d of 1,000 windows begin in tenth %d", n, i)
		}
	}
}

func TestCountsAreKeptForTheNextWindow(t *testing.T) {
	if keep := At(1, 2, 0).Keep(); keep != 5*time.Second {
		t.Errorf("kept for %v", keep)
	}
	if keep := At(1, 300, 0).Keep(); keep != time.Minute {
		t.Errorf("a long one kept for %v", keep)
	}
}
