package simulation

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// isMember reports whether a machine is a member that has caught up, in the view in service, and no
// membership change is pending on its disk.
func (s *scenario) isMember(m *Machine) bool {
	return slices.Contains(s.Members(), m.node.Addr) && slices.Contains(s.Chain(), m.node.Addr) &&
		m.stored.CaughtUp && len(m.stored.OutgoingMembers) == 0
}

// awaitTolerance waits until the next loss can be tolerated.
func (s *scenario) awaitTolerance(limit time.Duration) {
	s.t.Helper()
	s.eventually("the next loss can be tolerated", limit, s.Tolerant)
}

// A member is killed, and a new machine with an empty disk starts in its zone. The new one must become a
// member within the specified sync_s, with everything acknowledged. When the old one restarts with its disk,
// it must be rejected, give up its store and stay a learner, as no member needs to be replaced.
func TestReplacementMachineBecomesAMember(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		s := startScenario(t, 1)
		old := s.Machine(name)
		old.Kill()
		s.putNext(s.Machine("z2-2"))
		fresh := s.Add(old.node.Zone)
		fresh.Start()
		s.eventually("the new machine is a member", 4*time.Second, func() bool { return s.isMember(fresh) })
		s.awaitTolerance(300 * time.Millisecond)
		s.putNext(s.Machine("z1-2"))
		id := old.stored.StoreID
		old.Start()
		s.eventually("the old machine has given up its store", 2*time.Second, func() bool {
			return !old.stored.CaughtUp && old.stored.StoreID != id && len(old.stored.Members) == 0
		})
		s.Run(4 * time.Second)
		if slices.Contains(s.Members(), old.node.Addr) || len(s.Chain()) != 3 {
			t.Errorf("members %v, chain %v", s.Members(), s.Chain())
		}
		s.eventually("all have applied the newest version", time.Second,
			func() bool { return s.Converged(s.version) })
		for _, m := range s.Replicas() { // the next loss, immediately
			if m != old && m != fresh {
				m.Kill()
				break
			}
		}
		s.putNext(s.Machine("z3-2"))
		if wrong := s.consistent(); wrong != "" {
			t.Error(wrong)
		}
	}
}

// During changes, every member is replaced in turn, three times over, by a machine at another address with an
// empty disk. Nothing acknowledged may be lost, and the core must consist of the new machines only.
func TestReplacingAllMembersInTurnThreeTimes(t *testing.T) {
	s := startScenario(t, 1)
	core := s.Replicas()
	for round := range 3 {
		for i, old := range core {
			fresh := s.Replace(old)
			s.putNext(s.Machines[(round+i)%len(s.Machines)])
			fresh.Start()
			s.putNext(s.Machines[i])
			s.eventually(fmt.Sprint(i, " of round ", round, " is a member"), 4*time.Second,
				func() bool { return s.isMember(fresh) })
			s.awaitTolerance(time.Second)
			core[i] = fresh
		}
	}
	s.eventually("all have applied the last change", 2*time.Second,
		func() bool { return s.Converged(s.version) })
	s.restartAll()
	s.eventually("the new members serve", 4*time.Second,
		func() bool { return len(s.Chain()) == 3 && s.Converged(s.version) })
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
}

// replaceMember replaces a member during changes, by a new machine at another address or by itself with an
// empty disk, and runs until the given time. If that is 0, it runs until the replacement is a member.
func replaceMember(t *testing.T, until time.Duration, sameAddress bool) (s *scenario, fresh *Machine) {
	t.Helper()
	s = startScenario(t, 1)
	if fresh = s.Machine("z1-1"); sameAddress {
		fresh.Kill()
		fresh.WipeDisk()
	} else {
		fresh = s.Replace(fresh)
	}
	s.putNext(s.Machine("z2-1"))
	fresh.Start()
	for until == 0 && !s.isMember(fresh) || s.Now < until {
		s.putNext(s.Machine("z3-2"))
		if s.Run(5 * time.Millisecond); until > 0 && s.Now+12*time.Millisecond > until {
			s.Run(max(0, until-s.Now))
		}
	}
	return s, fresh
}

// checkRecovered checks that the core serves, that a change is applied everywhere and that nothing
// acknowledged is lost. what describes the situation.
func (s *scenario) checkRecovered(what string) {
	s.t.Helper()
	s.eventually(what+": the core serves", 8*time.Second, func() bool { return len(s.Chain()) >= 2 })
	s.putNext(s.Machine("z3-2"))
	s.eventually(what+": all have applied the newest version", 4*time.Second,
		func() bool { return s.Converged(s.version) })
	s.readVersion(s.Machine("z2-2"))
	if wrong := s.consistent(); wrong != "" {
		s.t.Errorf("%s: %s", what, wrong)
	}
}

