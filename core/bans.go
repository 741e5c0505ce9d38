package core

import "dunespoke/choice"

// Ban takes a server out of rotation by name, or puts it back, regardless of its state in the server list:
// the gate sees a banned server as draining. A ban remains while the server is absent from the list and
// across its restarts. It is in force once a later call of Bans has been answered. A name that has never been
// in the list is not banned, and listed is false. Ban is safe for concurrent use.
func (c *Core) Ban(name string, on bool) (listed bool) {
	if listed = c.Listed(name); listed {
		c.queue.put(func() { c.ban(name, on) })
	}
	return listed
}

func (c *Core) ban(name string, on bool) {
	id, listed := c.serverIDs[name]
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
			c.upstream.Drop(s) // closes its idle connections; no new request is sent to it
		}
		c.gate.Backends(c.Now(), false, []choice.Backend{c.backend(id, s)})
	}
	c.updateServerStats()
}

// RestoreBans bans the servers that were banned before this process started. The names are treated as if
// they had been in the server list.
func (c *Core) RestoreBans(names []string) {
	c.queue.put(func() {
		for _, n := range names {
			c.rememberName(n)
			c.ban(n, true)
		}
	})
}

// maxRememberedNames limits the names that are remembered as once listed. Without a limit, servers that are
// replaced under ever new names would exhaust the memory.
const maxRememberedNames = 1 << 14

// rememberName records that a name has been in the server list. It must be called on the core's goroutine.
func (c *Core) rememberName(name string) {
	if _, known := c.rememberedNames.Load(name); !known && c.rememberedCount < maxRememberedNames {
		c.rememberedNames.Store(name, nil)
		c.rememberedCount++
	}
}

// Listed reports whether a server of that name has ever been in the list. It is safe for concurrent use.
func (c *Core) Listed(name string) bool {
	_, ok := c.rememberedNames.Load(name)
	return ok
}

// bannedNames returns the names of the servers that an operator has banned, in no particular order. It must
// be called on the core's goroutine; see Bans.
func (c *Core) bannedNames() []string {
	names := make([]string, 0, len(c.banned))
	for n := range c.banned {
		names = append(names, n)
	}
	return names
}

// Bans sends the names of the servers that are banned now. It sends on the core's goroutine, so out should be
// buffered.
func (c *Core) Bans(out chan<- []string) { c.queue.put(func() { out <- c.bannedNames() }) }
