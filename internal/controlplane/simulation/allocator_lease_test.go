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

// gateway asks every machine of the core for tokens all the time, each under the epoch that this one knows,
// and holds their grants to one allocator at a time.
type allocatorProbe struct {
	s           *scenario
	calls       uint64
	epoch       uint64        // newest under which tokens were given
	lastGrant   time.Duration // when any were given last
	longestGap  time.Duration // the longest without any
	staleGrants []string
}

// asking begins to ask.
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

func (g *allocatorProbe) granted(from *Machine, epoch uint64) {
	if epoch < g.epoch {
		g.staleGrants = append(g.staleGrants, fmt.Sprintf("%v: %s gives under %d, another gave under %d", g.s.Now-time.Hour,
			from.Name, epoch, g.epoch))
		return
	}
	g.epoch, g.longestGap, g.lastGrant = epoch, max(g.longestGap, g.s.Now-g.lastGrant), g.s.Now
}

// allocator is the machine that is the allocator; nil: none does.
func (c *Cluster) allocator() *Machine {
	return c.At(replica.RoleHolder(c.Chain(), replica.QuotaAllocator))
}

// halves are troubles in which a machine is in touch with some of the core and not with others: one that
// is the allocator hears a majority in its view until the moment at which there is another.
var partialFaults = []fault{
	{name: "not heard by one", hit: func(s *scenario, m *Machine) { s.CutOneWay(m, s.nextReplica(m), true) }},
	{name: "does not hear one", hit: func(s *scenario, m *Machine) { s.CutOneWay(s.nextReplica(m), m, true) }},
	{name: "not heard by one, and hears nobody as that makes another view", hit: func(s *scenario, m *Machine) {
		s.CutOneWay(m, s.nextReplica(m), true)
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
	{name: "killed for a moment", hit: func(s *scenario, m *Machine) {
		m.Kill()
		s.schedule(300*time.Millisecond, m.Start)
	}},
}

// next is the machine of the core after one.
func (c *Cluster) nextReplica(m *Machine) *Machine {
	all := c.Replicas()
	return all[(slices.Index(all, m)+1)%len(all)]
}

// allocators draws a history in which machines of the core, mostly the one that is the allocator, get into
// trouble, some in the middle of a change of the view, and returns the gateway that asked all the while.
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

// Given any troubles of machines of the core, when all of them are asked for tokens all the while, then once
// one has given some in a view, none gives any in an earlier one. Where all say at once that no earlier
// allocator has a lease, some do.
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
		t.Error("not found: a successor that waits for no lease")
	}
}

// Given a machine that is the allocator, when it is stopped beside a spare, or another one goes, then
// there is an allocator again as soon as there is a view without it: nobody waits for a lease. When it is
// killed, there is one once the time of its lease has passed: that it refuses connections is no proof
// that its process is gone.
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
			t.Errorf("place %d hands over: no tokens for %v, chain %v", place, g.longestGap, s.Chain())
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
			t.Errorf("place %d killed: no tokens for %v, another view after %v", place, g.longestGap, served)
		}
	}
}

// Given a core whose processes are all killed, when two of them are back and make a view, and the third comes
// as that is being made, then tokens are given soon after it has answered in the view: no earlier incarnation
// of it can give any.
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
	s.eventually("tokens are given", time.Second, func() bool { return g.lastGrant > last })
	if took := s.Now - began; took > 250*time.Millisecond {
		t.Errorf("the first tokens %v after the view began", took)
	}
}

// delayedWatch has a gateway's watches wait for a while on their way, or come again after it, and ends
// its process; it returns for how long the others count it as a member.
func timeInMembershipAfterKill(t *testing.T, duplicate bool, tamper func(*Machine, *message.Message)) time.Duration {
	s := startScenario(t, 2)
	s.Tamper = tamper
	m, other := s.Machine("z1-2"), s.Machine("z2-2")
	s.eventually("all are members", 5*time.Second, func() bool { return other.Nodes() == len(s.Machines) })
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

// Given a gateway whose watches wait on their way, or come again, when its process ends, then its
// lease runs out as if they had not: it counts from its own sending. If it counted from receipt, it would be
// longer.
func TestLeaseStartsWhenTheWatchIsSent(t *testing.T) {
	const limit = 3*time.Second + 900*time.Millisecond // a lease, and a watch until others hear of it
	for _, duplicate := range []bool{false, true} {
		if took := timeInMembershipAfterKill(t, duplicate, nil); took > limit {
			t.Errorf("again %v: a member for %v after its end", duplicate, took)
		}
	}
	if took := timeInMembershipAfterKill(t, false, func(_ *Machine, m *message.Message) {
		if watch, ok := m.Body.(*message.Watch); ok {
			watch.EchoDelayMillis = 1 << 30
		}
	}); took <= limit {
		t.Errorf("not found: leases that count from receipt: a member for %v after its end", took)
	}
}

// Given a machine of the core in a trouble that goes one way, when tokens are asked for all the while,
// then none are given for no longer than follows from the lease: one that is not the allocator costs no
// more than a change of the view, and the allocator that hears nobody gives its role up.
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
		allocatorLimit time.Duration // where it is the allocator
	}{
		{"hears nobody", receivesNothing, 2 * viewChange},
		{"not heard by one", notReceivedByOne, viewChange},
		{"does not hear one", doesNotReceiveFromOne, viewChange},
		{"killed for a moment", func(s *scenario, m *Machine) {
			m.Kill()
			s.schedule(300*time.Millisecond, m.Start)
		}, 600 * time.Millisecond},
		{"wiped, and started before it is missed", func(s *scenario, m *Machine) {
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
			if place == 1 { // of the chain: the allocator
				limit = c.allocatorLimit
			}
			t.Logf("%s, place %d: %v", c.name, place, g.longestGap)
			if g.longestGap > limit || len(g.staleGrants) > 0 {
				t.Errorf("%s, place %d: no tokens for %v %v", c.name, place, g.longestGap, g.staleGrants)
			}
		}
	}
}

// Given a core whose processes are all killed, when all but one start again, then tokens are given as
// soon as there is a view, unless the one that is away was the allocator, or may have been: then the time
// of its lease is waited out from the others' start. A replica that finds no note of who may hold leases
// on its disk waits for any.
func TestLeaseWaitAfterRestart(t *testing.T) {
	timeToTokens := func(away int, spoil func(*Machine, *replica.PersistentState)) time.Duration {
		s := startScenario(t, 1)
		s.Spoil = spoil
		g := s.probeAllocator()
		s.Run(2 * time.Second)
		s.restart(s.At(s.Chain()[2])) // another view, so that the note is written
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
			t.Errorf("place %d is away: tokens %v after the view", away, took)
		}
	}
	dropHolders := func(_ *Machine, r *replica.PersistentState) { r.HoldersKnown, r.EarlierHolders = false, nil }
	if took := timeToTokens(0, dropHolders); took < awaited {
		t.Errorf("a disk of an earlier program: tokens %v after the view", took)
	}
}

// restart kills a machine's process and starts it again.
func (s *scenario) restart(m *Machine) {
	m.Kill()
	s.Run(200 * time.Millisecond)
	m.Start()
}
