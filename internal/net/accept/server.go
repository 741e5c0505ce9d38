// Package accept is the first stage of a request. It accepts connections from clients, reads requests and
// writes responses. Messages are either buffered completely (Handler) or streamed (Streamer).
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

// Handler answers requests that were completely received.
type Handler interface {
	// Serve handles a request. It must not block. respond must be called once with the response, from any
	// goroutine, unless the client disconnects first. The returned function is called when the client
	// disconnects; it may be nil.
	Serve(r *http1.Request, respond func(*http1.Answer)) (cancel func())
}

// connection is a client connection of a Server.
type connection interface {
	read()
	usage() usage
	evict() bool
	closeIdle(code string)
	cut(code string)
	refuseIncomplete()
}

// Server accepts connections and passes their requests to a Handler or a Streamer.
type Server struct {
	listener    net.Listener
	handler     Handler
	streams     *Streams // nil: messages are buffered and go to handler
	streamer    Streamer // set if streams is
	log         zerolog.Logger
	slots       chan struct{} // holds one element per open connection
	limits      http1.Limits  // of buffered messages
	leaving     func() bool   // reports whether an operator drains the server; nil: never
	closed      atomic.Bool   // Drain closes the listener
	acceptEnded atomic.Bool   // Serve has ended: no connection will be added to conns
	drained     atomic.Int64  // Unix time in ns when Drain was called; 0: it was not

	mu    sync.Mutex
	conns map[connection]struct{}
	empty chan struct{} // closed when Serve has ended and the last connection is closed
	once  sync.Once
}

// New returns a server that accepts connections from l. At most the given number are open at a time.
func New(l net.Listener, h Handler, connections int, log zerolog.Logger) *Server {
	return &Server{listener: l, handler: h, log: log, limits: http1.DefaultLimits,
		slots: make(chan struct{}, max(1, connections)),
		conns: map[connection]struct{}{}, empty: make(chan struct{})}
}

// SetLimits sets the size limits of buffered messages. It must be called before Serve.
func (s *Server) SetLimits(l http1.Limits) { s.limits = l }

// Serve accepts connections until Drain closes the listener.
func (s *Server) Serve() error {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			switch {
			case s.closed.Load():
				s.acceptEnded.Store(true)
				s.signalIfEmpty()
				return nil
			case errors.Is(err, net.ErrClosed):
				return fmt.Errorf("accepting clients: %w", err)
			}
			// Retry: a temporary shortage of file descriptors must not end the server.
			s.log.Warn().Err(err).Str("code", "accept-failed").Msg("accept")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.acquireSlot()
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
	return &bufferedConnection{server: s, netConn: nc, frames: http1.NewRequests(s.limits), since: now,
		lastUsed: now}
}

// all returns the open connections.
func (s *Server) all() []connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]connection, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// remove removes a closed connection and frees its slot.
func (s *Server) remove(c connection) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
	s.signalIfEmpty()
}

// overHalfFull reports whether more than half of the slots are in use. Responses then close their
// connections. Otherwise clients that send one request and keep the connection would soon use up all the
// connections that they or this process may have open, and block new requests.
func (s *Server) overHalfFull() bool { return 2*len(s.slots) > cap(s.slots) }

// Free returns the free share of the connection slots, in percent.
func (s *Server) Free() int { return 100 - 100*len(s.slots)/cap(s.slots) }
