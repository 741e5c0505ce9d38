package core

import (
	"time"

	"dunespoke/choice"
)

// request is a request that the gate knows, or one that was answered and still has an attempt out.
type request struct {
	Request
	id       uint64
	done     bool // it has its final answer, or the client left
	ran      bool // an attempt may have run
	attempts []*attempt
	out      int
}

type attempt struct {
	r       *request
	number  int
	server  uint64
	zone    string
	sent    time.Duration
	running Running
	ended   bool
}

func (c *Core) take(r *request) {
	if r.done { // the client left before its request was looked at
		return
	}
	c.figures.open.Add(1)
	c.lastID++
	r.id = c.lastID
	c.requests[r.id] = r
	c.timers.add(r.Deadline+grace, &r.done, func() { c.overdue(r) })
	c.gate.Request(c.Now(), choice.Request{ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Units: r.Units, Again: r.ClientRetry, Spread: r.Spread, Deadline: r.Deadline})
}

// answer gives the final answer, if none was given.
func (c *Core) answer(r *request, a Answer) {
	if r.done {
		return
	}
	r.done = true
	c.figures.answered(r.Class, a.Kind)
	r.Reply(a)
	c.forget(r)
}

// forget drops a request that needs nothing more.
func (c *Core) forget(r *request) {
	if r.done && r.out == 0 {
		delete(c.requests, r.id)
	}
}

func (c *Core) leave(r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.id != 0 {
		c.figures.open.Add(-1)
		c.gate.Left(c.Now(), r.id)
		c.forget(r)
	}
}

// overdue is the net under the gate: whatever became of its decision, the client gets an answer in time.
func (c *Core) overdue(r *request) {
	if r.done {
		return
	}
	c.log("request overdue: failed by the core")
	c.answer(r, Answer{Kind: Failed})
	c.gate.Left(c.Now(), r.id)
}

// end takes the end of an attempt, from its upstream or from the core itself.
func (c *Core) end(at *attempt, res Result) {
	r := at.r
	if (at.ended || r.done) && res.Code == choice.OK && res.Drop != nil {
		res.Drop()
	}
	if at.ended {
		return
	}
	at.ended = true
	r.out--
	r.ran = r.ran || !res.Code.NeverRan()
	if res.Code != choice.Refused && res.Code != choice.Skipped { // written whole: the server has seen it
		c.figures.relay()
	}
	if c.watch != nil {
		switch res.Code {
		case choice.OK, choice.Error, choice.Refused, choice.Reset, choice.TimedOut:
			c.watch.Ended(at.zone, res.Code != choice.OK, c.Now()-at.sent)
		}
	}
	switch {
	case res.Code == choice.OK:
		c.answer(r, Answer{Kind: Served, Body: res.Body})
	case res.Final && !r.ran:
		c.answer(r, Answer{Kind: Refused})
	case res.Final:
		c.answer(r, Answer{Kind: Failed})
	}
	ended := r.done
	c.forget(r)
	now := c.Now()
	c.gate.Outcome(now, choice.Outcome{Request: r.id, Attempt: at.number, Backend: at.server, Code: res.Code,
		Took: now - at.sent, Ended: ended, Units: res.Units, Load: res.Load})
}

// abort closes an attempt's connection and then reports its end. What was never written whole can't have
// run, whatever the reason for giving it up.
func (c *Core) abort(at *attempt, code choice.Code) {
	if at.ended {
		return
	}
	if !at.running.Abort() {
		code = choice.Refused
	}
	c.end(at, Result{Code: code})
}

// cancel withdraws an attempt whose client has left, unless it is to run to its end.
func (c *Core) cancel(at *attempt) {
	running, tells := at.running.(UnsentAborter)
	switch {
	case !c.finish || !c.wary[at.r.Class] || !tells:
		c.abort(at, choice.Cancelled)
	case !at.ended && running.AbortUnsent():
		c.end(at, Result{Code: choice.Refused})
	}
}

// actions is what the gate sees of the core.
type actions struct{ c *Core }

func (a actions) Send(id, backend uint64, timeout time.Duration) {
	c, now := a.c, a.c.Now()
	r := c.requests[id]
	if r == nil {
		c.log("send for a request that has ended: not sent")
		return
	}
	at := &attempt{r: r, number: len(r.attempts), server: backend, sent: now}
	r.attempts = append(r.attempts, at)
	r.out++
	server, known := c.servers[backend]
	if !known || server.State != choice.Live || r.done || timeout <= 0 {
		c.after = append(c.after, func() { c.end(at, Result{Code: choice.Skipped}) })
		return
	}
	at.zone = server.Zone
	if aim := c.aims[r.Class]; c.watch != nil && aim < timeout {
		c.timers.add(now+aim, &at.ended, func() { c.watch.Hung(at.zone, c.Now()-at.sent) })
	}
	at.running = c.upstream.Start(Attempt{Server: server, Timeout: timeout, Payload: r.Payload,
		NotRepeatable: c.wary[r.Class], End: func(res Result) { c.queue.put(func() { c.end(at, res) }) }})
	c.timers.add(now+timeout, &at.ended, func() { c.abort(at, choice.TimedOut) })
}

func (a actions) Cancel(id uint64, number int) {
	if r := a.c.requests[id]; r != nil && number < len(r.attempts) && r.attempts[number].running != nil {
		a.c.after = append(a.c.after, func() { a.c.cancel(r.attempts[number]) })
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

// Add calls the counter. The core keeps the time: a call that is not answered within the limit ends as timed
// out, and its answer, should it still come, is dropped.
func (a actions) Add(name string, amount float64, keep time.Duration) {
	c, ended := a.c, false
	end := func(code choice.Code, total float64) {
		if !ended {
			ended = true
			c.gate.Counted(c.Now(), name, code, total)
		}
	}
	c.timers.add(c.Now()+c.set.CounterTimeout, &ended, func() { end(choice.TimedOut, 0) })
	c.counter.Add(name, amount, keep, func(code choice.Code, total float64) {
		c.queue.put(func() { end(code, total) })
	})
}

func (a actions) Log(line string) { a.c.log(line) }
