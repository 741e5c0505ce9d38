package forward

import (
	"dunespoke/core"
)

// Servers and what stands before them may drop a kept connection so that it shows only at the next request,
// which then may have run. While that happens to more than staleMost of them, what is not safe to repeat goes
// by new connections. One break in staleWeight of the memory is enough to begin; some 30 good ones end it.
const (
	staleWeight = 0.05
	staleMost   = 0.01
)

// recordReuse notes what became of a request on a kept connection.
func (f *Forwarder) recordReuse(broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale *= 1 - staleWeight
	if broke {
		f.stale += staleWeight
	}
}

// avoidsReuse closes the connection to a server that has been idle longest, to make room for a new one,
// if kept ones are not to be trusted with an attempt.
func (f *Forwarder) avoidsReuse(a core.Attempt) bool {
	f.mu.Lock()
	pass := a.NotRepeatable && f.stale > staleMost
	var oldest *connection
	if pool := f.idle[placeOf(a.Server)]; pass && len(pool) > 0 {
		oldest = pool[0]
	}
	f.mu.Unlock()
	if oldest != nil && f.remove(oldest) {
		oldest.end("made-way")
	}
	return pass
}
