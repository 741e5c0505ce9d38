// Package localcount is a counter of named counts within one program, for gates that share quotas with each
// other and with nobody else.
package localcount

import (
	"sync"
	"time"

	"dunespoke/choice"
)

// Counter is a core.Counter. Its names are bounded by what the gates ask it to keep, and for how long.
type Counter struct {
	mu     sync.Mutex
	now    func() time.Time
	counts map[string]count
	swept  time.Time
}

type count struct {
	total float64
	till  time.Time
}

// sweepEvery is how often counts that are over are looked for.
const sweepEvery = 10 * time.Second

// New returns an empty counter.
func New() *Counter { return &Counter{now: time.Now, counts: map[string]count{}} }

// Add adds to a count that is dropped keep after its first call, and tells its total at once.
func (c *Counter) Add(name string, amount float64, keep time.Duration, done func(choice.Code, float64)) {
	c.mu.Lock()
	now := c.now()
	n, ok := c.counts[name]
	if !ok || !now.Before(n.till) {
		n = count{till: now.Add(keep)}
	}
	n.total += amount
	c.counts[name] = n
	if now.Sub(c.swept) >= sweepEvery {
		c.swept = now
		for name, n := range c.counts {
			if !now.Before(n.till) {
				delete(c.counts, name)
			}
		}
	}
	c.mu.Unlock()
	done(choice.OK, n.total)
}
