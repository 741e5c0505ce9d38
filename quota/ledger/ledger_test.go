package ledger

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// counter is the one that ingresses share, with its faults.
type counter struct {
	totals   map[Key]float64
	silent   bool // nothing is added, nothing is answered
	swallows bool // it adds, and does not answer
}

// ingress is a gate that spends what totals allow, before a ledger. It works out the store from totals as
// package choice does.
type ingress struct {
	*Ledger
	c     *counter
	plan  Plan
	store float64
	at    time.Duration
	key   Key
	total float64
	back  float64   // not granted, and not given back yet
	used  []float64 // units by the second
}

// ask asks for one unit, and reports whether it was let in.
func (g *ingress) ask(now time.Duration) bool {
	g.store = min(g.plan.Burst, g.store+g.plan.Rate*(now-g.at).Seconds())
	g.at = now
	window := int64(now.Seconds() / (g.plan.Burst / g.plan.Rate))
	if k := (Key{1, window}); k != g.key {
		g.key, g.total, g.back = k, 0, 0
	}
	amount := 1 + g.back
	s := g.Add(now, g.key, amount)
	total, told := s.Total, s.Tell
	if s.Call {
		switch {
		case g.c.silent || g.c.swallows:
			if g.c.swallows {
				g.c.totals[g.key] += s.Add
			}
			if told {
				g.unheard++
			} else {
				total = g.Lost(now, g.key, amount, s.Add)
			}
		case told: // a trial
			_, repair := g.Total(now, g.key, 0, 0, g.c.totals[g.key])
			g.c.totals[g.key] += repair
		default:
			g.c.totals[g.key] += s.Add
			var repair float64
			total, repair = g.Total(now, g.key, amount, s.Add, g.c.totals[g.key])
			g.c.totals[g.key] += repair
		}
	}
	others := total - amount - g.total
	if others < -2 {
		others = 0
	}
	g.total, g.back = total, 0
	g.store = min(g.plan.Burst, max(g.store-others, -g.plan.Burst))
	if g.store < 1 { // not granted: given back by the next call
		g.back = -1
		return false
	}
	g.store--
	for len(g.used) <= int(now.Seconds()) {
		g.used = append(g.used, 0)
	}
	g.used[int(now.Seconds())]++
	return true
}

// play has four ingresses asked at rates of their own for two minutes, with a fault in between, and returns
// the most that was used in any minute, as a part of the quota, and the part of what was asked that was
// refused while the fault lasted.
func play(t *testing.T, seed uint64, demand func(i int, now time.Duration) float64,
	fault func(c *counter, now time.Duration)) (most, refused float64) {
	t.Helper()
	plan := Plan{Rate: 20, Burst: 40, Spread: 4}
	c := &counter{totals: map[Key]float64{}}
	rng := rand.New(rand.NewPCG(seed, 1))
	var all [4]*ingress
	for i := range all {
		all[i] = &ingress{Ledger: New(DefaultOptions()), c: c, plan: plan, store: plan.Burst, key: Key{1, -1}}
		all[i].Know(0, 1, plan)
	}
	asked, out := 0, 0
	const step = 5 * time.Millisecond
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		fault(c, now)
		for i, g := range all {
			if rng.Float64() < demand(i, now)*step.Seconds() {
				ok := g.ask(now)
				if now > 60*time.Second && now < 90*time.Second {
					if asked++; !ok {
						out++
					}
				}
			}
		}
	}
	for from := 0; from+60 <= 120; from++ {
		sum := 0.0
		for _, g := range all {
			for s := from; s < from+60 && s < len(g.used); s++ {
				sum += g.used[s]
			}
		}
		most = max(most, sum/(plan.Rate*60+plan.Burst))
	}
	return most, float64(out) / math.Max(1, float64(asked))
}

func silence(c *counter, now time.Duration) { c.silent = now > 60*time.Second && now < 90*time.Second }

