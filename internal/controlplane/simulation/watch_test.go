package simulation

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// recording keeps answers that a machine gets, and plays them to a later life of it, which is cut off.
type recording struct {
	*scenario
	m         *Machine
	types     []message.Type
	withheld  []message.Type // answers that the earlier incarnation does not get
	responses []recordedMessage
	isolated  bool
	exempt    []message.Type     // pass all the same
	sent      []*message.Message // by the life that is cut off
}

type recordedMessage struct {
	from string
	m    *message.Message
}

// record has all go over the tape from now on.
func (s *scenario) record(name string, kinds ...message.Type) *recording {
	t := &recording{scenario: s, m: s.Machine(name), types: kinds}
	s.Network = t.route
	return t
}

func (t *recording) route(from, to string, m *message.Message) []Delivery {
	own := t.m.node.Addr
	switch {
	case t.isolated && (from == own || to == own) && !slices.Contains(t.exempt, m.Type()):
		if from == own {
			t.sent = append(t.sent, m)
		}
		return nil
	case !t.isolated && to == own && m.IsResponse():
		if slices.Contains(t.types, m.Type()) {
			t.responses = append(t.responses, recordedMessage{from, m})
		}
		if slices.Contains(t.withheld, m.Type()) {
			return nil
		}
	}
	return []Delivery{{To: to, Message: m}}
}

// restart starts the machine again.
func (t *recording) restart() {
	t.m.Kill()
	t.m.Start()
}

// firstStart starts the machine with an empty disk, and as in the first life of the system.
func (t *recording) firstStart() {
	t.m.Kill()
	t.m.WipeDisk()
	t.m.startedBefore = false
	t.m.Start()
}

// forgery makes a kept answer one that an earlier program would have taken.
type forgeFunc func(t *recording, m *message.Message)

// replay has what was kept come again and again for two seconds, and reports whether it did something.
func (t *recording) replay(effect func() bool, forge forgeFunc) bool {
	t.t.Helper()
	t.isolated = true
	if len(t.responses) == 0 {
		t.t.Fatal("nothing was kept")
	}
	for end := t.Now + 2*time.Second; t.Now < end && !effect(); t.Run(20 * time.Millisecond) {
		for _, k := range t.responses {
			m := clone(k.m)
			if forge != nil {
				forge(t, m)
			}
			t.deliver(k.from, Delivery{To: t.m.node.Addr, Message: m})
		}
	}
	return effect()
}

// forgeIncarnation has an answer say the life that gets it: as if lives were not told apart.
func forgeIncarnation(t *recording, m *message.Message) { m.Incarnation = t.m.incarnation }

// and the epoch or the ballot of what that asked last.
func forgeIncarnationAndEpoch(t *recording, m *message.Message) {
	forgeIncarnation(t, m)
	for _, q := range t.sent {
		if slices.Contains(message.ResponseTypes[q.Type()], m.Type()) {
			copyEpoch(m.Body, q.Body)
		}
	}
}

// copyEpoch gives a response the epoch or the ballot of a request, if both have one.
func copyEpoch(response, request message.Body) {
	epochOf := func(body message.Body) reflect.Value {
		v := reflect.ValueOf(body).Elem()
		if epoch := v.FieldByName("Epoch"); epoch.IsValid() {
			return epoch
		}
		return v.FieldByName("Ballot")
	}
	if to, from := epochOf(response), epochOf(request); to.IsValid() && from.IsValid() {
		to.Set(from)
	}
}

