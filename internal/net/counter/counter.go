// Package counter calls the quota counter over a few connections, on which calls follow one another without
// waiting for answers. A name always goes by the same connection, so that its answers keep the calls' order.
package counter

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/internal/http1"
)

const (
	lanes    = 4                      // connections: the counter holds 32 from one address
	mostOut  = 64                     // calls a connection may have unanswered, against a silent counter
	idle     = 4 * time.Second        // after which a connection is closed: the counter does so within 10 s
	silent   = time.Second            // without an answer after which a connection is given up for a new one
	dialWait = 250 * time.Millisecond // for a connection to come up
	restMin  = 20 * time.Millisecond  // between dials that fail
	restMax  = time.Second
)

// limits are far over what an answer with a total needs. Guards the calls behind one whose length is wrong.
var limits = http1.Limits{Head: 4 << 10, Body: 64}

// Dial opens connections, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls a counter. It is a core.Counter.
type Client struct {
	lanes [lanes]*lane
}

// New returns a client of the counter at an address. Calls that could not be written within the limit are
// dropped: the core has taken them for timed out.
func New(addr string, limit time.Duration, dial Dial, log zerolog.Logger) *Client {
	c := &Client{}
	for i := range c.lanes {
		c.lanes[i] = &lane{addr: addr, limit: limit, dial: dial, log: log}
	}
	return c
}

// Add makes a call. What can't be written, for the line is full or there is none, has added nothing.
func (c *Client) Add(name string, amount float64, keep time.Duration, done func(choice.Code, float64)) {
	h := fnv.New32a()
	io.WriteString(h, name)
	c.lanes[h.Sum32()%lanes].add(&call{name: name, amount: amount, keep: keep, done: done, at: time.Now()})
}

// Move has later calls go to another address. What is out at the old one has until its answer is due; then,
// or when all is answered, its connections are closed.
func (c *Client) Move(addr string) {
	for _, l := range c.lanes {
		l.mu.Lock()
		if l.addr == addr {
			l.mu.Unlock()
			continue
		}
		old := l.line
		l.addr, l.line, l.rest, l.restTo = addr, nil, 0, time.Time{}
		l.mu.Unlock()
		if old != nil {
			old.leave()
		}
	}
}

type call struct {
	name   string
	amount float64
	keep   time.Duration
	done   func(choice.Code, float64)
	at     time.Time
}

// lane is one connection and the calls on it, over its reconnections.
type lane struct {
	addr  string
	limit time.Duration
	dial  Dial
	log   zerolog.Logger

	mu      sync.Mutex
	queue   []*call // not written yet
	writing bool    // a goroutine of flush is at work
	line    *line
	rest    time.Duration // since the last dial that failed
	restTo  time.Time
}

// line is one life of a lane's connection.
type line struct {
	lane  *lane
	addr  string
	nc    net.Conn
	since time.Time

	mu      sync.Mutex
	pending []*call // written, in the order of their answers
	left    bool    // it is closed once they have come
	ended   bool
	count   int
}

func (l *lane) add(c *call) {
	l.mu.Lock()
	out := len(l.queue)
	if l.line != nil {
		out += l.line.outstanding()
	}
	if out >= mostOut || l.line == nil && c.at.Before(l.restTo) {
		l.mu.Unlock()
		c.done(choice.Refused, 0)
		return
	}
	l.queue = append(l.queue, c)
	start := !l.writing
	l.writing = true
	l.mu.Unlock()
	if start {
		go l.flush()
	}
}

// flush writes what is queued, and connects before if need be.
func (l *lane) flush() {
	var buf []byte
	for {
		l.mu.Lock()
		if len(l.queue) == 0 { // looked at first: nobody is dialled for nothing
			l.writing = false
			l.mu.Unlock()
			return
		}
		ln := l.line
		if ln == nil {
			l.mu.Unlock()
			if ln = l.connect(); ln == nil {
				return
			}
			l.mu.Lock()
		}
		calls := l.queue
		l.queue = nil
		l.mu.Unlock()
		ln.write(&buf, calls)
	}
}

// connect opens the lane's connection. If it can't, all that is queued has added nothing.
func (l *lane) connect() *line {
	for {
		l.mu.Lock()
		addr := l.addr
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), dialWait)
		nc, err := l.dial(ctx, "tcp", addr)
		cancel()
		l.mu.Lock()
		if l.addr == addr {
			defer l.mu.Unlock()
			return l.connected(nc, err)
		}
		l.mu.Unlock() // moved meanwhile
		if err == nil {
			nc.Close()
		}
	}
}

// connected takes the outcome of a dial. The lock is held.
func (l *lane) connected(nc net.Conn, err error) *line {
	if err != nil {
		l.rest = min(max(2*l.rest, restMin), restMax)
		l.restTo = time.Now().Add(l.rest)
		calls := l.queue
		l.queue, l.writing = nil, false
		for _, c := range calls {
			c.done(choice.Refused, 0)
		}
		l.log.Info().Str("side", "counter").Str("code", "dial-failed").Err(err).Msg("connection ended")
		return nil
	}
	l.rest = 0
	nc.SetReadDeadline(time.Now().Add(idle))
	l.line = &line{lane: l, addr: l.addr, nc: nc, since: time.Now()}
	go l.line.read()
	return l.line
}