// At any time around a replacement, one or all replicas are killed and restarted with their disks. Nothing
// acknowledged may be lost, and the learner must become a member in the end.
func TestKillsDuringReplacement(t *testing.T) {
	t.Parallel()
	t.Run("new address", func(t *testing.T) { killDuringReplacement(t, false) })
	t.Run("same address", func(t *testing.T) { killDuringReplacement(t, true) })
}

// killDuringReplacement kills each replica, or all, at times around the end of a replacement.
func killDuringReplacement(t *testing.T, sameAddress bool) {
	baseline, _ := replaceMember(t, 0, sameAddress)
	for at := -36 * time.Millisecond; at <= 12*time.Millisecond; at += 3 * time.Millisecond {
		for victim := range 4 {
			s, fresh := replaceMember(t, baseline.Now+at, sameAddress)
			c := s.Put(s.Machine("z3-2"), s.version+2, fmt.Sprint("racing-", at))
			s.Run(time.Duration(victim) * time.Millisecond)
			for i, m := range s.Replicas() {
				if victim == 3 || i == victim {
					m.Kill()
				}
			}
			s.Run(300 * time.Millisecond)
			for _, m := range s.Replicas() {
				m.Start()
			}
			what := fmt.Sprint("victim ", victim, " at ", at)
			s.eventually(what+": the replacement is a member", 8*time.Second, func() bool { return s.isMember(fresh) })
			s.version = max(s.version, c.Version)
			s.checkRecovered(what)
		}
	}
}

// After a replacement, as soon as the next loss can be tolerated or up to 16 ms later, any replica is lost
// with its disk, right after a change. Nothing acknowledged may be lost, and the two remaining replicas must
// serve.
func TestLossRightAfterRepair(t *testing.T) {
	for after := time.Duration(0); after <= 16*time.Millisecond; after += 2 * time.Millisecond {
		for victim := range 3 {
			s, _ := replaceMember(t, 0, false)
			s.awaitTolerance(4 * time.Second)
			s.Run(after)
			s.putNext(s.Machine("z2-2"))
			m := s.Replicas()[victim]
			m.Kill()
			m.WipeDisk()
			s.checkRecovered(fmt.Sprint("victim ", victim, " after ", after))
			m.Start()
			s.eventually("the wiped replica is a member again", 6*time.Second, func() bool { return s.isMember(m) })
			s.awaitTolerance(time.Second)
		}
	}
}

// Random machines are removed permanently, wiped, isolated, frozen, drained and added, each as soon as the
// next loss can be tolerated, while operators race. All responses must be linearizable, and the core must be
// repaired completely in the end.
func TestRandomMembershipHistories(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(13)
	params.MinSuccessfulTests = 30
	p := gopter.NewProperties(params)
	p.Property("calls are linearizable", prop.ForAll(func(seed uint64) string {
		x := New(Options{Zones: 3, ReplicasPerZone: 1 + int(seed%2), GatewaysPerZone: 1,
			SurviveMachines: 1 + int(seed%2), Seed: seed})
		if seed%4 < 2 {
			x.Network = networkNoise(seed, false)
		}
		return runMembershipHistory(x)
	}, gen.UInt64()))
	p.TestingRun(t)
}

