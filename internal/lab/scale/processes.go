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

// Processes runs control nodes beside processes of the gateway, over TCP on loopback addresses. The control
// nodes, all in this process, are the control planes of ingresses: they watch, hold leases and take all
// updates. The gateways are the core.
type Processes struct {
	Program      string // dunespoke-gateway
	Dir          string // for settings, stores and logs
	ControlNodes int
	Gateways     int
	Dataset      Dataset
	Duration     time.Duration // how long it is measured once all have joined: half at rest, then three events
	Memory       float64       // MB that all together may take; a run that needs more is ended; 0: no limit
}

// Limits of a run.
const (
	maxControlNodes = 800
	maxGateways     = 9
	maxDuration     = 2 * time.Minute
	startLimit      = 20 * time.Second
	maxSeeds        = 3
)

// The ports are the same on all addresses.
const (
	transportPort, frontPort, readyPort, controlPort = "7560", "8388", "8384", "8381"
	platformAddr                                     = "127.77.255.1:8382"
)

func gatewayIP(i int) string { return fmt.Sprintf("127.77.0.%d", i+1) }

func controlNodeIP(i int) string { return fmt.Sprintf("127.77.%d.%d", 1+i/250, 1+i%250) }

// processRun is a run of Processes.
type processRun struct {
	Processes
	ctx         context.Context
	report      func(Row)
	connections *connectionCounter
	nodes       []*controlNode
	gateways    []*exec.Cmd
	platform    atomic.Pointer[platform]
	version     uint64 // of the newest configuration
	firstServer string // its id, in the newest list
}

// Run runs until all is measured, or the context ends. It leaves no process behind.
func (p Processes) Run(ctx context.Context, report func(Row)) error {
	if p.ControlNodes < 1 || p.ControlNodes > maxControlNodes || p.Gateways < 1 || p.Gateways > maxGateways ||
		p.Duration > maxDuration {
		return fmt.Errorf("want 1 to %d control nodes, 1 to %d gateways and %v at most", maxControlNodes,
			maxGateways, maxDuration)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*startLimit+p.Duration+30*time.Second)
	defer cancel()
	r := &processRun{Processes: p, ctx: ctx, report: report, connections: newConnectionCounter()}
	r.Dataset.Zones = p.Gateways
	r.setServers(0)
	stopPlatform, err := r.servePlatform()
	if err != nil {
		return err
	}
	defer stopPlatform()
	defer r.stop()
	if err := r.startGateways(); err != nil {
		return err
	}
	return r.measure()
}

// setServers gives the platform the list of servers from one on.
func (r *processRun) setServers(from int) {
	list := r.Dataset.List(from)
	r.firstServer = list[0].ID
	r.platform.Store(newPlatform(list, serversPerPage))
}

// servePlatform answers requests for the platform's list until it is stopped.
func (r *processRun) servePlatform() (stop func(), err error) {
	listener, err := (&net.ListenConfig{}).Listen(r.ctx, "tcp", platformAddr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			r.platform.Load().ServeHTTP(w, request)
		})}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// startGateways starts the core, and gives it a configuration.
func (r *processRun) startGateways() error {
	for i := range r.Gateways {
		if err := r.startGateway(i); err != nil {
			return fmt.Errorf("starting gateway %d: %w", i+1, err)
		}
	}
	var err error
	if !r.waitUntil(startLimit, func() bool { err = r.putConfig(); return err == nil }) {
		return fmt.Errorf("the core took no configuration: %w", err)
	}
	return nil
}

