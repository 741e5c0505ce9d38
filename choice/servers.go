package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunespoke/internal/subset"
)

// Backends applies an update of the server list: the complete list if full is set, else the changed entries.
func (g *Gate) Backends(now time.Duration, full bool, list []Backend) {
	g.advanceClock(now)
	listed := map[uint64]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		b := g.backends[entry.ID]
		if b == nil {
			if entry.State != Live {
				continue
			}
			b = &backend{latencyRatio: 1,
				errors: make([]float64, len(g.classOrder)), attempts: make([]float64, len(g.classOrder)),
				inFlightLimit: max(2, g.settings.InitialConcurrency/float64(g.settings.Gateways))}
			g.backends[entry.ID] = b
			g.backendList = append(g.backendList, b)
		}
		if entry.Started != b.Started {
			b.latencyRatio, b.backoff, b.backoffUntil, b.queueLength, b.coldBudget = 1, 0, 0, 0, 0
			clear(b.errors)
			clear(b.attempts)
		}
		b.Backend = entry
		b.Weight = cmp.Or(max(0, b.Weight), 1)
	}
	g.backendList = slices.DeleteFunc(g.backendList, func(b *backend) bool {
		if b.State == Live && (!full || listed[b.ID]) {
			return false
		}
		delete(g.backends, b.ID)
		return true
	})
	slices.SortFunc(g.backendList, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	g.warmBackends = float64(len(g.backendList)) // until the next call of updateRates
	g.gatewaysPerBackend = subset.Holders(g.settings.Gateways, len(g.backendList), g.settings.Number > 0)
	for _, b := range g.backendList {
		b.inSubset = !b.Far && subset.Holds(b.Key, g.settings.Number-1, g.settings.Gateways, g.gatewaysPerBackend)
	}
}

// capacityRatio returns the fraction of its capacity that a backend has at least: 1 when it is warm.
func (g *Gate) capacityRatio(b *backend) float64 {
	if b.Started <= 0 || g.settings.ColdTime <= 0 || g.now >= b.Started+g.settings.ColdTime {
		return 1
	}
	age := max(0, g.now-b.Started).Seconds() / g.settings.ColdTime.Seconds()
	return g.settings.ColdCapacity + (1-g.settings.ColdCapacity)*age
}

