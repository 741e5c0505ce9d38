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

// request takes a request from its head on until it is answered. It reports whether to read on.
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
			c.proceed(x)
		}
		body, ok := c.collect(int(length))
		if !ok {
			return false
		}
		x.Upload, x.whole = transfer.Buffered(body), true
	case store != nil && store.Fits(length):
		if x.expect {
			c.proceed(x)
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
		x.Upload.Over()
		return false
	}
	c.transition(stateServing)
	c.exchange, c.received = x, 0
	c.count++
	c.last = r.Close || !r.ProtoAtLeast(1, 1)
	c.mu.Unlock()
	leave := c.server.streamer.Stream(x)
	c.mu.Lock()
	x.leave = leave
	gone := c.state == stateClosed
	if gone { // before it was known what the exchange holds
		c.settle(x)
	}
	c.mu.Unlock()
	if gone && leave != nil {
		leave()
	}
	if x.Long && !c.upload(x) {
		return false
	}
	return c.await(x)
}

// keepMost is the most memory that a body is given before it has come.
const keepMost = 16 << 10

// collect reads a short body.
func (c *streamConnection) collect(length int) (body []byte, ok bool) {
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			c.refuse(err)
			return nil, false
		case kind == http1.Data:
			if body == nil {
				body = make([]byte, 0, max(min(length, keepMost), len(piece)))
			}
			body = append(body, piece...)
		case kind == http1.End:
			return body, true
		case kind == http1.More && !c.fill():
			return nil, false
		}
	}
}

// store reads a body into the store, to its end or as far as there is room. It reports whether the connection
// is still there.
func (c *streamConnection) store(x *Exchange, length int64) bool {
	up := transfer.Stored(c.server.streams.Store)
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			up.Over()
			c.refuse(err)
			return false
		case kind == http1.Data && !up.Store(piece):
			up.Flow(length)
			x.Upload, x.Long, x.prefix = up, true, bytes.Clone(piece)
			return true
		case kind == http1.Data:
			x.up.Add(int64(len(piece)))
		case kind == http1.End:
			up.End(nil)
			x.Upload, x.whole = up, true
			return true
		case kind == http1.More && !c.fill():
			up.Over()
			return false
		}
	}
}

// answered reports whether an exchange is over.
func (c *streamConnection) answered(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange != x
}

// spoil ends a request in whose body something is wrong. What has left of it ends at the server as broken
// off.
func (c *streamConnection) spoil(x *Exchange, err error) {
	c.mu.Lock()
	x.answer, c.last = http1.Problem(err), true
	c.mu.Unlock()
	x.Upload.Break()
}

// errDraining is told to a client that is still sending when the process is about to end.
var errDraining = &http1.Error{Status: http.StatusServiceUnavailable, Reason: "draining"}

// turnBack refuses a request that is not whole yet.
func (c *streamConnection) turnBack() {
	c.mu.Lock()
	x := c.exchange
	c.turned = true
	switch {
	case x == nil:
		setReadDeadline(c.netConn, time.Now())
	case x.whole || x.told:
		x = nil
	}
	c.mu.Unlock()
	if x != nil {
		c.spoil(x, errDraining)
	}
}

func (c *streamConnection) turnedBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.turned && c.exchange == nil && c.state == stateReceiving
}

// proceed tells a client that asked whether to send its body.
func (c *streamConnection) proceed(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.exchange != nil && c.exchange != x || x.told {
		return
	}
	setWriteDeadline(c.netConn, time.Now().Add(answerWait))
	sendContinue(c.netConn)
}
