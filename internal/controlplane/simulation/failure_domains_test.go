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

// domainOptions are clusters that must survive the loss of a zone or of a region.
var domainOptions = map[string]Options{
	"zones": {Zones: 3, ReplicasPerZone: 2, SurviveMachines: 1, SurviveZones: 1},
	"regions": {Zones: 6, ReplicasPerZone: 1, SurviveMachines: 1, SurviveZones: 1, SurviveRegions: 1,
		ZonesPerRegion: 2},
}

// startTolerant starts a cluster, waits until the configured losses can be tolerated and sends a change.
func startTolerant(t *testing.T, o Options) *scenario {
	t.Helper()
	s := &scenario{New(o), t, 0}
	s.StartAll()
	s.awaitTolerance(4 * time.Second)
	s.putNext(s.Machines[0])
	return s
}

// replicasIn returns the machines with a disk in the given zones.
func (s *scenario) replicasIn(zones ...string) []*Machine {
	return slices.DeleteFunc(s.Replicas(), func(m *Machine) bool { return !slices.Contains(zones, m.node.Zone) })
}

// loseMachines powers machines off and wipes their disks.
func loseMachines(list []*Machine) {
	for _, m := range list {
		m.PowerOff()
		m.WipeDisk()
	}
}

// A core is spread over zones or regions. One of them is lost with its disks right after an acknowledgement,
// and another one right after the repair and another acknowledgement. Nothing acknowledged may be lost, the
// others must serve, and the lost machines must become members again.
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

// Random machines, zones and regions are lost, each as soon as that is reported as tolerable. All responses
// to operators must be linearizable, and the core must be repaired completely in the end. The injected
// defect, replicas that count machines and ignore zones and regions, reports too early that a loss can be
// tolerated, and must be detected.
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
	o.Seed = 16 // at the end one region has five of nine members, and no learner replaces the others
	if wrong := runMembershipHistory(New(o)); wrong != "" {
		t.Error(wrong)
	}
	o = domainOptions["zones"]
	o.Seed = 7
	x := New(o)
	x.ignoresFailureDomains = true
	if runMembershipHistory(x) == "" {
		t.Error("the injected defect is not detected")
	}
}

// The only machines are three in one zone and one in another. A change is put while that one is isolated,
// and then the zone of the three is lost with its disks. The change must not be acknowledged before the one
// in the other zone stores it, so that it is on a remaining disk. The injected defect, a chain that only
// needs enough machines, acknowledges a change that is lost.
func TestChainIsSpreadOverZones(t *testing.T) {
	run := func(ignoreDomains bool) (acknowledged, stored bool, log string) {
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
		acknowledged = c.Acknowledged
		if !acknowledged {
			s.HealAll()
			_, ok := s.PutUntilAcknowledged(x.Machines[1], 5, 8*time.Second)
			if !ok {
				t.Error("it is not acknowledged once the other zone is back")
			}
		}
		loseMachines(s.replicasIn("z1"))
		return acknowledged, away.stored.Version == 5, log
	}
	acknowledged, stored, log := run(false)
	if acknowledged || !stored {
		t.Errorf("acknowledged without the other zone: %v, stored there: %v", acknowledged, stored)
	}
	if n := strings.Count(log, events.ToleranceImpossible.Text); n != 1 {
		t.Errorf("logged %d times that the loss of a zone cannot be tolerated", n)
	}
	if acknowledged, stored, _ := run(true); !acknowledged || stored {
		t.Errorf("the injected defect is not detected: acknowledged %v, stored %v", acknowledged, stored)
	}
}

// One zone has most of the machines, and the machine of another zone starts late. The first start must wait
// until it can form a core that survives the loss of a zone. The injected defect, which ignores zones, forms
// a core that does not.
func TestFirstStartIsSpreadOverZones(t *testing.T) {
	run := func(ignoreDomains bool) *scenario {
		s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 5, SurviveMachines: 1, SurviveZones: 1, Seed: 9}), t,
			0}
		s.ignoresFailureDomains = ignoreDomains
		for _, m := range s.Machines {
			switch m.Name {
			case "z2-2", "z2-3", "z2-4", "z2-5", "z3-2", "z3-3", "z3-4", "z3-5": // these never start
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
	s := run(false)
	if !s.Tolerant() || len(s.Members()) != 3 {
		t.Errorf("members %v, tolerant %v", s.Members(), s.Tolerant())
	}
	s.putNext(s.Machine("z1-5"))
	loseMachines(s.replicasIn("z1"))
	s.putNext(s.Machine("z3-1"))
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
	s = run(true)
	loseMachines(s.replicasIn("z1"))
	if _, ok := s.PutUntilAcknowledged(s.Machine("z3-1"), 3, 4*time.Second); ok {
		t.Error("the injected defect is not detected")
	}
}

// In a core that survives the loss of a zone, an operator's request that removes a zone's only member must
// be refused with the reason, and a replacement within the zone must be accepted. When the only learner that
// can replace a lost member is in another zone, it must become a member, and must be replaced again once
// there is a machine with which the loss of a zone can be tolerated.
func TestMembersStaySpreadOverZones(t *testing.T) {
	s := startTolerant(t, Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1,
		SurviveZones: 1, Seed: 3})
	spare, at := s.Add("z2"), s.Machine("z1-2")
	spare.Start()
	s.Run(time.Second)
	old := s.Machine("z3-1")
	if ok, why := s.changeMembers(at, spare.node.Addr, old.node.Addr); ok ||
		!strings.Contains(why, "loss of zone z2") {
		t.Errorf("replacing z3's member by one in z2: %v, %q", ok, why)
	}
	if ok, why := s.changeMembers(at, spare.node.Addr, s.Machine("z2-1").node.Addr); !ok {
		t.Errorf("replacement within z2: %q", why)
	}
	s.awaitTolerance(time.Second)
	s.Add("z2").Start() // a member that operators replaced does not rejoin by itself
	s.Run(time.Second)
	loseMachines([]*Machine{old})
	s.eventually("a machine of z2 is a member in its place", 8*time.Second, func() bool {
		return len(s.Members()) == 3 && !slices.Contains(s.Members(), old.node.Addr) && len(s.Chain()) == 3
	})
	if s.Run(time.Second); s.Tolerant() {
		t.Errorf("the loss of z2 counts as tolerable with two of the members %v", s.Members())
	}
	old.Start()
	s.awaitTolerance(4 * time.Second)
	if !slices.Contains(s.Members(), old.node.Addr) || len(s.Members()) != 3 {
		t.Errorf("members %v", s.Members())
	}
	s.checkRecovered("after the replacements")
}
