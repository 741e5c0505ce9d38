package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// The bounds of the rules, by their names on the users' pages.
const (
	maxApplyDelay  = 2 * time.Second // apply_s
	quietPeriod    = 3 * time.Second // quiet_s
	callerTimeout  = time.Second     // of silence, after which a caller goes on
	responseMargin = 50 * time.Millisecond
	// confirm_s: no orderly change waits longer for its acknowledgement.
	maxChangeDuration = 4 * time.Second
)

// Given the times that the program goes by, then what follows from them keeps within the rules.
func TestTimeoutsKeepStalenessBounds(t *testing.T) {
	for what, c := range map[string]struct{ got, limit time.Duration }{
		"who asks a silent machine asks the next": {client.FailoverTimeout, maxApplyDelay},
		"who asks one out of touch asks the next": {replica.MaxWatchSilence + client.RedirectTimeout, maxApplyDelay},
		"an older configuration comes into force": {MaxStaleInForce, maxApplyDelay},
		"all have left a machine out of touch":    {replica.MaxWatchSilence + client.FailoverTimeout, quietPeriod},
		"a call is answered":                      {client.CallTimeout, callerTimeout - responseMargin},
	} {
		if c.got > c.limit {
			t.Errorf("%s after %v, %v is allowed", what, c.got, c.limit)
		}
	}
}

// stalenessChecker holds every word of every machine to what a majority has agreed on more than the bound
// ago.
type stalenessChecker struct {
	cluster    *Cluster
	watches    map[watchKey]uint64  // the version that the question came with
	views      map[uint64]viewStart // by epoch
	newest     uint64               // of these
	lastClaims map[claim]time.Duration
	lists      map[processStart]message.EndpointList // that was told last
	violations []string
}

type watchKey struct {
	from                   string
	incarnation, requestID uint64
}

// viewStart is when a view was first in service, and how many lists the platform had told by then.
type viewStart struct {
	at         time.Duration
	listNumber int
}

type processStart struct {
	m      *Machine
	number int
}

type claim struct {
	from *Machine
	kind message.Type
}

func checkStaleness(x *Cluster) *stalenessChecker {
	w := &stalenessChecker{cluster: x, watches: map[watchKey]uint64{}, views: map[uint64]viewStart{},
		lastClaims: map[claim]time.Duration{},
		lists:      map[processStart]message.EndpointList{}}
	x.Observe = w.observe
	return w
}

// serial tells the platform's lists apart: each has one server, named by its number.
func listNumber(list []message.Endpoint) int {
	if len(list) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(list[0].ID)
	return n
}

// change has the platform tell another list.
func (w *stalenessChecker) changeServers() {
	w.cluster.Servers = []message.Endpoint{{ID: strconv.Itoa(listNumber(w.cluster.Servers) + 1)}}
}

func (w *stalenessChecker) reportViolation(from *Machine, format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v %s ", w.cluster.Now-time.Hour, from.Name)+fmt.Sprintf(format,
		args...))
}

// observe takes a word of a machine.
func (w *stalenessChecker) observe(from *Machine, to string, m *message.Message) {
	switch body := m.Body.(type) {
	case *message.Heartbeat:
		if _, known := w.views[body.Epoch]; body.Epoch > 0 && !known {
			w.views[body.Epoch] = viewStart{w.cluster.Now, listNumber(w.cluster.Servers)}
			w.newest = max(w.newest, body.Epoch)
		}
		return
	case *message.Watch:
		w.watches[watchKey{from.node.Addr, m.Incarnation, m.RequestID}] = body.Version
		return
	case *message.WatchResponse:
		w.checkResponse(from, to, m, body)
	case *message.TokenGrant:
		w.checkEpoch(from, "grants tokens", body.Epoch, body.OK)
	case *message.EndpointUpdate:
		w.checkEndpoints(from, body.Endpoints)
		return
	}
	if claimsSuccess(m) {
		w.lastClaims[claim{from, m.Type()}] = w.cluster.Now
	}
}

// succeeds reports whether a message says that something was done, or that it is so.
func claimsSuccess(m *message.Message) bool {
	switch body := m.Body.(type) {
	case *message.WatchResponse:
		return body.Fresh
	case *message.TokenGrant:
		return body.OK
	case *message.Committed:
		return body.OK
	case *message.ReadResult:
		return body.OK
	case *message.EpochConfirmed:
		return body.OK
	case *message.BootstrapPromise:
		return body.Trusted
	case *message.ChangeMembersResult:
		return body.OK
	case *message.Conflict:
		return true
	}
	return false
}

