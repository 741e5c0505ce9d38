package choice

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// All times are readings of one monotonic clock, as a time.Duration since an origin that the embedder
// chooses. Gateways that share a counter must agree on the origin to within a fraction of a second (Unix time
// will do), because the names of counts contain the index of a time window of that clock.

// Repeat says whether a request of a class may run more than once.
type Repeat int

// The kinds of Repeat.
const (
	Safe   Repeat = iota // idempotent: may run any number of times
	Keyed                // carries an idempotency key; a Group of backends discards duplicates within Window
	Unsafe               // must not run twice
)

// Group is the set of backends that discard each other's duplicates of a keyed request.
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
	Aim       time.Duration // latency target: an answer within Aim earns the full worth
	Deadline  time.Duration // how long the client waits in total, over all its tries
	Worth     float64       // value per unit, before the plan's Price is applied
	LateShare float64       // fraction of the worth that an answer between Aim and the deadline earns
	Tries     int           // maximum number of attempts; 0 means Settings.MaxAttempts
}

// Plan describes the quotas of each customer of a plan, over all gateways.
type Plan struct {
	Name         string
	Rate         float64 // quota in units per second; 0 means no such quota
	Burst        float64 // capacity of the quota's token bucket, in units
	Open         int     // maximum number of concurrent attempts; 0 means no limit
	CeilingRate  float64 // hard ceiling in units per second; 0 means no ceiling
	CeilingBurst float64 // capacity of the ceiling's token bucket, in units
	CeilingSlack float64 // units by which the ceiling's token bucket may fall below zero
	Price        float64 // factor on the worth of a request
	BeyondEarns  float64 // fraction of the worth that an answer beyond the quota earns
	ExcessCost   float64 // fraction of the worth that an attempt beyond the quota costs
}

// Settings describe the site of a Gate.
type Settings struct {
	Zone           string // the gateway's own zone
	Gateways       int    // number of gateways in front of the backends, including this one
	Number         int    // number of this gateway, from 1; 0 means unknown: it uses all backends alike
	Classes        []Class
	Plans          []Plan
	MaxUnits       float64       // maximum units of one request
	Counter        bool          // whether Actions.Add may be used
	CounterTimeout time.Duration // the embedder abandons a counter call after this time
	MaxAttempts    int           // default for Class.Tries
	DialTimeout    time.Duration
	MaxRetryAfter  time.Duration // the longest retry delay that clients obey
	Cancel         bool          // whether Actions.Cancel may be used
	CrossZoneCost  float64       // cost of an attempt to another zone, as a fraction of a request's mean worth
	ColdCapacity   float64       // minimum fraction of its capacity that a backend has when it starts
	ColdTime       time.Duration // a backend is warm at the latest this long after its start
	FallMultiple   float64       // a cold backend collapses when sent this many times its capacity
	FallTime       time.Duration // how long a collapse lasts
	QueueField     int           // index of the queue length in load reports; -1 means it is not reported
	Tuning
}

// Tuning depends on the kind of backends. A zero field means the default that its comment begins with.
type Tuning struct {
	// RetryBudgetRatio is the retry budget earned per request (0.3). A larger one would feed an overload.
	RetryBudgetRatio float64
	// RetryBudgetMax is the maximum number of retries saved up (10), enough for a short disturbance.
	RetryBudgetMax float64
	// InitialConcurrency is the initial limit of attempts in flight per backend, over all gateways (12).
	InitialConcurrency float64
	// FastAnswerRatio is the fraction of Class.Aim below which an answer raises the concurrency limits (0.15).
	FastAnswerRatio float64
	// SlowAnswerRatio is the fraction of Class.Aim above which an answer lowers them (0.25): queues in a
	// backend cost more than they gain.
	SlowAnswerRatio float64
	// MinConcurrency is the minimum limit of attempts in flight per backend, over all gateways (3): a backend
	// has several cores.
	MinConcurrency float64
	// ShedThreshold is the fraction of Class.Aim above which the mean latency counts as overload (0.5). Backends
	// that are merely slow stay below it.
	ShedThreshold float64
	// QueueWaitRatio is the fraction of Class.Aim that a request may wait for a backend with capacity (0.3).
	QueueWaitRatio float64
	// OutsideSubsetCost multiplies the cost of a backend outside the gateway's subset (2), which is meant for
	// when the subset is busy.
	OutsideSubsetCost float64
	// LatencyWeight is the weight of one answer in the mean latency (0.35), high because a gateway receives few.
	LatencyWeight float64
	// ChargeRejected says that a retry after a Busy answer draws from the retry budget, too.
	ChargeRejected bool
}

