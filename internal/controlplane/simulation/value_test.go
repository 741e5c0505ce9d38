package simulation

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// register is the model that operators' calls must be linearizable to: one configuration per version, and
// reads return the highest version. Its state lists the accepted versions with their contents, in ascending
// order.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		accepted, c := state.(string), input.(*Call)
		text, known := "", false
		newest := uint64(0)
		for entry := range strings.FieldsSeq(accepted) {
			key, t, _ := strings.Cut(entry, "=")
			newest, _ = strconv.ParseUint(key, 10, 64)
			if newest == c.Version {
				text, known = t, true
			}
		}
		switch {
		case c.Read:
			return c.Version == newest && c.Text == text, accepted
		case c.Conflict:
			return known && text != c.Text, accepted
		case c.Acknowledged && known && text != c.Text:
			return false, accepted
		case c.Version > newest: // one with an unknown result may take effect at any time, or never
			accepted += fmt.Sprintf("%d=%s ", c.Version, c.Text)
		}
		return true, accepted
	},
}

// operations returns the operators' calls. A put with an unknown result never returns. Of several such puts
// with the same version and text, only the first is included: it may take effect wherever a later one may,
// and a second time changes nothing. Reads without a result are left out.
func (c *Cluster) operations() (list []porcupine.Operation) {
	type put struct {
		version uint64
		text    string
	}
	open := map[put]bool{}
	for _, call := range c.Calls {
		end := int64(call.EndedAt)
		if !call.Acknowledged && !call.Conflict {
			o := put{call.Version, call.Text}
			if end = math.MaxInt64; call.Read || open[o] {
				continue
			}
			open[o] = true
		}
		list = append(list, porcupine.Operation{Input: call, Call: int64(call.StartedAt), Return: end})
	}
	return list
}

// consistent checks the invariants and that the operators' calls are linearizable. It returns a description
// of the failure, "" if there is none.
func (c *Cluster) consistent() string {
	if b := c.Violations(); len(b) > 0 {
		return b[0]
	}
	if r := porcupine.CheckOperationsTimeout(register, c.operations(), 20*time.Second); r != porcupine.Ok {
		return fmt.Sprintf("linearizability of the calls: %s", cmp.Or(string(r), "unknown"))
	}
	return ""
}

// restartAll kills all processes and starts them again 300 ms later.
func (c *Cluster) restartAll() {
	for _, m := range c.Machines {
		m.Kill()
	}
	c.Run(300 * time.Millisecond)
	for _, m := range c.Machines {
		m.Start()
	}
}

// putTwoTextsUnderOneVersion puts a version on an isolated head, where it is not acknowledged, and another
// text under that version through the others, where it is. Then it kills all machines, heals the partition,
// restarts them and puts both texts again.
func putTwoTextsUnderOneVersion(t *testing.T, tamper func(*Machine, *message.Message),
	spoil func(*Machine, *replica.PersistentState)) *scenario {
	t.Helper()
	s := startScenario(t, 2)
	s.Spoil = spoil
	head := s.Machine("z1-1")
	s.Isolate(head, true)
	s.Put(head, 9, "left-behind")
	s.Run(time.Second)
	c := s.Put(s.Machine("z2-1"), 9, "acknowledged")
	for try := 0; !c.Acknowledged && try < 8; try++ {
		s.Run(time.Second)
		c = s.Put(s.Machine("z3-1"), 9, "acknowledged")
		s.Until(func() bool { return c.Ended }, time.Second)
	}
	if !c.Acknowledged {
		t.Fatal("not acknowledged by the others")
	}
	s.Tamper = tamper
	for _, m := range s.Machines {
		m.Kill()
	}
	s.HealAll()
	s.restartAll()
	s.Run(5 * time.Second)
	for _, m := range []*Machine{head, s.Machine("z3-3")} {
		s.Read(m)
		s.Put(m, 9, "left-behind")
		s.Put(m, 9, "acknowledged")
		s.Run(time.Second)
	}
	return s
}

// An isolated head stores a text that is not acknowledged, and another text under the same version is. The
// acknowledged text must be permanent: on all disks, applied everywhere, and acknowledged whenever it is put
// again. The other must be dropped, and rejected as a conflict.
func TestOneContentPerVersion(t *testing.T) {
	s := putTwoTextsUnderOneVersion(t, nil, nil)
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
	for _, m := range s.Machines {
		if m.config != "acknowledged" || m.hasDisk && string(m.stored.Config) != m.config {
			t.Errorf("%s has applied %q and stores %q", m.Name, m.config, m.stored.Config)
		}
	}
	for _, c := range s.Calls[len(s.Calls)-3:] {
		if !c.Read && (c.Acknowledged != (c.Text == "acknowledged") || c.Conflict == c.Acknowledged) {
			t.Errorf("put again: %+v", c)
		}
	}
}

// Injected defects in how versions and texts are agreed on must be detected by the scenarios of the tests
// above and below.
func TestInjectedValueDefectsAreDetected(t *testing.T) {
	for name, s := range map[string]*scenario{
		"the newest value is chosen by its version only": putTwoTextsUnderOneVersion(t, nil,
			func(_ *Machine, r *replica.PersistentState) { r.AcceptedEpoch = 0 }),
		"acknowledged without a comparison of the text": putTwoTextsUnderOneVersion(t,
			func(_ *Machine, m *message.Message) {
				if conflict, ok := m.Body.(*message.Conflict); ok {
					m.Body = &message.Committed{Version: conflict.Version}
				}
			}, nil),
		"an accepted text is rejected when it is put again": putTwoTextsUnderOneVersion(t,
			func(_ *Machine, m *message.Message) {
				if committed, ok := m.Body.(*message.Committed); ok && m.RequestID != 0 {
					m.Body = &message.Conflict{Version: committed.Version}
				}
			}, nil),
		"earlier versions are lost in a restart": resendOldVersions(t,
			func(_ *Machine, r *replica.PersistentState) { r.AcceptedVersions = nil }),
	} {
		if s.consistent() == "" {
			t.Errorf("not detected: %s", name)
		}
	}
}

