// Package virtual plays machines that know no I/O and no clock in virtual time, with loss, delay and cuts
// between them. The same seed gives the same run.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Net is a network and its clock. It is for one goroutine.
type Net struct {
	Loss   float64                // part of the messages that never arrive
	Delay  time.Duration          // of each message, at the least
	Jitter time.Duration          // more than that, at the most
	Cut    func(a, b string) bool // from a to b; may be nil
	Rand   *rand.Rand

	now    time.Duration
	number uint64
	events events
}

// New returns a network that begins at a time.
func New(seed uint64, now time.Duration) *Net {
	return &Net{Rand: rand.New(rand.NewPCG(seed, 1)), now: now, Delay: time.Millisecond,
		Jitter: 4 * time.Millisecond}
}

// Now is the virtual time.
func (n *Net) Now() time.Duration { return n.now }

// Send has a message arrive, or not.
func (n *Net) Send(from, to string, arrive func()) {
	if n.Cut != nil && n.Cut(from, to) || n.Loss > 0 && n.Rand.Float64() < n.Loss {
		return
	}
	late := n.Delay
	if n.Jitter > 0 {
		late += time.Duration(n.Rand.Int64N(int64(n.Jitter)))
	}
	n.After(late, func() {
		if n.Cut == nil || !n.Cut(from, to) {
			arrive()
		}
	})
}

// After has something done in so long.
func (n *Net) After(d time.Duration, do func()) {
	n.number++
	heap.Push(&n.events, event{n.now + d, n.number, do})
}

// Run plays all events up to a time.
func (n *Net) Run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at <= until {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.do()
	}
	n.now = max(n.now, until)
}

type event struct {
	at     time.Duration
	number uint64 // of two at the same time the first made goes first
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
