package choice

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// All times are readings of one clock that never goes backwards, as a
// time.Duration since an origin of the embedder's choice. Gateways that share a
// counter must share the origin to within a fraction of a second (Unix time will
// do), since the names of counts carry the index of a window of that clock.

// Repeat says what sending a request of a class twice may do.
type Repeat int

// The kinds of Repeat.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // carries a key; a Group of backends discards repeats within Window
	Unsafe               // must never run twice
)

// Group is the set of backends that discard each other's repeats of a keyed request.
type Group int

// The kinds of Group.
const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Repeat    Repeat
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long the group remembers a key
	Aim       time.Duration // an answer within Aim earns the full worth
	Deadline  time.Duration // the client's patience over all its tries
	Worth     float64       // per unit, before the plan's Price
	LateShare float64       // part of the worth earned between Aim and the deadline
	Tries     int           // attempts at most; 0: as Settings.MaxAttempts says
}

// Plan describes the quotas that hold for each customer of a plan, over all gateways.
type Plan struct {
	Name         string
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units the quota's store holds
	Open         int     // attempts out at once; 0: no such quota
	CeilingRate  float64 // units a second of the hard ceiling; 0: no ceiling
	CeilingBurst float64 // units the ceiling's store holds
	CeilingSlack float64 // units by which that store may fall below nothing
	Price        float64 // factor on the worth of a request
	BeyondEarns  float64 // part of the worth earned beyond the quota
	ExcessCost   float64 // part of the worth that a try beyond the quota costs
}

// Settings are all that a Gate is told about its site.
type Settings struct {
	Zone           string // the gateway's own zone
	Gateways       int    // gateways before the fleet, this one included
	Number         int    // of this one among them, from 1; 0: not told, and it uses all backends alike
	Classes        []Class
	Plans          []Plan
	MaxUnits       float64       // the most units a request counts
	Counter        bool          // whether Actions.Add may be used
	CounterTimeout time.Duration // the embedder gives up a call after this long
	MaxAttempts    int
	DialTimeout    time.Duration
	MaxRetryAfter  time.Duration // the longest wait that clients obey
	Cancel         bool          // whether Actions.Cancel may be used
	CrossZoneCost  float64       // cost of an attempt that leaves the zone, as a part of a mean request's worth
	ColdCapacity   float64       // part of its capacity that a backend starts with, at the least
	ColdTime       time.Duration // a backend is warm this long after its start, at the latest
	FallMultiple   float64       // a cold backend falls over when sent this many times its capacity
	FallTime       time.Duration // for this long
	QueueField     int           // index of the number of waiting requests in load reports; -1: not reported
	Tuning
}

// Tuning are figures that depend on what kind of servers stand behind. Zero values read as the given ones.
type Tuning struct {
	RetryBudgetRatio   float64 // 0.3: attempts again, as a part of requests: more would feed an overload
	RetryBudgetMax     float64 // 10.0: such attempts saved up at the most: a short trouble's worth
	InitialConcurrency float64 // 12.0: attempts out a backend, by all gateways, to start with
	FastAnswerRatio    float64 // 0.15: part of the aim under which an answer lets a backend have more out
	SlowAnswerRatio    float64 // 0.25: and over which it gets less: queues cost more than they serve
	MinConcurrency     float64 // 3.0: attempts out a backend, by all gateways, at least: some cores' worth
	ShedThreshold      float64 // 0.5: part of the aim over which answers are late: being slow alone is not
	QueueWaitRatio     float64 // 0.3: part of the aim to wait here for a backend with room
	OutsideSubsetCost  float64 // 2.0: cost of a backend not in the gateway's part: for when that is busy
	LatencyWeight      float64 // 0.35: weight of an answer in the lateness: a gateway hears few
	ChargeRejected     bool    // attempts that were turned away draw from that budget, too
}

// orDefaults fills in what is not set.
func (t *Tuning) orDefaults() {
	for at, value := range map[*float64]float64{
		&t.RetryBudgetRatio: 0.3, &t.RetryBudgetMax: 10, &t.InitialConcurrency: 12,
		&t.FastAnswerRatio: 0.15, &t.SlowAnswerRatio: 0.25, &t.MinConcurrency: 3, &t.ShedThreshold: 0.5,
		&t.QueueWaitRatio: 0.3, &t.LatencyWeight: 0.35, &t.OutsideSubsetCost: 2,
	} {
		*at = cmp.Or(*at, value)
	}
}

