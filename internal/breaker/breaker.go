// Package breaker decides when a service that fails or falls silent is left alone, how it is tried again, and
// how fast it gets its work back. It knows neither clock nor wire: times are readings of the caller's clock,
// and the caller tells what became of each question.
//
// A breaker is closed while all is well: as many questions may be out as the bulkhead allows. It opens when
// so many questions in a row had no good answer, or such a share of the latest ones. Silence is recognised
// without waiting for time-outs: a question that is late counts against the service once, and for it again
// should its answer still come. While open, all are refused but single trials, at rests that double up to a
// most. A good trial makes it return: two may be out, and each good answer allows one more, as in TCP's slow
// start, so that a service that comes back cold is not run over. One bad answer opens it again.
package breaker

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Options bound a breaker. Zero fields read as Default's.
type Options struct {
	MaxInFlight    int           // bulkhead: questions out at once
	Failures       int           // in a row that open it
	Window         int           // latest questions over which Share is taken
	FailureRatio   float64       // of bad ones among them that opens it
	InitialBackoff time.Duration // from opening to the first trial
	MaxBackoff     time.Duration // between later trials, at most
	NeverOpen      bool          // it never opens: the bulkhead alone counts
}

// Default is what zero fields of Options stand for.
var Default = Options{MaxInFlight: 64, Failures: 5, Window: 20, FailureRatio: 0.6,
	InitialBackoff: 250 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}

func (o Options) filled() Options {
	fill(&o.MaxInFlight, Default.MaxInFlight)
	fill(&o.Failures, Default.Failures)
	fill(&o.Window, Default.Window)
	fill(&o.FailureRatio, Default.FailureRatio)
	fill(&o.InitialBackoff, Default.InitialBackoff)
	fill(&o.MaxBackoff, Default.MaxBackoff)
	return o
}

func fill[T int | float64 | time.Duration](v *T, standard T) {
	if *v == 0 {
		*v = standard
	}
}

// Validate names the first option that makes no sense.
func (o Options) Validate() error {
	o = o.filled()
	switch {
	case o.MaxInFlight < 1 || o.Failures < 1 || o.Window < 1:
		return errors.New("breaker: counts must be above 0")
	case !(o.FailureRatio > 0 && o.FailureRatio <= 1):
		return fmt.Errorf("breaker: a share of %v, want above 0 and up to 1", o.FailureRatio)
	case o.InitialBackoff < 0 || o.MaxBackoff < o.InitialBackoff:
		return errors.New("breaker: the first rest must not be over the most")
	}
	return nil
}

// enough is the number of questions out at which a returning service has shown itself: beyond it, the limits
// of whoever puts the questions follow how fast it answers.
const enough = 32

// State is what a breaker lets through.
type State int

// The states.
const (
	Closed    State = iota // all that the bulkhead allows
	Open                   // nothing but single trials, once its rest is over
	Returning              // a part that grows with each good answer
)

func (s State) String() string { return [...]string{"closed", "open", "returning"}[s] }

// Outcome is what became of a question.
type Outcome int

// The ends of questions.
const (
	Success Outcome = iota // the service answered, whatever it said
	Failure                // an error, a broken connection, or no answer in time
	Unknown                // nothing is known: withdrawn, or never sent
)

// Permit stands for one question that may be asked.
type Permit struct {
	trial bool
	late  bool
	ended bool
	turn  int // of the breaker's state when it was given
}

// Breaker watches one service. It is not safe for concurrent use.
type Breaker struct {
	set     Options
	state   State
	turn    int // counts changes of state, so that news of an earlier one moves nothing
	out     int
	row     int    // bad ones in a row
	latest  []bool // whether bad; a ring once it is full
	at      int
	bad     int
	allowed float64 // questions that may be out while returning
	rest    time.Duration
	next    time.Duration // when the next trial may go
	trial   *Permit
	usual   time.Duration // smoothed time of good answers
}

// New returns a closed breaker. The options must be valid.
func New(o Options) *Breaker { return &Breaker{set: o.filled()} }

// State tells the present state.
func (b *Breaker) State() State { return b.state }

