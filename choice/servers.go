package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunespoke/internal/subset"
)

// Backends takes news from the server list: all of it, or the entries that changed.
func (g *Gate) Backends(now time.Duration, full bool, list []Backend) {
	g.tick(now)
	named := map[uint64]bool{}
	for _, in := range list {
		named[in.ID] = true
		b := g.backends[in.ID]
		if b == nil {
			if in.State != Live {
				continue
			}
			b = &backend{slow: 1, bad: make([]float64, len(g.order)), seen: make([]float64, len(g.order)),
				limit: max(2, g.set.InitialConcurrency/float64(g.set.Gateways))}
			g.backends[in.ID] = b
			g.fleet = append(g.fleet, b)
		}
		if in.Started != b.Started {
			b.slow, b.rest, b.restTo, b.queue, b.budget = 1, 0, 0, 0, 0
			clear(b.bad)
			clear(b.seen)
		}
		b.Backend = in
		b.Weight = cmp.Or(max(0, b.Weight), 1)
	}
	g.fleet = slices.DeleteFunc(g.fleet, func(b *backend) bool {
		if b.State == Live && (!full || named[b.ID]) {
			return false
		}
		delete(g.backends, b.ID)
		return true
	})
	slices.SortFunc(g.fleet, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	g.warm = float64(len(g.fleet)) // until the next period looks
	g.holders = subset.Holders(g.set.Gateways, len(g.fleet), g.set.Number > 0)
	for _, b := range g.fleet {
		b.mine = !b.Far && subset.Holds(b.Key, g.set.Number-1, g.set.Gateways, g.holders)
	}
}

// coldness is the part of its capacity that a backend surely has: 1 when warm.
func (g *Gate) coldness(b *backend) float64 {
	if b.Started <= 0 || g.set.ColdTime <= 0 || g.now >= b.Started+g.set.ColdTime {
		return 1
	}
	age := max(0, g.now-b.Started).Seconds() / g.set.ColdTime.Seconds()
	return g.set.ColdCapacity + (1-g.set.ColdCapacity)*age
}

// pick chooses the allowed backend that is least loaded for its speed. Cold ones are held to their budget,
// and resting ones passed over unless all rest: a busy fleet is no reason to try dead backends.
func (g *Gate) pick(c *class, coldOnly bool, allowed func(*backend) bool) *backend {
	var best *backend
	bestCost := math.Inf(1)
	all := !slices.ContainsFunc(g.fleet, func(b *backend) bool { return allowed(b) && b.restTo <= g.now })
	for _, b := range g.fleet {
		cold := g.coldness(b)
		full := float64(len(b.out)) >= b.limit || cold < 1 && (!b.mine || b.budget < 1) || cold == 1 && coldOnly
		if full || !allowed(b) || b.restTo > g.now && !all {
			continue
		}
		cost := g.cost(b, c) * (1 + 0.01*g.rng.Float64())
		if cold < 1 { // its budget is its share: among many idle warm ones it would never be spent
			cost *= coldFirst
		} else if !b.mine { // kept connections, and answers to tell slow ones by, are few
			cost *= g.set.OutsideSubsetCost
		}
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// cost weighs a backend by what is out to it, its latency against the fleet's (of answers, and of attempts
// still out) and its errors. A fast failer gains nothing from being fast: only answers count as latency.
// Errors are kept by class, for a backend may fail one class and serve the others.
func (g *Gate) cost(b *backend, c *class) float64 {
	slow := b.slow
	if len(b.out) > 0 {
		slow = max(slow, (g.now-b.out[0].sent).Seconds()/b.out[0].request.class.typical()/oldFactor)
	}
	load := 1 + float64(len(b.out)) + b.queue/float64(g.set.Gateways) +
		when(b.Zone != g.set.Zone, remote*g.set.CrossZoneCost)
	ok := max(okLeast, 1-(b.bad[c.index]+c.failing)/(b.seen[c.index]+1))
	return load * slow / math.Pow(ok, errorPower) / b.Weight
}

// observe learns from the end of an attempt.
func (g *Gate) observe(at *attempt, o Outcome) {
	b, c := at.backend, at.request.class
	b.out = slices.DeleteFunc(b.out, func(x *attempt) bool { return x == at })
	g.settle(at)
	if q := g.set.QueueField; q >= 0 && q < len(o.Load) {
		b.queue = max(0, o.Load[q])
	}
	took := (g.now - at.sent).Seconds()
	late := o.Code == TimedOut
	if late && took < lateFactor*c.usual || g.now == g.stalled { // the client was impatient, or we were late
		return
	}
	if o.Code == OK || late {
		c.usual = cmp.Or(c.usual, took)
		b.slow += sampleW * (took/max(c.usual, 1e-6) - b.slow)
		c.usual += slowW * (took - c.usual)
		part := took / c.Aim.Seconds()
		if !late {
			g.part += g.set.LatencyWeight * (part - g.part)
			w := 1 / (1 + g.room())
			switch {
			case part > g.set.SlowAnswerRatio:
				g.level = max(g.set.MinConcurrency, g.level*(1-w*(1-cutback)))
			case part < g.set.FastAnswerRatio && float64(g.outs+1) > g.room()/2:
				g.level += w / g.level
			}
		}
		switch {
		case part > g.set.SlowAnswerRatio:
			b.limit = max(1, b.limit*cutback)
		case part < g.set.FastAnswerRatio && float64(len(b.out)+1) > b.limit/2:
			b.limit += 1 / b.limit
		}
	}
	switch o.Code {
	case OK:
		b.mark(c, 0)
		b.rest = 0
		if g.coldness(b) == 1 {
			g.warmOK++
		}
	case Error, Reset, TimedOut:
		b.mark(c, 1)
	case Busy, Refused:
		b.rest = min(max(2*b.rest, backoffMin), backoffMax)
		b.restTo = g.now + b.rest
	}
}

// room is how many attempts this gateway may have out: its even part of the level, which every answer moves.
// Guards a fleet against being driven over what it can hold, and staying slow, by gateways with next to
// nothing out each, whatever took its capacity or brought the load. It may hurt where idle backends take over
// a quarter of the aim and have many cores: the level stays at its least.
func (g *Gate) room() float64 {
	return max(1, g.level*g.warm/float64(g.set.Gateways))
}

// mark notes how an attempt ended, at the backend and in the class's share over the fleet, which stands for
// what is not known of a backend. Guards against failing fast that draws work: one error tells much where
// many fail. It may shun a good backend that failed once meanwhile.
func (b *backend) mark(c *class, failed float64) {
	b.bad[c.index] += failed - sampleW*b.bad[c.index]
	b.seen[c.index] += 1 - sampleW*b.seen[c.index]
	c.failing += slowW * (failed - c.failing)
}

// settle takes an attempt off the count of what is out. Guards the room against attempts that hang.
func (g *Gate) settle(at *attempt) {
	if !at.settled {
		at.settled = true
		g.outs--
	}
}

// idle is the part of the room that is not needed: all up to half. So much of the surplus is lent. Guards an
// idle fleet against refusals by chance where letting in earns on average.
func (g *Gate) idle() float64 { return min(1, max(0, 2-2*g.busy/g.room())) }