// pickBackend returns the allowed backend of the lowest cost, or nil if none has capacity. With coldOnly set
// it returns only cold backends. Cold backends are limited to their budgets. Backends in backoff are skipped
// unless all are in backoff: that the others are at their limits is no reason to try backends that don't
// answer.
func (g *Gate) pickBackend(c *class, coldOnly bool, allowed func(*backend) bool) *backend {
	var best *backend
	bestCost := math.Inf(1)
	allBackingOff := !slices.ContainsFunc(g.backendList, func(b *backend) bool {
		return allowed(b) && b.backoffUntil <= g.now
	})
	for _, b := range g.backendList {
		capacity := g.capacityRatio(b)
		full := float64(len(b.inFlight)) >= b.inFlightLimit ||
			capacity < 1 && (!b.inSubset || b.coldBudget < 1) || capacity == 1 && coldOnly
		if full || !allowed(b) || b.backoffUntil > g.now && !allBackingOff {
			continue
		}
		cost := g.backendCost(b, c) * (1 + 0.01*g.rng.Float64())
		if capacity < 1 { // its budget limits it: at full cost, many idle warm backends would leave that unspent
			cost *= coldCostFactor
		} else if !b.inSubset { // it has few open connections, and few answers that would show it is slow
			cost *= g.settings.OutsideSubsetCost
		}
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// backendCost returns the cost of sending a request of a class to a backend. It grows with the attempts in
// flight to the backend, its reported queue, its latency relative to that of all backends (of answers and of
// the oldest attempt in flight) and its errors. It is higher in another zone. Failing fast does not lower the
// cost, because the latency of errors is not counted. Errors are counted by class, because a backend may fail
// one class and serve the others.
func (g *Gate) backendCost(b *backend, c *class) float64 {
	latencyRatio := b.latencyRatio
	if len(b.inFlight) > 0 {
		latencyRatio = max(latencyRatio, (g.now-b.inFlight[0].sentAt).Seconds()/
			b.inFlight[0].request.class.typicalLatency()/slowAttemptFactor)
	}
	load := 1 + float64(len(b.inFlight)) + b.queueLength/float64(g.settings.Gateways) +
		valueIf(b.Zone != g.settings.Zone, crossZoneAttempts*g.settings.CrossZoneCost)
	successRatio := max(minSuccessRatio, 1-(b.errors[c.index]+c.errorRatio)/(b.attempts[c.index]+1))
	return load * latencyRatio / math.Pow(successRatio, errorExponent) / b.Weight
}

// observeOutcome updates the latencies, limits, errors and backoff of the attempt's backend, its class and
// the gate from the result of an attempt.
func (g *Gate) observeOutcome(at *attempt, o Outcome) {
	b, c := at.backend, at.request.class
	b.inFlight = slices.DeleteFunc(b.inFlight, func(x *attempt) bool { return x == at })
	g.stopCounting(at)
	if q := g.settings.QueueField; q >= 0 && q < len(o.Load) {
		b.queueLength = max(0, o.Load[q])
	}
	seconds := (g.now - at.sentAt).Seconds()
	timedOut := o.Code == TimedOut
	// Nothing is learned if the client's deadline was short or this gateway was stalled.
	if timedOut && seconds < timeoutBlameFactor*c.latencySeconds || g.now == g.resumedAt {
		return
	}
	if o.Code == OK || timedOut {
		c.latencySeconds = cmp.Or(c.latencySeconds, seconds)
		b.latencyRatio += sampleWeight * (seconds/max(c.latencySeconds, 1e-6) - b.latencyRatio)
		c.latencySeconds += longTermWeight * (seconds - c.latencySeconds)
		ratio := seconds / c.Aim.Seconds()
		if !timedOut {
			g.latencyRatio += g.settings.LatencyWeight * (ratio - g.latencyRatio)
			weight := 1 / (1 + g.inFlightLimit())
			switch {
			case ratio > g.settings.SlowAnswerRatio:
				g.limitPerBackend = max(g.settings.MinConcurrency, g.limitPerBackend*(1-weight*(1-limitDecrease)))
			case ratio < g.settings.FastAnswerRatio && float64(g.inFlight+1) > g.inFlightLimit()/2:
				g.limitPerBackend += weight / g.limitPerBackend
			}
		}
		switch {
		case ratio > g.settings.SlowAnswerRatio:
			b.inFlightLimit = max(1, b.inFlightLimit*limitDecrease)
		case ratio < g.settings.FastAnswerRatio && float64(len(b.inFlight)+1) > b.inFlightLimit/2:
			b.inFlightLimit += 1 / b.inFlightLimit
		}
	}
	switch o.Code {
	case OK:
		b.recordResult(c, 0)
		b.backoff = 0
		if g.capacityRatio(b) == 1 {
			g.warmAnswers++
		}
	case Error, Reset, TimedOut:
		b.recordResult(c, 1)
	case Busy, Refused:
		b.backoff = min(max(2*b.backoff, backoffMin), backoffMax)
		b.backoffUntil = g.now + b.backoff
	}
}

// inFlightLimit returns the maximum number of attempts in flight of this gateway: its even share of the limit
// that every answer raises or lowers. It protects the backends from being overloaded, and staying slow, by
// many gateways with few attempts in flight each, whatever reduced the capacity or raised the load. It is too
// low where idle backends take longer than SlowAnswerRatio (by default a quarter) of the latency target and
// have many cores: the limit then stays at its minimum.
func (g *Gate) inFlightLimit() float64 {
	return max(1, g.limitPerBackend*g.warmBackends/float64(g.settings.Gateways))
}

// recordResult records whether an attempt failed (1) or succeeded (0), for the backend and in the class's
// error ratio over all backends, which is the prior for backends with few attempts. The prior keeps backends
// that fail fast from attracting requests: where many fail, a single error weighs more. A good backend that
// failed once at such a time may be avoided.
func (b *backend) recordResult(c *class, failed float64) {
	b.errors[c.index] += failed - sampleWeight*b.errors[c.index]
	b.attempts[c.index] += 1 - sampleWeight*b.attempts[c.index]
	c.errorRatio += longTermWeight * (failed - c.errorRatio)
}

// stopCounting removes an attempt from the number in flight, if it is still counted. updateRates calls it for
// attempts that hang, which would otherwise use up the limit.
func (g *Gate) stopCounting(at *attempt) {
	if !at.uncounted {
		at.uncounted = true
		g.inFlight--
	}
}

// idleRatio returns how idle the backends are: 1 while at most half of the limit is in flight, falling to 0
// at the limit. This fraction of the unused quotas is lent. It avoids probabilistic refusals by an idle
// system where admission earns more than it costs on average.
func (g *Gate) idleRatio() float64 { return min(1, max(0, 2-2*g.meanInFlight/g.inFlightLimit())) }
