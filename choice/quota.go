package choice

import (
	"fmt"
	"math"
	"time"

	"dunespoke/internal/window"
)

func (g *Gate) account(r *request) *account {
	a := g.accounts[accountKey{r.Customer, r.plan}]
	if a == nil {
		spread := float64(max(1, min(r.Spread, g.set.Gateways)))
		a = &account{id: r.Customer, plan: r.plan, spread: spread, storeAt: g.now, ceilingAt: g.now,
			fresh: true, window: -1, epoch: -1, spent: -1, luck: r.plan.Burst + 1,
			grant: newcomer * (1 - g.denied[r.plan]), store: r.plan.Burst / spread, // of an unseen customer
			ceiling: r.plan.CeilingSlack / (2 * spread)}
		g.accounts[accountKey{r.Customer, r.plan}] = a
		g.list = append(g.list, a)
	}
	a.seen = g.now
	return a
}

// admit lets a request through, holds it for an answer of the counter, or refuses it.
func (g *Gate) admit(a *account, r *request) {
	if r.done {
		return
	}
	if !g.underCeiling(a, r.Units) {
		g.refuse(r, time.Duration((r.Units-a.ceiling)*a.spread/a.plan.CeilingRate*float64(time.Second)))
		return
	}
	g.fair.noteAsked(r)
	// Guards the fleet against work for clients who will have left, whatever slows answers or hurries them.
	if (r.Deadline-g.now).Seconds() < hopeless*r.class.usual || !r.paid && g.shedNow(r) {
		g.refuse(r, g.relief(r))
		return
	}
	hold := false
	if r.plan.Rate > 0 && !r.paid {
		r.paid, hold = g.spend(a, r)
		if !r.paid && !hold {
			g.refuse(r, g.roomAgain(a, r))
			return
		}
	}
	if r.plan.Open > 0 && !r.slot && !hold {
		r.slot, hold = g.takeSlot(a, max(r.class.usual, period.Seconds()))
		if !r.slot && !hold { // a slot comes back when one of the attempts out ends
			g.refuse(r, time.Duration(r.class.usual*float64(time.Second)))
			return
		}
	}
	if hold {
		a.queue = append(a.queue, r)
		g.syncOpen(a, !a.unitCall)
		// Guards against a held request that no answer reaches in time, whatever became of the call.
		if r.Deadline < g.now+2*g.set.CounterTimeout || !a.unitCall && !a.openCall {
			a.queue = a.queue[:len(a.queue)-1]
			g.refuse(r, g.relief(r))
		}
		return
	}
	g.sendOrWait(r)
}

// spend pays a request's units: from the lease, then from a renewal, then from what was borrowed. It says
// whether they are paid, and if not whether to hold.
func (g *Gate) spend(a *account, r *request) (paid, hold bool) {
	if a.thin() {
		return g.spendThin(a, r)
	}
	g.refill(a)
	if w := window.At(a.id, a.length(), g.now); w.Index > a.window+1 && !a.fresh && !a.blind { // as if unseen
		a.fresh, a.store = true, min(a.store, a.plan.Burst/a.spread)
	}
	a.blind = a.blind || g.down()        // don't refuse for want of a renewal that can't be asked for
	if a.lease < r.Units && a.lent > 0 { // a lender whose demand rises takes back at once
		a.lease, a.lent = a.lease+a.lent, 0
	}
	have, seen := a.store+a.lease, !a.fresh && !a.blind
	ask := !g.down() && (seen || have < r.Units)
	switch {
	case a.lease >= r.Units:
		a.lease -= r.Units
		r.inside = true
		return true, false
	case ask && a.unitCall:
		return false, true
	case seen && have < r.Units: // known to be spent
	case ask && g.rng.Float64() > math.Pow(grantAmple*a.grant, 2): // enough others ask
	case ask && g.renew(a, r.Units):
		return false, true
	case have >= r.Units: // a first lease, or what was seen of late when no call is made for it
		a.store -= r.Units
		a.unposted = min(a.unposted+r.Units, max(r.Units, a.plan.Burst/a.spread)) // the rest is refilled
		r.inside = true
		g.renew(a, 0)
		return true, false
	}
	if a.borrowed >= r.Units && soft(a.plan) {
		a.borrowed -= r.Units
		return true, false
	}
	return false, false
}

