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
		e := &Client{Options: Options{Incarnation: life}, requestID: 9, silentServers: 6, congested: true}
		d := e.retryPause()
		if moments[d] = true; d < maxRetryDelay/2 || d > maxRetryDelay {
			t.Errorf("a pause of %v", d)
		}
		if e.silentServers = 1; e.retryPause() != 0 {
			t.Errorf("%v before the second machine", e.retryPause())
		}
		if e.silentServers, e.congested = 6, false; e.retryPause() != 0 {
			t.Errorf("%v where nothing comes", e.retryPause())
		}
	}
	if len(moments) < 45 {
		t.Errorf("50 lines ask at %d moments", len(moments))
	}
}
