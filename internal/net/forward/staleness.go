package forward

import (
	"dunespoke/core"
)

// Servers, and proxies in front of them, may drop an idle connection in a way that is noticed only at the
// next request, which then may have run. While more than staleMax of the reused connections break, requests
// that are not safe to repeat use new connections. One break adds staleSmoothing to the smoothed share, which
// exceeds staleMax; about 30 successful reuses bring it below again.
const (
	staleSmoothing = 0.05
	staleMax       = 0.01
)

// recordReuse records whether a reused connection broke without a response.
func (f *Forwarder) recordReuse(broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale *= 1 - staleSmoothing
	if broke {
		f.stale += staleSmoothing
	}
}

// avoidReuse reports whether an attempt must use a new connection. If so, it closes the least recently used
// idle connection to the server, to free its slot for the new one.
func (f *Forwarder) avoidReuse(a core.Attempt) bool {
	f.mu.Lock()
	avoid := a.NotRepeatable && f.stale > staleMax
	var oldest *connection
	if pool := f.idle[endpointOf(a.Server)]; avoid && len(pool) > 0 {
		oldest = pool[0]
	}
	f.mu.Unlock()
	if oldest != nil && f.remove(oldest) {
		oldest.end("made-way")
	}
	return avoid
}
