package choice

import (
	"fmt"
	"math"
	"time"

	"dunespoke/internal/window"
)

// accountFor returns the account of the customer and plan of a request, and creates it if there is none.
func (g *Gate) accountFor(r *request) *account {
	a := g.accounts[accountKey{r.Customer, r.plan}]
	if a == nil {
		spread := float64(max(1, min(r.Spread, g.settings.Gateways)))
		a = &account{id: r.Customer, plan: r.plan, spread: spread, bucketAt: g.now, ceilingAt: g.now,
			noTotal: true, totalWindow: -1, openEpoch: -1, exhaustedWindow: -1, randomBudget: r.plan.Burst + 1,
			grantRatio:   newCustomerGrantFactor * (1 - g.deniedRatio[r.plan]),
			bucket:       r.plan.Burst / spread, // until the first total is received
			ceilingUnits: r.plan.CeilingSlack / (2 * spread)}
		g.accounts[accountKey{r.Customer, r.plan}] = a
		g.accountList = append(g.accountList, a)
	}
	a.lastSeen = g.now
	return a
}

// admit checks the quotas and the load of the backends. It passes a request on, queues it until the counter
// answers, or refuses it.
func (g *Gate) admit(a *account, r *request) {
	if r.done {
		return
	}
	if !g.underCeiling(a, r.Units) {
		g.refuse(r, time.Duration((r.Units-a.ceilingUnits)*a.spread/a.plan.CeilingRate*float64(time.Second)))
		return
	}
	g.fairness.noteArrival(r)
	// An answer after the client's deadline would be wasted work.
	if (r.Deadline-g.now).Seconds() < minTimeLeftFactor*r.class.latencySeconds || !r.paid && g.shouldShed(r) {
		g.refuse(r, g.retryAfter(r))
		return
	}
	mustWait := false
	if r.plan.Rate > 0 && !r.paid {
		r.paid, mustWait = g.payUnits(a, r)
		if !r.paid && !mustWait {
			g.refuse(r, g.unitsAvailableAfter(a, r))
			return
		}
	}
	if r.plan.Open > 0 && !r.hasSlot && !mustWait {
		r.hasSlot, mustWait = g.acquireSlot(a, max(r.class.latencySeconds, housekeepingPeriod.Seconds()))
		if !r.hasSlot && !mustWait { // a slot is released when an attempt in flight ends
			g.refuse(r, time.Duration(r.class.latencySeconds*float64(time.Second)))
			return
		}
	}
	if mustWait {
		a.awaitingCounter = append(a.awaitingCounter, r)
		g.syncOpenCount(a, !a.unitCallPending)
		// No answer of the counter might arrive before the deadline, or none might be pending at all.
		if r.Deadline < g.now+2*g.settings.CounterTimeout || !a.unitCallPending && !a.openCallPending {
			a.awaitingCounter = a.awaitingCounter[:len(a.awaitingCounter)-1]
			g.refuse(r, g.retryAfter(r))
		}
		return
	}
	g.sendOrWait(r)
}

// payUnits draws a request's units from the quota: from the lease, then from a renewal of the lease or the
// token bucket, then from borrowed units. It reports whether they are paid, and if not, whether the request
// has to wait for the counter.
func (g *Gate) payUnits(a *account, r *request) (paid, mustWait bool) {
	if a.countsPerRequest() {
		return g.payPerRequest(a, r)
	}
	g.refill(a)
	// A total older than the preceding window is of no use: the account starts like a new one.
	if current := window.At(a.id, a.windowSeconds(), g.now); current.Index > a.totalWindow+1 &&
		!a.noTotal && !a.counterSilent {
		a.noTotal, a.bucket = true, min(a.bucket, a.plan.Burst/a.spread)
	}
	// Without the counter no lease can be renewed, which must not be a reason to refuse.
	a.counterSilent = a.counterSilent || g.counterDown()
	if a.lease < r.Units && a.lent > 0 { // a lender whose demand rises gets its units back at once
		a.lease, a.lent = a.lease+a.lent, 0
	}
	available, known := a.bucket+a.lease, !a.noTotal && !a.counterSilent
	callable := !g.counterDown() && (known || available < r.Units)
	switch {
	case a.lease >= r.Units:
		a.lease -= r.Units
		r.withinQuota = true
		return true, false
	case callable && a.unitCallPending:
		return false, true
	case known && available < r.Units: // the quota is known to be used up
	case callable && g.rng.Float64() > math.Pow(leaseCallFactor*a.grantRatio, 2): // other requests call
	case callable && g.renewLease(a, r.Units):
		return false, true
	case available >= r.Units: // spends from the bucket without a call: a new account, or the last known bucket
		a.bucket -= r.Units
		// Units above a share of the burst have been refilled meanwhile and needn't be counted any more.
		a.unposted = min(a.unposted+r.Units, max(r.Units, a.plan.Burst/a.spread))
		r.withinQuota = true
		g.renewLease(a, 0)
		return true, false
	}
	if a.borrowed >= r.Units && hasSoftQuota(a.plan) {
		a.borrowed -= r.Units
		return true, false
	}
	return false, false
}

