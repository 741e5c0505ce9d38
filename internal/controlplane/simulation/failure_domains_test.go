package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dunespoke/internal/events"
)

// domains are clusters that are to outlive the loss of a zone, and of a region.
var domainOptions = map[string]Options{
	"zones": {Zones: 3, ReplicasPerZone: 2, SurviveMachines: 1, SurviveZones: 1},
	"regions": {Zones: 6, ReplicasPerZone: 1, SurviveMachines: 1, SurviveZones: 1, SurviveRegions: 1,
		ZonesPerRegion: 2},
}

// founded starts a cluster, and waits until what may be lost can be tolerated.
func startTolerant(t *testing.T, o Options) *scenario {
	t.Helper()
	s := &scenario{New(o), t, 0}
	s.StartAll()
	s.awaitTolerance(4 * time.Second)
	s.putNext(s.Machines[0])
	return s
}

// replicasIn returns the machines with a disk in some zones.
func (s *scenario) replicasIn(zones ...string) []*Machine {
	return slices.DeleteFunc(s.Replicas(), func(m *Machine) bool { return !slices.Contains(zones, m.node.Zone) })
}

// loseMachines takes machines away at once, with their disks.
func loseMachines(list []*Machine) {
	for _, m := range list {
		m.PowerOff()
		m.WipeDisk()
	}
}

// Given a core spread over zones, or regions, when one of them is lost whole with its disks right after an
// acknowledgement, and another one right after the repair and an acknowledgement, then nothing acknowledged
// is lost, the others serve, and the lost ones are taken in again.
func TestZoneOrRegionLostRightAfterRepair(t *testing.T) {
	for name, o := range domainOptions {
		for first := range 3 {
			s := startTolerant(t, o)
			for i := range 2 {
				zones := []string{fmt.Sprintf("z%d", (first+i)%3+1)}
				if o.SurviveRegions > 0 {
					region := (first + i) % 3
					zones = []string{fmt.Sprintf("z%d", 2*region+1), fmt.Sprintf("z%d", 2*region+2)}
				}
				lost := s.replicasIn(zones...)
				s.putNext(s.Machines[len(s.Machines)-1])
				loseMachines(lost)
				what := fmt.Sprintf("%s, %v, loss %d", name, zones, i+1)
				s.eventually(what+": the core serves", 8*time.Second, func() bool { return len(s.Chain()) >= 4 })
				s.putNext(s.Machines[0])
				if wrong := s.consistent(); wrong != "" {
					t.Fatalf("%s: %s", what, wrong)
				}
				for _, m := range lost {
					m.Start()
				}
				s.awaitTolerance(6 * time.Second)
			}
		}
	}
}

// Given any history of machines, zones and regions that are lost, each at the very moment from which that can
// be tolerated, then all that operators hear is what one register would say, and the core is whole in the
// end. A program that counts machines alone says too early that it can be tolerated, and is found.
func TestRandomDomainHistories(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(17)
	params.MinSuccessfulTests = 3
	p := gopter.NewProperties(params)
	p.Property("calls are linearizable", prop.ForAll(func(seed uint64) string {
		o := domainOptions[[]string{"zones", "regions"}[seed%2]]
		o.Seed = seed
		return runMembershipHistory(New(o))
	}, gen.UInt64()))
	p.TestingRun(t)
	o := domainOptions["regions"]
	o.Seed = 16 // in the end one region has five of nine members, and nobody comes for the others
	if wrong := runMembershipHistory(New(o)); wrong != "" {
		t.Error(wrong)
	}
	o = domainOptions["zones"]
	o.Seed = 7
	x := New(o)
	x.ignoresFailureDomains = true
	if runMembershipHistory(x) == "" {
		t.Error("the seeded defect is not found")
	}
}