func (r *processRun) startGateway(i int) error {
	dir := filepath.Join(r.Dir, fmt.Sprint("gateway-", i+1))
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return err
	}
	settings := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(settings, r.settings(i, dir), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	// stop ends it in good order, and not the end of the context
	cmd := exec.CommandContext(context.WithoutCancel(r.ctx), r.Program, "serve", "--settings", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := rig.Start(cmd); err != nil {
		return err
	}
	r.gateways = append(r.gateways, cmd)
	return nil
}

// seeds are the first gateways' addresses, at a port.
func (r *processRun) seeds(port string) []string {
	var seeds []string
	for i := range min(maxSeeds, r.Gateways) {
		seeds = append(seeds, net.JoinHostPort(gatewayIP(i), port))
	}
	return seeds
}

func (r *processRun) settings(i int, dir string) []byte {
	var seeds []string
	for _, seed := range r.seeds(controlPort) {
		seeds = append(seeds, fmt.Sprintf("%q", seed))
	}
	ip := gatewayIP(i)
	return fmt.Appendf(nil, `node_name = "gateway-%d"
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
`, i+1, ip, zone(i), transportPort, strings.Join(seeds, ", "), filepath.Join(dir, "data"), ip, frontPort, ip,
		readyPort, ip, controlPort, r.toleratedFailures(), platformAddr)
}

func (r *processRun) toleratedFailures() int { return (r.Gateways - 1) / 2 }

// putConfig sends the next configuration to the first gateway.
func (r *processRun) putConfig() error {
	url := "http://" + net.JoinHostPort(gatewayIP(0), controlPort) + "/api/rpc?call=config.replace"
	body := bytes.NewReader(r.Dataset.Config(r.version + 1))
	request, err := http.NewRequestWithContext(r.ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 4 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("config.replace: %s", response.Status)
	}
	r.version++
	return nil
}

// startControlNode starts a control node.
func (r *processRun) startControlNode(i int) (*controlNode, error) {
	ip := controlNodeIP(i)
	self := message.Node{Addr: net.JoinHostPort(ip, transportPort), Zone: zone(i % r.Gateways)}
	ctx, cancel := context.WithCancel(r.ctx)
	n := &controlNode{work: make(chan func(), 64), startedAt: time.Now(), stop: cancel}
	incarnation := uint64(time.Now().UnixNano()) >> 2
	n.node = node.New(n.now(), node.Options{Self: self, Seeds: r.seeds(transportPort), Incarnation: incarnation,
		Actions: n, Tolerance: replica.FaultTolerance{Machines: r.toleratedFailures()},
		Limits: func(string) ratelimit.Limits { return ratelimit.Limits{} }})
	var err error
	n.transport, err = transport.New(transport.Options{Self: self.Addr, Incarnation: incarnation,
		Listen: net.Listen, Dial: r.connections.dialer(ip), Log: n.Log,
		Handle: func(from string, m *message.Message) { n.receive(ctx, from, m) }})
	if err != nil {
		cancel()
		return nil, err
	}
	go n.run(ctx)
	return n, nil
}

// stop ends all processes of the run.
func (r *processRun) stop() {
	for _, n := range r.nodes {
		n.stop()
	}
	for _, cmd := range r.gateways {
		_ = cmd.Process.Signal(syscall.SIGTERM) // one that has ended is waited for all the same
	}
	for _, cmd := range r.gateways {
		kill := time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		kill.Stop()
	}
}

var errMemory = errors.New("the run needs more memory than it may have")

// pause waits, and fails when the run takes too much memory or its context ends.
func (r *processRun) pause(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		total := usage.Resident(os.Getpid())
		for _, cmd := range r.gateways {
			total += usage.Resident(cmd.Process.Pid)
		}
		if r.Memory > 0 && total > r.Memory {
			return fmt.Errorf("%w: %.0f MB", errMemory, total)
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-time.After(min(100*time.Millisecond, max(time.Until(end), 0))):
		}
	}
	return nil
}

