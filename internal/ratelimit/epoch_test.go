package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// twoAllocators plays an allocator of the counts that goes on answering after another has taken its place, to
// a tenant that asks for many times its quota, and returns what passed at most within a window.
func twoAllocators(seed uint64, taken bool) (most int, allowed float64) {
	w := given(seed, 12, Limits{Rate: 200, Burst: 200})
	w.run(8 * time.Second)
	old, epoch := w.allocator, w.epoch
	w.activateNext()
	for i, m := range w.limiters[:6] { // they reach the old one, and don't reach the other
		m.send = func(q *message.Message) {
			asked := q.Body.(*message.TokenRequest)
			late := *asked
			late.Epoch = epoch
			grant := *old.Allocate(w.now, Requester{fmt.Sprint(i), q.Incarnation}, q.RequestID, &late)
			if taken {
				grant.Epoch = asked.Epoch
			}
			w.at(time.Millisecond, func() { m.HandleGrant(w.now, q.Incarnation, q.RequestID, &grant) })
		}
	}
	w.asks(1600, 8*time.Second)
	return w.most(), w.allowed()
}

// Given an allocator that was frozen or cut off and goes on answering, when another has taken its place, then
// its grants are not taken, and no window holds more than the rules allow. Were they taken, it would.
func TestGrantsOfAnOldAllocatorAreNotTaken(t *testing.T) {
	for seed := range uint64(5) {
		if most, allowed := twoAllocators(seed, false); float64(most) > allowed {
			t.Errorf("%d in a window, %v allowed", most, allowed)
		}
		if most, allowed := twoAllocators(seed, true); float64(most) <= allowed {
			t.Errorf("not found: the grants of an old allocator are taken: %d in a window, %v allowed", most, allowed)
		}
	}
}

// Given an allocator under an epoch, when it is asked under an older one, or told to open under one, then it
// gives nothing, and its stores are as they were.
func TestAnAllocatorGrantsNothingUnderAnOlderEpoch(t *testing.T) {
	now := time.Hour
	d := NewAllocator(func(string) Limits { return Limits{Rate: 100, Burst: 100} })
	d.Activate(now, 7)
	ask := func(epoch, call uint64) *message.TokenGrant {
		return d.Allocate(now, Requester{Addr: "a"}, call, &message.TokenRequest{Epoch: epoch,
			Tokens: []message.TenantTokens{{Tenant: "t", Tokens: 3, Spent: 1}}})
	}
	now += 10 * time.Second
	if g := ask(6, 1); g.OK || len(g.Tokens) > 0 {
		t.Errorf("under an older epoch: %+v", g)
	}
	d.Activate(now, 6)
	if g := ask(6, 2); g.OK {
		t.Error("opened under an older epoch")
	}
	if g := ask(7, 3); !g.OK || g.Tokens[0].Tokens != 3 || d.buckets["t"].tokens != 96 {
		t.Errorf("%+v, %v left", g, d.buckets["t"].tokens)
	}
}

// Given a third of the gateways, cut off from who is the allocator, when a tenant asks for many times its
// quota at all of them, and the others hear of the loss after a lease, then no window holds more than the
// rules allow, which bind those that are cut off, too.
func TestAThirdCutOffSpendsNoMoreThanTheRulesAllow(t *testing.T) {
	for _, rate := range []float64{20, 60, 200} {
		w := given(3, 12, Limits{Rate: rate, Burst: rate})
		members := func(n int) (list []message.Node) {
			for i := range n {
				list = append(list, message.Node{Addr: fmt.Sprint(i)})
			}
			return list
		}
		w.allocator.SetNodes(w.now, members(12))
		w.run(8 * time.Second)
		w.asks(rate*3, 5*time.Second)
		for i := 8; i < 12; i++ {
			w.cut[i] = true
		}
		allocator := w.allocator
		w.at(3*time.Second, func() { allocator.SetNodes(w.now, members(8)) })
		w.asks(rate*3, 20*time.Second)
		if most := w.most(); float64(most) > w.allowed() {
			t.Errorf("rate %v: %d in a window, %v allowed", rate, most, w.allowed())
		}
	}
}
