package server

import (
	"context"
	"testing"
	"time"
)

// The loop must tick while work that it runs posts more work without end, as when messages arrive faster
// than they are processed. Otherwise heartbeats would not be sent, and calls would not time out.
func TestBusyLoopStillTicks(t *testing.T) {
	const maxRuns = 30_000_000 // a few seconds if the loop never ticks; it ends after about 60 ms otherwise
	ctx, cancel := context.WithCancel(context.Background())
	l, runs, ticks := newEventLoop(), 0, 0
	var repost func()
	repost = func() {
		if runs++; runs < maxRuns && ticks < 3 {
			l.post(repost)
		} else {
			cancel()
		}
	}
	l.post(repost)
	l.run(ctx, func() time.Duration { ticks++; return time.Hour })
	if ticks < 3 {
		t.Errorf("%d ticks during %d runs, want at least 3 ticks", ticks, runs)
	}
}