// thin says that a share of a customer's store holds no request, so that none can lease for it.
func (a *account) thin() bool { return a.plan.Burst < a.spread }

// spendThin pays a thin customer's units by a call a request, to a count of half a window. What is let in
// beyond the half's refill is drawn from the next one's: a store full at first is not there twice. What isn't
// granted stays counted: nothing comes in behind it. An idle fleet carries soft plans without calls.
func (g *Gate) spendThin(a *account, r *request) (paid, hold bool) {
	half := window.At(a.id, a.length()/2, g.now)
	switch {
	case a.lease >= r.Units:
		a.lease -= r.Units
		r.inside = true
		return true, false
	case a.spent == half.Index:
		return false, false
	case soft(a.plan) && g.rng.Float64() < g.idle():
		return true, false
	case a.unitCall && !r.asked:
		return false, true
	}
	name := fmt.Sprintf("t%x.%x", a.id, half.Index)
	if p := g.callChance(a.plan); !r.asked && g.calls[name] == nil && g.rng.Float64() < p {
		r.asked, a.unitCall = true, true
		amount := r.Units / p // stands for those that make no call, too
		g.calls[name] = &call{account: a, amount: amount, want: r.Units, again: r.Again, window: half.Index,
			sent: g.now}
		g.act.Add(name, amount, half.Keep())
		return false, true
	}
	room := 1 - g.refused[kind{a.plan, r.Again}]
	if a.spent > 0 {
		room = a.grant // what is known of itself tells more
	}
	return g.byChance(a, r.Units, a.plan.Rate/a.spread, room), false
}

// callChance is the part of the requests of thin customers for which a call is made: all, unless the counter
// shows strain, and then rather those that would cost most beyond the quota.
func (g *Gate) callChance(p *Plan) float64 {
	if !g.set.Counter {
		return 0
	}
	return math.Pow(g.ease, g.stake/max(p.Price*p.ExcessCost, 1e-3))
}

// roomAgain is when a customer's store will hold a request's units: of a thin one, when the next half begins.
func (g *Gate) roomAgain(a *account, r *request) time.Duration {
	if half := window.At(a.id, a.length()/2, g.now); a.thin() && a.spent == half.Index {
		return half.Left
	}
	return time.Duration((r.Units - a.store - a.lease) / a.plan.Rate * float64(time.Second))
}

// countedThin lets in what ranks within the store, as one that saw each request would count it.
func (g *Gate) countedThin(a *account, c *call, code Code, total float64) {
	a.unitCall = false
	if code != OK {
		return
	}
	rank := total - c.amount + c.want
	if rank > a.plan.Burst {
		a.spent = c.window
	}
	k, granted := kind{a.plan, c.again}, when(rank <= a.plan.Burst, 1)
	g.refused[k] += kindW * (1 - granted - g.refused[k])
	g.learn(a, granted)
	if granted == 0 {
		return
	}
	a.lease += c.want
	name := fmt.Sprintf("t%x.%x", a.id, c.window+1)
	if rank > a.plan.Burst/2 && g.calls[name] == nil {
		g.calls[name] = &call{account: a, carry: true, amount: c.amount, window: c.window + 1, sent: g.now}
		g.act.Add(name, c.amount, window.At(a.id, a.length(), g.now).Keep())
	}
}

