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

// DeskOptions configure a Desk.
type DeskOptions struct {
	Issuer    string // name of the issuer in log lines
	Service   Service
	Questions *core.Core    // sends queries to the issuer's servers; its upstream is an Attempts
	Limit     time.Duration // for one upstream query, over all its attempts
	Silence   time.Duration // time without an answer after which a query counts as late; see silenceTimeout
	Alone     bool          // don't share upstream queries; cached answers are still used
	Breaker   breaker.Options
	Freshness freshness.Options
	Fallback  *Fallback // nil disables local validation
	Log       zerolog.Logger
}

// Desk answers queries about the tokens of one issuer: from its cache, by joining an upstream query in
// flight, or by a new upstream query. It rejects queries while the circuit breaker of the issuer is open. It
// is safe for concurrent use.
type Desk struct {
	DeskOptions

	mu           sync.Mutex
	store        *freshness.Store
	flights      *flights.Group[freshness.Key, *waiter, *issuerCall]
	breaker      *breaker.Breaker
	state        breaker.State // as last logged
	openedAt     time.Duration // when the breaker last left the closed state
	nextClockLog time.Duration // earliest time of the next log line about clocks
	soloCount    uint64        // makes the keys unique if Alone is set
}

// issuerCall is one upstream query to the issuer, shared by all that wait for it.
type issuerCall struct {
	*message
	permit      *breaker.Permit
	submittedAt time.Duration
	ticket      core.Ticket
	timer       *time.Timer
	late        bool // it was reported to the breaker as late
}

// sharedCall is an issuerCall with the waiters that have joined it.
type sharedCall = flights.Flight[freshness.Key, *waiter, *issuerCall]

// outcome is the result of a query at a desk.
type outcome struct {
	token *Token        // nil if the query was rejected or the issuer gave no answer
	after time.Duration // if token is nil, the time after which to retry
}

// NewDesk returns a Desk. It does not validate the options.
func NewDesk(o DeskOptions) *Desk {
	return &Desk{DeskOptions: o, store: freshness.New(o.Freshness), breaker: breaker.New(o.Breaker),
		flights: flights.New[freshness.Key, *waiter, *issuerCall]()}
}

// questionPlan is the plan of upstream queries. They have no quota, since the queries that cause them are
// counted already.
const questionPlan = "questions"

// QuestionPlan returns the plan of upstream queries, which has no quota.
func QuestionPlan() choice.Plan { return choice.Plan{Name: questionPlan, Price: 1} }

// cacheKey returns a hash that identifies a query, so that the token itself is not stored.
func cacheKey(token, hint string) freshness.Key {
	return sha256.Sum256([]byte(hint + "\x00" + token))
}

// answerImmediately answers a query from the cache, or rejects it if the breaker does. It returns nil if the
// query must go through submit.
func (d *Desk) answerImmediately(key freshness.Key, receivedAt time.Duration) *outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Questions.Now()
	if a := d.store.Get(key, receivedAt, now); a != nil {
		return &outcome{token: a.Value.(*Token)}
	}
	if d.breaker.State() == breaker.Closed || d.breaker.State() == breaker.Returning && d.flights.Has(key) {
		return nil
	}
	after, mustWait := d.breaker.Wait(now)
	if !mustWait {
		return nil
	}
	return &outcome{after: after}
}

// submit answers a query from the cache, lets it join an upstream query in flight, or starts one. It returns
// nil if the outcome will be delivered to the waiter later.
func (d *Desk) submit(a *waiter) *outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, key := d.Questions.Now(), a.key
	if cached := d.store.Get(key, a.receivedAt, now); cached != nil {
		return &outcome{token: cached.Value.(*Token)}
	}
	if d.Alone {
		d.soloCount++
		key = cacheKey(a.token, a.hint+"\x00"+strconv.FormatUint(d.soloCount, 10))
	}
	// While the breaker is open, a query in flight is likely to fail, most of all a probe. Only the waiters
	// that it has spend their time on it; later ones are rejected immediately with a time to retry.
	if d.breaker.State() != breaker.Open {
		if s, ok := d.flights.Join(key, a); ok {
			return a.attach(d, s)
		}
	} else if d.flights.Has(key) {
		after, _ := d.breaker.Wait(now)
		return &outcome{after: after}
	}
	permit, after := d.breaker.Acquire(now)
	if permit == nil {
		return &outcome{after: after}
	}
	f := &issuerCall{
		message:     &message{service: &d.Service, token: a.token, hint: a.hint},
		permit:      permit,
		submittedAt: now,
	}
	s := d.flights.Begin(key, a, f)
	f.ticket = d.Questions.Submit(core.Request{Class: ClassName, Plan: questionPlan, Units: 1, Spread: 1,
		Deadline: now + d.Limit, Payload: f.message,
		Reply: func(ans core.Answer) { d.handleAnswer(s, a.key, ans) }})
	f.timer = time.AfterFunc(d.silenceTimeout(), func() { d.markLate(s) })
	return a.attach(d, s)
}

// An upstream query is late after latencyFactor times the smoothed latency, but at least minSilenceFraction
// of Silence and at most Silence. In any case it is not late before minLatencyFactor times the latency.
const (
	latencyFactor      = 8 // some services ran nine times slower for a while; few slowed down abruptly
	minLatencyFactor   = 3
	minSilenceFraction = 0.2
)