// lateResponses tells for each kind of answer how it comes to a later life of who asked, and whether that did
// something with it. That life may as well be another machine that has the address now: it knows as little.
var lateResponses = []struct {
	name   string
	kinds  []message.Type
	defect forgeFunc // that is found
	play   func(t *recording, l forgeFunc) bool
}{
	{"News", []message.Type{message.TypeWatchResponse}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		t.exempt = []message.Type{message.TypeAnnounce, message.TypeMemberList}
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		return t.replay(func() bool { return t.m.version != 0 }, l)
	}},
	{"Roll", []message.Type{message.TypeMemberList}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		return t.replay(func() bool { return len(t.m.controlNode.Members()) > 0 }, l)
	}},
	{"Done", []message.Type{message.TypeCommitted}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		t.putNext(t.m)
		t.isolated = true
		t.restart()
		c := t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return c.Acknowledged }, l)
	}},
	{"Conflict", []message.Type{message.TypeConflict}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		c := t.Put(t.m, t.version, "another")
		t.eventually("that is a conflict", time.Second, func() bool { return c.Conflict })
		t.isolated = true
		t.restart()
		c = t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return c.Conflict }, l)
	}},
	{"Copy", []message.Type{message.TypeReadResult}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		c := t.Read(t.m)
		t.eventually("it is read", time.Second, func() bool { return c.Acknowledged })
		t.isolated = true
		t.restart()
		c = t.Read(t.m)
		return t.replay(func() bool { return c.Acknowledged }, l)
	}},
	{"Reformed", []message.Type{message.TypeChangeMembersResult}, forgeIncarnation, func(t *recording,
		l forgeFunc) bool {
		t.ChangeMembers(t.m, "", "")
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		o := t.ChangeMembers(t.m, "", "")
		return t.replay(func() bool { return o.Answer != nil }, l)
	}},
	{"Refuse", []message.Type{message.TypeReject}, forgeIncarnation, func(t *recording, l forgeFunc) bool {
		t.withheld = []message.Type{message.TypeWatchResponse} // it doesn't know the head
		t.PutVersion(t.m, t.version+3)
		t.Run(time.Second)
		t.exempt = []message.Type{message.TypeAnnounce, message.TypeMemberList}
		t.isolated = true
		t.restart()
		t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return t.m.epoch != 0 }, l)
	}},
	// A tail that is cut off would count what it was told before as a quorum, and read what is old.
	{"Confirmed", []message.Type{message.TypeEpochConfirmed}, forgeIncarnationAndEpoch, func(t *recording,
		l forgeFunc) bool {
		t.awaitServing("z3-1")
		t.readVersion(t.m)
		t.restart()
		t.awaitServing("z3-1")
		t.isolated = true
		t.putNext(t.Machine("z1-1"))
		c := t.Read(t.m)
		return t.replay(func() bool { return c.Acknowledged }, l)
	}},
	// A machine alone would put a view into service.
	{
		"Promise and Installed",
		[]message.Type{message.TypePromise, message.TypeViewInstalled},
		forgeIncarnationAndEpoch,
		func(t *recording,
			l forgeFunc) bool {
			t.awaitServing("z1-1")
			b, c := t.Machine("z2-1"), t.Machine("z3-1") // they serve nothing: it is the one to propose a view
			t.Cut(b, c, true)
			for _, m := range []*Machine{b, c} {
				m.Kill()
				m.Start()
			}
			t.exempt = []message.Type{message.TypeHeartbeat}
			t.isolated = true
			t.restart()
			return t.replay(func() bool { return t.m.Replica().State() == replica.StateServing }, l)
		},
	},
}

// serves waits until a machine is in service with the two others.
func (t *recording) awaitServing(name string) {
	t.t.Helper()
	t.eventually(name+" serves", 6*time.Second, func() bool {
		return t.Machine(name).Replica().ServingWithQuorum() && len(t.Chain()) == 3
	})
}

// recorded is a cluster in which a machine has just been started again, with its answers on tape.
func newRecording(t *testing.T, kinds []message.Type) *recording {
	s := startScenario(t, 1)
	name := "z1-2"
	switch kinds[0] {
	case message.TypeEpochConfirmed:
		name = "z3-1"
	case message.TypePromise:
		name = "z1-1"
	}
	s.Run(2 * time.Second)
	r := s.record(name, kinds...)
	if kinds[0] == message.TypePromise { // all at once: otherwise those who serve take it in
		s.restartAll()
	}
	r.restart()
	return r
}

// Given a process that was started again, or another one that has its address, when answers to its earlier
// life come late under the same calls, then they do nothing. Were lives not told apart, each would.
func TestResponsesToAnEarlierIncarnationAreIgnored(t *testing.T) {
	tried := []message.Type{message.TypeBootstrapPromise, message.TypeBootstrapAccepted, // see the next test
		message.TypeTokenGrant} // is the limiter's: see its tests
	for _, c := range lateResponses {
		tried = append(tried, c.kinds...)
		t.Run(c.name, func(t *testing.T) {
			if c.play(newRecording(t, c.kinds), nil) {
				t.Error("an answer to an earlier life was taken")
			}
			if !c.play(newRecording(t, c.kinds), c.defect) {
				t.Error("the seeded defect is not found: the test can't fail")
			}
		})
	}
	for asks, kinds := range message.ResponseTypes {
		for _, k := range kinds {
			if !slices.Contains(tried, k) {
				t.Errorf("%d, an answer to %d, is not tried", k, asks)
			}
		}
	}
}

