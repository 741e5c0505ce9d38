package accept

import (
	"net/http"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// await reads on until a request is answered, for that is how it learns that the client has gone. It reports
// whether to read the next one.
func (c *streamConnection) await(x *Exchange) bool {
	c.mu.Lock()
	if c.exchange == x {
		setReadDeadline(c.netConn, time.Time{})
	}
	for {
		// the next request has come, or what is left of this one
		for c.exchange == x && c.state != stateClosed && c.pieces.Buffered() > 0 {
			c.changed.Wait()
		}
		switch {
		case c.state == stateClosed:
			c.mu.Unlock()
			return false
		case c.exchange != x && c.state == stateLingering:
			c.mu.Unlock()
			c.drop()
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
		case isTimeout(err) && c.exchange == x: // a deadline of before
			setReadDeadline(c.netConn, time.Time{})
		case isTimeout(err):
			c.end("idle")
		default:
			c.end(left(c.netConn, err))
		}
	}
}

// drop reads what a client still sends after its last answer, for a while, or to the body's end at its pace.
func (c *streamConnection) drop() {
	read, most := c.netConn.Read, int64(lingerMost)
	if c.server.streams.Rest != (flow.Pace{}) {
		setReadDeadline(c.netConn, time.Time{})
		read, most = transfer.NewSide(c.netConn, c.server.streams.Rest).Read, restMost
	}
	for spilt := int64(0); spilt <= most; {
		n, err := read(c.buf)
		if spilt += int64(n); err != nil {
			break
		}
	}
	c.cut("answered-last")
}

// refuse answers what can't be read, or came too slowly. Nothing more is read after it.
func (c *streamConnection) refuse(err error) {
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		return
	}
	c.last, c.count = true, c.count+1
	c.mu.Unlock()
	setWriteDeadline(c.netConn, time.Now().Add(answerWait))
	if _, err := c.netConn.Write(http1.Problem(err).Append(nil, true)); err == nil && closeWrite(c.netConn) {
		c.mu.Lock()
		c.transition(stateLingering)
		c.mu.Unlock()
		setReadDeadline(c.netConn, time.Now().Add(lingerWait))
		c.drop()
		return
	}
	c.cut("answered-last")
}

// closes reports whether the answer that begins now is the last one. The lock is held.
func (c *streamConnection) closes(x *Exchange) bool {
	x.told = true
	c.last = c.last || !x.whole || c.server.Draining() || c.server.crowded()
	return c.last
}

// respond writes a whole answer.
func (c *streamConnection) respond(x *Exchange, a *http1.Answer) {
	c.mu.Lock()
	if c.state == stateClosed || c.exchange != x {
		c.mu.Unlock()
		return
	}
	// Its body was not whole when x.answer was to be the answer; what had left of it may have run all the same.
	if p := c.server.streams.Promises; x.answer != nil &&
		(!p || http1.Promises(a.Status) || !http1.Promises(x.answer.Status)) {
		a = x.answer
	}
	out := a.Append(c.out[:0], c.closes(x))
	if x.Method == http.MethodHead {
		out = out[:len(out)-len(a.Body)]
	}
	c.out = out
	c.mu.Unlock()
	setWriteDeadline(c.netConn, time.Now().Add(answerWait))
	_, err := c.netConn.Write(out)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.end("answer-not-written")
	}
	c.finish(x)
}

// finish ends an exchange whose answer is out. The lock is held.
func (c *streamConnection) finish(x *Exchange) {
	c.settle(x)
	if c.state == stateClosed || c.exchange != x {
		return
	}
	if x.onEnd != nil {
		x.onEnd(true)
	}
	c.add(x)
	c.exchange, c.used = nil, time.Now()
	c.changed.Broadcast()
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	switch {
	case !c.last:
		c.transition(stateIdle)
		setReadDeadline(c.netConn, c.used.Add(c.server.streams.Idle))
	case x.whole || !closeWrite(c.netConn):
		c.end("answered-last")
	default: // the client may still be sending
		c.transition(stateLingering)
		if c.server.streams.Rest == (flow.Pace{}) {
			setReadDeadline(c.netConn, c.used.Add(lingerWait))
		} else { // the reader may be waiting by a deadline of the upload
			setReadDeadline(c.netConn, c.used)
		}
	}
}
