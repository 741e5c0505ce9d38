package core

import "sync/atomic"

// Stats are what the core has done since it began, as operators read them. The core's goroutine writes
// them; anyone may read them at any time.
type Stats struct {
	classes map[string]*tally // made once, for the classes of the settings
	relayed atomic.Int64
	open    atomic.Int64
	listed  atomic.Int64
	out     atomic.Int64
}

// tally is one class's figures.
type tally struct{ fulfilled, throttled, faulted atomic.Int64 }

// Stats returns the core's figures.
func (c *Core) Stats() *Stats { return c.figures }

func newFigures(classes []string) *Stats {
	f := &Stats{classes: map[string]*tally{}}
	for _, c := range classes {
		f.classes[c] = &tally{}
	}
	return f
}

// Snapshot is the figures at one moment, in the form of the operators' DUMP.
type Snapshot struct {
	Fulfilled     map[string]int64 `json:"fulfilled"`        // requests served, by class
	Throttled     map[string]int64 `json:"throttled"`        // refused
	Faulted       map[string]int64 `json:"faulted"`          // failed
	Relayed       int64            `json:"relayed"`          // attempts written whole to app servers
	Open          int64            `json:"open_requests"`    // taken and not ended
	Listed        int64            `json:"registry_entries"` // app servers in the list
	OutOfRotation int64            `json:"out_of_rotation"`  // of those, the ones avoided now
}

// Snapshot reads the figures.
func (f *Stats) Snapshot() Snapshot {
	s := Snapshot{Fulfilled: map[string]int64{}, Throttled: map[string]int64{}, Faulted: map[string]int64{},
		Relayed: f.relayed.Load(), Open: max(0, f.open.Load()), Listed: f.listed.Load(),
		OutOfRotation: f.out.Load()}
	for name, t := range f.classes {
		s.Fulfilled[name], s.Throttled[name] = t.fulfilled.Load(), t.throttled.Load()
		s.Faulted[name] = t.faulted.Load()
	}
	return s
}

// answered counts a final answer.
func (f *Stats) answered(class string, k Kind) {
	f.open.Add(-1)
	t := f.classes[class]
	if t == nil {
		return
	}
	switch k {
	case Served:
		t.fulfilled.Add(1)
	case Refused:
		t.throttled.Add(1)
	default:
		t.faulted.Add(1)
	}
}

// passed counts the end of an answer that was counted as served at its head.
func (f *Stats) passed(class string, whole bool) {
	f.open.Add(-1)
	if t := f.classes[class]; t != nil && !whole {
		t.fulfilled.Add(-1)
		t.faulted.Add(1)
	}
}

func (f *Stats) relay() { f.relayed.Add(1) }
