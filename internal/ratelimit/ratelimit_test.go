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

// cluster is gateways and allocators with delays between them, in virtual time.
type cluster struct {
	now       time.Duration
	events    queue
	rng       *rand.Rand
	limits    Limits
	limiters  []*Limiter
	allocator *Allocator
	epoch     uint64
	cut       map[int]bool // gateways that don't reach the allocator
	passed    []time.Duration
	denied    []time.Duration
}

type event struct {
	at time.Duration
	do func()
}

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

func (w *cluster) at(after time.Duration, do func()) { heap.Push(&w.events, event{w.now + after, do}) }

// given makes a cluster of so many gateways before one tenant.
func given(seed uint64, gateways int, l Limits) *cluster {
	w := &cluster{now: time.Hour, rng: rand.New(rand.NewPCG(seed, 3)), limits: l, cut: map[int]bool{}}
	for i := range gateways {
		m := NewLimiter(uint64(i+1), func(string) Limits { return w.limits }, nil, func(State) {})
		m.send = func(q *message.Message) { w.ask(i, m, q) }
		w.limiters = append(w.limiters, m)
		var tick func()
		tick = func() {
			m.Tick(w.now)
			w.at(100*time.Millisecond, tick)
		}
		w.at(time.Duration(i)*time.Millisecond, tick)
	}
	w.activateNext()
	return w
}

// activateNext has another machine be the allocator.
func (w *cluster) activateNext() {
	w.epoch++
	w.allocator = NewAllocator(func(string) Limits { return w.limits })
	w.allocator.Activate(w.now, w.epoch)
	for _, m := range w.limiters {
		m.SetAllocator(w.epoch, len(w.limiters))
	}
}

func (w *cluster) ask(i int, m *Limiter, q *message.Message) {
	if w.cut[i] {
		return
	}
	allocator := w.allocator
	w.askAt(i, m, allocator, q, func() bool { return allocator != w.allocator })
}

// askAt asks an allocator, unless that has gone by the time at which the question comes.
func (w *cluster) askAt(i int, m *Limiter, allocator *Allocator, q *message.Message, gone func() bool) {
	delay := func() time.Duration { return time.Duration(500+w.rng.IntN(3000)) * time.Microsecond }
	w.at(delay(), func() {
		if gone() {
			return
		}
		grant := allocator.Allocate(w.now, Requester{fmt.Sprint(i), q.Incarnation}, q.RequestID,
			q.Body.(*message.TokenRequest))
		w.at(delay(), func() { m.HandleGrant(w.now, q.Incarnation, q.RequestID, grant) })
	})
}

