package forward

import (
	"errors"
	"io"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// readBuffered ends the attempt if its response is complete. readErr is the error of the last read. It
// reports whether to continue to read.
func (c *connection) readBuffered(readErr error) bool {
	c.mu.Lock()
	next := c.frames.Next
	if readErr != nil && errors.Is(readErr, io.EOF) {
		next = c.frames.End
	}
	msg, err := next()
	var r *http1.Response
	if err == nil && msg != nil {
		if r, err = c.parser.Response(msg); err == nil {
			c.readKeepAlive(r.Header)
		}
	}
	x, beyond := c.exchange, c.frames.Buffered() > 0
	c.mu.Unlock()
	switch {
	case err != nil:
		c.finish(core.Result{Code: choice.Reset}, "bad-answer")
		return false
	case r == nil && readErr != nil:
		c.finish(core.Result{Code: choice.Reset}, "server-reset")
		return false
	case r == nil:
		if beyond && c.forwarder.Stall > 0 {
			setReadDeadline(c.netConn, time.Now().Add(c.forwarder.Stall))
		}
		return true
	}
	result := c.forwarder.Judge(r)
	if beyond { // unsolicited input must not be taken for the next response
		c.finish(result, "unasked-bytes")
		return false
	}
	if r.Close || readErr != nil || !r.ProtoAtLeast(1, 1) {
		c.finish(result, "server-closed")
		return false
	}
	if x != nil && !c.awaitRequestSent(x) { // the server would take the rest for the next request
		c.finish(result, "answered-early")
		return false
	}
	x, ended := c.becomeIdle()
	if x != nil {
		x.finish(result)
	}
	return !ended
}
