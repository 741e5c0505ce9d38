// Package breaker is a circuit breaker: it decides when requests to a service that fails or stops answering
// are rejected, when the service is tried again, and how fast its load is restored. It has no clock and does
// no I/O: times are readings of the caller's clock, and the caller reports the outcome of each request.
//
// A breaker is closed while the service is healthy: as many requests may be in flight as the bulkhead allows.
// It opens after a number of consecutive failures, or when the failures among the most recent outcomes reach
// a ratio. An unresponsive service is recognised before requests time out: a request that is late counts as
// one failure, and as a success if its answer still arrives. While the breaker is open, it rejects all
// requests but single trials, with a backoff between them that doubles up to a maximum. After a successful
// trial the breaker is in state Returning: two requests may be in flight, and each success allows one more,
// as in TCP's slow start, so that a service that restarted with cold caches is not overloaded. One failure
// opens it again.
package breaker

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Options configure a breaker. A field that is zero has the value of Default.
type Options struct {
	MaxInFlight    int           // bulkhead: maximum of requests in flight
	Failures       int           // consecutive failures that open the breaker
	Window         int           // number of recent outcomes over which FailureRatio is computed
	FailureRatio   float64       // ratio of failures among them that opens the breaker
	InitialBackoff time.Duration // from opening to the first trial
	MaxBackoff     time.Duration // maximum backoff between later trials
	NeverOpen      bool          // the breaker never opens: it is only a bulkhead
}

// Default has the values that replace zero fields of Options.
var Default = Options{MaxInFlight: 64, Failures: 5, Window: 20, FailureRatio: 0.6,
	InitialBackoff: 250 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxInFlight, Default.MaxInFlight)
	setDefault(&o.Failures, Default.Failures)
	setDefault(&o.Window, Default.Window)
	setDefault(&o.FailureRatio, Default.FailureRatio)
	setDefault(&o.InitialBackoff, Default.InitialBackoff)
	setDefault(&o.MaxBackoff, Default.MaxBackoff)
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Validate returns an error for the first option that is out of range, after Default replaced zero fields.
func (o Options) Validate() error {
	o = o.withDefaults()
	switch {
	case o.MaxInFlight < 1 || o.Failures < 1 || o.Window < 1:
		return errors.New("breaker: request limit and counts of failures and outcomes must be above 0")
	case !(o.FailureRatio > 0 && o.FailureRatio <= 1):
		return fmt.Errorf("breaker: the failure ratio is %v, want above 0 and at most 1", o.FailureRatio)
	case o.InitialBackoff < 0 || o.MaxBackoff < o.InitialBackoff:
		return errors.New("breaker: the initial backoff must be between 0 and the maximum backoff")
	}
	return nil
}

// recoveredInFlight is the number of requests in flight up to which a returning service is tested before the
// breaker closes: above it, the limits of the caller follow the service's latency.
const recoveredInFlight = 32

// State determines which requests a breaker permits.
type State int

// The states.
const (
	Closed    State = iota // as many requests as the bulkhead allows
	Open                   // only single trials, once the backoff has passed
	Returning              // slow start: a limit that grows by one with each success
)

func (s State) String() string { return [...]string{"closed", "open", "returning"}[s] }

// Outcome is the result of a request.
type Outcome int

// The outcomes of requests.
const (
	Success Outcome = iota // the service answered, whatever the answer
	Failure                // an error, a broken connection, or no answer in time
	Unknown                // says nothing about the service: the request was cancelled or never sent
)

// Permit allows one request. The caller ends it by Breaker.Done.
type Permit struct {
	trial bool
	late  bool
	ended bool
	epoch int // Breaker.epoch when the permit was granted
}

// Breaker is the circuit breaker of one service. It is not safe for concurrent use.
type Breaker struct {
	options             Options
	state               State
	epoch               int // number of state changes; failures of permits from earlier epochs are ignored
	inFlight            int
	consecutiveFailures int
	recent              []bool        //  failures among recent outcomes; a ring buffer once full
	oldest              int           // index in recent of the oldest entry, once recent is full
	recentFailures      int           // true entries in recent
	recoveryLimit       float64       // maximum of requests in flight in state Returning
	backoff             time.Duration // before the next trial
	nextTrial           time.Duration // earliest time of the next trial
	trial               *Permit       // in flight; nil if there is none
	smoothedLatency     time.Duration // of successes
}

// New returns a closed breaker. The options must be valid.
func New(o Options) *Breaker { return &Breaker{options: o.withDefaults()} }

// State returns the current state.
func (b *Breaker) State() State { return b.state }

// SmoothedLatency returns the smoothed latency of successful requests; 0 means that there was none yet.
func (b *Breaker) SmoothedLatency() time.Duration { return b.smoothedLatency }

// InFlight returns the number of requests in flight.
func (b *Breaker) InFlight() int { return b.inFlight }

