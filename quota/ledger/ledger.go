// Package ledger keeps what an ingress knows of shared counts while their counter is lost, slow, or replaced
// by an empty one. It stands between a gate, which asks for totals, and the counter: it says what to add,
// what to tell the gate, and how to put a count right. It knows neither clock nor wire.
// docs/design/quota-state.md tells why it does what it does, and how large the error may be.
package ledger

import (
	"errors"
	"math"
	"time"
)

// Plan is a customer's quota.
type Plan struct {
	Rate   float64 // units a second
	Burst  float64 // units at once
	Spread int     // ingresses that its requests come by
}

// Options are the same at all ingresses that share a counter.
type Options struct {
	Smooth time.Duration // over which use is smoothed
	Floor  float64       // of an even share, for an ingress that had no part in the use
	Kept   float64       // part of the store that is kept back in a silence
	Lost   int           // calls in a row without an answer, over all names, that tell of a lost counter
	Trial  time.Duration // between trials of a name that is not answered
	Back   float64       // units that a total may say less than the one before: gates take more for a fault
}

// DefaultOptions hold the sum of four ingresses' shares under 1.12.
func DefaultOptions() Options {
	return Options{Smooth: 5 * time.Second, Floor: 0.15, Kept: 0.1, Lost: 3, Trial: 250 * time.Millisecond,
		Back: 2}
}

// Validate names the first option that makes no sense.
func (o Options) Validate() error {
	switch {
	case o.Smooth <= 0 || o.Trial <= 0:
		return errTimes
	case !(o.Floor >= 0 && o.Floor <= 1) || !(o.Kept >= 0 && o.Kept < 1):
		return errParts
	case o.Lost < 1:
		return errLost
	}
	return nil
}

// What may be wrong with options.
var (
	errTimes = errors.New("ledger: smooth and trial must be above 0")
	errParts = errors.New("ledger: floor is from 0 to 1, kept from 0 to below 1")
	errLost  = errors.New("ledger: lost must be 1 or more")
)

// Key names a count: a customer's units in one window.
type Key struct {
	Customer uint64
	Window   int64
}

// Ledger is the state of one ingress. It is not safe for concurrent use.
type Ledger struct {
	set       Options
	customers map[uint64]*customer
	unheard   int           // calls in a row without an answer
	tried     time.Duration // when the last call to a lost counter was made
}

// customer is what is known of one.
type customer struct {
	Plan
	at       time.Duration // when what follows was true
	left     float64       // of the store, as far as totals tell
	own, all float64       // smoothed use, units a second
	owed     float64       // told to the gate as added, and not to the counter
	credit   float64       // told to the gate as used by others in a silence, and not confirmed since

	key    Key     // of the count at hand
	mine   float64 // own units in it that the counter has confirmed
	maybe  float64 // own units in it of lost calls
	total  float64 // that the counter told last
	told   float64 // that the gate was told last
	silent bool    // its last call had no answer
	tried  time.Duration
}

// New returns an empty ledger. The options must be valid.
func New(o Options) *Ledger { return &Ledger{set: o, customers: map[uint64]*customer{}} }

// Know tells whose counts are to come. What is known of a customer stays.
func (l *Ledger) Know(now time.Duration, id uint64, p Plan) {
	if c := l.customers[id]; c != nil {
		c.Plan = p
		return
	}
	p.Spread = max(1, p.Spread)
	l.customers[id] = &customer{Plan: p, at: now, left: p.Burst, tried: -1 << 62}
}

// Forget drops customers that nothing was heard of since a moment and that owe nothing.
func (l *Ledger) Forget(before time.Duration) {
	for id, c := range l.customers {
		if c.at < before && c.owed == 0 {
			delete(l.customers, id)
		}
	}
}

// Customers tells how many are known.
func (l *Ledger) Customers() int { return len(l.customers) }

// Owed tells what a customer was let use that the counter was not told of.
func (l *Ledger) Owed(id uint64) float64 {
	if c := l.customers[id]; c != nil {
		return c.owed
	}
	return 0
}

// Step is what to do about a call of the gate.
type Step struct {
	Call  bool    // the counter is to be asked
	Add   float64 // that it is to add
	Tell  bool    // the gate is to be answered at once, and what the call brings is for the ledger alone
	Total float64 // with this
}

