package common

import (
	crypto "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunespoke/internal/lab/virtual"
)

const (
	lease = 2 * time.Second
	hold  = 10 * time.Second
)

// fleet runs machines in virtual time. Their view of the membership lags by seconds. It checks the
// invariants after each step.
type fleet struct {
	net      *virtual.Net
	voters   []string
	nodes    map[string]*node
	names    []string
	cuts     map[[2]string]bool
	lastLife uint64
	// Injected defects, to show that the checks find them.
	reuseLife bool
	noLease   bool

	contents          map[[2]uint64]string        // encoded record of each generation and epoch
	supersededAt      map[[2]uint64]time.Duration // when a newer record first appeared
	violation         string
	newestAgreed      Record // newest record that any member had as agreed
	agreedGenerations map[uint64]bool
}

type node struct {
	name        string
	m           *Machine
	up          bool
	stalled     bool
	queued      []func() // messages that arrived while the process was stalled
	upChangedAt time.Duration
	lastRecord  Record
}

func newFleet(seed uint64, voters, followers int) *fleet {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	crypto.Reader = rand.NewChaCha8(key) // Raft draws its random election timeouts from it
	f := &fleet{net: virtual.New(seed, 1000*time.Hour), nodes: map[string]*node{}, cuts: map[[2]string]bool{},
		contents: map[[2]uint64]string{}, supersededAt: map[[2]uint64]time.Duration{},
		agreedGenerations: map[uint64]bool{}}
	f.net.Cut = func(a, b string) bool { return f.cuts[[2]string{a, b}] }
	for i := range voters + followers {
		name := string(rune('a'+i)) + "1"
		f.names = append(f.names, name)
		if i < voters {
			f.voters = append(f.voters, name)
		}
		f.nodes[name] = &node{name: name, upChangedAt: -time.Hour}
	}
	for _, name := range f.names {
		f.start(name)
		f.net.After(time.Duration(f.net.Rand.IntN(100))*time.Millisecond, func() { f.tick(name) })
	}
	return f
}

func (f *fleet) start(name string) {
	n := f.nodes[name]
	if n.up {
		return
	}
	f.lastLife++
	life := f.lastLife
	if f.reuseLife {
		life = 1
	}
	set := Config{Name: name, Life: life, Voters: f.voters, Lease: lease, Hold: hold,
		Beat: 500 * time.Millisecond}
	if f.noLease {
		set.Lease = time.Hour
	}
	n.m, n.up, n.upChangedAt, n.lastRecord = New(set, f.net.Now()), true, f.net.Now(), Record{}
}

func (f *fleet) crash(name string) {
	n := f.nodes[name]
	n.up, n.stalled, n.queued, n.upChangedAt = false, false, nil, f.net.Now()
}

// tick runs a process's timer, which goes on through crashes and stalls.
func (f *fleet) tick(name string) {
	n := f.nodes[name]
	f.net.After(Tick, func() { f.tick(name) })
	if n.up && !n.stalled {
		n.m.Peers(f.membersSeenBy(n))
		n.m.Tick(f.net.Now())
		f.sendAndCheck(n)
	}
}

// membersSeenBy returns the membership as a member sees it: a crash is noticed three seconds late, as with
// a real failure detector.
func (f *fleet) membersSeenBy(n *node) []Peer {
	var all []Peer
	for _, name := range f.names {
		o := f.nodes[name]
		old := f.net.Now()-o.upChangedAt > 3*time.Second
		alive := o.up || !old
		if f.cuts[[2]string{name, n.name}] || f.cuts[[2]string{n.name, name}] {
			alive = false
		}
		all = append(all, Peer{name, o.m.Life(), alive})
	}
	return all
}

// sendAndCheck sends the queued messages of a machine and checks the invariants.
func (f *fleet) sendAndCheck(n *node) {
	for _, msg := range n.m.Take() {
		to, from := f.nodes[msg.To], n.name
		f.net.Send(from, msg.To, func() { f.deliver(to, from, msg.Data) })
	}
	if err := n.m.Err(); err != nil {
		f.violation = n.name + ": " + err.Error()
	}
	f.checkInvariants(n)
}

func (f *fleet) deliver(to *node, from string, data []byte) {
	if !to.up {
		return
	}
	if to.stalled {
		to.queued = append(to.queued, func() { f.deliver(to, from, data) })
		return
	}
	if err := to.m.Step(f.net.Now(), from, data); err != nil {
		f.violation = err.Error()
	}
	f.sendAndCheck(to)
}

// resume continues a stalled process, which first receives the messages that arrived meanwhile.
func (f *fleet) resume(name string) {
	n := f.nodes[name]
	n.stalled = false
	queued := n.queued
	n.queued = nil
	for _, deliver := range queued {
		deliver()
	}
}