// countsPerRequest reports whether a gateway's share of the token bucket is below one unit, so that no
// gateway can lease in advance. Each request is then counted by a call of its own.
func (a *account) countsPerRequest() bool { return a.plan.Burst < a.spread }

// payPerRequest draws a request's units by one counter call per request, to a count per half window. What is
// admitted beyond the refill of a half window is also counted in the next one, because a token bucket that
// was full at first does not refill at once. Units that aren't granted stay counted, so that no later request
// is admitted in their place. While the backends are idle, customers with soft quotas are admitted without
// calls.
func (g *Gate) payPerRequest(a *account, r *request) (paid, mustWait bool) {
	halfWindow := window.At(a.id, a.windowSeconds()/2, g.now)
	switch {
	case a.lease >= r.Units:
		a.lease -= r.Units
		r.withinQuota = true
		return true, false
	case a.exhaustedWindow == halfWindow.Index:
		return false, false
	case hasSoftQuota(a.plan) && g.rng.Float64() < g.idleRatio():
		return true, false
	case a.unitCallPending && !r.called:
		return false, true
	}
	name := fmt.Sprintf("t%x.%x", a.id, halfWindow.Index)
	if probability := g.callProbability(a.plan); !r.called && g.pendingCalls[name] == nil &&
		g.rng.Float64() < probability {
		r.called, a.unitCallPending = true, true
		amount := r.Units / probability // also represents the requests without a call
		g.pendingCalls[name] = &call{account: a, amount: amount, wantedUnits: r.Units, retry: r.Again,
			window: halfWindow.Index, sentAt: g.now}
		g.actions.Add(name, amount, halfWindow.Keep())
		return false, true
	}
	freeProbability := 1 - g.refusedRatio[retryClass{a.plan, r.Again}]
	if a.exhaustedWindow > 0 {
		freeProbability = a.grantRatio // the customer's own history is more accurate
	}
	return g.admitRandomly(a, r.Units, a.plan.Rate/a.spread, freeProbability), false
}

// callProbability returns the fraction of the requests counted one by one for which a call is made: 0 without
// a counter, and otherwise 1, unless the counter is overloaded. Then plans whose requests cost most beyond
// the quota get a larger fraction.
func (g *Gate) callProbability(p *Plan) float64 {
	if !g.settings.Counter {
		return 0
	}
	return math.Pow(g.callRatio, g.meanExcessPrice/max(p.Price*p.ExcessCost, 1e-3))
}

// unitsAvailableAfter returns the delay until the token bucket contains the units of a request. If requests
// are counted one by one and the half window is used up, it is the time until the next one begins.
func (g *Gate) unitsAvailableAfter(a *account, r *request) time.Duration {
	if halfWindow := window.At(a.id, a.windowSeconds()/2, g.now); a.countsPerRequest() &&
		a.exhaustedWindow == halfWindow.Index {
		return halfWindow.Left
	}
	return time.Duration((r.Units - a.bucket - a.lease) / a.plan.Rate * float64(time.Second))
}