// asks has the tenant ask so often a second, at any gateway, for a time.
func (w *cluster) asks(rate float64, length time.Duration) {
	end := w.now + length
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		decided := func(ok bool, _ time.Duration) { w.decided(ok) }
		if v, _ := w.limiters[w.rng.IntN(len(w.limiters))].Take(w.now, "t", decided); v != Wait {
			w.decided(v == Allow)
		}
		w.at(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.at(0, next)
	w.run(length)
}

func (w *cluster) decided(ok bool) {
	if ok {
		w.passed = append(w.passed, w.now)
	} else {
		w.denied = append(w.denied, w.now)
	}
}

func (w *cluster) run(length time.Duration) {
	for end := w.now + length; len(w.events) > 0 && w.events[0].at <= end; {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// most is the most that was let in within any window.
func (w *cluster) most() (most int) {
	from := 0
	for i, at := range w.passed {
		for w.passed[from] < at-time.Duration(quotaWindowSeconds*float64(time.Second)) {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowed is the rules' bound: a tenth over the quota, and twenty requests.
func (w *cluster) allowed() float64 {
	return (w.limits.Rate*quotaWindowSeconds+w.limits.Burst)*1.1 + 20
}

// Given any tenant, gateways and demand, when it asks many times its quota, allocators change and gateways
// are cut off, then no window holds more than the rules allow.
func TestNoWindowHoldsMoreThanTheRulesAllow(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 15
	p := gopter.NewProperties(params)
	p.Property("bounded", prop.ForAll(func(seed uint64, gateways int, rate float64, times float64) bool {
		w := given(seed, gateways, Limits{Rate: rate, Burst: rate})
		w.run(8 * time.Second)
		w.asks(rate*0.6, 3*time.Second)
		w.asks(rate*times, 6*time.Second)
		if seed%2 == 0 {
			w.activateNext()
		}
		for i := range gateways * int(seed%4) / 12 {
			w.cut[i] = true
		}
		w.asks(rate*times, 6*time.Second)
		return float64(w.most()) <= w.allowed()
	}, gen.UInt64(), gen.IntRange(1, 84), gen.Float64Range(20, 250), gen.Float64Range(1, 8)))
	p.TestingRun(t)
}

// Given a tenant within its quota, when it asks at few or many gateways, then all but a few are let in.
func TestWhoStaysWithinItsQuotaIsLetIn(t *testing.T) {
	for _, c := range []struct {
		gateways int
		rate     float64
	}{{3, 20}, {15, 148}, {15, 30}, {84, 40}, {84, 300}} {
		w := given(9, c.gateways, Limits{Rate: c.rate, Burst: c.rate})
		w.run(8 * time.Second)
		w.asks(c.rate*0.62, 20*time.Second)
		if part := float64(len(w.denied)) / float64(len(w.passed)+len(w.denied)); part > 0.005 {
			t.Errorf("%d gateways, %v a second: %.1f%% refused", c.gateways, c.rate, 100*part)
		}
	}
}

// Given a tenant that asks many times its quota, when all is well, then it gets what its quota holds.
func TestWhoAsksTooMuchGetsItsQuota(t *testing.T) {
	for _, gateways := range []int{5, 15, 84} {
		w := given(5, gateways, Limits{Rate: 100, Burst: 100})
		w.run(8 * time.Second)
		w.asks(600, 20*time.Second)
		if got := float64(len(w.passed)) / (100*20 + 100); got < 0.9 {
			t.Errorf("%d gateways: %.0f%% of the quota", gateways, 100*got)
		}
	}
}

// Given gateways among which a tenant's room is parts of a request, so that nothing is leased ahead, when
// the allocator was silent for a while, then all reach it again, and who stays within its quota is let in.
func TestAllReachAnAllocatorThatIsBack(t *testing.T) {
	w := given(3, 84, Limits{Rate: 40, Burst: 40})
	w.run(8 * time.Second)
	w.asks(25, 2*time.Second)
	for i := range w.limiters {
		w.cut[i] = true
	}
	w.asks(25, 3*time.Second)
	clear(w.cut)
	w.asks(25, time.Second)
	alone := 0
	for _, m := range w.limiters {
		alone += int(m.state)
	}
	before := len(w.denied)
	w.asks(25, 10*time.Second)
	if n := len(w.denied) - before; alone > 0 || n > 3 {
		t.Errorf("%d alone a second after the allocator was back, %d refused then", alone, n)
	}
}

// Given an allocator that falls silent, when a tenant goes on within half its quota, then most of it is let
// in.
func TestWithoutAnAllocatorEvenSharesAreSpent(t *testing.T) {
	w := given(2, 12, Limits{Rate: 100, Burst: 100})
	w.run(8 * time.Second)
	for i := range w.limiters {
		w.cut[i] = true
	}
	w.asks(40, 10*time.Second)
	if part := float64(len(w.denied)) / float64(len(w.passed)+len(w.denied)); part > 0.2 {
		t.Errorf("%.0f%% refused", 100*part)
	}
	clear(w.cut)
	before := len(w.denied)
	w.asks(60, 5*time.Second)
	if n := len(w.denied) - before; n > 15 {
		t.Errorf("%d refused after the allocator was back", n)
	}
}
