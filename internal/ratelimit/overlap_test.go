package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Bounds that the core guarantees: for how long a replaced allocator may grant tokens after the view of the
// next one began, and how much later its gateways may be notified of the next one.
const (
	maxGrantOverlap      = 750 * time.Millisecond
	maxNotificationDelay = 810 * time.Millisecond
)

// startSuccessor starts the next allocator while the previous one goes on granting for the given time.
// Half of the gateways send their requests to the previous one until then and are notified of the next
// one afterwards; the others are notified soon. The next one grants at once, or if waits is set, once the
// previous one stopped.
func (sim *simulation) startSuccessor(grantTime time.Duration, waits bool) {
	previous := sim.allocator
	sim.epoch++
	sim.allocator = NewAllocator(func(string) Limits { return sim.limits })
	next, epoch, activateAfter := sim.allocator, sim.epoch, time.Duration(0)
	until := sim.now + grantTime
	if waits {
		activateAfter = grantTime
	}
	sim.schedule(activateAfter, func() { next.Activate(sim.now, epoch) })
	for i, limiter := range sim.limiters {
		notifyAfter := time.Duration(sim.rng.Int64N(int64(100 * time.Millisecond)))
		if i < len(sim.limiters)/2 {
			notifyAfter = grantTime + time.Duration(sim.rng.Int64N(int64(maxNotificationDelay)))
		}
		limiter.send = func(msg *message.Message) {
			sim.sendTo(i, limiter, previous, msg, func() bool { return sim.now >= until })
		}
		sim.schedule(notifyAfter, func() {
			limiter.send = func(msg *message.Message) { sim.send(i, limiter, msg) }
			limiter.SetAllocator(epoch, len(sim.limiters))
		})
	}
}

// excessDuringOverlap simulates a random tenant that exceeds its quota, after a time of low load or of none,
// while the allocator of its gateways is replaced. It returns by how many requests a window exceeded the
// permitted number, as a fraction of the quota.
func excessDuringOverlap(seed uint64, waits bool) float64 {
	r := rand.New(rand.NewPCG(seed, 77))
	rate := 20 * (1 + 49*r.Float64()*r.Float64())
	sim := newSimulation(seed, 2+r.IntN(39), Limits{Rate: rate, Burst: rate * (0.2 + 1.8*r.Float64())})
	overload := 1 + 7*r.Float64()
	sim.run(8 * time.Second)
	if r.IntN(2) == 0 {
		sim.runLoad(rate*0.6, 3*time.Second)
	}
	grantTime := maxGrantOverlap - time.Duration(r.IntN(2)*r.IntN(750))*time.Millisecond
	sim.schedule(time.Duration(r.IntN(5000))*time.Millisecond, func() { sim.startSuccessor(grantTime, waits) })
	sim.runLoad(rate*overload, 8*time.Second)
	return (float64(sim.maxAdmittedInWindow()) - sim.maxPermittedInWindow()) /
		(rate*quotaWindowSeconds + sim.limits.Burst)
}

// No window exceeds the permitted number of requests if the next allocator starts granting only when the
// previous one has stopped, although some gateways are notified of the change late. If both grant at once,
// for as long as the previous one may be unaware of the next view, some windows do.
func TestSuccessiveAllocatorsStayWithinThePermittedRequests(t *testing.T) {
	detected := 0
	for seed := range uint64(40) {
		if over := excessDuringOverlap(seed, true); over > 0 {
			t.Errorf("seed %d: the permitted number is exceeded by %.1f%% of the quota", seed, 100*over)
		}
		if excessDuringOverlap(seed, false) > 0 {
			detected++
		}
	}
	if detected < 5 {
		t.Errorf("undetected: only %d of 40 runs with two allocators exceed the permitted number", detected)
	}
}