// runMembershipHistory runs a random history of membership changes and faults. It returns a description of
// the failure, "" if there is none.
func runMembershipHistory(x *Cluster) string {
	rng := rand.New(rand.NewPCG(x.Seed, 4))
	x.StartAll()
	if !x.Until(func() bool { return x.Tolerant() }, 8*time.Second) {
		return "the first start did not complete"
	}
	version := uint64(1)
	var lost []*Machine // that will be restarted
	noticedAt := x.Now  // the time by which a loss is detected, so that Tolerant accounts for it
	for range 10 {
		for i := range 1 + rng.IntN(3) {
			version += rng.Uint64N(2)
			x.Put(x.Machines[rng.IntN(len(x.Machines))], version, fmt.Sprintf("t%d", i%2))
			x.Run(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
		if rng.IntN(3) > 0 {
			repairMachines(x, lost)
			lost = nil
			if !x.Until(func() bool { return x.Now >= noticedAt && x.Tolerant() }, 12*time.Second) {
				return fmt.Sprint("a repair does not complete; chain ", x.Chain(), ", members ", x.Members())
			}
		}
		if x.Now >= noticedAt && x.Tolerant() {
			for m := range x.drawTolerableLoss(rng) {
				switch rng.IntN(4) {
				case 0:
					if slices.Contains(x.Machines, m) {
						x.replaceAfterDelay(m, rng)
					}
				case 1:
					if m.up {
						m.controlNode.Drain(x.Now)
					}
					x.Run(time.Duration(rng.IntN(600)) * time.Millisecond)
					m.Kill()
					m.poweredOff = rng.IntN(2) == 0 // and the machine is powered off
					lost = append(lost, m)
				default:
					if slices.Contains(x.Machines, m) {
						lost = append(lost, m)
						injectFault(x, m, rng)
					}
				}
			}
			noticedAt = x.Now + time.Second
			if rng.IntN(4) == 0 {
				x.Add("z1").Start()
			}
		}
		x.Run(time.Duration(rng.IntN(1500)) * time.Millisecond)
		x.Read(x.Machines[rng.IntN(len(x.Machines))])
		if rng.IntN(2) == 0 {
			repairMachines(x, lost)
			lost = nil
		}
		if rng.IntN(6) == 0 {
			repairMachines(x, x.Replicas())
			x.restartAll()
			lost = nil
		}
	}
	repairMachines(x, x.Replicas())
	if !x.Until(func() bool { return x.Tolerant() }, 12*time.Second) {
		return fmt.Sprint("the last repair does not complete; chain ", x.Chain(), ", members ", x.Members())
	}
	x.Run(4 * time.Second)
	c := x.Read(x.Machines[len(x.Machines)-1])
	x.Run(2 * time.Second)
	if wrong := x.consistent(); wrong != "" {
		return wrong
	}
	if !c.Acknowledged || !x.Converged(c.Version) {
		return "not all have applied the newest version"
	}
	return ""
}

// drawTolerableLoss returns the replicas of a random loss that must be tolerated: some machines, or all
// those of some zones or regions.
func (c *Cluster) drawTolerableLoss(rng *rand.Rand) iter.Seq[*Machine] {
	disks := c.Replicas()
	var lost [][]string // zones
	if c.SurviveZones > 0 {
		lost = append(lost, c.drawZones(rng, c.SurviveZones, 1))
	}
	if c.SurviveRegions > 0 {
		lost = append(lost, c.drawZones(rng, c.SurviveRegions, c.ZonesPerRegion))
	}
	if len(lost) == 0 || rng.IntN(len(lost)+1) == 0 {
		return func(yield func(*Machine) bool) {
			for range 1 + rng.IntN(c.SurviveMachines) {
				if !yield(disks[rng.IntN(len(disks))]) {
					return
				}
			}
		}
	}
	zones := lost[rng.IntN(len(lost))]
	return slices.Values(slices.DeleteFunc(disks, func(m *Machine) bool {
		return !slices.Contains(zones, m.node.Zone)
	}))
}

// drawZones returns the zones of some random regions, each of which consists of the given number of zones.
func (c *Cluster) drawZones(rng *rand.Rand, regions, zones int) (list []string) {
	for _, r := range rng.Perm(c.Zones / zones)[:regions] {
		for z := range zones {
			list = append(list, fmt.Sprintf("z%d", r*zones+z+1))
		}
	}
	return list
}

// replaceAfterDelay removes a machine and starts another one in its place after up to 1.2 s.
func (c *Cluster) replaceAfterDelay(m *Machine, rng *rand.Rand) {
	fresh := c.Replace(m)
	c.schedule(time.Duration(rng.IntN(1200))*time.Millisecond, fresh.Start)
}

// A member is drained while a spare is available: the spare must take its place before the process ends. When
// there is no spare, the drained member must stay a member until there is one.
func TestDrainedMemberHandsOver(t *testing.T) {
	s := startScenario(t, 1)
	spare := s.Add("z1")
	spare.Start()
	s.Run(2 * time.Second)
	if slices.Contains(s.Members(), spare.node.Addr) {
		t.Fatalf("a complete core has added another member: %v", s.Members())
	}
	head := s.Machine("z1-1")
	c := s.PutVersion(s.Machine("z3-2"), s.version+1)
	head.controlNode.Drain(s.Now)
	if !head.controlNode.HandingOver() {
		t.Error("the drained process does not wait for its successor")
	}
	s.eventually("the spare is a member in its place", 500*time.Millisecond,
		func() bool { return s.isMember(spare) })
	s.eventually("the drained member has stored that", 100*time.Millisecond, func() bool {
		return !head.stored.CaughtUp && !head.controlNode.HandingOver()
	})
	if s.Until(func() bool { return c.Ended }, time.Second); !c.Acknowledged {
		t.Error("a change during the handover is not acknowledged")
	}
	s.version++
	head.Kill()
	s.Run(time.Second)
	s.Machine("z2-1").controlNode.Drain(s.Now)
	if s.Machine("z2-1").controlNode.HandingOver() {
		t.Error("the drained process waits although there is no successor")
	}
	s.Run(time.Second)
	if !slices.Contains(s.Members(), s.Machine("z2-1").node.Addr) {
		t.Errorf("a member has left without a successor: %v", s.Members())
	}
	s.checkRecovered("afterwards")
}

// changeMembers sends an operator's membership request until it is carried out or refused, as operators do:
// one without a response is sent again. It returns the result and the reason of a refusal.
func (s *scenario) changeMembers(m *Machine, add, remove string) (ok bool, why string) {
	s.t.Helper()
	for range 6 {
		change := s.ChangeMembers(m, add, remove)
		if s.Until(func() bool { return change.Ended }, time.Second); change.Answer != nil {
			s.Run(50 * time.Millisecond) // until the disks have stored the change as complete
			return change.Answer.OK, change.Answer.Reason
		}
	}
	s.t.Fatalf("add %q, remove %q: no response", add, remove)
	return false, ""
}

// Operators add, remove and replace members during changes. The requests must be carried out, also when they
// remove the head, and must be refused with the reason when they would leave no quorum or name a machine that
// cannot be a member.
func TestOperatorMembershipChanges(t *testing.T) {
	s := startScenario(t, 1)
	a, b, spare, other := s.Machine("z1-1"), s.Machine("z2-1"), s.Add("z1"), s.Add("z2")
	spare.Start()
	other.Start()
	s.Run(time.Second)
	at := s.Machine("z3-2")
	for _, c := range []struct {
		add, remove *Machine
		why         string
		members     int
	}{
		{add: s.Machine("z1-2"), why: "no machine with a disk", members: 3},
		{remove: spare, members: 3}, // not a member: nothing to do
		{add: spare, members: 4},
		{add: spare, members: 4}, // repeated
		{add: other, remove: a, members: 4},
		{remove: s.Machine("z3-1"), members: 3},
		{remove: b, members: 2},
		{remove: spare, why: "could not be tolerated", members: 2},
	} {
		if c.remove == b {
			b.Kill() // otherwise it would rejoin as a learner, as the core is small
		}
		addr := func(m *Machine) string {
			if m == nil {
				return ""
			}
			return m.node.Addr
		}
		if c.remove == s.Machine("z3-1") || c.remove == b {
			for _, m := range []*Machine{a, s.Machine("z3-1")} {
				m.Kill()
			}
			s.Run(time.Second)
		}
		put := s.PutVersion(at, s.version+1)
		ok, why := s.changeMembers(at, addr(c.add), addr(c.remove))
		if ok != (c.why == "") || !strings.Contains(why, c.why) || len(s.Members()) != c.members {
			t.Fatalf("add %q, remove %q: %v %q, members %v", addr(c.add), addr(c.remove), ok, why, s.Members())
		}
		if s.Until(func() bool { return put.Ended }, time.Second); put.Acknowledged {
			s.version++
		}
	}
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
}

// restartRemovedMember lets operators remove a member that runs, or that is isolated from the members and
// learns of the removal from a seed without a disk. Then it restarts that machine, and later all. rejoined
// reports whether it is a member again although no operator has added it.
func restartRemovedMember(t *testing.T, isolated bool,
	spoil func(*Machine, *replica.PersistentState)) (s *scenario, m *Machine, rejoined bool) {
	t.Helper()
	s = startScenario(t, 1)
	s.Spoil = spoil
	m = s.Machine("z3-1")
	if s.Isolate(m, isolated); isolated {
		s.Run(time.Second)
	}
	if ok, why := s.changeMembers(s.Machine("z1-2"), "", m.node.Addr); !ok {
		t.Fatal(why)
	}
	s.eventually("it has given up its store", 8*time.Second, func() bool {
		if m.controlNode.Replica().IsUninitialized() {
			return true
		}
		if s.seeds = []string{s.Machine("z2-2").node.Addr}; isolated && m.up {
			m.Kill()
			m.Start()
			s.Run(time.Second)
		}
		return false
	})
	s.HealAll()
	s.Run(3 * time.Second)
	m.Kill()
	m.Start()
	s.Run(3 * time.Second)
	s.restartAll()
	s.eventually("the others serve", 4*time.Second, func() bool { return len(s.Chain()) >= 2 })
	s.Run(4 * time.Second)
	return s, m, slices.Contains(s.Members(), m.node.Addr)
}

// A member that operators removed, while it ran or was isolated, is restarted, as are all machines. Although
// the core is smaller than configured, it must not rejoin until operators add it, and another learner must
// join. The injected defect, a machine that loses the record of its removal, must be detected.
func TestOperatorRemovalPersists(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		s, m, rejoined := restartRemovedMember(t, isolated, nil)
		if rejoined {
			t.Errorf("isolated %v: it has rejoined %v", isolated, s.Members())
		}
		fresh := s.Add("z3")
		fresh.Start()
		s.eventually("another machine joins", 4*time.Second, func() bool { return s.isMember(fresh) })
		if ok, why := s.changeMembers(s.Machine("z1-2"), m.node.Addr, ""); !ok || !s.isMember(m) ||
			m.stored.RemovedByOperator {
			t.Errorf("isolated %v: added by operators: %v %q, members %v", isolated, ok, why, s.Members())
		}
		s.checkRecovered("afterwards")
		if _, _, rejoined := restartRemovedMember(t, isolated,
			func(_ *Machine, r *replica.PersistentState) { r.RemovedByOperator = false }); !rejoined {
			t.Errorf("isolated %v: the injected defect is not detected", isolated)
		}
	}
}

// One of three members is lost. An operator's request to remove one of the two others must be refused
// because no quorum would remain, and the removal of the lost one must be carried out.
func TestOperatorChangeLeavesAQuorum(t *testing.T) {
	s := startScenario(t, 1)
	s.Machine("z3-1").Kill()
	s.Run(2 * time.Second)
	at := s.Machine("z1-2")
	if ok, why := s.changeMembers(at, "", s.Machine("z2-1").node.Addr); ok ||
		!strings.Contains(why, "no quorum") {
		t.Errorf("removal of one of the two that are left: %v %q", ok, why)
	}
	if ok, why := s.changeMembers(at, "", s.Machine("z3-1").node.Addr); !ok {
		t.Errorf("removal of the lost one: %q", why)
	}
	s.checkRecovered("afterwards")
}

// handOverWithMemberAway acknowledges a change while one of three members is down, replaces a second one, and
// then loses the third, the only other member with the change: the successor must have it. inject is called
// before the successor starts. It returns a description of the failure, "" if there is none.
func handOverWithMemberAway(t *testing.T, inject func(s *scenario, fresh *Machine)) (wrong string) {
	t.Helper()
	s := startScenario(t, 1)
	away, old, left := s.Machine("z3-1"), s.Machine("z1-1"), s.Machine("z2-1")
	away.Kill()
	s.putNext(left) // stored by old and left
	s.Run(time.Second)
	fresh := s.Add("z1")
	inject(s, fresh)
	fresh.Start()
	old.controlNode.Drain(s.Now)
	s.Until(func() bool { return slices.Contains(s.Members(), fresh.node.Addr) }, 6*time.Second)
	s.Run(100 * time.Millisecond)
	for _, m := range s.Machines {
		m.Kill()
	}
	s.Spoil, s.Tamper = nil, nil
	for _, m := range s.Machines {
		if m != old && m != left {
			m.Start()
		}
	}
	s.Run(4 * time.Second)
	c := s.Read(fresh)
	s.Run(time.Second)
	if wrong := s.consistent(); wrong != "" || c.Acknowledged {
		return wrong
	}
	return "the newest configuration cannot be read"
}

// partitionAfterReplacement replaces a member. The old one restarts together with one of the other members,
// and these two are partitioned from the rest while operators use both sides. inject is called before the
// two restart. It returns a description of the failure, "" if there is none.
func partitionAfterReplacement(t *testing.T, inject func(s *scenario, old, peer *Machine)) (wrong string) {
	t.Helper()
	s := startScenario(t, 1)
	old, peer := s.Machine("z1-1"), s.Machine("z2-1")
	old.Kill()
	fresh := s.Add("z1")
	fresh.Start()
	s.eventually("the new machine is a member", 4*time.Second, func() bool { return s.isMember(fresh) })
	s.awaitTolerance(time.Second)
	peer.Kill()
	for _, m := range s.Machines {
		s.Cut(old, m, m != peer)
		s.Cut(peer, m, m != old)
	}
	inject(s, old, peer)
	old.Start()
	peer.Start()
	s.Run(3 * time.Second)
	for range 4 {
		s.Put(old, s.version+1, "of-the-old")
		s.Put(fresh, s.version+1, "of-the-new")
		s.Run(time.Second)
	}
	s.HealAll()
	s.Run(4 * time.Second)
	return s.consistent()
}

// Injected defects in membership changes must be detected, and without them nothing may be reported.
func TestInjectedMembershipDefectsAreDetected(t *testing.T) {
	onReceive := func(kind message.Type, to *Machine,
		do func(m *message.Message)) func(*Machine, *message.Message) {
		return func(at *Machine, m *message.Message) {
			if at == to && m.Type() == kind {
				do(m)
			}
		}
	}
	noDefect := func(*scenario, *Machine) {}
	if wrong := handOverWithMemberAway(t, noDefect); wrong != "" {
		t.Errorf("without a defect: %s", wrong)
	}
	if wrong := partitionAfterReplacement(t, func(*scenario, *Machine, *Machine) {}); wrong != "" {
		t.Errorf("without a defect: %s", wrong)
	}
	for name, wrong := range map[string]string{
		"a change agreed on by the new members only": handOverWithMemberAway(t, func(s *scenario, _ *Machine) {
			s.Spoil = func(_ *Machine, r *replica.PersistentState) { r.OutgoingMembers = nil }
		}),
		"a new member that votes before it has caught up": handOverWithMemberAway(t,
			func(s *scenario, fresh *Machine) {
				s.Spoil = func(m *Machine, r *replica.PersistentState) {
					if m == fresh {
						r.Value = replica.Value{}
					}
				}
			}),
		"a member that leaves before its successor has the state": handOverWithMemberAway(t,
			func(s *scenario, fresh *Machine) {
				s.Tamper = onReceive(message.TypeInstallView, fresh, func(m *message.Message) {
					install := m.Body.(*message.InstallView)
					install.Version, install.Config, install.AcceptedVersions = 0, nil, nil
				})
			}),
		"a removed member that votes as its earlier incarnation": partitionAfterReplacement(t,
			func(_ *scenario, old, peer *Machine) {
				// Its vote would count together with that of peer, whose disk has lost the change.
				peer.stored.Members, peer.stored.MembershipEpoch = old.stored.Members, old.stored.MembershipEpoch
			}),
		"a wiped disk that votes as its earlier incarnation": func() string {
			s := startScenario(t, 1)
			a, b, c := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1")
			c.Kill()
			s.putNext(a) // stored by a and b
			a.Kill()
			b.Kill()
			was := b.stored
			b.WipeDisk()
			b.stored = replica.PersistentState{CaughtUp: true, StoreID: was.StoreID, Members: was.Members}
			b.Start()
			c.Start()
			s.Run(4 * time.Second)
			s.Read(b)
			s.Run(time.Second)
			return s.consistent()
		}(),
	} {
		if wrong == "" {
			t.Errorf("not detected: %s", name)
		}
	}
}

// Any two of three seeds are killed at any time during a first start, and restarted with their disks and
// without the first-start option. One core must be formed, and must serve with all replicas; also when one
// of the two has lost its disk.
func TestFirstStartSurvivesLossOfTwoSeeds(t *testing.T) {
	for spared := range 3 {
		for at := time.Duration(0); at < 1100*time.Millisecond; at += 20 * time.Millisecond {
			if wrong := killTwoSeeds(spared, at, at%(80*time.Millisecond) == 0); wrong != "" {
				t.Errorf("all but seed %d killed at %v: %s", spared, at, wrong)
			}
		}
	}
}

// During random first starts, one seed loses its disk, another one is killed, and seeds are partitioned. No
// two cores may be formed, and one must serve once all faults are repaired.
func TestRandomFirstStartsWithLostDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if wrong := runFirstStartWithLostDisk(seed); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// Two seeds have formed a core. One of them is isolated and the other loses its disk: the third must not
// form another core with the latter. The injected defect, a seed with a lost disk that claims that its
// promises are complete, must be detected.
func TestSeedWithLostDiskBootstrapsNoOtherCore(t *testing.T) {
	if wrong := loseSeedDiskAfterBootstrap(nil); wrong != "" {
		t.Error(wrong)
	}
	if loseSeedDiskAfterBootstrap(func(_ *Machine, r *replica.PersistentState) {
		r.Bootstrap.Trusted = true
	}) == "" {
		t.Error("the injected defect is not detected")
	}
}

// loseSeedDiskAfterBootstrap runs the scenario of the test above. spoil modifies the wiped disk; it may be
// nil. It returns a description of the failure, "" if there is none.
func loseSeedDiskAfterBootstrap(spoil func(*Machine, *replica.PersistentState)) (wrong string) {
	x := New(Options{Zones: 3, ReplicasPerZone: 2, SurviveMachines: 1, Seed: 3})
	a, known, b, c := x.Machine("z1-1"), x.Machine("z1-2"), x.Machine("z2-1"), x.Machine("z3-1")
	x.Cut(a, x.Machine("z2-2"), true)
	x.Cut(a, x.Machine("z3-2"), true)
	for _, m := range x.Machines {
		if m != c {
			m.Start()
		}
	}
	x.Until(func() bool { return len(known.stored.Members) > 0 }, 3*time.Second)
	x.Isolate(a, true)
	x.Isolate(known, true)
	b.Kill()
	b.WipeDisk()
	if spoil != nil { // the state that the seed finds on its disk
		spoil(b, &b.stored)
		b.stored.Bootstrap.Seeds = x.seeds
	}
	b.Start()
	c.Start()
	x.Run(8 * time.Second)
	x.HealAll()
	if !x.Until(func() bool { return x.ToleratedFailures() >= 1 }, 15*time.Second) {
		return "no core serves"
	}
	return x.consistent()
}

// runFirstStartWithLostDisk runs a random first start in which a seed loses its disk. It returns a
// description of the failure, "" if there is none.
func runFirstStartWithLostDisk(seed uint64) (wrong string) {
	x := New(Options{Zones: 3, ReplicasPerZone: 1 + int(seed%2), GatewaysPerZone: 1, SurviveMachines: 1,
		Seed: seed})
	rng := rand.New(rand.NewPCG(seed, 6))
	var seeds []*Machine
	for _, m := range x.Machines {
		if slices.Contains(x.seeds, m.node.Addr) {
			seeds = append(seeds, m)
		}
		x.schedule(time.Duration(rng.IntN(1+rng.IntN(2)*2000))*time.Millisecond, m.Start)
	}
	x.Run(time.Duration(600+rng.IntN(500)) * time.Millisecond)
	restart := func(m *Machine, wipe bool) {
		m.Kill()
		m.startedBefore = true
		if wipe {
			m.WipeDisk()
		}
		x.Run(time.Duration(rng.IntN(200)) * time.Millisecond)
		m.Start()
	}
	lost := rng.IntN(3)
	wiped := rng.IntN(4)
	for i := range 4 {
		a, b := seeds[rng.IntN(3)], seeds[rng.IntN(3)]
		switch rng.IntN(4) {
		case 0:
			x.CutOneWay(a, b, a != b)
		case 1:
			x.Isolate(a, true)
		case 2:
			x.HealAll()
		}
		if i == wiped {
			restart(seeds[lost], true)
		} else {
			restart(seeds[(lost+1)%3], false) // always the same seed, so that at most two lose unsaved state
		}
		x.Run(time.Duration(rng.IntN(900)) * time.Millisecond)
	}
	repairMachines(x, x.Replicas())
	if !x.Until(func() bool { return x.ToleratedFailures() >= 1 }, 15*time.Second) {
		return "no core serves"
	}
	return x.consistent()
}

// killTwoSeeds runs a first start and kills all seeds but one at the given time. It returns a description of
// the failure, "" if there is none.
func killTwoSeeds(spared int, at time.Duration, wiped bool) (wrong string) {
	x := New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: uint64(at)})
	x.StartAll()
	x.Run(at)
	for i, m := range x.Replicas() {
		if i != spared {
			m.Kill()
			m.startedBefore = true // it restarts without the first-start option
			if wiped {
				m.WipeDisk()
				wiped = false
			}
		}
	}
	x.Run(at % (90 * time.Millisecond))
	for _, m := range x.Machines {
		m.Start()
	}
	if !x.Until(func() bool { return len(x.Chain()) == 3 && x.ToleratedFailures() == 1 }, 9*time.Second) {
		return "the core does not serve"
	}
	if _, ok := x.PutUntilAcknowledged(x.Machines[1], 3, 4*time.Second); !ok {
		return "nothing is acknowledged"
	}
	return x.consistent()
}

