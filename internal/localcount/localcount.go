// Package localcount implements a counter in memory, for gates of one process that share quotas only with
// each other.
package localcount

import (
	"sync"
	"time"

	"dunespoke/choice"
)

// Counter is a core.Counter, safe for concurrent use. Its size is bounded by how many names the gates use and
// how long they keep them.
type Counter struct {
	mu        sync.Mutex
	now       func() time.Time // clock; replaced in tests
	counts    map[string]count
	lastSweep time.Time // time of the last deletion of expired counts
}

type count struct {
	total   float64
	expires time.Time
}

// sweepInterval is the interval at which expired counts are deleted.
const sweepInterval = 10 * time.Second

// New returns an empty counter.
func New() *Counter { return &Counter{now: time.Now, counts: map[string]count{}} }

// Add adds amount to a count, which expires when keep has passed since the call that created it, and calls
// done with the total before it returns.
func (c *Counter) Add(name string, amount float64, keep time.Duration, done func(choice.Code, float64)) {
	c.mu.Lock()
	now := c.now()
	n, ok := c.counts[name]
	if !ok || !now.Before(n.expires) {
		n = count{expires: now.Add(keep)}
	}
	n.total += amount
	c.counts[name] = n
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		for name, n := range c.counts {
			if !now.Before(n.expires) {
				delete(c.counts, name)
			}
		}
	}
	c.mu.Unlock()
	done(choice.OK, n.total)
}
