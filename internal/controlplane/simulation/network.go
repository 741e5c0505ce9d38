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

// HealAll ends all partitions and slow links.
func (c *Cluster) HealAll() {
	clear(c.partitions)
	clear(c.slowLinks)
}

// clone returns a message with a body of its own, so that a test can change what one receiver gets.
func clone(m *message.Message) *message.Message {
	copied := *m
	body := reflect.New(reflect.TypeOf(m.Body).Elem())
	body.Elem().Set(reflect.ValueOf(m.Body).Elem())
	copied.Body = body.Interface().(message.Body)
	return &copied
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
