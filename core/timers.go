package core

import (
	"container/heap"
	"slices"
	"time"
)

// timers is a queue of scheduled functions, ordered by due time. It is not safe for concurrent use.
type timers struct {
	heap           timerHeap
	sizeAfterSweep int
}

type timer struct {
	at       time.Duration // reading of Core.Now at which it is due
	obsolete *bool         // becomes true when run is no longer needed; may be nil
	run      func()
}

func (t *timers) add(at time.Duration, obsolete *bool, run func()) {
	if len(t.heap) > 2*t.sizeAfterSweep+minSweepSize {
		t.sweep()
	}
	heap.Push(&t.heap, timer{at, obsolete, run})
}

// minSweepSize is the number of timers up to which a sweep is not worth its cost.
const minSweepSize = 64

// sweep removes obsolete timers. Without it, the timers of answered requests stay in memory until their
// deadlines: at 2,500 requests per second with deadlines of 10 s, that was 37 MB of 56 MB.
func (t *timers) sweep() {
	t.heap = slices.DeleteFunc(t.heap, func(x timer) bool { return x.obsolete != nil && *x.obsolete })
	heap.Init(&t.heap)
	t.sizeAfterSweep = len(t.heap)
}

// next returns the due time of the first timer that is not obsolete; ok is false if there is none. Obsolete
// timers are skipped because most requests, attempts and calls end long before their limits, and each
// needless wakeup costs as much as a read.
func (t *timers) next() (at time.Duration, ok bool) {
	for len(t.heap) > 0 && t.heap[0].obsolete != nil && *t.heap[0].obsolete {
		heap.Pop(&t.heap)
	}
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// popDue removes the first timer if it is due, and returns its function; it returns nil if none is due.
func (t *timers) popDue(now time.Duration) (run func()) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return nil
	}
	return heap.Pop(&t.heap).(timer).run
}

// timerHeap implements heap.Interface.
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
