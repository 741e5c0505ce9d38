package server

import (
	"context"
	"sync"
	"time"
)

// eventLoop runs what is handed in, one after the other, on one goroutine, and looks after what is due.
type eventLoop struct {
	mu       sync.Mutex
	queue    []func()
	reusable []func()
	wake     chan struct{}
}

func newEventLoop() *eventLoop { return &eventLoop{wake: make(chan struct{}, 1)} }

// post hands something in, from any goroutine.
func (l *eventLoop) post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// maxTickDelay is how long more work may put off what is due: a heartbeat goes out every 150 ms, and a call
// that has lasted for 0.88 s is to be answered within the second that its caller waits.
const maxTickDelay = 20 * time.Millisecond

// run runs until the context ends. tick does what is due, and returns for how long nothing will be. It is
// called where there is no more work, and under work without end every busyTick.
func (l *eventLoop) run(ctx context.Context, tick func() time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticked := time.Now()
	for {
		l.mu.Lock()
		work := l.queue
		l.queue, l.reusable = l.reusable[:0], nil
		l.mu.Unlock()
		for _, f := range work {
			f()
		}
		clear(work)
		l.mu.Lock()
		l.reusable = work[:0]
		more := len(l.queue) > 0
		l.mu.Unlock()
		if more && time.Since(ticked) < maxTickDelay {
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
