package client

import (
	"testing"
	"time"
)

// Given clients that have timed out at the same times, when late responses indicate congestion, then their
// retry pauses are jittered and at most maxRetryDelay. After the first timeout, and without any responses,
// there is no pause: the failover timeouts that other packages rely on assume that.
func TestRetryPauseIsJittered(t *testing.T) {
	pauses := map[time.Duration]bool{}
	for incarnation := range uint64(50) {
		c := &Client{options: Options{Incarnation: incarnation}, requestID: 9, consecutiveTimeouts: 6,
			congested: true}
		d := c.retryPause()
		if pauses[d] = true; d < maxRetryDelay/2 || d > maxRetryDelay {
			t.Errorf("pause %v is out of range", d)
		}
		if c.consecutiveTimeouts = 1; c.retryPause() != 0 {
			t.Errorf("pause %v after the first timeout, want none", c.retryPause())
		}
		if c.consecutiveTimeouts, c.congested = 6, false; c.retryPause() != 0 {
			t.Errorf("pause %v without late responses, want none", c.retryPause())
		}
	}
	if len(pauses) < 45 {
		t.Errorf("50 clients have %d distinct pauses, want at least 45", len(pauses))
	}
}
