// Package choice makes the decisions of a gateway that holds customers to their quotas before a shared fleet
// of backends. Its interface (settings, events and actions) is in api.go, its state in state.go; what is
// decided stands by concern: events, overload and attempts here, quotas in quota.go, servers in servers.go.
package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned constants, each with its reason. Times that depend on a site come from its settings.
const (
	period      = 200 * time.Millisecond // of the three steps and of housekeeping: under any class's patience
	stallFrom   = 2                      // periods without an event after which this gateway stood still
	ahead       = 3.0                    // seconds of demand leased ahead: traffic shifts in seconds
	early       = 0.1                    // seconds of demand left when a lease is renewed: many calls long
	smooth      = 0.2                    // weight of a period's demand: customers send few requests a period
	aheadPart   = 0.5                    // part of an even share of the store to lease ahead: not to strand it
	openEpoch   = 10 * time.Second       // life of a count of attempts out: lost slots return after it
	downAfter   = 3                      // calls without an answer in a row that make the counter count as down
	slowPart    = 0.8                    // part of a call's time-out over which an answer tells of strain
	easeUp      = 1.05                   // times which each quick answer raises the part of calls made
	easeDown    = 0.75                   // and each slow or missing one: one in seven holds the balance
	easeLeast   = 0.1                    // its least: the counter's recovery must be seen
	grantW      = 0.2                    // weight of one answer in the share of granted asks
	newcomer    = 0.8                    // part of that share of the plan's to count on for an unseen customer
	grantAmple  = 2.0                    // times that share, squared, are asked for: the refused ask less
	eager       = 3.0                    // steepness of a chance while the fleet idles, where it earns
	slowW       = 0.02                   // weight in what must not follow chance: fifty answers' memory
	kindW       = 0.05                   // weight in the share of a kind of requests refused: seconds' worth
	idleLeast   = 10 * time.Second       // memory of a customer's visits; idle so long, and two windows, it goes
	logEvery    = 10 * time.Second       // least time between two log lines of a kind
	sampleW     = 0.1                    // weight of one sample: work varies much between requests
	healTime    = 5 * time.Second        // an untried backend's bad marks fade over this
	errorPower  = 3.0                    // of the share of good answers in a cost: errors outweigh latency
	okLeast     = 0.1                    // least such share: a backend that failed all is tried again
	oldFactor   = 3.0                    // an attempt out for this many usual times counts against its backend
	lateFactor  = 2.0                    // usual times after which a time-out counts against a backend
	hungFactor  = 7.0                    // usual times after which an attempt no longer counts as out
	hopeless    = 0.5                    // usual times left to a client under which trying is mostly in vain
	warmMemory  = 30 * time.Second       // how long the most that a warm backend bore is remembered
	coldSave    = 1.5                    // fall times for which a cold backend's budget is saved up
	warmPrior   = 10.0                   // periods of nothing that such a memory begins with
	coldSafe    = 1.6                    // of what warm ones lately bore: under half of what they can
	coldEarly   = 0.5                    // and less while it can do little: chance weighs more in small numbers
	coldFirst   = 0.1                    // part of its cost for a cold backend that has budget
	coldTrickle = 1.0                    // attempts a second to a cold backend, by all gateways, at least
	idleRate    = 0.02                   // part of its quota's rate under which a customer is not active
	backoffMin  = 100 * time.Millisecond // first rest of a backend that turns attempts away
	backoffMax  = 2 * time.Second        // and its longest: one try in that time is cheap
	remote      = 25.0                   // attempts out that one unit of cross-zone cost is weighed as
	cutback     = 0.7                    // to which part of its limit; a step down outweighs many up
	shedMost    = 0.9                    // most of the requests of mean value to refuse: recovery must be seen
)

