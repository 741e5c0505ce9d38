package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Bounds after the process of the head was killed.
const (
	maxMedianAcknowledgement = 500 * time.Millisecond
	maxAcknowledgement       = 1500 * time.Millisecond // of 99 in 100
	maxRejoin                = time.Second             // from the process's start until the whole chain serves
)

// The process of the head is killed at a random time, and a change is put through a random machine. The
// change must be acknowledged soon: the head's address refuses connections, which shows immediately that no
// process listens there. The head must be in the chain again soon after its restart.
func TestKilledHeadIsDetectedImmediately(t *testing.T) {
	t.Parallel()
	var acknowledged, rejoined []time.Duration
	for seed := range uint64(60) {
		survive := 1 + int(seed%2)
		s := &scenario{New(Options{Zones: 3, ReplicasPerZone: survive, GatewaysPerZone: 4, SurviveMachines: survive,
			Seed: seed}), t, 0}
		rng := rand.New(rand.NewPCG(seed, 3))
		s.StartAll()
		s.eventually("the chain serves", 8*time.Second, func() bool { return len(s.Chain()) == len(s.Replicas()) })
		s.putNext(s.Machines[0])
		s.Run(time.Duration(rng.IntN(2000)) * time.Millisecond)
		head := s.At(s.Chain()[0])
		head.Kill()
		const restartDelay = 300 * time.Millisecond
		s.schedule(restartDelay, head.Start)
		began := s.Now
		acknowledged = append(acknowledged, s.putNext(s.Machines[rng.IntN(len(s.Machines))]))
		s.eventually("it is back", 5*time.Second, func() bool { return len(s.Chain()) == len(s.Replicas()) })
		rejoined = append(rejoined, s.Now-began-restartDelay)
	}
	slices.Sort(acknowledged)
	slices.Sort(rejoined)
	median, longest := acknowledged[len(acknowledged)/2], acknowledged[len(acknowledged)-1]
	if median > maxMedianAcknowledgement || longest > maxAcknowledgement {
		t.Errorf("acknowledged after %v, median; %v at most", median, longest)
	}
	if back := rejoined[len(rejoined)-1]; back > maxRejoin {
		t.Errorf("back in the chain up to %v after its start", back)
	}
	t.Logf("acknowledged after %v (median) to %v; back %v (median) to %v after the start", median, longest,
		rejoined[len(rejoined)/2], rejoined[len(rejoined)-1])
}

// A process is killed and restarted three times. It must rejoin the chain immediately only the first time, so
// that a process that keeps crashing changes the view no more often than a flapping link.
func TestRepeatedlyKilledProcessWaitsToRejoin(t *testing.T) {
	s := startScenario(t, 1)
	m := s.Machine("z2-1")
	waits := make([]time.Duration, 3)
	for i := range waits {
		m.Kill()
		s.Run(200 * time.Millisecond)
		m.Start()
		began := s.Now
		s.eventually("it is back", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
		waits[i] = s.Now - began
	}
	if waits[0] > maxRejoin || waits[1] < 700*time.Millisecond || waits[2] < 700*time.Millisecond {
		t.Errorf("back after %v", waits)
	}
}

// A firewall refuses connections to a member whose process keeps running. The others must continue without
// it, it must not report stale state or grant tokens, and it must rejoin once it can be reached again.
func TestRefusedConnectionIsNoProofOfDeath(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		s := startScenario(t, 1)
		tokens, staleness := s.observeAll()
		m := s.Machine(name)
		s.Run(time.Second)
		s.Refuse(m, true)
		s.runOperators(staleness, rand.New(rand.NewPCG(1, 1)), 4)
		s.Refuse(m, false)
		s.eventually("all are in the chain", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
		s.putNext(s.Machine("z3-2"))
		if len(tokens.staleGrants) > 0 || len(staleness.violations) > 0 {
			t.Errorf("%s: %v %v", name, tokens.staleGrants, staleness.violations)
		}
		if wrong := s.consistent(); wrong != "" {
			t.Errorf("%s: %s", name, wrong)
		}
	}
}

// In a core without a spare, a replica is drained and its process ends once the others have a view without
// it. Changes must be acknowledged and tokens granted throughout, as no failure has to be detected first.
func TestOrderlyStopCausesNoInterruption(t *testing.T) {
	const maxGap = 150 * time.Millisecond
	for place := range 3 {
		s := startScenario(t, 1)
		g := s.probeAllocator()
		s.Run(2 * time.Second)
		g.longestGap = 0
		m := s.At(s.Chain()[place])
		m.controlNode.Drain(s.Now)
		s.Run(time.Second)
		m.controlNode.Leave(s.Now)
		s.eventually("the others have a view without it", 300*time.Millisecond, m.controlNode.Left)
		m.Kill()
		if took := s.putNext(s.Machine("z2-2")); took > 2*maxGap {
			t.Errorf("chain position %d: acknowledged after %v", place, took)
		}
		s.Run(2 * time.Second)
		if g.longestGap > maxGap || len(g.staleGrants) > 0 {
			t.Errorf("chain position %d: no tokens for %v %v", place, g.longestGap, g.staleGrants)
		}
		m.Start()
		s.eventually("it is back", 2*time.Second, func() bool { return len(s.Chain()) == 3 })
	}
}

// When a process wants to leave and too few replicas would remain, the view must not change, and it must
// serve until the process ends.
func TestLastReplicasDoNotLeave(t *testing.T) {
	s := startScenario(t, 1)
	s.Machine("z3-1").PowerOff()
	s.eventually("a view of two", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
	m := s.Machine("z2-1")
	m.controlNode.Leave(s.Now)
	s.Run(500 * time.Millisecond)
	if took := s.putNext(s.Machine("z1-2")); took > 300*time.Millisecond || m.controlNode.Left() {
		t.Errorf("acknowledged after %v, left %v", took, m.controlNode.Left())
	}
}
