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

// The specified bounds, with their names in the specification.
const (
	maxApplyDelay  = 2 * time.Second // apply_s
	quietPeriod    = 3 * time.Second // quiet_s
	callerTimeout  = time.Second     // after which a caller tries the next machine
	responseMargin = 50 * time.Millisecond
	// confirm_s: the maximum time until the acknowledgement of a change that has no conflict.
	maxChangeDuration = 4 * time.Second
)

// The control plane's timeouts must keep the specified bounds in combination.
func TestTimeoutsKeepStalenessBounds(t *testing.T) {
	for what, c := range map[string]struct{ got, limit time.Duration }{
		"failover from a silent replica": {client.FailoverTimeout, maxApplyDelay},
		"failover from a replica without quorum": {replica.MaxWatchSilence + client.RedirectTimeout,
			maxApplyDelay},
		"an older configuration is applied": {MaxStaleInForce, maxApplyDelay},
		"all watchers have left a replica without quorum": {replica.MaxWatchSilence + client.FailoverTimeout,
			quietPeriod},
		"a call gets its response": {client.CallTimeout, callerTimeout - responseMargin},
	} {
		if c.got > c.limit {
			t.Errorf("%s: after up to %v, the bound is %v", what, c.got, c.limit)
		}
	}
}

// stalenessChecker checks that no message carries state older than what a majority agreed on more than
// replica.MaxStaleness ago.
type stalenessChecker struct {
	cluster    *Cluster
	watches    map[watchKey]uint64  // the version that the watch request carried
	views      map[uint64]viewStart // by epoch
	newest     uint64               // the highest epoch in views
	lastClaims map[claim]time.Duration
	lists      map[processStart]message.EndpointList // the list that was sent last
	violations []string
}

type watchKey struct {
	from                   string
	incarnation, requestID uint64
}

// viewStart is the time at which a view was first in service, and the number of the platform's list of
// servers at that time.
type viewStart struct {
	at         time.Duration
	listNumber int
}

// processStart identifies one process of a machine.
type processStart struct {
	m      *Machine
	number int
}

// claim identifies the messages of one type from one machine.
type claim struct {
	from *Machine
	kind message.Type
}

// checkStaleness installs a checker as the cluster's Observe.
func checkStaleness(x *Cluster) *stalenessChecker {
	w := &stalenessChecker{cluster: x, watches: map[watchKey]uint64{}, views: map[uint64]viewStart{},
		lastClaims: map[claim]time.Duration{},
		lists:      map[processStart]message.EndpointList{}}
	x.Observe = w.observe
	return w
}

// listNumber returns the number of one of the platform's lists: the ID of its only server, 0 if it has none.
func listNumber(list []message.Endpoint) int {
	if len(list) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(list[0].ID)
	return n
}

// changeServers replaces the platform's list by the next one.
func (w *stalenessChecker) changeServers() {
	w.cluster.Servers = []message.Endpoint{{ID: strconv.Itoa(listNumber(w.cluster.Servers) + 1)}}
}

func (w *stalenessChecker) reportViolation(from *Machine, format string, args ...any) {
	w.violations = append(w.violations,
		fmt.Sprintf("%v %s ", w.cluster.Now-time.Hour, from.Name)+fmt.Sprintf(format, args...))
}

// observe records and checks a message that a machine sends.
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

// claimsSuccess reports whether a message states that a request was carried out or that its state is current.
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

// checkEpoch checks that a message is not sent under an older epoch once a newer view has been in service for
// longer than replica.MaxStaleness.
func (w *stalenessChecker) checkEpoch(from *Machine, what string, epoch uint64, ok bool) {
	if v := w.views[w.newest]; ok && epoch < w.newest && w.cluster.Now > v.at+replica.MaxStaleness {
		w.reportViolation(from, "%s under epoch %d, %d is in service since %v", what, epoch, w.newest,
			v.at-time.Hour)
	}
}

