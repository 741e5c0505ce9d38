// Package simulation simulates a cluster in memory, in virtual time: machines run the control plane of the
// server on simulated links, disks and clocks, in which tests inject faults. It checks invariants throughout:
// the applied configuration's version never decreases within an incarnation, a version has one content, and
// reads return what was acknowledged. It runs thousands of times faster than real time, and is deterministic
// for a seed. It is not safe for concurrent use.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// MaxStaleInForce is the maximum time after an acknowledgement at which a machine may still apply an older
// configuration: a response may carry state that is MaxStaleness old, and is accepted until ResponseTimeout
// after the request.
const MaxStaleInForce = replica.MaxStaleness + client.ResponseTimeout

// Options configure a cluster.
type Options struct {
	Zones           int
	ReplicasPerZone int // machines with a disk in each zone
	GatewaysPerZone int // machines without a disk in each zone
	SurviveMachines int // machines with a disk that may be lost at the same time
	// SurviveZones and SurviveRegions are the zones and regions that may be lost at the same time. A region
	// consists of ZonesPerRegion consecutive zones, one if that is 0.
	SurviveZones, SurviveRegions, ZonesPerRegion int

	Seed     uint64
	Latency  time.Duration     // maximum one-way delay, the minimum is a third of it; 0 means 2 ms
	SyncTime time.Duration     // of each save to a disk; 0 means 5 ms
	Trace    func(line string) // receives the nodes' log events; may be nil
	// Network returns the deliveries of a message between two machines. If it is nil, each message is delivered
	// once.
	Network  func(from, to string, m *message.Message) []Delivery
	Probe    Probe                       // may be nil
	ConfigOf func(version uint64) []byte // the configurations that PutVersion sends; nil means short ones
}

// Probe measures the work of machines.
type Probe interface {
	// Sent is called for each message that a machine sends, with the addresses and the message's encoded size in
	// bytes, without its frame.
	Sent(from, to string, m *message.Message, size int)
	// Run calls do exactly once and accounts its work to the machine at addr. Calls nest: a message is decoded
	// for the receiver during a call for the sender.
	Run(addr string, do func())
}

// Cluster is a simulated cluster: its machines, the network between them and its operators.
type Cluster struct {
	Options
	Now      time.Duration
	Machines []*Machine
	Servers  []message.Endpoint // the platform's list of servers
	Messages int                // sent so far, including lost ones
	Bytes    int                // of Messages, without their frames
	Calls    []*Call            // of operators, in the order in which they started
	// ReadTime is how long a read of the platform's list takes. While PlatformDown is set, no read starts.
	ReadTime     time.Duration
	PlatformDown bool
	// Observe is called with each message that a machine sends, before it may be lost. It may be nil.
	Observe func(from *Machine, to string, m *message.Message)
	// Tamper modifies a message before a machine receives it, and Spoil modifies a state that was saved to a
	// disk. Tests use them to inject defects and to check that these are detected. Both may be nil.
	Tamper func(to *Machine, m *message.Message)
	Spoil  func(m *Machine, r *replica.PersistentState)

	rng           *rand.Rand
	events        eventQueue
	seq           int
	partitions    map[[2]string]bool
	slowLinks     map[[2]string]time.Duration
	refusing      map[string]bool // addresses behind a firewall that refuses connections
	seeds         []string
	acknowledged  uint64 // the highest version that was acknowledged
	violations    []string
	configs       map[uint64]string // the content of each applied version
	memberships   membershipHistory
	addedMachines int    // machines added after the first start
	incarnations  uint64 // the number of processes started so far

	// Defects that tests inject. With epochAtReadEnd, a list of servers is published under the epoch at the end
	// of its read instead of at the start. With answersLocally, a machine answers operators' calls from the
	// configuration that it has applied.
	epochAtReadEnd, answersLocally bool
	// Processes tolerate losses of machines only, and ignore zones and regions.
	ignoresFailureDomains bool
	// Disks report a save as successful before it is synced.
	acknowledgesUnsyncedSaves bool
}

// New returns a cluster. None of its machines is started.
func New(o Options) *Cluster {
	c := &Cluster{
		Options:     o,
		Now:         time.Hour,
		rng:         rand.New(rand.NewPCG(o.Seed, 1)),
		partitions:  map[[2]string]bool{},
		slowLinks:   map[[2]string]time.Duration{},
		refusing:    map[string]bool{},
		configs:     map[uint64]string{},
		memberships: newMembershipHistory(),
	}
	if c.Latency == 0 {
		c.Latency = 2 * time.Millisecond
	}
	if c.SyncTime == 0 {
		c.SyncTime = 5 * time.Millisecond
	}
	for z := range o.Zones {
		for i := range o.ReplicasPerZone + o.GatewaysPerZone {
			m := &Machine{Name: fmt.Sprintf("z%d-%d", z+1, i+1), hasDisk: i < o.ReplicasPerZone, cluster: c,
				syncTime: c.SyncTime,
				node:     message.Node{Addr: fmt.Sprintf("10.%d.0.%d:7", z+1, i+1), Zone: fmt.Sprintf("z%d", z+1)}}
			c.Machines = append(c.Machines, m)
			if i == 0 && len(c.seeds) < 3 {
				c.seeds = append(c.seeds, m.node.Addr)
			}
		}
	}
	slices.Sort(c.seeds)
	return c
}

// tolerance returns the losses that every process is configured to tolerate.
func (c *Cluster) tolerance() replica.FaultTolerance {
	if c.ignoresFailureDomains {
		return replica.FaultTolerance{Machines: c.SurviveMachines}
	}
	t := replica.FaultTolerance{Machines: c.SurviveMachines, Zones: c.SurviveZones, Regions: c.SurviveRegions,
		RegionOfZone: map[string]string{}}
	for z := range c.Zones {
		t.RegionOfZone[fmt.Sprintf("z%d", z+1)] = fmt.Sprintf("r%d", z/max(1, c.ZonesPerRegion)+1)
	}
	return t
}

// Violations returns descriptions of the invariant violations so far.
func (c *Cluster) Violations() []string { return c.violations }

func (c *Cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.Now)+fmt.Sprintf(format, args...))
}

// Machine returns the machine with a name, nil if there is none.
func (c *Cluster) Machine(name string) *Machine {
	for _, m := range c.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// At returns the machine with an address, nil if there is none.
func (c *Cluster) At(addr string) *Machine {
	for _, m := range c.Machines {
		if m.node.Addr == addr {
			return m
		}
	}
	return nil
}

// Replicas returns the machines with a disk. The caller may modify the slice.
func (c *Cluster) Replicas() []*Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(m *Machine) bool { return !m.hasDisk })
}

// StartAll schedules the start of every machine, each at a random time within the next 200 ms.
func (c *Cluster) StartAll() {
	for _, m := range c.Machines {
		c.schedule(time.Duration(c.rng.IntN(200))*time.Millisecond, m.Start)
	}
}
