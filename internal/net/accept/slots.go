package accept

import (
	"time"
)

// usage is what a connection is used for, as far as that says whether it should make room for others.
type usage struct {
	rank  int // those of the lowest go first
	since time.Time
}

// The ranks of connections. A client whose idle connection is closed asks again on another, at worst; one
// whose first request was not read has failed, and that request may be on its way, or here and unread while
// this program waits for its turn on the core.
const (
	rankOver   = iota // its last answer is out
	rankSilent        // no whole request has come for silentWait
	rankIdle          // it was answered, and asks nothing
	rankNew           // no whole request has come yet
	rankBusy          // it is being answered: never closed
)

// justCame reports whether a connection is new and its first request may be on its way. Guards, at a drain,
// clients that connected just before the listener closed: their requests would be turned back unheard.
func justCame(requests int, since time.Time) bool {
	return requests == 0 && time.Since(since) < newWait
}

// claim takes a slot for one more connection. At the limit another makes room for it; if all are being
// answered, clients wait. Guards against connections that nobody uses keeping out requests, which count as
// taken from the moment that the machine, not this program, has accepted them.
func (s *Server) claim() {
	for {
		select {
		case s.slots <- struct{}{}:
			return
		default:
		}
		c, use := s.leastUsed()
		switch {
		case c == nil || use.rank == rankBusy:
			select {
			case s.slots <- struct{}{}:
				return
			case <-time.After(busyWait): // by then one of them may be answered, and ask nothing
			}
		case use.rank == rankNew && time.Since(use.since) < newWait:
			time.Sleep(busyWait)
		case c.makeRoom():
			s.slots <- struct{}{}
			return
		}
	}
}

// leastUsed returns the connection that should make room first.
func (s *Server) leastUsed() (least connection, use usage) {
	for _, c := range s.all() {
		u := c.usage()
		if least == nil || u.rank < use.rank || u.rank == use.rank && u.since.Before(use.since) {
			least, use = c, u
		}
	}
	return least, use
}
