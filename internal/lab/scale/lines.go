package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/lab/rig"
	"dunespoke/internal/lab/usage"
	"dunespoke/internal/ratelimit"
)

// Lines runs hollow processes beside real ones, over TCP on loopback addresses: many control sides of
// ingresses in this process, which poll, hold leases and take all news, and a few processes of the program
// that are the core.
type Lines struct {
	Program string // dunespoke-gateway
	Dir     string // for settings, stores and logs
	Hollow  int
	Real    int
	Made    Made
	For     time.Duration // how long it is watched, once all are there: half at rest, then three events
	Memory  float64       // MB that all together may have; a run that needs more is ended
}

// Most that a run may have.
const (
	mostHollow = 800
	mostReal   = 9
	mostFor    = 2 * time.Minute
	startLimit = 20 * time.Second
)

// Ports are alike on all machines.
const (
	trunkPort, frontPort, readyPort, controlPort = "7560", "8388", "8384", "8381"
	platformAddr                                 = "127.77.255.1:8382"
)

func realIP(i int) string { return fmt.Sprintf("127.77.0.%d", i+1) }

func hollowIP(i int) string { return fmt.Sprintf("127.77.%d.%d", 1+i/250, 1+i%250) }

// lineRun is a run of Lines.
type lineRun struct {
	Lines
	wire    wire
	hollows []*hollow
	reals   []*exec.Cmd
	pages   atomic.Pointer[platform]
	version uint64
	ctx     context.Context
}

// Run runs until all is measured, or the context ends. Nothing of it is left.
func (l Lines) Run(ctx context.Context, tell func(Row)) error {
	if l.Hollow < 1 || l.Hollow > mostHollow || l.Real < 1 || l.Real > mostReal || l.For > mostFor {
		return fmt.Errorf("want 1 to %d hollow processes, 1 to %d real ones and %v at most", mostHollow, mostReal,
			mostFor)
	}
	ctx, end := context.WithTimeout(ctx, 2*startLimit+l.For+30*time.Second)
	defer end()
	r := &lineRun{Lines: l, ctx: ctx}
	r.wire = wire{sent: map[string]float64{}, got: map[string]float64{}, lines: map[string]int{},
		dials: map[string]float64{}}
	r.Made.Zones = l.Real
	r.pages.Store(newPlatform(r.Made.List(0), perPage))
	listener, err := net.Listen("tcp", platformAddr)
	if err != nil {
		return err
	}
	web := &http.Server{ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.pages.Load().ServeHTTP(w, q) })}
	go web.Serve(listener)
	defer web.Close()
	defer r.stop()
	if err := r.startReal(); err != nil {
		return err
	}
	return r.measure(tell)
}

// startReal starts the core, and gives it a configuration.
func (r *lineRun) startReal() error {
	for i := range r.Real {
		dir := filepath.Join(r.Dir, fmt.Sprint("real-", i+1))
		if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
			return err
		}
		file := filepath.Join(dir, "settings.toml")
		if err := os.WriteFile(file, r.settings(i, dir), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(dir, "log"))
		if err != nil {
			return err
		}
		cmd := exec.Command(r.Program, "serve", "--settings", file)
		cmd.Stdout, cmd.Stderr = log, log
		err = rig.Start(cmd)
		log.Close()
		if err != nil {
			return err
		}
		r.reals = append(r.reals, cmd)
	}
	var err error
	if !r.until(startLimit, func() bool { err = r.put(); return err == nil }) {
		return fmt.Errorf("the core took no configuration: %w", err)
	}
	return nil
}

func (r *lineRun) settings(i int, dir string) []byte {
	var seeds []string
	for j := range min(3, r.Real) {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(realIP(j), controlPort)))
	}
	ip := realIP(i)
	return fmt.Appendf(nil, `node_name = "real-%d"
serves = ["edge", "control"]
ip_address = %q
zone = %q
spare_ports = [%s]
seed_nodes = [%s]
fresh_start = true
data_dir = %q
bounds = ["grace_period_s=1"]
[listen]
front = "%s:%s"
ready = "%s:%s"
control = "%s:%s"
[limits]
memory_mb = 1024
open_files = 4096
[survive]
machines = %d
[cloud_api]
address = %q
`, i+1, ip, zone(i), trunkPort, strings.Join(seeds, ", "), filepath.Join(dir, "data"), ip, frontPort, ip,
		readyPort, ip, controlPort, (r.Real-1)/2, platformAddr)
}