// Request takes a client's request: from here on the gate owes it one final answer.
func (g *Gate) Request(now time.Duration, in Request) {
	g.tick(now)
	if g.requests[in.ID] != nil {
		return
	}
	r := &request{Request: in, class: g.classes[in.Class], plan: g.plans[in.Plan], since: now}
	g.requests[in.ID] = r
	r.Units = min(max(in.Units, 0), 1e9)
	if r.class == nil || r.plan == nil {
		g.refuse(r, g.set.MaxRetryAfter)
		return
	}
	a := g.account(r)
	r.account = a
	a.asked += r.Units
	g.again = min(g.again+g.set.RetryBudgetRatio, g.set.RetryBudgetMax)
	g.admit(a, r)
	a.often++
	if r.plan.Rate > 0 && !a.unitCall && !a.blind && !a.fresh && a.lease < math.Floor(a.rate*early) {
		g.renew(a, 0) // the next lease, before the present one is spent
	}
}

// tick takes the time of an event and averages what is out. Guards backends against blame for a gateway that
// stood still: what it then finds came late by its own fault, so nothing is learned from how long that took.
func (g *Gate) tick(now time.Duration) {
	g.busy += (float64(g.outs) - g.busy) * (1 - math.Exp(-float64(now-g.now)/float64(period)))
	if now > g.now+stallFrom*period {
		g.stalled = now
	}
	g.now = now
}

// Outcome takes the end of one attempt.
func (g *Gate) Outcome(now time.Duration, o Outcome) {
	g.tick(now)
	r := g.requests[o.Request]
	if r == nil || r.out == nil || r.out.number != o.Attempt {
		return
	}
	at := r.out
	r.out = nil
	g.observe(at, o)
	if !o.Code.NeverRan() && r.home == nil {
		r.home, r.mayRun = at.backend, at.sent
	}
	if o.Code == OK && o.Units > 0 && r.inside { // settle true against guessed units
		r.account.lease -= min(o.Units, 1e9) - r.Units
	}
	if o.Ended || o.Code == OK || r.done {
		g.finish(r)
	} else {
		g.next(r, o.Code)
	}
	g.dispatch()
}

// Left takes the news that a client has gone.
func (g *Gate) Left(now time.Duration, id uint64) {
	g.tick(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.out == nil {
		g.finish(r)
	} else if g.set.Cancel {
		g.act.Cancel(id, r.out.number)
	}
}

// Wake runs what is done once a period.
func (g *Gate) Wake(now time.Duration) {
	g.tick(now)
	g.act.Wake(period)
	dt := (now - g.stepped).Seconds()
	if dt <= 0 {
		return
	}
	g.stepped = now
	g.pace(dt)
	g.steps(dt)
	g.sweep()
	g.dispatch()
}

// Counted takes the answer to a call to the counter.
func (g *Gate) Counted(now time.Duration, name string, code Code, total float64) {
	g.tick(now)
	c := g.calls[name]
	if c == nil {
		return
	}
	delete(g.calls, name)
	g.strain(code, now-c.sent)
	a := c.account
	switch {
	case c.carry:
		return
	case c.open:
		g.countedOpen(a, c, code, total)
	case a.thin():
		g.countedThin(a, c, code, total)
	default:
		g.countedUnits(a, c, code, total)
	}
	queue := a.queue
	a.queue = nil
	for _, r := range queue {
		g.admit(a, r)
	}
	g.syncOpen(a, false)
	if a.unposted < 0 && len(a.queue) == 0 && !a.unitCall {
		g.renew(a, 0)
	}
}

// strain learns from a call's end. Guards the counter against more calls than it can take: each gateway then
// makes a part of them, and decides the rest by chance. A lone lost call hurts little.
func (g *Gate) strain(code Code, took time.Duration) {
	g.ease = max(easeLeast, g.ease*easeDown)
	if code == OK {
		g.failed = 0
		if float64(took) < slowPart*float64(g.set.CounterTimeout) || g.now == g.stalled {
			g.ease = min(1, g.ease/easeDown*easeUp)
		}
	} else if code != Busy { // turned away: it is there, and short of capacity
		g.failed++
	}
	if g.failed == downAfter && g.now >= g.logAt {
		g.act.Log("counter down: quotas go by shares")
		g.logAt = g.now + logEvery
	}
}

// shedNow refuses by chance, the cheapest work most, while the fleet answers late. Guards a fleet whose
// backends each hear too little from one gateway for limits of their own; it may refuse for slow servers too.
func (g *Gate) shedNow(r *request) bool {
	v := g.value(r)
	g.worth += slowW * (v - g.worth)
	if g.shed == 0 {
		return false
	}
	chance := min(math.Pow(g.shed, v/max(g.worth, 1e-9)), 1-leastShare*g.fair.all.share())
	return g.rng.Float64() < chance
}

// dispatch sends what waits for room, of flows that starve first, then dearest work first, and refuses
// what has waited too long: in overload that is the cheapest work.
func (g *Gate) dispatch() {
	queue := g.waiting
	g.waiting = nil
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(g.urgency(b), g.urgency(a)) })
	for _, r := range queue {
		g.sendOrWait(r)
	}
}

