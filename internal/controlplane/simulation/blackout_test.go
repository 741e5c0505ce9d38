package simulation

import (
	"fmt"
	"testing"
	"time"
)

// changeDuration is an upper bound for a change from its call to its end in the clusters of these tests.
const changeDuration = 60 * time.Millisecond

// runBlackout powers off all machines, including those without a disk, wipes the given disks and starts all
// machines again. It returns a description of the failure, "" if there is none: an acknowledged change is
// lost, or no view serves.
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
			return m.Name + ": no read succeeds"
		}
	}
	if violations := s.Violations(); len(violations) > 0 {
		return violations[0]
	}
	return s.consistent()
}

// readSucceeds reads the newest configuration through a machine, and reports whether that succeeds within one
// second.
func (s *scenario) readSucceeds(m *Machine) bool {
	call := s.Read(m)
	s.Until(func() bool { return call.Ended }, time.Second)
	return call.Acknowledged
}

// subsets returns all subsets of at most maxSize machines, including the empty one.
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

// runBlackoutsDuringChange runs a blackout at each step of a change, and right after its acknowledgement,
// with each set of disks whose loss is to be tolerated. It returns a description of the first failure, "" if
// there is none.
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
				return fmt.Sprintf("disk set %d at %v: %s", set, at, wrong)
			}
		}
	}
	return ""
}

// At any step of a change, all machines lose power, and as many disks as may be lost are wiped. After the
// restart, all machines must read what was acknowledged. The injected defect, a disk that reports a save as
// successful before it is synced, must be detected.
func TestBlackoutDuringChangeLosesNothingAcknowledged(t *testing.T) {
	t.Parallel()
	if wrong := runBlackoutsDuringChange(t, 1, 2*time.Millisecond, false); wrong != "" {
		t.Error(wrong)
	}
	if wrong := runBlackoutsDuringChange(t, 2, 10*time.Millisecond, false); wrong != "" {
		t.Error(wrong)
	}
	if runBlackoutsDuringChange(t, 1, 2*time.Millisecond, true) == "" {
		t.Error("not detected: a copy that counts before it is synced")
	}
}

// A member is replaced by another machine, or repaired after the loss of its disk. At any step of that, all
// machines lose power, and the new member loses its disk again or no disk is lost: nothing acknowledged may
// be lost. Once the next loss can be tolerated, the loss of any disk must be survived.
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
