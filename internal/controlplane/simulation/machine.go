package simulation

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/ratelimit"
)

// Machine is one machine of the cluster.
type Machine struct {
	Name    string
	node    message.Node
	hasDisk bool
	removed bool // for good
	dark    bool // its process ended by a loss of power: nothing tells the others

	cluster       *Cluster
	controlNode   *node.Node
	starts        int
	incarnation   uint64 // of the present process, among all processes
	up            bool
	frozen        bool
	delayed       []func() // what came while it was frozen
	stored        replica.PersistentState
	startedBefore bool // it was started before
	diskBusyUntil time.Duration
	syncTime      time.Duration
	diskFull      bool
	diskHangs     bool
	hangingSaves  []func() // saves, while the disk hangs
	tickID        int

	version   uint64
	config    string
	endpoints []message.Endpoint
	nodes     int
	epoch     uint64 // of the view that it goes by
}

// Start starts a machine's process.
func (m *Machine) Start() {
	if m.up || m.removed {
		return
	}
	m.up, m.frozen, m.dark = true, false, false
	m.starts++
	m.version, m.config, m.endpoints, m.nodes, m.epoch = 0, "", nil, 0, 0
	m.diskBusyUntil = 0
	m.cluster.incarnations++
	m.incarnation = 1<<61 + m.cluster.incarnations // as long as the program's numbers are
	o := node.Options{Self: m.node, Seeds: m.cluster.seeds, Tolerance: m.cluster.tolerance(),
		FirstStart:  !m.startedBefore,
		Incarnation: m.incarnation, Actions: &actions{m, m.starts},
		Limits: func(string) ratelimit.Limits { return ratelimit.Limits{} }}
	m.startedBefore = true
	if m.hasDisk {
		r := m.stored
		o.Saved = &r
	}
	m.controlNode = node.New(m.cluster.Now, o)
	m.scheduleTick(0)
	m.scheduleDiscovery(m.starts)
}

// Kill ends a machine's process. What is on its disk stays. The machine resets the connections of that
// process, and refuses new ones.
func (m *Machine) Kill() {
	if m.up {
		m.cluster.resetConnections(m)
	}
	m.up, m.controlNode, m.delayed = false, nil, nil
}

// PowerOff ends a machine's process without a word to anybody. What is on its disk stays.
func (m *Machine) PowerOff() {
	m.up, m.dark, m.controlNode, m.delayed = false, true, nil, nil
}

// WipeDisk takes what is on the disk of a machine that is down.
func (m *Machine) WipeDisk() { m.stored = replica.PersistentState{} }

// Freeze has a machine stand still; Thaw lets it go on, with what came meanwhile.
func (m *Machine) Freeze() { m.frozen = true }

// Thaw lets a frozen machine go on.
func (m *Machine) Thaw() {
	m.frozen = false
	held := m.delayed
	m.delayed = nil
	for _, f := range held {
		f()
	}
	m.scheduleTick(0)
}

// SetSyncTime sets how long a disk takes; FillDisk has it refuse writes.
func (m *Machine) SetSyncTime(d time.Duration) { m.syncTime = d }

// FillDisk has a disk refuse writes, or take them again.
func (m *Machine) FillDisk(full bool) { m.diskFull = full }

// HangDisk has a disk do nothing of what it is asked to, or go on with it.
func (m *Machine) HangDisk(hangs bool) {
	m.diskHangs = hangs
	for len(m.hangingSaves) > 0 && !hangs {
		m.hangingSaves[0]()
		m.hangingSaves = m.hangingSaves[1:]
	}
}

// Replica returns the machine's replica; nil without a disk, or while it is down.
func (m *Machine) Replica() *replica.Replica {
	if !m.up {
		return nil
	}
	return m.controlNode.Replica()
}

// Up reports whether a machine's process runs.
func (m *Machine) Up() bool { return m.up }

// Addr is the machine's address.
func (m *Machine) Addr() string { return m.node.Addr }

// Version is that of the configuration in force.
func (m *Machine) Version() uint64 { return m.version }

// Endpoints is the list of servers that the machine goes by.
func (m *Machine) Endpoints() []message.Endpoint { return m.endpoints }

// Nodes is how many machines hold leases, as far as this one knows.
func (m *Machine) Nodes() int { return m.nodes }

// act does something on the machine in one of its starts, once it is not frozen.
func (m *Machine) act(start int, f func()) {
	switch {
	case !m.up || m.starts != start:
	case m.frozen:
		m.delayed = append(m.delayed, func() { m.act(start, f) })
	default:
		m.cluster.run(m.node.Addr, f)
		if m.up && m.starts == start {
			m.scheduleTick(0)
		}
	}
}

// run has the machine at an address do something, under the eyes of the probe.
func (c *Cluster) run(addr string, do func()) {
	if c.Probe == nil {
		do()
		return
	}
	c.Probe.Run(addr, do)
}

// scheduleTick has the machine look after what is due, at once and then when it wants.
func (m *Machine) scheduleTick(after time.Duration) {
	m.tickID++
	tick, start := m.tickID, m.starts
	m.cluster.schedule(after, func() {
		if !m.up || m.starts != start || m.tickID != tick || m.frozen {
			return
		}
		var next time.Duration
		m.cluster.run(m.node.Addr, func() { next = m.controlNode.Tick(m.cluster.Now) })
		if m.tickID == tick {
			m.scheduleTick(max(next-m.cluster.Now, time.Millisecond))
		}
	})
}

// scheduleDiscovery reads the platform's list whenever the machine holds that role.
func (m *Machine) scheduleDiscovery(start int) {
	m.cluster.schedule(500*time.Millisecond, func() {
		if !m.up || m.starts != start {
			return
		}
		m.act(start, func() {
			if epoch, ok := m.controlNode.HoldsRole(m.cluster.Now, replica.EndpointReader); ok &&
				!m.cluster.PlatformDown {
				list := slices.Clone(m.cluster.Servers)
				m.cluster.schedule(m.cluster.ReadTime, func() {
					m.act(start, func() {
						if m.cluster.lateToken {
							epoch, _ = m.controlNode.HoldsRole(m.cluster.Now, replica.EndpointReader)
						}
						m.controlNode.SetEndpoints(m.cluster.Now, epoch, list)
					})
				})
			}
		})
		m.scheduleDiscovery(start)
	})
}
