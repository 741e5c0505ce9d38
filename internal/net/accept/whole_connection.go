package accept

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"dunespoke/internal/http1"
)

// bufferedConnection is a client connection whose messages are buffered completely. Its reader continues to
// read while a request is being answered, to detect that the client disconnects.
type bufferedConnection struct {
	server  *Server
	netConn net.Conn
	since   time.Time

	mu             sync.Mutex
	frames         *http1.Framer
	parser         http1.Parser
	busy           bool      // a request is being answered
	closeAfter     bool      // the connection closes after the current response; further input is discarded
	unreadInput    bool      // the rest of a refused request may still arrive
	discarded      int       // bytes of input discarded
	lingerUntil    time.Time // when to stop discarding input; zero until the last response was sent
	cancel         func()    // tells the Handler that the client disconnected; may be nil
	receivingSince time.Time // when the request that is being received began; zero: none is
	received       int       // bytes of it so far
	out            []byte
	ended          bool
	count          int       // of requests
	lastUsed       time.Time // when the last response was written, or the connection accepted
}

// maxPipelinedBytes limits the input that is buffered while a request is being answered: one complete
// request. Beyond it, and beyond the size limits of a request, the connection closes after the current
// response.
const maxPipelinedBytes = 96 << 10

// read reads requests until the connection ends.
func (c *bufferedConnection) read() {
	defer c.server.remove(c)
	buf := make([]byte, readBufferSize)
	for {
		setReadDeadline(c.netConn, c.deadline())
		n, err := c.netConn.Read(buf)
		if n == 0 && isTimeout(err) { // read input that arrived before the deadline but was not read in time
			setReadDeadline(c.netConn, time.Now().Add(lateReadTimeout))
			n, err = c.netConn.Read(buf)
		}
		c.mu.Lock()
		switch {
		case n > 0 && c.closeAfter:
			if c.discarded += n; c.discarded > lingerMaxBytes {
				err = errTooMuchPipelined
			}
		case n > 0:
			c.frames.Feed(buf[:n])
			c.advance()
			switch receiving := !c.busy && c.frames.Started(); {
			case !receiving:
				c.receivingSince, c.received = time.Time{}, 0
			case c.receivingSince.IsZero(): // only at the first byte, or a slow client could go on forever
				c.receivingSince, c.received = time.Now(), n
			default:
				c.received += n
			}
			c.closeAfter = c.closeAfter ||
				c.frames.Buffered() > max(maxPipelinedBytes, c.server.limits.Head+c.server.limits.Body)
		}
		switch {
		case err == nil || c.ended:
		case isTimeout(err) && c.busy: // a client that waits for its response may be silent
		case isTimeout(err) && c.lingerUntil.IsZero() && c.frames.Started():
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

// deadline returns the deadline of the next read.
func (c *bufferedConnection) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.lingerUntil.IsZero():
		return c.lingerUntil
	case c.count == 0:
		return c.since.Add(requestTimeout + allowance(c.received))
	case c.receivingSince.IsZero():
		return time.Now().Add(idleTimeout)
	}
	return c.receivingSince.Add(requestTimeout + allowance(c.received))
}

// reason returns the log code for a connection whose read failed with err.
func (c *bufferedConnection) reason(err error) string {
	switch {
	case !c.lingerUntil.IsZero():
		return "answered-last"
	case isTimeout(err) && c.count == 0:
		return "silent"
	case isTimeout(err):
		return "idle"
	}
	return closeReason(c.netConn, err)
}

// advance passes the next request to the Handler if it is complete and none is being answered. It must be
// called with mu held.
func (c *bufferedConnection) advance() {
	if c.busy || c.ended || c.closeAfter {
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
	c.busy, c.cancel = true, nil
	c.count++
	c.closeAfter = r.Close || !r.ProtoAtLeast(1, 1)
	c.cancel = c.server.handler.Serve(r, func(a *http1.Answer) { go c.respond(a) })
}

// refuse sends an error response to a request that is malformed or too slow. Further input is discarded. It
// must be called with mu held.
func (c *bufferedConnection) refuse(err error) {
	c.busy, c.cancel, c.closeAfter, c.unreadInput, c.receivingSince = true, nil, true, true, time.Time{}
	c.count++
	go c.respond(http1.Problem(err))
}

// respond writes a response, then starts the next request if the client has sent one meanwhile.
func (c *bufferedConnection) respond(a *http1.Answer) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.closeAfter = c.closeAfter || c.server.Draining() || c.server.overHalfFull()
	c.out = a.Append(c.out[:0], c.closeAfter)
	last := c.closeAfter
	c.mu.Unlock()
	// Write without the lock, so that the reader still detects when a client that doesn't read disconnects.
	setWriteDeadline(c.netConn, time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(c.out)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.cancel, c.lastUsed = false, nil, time.Now()
	if cap(c.out) > 16<<10 { // most responses are short: don't keep a large buffer
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

// lingers closes the sending side of a connection whose client may still be sending. It reports whether the
// connection stays open for a while to discard input. It must be called with mu held.
func (c *bufferedConnection) lingers() bool {
	if !c.unreadInput && c.discarded == 0 || !closeWrite(c.netConn) {
		return false
	}
	c.lingerUntil = time.Now().Add(lingerTimeout)
	setReadDeadline(c.netConn, c.lingerUntil)
	return true
}

// usage returns the rank of the connection for eviction.
func (c *bufferedConnection) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || !c.lingerUntil.IsZero():
		return usage{rankDone, c.since}
	case c.busy:
		return usage{rankBusy, c.since}
	}
	since := c.lastUsed
	if !c.receivingSince.IsZero() && c.count > 0 {
		since = c.receivingSince
	}
	switch {
	case c.count > 0 && !c.frames.Started():
		return usage{rankIdle, since}
	case time.Since(since) < silentTimeout:
		return usage{rankNew, since}
	}
	return usage{rankSilent, since}
}

// evict closes the connection, unless a request is being answered. It reports whether the connection is
// closed; one that has already ended counts as closed.
func (c *bufferedConnection) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && !c.ended {
		return false
	}
	c.end("made-room")
	return true
}

// closeIdle closes the connection if no request is being received or answered and it is not new.
func (c *bufferedConnection) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.frames.Started() && !recentlyConnected(c.count, c.since) {
		c.end(code)
	}
}

// refuseIncomplete does nothing, as buffered messages are short.
func (c *bufferedConnection) refuseIncomplete() {}

// cut closes the connection even if a request is being answered.
func (c *bufferedConnection) cut(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(code)
}

// end closes the connection and logs the code. It must be called with mu held.
func (c *bufferedConnection) end(code string) {
	if c.ended {
		return
	}
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
	c.netConn.Close()
	c.server.log.Info().Str("side", "client").Str("code", code).Bool("waiting", c.busy).Int("requests", c.count).
		Dur("age", time.Since(c.since)).Msg("connection ended")
}
