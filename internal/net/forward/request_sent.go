package forward

import (
	"time"
)

// isRequestSent reports whether the request was sent completely and no goroutine writes to the connection any
// more. It must be called with mu held.
func (c *connection) isRequestSent(x *exchange) bool {
	if x.stream != nil {
		return x.stream.sent.Load()
	}
	return !c.writing
}

// signalSent wakes the reader if it waits in awaitRequestSent. It must be called with mu held.
func (c *connection) signalSent() {
	if c.sentNotify != nil {
		close(c.sentNotify)
		c.sentNotify = nil
	}
}

// awaitRequestSent reports whether the request was sent completely. The response may be received before the
// goroutine that wrote the last byte is scheduled again. On a busy CPU this does not mean that the server has
// answered early, and the connection is reusable. awaitRequestSent therefore waits up to settleTime, for
// which the connection would not be used anyway.
func (c *connection) awaitRequestSent(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRequestSent(x) || x.stream != nil && x.stream.incomplete.Load() {
		return c.isRequestSent(x)
	}
	sent := make(chan struct{})
	c.sentNotify = sent
	c.mu.Unlock()
	late := time.NewTimer(settleTime)
	defer late.Stop()
	select {
	case <-sent:
	case <-late.C:
	}
	c.mu.Lock()
	c.sentNotify = nil
	return c.isRequestSent(x)
}
