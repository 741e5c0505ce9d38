package accept

import (
	"net"
	"sync"
	"time"

	"dunespoke/internal/http1"
)

// streamConnection is one client's connection, whose requests and answers are passed on as they come. One
// goroutine reads, and writes what it reads of a body to the server; each answer's own writes to the
// client.
type streamConnection struct {
	server  *Server
	netConn net.Conn
	since   time.Time
	pieces  *http1.Pieces // the reader's
	parser  http1.Parser
	buf     []byte

	mu       sync.Mutex
	changed  sync.Cond
	state    connectionState
	exchange *Exchange // being answered
	last     bool      // nothing more is read after the answer at hand
	turned   bool      // a request that is not whole is refused
	count    int
	used     time.Time // when the last answer was out, or the connection taken
	// receivingSince is when the request that is coming in began, and received its bytes so far.
	receivingSince time.Time
	received       int
	up, down       int64 // bytes of bodies
	out            []byte
}

// readBufferSize is that of a connection, in bytes: most requests fit.
const readBufferSize = 4 << 10

func newStreamConnection(s *Server, nc net.Conn, now time.Time) *streamConnection {
	c := &streamConnection{server: s, netConn: nc, since: now, used: now,
		pieces: http1.RequestPieces(s.streams.Head), buf: make([]byte, readBufferSize)}
	c.changed.L = &c.mu
	return c
}

func (c *streamConnection) read() {
	defer c.server.gone(c)
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

// fill reads some of a request that is to come whole, or of a head. It reports whether to go on.
func (c *streamConnection) fill() bool {
	setReadDeadline(c.netConn, c.deadline())
	n, err := c.netConn.Read(c.buf)
	if isTimeout(err) && c.turnedBack() {
		c.refuse(errDraining)
		return false
	}
	if n == 0 && isTimeout(err) { // what has come meanwhile is read all the same
		setReadDeadline(c.netConn, time.Now().Add(lateWait))
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
		c.end(left(c.netConn, err))
	}
	return false
}

// beginReceiving notes that some of a request has come: not anew with each byte, or a slow client would
// never end. The lock is held.
func (c *streamConnection) beginReceiving() {
	if c.state != stateReceiving {
		c.transition(stateReceiving)
		c.receivingSince = time.Now()
	}
}

// deadline is when a read of a request is given up.
func (c *streamConnection) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.turned:
		return time.Now()
	case c.count == 0:
		return c.since.Add(c.server.streams.Wait + allowance(c.received))
	case c.state != stateReceiving:
		return time.Now().Add(c.server.streams.Idle)
	}
	return c.receivingSince.Add(c.server.streams.Wait + allowance(c.received))
}

func (c *streamConnection) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.used
	if c.state == stateReceiving && c.count > 0 {
		since = c.receivingSince
	}
	switch {
	case c.state == stateClosed || c.state == stateLingering:
		return usage{rankOver, c.since}
	case c.exchange != nil:
		return usage{rankBusy, c.since}
	case c.count > 0 && c.state != stateReceiving:
		return usage{rankIdle, since}
	case time.Since(since) < silentWait:
		return usage{rankNew, since}
	}
	return usage{rankSilent, since}
}

func (c *streamConnection) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != nil && c.state != stateClosed {
		return false
	}
	c.end("made-room")
	return true
}

func (c *streamConnection) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil && c.state != stateReceiving && !justCame(c.count, c.since) {
		c.end(code)
	}
}

// cut ends the connection, whatever it is used for.
func (c *streamConnection) cut(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(code)
}

// end closes the connection and leaves its log line. The lock is held.
func (c *streamConnection) end(code string) {
	if c.state == stateClosed {
		return
	}
	c.transition(stateClosed)
	_ = c.netConn.Close() // it is given up: nothing follows from an error
	x := c.exchange
	if x != nil {
		c.add(x)
		if x.onEnd != nil {
			x.onEnd(false)
		}
		if x.leave != nil {
			x.leave()
		}
		if x.reply != nil {
			x.reply.Cut()
		}
		if !x.whole {
			go x.Upload.Break() // it may wait for a write that the end of the server's connection ends
		}
		c.settle(x)
	}
	c.changed.Broadcast()
	c.server.log.Info().Str("side", "client").Str("code", code).Bool("waiting", x != nil).
		Int("requests", c.count).Int64("up", c.up).Int64("down", c.down).Dur("age", time.Since(c.since)).
		Msg("connection ended")
}

// settle gives back what an exchange holds. The lock is held.
func (c *streamConnection) settle(x *Exchange) {
	x.Upload.Over()
	if x.room != nil {
		x.room.Close(x.clock())
	}
}

// add counts the bytes of an exchange that is over. The lock is held.
func (c *streamConnection) add(x *Exchange) {
	c.up += x.up.Load()
	if x.down != nil {
		c.down += x.down.Bytes()
	}
}
