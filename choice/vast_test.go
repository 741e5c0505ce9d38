package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunespoke/choice"
)

// A large deployment: each gateway receives a few requests per second, and an answer of each backend about
// every ten seconds.
const (
	largeGateways    = 80
	largeBackends    = 60
	largeRequestRate = 450  // requests per second, of customers far below their quotas
	warmBackendRate  = 13.0 // capacity of a warm backend in attempts per second
)

// largeSimulation returns a simulation of that size with slowly warming backends. It calls onSend for each
// attempt.
func largeSimulation(t *testing.T, onSend func(now time.Duration, backend uint64)) *simulation {
	f := newSimulation(t, largeGateways, func(s *choice.Settings) {
		s.ColdCapacity, s.ColdTime, s.FallMultiple, s.FallTime = 0.24, 17*time.Second, 3, time.Second
	}, manyBackends(largeBackends))
	rng := rand.New(rand.NewPCG(5, 6))
	f.answer = func(now time.Duration, _ int, s attemptSend) (time.Duration, choice.Code) {
		onSend(now, s.backend)
		return time.Duration((0.05 + 0.1*rng.ExpFloat64()) * float64(time.Second)), choice.OK
	}
	return f
}

// attemptSend is another name of sendCall.
type attemptSend = sendCall

// run sends requests at largeRequestRate in steps of 10 ms, and calls beforeStep before each.
func (f *simulation) run(from, to time.Duration, beforeStep func(now time.Duration)) {
	rng := rand.New(rand.NewPCG(uint64(from), 8))
	for now := from; now < to; now += 10 * ms {
		beforeStep(now)
		for n := largeRequestRate / 100.0; rng.Float64() < n; n-- {
			r := request(rng.Uint64(), "read", "soft", 1, now)
			r.Customer = r.ID
			f.gates[rng.IntN(len(f.gates))].Request(now, r)
		}
		f.advance(now)
	}
}

// announce reports a changed entry of the server list to all gates.
func (f *simulation) announce(now time.Duration, entry choice.Backend) {
	for _, g := range f.gates {
		g.Backends(now, false, []choice.Backend{entry})
	}
}

// Six in ten backends are replaced within 7 s. Guards against cold backends that get no attempts beside many
// idle warm ones, since they cost more and their budgets decay before a request arrives, while the warm ones
// are overloaded.
func TestReplacedBackendsAreUsed(t *testing.T) {
	const begin, removed = 8 * time.Second, 36
	started := map[uint64]time.Duration{}
	times := map[uint64][]time.Duration{}
	f := largeSimulation(t, func(now time.Duration, b uint64) { times[b] = append(times[b], now) })
	next := uint64(1)
	end := begin + 17*time.Second
	f.run(10*ms, end, func(now time.Duration) {
		for ; next <= removed && now >= begin+time.Duration(next)*7*time.Second/removed; next++ {
			started[next+100] = now
			f.announce(now, choice.Backend{ID: next + 100, Zone: "a", Started: now})
			f.announce(now, choice.Backend{ID: next, Zone: "a", State: choice.Gone})
		}
	})
	sent, capacityTotal := 0.0, 0.0
	capacity := func(age time.Duration) float64 {
		return warmBackendRate * (0.24 + 0.76*min(1, age.Seconds()/17))
	}
	for b, at := range started {
		sent += float64(len(times[b]))
		for age := time.Duration(0); age < end-at; age += 100 * ms {
			capacityTotal += capacity(age) / 10
		}
		for i, first := range times[b] {
			window := 0
			for j := i; j < len(times[b]) && times[b][j] < first+f.settings.FallTime; j++ {
				window++
			}
			if limit := f.settings.FallMultiple * capacity(first-at); float64(window) > limit {
				t.Fatalf("backend %d: %d attempts within %v at %v after its start, it collapses at %.0f", b, window,
					f.settings.FallTime, first-at, limit)
			}
		}
	}
	t.Logf("%.0f attempts to cold backends, whose capacity is %.0f", sent, capacityTotal)
	if sent < capacityTotal*0.35 {
		t.Errorf("%.0f attempts to cold backends, whose capacity is %.0f", sent, capacityTotal)
	}
}

