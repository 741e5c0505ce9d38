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

// connection is a connection to a server. Its reader waits for input also while the connection is idle, so
// that it notices at once when the server closes it.
type connection struct {
	forwarder   *Forwarder
	netConn     net.Conn
	endpoint    endpoint
	since       time.Time
	lastUsed    time.Time // when it last became idle; guarded by Forwarder.mu
	lastRequest any       // the last request, if it judges its responses itself; guarded by Forwarder.mu

	mu           sync.Mutex
	frames       *http1.Framer  // of responses that are buffered; else nil
	pieces       *http1.Pieces  // of responses that are streamed; else nil
	interim      [][]byte       // heads of 1xx responses before the final one
	bufferedHead *http.Response // of the response that is being buffered, or nil; used only by the reader
	bufferedBody []byte         // the part of its body received so far
	parser       http1.Parser
	out          []byte
	exchange     *exchange     // nil while idle
	writing      bool          // the request head, or a whole request, is being written
	sentNotify   chan struct{} // closed once the request was sent completely; nil: the reader is not waiting
	readErr      error         // read error that occurred while the request was being written
	ended        bool
	closeOnce    sync.Once
	misdelivered bool // a response to another request was received; used only by the reader
	count        int  // of requests
	// keepAliveKnown says that the server has announced how long it keeps idle connections; used only by the
	// reader.
	keepAliveKnown bool
	keepAlive      time.Duration
}

// wantedReader is a connection that can leave input unread while no response is expected.
type wantedReader interface {
	ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error)
	Unread() bool
}

// receive reads input, but only while the connection carries an attempt. Input on an idle connection stays
// unread, so that write can detect it before it sends a request. Otherwise such input could be read just
// before the next request is written, and be taken for its response.
func (c *connection) receive(buf []byte) (int, error) {
	if g, ok := c.netConn.(wantedReader); ok {
		return g.ReadWanted(buf, &c.mu, func() bool { return c.exchange != nil || c.ended })
	}
	return c.netConn.Read(buf)
}

// unread reports whether an idle connection has unread input, which is unsolicited. It must be called with mu
// held.
func (c *connection) unread() bool {
	g, ok := c.netConn.(wantedReader)
	return ok && c.exchange == nil && g.Unread()
}

// read reads responses until the connection ends.
func (c *connection) read() {
	buf := make([]byte, readBufferSize)
	for c.readOnce(buf) {
	}
}

// readOnce waits for input and handles it. It reports whether to continue to read.
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
	x, ended, responseStarted := c.exchange, c.ended, c.started()
	writerEnds := err != nil && n == 0 && c.writing
	if writerEnds {
		c.readErr = err
	}
	c.mu.Unlock()
	switch {
	case ended || writerEnds: // write knows whether the last byte was sent, and ends the attempt
		return false
	case isTimeout(err):
		return c.handleTimeout(x, responseStarted)
	case x == nil:
		code := "unasked-bytes"
		if err != nil {
			code = "server-closed-idle"
		}
		c.forwarder.remove(c)
		c.finish(core.Result{Code: choice.Reset}, code)
		return false
	case c.pieces != nil:
		return c.readResponse(buf, err)
	}
	return c.readBuffered(err)
}

// endUnwanted ends an idle connection that has input: unsolicited bytes, or the end of the stream.
func (c *connection) endUnwanted(buf []byte) {
	n, err := c.netConn.Read(buf)
	code := "unasked-bytes"
	if n == 0 && err != nil {
		code = "server-closed-idle"
	}
	c.forwarder.remove(c)
	c.finish(core.Result{Code: choice.Reset}, code)
}

// handleTimeout handles an expired read deadline. It ends an idle connection, unless an attempt has just
// acquired it, and an attempt whose response head is overdue or whose response has stalled. It reports
// whether to continue to read.
func (c *connection) handleTimeout(x *exchange, responseStarted bool) bool {
	switch {
	case x == nil && c.forwarder.remove(c):
		c.end("idle")
		return false
	case x != nil && x.stream != nil && x.stream.overdue():
		c.finish(core.Result{Code: choice.TimedOut}, "answer-late")
		return false
	case x != nil && responseStarted:
		c.finish(core.Result{Code: choice.Reset}, codeBadResponse)
		return false
	}
	return true
}

// setReadDeadline sets the read deadline of a connection; the zero time means none. An error is ignored: it
// means that the connection has ended, and the next read returns it too.
func setReadDeadline(conn net.Conn, at time.Time) { _ = conn.SetReadDeadline(at) }

// isTimeout reports whether a read failed because its deadline expired.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 4 << 10

// feed passes received bytes to the parser. It must be called with mu held.
func (c *connection) feed(p []byte) {
	if c.pieces != nil {
		c.pieces.Feed(p)
	} else {
		c.frames.Feed(p)
	}
}

// started reports whether part of a response was received. It must be called with mu held.
func (c *connection) started() bool {
	if c.pieces != nil {
		return c.pieces.Begun()
	}
	return c.frames.Started()
}

// becomeIdle returns a connection whose response is complete to the pool, unless it has ended. It returns the
// attempt that it carried and whether the connection has ended.
func (c *connection) becomeIdle() (x *exchange, ended bool) {
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

// finish ends the connection and, with res, the attempt that it carries.
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
		x.finish(res)
	}
}

// end closes the connection and logs the code.
func (c *connection) end(code string) { c.endWith(nil, code) }

// endWith closes the connection and logs the code if the connection carries the attempt x; nil means any. The
// connection may have been reused for another attempt meanwhile, which must not be interrupted. Once endWith
// has returned, no byte is sent on a connection that has ended.
func (c *connection) endWith(x *exchange, code string) {
	c.mu.Lock()
	ended, reused := c.ended, x != nil && c.exchange != x
	c.ended = ended || !reused
	c.mu.Unlock()
	if !ended && reused {
		return
	}
	c.closeOnce.Do(func() { c.netConn.Close() })
	if ended {
		return
	}
	<-c.forwarder.slots
	c.forwarder.Log.Info().Str("side", "server").Str("code", code).Str("server", c.endpoint.server).
		Int("requests", c.count).Dur("age", time.Since(c.since)).Msg("connection ended")
}
