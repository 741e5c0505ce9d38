package scale

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/simulation"
)

// The roles in a cluster. A figure of one is the mean of the machines that have it.
const (
	RoleHead    = "head"
	RoleMiddle  = "middle"
	RoleTail    = "tail"
	RoleIngress = "ingress"
)

// While a region is cut off, its machines have roles of their own.
const (
	RoleIngressCutOff = "ingress, cut off"
	RoleCoreCutOff    = "core, cut off"
)

var roles = []string{RoleHead, RoleMiddle, RoleTail, RoleIngress}

// roleUsage is what all machines of a role have used.
type roleUsage struct {
	machines                       float64
	sent, received                 map[string]float64 // bytes by cause
	messagesSent, messagesReceived float64
	cpu                            time.Duration
}

// usageByRole is what machines have used.
type usageByRole map[string]*roleUsage

// of returns what a role has used.
func (u usageByRole) of(role string) *roleUsage {
	if u[role] == nil {
		u[role] = &roleUsage{sent: map[string]float64{}, received: map[string]float64{}}
	}
	return u[role]
}

// probe measures what the machines of a simulated cluster use.
type probe struct {
	usageByRole
	roleOf map[string]string // by address
	// uncounted is the time of the work under way that is not its own: what the probe and other work in its
	// midst used.
	uncounted time.Duration
}

var _ simulation.Probe = (*probe)(nil)

// reset begins to count anew.
func (p *probe) reset() {
	p.usageByRole = usageByRole{}
	for _, role := range p.roleOf {
		p.of(role).machines++
	}
}

// assignRoles gives each machine its role, as the chain now is, and begins to count anew.
func (p *probe) assignRoles(c *simulation.Cluster) {
	chain := c.Chain()
	p.roleOf = map[string]string{}
	for _, m := range c.Machines {
		p.roleOf[m.Addr()] = roleAt(slices.Index(chain, m.Addr()), len(chain))
	}
	p.reset()
}

// roleAt is the role of a machine at a position of the chain; -1: in none.
func roleAt(position, chainLength int) string {
	switch position {
	case -1:
		return RoleIngress
	case 0:
		return RoleHead
	case chainLength - 1:
		return RoleTail
	}
	return RoleMiddle
}

// Sent counts a message.
func (p *probe) Sent(from, to string, m *message.Message, size int) {
	startedAt := threadCPU()
	sender, receiver := p.of(p.roleOf[from]), p.of(p.roleOf[to])
	for cause, n := range bytesByCause(m, size) {
		sender.sent[cause] += float64(n)
		receiver.received[cause] += float64(n)
	}
	sender.messagesSent++
	receiver.messagesReceived++
	p.uncounted += threadCPU() - startedAt
}

// Run times a piece of work, which may be done in the midst of another's.
func (p *probe) Run(addr string, do func()) {
	startedAt, outer := threadCPU(), p.uncounted
	p.uncounted = 0
	do()
	took := threadCPU() - startedAt
	p.of(p.roleOf[addr]).cpu += took - p.uncounted
	p.uncounted = outer + took
}

// threadCPU is the processor time that this thread has used: what others do on the machine is not in it.
func threadCPU() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// processCPU is the processor time that this process has used.
func processCPU() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap is what is in use, in bytes, once all garbage is gone.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // pools give up what they hold at the second
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
