package window

import (
	"testing"
	"time"
)

func TestWindowsAreConsecutive(t *testing.T) {
	const length = 1.5
	for id := range uint64(50) {
		current := At(id, length, 1700000000*time.Second)
		if current.Left <= 0 || current.Left > 1500*time.Millisecond {
			t.Fatalf("customer %d: %v until the next window, want up to 1.5s", id, current.Left)
		}
		end := 1700000000*time.Second + current.Left
		if next := At(id, length, end+time.Microsecond); next.Index != current.Index+1 {
			t.Errorf("customer %d: window %d is followed by window %d", id, current.Index, next.Index)
		}
		if same := At(id, length, end-time.Microsecond); same.Index != current.Index {
			t.Errorf("customer %d: window %d has index %d just before its end", id, current.Index, same.Index)
		}
	}
}

func TestWindowStartsAreSpreadEvenly(t *testing.T) {
	startsPerTenth := [10]int{}
	for id := range uint64(1000) {
		startsPerTenth[int(At(id, 1, 0).Left.Seconds()*9.999)]++
	}
	for i, n := range startsPerTenth {
		if n < 60 || n > 140 {
			t.Errorf("%d of 1,000 windows begin in tenth %d of a second, want 60 to 140", n, i)
		}
	}
}

func TestCountsAreKeptPastTheNextWindow(t *testing.T) {
	if keep := At(1, 2, 0).Keep(); keep != 5*time.Second {
		t.Errorf("the count of a 2 s window is kept for %v, want 5s", keep)
	}
	if keep := At(1, 300, 0).Keep(); keep != time.Minute {
		t.Errorf("the count of a 300 s window is kept for %v, want 1m", keep)
	}
}
