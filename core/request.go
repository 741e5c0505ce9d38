package core

import (
	"time"

	"dunespoke/choice"
)

// request is a request that the gate has not finished, or that has its final answer while an attempt is still
// in flight.
type request struct {
	Request
	id         uint64
	done       bool // the final answer was given, or the client left
	mayHaveRun bool // an attempt may have run
	attempts   []*attempt
	inFlight   int // attempts that have not ended
}

type attempt struct {
	r       *request
	number  int    // index in r.attempts
	server  uint64 // id in Core.servers
	zone    string
	sent    time.Duration // reading of Core.Now
	running Running       // nil if the attempt was not started
	ended   bool
}

// accept registers a submitted request and passes it to the gate.
func (c *Core) accept(r *request) {
	if r.done { // the client left before this event was handled
		return
	}
	c.stats.open.Add(1)
	c.lastRequestID++
	r.id = c.lastRequestID
	c.requests[r.id] = r
	c.timers.add(r.Deadline+overdueGrace, &r.done, func() { c.failOverdue(r) })
	c.gate.Request(c.Now(), choice.Request{ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Units: r.Units, Again: r.ClientRetry, Spread: r.Spread, Deadline: r.Deadline})
}

// answer gives the final answer, unless the request is done already.
func (c *Core) answer(r *request, a Answer) {
	if r.done {
		return
	}
	r.done = true
	c.stats.countAnswer(r.Class, a.Kind)
	r.Reply(a)
	c.removeIfFinished(r)
}

// removeIfFinished removes a request that is done and has no attempt in flight.
func (c *Core) removeIfFinished(r *request) {
	if r.done && r.inFlight == 0 {
		delete(c.requests, r.id)
	}
}

// clientLeft marks a request as done without an answer. The gate decides whether to cancel its attempt.
func (c *Core) clientLeft(r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.id != 0 { // zero: accept has not seen the request yet, and will ignore it
		c.stats.open.Add(-1)
		c.gate.Left(c.Now(), r.id)
		c.removeIfFinished(r)
	}
}

// failOverdue fails a request that the gate has not answered within overdueGrace after its deadline, so that
// every client gets an answer in time.
func (c *Core) failOverdue(r *request) {
	if r.done {
		return
	}
	c.log("request not answered by its deadline: failed by the core")
	c.answer(r, Answer{Kind: Failed})
	c.gate.Left(c.Now(), r.id)
}

// endAttempt handles the end of an attempt, reported by its upstream or by the core itself. Only the first
// call for an attempt counts; the body of a response that is not needed is dropped.
func (c *Core) endAttempt(at *attempt, res Result) {
	r := at.r
	if (at.ended || r.done) && res.Code == choice.OK && res.Drop != nil {
		res.Drop()
	}
	if at.ended {
		return
	}
	at.ended = true
	r.inFlight--
	r.mayHaveRun = r.mayHaveRun || !res.Code.NeverRan()
	if res.Code != choice.Refused && res.Code != choice.Skipped { // the request was completely written
		c.stats.countRelayed()
	}
	if c.watcher != nil {
		switch res.Code {
		case choice.OK, choice.Error, choice.Refused, choice.Reset, choice.TimedOut:
			c.watcher.Ended(at.zone, res.Code != choice.OK, c.Now()-at.sent)
		}
	}
	switch {
	case res.Code == choice.OK:
		c.answer(r, Answer{Kind: Served, Body: res.Body})
	case res.Final && !r.mayHaveRun:
		c.answer(r, Answer{Kind: Refused})
	case res.Final:
		c.answer(r, Answer{Kind: Failed})
	}
	done := r.done
	c.removeIfFinished(r)
	now := c.Now()
	c.gate.Outcome(now, choice.Outcome{Request: r.id, Attempt: at.number, Backend: at.server, Code: res.Code,
		Took: now - at.sent, Ended: done, Units: res.Units, Load: res.Load})
}

