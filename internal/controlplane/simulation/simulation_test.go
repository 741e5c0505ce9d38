package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// scenario is a simulated cluster with the state of one test.
type scenario struct {
	*Cluster
	t       *testing.T
	version uint64 // of the latest change
}

// startScenario starts a cluster of three zones, each with one replica and some gateways, and waits until it
// serves and all machines have applied a first change.
func startScenario(t *testing.T, gatewaysPerZone int) *scenario {
	t.Helper()
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: gatewaysPerZone,
		SurviveMachines: 1, Seed: 7}), t, 0}
	s.StartAll()
	s.eventually("the chain serves", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
	s.putNext(s.Machines[0])
	s.eventually("all have applied it", 2*time.Second, func() bool { return s.Converged(s.version) })
	return s
}

// eventually runs the cluster until done returns true, and fails the test if that takes longer than limit or
// an invariant was violated.
func (s *scenario) eventually(what string, limit time.Duration, done func() bool) {
	s.t.Helper()
	if !s.Until(done, limit) {
		s.t.Fatalf("not within %v: %s", limit, what)
	}
	if b := s.Violations(); len(b) > 0 {
		s.t.Fatalf("invariants violated: %v", b)
	}
}

// putNext puts the next version through one machine after another until it is acknowledged, and returns how
// long that took.
func (s *scenario) putNext(first *Machine) time.Duration {
	s.t.Helper()
	s.version += 3
	took, ok := s.PutUntilAcknowledged(first, s.version, 8*time.Second)
	if !ok {
		s.t.Fatalf("r%d: not acknowledged", s.version)
	}
	return took
}

// readVersion reads the newest configuration from a machine, with retries, and returns its version.
func (s *scenario) readVersion(m *Machine) uint64 {
	s.t.Helper()
	for range 8 {
		c := s.Read(m)
		s.Until(func() bool { return c.Ended }, time.Second)
		if c.Acknowledged {
			return c.Version
		}
	}
	s.t.Fatalf("%s: no response", m.Name)
	return 0
}

// After a first start, every machine must list all machines, and a gateway must read the acknowledged
// version.
func TestFirstStart(t *testing.T) {
	s := startScenario(t, 4)
	s.eventually("all machines list all 15 machines", 5*time.Second, func() bool {
		return !slices.ContainsFunc(s.Machines, func(m *Machine) bool { return m.Nodes() != 15 })
	})
	if got := s.readVersion(s.Machine("z3-4")); got != s.version {
		t.Errorf("read r%d, want r%d", got, s.version)
	}
}

// Any seed is killed at any time during a first start, with its disk lost in half of the cases. One core must
// be formed, and must serve with all replicas in the end.
func TestFirstStartSurvivesLossOfAnySeed(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for at := 100 * time.Millisecond; at < 1100*time.Millisecond; at += 40 * time.Millisecond {
			s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1,
				Seed: uint64(at)}), t, 0}
			s.StartAll()
			s.Run(at)
			s.Machine(name).Kill()
			if at%(80*time.Millisecond) == 0 {
				s.Machine(name).WipeDisk()
			}
			s.Run(600 * time.Millisecond)
			s.Machine(name).Start()
			s.eventually(fmt.Sprint("all three serve, ", name, " killed at ", at), 9*time.Second,
				func() bool { return len(s.Chain()) == 3 })
			s.putNext(s.Machines[1])
		}
	}
}

// During random first starts, seeds are killed, lose their disks and are partitioned. No two cores may be
// formed, and one must serve once all faults are repaired.
func TestRandomFirstStarts(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 150
	p := gopter.NewProperties(params)
	p.Property("one core is formed", prop.ForAll(runFirstStart, gen.UInt64()))
	p.TestingRun(t)
}

// runFirstStart runs a first start with random faults. It returns a description of the failure, "" if there
// is none.
func runFirstStart(seed uint64) string {
	x := New(Options{Zones: 3, ReplicasPerZone: 1 + int(seed%2), GatewaysPerZone: 1, SurviveMachines: 1,
		Seed: seed})
	rng := rand.New(rand.NewPCG(seed, 5))
	disks := x.Replicas()
	seeds := slices.DeleteFunc(x.Replicas(), func(m *Machine) bool {
		return !slices.Contains(x.seeds, m.node.Addr)
	})
	for _, m := range x.Machines { // some start late, and seeds have discovered different machines
		x.schedule(time.Duration(rng.IntN(1+rng.IntN(2)*3000))*time.Millisecond, m.Start)
	}
	for range 2 + rng.IntN(8) {
		a, b := seeds[rng.IntN(len(seeds))], seeds[rng.IntN(len(seeds))]
		switch rng.IntN(5) {
		case 0:
			x.Cut(a, b, a != b)
		case 1:
			x.CutOneWay(a, b, a != b)
		case 2:
			x.Isolate(a, true)
		case 3: // always the same seed: two that lose their votes exceed the tolerance
			seeds[0].Kill()
			x.Run(time.Duration(rng.IntN(900)) * time.Millisecond)
			seeds[0].Start()
		case 4:
			x.HealAll()
		}
		x.Run(time.Duration(rng.IntN(1200)) * time.Millisecond)
	}
	repairMachines(x, disks)
	if !x.Until(func() bool { return len(x.Chain()) >= 2 }, 15*time.Second) {
		return "no core serves"
	}
	if b := x.Violations(); len(b) > 0 {
		return b[0]
	}
	return ""
}