// put sends the next configuration to the first real process.
func (r *lineRun) put() error {
	url := "http://" + net.JoinHostPort(realIP(0), controlPort) + "/api/rpc?call=config.replace"
	text := r.Made.Config(r.version + 1)
	q, err := http.NewRequestWithContext(r.ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 4 * time.Second}
	answer, err := client.Do(q)
	if err != nil {
		return err
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("config.replace: %s", answer.Status)
	}
	r.version++
	return nil
}

// begin starts a hollow process.
func (r *lineRun) begin(i int) (*hollow, error) {
	ip := hollowIP(i)
	self := message.Node{Addr: net.JoinHostPort(ip, trunkPort), Zone: zone(i % r.Real)}
	h := &hollow{work: make(chan func(), 64), began: time.Now()}
	ctx, end := context.WithCancel(r.ctx)
	h.end = end
	var seeds []string
	for j := range min(3, r.Real) {
		seeds = append(seeds, net.JoinHostPort(realIP(j), trunkPort))
	}
	life := uint64(time.Now().UnixNano()) >> 2
	h.office = node.New(h.now(), node.Options{Self: self, Seeds: seeds, Incarnation: life, Actions: h,
		Tolerance: replica.FaultTolerance{Machines: (r.Real - 1) / 2},
		Limits:    func(string) ratelimit.Limits { return ratelimit.Limits{} }})
	var err error
	h.trunk, err = transport.New(transport.Options{Self: self.Addr, Incarnation: life, Listen: net.Listen,
		Dial: r.wire.dialer(ip), Log: h.Log, Handle: func(from string, m *message.Message) {
			select {
			case h.work <- func() { h.office.Step(h.now(), from, m) }:
			case <-ctx.Done():
			}
		}})
	if err != nil {
		end()
		return nil, err
	}
	go h.run(ctx)
	return h, nil
}

// stop ends all processes of the run.
func (r *lineRun) stop() {
	for _, h := range r.hollows {
		h.end()
	}
	for _, cmd := range r.reals {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range r.reals {
		late := time.AfterFunc(5*time.Second, func() { cmd.Process.Kill() })
		cmd.Wait()
		late.Stop()
	}
}

var errMemory = errors.New("the run needs more memory than it may have")

// pause waits, and ends the run when it has grown too large.
func (r *lineRun) pause(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		all := usage.Resident(os.Getpid())
		for _, cmd := range r.reals {
			all += usage.Resident(cmd.Process.Pid)
		}
		if r.Memory > 0 && all > r.Memory {
			return fmt.Errorf("%w: %.0f MB", errMemory, all)
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-time.After(min(100*time.Millisecond, max(time.Until(end), 0))):
		}
	}
	return nil
}

// until waits until something holds, and reports whether it came to that.
func (r *lineRun) until(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if done() {
			return true
		}
		if r.pause(20*time.Millisecond) != nil {
			return false
		}
	}
	return done()
}

// know is how many hollow processes go by the newest of all.
func (r *lineRun) know(first string) (n int) {
	for _, h := range r.hollows {
		id := h.first.Load()
		if h.version.Load() == r.version && h.servers.Load() == int64(r.Made.Servers) && id != nil &&
			*id == first && h.members.Load() == int64(r.Hollow+r.Real) {
			n++
		}
	}
	return n
}

// sample is what all have used so far.
type sample struct {
	at               time.Time
	own              time.Duration
	real             []time.Duration
	sent, got, dials map[string]float64
}

func (r *lineRun) sample() sample {
	s := sample{at: time.Now(), own: process()}
	for _, cmd := range r.reals {
		s.real = append(s.real, usage.CPU(cmd.Process.Pid))
	}
	s.sent, s.got, s.dials, _ = r.wire.copy()
	return s
}

// role is a real process's: the chain is in the order of addresses.
func (r *lineRun) role(i int) string {
	switch i {
	case 0:
		return Head
	case r.Real - 1:
		return Tail
	}
	return Middle
}

