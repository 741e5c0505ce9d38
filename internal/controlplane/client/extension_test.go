package client

import (
	"testing"
	"time"
)

// Given lines that have failed at the same moments, when late answers tell of congestion, then they ask again
// at moments of their own, within the longest pause; after the first failure, or where nothing comes at all,
// each asks the next machine at once, by which the bounds of what is told out of touch go.
func TestLinesThatFailTogetherAskAgainApart(t *testing.T) {
	moments := map[time.Duration]bool{}
	for life := range uint64(50) {
		e := &Extension{Options: Options{Life: life}, call: 9, silent: 6, slow: true}
		d := e.pause()
		if moments[d] = true; d < pauseMost/2 || d > pauseMost {
			t.Errorf("a pause of %v", d)
		}
		if e.silent = 1; e.pause() != 0 {
			t.Errorf("%v before the second machine", e.pause())
		}
		if e.silent, e.slow = 6, false; e.pause() != 0 {
			t.Errorf("%v where nothing comes", e.pause())
		}
	}
	if len(moments) < 45 {
		t.Errorf("50 lines ask at %d moments", len(moments))
	}
}
