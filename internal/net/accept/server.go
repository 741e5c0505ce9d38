// Package accept is the first stage of a request: it takes clients' connections, reads whole requests from
// them, and writes the answers back.
package accept

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/http1"
)

// Handler answers requests.
type Handler interface {
	// Serve takes a request. It must not block, and it must see to it that respond is called once, from
	// any goroutine, with the answer; unless the client leaves before, which it learns by the function it
	// returns (nil, if that makes no difference).
	Serve(r *http1.Request, respond func(*http1.Answer)) (leave func())
}

// connection is a client's, as a Server has taken.
type connection interface {
	read()
	usage() usage
	makeRoom() bool
	closeIdle(code string)
	cut(code string)
	turnBack()
}

// Server takes connections for a Handler, or for a Streamer.
type Server struct {
	listener net.Listener
	handler  Handler
	streams  *Streams // nil: messages are held whole
	streamer Streamer // beside streams
	log      zerolog.Logger
	slots    chan struct{} // one for each connection that may be open
	limits   http1.Limits  // of messages held whole
	leaving  func() bool   // told to leave by an operator, and not back yet; nil: never
	closed   atomic.Bool
	stopped  atomic.Bool  // Serve has ended: what it took is in conns
	drained  atomic.Int64 // Unix time in ns since when it drains for good; 0: it does not

	mu    sync.Mutex
	conns map[connection]struct{}
	empty chan struct{} // closed when the last connection has gone, after the listener
	once  sync.Once
}

// New returns a server that takes connections from a listener, and holds at most the given number of them.
func New(l net.Listener, h Handler, connections int, log zerolog.Logger) *Server {
	return &Server{listener: l, handler: h, log: log, limits: http1.DefaultLimits,
		slots: make(chan struct{}, max(1, connections)),
		conns: map[connection]struct{}{}, empty: make(chan struct{})}
}

// SetLimits sets how long messages may be that are held whole. It is to be called before Serve.
func (s *Server) SetLimits(l http1.Limits) { s.limits = l }

// Serve takes connections until Drain has closed the listener.
func (s *Server) Serve() error {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			switch {
			case s.closed.Load():
				s.stopped.Store(true)
				s.over()
				return nil
			case errors.Is(err, net.ErrClosed):
				return fmt.Errorf("accepting clients: %w", err)
			}
			// Guards against giving up for good when descriptors run short for a moment.
			s.log.Warn().Err(err).Str("code", "accept-failed").Msg("accept")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.claim()
		c := s.newConnection(nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.read()
	}
}

func (s *Server) newConnection(nc net.Conn) connection {
	now := time.Now()
	if s.streams != nil {
		return newStreamConnection(s, nc, now)
	}
	return &wholeConnection{server: s, netConn: nc, frames: http1.NewRequests(s.limits), since: now, used: now}
}

// all returns the connections there are.
func (s *Server) all() []connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]connection, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *Server) gone(c connection) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
	s.over()
}

// crowded reports whether more than half of the connections are taken. Answers then close theirs: clients
// that ask once and stay would soon hold all that they, or this program, may have open, and keep out
// requests.
func (s *Server) crowded() bool { return 2*len(s.slots) > cap(s.slots) }

// Free is the part of the connections that is free, in percent.
func (s *Server) Free() int { return 100 - 100*len(s.slots)/cap(s.slots) }