// Validate names the first setting that makes no sense.
func (s *Settings) Validate() error {
	bad := func(v ...float64) bool {
		return slices.ContainsFunc(v, func(x float64) bool { return !(x >= 0 && x < 1e12) })
	}
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("setting Gateways: %d, want 1 or more", s.Gateways)
	case s.Number < 0 || s.Number > s.Gateways:
		return fmt.Errorf("setting Number: %d, want 1 to %d, or 0 if it is not known", s.Number, s.Gateways)
	case s.MaxAttempts < 1:
		return fmt.Errorf("setting MaxAttempts: %d, want 1 or more", s.MaxAttempts)
	case bad(s.ColdCapacity, s.FallMultiple, s.CrossZoneCost, s.MaxUnits, float64(s.ColdTime),
		float64(s.CounterTimeout)*1e-6, float64(s.MaxRetryAfter)*1e-6):
		return fmt.Errorf("settings: a figure of limits or of cold backends is negative or no number")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 || bad(c.Worth, c.LateShare) {
			return fmt.Errorf("class %q: times must be above 0 and worths not below", c.Name)
		}
	}
	for _, p := range s.Plans {
		if bad(p.Rate, p.Burst, float64(p.Open), p.CeilingRate, p.CeilingBurst, p.CeilingSlack, p.Price,
			p.BeyondEarns, p.ExcessCost) || (p.Rate > 0 && p.Burst <= 0) {
			return fmt.Errorf("plan %q: figures must not be negative, and a rate needs a burst", p.Name)
		}
	}
	return nil
}

// State is what the server list says of a backend.
type State int

// The kinds of State.
const (
	Live State = iota
	Draining
	Gone
)

// Backend is one entry of the server list.
type Backend struct {
	ID      uint64
	Key     uint64 // the same at all gateways, unlike ID; spread evenly
	Zone    string
	Cell    int
	State   State
	Far     bool          // not in the gateway's part of the fleet, by the embedder's word
	Weight  float64       // dimensionless size, compared with other backends'; 0 reads as 1
	Started time.Duration // clock time of the last start; 0: long ago
}

// Request is one try of a client.
type Request struct {
	ID       uint64
	Class    string
	Plan     string
	Customer uint64
	Units    float64       // what it draws from the quota: known, or a guess settled by Outcome.Units
	Again    bool          // a client's repeat, where clients tell
	Spread   int           // gateways through which the customer's requests arrive
	Deadline time.Duration // clock time at which the client gives up this try
}

// Code says how an attempt, a probe or a call to the counter ended.
type Code int

// The kinds of Code.
const (
	OK        Code = iota
	Error          // the backend answered with an error; it may have run
	Busy           // turned away unseen: it never ran
	TimedOut       // no answer in time; it may have run, or been added
	Refused        // no connection: it never ran
	Reset          // the connection broke; it may have run
	Cancelled      // withdrawn; it may have run
	Skipped        // never sent
)

// NeverRan reports whether the code proves that the work did not happen.
func (c Code) NeverRan() bool { return c == Busy || c == Refused || c == Skipped }

// Outcome tells how one attempt ended. Every Send gets exactly one.
type Outcome struct {
	Request uint64
	Attempt int // 0, 1, 2 ... in the order of the request's sends
	Backend uint64
	Code    Code
	Took    time.Duration
	Ended   bool      // the client has its final answer
	Units   float64   // true units of the request; 0: not told
	Load    []float64 // the backend's load report, if one came along
}

// Actions is what the embedder does on the Gate's behalf. The methods are called
// from within the Gate's event methods and must not call the Gate back.
type Actions interface {
	// Send starts an attempt, to be given up after timeout.
	Send(request, backend uint64, timeout time.Duration)
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel(request uint64, attempt int)
	// Refuse is a final answer: it did not run, and a retry after the wait is harmless.
	Refuse(request uint64, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(request uint64)
	// Wake asks for one call of Gate.Wake after the delay.
	Wake(delay time.Duration)
	// Add adds to a named count, which is dropped keep after its first call, and
	// asks for the total by Gate.Counted. Answers for a name keep the calls' order.
	Add(name string, amount float64, keep time.Duration)
	// Log writes a line for on-call staff.
	Log(line string)
}
