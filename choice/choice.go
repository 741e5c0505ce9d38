// Package choice implements the decisions of a gateway that enforces customers' quotas in front of shared
// backends. The interface (settings, events and actions) is in api.go and the state in state.go. Events,
// overload and attempts are handled in choice.go, quotas in quota.go and backends in servers.go.
package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants for all sites. Durations that depend on a site come from its settings.
const (
	// housekeepingPeriod is the interval of Gate.Wake, which allocates quotas and does the housekeeping. It is
	// shorter than any client's timeout.
	housekeepingPeriod = 200 * time.Millisecond
	// stallPeriods is the number of periods without an event after which this gateway counts as stalled.
	stallPeriods = 2
	// leaseAheadSeconds is the demand that a lease covers in advance, in seconds: traffic shifts within seconds.
	leaseAheadSeconds = 3.0
	// renewBelowSeconds is the demand left in a lease at which it is renewed, in seconds: long enough for many
	// counter calls.
	renewBelowSeconds = 0.1
	// rateWeight is the weight of one period in smoothed rates, low since customers send few requests per
	// period.
	rateWeight = 0.2
	// leaseAheadMaxRatio is the maximum fraction of an even share of the token bucket that is leased in advance,
	// so that units aren't stranded at one gateway.
	leaseAheadMaxRatio = 0.5
	// openCountEpoch is the lifetime of a count of attempts in flight. It bounds how long lost slots
	// are missing.
	openCountEpoch = 10 * time.Second
	// counterDownFailures is the number of consecutive unanswered calls after which the counter is down.
	counterDownFailures = 3
	// slowCallRatio is the fraction of CounterTimeout above which an answer indicates counter overload.
	slowCallRatio = 0.8
	// callRatioIncrease is the factor by which a fast answer raises the fraction of counter calls that are made.
	callRatioIncrease = 1.05
	// callRatioDecrease is the factor by which a slow or failed call lowers it. One such call in seven keeps it
	// constant.
	callRatioDecrease = 0.75
	// minCallRatio is its minimum: without any calls the counter's recovery would go unnoticed.
	minCallRatio = 0.1
	// grantWeight is the weight of one answer in the fraction of requested units that the counter grants.
	grantWeight = 0.2
	// newCustomerGrantFactor times the plan's fraction of granted units is assumed for a new customer.
	newCustomerGrantFactor = 0.8
	// leaseCallFactor times a customer's fraction of granted units, squared, is the probability of a call for a
	// lease: customers that are mostly refused make fewer calls.
	leaseCallFactor = 2.0
	// idleAdmissionSlope is the slope of the admission probability while the backends are idle, where admission
	// earns more than it costs.
	idleAdmissionSlope = 3.0
	// longTermWeight is the weight of one sample in averages that must not follow random fluctuations; they
	// remember about fifty samples.
	longTermWeight = 0.02
	// refusalWeight is the weight of one request in refusedRatio, which remembers some seconds.
	refusalWeight = 0.05
	// accountMemory is the decay time of a customer's request count and the minimum idle time after which its
	// account is removed; the account also outlives two windows of its quota.
	accountMemory = 10 * time.Second
	// logInterval is the minimum interval between two log lines about the counter.
	logInterval = 10 * time.Second
	// sampleWeight is the weight of one sample of a backend: the work of requests varies much.
	sampleWeight = 0.1
	// recoveryTime is the decay time of the errors and the latency of an unused backend, and of a mean latency
	// that counts as overload.
	recoveryTime = 5 * time.Second
	// errorExponent is the exponent of the success ratio in a backend's cost: errors outweigh latency.
	errorExponent = 3.0
	// minSuccessRatio is the minimum of that ratio, so that a backend that failed every attempt is tried again.
	minSuccessRatio = 0.1
	// slowAttemptFactor is the multiple of the usual latency at which an attempt in flight raises the cost of
	// its backend.
	slowAttemptFactor = 3.0
	// timeoutBlameFactor is the multiple of the usual latency from which a timeout counts against a backend.
	timeoutBlameFactor = 2.0
	// hungAttemptFactor is the multiple of the usual latency after which an attempt no longer counts as in
	// flight.
	hungAttemptFactor = 7.0
	// minTimeLeftFactor is the multiple of the usual latency that must be left until a client's deadline; with
	// less, an attempt is mostly wasted.
	minTimeLeftFactor = 0.5
	// warmRateMemory is how long the highest rate of answers per warm backend is remembered.
	warmRateMemory = 30 * time.Second
	// coldBudgetFallTimes is the number of Settings.FallTime for which the budget of a cold backend accumulates.
	coldBudgetFallTimes = 1.5
	// warmRatePriorPeriods is the number of periods without answers with which the average of the rate of
	// answers per warm backend begins.
	warmRatePriorPeriods = 10.0
	// coldRateFactor is the rate of attempts to a cold backend, per its capacity, relative to the recent rate of
	// warm ones: under half of what they can do.
	coldRateFactor = 1.6
	// coldRampOffset is added to the capacity of a cold backend to give a further factor of its rate, at most 1:
	// at a small capacity random fluctuations weigh more.
	coldRampOffset = 0.5
	// coldCostFactor is the factor on the cost of a cold backend that has budget left.
	coldCostFactor = 0.1
	// coldMinRate is the minimum rate of attempts to a cold backend, per second, over all gateways.
	coldMinRate = 1.0
	// activeRateRatio is the fraction of its quota's rate above which a customer counts as active.
	activeRateRatio = 0.02
	// backoffMin is the initial backoff of a backend that rejects attempts.
	backoffMin = 100 * time.Millisecond
	// backoffMax is the maximum backoff: one attempt in that time is cheap.
	backoffMax = 2 * time.Second
	// crossZoneAttempts is the number of attempts in flight that weighs as much as a CrossZoneCost of 1.
	crossZoneAttempts = 25.0
	// limitDecrease is the factor by which a slow answer lowers a concurrency limit. One decrease outweighs many
	// increases.
	limitDecrease = 0.7
	// maxShedRatio is the maximum fraction of requests of mean value that is shed: with no requests at all the
	// recovery of the backends would go unnoticed.
	maxShedRatio = 0.9
)

