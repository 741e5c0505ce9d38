// Package ledger keeps one ingress's state of shared counts while their counter is unreachable, slow, or
// replaced by an empty one. It sits between a gate, which requests totals, and the counter: it decides what
// to add to a count, which total to report to the gate, and how to repair a count. It depends on neither a
// clock nor a protocol. The reasons for its rules and the limits of its error are in
// docs/design/quota-state.md.
package ledger

import (
	"errors"
	"math"
	"time"
)

// Plan is a customer's quota, a token bucket.
type Plan struct {
	Rate   float64 // units per second
	Burst  float64 // units; size of the bucket
	Spread int     // number of ingresses that receive the customer's requests
}

// Options must be the same at all ingresses that share a counter.
type Options struct {
	SmoothingTime time.Duration // time constant of the average use
	MinShare      float64       // share of an ingress without use of its own, as a fraction of an even share
	Reserve       float64       // fraction of the bucket that is not used during an outage of the counter
	LostAfter     int           // unanswered calls in a row, over all names, after which the counter is lost
	ProbeInterval time.Duration // between probes of a name that is not answered
	MaxDecrease   float64       // units by which a reported total may decrease; gates reject a larger decrease
}

// DefaultOptions returns options with which the shares of four ingresses add up to less than 1.12.
func DefaultOptions() Options {
	return Options{SmoothingTime: 5 * time.Second, MinShare: 0.15, Reserve: 0.1, LostAfter: 3,
		ProbeInterval: 250 * time.Millisecond, MaxDecrease: 2}
}

// Validate returns an error that names the first invalid options.
func (o Options) Validate() error {
	switch {
	case o.SmoothingTime <= 0 || o.ProbeInterval <= 0:
		return errTimes
	case !(o.MinShare >= 0 && o.MinShare <= 1) || !(o.Reserve >= 0 && o.Reserve < 1):
		return errFractions
	case o.LostAfter < 1:
		return errLostAfter
	}
	return nil
}

// Errors of Validate.
var (
	errTimes     = errors.New("ledger: SmoothingTime and ProbeInterval must be above 0")
	errFractions = errors.New("ledger: MinShare must be from 0 to 1, and Reserve from 0 to below 1")
	errLostAfter = errors.New("ledger: LostAfter must be 1 or more")
)

// Key identifies a count: a customer's units in one time window.
type Key struct {
	Customer uint64
	Window   int64
}

// Ledger is the state of one ingress. It is not safe for concurrent use.
type Ledger struct {
	options    Options
	customers  map[uint64]*customer
	unanswered int           // calls in a row without an answer
	lastProbe  time.Duration // time of the last probe of any name
}

// customer is the state of one customer.
type customer struct {
	Plan
	updated           time.Duration // time to which the following fields apply
	remaining         float64       // units in the bucket, according to the totals
	ownRate, allRate  float64       // average use by this ingress and by all, in units per second
	unposted          float64       // units reported to the gate as added, but not sent to the counter
	assumedFromOthers float64       // units reported to the gate as used by others in an outage, unconfirmed

	key           Key     // the current count
	confirmed     float64 // own units in it that the counter has confirmed
	unconfirmed   float64 // own units in it of unanswered calls
	counterTotal  float64 // last total received from the counter
	reportedTotal float64 // last total reported to the gate
	outage        bool    // the last call had no answer
	lastProbe     time.Duration
}

// New returns an empty ledger. The options must be valid.
func New(o Options) *Ledger { return &Ledger{options: o, customers: map[uint64]*customer{}} }

// SetPlan adds a customer or updates the plan of a known one, whose other state does not change. Calls for
// unknown customers are passed to the counter unchanged.
func (l *Ledger) SetPlan(now time.Duration, id uint64, p Plan) {
	if c := l.customers[id]; c != nil {
		c.Plan = p
		return
	}
	p.Spread = max(1, p.Spread)
	l.customers[id] = &customer{Plan: p, updated: now, remaining: p.Burst, lastProbe: -1 << 62}
}

// DeleteIdle removes customers that were not updated since the given time and have no unposted units.
func (l *Ledger) DeleteIdle(before time.Duration) {
	for id, c := range l.customers {
		if c.updated < before && c.unposted == 0 {
			delete(l.customers, id)
		}
	}
}

// Customers returns the number of customers.
func (l *Ledger) Customers() int { return len(l.customers) }

// Unposted returns the units that a customer was allowed to use and that were not sent to the counter.
func (l *Ledger) Unposted(id uint64) float64 {
	if c := l.customers[id]; c != nil {
		return c.unposted
	}
	return 0
}

// Step is what the caller must do for a call of the gate.
type Step struct {
	Call      bool    // call the counter
	Add       float64 // with Call: units to add to the count
	AnswerNow bool    // answer the gate with Total; the answer to a call is then for the ledger only
	Total     float64 // with AnswerNow
}