// Given a core of three machines in one zone and one in another, which is the best that there is, when that
// one is away as a change comes, and then the zone of the three is lost with its disks, then the change was
// not acknowledged before the other one had it: it is on a disk that is left. A chain that is long enough by
// count alone acknowledges what is lost.
func TestChainIsSpreadOverZones(t *testing.T) {
	play := func(ignoreDomains bool) (acked, kept bool, log string) {
		x := New(Options{Zones: 2, ReplicasPerZone: 3, SurviveMachines: 1, SurviveZones: 1, Seed: 5})
		x.Trace = func(line string) { log += line }
		x.ignoresFailureDomains = ignoreDomains
		away := x.Machine("z2-1")
		x.Machines = x.Machines[:4]
		x.seeds = []string{x.Machines[0].node.Addr, x.Machines[1].node.Addr, away.node.Addr}
		s := &scenario{x, t, 0}
		s.StartAll()
		s.eventually("all four serve", 36*time.Second, func() bool { return len(s.Chain()) == 4 })
		if !ignoreDomains {
			s.Run(31 * time.Second)
		}
		s.Isolate(away, true)
		s.Run(2 * time.Second)
		c := s.PutVersion(x.Machines[0], 5)
		s.Until(func() bool { return c.Ended }, time.Second)
		acked = c.Acknowledged
		if !acked {
			s.HealAll()
			_, ok := s.PutUntilAcknowledged(x.Machines[1], 5, 8*time.Second)
			if !ok {
				t.Error("it is not acknowledged either once the other zone is back")
			}
		}
		loseMachines(s.replicasIn("z1"))
		return acked, away.stored.Version == 5, log
	}
	acked, kept, log := play(false)
	if acked || !kept {
		t.Errorf("acknowledged without the other zone: %v, on its disk: %v", acked, kept)
	}
	if n := strings.Count(log, events.ToleranceImpossible.Text); n != 1 {
		t.Errorf("logged %d times that no zone may be lost", n)
	}
	if acked, kept, _ := play(true); !acked || kept {
		t.Errorf("the seeded defect is not found: acknowledged %v, kept %v", acked, kept)
	}
}

// Given machines of which one zone's come late, or that are too many in one zone, then the first start waits
// for a core that outlives a zone, and names one; counted alone, it names one that doesn't.
func TestFirstStartIsSpreadOverZones(t *testing.T) {
	play := func(ignoreDomains bool) *scenario {
		s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 5, SurviveMachines: 1, SurviveZones: 1, Seed: 9}), t,
			0}
		s.ignoresFailureDomains = ignoreDomains
		for _, m := range s.Machines {
			switch m.Name {
			case "z2-2", "z2-3", "z2-4", "z2-5", "z3-2", "z3-3", "z3-4", "z3-5": // there are none
			case "z3-1":
				s.schedule(3*time.Second, m.Start)
			default:
				m.Start()
			}
		}
		s.eventually("a core serves", 9*time.Second, func() bool {
			return len(s.Chain()) >= 3 &&
				s.ToleratedFailures() >= 1
		})
		s.Run(2 * time.Second)
		return s
	}
	s := play(false)
	if !s.Tolerant() || len(s.Members()) != 3 {
		t.Errorf("members %v, borne %v", s.Members(), s.Tolerant())
	}
	s.putNext(s.Machine("z1-5"))
	loseMachines(s.replicasIn("z1"))
	s.putNext(s.Machine("z3-1"))
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
	s = play(true)
	loseMachines(s.replicasIn("z1"))
	if _, ok := s.PutUntilAcknowledged(s.Machine("z3-1"), 3, 4*time.Second); ok {
		t.Error("the seeded defect is not found")
	}
}

// Given a core that outlives a zone, when operators would remove the one member in a zone, then that is
// refused with the reason; and a replacement within the zone is not. When a lost member's only successor is
// of another zone, then it has the place, and gives it up to the next one by which a zone can be lost again.
func TestMembersStaySpreadOverZones(t *testing.T) {
	s := startTolerant(t, Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1,
		SurviveZones: 1, Seed: 3})
	spare, at := s.Add("z2"), s.Machine("z1-2")
	spare.Start()
	s.Run(time.Second)
	old := s.Machine("z3-1")
	if ok, why := s.changeMembers(at, spare.node.Addr, old.node.Addr); ok || !strings.Contains(why, "loss of zone z2") {
		t.Errorf("z3's for another of z2: %v, %q", ok, why)
	}
	if ok, why := s.changeMembers(at, spare.node.Addr, s.Machine("z2-1").node.Addr); !ok {
		t.Errorf("within z2: %q", why)
	}
	s.awaitTolerance(time.Second)
	s.Add("z2").Start() // the one that operators have replaced doesn't come
	s.Run(time.Second)
	loseMachines([]*Machine{old})
	s.eventually("one of z2 has the place", 8*time.Second, func() bool {
		return len(s.Members()) == 3 && !slices.Contains(s.Members(), old.node.Addr) && len(s.Chain()) == 3
	})
	if s.Run(time.Second); s.Tolerant() {
		t.Errorf("z2 may be lost with two of the members %v", s.Members())
	}
	old.Start()
	s.awaitTolerance(4 * time.Second)
	if !slices.Contains(s.Members(), old.node.Addr) || len(s.Members()) != 3 {
		t.Errorf("members %v", s.Members())
	}
	s.checkRecovered("after that")
}