// checkInvariants checks what must be true at any time: one record per generation and epoch, no member goes
// back to an older record, and no superseded record counts as agreed for longer than the lease.
func (f *fleet) checkInvariants(n *node) {
	r := n.m.Record()
	if key := [2]uint64{r.Generation, r.Epoch}; n.lastRecord.Epoch != r.Epoch ||
		n.lastRecord.Generation != r.Generation {
		text, _ := json.Marshal(r)
		if old, ok := f.contents[key]; ok && old != string(text) {
			f.violation = fmt.Sprintf("two records of generation %d, epoch %d:\n%s\n%s", key[0], key[1], old,
				text)
		}
		f.contents[key] = string(text)
		for old := range f.contents {
			if _, known := f.supersededAt[old]; !known &&
				r.Newer(&Record{Generation: old[0], Epoch: old[1]}) {
				f.supersededAt[old] = f.net.Now()
			}
		}
	}
	if n.lastRecord.Newer(r) {
		f.violation = fmt.Sprintf("%s went back from epoch %d to %d", n.name, n.lastRecord.Epoch, r.Epoch)
	}
	n.lastRecord = *r
	if n.m.Standing(f.net.Now()) == Agreed {
		f.agreedGenerations[r.Generation] = true
		if r.Newer(&f.newestAgreed) {
			f.newestAgreed = *r
		}
	}
	// A superseded record must not count as agreed for longer than the lease.
	for _, name := range f.names {
		o := f.nodes[name]
		if !o.up || o.stalled || o.m.Standing(f.net.Now()) != Agreed {
			continue
		}
		r := o.m.Record()
		if at, ok := f.supersededAt[[2]uint64{r.Generation, r.Epoch}]; ok && f.net.Now()-at > lease {
			f.violation = fmt.Sprintf("%s counts epoch %d as agreed %v after it was replaced", name, r.Epoch,
				f.net.Now()-at)
		}
	}
}

func (f *fleet) run(d time.Duration) { f.net.Run(f.net.Now() + d) }

func (f *fleet) propose(name string, number int) {
	n := f.nodes[name]
	if n.up && !n.stalled {
		id := strconv.Itoa(number)
		n.m.Propose(f.net.Now(), Change{ID: id, Key: "k", Base: n.m.Record().Entries["k"].Epoch,
			Value: json.RawMessage(id), By: name})
		f.sendAndCheck(n)
	}
}

// majorityWithout reports whether the group keeps a majority of voters with their state if name crashes. A
// restarted voter counts once the leader has added it.
func (f *fleet) majorityWithout(name string) bool {
	count := 0
	for _, leader := range f.names {
		if m := f.nodes[leader].m; f.nodes[leader].up && m.Leads(f.net.Now()) {
			count = 0
			for _, v := range f.voters {
				// A voter that has not received the latest configuration would still wait for removed
				// voters.
				g := f.nodes[v].m.group
				if v != name && f.nodes[v].up && g != nil &&
					g.confState.Equivalent(m.group.confState) == nil &&
					slices.Contains(g.confState.GetVoters(), g.id) &&
					len(g.confState.GetVotersOutgoing()) == 0 {
					count++
				}
			}
		}
	}
	return count > len(f.voters)/2
}

// healAndCheck ends all faults and returns an error text unless all members have the same agreed
// record 20 s later.
func (f *fleet) healAndCheck() string {
	clear(f.cuts)
	f.net.Loss, f.net.Delay = 0, time.Millisecond
	for _, name := range f.names {
		f.start(name)
		if f.nodes[name].stalled {
			f.resume(name)
		}
	}
	f.run(20 * time.Second)
	first := f.nodes[f.names[0]].m.Record()
	for _, name := range f.names {
		m := f.nodes[name].m
		if s := m.Standing(f.net.Now()); s != Agreed {
			return fmt.Sprintf("%s is %v 20 s after all faults ended", name, s)
		}
		if r := m.Record(); r.Epoch != first.Epoch || r.Generation != first.Generation {
			return fmt.Sprintf("%s has epoch %d of %d, %s has %d of %d", name, r.Epoch, r.Generation,
				f.names[0], first.Epoch, first.Generation)
		}
	}
	return ""
}

// injectFaults injects faults chosen by draw and returns the first violation, or "". Unless allAtOnce is
// set, only a minority of voters is down at any time.
func injectFaults(f *fleet, steps int, allAtOnce bool, draw func(n int, what string) int) string {
	f.run(5 * time.Second)
	for i := range steps {
		name := f.names[draw(len(f.names), "who")]
		n := f.nodes[name]
		switch draw(9, "what") {
		case 0:
			if n.up && (allAtOnce || !slices.Contains(f.voters, name) || f.majorityWithout(name)) {
				f.crash(name)
			}
		case 1:
			if !n.up {
				f.start(name)
			}
		case 2:
			n.stalled = n.up
		case 3:
			if n.stalled {
				f.resume(name)
			}
		case 4:
			f.cuts[[2]string{name, f.names[draw(len(f.names), "from")]}] = true
		case 5:
			clear(f.cuts)
		case 6:
			f.net.Loss = float64(draw(4, "loss")) / 10
			f.net.Delay = time.Duration(draw(4, "delay")) * 70 * time.Millisecond
		default:
			f.propose(name, i)
		}
		f.run(time.Duration(1+draw(40, "for")) * Tick)
		if f.violation != "" {
			return f.violation
		}
	}
	if wrong := f.healAndCheck(); wrong != "" {
		return wrong
	}
	if f.violation != "" {
		return f.violation
	}
	now := f.nodes[f.names[0]].m.Record()
	if !allAtOnce && (len(f.agreedGenerations) != 1 || f.newestAgreed.Newer(now)) {
		return fmt.Sprintf("%d generations with a majority always up; epoch %d was agreed, now %d is",
			len(f.agreedGenerations), f.newestAgreed.Epoch, now.Epoch)
	}
	return ""
}