// Add handles a call of the gate that adds to a count.
func (l *Ledger) Add(now time.Duration, k Key, amount float64) Step {
	c := l.customers[k.Customer]
	if c == nil {
		return Step{Call: true, Add: amount}
	}
	c.setCount(k)
	if !c.outage && l.unanswered < l.options.LostAfter {
		return Step{Call: true, Add: amount + c.unposted}
	}
	s := Step{AnswerNow: true, Total: l.estimateTotal(now, c, amount)}
	c.unposted += amount
	// Probes add nothing, so an unanswered probe has no effect on the count. While the counter is lost for all
	// names, a probe for one customer is enough.
	lost := l.unanswered >= l.options.LostAfter
	if now-c.lastProbe >= l.options.ProbeInterval && (!lost || now-l.lastProbe >= l.options.ProbeInterval) {
		c.lastProbe, l.lastProbe = now, now
		s.Call = true
	}
	return s
}

// setCount makes k the current count, which is empty if k differs from the previous one.
func (c *customer) setCount(k Key) {
	if c.key == k {
		return
	}
	if k.Window > c.key.Window+1 { // the bucket was refilled during a complete window
		c.assumedFromOthers = 0
	}
	c.key, c.confirmed, c.unconfirmed, c.counterTotal, c.reportedTotal = k, 0, 0, 0, 0
}

// estimateTotal returns the total to report to the gate in place of the counter's. It assumes that the other
// ingresses have used everything except this ingress's share of the refill since the last call and, at the
// beginning of an outage, of the units in the bucket.
func (l *Ledger) estimateTotal(now time.Duration, c *customer, amount float64) float64 {
	dt := max(0, now-c.updated).Seconds()
	share := l.share(now, c)
	refilled := min(c.Burst, c.remaining+c.Rate*dt) // as the gate refills its bucket
	others := (1 - share) * (refilled - c.remaining)
	if !c.outage { // an outage begins: divide the units in the bucket once
		c.outage = true
		others = (1 - share*(1-l.options.Reserve)) * max(0, refilled)
	}
	c.updateRates(now, amount, c.allRate*dt, l.options.SmoothingTime) // assumes that the use by all is unchanged
	c.remaining = refilled - others - amount
	c.assumedFromOthers += others
	c.reportedTotal += others + amount
	return c.reportedTotal
}

// share returns this ingress's fraction of a customer's use.
func (l *Ledger) share(now time.Duration, c *customer) float64 {
	even := 1 / float64(c.Spread)
	if c.allRate <= 1e-9 {
		return even // no use yet: all ingresses may be receiving the customer's first requests
	}
	return min(1, max(l.options.MinShare*even, c.ownRate/max(c.allRate, c.ownRate)))
}

// updateRates adds units used by this ingress and by all to the averages.
func (c *customer) updateRates(now time.Duration, own, all float64, smoothing time.Duration) {
	dt := max(0, now-c.updated).Seconds()
	c.updated = now
	decay := math.Exp(-dt / smoothing.Seconds())
	// own is negative if the gate returns units that it did not grant.
	c.ownRate = c.ownRate*decay + own/smoothing.Seconds()
	c.allRate = c.allRate*decay + all/smoothing.Seconds()
}

// Answered handles the counter's answer to a call that added the units add, of which amount were the gate's;
// after a probe both are 0. reported is the total for the gate, to be ignored after a probe. repair is the
// number of units to add to the count again since the counter has lost them, or 0.
func (l *Ledger) Answered(now time.Duration, k Key, amount, add, total float64) (reported, repair float64) {
	l.unanswered = 0
	c := l.customers[k.Customer]
	if c == nil || c.key != k {
		return total, 0
	}
	// The total must include the confirmed units of this ingress, unless the counter has lost them.
	if total < c.confirmed+add-tolerance(c) {
		repair = c.confirmed
		total += repair
		c.counterTotal = c.confirmed
	}
	others := max(0, total-c.counterTotal-add-c.unconfirmed) // unanswered calls were most likely added
	dt := max(0, now-c.updated).Seconds()
	c.outage, c.unconfirmed = false, 0
	c.unposted -= add - amount
	c.updateRates(now, amount, others+amount, l.options.SmoothingTime)
	c.confirmed += add
	c.counterTotal = total
	reportedFromOthers := max(others-c.assumedFromOthers, -l.options.MaxDecrease)
	c.assumedFromOthers -= others - reportedFromOthers
	c.remaining = min(c.Burst, c.remaining+c.Rate*dt) - reportedFromOthers - amount
	c.reportedTotal += reportedFromOthers + amount
	return c.reportedTotal, repair
}

// tolerance is the amount by which a total may be below the confirmed units due to rounding: totals are exact
// to seven digits.
func tolerance(c *customer) float64 { return 1e-6 * (1 + c.confirmed) }

// Unanswered handles a call without an answer, whose units may have been added. It returns the total for the
// gate, which includes the gate's amount. Later calls of the gate for this customer are answered by Add until
// the counter answers a probe.
func (l *Ledger) Unanswered(now time.Duration, k Key, amount, add float64) (reported float64) {
	l.unanswered++
	c := l.customers[k.Customer]
	if c == nil || c.key != k {
		return amount
	}
	c.unposted -= add - amount // regarded as added, so that it is not posted twice
	c.unconfirmed += add
	c.lastProbe = now
	return l.estimateTotal(now, c, amount)
}

// Rejected handles a call that the counter rejected: the counter is reachable and has added nothing. The
// caller must report the rejection to the gate, which then makes fewer calls.
func (l *Ledger) Rejected() { l.unanswered = 0 }
