package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/simulation"
)

// The roles of an exchange. A figure of one is the mean of the machines that have it.
const (
	Head    = "head"
	Middle  = "middle"
	Tail    = "tail"
	Ingress = "ingress"
)

// While a region is cut off, its machines have roles of their own.
const (
	CutOff     = "ingress, cut off"
	CoreCutOff = "core, cut off"
)

var roles = []string{Head, Middle, Tail, Ingress}

// Virtual says what is played in virtual time.
type Virtual struct {
	Core     int   // machines with a disk, each in a zone of its own
	Machines []int // sizes: machines in all, rounded so that zones are alike
	Made     Made
	By       string // what sizes count, if not machines: servers
	Seed     uint64
	Memory   float64 // MB that the largest size may be expected to take; 0: any
}

// needs is about what an exchange takes, in MB: each machine keeps a configuration and a list of its own, and
// as much again is garbage for a while.
func (v Virtual) needs() float64 {
	each := 0.2 + 4*float64(v.Made.Routes*250+v.Made.Tenants*160+v.Made.Servers*110)/1e6
	return each * float64(slices.Max(v.Machines))
}

// watched is how long an exchange is watched at rest, and after an event. A lease lives for three seconds, so
// that a restart is over by then.
const watched = 8 * time.Second

// tally counts what machines do.
type tally struct {
	sent, got       map[string]map[string]float64 // bytes by role and cause
	msgSent, msgGot map[string]float64
	cpu             map[string]time.Duration
	machines        map[string]float64
}

// probe is a rehearsal's Probe.
type probe struct {
	role map[string]string // by address
	tally
	aside time.Duration // of the work under way: what the probe and others' work in its midst used
}

func (p *probe) clear() {
	p.tally = tally{map[string]map[string]float64{}, map[string]map[string]float64{}, map[string]float64{},
		map[string]float64{}, map[string]time.Duration{}, map[string]float64{}}
	for _, r := range append([]string{CutOff, CoreCutOff}, roles...) {
		p.sent[r], p.got[r] = map[string]float64{}, map[string]float64{}
	}
	for _, r := range p.role {
		p.machines[r]++
	}
}

// thread is the processor time that this thread has used: what others do on the machine is not in it.
func thread() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Sent counts a message.
func (p *probe) Sent(from, to string, m *message.Message, size int) {
	began := thread()
	s, g := p.role[from], p.role[to]
	for cause, n := range parts(m, size) {
		p.sent[s][cause] += float64(n)
		p.got[g][cause] += float64(n)
	}
	p.msgSent[s]++
	p.msgGot[g]++
	p.aside += thread() - began
}

// Run times a piece of work, which may be done in the midst of another's.
func (p *probe) Run(addr string, do func()) {
	began, outer := thread(), p.aside
	p.aside = 0
	do()
	took := thread() - began
	p.cpu[p.role[addr]] += took - p.aside
	p.aside = outer + took
}

// assign gives each machine its role, as the chain now is.
func (p *probe) assign(x *simulation.Cluster) {
	chain := x.Chain()
	p.role = map[string]string{}
	for _, m := range x.Machines {
		role := Ingress
		if at := slices.Index(chain, m.Addr()); at == 0 {
			role = Head
		} else if at == len(chain)-1 {
			role = Tail
		} else if at > 0 {
			role = Middle
		}
		p.role[m.Addr()] = role
	}
	p.clear()
}

// Run plays all sizes. Each figure is told as soon as it is known.
func (v Virtual) Run(ctx context.Context, tell func(Row)) error {
	if need := v.needs(); v.Memory > 0 && need > v.Memory {
		return fmt.Errorf("%w: some %.0f MB", errMemory, need)
	}
	runtime.LockOSThread() // times are a thread's
	defer runtime.UnlockOSThread()
	for _, n := range v.Machines {
		if err := v.size(ctx, n, tell); err != nil {
			return fmt.Errorf("%d machines: %w", n, err)
		}
		runtime.GC()
	}
	return nil
}