// sendOrWait sends a request, or keeps it for a while until a backend has room.
func (g *Gate) sendOrWait(r *request) {
	if r.done || g.send(r) {
		return
	}
	patient := min(r.since+time.Duration(g.set.QueueWaitRatio*float64(r.class.Aim)), r.Deadline-2*period)
	if v := g.verdict(r); g.now >= patient || !v.again() {
		g.giveUp(r)
		return
	}
	g.waiting = append(g.waiting, r)
}

// typical is a class's usual latency, and its aim as long as no answer has told.
func (c *class) typical() float64 { return cmp.Or(c.usual, c.Aim.Seconds()) }

// value is the worth of a request per second of work, by the usual latency of its class.
func (g *Gate) value(r *request) float64 {
	return r.class.Worth * r.plan.Price * max(r.Units, 1) / max(r.class.usual, 0.001)
}

// urgency is the value of a request, above that of all others while its flow starves.
func (g *Gate) urgency(r *request) float64 {
	if g.fair.starves(r) {
		return math.Inf(1)
	}
	return g.value(r)
}

// relief is when a client may come back: the lateness has faded then, and what waits here has had its turn.
func (g *Gate) relief(r *request) time.Duration {
	turn := r.class.typical() * (1 + float64(len(g.waiting))/g.room())
	return time.Duration((turn + g.shed*healTime.Seconds()) * float64(time.Second))
}

// pace updates the rates and levels that are kept by time.
func (g *Gate) pace(dt float64) {
	g.fair.fade(dt)
	// few answers come while much is refused
	g.part -= max(0, g.part-g.set.ShedThreshold) * min(1, dt/healTime.Seconds())
	g.shed = min(shedMost, max(0, (g.part-g.set.ShedThreshold)/(1-g.set.ShedThreshold)))
	// Guards against a fleet that starts cold all at once: what a warm one last bore is remembered.
	g.warmRate = max(g.warmNow, g.warmRate*math.Exp(-dt/warmMemory.Seconds()))
	g.sendRate, g.sends = g.sendRate+smooth*(g.sends/dt-g.sendRate), 0
	g.widest = max(float64(len(g.fleet)), 1, g.widest*math.Exp(-dt/warmMemory.Seconds()))
	even := g.sendRate / g.widest // a warm fleet's even share: all that a restarted gateway can go by
	warm, fade := 0.0, math.Exp(-dt/healTime.Seconds())
	for _, b := range g.fleet {
		for _, at := range b.out {
			if (g.now - at.sent).Seconds() > hungFactor*at.request.class.typical() {
				g.settle(at)
			}
		}
		b.slow = 1 + (b.slow-1)*fade
		for i := range b.bad {
			b.bad[i] *= fade
			b.seen[i] *= fade
		}
		cold := g.coldness(b)
		warm += when(cold == 1, 1)
		rate := coldSafe * cold * min(1, coldEarly+cold) * max(g.warmRate, even) * float64(g.set.Gateways)
		rate = max(coldTrickle, rate) / float64(g.holders)
		b.budget = g.round(b.budget*max(0, 1-dt/(coldSave*g.set.FallTime.Seconds())) + rate*dt)
	}
	g.periods++
	g.warm = warm
	g.warmNow += max(slowW, 1/(g.periods+warmPrior)) * (g.warmOK/dt/max(warm, 1) - g.warmNow)
	g.warmOK = 0
}

