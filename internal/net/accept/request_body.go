package accept

import (
	"bytes"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// request handles a request whose head was read: it reads or streams the body, passes the request to the
// Streamer and waits for the response. It reports whether to read the next request.
func (c *streamConnection) request(r *http.Request) bool {
	x := &Exchange{Request: r, Peer: c.netConn.RemoteAddr(), conn: c, terms: &transfer.Terms{}}
	if t, ok := c.netConn.(*tls.Conn); ok {
		state := t.ConnectionState()
		r.TLS = &state
	}
	x.expect = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	length := c.pieces.Length()
	short := length >= 0 && length <= int64(c.server.streams.Short)
	store := c.server.streams.Store
	switch {
	case short && (!x.expect || length == 0 || store != nil):
		if x.expect && length > 0 {
			c.allowContinue(x)
		}
		body, ok := c.collect(int(length))
		if !ok {
			return false
		}
		x.Upload, x.complete = transfer.Buffered(body), true
	case store != nil && store.Fits(length):
		if x.expect {
			c.allowContinue(x)
		}
		if !c.store(x, length) {
			return false
		}
	default:
		x.Upload, x.Long = transfer.Streaming(length, nil, 0), true
	}
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		x.Upload.Close()
		return false
	}
	c.transition(stateServing)
	c.exchange, c.received = x, 0
	c.count++
	c.closeAfter = r.Close || !r.ProtoAtLeast(1, 1)
	c.mu.Unlock()
	cancel := c.server.streamer.Stream(x)
	c.mu.Lock()
	x.cancel = cancel
	closed := c.state == stateClosed
	if closed { // while Stream ran, so end may have missed what Stream reserved
		c.release(x)
	}
	c.mu.Unlock()
	if closed && cancel != nil {
		cancel()
	}
	if x.Long && !c.upload(x) {
		return false
	}
	return c.awaitResponse(x)
}

// bodyPreallocMax is the largest buffer, in bytes, that is allocated for a body before it is received.
const bodyPreallocMax = 16 << 10

// collect reads a short body completely. ok is false if the request was refused or the connection ended.
func (c *streamConnection) collect(length int) (body []byte, ok bool) {
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			c.refuse(err)
			return nil, false
		case kind == http1.Data:
			if body == nil {
				body = make([]byte, 0, max(min(length, bodyPreallocMax), len(piece)))
			}
			body = append(body, piece...)
		case kind == http1.End:
			return body, true
		case kind == http1.More && !c.fill():
			return nil, false
		}
	}
}

// store reads a body into the store, until its end or until the store is full; in the latter case the rest
// is streamed. It reports false if the request was refused or the connection ended.
func (c *streamConnection) store(x *Exchange, length int64) bool {
	up := transfer.Stored(c.server.streams.Store)
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			up.Close()
			c.refuse(err)
			return false
		case kind == http1.Data && !up.Store(piece):
			up.StreamRest(length)
			x.Upload, x.Long, x.prefix = up, true, bytes.Clone(piece)
			return true
		case kind == http1.Data:
			x.up.Add(int64(len(piece)))
		case kind == http1.End:
			up.End(nil)
			x.Upload, x.complete = up, true
			return true
		case kind == http1.More && !c.fill():
			up.Close()
			return false
		}
	}
}

// answered reports whether the exchange has ended.
func (c *streamConnection) answered(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange != x
}

// failRequest ends a request whose body can't be read, with an error response. If part of the body was sent
// to a server, the server sees it as truncated.
func (c *streamConnection) failRequest(x *Exchange, err error) {
	c.mu.Lock()
	x.answer, c.closeAfter = http1.Problem(err), true
	c.mu.Unlock()
	x.Upload.Abort()
}

// errDraining is sent to a client that is still sending its request shortly before the process exits.
var errDraining = &http1.Error{Status: http.StatusServiceUnavailable, Reason: "draining"}

// refuseIncomplete refuses a request that is not completely received, unless its response has begun.
func (c *streamConnection) refuseIncomplete() {
	c.mu.Lock()
	x := c.exchange
	c.refusing = true
	switch {
	case x == nil:
		setReadDeadline(c.netConn, time.Now())
	case x.complete || x.responding:
		x = nil
	}
	c.mu.Unlock()
	if x != nil {
		c.failRequest(x, errDraining)
	}
}

// mustRefuse reports whether refuseIncomplete was called while part of a request head or of a buffered body
// was received. The reader then sends the error.
func (c *streamConnection) mustRefuse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing && c.exchange == nil && c.state == stateReceiving
}

// allowContinue sends 100 Continue, unless the response has begun or the connection is closed.
func (c *streamConnection) allowContinue(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.exchange != nil && c.exchange != x || x.responding {
		return
	}
	setWriteDeadline(c.netConn, time.Now().Add(writeTimeout))
	sendContinue(c.netConn)
}