// Wait reports whether a request made now would be rejected, and the time after which it may be retried:
// until the next trial and its answer, or the usual latency of a request in flight.
func (b *Breaker) Wait(now time.Duration) (after time.Duration, rejected bool) {
	switch {
	case b.state == Open && b.trial != nil:
		return max(b.smoothedLatency, b.backoff), true
	case b.state == Open && now < b.nextTrial:
		return b.nextTrial - now + b.smoothedLatency, true
	case b.inFlight >= b.options.MaxInFlight,
		b.state == Returning && float64(b.inFlight) >= math.Floor(b.recoveryLimit):
		return max(b.smoothedLatency, time.Millisecond), true
	}
	return 0, false
}

// Acquire returns a permit for one request, or nil and the time after which to retry.
func (b *Breaker) Acquire(now time.Duration) (p *Permit, after time.Duration) {
	if after, rejected := b.Wait(now); rejected {
		return nil, after
	}
	p = &Permit{trial: b.state == Open, epoch: b.epoch}
	if p.trial {
		b.trial = p
	}
	b.inFlight++
	return p, 0
}

// Late reports that a permitted request has had no answer for so long that the service may be unresponsive.
// This counts as the permit's one failure, so a later Done with Failure adds none; the request stays in
// flight until Done.
func (b *Breaker) Late(now time.Duration, p *Permit) {
	if p.ended || p.late {
		return
	}
	p.late = true
	b.update(now, p, true)
}

// Done reports the outcome of a permitted request and its latency. Only the first call for a permit counts.
func (b *Breaker) Done(now time.Duration, p *Permit, outcome Outcome, latency time.Duration) {
	if p.ended {
		return
	}
	p.ended = true
	b.inFlight--
	if b.trial == p {
		b.trial = nil
	}
	switch outcome {
	case Success:
		// An exponentially weighted moving average with weight 1/8, which starts at the first success: 0+latency/8.
		if b.smoothedLatency += (latency - b.smoothedLatency) / 8; b.smoothedLatency == 0 ||
			b.smoothedLatency == latency/8 {
			b.smoothedLatency = latency
		}
		b.update(now, p, false)
	case Failure:
		if !p.late {
			b.update(now, p, true)
		}
	case Unknown:
		// A trial without a result says nothing about the service, so the next one may start at once.
	}
}

// update changes the state of the breaker after a success or a failure of one request.
func (b *Breaker) update(now time.Duration, p *Permit, failed bool) {
	switch {
	case b.options.NeverOpen:
		// The breaker is only a bulkhead: outcomes are not recorded.
	case b.state == Open && !failed:
		// A trial succeeded, or a request sent before the breaker opened was answered after all: the service
		// is available again.
		b.setState(Returning)
		b.recoveryLimit, b.consecutiveFailures = 2, 0
		b.clearRecent()
	case b.state == Open && p.trial && p.epoch == b.epoch:
		// The trial failed.
		b.backoff = min(2*b.backoff, b.options.MaxBackoff)
		b.nextTrial = now + b.backoff
		b.trial = nil
	case b.state == Open || p.epoch != b.epoch && failed:
		// A failure of a request permitted before the last state change adds no information.
	case b.state == Returning && failed:
		b.open(now, min(2*b.backoff, b.options.MaxBackoff))
	case b.state == Returning:
		if b.recoveryLimit++; b.recoveryLimit >= float64(min(b.options.MaxInFlight, recoveredInFlight)) {
			b.setState(Closed)
		}
	case failed:
		b.consecutiveFailures++
		b.record(true)
		if b.consecutiveFailures >= b.options.Failures || len(b.recent) == b.options.Window &&
			float64(b.recentFailures) >= b.options.FailureRatio*float64(b.options.Window) {
			b.open(now, b.options.InitialBackoff)
		}
	default:
		b.consecutiveFailures = 0
		b.record(false)
	}
}

// open rejects requests until a first trial after the backoff.
func (b *Breaker) open(now, backoff time.Duration) {
	b.setState(Open)
	b.backoff, b.nextTrial, b.trial, b.consecutiveFailures = backoff, now+backoff, nil, 0
	b.clearRecent()
}

func (b *Breaker) setState(s State) { b.state, b.epoch = s, b.epoch+1 }

// record adds one outcome to the recent ones and replaces the oldest when the window is full.
func (b *Breaker) record(failed bool) {
	if len(b.recent) < b.options.Window {
		b.recent = append(b.recent, failed)
	} else {
		if b.recent[b.oldest] {
			b.recentFailures--
		}
		b.recent[b.oldest] = failed
		b.oldest = (b.oldest + 1) % b.options.Window
	}
	if failed {
		b.recentFailures++
	}
}

func (b *Breaker) clearRecent() { b.recent, b.oldest, b.recentFailures = b.recent[:0], 0, 0 }
