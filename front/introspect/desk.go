package introspect

import (
	"crypto/sha256"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/breaker"
	"dunespoke/internal/flights"
	"dunespoke/internal/freshness"
)

// DeskOptions are what NewDesk needs.
type DeskOptions struct {
	Issuer    string // its name, for log lines
	Service   Service
	Questions *core.Core    // puts questions to the issuer's servers; its upstream is Attempts
	Limit     time.Duration // for one question, over all its attempts
	Silence   time.Duration // without an answer to a question that speak of a silent service
	Alone     bool          // each asker has a question of its own, as long as no answer is kept
	Breaker   breaker.Options
	Freshness freshness.Options
	Fallback  *Fallback // nil: none
	Log       zerolog.Logger
}

// Desk is where those who ask about one issuer's tokens get their answers: one that may be used again, or
// that of a question under way, or of a new one. It turns questions away while the issuer is left alone.
type Desk struct {
	DeskOptions

	mu      sync.Mutex
	store   *freshness.Store
	flights *flights.Group[freshness.Key, *asker, *flight]
	breaker *breaker.Breaker
	state   breaker.State // as last logged
	opened  time.Duration // when it was last left alone
	clockAt time.Duration // when a difference of clocks was last logged
	lone    uint64        // makes keys differ, with Alone
}

// flight is one question put to the issuer.
type flight struct {
	*message
	permit *breaker.Permit
	asked  time.Duration
	ticket core.Ticket
	timer  *time.Timer
	late   bool
}

// seat is an asker's place in a flight.
type seat = flights.Flight[freshness.Key, *asker, *flight]

// outcome is what a desk has for an asker.
type outcome struct {
	token *Token        // nil: turned away, or the issuer gave no answer
	after time.Duration // without a token: when to come back
}

// NewDesk returns a desk. Its options must be valid.
func NewDesk(o DeskOptions) *Desk {
	return &Desk{DeskOptions: o, store: freshness.New(o.Freshness), breaker: breaker.New(o.Breaker),
		flights: flights.New[freshness.Key, *asker, *flight]()}
}

// questionPlan is the plan of questions as they go to an issuer: their askers have paid for them.
const questionPlan = "questions"

// QuestionPlan returns that plan: it has no quota.
func QuestionPlan() choice.Plan { return choice.Plan{Name: questionPlan, Price: 1} }

// keyOf names a question without keeping its token.
func keyOf(token, hint string) freshness.Key { return sha256.Sum256([]byte(hint + "\x00" + token)) }

// atOnce answers, or turns away, a question that needs no more than a look. It returns nil for all others.
func (d *Desk) atOnce(key freshness.Key, taken time.Duration) *outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Questions.Now()
	if a := d.store.Get(key, taken, now); a != nil {
		return &outcome{token: a.Value.(*Token)}
	}
	if d.breaker.State() == breaker.Closed || d.breaker.State() == breaker.Returning && d.flights.Has(key) {
		return nil
	}
	after, turned := d.breaker.Wait(now)
	if !turned {
		return nil
	}
	return &outcome{after: after}
}

// put finds an answer for an asker, a seat in a flight, or begins one. It returns nil if the answer comes
// later.
func (d *Desk) put(a *asker) *outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, key := d.Questions.Now(), a.key
	if kept := d.store.Get(key, a.taken, now); kept != nil {
		return &outcome{token: kept.Value.(*Token)}
	}
	if d.Alone {
		d.lone++
		key = keyOf(a.token, a.hint+"\x00"+strconv.FormatUint(d.lone, 10))
	}
	// What is under way while the issuer is left alone is in doubt, a trial most of all: one asker risks its
	// time on it, and others are told at once when to come back.
	if d.breaker.State() != breaker.Open {
		if s, ok := d.flights.Join(key, a); ok {
			return a.sit(d, s)
		}
	} else if d.flights.Has(key) {
		after, _ := d.breaker.Wait(now)
		return &outcome{after: after}
	}
	permit, after := d.breaker.Acquire(now)
	if permit == nil {
		return &outcome{after: after}
	}
	f := &flight{
		message: &message{service: &d.Service, token: a.token, hint: a.hint},
		permit:  permit,
		asked:   now,
	}
	s := d.flights.Begin(key, a, f)
	f.ticket = d.Questions.Submit(core.Request{Class: ClassName, Plan: questionPlan, Units: 1, Spread: 1,
		Deadline: now + d.Limit, Payload: f.message, Reply: func(ans core.Answer) { d.answered(s, a.key, ans) }})
	f.timer = time.AfterFunc(d.patience(), func() { d.overdue(s) })
	return a.sit(d, s)
}

// A question is late after usualTimes the usual time of an answer, but not before a part of Silence nor,
// unless answers usually take so long, after the whole of it.
const (
	usualTimes  = 8 // services were seen to run nine times slower for a while, few at a stroke
	slowTimes   = 3
	silencePart = 0.2
)