// When any replica is killed, a change must be acknowledged within three seconds, and the replica must rejoin
// the chain with the newest version after its restart.
func TestLossOfAnyChainMemberDelaysAcknowledgementsBriefly(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		t.Run(name, func(t *testing.T) {
			s := startScenario(t, 2)
			s.Machine(name).Kill()
			if took := s.putNext(s.Machine("z2-3")); took > 3*time.Second {
				t.Errorf("took %v", took)
			}
			s.Machine(name).Start()
			s.eventually("it is back in the chain", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
			s.eventually("with the newest", time.Second, func() bool { return s.Machine(name).Version() == s.version })
		})
	}
}

// A replica that acknowledged a change and then lost its disk must catch up after its restart and serve
// again.
func TestReplicaThatLostItsDiskAfterAcknowledgingIsRepaired(t *testing.T) {
	s := startScenario(t, 1)
	s.putNext(s.Machine("z1-1"))
	m := s.Machine("z1-1")
	m.Kill()
	m.WipeDisk()
	s.Run(300 * time.Millisecond)
	m.Start()
	s.eventually("it has caught up and serves", 4*time.Second, func() bool {
		return m.Replica().PersistentState().CaughtUp && m.Replica().PersistentState().Version == s.version &&
			m.Replica().ServingWithQuorum()
	})
	s.putNext(m)
}

// After all processes were killed and one disk was lost, the acknowledged version must be applied everywhere
// and be readable through the wiped replica.
func TestAllKilledAndOneLosesItsDisk(t *testing.T) {
	s := startScenario(t, 1)
	s.putNext(s.Machine("z2-1"))
	for _, m := range s.Machines {
		m.Kill()
	}
	s.Machine("z2-1").WipeDisk()
	s.Run(time.Second)
	for _, m := range s.Machines {
		m.Start()
	}
	s.eventually("all are back", 5*time.Second,
		func() bool { return s.Converged(s.version) && len(s.Chain()) == 3 })
	if got := s.readVersion(s.Machine("z2-1")); got != s.version {
		t.Errorf("read r%d, want r%d", got, s.version)
	}
}

// A head is frozen with a put in flight, and the others continue without it. After it is thawed, it must not
// read an older version, the put must not be acknowledged without being applied, and all must agree.
func TestThawedFormerHeadChangesNothing(t *testing.T) {
	s := startScenario(t, 1)
	head := s.Machine("z1-1")
	c := s.PutVersion(head, s.version+100) // in flight when the machine is frozen
	head.Freeze()
	s.putNext(s.Machine("z2-1"))
	s.eventually("the others serve without it", 4*time.Second,
		func() bool { return s.Machine("z3-1").Version() == s.version })
	head.Thaw()
	s.Run(5 * time.Second)
	if want := s.Machine("z2-2").Version(); s.readVersion(head) < want {
		t.Errorf("the thawed head reads an older version")
	}
	if c.Acknowledged && s.Machine("z2-2").Version() != s.version+100 {
		t.Errorf("acknowledged but not applied")
	}
	s.eventually("all agree", 2*time.Second, func() bool { return s.Converged(s.Machine("z2-2").Version()) })
}

// When a replica is isolated, the machines that watch it must receive the next change from others within
// 1.8 s, and it must rejoin after the partition.
func TestIsolatedMachineReportsNothingStale(t *testing.T) {
	s := startScenario(t, 2)
	isolated := s.Machine("z3-1")
	s.Isolate(isolated, true)
	s.Run(100 * time.Millisecond)
	s.putNext(s.Machine("z1-1"))
	acked := s.Now
	s.eventually("its watchers watch other replicas", 2*time.Second,
		func() bool { return s.Machine("z3-2").Version() == s.version })
	if took := s.Now - acked; took > 1800*time.Millisecond {
		t.Errorf("the zone of the isolated machine received the change after %v", took)
	}
	s.HealAll()
	s.eventually("it is back", 4*time.Second,
		func() bool { return len(s.Chain()) == 3 && isolated.Version() == s.version })
}