// Given a first start in which a seed is killed before its own pledge is on disk, when it proposes again
// under the same ballot, then pledges and votes that its earlier incarnation was given count for nothing.
// Counted, they would have it hand out another core under a ballot that may be decided.
func TestVotesForAnEarlierIncarnationElectNoCore(t *testing.T) {
	play := func(forge forgeFunc) (drafts, named bool) {
		s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 7}),
			t,
			0}
		r := s.record("z1-1", message.TypeBootstrapPromise, message.TypeBootstrapAccepted)
		r.withheld = []message.Type{message.TypeBootstrapAccepted}
		r.m.SetSyncTime(2 * time.Second)
		s.StartAll()
		s.eventually("two seeds have the draft", 3*time.Second, func() bool { return len(r.responses) == 4 })
		r.exempt = []message.Type{message.TypeAnnounce}
		r.isolated = true
		r.m.SetSyncTime(r.SyncTime) // it says that it is there once its disk's id is on it
		r.firstStart()              // its disk had nothing yet
		named = r.replay(func() bool { return len(r.m.controlNode.Members()) > 0 }, forge)
		return slices.ContainsFunc(r.sent,
			func(m *message.Message) bool { return m.Type() == message.TypeBootstrapAccept }), named
	}
	if drafts, named := play(nil); drafts || named {
		t.Errorf("drafts %v, named %v by votes for an earlier life", drafts, named)
	}
	if drafts, named := play(forgeIncarnation); !drafts || !named {
		t.Errorf("drafts %v, named %v: the seeded defect is not found", drafts, named)
	}
}

// Given a machine that took a view, accepted more in it and was started again, when the view comes once more,
// then what it accepted stays on its disk. One that took it again would drop it.
func TestRedeliveredViewDropsNothing(t *testing.T) {
	if kept, acked := redeliverView(t, 0); kept != acked {
		t.Errorf("r%d is on its disk, r%d was acknowledged", kept, acked)
	}
	if kept, acked := redeliverView(t, 1); kept == acked { // as if it were another
		t.Error("the seeded defect is not found")
	}
}

// viewAgain has a view come once more, under an epoch that is higher by some, and returns what is on the disk
// and what was acknowledged.
func redeliverView(t *testing.T, epochOffset uint64) (kept, acked uint64) {
	s := startScenario(t, 1)
	m := s.Machine("z2-1")
	var views []recordedMessage
	s.Network = func(from, to string, x *message.Message) []Delivery {
		if x.Type() == message.TypeInstallView && to == m.node.Addr {
			views = append(views, recordedMessage{from, x})
		}
		return []Delivery{{To: to, Message: x}}
	}
	m.Kill()
	m.Start()
	s.eventually("it is in a view again", 6*time.Second, func() bool {
		return m.Replica().ServingWithQuorum() && len(s.Chain()) == 3
	})
	before := message.NewDelta(m.stored.Config, 0, nil)
	accepted := message.NewDelta(message.EncodeAcceptedVersions(m.stored.AcceptedVersions), 0, nil)
	s.putNext(s.Machine("z1-2"))
	m.Kill()
	m.Start()
	for _, v := range views {
		install := v.m.Body.(*message.InstallView)
		install.Epoch += epochOffset
		install.Config, install.AcceptedDelta = before, accepted // as it is sent to one that had not told what it has
		s.deliver(v.from, Delivery{To: m.node.Addr, Message: v.m})
	}
	s.Run(100 * time.Millisecond)
	return m.stored.Version, s.version
}

// networkNoise has messages overtaken, come twice, some of them seconds late, and answers come to others,
// too. Blind plays a program that doesn't tell whose answer it is: it takes those for its own.
func networkNoise(seed uint64, misattribute bool) func(from, to string, m *message.Message) []Delivery {
	rng := rand.New(rand.NewPCG(seed, 9))
	var addrs []string
	incarnations := map[string]uint64{}
	return func(from, to string, m *message.Message) []Delivery {
		if !slices.Contains(addrs, to) {
			addrs = append(addrs, to)
		}
		if m.IsRequest() {
			incarnations[from] = m.Incarnation
		}
		all := []Delivery{{To: to, Message: m}}
		late := 4 * time.Second
		if m.Type() == message.TypeHeartbeat { // nobody would be missed
			late = 200 * time.Millisecond
		}
		switch rng.IntN(10) {
		case 0:
			all[0].After = time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
		case 1:
			all = append(all, Delivery{to, time.Duration(rng.Int64N(int64(late))), m})
		case 2, 3, 4, 5, 6, 7:
			if m.IsResponse() {
				other, wrong := addrs[rng.IntN(len(addrs))], *m
				if misattribute {
					wrong.Incarnation = incarnations[other]
				}
				all = append(all, Delivery{other, 0, &wrong})
			}
		}
		return all
	}
}