// patience is how long a question may go unanswered before it speaks of silence: a slow service is not a
// silent one, and one that usually answers at once is recognised the sooner.
func (d *Desk) patience() time.Duration {
	usual := d.breaker.SmoothedLatency()
	wait := d.Silence
	if usual > 0 {
		wait = min(wait, max(usualTimes*usual, time.Duration(silencePart*float64(d.Silence))))
	}
	return min(d.Limit, max(wait, slowTimes*usual))
}

// answered takes the final answer to a question, and gives it to all who wait for it.
func (d *Desk) answered(s *seat, key freshness.Key, ans core.Answer) {
	d.mu.Lock()
	f, now := s.Value, d.Questions.Now()
	f.timer.Stop()
	out, end := outcome{after: ans.RetryAfter}, breaker.Failure
	switch t, ok := ans.Body.(*Token); {
	case ok && ans.Kind == core.Served:
		ahead := freshness.Ahead(t.Date, f.asked, now)
		t.Expires = freshness.Expiry(t.Expires, ahead)
		d.compareClocks(now, ahead)
		out, end = outcome{token: t}, breaker.Success
		d.store.Put(key, &freshness.Answer{Active: t.Active, Expires: t.Expires, Asked: f.asked, Came: now,
			Size: len(t.Text), Value: t})
	case f.sent.Load() == 0 && !f.late: // refused by the gate's own reasons: nothing was learned of the issuer
		end = breaker.Unknown
	}
	d.breaker.Done(now, f.permit, end, now-f.asked)
	askers := d.flights.End(s)
	given := d.settle(now)
	d.mu.Unlock()
	for _, a := range askers {
		a.told(out)
	}
	d.refuse(given)
}

// overdue notes that a question has been out for so long that the issuer may be silent.
func (d *Desk) overdue(s *seat) {
	d.mu.Lock()
	now := d.Questions.Now()
	if s.Ended() {
		d.mu.Unlock()
		return
	}
	if s.Value.begun.Load() == 0 { // it waits here for room, and says nothing of the issuer
		s.Value.timer.Reset(d.patience())
		d.mu.Unlock()
		return
	}
	s.Value.late = true
	d.breaker.Late(now, s.Value.permit)
	given := d.settle(now)
	d.mu.Unlock()
	d.refuse(given)
}

// refusals are askers whose question is given up.
type refusals struct {
	askers []*asker
	after  time.Duration
}

// settle follows the breaker after whatever it learned: it logs its turns, and while the issuer is left alone
// it gives up the questions that are late. The lock is held.
func (d *Desk) settle(now time.Duration) (given refusals) {
	state := d.breaker.State()
	if state != d.state {
		line := d.Log.Warn().Str("issuer", d.Issuer).Int("out", d.breaker.InFlight())
		switch state {
		case breaker.Open:
			if d.state == breaker.Closed {
				d.opened = now
			}
			line.Str("code", "issuer-left-alone").Msg("no good answers: questions are refused, and single ones tried")
		case breaker.Returning:
			line.Str("code", "issuer-returns").Dur("after", now-d.opened).Msg("it answers: questions go out again")
		case breaker.Closed:
			line.Str("code", "issuer-back").Dur("after", now-d.opened).Msg("taken back whole")
		}
		d.state = state
	}
	if state != breaker.Open {
		return given
	}
	for _, s := range d.flights.All() {
		if f := s.Value; f.late {
			given.askers = append(given.askers, d.flights.End(s)...)
			d.breaker.Done(now, f.permit, breaker.Failure, now-f.asked)
			f.ticket.Leave()
		}
	}
	given.after, _ = d.breaker.Wait(now)
	return given
}

// refuse tells askers that their question was given up. The lock is not held.
func (d *Desk) refuse(r refusals) {
	for _, a := range r.askers {
		a.told(outcome{after: r.after})
	}
}

// leave takes an asker off a flight. A question for which nobody waits any more is withdrawn; had it been out
// for long, that counts against the issuer, and may be what makes it be left alone.
func (d *Desk) leave(s *seat, a *asker) {
	d.refuse(d.withdraw(s, a))
}

func (d *Desk) withdraw(s *seat, a *asker) (given refusals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.flights.Leave(s, a) {
		return given
	}
	f, now := s.Value, d.Questions.Now()
	f.timer.Stop()
	f.ticket.Leave()
	end := breaker.Unknown
	if now-f.asked >= d.patience()/2 {
		end = breaker.Failure
	}
	d.breaker.Done(now, f.permit, end, now-f.asked)
	return d.settle(now)
}

// clocksEvery is the least time between two log lines about clocks.
const clocksEvery = time.Minute

// compareClocks tells on-call staff of clocks that differ: ends of tokens are read by the issuer's.
func (d *Desk) compareClocks(now, ahead time.Duration) {
	if ahead > -2*time.Second && ahead < 2*time.Second || now < d.clockAt {
		return
	}
	d.clockAt = now + clocksEvery
	d.Log.Warn().Str("code", "clocks-differ").Str("issuer", d.Issuer).Dur("ahead", ahead).
		Msg("the issuer's clock is not ours: exp is read by its own")
}
