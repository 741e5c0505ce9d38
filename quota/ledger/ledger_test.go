package ledger

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// counter is a fake of the counter that the ingresses share, with faults.
type counter struct {
	totals      map[Key]float64
	unreachable bool // calls are not added and not answered
	answersLost bool // calls are added but not answered
}

// ingress is a gate with a ledger. It computes the units in its bucket from totals as package choice does.
type ingress struct {
	*Ledger
	c       *counter
	plan    Plan
	bucket  float64 // units
	updated time.Duration
	key     Key
	total   float64
	credit  float64   // units added but not granted, to be returned by the next call; zero or negative
	used    []float64 // units granted, by second
}

// request requests one unit, and reports whether it was granted.
func (g *ingress) request(now time.Duration) bool {
	g.bucket = min(g.plan.Burst, g.bucket+g.plan.Rate*(now-g.updated).Seconds())
	g.updated = now
	window := int64(now.Seconds() / (g.plan.Burst / g.plan.Rate))
	if k := (Key{1, window}); k != g.key {
		g.key, g.total, g.credit = k, 0, 0
	}
	amount := 1 + g.credit
	s := g.Add(now, g.key, amount)
	total, answered := s.Total, s.AnswerNow
	if s.Call {
		switch {
		case g.c.unreachable || g.c.answersLost:
			if g.c.answersLost {
				g.c.totals[g.key] += s.Add
			}
			if answered {
				g.unanswered++
			} else {
				total = g.Unanswered(now, g.key, amount, s.Add)
			}
		case answered: // a probe
			_, repair := g.Answered(now, g.key, 0, 0, g.c.totals[g.key])
			g.c.totals[g.key] += repair
		default:
			g.c.totals[g.key] += s.Add
			var repair float64
			total, repair = g.Answered(now, g.key, amount, s.Add, g.c.totals[g.key])
			g.c.totals[g.key] += repair
		}
	}
	others := total - amount - g.total
	if others < -2 {
		others = 0
	}
	g.total, g.credit = total, 0
	g.bucket = min(g.plan.Burst, max(g.bucket-others, -g.plan.Burst))
	if g.bucket < 1 { // not granted: the next call returns the unit
		g.credit = -1
		return false
	}
	g.bucket--
	for len(g.used) <= int(now.Seconds()) {
		g.used = append(g.used, 0)
	}
	g.used[int(now.Seconds())]++
	return true
}

// simulate sends requests to four ingresses for two minutes, with the given demand in requests per second and
// the given fault of the counter. It returns the maximum use in any minute as a fraction of the quota, and
// the fraction of the requests between 60 s and 90 s that were refused.
func simulate(t *testing.T, seed uint64, demand func(i int, now time.Duration) float64,
	fault func(c *counter, now time.Duration)) (maxUse, refusedFraction float64) {
	t.Helper()
	plan := Plan{Rate: 20, Burst: 40, Spread: 4}
	c := &counter{totals: map[Key]float64{}}
	rng := rand.New(rand.NewPCG(seed, 1))
	var gates [4]*ingress
	for i := range gates {
		gates[i] = &ingress{Ledger: New(DefaultOptions()), c: c, plan: plan, bucket: plan.Burst, key: Key{1, -1}}
		gates[i].SetPlan(0, 1, plan)
	}
	requests, refused := 0, 0
	const step = 5 * time.Millisecond
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		fault(c, now)
		for i, g := range gates {
			if rng.Float64() < demand(i, now)*step.Seconds() {
				ok := g.request(now)
				if now > 60*time.Second && now < 90*time.Second {
					if requests++; !ok {
						refused++
					}
				}
			}
		}
	}
	for from := 0; from+60 <= 120; from++ {
		sum := 0.0
		for _, g := range gates {
			for s := from; s < from+60 && s < len(g.used); s++ {
				sum += g.used[s]
			}
		}
		maxUse = max(maxUse, sum/(plan.Rate*60+plan.Burst))
	}
	return maxUse, float64(refused) / math.Max(1, float64(requests))
}

// outage makes the counter unreachable between 60 s and 90 s.
func outage(c *counter, now time.Duration) {
	c.unreachable = now > 60*time.Second && now < 90*time.Second
}