// Request handles a client's request. The Gate gives it exactly one final answer, unless the client leaves.
func (g *Gate) Request(now time.Duration, in Request) {
	g.advanceClock(now)
	if g.requests[in.ID] != nil {
		return
	}
	r := &request{Request: in, class: g.classes[in.Class], plan: g.plans[in.Plan], waitingSince: now}
	g.requests[in.ID] = r
	r.Units = min(max(in.Units, 0), 1e9)
	if r.class == nil || r.plan == nil {
		g.refuse(r, g.settings.MaxRetryAfter)
		return
	}
	a := g.accountFor(r)
	r.account = a
	a.requestedUnits += r.Units
	g.retryBudget = min(g.retryBudget+g.settings.RetryBudgetRatio, g.settings.RetryBudgetMax)
	g.admit(a, r)
	a.recentRequests++
	if r.plan.Rate > 0 && !a.unitCallPending && !a.counterSilent && !a.noTotal &&
		a.lease < math.Floor(a.demandRate*renewBelowSeconds) {
		g.renewLease(a, 0) // before the present lease is spent
	}
}

// advanceClock sets the time to that of an event and updates the mean number of attempts in flight. It also
// detects that this gateway was stalled: it then handles events late through its own fault, so that their
// latencies say nothing about the backends and must be ignored.
func (g *Gate) advanceClock(now time.Duration) {
	g.meanInFlight += (float64(g.inFlight) - g.meanInFlight) *
		(1 - math.Exp(-float64(now-g.now)/float64(housekeepingPeriod)))
	if now > g.now+stallPeriods*housekeepingPeriod {
		g.resumedAt = now
	}
	g.now = now
}

// Outcome handles the result of one attempt. Results of unknown attempts are ignored.
func (g *Gate) Outcome(now time.Duration, o Outcome) {
	g.advanceClock(now)
	r := g.requests[o.Request]
	if r == nil || r.current == nil || r.current.number != o.Attempt {
		return
	}
	ended := r.current
	r.current = nil
	g.observeOutcome(ended, o)
	if !o.Code.NeverRan() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = ended.backend, ended.sentAt
	}
	if o.Code == OK && o.Units > 0 && r.withinQuota { // replace the estimate by the actual units
		r.account.lease -= min(o.Units, 1e9) - r.Units
	}
	if o.Ended || o.Code == OK || r.done {
		g.finish(r)
	} else {
		g.retryOrGiveUp(r, o.Code)
	}
	g.dispatch()
}