// leave ends the connection once what is out is answered.
func (n *line) leave() {
	n.mu.Lock()
	n.left = true
	n.nc.SetReadDeadline(time.Now().Add(n.lane.limit)) // what comes later is late for everybody
	over := len(n.pending) == 0
	n.mu.Unlock()
	if over {
		n.end("counter-moved")
	}
}

func (n *line) outstanding() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending)
}

func (n *line) write(buf *[]byte, calls []*call) {
	out, now := (*buf)[:0], time.Now()
	n.mu.Lock()
	var sent []*call
	for _, c := range calls {
		if now.Sub(c.at) >= n.lane.limit {
			continue // taken for timed out by now; adding it late would spend a lease that nobody has
		}
		sent = append(sent, c)
		out = appendCall(out, n.addr, c)
	}
	*buf = out
	if n.ended {
		n.mu.Unlock()
		for _, c := range sent {
			c.done(choice.Refused, 0)
		}
		return
	}
	if len(n.pending) == 0 && !n.left {
		n.nc.SetReadDeadline(now.Add(silent))
	}
	n.pending = append(n.pending, sent...)
	n.count += len(sent)
	n.mu.Unlock()
	if len(out) == 0 {
		return
	}
	if _, err := n.nc.Write(out); err != nil {
		n.end("counter-reset") // some calls may have been written: all of them may have been added
	}
}

func appendCall(buf []byte, host string, c *call) []byte {
	buf = append(buf, "POST /v1/count/"...)
	buf = append(buf, c.name...)
	buf = append(buf, "?add="...)
	buf = strconv.AppendFloat(buf, c.amount, 'f', -1, 64)
	buf = append(buf, "&ttl_ms="...)
	buf = strconv.AppendInt(buf, max(1, c.keep.Milliseconds()), 10)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", host)
	return append(buf, "Content-Length: 0\r\n\r\n"...)
}

func (n *line) read() {
	frames := http1.NewResponses(limits)
	var parser http1.Parser
	buf := make([]byte, 1<<10)
	for {
		count, err := n.nc.Read(buf)
		if err != nil {
			n.end(n.reason(err, frames.Started()))
			return
		}
		frames.Feed(buf[:count])
		for {
			msg, err := frames.Next()
			if err != nil {
				n.end("bad-answer")
				return
			}
			if msg == nil {
				if frames.Started() { // the rest of an answer comes at once, or it is spoilt and holds up all behind it
					n.nc.SetReadDeadline(time.Now().Add(n.lane.limit))
				}
				break
			}
			r, err := parser.Response(msg)
			if err != nil || !n.answered(r) {
				n.end("bad-answer")
				return
			}
		}
	}
}

func (n *line) reason(err error, begun bool) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout() && begun:
		return "bad-answer"
	case errors.As(err, &timeout) && timeout.Timeout() && n.outstanding() > 0:
		return "counter-silent"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "idle"
	case errors.Is(err, io.EOF):
		return "counter-closed"
	}
	return "counter-reset"
}

// answered matches an answer with its call.
func (n *line) answered(r *http1.Response) bool {
	n.mu.Lock()
	if len(n.pending) == 0 || n.ended {
		n.mu.Unlock()
		return false
	}
	c := n.pending[0]
	n.pending = n.pending[1:]
	wait, over := idle, len(n.pending) == 0 && n.left
	if len(n.pending) > 0 {
		wait = silent
	}
	if !n.left {
		n.nc.SetReadDeadline(time.Now().Add(wait))
	}
	n.mu.Unlock()
	if over {
		defer n.end("counter-moved")
	}
	switch r.StatusCode {
	case http.StatusOK:
		total, ok := readTotal(r.Content)
		if !ok { // it has been added all the same, and must not be added again
			c.done(choice.Reset, 0)
			return false
		}
		c.done(choice.OK, total)
	case http.StatusServiceUnavailable:
		c.done(choice.Busy, 0)
	default:
		n.lane.log.Warn().Str("code", "counter-rejects").Int("status", r.StatusCode).Str("name", c.name).
			Msg("call to the counter")
		c.done(choice.Refused, 0)
	}
	return true
}

// readTotal reads a total: a decimal number, perhaps with an exponent. What else strconv takes for a number
// (infinities, hex digits, underscores) is none.
func readTotal(text []byte) (total float64, ok bool) {
	text = bytes.TrimSpace(text)
	if bytes.ContainsFunc(text, func(r rune) bool { return !strings.ContainsRune("0123456789+-.eE", r) }) {
		return 0, false
	}
	total, err := strconv.ParseFloat(string(text), 64)
	return total, err == nil && math.Abs(total) < 1e15
}

// end closes the connection. What was written and not answered may have been added.
func (n *line) end(code string) {
	n.mu.Lock()
	if n.ended {
		n.mu.Unlock()
		return
	}
	n.ended = true
	calls := n.pending
	n.pending = nil
	n.mu.Unlock()
	n.nc.Close()
	n.lane.mu.Lock()
	if n.lane.line == n {
		n.lane.line = nil
	}
	n.lane.mu.Unlock()
	for _, c := range calls {
		c.done(choice.Reset, 0)
	}
	n.lane.log.Info().Str("side", "counter").Str("code", code).Int("calls", n.count).
		Int("unanswered", len(calls)).Dur("age", time.Since(n.since)).Msg("connection ended")
}
