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

// member reports whether a machine is a member, with a vote, in a view that serves.
func (s *scenario) isMember(m *Machine) bool {
	return slices.Contains(s.Members(), m.node.Addr) && slices.Contains(s.Chain(), m.node.Addr) &&
		m.stored.CaughtUp && len(m.stored.OutgoingMembers) == 0
}

// tolerant waits until the next loss can be tolerated.
func (s *scenario) awaitTolerance(limit time.Duration) {
	s.t.Helper()
	s.eventually("the next loss can be tolerated", limit, s.Tolerant)
}

// Given a machine of the core that is gone for good, when another one with an empty disk starts in its
// place, then that is a member within the users' sync_s, with all that was acknowledged; and the old one,
// when it comes back with its disk, is refused, and comes back as a learner that nobody has room for.
func TestReplacementMachineBecomesAMember(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		s := startScenario(t, 1)
		old := s.Machine(name)
		old.Kill()
		s.putNext(s.Machine("z2-2"))
		fresh := s.Add(old.node.Zone)
		fresh.Start()
		s.eventually("it is a member", 4*time.Second, func() bool { return s.isMember(fresh) })
		s.awaitTolerance(300 * time.Millisecond)
		s.putNext(s.Machine("z1-2"))
		id := old.stored.StoreID
		old.Start()
		s.eventually("the old one has given up", 2*time.Second, func() bool {
			return !old.stored.CaughtUp && old.stored.StoreID != id && len(old.stored.Members) == 0
		})
		s.Run(4 * time.Second)
		if slices.Contains(s.Members(), old.node.Addr) || len(s.Chain()) != 3 {
			t.Errorf("members %v, chain %v", s.Members(), s.Chain())
		}
		s.eventually("all go by the newest", time.Second, func() bool { return s.Converged(s.version) })
		for _, m := range s.Replicas() { // the next loss, at once
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

// Given changes under way, when every machine of the core is replaced in turn, three times over, each gone
// for good, by one at another address with an empty disk, then nothing acknowledged is lost, and the
// learners alone are the core.
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
	s.eventually("all go by it", 2*time.Second, func() bool { return s.Converged(s.version) })
	s.restartAll()
	s.eventually("the newcomers serve", 4*time.Second,
		func() bool { return len(s.Chain()) == 3 && s.Converged(s.version) })
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
}

// replacing plays a replacement under changes until a moment: one of the core is gone for good, and a
// learner has started, at a new address or, with an empty disk, at the same. Without a moment it plays
// until that is a member.
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

// ends holds a story to its end: all is well again, and nothing that was acknowledged is lost.
func (s *scenario) checkRecovered(what string) {
	s.t.Helper()
	s.eventually(what+": the core serves", 8*time.Second, func() bool { return len(s.Chain()) >= 2 })
	s.putNext(s.Machine("z3-2"))
	s.eventually(what+": all go by the newest", 4*time.Second, func() bool { return s.Converged(s.version) })
	s.readVersion(s.Machine("z2-2"))
	if wrong := s.consistent(); wrong != "" {
		s.t.Errorf("%s: %s", what, wrong)
	}
}

// Given a replacement, when at any moment around it all processes of the core are killed, or any one, and
// start again with their disks, then nothing acknowledged is lost, and the learner is a member in the end.
func TestKillsDuringReplacement(t *testing.T) {
	t.Parallel()
	t.Run("new address", func(t *testing.T) { killDuringReplacement(t, false) })
	t.Run("same address", func(t *testing.T) { killDuringReplacement(t, true) })
}

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
			s.eventually(what+": it is a member", 8*time.Second, func() bool { return s.isMember(fresh) })
			s.version = max(s.version, c.Version)
			s.checkRecovered(what)
		}
	}
}

// Given a replacement, when at the moment from which the next loss can be tolerated, or within the steps
// after it, any machine of the core is lost with its disk, right after a change, then nothing acknowledged is
// lost, and the two that are left serve.
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
			s.eventually("a wiped disk is a newcomer", 6*time.Second, func() bool { return s.isMember(m) })
			s.awaitTolerance(time.Second)
		}
	}
}

// Given any history of machines that are lost for good, wiped, cut off, frozen, stopped in order and added,
// each at the very moment from which the next loss can be tolerated, when several operators race meanwhile,
// then all that they hear is what one register would say, and the core is whole in the end.
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

