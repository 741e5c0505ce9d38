package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// twoHolders plays a holder of the counts that goes on answering after another has taken its place, to a
// tenant that asks for many times its quota, and returns what passed at most within a window.
func twoHolders(seed uint64, taken bool) (most int, allowed float64) {
	w := given(seed, 12, Limits{Rate: 200, Burst: 200})
	w.run(8 * time.Second)
	old, epoch := w.desk, w.epoch
	w.opens()
	for i, m := range w.meters[:6] { // they reach the old one, and don't reach the other
		m.send = func(q *message.Message) {
			o := *q
			o.Epoch = epoch
			g := *old.Allocate(w.now, fmt.Sprint(i), &o)
			if taken {
				g.Epoch = q.Epoch
			}
			w.at(time.Millisecond, func() { m.HandleGrant(w.now, &g) })
		}
	}
	w.asks(1600, 8*time.Second)
	return w.most(), w.allowed()
}

// Given a holder that was frozen or cut off and goes on answering, when another has taken its place, then its
// grants are not taken, and no window holds more than the rules allow. Were they taken, it would.
func TestGrantsOfAnOldHolderAreNotTaken(t *testing.T) {
	for seed := range uint64(5) {
		if most, allowed := twoHolders(seed, false); float64(most) > allowed {
			t.Errorf("%d in a window, %v allowed", most, allowed)
		}
		if most, allowed := twoHolders(seed, true); float64(most) <= allowed {
			t.Errorf("not found: the grants of an old holder are taken: %d in a window, %v allowed", most, allowed)
		}
	}
}

// Given a desk under an epoch, when it is asked under an older one, or told to open under one, then it gives
// nothing, and its stores are as they were.
func TestADeskGivesNothingUnderAnOlderEpoch(t *testing.T) {
	now := time.Hour
	d := NewAllocator(func(string) Limits { return Limits{Rate: 100, Burst: 100} })
	d.Activate(now, 7)
	ask := func(epoch, call uint64) *message.Message {
		return d.Allocate(now, "a", &message.Message{Type: message.TypeTokenRequest, RequestID: call, Epoch: epoch,
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

// Given a third of the ingresses, cut off from who keeps the counts, when a tenant asks for many times its
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
		w.desk.SetNodes(w.now, members(12))
		w.run(8 * time.Second)
		w.asks(rate*3, 5*time.Second)
		for i := 8; i < 12; i++ {
			w.cut[i] = true
		}
		desk := w.desk
		w.at(3*time.Second, func() { desk.SetNodes(w.now, members(8)) })
		w.asks(rate*3, 20*time.Second)
		if most := w.most(); float64(most) > w.allowed() {
			t.Errorf("rate %v: %d in a window, %v allowed", rate, most, w.allowed())
		}
	}
}
