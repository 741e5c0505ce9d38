package node_test

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/rig"
)

// Each test starts six processes of the program, in three zones with one voter each, and injects faults
// into them or the links between them. Tests wait for events, with wide margins.
const threeZones = `
seconds = 60
[[region]]
name = "west"
zones = [{name="a", ingresses=2, servers=1}, {name="b", ingresses=2, servers=1},
	{name="c", ingresses=2, servers=1}]
[load]
rate = 10
clients = 6
[fleet]
voters = ["a1", "b1", "c1"]
hold = "2s"
`

var (
	allIngresses = []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	program      string
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dunespoke-processes")
	if err == nil {
		program, err = rig.Build(dir, "dunespoke")
	}
	if err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

type fleet struct {
	*testing.T
	*rig.Rig
}

func start(t *testing.T) fleet { return startWith(t, threeZones) }

// startWith starts the processes of a scenario in parallel with other tests, and waits until all have the
// same record.
func startWith(t *testing.T, text string) fleet {
	t.Helper()
	t.Parallel()
	sc, err := rig.Parse(t.Name(), text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.New(context.Background(), sc, rig.Options{Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	f := fleet{t, r}
	f.waitAgreed(allIngresses, "")
	return f
}

// eventually waits up to 40 s until isMet returns true.
func (f fleet) eventually(condition string, isMet func() bool) {
	f.Helper()
	for until := time.Now().Add(40 * time.Second); !isMet(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			f.Fatalf("waited 40 s for %s", condition)
		}
	}
}

// startFault starts a fault of the given kind; the returned function ends it.
func (f fleet) startFault(do, on, to string) (end func()) {
	f.Helper()
	return f.fault(rig.Fault{Do: do, On: on, To: to})
}

func (f fleet) fault(fault rig.Fault) (end func()) {
	f.Helper()
	end, err := f.Begin(fault)
	if err != nil {
		f.Fatal(err)
	}
	return end
}

// waitAgreed waits until the named ingresses all have the same agreed record, and it contains the note. An
// empty note matches any record.
func (f fleet) waitAgreed(names []string, note string) {
	f.Helper()
	f.eventually("one record with note "+note+" at "+strings.Join(names, ", "), func() bool {
		first := ""
		for _, name := range names {
			s, err := f.Status(name)
			if err != nil || s.Standing != "agreed" {
				return false
			}
			record, err := f.Call(name, "FLEET RECORD")
			if err != nil || !strings.Contains(record, note) || first != "" && record != first {
				return false
			}
			first = record
		}
		return true
	})
}

// proposeNote proposes a note through one ingress, retrying until it is accepted. The decision may take
// longer than the call waits.
func (f fleet) proposeNote(at, text string) {
	f.Helper()
	f.eventually("note "+text+" from "+at, func() bool {
		_, err := f.Call(at, "FLEET NOTE "+text)
		return err == nil || strings.Contains(err.Error(), "not decided yet")
	})
}

// waitStanding waits until the record of an ingress has the given standing.
func (f fleet) waitStanding(name, want string) {
	f.Helper()
	f.eventually(name+" to be "+want, func() bool {
		s, err := f.Status(name)
		return err == nil && s.Standing == want
	})
}

// ingressOfOtherZone returns a non-voting ingress of another zone.
func ingressOfOtherZone(name string) string {
	for _, o := range allIngresses {
		if o[0] != name[0] && o[1] == '2' {
			return o
		}
	}
	return ""
}

// without returns all ingresses but the named ones.
func without(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(allIngresses), func(n string) bool {
		return slices.Contains(names, n)
	})
}

func TestLeaderKilled(t *testing.T) {
	f := start(t)
	f.proposeNote("a2", "before")
	leader := f.Leader()
	back := f.startFault("kill", "ingress:"+leader, "")
	f.proposeNote(ingressOfOtherZone(leader), "without-it")
	f.waitAgreed(without(leader), "without-it")
	back()
	f.proposeNote(leader, "back")
	f.waitAgreed(allIngresses, "back")
}

// A leader that was stopped must not count its old record as agreed when it resumes, until it has received
// what was decided in the meantime.
func TestLeaderStopped(t *testing.T) {
	f := start(t)
	leader := f.Leader()
	stopped := time.Now()
	resume := f.startFault("stop", "ingress:"+leader, "")
	f.proposeNote(ingressOfOtherZone(leader), "meanwhile")
	f.waitAgreed(without(leader), "meanwhile")
	f.eventually("the lease to end", func() bool { return time.Since(stopped) > 3*time.Second })
	resume()
	for range 20 {
		s, err := f.Status(leader)
		if err != nil {
			continue
		}
		record, _ := f.Call(leader, "FLEET RECORD")
		if s.Standing == "agreed" && !strings.Contains(record, "meanwhile") {
			t.Errorf("%s has its record from before it was stopped as agreed: %+v", leader, s)
		}
	}
	f.waitAgreed(allIngresses, "meanwhile")
}

func TestMajorityLostAndBack(t *testing.T) {
	f := start(t)
	f.proposeNote("c2", "kept")
	a, b := f.startFault("kill", "ingress:a1", ""), f.startFault("kill", "ingress:b1", "")
	f.waitStanding("c1", "held")
	f.waitStanding("c2", "lapsed")
	if _, err := f.Call("c2", "FLEET NOTE alone"); err == nil {
		t.Error("decided without a majority")
	}
	a()
	b()
	f.waitAgreed(allIngresses, "alone") // the pending change was decided once there was a majority again
}

func TestZoneCutOffAndHealed(t *testing.T) {
	f := start(t)
	heal := f.startFault("cut", "zone:a", "")
	f.waitStanding("a2", "lapsed")
	f.proposeNote("b2", "others")
	f.waitAgreed(without("a1", "a2"), "others")
	heal()
	f.waitAgreed(allIngresses, "others")
}

func TestOneWayCut(t *testing.T) {
	f := start(t)
	heal := f.startFault("cut-oneway", "zone:a", "zone:b")
	f.proposeNote("c2", "one-way")
	heal()
	f.waitAgreed(allIngresses, "one-way")
}

// Two zones can't reach each other, and both reach the third: decisions must still arrive everywhere.
func TestTwoZonesCutFromEachOther(t *testing.T) {
	f := start(t)
	heal := f.startFault("cut", "zone:a", "zone:b")
	f.proposeNote("c2", "by-the-third")
	heal()
	f.waitAgreed(allIngresses, "by-the-third")
}

func TestLossAndDelayOnAllLinks(t *testing.T) {
	f := start(t)
	for _, pair := range [][2]string{{"a", "b"}, {"b", "c"}, {"c", "a"}, {"a", "a"}, {"b", "b"}, {"c", "c"}} {
		on, to := "ingresses:"+pair[0], "ingresses:"+pair[1]
		f.fault(rig.Fault{Do: "lose", On: on, To: to, Share: 0.2, By: "200ms"})
	}
	f.proposeNote("a2", "slowly")
	f.waitAgreed(allIngresses, "slowly")
	f.proposeNote("b2", "but-surely")
	f.waitAgreed(allIngresses, "but-surely")
}

func TestAllRestartedOneByOne(t *testing.T) {
	f := start(t)
	f.proposeNote("a2", "older-than-any-process")
	for _, name := range allIngresses {
		f.startFault("restart", "ingress:"+name, "")
		f.waitAgreed(allIngresses, "older-than-any-process")
	}
}

// The fleet's key is changed while it makes decisions; messages under a removed key must be dropped and
// counted.
func TestKeysChanged(t *testing.T) {
	f := start(t)
	first, second := []byte("a key of the rig"), []byte("and another one.")
	for i, keys := range [][][]byte{{first, second}, {second, first}, {second}} {
		if err := f.Rekey(keys...); err != nil {
			t.Fatal(err)
		}
		f.proposeNote("b2", "with-keys-"+string(rune('0'+i)))
		f.waitAgreed(allIngresses, "with-keys-"+string(rune('0'+i)))
	}
	if err := f.Forge("a1", first); err != nil {
		t.Fatal(err)
	}
	f.eventually("forged messages to be counted", func() bool {
		s, err := f.Status("a1")
		return err == nil && s.Messages.Forged > 0
	})
	f.proposeNote("c2", "still-well")
}
