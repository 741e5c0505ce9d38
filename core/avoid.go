package core

import "dunespoke/choice"

// Avoid has nothing new sent to the servers of some zones, in place of those named before: to the gate they
// drain. Zones that are all there is are not avoided: a server that may be well is better than none.
func (c *Core) Avoid(zones []string) {
	c.queue.put(func() { c.avoid(zones) })
}

// Zones sends the addresses of the servers that the list has as live, by zone, on the core's goroutine.
func (c *Core) Zones(out chan<- map[string][]string) {
	c.queue.put(func() {
		all := map[string][]string{}
		for _, s := range c.servers {
			if s.State == choice.Live {
				all[s.Zone] = append(all[s.Zone], s.Addr)
			}
		}
		out <- all
	})
}

func (c *Core) avoid(zones []string) {
	before := map[uint64]bool{}
	for id, s := range c.servers {
		before[id] = c.live(s)
	}
	c.avoided = map[string]bool{}
	for _, z := range zones {
		c.avoided[z] = true
	}
	some := false
	for _, s := range c.servers {
		some = some || c.live(s)
	}
	if !some {
		c.avoided = nil
	}
	var changed []choice.Backend
	for id, s := range c.servers {
		if now := c.live(s); now != before[id] {
			if !now {
				c.upstream.Drop(s)
			}
			changed = append(changed, c.backend(id, s))
		}
	}
	c.count()
	if len(changed) > 0 {
		c.gate.Backends(c.Now(), false, changed)
	}
}