// checkEpoch holds a word that is told under an epoch to the views that were in service more than the bound
// ago.
func (w *stalenessChecker) checkEpoch(from *Machine, what string, epoch uint64, ok bool) {
	if v := w.views[w.newest]; ok && epoch < w.newest && w.cluster.Now > v.at+replica.MaxStaleness {
		w.reportViolation(from, "%s under %d, %d is in service since %v", what, epoch, w.newest, v.at-time.Hour)
	}
}

func (w *stalenessChecker) checkResponse(from *Machine, to string, m *message.Message,
	response *message.WatchResponse) {
	version, known := w.watches[watchKey{to, m.Incarnation, m.RequestID}]
	delete(w.watches, watchKey{to, m.Incarnation, m.RequestID})
	if !response.Fresh || !known { // asked before the watch began
		return
	}
	w.checkEpoch(from, "tells news", response.Epoch, true)
	if response.Config != nil {
		version = response.Version
	}
	stale := false // it tells bytes, and not that they are the newest
	for _, p := range response.Chunks {
		if p.Resource == message.ResourceConfig {
			version, stale = p.Version, p.Stale
		}
	}
	for _, c := range w.cluster.Calls {
		if !stale && c.Acknowledged && !c.Read && c.Version > version && w.cluster.Now > c.EndedAt+replica.MaxStaleness {
			w.reportViolation(from, "tells r%d, r%d was acknowledged %v ago", version, c.Version, w.cluster.Now-c.EndedAt)
		}
	}
	if response.Endpoints != nil {
		w.checkEndpoints(from, response.Endpoints)
	}
}

// checkEndpoints holds a list to its token: it was read when that epoch's view was in service, and tokens
// only rise.
func (w *stalenessChecker) checkEndpoints(from *Machine, l *message.EndpointList) {
	sender := processStart{from, from.starts}
	if old := w.lists[sender]; l.Epoch < old.Epoch || l.Epoch == old.Epoch && l.Sequence < old.Sequence {
		w.reportViolation(from, "tells a list of %d.%d after one of %d.%d", l.Epoch, l.Sequence, old.Epoch, old.Sequence)
	}
	w.lists[sender] = *l
	if v, known := w.views[l.Epoch]; known && listNumber(l.Endpoints) < v.listNumber {
		w.reportViolation(from, "tells list %d as one of %d, which began with %d", listNumber(l.Endpoints), l.Epoch, v.listNumber)
	}
}

// fault is what befalls a machine for a while.
type fault struct {
	name string
	hit  func(s *scenario, m *Machine)
	// It can't know what a majority goes by: nothing that counts is said after the bound. What a majority has
	// said may come late, and is true all the same.
	silences     bool
	messageDelay time.Duration
}

var faults = []fault{
	{"cut off from all", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.Cut(m, other, true)
		}
	}, true, 0},
	{"heard by nobody", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.CutOneWay(m, other, true)
		}
	}, true, 0},
	{"hears nobody", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.CutOneWay(other, m, true)
		}
	}, true, 0},
	{"cut off from the core", func(s *scenario, m *Machine) { s.Isolate(m, true) }, true, 0},
	{"hears nobody of the core", func(s *scenario, m *Machine) {
		for _, other := range s.Replicas() {
			if other != m {
				s.CutOneWay(other, m, true)
			}
		}
	}, true, 0},
	{"heard by nobody of the core", func(s *scenario, m *Machine) {
		for _, other := range s.Replicas() {
			if other != m {
				s.CutOneWay(m, other, true)
			}
		}
	}, true, 0},
	{"cut off from all but the core", func(s *scenario, m *Machine) {
		for _, other := range s.Machines {
			if !other.hasDisk {
				s.Cut(m, other, true)
			}
		}
	}, false, 0},
	{"hears all three seconds late", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.SlowOneWay(other, m, 3*time.Second)
		}
	}, true, 3 * time.Second},
	{"is heard three seconds late", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.SlowOneWay(m, other, 3*time.Second)
		}
	}, true, 3 * time.Second},
	{"frozen", func(_ *scenario, m *Machine) { m.Freeze() }, true, 0},
	{"a slow disk", func(_ *scenario, m *Machine) { m.SetSyncTime(1500 * time.Millisecond) }, false, 0},
	{"a disk that hangs", func(_ *scenario, m *Machine) { m.HangDisk(true) }, false, 0},
	{"a full disk", func(_ *scenario, m *Machine) { m.FillDisk(true) }, false, 0},
}

