package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// exchange is one attempt in flight.
type exchange struct {
	core.Attempt
	forwarder *Forwarder

	mu          sync.Mutex
	cancel      context.CancelFunc // cancels the dial
	aborted     bool
	mayHaveSent bool // the last byte of the request, or of its head, may have been sent
	conn        *connection

	stream *bodyStream // nil: the response is buffered
}

// finish ends the attempt with a result.
func (x *exchange) finish(res core.Result) {
	if x.stream != nil {
		x.stream.finish(&res)
	}
	x.End(res)
}

// reuse writes the request to an idle connection. If that one has ended or has unsolicited input, it tries
// another, and dials when the pool is empty.
func (x *exchange) reuse(c *connection) {
	for ; c != nil; c = x.forwarder.acquire(endpointOf(x.Server), x.Payload) {
		if !x.setConnection(c) {
			return
		}
		if rest := settleTime - time.Since(c.lastUsed); rest > 0 {
			time.Sleep(rest)
		}
		if x.write(c) {
			return
		}
		if x.isAborted() { // before a byte was sent
			x.finish(core.Result{Code: choice.Refused})
			return
		}
	}
	x.dial()
}

// isAborted reports whether the attempt was aborted.
func (x *exchange) isAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}

// setConnection records the connection that the attempt uses. If the attempt was aborted meanwhile, it ends
// the attempt and the connection, and reports false.
func (x *exchange) setConnection(c *connection) bool {
	x.mu.Lock()
	x.conn = c
	aborted := x.aborted
	x.mu.Unlock()
	if aborted {
		c.end("attempt-given-up")
		x.finish(core.Result{Code: choice.Refused})
	}
	return !aborted
}

// Abort closes the attempt's connection, if it still carries the attempt. Whether the request may have run is
// decided only after the connection was closed, since until then its last byte could still be sent.
func (x *exchange) Abort() (mayHaveRun bool) {
	x.mu.Lock()
	x.aborted = true
	c, cancel := x.conn, x.cancel
	x.mu.Unlock()
	if x.stream != nil {
		x.stream.detach()
	}
	if cancel != nil {
		cancel()
	}
	if c != nil {
		c.endWith(x, "attempt-given-up")
	}
	x.mu.Lock()
	mayHaveRun = x.mayHaveSent
	x.mu.Unlock()
	if x.stream != nil {
		mayHaveRun = (mayHaveRun || x.stream.lost()) && !x.stream.notStarted()
	}
	return mayHaveRun
}

// AbortUnsent aborts the attempt if nothing of its request was sent, and nothing will be sent afterwards. It
// reports whether it did.
func (x *exchange) AbortUnsent() bool {
	x.mu.Lock()
	unsent := !x.mayHaveSent
	x.aborted = x.aborted || unsent
	x.mu.Unlock()
	if unsent {
		x.Abort()
	}
	return unsent
}

// dial opens a connection and writes the request to it.
func (x *exchange) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), x.forwarder.DialTimeout)
	defer cancel()
	if nc := x.connect(ctx, cancel); nc != nil {
		cancel()
		x.start(nc)
	}
}

// connect opens a connection. If that fails, it ends the attempt and returns nil.
func (x *exchange) connect(ctx context.Context, cancel context.CancelFunc) net.Conn {
	x.mu.Lock()
	x.cancel = cancel
	aborted := x.aborted
	x.mu.Unlock()
	if aborted {
		x.finish(core.Result{Code: choice.Refused})
		return nil
	}
	select {
	case x.forwarder.slots <- struct{}{}:
	default: // at the limit of sockets; counts as a server that refuses connections
		x.forwarder.Log.Warn().Str("code", "too-many-connections").Msg("attempt not sent")
		x.finish(core.Result{Code: choice.Refused})
		return nil
	}
	nc, err := x.forwarder.Dial(ctx, "tcp", x.Server.Addr)
	if err != nil {
		<-x.forwarder.slots
		x.forwarder.Log.Info().Str("side", "server").Str("code", "dial-failed").Str("server", x.Server.Name).
			Err(err).Msg("connection ended")
		x.finish(core.Result{Code: choice.Refused})
		return nil
	}
	return nc
}

// start sends the request on a new connection and reads from it until it ends.
func (x *exchange) start(nc net.Conn) {
	c := &connection{forwarder: x.forwarder, netConn: nc, endpoint: endpointOf(x.Server), since: time.Now()}
	if x.stream != nil {
		c.pieces = http1.ResponsePieces(x.forwarder.Limits.Head)
	} else {
		c.frames = http1.NewResponses(x.forwarder.Limits)
	}
	if !x.setConnection(c) {
		return
	}
	if !x.write(c) {
		x.finish(core.Result{Code: choice.Refused})
		return
	}
	c.read()
}

// write writes the request to a connection. If that fails before a byte was written, the request has not run
// and the attempt ends as refused; after that it may have run, and the attempt ends as reset. write reports
// false if it wrote nothing and did not end the attempt, because the attempt was aborted or the connection
// has ended or has unsolicited input.
func (x *exchange) write(c *connection) bool {
	c.mu.Lock()
	msg := x.Payload.(Message).Append(c.out[:0], x.Server, x.Timeout)
	if x.stream != nil {
		msg = x.stream.appendBody(msg)
	}
	c.out = msg
	unsolicited := !c.ended && c.unread()
	x.mu.Lock()
	stop := x.aborted || c.ended || unsolicited
	x.mayHaveSent = !stop
	x.mu.Unlock()
	if !stop {
		c.exchange, c.writing = x, true
		c.count++
		if x.stream != nil && x.stream.isHead {
			c.pieces.NoBody()
		}
	}
	c.mu.Unlock()
	if stop {
		code := "attempt-given-up"
		if unsolicited {
			code = "unasked-bytes"
		}
		c.end(code)
		return false
	}
	n, err := c.netConn.Write(msg)
	c.mu.Lock()
	c.writing = false
	if err == nil {
		err = c.readErr
	}
	if x.stream == nil {
		c.signalSent()
	}
	c.mu.Unlock()
	if err == nil {
		x.attach(c)
		return true
	}
	if n == 0 {
		x.mu.Lock()
		x.mayHaveSent = false
		x.mu.Unlock()
		c.finish(core.Result{Code: choice.Refused}, "not-written")
		return true
	}
	c.finish(core.Result{Code: choice.Reset}, "server-reset")
	return true
}