// abortAttempt closes an attempt's connection and then reports its end with the given code, or as refused if
// the request was not completely written: it can't have run then, whatever the reason for the abort.
func (c *Core) abortAttempt(at *attempt, code choice.Code) {
	if at.ended {
		return
	}
	if !at.running.Abort() {
		code = choice.Refused
	}
	c.endAttempt(at, Result{Code: code})
}

// cancelAttempt aborts an attempt whose client has left. With Config.FinishSent, an attempt of a request that
// is not safe to repeat is only aborted if nothing of it was sent; otherwise it continues to its end.
func (c *Core) cancelAttempt(at *attempt) {
	running, canAbortUnsent := at.running.(UnsentAborter)
	switch {
	case !c.finishSent || !c.notRepeatable[at.r.Class] || !canAbortUnsent:
		c.abortAttempt(at, choice.Cancelled)
	case !at.ended && running.AbortUnsent():
		c.endAttempt(at, Result{Code: choice.Refused})
	}
}

// actions implements choice.Actions. The gate calls it from within its event methods and must not be called
// back from there; work that would do so is appended to Core.deferred.
type actions struct{ c *Core }

func (a actions) Send(id, backend uint64, timeout time.Duration) {
	c, now := a.c, a.c.Now()
	r := c.requests[id]
	if r == nil {
		c.log("attempt not sent: its request has already ended")
		return
	}
	at := &attempt{r: r, number: len(r.attempts), server: backend, sent: now}
	r.attempts = append(r.attempts, at)
	r.inFlight++
	server, known := c.servers[backend]
	if !known || server.State != choice.Live || r.done || timeout <= 0 {
		c.deferred = append(c.deferred, func() { c.endAttempt(at, Result{Code: choice.Skipped}) })
		return
	}
	at.zone = server.Zone
	if target := c.targetLatencies[r.Class]; c.watcher != nil && target < timeout {
		c.timers.add(now+target, &at.ended, func() { c.watcher.Hung(at.zone, c.Now()-at.sent) })
	}
	at.running = c.upstream.Start(Attempt{Server: server, Timeout: timeout, Payload: r.Payload,
		NotRepeatable: c.notRepeatable[r.Class],
		End:           func(res Result) { c.queue.put(func() { c.endAttempt(at, res) }) }})
	c.timers.add(now+timeout, &at.ended, func() { c.abortAttempt(at, choice.TimedOut) })
}

func (a actions) Cancel(id uint64, number int) {
	if r := a.c.requests[id]; r != nil && number < len(r.attempts) && r.attempts[number].running != nil {
		a.c.deferred = append(a.c.deferred, func() { a.c.cancelAttempt(r.attempts[number]) })
	}
}

func (a actions) Refuse(id uint64, retryAfter time.Duration) {
	if r := a.c.requests[id]; r != nil {
		a.c.answer(r, Answer{Kind: Refused, RetryAfter: retryAfter})
	}
}

func (a actions) Fail(id uint64) {
	if r := a.c.requests[id]; r != nil {
		a.c.answer(r, Answer{Kind: Failed})
	}
}

func (a actions) Wake(delay time.Duration) {
	c := a.c
	c.timers.add(c.Now()+delay, nil, func() { c.gate.Wake(c.Now()) })
}

// Add calls the counter. A call that is not answered within Settings.CounterTimeout is reported to the gate
// as timed out, and a later answer is ignored.
func (a actions) Add(name string, amount float64, keep time.Duration) {
	c, ended := a.c, false
	end := func(code choice.Code, total float64) {
		if !ended {
			ended = true
			c.gate.Counted(c.Now(), name, code, total)
		}
	}
	c.timers.add(c.Now()+c.settings.CounterTimeout, &ended, func() { end(choice.TimedOut, 0) })
	c.counter.Add(name, amount, keep, func(code choice.Code, total float64) {
		c.queue.put(func() { end(code, total) })
	})
}

func (a actions) Log(line string) { a.c.log(line) }
