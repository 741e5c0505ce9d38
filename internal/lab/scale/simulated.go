package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"dunespoke/internal/controlplane/simulation"
)

// Simulated says which clusters are simulated in virtual time.
type Simulated struct {
	Core     int   // machines with a disk, each in a zone of its own
	Machines []int // sizes: machines in all, rounded so that zones are alike
	Dataset  Dataset
	By       string // what sizes count, if not machines: servers
	Seed     uint64
	Memory   float64 // MB that the largest size may be expected to take; 0: any
}

const (
	// observationTime is how long a cluster is observed at rest, and after an event. A lease lives for three
	// seconds, so that a restart is over by then.
	observationTime = 8 * time.Second
	// settleTime is how long a cluster is left alone before it is observed: leases have run out by then.
	settleTime = 4 * time.Second

	acknowledgeLimit = 20 * time.Second
	convergeLimit    = 40 * time.Second
)

var errNotAcknowledged = errors.New("the change was not acknowledged")

// expectedMemory is about what the largest cluster takes, in MB: each machine keeps a configuration and a
// list of its own, and as much again is garbage for a while.
func (s Simulated) expectedMemory() float64 {
	d := s.Dataset
	perMachine := 0.2 + 4*float64(d.Routes*250+d.Tenants*160+d.Servers*110)/1e6
	return perMachine * float64(slices.Max(s.Machines))
}

// Run simulates all sizes. Each figure is reported as soon as it is known.
func (s Simulated) Run(ctx context.Context, report func(Row)) error {
	if need := s.expectedMemory(); s.Memory > 0 && need > s.Memory {
		return fmt.Errorf("%w: some %.0f MB", errMemory, need)
	}
	runtime.LockOSThread() // processor time is measured for this thread
	defer runtime.UnlockOSThread()
	for _, machines := range s.Machines {
		if err := s.newRun(machines, report).measure(ctx); err != nil {
			return fmt.Errorf("%d machines: %w", machines, err)
		}
		runtime.GC()
	}
	return nil
}

// simulatedRun is one size of Simulated.
type simulatedRun struct {
	Simulated
	cluster *simulation.Cluster
	probe   *probe
	report  func(Row)
	by      string
	size    float64
	version uint64 // of the newest configuration
	rest    usageByRole
}

func (s Simulated) newRun(machines int, report func(Row)) *simulatedRun {
	perZone := max(1, (machines+s.Core/2)/s.Core)
	s.Dataset.Zones = s.Core
	r := &simulatedRun{Simulated: s, probe: &probe{}, report: report}
	r.probe.reset()
	r.cluster = simulation.New(simulation.Options{Zones: s.Core, ReplicasPerZone: 1,
		GatewaysPerZone: perZone - 1, SurviveMachines: s.Core / 2, Seed: s.Seed, ConfigOf: s.Dataset.Config})
	r.size, r.by = float64(len(r.cluster.Machines)), "machines"
	if s.By == "servers" {
		r.size, r.by = float64(s.Dataset.Servers), fmt.Sprintf("servers at %d machines", len(r.cluster.Machines))
	}
	return r
}

func (r *simulatedRun) row(event, role, what, cause, unit string, value float64) {
	r.report(Row{PartSimulation, event, role, what, cause, unit, r.by, r.size, value})
}

// measure measures rest, and then each event from rest.
func (r *simulatedRun) measure(ctx context.Context) error {
	if err := r.start(); err != nil {
		return err
	}
	r.measureRest()
	events := []struct {
		name string
		do   func() error
	}{
		{"route", r.changeRoute},
		{"restart", r.restartIngress},
		{"list", r.changeServers},
		{"join", r.restartAll},
	}
	for _, event := range events {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := r.measureEvent(event.name, event.do); err != nil {
			return fmt.Errorf("%s: %w", event.name, err)
		}
		r.cluster.Run(settleTime)
	}
	if err := r.measurePartition(); err != nil {
		return fmt.Errorf("cut: %w", err)
	}
	if violations := r.cluster.Violations(); len(violations) > 0 {
		return fmt.Errorf("a promise was broken: %s", violations[0])
	}
	return nil
}

