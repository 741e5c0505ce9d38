package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunespoke/choice"
)

// The fleet that the operators expect: each gateway is asked a few times a second, and sees an answer of each
// backend every ten seconds or so.
const (
	vastGates  = 80
	vastFleet  = 60
	vastDemand = 450  // requests a second, of customers who are all far from their quotas
	vastCan    = 13.0 // attempts a second that a warm backend can do
)

// vast returns such a fleet of a site with cold backends, whose every attempt is told to sent.
func vast(t *testing.T, sent func(now time.Duration, backend uint64)) *fleet {
	f := newFleet(t, vastGates, func(s *choice.Settings) {
		s.ColdCapacity, s.ColdTime, s.FallMultiple, s.FallTime = 0.24, 17*time.Second, 3, time.Second
	}, manyBackends(vastFleet))
	rng := rand.New(rand.NewPCG(5, 6))
	f.answer = func(now time.Duration, _ int, s sentTo) (time.Duration, choice.Code) {
		sent(now, s.backend)
		return time.Duration((0.05 + 0.1*rng.ExpFloat64()) * float64(time.Second)), choice.OK
	}
	return f
}

type sentTo = sent

// run asks until the end, and calls at before each step of 10 ms.
func (f *fleet) run(from, to time.Duration, at func(now time.Duration)) {
	rng := rand.New(rand.NewPCG(uint64(from), 8))
	for now := from; now < to; now += 10 * ms {
		at(now)
		for n := vastDemand / 100.0; rng.Float64() < n; n-- {
			r := request(rng.Uint64(), "read", "soft", 1, now)
			r.Customer = r.ID
			f.gates[rng.IntN(len(f.gates))].Request(now, r)
		}
		f.step(now)
	}
}

// tell hands a changed entry of the list to all gateways.
func (f *fleet) tell(now time.Duration, entry choice.Backend) {
	for _, g := range f.gates {
		g.Backends(now, false, []choice.Backend{entry})
	}
}

// Six in ten backends are replaced within 7 s. Among many idle warm ones the cold once got nothing, since
// they cost more and their budgets had faded before a request came; the warm ones were jammed meanwhile.
func TestReplacedBackendsAreUsed(t *testing.T) {
	const begin, gone = 8 * time.Second, 36
	started := map[uint64]time.Duration{}
	times := map[uint64][]time.Duration{}
	f := vast(t, func(now time.Duration, b uint64) { times[b] = append(times[b], now) })
	next := uint64(1)
	end := begin + 17*time.Second
	f.run(10*ms, end, func(now time.Duration) {
		for ; next <= gone && now >= begin+time.Duration(next)*7*time.Second/gone; next++ {
			started[next+100] = now
			f.tell(now, choice.Backend{ID: next + 100, Zone: "a", Started: now})
			f.tell(now, choice.Backend{ID: next, Zone: "a", State: choice.Gone})
		}
	})
	sent, able := 0.0, 0.0
	can := func(age time.Duration) float64 { return vastCan * (0.24 + 0.76*min(1, age.Seconds()/17)) }
	for b, at := range started {
		sent += float64(len(times[b]))
		for age := time.Duration(0); age < end-at; age += 100 * ms {
			able += can(age) / 10
		}
		for i, first := range times[b] {
			window := 0
			for j := i; j < len(times[b]) && times[b][j] < first+f.set.FallTime; j++ {
				window++
			}
			if most := f.set.FallMultiple * can(first-at); float64(window) > most {
				t.Fatalf("backend %d: %d attempts within %v at %v after its start, it falls over at %.0f", b, window,
					f.set.FallTime, first-at, most)
			}
		}
	}
	t.Logf("%.0f attempts to cold backends, which can do %.0f", sent, able)
	if sent < able*0.25 {
		t.Errorf("%.0f attempts to cold backends, which can do %.0f", sent, able)
	}
}
