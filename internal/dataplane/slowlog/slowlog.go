// Package slowlog keeps the last requests that ran late or were given up, and where their time went, for
// operators to look up. What it holds is bounded, and has no key, path or body in it.
package slowlog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Capacity is how many requests a Board keeps: the last ones.
const Capacity = 512

// Outcome says how a request ended.
type Outcome string

// The ends that are kept.
const (
	OutcomeLate     Outcome = "late"    // served, after its route's target
	OutcomeRejected Outcome = "refused" // it has not run
	OutcomeFailed   Outcome = "failed"  // it may have run
)

// Entry is a request that ran late or was given up. Times are counted from when it had come whole.
type Entry struct {
	At            time.Time     `json:"at"` // of its end, by this machine's time of day
	ID            string        `json:"id"` // of the client's try
	Route         string        `json:"route"`
	Tenant        string        `json:"tenant"`
	Service       string        `json:"service"`
	Server        string        `json:"server"` // that it was sent to last; empty: to none
	Attempts      int           `json:"attempts"`
	Outcome       Outcome       `json:"end"`
	LatencyTarget time.Duration `json:"target"`  // of its route, in nanoseconds, as all durations here
	Quota         time.Duration `json:"quota"`   // until its tenant's quota let it in
	Waiting       time.Duration `json:"waiting"` // from that until it went to a first server
	Serving       time.Duration `json:"serving"` // from that until its answer, further attempts among it
	Total         time.Duration `json:"total"`
}

// LongestPhase names where most of a request's time went.
func (e *Entry) LongestPhase() string {
	parts := []struct {
		name string
		took time.Duration
	}{{"quota", e.Quota}, {"waiting", e.Waiting}, {"serving", e.Serving}}
	most := parts[0]
	for _, p := range parts[1:] {
		if p.took > most.took {
			most = p
		}
	}
	return most.name
}

// Log keeps the last of such requests. Its methods may be called from any goroutine.
type Log struct {
	mu      sync.Mutex
	entries []Entry // a ring once it is full
	next    int
	total   uint64
}

// Record keeps a request.
func (l *Log) Record(entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if len(l.entries) < Capacity {
		l.entries = append(l.entries, entry)
		return
	}
	l.entries[l.next] = entry
	l.next = (l.next + 1) % Capacity
}

// Entries returns the requests that are kept, the last one first, and how many there were in all since the
// start.
func (l *Log) Entries() (list []Entry, total uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list = slices.Concat(l.entries[l.next:], l.entries[:l.next])
	slices.Reverse(list)
	return list, l.total
}

// Summary is what a Board tells of one route, service, tenant and end together.
type Summary struct {
	Route        string
	Tenant       string
	Service      string
	Outcome      Outcome
	Count        int
	Worst        time.Duration // total of the slowest
	LongestPhase string        // where most of them spent most of their time
}

// Summarize gathers requests, the most numerous first.
func Summarize(list []Entry) []Summary {
	type key struct {
		route, tenant, service string
		end                    Outcome
	}
	at := map[key]*Summary{}
	parts := map[key]map[string]int{}
	for i := range list {
		c := &list[i]
		k := key{c.Route, c.Tenant, c.Service, c.Outcome}
		s := at[k]
		if s == nil {
			s = &Summary{Route: c.Route, Tenant: c.Tenant, Service: c.Service, Outcome: c.Outcome}
			at[k], parts[k] = s, map[string]int{}
		}
		s.Count++
		s.Worst = max(s.Worst, c.Total)
		parts[k][c.LongestPhase()]++
		if s.LongestPhase == "" || parts[k][c.LongestPhase()] > parts[k][s.LongestPhase] {
			s.LongestPhase = c.LongestPhase()
		}
	}
	var sums []Summary
	for _, s := range at {
		sums = append(sums, *s)
	}
	slices.SortFunc(sums, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Outcome, b.Outcome))
	})
	return sums
}
