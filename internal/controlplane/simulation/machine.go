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
	Name       string
	node       message.Node
	hasDisk    bool
	removed    bool // permanently; it cannot be started again
	poweredOff bool // its process ended by a power loss: connections are neither reset nor refused

	cluster         *Cluster
	controlNode     *node.Node
	starts          int
	incarnation     uint64 // of the current process, unique in the cluster
	up              bool
	frozen          bool
	deferredActions []func() // run when the machine is thawed
	stored          replica.PersistentState
	startedBefore   bool
	diskBusyUntil   time.Duration
	syncTime        time.Duration
	diskFull        bool
	diskHangs       bool
	hangingSaves    []func() // completions of saves, run in order when the disk works again
	tickID          int

	version   uint64
	config    string
	endpoints []message.Endpoint
	nodes     int
	epoch     uint64 // of the newest view that the node has reported
}

// Start starts the machine's process. It does nothing if the process runs or the machine is removed.
func (m *Machine) Start() {
	if m.up || m.removed {
		return
	}
	m.up, m.frozen, m.poweredOff = true, false, false
	m.starts++
	m.version, m.config, m.endpoints, m.nodes, m.epoch = 0, "", nil, 0, 0
	m.diskBusyUntil = 0
	m.cluster.incarnations++
	m.incarnation = 1<<61 + m.cluster.incarnations // with the same encoded length as incarnations of the server
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

// Kill ends the machine's process. The disk keeps its contents. The machine resets the connections of the
// process and refuses new ones.
func (m *Machine) Kill() {
	if m.up {
		m.cluster.resetConnections(m)
	}
	m.up, m.controlNode, m.deferredActions = false, nil, nil
}

// PowerOff ends the machine's process without resetting its connections. The disk keeps its contents. New
// connections are not refused; they get no response.
func (m *Machine) PowerOff() {
	m.up, m.poweredOff, m.controlNode, m.deferredActions = false, true, nil, nil
}

// WipeDisk erases the disk. The machine must be down.
func (m *Machine) WipeDisk() { m.stored = replica.PersistentState{} }

// Freeze suspends the machine's process. Messages and timers that are due meanwhile are processed at Thaw.
func (m *Machine) Freeze() { m.frozen = true }

// Thaw resumes a frozen machine and first processes what was deferred, in order.
func (m *Machine) Thaw() {
	m.frozen = false
	deferred := m.deferredActions
	m.deferredActions = nil
	for _, f := range deferred {
		f()
	}
	m.scheduleTick(0)
}

// SetSyncTime sets how long the disk takes for each save.
func (m *Machine) SetSyncTime(d time.Duration) { m.syncTime = d }

// FillDisk sets whether the disk is full. Saves to a full disk fail.
func (m *Machine) FillDisk(full bool) { m.diskFull = full }

// HangDisk sets whether the disk hangs. Saves to a disk that hangs complete when it no longer does, in the
// order in which they would have completed.
func (m *Machine) HangDisk(hangs bool) {
	m.diskHangs = hangs
	for len(m.hangingSaves) > 0 && !hangs {
		m.hangingSaves[0]()
		m.hangingSaves = m.hangingSaves[1:]
	}
}

// Replica returns the machine's replica. It is nil if the machine has no disk or is down.
func (m *Machine) Replica() *replica.Replica {
	if !m.up {
		return nil
	}
	return m.controlNode.Replica()
}

// Up reports whether the machine's process runs, frozen or not.
func (m *Machine) Up() bool { return m.up }

// Addr returns the machine's address.
func (m *Machine) Addr() string { return m.node.Addr }

// Version returns the version of the configuration that the machine applied last, 0 before the first.
func (m *Machine) Version() uint64 { return m.version }

// Endpoints returns the list of servers that the machine received last.
func (m *Machine) Endpoints() []message.Endpoint { return m.endpoints }

// Nodes returns the number of machines with a membership lease, in the list that this machine received last.
func (m *Machine) Nodes() int { return m.nodes }

// execute runs f in the process with the given start number, or does nothing if that process has ended. While
// the machine is frozen, f is deferred until Thaw.
func (m *Machine) execute(start int, f func()) {
	switch {
	case !m.up || m.starts != start:
	case m.frozen:
		m.deferredActions = append(m.deferredActions, func() { m.execute(start, f) })
	default:
		m.cluster.runMeasured(m.node.Addr, f)
		if m.up && m.starts == start {
			m.scheduleTick(0)
		}
	}
}

// runMeasured runs do for the machine at an address, within Probe.Run if there is a probe.
func (c *Cluster) runMeasured(addr string, do func()) {
	if c.Probe == nil {
		do()
		return
	}
	c.Probe.Run(addr, do)
}

// scheduleTick calls the node's Tick after a delay, and then each time at the time that the previous Tick
// returned, but at least 1 ms later. It replaces a tick that is already scheduled.
func (m *Machine) scheduleTick(after time.Duration) {
	m.tickID++
	tick, start := m.tickID, m.starts
	m.cluster.schedule(after, func() {
		if !m.up || m.starts != start || m.tickID != tick || m.frozen {
			return
		}
		var next time.Duration
		m.cluster.runMeasured(m.node.Addr, func() { next = m.controlNode.Tick(m.cluster.Now) })
		if m.tickID == tick {
			m.scheduleTick(max(next-m.cluster.Now, time.Millisecond))
		}
	})
}

// scheduleDiscovery reads the platform's list of servers every 500 ms while the machine has the role of the
// endpoint reader.
func (m *Machine) scheduleDiscovery(start int) {
	m.cluster.schedule(500*time.Millisecond, func() {
		if !m.up || m.starts != start {
			return
		}
		m.execute(start, func() {
			if epoch, ok := m.controlNode.HoldsRole(m.cluster.Now, replica.EndpointReader); ok &&
				!m.cluster.PlatformDown {
				list := slices.Clone(m.cluster.Servers)
				m.cluster.schedule(m.cluster.ReadTime, func() {
					m.execute(start, func() {
						if m.cluster.epochAtReadEnd {
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
