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

// recording records responses that a machine receives, and replays them to a later incarnation of it that is
// isolated from all others.
type recording struct {
	*scenario
	m         *Machine
	types     []message.Type // of the responses to record
	withheld  []message.Type // recorded, but not delivered to the earlier incarnation
	responses []recordedMessage
	isolated  bool
	exempt    []message.Type     // types that are delivered despite the isolation
	sent      []*message.Message // by the isolated incarnation
}

// recordedMessage is a message and the address of its sender.
type recordedMessage struct {
	from string
	m    *message.Message
}

// record replaces the cluster's network by one that records the responses of some types to a machine.
func (s *scenario) record(name string, kinds ...message.Type) *recording {
	t := &recording{scenario: s, m: s.Machine(name), types: kinds}
	s.Network = t.route
	return t
}

// route implements Options.Network.
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

// restart kills the machine's process and starts it again.
func (t *recording) restart() {
	t.m.Kill()
	t.m.Start()
}

// firstStart restarts the machine with an empty disk and the first-start option.
func (t *recording) firstStart() {
	t.m.Kill()
	t.m.WipeDisk()
	t.m.startedBefore = false
	t.m.Start()
}

// forgeFunc modifies a recorded response so that a program without the check under test would accept it.
type forgeFunc func(t *recording, m *message.Message)

// replay isolates the machine and delivers the recorded responses to it every 20 ms for two seconds,
// modified by forge unless that is nil. It returns early once effect returns true, and reports whether it
// did.
func (t *recording) replay(effect func() bool, forge forgeFunc) bool {
	t.t.Helper()
	t.isolated = true
	if len(t.responses) == 0 {
		t.t.Fatal("no response was recorded")
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

// forgeIncarnation sets a response's incarnation to the receiver's, as if incarnations were not
// distinguished.
func forgeIncarnation(t *recording, m *message.Message) { m.Incarnation = t.m.incarnation }

// forgeIncarnationAndEpoch sets the incarnation, and the epoch or ballot of the receiver's last request.
func forgeIncarnationAndEpoch(t *recording, m *message.Message) {
	forgeIncarnation(t, m)
	for _, q := range t.sent {
		if slices.Contains(message.ResponseTypes[q.Type()], m.Type()) {
			copyEpoch(m.Body, q.Body)
		}
	}
}

// copyEpoch sets the epoch or ballot of a response to that of a request, if both have one.
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

// lateResponses are scenarios in which a response of each type reaches a later incarnation of the machine
// that sent the request. run reports whether that incarnation acted on the response. A different machine
// that now has the address knows as little, and need not be tried.
var lateResponses = []struct {
	name   string
	kinds  []message.Type
	defect forgeFunc // must be detected
	run    func(t *recording, forge forgeFunc) bool
}{
	{"WatchResponse", []message.Type{message.TypeWatchResponse}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		t.exempt = []message.Type{message.TypeAnnounce, message.TypeMemberList}
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		return t.replay(func() bool { return t.m.version != 0 }, forge)
	}},
	{"MemberList", []message.Type{message.TypeMemberList}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		return t.replay(func() bool { return len(t.m.controlNode.Members()) > 0 }, forge)
	}},
	{"Committed", []message.Type{message.TypeCommitted}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		t.putNext(t.m)
		t.isolated = true
		t.restart()
		c := t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return c.Acknowledged }, forge)
	}},
	{"Conflict", []message.Type{message.TypeConflict}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		c := t.Put(t.m, t.version, "another")
		t.eventually("the put is rejected as a conflict", time.Second, func() bool { return c.Conflict })
		t.isolated = true
		t.restart()
		c = t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return c.Conflict }, forge)
	}},
	{"ReadResult", []message.Type{message.TypeReadResult}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		c := t.Read(t.m)
		t.eventually("it is read", time.Second, func() bool { return c.Acknowledged })
		t.isolated = true
		t.restart()
		c = t.Read(t.m)
		return t.replay(func() bool { return c.Acknowledged }, forge)
	}},
	{"ChangeMembersResult", []message.Type{message.TypeChangeMembersResult}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		t.ChangeMembers(t.m, "", "")
		t.Run(time.Second)
		t.isolated = true
		t.restart()
		o := t.ChangeMembers(t.m, "", "")
		return t.replay(func() bool { return o.Answer != nil }, forge)
	}},
	{"Reject", []message.Type{message.TypeReject}, forgeIncarnation, func(t *recording,
		forge forgeFunc) bool {
		t.withheld = []message.Type{message.TypeWatchResponse} // so that it does not learn the head
		t.PutVersion(t.m, t.version+3)
		t.Run(time.Second)
		t.exempt = []message.Type{message.TypeAnnounce, message.TypeMemberList}
		t.isolated = true
		t.restart()
		t.PutVersion(t.m, t.version+3)
		return t.replay(func() bool { return t.m.epoch != 0 }, forge)
	}},
	// An isolated tail would count earlier confirmations as a quorum, and serve a stale read.
	{"EpochConfirmed", []message.Type{message.TypeEpochConfirmed}, forgeIncarnationAndEpoch, func(t *recording,
		forge forgeFunc) bool {
		t.awaitServing("z3-1")
		t.readVersion(t.m)
		t.restart()
		t.awaitServing("z3-1")
		t.isolated = true
		t.putNext(t.Machine("z1-1"))
		c := t.Read(t.m)
		return t.replay(func() bool { return c.Acknowledged }, forge)
	}},
	// An isolated machine would activate a view by itself.
	{
		"Promise and ViewInstalled",
		[]message.Type{message.TypePromise, message.TypeViewInstalled},
		forgeIncarnationAndEpoch,
		func(t *recording, forge forgeFunc) bool {
			t.awaitServing("z1-1")
			b, c := t.Machine("z2-1"), t.Machine("z3-1") // neither serves, so this machine proposes the view
			t.Cut(b, c, true)
			for _, m := range []*Machine{b, c} {
				m.Kill()
				m.Start()
			}
			t.exempt = []message.Type{message.TypeHeartbeat}
			t.isolated = true
			t.restart()
			return t.replay(func() bool { return t.m.Replica().State() == replica.StateServing }, forge)
		},
	},
}