// memberships draws a history of members, and returns what went wrong.
func runMembershipHistory(x *Cluster) string {
	rng := rand.New(rand.NewPCG(x.Seed, 4))
	x.StartAll()
	if !x.Until(func() bool { return x.Tolerant() }, 8*time.Second) {
		return "the first start did not complete"
	}
	version := uint64(1)
	var lost []*Machine // that come back
	noticedAt := x.Now  // from when on a loss has been noticed: what is said to be tolerated counts it
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
				return fmt.Sprint("no end of a repair; chain ", x.Chain(), ", members ", x.Members())
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
					m.poweredOff = rng.IntN(2) == 0 // and the machine is switched off
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
		return fmt.Sprint("no end of the last repair; chain ", x.Chain(), ", members ", x.Members())
	}
	x.Run(4 * time.Second)
	c := x.Read(x.Machines[len(x.Machines)-1])
	x.Run(2 * time.Second)
	if wrong := x.consistent(); wrong != "" {
		return wrong
	}
	if !c.Acknowledged || !x.Converged(c.Version) {
		return "not all go by the newest"
	}
	return ""
}

// permitted draws a loss that is to be tolerated: of machines, or of all those of some zones or regions.
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

// draw draws the zones of some regions, each of so many zones.
func (c *Cluster) drawZones(rng *rand.Rand, regions, zones int) (list []string) {
	for _, r := range rng.Perm(c.Zones / zones)[:regions] {
		for z := range zones {
			list = append(list, fmt.Sprintf("z%d", r*zones+z+1))
		}
	}
	return list
}

// replaceDrawn has another machine take the place of one that is gone, before or after that.
func (c *Cluster) replaceAfterDelay(m *Machine, rng *rand.Rand) {
	fresh := c.Replace(m)
	c.schedule(time.Duration(rng.IntN(1200))*time.Millisecond, fresh.Start)
}

// Given a machine of the core that is told to stop while another one waits, then that takes its place
// before the process has ended, however soon; where none waits, it stays a member until one does.
func TestDrainedMemberHandsOver(t *testing.T) {
	s := startScenario(t, 1)
	spare := s.Add("z1")
	spare.Start()
	s.Run(2 * time.Second)
	if slices.Contains(s.Members(), spare.node.Addr) {
		t.Fatalf("a core that is whole has taken in another member: %v", s.Members())
	}
	head := s.Machine("z1-1")
	c := s.PutVersion(s.Machine("z3-2"), s.version+1)
	head.controlNode.Drain(s.Now)
	if !head.controlNode.HandingOver() {
		t.Error("its process doesn't wait for the other")
	}
	s.eventually("the other has taken its place", 500*time.Millisecond, func() bool { return s.isMember(spare) })
	s.eventually("it knows", 100*time.Millisecond, func() bool {
		return !head.stored.CaughtUp && !head.controlNode.HandingOver()
	})
	if s.Until(func() bool { return c.Ended }, time.Second); !c.Acknowledged {
		t.Error("a change in the midst of it is not acknowledged")
	}
	s.version++
	head.Kill()
	s.Run(time.Second)
	s.Machine("z2-1").controlNode.Drain(s.Now)
	if s.Machine("z2-1").controlNode.HandingOver() {
		t.Error("its process waits for nobody")
	}
	s.Run(time.Second)
	if !slices.Contains(s.Members(), s.Machine("z2-1").node.Addr) {
		t.Errorf("one has left without a successor: %v", s.Members())
	}
	s.checkRecovered("after that")
}

// by has an order by hand carried out or refused, as operators do: one without a clear answer is sent again.
func (s *scenario) changeMembers(m *Machine, add, remove string) (ok bool, why string) {
	s.t.Helper()
	for range 6 {
		change := s.ChangeMembers(m, add, remove)
		if s.Until(func() bool { return change.Ended }, time.Second); change.Answer != nil {
			s.Run(50 * time.Millisecond) // that it is complete is on the disks, too
			return change.Answer.OK, change.Answer.Reason
		}
	}
	s.t.Fatalf("add %q, remove %q: no answer", add, remove)
	return false, ""
}