// The disk of a member is full, or the member cannot receive, while a spare is available. The spare must
// take its place as for a silent member, and the member must be a learner after the fault.
func TestMemberWithFailedDiskOrNoInboundLinksIsReplaced(t *testing.T) {
	for name, setFault := range map[string]func(s *scenario, m *Machine, on bool){
		"disk": func(_ *scenario, m *Machine, on bool) { m.FillDisk(on) },
		"inbound links": func(s *scenario, m *Machine, on bool) {
			for _, other := range s.Machines {
				s.CutOneWay(other, m, on && other != m)
			}
		},
	} {
		s := startScenario(t, 1)
		spare := s.Add("z1")
		spare.Start()
		s.Run(time.Second)
		m := s.Machine("z1-1")
		setFault(s, m, true)
		s.putNext(s.Machine("z2-2"))
		s.eventually(name+": the spare is a member", 4*time.Second, func() bool { return s.isMember(spare) })
		s.awaitTolerance(time.Second)
		setFault(s, m, false)
		s.eventually(name+": the old member has given up its store", 3*time.Second,
			func() bool { return !m.stored.CaughtUp })
		s.checkRecovered(name)
	}
}

// A replica can send, but cannot receive from any machine or from one other replica, while changes continue
// for some seconds. No change may be delayed, and the replica must rejoin after the partition.
func TestMemberThatCannotReceiveIsExcluded(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for _, from := range []string{"", "z1-1", "z2-1", "z3-1"} {
			s := startScenario(t, 1)
			receiver := s.Machine(name)
			for _, m := range s.Machines {
				s.CutOneWay(m, receiver, m != receiver && (from == "" || from == m.Name))
			}
			s.Run(2 * time.Second)
			delayed, n := time.Duration(0), 0
			for end := s.Now + 4*time.Second; s.Now < end; n++ {
				if took := s.putNext(s.Machine("z3-2")); took > 100*time.Millisecond {
					delayed += took
				}
			}
			if delayed > 0 {
				t.Errorf("%s receives nothing from %q: changes delayed for %v of 4 s, %d changes", name, from, delayed, n)
			}
			s.HealAll()
			s.eventually("it is back", 4*time.Second,
				func() bool { return s.ToleratedFailures() == 1 && receiver.Version() == s.version })
		}
	}
}