// checkResponse checks the epoch, the version and the list of servers of a response to a watch request.
func (w *stalenessChecker) checkResponse(from *Machine, to string, m *message.Message,
	response *message.WatchResponse) {
	version, known := w.watches[watchKey{to, m.Incarnation, m.RequestID}]
	delete(w.watches, watchKey{to, m.Incarnation, m.RequestID})
	if !response.Fresh || !known { // the request was sent before the checker was installed
		return
	}
	w.checkEpoch(from, "sends an update", response.Epoch, true)
	if response.Config != nil {
		version = response.Version
	}
	stale := false // the chunks do not claim to be of the newest version
	for _, p := range response.Chunks {
		if p.Resource == message.ResourceConfig {
			version, stale = p.Version, p.Stale
		}
	}
	for _, c := range w.cluster.Calls {
		if !stale && c.Acknowledged && !c.Read && c.Version > version &&
			w.cluster.Now > c.EndedAt+replica.MaxStaleness {
			w.reportViolation(from, "sends r%d, r%d was acknowledged %v ago", version, c.Version,
				w.cluster.Now-c.EndedAt)
		}
	}
	if response.Endpoints != nil {
		w.checkEndpoints(from, response.Endpoints)
	}
}

// checkEndpoints checks a list of servers against its epoch and sequence: it was read while the view of that
// epoch was in service, and the pair never decreases within a process.
func (w *stalenessChecker) checkEndpoints(from *Machine, l *message.EndpointList) {
	sender := processStart{from, from.starts}
	if old := w.lists[sender]; l.Epoch < old.Epoch || l.Epoch == old.Epoch && l.Sequence < old.Sequence {
		w.reportViolation(from, "sends a list of %d.%d after one of %d.%d", l.Epoch, l.Sequence, old.Epoch,
			old.Sequence)
	}
	w.lists[sender] = *l
	if v, known := w.views[l.Epoch]; known && listNumber(l.Endpoints) < v.listNumber {
		w.reportViolation(from, "sends list %d under epoch %d, which began with list %d",
			listNumber(l.Endpoints), l.Epoch, v.listNumber)
	}
}

// fault is a temporary fault of a machine.
type fault struct {
	name string
	hit  func(s *scenario, m *Machine)
	// The machine cannot know the majority's state, and must not send any of authoritativeTypes once the bound
	// has passed. Messages about what a majority agreed on may arrive later by messageDelay.
	silences     bool
	messageDelay time.Duration
}

var faults = []fault{
	{"cut off from all", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.Cut(m, other, true)
		}
	}, true, 0},
	{"cannot send", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.CutOneWay(m, other, true)
		}
	}, true, 0},
	{"cannot receive", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.CutOneWay(other, m, true)
		}
	}, true, 0},
	{"cut off from the core", func(s *scenario, m *Machine) { s.Isolate(m, true) }, true, 0},
	{"cannot receive from the core", func(s *scenario, m *Machine) {
		for _, other := range s.Replicas() {
			if other != m {
				s.CutOneWay(other, m, true)
			}
		}
	}, true, 0},
	{"cannot send to the core", func(s *scenario, m *Machine) {
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
	{"receives everything three seconds late", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.SlowOneWay(other, m, 3*time.Second)
		}
	}, true, 3 * time.Second},
	{"sends everything three seconds late", func(s *scenario, m *Machine) {
		for _, other := range s.others(m) {
			s.SlowOneWay(m, other, 3*time.Second)
		}
	}, true, 3 * time.Second},
	{"frozen", func(_ *scenario, m *Machine) { m.Freeze() }, true, 0},
	{"a slow disk", func(_ *scenario, m *Machine) { m.SetSyncTime(1500 * time.Millisecond) }, false, 0},
	{"a disk that hangs", func(_ *scenario, m *Machine) { m.HangDisk(true) }, false, 0},
	{"a full disk", func(_ *scenario, m *Machine) { m.FillDisk(true) }, false, 0},
}

// others returns all machines except m.
func (c *Cluster) others(m *Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(o *Machine) bool { return o == m })
}

// authoritativeTypes are the types of the messages that claim to carry the newest state, or state that a
// majority has stored.
var authoritativeTypes = []message.Type{
	message.TypeWatchResponse,
	message.TypeCommitted,
	message.TypeConflict,
	message.TypeReadResult,
	message.TypeTokenGrant,
}