// others are all machines but one.
func (c *Cluster) others(m *Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(o *Machine) bool { return o == m })
}

// allocatorGap are the kinds of words that claim to be the newest, or to be held by a majority.
var authoritativeTypes = []message.Type{
	message.TypeWatchResponse,
	message.TypeCommitted,
	message.TypeConflict,
	message.TypeReadResult,
	message.TypeTokenGrant,
}

// twentySeconds has a machine of the core in trouble for that long, while operators go on at the others and
// at this one, and the platform's list changes. It returns the longest that a change took.
func runFaultForTwentySeconds(s *scenario, w *stalenessChecker, m *Machine, hit func(*scenario,
	*Machine)) (longest time.Duration) {
	others := s.others(m)
	hit(s, m)
	began := s.Now
	for i := 0; s.Now < began+20*time.Second; i++ {
		w.changeServers()
		s.version += 3
		s.Put(m, s.version, "in-trouble")
		s.Read(m)
		s.Put(m, s.version-3, "another")
		took, ok := s.putAtAny(others, i, s.version)
		if !ok {
			s.version += 3
		}
		longest = max(longest, took)
		s.Read(others[i%len(others)])
		s.Run(600 * time.Millisecond)
	}
	return longest
}

// changeAt sends a change to one of some machines after another until it has a clear answer.
func (s *scenario) putAtAny(list []*Machine, first int, version uint64) (took time.Duration, ok bool) {
	began := s.Now
	for i := first; s.Now < began+8*time.Second; i++ {
		c := s.Put(list[i%len(list)], version, "in-order")
		s.Until(func() bool { return c.Ended }, time.Second)
		if c.Acknowledged || c.Conflict {
			return s.Now - began, c.Acknowledged
		}
	}
	return 8 * time.Second, false
}

func (s *scenario) heal(m *Machine) {
	m.SetSyncTime(5 * time.Millisecond)
	m.HangDisk(false)
	repairMachines(s.Cluster, []*Machine{m})
}

// Given any machine of the core in any trouble for twenty seconds, when operators go on and servers come and
// go, then it tells nothing older than the bound, neither confirms nor refuses, and passes those on who ask
// it, within the second that they wait; the others go on, and when it is over all go by the newest.
func TestTwentySecondFaults(t *testing.T) {
	t.Parallel()
	for _, f := range faults {
		for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
			t.Run(f.name+" "+name, func(t *testing.T) {
				s := startScenario(t, 2)
				s.ReadTime = 700 * time.Millisecond
				w := checkStaleness(s.Cluster)
				m, first, began := s.Machine(name), len(s.Calls), s.Now
				if took := runFaultForTwentySeconds(s, w, m, f.hit); took > maxChangeDuration {
					t.Errorf("a change took %v at the others", took)
				}
				for _, kind := range authoritativeTypes {
					limit := replica.MaxWatchSilence
					if kind != message.TypeWatchResponse && kind != message.TypeTokenGrant {
						limit += f.messageDelay
					}
					if at := w.lastClaims[claim{m, kind}]; f.silences && at > began+limit {
						t.Errorf("it says %d for %v more", kind, at-began)
					}
				}
				for _, c := range s.Calls[first:] {
					if took := c.EndedAt - c.StartedAt; c.Ended && took > callerTimeout-responseMargin {
						t.Errorf("%+v has its answer after %v", *c, took)
					}
					if !c.Ended && !m.frozen && c.StartedAt < s.Now-callerTimeout {
						t.Errorf("%+v has no answer", *c)
					}
				}
				s.heal(m)
				s.Run(6 * time.Second)
				c := s.Read(m)
				s.Run(time.Second)
				if !c.Acknowledged || !s.Converged(c.Version) {
					t.Errorf("read %+v; not all go by it", *c)
				}
				for _, other := range s.Machines {
					if listNumber(other.Endpoints()) != listNumber(s.Servers) {
						t.Errorf("%s goes by list %d of %d", other.Name, listNumber(other.Endpoints()), listNumber(s.Servers))
					}
				}
				if len(s.Chain()) != 3 {
					t.Errorf("the chain is %v", s.Chain())
				}
				if len(w.violations) > 0 {
					t.Errorf("%d words, the first: %s", len(w.violations), w.violations[0])
				}
				if wrong := s.consistent(); wrong != "" {
					t.Error(wrong)
				}
			})
		}
	}
}

