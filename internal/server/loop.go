package server

import (
	"context"
	"sync"
	"time"
)

// loop runs what is handed in, one after the other, on one goroutine, and looks after what is due.
type loop struct {
	mu    sync.Mutex
	queue []func()
	spare []func()
	wake  chan struct{}
}

func newLoop() *loop { return &loop{wake: make(chan struct{}, 1)} }

// do hands something in, from any goroutine.
func (l *loop) do(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// busyTick is how long more work may put off what is due: a beat goes out every 150 ms, and a call that has
// lasted for 0.88 s is to be answered within the second that its caller waits.
const busyTick = 20 * time.Millisecond

// run runs until the context ends. tick does what is due, and returns for how long nothing will be. It is
// called where there is no more work, and under work without end every busyTick.
func (l *loop) run(ctx context.Context, tick func() time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticked := time.Now()
	for {
		l.mu.Lock()
		work := l.queue
		l.queue, l.spare = l.spare[:0], nil
		l.mu.Unlock()
		for _, f := range work {
			f()
		}
		clear(work)
		l.mu.Lock()
		l.spare = work[:0]
		more := len(l.queue) > 0
		l.mu.Unlock()
		if more && time.Since(ticked) < busyTick {
			continue
		}
		timer.Reset(max(tick(), time.Millisecond))
		ticked = time.Now()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
	}
}
