package core

import "dunespoke/choice"

// Ban takes a server out of rotation by name, or puts it back, whatever the list says of it: to the gate it
// drains. The ban is kept while the server is gone from the list, and over its restarts. It is in force once
// a later call of Bans is answered. A name that the list has never held is not banned: listed is false.
func (c *Core) Ban(name string, on bool) (listed bool) {
	if listed = c.Listed(name); listed {
		c.queue.put(func() { c.ban(name, on) })
	}
	return listed
}

func (c *Core) ban(name string, on bool) {
	id, listed := c.ids[name]
	if on == c.banned[name] {
		return
	}
	if on {
		c.banned[name] = true
	} else {
		delete(c.banned, name)
	}
	if s, ok := c.servers[id]; listed && ok {
		if on {
			c.upstream.Drop(s) // its idle connections: nothing new goes to it
		}
		c.gate.Backends(c.Now(), false, []choice.Backend{c.backend(id, s)})
	}
	c.count()
}

// RestoreBans takes bans that were in force before this process began, as of names that were listed.
func (c *Core) RestoreBans(names []string) {
	c.queue.put(func() {
		for _, n := range names {
			c.see(n)
			c.ban(n, true)
		}
	})
}

// seenMost bounds the names remembered as once listed; a fleet that comes and goes would fill the memory.
const seenMost = 1 << 14

// see remembers that a name was listed.
func (c *Core) see(name string) {
	if _, known := c.seen.Load(name); !known && c.seenCount < seenMost {
		c.seen.Store(name, nil)
		c.seenCount++
	}
}

// Listed reports whether the list has ever held a server of that name. Any goroutine may ask.
func (c *Core) Listed(name string) bool {
	_, ok := c.seen.Load(name)
	return ok
}

// banList returns the names that are out of rotation by an operator's word, in no order. Only for the core's
// goroutine: see Bans.
func (c *Core) banList() []string {
	names := make([]string, 0, len(c.banned))
	for n := range c.banned {
		names = append(names, n)
	}
	return names
}

// Bans sends the names banned now, on the core's goroutine.
func (c *Core) Bans(out chan<- []string) { c.queue.put(func() { out <- c.banList() }) }