// SmoothedLatency tells the smoothed time of good answers; 0: there was none yet.
func (b *Breaker) SmoothedLatency() time.Duration { return b.usual }

// InFlight tells how many questions are out.
func (b *Breaker) InFlight() int { return b.out }

// Wait reports whether a question asked now would be turned away, and the time after which it may be asked
// again: to the next trial and its answer, or until one of those out has usually ended.
func (b *Breaker) Wait(now time.Duration) (after time.Duration, turned bool) {
	switch {
	case b.state == Open && b.trial != nil:
		return max(b.usual, b.rest), true
	case b.state == Open && now < b.next:
		return b.next - now + b.usual, true
	case b.out >= b.set.MaxInFlight, b.state == Returning && float64(b.out) >= math.Floor(b.allowed):
		return max(b.usual, time.Millisecond), true
	}
	return 0, false
}

// Acquire returns a permit for one question, or the time after which to ask again.
func (b *Breaker) Acquire(now time.Duration) (p *Permit, after time.Duration) {
	if after, turned := b.Wait(now); turned {
		return nil, after
	}
	p = &Permit{trial: b.state == Open, turn: b.turn}
	if p.trial {
		b.trial = p
	}
	b.out++
	return p, 0
}

// Late tells that a permitted question has had no answer for so long that the service may be silent. It
// counts as one bad end; the question stays out.
func (b *Breaker) Late(now time.Duration, p *Permit) {
	if p.ended || p.late {
		return
	}
	p.late = true
	b.learn(now, p, true)
}

// Done tells the end of a permitted question, and how long that took. Only the first call counts.
func (b *Breaker) Done(now time.Duration, p *Permit, end Outcome, took time.Duration) {
	if p.ended {
		return
	}
	p.ended = true
	b.out--
	if b.trial == p {
		b.trial = nil
	}
	switch end {
	case Success:
		if b.usual += (took - b.usual) / 8; b.usual == 0 || b.usual == took/8 {
			b.usual = took
		}
		b.learn(now, p, false)
	case Failure:
		if !p.late {
			b.learn(now, p, true)
		}
	case Unknown:
		// A trial that came to nothing has told nothing. The next may go at once.
	}
}

// learn takes what one question says of the service.
func (b *Breaker) learn(now time.Duration, p *Permit, bad bool) {
	switch {
	case b.set.NeverOpen:
	case b.state == Open && !bad:
		// Of a trial, or of a question asked before that is answered after all: it is there again.
		b.enter(Returning)
		b.allowed, b.row = 2, 0
		b.forget()
	case b.state == Open && p.trial && p.turn == b.turn:
		b.rest = min(2*b.rest, b.set.MaxBackoff)
		b.next = now + b.rest
		b.trial = nil
	case b.state == Open || p.turn != b.turn && bad:
		// What was asked before it opened says nothing new.
	case b.state == Returning && bad:
		b.open(now, min(2*b.rest, b.set.MaxBackoff))
	case b.state == Returning:
		if b.allowed++; b.allowed >= float64(min(b.set.MaxInFlight, enough)) {
			b.enter(Closed)
		}
	case bad:
		b.row++
		b.note(true)
		if b.row >= b.set.Failures || len(b.latest) == b.set.Window &&
			float64(b.bad) >= b.set.FailureRatio*float64(b.set.Window) {
			b.open(now, b.set.InitialBackoff)
		}
	default:
		b.row = 0
		b.note(false)
	}
}

func (b *Breaker) open(now, rest time.Duration) {
	b.enter(Open)
	b.rest, b.next, b.trial, b.row = rest, now+rest, nil, 0
	b.forget()
}

func (b *Breaker) enter(s State) { b.state, b.turn = s, b.turn+1 }

// note keeps one end among the latest.
func (b *Breaker) note(bad bool) {
	if len(b.latest) < b.set.Window {
		b.latest = append(b.latest, bad)
	} else {
		if b.latest[b.at] {
			b.bad--
		}
		b.latest[b.at] = bad
		b.at = (b.at + 1) % b.set.Window
	}
	if bad {
		b.bad++
	}
}

func (b *Breaker) forget() { b.latest, b.at, b.bad = b.latest[:0], 0, 0 }
