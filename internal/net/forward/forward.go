// Package forward is the stage that sends attempts to servers and reads what they answer. It keeps a pool
// of connections to each, and each connection carries one request at a time.
package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/direct"
)

// Message is a request as the servers are to get it. A front puts it into core.Request.Payload.
type Message interface {
	// Append writes the whole message behind buf, saying how long the ingress will wait for its answer.
	Append(buf []byte, s core.Server, wait time.Duration) []byte
}

// Judge says what a whole response means, and what of it the front is to get.
type Judge func(*http1.Response) core.Result

// JudgeHead says what a response means whose head alone has come.
type JudgeHead func(*http.Response) core.Result

// Config is what New needs.
type Config struct {
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	DialTimeout time.Duration
	KeepAlive   time.Duration // servers close connections that stood idle so long, unless they tell another time
	Connections int           // the most to all servers
	Stall       time.Duration // how long an answer that has begun may stand still; 0: any time
	Judge       Judge
	Streams     JudgeHead // if set, answers are passed on as they come, and payloads are Streamed
	Hold        int       // with Streams: answers of at most so many bytes are held, for Judge to see them whole
	Limits      http1.Limits
	Log         zerolog.Logger
}

// Forwarder sends attempts. It is a core.Upstream.
type Forwarder struct {
	Config
	slots chan struct{}

	mu    sync.Mutex
	idle  map[place][]*conn // the one used last at the end
	stale float64           // smoothed share of reused connections that broke without an answer
}

// Servers and what stands before them may drop a kept connection so that it shows only at the next request,
// which then may have run. While that happens to more than staleMost of them, what is not safe to repeat goes
// by new connections. One break in staleWeight of the memory is enough to begin; some 30 good ones end it.
const (
	staleWeight = 0.05
	staleMost   = 0.01
)

// reused notes what became of a request on a kept connection.
func (f *Forwarder) reused(broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale *= 1 - staleWeight
	if broke {
		f.stale += staleWeight
	}
}

// pass closes the connection to a server that has been idle longest, to make room for a new one, if kept ones
// are not to be trusted with an attempt.
func (f *Forwarder) pass(a core.Attempt) bool {
	f.mu.Lock()
	pass := a.Wary && f.stale > staleMost
	var oldest *conn
	if pool := f.idle[placeOf(a.Server)]; pass && len(pool) > 0 {
		oldest = pool[0]
	}
	f.mu.Unlock()
	if oldest != nil && f.remove(oldest) {
		oldest.end("made-way")
	}
	return pass
}

// place is where a connection leads. A server that is new may have the address of one that has gone.
type place struct{ server, addr string }

func placeOf(s core.Server) place { return place{s.Name, s.Addr} }

// idlePart is the part of the servers' keep-alive after which an idle connection is closed from here. Well
// under 1: a request written to a connection that the server is closing ends as a reset, and one that must
// not run twice is lost by it.
const idlePart = 0.6

// settleTime is how long a connection rests after an answer. What a server sends beyond its answer comes
// right behind, and must not meet the next request.
const settleTime = 2 * time.Millisecond

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Limits == (http1.Limits{}) {
		c.Limits = http1.DefaultLimits
	}
	return &Forwarder{Config: c, slots: make(chan struct{}, max(1, c.Connections)), idle: map[place][]*conn{}}
}

// exchange is one attempt under way.
type exchange struct {
	core.Attempt
	f *Forwarder

	mu      sync.Mutex
	cancel  context.CancelFunc // ends a dial
	aborted bool
	written bool // the last byte may have gone out
	conn    *conn

	stream *streaming // nil: the answer is held whole
}

// over ends the attempt.
func (x *exchange) over(res core.Result) {
	if x.stream != nil {
		x.stream.over(&res)
	}
	x.End(res)
}

// Start sends an attempt, on an idle connection if there is one.
func (f *Forwarder) Start(a core.Attempt) core.Running {
	x := &exchange{Attempt: a, f: f}
	if f.Streams != nil && !x.streams() {
		return x
	}
	if f.pass(a) {
		go x.dial()
		return x
	}
	if c := f.take(placeOf(a.Server), a.Payload); c != nil {
		x.conn = c
		go x.reuse(c)
		return x
	}
	go x.dial()
	return x
}