// Left handles the departure of a client, which needs no answer any more. The attempt in flight is cancelled
// if the settings allow it.
func (g *Gate) Left(now time.Duration, id uint64) {
	g.advanceClock(now)
	r := g.requests[id]
	if r == nil {
		return
	}
	r.done = true
	if r.current == nil {
		g.finish(r)
	} else if g.settings.Cancel {
		g.actions.Cancel(id, r.current.number)
	}
}

// Wake runs the periodic work: it updates rates, allocates quotas, removes idle accounts and sends what
// waits.
func (g *Gate) Wake(now time.Duration) {
	g.advanceClock(now)
	g.actions.Wake(housekeepingPeriod)
	dt := (now - g.lastWakeAt).Seconds()
	if dt <= 0 {
		return
	}
	g.lastWakeAt = now
	g.updateRates(dt)
	g.allocateQuotas(dt)
	g.removeIdleAccounts()
	g.dispatch()
}

// Counted handles the answer to a counter call: the new total of the named count if code is OK.
func (g *Gate) Counted(now time.Duration, name string, code Code, total float64) {
	g.advanceClock(now)
	c := g.pendingCalls[name]
	if c == nil {
		return
	}
	delete(g.pendingCalls, name)
	g.observeCall(code, now-c.sentAt)
	a := c.account
	switch {
	case c.carryOver:
		return
	case c.openCount:
		g.handleOpenTotal(a, c, code, total)
	case a.countsPerRequest():
		g.handlePerRequestTotal(a, c, code, total)
	default:
		g.handleUnitsTotal(a, c, code, total)
	}
	queue := a.awaitingCounter
	a.awaitingCounter = nil
	for _, r := range queue {
		g.admit(a, r)
	}
	g.syncOpenCount(a, false)
	if a.unposted < 0 && len(a.awaitingCounter) == 0 && !a.unitCallPending {
		g.renewLease(a, 0)
	}
}

// observeCall updates the fraction of counter calls that are made, and whether the counter is down, from the
// result of one call. If the counter is overloaded, each gateway makes only a fraction of its calls and
// decides the other requests probabilistically. A single lost call has little effect.
func (g *Gate) observeCall(code Code, duration time.Duration) {
	g.callRatio = max(minCallRatio, g.callRatio*callRatioDecrease)
	if code == OK {
		g.failedCalls = 0
		if float64(duration) < slowCallRatio*float64(g.settings.CounterTimeout) || g.now == g.resumedAt {
			g.callRatio = min(1, g.callRatio/callRatioDecrease*callRatioIncrease)
		}
	} else if code != Busy { // a Busy counter is up, and short of capacity
		g.failedCalls++
	}
	if g.failedCalls == counterDownFailures && g.now >= g.nextLogAt {
		g.actions.Log("counter down: enforcing quotas by local shares")
		g.nextLogAt = g.now + logInterval
	}
}

// shouldShed reports whether to refuse a request because the backends answer late. It decides
// probabilistically, and refuses the requests of the lowest value most. It protects backends that each
// receive too little from one gateway for a concurrency limit of their own; it may also refuse because
// backends are slow without being overloaded.
func (g *Gate) shouldShed(r *request) bool {
	value := g.value(r)
	g.meanValue += longTermWeight * (value - g.meanValue)
	if g.shedRatio == 0 {
		return false
	}
	probability := min(math.Pow(g.shedRatio, value/max(g.meanValue, 1e-9)),
		1-minShareRatio*g.fairness.all.share())
	return g.rng.Float64() < probability
}

// dispatch sends waiting requests for which backends have capacity, those of starving flows first, then by
// descending value. It refuses those that have waited too long; under overload these have the lowest value.
func (g *Gate) dispatch() {
	waiting := g.waiting
	g.waiting = nil
	slices.SortStableFunc(waiting, func(a, b *request) int { return cmp.Compare(g.priority(b), g.priority(a)) })
	for _, r := range waiting {
		g.sendOrWait(r)
	}
}

// sendOrWait sends a request, or queues it until a backend has capacity. It gives up when the request may not
// be sent any more or has waited for QueueWaitRatio of its latency target.
func (g *Gate) sendOrWait(r *request) {
	if r.done || g.send(r) {
		return
	}
	waitUntil := min(r.waitingSince+time.Duration(g.settings.QueueWaitRatio*float64(r.class.Aim)),
		r.Deadline-2*housekeepingPeriod)
	if decision := g.retryDecision(r); g.now >= waitUntil || !decision.allowsSend() {
		g.giveUp(r)
		return
	}
	g.waiting = append(g.waiting, r)
}

