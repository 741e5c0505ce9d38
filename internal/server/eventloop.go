package server

import (
	"context"
	"sync"
	"time"
)

// eventLoop runs posted functions one after the other on a single goroutine, and calls a tick function when
// something is due.
type eventLoop struct {
	mu       sync.Mutex
	queue    []func()
	reusable []func()      // an empty slice whose memory serves as the next queue
	wake     chan struct{} // signals a post; capacity 1
}

func newEventLoop() *eventLoop { return &eventLoop{wake: make(chan struct{}, 1)} }

// post queues a function to run on the loop. It is safe for concurrent use.
func (l *eventLoop) post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// maxTickDelay is how long queued work may delay a tick. It is short because a heartbeat is sent every 150
// ms, and because a call that has lasted for 0.88 s must be answered within the second that its caller
// waits.
const maxTickDelay = 20 * time.Millisecond

// run runs the loop until the context ends. tick does what is due, and returns the time until it must be
// called again. It is called when the queue is empty, and every maxTickDelay while the queue does not become
// empty.
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
