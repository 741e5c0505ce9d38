package server

import (
	"context"
	"testing"
	"time"
)

// Given a loop that is handed in more while it works, without end, as by messages that come faster than they
// are taken, when something is due, then it is done all the same: heartbeats go out, and calls end in time.
func TestABusyLoopStillTicks(t *testing.T) {
	const most = 30_000_000 // some seconds, where the loop never looks; else it ends after some 60 ms
	ctx, end := context.WithCancel(context.Background())
	l, done, ticked := newEventLoop(), 0, 0
	var again func()
	again = func() {
		if done++; done < most && ticked < 3 {
			l.post(again)
		} else {
			end()
		}
	}
	l.post(again)
	l.run(ctx, func() time.Duration { ticked++; return time.Hour })
	if ticked < 3 {
		t.Errorf("looked after what is due %d times while %d things were done", ticked, done)
	}
}