// Whatever befalls the counter, no customer gets over a fifth more than its quota in any minute, however its
// demand is spread over the ingresses.
func TestQuotaHoldsInTrouble(t *testing.T) {
	spreads := map[string]func(i int, now time.Duration) float64{
		"even":    func(int, time.Duration) float64 { return 15 },
		"one":     func(i int, _ time.Duration) float64 { return []float64{60, 0, 0, 0}[i] },
		"uneven":  func(i int, _ time.Duration) float64 { return []float64{30, 15, 10, 5}[i] },
		"roaming": func(i int, now time.Duration) float64 { return 60 * on(i == int(now.Seconds()/12)%4) },
		"moved": func(i int, now time.Duration) float64 {
			return 30 * on((i == 0) == (now < 70*time.Second))
		},
	}
	faults := map[string]func(c *counter, now time.Duration){
		"none":    func(*counter, time.Duration) {},
		"silence": silence,
		"replaced twice": func(c *counter, now time.Duration) {
			if s := now.Seconds(); s == 61 || s == 61.5 {
				clear(c.totals)
			}
		},
		"silent and empty": func(c *counter, now time.Duration) {
			silence(c, now)
			if c.silent {
				clear(c.totals)
			}
		},
		"flapping": func(c *counter, now time.Duration) {
			c.silent = now > 60*time.Second && int(now.Seconds())%2 == 0
		},
		"added, unsaid": func(c *counter, now time.Duration) {
			c.swallows = now > 60*time.Second && now < 61*time.Second
		},
	}
	for spread, demand := range spreads {
		for name, fault := range faults {
			for seed := range uint64(3) {
				most, refused := play(t, seed, demand, fault)
				t.Logf("%s, %s: %.2f of the quota, %.2f refused", spread, name, most, refused)
				if most > 1.2 {
					t.Errorf("%s, %s: %.2f of the quota in a minute", spread, name, most)
				}
			}
		}
	}
}

func on(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// A customer that asks within its quota is not refused for a silence, whichever ingress it comes by.
func TestNobodyWithinItsQuotaIsRefused(t *testing.T) {
	for name, demand := range map[string]func(i int, now time.Duration) float64{
		"even":   func(int, time.Duration) float64 { return 4 },
		"one":    func(i int, _ time.Duration) float64 { return 16 * on(i == 2) },
		"uneven": func(i int, _ time.Duration) float64 { return []float64{8, 4, 3, 1}[i] },
	} {
		for seed := range uint64(5) {
			if _, refused := play(t, seed, demand, silence); refused > 0.1 {
				t.Errorf("%s: %.0f%% refused", name, 100*refused)
			}
		}
	}
}

// An empty counter is told again what it has lost, once.
func TestAReplacedCounterIsPutRight(t *testing.T) {
	l, k := New(DefaultOptions()), Key{1, 5}
	l.Know(0, 1, Plan{Rate: 10, Burst: 100, Spread: 2})
	now, total := time.Second, 0.0
	add := func(amount, others float64) (told, repair float64) {
		t.Helper()
		now += 100 * time.Millisecond
		s := l.Add(now, k, amount)
		if !s.Call || s.Tell || s.Add != amount {
			t.Fatalf("%+v", s)
		}
		total += amount + others
		told, repair = l.Total(now, k, amount, s.Add, total)
		total += repair
		return told, repair
	}
	if told, repair := add(10, 5); told != 15 || repair != 0 {
		t.Errorf("told %v, repair %v", told, repair)
	}
	total = 0
	if told, repair := add(2, 0); repair != 10 || told != 17 {
		t.Errorf("told %v, repair %v", told, repair)
	}
	if told, repair := add(1, 5); repair != 0 || told != 23 {
		t.Errorf("after the repair: told %v, repair %v", told, repair)
	}
}

// What was used in a silence goes out with the first call after it, and trials add nothing.
func TestWhatIsOwedIsPostedOnTheReturn(t *testing.T) {
	l, k := New(DefaultOptions()), Key{1, 5}
	l.Know(0, 1, Plan{Rate: 10, Burst: 100, Spread: 1})
	now := time.Second
	s := l.Add(now, k, 4)
	if told := l.Lost(now, k, 4, s.Add); math.Abs(told-4-0.1*100) > 1e-9 {
		t.Errorf("told %v: a tenth is kept back", told)
	}
	for range 10 {
		now += 300 * time.Millisecond
		if s = l.Add(now, k, 1); !s.Tell || s.Call && s.Add != 0 {
			t.Fatalf("%+v", s)
		}
	}
	if !s.Call || l.Owed(1) != 10 {
		t.Errorf("%+v, %v owed", s, l.Owed(1))
	}
	if _, repair := l.Total(now, k, 0, 0, 4); repair != 0 {
		t.Errorf("repair of %v", repair)
	}
	if s = l.Add(now, k, 1); s.Tell || s.Add != 11 {
		t.Errorf("%+v", s)
	}
	if l.Total(now, k, 1, s.Add, 15); l.Owed(1) != 0 {
		t.Errorf("%v owed", l.Owed(1))
	}
}
