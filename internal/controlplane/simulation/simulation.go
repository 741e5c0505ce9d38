// Package simulation plays a cluster in memory, in virtual time: many machines with the control plane of the
// true program, and links, disks and clocks of its own that fail when told to. It checks the invariants all
// the while: a configuration in force never goes back within an incarnation, one version means one content,
// and what is acknowledged is what is read. It runs thousands of times faster than real time, and repeats by
// its seed.
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

// MaxStaleInForce is how long after an acknowledgement an older configuration may come into force at most:
// what a machine tells is as old as it may be, and is taken for as long as its answer is awaited.
const MaxStaleInForce = replica.MaxStaleness + client.ResponseTimeout

// Options say what a cluster is made of.
type Options struct {
	Zones           int
	ReplicasPerZone int // machines with a disk in each zone
	GatewaysPerZone int // and without
	SurviveMachines int // machines with a disk that may be lost at once
	// SurviveZones and SurviveRegions are as SurviveMachines; a region is so many zones in a row, one where that
	// is 0.
	SurviveZones, SurviveRegions, ZonesPerRegion int

	Seed     uint64
	Latency  time.Duration // one way, at most; at least a third of it
	SyncTime time.Duration // of a disk
	Trace    func(line string)
	// Network says what becomes of a message between two machines; nil: it is delivered once.
	Network  func(from, to string, m *message.Message) []Delivery
	Probe    Probe                       // may be nil
	ConfigOf func(version uint64) []byte // of the configurations that are sent; nil: short ones
}

// Probe measures what machines do.
type Probe interface {
	// Sent is told of each message from one machine's address to another, and of its bytes without the replica.
	Sent(from, to string, m *message.Message, size int)
	// Run runs a piece of the work of the machine at an address: it calls do, once. What comes is decoded in the
	// midst of the sender's work, and is the receiver's.
	Run(addr string, do func())
}

// Cluster is all machines, and what is between them.
type Cluster struct {
	Options
	Now      time.Duration
	Machines []*Machine
	Servers  []message.Endpoint // as the platform lists them
	Messages int                // sent so far, those that got lost among them
	Bytes    int                // of these, without their frames
	Calls    []*Call            // of operators, in the order in which they began
	// ReadTime is how long the platform takes for its list; PlatformDown: for ever.
	ReadTime     time.Duration
	PlatformDown bool
	// Observe is called with each message that a machine sends, before it may get lost; it may be nil.
	Observe func(from *Machine, to string, m *message.Message)
	// Tamper changes what a machine is about to take, and Spoil what a disk is about to hold: a test that plays
	// a defect shows what finds it. Both may be nil.
	Tamper func(to *Machine, m *message.Message)
	Spoil  func(m *Machine, r *replica.PersistentState)

	rng           *rand.Rand
	events        eventQueue
	seq           int
	partitions    map[[2]string]bool
	slowLinks     map[[2]string]time.Duration
	refusing      map[string]bool // by address: a firewall refuses what others send there
	seeds         []string
	acknowledged  uint64
	violations    []string
	configs       map[uint64]string // by version: one content each
	memberships   membershipHistory
	addedMachines int    // machines that came after the first start
	incarnations  uint64 // of all processes so far

	// Defects that a test plays: a list is told under the epoch at its end, and a machine answers calls out of
	// what it goes by itself.
	lateToken, answersAlone bool
	// And one whose processes count machines alone, and know nothing of zones and regions.
	ignoresDomains bool
	// And one whose disks tell a save as done before it is synced.
	unsyncedSaves bool
}

// New returns a cluster whose machines are all off.
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

// tolerance is what every process is told of what may be lost at once.
func (c *Cluster) tolerance() replica.FaultTolerance {
	if c.ignoresDomains {
		return replica.FaultTolerance{Machines: c.SurviveMachines}
	}
	t := replica.FaultTolerance{Machines: c.SurviveMachines, Zones: c.SurviveZones, Regions: c.SurviveRegions,
		RegionOfZone: map[string]string{}}
	for z := range c.Zones {
		t.RegionOfZone[fmt.Sprintf("z%d", z+1)] = fmt.Sprintf("r%d", z/max(1, c.ZonesPerRegion)+1)
	}
	return t
}

// Violations returns the invariants that were violated so far.
func (c *Cluster) Violations() []string { return c.violations }

func (c *Cluster) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.Now)+fmt.Sprintf(format, args...))
}

// Machine returns a machine.
func (c *Cluster) Machine(name string) *Machine {
	for _, m := range c.Machines {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// At returns the machine of an address.
func (c *Cluster) At(addr string) *Machine {
	for _, m := range c.Machines {
		if m.node.Addr == addr {
			return m
		}
	}
	return nil
}

// Replicas returns the machines with a disk.
func (c *Cluster) Replicas() []*Machine {
	return slices.DeleteFunc(slices.Clone(c.Machines), func(m *Machine) bool { return !m.hasDisk })
}

// StartAll starts every machine, all but at once.
func (c *Cluster) StartAll() {
	for _, m := range c.Machines {
		c.schedule(time.Duration(c.rng.IntN(200))*time.Millisecond, m.Start)
	}
}
