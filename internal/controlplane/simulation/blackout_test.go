package simulation

import (
	"fmt"
	"testing"
	"time"
)

// changeDuration is longer than a change takes from its call to its end, as these clusters are set up.
const changeDuration = 60 * time.Millisecond

// blackOut has all machines lose power at once, those without a disk too, and some lose their disks; then
// all start again. It returns what went wrong: something that was acknowledged is gone, or nothing
// serves.
func (s *scenario) runBlackout(wiped []*Machine) string {
	for _, m := range s.Machines {
		m.PowerOff()
	}
	for _, m := range wiped {
		m.WipeDisk()
	}
	s.Run(400 * time.Millisecond)
	for _, m := range s.Machines {
		s.schedule(time.Duration(s.rng.IntN(200))*time.Millisecond, m.Start)
	}
	if !s.Until(func() bool { return s.Chain() != nil }, 8*time.Second) {
		return "no view serves"
	}
	for _, m := range s.Machines {
		if !s.Until(func() bool { return s.readSucceeds(m) }, 4*time.Second) {
			return m.Name + " reads nothing"
		}
	}
	if violations := s.Violations(); len(violations) > 0 {
		return violations[0]
	}
	return s.consistent()
}

// readSucceeds reads the newest through a machine, and waits for the answer.
func (s *scenario) readSucceeds(m *Machine) bool {
	call := s.Read(m)
	s.Until(func() bool { return call.Ended }, time.Second)
	return call.Acknowledged
}

// choices returns all sets of at most so many machines, the empty one among them.
func subsets(machines []*Machine, maxSize int) (sets [][]*Machine) {
	sets = [][]*Machine{nil}
	if maxSize == 0 {
		return sets
	}
	for i, m := range machines {
		for _, rest := range subsets(machines[i+1:], maxSize-1) {
			sets = append(sets, append([]*Machine{m}, rest...))
		}
	}
	return sets
}

// blackOutsInAChange plays a loss of all power at each step of a change, and right after its
// acknowledgement, with each choice of disks that may be lost, and returns what went wrong first.
func runBlackoutsDuringChange(t *testing.T, survive int, step time.Duration, unsynced bool) string {
	replicasPerZone := survive
	options := Options{Zones: 3, ReplicasPerZone: replicasPerZone, GatewaysPerZone: 1, SurviveMachines: survive,
		Seed: 11}
	sets := len(subsets(make([]*Machine, 3*replicasPerZone), survive))
	for at := time.Duration(0); at <= changeDuration; at += step {
		for set := range sets {
			s := &scenario{New(options), t, 0}
			s.acknowledgesUnsyncedSaves = unsynced
			s.StartAll()
			s.eventually("the chain serves", 8*time.Second, func() bool { return len(s.Chain()) == len(s.Replicas()) })
			s.putNext(s.Machines[0])
			call := s.PutVersion(s.Machines[len(s.Machines)-1], s.version+1)
			s.Until(func() bool { return call.Ended }, at)
			if wrong := s.runBlackout(subsets(s.Replicas(), survive)[set]); wrong != "" {
				return fmt.Sprintf("disks %d at %v: %s", set, at, wrong)
			}
		}
	}
	return ""
}

// Given a change under way, when at any step of it all machines lose power, those without a disk too, and
// as many as may be lost lose their disks, then what was acknowledged is read by all after they are back.
// A disk that tells a save as done before it is synced is found.
func TestBlackoutDuringChangeLosesNothingAcknowledged(t *testing.T) {
	t.Parallel()
	if wrong := runBlackoutsDuringChange(t, 1, 2*time.Millisecond, false); wrong != "" {
		t.Error(wrong)
	}
	if wrong := runBlackoutsDuringChange(t, 2, 10*time.Millisecond, false); wrong != "" {
		t.Error(wrong)
	}
	if runBlackoutsDuringChange(t, 1, 2*time.Millisecond, true) == "" {
		t.Error("not found: a copy that counts before it is synced")
	}
}

// Given a member that is replaced by another machine, or repaired after the loss of its disk, when at any
// step of it all machines lose power, and the one that comes loses its disk once more, or none does, then
// nothing acknowledged is lost; and from the moment on at which the next loss can be tolerated, any disk
// may go.
func TestBlackoutDuringRepairLosesNothingAcknowledged(t *testing.T) {
	t.Parallel()
	for _, sameAddress := range []bool{false, true} {
		baseline, _ := replaceMember(t, 0, sameAddress)
		for at := -60 * time.Millisecond; at <= 20*time.Millisecond; at += 4 * time.Millisecond {
			for _, wipedAgain := range []bool{false, true} {
				s, fresh := replaceMember(t, baseline.Now+at, sameAddress)
				call := s.PutVersion(s.Machine("z3-2"), s.version+1)
				s.Until(func() bool { return call.Ended }, at%(12*time.Millisecond)+12*time.Millisecond)
				var wiped []*Machine
				if wipedAgain {
					wiped = []*Machine{fresh}
				}
				if wrong := s.runBlackout(wiped); wrong != "" {
					t.Errorf("same address %v, disk lost again %v, at %v: %s", sameAddress, wipedAgain, at, wrong)
				}
			}
		}
		for victim := range 3 {
			s, _ := replaceMember(t, 0, sameAddress)
			s.awaitTolerance(4 * time.Second)
			s.putNext(s.Machine("z2-2"))
			if wrong := s.runBlackout(s.Replicas()[victim : victim+1]); wrong != "" {
				t.Errorf("same address %v, disk %d lost after the repair: %s", sameAddress, victim, wrong)
			}
		}
	}
}
