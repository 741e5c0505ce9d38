package accept

import (
	"cmp"
	"time"
)

// drainAccept is how long new connections are taken after Drain: the front notices only then.
const drainAccept = 500 * time.Millisecond

// Drain ends service in the order a planned restart wants: connections are still taken for a while, every
// answer from now on closes its connection, then idle connections are closed, and it returns when all that
// was taken is answered.
func (s *Server) Drain() {
	s.drained.Store(time.Now().UnixNano())
	if s.streams != nil && s.streams.Life > 0 {
		end := time.AfterFunc(s.streams.Life-turnWait, func() {
			for _, c := range s.all() {
				c.turnBack()
			}
		})
		defer end.Stop()
	}
	accept := drainAccept
	if s.streams != nil {
		accept = cmp.Or(s.streams.Accept, accept)
	}
	time.Sleep(accept)
	s.closed.Store(true)
	s.listener.Close()
	s.over()
	for _, c := range s.all() {
		c.closeIdle("drained")
	}
	last := time.AfterFunc(newWait, func() {
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

// over ends Drain once the listener and the last connection are closed.
func (s *Server) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 && s.stopped.Load() {
		s.once.Do(func() { close(s.empty) })
	}
}

// Draining reports whether the server is on its way out, for good or until it is told to join again.
func (s *Server) Draining() bool { return s.drained.Load() != 0 || s.leaving != nil && s.leaving() }

// DrainWhile has every answer close its connection while an operator's word holds; the listener stays open,
// since such a drain may end. Clients see it in the front's health check and stop coming; idle connections
// end by their own time limit. It is to be called before Serve.
func (s *Server) DrainWhile(told func() bool) { s.leaving = told }
