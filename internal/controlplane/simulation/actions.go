package simulation

import (
	"fmt"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/events"
)

var _ node.Actions = (*actions)(nil)

// actions implements node.Actions for one process of a machine. Callbacks into the node are dropped once that
// process has ended.
type actions struct {
	m      *Machine
	starts int
}

func (a *actions) Send(to string, m *message.Message) {
	x := a.m.cluster
	from := a.m.node.Addr
	if x.Observe != nil {
		x.Observe(a.m, to, m)
	}
	if to == from && x.Tamper == nil { // as in the server, a message to itself is not encoded
		x.schedule(0, func() { a.m.execute(a.starts, func() { a.m.controlNode.Step(x.Now, from, m) }) })
		return
	}
	b := message.MarshalAppend(nil, m)
	x.Messages, x.Bytes = x.Messages+1, x.Bytes+len(b)
	if x.Probe != nil {
		x.Probe.Sent(from, to, m, len(b))
	}
	if x.partitions[[2]string{from, to}] || x.refuseConnection(a.m, to) {
		return
	}
	copied := new(message.Message)
	var err error
	x.runMeasured(to, func() { err = message.Unmarshal(b, copied) })
	if err != nil {
		x.reportViolation("%s sent a message that cannot be decoded: %v", a.m.Name, err)
		return
	}
	deliveries := []Delivery{{To: to, Message: copied}}
	if x.Network != nil && to != from {
		deliveries = x.Network(from, to, copied)
	}
	for _, d := range deliveries {
		x.deliver(from, d)
	}
}

func (a *actions) Save(token uint64, r replica.PersistentState) {
	m := a.m
	m.diskBusyUntil = max(m.diskBusyUntil, m.cluster.Now) + m.syncTime
	complete := func() {
		if !m.up || m.starts != a.starts {
			return
		}
		ok := !m.diskFull
		if ok {
			if m.stored = r; m.cluster.Spoil != nil {
				m.cluster.Spoil(m, &m.stored)
			}
			m.cluster.checkMemberships(m, &m.stored)
		}
		if !m.cluster.acknowledgesUnsyncedSaves {
			m.execute(a.starts, func() { m.controlNode.HandleSaved(m.cluster.Now, token, ok) })
		}
	}
	if m.cluster.acknowledgesUnsyncedSaves {
		m.cluster.schedule(0, func() {
			m.execute(a.starts, func() { m.controlNode.HandleSaved(m.cluster.Now, token, true) })
		})
	}
	m.cluster.schedule(m.diskBusyUntil-m.cluster.Now, func() {
		if m.diskHangs {
			m.hangingSaves = append(m.hangingSaves, complete)
			return
		}
		complete()
	})
}

func (a *actions) Log(e events.Event, pairs ...any) {
	if x := a.m.cluster; x.Trace != nil {
		x.Trace(fmt.Sprintln(x.Now-time.Hour, a.m.Name, e.Text, pairs))
	}
}

func (a *actions) ApplyConfig(version uint64, config []byte) {
	m := a.m
	if version <= m.version {
		m.cluster.reportViolation("%s applied r%d and then r%d", m.Name, m.version, version)
	}
	if text, known := m.cluster.configs[version]; known && text != string(config) {
		m.cluster.reportViolation("%s: r%d has two contents", m.Name, version)
	}
	m.cluster.configs[version] = string(config)
	m.version, m.config = version, string(config)
	for _, c := range m.cluster.Calls {
		if c.Acknowledged && !c.Read && c.Version > version && c.EndedAt < m.cluster.Now-MaxStaleInForce {
			m.cluster.reportViolation("%s applies r%d, r%d was acknowledged %v ago", m.Name, version, c.Version,
				m.cluster.Now-c.EndedAt)
			break
		}
	}
}

func (a *actions) SetEndpoints(list []message.Endpoint) { a.m.endpoints = list }

func (a *actions) SetNodes(list []message.Node) { a.m.nodes = len(list) }

func (a *actions) SetView(epoch uint64, _ []string) { a.m.epoch = epoch }
