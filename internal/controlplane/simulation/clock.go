package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time. Events at the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue implements heap.Interface; the first event is the next to run.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// schedule runs do after a delay in virtual time.
func (c *Cluster) schedule(after time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.Now + after, c.seq, do})
}

// Run advances the virtual time by d and runs the events that are due in it.
func (c *Cluster) Run(d time.Duration) {
	c.Until(func() bool { return false }, d)
}

// Until runs events until done returns true, for at most limit in virtual time. It reports whether done
// returned true.
func (c *Cluster) Until(done func() bool, limit time.Duration) bool {
	end := c.Now + limit
	for len(c.events) > 0 && c.events[0].at <= end {
		if done() {
			return true
		}
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = end
	return done()
}