// silenceTimeout returns the time without an answer after which an upstream query counts as late. It adapts
// to the latency, so that a slow service is not mistaken for a silent one, and a fast service that falls
// silent is detected sooner. It never exceeds Limit.
func (d *Desk) silenceTimeout() time.Duration {
	usual := d.breaker.SmoothedLatency()
	wait := d.Silence
	if usual > 0 {
		wait = min(wait, max(latencyFactor*usual, time.Duration(minSilenceFraction*float64(d.Silence))))
	}
	return min(d.Limit, max(wait, minLatencyFactor*usual))
}

// handleAnswer processes the final answer to an upstream query: it updates cache and breaker, and delivers
// the outcome to all waiters.
func (d *Desk) handleAnswer(s *sharedCall, key freshness.Key, ans core.Answer) {
	d.mu.Lock()
	f, now := s.Value, d.Questions.Now()
	f.timer.Stop()
	out, result := outcome{after: ans.RetryAfter}, breaker.Failure
	switch t, ok := ans.Body.(*Token); {
	case ok && ans.Kind == core.Served:
		clockOffset := freshness.Ahead(t.Date, f.submittedAt, now)
		t.Expires = freshness.Expiry(t.Expires, clockOffset)
		d.checkClockOffset(now, clockOffset)
		out, result = outcome{token: t}, breaker.Success
		d.store.Put(key, &freshness.Answer{Active: t.Active, Expires: t.Expires, Asked: f.submittedAt, Came: now,
			Size: len(t.Text), Value: t})
	case f.completed.Load() == 0 && !f.late: // refused locally: says nothing about the issuer
		result = breaker.Unknown
	}
	d.breaker.Done(now, f.permit, result, now-f.submittedAt)
	waiters := d.flights.End(s)
	rejected := d.followBreaker(now)
	d.mu.Unlock()
	for _, a := range waiters {
		a.deliver(out)
	}
	d.rejectWaiters(rejected)
}

// markLate reports an upstream query to the breaker that has gone unanswered for silenceTimeout.
func (d *Desk) markLate(s *sharedCall) {
	d.mu.Lock()
	now := d.Questions.Now()
	if s.Ended() {
		d.mu.Unlock()
		return
	}
	if s.Value.started.Load() == 0 { // still queued locally: says nothing about the issuer
		s.Value.timer.Reset(d.silenceTimeout())
		d.mu.Unlock()
		return
	}
	s.Value.late = true
	d.breaker.Late(now, s.Value.permit)
	rejected := d.followBreaker(now)
	d.mu.Unlock()
	d.rejectWaiters(rejected)
}

// rejections are waiters whose upstream query was given up, and the time after which they may retry.
type rejections struct {
	waiters []*waiter
	after   time.Duration
}

// followBreaker must be called after each report to the breaker. It logs state changes and, if the breaker is
// open, gives up the upstream queries that are late. d.mu must be held.
func (d *Desk) followBreaker(now time.Duration) (rejected rejections) {
	state := d.breaker.State()
	if state != d.state {
		line := d.Log.Warn().Str("issuer", d.Issuer).Int("out", d.breaker.InFlight())
		switch state {
		case breaker.Open:
			if d.state == breaker.Closed {
				d.openedAt = now
			}
			line.Str("code", "issuer-left-alone").
				Msg("issuer unhealthy: queries are rejected except for single probes")
		case breaker.Returning:
			line.Str("code", "issuer-returns").Dur("after", now-d.openedAt).
				Msg("issuer answers again: sending queries")
		case breaker.Closed:
			line.Str("code", "issuer-back").Dur("after", now-d.openedAt).Msg("issuer fully recovered")
		}
		d.state = state
	}
	if state != breaker.Open {
		return rejected
	}
	for _, s := range d.flights.All() {
		if f := s.Value; f.late {
			rejected.waiters = append(rejected.waiters, d.flights.End(s)...)
			d.breaker.Done(now, f.permit, breaker.Failure, now-f.submittedAt)
			f.ticket.Leave()
		}
	}
	rejected.after, _ = d.breaker.Wait(now)
	return rejected
}

// rejectWaiters delivers the rejections. d.mu must not be held.
func (d *Desk) rejectWaiters(r rejections) {
	for _, a := range r.waiters {
		a.deliver(outcome{after: r.after})
	}
}

// leave removes a waiter from an upstream query. A query without waiters is withdrawn. If it had been in
// flight for half of silenceTimeout, it counts as a failure of the issuer, which may open the breaker.
func (d *Desk) leave(s *sharedCall, a *waiter) {
	d.rejectWaiters(d.withdraw(s, a))
}

// withdraw does the part of leave that needs d.mu, and returns the waiters to reject.
func (d *Desk) withdraw(s *sharedCall, a *waiter) (rejected rejections) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.flights.Leave(s, a) {
		return rejected
	}
	f, now := s.Value, d.Questions.Now()
	f.timer.Stop()
	f.ticket.Leave()
	result := breaker.Unknown
	if now-f.submittedAt >= d.silenceTimeout()/2 {
		result = breaker.Failure
	}
	d.breaker.Done(now, f.permit, result, now-f.submittedAt)
	return d.followBreaker(now)
}

// clockLogInterval is the minimum time between two log lines about clocks.
const clockLogInterval = time.Minute

// checkClockOffset logs an issuer's clock that differs by 2 s or more, as token expiry is evaluated by that
// clock. d.mu must be held.
func (d *Desk) checkClockOffset(now, clockOffset time.Duration) {
	if clockOffset > -2*time.Second && clockOffset < 2*time.Second || now < d.nextClockLog {
		return
	}
	d.nextClockLog = now + clockLogInterval
	d.Log.Warn().Str("code", "clocks-differ").Str("issuer", d.Issuer).Dur("ahead", clockOffset).
		Msg("the issuer's clock differs from the local clock: exp is evaluated by the issuer's clock")
}