// reuse writes the request to an idle connection, or to another if that one is spoilt.
func (x *exchange) reuse(c *conn) {
	for ; c != nil; c = x.f.take(placeOf(x.Server), x.Payload) {
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
func (x *exchange) on(c *conn) bool {
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

// Drop closes the idle connections to a server.
func (f *Forwarder) Drop(s core.Server) {
	f.mu.Lock()
	old := f.idle[placeOf(s)]
	delete(f.idle, placeOf(s))
	f.mu.Unlock()
	for _, c := range old {
		c.end("server-left")
	}
}

// take returns the connection used last of those that have rested, or else the one that has rested longest.
// Guards against handing out, under load, the one whose answer has just come, and waiting for its rest. One
// that carried the same request last is left alone: a second answer to that would pass for the one awaited.
func (f *Forwarder) take(at place, request any) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[at]
	if len(pool) == 0 {
		return nil
	}
	rested, i := time.Now().Add(-settleTime), len(pool)-1
	for i > 0 && (pool[i].used.After(rested) || pool[i].carried(request)) {
		i--
	}
	c := pool[i]
	if c.carried(request) {
		return nil
	}
	f.idle[at] = slices.Delete(pool, i, i+1)
	if len(pool) == 1 { // servers come and go with the fleet
		delete(f.idle, at)
	}
	c.nc.SetReadDeadline(time.Time{})
	return c
}

// carried reports whether the request that a connection carried last is this one. The pool's lock is held.
func (c *conn) carried(request any) bool { return c.last != nil && c.last == request }

// remove takes a connection out of the pool; it reports false if an attempt has taken it.
func (f *Forwarder) remove(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := f.idle[c.at]
	for i, other := range pool {
		if other == c {
			f.idle[c.at] = slices.Delete(pool, i, i+1)
			if len(pool) == 1 {
				delete(f.idle, c.at)
			}
			return true
		}
	}
	return false
}

// told takes from an answer's head how long its server keeps idle connections, in whole seconds.
func (c *conn) told(h http.Header) {
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.ParseUint(value, 10, 16); err == nil && strings.EqualFold(name, "timeout") {
				c.keeps, c.keep = true, time.Duration(n)*time.Second
			}
		}
	}
}

func (f *Forwarder) give(c *conn, x *exchange) {
	f.mu.Lock()
	c.used, c.last = time.Now(), nil
	if x != nil {
		if j, ok := x.Payload.(Judging); ok {
			c.last = j
		}
	}
	keep := f.KeepAlive
	if c.keeps {
		keep = c.keep
	}
	c.nc.SetReadDeadline(c.used.Add(time.Duration(idlePart * float64(keep))))
	f.idle[c.at] = append(f.idle[c.at], c)
	f.mu.Unlock()
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

// dial opens a connection and writes the request to it.
func (x *exchange) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), x.f.DialTimeout)
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
	case x.f.slots <- struct{}{}:
	default: // guards the limit on sockets: the gate takes it for a server that accepts no more
		x.f.Log.Warn().Str("code", "too-many-connections").Msg("attempt not sent")
		x.over(core.Result{Code: choice.Refused})
		return nil
	}
	nc, err := x.f.Dial(ctx, "tcp", x.Server.Addr)
	if err != nil {
		<-x.f.slots
		x.f.Log.Info().Str("side", "server").Str("code", "dial-failed").Str("server", x.Server.Name).
			Err(err).Msg("connection ended")
		x.over(core.Result{Code: choice.Refused})
		return nil
	}
	return nc
}