// start starts the cluster, and gives it a list and a configuration.
func (r *simulatedRun) start() error {
	c := r.cluster
	before := liveHeap()
	c.StartAll()
	if !c.Until(func() bool { return len(c.Chain()) == r.Core }, 20*time.Second) {
		return fmt.Errorf("no first start: the chain is %v", c.Chain())
	}
	c.Servers = r.Dataset.List(0)
	r.version = 1
	if _, ok := c.PutUntilAcknowledged(c.Machines[0], r.version, acknowledgeLimit); !ok {
		return errNotAcknowledged
	}
	if !c.Until(r.converged, 30*time.Second) {
		return errors.New("not all know all")
	}
	c.Run(settleTime)
	r.row("rest", "all", "memory", "", "MB/machine", (liveHeap()-before)/float64(len(c.Machines))/1e6)
	c.Probe = r.probe
	return nil
}

// converged reports whether each machine knows the newest of everything.
func (r *simulatedRun) converged() bool {
	c := r.cluster
	return c.Converged(r.version) && !slices.ContainsFunc(c.Machines, func(m *simulation.Machine) bool {
		return m.Nodes() != len(c.Machines) || len(m.Endpoints()) != len(c.Servers) ||
			m.Endpoints()[0].ID != c.Servers[0].ID
	})
}

// measureRest reports what the cluster uses while nothing happens.
func (r *simulatedRun) measureRest() {
	r.probe.assignRoles(r.cluster)
	r.cluster.Run(observationTime)
	r.rest = r.probe.usageByRole
	seconds := observationTime.Seconds()
	for _, role := range roles {
		used := r.rest.of(role)
		n := used.machines
		r.row("rest", role, "sent", "", "messages/s", used.messagesSent/n/seconds)
		r.row("rest", role, "received", "", "messages/s", used.messagesReceived/n/seconds)
		r.row("rest", role, "processor", "", "% of a core", used.cpu.Seconds()/n/seconds*100)
		forEachCause(used.sent, func(cause string, bytes float64) {
			r.row("rest", role, "sent", cause, "B/s", bytes/n/seconds)
		})
		forEachCause(used.received, func(cause string, bytes float64) {
			r.row("rest", role, "received", cause, "B/s", bytes/n/seconds)
		})
	}
}

// measureEvent reports what an event costs beyond rest, until all know of it and for observationTime at
// least.
func (r *simulatedRun) measureEvent(event string, do func() error) error {
	c := r.cluster
	r.probe.assignRoles(c)
	startedAt := c.Now
	if err := do(); err != nil {
		return err
	}
	if !c.Until(r.converged, convergeLimit) {
		return errors.New("not all know of it")
	}
	r.row(event, "all", "until all know", "", "s", (c.Now - startedAt).Seconds())
	c.Run(max(0, observationTime-(c.Now-startedAt)))
	atRest := (c.Now - startedAt).Seconds() / observationTime.Seconds() // times what rest used
	for _, role := range roles {
		r.reportOverRest(event, role, atRest)
	}
	return nil
}

// reportOverRest reports what a role used beyond so many times of what it used at rest.
func (r *simulatedRun) reportOverRest(event, role string, atRest float64) {
	used, rest := r.probe.of(role), r.rest.of(role)
	n := used.machines
	r.row(event, role, "processor", "", "ms", (used.cpu.Seconds()-rest.cpu.Seconds()*atRest)/n*1e3)
	r.row(event, role, "sent", "", "messages", (used.messagesSent-rest.messagesSent*atRest)/n)
	bytes := func(what string, used, rest map[string]float64) {
		forEachCause(used, func(cause string, bytes float64) {
			if over := (bytes - rest[cause]*atRest) / n; over >= 1 {
				r.row(event, role, what, cause, "B", over)
			}
		})
	}
	bytes("sent", used.sent, rest.sent)
	bytes("received", used.received, rest.received)
}