// size plays one size: rest, and then each event from rest.
func (v Virtual) size(ctx context.Context, n int, tell func(Row)) error {
	each := max(1, (n+v.Core/2)/v.Core) // machines in each zone
	p := &probe{}
	p.clear()
	made := v.Made
	made.Zones = v.Core
	x := simulation.New(simulation.Options{Zones: v.Core, ReplicasPerZone: 1, GatewaysPerZone: each - 1,
		SurviveMachines: v.Core / 2,
		Seed:            v.Seed, ConfigOf: made.Config})
	count, size, by := float64(len(x.Machines)), float64(len(x.Machines)), "machines"
	if v.By == "servers" {
		size, by = float64(made.Servers), fmt.Sprintf("servers at %.0f machines", count)
	}
	at := func(name, role, what, cause, unit string, value float64) {
		tell(Row{"rehearsal", name, role, what, cause, unit, by, size, value})
	}
	before := heap()
	x.StartAll()
	if !x.Until(func() bool { return len(x.Chain()) == v.Core }, 20*time.Second) {
		return fmt.Errorf("no first start: the chain is %v", x.Chain())
	}
	x.Servers = made.List(0)
	version := uint64(1)
	if _, ok := x.PutUntilAcknowledged(x.Machines[0], version, 20*time.Second); !ok {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	whole := func() bool {
		return x.Converged(version) && !slices.ContainsFunc(x.Machines, func(m *simulation.Machine) bool {
			return m.Nodes() != len(x.Machines) || len(m.Endpoints()) != len(x.Servers) ||
				m.Endpoints()[0].ID != x.Servers[0].ID
		})
	}
	if !x.Until(whole, 30*time.Second) {
		return fmt.Errorf("not all know all")
	}
	x.Run(4 * time.Second)
	at("rest", "all", "memory", "", "MB/machine", (heap()-before)/count/1e6)
	x.Probe = p
	p.assign(x)
	x.Run(watched)
	calm := p.tally
	seconds := watched.Seconds()
	for _, r := range roles {
		count := p.machines[r]
		at("rest", r, "sent", "", "messages/s", p.msgSent[r]/count/seconds)
		at("rest", r, "got", "", "messages/s", p.msgGot[r]/count/seconds)
		at("rest", r, "processor", "", "% of a core", p.cpu[r].Seconds()/count/seconds*100)
		eachCause(p.sent[r], func(cause string, n float64) { at("rest", r, "sent", cause, "B/s", n/count/seconds) })
		eachCause(p.got[r], func(cause string, n float64) { at("rest", r, "got", cause, "B/s", n/count/seconds) })
	}
	// event plays what happens, and tells what that cost beyond rest.
	event := func(name string, do func() error) error {
		p.assign(x)
		began := x.Now
		if err := do(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !x.Until(whole, 40*time.Second) {
			return fmt.Errorf("%s: not all know of it", name)
		}
		at(name, "all", "until all know", "", "s", (x.Now - began).Seconds())
		x.Run(max(0, watched-(x.Now-began)))
		part := (x.Now - began).Seconds() / seconds
		for _, r := range roles {
			count := p.machines[r]
			at(name, r, "processor", "", "ms", (p.cpu[r].Seconds()-calm.cpu[r].Seconds()*part)/count*1e3)
			at(name, r, "sent", "", "messages", (p.msgSent[r]-calm.msgSent[r]*part)/count)
			over := func(what string, now, rest map[string]float64) {
				eachCause(now, func(cause string, n float64) {
					if more := (n - rest[cause]*part) / count; more >= 1 {
						at(name, r, what, cause, "B", more)
					}
				})
			}
			over("sent", p.sent[r], calm.sent[r])
			over("got", p.got[r], calm.got[r])
		}
		return nil
	}
	one := x.Machines[len(x.Machines)-1] // an ingress
	events := []struct {
		name string
		do   func() error
	}{
		{"route", func() error {
			version++
			if _, ok := x.PutUntilAcknowledged(one, version, 20*time.Second); !ok {
				return fmt.Errorf("not acknowledged")
			}
			return nil
		}},
		{"restart", func() error {
			one.Kill()
			x.Run(4 * time.Second) // until its lease has run out
			one.Start()
			return nil
		}},
		{"list", func() error {
			x.Servers = made.List(1)
			return nil
		}},
		{"join", func() error {
			for _, m := range x.Machines {
				m.Kill()
			}
			x.Run(200 * time.Millisecond)
			x.StartAll()
			x.Run(200 * time.Millisecond) // by which all have begun
			return nil
		}},
	}
	for _, e := range events {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := event(e.name, e.do); err != nil {
			return err
		}
		x.Run(4 * time.Second)
	}
	if err := v.cut(x, p, &version, whole, at); err != nil {
		return fmt.Errorf("cut: %w", err)
	}
	if b := x.Violations(); len(b) > 0 {
		return fmt.Errorf("a promise was broken: %s", b[0])
	}
	return nil
}

// cut plays a region that is lost to the others, with the lesser part of the core in it, and a change
// meanwhile.
func (v Virtual) cut(x *simulation.Cluster, p *probe, version *uint64, whole func() bool,
	at func(name, role, what, cause, unit string, value float64)) error {
	each := len(x.Machines) / v.Core
	rest, gone := x.Machines[:(v.Core-v.Core/3)*each], x.Machines[(v.Core-v.Core/3)*each:]
	for _, a := range rest {
		for _, b := range gone {
			x.Cut(a, b, true)
		}
	}
	x.Run(5 * time.Second) // until the others have a view without it, and leases have run out
	p.assign(x)
	for _, m := range gone {
		role := CutOff
		if m.Replica() != nil {
			role = CoreCutOff
		}
		p.role[m.Addr()] = role
	}
	p.clear()
	x.Run(watched)
	seconds := watched.Seconds()
	for _, r := range []string{CutOff, CoreCutOff, Ingress} {
		count := p.machines[r]
		at("cut", r, "sent", "", "messages/s", p.msgSent[r]/count/seconds)
		at("cut", r, "processor", "", "% of a core", p.cpu[r].Seconds()/count/seconds*100)
	}
	*version++
	took, ok := x.PutUntilAcknowledged(rest[0], *version, 20*time.Second)
	if !ok {
		return fmt.Errorf("not acknowledged by the others")
	}
	at("cut", "all", "a change meanwhile, acknowledged", "", "s", took.Seconds())
	x.Run(watched)
	know := func(list []*simulation.Machine) (n float64) {
		for _, m := range list {
			if m.Version() == *version {
				n++
			}
		}
		return n / float64(len(list))
	}
	at("cut", Ingress, "that know of it", "", "part", know(rest))
	at("cut", CutOff, "that know of it", "", "part", know(gone))
	x.HealAll()
	began := x.Now
	if !x.Until(whole, 40*time.Second) {
		return fmt.Errorf("not all know all after it")
	}
	at("cut", "all", "until all know, after it", "", "s", (x.Now - began).Seconds())
	return nil
}

// eachCause calls f with each cause in a fixed order.
func eachCause(all map[string]float64, f func(cause string, n float64)) {
	for _, c := range []string{Beats, Members, Servers, Configuration, Polls, Tolls, Views, Starts, Other} {
		if n := all[c]; n != 0 {
			f(c, n)
		}
	}
}

// heap is what is in use, in bytes, once all that is garbage is gone.
func heap() float64 {
	runtime.GC()
	runtime.GC() // pools give up what they hold at the second
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