// resendOldVersions puts four versions, restarts all machines and puts the second version again, with the
// same text, another text and the same text.
func resendOldVersions(t *testing.T, spoil func(*Machine, *replica.PersistentState)) *scenario {
	t.Helper()
	s := startScenario(t, 1)
	s.Spoil = spoil
	for v := uint64(10); v < 14; v++ {
		s.Put(s.Machines[v%6], v, "first")
		s.Run(200 * time.Millisecond)
	}
	s.restartAll()
	s.Run(5 * time.Second)
	for i, text := range []string{"first", "second", "first"} {
		s.Put(s.Machines[i], 11, text)
		s.Run(time.Second)
	}
	return s
}

// An old version is put again while a later one is applied, after all machines were restarted. It must be
// acknowledged with its own text, and rejected as a conflict with another text.
func TestResendingAfterLaterVersions(t *testing.T) {
	s := resendOldVersions(t, nil)
	if wrong := s.consistent(); wrong != "" {
		t.Error(wrong)
	}
	resent := s.Calls[len(s.Calls)-3:]
	if !resent[0].Acknowledged || !resent[1].Conflict || !resent[2].Acknowledged {
		t.Errorf("%+v, %+v, %+v", resent[0], resent[1], resent[2])
	}
	if !s.Converged(13) {
		t.Error("r13 is not applied everywhere")
	}
}

// During a random history of losses within the tolerance, operators race with different texts for the same
// versions and put recent versions again. All responses must be linearizable, and one text must be applied
// everywhere in the end.
func TestRandomRaces(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 40
	p := gopter.NewProperties(params)
	p.Property("calls are linearizable", prop.ForAll(func(seed uint64) string {
		return runRaces(Options{Zones: 3, ReplicasPerZone: 1 + int(seed%2), GatewaysPerZone: 1,
			SurviveMachines: 1 + int(seed%2), Seed: seed})
	}, gen.UInt64()))
	p.TestingRun(t)
}

// runRaces runs random faults and racing puts with different texts. It returns a description of the failure,
// "" if there is none.
func runRaces(o Options) string {
	x := New(o)
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	x.StartAll()
	disks := x.Replicas()
	if !x.Until(func() bool { return len(x.Chain()) == len(disks) }, 8*time.Second) {
		return "the first start did not complete"
	}
	latest := uint64(1)
	var lost []*Machine
	for range 9 {
		for i := range 2 + rng.IntN(3) {
			if rng.IntN(3) == 0 {
				latest += 1 + rng.Uint64N(3)
			}
			version, text := max(1, latest-rng.Uint64N(2)), fmt.Sprintf("t%d", i%2)
			m := x.Machines[rng.IntN(len(x.Machines))]
			x.Put(m, version, text)
			x.Run(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
		if len(lost) < o.SurviveMachines {
			if m := disks[rng.IntN(len(disks))]; !slices.Contains(lost, m) {
				lost = append(lost, m)
				injectFault(x, m, rng)
			}
		}
		x.Run(time.Duration(rng.IntN(1500)) * time.Millisecond)
		x.Read(x.Machines[rng.IntN(len(x.Machines))])
		if rng.IntN(2) == 0 && len(lost) > 0 {
			repairMachines(x, lost)
			lost = nil
			x.Run(4 * time.Second) // after which it can be lost again
		}
		if rng.IntN(6) == 0 {
			repairMachines(x, disks)
			x.restartAll()
			lost = nil
			x.Run(4 * time.Second)
		}
	}
	repairMachines(x, disks)
	x.Run(6 * time.Second)
	c := x.Read(x.Machines[len(x.Machines)-1])
	x.Run(2 * time.Second)
	if wrong := x.consistent(); wrong != "" {
		return wrong
	}
	if !c.Acknowledged || !x.Converged(c.Version) {
		return "not all have applied the newest version"
	}
	for _, m := range disks {
		if !bytes.Equal(m.stored.Config, []byte(c.Text)) {
			return fmt.Sprintf("%s stores %q, %q is applied", m.Name, m.stored.Config, c.Text)
		}
		if !slices.Equal(m.stored.AcceptedVersions, disks[0].stored.AcceptedVersions) {
			return fmt.Sprintf("%s stores other accepted versions than %s", m.Name, disks[0].Name)
		}
	}
	return ""
}

// Runs with the same seed must send the same numbers of messages and bytes.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(6) {
		var first [2]int
		for run := range 3 {
			x := New(Options{Zones: 3, ReplicasPerZone: 2, GatewaysPerZone: 2, SurviveMachines: 2, Seed: seed})
			rng := rand.New(rand.NewPCG(seed, 4))
			x.StartAll()
			x.Run(3 * time.Second)
			for range 6 {
				x.Put(x.Machines[rng.IntN(len(x.Machines))], 1+rng.Uint64N(9), fmt.Sprint(rng.IntN(2)))
				injectFault(x, x.Replicas()[rng.IntN(6)], rng)
				x.Run(time.Duration(rng.IntN(2000)) * time.Millisecond)
			}
			repairMachines(x, x.Replicas())
			x.Run(4 * time.Second)
			got := [2]int{x.Messages, x.Bytes}
			if run == 0 {
				first = got
			} else if got != first {
				t.Errorf("seed %d: %v messages and bytes, %v before", seed, got, first)
			}
		}
	}
}
