package simulation

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap's.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop is heap's.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (c *Cluster) schedule(after time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.Now + after, c.seq, do})
}

// Run plays for a time.
func (c *Cluster) Run(d time.Duration) {
	c.Until(func() bool { return false }, d)
}

// Until plays until a condition holds, and reports false if it does not within the limit.
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