// noisy draws a history and races with noise, and returns what went wrong.
func runWithNoise(seed uint64, misattribute bool) string {
	o := Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: seed,
		Network: networkNoise(seed, misattribute)}
	if wrong := runHistory(o); wrong != "" {
		return wrong
	}
	o.Network = networkNoise(seed, misattribute)
	return runRaces(o)
}

// Given any history of faults, when messages come late, twice, overtaken and to others, then no promise is
// broken, and all that was acknowledged is there.
func TestRandomNetworkNoise(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		if wrong := runWithNoise(seed, false); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
	const limit = 40
	found := uint64(0)
	for found < limit && runWithNoise(found, true) == "" {
		found++
	}
	if found == limit {
		t.Error("a program that takes others' answers is not found out")
	}
}

// Given a machine that was left out of a view and knows it, when it hears once more that its old one is in
// service, then it does not go back to it. One that doesn't look at what others say is found.
func TestOldViewIsNotActivatedAgain(t *testing.T) {
	returnsToOldView := func(ignoreHeartbeats bool) bool {
		s := startScenario(t, 1)
		m := s.Machine("z3-1")
		var activations []recordedMessage
		isolated := false
		s.Network = func(from, to string, x *message.Message) []Delivery {
			if to == m.node.Addr && x.Type() == message.TypeActivateView {
				activations = append(activations, recordedMessage{from, x})
			}
			if h, ok := x.Body.(*message.Heartbeat); ok && ignoreHeartbeats && isolated && to == m.node.Addr {
				h.Epoch = 0
			}
			return []Delivery{{To: to, Message: x}}
		}
		m.Kill()
		m.Start()
		s.eventually("it serves", 6*time.Second,
			func() bool { return m.Replica().ServingWithQuorum() && len(s.Chain()) == 3 })
		s.Run(2 * time.Second)
		isolated = true
		s.Isolate(m, true)
		s.eventually("the others go on", 4*time.Second, func() bool { return len(s.Chain()) == 2 })
		s.HealAll()
		s.Run(170 * time.Millisecond) // it has heard them, and would not have asked for another view yet
		for _, l := range activations {
			s.deliver(l.from, Delivery{To: m.node.Addr, Message: l.m})
		}
		s.Run(5 * time.Millisecond)
		epoch, _ := m.Replica().View()
		serving, _ := s.Machine("z1-1").Replica().View()
		return m.Replica().State() == replica.StateServing && epoch < serving
	}
	if returnsToOldView(false) {
		t.Error("it is in service in a view that is over")
	}
	if !returnsToOldView(true) {
		t.Error("the seeded defect is not found")
	}
}

// Given a machine that asks for news, when a question comes again after the next one, then the next one is
// answered all the same, and nobody else need be asked. A late one that is taken for new is found.
func TestLateWatchDoesNotReplaceTheNext(t *testing.T) {
	requestsToOthers := func(acceptLate bool) (n int) {
		s := startScenario(t, 1)
		m := s.Machine("z1-2")
		s.Run(4 * time.Second)
		host := m.controlNode.ConnectedHost()
		s.Network = func(from, to string, x *message.Message) []Delivery {
			all := []Delivery{{To: to, Message: x}}
			if x.Type() == message.TypeWatch && from == m.node.Addr {
				if s.At(to).node.Addr != *host+":7" {
					n++
				}
				late := *x
				if acceptLate {
					late.RequestID += 1 << 40
				}
				all = append(all, Delivery{to, 815 * time.Millisecond, &late})
			}
			return all
		}
		s.Run(10 * time.Second)
		return n
	}
	if n := requestsToOthers(false); n > 0 {
		t.Errorf("asked others %d times", n)
	}
	if requestsToOthers(true) == 0 {
		t.Error("the seeded defect is not found")
	}
}
