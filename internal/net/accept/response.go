package accept

import (
	"net/http"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// awaitResponse waits until the request is answered. Meanwhile it continues to read, to detect that the
// client disconnects. It reports whether to read the next request.
func (c *streamConnection) awaitResponse(x *Exchange) bool {
	c.mu.Lock()
	if c.exchange == x {
		setReadDeadline(c.netConn, time.Time{})
	}
	for {
		// Don't read more while input is buffered: it is the next request, or the rest of this one.
		for c.exchange == x && c.state != stateClosed && c.pieces.Buffered() > 0 {
			c.changed.Wait()
		}
		switch {
		case c.state == stateClosed:
			c.mu.Unlock()
			return false
		case c.exchange != x && c.state == stateLingering:
			c.mu.Unlock()
			c.discardInput()
			return false
		case c.exchange != x:
			if c.pieces.Buffered() > 0 {
				c.beginReceiving()
			}
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		n, err := c.netConn.Read(c.buf)
		if n > 0 {
			c.pieces.Feed(c.buf[:n])
		}
		c.mu.Lock()
		switch {
		case n > 0 || err == nil || c.state == stateClosed || c.state == stateLingering:
		case isTimeout(err) && c.exchange == x: // an earlier deadline expired
			setReadDeadline(c.netConn, time.Time{})
		case isTimeout(err):
			c.end("idle")
		default:
			c.end(closeReason(c.netConn, err))
		}
	}
}

// discardInput reads and discards input after the last response, then closes the connection. It ends at
// lingerTimeout and lingerMaxBytes or, if Streams.Rest is set, when the client is slower than that pace and
// at discardMaxBytes.
func (c *streamConnection) discardInput() {
	read, maxBytes := c.netConn.Read, int64(lingerMaxBytes)
	if c.server.streams.Rest != (flow.Pace{}) {
		setReadDeadline(c.netConn, time.Time{})
		read, maxBytes = transfer.NewSide(c.netConn, c.server.streams.Rest).Read, discardMaxBytes
	}
	for discarded := int64(0); discarded <= maxBytes; {
		n, err := read(c.buf)
		if discarded += int64(n); err != nil {
			break
		}
	}
	c.cut("answered-last")
}

// refuse sends an error response to a request that is malformed or too slow, and ends the connection.
func (c *streamConnection) refuse(err error) {
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		return
	}
	c.closeAfter, c.count = true, c.count+1
	c.mu.Unlock()
	setWriteDeadline(c.netConn, time.Now().Add(writeTimeout))
	if _, err := c.netConn.Write(http1.Problem(err).Append(nil, true)); err == nil && closeWrite(c.netConn) {
		c.mu.Lock()
		c.transition(stateLingering)
		c.mu.Unlock()
		setReadDeadline(c.netConn, time.Now().Add(lingerTimeout))
		c.discardInput()
		return
	}
	c.cut("answered-last")
}

// beginResponse marks the response as begun and reports whether the connection closes after it. It must be
// called with mu held.
func (c *streamConnection) beginResponse(x *Exchange) bool {
	x.responding = true
	c.closeAfter = c.closeAfter || !x.complete || c.server.Draining() || c.server.overHalfFull()
	return c.closeAfter
}

// respond writes a complete response, unless the exchange has ended.
func (c *streamConnection) respond(x *Exchange, a *http1.Answer) {
	c.mu.Lock()
	if c.state == stateClosed || c.exchange != x {
		c.mu.Unlock()
		return
	}
	// x.answer was set because the body was incomplete, but the part that a server received may have run. Under
	// Promises, a status that says that the request has not run needs the Streamer's agreement.
	if p := c.server.streams.Promises; x.answer != nil &&
		(!p || http1.Promises(a.Status) || !http1.Promises(x.answer.Status)) {
		a = x.answer
	}
	out := a.Append(c.out[:0], c.beginResponse(x))
	if x.Method == http.MethodHead {
		out = out[:len(out)-len(a.Body)]
	}
	c.out = out
	c.mu.Unlock()
	setWriteDeadline(c.netConn, time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(out)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.end("answer-not-written")
	}
	c.finish(x)
}

// finish ends an exchange whose response was written. It must be called with mu held.
func (c *streamConnection) finish(x *Exchange) {
	c.release(x)
	if c.state == stateClosed || c.exchange != x {
		return
	}
	if x.onEnd != nil {
		x.onEnd(true)
	}
	c.countBytes(x)
	c.exchange, c.lastUsed = nil, time.Now()
	c.changed.Broadcast()
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	switch {
	case !c.closeAfter:
		c.transition(stateIdle)
		setReadDeadline(c.netConn, c.lastUsed.Add(c.server.streams.Idle))
	case x.complete || !closeWrite(c.netConn):
		c.end("answered-last")
	default: // the client may still be sending
		c.transition(stateLingering)
		if c.server.streams.Rest == (flow.Pace{}) {
			setReadDeadline(c.netConn, c.lastUsed.Add(lingerTimeout))
		} else { // interrupts the reader, which may wait with a deadline of the upload
			setReadDeadline(c.netConn, c.lastUsed)
		}
	}
}