// handlePerRequestTotal handles the answer to a call of payPerRequest. The request is granted its units if
// the total up to it is within the burst, as it would be if one gateway received all requests. The amount is
// also added to the next half window if the total exceeds the refill of this one.
func (g *Gate) handlePerRequestTotal(a *account, c *call, code Code, total float64) {
	a.unitCallPending = false
	if code != OK {
		return
	}
	rank := total - c.amount + c.wantedUnits
	if rank > a.plan.Burst {
		a.exhaustedWindow = c.window
	}
	key, granted := retryClass{a.plan, c.retry}, valueIf(rank <= a.plan.Burst, 1)
	g.refusedRatio[key] += refusalWeight * (1 - granted - g.refusedRatio[key])
	g.recordGrant(a, granted)
	if granted == 0 {
		return
	}
	a.lease += c.wantedUnits
	name := fmt.Sprintf("t%x.%x", a.id, c.window+1)
	if rank > a.plan.Burst/2 && g.pendingCalls[name] == nil {
		g.pendingCalls[name] = &call{account: a, carryOver: true, amount: c.amount, window: c.window + 1,
			sentAt: g.now}
		g.actions.Add(name, c.amount, window.At(a.id, a.windowSeconds(), g.now).Keep())
	}
}

// admitRandomly decides probabilistically about a request for which no counter call is made. It serves
// customers whose requests are spread over so many gateways that a share of the quota is below one request.
// The probability of admission grows with the probability that the quota has units left, from the point where
// admission earns as much as it costs, and faster while the backends are idle. In the long run no more than
// an even share is admitted (rate, in units per second), however many requests arrive. Fractions are rounded
// randomly, so that the sum over all gateways is right on average.
func (g *Gate) admitRandomly(a *account, units, rate, freeProbability float64) bool {
	a.randomBudget = min(units, a.randomBudget+rate*(g.now-a.randomBudgetAt).Seconds())
	a.randomBudgetAt = g.now
	cost := max(0, a.plan.ExcessCost-a.plan.BeyondEarns)
	breakEven := cost / (1 + cost) // the probability of units left above which admission pays
	slope := 1 + valueIf(!g.counterDown(), (idleAdmissionSlope-1)*g.idleRatio())
	if units <= 0 || g.rng.Float64()*units*(1-breakEven) >= slope*(freeProbability-breakEven)*a.randomBudget {
		return units <= 0
	}
	a.randomBudget -= units
	return true
}

// recordGrant records the fraction of the requested units that was granted, for the customer and its plan.
func (g *Gate) recordGrant(a *account, granted float64) {
	g.deniedRatio[a.plan] += longTermWeight * (1 - granted - g.deniedRatio[a.plan])
	a.grantRatio += grantWeight * (granted - a.grantRatio)
}

// refill adds the units that have accrued in the token bucket since the last call. The lease of this gateway
// is part of the bucket's capacity. Without answers of the counter only this gateway's share of the quota
// accrues, and the units that were known to be in the bucket stay.
func (g *Gate) refill(a *account) {
	dt := (g.now - a.bucketAt).Seconds()
	a.bucketAt = g.now
	share := 1.0
	if a.counterSilent {
		share = 1 / a.spread
	}
	capacity := a.plan.Burst*share - max(0, a.lease+a.lent)
	refilled := min(max(capacity, 0), a.bucket+a.plan.Rate*share*dt)
	if !a.counterSilent || refilled > a.bucket {
		a.bucket = refilled
	}
}

// renewLease calls the counter for a lease of the wanted units, those of the waiting requests and some of the
// expected demand. The call also reports the units that were spent without a lease. renewLease reports
// whether a call is pending.
func (g *Gate) renewLease(a *account, wanted float64) bool {
	if a.unitCallPending || !g.sampleCall() {
		return a.unitCallPending
	}
	for _, r := range a.awaitingCounter {
		wanted += valueIf(!r.paid, r.Units)
	}
	if wanted > 0 {
		wanted = math.Ceil(max(0, wanted-a.lease))
	}
	if !a.counterSilent && !a.noTotal {
		free := (a.bucket - wanted) * leaseAheadMaxRatio / a.spread
		wanted += math.Floor(max(0, min(a.demandRate*leaseAheadSeconds, free)))
	}
	w := window.At(a.id, a.windowSeconds(), g.now)
	if w.Index != a.totalWindow { // units not granted in an earlier window can't be returned any more
		a.unposted = max(0, a.unposted)
	}
	amount := a.unposted + wanted
	if amount == 0 {
		return false
	}
	name := fmt.Sprintf("u%x.%x", a.id, w.Index)
	g.pendingCalls[name] = &call{account: a, amount: amount, spentUnits: a.unposted, wantedUnits: wanted,
		window: w.Index, sentAt: g.now}
	a.unposted, a.unitCallPending = 0, true
	g.actions.Add(name, amount, w.Keep())
	return true
}