// orDefaults sets zero fields to their defaults.
func (t *Tuning) orDefaults() {
	for field, value := range map[*float64]float64{
		&t.RetryBudgetRatio: 0.3, &t.RetryBudgetMax: 10, &t.InitialConcurrency: 12,
		&t.FastAnswerRatio: 0.15, &t.SlowAnswerRatio: 0.25, &t.MinConcurrency: 3, &t.ShedThreshold: 0.5,
		&t.QueueWaitRatio: 0.3, &t.LatencyWeight: 0.35, &t.OutsideSubsetCost: 2,
	} {
		*field = cmp.Or(*field, value)
	}
}

// Validate returns an error for the first setting that is invalid.
func (s *Settings) Validate() error {
	invalid := func(v ...float64) bool {
		return slices.ContainsFunc(v, func(x float64) bool { return !(x >= 0 && x < 1e12) })
	}
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("setting Gateways: %d, want 1 or more", s.Gateways)
	case s.Number < 0 || s.Number > s.Gateways:
		return fmt.Errorf("setting Number: %d, want 1 to %d, or 0 if unknown", s.Number, s.Gateways)
	case s.MaxAttempts < 1:
		return fmt.Errorf("setting MaxAttempts: %d, want 1 or more", s.MaxAttempts)
	case invalid(s.ColdCapacity, s.FallMultiple, s.CrossZoneCost, s.MaxUnits, float64(s.ColdTime),
		float64(s.CounterTimeout)*1e-6, float64(s.MaxRetryAfter)*1e-6):
		return fmt.Errorf("settings: a limit, cost, timeout or cold start figure is negative, too large or NaN")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 || invalid(c.Worth, c.LateShare) {
			return fmt.Errorf("class %q: Aim and Deadline must be positive and the other figures not negative", c.Name)
		}
	}
	for _, p := range s.Plans {
		if invalid(p.Rate, p.Burst, float64(p.Open), p.CeilingRate, p.CeilingBurst, p.CeilingSlack, p.Price,
			p.BeyondEarns, p.ExcessCost) || (p.Rate > 0 && p.Burst <= 0) {
			return fmt.Errorf("plan %q: figures must not be negative, and a Rate needs a positive Burst", p.Name)
		}
	}
	return nil
}

// State is the state of a backend in the server list.
type State int

// The kinds of State.
const (
	Live     State = iota
	Draining       // gets no new attempts
	Gone           // removed
)

// Backend is one entry of the server list.
type Backend struct {
	ID      uint64
	Key     uint64 // identifies the backend at all gateways, unlike ID; evenly distributed
	Zone    string
	Cell    int
	State   State
	Far     bool          // outside the gateway's subset, as the embedder has decided
	Weight  float64       // capacity relative to other backends; 0 means 1
	Started time.Duration // clock time of the last start; 0 means long ago
}

// Request is one request of a client, which may be a retry of an earlier one.
type Request struct {
	ID       uint64
	Class    string
	Plan     string
	Customer uint64
	Units    float64       // units drawn from the quota; an estimate if Outcome.Units corrects it
	Again    bool          // a client's retry, if the client marks retries
	Spread   int           // number of gateways that receive the customer's requests
	Deadline time.Duration // clock time at which the client abandons this request
}

// Code is the result of an attempt, a probe or a counter call.
type Code int

// The kinds of Code.
const (
	OK        Code = iota
	Error          // error answer of the backend; the request may have run
	Busy           // rejected without processing: it never ran
	TimedOut       // no answer in time; it may have run, or a count may have been added
	Refused        // no connection was established: it never ran
	Reset          // the connection broke; it may have run
	Cancelled      // cancelled by the gateway; it may have run
	Skipped        // not sent: it never ran
)

// NeverRan reports whether the code proves that the request did not run.
func (c Code) NeverRan() bool { return c == Busy || c == Refused || c == Skipped }

// Outcome is the result of one attempt. There is exactly one for every Send.
type Outcome struct {
	Request uint64
	Attempt int // 0, 1, 2 ... in the order in which the request's attempts were sent
	Backend uint64
	Code    Code
	Took    time.Duration
	Ended   bool      // the client has received its final answer
	Units   float64   // actual units of the request; 0 means unknown
	Load    []float64 // the backend's load report, if the answer had one
}

// Actions are carried out by the embedder on the Gate's behalf. The Gate calls them within its event methods;
// they must not call the Gate.
type Actions interface {
	// Send starts an attempt, which the embedder abandons after timeout.
	Send(request, backend uint64, timeout time.Duration)
	// Cancel cancels an attempt; its Outcome is still reported.
	Cancel(request uint64, attempt int)
	// Refuse sends a final answer: a retry of the request after the wait is safe.
	Refuse(request uint64, retryAfter time.Duration)
	// Fail sends a final answer that does not say whether a retry is safe.
	Fail(request uint64)
	// Wake requests one call of Gate.Wake after the delay.
	Wake(delay time.Duration)
	// Add adds amount to a named count of the counter and reports the new total through Gate.Counted. The
	// counter drops a count when keep has passed since its first Add. Totals of one name are reported in call
	// order.
	Add(name string, amount float64, keep time.Duration)
	// Log writes a log line for operators.
	Log(line string)
}
