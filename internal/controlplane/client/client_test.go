package client

import (
	"testing"
	"time"
)

// Given clients that have failed at the same moments, when late responses tell of congestion, then they ask
// again at moments of their own, within the longest pause; after the first failure, or where nothing comes at
// all, each asks the next replica at once, by which the bounds of what is told out of touch go.
func TestClientsThatFailTogetherRetryApart(t *testing.T) {
	moments := map[time.Duration]bool{}
	for incarnation := range uint64(50) {
		c := &Client{options: Options{Incarnation: incarnation}, requestID: 9, silent: 6, congested: true}
		d := c.retryPause()
		if moments[d] = true; d < maxRetryDelay/2 || d > maxRetryDelay {
			t.Errorf("a pause of %v", d)
		}
		if c.silent = 1; c.retryPause() != 0 {
			t.Errorf("%v before the second replica", c.retryPause())
		}
		if c.silent, c.congested = 6, false; c.retryPause() != 0 {
			t.Errorf("%v where nothing comes", c.retryPause())
		}
	}
	if len(moments) < 45 {
		t.Errorf("50 clients ask at %d moments", len(moments))
	}
}
