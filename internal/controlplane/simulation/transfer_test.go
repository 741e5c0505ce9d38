package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// slowLink sends watch responses over links of limited bandwidth, one message after the other, and counts
// their bytes. Other messages are not delayed: they have connections of their own, which get their share.
type slowLink struct {
	s              *scenario
	to             *Machine // the link to this machine; nil means a link from each machine
	bytesPerSecond float64
	delay          time.Duration // an additional delay of each message
	bytes          int
	freeAt         map[string]time.Duration // when a link is free again
	lastRequests   map[string]uint64        // the ID of each machine's last watch request
	fullResponses  bool                     // injected defect: responses carry everything; late ones are dropped
}

// slowLink replaces the cluster's network by a slow link, to one machine or from each.
func (s *scenario) slowLink(rate float64, to *Machine) *slowLink {
	n := &slowLink{s: s, to: to, bytesPerSecond: rate, freeAt: map[string]time.Duration{},
		lastRequests: map[string]uint64{}}
	s.Network = n.route
	s.Tamper = func(to *Machine, m *message.Message) {
		response, ok := m.Body.(*message.WatchResponse)
		if ok && n.fullResponses && m.RequestID != n.lastRequests[to.node.Addr] {
			response.Chunks = nil
		}
	}
	return n
}

// route implements Options.Network.
func (n *slowLink) route(from, to string, m *message.Message) []Delivery {
	if watch, ok := m.Body.(*message.Watch); ok {
		n.lastRequests[from] = m.RequestID
		if n.fullResponses {
			watch.ChunkBudget, watch.Chunks, watch.BaseVersion = 1<<30, nil, 0
		}
	}
	if m.Type() != message.TypeWatchResponse || n.to != nil && n.to.node.Addr != to {
		return []Delivery{{To: to, Message: m}}
	}
	link := from
	if n.to != nil {
		link = to
	}
	size := len(message.MarshalAppend(nil, m))
	n.bytes += size
	n.freeAt[link] = max(n.freeAt[link], n.s.Now) +
		time.Duration(float64(size)/n.bytesPerSecond*float64(time.Second))
	return []Delivery{{to, n.delay + n.freeAt[link] - n.s.Now, m}}
}

// setSize sets the numbers of servers and of the configuration's items, and waits until all machines have
// them.
func (s *scenario) setSize(servers, items int) {
	s.t.Helper()
	s.ConfigOf = func(version uint64) []byte { return []byte(configText(int(version), items)) }
	for i := range servers {
		s.Servers = append(s.Servers, message.Endpoint{ID: fmt.Sprintf("server-%06d", i), Service: "service-01",
			Addr: fmt.Sprintf("10.16.%d.%d:8080", i>>8, i&255), Zone: "z1", Capacity: 8})
	}
	s.putNext(s.Machines[0])
	s.eventually("all have caught up", 3*time.Second, func() bool { return s.allCaughtUp() })
}

// allCaughtUp reports whether all running machines have the newest version and complete lists of servers and
// machines.
func (s *scenario) allCaughtUp() bool {
	for _, m := range s.Machines {
		if m.up && (m.version != s.version || len(m.endpoints) != len(s.Servers) || m.nodes != len(s.Machines)) {
			return false
		}
	}
	return true
}

// A process is restarted behind a link of 2 Mbit/s, on which the list of servers and the configuration take
// over a second; or all gateways are restarted at the same time, whose links from the replicas need seconds
// to send everything to all. All must catch up, with at most twice the minimum time and bytes. The injected
// defect, responses that carry everything and are dropped when they are late, lets no process catch up and
// keeps the links saturated.
func TestRestartedProcessesCatchUpOverSlowLinks(t *testing.T) {
	for _, c := range []struct {
		others, servers, items, started int
		rate, links                     float64
		each                            int // bytes that a process is missing
	}{{1, 5000, 200, 1, 250_000, 1, 270_000}, {4, 1000, 200, 12, 200_000, 3, 57_000}} {
		for _, fullResponses := range []bool{false, true} {
			s := startScenario(t, c.others)
			s.setSize(c.servers, c.items)
			started := slices.DeleteFunc(slices.Clone(s.Machines),
				func(m *Machine) bool { return m.hasDisk })[:c.started]
			n := s.slowLink(c.rate, nil)
			if n.fullResponses = fullResponses; c.started == 1 {
				n.to = started[0]
			}
			for _, m := range started {
				m.Kill()
				m.Start()
			}
			began, all := s.Now, c.started*c.each
			caughtUp := s.Until(s.allCaughtUp, 4*time.Second)
			took := (s.Now - began).Seconds()
			report := t.Logf
			if caughtUp == fullResponses || caughtUp && (n.bytes > 2*all || took > 2*float64(all)/c.rate/c.links+0.5) {
				report = t.Errorf
			}
			report("%d started, full responses %v: caught up %v, %.2f s, %d bytes", c.started, fullResponses,
				caughtUp, took, n.bytes)
		}
	}
}