// typicalLatency returns the usual latency of a class in seconds, or its latency target before the first
// answer.
func (c *class) typicalLatency() float64 { return cmp.Or(c.latencySeconds, c.Aim.Seconds()) }

// value returns the worth of a request per second of work, based on the usual latency of its class.
func (g *Gate) value(r *request) float64 {
	return r.class.Worth * r.plan.Price * max(r.Units, 1) / max(r.class.latencySeconds, 0.001)
}

// priority returns the value of a request, or infinity while its flow starves.
func (g *Gate) priority(r *request) float64 {
	if g.fairness.starves(r) {
		return math.Inf(1)
	}
	return g.value(r)
}

// retryAfter returns the delay after which a client may retry: by then the high latency has decayed and the
// requests that wait here have been handled.
func (g *Gate) retryAfter(r *request) time.Duration {
	queueSeconds := r.class.typicalLatency() * (1 + float64(len(g.waiting))/g.inFlightLimit())
	return time.Duration((queueSeconds + g.shedRatio*recoveryTime.Seconds()) * float64(time.Second))
}

// updateRates decays and updates averages, limits and budgets after the given number of seconds.
func (g *Gate) updateRates(seconds float64) {
	g.fairness.decay(seconds)
	// Few answers arrive while much is refused, so the latency also has to decay by time.
	g.latencyRatio -= max(0, g.latencyRatio-g.settings.ShedThreshold) * min(1, seconds/recoveryTime.Seconds())
	g.shedRatio = min(maxShedRatio,
		max(0, (g.latencyRatio-g.settings.ShedThreshold)/(1-g.settings.ShedThreshold)))
	// All backends may start cold at the same time, so the highest recent rate of warm ones is remembered.
	g.maxWarmRate = max(g.currentWarmRate, g.maxWarmRate*math.Exp(-seconds/warmRateMemory.Seconds()))
	g.sendRate, g.sentInPeriod = g.sendRate+rateWeight*(g.sentInPeriod/seconds-g.sendRate), 0
	g.maxBackends = max(float64(len(g.backendList)), 1,
		g.maxBackends*math.Exp(-seconds/warmRateMemory.Seconds()))
	// A restarted gateway has no rate of warm backends yet, only the even share of its own attempts.
	evenRate := g.sendRate / g.maxBackends
	warm, decay := 0.0, math.Exp(-seconds/recoveryTime.Seconds())
	for _, b := range g.backendList {
		for _, at := range b.inFlight {
			if (g.now - at.sentAt).Seconds() > hungAttemptFactor*at.request.class.typicalLatency() {
				g.stopCounting(at)
			}
		}
		b.latencyRatio = 1 + (b.latencyRatio-1)*decay
		for i := range b.errors {
			b.errors[i] *= decay
			b.attempts[i] *= decay
		}
		capacity := g.capacityRatio(b)
		warm += valueIf(capacity == 1, 1)
		rate := coldRateFactor * capacity * min(1, coldRampOffset+capacity) * max(g.maxWarmRate, evenRate) *
			float64(g.settings.Gateways)
		rate = max(coldMinRate, rate) / float64(g.gatewaysPerBackend)
		b.coldBudget = g.roundRandomly(
			b.coldBudget*max(0, 1-seconds/(coldBudgetFallTimes*g.settings.FallTime.Seconds())) + rate*seconds)
	}
	g.periods++
	g.warmBackends = warm
	g.currentWarmRate += max(longTermWeight, 1/(g.periods+warmRatePriorPeriods)) *
		(g.warmAnswers/seconds/max(warm, 1) - g.currentWarmRate)
	g.warmAnswers = 0
}

// decideRetry returns whether and where a request may be sent, or how it may be answered. A request may be
// sent while attempts and time are left, and only where it can't take effect twice. sinceFirst is the time
// since the first attempt that may have run.
func decideRetry(c *Class, mayHaveRun bool, attemptsLeft int,
	sinceFirst, timeLeft time.Duration) retryDecision {
	canRetry := attemptsLeft > 0 && timeLeft > 0
	switch {
	case !mayHaveRun || c.Repeat == Safe:
		if canRetry {
			return sendAny
		}
		return mayRefuse
	case c.Repeat == Unsafe:
		return mustFail
	case canRetry && sinceFirst < c.Window:
		return sendGroup
	case c.Group == GroupAll:
		return mayRefuse
	}
	return mustFail
}