// The requests of a customer are spread over eighty gateways, none of which receives two in a window. Guards
// against estimates from the totals at single gateways, with which a heavy customer exceeded its quota by
// four tenths.
func TestQuotaCountedPerRequest(t *testing.T) {
	const duration = 60 * time.Second
	for _, c := range []struct {
		name   string
		demand float64 // rate of requests relative to the quota
		// minFits is the minimum of the requests sent within the quota, and beyond the maximum beyond it, both
		// relative to those that fit the quota. maxRefused is the maximum fraction of requests refused.
		minFits, beyond, maxRefused float64
		maxCalls                    float64 // per request
		busyRatio                   float64 // fraction of the calls that the counter rejects
	}{
		{"calm", 0.4, 0.99, 0.01, 0.01, 1.1, 0},
		{"full", 0.95, 0.95, 0.02, 0.08, 1.4, 0},
		{"heavy", 4, 0.92, 0.06, 0.8, 1.25, 0},
		// Without carrying units over to the next half window under counter overload, eight tenths are sent beyond.
		{"heavy, counter overloaded", 4, 0.92, 0.4, 0.8, 1.25, 0.15},
	} {
		f := newSimulation(t, largeGateways, nil, manyBackends(2))
		rng := rand.New(rand.NewPCG(21, 22))
		f.counter = func(time.Duration) choice.Code {
			if rng.Float64() < c.busyRatio {
				return choice.Busy
			}
			return choice.OK
		}
		p := f.settings.Plans[0] // a rate of 10 per second and a burst of 30
		bucket, last, fits, beyond, requests := p.Burst, time.Duration(0), 0.0, 0.0, 0.0
		refill := func(now time.Duration) {
			bucket = min(p.Burst, bucket+p.Rate*(now-last).Seconds())
			last = now
		}
		f.answer = func(now time.Duration, _ int, s attemptSend) (time.Duration, choice.Code) {
			refill(now)
			if bucket >= 1 {
				bucket--
				fits++
			} else {
				beyond++
			}
			return 50 * ms, choice.OK
		}
		expectedFits, expectedBucket := 0.0, p.Burst
		for now := 10 * ms; now < duration; now += 10 * ms {
			expectedBucket = min(p.Burst, expectedBucket+p.Rate/100)
			if rng.Float64() < c.demand*p.Rate/100 {
				requests++
				if expectedBucket >= 1 {
					expectedBucket--
					expectedFits++
				}
				r := request(uint64(now), "read", "hard", 1, now)
				r.Spread = largeGateways
				f.gates[rng.IntN(largeGateways)].Request(now, r)
			}
			f.advance(now)
		}
		t.Logf("%s: %.3f of what fits sent, %.3f beyond, %.2f refused, %.2f calls per request", c.name,
			fits/expectedFits, beyond/expectedFits, 1-(fits+beyond)/requests, float64(f.calls)/requests)
		if fits/expectedFits < c.minFits || beyond/expectedFits > c.beyond ||
			1-(fits+beyond)/requests > c.maxRefused ||
			float64(f.calls)/requests > c.maxCalls {
			t.Errorf("%s: want at least %v sent, at most %v beyond, %v refused, %v calls", c.name, c.minFits, c.beyond,
				c.maxRefused, c.maxCalls)
		}
	}
}

// Guards against gateways that use every backend, so that connections are idle between two requests for
// longer than they are kept open, and each gateway receives an answer of a backend every ten seconds only.
func TestGatewaysUseASubsetOfTheBackends(t *testing.T) {
	const duration = 20 * time.Second
	pairs, load := map[[2]uint64]time.Duration{}, map[uint64]int{}
	opened, sends := 0, 0
	f := largeSimulation(t, nil)
	for i := range f.gates {
		f.settings.Number = i + 1
		f.startGate(i, 0)
	}
	f.answer = func(now time.Duration, gate int, s attemptSend) (time.Duration, choice.Code) {
		pair := [2]uint64{uint64(gate), s.backend}
		if last, known := pairs[pair]; !known || now-last > 9*time.Second {
			opened++
		}
		pairs[pair] = now
		sends++
		load[s.backend]++
		return 150 * ms, choice.OK
	}
	f.run(10*ms, duration, func(time.Duration) {})
	maxLoad := 0
	for _, n := range load {
		maxLoad = max(maxLoad, n)
	}
	mean := float64(sends) / largeBackends
	t.Logf("%d connections, %d attempts; at most %.2f times the mean on one backend", opened, sends,
		float64(maxLoad)/mean)
	if opened > sends/4 || len(load) < largeBackends || float64(maxLoad) > 1.25*mean {
		t.Errorf("%d connections for %d attempts to %d backends, at most %d on one", opened, sends, len(load),
			maxLoad)
	}
}