// Given the faults that this was made against, when a machine is in trouble for twenty seconds, then they are
// told.
func TestInjectedQuorumDefectsAreDetected(t *testing.T) {
	for _, d := range []struct {
		what, faultName, machine string
		inject                   func(x *Cluster)
	}{
		{"beats that waited on their way count as contact now", "hears all three seconds late", "z3-1",
			func(x *Cluster) {
				x.Tamper = func(_ *Machine, m *message.Message) {
					if h, ok := m.Body.(*message.Heartbeat); ok {
						h.EchoDelayMillis = uint64(time.Hour.Milliseconds())
					}
				}
			}},
		{"a list that was read under an epoch is told under the next", "frozen", "z1-1",
			func(x *Cluster) { x.epochAtReadEnd = true }},
		{"a machine that hears nobody says that it is well", "hears nobody", "z1-1",
			func(x *Cluster) {
				x.Tamper = func(_ *Machine, m *message.Message) {
					if h, ok := m.Body.(*message.Heartbeat); ok {
						h.Unhealthy = false
					}
				}
			}},
		{"a machine answers out of what it holds alone", "cut off from all", "z2-1",
			func(x *Cluster) { x.answersLocally = true }},
	} {
		s := startScenario(t, 2)
		s.ReadTime = 2 * time.Second
		w := checkStaleness(s.Cluster)
		d.inject(s.Cluster)
		w.changeServers()
		s.Run(2 * time.Second) // reading
		i := slices.IndexFunc(faults, func(tr fault) bool { return tr.name == d.faultName })
		took := runFaultForTwentySeconds(s, w, s.Machine(d.machine), faults[i].hit)
		if took <= maxChangeDuration && len(w.violations) == 0 && s.consistent() == "" {
			t.Errorf("not found: %s", d.what)
		}
	}
}

// Given a machine that comes back, with a list from before it was cut off, as the one that reads the list,
// when the platform is down, then nobody goes back to that: it is told the newest, and passes it on.
func TestReturningReaderPublishesNoOldList(t *testing.T) {
	s := startScenario(t, 2)
	w := checkStaleness(s.Cluster)
	reader := s.Machine("z3-1")
	w.changeServers()
	s.Run(2 * time.Second)
	s.Isolate(reader, true)
	s.Run(3 * time.Second)
	w.changeServers()
	s.Run(2 * time.Second)
	s.PlatformDown = true
	newcomer := s.Machine("z2-1")
	newcomer.Kill()
	s.HealAll()
	s.Run(2 * time.Second)
	newcomer.Start()
	s.eventually("all go by the newest", 8*time.Second, func() bool {
		return len(s.Chain()) == 3 && !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
			return listNumber(m.Endpoints()) != listNumber(s.Servers)
		})
	})
	for _, name := range []string{"z2-2", "z3-2"} { // which ask the learner, and the reader
		s.Machine(name).Kill()
		s.Machine(name).Start()
	}
	s.eventually("those that start now, too", 5*time.Second, func() bool {
		return !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
			return listNumber(m.Endpoints()) != listNumber(s.Servers)
		})
	})
	if len(w.violations) > 0 {
		t.Error(w.violations[0])
	}
}

// Given a machine of the chain that is never told what is done, when changes go down the chain through it,
// then it tells nothing old: it knows by the next that what came before is done, and leaves off if none
// comes.
func TestReplicaWithoutCommitNotificationsReportsNothingStale(t *testing.T) {
	s := startScenario(t, 2)
	w := checkStaleness(s.Cluster)
	s.Tamper = func(to *Machine, m *message.Message) {
		if to.Name != "z2-1" {
			return
		}
		switch body := m.Body.(type) {
		case *message.Heartbeat:
			body.Version = 0
		case *message.Committed:
			body.Version = 0
		}
	}
	for range 30 {
		s.putNext(s.Machine("z1-2"))
		s.Run(200 * time.Millisecond)
	}
	s.Run(2 * time.Second)
	if len(w.violations) > 0 {
		t.Errorf("%d words, the first: %s", len(w.violations), w.violations[0])
	}
}

