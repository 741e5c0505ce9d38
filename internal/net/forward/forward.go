// Package forward is the stage that sends attempts to servers and reads what they answer. It keeps a pool
// of connections to each, and each connection carries one request at a time.
package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Message is a request as the servers are to get it. A front puts it into core.Request.Payload.
type Message interface {
	// Append writes the whole message behind buf, saying how long the ingress will wait for its answer.
	Append(buf []byte, s core.Server, wait time.Duration) []byte
}

// Judge says what a whole response means, and what of it the front is to get.
type Judge func(*http1.Response) core.Result

// Config is what New needs.
type Config struct {
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	DialTimeout time.Duration
	KeepAlive   time.Duration // servers close connections that stood idle so long
	Connections int           // the most to all servers
	Judge       Judge
	Limits      http1.Limits
	Log         zerolog.Logger
}

// Forwarder sends attempts. It is a core.Upstream.
type Forwarder struct {
	Config
	slots chan struct{}

	mu   sync.Mutex
	idle map[string][]*conn // by address, the one used last at the end
}

// idlePart is the part of the servers' keep-alive after which an idle connection is closed from here. Well
// under 1: a request written to a connection that the server is closing ends as a reset, and one that must
// not run twice is lost by it.
const idlePart = 0.6

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Limits == (http1.Limits{}) {
		c.Limits = http1.DefaultLimits
	}
	return &Forwarder{Config: c, slots: make(chan struct{}, max(1, c.Connections)), idle: map[string][]*conn{}}
}

// exchange is one attempt under way.
type exchange struct {
	core.Attempt
	f      *Forwarder
	cancel context.CancelFunc // ends a dial
	ctx    context.Context

	mu      sync.Mutex
	aborted bool
	written bool // the last byte may have gone out
	conn    *conn
}

// Start sends an attempt, on an idle connection if there is one.
func (f *Forwarder) Start(a core.Attempt) core.Running {
	x := &exchange{Attempt: a, f: f}
	if c := f.take(a.Server.Addr); c != nil {
		x.conn = c
		go x.write(c)
		return x
	}
	x.ctx, x.cancel = context.WithTimeout(context.Background(), f.DialTimeout)
	go x.dial()
	return x
}

// Drop closes the idle connections to a server.
func (f *Forwarder) Drop(s core.Server) {
	f.mu.Lock()
	old := f.idle[s.Addr]
	delete(f.idle, s.Addr)
	f.mu.Unlock()
	for _, c := range old {
		c.end("server-left")
	}
}

func (f *Forwarder) take(addr string) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[addr]
	if len(pool) == 0 {
		return nil
	}
	c := pool[len(pool)-1]
	f.idle[addr] = pool[:len(pool)-1]
	c.nc.SetReadDeadline(time.Time{})
	return c
}

// remove takes a connection out of the pool; it reports false if an attempt has taken it.
func (f *Forwarder) remove(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[c.addr]
	for i, other := range pool {
		if other == c {
			f.idle[c.addr] = append(pool[:i], pool[i+1:]...)
			if len(pool) == 1 { // addresses come and go with the fleet
				delete(f.idle, c.addr)
			}
			return true
		}
	}
	return false
}

func (f *Forwarder) give(c *conn) {
	f.mu.Lock()
	c.nc.SetReadDeadline(time.Now().Add(time.Duration(idlePart * float64(f.KeepAlive))))
	f.idle[c.addr] = append(f.idle[c.addr], c)
	f.mu.Unlock()
}

// Abort closes the attempt's connection.
func (x *exchange) Abort() (mayHaveRun bool) {
	x.mu.Lock()
	x.aborted = true
	mayHaveRun = x.written
	c := x.conn
	x.mu.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
	if c != nil {
		c.end("attempt-given-up")
	}
	return mayHaveRun
}

// dial opens a connection and writes the request to it.
func (x *exchange) dial() {
	defer x.cancel()
	select {
	case x.f.slots <- struct{}{}:
	default: // guards the limit on sockets: the gate takes it for a server that accepts no more
		x.f.Log.Warn().Str("code", "too-many-connections").Msg("attempt not sent")
		x.End(core.Result{Code: choice.Refused})
		return
	}
	nc, err := x.f.Dial(x.ctx, "tcp", x.Server.Addr)
	if err != nil {
		<-x.f.slots
		x.f.Log.Info().Str("side", "server").Str("code", "dial-failed").Str("server", x.Server.Name).
			Err(err).Msg("connection ended")
		x.End(core.Result{Code: choice.Refused})
		return
	}
	c := &conn{f: x.f, nc: nc, addr: x.Server.Addr, server: x.Server.Name, since: time.Now(),
		frames: http1.NewResponses(x.f.Limits)}
	x.mu.Lock()
	x.conn = c
	aborted := x.aborted
	x.mu.Unlock()
	if aborted {
		c.end("attempt-given-up")
		return
	}
	x.write(c)
	c.read()
}

