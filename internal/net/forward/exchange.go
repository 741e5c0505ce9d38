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

// exchange is one attempt under way.
type exchange struct {
	core.Attempt
	forwarder *Forwarder

	mu      sync.Mutex
	cancel  context.CancelFunc // ends a dial
	aborted bool
	written bool // the last byte may have gone out
	conn    *connection

	stream *bodyStream // nil: the answer is held whole
}

// over ends the attempt.
func (x *exchange) over(res core.Result) {
	if x.stream != nil {
		x.stream.over(&res)
	}
	x.End(res)
}

// reuse writes the request to an idle connection, or to another if that one is spoilt.
func (x *exchange) reuse(c *connection) {
	for ; c != nil; c = x.forwarder.acquire(placeOf(x.Server), x.Payload) {
		if !x.on(c) {
			return
		}
		if rest := settleTime - time.Since(c.used); rest > 0 {
			time.Sleep(rest)
		}
		if x.write(c) {
			return
		}
		if x.givenUp() { // before a byte has left
			x.over(core.Result{Code: choice.Refused})
			return
		}
	}
	x.dial()
}

func (x *exchange) givenUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}

// on notes which connection the attempt goes by. If it was aborted meanwhile, it ends here with it.
func (x *exchange) on(c *connection) bool {
	x.mu.Lock()
	x.conn = c
	aborted := x.aborted
	x.mu.Unlock()
	if aborted {
		c.end("attempt-given-up")
		x.over(core.Result{Code: choice.Refused})
	}
	return !aborted
}

// Abort closes the attempt's connection, if the attempt is still on it. Whether it may have run is told by
// what had left when the connection was closed: until then, its last byte could still go.
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
	mayHaveRun = x.written
	x.mu.Unlock()
	if x.stream != nil {
		mayHaveRun = (mayHaveRun || x.stream.lost()) && !x.stream.unsent()
	}
	return mayHaveRun
}

// AbortUnsent ends the attempt if nothing of its request has left: from then on nothing will.
func (x *exchange) AbortUnsent() bool {
	x.mu.Lock()
	unsent := !x.written
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
		x.begin(nc)
	}
}

// connect opens a connection, or ends the attempt.
func (x *exchange) connect(ctx context.Context, cancel context.CancelFunc) net.Conn {
	x.mu.Lock()
	x.cancel = cancel
	aborted := x.aborted
	x.mu.Unlock()
	if aborted {
		x.over(core.Result{Code: choice.Refused})
		return nil
	}
	select {
	case x.forwarder.slots <- struct{}{}:
	default: // guards the limit on sockets: the gate takes it for a server that accepts no more
		x.forwarder.Log.Warn().Str("code", "too-many-connections").Msg("attempt not sent")
		x.over(core.Result{Code: choice.Refused})
		return nil
	}
	nc, err := x.forwarder.Dial(ctx, "tcp", x.Server.Addr)
	if err != nil {
		<-x.forwarder.slots
		x.forwarder.Log.Info().Str("side", "server").Str("code", "dial-failed").Str("server", x.Server.Name).
			Err(err).Msg("connection ended")
		x.over(core.Result{Code: choice.Refused})
		return nil
	}
	return nc
}

// begin sends the request on a new connection, and reads that to its end.
func (x *exchange) begin(nc net.Conn) {
	c := &connection{forwarder: x.forwarder, netConn: nc, at: placeOf(x.Server), since: time.Now()}
	if x.stream != nil {
		c.pieces = http1.ResponsePieces(x.forwarder.Limits.Head)
	} else {
		c.frames = http1.NewResponses(x.forwarder.Limits)
	}
	if !x.on(c) {
		return
	}
	if !x.write(c) {
		x.over(core.Result{Code: choice.Refused})
		return
	}
	c.read()
}

// write hands the request to a connection. What breaks before a byte is written has never run, and is said of
// nothing else. It reports false if it wrote nothing and did not end the attempt: the connection has ended or
// is spoilt.
func (x *exchange) write(c *connection) bool {
	c.mu.Lock()
	msg := x.Payload.(Message).Append(c.out[:0], x.Server, x.Timeout)
	if x.stream != nil {
		msg = x.stream.begin(msg)
	}
	c.out = msg
	spoilt := !c.ended && c.unread()
	x.mu.Lock()
	stop := x.aborted || c.ended || spoilt
	x.written = !stop
	x.mu.Unlock()
	if !stop {
		c.exchange, c.writing = x, true
		c.count++
		if x.stream != nil && x.stream.head {
			c.pieces.NoBody()
		}
	}
	c.mu.Unlock()
	if stop {
		code := "attempt-given-up"
		if spoilt {
			code = "unasked-bytes"
		}
		c.end(code)
		return false
	}
	n, err := c.netConn.Write(msg)
	c.mu.Lock()
	c.writing = false
	if err == nil {
		err = c.broke
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
		x.written = false
		x.mu.Unlock()
		c.finish(core.Result{Code: choice.Refused}, "not-written")
		return true
	}
	c.finish(core.Result{Code: choice.Reset}, "server-reset")
	return true
}