// byChance guards customers spread over so many gateways that a share of the quota holds no request: what
// can't be asked for is let in by its chance of room, counted from where that pays (steeply if idle),
// and no more than an even share (so many a second) in the long run, however hard clients hammer. Fractions
// are rounded by chance, so that the gateways' sum is right on average.
func (g *Gate) byChance(a *account, need, share, room float64) bool {
	a.luck = min(need, a.luck+share*(g.now-a.luckAt).Seconds())
	a.luckAt = g.now
	cost := max(0, a.plan.ExcessCost-a.plan.BeyondEarns)
	even := cost / (1 + cost) // the chance of room from which letting in pays
	ramp := 1 + when(!g.down(), (eager-1)*g.idle())
	if need <= 0 || g.rng.Float64()*need*(1-even) >= ramp*(room-even)*a.luck {
		return need <= 0
	}
	a.luck -= need
	return true
}

// learn notes which part of what was asked for a customer its totals allowed.
func (g *Gate) learn(a *account, part float64) {
	g.denied[a.plan] += slowW * (1 - part - g.denied[a.plan])
	a.grant += grantW * (part - a.grant)
}

// refill brings the known store up to now. This gateway's lease is part of what the store can hold. Blind,
// only a share of the quota is counted on to come in; what was known to be there stays.
func (g *Gate) refill(a *account) {
	dt := (g.now - a.storeAt).Seconds()
	a.storeAt = g.now
	share := 1.0
	if a.blind {
		share = 1 / a.spread
	}
	top := a.plan.Burst*share - max(0, a.lease+a.lent)
	grown := min(max(top, 0), a.store+a.plan.Rate*share*dt)
	if !a.blind || grown > a.store {
		a.store = grown
	}
}

// renew calls the counter for a lease of the wanted units and some of the demand ahead, posting what was
// spent without it. It reports whether a call is out.
func (g *Gate) renew(a *account, want float64) bool {
	if a.unitCall || !g.mayCall() {
		return a.unitCall
	}
	for _, r := range a.queue {
		want += when(!r.paid, r.Units)
	}
	if want > 0 {
		want = math.Ceil(max(0, want-a.lease))
	}
	if !a.blind && !a.fresh {
		free := (a.store - want) * aheadPart / a.spread
		want += math.Floor(max(0, min(a.rate*ahead, free)))
	}
	w := window.At(a.id, a.length(), g.now)
	if w.Index != a.window { // what was not granted in a window that is over can't be given back
		a.unposted = max(0, a.unposted)
	}
	amount := a.unposted + want
	if amount == 0 {
		return false
	}
	name := fmt.Sprintf("u%x.%x", a.id, w.Index)
	g.calls[name] = &call{account: a, amount: amount, used: a.unposted, want: want, window: w.Index, sent: g.now}
	a.unposted, a.unitCall = 0, true
	g.act.Add(name, amount, w.Keep())
	return true
}

// down says that the counter is not to be counted on.
func (g *Gate) down() bool { return !g.set.Counter || g.failed >= downAfter }

// mayCall draws whether a call is made: all are, unless the counter shows strain.
func (g *Gate) mayCall() bool { return g.set.Counter && (g.ease == 1 || g.rng.Float64() < g.ease) }

// roomFor is the chance that a customer is under its open cap, by Erlang's formula B, from how often it came
// here before. Guards calm customers against being refused for heavy ones, and the counter against asking
// what is all but known. May mislead where a customer's traffic comes through few of its gateways.
func (g *Gate) roomFor(a *account, usual float64) float64 {
	load, blocked := a.often/idleLeast.Seconds()*a.spread*usual, 1.0
	for k := 1; k <= a.plan.Open && blocked > 1e-3; k++ { // a huge cap is no long loop
		blocked = load * blocked / (float64(k) + load*blocked)
	}
	return 1 - blocked
}