// measure starts the hollow processes, and measures rest and events.
func (r *lineRun) measure(tell func(Row)) error {
	row := func(name, role, what, unit string, value float64) {
		tell(Row{"lines", name, role, what, "", unit, "hollow processes", float64(r.Hollow), value})
	}
	before := heap()
	began := time.Now()
	for i := range r.Hollow {
		h, err := r.begin(i)
		if err != nil {
			return err
		}
		r.hollows = append(r.hollows, h)
	}
	all := r.until(startLimit, func() bool { return r.know(r.Made.List(0)[0].ID) == r.Hollow })
	row("join", Ingress, "until all know", "s", time.Since(began).Seconds())
	row("join", Ingress, "that know all", "processes", float64(r.know(r.Made.List(0)[0].ID)))
	if err := r.pause(2 * time.Second); err != nil {
		return err
	}
	var stacks runtime.MemStats
	used := heap() - before
	runtime.ReadMemStats(&stacks)
	used += float64(stacks.StackInuse)
	row("rest", Ingress, "memory, heap and stacks", "MB", used/float64(r.Hollow)/1e6)
	window := func(name string, d time.Duration, do func() error) error {
		from := r.sample()
		if do != nil {
			if err := do(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		if err := r.pause(d - time.Since(from.at)); err != nil {
			return err
		}
		r.tell(row, name, from, r.sample())
		return nil
	}
	if err := window("rest", r.For/2, nil); err != nil || !all {
		return err // events of an exchange that is not whole tell nothing
	}
	first := r.Made.List(0)[0].ID
	known := func(name string) error {
		began := time.Now()
		if !r.until(r.For/6, func() bool { return r.know(first) == r.Hollow }) {
			return fmt.Errorf("%d of %d know of it", r.know(first), r.Hollow)
		}
		row(name, Ingress, "until all know", "s", time.Since(began).Seconds())
		return nil
	}
	err := window("route", r.For/6, func() error {
		calls := 0.0 // operators send a change again that had no clear answer
		var err error
		if !r.until(startLimit, func() bool { calls++; err = r.put(); return err == nil }) {
			return err
		}
		row("route", Head, "calls until it was acknowledged", "calls", calls)
		return known("route")
	})
	if err != nil {
		return err
	}
	err = window("list", r.For/6, func() error {
		list := r.Made.List(1)
		first = list[0].ID
		r.pages.Store(newPlatform(list, perPage))
		return known("list")
	})
	if err != nil {
		return err
	}
	return window("restart", r.For/6, func() error { return r.restart(known) })
}

// restart ends a hollow process and starts it again, within its lease: none of the others hears of it.
func (r *lineRun) restart(known func(string) error) error {
	at := len(r.hollows) - 1
	r.hollows[at].end()
	if err := r.pause(100 * time.Millisecond); err != nil {
		return err
	}
	h, err := r.begin(at)
	if err != nil {
		return err
	}
	r.hollows[at] = h
	return known("restart")
}

// tell tells what was used between two samples, each a second.
func (r *lineRun) tell(row func(name, role, what, unit string, value float64), name string, a, b sample) {
	seconds := b.at.Sub(a.at).Seconds()
	n := float64(r.Hollow)
	var sent, got float64
	_, _, _, lines := r.wire.copy()
	for i := range r.Real {
		host, role := realIP(i), r.role(i)
		out, in := b.got[host]-a.got[host], b.sent[host]-a.sent[host] // as the core sees it
		sent, got = sent+in, got+out
		row(name, role, "sent to ingresses", "B/s", out/seconds)
		row(name, role, "got from ingresses", "B/s", in/seconds)
		row(name, role, "processor", "% of a core", (b.real[i]-a.real[i]).Seconds()/seconds*100)
		row(name, role, "lines of ingresses", "lines", float64(lines[host]))
		row(name, role, "dials by ingresses", "1/s", (b.dials[host]-a.dials[host])/seconds)
		row(name, role, "memory, resident", "MB", usage.Resident(r.reals[i].Process.Pid))
		row(name, role, "memory, at the most so far", "MB", usage.Peak(r.reals[i].Process.Pid))
	}
	row(name, Ingress, "sent", "B/s", sent/n/seconds)
	row(name, Ingress, "got", "B/s", got/n/seconds)
	row(name, Ingress, "processor, with the platform's part", "% of a core",
		(b.own-a.own).Seconds()/n/seconds*100)
}