// counterDown reports whether there is no counter or the last calls to it failed.
func (g *Gate) counterDown() bool { return !g.settings.Counter || g.failedCalls >= counterDownFailures }

// sampleCall decides whether to make a call: always, unless the counter is overloaded or there is none.
func (g *Gate) sampleCall() bool {
	return g.settings.Counter && (g.callRatio == 1 || g.rng.Float64() < g.callRatio)
}

// freeSlotProbability estimates the probability that a customer is below its limit of concurrent attempts, by
// the Erlang B formula, from its recent requests at this gateway and the duration of an attempt in seconds.
// It keeps customers with few requests from being refused like those with many, and saves counter calls whose
// result is almost certain. It is wrong where a customer's requests arrive through few of its gateways.
func (g *Gate) freeSlotProbability(a *account, seconds float64) float64 {
	load, blocked := a.recentRequests/accountMemory.Seconds()*a.spread*seconds, 1.0
	for k := 1; k <= a.plan.Open && blocked > 1e-3; k++ { // ends early if the limit is huge
		blocked = load * blocked / (float64(k) + load*blocked)
	}
	return 1 - blocked
}

// handleUnitsTotal handles the answer to a call of renewLease. The change of the total shows what other
// gateways have drawn since the last one, hence the units left in the token bucket, from which the lease is
// granted. A new account knows only the total of the window, and is granted up to the burst.
func (g *Gate) handleUnitsTotal(a *account, c *call, code Code, total float64) {
	a.unitCallPending = false
	g.refill(a)
	if code != OK {
		a.counterSilent = true
		if code.NeverRan() {
			a.unposted += c.spentUnits
		} else if !a.noTotal && c.window <= a.totalWindow+1 {
			// The call was most likely counted: it is part of this gateway's own total, and since the wanted units
			// aren't leased, they are returned with the next call.
			a.lastTotal, a.totalWindow = valueIf(c.window == a.totalWindow, a.lastTotal)+c.amount, c.window
			a.unposted -= c.wantedUnits
		}
		return
	}
	others := total - c.amount
	switch {
	case a.noTotal || c.window > a.totalWindow+1: // the window's total may reach the burst
		a.bucket = a.plan.Burst - c.spentUnits
	case c.window == a.totalWindow:
		others -= a.lastTotal
	}
	if others < -2*g.settings.MaxUnits { // more than other gateways return of what they weren't granted
		others = 0 // the counter has lost counts
	}
	a.lastTotal, a.totalWindow, a.noTotal, a.counterSilent = total, c.window, false, false
	a.bucket = min(a.plan.Burst, max(a.bucket-others, -a.plan.Burst))
	granted := max(0, min(c.wantedUnits, math.Floor(a.bucket)))
	a.bucket -= granted
	a.lease += granted
	a.unposted -= c.wantedUnits - granted
	if len(a.awaitingCounter) > 0 && c.wantedUnits > 0 {
		g.recordGrant(a, granted/c.wantedUnits)
	}
}

// hasSoftQuota reports whether requests beyond the quota earn more than they cost, and no ceiling or limit of
// concurrent attempts applies.
func hasSoftQuota(p *Plan) bool {
	return p.BeyondEarns > p.ExcessCost && p.CeilingRate == 0 && p.Open == 0
}