// The chain must exclude a replica whose disk is full, and include it again once there is space. A head whose
// disk takes three seconds for each sync must not delay a change for longer than 3.5 s.
func TestReplicaWithFullOrSlowDiskIsExcluded(t *testing.T) {
	s := startScenario(t, 1)
	s.Machine("z2-1").FillDisk(true)
	s.putNext(s.Machine("z1-1"))
	s.eventually("the chain has two replicas", 3*time.Second, func() bool { return len(s.Chain()) == 2 })
	s.Machine("z2-1").FillDisk(false)
	s.eventually("the chain has three replicas again", 6*time.Second, func() bool { return len(s.Chain()) == 3 })
	s.Machine("z1-1").SetSyncTime(3 * time.Second)
	if took := s.putNext(s.Machine("z2-2")); took > 3500*time.Millisecond {
		t.Errorf("a head with a slow disk delayed a change by %v", took)
	}
}

// All machines must receive changes of the platform's list of servers, also when the endpoint reader is
// restarted before the others detect that it failed.
func TestEndpointsReachAllMachinesAlsoAfterReaderRestart(t *testing.T) {
	s := startScenario(t, 2)
	knownServers := func(n int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(s.Machines, func(m *Machine) bool { return len(m.Endpoints()) != n })
		}
	}
	s.Servers = []message.Endpoint{{ID: "a"}, {ID: "b"}}
	s.eventually("all have two servers", 2*time.Second, knownServers(2))
	s.Servers = append(s.Servers, message.Endpoint{ID: "c"})
	s.eventually("all have three servers", 2*time.Second, knownServers(3))
	reader := s.Machine("z3-1")
	if epoch, ok := reader.controlNode.HoldsRole(s.Now, replica.EndpointReader); !ok {
		t.Fatalf("the tail does not read the list under %d", epoch)
	}
	reader.Kill()
	s.Run(180 * time.Millisecond)
	reader.Start() // before the others detect its failure
	s.Servers = s.Servers[:1]
	s.eventually("all have one server", 4*time.Second, knownServers(1))
}

// Two operators put versions 50 and 47 at the same time, and an even older one follows. All must be
// acknowledged, and version 50 must stay applied.
func TestConcurrentPutsOfTwoOperators(t *testing.T) {
	s := startScenario(t, 1)
	a, b := s.PutVersion(s.Machine("z1-2"), 50), s.PutVersion(s.Machine("z3-2"), 47)
	s.eventually("both are acknowledged", time.Second, func() bool { return a.Acknowledged && b.Acknowledged })
	s.eventually("all have applied the higher", time.Second, func() bool { return s.Converged(50) })
	c := s.PutVersion(s.Machine("z2-2"), 12)
	s.eventually("an older one is acknowledged, too", time.Second, func() bool { return c.Acknowledged })
	s.Run(time.Second)
	s.eventually("and changes nothing", time.Second, func() bool { return s.Converged(50) })
}

// A single replica of three must not acknowledge a change, and the call must end.
func TestNoAcknowledgementWithoutAMajority(t *testing.T) {
	s := startScenario(t, 1)
	s.Machine("z1-1").Kill()
	s.Machine("z2-1").Kill()
	c := s.PutVersion(s.Machine("z3-1"), s.version+1)
	s.Run(4 * time.Second)
	if c.Acknowledged || !c.Ended {
		t.Errorf("acknowledged by one of three: %+v", c)
	}
}

// A change is stored by two of three replicas. One of them loses its disk, and restarts with the third while
// the other is down: the two must not serve, as neither has the change.
func TestReplicaThatLostItsDiskHasNoVote(t *testing.T) {
	s := startScenario(t, 1)
	a, b, c := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1")
	c.Kill()
	s.putNext(a) // stored by a and b
	a.Kill()
	b.Kill()
	b.WipeDisk()
	b.Start()
	c.Start()
	s.Run(5 * time.Second)
	if chain := s.Chain(); chain != nil {
		t.Fatalf("%v serve without the newest version, which only the third stores", chain)
	}
	a.Start()
	s.eventually("all have it", 5*time.Second,
		func() bool { return s.Converged(s.version) && len(s.Chain()) == 3 })
}

