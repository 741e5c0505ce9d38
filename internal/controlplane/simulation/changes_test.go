package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// few is how many items a short text has. Each change is of one of them.
const shortConfigItems = 40

// textOf is the configuration of a number, with so many items. It follows from all changes up to it.
func configText(version, items int) string {
	var b strings.Builder
	for i := range items {
		last := version - (version-i+items)%items // when the item was changed last
		fmt.Fprintf(&b, `{"item_kind":"routes","metadata":{"name":"%d"},"desired":{"x":%d,"y":%d}},`, i, last,
			uint64(last+items)*0x9e3779b97f4a7c15)
	}
	return b.String()
}

// absence is a machine of the core that comes back to what went on without it.
type outage struct {
	name    string                         // of the machine
	items   int                            // of the texts
	before  int                            // changes before it goes; 0: five
	missed  int                            // and without it
	disk    func(*replica.PersistentState) // what became of its disk; nil: it is as it was
	took    time.Duration                  // until it serves with all the others, and has the newest
	bytes   int                            // that were sent meanwhile, beyond those of quiet times
	failure string                         // what went wrong

	// What is done to messages and to disks, as in an Cluster.
	tamper func(to *Machine, m *message.Message)
	spoil  func(m *Machine, r *replica.PersistentState)
}

// play lets the machine miss the changes, and come back.
func (a *outage) run(t *testing.T) {
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 11}),
		t,
		0}
	s.Tamper, s.Spoil = a.tamper, a.spoil
	s.StartAll()
	s.eventually("the chain serves", 4*time.Second, func() bool { return len(s.Chain()) == 3 })
	version, at := 0, s.Machines[1]
	putNext := func() {
		t.Helper()
		version++
		for tries := 0; ; tries++ {
			c := s.Put(at, uint64(version), configText(version, a.items))
			s.Until(func() bool { return c.Ended }, time.Second)
			if c.Acknowledged {
				return
			}
			if tries > 12 {
				t.Fatalf("r%d: not acknowledged", version)
			}
		}
	}
	for range cmp.Or(a.before, 5) {
		putNext()
	}
	m := s.Machine(a.name)
	s.eventually("all have it", 2*time.Second, func() bool { return s.Converged(uint64(version)) })
	m.Kill()
	for range a.missed {
		putNext()
	}
	s.eventually("the others serve", 4*time.Second, func() bool { return len(s.Chain()) == 2 })
	before := s.Bytes
	s.Run(4 * time.Second)
	quiet := (s.Bytes - before) / 4

	if a.disk != nil {
		a.disk(&m.stored)
	}
	m.Start()
	began, from := s.Now, s.Bytes
	ok := s.Until(func() bool {
		f := m.Replica()
		if f.State() == replica.StateServing && f.PersistentState().Version < uint64(version) && a.failure == "" {
			a.failure = fmt.Sprintf("it is in service with r%d, the newest is r%d", f.PersistentState().Version, version)
		}
		return f.State() == replica.StateServing && len(s.Chain()) == 3 && m.Version() == uint64(version) ||
			a.failure != "" || len(s.Violations()) > 0
	}, 10*time.Second)
	a.took, a.bytes = s.Now-began, s.Bytes-from-int(float64(quiet)*(s.Now-began).Seconds())
	if !ok {
		a.failure = fmt.Sprintf("after %v it has r%d in state %v", a.took, m.Replica().PersistentState().Version,
			m.Replica().State())
	}
	putNext()
	for _, other := range s.Replicas() {
		s.eventually("the next is everywhere", 3*time.Second, func() bool {
			return other.Replica().PersistentState().Version == uint64(version)
		})
	}
	if text := string(m.Replica().PersistentState().Config); a.failure == "" && text != configText(version, a.items) {
		a.failure = "it has another text"
	}
	for _, other := range s.Replicas() {
		if a.failure == "" && !slices.Equal(m.stored.AcceptedVersions, other.stored.AcceptedVersions) {
			a.failure = "it remembers other numbers than " + other.Name
		}
	}
	if b := s.Violations(); a.failure == "" && len(b) > 0 {
		a.failure = fmt.Sprint(b)
	}
}

// The states that a disk may come back in. One whose record has another digest than it was written with
// counts as empty: see storage.Storage.Damaged.
var diskStates = map[string]func(*replica.PersistentState){
	"old":            nil,
	"torn, or empty": func(r *replica.PersistentState) { *r = replica.PersistentState{} },
}

