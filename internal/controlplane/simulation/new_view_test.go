package simulation

import (
	"slices"
	"testing"
	"time"
)

// maxPropagation is the maximum time until all processes use a new view: a round of heartbeats in it and a
// response, and for processes that watched the lost replica, the pause before they switch to another.
const maxPropagation = 150 * time.Millisecond

// When a replica joins the chain or is killed, all processes must use the new view immediately: they request
// tokens from its allocator, and send changes to its head.
func TestNewViewIsPropagatedImmediately(t *testing.T) {
	for name, change := range map[string]func(s *scenario, m *Machine){
		"a replica joins": func(s *scenario, m *Machine) {
			m.PowerOff()
			s.eventually("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
			m.Start()
			s.eventually("a view with it", 3*time.Second, func() bool { return len(s.Chain()) == 3 })
		},
		"a replica is killed": func(s *scenario, m *Machine) {
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
			s.eventually(name+": all use the view", 2*time.Second, func() bool {
				return !slices.ContainsFunc(s.Machines, func(m *Machine) bool { return m.up && m.epoch < epoch })
			})
			if took := s.Now - began; took > maxPropagation {
				t.Errorf("%s, chain position %d: used by all after %v", name, place, took)
			}
		}
	}
}
