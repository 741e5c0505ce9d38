package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// allocatorProbe requests tokens from all replicas every 10 ms, from each under the epoch of its own view,
// and checks that there is one allocator at a time.
type allocatorProbe struct {
	s           *scenario
	calls       uint64
	epoch       uint64        // the highest under which tokens were granted
	lastGrant   time.Duration // time of the last grant
	longestGap  time.Duration // the longest time between grants
	staleGrants []string      // grants under an older epoch than an earlier grant
}

// probeAllocator starts a probe. It replaces the cluster's Observe.
func (s *scenario) probeAllocator() *allocatorProbe {
	g := &allocatorProbe{s: s, lastGrant: s.Now}
	s.Observe = func(from *Machine, _ string, m *message.Message) {
		if grant, ok := m.Body.(*message.TokenGrant); ok && grant.OK {
			g.granted(from, grant.Epoch)
		}
	}
	var requestTokens func()
	requestTokens = func() {
		g.calls++
		for _, m := range s.Replicas() {
			if m.up {
				epoch, _ := m.Replica().View()
				request := &message.Message{Incarnation: 1, RequestID: g.calls,
					Body: &message.TokenRequest{Epoch: epoch}}
				s.deliver("client", Delivery{To: m.node.Addr, Message: request})
			}
		}
		s.schedule(10*time.Millisecond, requestTokens)
	}
	requestTokens()
	return g
}

// granted records a grant of tokens.
func (g *allocatorProbe) granted(from *Machine, epoch uint64) {
	if epoch < g.epoch {
		g.staleGrants = append(g.staleGrants, fmt.Sprintf("%v: %s grants under epoch %d, after a grant under %d",
			g.s.Now-time.Hour, from.Name, epoch, g.epoch))
		return
	}
	g.epoch, g.longestGap, g.lastGrant = epoch, max(g.longestGap, g.s.Now-g.lastGrant), g.s.Now
}

// allocator returns the machine that is the quota allocator of the view in service, nil if there is none.
func (c *Cluster) allocator() *Machine {
	return c.At(replica.RoleHolder(c.Chain(), replica.QuotaAllocator))
}

// partialFaults are faults in which a machine can reach some replicas and not others, or fails for a short
// time. An allocator with such a fault can receive from a majority in its view until a new view is formed.
var partialFaults = []fault{
	{name: "not received by one", hit: func(s *scenario, m *Machine) { s.CutOneWay(m, s.nextReplica(m), true) }},
	{name: "does not receive from one",
		hit: func(s *scenario, m *Machine) { s.CutOneWay(s.nextReplica(m), m, true) }},
	{name: "not received by one, then receives nothing", hit: func(s *scenario, m *Machine) {
		s.CutOneWay(m, s.nextReplica(m), true) // which causes a view change
		s.schedule(time.Duration(800+s.rng.IntN(100))*time.Millisecond, func() {
			for _, other := range s.others(m) {
				s.CutOneWay(other, m, true)
			}
		})
	}},
	{name: "cut off from one", hit: func(s *scenario, m *Machine) { s.Cut(m, s.nextReplica(m), true) }},
	{name: "killed", hit: func(_ *scenario, m *Machine) { m.Kill() }},
	{name: "loses power", hit: func(_ *scenario, m *Machine) { m.PowerOff() }},
	{name: "behind a firewall that refuses", hit: func(s *scenario, m *Machine) { s.Refuse(m, true) }},
	{name: "killed and restarted", hit: func(s *scenario, m *Machine) {
		m.Kill()
		s.schedule(300*time.Millisecond, m.Start)
	}},
}

// nextReplica returns the machine with a disk after m, in the cluster's order.
func (c *Cluster) nextReplica(m *Machine) *Machine {
	all := c.Replicas()
	return all[(slices.Index(all, m)+1)%len(all)]
}

