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

// shortConfigItems is the number of items of a short configuration. Each change modifies one of them.
const shortConfigItems = 40

// configText returns the configuration of a version. Each version modifies one of its items, in turn.
func configText(version, items int) string {
	var b strings.Builder
	for i := range items {
		last := version - (version-i+items)%items // the version that modified the item last
		fmt.Fprintf(&b, `{"item_kind":"routes","metadata":{"name":"%d"},"desired":{"x":%d,"y":%d}},`, i, last,
			uint64(last+items)*0x9e3779b97f4a7c15)
	}
	return b.String()
}

// outage is a run in which a replica misses changes and is restarted, with its results.
type outage struct {
	name    string                         // of the machine
	items   int                            // of the configurations
	before  int                            // changes before the outage; 0 means five
	missed  int                            // changes during the outage
	disk    func(*replica.PersistentState) // modifies its disk before the restart; may be nil
	took    time.Duration                  // until it serves with all the others and has the newest version
	bytes   int                            // sent during that time, in excess of the idle traffic
	failure string                         // what went wrong, "" if nothing did

	// Like the fields of Cluster; may be nil.
	tamper func(to *Machine, m *message.Message)
	spoil  func(m *Machine, r *replica.PersistentState)
}

// run stops the replica, sends the changes that it misses, restarts it and records the results.
func (a *outage) run(t *testing.T) {
	s := &scenario{New(Options{Zones: 3, ReplicasPerZone: 1, GatewaysPerZone: 1, SurviveMachines: 1, Seed: 11}),
		t, 0}
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
	s.eventually("all have applied it", 2*time.Second, func() bool { return s.Converged(uint64(version)) })
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
			a.failure = fmt.Sprintf("it serves with r%d, the newest is r%d", f.PersistentState().Version,
				version)
		}
		return f.State() == replica.StateServing && len(s.Chain()) == 3 && m.Version() == uint64(version) ||
			a.failure != "" || len(s.Violations()) > 0
	}, 10*time.Second)
	a.took, a.bytes = s.Now-began, s.Bytes-from-int(float64(quiet)*(s.Now-began).Seconds())
	if !ok {
		a.failure = fmt.Sprintf("after %v it stores r%d in state %v", a.took, m.Replica().PersistentState().Version,
			m.Replica().State())
	}
	putNext()
	for _, other := range s.Replicas() {
		s.eventually("all replicas store the next version", 3*time.Second, func() bool {
			return other.Replica().PersistentState().Version == uint64(version)
		})
	}
	if text := string(m.Replica().PersistentState().Config); a.failure == "" &&
		text != configText(version, a.items) {
		a.failure = "it stores another configuration"
	}
	for _, other := range s.Replicas() {
		if a.failure == "" && !slices.Equal(m.stored.AcceptedVersions, other.stored.AcceptedVersions) {
			a.failure = "it stores other accepted versions than " + other.Name
		}
	}
	if b := s.Violations(); a.failure == "" && len(b) > 0 {
		a.failure = fmt.Sprint(b)
	}
}

// diskStates are the states that a disk may have after the outage. One whose record has another digest than
// it was written with counts as empty: see storage.Storage.Damaged.
var diskStates = map[string]func(*replica.PersistentState){
	"old":            nil,
	"torn, or empty": func(r *replica.PersistentState) { *r = replica.PersistentState{} },
}

