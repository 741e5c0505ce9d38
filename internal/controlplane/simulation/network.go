package simulation

import (
	"reflect"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Delivery is a message that comes, so long after the delay of the link. It is not to be changed any more.
type Delivery struct {
	To      string
	After   time.Duration
	Message *message.Message
}

// Cut partitions two machines from each other, or ends that.
func (c *Cluster) Cut(a, b *Machine, cut bool) {
	c.partitions[[2]string{a.node.Addr, b.node.Addr}] = cut
	c.partitions[[2]string{b.node.Addr, a.node.Addr}] = cut
}

// CutOneWay drops what one machine sends to another, or ends that.
func (c *Cluster) CutOneWay(from, to *Machine, cut bool) {
	c.partitions[[2]string{from.node.Addr, to.node.Addr}] = cut
}

// Isolate partitions a machine from the others with a disk, or ends that.
func (c *Cluster) Isolate(m *Machine, cut bool) {
	for _, other := range c.Replicas() {
		if other != m {
			c.Cut(m, other, cut)
		}
	}
}

// SlowOneWay has what one machine sends to another take longer by so much: it waits in some buffer.
func (c *Cluster) SlowOneWay(from, to *Machine, d time.Duration) {
	c.slowLinks[[2]string{from.node.Addr, to.node.Addr}] = d
}

// Refuse has a firewall refuse what others send to a machine, whose process lives on, or ends that.
func (c *Cluster) Refuse(m *Machine, refuse bool) { c.refusing[m.node.Addr] = refuse }

// HealAll ends all partitions, slow links and refusals.
func (c *Cluster) HealAll() {
	clear(c.partitions)
	clear(c.slowLinks)
	clear(c.refusing)
}

// clone returns a message with a body of its own, so that a test can change what one receiver gets.
func clone(m *message.Message) *message.Message {
	copied := *m
	body := reflect.New(reflect.TypeOf(m.Body).Elem())
	body.Elem().Set(reflect.ValueOf(m.Body).Elem())
	copied.Body = body.Interface().(message.Body)
	return &copied
}

// connected reports whether packets pass between two machines, in both directions.
func (c *Cluster) connected(a, b *Machine) bool {
	there, back := [2]string{a.node.Addr, b.node.Addr}, [2]string{b.node.Addr, a.node.Addr}
	return !c.partitions[there] && !c.partitions[back]
}

// resetConnections ends all connections of a machine: the processes at their other ends hear of it.
func (c *Cluster) resetConnections(m *Machine) {
	for _, peer := range c.Machines {
		if peer == m || !peer.up {
			continue
		}
		start := peer.starts
		c.schedule(c.Latency, func() {
			if c.connected(m, peer) {
				peer.act(start, func() { peer.controlNode.HandleDisconnected(c.Now, m.node.Addr) })
			}
		})
	}
}

// refuse tells a machine's process that an address refuses connections, if a machine there is on and can
// be reached, and runs no process, or stands behind a firewall that refuses. It reports whether that is
// so.
func (c *Cluster) refuse(caller *Machine, addr string) bool {
	called := c.At(addr)
	if called == nil || called == caller || called.dark || called.removed || !c.connected(caller, called) ||
		called.up && !c.refusing[addr] {
		return false
	}
	start := caller.starts
	c.schedule(c.Latency, func() {
		caller.act(start, func() { caller.controlNode.HandleRefused(c.Now, addr) })
	})
	return true
}

// deliver has a message come to whoever has the address by then.
func (c *Cluster) deliver(from string, d Delivery) {
	delay := c.Latency/3 + time.Duration(c.rng.Int64N(int64(c.Latency)*2/3)) +
		c.slowLinks[[2]string{from, d.To}]
	c.schedule(d.After+delay, func() {
		for _, m := range c.Machines {
			if m.node.Addr != d.To || !m.up || c.partitions[[2]string{from, d.To}] {
				continue
			}
			came := clone(d.Message)
			if c.Tamper != nil {
				c.Tamper(m, came)
			}
			m.act(m.starts, func() { m.controlNode.Step(c.Now, from, came) })
		}
	})
}