// A member loses its disk while a second member receives no view, and the empty disk at the same address is
// to replace the lost one. The change must not be complete before the second member stores it, as the new
// disk's vote does not count as the old one's. The injected defect, which identifies members by address
// only, must be detected.
func TestNewDiskAtAnAddressIsANewMember(t *testing.T) {
	run := func(spoil func(*Machine, *replica.PersistentState)) (complete bool, wrong string) {
		s := startScenario(t, 1)
		s.Spoil = spoil
		lost, third := s.Machine("z1-1"), s.Machine("z3-1")
		s.Network = func(_, to string, m *message.Message) []Delivery {
			install, ok := m.Body.(*message.InstallView)
			if ok && to == third.node.Addr && len(install.OutgoingMembers) > 0 {
				return nil
			}
			return []Delivery{{To: to, Message: m}}
		}
		lost.Kill()
		lost.WipeDisk()
		s.Run(time.Second)
		lost.Start()
		s.Until(func() bool { return lost.stored.CaughtUp }, 4*time.Second)
		s.restartAll()
		s.Run(6 * time.Second)
		complete = s.ToleratedFailures() > 0 || len(s.Chain()) > 0 && !slices.Contains(s.Chain(), third.node.Addr)
		s.Network, s.Spoil = nil, nil
		s.restartAll()
		if s.Until(func() bool { return s.ToleratedFailures() == 1 }, 6*time.Second); s.ToleratedFailures() != 1 {
			return complete, "the core does not serve"
		}
		return complete, s.consistent()
	}
	if complete, wrong := run(nil); complete || wrong != "" {
		t.Errorf("complete without the third: %v; %s", complete, wrong)
	}
	byAddress := func(_ *Machine, r *replica.PersistentState) {
		r.OutgoingMembers = slices.Clone(r.OutgoingMembers)
		for i := range r.OutgoingMembers {
			for _, m := range r.Members {
				if m.Addr == r.OutgoingMembers[i].Addr {
					r.OutgoingMembers[i].StoreID = m.StoreID
				}
			}
		}
	}
	if _, wrong := run(byAddress); wrong == "" {
		t.Error("the injected defect is not detected")
	}
}