// Given a core, when operators add, remove and replace members by hand, through any machine, under changes,
// then it is done, also where the head itself is removed; and it is refused, with the reason, where it
// would leave no quorum or nobody is there.
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
		{remove: spare, members: 3}, // it is none: that is so
		{add: spare, members: 4},
		{add: spare, members: 4}, // sent again
		{add: other, remove: a, members: 4},
		{remove: s.Machine("z3-1"), members: 3},
		{remove: b, members: 2},
		{remove: spare, why: "could not be tolerated", members: 2},
	} {
		if c.remove == b {
			b.Kill() // it would come back as a learner, and the core is small
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

// removedMember plays a member that operators remove while it runs, or while it is cut off from the members
// and hears of it from a seed without a disk; it is started again, and so are all. It returns whether that is
// a member again, though nobody has added it.
func restartRemovedMember(t *testing.T, isolated bool, spoil func(*Machine, *replica.PersistentState)) (s *scenario,
	m *Machine,
	rejoined bool) {
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
	s.eventually("it has given up", 8*time.Second, func() bool {
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

// Given a member that operators have removed, while it ran or was cut off, when it is started again, and all
// are, and the core is smaller than it should be, then it stays out, until operators add it; another learner
// comes. One that forgets that it was removed is found.
func TestOperatorRemovalPersists(t *testing.T) {
	for _, cut := range []bool{false, true} {
		s, m, back := restartRemovedMember(t, cut, nil)
		if back {
			t.Errorf("cut %v: it is back in %v", cut, s.Members())
		}
		fresh := s.Add("z3")
		fresh.Start()
		s.eventually("another one comes", 4*time.Second, func() bool { return s.isMember(fresh) })
		if ok, why := s.changeMembers(s.Machine("z1-2"), m.node.Addr, ""); !ok || !s.isMember(m) || m.stored.RemovedByOperator {
			t.Errorf("cut %v: added by staff: %v %q, members %v", cut, ok, why, s.Members())
		}
		s.checkRecovered("after that")
		if _, _, back := restartRemovedMember(t, cut,
			func(_ *Machine, r *replica.PersistentState) { r.RemovedByOperator = false }); !back {
			t.Errorf("cut %v: the seeded defect is not found", cut)
		}
	}
}

// Given a core in which one of three is lost, when operators would remove one of the two others, then that is
// refused for want of a quorum; and removing the one that is lost is not.
func TestOperatorChangeLeavesAQuorum(t *testing.T) {
	s := startScenario(t, 1)
	s.Machine("z3-1").Kill()
	s.Run(2 * time.Second)
	at := s.Machine("z1-2")
	if ok, why := s.changeMembers(at, "", s.Machine("z2-1").node.Addr); ok || !strings.Contains(why, "no quorum") {
		t.Errorf("one of the two that are left: %v %q", ok, why)
	}
	if ok, why := s.changeMembers(at, "", s.Machine("z3-1").node.Addr); !ok {
		t.Errorf("the lost one: %q", why)
	}
	s.checkRecovered("after that")
}

// handedOver plays a change that is acknowledged while one of three is away, a member that is replaced
// then, and the loss of the only other one that has the change: the successor has to have it. What is
// seeded takes hold as the successor starts.
func handOverWithMemberAway(t *testing.T, inject func(s *scenario, fresh *Machine)) (wrong string) {
	t.Helper()
	s := startScenario(t, 1)
	away, old, left := s.Machine("z3-1"), s.Machine("z1-1"), s.Machine("z2-1")
	away.Kill()
	s.putNext(left) // old and left have it
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
	return "the newest can't be read"
}

// partitionedChange plays a core that has replaced a machine; that comes back beside one of the others, and
// the two are cut off from the rest while operators are at both sides.
func partitionAfterReplacement(t *testing.T, inject func(s *scenario, old, peer *Machine)) (wrong string) {
	t.Helper()
	s := startScenario(t, 1)
	old, peer := s.Machine("z1-1"), s.Machine("z2-1")
	old.Kill()
	fresh := s.Add("z1")
	fresh.Start()
	s.eventually("it is a member", 4*time.Second, func() bool { return s.isMember(fresh) })
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

// Given what must not be done as members change, when it is done, then it is told; and without it nothing is.
func TestInjectedMembershipDefectsAreDetected(t *testing.T) {
	onReceive := func(kind message.Type, to *Machine, do func(m *message.Message)) func(*Machine, *message.Message) {
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
		"a change agreed by the new members alone": handOverWithMemberAway(t, func(s *scenario, _ *Machine) {
			s.Spoil = func(_ *Machine, r *replica.PersistentState) { r.OutgoingMembers = nil }
		}),
		"a newcomer that votes before it is caught up": handOverWithMemberAway(t, func(s *scenario, fresh *Machine) {
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
		"a removed member that votes under its old life": partitionAfterReplacement(t, func(_ *scenario, old,
			peer *Machine) {
			// Its vote counts beside that of one which has forgotten the change.
			peer.stored.Members, peer.stored.MembershipEpoch = old.stored.Members, old.stored.MembershipEpoch
		}),
		"a wiped disk that votes under its old life": func() string {
			s := startScenario(t, 1)
			a, b, c := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1")
			c.Kill()
			s.putNext(a) // a and b have it
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
			t.Errorf("not found: %s", name)
		}
	}
}

// Given a first start, when any two of its three seeds are killed at any moment of it and start again with
// what is on their disks, and with settings that know of no first start, then one core is named, and it
// serves with all machines; so it is if one of the two has lost its disk besides.
func TestFirstStartSurvivesLossOfTwoSeeds(t *testing.T) {
	for spared := range 3 {
		for at := time.Duration(0); at < 1100*time.Millisecond; at += 20 * time.Millisecond {
			if wrong := killTwoSeeds(spared, at, at%(80*time.Millisecond) == 0); wrong != "" {
				t.Errorf("all but seed %d killed at %v: %s", spared, at, wrong)
			}
		}
	}
}

// Given any first start, when one seed loses its disk at any moment of it, another one is killed and all
// are cut off from each other, then no two cores are named, and once all is well one serves.
func TestRandomFirstStartsWithLostDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if wrong := runFirstStartWithLostDisk(seed); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// Given a core that two seeds have named, when one of them is cut off and the other has lost its disk, then
// the third names no other core with that. A seed that says that it can't have forgotten what it promised,
// and has, is found.
func TestSeedWithLostDiskBootstrapsNoOtherCore(t *testing.T) {
	if wrong := loseSeedDiskAfterBootstrap(nil); wrong != "" {
		t.Error(wrong)
	}
	if loseSeedDiskAfterBootstrap(func(_ *Machine, r *replica.PersistentState) { r.Bootstrap.Trusted = true }) == "" {
		t.Error("the seeded defect is not found")
	}
}

// forgetful plays that, and returns what went wrong.
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
	if spoil != nil { // as its disk is found
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

// lostSeed draws a first start in which a seed loses its disk, and returns what went wrong.
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
			restart(seeds[(lost+1)%3], false) // always the same: so no more than two forget what is not on disk
		}
		x.Run(time.Duration(rng.IntN(900)) * time.Millisecond)
	}
	repairMachines(x, x.Replicas())
	if !x.Until(func() bool { return x.ToleratedFailures() >= 1 }, 15*time.Second) {
		return "no core serves"
	}
	return x.consistent()
}

// twoSeedsLost plays a first start in which all seeds but one are killed, and returns what went wrong.
func killTwoSeeds(spared int, at time.Duration, wiped bool) (wrong string) {
	x := New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: uint64(at)})
	x.StartAll()
	x.Run(at)
	for i, m := range x.Replicas() {
		if i != spared {
			m.Kill()
			m.startedBefore = true // the settings by which it starts again are of no first start
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

// Given a machine of the core whose disk takes nothing, or that hears nobody, while another one waits, then
// that takes its place as for one that is silent; and when all is well again, it is a learner.
func TestMemberWithFailedDiskOrNoInboundLinksIsReplaced(t *testing.T) {
	for name, setFault := range map[string]func(s *scenario, m *Machine, on bool){
		"disk": func(_ *scenario, m *Machine, on bool) { m.FillDisk(on) },
		"ears": func(s *scenario, m *Machine, on bool) {
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
		s.eventually(name+": the other is a member", 4*time.Second, func() bool { return s.isMember(spare) })
		s.awaitTolerance(time.Second)
		setFault(s, m, false)
		s.eventually(name+": it has given up", 3*time.Second, func() bool { return !m.stored.CaughtUp })
		s.checkRecovered(name)
	}
}

// Given a machine of the core that is heard and hears nobody, or not one of the others, when changes go on
// for some seconds, then none is held up, and it is back when the cut ends.
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
				t.Errorf("%s hears nothing of %q: held up for %v of 4 s, %d changes", name, from, delayed, n)
			}
			s.HealAll()
			s.eventually("it is back", 4*time.Second,
				func() bool { return s.ToleratedFailures() == 1 && receiver.Version() == s.version })
		}
	}
}

// Given a member whose disk is lost while a second one takes no view, when another disk is to be the member
// at its address, then the change is not complete before that second one has it: the vote of the new disk
// is not the old one's. Counted as that, it is found.
func TestNewDiskAtAnAddressIsANewMember(t *testing.T) {
	play := func(spoil func(*Machine, *replica.PersistentState)) (complete bool, wrong string) {
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
	if complete, wrong := play(nil); complete || wrong != "" {
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
	if _, wrong := play(byAddress); wrong == "" {
		t.Error("the seeded defect is not found")
	}
}