// countedUnits works out from a total what other gateways have taken since the last one, and so what the
// customer's store still holds for this lease. A newcomer knows only the window, which grants its burst.
func (g *Gate) countedUnits(a *account, c *call, code Code, total float64) {
	a.unitCall = false
	g.refill(a)
	if code != OK {
		a.blind = true
		if code.NeverRan() {
			a.unposted += c.used
		} else if !a.fresh && c.window <= a.window+1 { // most likely added, by this gateway, and not to be leased
			a.total, a.window = when(c.window == a.window, a.total)+c.amount, c.window
			a.unposted -= c.want
		}
		return
	}
	others := total - c.amount
	switch {
	case a.fresh || c.window > a.window+1: // only the window is known: its total stays under the burst
		a.store = a.plan.Burst - c.used
	case c.window == a.window:
		others -= a.total
	}
	if others < -2*g.set.MaxUnits { // more than peers give back of what they were not granted:
		others = 0 // counts were lost
	}
	a.total, a.window, a.fresh, a.blind = total, c.window, false, false
	a.store = min(a.plan.Burst, max(a.store-others, -a.plan.Burst))
	granted := max(0, min(c.want, math.Floor(a.store)))
	a.store -= granted
	a.lease += granted
	a.unposted -= c.want - granted
	if len(a.queue) > 0 && c.want > 0 {
		g.learn(a, granted/c.want)
	}
}

// soft says whether use beyond the quota earns more than it costs, with no ceiling or open cap in the way.
func soft(p *Plan) bool {
	return p.BeyondEarns > p.ExcessCost && p.CeilingRate == 0 && p.Open == 0
}

// steps runs allocation, redistribution and re-compensation over the customers active in the last period
// (paper, III-C).
func (g *Gate) steps(dt float64) {
	g.takeBack()
	var act []*account
	for _, a := range g.list {
		a.rate += smooth * (a.asked/dt - a.rate)
		a.demand, a.asked = a.rate*dt, 0
		a.often *= math.Exp(-dt / idleLeast.Seconds())
		if a.rate > idleRate*a.plan.Rate && a.plan.Rate > 0 {
			act = append(act, a)
		}
	}
	rates := total(act, func(a *account) float64 { return a.plan.Rate })
	for _, a := range act { // first step: alpha is what the customer itself has leased
		last := a.alpha
		a.alpha = math.Floor(max(0, a.lease))
		a.own, a.p, a.u = a.alpha, a.plan.Rate/rates, 1
		if last > 0 {
			a.u = a.demand / last
		}
		a.df = a.u*a.p + when(a.u > 1, a.u)
	}
	g.redistribute(act, g.idle())
	for _, a := range act {
		if extra := a.alpha - a.own; extra > 0 {
			a.borrowed = extra
		} else {
			a.lent, a.lease = -extra, a.lease+extra
		}
	}
}

// redistribute is the second step, of the surplus that the fleet can carry, and the third: borrowers return
// to lenders, where both kept their record's sign.
func (g *Gate) redistribute(act []*account, spare float64) {
	borrower := func(a *account) float64 { return when(soft(a.plan), a.df) }
	if total(act, borrower) == 0 {
		return
	}
	surplus := 0.0
	for _, a := range act {
		a.before = a.record
		lend := math.Floor(max(0, a.alpha-a.demand) * spare)
		move(a, -lend)
		surplus += lend
	}
	split(surplus, act, borrower, move)
	lender := func(a *account) float64 { return when(a.before > 0 && a.record > 0, a.df) }
	coefficient := total(act, func(a *account) float64 {
		return when(lender(a) > 0, a.p*(max(1, a.u)+max(0, 1-a.demand/max(a.alpha, 1e-9)))/2)
	})
	returned := 0.0
	for _, a := range act {
		if coefficient > 0 && a.before < 0 && a.record < 0 {
			back := min(-a.before, math.Floor(coefficient*a.alpha), a.alpha)
			move(a, -back)
			returned += back
		}
	}
	split(returned, act, lender, move)
}

// move gives a customer units of others for the period, or takes them; the record nets what was lent minus
// what was borrowed.
func move(a *account, units float64) {
	a.alpha += units
	a.record -= units
}

// takeBack ends a period: lent units return to their lease, since what a borrower spends is never drawn
// from the lender's store, and the records forget what was borrowed and not spent.
func (g *Gate) takeBack() {
	unspent := total(g.list, func(a *account) float64 { return a.borrowed })
	split(unspent, g.list, func(a *account) float64 { return a.lent },
		func(a *account, part float64) { a.record -= part })
	for _, a := range g.list {
		a.record += a.borrowed
		a.lease += a.lent
		a.borrowed, a.lent = 0, 0
	}
}

