package simulation

import (
	"slices"
	"testing"
	"time"
)

// mostUntilKnown is within what all processes go by a new view: a round of heartbeats in it and a
// response, and for those who watched the replica that is gone, the pause before they turn to another.
const maxPropagation = 150 * time.Millisecond

// Given processes that watch the replicas of a view, when another view comes, since a replica joins the
// chain, is stopped or is killed, then all of them go by it at once: they ask its allocator for tokens,
// and send changes to its head.
func TestNewViewIsPropagatedImmediately(t *testing.T) {
	for name, change := range map[string]func(s *scenario, m *Machine){
		"one joins": func(s *scenario, m *Machine) {
			m.PowerOff()
			s.eventually("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
			m.Start()
			s.eventually("a view with it", 3*time.Second, func() bool { return len(s.Chain()) == 3 })
		},
		"one is killed": func(s *scenario, m *Machine) {
			m.Kill()
			s.eventually("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
		},
	} {
		for place := range 3 {
			s := startScenario(t, 3)
			s.Run(2 * time.Second)
			m := s.At(s.Chain()[place])
			change(s, m)
			began := s.Now
			epoch, _ := s.At(s.Chain()[0]).Replica().View()
			s.eventually(name+": all go by the view", 2*time.Second, func() bool {
				return !slices.ContainsFunc(s.Machines, func(m *Machine) bool { return m.up && m.epoch < epoch })
			})
			if took := s.Now - began; took > maxPropagation {
				t.Errorf("%s, place %d: known to all after %v", name, place, took)
			}
		}
	}
}
