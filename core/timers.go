package core

import (
	"container/heap"
	"slices"
	"time"
)

// timers are what is to be done later, soonest first.
type timers struct {
	heap  timerHeap
	swept int // how many there were after the last sweep
}

type timer struct {
	at   time.Duration
	over *bool // set once there is nothing left to do; may be nil
	act  func()
}

func (t *timers) add(at time.Duration, over *bool, act func()) {
	if len(t.heap) > 2*t.swept+sweepLeast {
		t.sweep()
	}
	heap.Push(&t.heap, timer{at, over, act})
}

// sweepLeast is how many timers are not worth a sweep.
const sweepLeast = 64

// sweep removes those that have nothing left to do. Guards against holding all that was answered long ago
// until its deadline: at 2,500 requests a second with 10 s each, that was 37 MB of 56.
func (t *timers) sweep() {
	t.heap = slices.DeleteFunc(t.heap, func(x timer) bool { return x.over != nil && *x.over })
	heap.Init(&t.heap)
	t.swept = len(t.heap)
}

// next tells when the first is due that still has something to do. Guards against waking up for nothing: most
// requests, attempts and calls end long before their limits, and each wake costs as much as a read.
func (t *timers) next() (at time.Duration, ok bool) {
	for len(t.heap) > 0 && t.heap[0].over != nil && *t.heap[0].over {
		heap.Pop(&t.heap)
	}
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// due takes out the first if its time has come.
func (t *timers) due(now time.Duration) (act func()) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	return heap.Pop(&t.heap).(timer).act
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