// retryDecision returns the decision of decideRetry for the present state of a request.
func (g *Gate) retryDecision(r *request) retryDecision {
	attemptsLeft := cmp.Or(r.class.Tries, g.settings.MaxAttempts) - r.attempts
	return decideRetry(&r.class.Class, r.mayHaveRunOn != nil, attemptsLeft,
		g.now-r.mayHaveRunAt, r.Deadline-g.now)
}

// retryOrGiveUp handles a failed attempt. A retry needs retry budget, unless the attempt never ran; with
// ChargeRejected set, a retry after a Busy answer needs it, too.
func (g *Gate) retryOrGiveUp(r *request, code Code) {
	decision := g.retryDecision(r)
	if decision.allowsSend() &&
		(g.retryBudget >= 1 || code.NeverRan() && !(g.settings.ChargeRejected && code == Busy)) {
		g.retryBudget = max(0, g.retryBudget-1)
		r.waitingSince = g.now
		g.sendOrWait(r)
		return
	}
	g.giveUp(r)
}

// send starts an attempt if the request may be sent and a backend has capacity, and reports whether it did.
func (g *Gate) send(r *request) bool {
	decision := g.retryDecision(r)
	// The ceiling is checked again, since other requests may have been sent while this one waited.
	if !decision.allowsSend() || r.attempts == 0 && !g.underCeiling(r.account, r.Units) {
		return false
	}
	saturated := min(float64(g.inFlight), g.meanInFlight) >= g.inFlightLimit()
	b := g.pickBackend(r.class, saturated, func(b *backend) bool {
		return decision == sendAny || sameGroup(r.class.Group, b, r.mayHaveRunOn)
	})
	if b == nil {
		return false
	}
	if r.attempts == 0 {
		r.account.ceilingUnits -= r.Units
		g.fairness.noteSent(r)
	}
	cold := g.capacityRatio(b) < 1
	at := &attempt{request: r, number: r.attempts, backend: b, sentAt: g.now, uncounted: cold}
	r.current = at
	r.attempts++
	g.inFlight += int(valueIf(!cold, 1)) // cold backends are limited by their budgets
	g.sentInPeriod++
	b.inFlight = append(b.inFlight, at)
	b.coldBudget = max(0, b.coldBudget-1) // has an effect only while the backend is cold
	g.actions.Send(r.ID, b.ID, r.Deadline-g.now)
	return true
}

// giveUp refuses a request if a retry by the client is safe, and otherwise fails it.
func (g *Gate) giveUp(r *request) {
	decision := decideRetry(&r.class.Class, r.mayHaveRunOn != nil, 0, g.now-r.mayHaveRunAt, 0)
	if decision == mayRefuse {
		g.refuse(r, g.retryAfter(r))
		return
	}
	g.actions.Fail(r.ID)
	g.finish(r)
}

// refuse answers that the client may retry after the wait, which is limited to MaxRetryAfter.
func (g *Gate) refuse(r *request, wait time.Duration) {
	g.actions.Refuse(r.ID, min(max(wait, 0), g.settings.MaxRetryAfter))
	g.finish(r)
}

// finish removes a request that has its final answer, returns its slot and, if it was never sent, its units.
func (g *Gate) finish(r *request) {
	if r.withinQuota && r.attempts == 0 {
		r.withinQuota = false
		r.account.lease += r.Units
	}
	r.done = true
	delete(g.requests, r.ID)
	if a := r.account; r.hasSlot {
		r.hasSlot = false
		a.slotsUsed--
		a.slotsGranted = a.slotsUsed
		g.syncOpenCount(a, false)
	}
}

// removeIdleAccounts removes the accounts of idle customers: their token buckets are full again and their
// leases old.
func (g *Gate) removeIdleAccounts() {
	g.accountList = slices.DeleteFunc(g.accountList, func(a *account) bool {
		g.syncOpenCount(a, false)
		idle := max(accountMemory, time.Duration(2*a.plan.Burst/max(a.plan.Rate, 1e-6)*float64(time.Second)))
		if g.now-a.lastSeen < idle || len(a.awaitingCounter) > 0 || a.slotsUsed > 0 ||
			a.openCallPending || a.unitCallPending {
			return false
		}
		delete(g.accounts, accountKey{a.id, a.plan})
		return true
	})
}