// lastIngress returns a machine that is not of the core.
func (r *simulatedRun) lastIngress() *simulation.Machine {
	return r.cluster.Machines[len(r.cluster.Machines)-1]
}

// put sends the next configuration to a machine, until it is acknowledged.
func (r *simulatedRun) put(to *simulation.Machine) (took time.Duration, err error) {
	r.version++
	took, ok := r.cluster.PutUntilAcknowledged(to, r.version, acknowledgeLimit)
	if !ok {
		return 0, errNotAcknowledged
	}
	return took, nil
}

func (r *simulatedRun) changeRoute() error {
	_, err := r.put(r.lastIngress())
	return err
}

func (r *simulatedRun) restartIngress() error {
	ingress := r.lastIngress()
	ingress.Kill()
	r.cluster.Run(settleTime) // until its lease has run out
	ingress.Start()
	return nil
}

func (r *simulatedRun) changeServers() error {
	r.cluster.Servers = r.Dataset.List(1)
	return nil
}

func (r *simulatedRun) restartAll() error {
	c := r.cluster
	for _, m := range c.Machines {
		m.Kill()
	}
	c.Run(200 * time.Millisecond)
	c.StartAll()
	c.Run(200 * time.Millisecond) // by which all have begun
	return nil
}

// measurePartition cuts off a region with the lesser part of the core in it, changes the configuration
// meanwhile, and heals the partition.
func (r *simulatedRun) measurePartition() error {
	c := r.cluster
	firstCutOff := (r.Core - r.Core/3) * (len(c.Machines) / r.Core)
	connected, cutOff := c.Machines[:firstCutOff], c.Machines[firstCutOff:]
	for _, a := range connected {
		for _, b := range cutOff {
			c.Cut(a, b, true)
		}
	}
	c.Run(5 * time.Second) // until the others have a view without it, and leases have run out
	r.measureCutOff(cutOff)
	took, err := r.put(connected[0])
	if err != nil {
		return err
	}
	r.row("cut", "all", "a change meanwhile, acknowledged", "", "s", took.Seconds())
	c.Run(observationTime)
	r.row("cut", RoleIngress, "that know of it", "", "part", r.upToDatePart(connected))
	r.row("cut", RoleIngressCutOff, "that know of it", "", "part", r.upToDatePart(cutOff))
	c.HealAll()
	healedAt := c.Now
	if !c.Until(r.converged, convergeLimit) {
		return errors.New("not all know all after it")
	}
	r.row("cut", "all", "until all know, after it", "", "s", (c.Now - healedAt).Seconds())
	return nil
}

// measureCutOff reports what machines use while some are cut off.
func (r *simulatedRun) measureCutOff(cutOff []*simulation.Machine) {
	r.probe.assignRoles(r.cluster)
	for _, m := range cutOff {
		role := RoleIngressCutOff
		if m.Replica() != nil {
			role = RoleCoreCutOff
		}
		r.probe.roleOf[m.Addr()] = role
	}
	r.probe.reset()
	r.cluster.Run(observationTime)
	seconds := observationTime.Seconds()
	for _, role := range []string{RoleIngressCutOff, RoleCoreCutOff, RoleIngress} {
		used := r.probe.of(role)
		r.row("cut", role, "sent", "", "messages/s", used.messagesSent/used.machines/seconds)
		r.row("cut", role, "processor", "", "% of a core", used.cpu.Seconds()/used.machines/seconds*100)
	}
}

// upToDatePart returns which part of some machines goes by the newest configuration.
func (r *simulatedRun) upToDatePart(machines []*simulation.Machine) float64 {
	upToDate := 0
	for _, m := range machines {
		if m.Version() == r.version {
			upToDate++
		}
	}
	return float64(upToDate) / float64(len(machines))
}