// split hands whole units out by weight. A customer's remainder carries over to the next split; what
// rounding leaves over or short is mended largest remainder first.
func split(units float64, act []*account, weight func(*account) float64, give func(*account, float64)) {
	all := total(act, weight)
	if all == 0 || units <= 0 {
		return
	}
	left := units
	for _, a := range act {
		a.part = 0
		if w := weight(a); w > 0 {
			raw := units*w/all + a.rest
			a.part = math.Floor(max(0, raw))
			a.rest = raw - a.part
			left -= a.part
		}
	}
	for math.Abs(left) >= 0.5 {
		step := math.Copysign(1, left)
		var best *account
		for _, a := range act {
			if weight(a) > 0 && a.part+step >= 0 && (best == nil || a.rest > best.rest) {
				best = a
			}
		}
		best.part += step
		best.rest -= step
		left -= step
	}
	for _, a := range act {
		if a.part > 0 {
			give(a, a.part)
		}
	}
}

// underCeiling keeps the fifth rule alone. A gateway's part fills at ceiling rate / spread, holds at most
// ceiling burst / spread, and starts at slack / (2 spread). In any time t a gateway's lives together send at
// most burst/spread + rate/spread*t + slack/(2 spread) for each start within it: a new life has no more than
// its start. Over the spread gateways that is burst + rate*t + slack, with up to two starts of each in that
// time, which is what the ceiling's store allows. No count enters, so none can lie.
func (g *Gate) underCeiling(a *account, units float64) bool {
	p := a.plan
	if p.CeilingRate == 0 {
		return true
	}
	dt := (g.now - a.ceilingAt).Seconds()
	a.ceilingAt = g.now
	a.ceiling = min(p.CeilingBurst/a.spread, a.ceiling+p.CeilingRate/a.spread*dt)
	return a.ceiling >= units
}

// takeSlot takes a granted slot, or says to hold for one; else an even share goes, below one by chance.
func (g *Gate) takeSlot(a *account, usual float64) (taken, hold bool) {
	blind, share, room := g.down() || a.blind, a.plan.Open/int(a.spread), g.roomFor(a, usual)
	switch {
	case a.out < a.held || blind && a.out < share:
	case !a.openCall && !blind && a.posted > a.out: // at its cap, and slots are being given back
		return false, false
	case a.openCall || g.set.Counter && g.rng.Float64() < math.Pow(g.ease, 1/max(0.1, 4*room*(1-room))):
		return false, true
	case !blind && a.out < share:
	case a.plan.Open >= int(a.spread) || !g.byChance(a, 1, float64(a.plan.Open)/usual/a.spread, room):
		return false, false
	}
	a.out++
	return true, false
}

// syncOpen brings the count of attempts out to what this gateway has out and waiting.
func (g *Gate) syncOpen(a *account, drawn bool) {
	if a.plan.Open == 0 || a.openCall || !drawn && !g.mayCall() {
		return
	}
	epoch := int64(g.now / openEpoch)
	if epoch != a.epoch {
		a.epoch, a.posted = epoch, 0
	}
	want := a.out
	for _, r := range a.queue {
		if !r.slot {
			want++
		}
	}
	if want == a.posted || want > a.posted && !drawn && len(a.queue) == 0 { // chance let the rest in
		return
	}
	name := fmt.Sprintf("o%x.%x", a.id, epoch)
	a.openCall = true
	g.calls[name] = &call{account: a, open: true, amount: float64(want - a.posted), sent: g.now}
	g.act.Add(name, float64(want-a.posted), openEpoch+5*time.Second)
}

func (g *Gate) countedOpen(a *account, c *call, code Code, total float64) {
	a.openCall, a.blind, a.held = false, code != OK, a.out
	if !code.NeverRan() { // most likely added
		a.posted += int(c.amount)
	}
	if code == OK {
		a.held = max(a.out, a.posted-max(0, int(total)-a.plan.Open))
	}
}