// No fault of the counter lets a customer use over 20% more than its quota in any minute, however its demand
// is distributed over the ingresses.
func TestQuotaHoldsDuringFaults(t *testing.T) {
	demands := map[string]func(i int, now time.Duration) float64{
		"even":    func(int, time.Duration) float64 { return 15 },
		"one":     func(i int, _ time.Duration) float64 { return []float64{60, 0, 0, 0}[i] },
		"uneven":  func(i int, _ time.Duration) float64 { return []float64{30, 15, 10, 5}[i] },
		"roaming": func(i int, now time.Duration) float64 { return 60 * oneIf(i == int(now.Seconds()/12)%4) },
		"moved": func(i int, now time.Duration) float64 {
			return 30 * oneIf((i == 0) == (now < 70*time.Second))
		},
	}
	faults := map[string]func(c *counter, now time.Duration){
		"none":    func(*counter, time.Duration) {},
		"silence": outage,
		"replaced twice": func(c *counter, now time.Duration) {
			if s := now.Seconds(); s == 61 || s == 61.5 {
				clear(c.totals)
			}
		},
		"outage and empty": func(c *counter, now time.Duration) {
			outage(c, now)
			if c.unreachable {
				clear(c.totals)
			}
		},
		"flapping": func(c *counter, now time.Duration) {
			c.unreachable = now > 60*time.Second && int(now.Seconds())%2 == 0
		},
		"added, unanswered": func(c *counter, now time.Duration) {
			c.answersLost = now > 60*time.Second && now < 61*time.Second
		},
	}
	for demandName, demand := range demands {
		for faultName, fault := range faults {
			for seed := range uint64(3) {
				maxUse, refused := simulate(t, seed, demand, fault)
				t.Logf("%s, %s: %.2f of the quota, %.2f refused", demandName, faultName, maxUse, refused)
				if maxUse > 1.2 {
					t.Errorf("%s, %s: %.2f of the quota in a minute", demandName, faultName, maxUse)
				}
			}
		}
	}
}

// oneIf returns 1 if b is true, and 0 otherwise.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// A customer within its quota is rarely refused during an outage, whichever ingresses receive its requests.
func TestCustomerWithinQuotaIsServedDuringOutage(t *testing.T) {
	for name, demand := range map[string]func(i int, now time.Duration) float64{
		"even":   func(int, time.Duration) float64 { return 4 },
		"one":    func(i int, _ time.Duration) float64 { return 16 * oneIf(i == 2) },
		"uneven": func(i int, _ time.Duration) float64 { return []float64{8, 4, 3, 1}[i] },
	} {
		for seed := range uint64(5) {
			if _, refused := simulate(t, seed, demand, outage); refused > 0.1 {
				t.Errorf("%s: %.0f%% refused", name, 100*refused)
			}
		}
	}
}

// The units that a replaced, empty counter has lost are added to it again, once.
func TestReplacedCounterIsRepaired(t *testing.T) {
	l, k := New(DefaultOptions()), Key{1, 5}
	l.SetPlan(0, 1, Plan{Rate: 10, Burst: 100, Spread: 2})
	now, total := time.Second, 0.0
	add := func(amount, others float64) (reported, repair float64) {
		t.Helper()
		now += 100 * time.Millisecond
		s := l.Add(now, k, amount)
		if !s.Call || s.AnswerNow || s.Add != amount {
			t.Fatalf("%+v", s)
		}
		total += amount + others
		reported, repair = l.Answered(now, k, amount, s.Add, total)
		total += repair
		return reported, repair
	}
	if reported, repair := add(10, 5); reported != 15 || repair != 0 {
		t.Errorf("reported %v, repair %v", reported, repair)
	}
	total = 0
	if reported, repair := add(2, 0); repair != 10 || reported != 17 {
		t.Errorf("reported %v, repair %v", reported, repair)
	}
	if reported, repair := add(1, 5); repair != 0 || reported != 23 {
		t.Errorf("after the repair: reported %v, repair %v", reported, repair)
	}
}

// Units used in an outage are added by the first call after it, and probes add nothing.
func TestUnpostedUnitsAreAddedAfterOutage(t *testing.T) {
	l, k := New(DefaultOptions()), Key{1, 5}
	l.SetPlan(0, 1, Plan{Rate: 10, Burst: 100, Spread: 1})
	now := time.Second
	s := l.Add(now, k, 4)
	if reported := l.Unanswered(now, k, 4, s.Add); math.Abs(reported-4-0.1*100) > 1e-9 {
		t.Errorf("reported %v, want 4 and a reserve of a tenth of the bucket", reported)
	}
	for range 10 {
		now += 300 * time.Millisecond
		if s = l.Add(now, k, 1); !s.AnswerNow || s.Call && s.Add != 0 {
			t.Fatalf("%+v", s)
		}
	}
	if !s.Call || l.Unposted(1) != 10 {
		t.Errorf("%+v, %v unposted", s, l.Unposted(1))
	}
	if _, repair := l.Answered(now, k, 0, 0, 4); repair != 0 {
		t.Errorf("repair of %v", repair)
	}
	if s = l.Add(now, k, 1); s.AnswerNow || s.Add != 11 {
		t.Errorf("%+v", s)
	}
	if l.Answered(now, k, 1, s.Add, 15); l.Unposted(1) != 0 {
		t.Errorf("%v unposted", l.Unposted(1))
	}
}