// write hands the request to a connection. What breaks before the last byte is written has never run.
func (x *exchange) write(c *conn) {
	c.mu.Lock()
	msg := x.Payload.(Message).Append(c.out[:0], x.Server, x.Timeout)
	c.out = msg
	x.mu.Lock()
	stop := x.aborted || c.ended
	x.written = !stop
	x.mu.Unlock()
	if !stop {
		c.at, c.writing = x, true
		c.count++
	}
	c.mu.Unlock()
	if stop { // an idle connection that ended just before: nothing was written
		x.End(core.Result{Code: choice.Refused})
		return
	}
	n, err := c.nc.Write(msg)
	c.mu.Lock()
	c.writing = false
	if err == nil {
		err = c.broke
	}
	c.mu.Unlock()
	if err == nil {
		return
	}
	if n < len(msg) {
		x.mu.Lock()
		x.written = false
		x.mu.Unlock()
		c.finish(core.Result{Code: choice.Refused}, "not-written")
		return
	}
	c.finish(core.Result{Code: choice.Reset}, "server-reset")
}

// conn is one connection to a server. Its reader also waits while it is idle, and so sees at once when the
// server closes it.
type conn struct {
	f      *Forwarder
	nc     net.Conn
	addr   string
	server string
	since  time.Time

	mu      sync.Mutex
	frames  *http1.Framer
	parser  http1.Parser
	out     []byte
	at      *exchange // nil while idle
	writing bool      // the request is on its way out
	broke   error     // what the reader met meanwhile
	ended   bool
	count   int
}

func (c *conn) read() {
	buf := make([]byte, 4<<10)
	for {
		n, err := c.nc.Read(buf)
		c.mu.Lock()
		if n > 0 {
			c.frames.Feed(buf[:n])
		}
		busy, ended := c.at != nil, c.ended
		left := err != nil && n == 0 && c.writing
		if left {
			c.broke = err
		}
		c.mu.Unlock()
		var timeout net.Error
		switch {
		case ended || left: // the writer knows whether the last byte went out, and so tells how it ended
			return
		case errors.As(err, &timeout) && timeout.Timeout():
			// The time for idle connections ran out; unless an attempt has taken this one just now.
			if !busy && c.f.remove(c) {
				c.end("idle")
				return
			}
		case err != nil && !busy:
			c.f.remove(c)
			c.finish(core.Result{Code: choice.Reset}, "server-closed-idle")
			return
		case !busy:
			c.f.remove(c)
			c.finish(core.Result{Code: choice.Reset}, "unasked-bytes")
			return
		default:
			if !c.answer(err) {
				return
			}
		}
	}
}

// answer looks whether the response is whole, and hands it on. It reports whether to read on.
func (c *conn) answer(readErr error) bool {
	c.mu.Lock()
	next := c.frames.Next
	if readErr != nil && errors.Is(readErr, io.EOF) {
		next = c.frames.End
	}
	msg, err := next()
	var r *http1.Response
	if err == nil && msg != nil {
		r, err = c.parser.Response(msg)
	}
	beyond := c.frames.Buffered() > 0
	c.mu.Unlock()
	switch {
	case err != nil:
		c.finish(core.Result{Code: choice.Reset}, "bad-answer")
		return false
	case r == nil && readErr != nil:
		c.finish(core.Result{Code: choice.Reset}, "server-reset")
		return false
	case r == nil:
		return true
	}
	result := c.f.Judge(r)
	if beyond { // guards the next request against being answered with what came for nobody
		c.finish(result, "unasked-bytes")
		return false
	}
	if r.Close || readErr != nil || !r.ProtoAtLeast(1, 1) {
		c.finish(result, "server-closed")
		return false
	}
	c.mu.Lock()
	x := c.at
	c.at = nil
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	ended := c.ended
	c.mu.Unlock()
	if !ended {
		c.f.give(c)
	}
	if x != nil {
		x.End(result)
	}
	return !ended
}

// finish ends the connection, and with it the attempt that it carries.
func (c *conn) finish(res core.Result, code string) {
	c.mu.Lock()
	x := c.at
	c.at = nil
	c.mu.Unlock()
	c.end(code)
	if x != nil {
		x.End(res)
	}
}

// end closes the connection and leaves its log line.
func (c *conn) end(code string) {
	c.mu.Lock()
	ended := c.ended
	c.ended = true
	c.mu.Unlock()
	if ended {
		return
	}
	c.nc.Close()
	<-c.f.slots
	c.f.Log.Info().Str("side", "server").Str("code", code).Str("server", c.server).Int("requests", c.count).
		Dur("age", time.Since(c.since)).Msg("connection ended")
}
