package simulation

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// A membership change is stored on the learner's disk only, and a member that has received it still serves
// in the previous view for a moment. A newly started machine that watches this member must not receive the
// change as complete and pass it on, as that could form a second core. The injected defect, a response that
// reports the change as complete, must be detected.
func TestIncompleteMembershipChangeIsNotReported(t *testing.T) {
	run := func(defect bool) string {
		s := startScenario(t, 1)
		a, b, c, watcher := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1"), s.Machine("z3-2")
		watcher.Kill()
		fresh := s.Add("z1")
		fresh.Start()
		s.Run(time.Second)
		s.Cut(a, c, true)
		s.CutOneWay(fresh, b, true)
		s.Run(200 * time.Millisecond) // not yet detected as failed; that happens when the others promise
		a.SetSyncTime(430 * time.Millisecond)
		a.controlNode.Drain(s.Now)
		s.eventually("a has sent its promise", time.Second,
			func() bool { return a.Replica().State() == replica.StateInstalling })
		b.Kill()
		s.eventually("c, which missed the proposal, has stored the change", 2*time.Second, func() bool {
			return len(c.stored.OutgoingMembers) > 0
		})
		if len(a.stored.OutgoingMembers)+len(b.stored.OutgoingMembers) > 0 || !c.Replica().ServingWithQuorum() {
			t.Fatal("the others store the change, or c no longer serves with a quorum")
		}
		if defect {
			s.Tamper = func(to *Machine, m *message.Message) {
				if response, ok := m.Body.(*message.WatchResponse); ok && to == watcher {
					response.OutgoingMembers = nil
				}
			}
		}
		watcher.Start()
		s.Run(20 * time.Millisecond)
		a.Kill()
		c.Kill()
		s.Run(300 * time.Millisecond)
		for _, m := range []*Machine{a, b} { // partition the machines into two sides
			for _, other := range []*Machine{c, fresh, watcher} {
				s.Cut(m, other, true)
			}
		}
		a.SetSyncTime(s.SyncTime)
		s.seeds = []string{watcher.node.Addr} // as configured at that time
		c.Start()
		a.Start()
		b.Start()
		s.Run(6 * time.Second)
		s.Put(b, 90, "of-the-old")
		s.Put(c, 90, "of-the-new")
		s.Run(2 * time.Second)
		return s.consistent()
	}
	if wrong := run(false); wrong != "" {
		t.Error(wrong)
	}
	if run(true) == "" {
		t.Error("the injected defect is not detected")
	}
}

// In a first start, one of three machines with a disk is missing, or its disk is full or hangs. The first
// configuration must be acknowledged within the specified bound after the quiet period, as the two others can
// store it. The third must become a member once it works.
func TestFirstStartWithoutOneDisk(t *testing.T) {
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for what, inject := range map[string]func(m *Machine){
			"full":    func(m *Machine) { m.FillDisk(true) },
			"hangs":   func(m *Machine) { m.HangDisk(true) },
			"missing": func(m *Machine) { m.removed = true },
		} {
			s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 5}),
				t, 0}
			m := s.Machine(name)
			inject(m)
			s.StartAll()
			s.Run(300 * time.Millisecond) // until all have started
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

// A member whose messages do not reach the first replica cannot be in a chain with it. While the two others
// have not agreed on a view, only this member serves, and it proposes a view without itself. It must not
// serve in that view, as changes that are acknowledged there do not reach its disk.
func TestProposerOutsideItsViewDoesNotServe(t *testing.T) {
	s := startScenario(t, 2)
	a, b, c := s.Machine("z1-1"), s.Machine("z2-1"), s.Machine("z3-1")
	w := checkStaleness(s.Cluster)
	observe, proposed := s.Observe, false
	s.Observe = func(from *Machine, to string, m *message.Message) {
		if from == b && m.Type() == message.TypePrepare { // its messages get through for a moment
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
	s.eventually("the view serves", 2*time.Second, func() bool { return len(s.Chain()) > 0 })
	s.CutOneWay(b, a, true)
	s.Network = nil
	for range 10 {
		s.putNext(c)
		s.Run(500 * time.Millisecond)
	}
	if len(w.violations) > 0 {
		t.Errorf("%d stale messages, the first: %s", len(w.violations), w.violations[0])
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

// All disks of the core are slow, up to the time after which a disk counts as failed, and all processes are
// restarted. A view must serve soon after that and must not change, and changes must be acknowledged within a
// few sync times.
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
			t.Errorf("%v: the view changed, epoch %d after %d", syncTime, later, epoch)
		}
		if wrong := s.consistent(); wrong != "" {
			t.Error(wrong)
		}
	}
}
