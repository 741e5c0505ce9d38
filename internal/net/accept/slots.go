package accept

import (
	"time"
)

// usage describes the use of a connection, to choose the one to evict when all slots are in use.
type usage struct {
	rank  int // the lowest is evicted first
	since time.Time
}

// The ranks of connections. At worst, a client whose idle connection is closed repeats its request on
// another. A client whose first request is not read sees a failure, and that request may be on the network,
// or received and unread while this process waits for the CPU.
const (
	rankDone   = iota // closed, or its last response was sent
	rankSilent        // no complete request was received for silentTimeout
	rankIdle          // answered, and no further request has begun
	rankNew           // no complete request was received yet, for less than silentTimeout
	rankBusy          // a request is being answered: never evicted
)

// recentlyConnected reports whether a connection is so new that its first request may still be on the
// network. During a drain, such connections are kept open for a moment; otherwise clients that connected just
// before the listener closed would be disconnected before their requests are read.
func recentlyConnected(requests int, since time.Time) bool {
	return requests == 0 && time.Since(since) < newConnectionGrace
}

// acquireSlot acquires a slot for one more connection. If none is free it evicts another connection; while
// all are being answered, it waits. Without eviction, unused connections would block new requests, which
// count as accepted from the moment that the operating system, not this process, accepts their connections.
func (s *Server) acquireSlot() {
	for {
		select {
		case s.slots <- struct{}{}:
			return
		default:
		}
		c, use := s.evictionCandidate()
		switch {
		case c == nil || use.rank == rankBusy:
			select {
			case s.slots <- struct{}{}:
				return
			case <-time.After(slotPollInterval): // one of them may be idle by then
			}
		case use.rank == rankNew && time.Since(use.since) < newConnectionGrace:
			time.Sleep(slotPollInterval)
		case c.evict():
			s.slots <- struct{}{}
			return
		}
	}
}

// evictionCandidate returns the connection to evict first: of the lowest rank, the one longest in it; nil if
// there is none.
func (s *Server) evictionCandidate() (candidate connection, use usage) {
	for _, c := range s.all() {
		u := c.usage()
		if candidate == nil || u.rank < use.rank || u.rank == use.rank && u.since.Before(use.since) {
			candidate, use = c, u
		}
	}
	return candidate, use
}
