// Package slowlog keeps the most recent requests that were late, rejected or failed, with the time spent in
// each phase, for operators to look up. Its size is bounded, and its entries contain no key, path or body.
package slowlog

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Capacity is the maximum number of requests that a Log keeps.
const Capacity = 512

// Outcome is how a request in the log ended.
type Outcome string

// The outcomes that are logged.
const (
	OutcomeLate     Outcome = "late"    // served, but after the latency target of its route
	OutcomeRejected Outcome = "refused" // not executed by a server
	OutcomeFailed   Outcome = "failed"  // possibly executed by a server
)

// Entry is a request that was late, rejected or failed. Its times are counted from when the request was
// received completely.
type Entry struct {
	At            time.Time     `json:"at"` // wall clock time at which the request ended
	ID            string        `json:"id"` // of the client's attempt: the header Attempt-Id
	Route         string        `json:"route"`
	Tenant        string        `json:"tenant"`
	Service       string        `json:"service"`
	Server        string        `json:"server"` // to which the request was sent last; empty if it was not sent
	Attempts      int           `json:"attempts"`
	Outcome       Outcome       `json:"end"`
	LatencyTarget time.Duration `json:"target"`  // of the route; all durations are encoded in nanoseconds
	Quota         time.Duration `json:"quota"`   // until the tenant's quota admitted the request
	Waiting       time.Duration `json:"waiting"` // from then until the request was sent to the first server
	Serving       time.Duration `json:"serving"` // from then until the response, including further attempts
	Total         time.Duration `json:"total"`
}

// LongestPhase returns the name of the phase in which the request spent the most time.
func (e *Entry) LongestPhase() string {
	phases := []struct {
		name     string
		duration time.Duration
	}{{"quota", e.Quota}, {"waiting", e.Waiting}, {"serving", e.Serving}}
	longest := phases[0]
	for _, p := range phases[1:] {
		if p.duration > longest.duration {
			longest = p
		}
	}
	return longest.name
}

// Log keeps the last Capacity entries. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries []Entry // a ring buffer once it is full
	next    int     // index of the oldest entry once the log is full
	total   uint64  // number of entries recorded since the start
}

// Record adds an entry, and drops the oldest one if the log is full.
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

// Entries returns the stored entries, newest first, and the number of entries recorded since the start.
func (l *Log) Entries() (list []Entry, total uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list = slices.Concat(l.entries[l.next:], l.entries[:l.next])
	slices.Reverse(list)
	return list, l.total
}

// Summary describes all entries with the same route, tenant, service and outcome.
type Summary struct {
	Route        string
	Tenant       string
	Service      string
	Outcome      Outcome
	Count        int
	Worst        time.Duration // longest total duration
	LongestPhase string        // the most frequent LongestPhase of the entries
}

// Summarize groups entries into summaries, sorted by descending count.
func Summarize(list []Entry) []Summary {
	type key struct {
		route, tenant, service string
		outcome                Outcome
	}
	summaries := map[key]*Summary{}
	phaseCounts := map[key]map[string]int{}
	for i := range list {
		entry := &list[i]
		k := key{entry.Route, entry.Tenant, entry.Service, entry.Outcome}
		s := summaries[k]
		if s == nil {
			s = &Summary{Route: entry.Route, Tenant: entry.Tenant, Service: entry.Service, Outcome: entry.Outcome}
			summaries[k], phaseCounts[k] = s, map[string]int{}
		}
		s.Count++
		s.Worst = max(s.Worst, entry.Total)
		phaseCounts[k][entry.LongestPhase()]++
		if s.LongestPhase == "" || phaseCounts[k][entry.LongestPhase()] > phaseCounts[k][s.LongestPhase] {
			s.LongestPhase = entry.LongestPhase()
		}
	}
	var sums []Summary
	for _, s := range summaries {
		sums = append(sums, *s)
	}
	slices.SortFunc(sums, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Outcome, b.Outcome))
	})
	return sums
}