// runFaultForTwentySeconds injects a fault into a replica and runs for 20 s, while operators use the other
// machines and this one, and the platform's list changes. It returns the longest time that a change through
// the other machines took.
func runFaultForTwentySeconds(s *scenario, w *stalenessChecker, m *Machine, hit func(*scenario,
	*Machine)) (longest time.Duration) {
	others := s.others(m)
	hit(s, m)
	began := s.Now
	for i := 0; s.Now < began+20*time.Second; i++ {
		w.changeServers()
		s.version += 3
		s.Put(m, s.version, "via-faulty")
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

// putAtAny puts a version through one machine of the list after another until it is acknowledged or rejected
// as a conflict. ok reports whether it was acknowledged.
func (s *scenario) putAtAny(list []*Machine, first int, version uint64) (took time.Duration, ok bool) {
	began := s.Now
	for i := first; s.Now < began+8*time.Second; i++ {
		c := s.Put(list[i%len(list)], version, "via-rest")
		s.Until(func() bool { return c.Ended }, time.Second)
		if c.Acknowledged || c.Conflict {
			return s.Now - began, c.Acknowledged
		}
	}
	return 8 * time.Second, false
}

// heal ends all network faults and all faults of a machine.
func (s *scenario) heal(m *Machine) {
	m.SetSyncTime(5 * time.Millisecond)
	m.HangDisk(false)
	repairMachines(s.Cluster, []*Machine{m})
}

// Each replica has each fault for twenty seconds, while operators send changes and the list of servers
// changes. The faulty replica must send nothing older than the bound, must neither acknowledge nor reject
// changes, and must answer its callers within the second that they wait. The others must continue, and after
// the fault all must apply the newest version.
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
					t.Errorf("a change through the others took %v", took)
				}
				for _, kind := range authoritativeTypes {
					limit := replica.MaxWatchSilence
					if kind != message.TypeWatchResponse && kind != message.TypeTokenGrant {
						limit += f.messageDelay
					}
					if at := w.lastClaims[claim{m, kind}]; f.silences && at > began+limit {
						t.Errorf("it sends type %d for %v more", kind, at-began)
					}
				}
				for _, c := range s.Calls[first:] {
					if took := c.EndedAt - c.StartedAt; c.Ended && took > callerTimeout-responseMargin {
						t.Errorf("%+v got its response after %v", *c, took)
					}
					if !c.Ended && !m.frozen && c.StartedAt < s.Now-callerTimeout {
						t.Errorf("%+v got no response", *c)
					}
				}
				s.heal(m)
				s.Run(6 * time.Second)
				c := s.Read(m)
				s.Run(time.Second)
				if !c.Acknowledged || !s.Converged(c.Version) {
					t.Errorf("read %+v; not all have applied it", *c)
				}
				for _, other := range s.Machines {
					if listNumber(other.Endpoints()) != listNumber(s.Servers) {
						t.Errorf("%s has list %d, the newest is %d", other.Name, listNumber(other.Endpoints()),
							listNumber(s.Servers))
					}
				}
				if len(s.Chain()) != 3 {
					t.Errorf("the chain is %v", s.Chain())
				}
				if len(w.violations) > 0 {
					t.Errorf("%d stale messages, the first: %s", len(w.violations), w.violations[0])
				}
				if wrong := s.consistent(); wrong != "" {
					t.Error(wrong)
				}
			})
		}
	}
}