// awaitServing waits until a machine serves in a view with the two others.
func (t *recording) awaitServing(name string) {
	t.t.Helper()
	t.eventually(name+" serves", 6*time.Second, func() bool {
		return t.Machine(name).Replica().ServingWithQuorum() && len(t.Chain()) == 3
	})
}

// newRecording starts a cluster, records responses of some types to a machine and restarts that machine. The
// types determine which machine it is.
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
	if kinds[0] == message.TypePromise { // restart all, as replicas that serve would add it to their view
		s.restartAll()
	}
	r.restart()
	return r
}

// Late responses to an earlier incarnation of a restarted process, with the same request IDs, must have no
// effect. If incarnations were not distinguished, each type of response would have one.
func TestResponsesToAnEarlierIncarnationAreIgnored(t *testing.T) {
	tried := []message.Type{message.TypeBootstrapPromise, message.TypeBootstrapAccepted, // see the next test
		message.TypeTokenGrant} // handled by the rate limiter and covered by its tests
	for _, c := range lateResponses {
		tried = append(tried, c.kinds...)
		t.Run(c.name, func(t *testing.T) {
			if c.run(newRecording(t, c.kinds), nil) {
				t.Error("a response to an earlier incarnation was accepted")
			}
			if !c.run(newRecording(t, c.kinds), c.defect) {
				t.Error("the injected defect is not detected: the test cannot fail")
			}
		})
	}
	for request, kinds := range message.ResponseTypes {
		for _, k := range kinds {
			if !slices.Contains(tried, k) {
				t.Errorf("type %d, a response to %d, is not covered", k, request)
			}
		}
	}
}

