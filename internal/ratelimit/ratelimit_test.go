package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dunespoke/internal/controlplane/message"
)

// simulation simulates gateways that serve one tenant, and allocators, with message delays, in virtual time.
type simulation struct {
	now          time.Duration
	events       queue
	rng          *rand.Rand
	limits       Limits
	limiters     []*Limiter
	allocator    *Allocator
	epoch        uint64
	disconnected map[int]bool    // gateways that can't reach the allocator
	admitted     []time.Duration // when requests were admitted
	denied       []time.Duration // when requests were denied
}

type event struct {
	at  time.Duration
	run func()
}

// queue is a heap of events, the earliest first.
type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// schedule calls run after a delay.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	heap.Push(&sim.events, event{sim.now + delay, run})
}

// newSimulation returns a simulation of a number of gateways and an active allocator.
func newSimulation(seed uint64, gateways int, l Limits) *simulation {
	sim := &simulation{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 3)), limits: l,
		disconnected: map[int]bool{}}
	for i := range gateways {
		limiter := NewLimiter(uint64(i+1), func(string) Limits { return sim.limits }, nil, func(State) {})
		limiter.send = func(msg *message.Message) { sim.send(i, limiter, msg) }
		sim.limiters = append(sim.limiters, limiter)
		var tick func()
		tick = func() {
			limiter.Tick(sim.now)
			sim.schedule(100*time.Millisecond, tick)
		}
		sim.schedule(time.Duration(i)*time.Millisecond, tick)
	}
	sim.replaceAllocator()
	return sim
}

// replaceAllocator replaces the allocator by a new one under the next epoch, which all limiters learn at
// once.
func (sim *simulation) replaceAllocator() {
	sim.epoch++
	sim.allocator = NewAllocator(func(string) Limits { return sim.limits })
	sim.allocator.Activate(sim.now, sim.epoch)
	for _, limiter := range sim.limiters {
		limiter.SetAllocator(sim.epoch, len(sim.limiters))
	}
}

// send sends a token request of gateway i to the current allocator, unless the gateway is disconnected.
func (sim *simulation) send(i int, limiter *Limiter, msg *message.Message) {
	if sim.disconnected[i] {
		return
	}
	allocator := sim.allocator
	sim.sendTo(i, limiter, allocator, msg, func() bool { return allocator != sim.allocator })
}

// sendTo sends a token request of gateway i to an allocator, which answers unless it has stopped when the
// request arrives.
func (sim *simulation) sendTo(i int, limiter *Limiter, allocator *Allocator, msg *message.Message,
	stopped func() bool) {
	delay := func() time.Duration { return time.Duration(500+sim.rng.IntN(3000)) * time.Microsecond }
	sim.schedule(delay(), func() {
		if stopped() {
			return
		}
		grant := allocator.Allocate(sim.now, Requester{fmt.Sprint(i), msg.Incarnation}, msg.RequestID,
			msg.Body.(*message.TokenRequest))
		sim.schedule(delay(), func() { limiter.HandleGrant(sim.now, msg.Incarnation, msg.RequestID, grant) })
	})
}

// runLoad runs the simulation for a time in which the tenant sends requests at the given mean rate
// per second, each to a random gateway.
func (sim *simulation) runLoad(rate float64, length time.Duration) {
	end := sim.now + length
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		decide := func(ok bool, _ time.Duration) { sim.recordDecision(ok) }
		if v, _ := sim.limiters[sim.rng.IntN(len(sim.limiters))].Take(sim.now, "t", decide); v != Wait {
			sim.recordDecision(v == Allow)
		}
		sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.schedule(0, next)
	sim.run(length)
}

// recordDecision records the decision on a request.
func (sim *simulation) recordDecision(ok bool) {
	if ok {
		sim.admitted = append(sim.admitted, sim.now)
	} else {
		sim.denied = append(sim.denied, sim.now)
	}
}

// run processes the events of the given length of time.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now + length; len(sim.events) > 0 && sim.events[0].at <= end; {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// maxAdmittedInWindow returns the maximum number of requests that were admitted in any window.
func (sim *simulation) maxAdmittedInWindow() (maximum int) {
	from := 0
	for i, at := range sim.admitted {
		for sim.admitted[from] < at-time.Duration(quotaWindowSeconds*float64(time.Second)) {
			from++
		}
		maximum = max(maximum, i-from+1)
	}
	return maximum
}

