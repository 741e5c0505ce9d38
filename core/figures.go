package core

import "sync/atomic"

// Stats are the core's counters and gauges since its start, for operators. The core's goroutine writes them;
// they may be read from any goroutine.
type Stats struct {
	classes       map[string]*classStats // the classes of the settings; not modified after newStats
	relayed       atomic.Int64
	open          atomic.Int64
	listed        atomic.Int64
	outOfRotation atomic.Int64
}

// classStats are the counters of final answers of one class.
type classStats struct{ fulfilled, throttled, faulted atomic.Int64 }

// Stats returns the core's counters and gauges.
func (c *Core) Stats() *Stats { return c.stats }

func newStats(classes []string) *Stats {
	s := &Stats{classes: map[string]*classStats{}}
	for _, c := range classes {
		s.classes[c] = &classStats{}
	}
	return s
}

// Snapshot is a copy of the core's stats, in the form of the operators' DUMP.
type Snapshot struct {
	Fulfilled     map[string]int64 `json:"fulfilled"`        // requests served, by class
	Throttled     map[string]int64 `json:"throttled"`        // requests refused, by class
	Faulted       map[string]int64 `json:"faulted"`          // requests failed, by class
	Relayed       int64            `json:"relayed"`          // attempts completely written to app servers
	Open          int64            `json:"open_requests"`    // requests accepted and not yet finished
	Listed        int64            `json:"registry_entries"` // app servers in the server list
	OutOfRotation int64            `json:"out_of_rotation"`  // listed app servers that get no new requests
}

// Snapshot returns the current values.
func (s *Stats) Snapshot() Snapshot {
	values := Snapshot{Fulfilled: map[string]int64{}, Throttled: map[string]int64{}, Faulted: map[string]int64{},
		Relayed: s.relayed.Load(), Open: max(0, s.open.Load()), Listed: s.listed.Load(),
		OutOfRotation: s.outOfRotation.Load()}
	for name, c := range s.classes {
		values.Fulfilled[name], values.Throttled[name] = c.fulfilled.Load(), c.throttled.Load()
		values.Faulted[name] = c.faulted.Load()
	}
	return values
}

// countAnswer counts the final answer to a request.
func (s *Stats) countAnswer(class string, k Kind) {
	s.open.Add(-1)
	c := s.classes[class]
	if c == nil {
		return
	}
	switch k {
	case Served:
		c.fulfilled.Add(1)
	case Refused:
		c.throttled.Add(1)
	default:
		c.faulted.Add(1)
	}
}

// countResponseEnd counts the end of a response that countAnswer counted as served when its head arrived. An
// incomplete response is counted as failed instead.
func (s *Stats) countResponseEnd(class string, complete bool) {
	s.open.Add(-1)
	if c := s.classes[class]; c != nil && !complete {
		c.fulfilled.Add(-1)
		c.faulted.Add(1)
	}
}

func (s *Stats) countRelayed() { s.relayed.Add(1) }