// allocateQuotas runs the three steps of section III-C of the paper (allocation, redistribution and
// re-compensation) over the customers that were active in the last period of dt seconds.
func (g *Gate) allocateQuotas(dt float64) {
	g.returnLentUnits()
	var active []*account
	for _, a := range g.accountList {
		a.demandRate += rateWeight * (a.requestedUnits/dt - a.demandRate)
		a.demand, a.requestedUnits = a.demandRate*dt, 0
		a.recentRequests *= math.Exp(-dt / accountMemory.Seconds())
		if a.demandRate > activeRateRatio*a.plan.Rate && a.plan.Rate > 0 {
			active = append(active, a)
		}
	}
	rates := sum(active, func(a *account) float64 { return a.plan.Rate })
	for _, a := range active { // first step: alpha is the customer's own lease
		last := a.alpha
		a.alpha = math.Floor(max(0, a.lease))
		a.ownAlpha, a.p, a.u = a.alpha, a.plan.Rate/rates, 1
		if last > 0 {
			a.u = a.demand / last
		}
		a.df = a.u*a.p + valueIf(a.u > 1, a.u)
	}
	g.redistribute(active, g.idleRatio())
	for _, a := range active {
		if extra := a.alpha - a.ownAlpha; extra > 0 {
			a.borrowed = extra
		} else {
			a.lent, a.lease = -extra, a.lease+extra
		}
	}
}

// redistribute is the second and the third step. The second lends the fraction lendRatio of the unused units
// to customers with soft quotas. In the third, borrowers return units to lenders, among customers whose
// records had the same sign before and after the second step.
func (g *Gate) redistribute(active []*account, lendRatio float64) {
	borrower := func(a *account) float64 { return valueIf(hasSoftQuota(a.plan), a.df) }
	if sum(active, borrower) == 0 {
		return
	}
	surplus := 0.0
	for _, a := range active {
		a.recordBefore = a.record
		lend := math.Floor(max(0, a.alpha-a.demand) * lendRatio)
		transferUnits(a, -lend)
		surplus += lend
	}
	distribute(surplus, active, borrower, transferUnits)
	lender := func(a *account) float64 { return valueIf(a.recordBefore > 0 && a.record > 0, a.df) }
	coefficient := sum(active, func(a *account) float64 {
		return valueIf(lender(a) > 0, a.p*(max(1, a.u)+max(0, 1-a.demand/max(a.alpha, 1e-9)))/2)
	})
	returned := 0.0
	for _, a := range active {
		if coefficient > 0 && a.recordBefore < 0 && a.record < 0 {
			back := min(-a.recordBefore, math.Floor(coefficient*a.alpha), a.alpha)
			transferUnits(a, -back)
			returned += back
		}
	}
	distribute(returned, active, lender, transferUnits)
}

// transferUnits adds units of other customers to a customer's allocation for the period, or removes them if
// units is negative. The record is the difference of what was lent and borrowed.
func transferUnits(a *account, units float64) {
	a.alpha += units
	a.record -= units
}

// returnLentUnits ends a period. Lent units return to the lender's lease, since what a borrower spends is
// never drawn from the lender's token bucket, and borrowed units that weren't spent are removed from the
// records.
func (g *Gate) returnLentUnits() {
	unspent := sum(g.accountList, func(a *account) float64 { return a.borrowed })
	distribute(unspent, g.accountList, func(a *account) float64 { return a.lent },
		func(a *account, part float64) { a.record -= part })
	for _, a := range g.accountList {
		a.record += a.borrowed
		a.lease += a.lent
		a.borrowed, a.lent = 0, 0
	}
}

// distribute divides units among accounts by weight, as whole numbers. An account's remainder carries over to
// the next call. A difference due to rounding is corrected one unit at a time, largest remainder first.
func distribute(units float64, accounts []*account, weight func(*account) float64,
	give func(*account, float64)) {
	totalWeight := sum(accounts, weight)
	if totalWeight == 0 || units <= 0 {
		return
	}
	left := units
	for _, a := range accounts {
		a.portion = 0
		if w := weight(a); w > 0 {
			raw := units*w/totalWeight + a.remainder
			a.portion = math.Floor(max(0, raw))
			a.remainder = raw - a.portion
			left -= a.portion
		}
	}
	for math.Abs(left) >= 0.5 {
		step := math.Copysign(1, left)
		var best *account
		for _, a := range accounts {
			if weight(a) > 0 && a.portion+step >= 0 && (best == nil || a.remainder > best.remainder) {
				best = a
			}
		}
		best.portion += step
		best.remainder -= step
		left -= step
	}
	for _, a := range accounts {
		if a.portion > 0 {
			give(a, a.portion)
		}
	}
}