// A replica misses one, two hundred or a thousand changes, and its disk is outdated, torn or empty. It must
// serve with the others within three seconds, after transfers of a few configurations and lists of accepted
// versions however many changes it missed, and must never serve with an older version than the newest.
func TestReturningReplicaCatchesUp(t *testing.T) {
	t.Parallel()
	const acceptedVersionBytes = 512 * 26 // the versions accepted last, with their digests
	text := len(message.MarshalAppend(nil, message.NewDelta([]byte(configText(100, shortConfigItems)), 0, nil)))
	for _, c := range []struct {
		name   string // the head, the middle or the tail
		missed []int
	}{{"z1-1", []int{1, 200, 1000}}, {"z2-1", []int{1}}, {"z3-1", []int{1, 200}}} {
		for disk, alter := range diskStates {
			for _, missed := range c.missed {
				if missed == 1000 && alter != nil {
					continue // skipped because it takes seconds
				}
				a := &outage{name: c.name, items: shortConfigItems, missed: missed, disk: alter}
				a.run(t)
				what := fmt.Sprintf("%s, %s disk, %d changes", c.name, disk, missed)
				t.Logf("%s: %v, %d bytes; a configuration has %d", what, a.took, a.bytes, text)
				if a.failure != "" || a.took > 3*time.Second || a.bytes > 5*text+2*acceptedVersionBytes {
					t.Errorf("%s: %v, %d bytes: %s", what, a.took, a.bytes, a.failure)
				}
			}
		}
	}
}

// With long configurations, a replica that restarts with an outdated one must be sent a delta for its disk,
// whichever position in the chain it has; the only full configuration is the watch response for its own
// gateway. A replica with an empty disk must be sent more than that.
func TestOutdatedReplicaIsSentADelta(t *testing.T) {
	t.Parallel()
	configBytes := len(message.MarshalAppend(nil, message.NewDelta([]byte(configText(15, 2000)), 0, nil)))
	for _, name := range []string{"z1-1", "z2-1", "z3-1"} {
		for disk, alter := range diskStates {
			a := &outage{name: name, items: 2000, missed: 10, disk: alter}
			a.run(t)
			t.Logf("%s, %s disk: %d bytes; a configuration has %d", name, disk, a.bytes, configBytes)
			if a.failure != "" || (alter == nil) != (a.bytes < configBytes*3/2) {
				t.Errorf("%s, %s disk: %d bytes, a configuration has %d; %s", name, disk, a.bytes, configBytes, a.failure)
			}
		}
	}
}

// maxPartialBytes is the maximum of bytes that may be sent to a replica that missed one change, while
// hundreds of accepted versions are stored.
const maxPartialBytes = 6000

// The list of accepted versions is full, and a replica missed one change. It must be sent a part of the
// list, and must store the same list as the others; also where its disk has a different entry, and where it
// reports the chunk index of a list that it does not have, so that the delta sent first does not apply.
func TestDifferingAcceptedVersionsAreSent(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"z1-1", "z3-1"} {
		for what, a := range map[string]outage{
			"old disk": {},
			"a different entry": {disk: func(r *replica.PersistentState) {
				r.AcceptedVersions = slices.Clone(r.AcceptedVersions)
				r.AcceptedVersions[100].Digest[0]++
			}},
			"a wrong chunk index": {disk: func(r *replica.PersistentState) {
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

// acceptedVersionsUpTo returns the accepted versions that are stored after the given version of the short
// configuration.
func acceptedVersionsUpTo(version int) (list []message.AcceptedVersion) {
	for v := 1; v <= version; v++ {
		sum := message.DigestOf([]byte(configText(v, shortConfigItems)))
		list = replica.AppendAccepted(list, message.AcceptedVersion{Version: uint64(v), Digest: sum})
	}
	return list
}

// Injected defects must be detected by the checks of the tests above: a disk that reports an old
// configuration as accepted under a later epoch than all others, as if its epoch had been raised without an
// agreement, so that old state wins; accepted versions that are not stored; and a full list that is sent
// because no chunk index is reported.
func TestInjectedCatchUpDefectsAreDetected(t *testing.T) {
	for name, a := range map[string]outage{
		"raised epoch": {missed: 20, disk: func(r *replica.PersistentState) { r.AcceptedEpoch = 1 << 40 }},
		"accepted versions lost": {missed: 20, spoil: func(m *Machine, r *replica.PersistentState) {
			if m.Name == "z1-1" {
				r.AcceptedVersions = r.AcceptedVersions[max(0, len(r.AcceptedVersions)-1):]
			}
		}},
		"no chunk index": {before: 600, missed: 1, tamper: func(_ *Machine, m *message.Message) {
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
			t.Errorf("%s: not detected", name)
		}
		t.Logf("%s: %d bytes; %s", name, a.bytes, a.failure)
	}
}