// begin sends the request on a new connection, and reads that to its end.
func (x *exchange) begin(nc net.Conn) {
	c := &conn{f: x.f, nc: nc, at: placeOf(x.Server), since: time.Now()}
	if x.stream != nil {
		c.pieces = http1.ResponsePieces(x.f.Limits.Head)
	} else {
		c.frames = http1.NewResponses(x.f.Limits)
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
func (x *exchange) write(c *conn) bool {
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
		c.x, c.writing = x, true
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
	n, err := c.nc.Write(msg)
	c.mu.Lock()
	c.writing = false
	if err == nil {
		err = c.broke
	}
	if x.stream == nil {
		c.tell()
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

// conn is one connection to a server. Its reader also waits while it is idle, and so sees at once when the
// server closes it.
type conn struct {
	f     *Forwarder
	nc    net.Conn
	at    place
	since time.Time
	used  time.Time // when it last became idle; the pool's lock guards it
	last  any       // the request that it carried last, if that judges its answers; likewise

	mu      sync.Mutex
	frames  *http1.Framer  // of answers held whole; else nil
	pieces  *http1.Pieces  // of those passed on; else nil
	interim [][]byte       // 1xx answers before the one awaited
	head    *http.Response // of the answer that is being held; nil: none is. The reader's
	held    []byte         // and what has come of its body
	parser  http1.Parser
	out     []byte
	x       *exchange     // nil while idle
	writing bool          // the request is on its way out
	awaits  chan struct{} // closed once it has gone out whole; nil: the reader does not wait for that
	broke   error         // what the reader met meanwhile
	ended   bool
	shut    sync.Once
	foreign bool // an answer has come that is not the request's. The reader's
	keeps   bool // the server has told how long it keeps idle connections. The reader's
	keep    time.Duration
	count   int
}

// guarded is a connection that can leave alone what nobody has asked for.
type guarded interface {
	ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error)
	Unread() bool
}

// receive reads, but only while an attempt is on the connection: what comes to an idle one stays unread, so
// that whoever is about to use it can see it. Else it might be read just before the next request is written,
// and be taken for its answer just after.
func (c *conn) receive(buf []byte) (int, error) {
	if g, ok := c.nc.(guarded); ok {
		return g.ReadWanted(buf, &c.mu, func() bool { return c.x != nil || c.ended })
	}
	return c.nc.Read(buf)
}

// unread reports whether something has come that nobody asked for. The lock is held.
func (c *conn) unread() bool {
	g, ok := c.nc.(guarded)
	return ok && c.x == nil && g.Unread()
}

func (c *conn) read() {
	buf := make([]byte, 4<<10)
	for {
		n, err := c.receive(buf)
		if errors.Is(err, direct.ErrUnwanted) {
			n, err = c.nc.Read(buf) // to tell noise from the connection's end
			c.f.remove(c)
			code := "unasked-bytes"
			if n == 0 && err != nil {
				code = "server-closed-idle"
			}
			c.finish(core.Result{Code: choice.Reset}, code)
			return
		}
		c.mu.Lock()
		if n > 0 {
			c.feed(buf[:n])
		}
		x, ended, begun := c.x, c.ended, c.started()
		busy := x != nil
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
			if busy && x.stream != nil && x.stream.late() {
				c.finish(core.Result{Code: choice.TimedOut}, "answer-late")
				return
			}
			if busy && begun {
				c.finish(core.Result{Code: choice.Reset}, "bad-answer")
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
			answer := c.answer
			if c.pieces != nil {
				answer = func(err error) bool { return c.pass(buf, err) }
			}
			if !answer(err) {
				return
			}
		}
	}
}

// feed takes bytes of an answer. The lock is held.
func (c *conn) feed(p []byte) {
	if c.pieces != nil {
		c.pieces.Feed(p)
	} else {
		c.frames.Feed(p)
	}
}

// started reports whether part of an answer is here. The lock is held.
func (c *conn) started() bool {
	if c.pieces != nil {
		return c.pieces.Begun()
	}
	return c.frames.Started()
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
		if r, err = c.parser.Response(msg); err == nil {
			c.told(r.Header)
		}
	}
	x, beyond := c.x, c.frames.Buffered() > 0
	c.mu.Unlock()
	switch {
	case err != nil:
		c.finish(core.Result{Code: choice.Reset}, "bad-answer")
		return false
	case r == nil && readErr != nil:
		c.finish(core.Result{Code: choice.Reset}, "server-reset")
		return false
	case r == nil:
		if beyond && c.f.Stall > 0 {
			c.nc.SetReadDeadline(time.Now().Add(c.f.Stall))
		}
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
	if x != nil && !c.sentAll(x) { // the rest of the request would be taken for the next
		c.finish(result, "answered-early")
		return false
	}
	x, ended := c.rest()
	if x != nil {
		x.over(result)
	}
	return !ended
}

// gone reports whether the request has gone out whole, and nobody writes to the connection any more. The lock
// is held.
func (c *conn) gone(x *exchange) bool {
	if x.stream != nil {
		return x.stream.sent.Load()
	}
	return !c.writing
}

// tell wakes the reader that waits for the request to have gone out. The lock is held.
func (c *conn) tell() {
	if c.awaits != nil {
		close(c.awaits)
		c.awaits = nil
	}
}

// sentAll reports whether the request has gone out whole. An answer may be here before the goroutine that
// wrote the last byte runs on: on a busy core that is no sign that the server has answered early, and the
// connection is good. So it is waited for, as long as a connection rests anyway.
func (c *conn) sentAll(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone(x) || x.stream != nil && x.stream.part.Load() {
		return c.gone(x)
	}
	told := make(chan struct{})
	c.awaits = told
	c.mu.Unlock()
	late := time.NewTimer(settleTime)
	defer late.Stop()
	select {
	case <-told:
	case <-late.C:
	}
	c.mu.Lock()
	c.awaits = nil
	return c.gone(x)
}

// rest makes a connection idle whose answer has come whole.
func (c *conn) rest() (x *exchange, ended bool) {
	c.mu.Lock()
	x, kept := c.x, c.count > 1
	c.x = nil
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	ended = c.ended
	c.mu.Unlock()
	if kept {
		c.f.reused(false)
	}
	if !ended {
		c.f.give(c, x)
	}
	return x, ended
}

// finish ends the connection, and with it the attempt that it carries.
func (c *conn) finish(res core.Result, code string) {
	c.mu.Lock()
	x := c.x
	c.x = nil
	broke := x != nil && c.count > 1 && code == "server-reset" && !c.started()
	c.mu.Unlock()
	if broke {
		c.f.reused(true)
	}
	c.end(code)
	if x != nil {
		x.over(res)
	}
}

// end closes the connection and leaves its log line.
func (c *conn) end(code string) { c.endWith(nil, code) }

// endWith does so if the connection carries that attempt; nil: whatever it carries. Guards another attempt,
// to which the connection may have gone over. Once it returns, no byte leaves by a connection that was ended.
func (c *conn) endWith(x *exchange, code string) {
	c.mu.Lock()
	ended, others := c.ended, x != nil && c.x != x
	c.ended = ended || !others
	c.mu.Unlock()
	if !ended && others {
		return
	}
	c.shut.Do(func() { c.nc.Close() })
	if ended {
		return
	}
	<-c.f.slots
	c.f.Log.Info().Str("side", "server").Str("code", code).Str("server", c.at.server).Int("requests", c.count).
		Dur("age", time.Since(c.since)).Msg("connection ended")
}
