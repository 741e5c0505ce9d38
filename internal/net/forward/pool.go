package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunespoke/core"
)

// place is where a connection leads. A server that is new may have the address of one that has gone.
type place struct{ server, addr string }

func placeOf(s core.Server) place { return place{s.Name, s.Addr} }

// idlePart is the part of the servers' keep-alive after which an idle connection is closed from here. Well
// under 1: a request written to a connection that the server is closing ends as a reset, and one that must
// not run twice is lost by it.
const idlePart = 0.6

// settleTime is how long a connection rests after an answer. What a server sends beyond its answer comes
// right behind, and must not meet the next request.
const settleTime = 2 * time.Millisecond

// acquire returns the connection used last of those that have rested, or else the one that has rested
// longest. Guards against handing out, under load, the one whose answer has just come, and waiting for
// its rest. One that carried the same request last is left alone: a second answer to that would pass for
// the one awaited.
func (f *Forwarder) acquire(at place, request any) *connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[at]
	if len(pool) == 0 {
		return nil
	}
	rested, i := time.Now().Add(-settleTime), len(pool)-1
	for i > 0 && (pool[i].used.After(rested) || pool[i].carried(request)) {
		i--
	}
	c := pool[i]
	if c.carried(request) {
		return nil
	}
	f.idle[at] = slices.Delete(pool, i, i+1)
	if len(pool) == 1 { // servers come and go with the fleet
		delete(f.idle, at)
	}
	setReadDeadline(c.netConn, time.Time{})
	return c
}

// carried reports whether the request that a connection carried last is this one. The pool's lock is held.
func (c *connection) carried(request any) bool { return c.last != nil && c.last == request }

// remove takes a connection out of the pool; it reports false if an attempt has taken it.
func (f *Forwarder) remove(c *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[c.at]
	for i, other := range pool {
		if other == c {
			f.idle[c.at] = slices.Delete(pool, i, i+1)
			if len(pool) == 1 {
				delete(f.idle, c.at)
			}
			return true
		}
	}
	return false
}

// readKeepAlive takes from an answer's head how long its server keeps idle connections, in whole seconds.
func (c *connection) readKeepAlive(h http.Header) {
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.ParseUint(value, 10, 16); err == nil && strings.EqualFold(name, "timeout") {
				c.keepAliveTold, c.keepAlive = true, time.Duration(n)*time.Second
			}
		}
	}
}

// release puts a connection whose answer has come whole into the pool; x is the attempt that it carried.
func (f *Forwarder) release(c *connection, x *exchange) {
	f.mu.Lock()
	c.used, c.last = time.Now(), nil
	if x != nil {
		if j, ok := x.Payload.(Judging); ok {
			c.last = j
		}
	}
	keep := f.KeepAlive
	if c.keepAliveTold {
		keep = c.keepAlive
	}
	setReadDeadline(c.netConn, c.used.Add(time.Duration(idlePart*float64(keep))))
	f.idle[c.at] = append(f.idle[c.at], c)
	f.mu.Unlock()
}