// Given a core under changes, when a machine was away for one, two hundred or a thousand of them, and its
// disk is old, torn or empty, then it serves with the others within three seconds and the bytes of a few
// texts and lists of numbers, however many it missed, and was in service with nothing older than the newest.
func TestReturningReplicaCatchesUp(t *testing.T) {
	t.Parallel()
	const acceptedVersionBytes = 512 * 26 // the numbers taken last, with their digests
	text := len(message.MarshalAppend(nil, message.NewDelta([]byte(configText(100, shortConfigItems)), 0, nil)))
	for _, c := range []struct {
		name   string // the head, one between, the tail
		missed []int
	}{{"z1-1", []int{1, 200, 1000}}, {"z2-1", []int{1}}, {"z3-1", []int{1, 200}}} {
		for disk, alter := range diskStates {
			for _, missed := range c.missed {
				if missed == 1000 && alter != nil {
					continue // it takes seconds
				}
				a := &outage{name: c.name, items: shortConfigItems, missed: missed, disk: alter}
				a.run(t)
				what := fmt.Sprintf("%s, %s disk, %d changes", c.name, disk, missed)
				t.Logf("%s: %v, %d bytes; a text has %d", what, a.took, a.bytes, text)
				if a.failure != "" || a.took > 3*time.Second || a.bytes > 5*text+2*acceptedVersionBytes {
					t.Errorf("%s: %v, %d bytes: %s", what, a.took, a.bytes, a.failure)
				}
			}
		}
	}
}

// Given long texts, when a machine comes back with an old one, then its disk is sent what differs, whichever
// machine it is, and the only whole text is the news for its own line; an empty disk is sent more of them.
func TestOutdatedReplicaIsSentADelta(t *testing.T) {
	t.Parallel()
	configBytes := len(message.MarshalAppend(nil, message.NewDelta([]byte(configText(15, 2000)), 0, nil)))
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for disk, alter := range diskStates {
			a := &outage{name: name, items: 2000, missed: 10, disk: alter}
			a.run(t)
			t.Logf("%s, %s disk: %d bytes; a text has %d", name, disk, a.bytes, configBytes)
			if a.failure != "" || (alter == nil) != (a.bytes < configBytes*3/2) {
				t.Errorf("%s, %s disk: %d bytes, a text has %d; %s", name, disk, a.bytes, configBytes, a.failure)
			}
		}
	}
}

// fewNumbers is what may be sent, to a machine that missed one change, of hundreds of numbers.
const maxPartialBytes = 6000

// Given as many numbers as are remembered, when a machine missed one change, then it is sent a part of them,
// and remembers what the others do; the same where its disk has another entry among them, and where it tells
// the outline of numbers that it doesn't have, so that what it is sent first doesn't come out.
func TestDifferingAcceptedVersionsAreSent(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"z1-1", "z3-1"} {
		for what, a := range map[string]outage{
			"old disk": {},
			"another entry on it": {disk: func(r *replica.PersistentState) {
				r.AcceptedVersions = slices.Clone(r.AcceptedVersions)
				r.AcceptedVersions[100].Digest[0]++
			}},
			"another outline": {disk: func(r *replica.PersistentState) {
				r.AcceptedVersions = slices.Clone(r.AcceptedVersions)
				r.AcceptedVersions[100].Digest[0]++
			}, tamper: func(_ *Machine, m *message.Message) {
				if promise, ok := m.Body.(*message.Promise); ok {
					promise.AcceptedIndex = message.ChunkIndex(message.EncodeAcceptedVersions(acceptedVersionsUpTo(601)),
						message.AcceptedVersionChunks)
				}
			}},
		} {
			a.name, a.items, a.before, a.missed = name, shortConfigItems, 600, 1
			a.run(t)
			t.Logf("%s, %s: %v, %d bytes", name, what, a.took, a.bytes)
			if a.failure != "" || a.tamper == nil && a.bytes > maxPartialBytes {
				t.Errorf("%s, %s: %d bytes; %s", name, what, a.bytes, a.failure)
			}
		}
	}
}

// numbersUpTo are the numbers that are remembered with a text of few items in force.
func acceptedVersionsUpTo(version int) (list []message.AcceptedVersion) {
	for v := 1; v <= version; v++ {
		sum := message.DigestOf([]byte(configText(v, shortConfigItems)))
		list = replica.AppendAccepted(list, message.AcceptedVersion{Version: uint64(v), Digest: sum})
	}
	return list
}

// Seeded defects that the tests above find: a disk that tells an old configuration as accepted under a later
// epoch than all others, as one would that is stamped anew without an agreement, so that it leads with old
// state; numbers that are lost on their way to a disk; and numbers that are sent whole, since no outline is
// told.
func TestInjectedCatchUpDefectsAreDetected(t *testing.T) {
	for name, a := range map[string]outage{
		"stamped anew": {missed: 20, disk: func(r *replica.PersistentState) { r.AcceptedEpoch = 1 << 40 }},
		"numbers lost": {missed: 20, spoil: func(m *Machine, r *replica.PersistentState) {
			if m.Name == "z1-1" {
				r.AcceptedVersions = r.AcceptedVersions[max(0, len(r.AcceptedVersions)-1):]
			}
		}},
		"no outline": {before: 600, missed: 1, tamper: func(_ *Machine, m *message.Message) {
			switch body := m.Body.(type) {
			case *message.Prepare:
				body.AcceptedIndex = nil
			case *message.Promise:
				body.AcceptedIndex = nil
			}
		}},
	} {
		a.name, a.items = "z1-1", shortConfigItems
		if a.run(t); a.failure == "" && a.bytes <= maxPartialBytes {
			t.Errorf("%s: not found", name)
		}
		t.Logf("%s: %d bytes; %s", name, a.bytes, a.failure)
	}
}