// Injected defects in the quorum's rules must be detected by the checks above, each under a fault that
// exposes it.
func TestInjectedQuorumDefectsAreDetected(t *testing.T) {
	for _, d := range []struct {
		what, faultName, machine string
		inject                   func(x *Cluster)
	}{
		{"delayed heartbeats count as contact at their receipt", "receives everything three seconds late", "z3-1",
			func(x *Cluster) {
				x.Tamper = func(_ *Machine, m *message.Message) {
					if h, ok := m.Body.(*message.Heartbeat); ok {
						h.EchoDelayMillis = uint64(time.Hour.Milliseconds())
					}
				}
			}},
		{"a list that was read under an epoch is published under the next", "frozen", "z1-1",
			func(x *Cluster) { x.epochAtReadEnd = true }},
		{"a machine that cannot receive reports that it is healthy", "cannot receive", "z1-1",
			func(x *Cluster) {
				x.Tamper = func(_ *Machine, m *message.Message) {
					if h, ok := m.Body.(*message.Heartbeat); ok {
						h.Unhealthy = false
					}
				}
			}},
		{"a machine answers calls from its own state without a quorum", "cut off from all", "z2-1",
			func(x *Cluster) { x.answersLocally = true }},
	} {
		s := startScenario(t, 2)
		s.ReadTime = 2 * time.Second
		w := checkStaleness(s.Cluster)
		d.inject(s.Cluster)
		w.changeServers()
		s.Run(2 * time.Second) // a read of the list is in progress
		i := slices.IndexFunc(faults, func(tr fault) bool { return tr.name == d.faultName })
		took := runFaultForTwentySeconds(s, w, s.Machine(d.machine), faults[i].hit)
		if took <= maxChangeDuration && len(w.violations) == 0 && s.consistent() == "" {
			t.Errorf("not detected: %s", d.what)
		}
	}
}

// The endpoint reader rejoins with a list from before a partition, while the platform is down. No machine may
// return to that list: the reader must receive the newest one, and pass it on.
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
	restarted := s.Machine("z2-1")
	restarted.Kill()
	s.HealAll()
	s.Run(2 * time.Second)
	restarted.Start()
	s.eventually("all have the newest list", 8*time.Second, func() bool {
		return len(s.Chain()) == 3 && !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
			return listNumber(m.Endpoints()) != listNumber(s.Servers)
		})
	})
	for _, name := range []string{"z2-2", "z3-2"} { // which watch the restarted replica and the reader
		s.Machine(name).Kill()
		s.Machine(name).Start()
	}
	s.eventually("restarted machines have the newest list too", 5*time.Second, func() bool {
		return !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
			return listNumber(m.Endpoints()) != listNumber(s.Servers)
		})
	})
	if len(w.violations) > 0 {
		t.Error(w.violations[0])
	}
}

// A replica in the chain never receives commit notifications, while changes pass through it. It must not
// report stale state: each change shows that the previous one is committed, and it stops responding to
// watches if no further change arrives.
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
		t.Errorf("%d stale messages, the first: %s", len(w.violations), w.violations[0])
	}
}

// A machine is frozen for twenty seconds with a response in flight to it, and a change is acknowledged
// meanwhile. It must not apply that response when it is thawed.
func TestDelayedResponseIsIgnored(t *testing.T) {
	s := startScenario(t, 1)
	m := s.Machine("z1-2")
	s.Observe = func(_ *Machine, to string, sent *message.Message) {
		response, ok := sent.Body.(*message.WatchResponse)
		if ok && to == m.node.Addr && response.Config != nil {
			m.Freeze()
		}
	}
	s.putNext(s.Machine("z2-2"))
	s.Run(time.Second)
	if !m.frozen {
		t.Fatal("no response with a configuration was sent to it")
	}
	s.Observe = nil
	s.putNext(s.Machine("z2-2"))
	s.Run(20 * time.Second)
	m.Thaw()
	s.eventually("it applies the newest version, and no older one before", 2*time.Second,
		func() bool { return m.Version() == s.version })
}

// A list of servers reaches a replica three seconds late, after the next list. A machine that starts and
// watches that replica must get the next list.
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

// Random faults hit as many replicas as may be lost and any gateway, or freeze all replicas at once, while
// operators put and read. No message may carry state older than the bound, all responses must be
// linearizable, and all machines must apply the newest version in the end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(14) {
		if wrong := runFaultHistory(t, seed); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// runFaultHistory runs a random history of faults. It returns a description of the failure, "" if there is
// none.
func runFaultHistory(t *testing.T, seed uint64) string {
	survive := 1 + int(seed%2)
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: survive, GatewaysPerZone: 1, SurviveMachines: survive,
		Seed: seed}), t, 0}
	rng := rand.New(rand.NewPCG(seed, 9))
	w := checkStaleness(s.Cluster)
	s.StartAll()
	disks := s.Replicas()
	if !s.Until(func() bool { return len(s.Chain()) == len(disks) }, 8*time.Second) {
		return "the first start did not complete"
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
		return "not all have applied the newest version"
	}
	return s.consistent()
}