// underCeiling reports whether units may be sent under the plan's hard ceiling, which it enforces with the
// state of this gateway only. A gateway's part of the token bucket fills at CeilingRate/spread, has a
// capacity of CeilingBurst/spread, and starts at CeilingSlack/(2*spread). In any time t a gateway sends at
// most CeilingBurst/spread + CeilingRate/spread*t, plus CeilingSlack/(2*spread) for each of its starts within
// t, since after a start it has only its initial units. Over all spread gateways that is CeilingBurst +
// CeilingRate*t + CeilingSlack, with up to two starts of each in that time, which is what the ceiling allows.
// No total of the counter is used, so a wrong one can't break the ceiling.
func (g *Gate) underCeiling(a *account, units float64) bool {
	p := a.plan
	if p.CeilingRate == 0 {
		return true
	}
	dt := (g.now - a.ceilingAt).Seconds()
	a.ceilingAt = g.now
	a.ceilingUnits = min(p.CeilingBurst/a.spread, a.ceilingUnits+p.CeilingRate/a.spread*dt)
	return a.ceilingUnits >= units
}

// acquireSlot takes a slot for an attempt of the given expected duration in seconds, or reports that the
// request has to wait for the counter. If no call is made, the gateway uses its even share of the slots, and
// decides probabilistically if that share is below one.
func (g *Gate) acquireSlot(a *account, seconds float64) (acquired, mustWait bool) {
	silent, evenShare, freeProbability := g.counterDown() || a.counterSilent, a.plan.Open/int(a.spread),
		g.freeSlotProbability(a, seconds)
	switch {
	case a.slotsUsed < a.slotsGranted || silent && a.slotsUsed < evenShare:
	case !a.openCallPending && !silent && a.slotsPosted > a.slotsUsed: // at its limit, returning slots
		return false, false
	case a.openCallPending || g.settings.Counter &&
		g.rng.Float64() < math.Pow(g.callRatio, 1/max(0.1, 4*freeProbability*(1-freeProbability))):
		return false, true
	case !silent && a.slotsUsed < evenShare:
	case a.plan.Open >= int(a.spread) ||
		!g.admitRandomly(a, 1, float64(a.plan.Open)/seconds/a.spread, freeProbability):
		return false, false
	}
	a.slotsUsed++
	return true, false
}

// syncOpenCount updates this gateway's part of the count of slots to the slots that are used and waited for.
// sampled says that the caller has already decided to make a call.
func (g *Gate) syncOpenCount(a *account, sampled bool) {
	if a.plan.Open == 0 || a.openCallPending || !sampled && !g.sampleCall() {
		return
	}
	epoch := int64(g.now / openCountEpoch)
	if epoch != a.openEpoch {
		a.openEpoch, a.slotsPosted = epoch, 0
	}
	wanted := a.slotsUsed
	for _, r := range a.awaitingCounter {
		if !r.hasSlot {
			wanted++
		}
	}
	// Slots that were acquired without a call aren't added.
	if wanted == a.slotsPosted || wanted > a.slotsPosted && !sampled && len(a.awaitingCounter) == 0 {
		return
	}
	name := fmt.Sprintf("o%x.%x", a.id, epoch)
	a.openCallPending = true
	g.pendingCalls[name] = &call{account: a, openCount: true, amount: float64(wanted - a.slotsPosted),
		sentAt: g.now}
	g.actions.Add(name, float64(wanted-a.slotsPosted), openCountEpoch+5*time.Second)
}

// handleOpenTotal handles the answer to a call of syncOpenCount. It grants the slots that this gateway has
// added, less those by which the total exceeds the limit.
func (g *Gate) handleOpenTotal(a *account, c *call, code Code, total float64) {
	a.openCallPending, a.counterSilent, a.slotsGranted = false, code != OK, a.slotsUsed
	if !code.NeverRan() { // most likely counted
		a.slotsPosted += int(c.amount)
	}
	if code == OK {
		a.slotsGranted = max(a.slotsUsed, a.slotsPosted-max(0, int(total)-a.plan.Open))
	}
}
