package accept

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"dunespoke/internal/http1"
)

// wholeConnection is one client's connection. Its reader reads on while a request is being answered, for
// that is how it learns that the client has gone.
type wholeConnection struct {
	server  *Server
	netConn net.Conn
	since   time.Time

	mu     sync.Mutex
	frames *http1.Framer
	parser http1.Parser
	busy   bool      // a request is being answered
	last   bool      // nothing more is read after the answer at hand
	unread bool      // what was refused may still be coming
	spilt  int       // bytes read and dropped since nothing more is read
	linger time.Time // when to stop dropping; zero before the last answer is out
	leave  func()    // for the request being answered
	begun  time.Time // when the request that is coming in began; zero if none is
	fed    int       // bytes of it so far
	out    []byte
	ended  bool
	count  int
	used   time.Time // when the last answer was written, or the connection taken
}

// Buffered input beyond which a client that sends on while it waits is cut off: one whole request.
const mostAhead = 96 << 10

func (c *wholeConnection) read() {
	defer c.server.gone(c)
	buf := make([]byte, readBufferSize)
	for {
		setReadDeadline(c.netConn, c.deadline())
		n, err := c.netConn.Read(buf)
		if n == 0 && isTimeout(err) { // what has come meanwhile is read all the same
			setReadDeadline(c.netConn, time.Now().Add(lateWait))
			n, err = c.netConn.Read(buf)
		}
		c.mu.Lock()
		switch {
		case n > 0 && c.last:
			if c.spilt += n; c.spilt > lingerMost {
				err = errAhead
			}
		case n > 0:
			c.frames.Feed(buf[:n])
			c.advance()
			switch coming := !c.busy && c.frames.Started(); {
			case !coming:
				c.begun, c.fed = time.Time{}, 0
			case c.begun.IsZero(): // not anew with each byte, or a slow client would never end
				c.begun, c.fed = time.Now(), n
			default:
				c.fed += n
			}
			c.last = c.last || c.frames.Buffered() > max(mostAhead, c.server.limits.Head+c.server.limits.Body)
		}
		switch {
		case err == nil || c.ended:
		case isTimeout(err) && c.busy: // one that waits for its answer may be silent
		case isTimeout(err) && c.linger.IsZero() && c.frames.Started():
			c.refuse(&http1.Error{Status: 408, Reason: "request-too-slow"})
		default:
			c.end(c.reason(err))
		}
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// deadline is when a read is given up.
func (c *wholeConnection) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.linger.IsZero():
		return c.linger
	case c.count == 0:
		return c.since.Add(requestWait + allowance(c.fed))
	case c.begun.IsZero():
		return time.Now().Add(idleWait)
	}
	return c.begun.Add(requestWait + allowance(c.fed))
}

func (c *wholeConnection) reason(err error) string {
	switch {
	case !c.linger.IsZero():
		return "answered-last"
	case isTimeout(err) && c.count == 0:
		return "silent"
	case isTimeout(err):
		return "idle"
	}
	return left(c.netConn, err)
}

// advance starts on the next request if one is whole and none is being answered. The lock is held.
func (c *wholeConnection) advance() {
	if c.busy || c.ended || c.last {
		return
	}
	msg, err := c.frames.Next()
	var r *http1.Request
	switch {
	case err == nil && msg == nil:
		if c.frames.WantsContinue() {
			sendContinue(c.netConn)
		}
		return
	case err == nil:
		r, err = c.parser.Request(msg)
	}
	if err != nil {
		c.refuse(err)
		return
	}
	r.Peer = c.netConn.RemoteAddr()
	if t, ok := c.netConn.(*tls.Conn); ok {
		state := t.ConnectionState()
		r.TLS = &state
	}
	c.busy, c.leave = true, nil
	c.count++
	c.last = r.Close || !r.ProtoAtLeast(1, 1)
	c.leave = c.server.handler.Serve(r, func(a *http1.Answer) { go c.respond(a) })
}

// refuse answers what can't be read, or came too slowly. Nothing more is read after it. The lock is held.
func (c *wholeConnection) refuse(err error) {
	c.busy, c.leave, c.last, c.unread, c.begun = true, nil, true, true, time.Time{}
	c.count++
	go c.respond(http1.Problem(err))
}

// respond writes an answer, and goes on to what the client sent meanwhile.
func (c *wholeConnection) respond(a *http1.Answer) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.last = c.last || c.server.Draining() || c.server.crowded()
	c.out = a.Append(c.out[:0], c.last)
	last := c.last
	c.mu.Unlock()
	// Not under the lock, so that a client that doesn't read its answer can still be seen to go.
	setWriteDeadline(c.netConn, time.Now().Add(answerWait))
	_, err := c.netConn.Write(c.out)
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
	case !last && !c.server.closed.Load():
		c.advance()
	case !c.lingers():
		c.end("answered-last")
	}
}

// lingers ends the sending side of a connection whose client may still be sending, and reports whether what
// it sends is to be read on for a while. The lock is held.
func (c *wholeConnection) lingers() bool {
	if !c.unread && c.spilt == 0 || !closeWrite(c.netConn) {
		return false
	}
	c.linger = time.Now().Add(lingerWait)
	setReadDeadline(c.netConn, c.linger)
	return true
}

func (c *wholeConnection) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || !c.linger.IsZero():
		return usage{rankOver, c.since}
	case c.busy:
		return usage{rankBusy, c.since}
	}
	since := c.used
	if !c.begun.IsZero() && c.count > 0 {
		since = c.begun
	}
	switch {
	case c.count > 0 && !c.frames.Started():
		return usage{rankIdle, since}
	case time.Since(since) < silentWait:
		return usage{rankNew, since}
	}
	return usage{rankSilent, since}
}

// makeRoom closes a connection that is not being answered. One that has ended already makes room by that.
func (c *wholeConnection) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && !c.ended {
		return false
	}
	c.end("made-room")
	return true
}

func (c *wholeConnection) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.frames.Started() && !justCame(c.count, c.since) {
		c.end(code)
	}
}

// turnBack does nothing: messages held whole are short.
func (c *wholeConnection) turnBack() {}

// cut ends the connection, whatever it is used for.
func (c *wholeConnection) cut(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(code)
}

// end closes the connection and leaves its log line. The lock is held.
func (c *wholeConnection) end(code string) {
	if c.ended {
		return
	}
	c.ended = true
	if c.leave != nil {
		c.leave()
	}
	c.netConn.Close()
	c.server.log.Info().Str("side", "client").Str("code", code).Bool("waiting", c.busy).Int("requests", c.count).
		Dur("age", time.Since(c.since)).Msg("connection ended")
}
