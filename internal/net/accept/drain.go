package accept

import (
	"cmp"
	"time"
)

// drainAcceptTime is how long new connections are accepted after Drain begins. The load balancer in front
// notices the drain only after it has begun.
const drainAcceptTime = 500 * time.Millisecond

// Drain shuts the server down gracefully, as a planned restart needs it. From now on every response closes
// its connection. New connections are still accepted for a while; then the listener and the idle connections
// are closed. Drain returns when all accepted requests are answered and all connections are closed.
func (s *Server) Drain() {
	s.drained.Store(time.Now().UnixNano())
	if s.streams != nil && s.streams.Life > 0 {
		end := time.AfterFunc(s.streams.Life-refusalLeadTime, func() {
			for _, c := range s.all() {
				c.refuseIncomplete()
			}
		})
		defer end.Stop()
	}
	accept := drainAcceptTime
	if s.streams != nil {
		accept = cmp.Or(s.streams.Accept, accept)
	}
	time.Sleep(accept)
	s.closed.Store(true)
	s.listener.Close()
	s.signalIfEmpty()
	for _, c := range s.all() {
		c.closeIdle("drained")
	}
	last := time.AfterFunc(newConnectionGrace, func() {
		for _, c := range s.all() {
			c.closeIdle("drained")
		}
	})
	defer last.Stop()
	if s.streams != nil && s.streams.Drain > 0 {
		end := time.AfterFunc(s.streams.Drain, func() {
			for _, c := range s.all() {
				c.cut("drain-cut")
			}
		})
		defer end.Stop()
	}
	<-s.empty
}

// signalIfEmpty lets Drain return once Serve has ended and the last connection is closed.
func (s *Server) signalIfEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 && s.acceptEnded.Load() {
		s.once.Do(func() { close(s.empty) })
	}
}

// Draining reports whether the server drains, either permanently or until an operator ends the drain.
func (s *Server) Draining() bool { return s.drained.Load() != 0 || s.leaving != nil && s.leaving() }

// DrainWhile makes every response close its connection while draining returns true. The listener stays open,
// since such a drain may end. Clients see the drain in the health check and stop connecting; idle connections
// end by their idle timeout. It must be called before Serve.
func (s *Server) DrainWhile(draining func() bool) { s.leaving = draining }