// An agreed change must never be lost or contradicted, whatever processes crash or stall and whatever links
// are cut.
func TestAgreementSurvivesFaults(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" { // reproducible by default
		f.Value.Set("1")
		flag.Set("rapid.checks", "25")
	}
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprint("together=", together), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 2).Draw(rt, "voters")*2+1, 2)
				wrong := injectFaults(f, 25, together, func(n int, what string) int {
					return rapid.IntRange(0, n-1).Draw(rt, what)
				})
				if wrong != "" {
					rt.Fatal(wrong)
				}
			})
		})
	}
}

// The checks must find two injected defects: a voter that restarts without its state under its old ID, and
// a lease that never expires.
func TestSeededDefectsAreFound(t *testing.T) {
	for name, injectDefect := range map[string]func(*fleet){
		"voter ID reused after a restart": func(f *fleet) { f.reuseLife = true },
		"lease never expires":             func(f *fleet) { f.noLease = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				rng := rand.New(rand.NewPCG(seed, 9))
				f := &fleet{}
				func() {
					defer func() {
						if p := recover(); p != nil { // Raft panics when a voter votes twice
							f.violation = fmt.Sprint(p)
						}
					}()
					f = newFleet(seed, 3, 1)
					injectDefect(f)
					for _, name := range f.names { // discard the machines created before the defect
						f.crash(name)
						f.start(name)
					}
					if wrong := injectFaults(f, 25, false, func(n int, _ string) int {
						return rng.IntN(n)
					}); wrong != "" {
						f.violation = wrong
					}
				}()
				if f.violation != "" {
					t.Logf("seed %d: %.200s", seed, f.violation)
					return
				}
			}
			t.Error("not found in 300 runs")
		})
	}
}

// Two of three voters are permanently lost: nothing may be decided until an operator calls Recover, and
// then the agreed changes must still be there.
func TestRecoverAfterTheMajorityIsLost(t *testing.T) {
	f := newFleet(4, 3, 2)
	f.run(5 * time.Second)
	f.propose("b1", 1)
	f.run(time.Second)
	f.crash("a1")
	f.crash("b1")
	f.run(5 * time.Second)
	c := f.nodes["c1"].m
	if s := c.Standing(f.net.Now()); s != Held {
		t.Errorf("%v without a majority, want held", s)
	}
	f.propose("c1", 2)
	f.run(time.Minute)
	if s := c.Standing(f.net.Now()); s != Lapsed || string(c.Record().Entries["k"].Value) != "1" {
		t.Errorf("%v, %s: want lapsed, and no change decided", s, c.Record().Entries["k"].Value)
	}
	if err := f.nodes["d1"].m.Recover(); err == nil {
		t.Error("Recover succeeded on a member that is not a voter")
	}
	if err := c.Recover(); err != nil {
		t.Fatal(err)
	}
	f.run(10 * time.Second)
	for _, name := range []string{"c1", "d1", "e1"} {
		m := f.nodes[name].m
		if s := m.Standing(f.net.Now()); s != Agreed || string(m.Record().Entries["k"].Value) != "2" {
			t.Errorf("%s: %v, %s: want the pending change applied", name, s, m.Record().Entries["k"].Value)
		}
	}
	if err := c.Recover(); err == nil {
		t.Error("Recover succeeded although there is a leader")
	}
	f.start("a1")
	f.run(10 * time.Second)
	if n := len(c.group.confState.GetVoters()); n != 2 {
		t.Errorf("%d voters after one restarted, want 2", n)
	}
	if wrong := f.healAndCheck(); wrong != "" || f.violation != "" {
		t.Error(wrong, f.violation)
	}
}

// Messages that are unreadable, too long or of a later version must not make the machine panic.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"k":"raft","g":1,"r":"AAAA"}`))
	f.Add([]byte(`{"k":"beat","g":99999999999999,"e":5,"t":1,"rec":{"generation":1},"led":true}`))
	f.Add([]byte(`{"k":"found","g":5,"v":{"a1":1},"rec":{}}`))
	f.Add([]byte(`{"k":"of a later version","x":{"y":[]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(Config{Name: "a1", Life: 1, Voters: []string{"a1", "b1", "c1"}, Lease: lease, Hold: hold,
			Beat: time.Second}, time.Hour)
		m.Peers([]Peer{{"b1", 2, true}, {"c1", 3, true}})
		m.Step(time.Hour, "b1", data)
		for i := range 40 {
			m.Tick(time.Hour + time.Duration(i)*Tick)
		}
		m.Take()
	})
}
