package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// The bounds of the core: for how long an earlier allocator of the counts may give tokens after the view of
// the next one began, and how much later those who ask it may hear of that one.
const (
	earlierGives = 750 * time.Millisecond
	hearsAfter   = 810 * time.Millisecond
)

// succeeded has another allocator begin while the one before still gives for a time: half of the gateways go
// on asking that and hear of the next one afterwards, the others hear of it soon. The next one gives from the
// view's beginning, or once the other has left off.
func (w *cluster) succeeded(gives time.Duration, waits bool) {
	earlier := w.allocator
	w.epoch++
	w.allocator = NewAllocator(func(string) Limits { return w.limits })
	next, epoch, opens := w.allocator, w.epoch, time.Duration(0)
	until := w.now + gives
	if waits {
		opens = gives
	}
	w.at(opens, func() { next.Activate(w.now, epoch) })
	for i, m := range w.limiters {
		hears := time.Duration(w.rng.Int64N(int64(100 * time.Millisecond)))
		if i < len(w.limiters)/2 {
			hears = gives + time.Duration(w.rng.Int64N(int64(hearsAfter)))
		}
		m.send = func(q *message.Message) {
			w.askAt(i, m, earlier, q, func() bool { return w.now >= until })
		}
		w.at(hears, func() {
			m.send = func(q *message.Message) { w.ask(i, m, q) }
			m.SetAllocator(epoch, len(w.limiters))
		})
	}
}

// overlap draws a tenant that asks many times its quota, from rest or not, at gateways whose allocator
// changes in the midst of it, and returns how many more were let in within a window than the rules allow, as
// a part of the quota.
func overlap(seed uint64, waits bool) float64 {
	r := rand.New(rand.NewPCG(seed, 77))
	rate := 20 * (1 + 49*r.Float64()*r.Float64())
	w := given(seed, 2+r.IntN(39), Limits{Rate: rate, Burst: rate * (0.2 + 1.8*r.Float64())})
	times := 1 + 7*r.Float64()
	w.run(8 * time.Second)
	if r.IntN(2) == 0 {
		w.asks(rate*0.6, 3*time.Second)
	}
	gives := earlierGives - time.Duration(r.IntN(2)*r.IntN(750))*time.Millisecond
	w.at(time.Duration(r.IntN(5000))*time.Millisecond, func() { w.succeeded(gives, waits) })
	w.asks(rate*times, 8*time.Second)
	return (float64(w.most()) - w.allowed()) / (rate*quotaWindowSeconds + w.limits.Burst)
}

// Given any tenant, gateways and moment, when an allocator of the counts gives tokens until the next one
// does, to those who have not heard of that, then no window holds more than the rules allow. When both give
// at once, for the time that a word of the core may be old, some do.
func TestOneAllocatorAfterTheOtherGrantsWhatThereIs(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		if over := overlap(seed, true); over > 0 {
			t.Errorf("seed %d: %.1f%% of the quota over what the rules allow", seed, 100*over)
		}
		if overlap(seed, false) > 0 {
			found++
		}
	}
	if found < 5 {
		t.Errorf("not found: of 40 with two allocators at once %d break the rule", found)
	}
}
