package forward

import (
	"time"
)

// requestSent reports whether the request has gone out whole, and nobody writes to the connection any
// more. The lock is held.
func (c *connection) requestSent(x *exchange) bool {
	if x.stream != nil {
		return x.stream.sent.Load()
	}
	return !c.writing
}

// signalSent wakes the reader that waits for the request to have gone out. The lock is held.
func (c *connection) signalSent() {
	if c.sentSignal != nil {
		close(c.sentSignal)
		c.sentSignal = nil
	}
}

// sentAll reports whether the request has gone out whole. An answer may be here before the goroutine that
// wrote the last byte runs on: on a busy core that is no sign that the server has answered early, and the
// connection is good. So it is waited for, as long as a connection rests anyway.
func (c *connection) sentAll(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestSent(x) || x.stream != nil && x.stream.part.Load() {
		return c.requestSent(x)
	}
	told := make(chan struct{})
	c.sentSignal = told
	c.mu.Unlock()
	late := time.NewTimer(settleTime)
	defer late.Stop()
	select {
	case <-told:
	case <-late.C:
	}
	c.mu.Lock()
	c.sentSignal = nil
	return c.requestSent(x)
}