// In a first start, a seed is killed before its own promise is on disk, and proposes again under the same
// ballot. Promises and votes that its earlier incarnation received must not count: with them it would
// distribute a different core under a ballot that may already be decided.
func TestVotesForAnEarlierIncarnationElectNoCore(t *testing.T) {
	run := func(forge forgeFunc) (proposed, formed bool) {
		s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 7}),
			t,
			0}
		r := s.record("z1-1", message.TypeBootstrapPromise, message.TypeBootstrapAccepted)
		r.withheld = []message.Type{message.TypeBootstrapAccepted}
		r.m.SetSyncTime(2 * time.Second)
		s.StartAll()
		s.eventually("both other seeds have accepted the proposal", 3*time.Second,
			func() bool { return len(r.responses) == 4 })
		r.exempt = []message.Type{message.TypeAnnounce}
		r.isolated = true
		r.m.SetSyncTime(r.SyncTime) // it announces itself once its disk's ID is saved
		r.firstStart()              // its disk was still empty
		formed = r.replay(func() bool { return len(r.m.controlNode.Members()) > 0 }, forge)
		return slices.ContainsFunc(r.sent,
			func(m *message.Message) bool { return m.Type() == message.TypeBootstrapAccept }), formed
	}
	if proposed, formed := run(nil); proposed || formed {
		t.Errorf("proposed %v, formed a core %v with votes for an earlier incarnation", proposed, formed)
	}
	if proposed, formed := run(forgeIncarnation); !proposed || !formed {
		t.Errorf("proposed %v, formed a core %v: the injected defect is not detected", proposed, formed)
	}
}

// A replica installs a view, accepts a change in it and restarts, and the view's installation is delivered
// once more. The accepted change must stay on its disk; installing the view again would drop it.
func TestRedeliveredViewDropsNothing(t *testing.T) {
	if stored, acknowledged := redeliverView(t, 0); stored != acknowledged {
		t.Errorf("r%d is stored, r%d was acknowledged", stored, acknowledged)
	}
	if stored, acknowledged := redeliverView(t, 1); stored == acknowledged { // as if it were another view
		t.Error("the injected defect is not detected")
	}
}

// redeliverView delivers a view's installation once more, with epochOffset added to its epoch. It returns the
// version on the replica's disk and the acknowledged version.
func redeliverView(t *testing.T, epochOffset uint64) (stored, acknowledged uint64) {
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
	s.eventually("it serves in a view again", 6*time.Second, func() bool {
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
		// As sent to a replica that has not reported its state.
		install.Config, install.AcceptedDelta = before, accepted
		s.deliver(v.from, Delivery{To: m.node.Addr, Message: v.m})
	}
	s.Run(100 * time.Millisecond)
	return m.stored.Version, s.version
}

// networkNoise returns a network that reorders and duplicates messages, some of them seconds late, and also
// delivers responses to wrong machines. With misattribute, these carry the wrong receiver's incarnation, as
// if receivers did not check it.
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
		if m.Type() == message.TypeHeartbeat { // otherwise failures would not be detected
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

// runWithNoise runs a random history and races with network noise. It returns a description of the failure,
// "" if there is none.
func runWithNoise(seed uint64, misattribute bool) string {
	o := Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: seed,
		Network: networkNoise(seed, misattribute)}
	if wrong := runHistory(o); wrong != "" {
		return wrong
	}
	o.Network = networkNoise(seed, misattribute)
	return runRaces(o)
}

// Under random faults, messages are delayed, duplicated, reordered and misdelivered. No invariant may be
// violated, and everything acknowledged must be readable. The injected defect, a program that accepts
// responses to others, must be detected.
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
		t.Error("not detected: a program that accepts responses to others")
	}
}

// A replica that was excluded from a view, and knows it, receives the activation of its old view again. It
// must not return to that view. The injected defect, a replica that ignores the epochs in others'
// heartbeats, must be detected.
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
		s.eventually("the others serve without it", 4*time.Second, func() bool { return len(s.Chain()) == 2 })
		s.HealAll()
		s.Run(170 * time.Millisecond) // it has received their heartbeats, and does not propose another view yet
		for _, l := range activations {
			s.deliver(l.from, Delivery{To: m.node.Addr, Message: l.m})
		}
		s.Run(5 * time.Millisecond)
		epoch, _ := m.Replica().View()
		serving, _ := s.Machine("z1-1").Replica().View()
		return m.Replica().State() == replica.StateServing && epoch < serving
	}
	if returnsToOldView(false) {
		t.Error("it serves in an outdated view")
	}
	if !returnsToOldView(true) {
		t.Error("the injected defect is not detected")
	}
}

// A copy of a gateway's watch request arrives after its next one. The next one must still be answered, so
// that the gateway need not watch another replica. The injected defect, a late copy that counts as a new
// request, must be detected.
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
		t.Errorf("%d watches of other replicas", n)
	}
	if requestsToOthers(true) == 0 {
		t.Error("the injected defect is not detected")
	}
}
