package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// slowLink has news go by links of a width, one message after the other, and counts its bytes. Words between
// machines of the core have connections of their own, which get their share.
type slowLink struct {
	s     *scenario
	to    *Machine      // by the link to this one; nil: by a link from each machine
	rate  float64       // bytes a second
	late  time.Duration // and for how long each message is held up on it
	bytes int
	free  map[string]time.Duration // when a link is free again
	asked map[string]uint64        // the last question of each machine
	whole bool                     // seeded defect: each answer has all, and one that comes late is dropped
}

func (s *scenario) slowLink(rate float64, to *Machine) *slowLink {
	n := &slowLink{s: s, to: to, rate: rate, free: map[string]time.Duration{}, asked: map[string]uint64{}}
	s.Network = n.wire
	s.Tamper = func(to *Machine, m *message.Message) {
		response, ok := m.Body.(*message.WatchResponse)
		if ok && n.whole && m.RequestID != n.asked[to.node.Addr] {
			response.Chunks = nil
		}
	}
	return n
}

func (n *slowLink) wire(from, to string, m *message.Message) []Delivery {
	if watch, ok := m.Body.(*message.Watch); ok {
		n.asked[from] = m.RequestID
		if n.whole {
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
	n.free[link] = max(n.free[link], n.s.Now) + time.Duration(float64(size)/n.rate*float64(time.Second))
	return []Delivery{{to, n.late + n.free[link] - n.s.Now, m}}
}

// sized has a cluster hold so many servers and items of a configuration.
func (s *scenario) sized(servers, items int) {
	s.t.Helper()
	s.ConfigOf = func(version uint64) []byte { return []byte(textOf(int(version), items)) }
	for i := range servers {
		s.Servers = append(s.Servers, message.Endpoint{ID: fmt.Sprintf("server-%06d", i), Service: "service-01",
			Addr: fmt.Sprintf("10.16.%d.%d:8080", i>>8, i&255), Zone: "z1", Capacity: 8})
	}
	s.change(s.Machines[0])
	s.then("all know all", 3*time.Second, func() bool { return s.allKnow() })
}

func (s *scenario) allKnow() bool {
	for _, m := range s.Machines {
		if m.up && (m.version != s.version || len(m.endpoints) != len(s.Servers) || m.nodes != len(s.Machines)) {
			return false
		}
	}
	return true
}

// Given a link of 2 Mbit/s, on which the list and the configuration take over a second, when the process
// behind it is started again; or given many lines behind each machine of the core, whose links take seconds
// to bring all to all, when all are started again at once: then all come to know all, in at most twice the
// time and the bytes. Seeded defect: with answers that have all, and are dropped when they come late, none
// ever does, and the links are full all the time.
func TestThoseWhoStartOnSlowLinksCatchUp(t *testing.T) {
	for _, c := range []struct {
		others, servers, items, started int
		rate, links                     float64
		each                            int // bytes that one lacks
	}{{1, 5000, 200, 1, 250_000, 1, 270_000}, {4, 1000, 200, 12, 200_000, 3, 57_000}} {
		for _, whole := range []bool{false, true} {
			s := given(t, c.others)
			s.sized(c.servers, c.items)
			started := slices.DeleteFunc(slices.Clone(s.Machines),
				func(m *Machine) bool { return m.hasDisk })[:c.started]
			n := s.slowLink(c.rate, nil)
			if n.whole = whole; c.started == 1 {
				n.to = started[0]
			}
			for _, m := range started {
				m.Kill()
				m.Start()
			}
			began, all := s.Now, c.started*c.each
			knows := s.Until(s.allKnow, 4*time.Second)
			took := (s.Now - began).Seconds()
			tell := t.Logf
			if knows == whole || knows && (n.bytes > 2*all || took > 2*float64(all)/c.rate/c.links+0.5) {
				tell = t.Errorf
			}
			tell("%d started, whole %v: know all %v, %.2f s, %d bytes", c.started, whole, knows, took, n.bytes)
		}
	}
}

// Given a configuration that takes over a second on its link, and changes twice in that time, when the
// process behind the link is started again, then it has a configuration while the changes go on, and the
// newest soon after; and nobody tells an old one as the newest. Seeded defect: on a link that is slower
// still, an old one that has come whole counts as the newest.
func TestAProcessCatchesUpWhileChangesGoOn(t *testing.T) {
	for _, c := range []struct {
		old            bool
		rate           float64
		items, changes int
	}{{false, 30_000, 2000, 7}, {true, 20_000, 4000, 1}} {
		s := given(t, 1)
		s.sized(1, c.items)
		m := s.Machine("z1-2")
		s.slowLink(c.rate, m)
		w := checkStaleness(s.Cluster)
		m.Kill()
		m.Start()
		had := 0
		for range c.changes {
			s.Run(500 * time.Millisecond)
			if m.Version() != 0 {
				had++
			}
			s.change(s.Machine("z2-2"))
		}
		if c.old {
			s.Tamper = func(_ *Machine, came *message.Message) {
				if response, ok := came.Body.(*message.WatchResponse); ok {
					response.Chunks = slices.Clone(response.Chunks)
					for i := range response.Chunks {
						response.Chunks[i].Stale = false
					}
				}
			}
			if s.Run(5 * time.Second); len(s.Violations()) == 0 {
				t.Errorf("the seeded defect is not found; r%d is in force", m.Version())
			}
			continue
		}
		t.Logf("it had one at %d of %d changes", had, c.changes)
		s.then("it has the newest", 2*time.Second, func() bool { return m.Version() == s.version })
		if had < c.changes/2 || len(w.violations) > 0 {
			t.Errorf("it had a configuration at %d of %d changes; wrong: %v", had, c.changes, w.violations)
		}
	}
}

// Given answers that all come three seconds late, when a change is acknowledged in between, then none of them
// puts anything in force; yet their bytes are kept, and the first word in time brings the newest by a few
// more, as each change of a long configuration comes by a few. Seeded defect: a late answer counts as one to
// the present question; then an old configuration comes into force.
func TestALateSnapshotIsNotFresh(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		s := given(t, 1)
		s.sized(1, 1200)
		m := s.Machine("z1-2")
		n := s.slowLink(1e9, m)
		s.change(s.Machine("z2-2"))
		s.then("it has the change", time.Second, func() bool { return m.Version() == s.version })
		if n.bytes > 1000 {
			t.Errorf("a change took %d bytes", n.bytes)
		}
		n.late = 3 * time.Second
		if fresh {
			s.Tamper = func(to *Machine, came *message.Message) {
				if to == m && came.Type() == message.TypeWatchResponse {
					came.RequestID = n.asked[m.node.Addr]
				}
			}
		}
		m.Kill()
		m.Start()
		s.Run(900 * time.Millisecond)
		s.change(s.Machine("z2-2"))
		s.Run(8 * time.Second)
		if fresh {
			if len(s.Violations()) == 0 {
				t.Error("the seeded defect is not found")
			}
			continue
		}
		if m.Version() != 0 {
			t.Errorf("r%d is in force by late answers alone", m.Version())
		}
		before := n.bytes
		n.late = 0
		s.then("it has the newest", time.Second, func() bool { return m.Version() == s.version })
		whole := len(message.MarshalAppend(nil, message.NewDelta(s.ConfigOf(s.version), 0, nil)))
		if got := n.bytes - before; got > whole/4 {
			t.Errorf("%d bytes were sent again, the whole has %d", got, whole)
		}
	}
}

// Given a long list of servers that all hold, when the view changes, and its reader of endpoints reads the
// same list anew, then it is told by its epoch and sequence alone; and the next server is told to all. To a
// process of an earlier program, which doesn't tell the digest of its list, the whole of it is told.
func TestAListThatIsReadAnewIsNotSentAgain(t *testing.T) {
	const servers, listBytes = 1000, 50_000
	for _, earlier := range []bool{false, true} {
		s := given(t, 2)
		s.sized(servers, 1)
		link := s.slowLink(1e9, nil)
		count := s.Network
		s.Network = func(from, to string, m *message.Message) []Delivery {
			if watch, ok := m.Body.(*message.Watch); ok && earlier {
				watch.EndpointsDigest = message.Digest{}
			}
			return count(from, to, m)
		}
		killed := s.At(s.Chain()[1])
		killed.PowerOff()
		s.then("a view without it", 2*time.Second, func() bool { return len(s.Chain()) == 2 })
		s.Run(time.Second)
		watchers := len(s.Machines) - 1
		if sent := link.bytes > watchers*listBytes/2; sent != earlier {
			t.Errorf("earlier program %v: %d bytes were sent to %d processes", earlier, link.bytes, watchers)
		}
		s.Servers = append(slices.Clone(s.Servers), message.Endpoint{ID: "another", Addr: "10.20.0.1:8080"})
		s.then("all know the next server", time.Second, func() bool {
			return !slices.ContainsFunc(s.Machines, func(m *Machine) bool {
				return m.up && len(m.endpoints) != servers+1
			})
		})
	}
}