// after is the table of what may follow: a request may be sent again while attempts and time are left, and
// only where no effect can happen twice.
func after(c *Class, mayHaveRun bool, attemptsLeft int, sinceFirst, left time.Duration) verdict {
	again := attemptsLeft > 0 && left > 0
	switch {
	case !mayHaveRun || c.Repeat == Safe:
		if again {
			return sendAny
		}
		return mayRefuse
	case c.Repeat == Unsafe:
		return mustFail
	case again && sinceFirst < c.Window:
		return sendGroup
	case c.Group == GroupAll:
		return mayRefuse
	}
	return mustFail
}

func (g *Gate) verdict(r *request) verdict {
	left := cmp.Or(r.class.Tries, g.set.MaxAttempts) - r.attempts
	return after(&r.class.Class, r.home != nil, left, g.now-r.mayRun, r.Deadline-g.now)
}

// next decides after an attempt that brought no answer.
func (g *Gate) next(r *request, code Code) {
	v := g.verdict(r)
	if v.again() && (g.again >= 1 || code.NeverRan() && !(g.set.ChargeRejected && code == Busy)) {
		g.again = max(0, g.again-1)
		r.since = g.now
		g.sendOrWait(r)
		return
	}
	g.giveUp(r)
}

// send starts an attempt, if any backend may have it.
func (g *Gate) send(r *request) bool {
	v := g.verdict(r)
	if !v.again() || r.attempts == 0 && !g.underCeiling(r.account, r.Units) { // others went first
		return false
	}
	full := min(float64(g.outs), g.busy) >= g.room()
	b := g.pick(r.class, full, func(b *backend) bool {
		return v == sendAny || sameGroup(r.class.Group, b, r.home)
	})
	if b == nil {
		return false
	}
	if r.attempts == 0 {
		r.account.ceiling -= r.Units
		g.fair.noteSent(r)
	}
	cold := g.coldness(b) < 1
	at := &attempt{request: r, number: r.attempts, backend: b, sent: g.now, settled: cold}
	r.out = at
	r.attempts++
	g.outs += int(when(!cold, 1)) // cold ones have their budgets
	g.sends++
	b.out = append(b.out, at)
	b.budget = max(0, b.budget-1) // counts while it is cold
	g.act.Send(r.ID, b.ID, r.Deadline-g.now)
	return true
}

// giveUp ends a request with the best answer that may be given.
func (g *Gate) giveUp(r *request) {
	v := after(&r.class.Class, r.home != nil, 0, g.now-r.mayRun, 0)
	if v == mayRefuse {
		g.refuse(r, g.relief(r))
		return
	}
	g.act.Fail(r.ID)
	g.finish(r)
}

func (g *Gate) refuse(r *request, wait time.Duration) {
	g.act.Refuse(r.ID, min(max(wait, 0), g.set.MaxRetryAfter))
	g.finish(r)
}

// finish forgets a request that has its final answer. Units of one that was never sent return to the lease.
func (g *Gate) finish(r *request) {
	if r.inside && r.attempts == 0 {
		r.inside = false
		r.account.lease += r.Units
	}
	r.done = true
	delete(g.requests, r.ID)
	if a := r.account; r.slot { // every ending returns the slot
		r.slot = false
		a.out--
		a.held = a.out
		g.syncOpen(a, false)
	}
}

// sweep forgets idle customers: their stores are full again and their leases old.
func (g *Gate) sweep() {
	g.list = slices.DeleteFunc(g.list, func(a *account) bool {
		g.syncOpen(a, false)
		idle := max(idleLeast, time.Duration(2*a.plan.Burst/max(a.plan.Rate, 1e-6)*float64(time.Second)))
		if g.now-a.seen < idle || len(a.queue) > 0 || a.out > 0 || a.openCall || a.unitCall {
			return false
		}
		delete(g.accounts, accountKey{a.id, a.plan})
		return true
	})
}
