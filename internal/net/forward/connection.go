package forward

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/direct"
)

// connection is one to a server. Its reader also waits while it is idle, and so sees at once when the
// server closes it.
type connection struct {
	forwarder *Forwarder
	netConn   net.Conn
	at        place
	since     time.Time
	used      time.Time // when it last became idle; the pool's lock guards it
	last      any       // the request that it carried last, if that judges its answers; likewise

	mu         sync.Mutex
	frames     *http1.Framer  // of answers held whole; else nil
	pieces     *http1.Pieces  // of those passed on; else nil
	interim    [][]byte       // 1xx answers before the one awaited
	head       *http.Response // of the answer that is being held; nil: none is. The reader's
	held       []byte         // and what has come of its body
	parser     http1.Parser
	out        []byte
	exchange   *exchange     // nil while idle
	writing    bool          // the request is on its way out
	sentSignal chan struct{} // closed once it has gone out whole; nil: the reader does not wait for that
	broke      error         // what the reader met meanwhile
	ended      bool
	shut       sync.Once
	foreign    bool // an answer has come that is not the request's. The reader's
	count      int
	// keepAliveTold says that the server has told how long it keeps idle connections. The reader's.
	keepAliveTold bool
	keepAlive     time.Duration
}

// guarded is a connection that can leave alone what nobody has asked for.
type guarded interface {
	ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error)
	Unread() bool
}

// receive reads, but only while an attempt is on the connection: what comes to an idle one stays unread, so
// that whoever is about to use it can see it. Else it might be read just before the next request is written,
// and be taken for its answer just after.
func (c *connection) receive(buf []byte) (int, error) {
	if g, ok := c.netConn.(guarded); ok {
		return g.ReadWanted(buf, &c.mu, func() bool { return c.exchange != nil || c.ended })
	}
	return c.netConn.Read(buf)
}

// unread reports whether something has come that nobody asked for. The lock is held.
func (c *connection) unread() bool {
	g, ok := c.netConn.(guarded)
	return ok && c.exchange == nil && g.Unread()
}

// read reads answers until the connection ends.
func (c *connection) read() {
	buf := make([]byte, readBufferSize)
	for c.readOnce(buf) {
	}
}

// readOnce reads some bytes, or waits for them. It reports whether to read on.
func (c *connection) readOnce(buf []byte) bool {
	n, err := c.receive(buf)
	if errors.Is(err, direct.ErrUnwanted) {
		c.endUnwanted(buf)
		return false
	}
	c.mu.Lock()
	if n > 0 {
		c.feed(buf[:n])
	}
	x, ended, begun := c.exchange, c.ended, c.started()
	left := err != nil && n == 0 && c.writing
	if left {
		c.broke = err
	}
	c.mu.Unlock()
	switch {
	case ended || left: // the writer knows whether the last byte went out, and so tells how it ended
		return false
	case isTimeout(err):
		return c.handleTimeout(x, begun)
	case x == nil:
		code := "unasked-bytes"
		if err != nil {
			code = "server-closed-idle"
		}
		c.forwarder.remove(c)
		c.finish(core.Result{Code: choice.Reset}, code)
		return false
	case c.pieces != nil:
		return c.pass(buf, err)
	}
	return c.answer(err)
}

// endUnwanted ends an idle connection on which something has come: noise, or its end.
func (c *connection) endUnwanted(buf []byte) {
	n, err := c.netConn.Read(buf)
	code := "unasked-bytes"
	if n == 0 && err != nil {
		code = "server-closed-idle"
	}
	c.forwarder.remove(c)
	c.finish(core.Result{Code: choice.Reset}, code)
}

// handleTimeout ends what has run out of time: an idle connection, unless an attempt has taken it just
// now, an answer whose head is overdue, or one that has stood still. It reports whether to read on.
func (c *connection) handleTimeout(x *exchange, begun bool) bool {
	switch {
	case x == nil && c.forwarder.remove(c):
		c.end("idle")
		return false
	case x != nil && x.stream != nil && x.stream.late():
		c.finish(core.Result{Code: choice.TimedOut}, "answer-late")
		return false
	case x != nil && begun:
		c.finish(core.Result{Code: choice.Reset}, codeBadAnswer)
		return false
	}
	return true
}

// setReadDeadline has reads of a connection end by a time; zero: never. An error tells that the
// connection has ended, which the next read tells, too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether a read has ended by its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readBufferSize is that of a connection, in bytes.
const readBufferSize = 4 << 10

// feed takes bytes of an answer. The lock is held.
func (c *connection) feed(p []byte) {
	if c.pieces != nil {
		c.pieces.Feed(p)
	} else {
		c.frames.Feed(p)
	}
}

// started reports whether part of an answer is here. The lock is held.
func (c *connection) started() bool {
	if c.pieces != nil {
		return c.pieces.Begun()
	}
	return c.frames.Started()
}

// rest makes a connection idle whose answer has come whole.
func (c *connection) rest() (x *exchange, ended bool) {
	c.mu.Lock()
	x, kept := c.exchange, c.count > 1
	c.exchange = nil
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	ended = c.ended
	c.mu.Unlock()
	if kept {
		c.forwarder.recordReuse(false)
	}
	if !ended {
		c.forwarder.release(c, x)
	}
	return x, ended
}

// finish ends the connection, and with it the attempt that it carries.
func (c *connection) finish(res core.Result, code string) {
	c.mu.Lock()
	x := c.exchange
	c.exchange = nil
	broke := x != nil && c.count > 1 && code == "server-reset" && !c.started()
	c.mu.Unlock()
	if broke {
		c.forwarder.recordReuse(true)
	}
	c.end(code)
	if x != nil {
		x.over(res)
	}
}

// end closes the connection and leaves its log line.
func (c *connection) end(code string) { c.endWith(nil, code) }

// endWith does so if the connection carries that attempt; nil: whatever it carries. Guards another attempt,
// to which the connection may have gone over. Once it returns, no byte leaves by a connection that was ended.
func (c *connection) endWith(x *exchange, code string) {
	c.mu.Lock()
	ended, others := c.ended, x != nil && c.exchange != x
	c.ended = ended || !others
	c.mu.Unlock()
	if !ended && others {
		return
	}
	c.shut.Do(func() { c.netConn.Close() })
	if ended {
		return
	}
	<-c.forwarder.slots
	c.forwarder.Log.Info().Str("side", "server").Str("code", code).Str("server", c.at.server).
		Int("requests", c.count).Dur("age", time.Since(c.since)).Msg("connection ended")
}