// runAllocatorHistory injects random faults into replicas, mostly into the allocator and some during a view
// change. It returns the probe that requested tokens throughout.
func runAllocatorHistory(t *testing.T, seed uint64, tamper func(*Machine, *message.Message)) *allocatorProbe {
	survive := 1 + int(seed%2)
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: survive, GatewaysPerZone: 1, SurviveMachines: survive,
		Seed: seed}), t, 0}
	rng := rand.New(rand.NewPCG(seed, 21))
	s.Tamper = tamper
	s.StartAll()
	s.eventually("the chain serves", 8*time.Second, func() bool { return len(s.Chain()) == len(s.Replicas()) })
	g := s.probeAllocator()
	all := append(slices.Clone(partialFaults), faults...)
	for range 4 {
		var hit []*Machine
		for range 1 + rng.IntN(s.SurviveMachines) {
			m := s.allocator()
			if m == nil || rng.IntN(3) == 0 {
				m = s.Replicas()[rng.IntN(len(s.Replicas()))]
			}
			all[rng.IntN(len(all))].hit(s, m)
			hit = append(hit, m)
			s.Run(time.Duration(rng.IntN(1200)) * time.Millisecond)
		}
		s.Run(time.Duration(rng.IntN(2500)) * time.Millisecond)
		for _, m := range hit {
			s.heal(m)
		}
		s.Run(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
	return g
}

// Under random faults of replicas, once one has granted tokens in a view, none may grant any in an earlier
// one. The injected defect, in which all replicas claim that earlier leases have expired, must be detected.
func TestOneAllocatorAtATime(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(16) {
		if g := runAllocatorHistory(t, seed, nil); len(g.staleGrants) > 0 {
			t.Errorf("seed %d: %d grants, the first: %s", seed, len(g.staleGrants), g.staleGrants[0])
		}
		g := runAllocatorHistory(t, seed, func(_ *Machine, m *message.Message) {
			if h, ok := m.Body.(*message.Heartbeat); ok {
				h.OldLeasesExpired = true
			}
		})
		found += min(1, len(g.staleGrants))
	}
	if found == 0 {
		t.Error("not detected: a successor that does not wait for leases to expire")
	}
}

// When the allocator or another replica is drained while a spare is available, tokens must be granted as
// soon as there is a view without it, without a wait for a lease. When the allocator is killed, they must be
// granted once its lease has expired: that its address refuses connections does not prove that its process
// has ended.
func TestNoLeaseWaitAfterHandover(t *testing.T) {
	for place := range 3 {
		s := startScenario(t, 1)
		s.Add("z2").Start()
		s.Run(2 * time.Second)
		g := s.probeAllocator()
		s.Run(time.Second)
		s.At(s.Chain()[place]).controlNode.Drain(s.Now)
		s.Run(2 * time.Second)
		if g.longestGap > 100*time.Millisecond || len(s.Chain()) != 3 {
			t.Errorf("chain position %d drained: no tokens for %v, chain %v", place, g.longestGap, s.Chain())
		}
		g.longestGap = 0
		s.At(s.Chain()[place]).Kill()
		served := s.Now
		s.eventually("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
		served = s.Now - served
		s.Run(2 * time.Second)
		limit := served + 100*time.Millisecond
		if place == 1 {
			limit = max(limit, replica.MaxStaleness+100*time.Millisecond)
		}
		if g.longestGap > limit {
			t.Errorf("chain position %d killed: no tokens for %v, new view after %v", place, g.longestGap, served)
		}
	}
}

// After all replicas were killed, two form a view, and the third starts during that view change. Tokens must
// be granted soon after the third has responded in the view, as no earlier incarnation of it can grant any.
func TestNoLeaseWaitForReplicaThatAnsweredInTheView(t *testing.T) {
	s := startScenario(t, 1)
	g := s.probeAllocator()
	s.Run(time.Second)
	for _, m := range s.Replicas() {
		m.Kill()
	}
	s.Run(300 * time.Millisecond)
	third := s.Machine("z3-1")
	for _, m := range s.others(third) {
		m.Start()
	}
	s.schedule(200*time.Millisecond, third.Start)
	s.eventually("a view of two", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
	began, last := s.Now, g.lastGrant
	s.eventually("tokens are granted", time.Second, func() bool { return g.lastGrant > last })
	if took := s.Now - began; took > 250*time.Millisecond {
		t.Errorf("the first tokens %v after the view began", took)
	}
}

// timeInMembershipAfterKill delays a gateway's watches by 2.5 s, or duplicates them with that delay, and then
// kills its process. It returns for how long another gateway still lists it after that.
func timeInMembershipAfterKill(t *testing.T, duplicate bool,
	tamper func(*Machine, *message.Message)) time.Duration {
	s := startScenario(t, 2)
	s.Tamper = tamper
	m, other := s.Machine("z1-2"), s.Machine("z2-2")
	s.eventually("all machines are listed", 5*time.Second,
		func() bool { return other.Nodes() == len(s.Machines) })
	s.Network = func(from, to string, x *message.Message) []Delivery {
		late := Delivery{To: to, Message: x, After: 2500 * time.Millisecond}
		switch {
		case x.Type() != message.TypeWatch || from != m.node.Addr:
			late.After = 0
		case duplicate:
			return []Delivery{{To: to, Message: x}, late}
		}
		return []Delivery{late}
	}
	s.Run(time.Second)
	m.Kill()
	killed, last := s.Now, s.Now
	s.Until(func() bool {
		if other.Nodes() == len(s.Machines) {
			last = s.Now
		}
		return false
	}, 12*time.Second)
	return last - killed
}

// A gateway's watches are delayed or duplicated in the network, and its process ends. Its lease must expire
// as without delays, as it starts when the watch is sent. The injected defect, a lease that starts on
// receipt, must be detected.
func TestLeaseStartsWhenTheWatchIsSent(t *testing.T) {
	const limit = 3*time.Second + 900*time.Millisecond // a lease, and a watch until the others are notified
	for _, duplicate := range []bool{false, true} {
		if took := timeInMembershipAfterKill(t, duplicate, nil); took > limit {
			t.Errorf("duplicates %v: listed for %v after its end", duplicate, took)
		}
	}
	if took := timeInMembershipAfterKill(t, false, func(_ *Machine, m *message.Message) {
		if watch, ok := m.Body.(*message.Watch); ok {
			watch.EchoDelayMillis = 1 << 30
		}
	}); took <= limit {
		t.Errorf("not detected: leases that start on receipt: listed for %v after its end", took)
	}
}

// Under a one-way or short fault of a replica, the time without token grants must stay within the bound that
// follows from the lease: a fault of another replica costs at most a view change, and an allocator that
// receives nothing gives up its role.
func TestTokenGapDuringFaults(t *testing.T) {
	const viewChange = 300 * time.Millisecond
	receivesNothing := func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.CutOneWay(other, m, true)
		}
	}
	notReceivedByOne := func(s *scenario, m *Machine) { s.CutOneWay(m, s.nextReplica(m), true) }
	doesNotReceiveFromOne := func(s *scenario, m *Machine) { s.CutOneWay(s.nextReplica(m), m, true) }
	for _, c := range []struct {
		name           string
		hit            func(s *scenario, m *Machine)
		allocatorLimit time.Duration // for a fault of the allocator
	}{
		{"receives nothing", receivesNothing, 2 * viewChange},
		{"not received by one", notReceivedByOne, viewChange},
		{"does not receive from one", doesNotReceiveFromOne, viewChange},
		{"killed and restarted", func(s *scenario, m *Machine) {
			m.Kill()
			s.schedule(300*time.Millisecond, m.Start)
		}, 600 * time.Millisecond},
		{"wiped, and restarted before its failure is detected", func(s *scenario, m *Machine) {
			m.PowerOff()
			m.WipeDisk()
			s.schedule(300*time.Millisecond, m.Start)
		}, 600 * time.Millisecond},
	} {
		for place := range 3 {
			s := startScenario(t, 1)
			g := s.probeAllocator()
			s.Run(2 * time.Second)
			g.longestGap = 0
			c.hit(s, s.At(s.Chain()[place]))
			s.Run(4 * time.Second)
			limit := viewChange
			if place == 1 { // the allocator's position in the chain
				limit = c.allocatorLimit
			}
			t.Logf("%s, chain position %d: %v", c.name, place, g.longestGap)
			if g.longestGap > limit || len(g.staleGrants) > 0 {
				t.Errorf("%s, chain position %d: no tokens for %v %v", c.name, place, g.longestGap, g.staleGrants)
			}
		}
	}
}

// After all replicas were killed, all but one start again. Tokens must be granted as soon as there is a view,
// unless the absent replica was or may have been the allocator: then the time of its lease must pass from the
// others' start. A replica whose disk does not record which replicas may hold leases must wait in any case.
func TestLeaseWaitAfterRestart(t *testing.T) {
	timeToTokens := func(away int, spoil func(*Machine, *replica.PersistentState)) time.Duration {
		s := startScenario(t, 1)
		s.Spoil = spoil
		g := s.probeAllocator()
		s.Run(2 * time.Second)
		s.restart(s.At(s.Chain()[2])) // forces a new view, so that the lease holders are recorded
		s.eventually("all serve", 3*time.Second, func() bool { return len(s.Chain()) == 3 })
		s.Run(time.Second)
		absent := s.At(s.Chain()[away])
		all := s.Replicas()
		for _, m := range all {
			m.Kill()
		}
		s.Run(300 * time.Millisecond)
		for _, m := range all {
			if m != absent {
				m.Start()
			}
		}
		s.eventually("a view", 3*time.Second, func() bool { return s.Chain() != nil })
		began, last := s.Now, g.lastGrant
		s.eventually("tokens", 3*time.Second, func() bool { return g.lastGrant > last })
		if len(g.staleGrants) > 0 {
			t.Error(g.staleGrants)
		}
		return s.Now - began
	}
	const immediate, awaited = 50 * time.Millisecond, 400 * time.Millisecond
	for away, limit := range []time.Duration{immediate, time.Second, immediate} {
		if took := timeToTokens(away, nil); took > limit || away == 1 && took < awaited {
			t.Errorf("chain position %d is absent: tokens %v after the view", away, took)
		}
	}
	dropHolders := func(_ *Machine, r *replica.PersistentState) { r.HoldersKnown, r.EarlierHolders = false, nil }
	if took := timeToTokens(0, dropHolders); took < awaited {
		t.Errorf("a disk of an earlier server version: tokens %v after the view", took)
	}
}

// restart kills a machine's process and starts it again 200 ms later.
func (s *scenario) restart(m *Machine) {
	m.Kill()
	s.Run(200 * time.Millisecond)
	m.Start()
}
