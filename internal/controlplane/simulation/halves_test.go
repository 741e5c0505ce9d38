package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// recoveryTime is the maximum time until a core serves after all its replicas are back. The specified bound,
// recovery_s, is 15 s.
const recoveryTime = 6 * time.Second

// partition describes how a core is partitioned into two halves, and what happens when the partition has
// healed.
type partition struct {
	name  string
	cut   func(s *scenario, half, rest []*Machine)
	after func(s *scenario, half, rest []*Machine, rng *rand.Rand)
}

var partitions = []partition{
	{"both ways", cutBothWays, noFollowUp},
	{"one way", func(s *scenario, half, rest []*Machine) {
		forEachPair(half, rest, func(a, b *Machine) { s.CutOneWay(a, b, true) })
	}, noFollowUp},
	{"the rest is killed after healing", cutBothWays,
		func(_ *scenario, _, rest []*Machine, _ *rand.Rand) { endAll(rest, (*Machine).Kill) }},
	{"both halves are restarted one after the other", cutBothWays,
		func(s *scenario, half, rest []*Machine, rng *rand.Rand) {
			endAll(half, (*Machine).Kill)
			s.Run(time.Duration(rng.IntN(300)) * time.Millisecond)
			startAll(half)
			endAll(rest, (*Machine).Kill)
		}},
	{"all machines lose power after healing", cutBothWays,
		func(s *scenario, _, _ []*Machine, _ *rand.Rand) { endAll(s.Machines, (*Machine).PowerOff) }},
	{"a disk is lost during the partition", func(s *scenario, half, rest []*Machine) {
		cutBothWays(s, half, rest)
		half[0].PowerOff()
		half[0].WipeDisk()
	}, noFollowUp},
}

func cutBothWays(s *scenario, half, rest []*Machine) {
	forEachPair(half, rest, func(a, b *Machine) { s.Cut(a, b, true) })
}

func noFollowUp(*scenario, []*Machine, []*Machine, *rand.Rand) {}

func forEachPair(list, others []*Machine, do func(a, b *Machine)) {
	for _, a := range list {
		for _, b := range others {
			do(a, b)
		}
	}
}

func endAll(list []*Machine, end func(*Machine)) {
	for _, m := range list {
		end(m)
	}
}

func startAll(list []*Machine) {
	for _, m := range list {
		m.Start()
	}
}

// runPartitions partitions a core into two random halves for some seconds, three times, while operators,
// other machines and token requests reach both halves. It returns a description of the failure, "" if there
// is none.
func runPartitions(t *testing.T, p partition, seed uint64) string {
	survive := 1 + int(seed%2)
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: survive, GatewaysPerZone: 1, SurviveMachines: survive,
		Seed: seed}), t, 0}
	rng := rand.New(rand.NewPCG(seed, 33))
	tokens, staleness := s.observeAll()
	s.StartAll()
	disks := s.Replicas()
	if !s.Until(func() bool { return len(s.Chain()) == len(disks) }, 8*time.Second) {
		return "the first start did not complete"
	}
	for range 3 {
		rng.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
		half, rest := disks[:len(disks)/2], disks[len(disks)/2:]
		p.cut(s, half, rest)
		s.runOperators(staleness, rng, 1+rng.IntN(5))
		s.HealAll()
		p.after(s, half, rest, rng)
		s.Run(time.Duration(rng.IntN(600)) * time.Millisecond)
		startAll(s.Machines)
		began := s.Now
		if !s.Until(func() bool { return len(s.Chain()) == len(disks) }, recoveryTime) {
			return fmt.Sprintf("%v after the restart the chain is %v", s.Now-began, s.Chain())
		}
		s.putNext(s.Machines[rng.IntN(len(s.Machines))])
		if !s.Until(s.Tolerant, recoveryTime) { // a disk may be lost in the next round only if that is tolerable
			return "the repair does not complete"
		}
	}
	s.Run(4 * time.Second)
	switch {
	case len(tokens.staleGrants) > 0:
		return tokens.staleGrants[0]
	case len(staleness.violations) > 0:
		return staleness.violations[0]
	case !s.Converged(s.version):
		return "not all have applied the newest version"
	}
	return s.consistent()
}

// observeAll checks all messages for stale state, and starts a probe of the allocator.
func (s *scenario) observeAll() (*allocatorProbe, *stalenessChecker) {
	tokens := s.probeAllocator()
	observeTokens := s.Observe
	staleness := checkStaleness(s.Cluster)
	observeStaleness := s.Observe
	s.Observe = func(from *Machine, to string, m *message.Message) {
		observeTokens(from, to, m)
		observeStaleness(from, to, m)
	}
	return tokens, staleness
}

// runOperators puts and reads configurations through random machines, two texts for each version, while the
// platform's list of servers changes.
func (s *scenario) runOperators(staleness *stalenessChecker, rng *rand.Rand, rounds int) {
	for range rounds {
		staleness.changeServers()
		s.version += 1 + rng.Uint64N(2)
		for i := range 2 {
			s.Put(s.Machines[rng.IntN(len(s.Machines))], s.version, fmt.Sprint("text-", i))
			s.Read(s.Machines[rng.IntN(len(s.Machines))])
		}
		s.Run(time.Duration(200+rng.IntN(1000)) * time.Millisecond)
	}
}

// A core is partitioned into two halves for some seconds while operators use both, and the halves are
// restarted, killed or lose power as the partition heals. Nothing acknowledged may be lost, no message may
// carry state older than the bound, no two allocators may grant tokens, and the whole core must serve soon
// after all replicas are back. It runs with tolerance for one and for two lost machines.
func TestPartitionIntoTwoHalves(t *testing.T) {
	t.Parallel()
	for _, p := range partitions {
		for seed := range uint64(6) {
			if wrong := runPartitions(t, p, seed); wrong != "" {
				t.Errorf("%s, seed %d: %s", p.name, seed, wrong)
			}
		}
	}
}
