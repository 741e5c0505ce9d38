package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunespoke/core"
)

// endpoint identifies the server that a connection leads to. It includes the name, since a new server may
// have the address of a removed one.
type endpoint struct{ server, addr string }

func endpointOf(s core.Server) endpoint { return endpoint{s.Name, s.Addr} }

// idleShare is the share of a server's keep-alive time after which an idle connection is closed from this
// side. It is well under 1, since a request that is written to a connection while the server closes it ends
// as a reset, and fails if it must not run twice.
const idleShare = 0.6

// settleTime is how long a connection stays unused after a response. If a server sends bytes beyond its
// response, they arrive shortly after it and must not be taken for the next response.
const settleTime = 2 * time.Millisecond

// acquire removes a connection from the pool and returns it, or nil if there is none: the most recently used
// of those idle for settleTime, or else the least recently used. Always taking the most recently used one
// would mean, under load, to wait until it has settled. A connection whose last request was the same one is
// not used, as a duplicate response to that would pass for the expected one.
func (f *Forwarder) acquire(at endpoint, request any) *connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[at]
	if len(pool) == 0 {
		return nil
	}
	rested, i := time.Now().Add(-settleTime), len(pool)-1
	for i > 0 && (pool[i].lastUsed.After(rested) || pool[i].carried(request)) {
		i--
	}
	c := pool[i]
	if c.carried(request) {
		return nil
	}
	f.idle[at] = slices.Delete(pool, i, i+1)
	if len(pool) == 1 { // don't keep entries of removed servers
		delete(f.idle, at)
	}
	setReadDeadline(c.netConn, time.Time{})
	return c
}

// carried reports whether request is the last one that the connection carried. It must be called with
// Forwarder.mu held.
func (c *connection) carried(request any) bool {
	return c.lastRequest != nil && c.lastRequest == request
}

// remove removes a connection from the pool. It reports false if the connection is not in the pool, because
// an attempt has acquired it.
func (f *Forwarder) remove(c *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[c.endpoint]
	for i, other := range pool {
		if other == c {
			f.idle[c.endpoint] = slices.Delete(pool, i, i+1)
			if len(pool) == 1 {
				delete(f.idle, c.endpoint)
			}
			return true
		}
	}
	return false
}

// readKeepAlive reads from a response's Keep-Alive header how long the server keeps idle connections, in
// seconds.
func (c *connection) readKeepAlive(h http.Header) {
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.ParseUint(value, 10, 16); err == nil && strings.EqualFold(name, "timeout") {
				c.keepAliveKnown, c.keepAlive = true, time.Duration(n)*time.Second
			}
		}
	}
}

// release puts a connection whose response is complete into the pool; x is the attempt that it carried.
func (f *Forwarder) release(c *connection, x *exchange) {
	f.mu.Lock()
	c.lastUsed, c.lastRequest = time.Now(), nil
	if x != nil {
		if j, ok := x.Payload.(Judging); ok {
			c.lastRequest = j
		}
	}
	keep := f.KeepAlive
	if c.keepAliveKnown {
		keep = c.keepAlive
	}
	setReadDeadline(c.netConn, c.lastUsed.Add(time.Duration(idleShare*float64(keep))))
	f.idle[c.endpoint] = append(f.idle[c.endpoint], c)
	f.mu.Unlock()
}
