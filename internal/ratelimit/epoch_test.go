package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// simulateTwoAllocators runs an allocator that goes on answering half of the gateways after it was replaced,
// while a tenant exceeds its quota many times over. It returns the maximum number of requests that were
// admitted in a window, and how many are permitted. acceptStale relabels the stale grants, so that limiters
// apply them.
func simulateTwoAllocators(seed uint64, acceptStale bool) (admitted int, permitted float64) {
	sim := newSimulation(seed, 12, Limits{Rate: 200, Burst: 200})
	sim.run(8 * time.Second)
	old, epoch := sim.allocator, sim.epoch
	sim.replaceAllocator()
	for i, limiter := range sim.limiters[:6] { // these reach only the replaced allocator
		limiter.send = func(msg *message.Message) {
			request := msg.Body.(*message.TokenRequest)
			stale := *request
			stale.Epoch = epoch
			grant := *old.Allocate(sim.now, Requester{fmt.Sprint(i), msg.Incarnation}, msg.RequestID, &stale)
			if acceptStale {
				grant.Epoch = request.Epoch
			}
			sim.schedule(time.Millisecond, func() {
				limiter.HandleGrant(sim.now, msg.Incarnation, msg.RequestID, &grant)
			})
		}
	}
	sim.runLoad(1600, 8*time.Second)
	return sim.maxAdmittedInWindow(), sim.maxPermittedInWindow()
}

// An allocator that was suspended or disconnected may go on answering after it was replaced. Limiters ignore
// its grants, so that no window exceeds the permitted number of requests. Windows do if the grants are
// applied.
func TestGrantsOfAReplacedAllocatorAreIgnored(t *testing.T) {
	for seed := range uint64(5) {
		if admitted, permitted := simulateTwoAllocators(seed, false); float64(admitted) > permitted {
			t.Errorf("%d admitted in a window, %v permitted", admitted, permitted)
		}
		if admitted, permitted := simulateTwoAllocators(seed, true); float64(admitted) <= permitted {
			t.Errorf("undetected: stale grants applied, %d admitted in a window, %v permitted", admitted, permitted)
		}
	}
}

// An allocator grants nothing under an older epoch than its own, can't be activated under one, and leaves its
// buckets unchanged by both.
func TestAllocatorGrantsNothingUnderAnOlderEpoch(t *testing.T) {
	now := time.Hour
	allocator := NewAllocator(func(string) Limits { return Limits{Rate: 100, Burst: 100} })
	allocator.Activate(now, 7)
	request := func(epoch, id uint64) *message.TokenGrant {
		return allocator.Allocate(now, Requester{Addr: "a"}, id, &message.TokenRequest{Epoch: epoch,
			Tokens: []message.TenantTokens{{Tenant: "t", Tokens: 3, Spent: 1}}})
	}
	now += 10 * time.Second
	if g := request(6, 1); g.OK || len(g.Tokens) > 0 {
		t.Errorf("granted under an older epoch: %+v", g)
	}
	allocator.Activate(now, 6)
	if g := request(6, 2); g.OK {
		t.Error("activated under an older epoch")
	}
	if g := request(7, 3); !g.OK || g.Tokens[0].Tokens != 3 || allocator.buckets["t"].tokens != 96 {
		t.Errorf("%+v, %v tokens left", g, allocator.buckets["t"].tokens)
	}
}

// No window exceeds the permitted number of requests while a third of the gateways can't reach the allocator
// and spend local shares, the allocator learns of their loss only when their leases have expired, and the
// tenant exceeds its quota at all gateways.
func TestDisconnectedThirdStaysWithinThePermittedRequests(t *testing.T) {
	for _, rate := range []float64{20, 60, 200} {
		sim := newSimulation(3, 12, Limits{Rate: rate, Burst: rate})
		nodes := func(n int) (list []message.Node) {
			for i := range n {
				list = append(list, message.Node{Addr: fmt.Sprint(i)})
			}
			return list
		}
		sim.allocator.SetNodes(sim.now, nodes(12))
		sim.run(8 * time.Second)
		sim.runLoad(rate*3, 5*time.Second)
		for i := 8; i < 12; i++ {
			sim.disconnected[i] = true
		}
		allocator := sim.allocator
		sim.schedule(3*time.Second, func() { allocator.SetNodes(sim.now, nodes(8)) })
		sim.runLoad(rate*3, 20*time.Second)
		if admitted := sim.maxAdmittedInWindow(); float64(admitted) > sim.maxPermittedInWindow() {
			t.Errorf("rate %v: %d admitted in a window, %v permitted", rate, admitted, sim.maxPermittedInWindow())
		}
	}
}
