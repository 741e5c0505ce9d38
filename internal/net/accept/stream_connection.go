package accept

import (
	"net"
	"sync"
	"time"

	"dunespoke/internal/http1"
)

// streamConnection is a client connection whose requests and responses are streamed. One goroutine reads and
// writes request bodies to the server; each response is written to the client by a goroutine of its own.
type streamConnection struct {
	server  *Server
	netConn net.Conn
	since   time.Time
	pieces  *http1.Pieces // used only by the reading goroutine
	parser  http1.Parser
	buf     []byte

	mu         sync.Mutex
	changed    sync.Cond
	state      connectionState
	exchange   *Exchange // the request being answered; nil: none
	closeAfter bool      // the connection closes after the current response
	refusing   bool      // incomplete requests are refused, as the process is about to exit
	count      int       // of requests
	lastUsed   time.Time // when the last response was sent, or the connection accepted
	// receivingSince is when the request that is being received began; received counts its bytes so far.
	receivingSince time.Time
	received       int
	up, down       int64 // body bytes of ended exchanges
	out            []byte
}

// readBufferSize is the size of a connection's read buffer, in bytes. Most requests fit.
const readBufferSize = 4 << 10

func newStreamConnection(s *Server, nc net.Conn, now time.Time) *streamConnection {
	c := &streamConnection{server: s, netConn: nc, since: now, lastUsed: now,
		pieces: http1.RequestPieces(s.streams.Head), buf: make([]byte, readBufferSize)}
	c.changed.L = &c.mu
	return c
}

// read reads and handles requests until the connection ends.
func (c *streamConnection) read() {
	defer c.server.remove(c)
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			c.refuse(err)
			return
		case kind == http1.More:
			if !c.fill() {
				return
			}
		case kind == http1.Head:
			r, err := c.parser.RequestHead(piece)
			if err != nil {
				c.refuse(err)
				return
			}
			if !c.request(r) {
				return
			}
		}
	}
}

// fill reads more of a request head or of a buffered body. It reports false if the connection has ended or
// the request was refused.
func (c *streamConnection) fill() bool {
	setReadDeadline(c.netConn, c.deadline())
	n, err := c.netConn.Read(c.buf)
	if isTimeout(err) && c.mustRefuse() {
		c.refuse(errDraining)
		return false
	}
	if n == 0 && isTimeout(err) { // read input that arrived before the deadline but was not read in time
		setReadDeadline(c.netConn, time.Now().Add(lateReadTimeout))
		n, err = c.netConn.Read(c.buf)
	}
	if n > 0 {
		c.pieces.Feed(c.buf[:n])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received += n
		c.beginReceiving()
		return c.state != stateClosed
	}
	if isTimeout(err) && c.pieces.Begun() {
		c.refuse(&http1.Error{Status: 408, Reason: "request-too-slow"})
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isTimeout(err) && c.count == 0:
		c.end("silent")
	case isTimeout(err):
		c.end("idle")
	default:
		c.end(closeReason(c.netConn, err))
	}
	return false
}

// beginReceiving records that part of a request was received. Further bytes don't restart the time limit, or
// a slow client could keep its connection forever. It must be called with mu held.
func (c *streamConnection) beginReceiving() {
	if c.state != stateReceiving {
		c.transition(stateReceiving)
		c.receivingSince = time.Now()
	}
}

// deadline returns the read deadline for the next bytes of a request.
func (c *streamConnection) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.refusing:
		return time.Now()
	case c.count == 0:
		return c.since.Add(c.server.streams.Wait + allowance(c.received))
	case c.state != stateReceiving:
		return time.Now().Add(c.server.streams.Idle)
	}
	return c.receivingSince.Add(c.server.streams.Wait + allowance(c.received))
}

// usage returns the rank of the connection for eviction.
func (c *streamConnection) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lastUsed
	if c.state == stateReceiving && c.count > 0 {
		since = c.receivingSince
	}
	switch {
	case c.state == stateClosed || c.state == stateLingering:
		return usage{rankDone, c.since}
	case c.exchange != nil:
		return usage{rankBusy, c.since}
	case c.count > 0 && c.state != stateReceiving:
		return usage{rankIdle, since}
	case time.Since(since) < silentTimeout:
		return usage{rankNew, since}
	}
	return usage{rankSilent, since}
}

// evict closes the connection, unless a request is being answered. It reports whether the connection is
// closed.
func (c *streamConnection) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != nil && c.state != stateClosed {
		return false
	}
	c.end("made-room")
	return true
}

// closeIdle closes the connection if no request is being received or answered and it is not new.
func (c *streamConnection) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil && c.state != stateReceiving && !recentlyConnected(c.count, c.since) {
		c.end(code)
	}
}

// cut closes the connection even if a request is being answered.
func (c *streamConnection) cut(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(code)
}

// end closes the connection, ends its exchange and logs the code. It must be called with mu held.
func (c *streamConnection) end(code string) {
	if c.state == stateClosed {
		return
	}
	c.transition(stateClosed)
	_ = c.netConn.Close() // an error makes no difference here
	x := c.exchange
	if x != nil {
		c.countBytes(x)
		if x.onEnd != nil {
			x.onEnd(false)
		}
		if x.cancel != nil {
			x.cancel()
		}
		if x.reply != nil {
			x.reply.Cut()
		}
		if !x.complete {
			go x.Upload.Abort() // may block until the server's connection is closed
		}
		c.release(x)
	}
	c.changed.Broadcast()
	c.server.log.Info().Str("side", "client").Str("code", code).Bool("waiting", x != nil).
		Int("requests", c.count).Int64("up", c.up).Int64("down", c.down).Dur("age", time.Since(c.since)).
		Msg("connection ended")
}

// release releases the memory that an exchange uses. It must be called with mu held.
func (c *streamConnection) release(x *Exchange) {
	x.Upload.Close()
	if x.reservation != nil {
		x.reservation.Close(x.clock())
	}
}

// countBytes adds the body bytes of an ended exchange. It must be called with mu held.
func (c *streamConnection) countBytes(x *Exchange) {
	c.up += x.up.Load()
	if x.down != nil {
		c.down += x.down.Bytes()
	}
}