// A core of three has lost two disks, and operators restore it from the third. All machines must apply the
// configuration of that disk.
func TestCoreRestoredFromOneStoreServes(t *testing.T) {
	s := startScenario(t, 1)
	left := s.Machine("z2-1").stored
	for _, m := range s.Machines {
		m.Kill()
	}
	left.PromisedEpoch += 1 << 20
	left.Epoch, left.Chain = left.PromisedEpoch, nil
	left.StoreID, left.MembershipEpoch, left.Members = 0, left.Epoch, slices.Clone(left.Members)
	for i := range left.Members { // as storage.Restore does, which writes the same state for all
		left.Members[i].StoreID = left.Epoch
	}
	s.memberships = newMembershipHistory() // the restored core starts a new sequence of memberships
	for _, m := range s.Replicas() {
		m.stored = left
		s.memberships.storedEpochs[identity{m.node.Addr, left.Epoch}] = left.Epoch
	}
	for _, m := range s.Machines {
		m.Start()
	}
	s.eventually("all have applied it", 5*time.Second,
		func() bool { return s.Converged(s.version) && len(s.Chain()) == 3 })
	s.putNext(s.Machine("z3-2"))
}

// After a random history of losses within the tolerance, everything acknowledged must be readable, all
// machines must agree, and no invariant may have been violated.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 12
	p := gopter.NewProperties(params)
	p.Property("nothing acknowledged is lost", prop.ForAll(func(seed uint64) string {
		return runHistory(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: seed})
	}, gen.UInt64()))
	p.Property("with more machines", prop.ForAll(func(seed uint64) string {
		return runHistory(Options{Zones: 3, ReplicasPerZone: 2, GatewaysPerZone: 1, SurviveMachines: 2, Seed: seed})
	}, gen.UInt64()))
	p.TestingRun(t)
}

// runHistory runs random faults and changes. It returns a description of the failure, "" if there is none.
func runHistory(o Options) string {
	x := New(o)
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	x.StartAll()
	if !x.Until(func() bool { return len(x.Chain()) == o.Zones*o.ReplicasPerZone }, 8*time.Second) {
		return "the first start did not complete"
	}
	disks := x.Replicas()
	version := uint64(1)
	var lost []*Machine // within the tolerance, until repaired
	for range 12 {
		for range 1 + rng.IntN(3) {
			version += 1 + rng.Uint64N(5)
			x.PutVersion(x.Machines[rng.IntN(len(x.Machines))], version)
			x.Run(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
		if len(lost) < o.SurviveMachines {
			m := disks[rng.IntN(len(disks))]
			if !slices.Contains(lost, m) {
				lost = append(lost, m)
				injectFault(x, m, rng)
			}
		}
		x.Run(time.Duration(rng.IntN(1500)) * time.Millisecond)
		x.Read(x.Machines[rng.IntN(len(x.Machines))])
		if rng.IntN(2) == 0 && len(lost) > 0 {
			repairMachines(x, lost)
			lost = nil
			x.Run(4 * time.Second) // after which it can be lost again
		}
		if rng.IntN(8) == 0 { // kill all processes, so that only the disks' contents remain
			for _, m := range x.Machines {
				m.Kill()
			}
			x.Run(500 * time.Millisecond)
			repairMachines(x, disks)
			for _, m := range x.Machines {
				m.Start()
			}
			lost = nil
			x.Run(4 * time.Second)
		}
	}
	repairMachines(x, disks)
	x.Run(6 * time.Second)
	if b := x.Violations(); len(b) > 0 {
		return b[0]
	}
	if len(x.Chain()) != len(disks) {
		return fmt.Sprint("the chain is ", x.Chain())
	}
	c := x.Read(x.Machines[len(x.Machines)-1])
	x.Run(2 * time.Second)
	switch {
	case !c.Acknowledged:
		return "the newest configuration cannot be read"
	case c.Version < x.acknowledged:
		return fmt.Sprintf("r%d was acknowledged, r%d is left", x.acknowledged, c.Version)
	case !x.Converged(c.Version):
		return "not all have applied the newest version"
	}
	return ""
}

// injectFault injects one of eight faults, chosen at random, into a machine.
func injectFault(x *Cluster, m *Machine, rng *rand.Rand) {
	switch rng.IntN(8) {
	case 0:
		m.Kill()
	case 1:
		m.PowerOff()
		m.WipeDisk()
	case 2:
		m.Freeze()
	case 3:
		x.Isolate(m, true)
	case 4:
		m.FillDisk(true)
	case 5:
		others := x.Replicas()
		x.CutOneWay(m, others[rng.IntN(len(others))], true)
	case 6:
		m.PowerOff()
	case 7:
		x.Refuse(m, true)
	}
}

// repairMachines ends all network faults, and frees the disks of the given machines, thaws and starts them.
func repairMachines(x *Cluster, machines []*Machine) {
	x.HealAll()
	for _, m := range machines {
		m.FillDisk(false)
		if m.frozen {
			m.Thaw()
		}
		m.Start()
	}
}
