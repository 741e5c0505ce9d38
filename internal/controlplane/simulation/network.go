package simulation

import (
	"reflect"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Delivery is a message to deliver. The message must not be modified.
type Delivery struct {
	To      string
	After   time.Duration // in addition to the delay of the link
	Message *message.Message
}

// Cut sets whether messages between two machines are dropped in both directions.
func (c *Cluster) Cut(a, b *Machine, cut bool) {
	c.partitions[[2]string{a.node.Addr, b.node.Addr}] = cut
	c.partitions[[2]string{b.node.Addr, a.node.Addr}] = cut
}

// CutOneWay sets whether messages from one machine to another are dropped.
func (c *Cluster) CutOneWay(from, to *Machine, cut bool) {
	c.partitions[[2]string{from.node.Addr, to.node.Addr}] = cut
}

// Isolate sets whether a machine is cut off from all other machines with a disk.
func (c *Cluster) Isolate(m *Machine, cut bool) {
	for _, other := range c.Replicas() {
		if other != m {
			c.Cut(m, other, cut)
		}
	}
}

// SlowOneWay adds a delay to messages from one machine to another, as a full buffer on the way does.
func (c *Cluster) SlowOneWay(from, to *Machine, d time.Duration) {
	c.slowLinks[[2]string{from.node.Addr, to.node.Addr}] = d
}

// Refuse sets whether a firewall refuses what other machines send to a machine. Its process keeps running.
func (c *Cluster) Refuse(m *Machine, refuse bool) { c.refusing[m.node.Addr] = refuse }

// HealAll removes all partitions, added delays and firewalls.
func (c *Cluster) HealAll() {
	clear(c.partitions)
	clear(c.slowLinks)
	clear(c.refusing)
}

// clone returns a copy of a message and of its body, so that a test can modify what one receiver gets. What
// the body's fields refer to is shared.
func clone(m *message.Message) *message.Message {
	copied := *m
	body := reflect.New(reflect.TypeOf(m.Body).Elem())
	body.Elem().Set(reflect.ValueOf(m.Body).Elem())
	copied.Body = body.Interface().(message.Body)
	return &copied
}

// connected reports whether messages pass between two machines in both directions.
func (c *Cluster) connected(a, b *Machine) bool {
	forward, reverse := [2]string{a.node.Addr, b.node.Addr}, [2]string{b.node.Addr, a.node.Addr}
	return !c.partitions[forward] && !c.partitions[reverse]
}

// resetConnections resets all connections of a machine and notifies the processes at their other ends, after
// the link's latency.
func (c *Cluster) resetConnections(m *Machine) {
	for _, peer := range c.Machines {
		if peer == m || !peer.up {
			continue
		}
		start := peer.starts
		c.schedule(c.Latency, func() {
			if c.connected(m, peer) {
				peer.execute(start, func() { peer.controlNode.HandleDisconnected(c.Now, m.node.Addr) })
			}
		})
	}
}

// refuseConnection reports whether addr refuses a connection from caller, and if so notifies the caller's
// process after the link's latency. An address refuses if its machine is powered on and connected to the
// caller, and runs no process or is behind a firewall that refuses.
func (c *Cluster) refuseConnection(caller *Machine, addr string) bool {
	callee := c.At(addr)
	if callee == nil || callee == caller || callee.poweredOff || callee.removed ||
		!c.connected(caller, callee) || callee.up && !c.refusing[addr] {
		return false
	}
	start := caller.starts
	c.schedule(c.Latency, func() {
		caller.execute(start, func() { caller.controlNode.HandleRefused(c.Now, addr) })
	})
	return true
}

// deliver schedules a message for the machine that has the address when the message arrives. It is lost if
// the machine is down or the link is cut by then.
func (c *Cluster) deliver(from string, d Delivery) {
	delay := c.Latency/3 + time.Duration(c.rng.Int64N(int64(c.Latency)*2/3)) +
		c.slowLinks[[2]string{from, d.To}]
	c.schedule(d.After+delay, func() {
		for _, m := range c.Machines {
			if m.node.Addr != d.To || !m.up || c.partitions[[2]string{from, d.To}] {
				continue
			}
			received := clone(d.Message)
			if c.Tamper != nil {
				c.Tamper(m, received)
			}
			m.execute(m.starts, func() { m.controlNode.Step(c.Now, from, received) })
		}
	})
}