// waitUntil waits until something holds, and reports whether it came to that.
func (r *processRun) waitUntil(limit time.Duration, done func() bool) bool {
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

// upToDate returns how many control nodes have the newest of everything.
func (r *processRun) upToDate() (count int) {
	for _, n := range r.nodes {
		id := n.firstEndpointID.Load()
		if n.version.Load() == r.version && n.servers.Load() == int64(r.Dataset.Servers) && id != nil &&
			*id == r.firstServer && n.nodes.Load() == int64(r.ControlNodes+r.Gateways) {
			count++
		}
	}
	return count
}

func (r *processRun) allUpToDate() bool { return r.upToDate() == r.ControlNodes }

// role is a gateway's: the chain is in the order of addresses.
func (r *processRun) role(i int) string {
	switch i {
	case 0:
		return RoleHead
	case r.Gateways - 1:
		return RoleTail
	}
	return RoleMiddle
}

func (r *processRun) row(event, role, what, unit string, value float64) {
	r.report(Row{PartProcesses, event, role, what, "", unit, "control nodes", float64(r.ControlNodes), value})
}

// measure starts the control nodes, and measures rest and events.
func (r *processRun) measure() error {
	joined, err := r.join()
	if err != nil {
		return err
	}
	if err := r.window("rest", r.Duration/2, func() error { return nil }); err != nil || !joined {
		return err // events of a cluster that is not complete say nothing
	}
	events := []struct {
		name string
		do   func() error
	}{
		{"route", r.changeRoute},
		{"list", func() error { r.setServers(1); return nil }},
		{"restart", r.restart},
	}
	for _, event := range events {
		err := r.window(event.name, r.Duration/6, func() error {
			if err := event.do(); err != nil {
				return err
			}
			return r.awaitUpToDate(event.name)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// join starts the control nodes, and reports whether all came to know all.
func (r *processRun) join() (joined bool, err error) {
	before := liveHeap()
	startedAt := time.Now()
	for i := range r.ControlNodes {
		n, err := r.startControlNode(i)
		if err != nil {
			return false, fmt.Errorf("starting control node %d: %w", i+1, err)
		}
		r.nodes = append(r.nodes, n)
	}
	joined = r.waitUntil(startLimit, r.allUpToDate)
	r.row("join", RoleIngress, "until all know", "s", time.Since(startedAt).Seconds())
	r.row("join", RoleIngress, "that know all", "processes", float64(r.upToDate()))
	if err := r.pause(2 * time.Second); err != nil {
		return false, err
	}
	used := liveHeap() - before
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	used += float64(stats.StackInuse)
	r.row("rest", RoleIngress, "memory, heap and stacks", "MB", used/float64(r.ControlNodes)/1e6)
	return joined, nil
}

// window measures what is used for a while, in which an event happens.
func (r *processRun) window(event string, d time.Duration, do func() error) error {
	before := r.sample()
	if err := do(); err != nil {
		return fmt.Errorf("%s: %w", event, err)
	}
	if err := r.pause(d - time.Since(before.at)); err != nil {
		return err
	}
	r.reportUsage(event, before, r.sample())
	return nil
}

// awaitUpToDate waits until all control nodes know of an event, and reports how long that took.
func (r *processRun) awaitUpToDate(event string) error {
	startedAt := time.Now()
	if !r.waitUntil(r.Duration/6, r.allUpToDate) {
		return fmt.Errorf("%d of %d know of it", r.upToDate(), r.ControlNodes)
	}
	r.row(event, RoleIngress, "until all know", "s", time.Since(startedAt).Seconds())
	return nil
}

// changeRoute changes one route. As operators do, it sends a change again that had no clear answer.
func (r *processRun) changeRoute() error {
	calls := 0.0
	var err error
	acknowledged := r.waitUntil(startLimit, func() bool {
		calls++
		err = r.putConfig()
		return err == nil
	})
	if !acknowledged {
		return err
	}
	r.row("route", RoleHead, "calls until it was acknowledged", "calls", calls)
	return nil
}

// restart ends a control node and starts it again, within its lease: none of the others hears of it.
func (r *processRun) restart() error {
	last := len(r.nodes) - 1
	r.nodes[last].stop()
	if err := r.pause(100 * time.Millisecond); err != nil {
		return err
	}
	n, err := r.startControlNode(last)
	if err != nil {
		return err
	}
	r.nodes[last] = n
	return nil
}

// sample is what all have used so far.
type sample struct {
	at         time.Time
	ownCPU     time.Duration
	gatewayCPU []time.Duration
	traffic    map[string]traffic
}

func (r *processRun) sample() sample {
	s := sample{at: time.Now(), ownCPU: processCPU(), traffic: r.connections.totals()}
	for _, cmd := range r.gateways {
		s.gatewayCPU = append(s.gatewayCPU, usage.CPU(cmd.Process.Pid))
	}
	return s
}

// reportUsage reports what was used between two samples, each second.
func (r *processRun) reportUsage(event string, before, after sample) {
	seconds := after.at.Sub(before.at).Seconds()
	var sent, received float64 // by the control nodes
	for i, cmd := range r.gateways {
		role := r.role(i)
		from, to := before.traffic[gatewayIP(i)], after.traffic[gatewayIP(i)]
		sent += to.sent - from.sent
		received += to.received - from.received
		cpu := after.gatewayCPU[i] - before.gatewayCPU[i]
		r.row(event, role, "sent to ingresses", "B/s", (to.received-from.received)/seconds)
		r.row(event, role, "received from ingresses", "B/s", (to.sent-from.sent)/seconds)
		r.row(event, role, "processor", "% of a core", cpu.Seconds()/seconds*100)
		r.row(event, role, "connections of ingresses", "connections", float64(to.open))
		r.row(event, role, "dials by ingresses", "1/s", (to.dials-from.dials)/seconds)
		r.row(event, role, "memory, resident", "MB", usage.Resident(cmd.Process.Pid))
		r.row(event, role, "memory, at the most so far", "MB", usage.Peak(cmd.Process.Pid))
	}
	n := float64(r.ControlNodes)
	r.row(event, RoleIngress, "sent", "B/s", sent/n/seconds)
	r.row(event, RoleIngress, "received", "B/s", received/n/seconds)
	r.row(event, RoleIngress, "processor, with the platform's part", "% of a core",
		(after.ownCPU-before.ownCPU).Seconds()/n/seconds*100)
}
