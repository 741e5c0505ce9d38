package simulation

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// Given a change of members that only the learner has on its disk, and a member that has heard of it and is
// in touch in the view before for some moments more, when a machine that has just started asks that one for
// news, then it is not told that the change is complete, and tells it to nobody: no second core comes of it.
// A member that tells it so is found.
func TestIncompleteMembershipChangeIsNotReported(t *testing.T) {
	play := func(defect bool) string {
		s := startScenario(t, 1)
		a, b, c, newcomer := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1"), s.Machine("z3-2")
		newcomer.Kill()
		fresh := s.Add("z1")
		fresh.Start()
		s.Run(time.Second)
		s.Cut(a, c, true)
		s.CutOneWay(fresh, b, true)
		s.Run(200 * time.Millisecond) // it is not missed yet, and is when the others promise
		a.SetSyncTime(430 * time.Millisecond)
		a.controlNode.Drain(s.Now)
		s.eventually("the other has promised", time.Second,
			func() bool { return a.Replica().State() == replica.StateInstalling })
		b.Kill()
		s.eventually("the one that missed the proposal has heard of the change", 2*time.Second, func() bool {
			return len(c.stored.OutgoingMembers) > 0
		})
		if len(a.stored.OutgoingMembers)+len(b.stored.OutgoingMembers) > 0 || !c.Replica().ServingWithQuorum() {
			t.Fatal("the others have it, or it is out of touch already")
		}
		if defect {
			s.Tamper = func(to *Machine, m *message.Message) {
				if response, ok := m.Body.(*message.WatchResponse); ok && to == newcomer {
					response.OutgoingMembers = nil
				}
			}
		}
		newcomer.Start()
		s.Run(20 * time.Millisecond)
		a.Kill()
		c.Kill()
		s.Run(300 * time.Millisecond)
		for _, m := range []*Machine{a, b} { // from here on there are two sides
			for _, other := range []*Machine{c, fresh, newcomer} {
				s.Cut(m, other, true)
			}
		}
		a.SetSyncTime(s.SyncTime)
		s.seeds = []string{newcomer.node.Addr} // by the settings of that moment
		c.Start()
		a.Start()
		b.Start()
		s.Run(6 * time.Second)
		s.Put(b, 90, "of-the-old")
		s.Put(c, 90, "of-the-new")
		s.Run(2 * time.Second)
		return s.consistent()
	}
	if wrong := play(false); wrong != "" {
		t.Error(wrong)
	}
	if play(true) == "" {
		t.Error("the seeded defect is not found")
	}
}

// Given a first start in which one of three machines with a disk is not there, or its disk takes nothing or
// hangs, when an operator sends the first configuration, then it is acknowledged within the users' bound from
// the moment on at which the core is settled: the two others can hold it. The third becomes a member once it
// can.
func TestFirstStartWithoutOneDisk(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for what, inject := range map[string]func(m *Machine){
			"full":      func(m *Machine) { m.FillDisk(true) },
			"hangs":     func(m *Machine) { m.HangDisk(true) },
			"not there": func(m *Machine) { m.removed = true },
		} {
			s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 5}),
				t, 0}
			m := s.Machine(name)
			inject(m)
			s.StartAll()
			s.Run(300 * time.Millisecond) // by which all have started
			if took := s.putNext(s.Machine("z1-2")); took > quietPeriod+maxChangeDuration-time.Second {
				t.Errorf("%s %s: acknowledged after %v", name, what, took)
			}
			m.removed = false
			s.heal(m)
			s.eventually(name+" "+what+": it is a member", 8*time.Second, func() bool { return s.isMember(m) })
			s.awaitTolerance(time.Second)
			s.checkRecovered(name + " " + what)
		}
	}
}

// Given a member that the first one doesn't hear, so that it can't be in a chain with that, when it proposes
// a view, since it alone serves while the two others have not agreed yet, then it does not serve in the
// view that it has proposed and is not in: what is acknowledged there does not come to its disk.
func TestProposerOutsideItsViewDoesNotServe(t *testing.T) {
	s := startScenario(t, 2)
	a, b, c := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1")
	w := checkStaleness(s.Cluster)
	observe, proposed := s.Observe, false
	s.Observe = func(from *Machine, to string, m *message.Message) {
		if from == b && m.Type() == message.TypePrepare { // for a moment it is heard
			s.HealAll()
			proposed = true
		}
		observe(from, to, m)
	}
	s.Network = func(_, to string, m *message.Message) []Delivery {
		if m.Type() == message.TypePromise && to == a.node.Addr {
			return nil
		}
		return []Delivery{{To: to, Message: m}}
	}
	s.CutOneWay(b, a, true)
	s.eventually("it has proposed a view", 4*time.Second, func() bool { return proposed })
	s.eventually("that serves", 2*time.Second, func() bool { return len(s.Chain()) > 0 })
	s.CutOneWay(b, a, true)
	s.Network = nil
	for range 10 {
		s.putNext(c)
		s.Run(500 * time.Millisecond)
	}
	if len(w.violations) > 0 {
		t.Errorf("%d words, the first: %s", len(w.violations), w.violations[0])
	}
	s.HealAll()
	s.eventually("it is back", 4*time.Second, func() bool {
		return s.ToleratedFailures() == 1 &&
			b.Version() == s.version
	})
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
}

// Given a core whose disks all take long for each sync, up to the time after which one counts as failing,
// when all processes are killed, then a view serves soon after their start, and stays: changes go through
// it, slowly.
func TestViewIsStableWithSlowDisks(t *testing.T) {
	for _, syncTime := range []time.Duration{300, 500, 700, 850} {
		syncTime *= time.Millisecond
		s := startScenario(t, 1)
		for _, m := range s.Replicas() {
			m.SetSyncTime(syncTime)
		}
		s.restartAll()
		s.eventually(syncTime.String()+": a view serves", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
		epoch, _ := s.Machine("z1-1").Replica().View()
		for range 6 {
			if took := s.putNext(s.Machine("z3-2")); took > 4*syncTime+responseMargin {
				t.Errorf("%v: acknowledged after %v", syncTime, took)
			}
			s.Run(3 * time.Second)
		}
		if later, _ := s.Machine("z1-1").Replica().View(); later != epoch {
			t.Errorf("%v: other views came, %d after %d", syncTime, later, epoch)
		}
		if wrong := s.consistent(); wrong != "" {
			t.Error(wrong)
		}
	}
}