// Add takes a call of the gate.
func (l *Ledger) Add(now time.Duration, k Key, amount float64) Step {
	c := l.customers[k.Customer]
	if c == nil {
		return Step{Call: true, Add: amount}
	}
	c.turn(k)
	if !c.silent && l.unheard < l.set.Lost {
		return Step{Call: true, Add: amount + c.owed}
	}
	s := Step{Tell: true, Total: l.stand(now, c, amount)}
	c.owed += amount
	// Trials add nothing, so that a lost one changes nothing. While the counter is lost as a whole, one
	// customer's trial does for all.
	lost := l.unheard >= l.set.Lost
	if now-c.tried >= l.set.Trial && (!lost || now-l.tried >= l.set.Trial) {
		c.tried, l.tried = now, now
		s.Call = true
	}
	return s
}

// turn begins a new count if the window is another.
func (c *customer) turn(k Key) {
	if c.key == k {
		return
	}
	if k.Window > c.key.Window+1 { // a whole window has refilled the store
		c.credit = 0
	}
	c.key, c.mine, c.maybe, c.total, c.told = k, 0, 0, 0, 0
}

// stand works out a total in the counter's place, in which the others have used all but this ingress's share
// of what has come in since the last one, and of what was left at the beginning of the silence.
func (l *Ledger) stand(now time.Duration, c *customer, amount float64) float64 {
	dt := max(0, now-c.at).Seconds()
	share := l.share(now, c)
	full := min(c.Burst, c.left+c.Rate*dt) // as the gate refills its store
	others := (1 - share) * (full - c.left)
	if !c.silent { // from here on it is; what was left is divided once
		c.silent = true
		others = (1 - share*(1-l.set.Kept)) * max(0, full)
	}
	c.use(now, amount, c.all*dt, l.set.Smooth) // the use of all goes on as it was
	c.left = full - others - amount
	c.credit += others
	c.told += others + amount
	return c.told
}

// share is the part of a customer's use that is this ingress's own.
func (l *Ledger) share(now time.Duration, c *customer) float64 {
	even := 1 / float64(c.Spread)
	if c.all <= 1e-9 {
		return even // unseen: all may be seeing it for the first time
	}
	return min(1, max(l.set.Floor*even, c.own/max(c.all, c.own)))
}

// use smooths what was used up to now, by this ingress and by all.
func (c *customer) use(now time.Duration, own, all float64, smooth time.Duration) {
	dt := max(0, now-c.at).Seconds()
	c.at = now
	keep := math.Exp(-dt / smooth.Seconds())
	c.own = c.own*keep + own/smooth.Seconds() // also below 0: what a gate was not granted it gives back
	c.all = c.all*keep + all/smooth.Seconds()
}

// Total takes the counter's answer to a call that was to add so much. told is the total for the gate, whose
// own amount was in the call; 0 of it after a trial, of which the gate hears nothing. repair is what is to be
// added to the count again, since the counter has lost it; 0: nothing.
func (l *Ledger) Total(now time.Duration, k Key, amount, add, total float64) (told, repair float64) {
	l.unheard = 0
	c := l.customers[k.Customer]
	if c == nil || c.key != k {
		return total, 0
	}
	// What this ingress alone has had confirmed is there, unless the counter has lost it.
	if total < c.mine+add-slack(c) {
		repair = c.mine
		total += repair
		c.total = c.mine
	}
	others := max(0, total-c.total-add-c.maybe) // lost calls have most likely been added
	dt := max(0, now-c.at).Seconds()
	c.silent, c.maybe = false, 0
	c.owed -= add - amount
	c.use(now, amount, others+amount, l.set.Smooth)
	c.mine += add
	c.total = total
	tell := max(others-c.credit, -l.set.Back)
	c.credit -= others - tell
	c.left = min(c.Burst, c.left+c.Rate*dt) - tell - amount
	c.told += tell + amount
	return c.told, repair
}

// slack is how far a total may be below what was confirmed for no worse reason than rounding: totals are
// exact to seven digits.
func slack(c *customer) float64 { return 1e-6 * (1 + c.mine) }

// Lost takes the end of a call that had no answer: it may have been added. The gate is told a total that has
// it, and is answered here from then on.
func (l *Ledger) Lost(now time.Duration, k Key, amount, add float64) (tell float64) {
	l.unheard++
	c := l.customers[k.Customer]
	if c == nil || c.key != k {
		return amount
	}
	c.owed -= add - amount // as if added: not to be asked for twice
	c.maybe += add
	c.tried = now
	return l.stand(now, c, amount)
}

// Turned takes the end of a call that the counter turned away: it is there, and has added nothing. The gate
// is to hear so, and makes fewer calls.
func (l *Ledger) Turned() { l.unheard = 0 }
