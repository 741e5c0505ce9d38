// Package observing is the exchange's service observing: it keeps which requests ran late or were given up
// last, and where their time went, for staff to look up. What it holds is bounded, and has no key, path or
// body in it.
package slowlog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Most is how many requests a Board keeps: the last ones.
const Most = 512

// End says how a request ended.
type End string

// The ends that are kept.
const (
	Late    End = "late"    // served, after its route's target
	Refused End = "refused" // it has not run
	Failed  End = "failed"  // it may have run
)

// Call is a request that ran late or was given up. Times are counted from when it had come whole.
type Call struct {
	At       time.Time     `json:"at"` // of its end, by this machine's time of day
	ID       string        `json:"id"` // of the client's try
	Route    string        `json:"route"`
	Tenant   string        `json:"tenant"`
	Service  string        `json:"service"`
	Server   string        `json:"server"` // that it was sent to last; empty: to none
	Attempts int           `json:"attempts"`
	End      End           `json:"end"`
	Target   time.Duration `json:"target"`  // of its route, in nanoseconds, as all durations here
	Quota    time.Duration `json:"quota"`   // until its tenant's quota let it in
	Waiting  time.Duration `json:"waiting"` // from that until it went to a first server
	Serving  time.Duration `json:"serving"` // from that until its answer, further attempts among it
	Total    time.Duration `json:"total"`
}

// Longest names where most of a request's time went.
func (c *Call) Longest() string {
	parts := []struct {
		name string
		took time.Duration
	}{{"quota", c.Quota}, {"waiting", c.Waiting}, {"serving", c.Serving}}
	most := parts[0]
	for _, p := range parts[1:] {
		if p.took > most.took {
			most = p
		}
	}
	return most.name
}

// Board keeps the last of such requests. Its methods may be called from any goroutine.
type Board struct {
	mu    sync.Mutex
	calls []Call // a ring once it is full
	next  int
	total uint64
}

// Note keeps a request.
func (b *Board) Note(c Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if len(b.calls) < Most {
		b.calls = append(b.calls, c)
		return
	}
	b.calls[b.next] = c
	b.next = (b.next + 1) % Most
}

// Latest returns the requests that are kept, the last one first, and how many there were in all since the
// start.
func (b *Board) Latest() (list []Call, total uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list = slices.Concat(b.calls[b.next:], b.calls[:b.next])
	slices.Reverse(list)
	return list, b.total
}

// Sum is what a Board tells of one route, service, tenant and end together.
type Sum struct {
	Route   string
	Tenant  string
	Service string
	End     End
	N       int
	Worst   time.Duration // total of the slowest
	Longest string        // where most of them spent most of their time
}

// Sums gathers requests, the most numerous first.
func Sums(list []Call) []Sum {
	type key struct {
		route, tenant, service string
		end                    End
	}
	at := map[key]*Sum{}
	parts := map[key]map[string]int{}
	for i := range list {
		c := &list[i]
		k := key{c.Route, c.Tenant, c.Service, c.End}
		s := at[k]
		if s == nil {
			s = &Sum{Route: c.Route, Tenant: c.Tenant, Service: c.Service, End: c.End}
			at[k], parts[k] = s, map[string]int{}
		}
		s.N++
		s.Worst = max(s.Worst, c.Total)
		parts[k][c.Longest()]++
		if s.Longest == "" || parts[k][c.Longest()] > parts[k][s.Longest] {
			s.Longest = c.Longest()
		}
	}
	var sums []Sum
	for _, s := range at {
		sums = append(sums, *s)
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.End, b.End))
	})
	return sums
}
