package core

import (
	"container/heap"
	"time"
)

// timers are what is to be done later, soonest first. None is taken back: what has become pointless by then
// does nothing.
type timers struct{ heap timerHeap }

type timer struct {
	at  time.Duration
	act func()
}

func (t *timers) add(at time.Duration, act func()) { heap.Push(&t.heap, timer{at, act}) }

// next tells when the first is due.
func (t *timers) next() (at time.Duration, ok bool) {
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