// maxPermittedInWindow returns how many requests may be admitted in a window: the quota, 10% and 20 requests.
func (sim *simulation) maxPermittedInWindow() float64 {
	return (sim.limits.Rate*quotaWindowSeconds+sim.limits.Burst)*1.1 + 20
}

// No window exceeds the permitted number of requests, for random quotas, numbers of gateways and demand,
// while the tenant exceeds its quota, the allocator is replaced and gateways are disconnected.
func TestNoWindowExceedsThePermittedRequests(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 15
	p := gopter.NewProperties(params)
	p.Property("bounded", prop.ForAll(func(seed uint64, gateways int, rate float64, times float64) bool {
		sim := newSimulation(seed, gateways, Limits{Rate: rate, Burst: rate})
		sim.run(8 * time.Second)
		sim.runLoad(rate*0.6, 3*time.Second)
		sim.runLoad(rate*times, 6*time.Second)
		if seed%2 == 0 {
			sim.replaceAllocator()
		}
		for i := range gateways * int(seed%4) / 12 {
			sim.disconnected[i] = true
		}
		sim.runLoad(rate*times, 6*time.Second)
		return float64(sim.maxAdmittedInWindow()) <= sim.maxPermittedInWindow()
	}, gen.UInt64(), gen.IntRange(1, 84), gen.Float64Range(20, 250), gen.Float64Range(1, 8)))
	p.TestingRun(t)
}

// Nearly all requests of a tenant that stays within its quota are admitted, over few or many gateways.
func TestTenantWithinItsQuotaIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		gateways int
		rate     float64
	}{{3, 20}, {15, 148}, {15, 30}, {84, 40}, {84, 300}} {
		sim := newSimulation(9, c.gateways, Limits{Rate: c.rate, Burst: c.rate})
		sim.run(8 * time.Second)
		sim.runLoad(c.rate*0.62, 20*time.Second)
		if part := float64(len(sim.denied)) / float64(len(sim.admitted)+len(sim.denied)); part > 0.005 {
			t.Errorf("%d gateways, %v per second: %.1f%% denied", c.gateways, c.rate, 100*part)
		}
	}
}

// A tenant that exceeds its quota many times over is admitted up to its quota.
func TestTenantOverItsQuotaGetsItsQuota(t *testing.T) {
	for _, gateways := range []int{5, 15, 84} {
		sim := newSimulation(5, gateways, Limits{Rate: 100, Burst: 100})
		sim.run(8 * time.Second)
		sim.runLoad(600, 20*time.Second)
		if got := float64(len(sim.admitted)) / (100*20 + 100); got < 0.9 {
			t.Errorf("%d gateways: %.0f%% of the quota", gateways, 100*got)
		}
	}
}

// All gateways reconnect to an allocator that was unreachable, also where a tenant's share per gateway is
// less than one token, so that there are no leases to renew. The tenant's requests are admitted from then on.
func TestAllGatewaysReconnectToTheAllocator(t *testing.T) {
	sim := newSimulation(3, 84, Limits{Rate: 40, Burst: 40})
	sim.run(8 * time.Second)
	sim.runLoad(25, 2*time.Second)
	for i := range sim.limiters {
		sim.disconnected[i] = true
	}
	sim.runLoad(25, 3*time.Second)
	clear(sim.disconnected)
	sim.runLoad(25, time.Second)
	localOnly := 0
	for _, limiter := range sim.limiters {
		localOnly += int(limiter.state)
	}
	before := len(sim.denied)
	sim.runLoad(25, 10*time.Second)
	if n := len(sim.denied) - before; localOnly > 0 || n > 3 {
		t.Errorf("a second after the allocator was reachable again: %d limiters disconnected, %d denied since",
			localOnly, n)
	}
}

// While the allocator is unreachable, maxAdmittedInWindow requests of a tenant within half its quota are
// admitted from local shares. Once it is reachable again, so are those within the quota.
func TestDisconnectedGatewaysSpendLocalShares(t *testing.T) {
	sim := newSimulation(2, 12, Limits{Rate: 100, Burst: 100})
	sim.run(8 * time.Second)
	for i := range sim.limiters {
		sim.disconnected[i] = true
	}
	sim.runLoad(40, 10*time.Second)
	if part := float64(len(sim.denied)) / float64(len(sim.admitted)+len(sim.denied)); part > 0.2 {
		t.Errorf("%.0f%% denied", 100*part)
	}
	clear(sim.disconnected)
	before := len(sim.denied)
	sim.runLoad(60, 5*time.Second)
	if n := len(sim.denied) - before; n > 15 {
		t.Errorf("%d denied after the allocator was reachable again", n)
	}
}