// Given a machine that stands still for twenty seconds with an answer on its way to it, when changes were
// acknowledged meanwhile, then it doesn't go by that answer when it wakes.
func TestDelayedResponseIsIgnored(t *testing.T) {
	s := startScenario(t, 1)
	m := s.Machine("z1-2")
	s.Observe = func(_ *Machine, to string, told *message.Message) {
		response, ok := told.Body.(*message.WatchResponse)
		if ok && to == m.node.Addr && response.Config != nil {
			m.Freeze()
		}
	}
	s.putNext(s.Machine("z2-2"))
	s.Run(time.Second)
	if !m.frozen {
		t.Fatal("it was told nothing")
	}
	s.Observe = nil
	s.putNext(s.Machine("z2-2"))
	s.Run(20 * time.Second)
	m.Thaw()
	s.eventually("it goes by the newest, and by nothing older before", 2*time.Second,
		func() bool { return m.Version() == s.version })
}

// Given a list that comes three seconds late to a machine of the core, when the next one came before it, then
// those who start, and ask that machine, go by the next one.
func TestLateEndpointListIsIgnored(t *testing.T) {
	s := startScenario(t, 2)
	w := checkStaleness(s.Cluster)
	s.Network = func(_, to string, m *message.Message) []Delivery {
		late := time.Duration(0)
		update, ok := m.Body.(*message.EndpointUpdate)
		if ok && to == s.Machine("z2-1").node.Addr && listNumber(update.Endpoints.Endpoints) == 1 {
			late = 3 * time.Second
		}
		return []Delivery{{to, late, m}}
	}
	w.changeServers()
	s.Run(time.Second)
	w.changeServers()
	s.Run(2600 * time.Millisecond)
	s.PlatformDown = true
	m := s.Machine("z2-2")
	m.Kill()
	m.Start()
	s.eventually("it has the newest", time.Second, func() bool { return listNumber(m.Endpoints()) == 2 })
	if len(w.violations) > 0 {
		t.Error(w.violations[0])
	}
}

// Given any history of cuts, freezes, slow links and disks, of the machines that may be lost together and of
// any without a disk, and of all at once, when operators go on, then no word is older than the bound, all
// answers are those of one register, and all go by the newest in the end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(14) {
		if wrong := runFaultHistory(t, seed); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// words draws a history, and returns what went wrong.
func runFaultHistory(t *testing.T, seed uint64) string {
	survive := 1 + int(seed%2)
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: survive, GatewaysPerZone: 1, SurviveMachines: survive,
		Seed: seed}), t, 0}
	rng := rand.New(rand.NewPCG(seed, 9))
	w := checkStaleness(s.Cluster)
	s.StartAll()
	disks := s.Replicas()
	if !s.Until(func() bool { return len(s.Chain()) == len(disks) }, 8*time.Second) {
		return "no first start"
	}
	others := slices.DeleteFunc(slices.Clone(s.Machines), func(m *Machine) bool { return m.hasDisk })
	for range 8 {
		hit := []*Machine{others[rng.IntN(len(others))]}
		for range rng.IntN(survive + 1) {
			hit = append(hit, disks[rng.IntN(len(disks))])
		}
		if rng.IntN(6) == 0 {
			hit = disks
			for _, m := range hit {
				m.Freeze()
			}
		} else {
			for _, m := range hit {
				faults[rng.IntN(len(faults))].hit(s, m)
			}
		}
		for range 1 + rng.IntN(6) {
			w.changeServers()
			s.version += rng.Uint64N(3)
			s.Put(s.Machines[rng.IntN(len(s.Machines))], max(1, s.version), fmt.Sprint("t", rng.IntN(2)))
			s.Read(s.Machines[rng.IntN(len(s.Machines))])
			s.Run(time.Duration(rng.IntN(1200)) * time.Millisecond)
		}
		for _, i := range rng.Perm(len(hit)) {
			s.heal(hit[i])
			s.Run(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		s.Run(time.Duration(rng.IntN(2)) * 4 * time.Second)
	}
	s.Run(6 * time.Second)
	c := s.Read(s.Machines[0])
	s.Run(time.Second)
	switch {
	case len(w.violations) > 0:
		return w.violations[0]
	case !c.Acknowledged || !s.Converged(c.Version):
		return "not all go by the newest"
	}
	return s.consistent()
}