// A configuration takes over a second on a process's link and changes twice in that time. After a restart,
// the process must apply a configuration while the changes continue, and the newest soon after, and no
// machine may report an old one as the newest. The injected defect, on an even slower link: an old
// configuration counts as the newest once it has arrived completely.
func TestProcessCatchesUpDuringChanges(t *testing.T) {
	for _, c := range []struct {
		ignoreStale    bool
		rate           float64
		items, changes int
	}{{false, 30_000, 2000, 7}, {true, 20_000, 4000, 1}} {
		s := startScenario(t, 1)
		s.setSize(1, c.items)
		m := s.Machine("z1-2")
		s.slowLink(c.rate, m)
		w := checkStaleness(s.Cluster)
		m.Kill()
		m.Start()
		withConfig := 0
		for range c.changes {
			s.Run(500 * time.Millisecond)
			if m.Version() != 0 {
				withConfig++
			}
			s.putNext(s.Machine("z2-2"))
		}
		if c.ignoreStale {
			s.Tamper = func(_ *Machine, received *message.Message) {
				if response, ok := received.Body.(*message.WatchResponse); ok {
					response.Chunks = slices.Clone(response.Chunks)
					for i := range response.Chunks {
						response.Chunks[i].Stale = false
					}
				}
			}
			if s.Run(5 * time.Second); len(s.Violations()) == 0 {
				t.Errorf("the injected defect is not detected; r%d is applied", m.Version())
			}
			continue
		}
		t.Logf("it had a configuration at %d of %d changes", withConfig, c.changes)
		s.eventually("it has the newest", 2*time.Second, func() bool { return m.Version() == s.version })
		if withConfig < c.changes/2 || len(w.violations) > 0 {
			t.Errorf("it had a configuration at %d of %d changes; violations: %v", withConfig, c.changes, w.violations)
		}
	}
}

// All responses arrive three seconds late, and a change is acknowledged in between. None of them may be
// applied. Their chunks must be kept, so that the first response in time completes the newest version with a
// few bytes, like any change of a long configuration. The injected defect, a late response that counts as
// one to the current request, applies an old configuration.
func TestLateSnapshotIsNotFresh(t *testing.T) {
	for _, acceptLate := range []bool{false, true} {
		s := startScenario(t, 1)
		s.setSize(1, 1200)
		m := s.Machine("z1-2")
		n := s.slowLink(1e9, m)
		s.putNext(s.Machine("z2-2"))
		s.eventually("it has applied the change", time.Second, func() bool { return m.Version() == s.version })
		if n.bytes > 1000 {
			t.Errorf("a change took %d bytes", n.bytes)
		}
		n.delay = 3 * time.Second
		if acceptLate {
			s.Tamper = func(to *Machine, received *message.Message) {
				if to == m && received.Type() == message.TypeWatchResponse {
					received.RequestID = n.lastRequests[m.node.Addr]
				}
			}
		}
		m.Kill()
		m.Start()
		s.Run(900 * time.Millisecond)
		s.putNext(s.Machine("z2-2"))
		s.Run(8 * time.Second)
		if acceptLate {
			if len(s.Violations()) == 0 {
				t.Error("the injected defect is not detected")
			}
			continue
		}
		if m.Version() != 0 {
			t.Errorf("r%d was applied from late responses", m.Version())
		}
		before := n.bytes
		n.delay = 0
		s.eventually("it has the newest", time.Second, func() bool { return m.Version() == s.version })
		configBytes := len(message.MarshalAppend(nil, message.NewDelta(s.ConfigOf(s.version), 0, nil)))
		if got := n.bytes - before; got > configBytes/4 {
			t.Errorf("%d bytes were sent again, the configuration has %d", got, configBytes)
		}
	}
}

// All machines have a long list of servers. After a view change, the new endpoint reader reads the same list
// again. Only its epoch and sequence must be sent, and the next server must reach all machines. To a process
// of an earlier server version, which does not send the digest of its list, the full list must be sent.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	const servers, listBytes = 1000, 50_000
	for _, withoutDigest := range []bool{false, true} {
		s := startScenario(t, 2)
		s.setSize(servers, 1)
		link := s.slowLink(1e9, nil)
		count := s.Network
		s.Network = func(from, to string, m *message.Message) []Delivery {
			if watch, ok := m.Body.(*message.Watch); ok && withoutDigest {
				watch.EndpointsDigest = message.Digest{}
			}
			return count(from, to, m)
		}
		killed := s.At(s.Chain()[1])
		killed.PowerOff()
		s.eventually("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
		s.Run(time.Second)
		watchers := len(s.Machines) - 1
		if sent := link.bytes > watchers*listBytes/2; sent != withoutDigest {
			t.Errorf("without digest %v: %d bytes were sent to %d processes", withoutDigest, link.bytes, watchers)
		}
		s.Servers = append(slices.Clone(s.Servers), message.Endpoint{ID: "another", Addr: "10.20.0.1:8080"})
		s.eventually("all have the next server", time.Second, func() bool {
			return !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
				return m.up && len(m.endpoints) != servers+1
			})
		})
	}
}
