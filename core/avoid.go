package core

import "dunespoke/choice"

// Avoid stops sending new requests to the servers of the given zones, which replace those of the previous
// call: the gate sees these servers as draining. If no other server is live and not banned, no zone
// is avoided, since a server that may be healthy is better than none.
func (c *Core) Avoid(zones []string) {
	c.queue.put(func() { c.avoid(zones) })
}

// Zones sends the addresses of the servers that are live in the server list, grouped by zone. It sends on
// the core's goroutine, so out should be buffered.
func (c *Core) Zones(out chan<- map[string][]string) {
	c.queue.put(func() {
		addrs := map[string][]string{}
		for _, s := range c.servers {
			if s.State == choice.Live {
				addrs[s.Zone] = append(addrs[s.Zone], s.Addr)
			}
		}
		out <- addrs
	})
}

func (c *Core) avoid(zones []string) {
	eligibleBefore := map[uint64]bool{}
	for id, s := range c.servers {
		eligibleBefore[id] = c.eligible(s)
	}
	c.avoidedZones = map[string]bool{}
	for _, z := range zones {
		c.avoidedZones[z] = true
	}
	anyEligible := false
	for _, s := range c.servers {
		anyEligible = anyEligible || c.eligible(s)
	}
	if !anyEligible {
		c.avoidedZones = nil
	}
	var changed []choice.Backend
	for id, s := range c.servers {
		if eligible := c.eligible(s); eligible != eligibleBefore[id] {
			if !eligible {
				c.upstream.Drop(s)
			}
			changed = append(changed, c.backend(id, s))
		}
	}
	c.updateServerStats()
	if len(changed) > 0 {
		c.gate.Backends(c.Now(), false, changed)
	}
}
