// Package accept is the first stage of a request: it takes clients' connections, reads whole requests from
// them, and writes the answers back.
package accept

import (
	"errors"
	"fmt"
	"io"
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

// Server takes connections for a Handler.
type Server struct {
	listener net.Listener
	handler  Handler
	log      zerolog.Logger
	slots    chan struct{} // one for each connection that may be open
	draining atomic.Bool
	closed   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	empty chan struct{} // closed when the last connection has gone, after the listener
	once  sync.Once
}

// drainAccept is how long new connections are taken after Drain: the front notices only then.
const drainAccept = 500 * time.Millisecond

// Limits on a client's time, so that slow and forgotten ones don't hold connections for good.
const (
	requestWait = 20 * time.Second // to send one request, and to take its answer
	idleWait    = time.Minute      // between requests
)

// New returns a server that takes connections from a listener, and holds at most the given number of them.
func New(l net.Listener, h Handler, connections int, log zerolog.Logger) *Server {
	return &Server{listener: l, handler: h, log: log, slots: make(chan struct{}, max(1, connections)),
		conns: map[*conn]struct{}{}, empty: make(chan struct{})}
}

// Serve takes connections until Drain has closed the listener.
func (s *Server) Serve() error {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			switch {
			case s.closed.Load():
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
		now := time.Now()
		c := &conn{s: s, nc: nc, frames: http1.NewRequests(http1.DefaultLimits), since: now, used: now}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.read()
		if s.closed.Load() { // it came while the listener was being closed, after Drain counted
			c.closeIdle("drained")
		}
	}
}

// claim takes a slot for one more connection. At the limit the one that has been idle longest makes room; if
// none is idle, clients wait. Guards against connections that nobody uses keeping out requests,
// which count as taken from the moment that the machine, not this program, has accepted them.
func (s *Server) claim() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
	}
	var oldest *conn
	var since time.Time
	for _, c := range s.all() {
		if from, idle := c.idleSince(); idle && (oldest == nil || from.Before(since)) {
			oldest, since = c, from
		}
	}
	if oldest != nil {
		oldest.closeIdle("made-room")
	}
	s.slots <- struct{}{}
}

// all returns the connections there are.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Drain ends service in the order a planned restart wants: connections are still taken for a while, every
// answer from now on closes its connection, then idle connections are closed, and it returns when all that
// was taken is answered.
func (s *Server) Drain() {
	s.draining.Store(true)
	time.Sleep(drainAccept)
	s.closed.Store(true)
	s.listener.Close()
	s.over()
	for _, c := range s.all() {
		c.closeIdle("drained")
	}
	<-s.empty
}

// Draining reports whether the server is on its way out.
func (s *Server) Draining() bool { return s.draining.Load() }

// Free is the part of the connections that is free, in percent.
func (s *Server) Free() int { return 100 - 100*len(s.slots)/cap(s.slots) }

func (s *Server) gone(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.slots
	s.over()
}

// over ends Drain once the listener and the last connection are closed.
func (s *Server) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 && s.closed.Load() {
		s.once.Do(func() { close(s.empty) })
	}
}

// conn is one client's connection. Its reader reads on while a request is being answered, for that is how
// it learns that the client has gone.
type conn struct {
	s     *Server
	nc    net.Conn
	since time.Time

	mu     sync.Mutex
	frames *http1.Framer
	parser http1.Parser
	busy   bool      // a request is being answered
	last   bool      // nothing more is read after the answer at hand
	leave  func()    // for the request being answered
	begun  time.Time // when the request that is coming in began; zero if none is
	out    []byte
	ended  bool
	count  int
	used   time.Time // when the last answer was written, or the connection taken
}

// Buffered input beyond which a client that sends on while it waits is cut off: one whole request.
const mostAhead = 96 << 10

func (c *conn) read() {
	defer c.s.gone(c)
	buf := make([]byte, 4<<10)
	for {
		c.nc.SetReadDeadline(c.deadline())
		n, err := c.nc.Read(buf)
		c.mu.Lock()
		if n > 0 {
			c.frames.Feed(buf[:n])
			c.advance()
			switch coming := !c.busy && c.frames.Started(); {
			case !coming:
				c.begun = time.Time{}
			case c.begun.IsZero(): // not anew with each byte, or a slow client would never end
				c.begun = time.Now()
			}
			if c.frames.Buffered() > mostAhead {
				err = errAhead
			}
		}
		if err != nil && !c.ended {
			if c.busy && isTimeout(err) { // one that waits for its answer may be silent
				c.mu.Unlock()
				continue
			}
			c.end(c.reason(err))
		}
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// deadline is when a read is given up. Only the reader writes begun.
func (c *conn) deadline() time.Time {
	if c.begun.IsZero() {
		return time.Now().Add(idleWait)
	}
	return c.begun.Add(requestWait)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

var errAhead = errors.New("too much ahead")

func (c *conn) reason(err error) string {
	switch {
	case isTimeout(err) && c.frames.Started():
		return "request-too-slow"
	case isTimeout(err):
		return "idle"
	case errors.Is(err, errAhead):
		return "too-much-ahead"
	case errors.Is(err, io.EOF):
		return "client-closed"
	}
	return "client-reset"
}

// advance starts on the next request if one is whole and none is being answered. The lock is held.
func (c *conn) advance() {
	if c.busy || c.ended || c.last {
		return
	}
	msg, err := c.frames.Next()
	var r *http1.Request
	switch {
	case err == nil && msg == nil:
		if c.frames.WantsContinue() {
			c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return
	case err == nil:
		r, err = c.parser.Request(msg)
	}
	c.busy, c.leave = true, nil
	c.count++
	if err != nil {
		c.last = true
		go c.respond(http1.Problem(err))
		return
	}
	c.last = r.Close || !r.ProtoAtLeast(1, 1)
	c.leave = c.s.handler.Serve(r, func(a *http1.Answer) { go c.respond(a) })
}

// respond writes an answer, and goes on to what the client sent meanwhile.
func (c *conn) respond(a *http1.Answer) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.last = c.last || c.s.Draining()
	c.out = a.Append(c.out[:0], c.last)
	last := c.last
	c.mu.Unlock()
	// Not under the lock, so that a client that doesn't read its answer can still be seen to go.
	c.nc.SetWriteDeadline(time.Now().Add(requestWait))
	_, err := c.nc.Write(c.out)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.leave, c.used = false, nil, time.Now()
	if cap(c.out) > 16<<10 { // memory is short, and most answers are
		c.out = nil
	}
	switch {
	case c.ended:
	case err != nil:
		c.end("answer-not-written")
	case last || c.s.closed.Load():
		c.end("answered-last")
	default:
		c.advance()
	}
}

// idleSince tells since when nothing has been asked on the connection.
func (c *conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, !c.ended && !c.busy && !c.frames.Started()
}

func (c *conn) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.frames.Started() {
		c.end(code)
	}
}

// end closes the connection and leaves its log line. The lock is held.
func (c *conn) end(code string) {
	if c.ended {
		return
	}
	c.ended = true
	if c.leave != nil {
		c.leave()
	}
	c.nc.Close()
	c.s.log.Info().Str("side", "client").Str("code", code).Bool("waiting", c.busy).Int("requests", c.count).
		Dur("age", time.Since(c.since)).Msg("connection ended")
}
