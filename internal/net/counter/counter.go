// Package counter is a client of the quota counter. It pipelines calls over a few persistent connections.
// Calls for the same name always use the same one, so that their responses arrive in the order of the calls.
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
	// Number of connections. The counter accepts at most 32 from one address.
	pipelines = 4
	// Maximum number of unanswered calls per connection, which bounds the calls to an unresponsive counter.
	maxOutstanding = 64
	// Time without calls after which a connection is closed. The counter itself closes idle ones within 10 s.
	idleTimeout = 4 * time.Second
	// Time without a response to a pending call after which a connection is replaced by a new one.
	answerTimeout = time.Second
	dialTimeout   = 250 * time.Millisecond
	backoffMin    = 20 * time.Millisecond // first delay after a failed dial; doubles up to backoffMax
	backoffMax    = time.Second
)

// limits are far above what a response with a total needs. They protect the calls that are pending behind a
// response whose length is wrong.
var limits = http1.Limits{Head: 4 << 10, Body: 64}

// Dial opens connections, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls a counter. It implements core.Counter, and is safe for concurrent use.
type Client struct {
	pipelines [pipelines]*pipeline
}

// New returns a client of the counter at addr. Calls that could not be written within limit are dropped: the
// core has already treated them as timed out.
func New(addr string, limit time.Duration, dial Dial, log zerolog.Logger) *Client {
	c := &Client{}
	for i := range c.pipelines {
		c.pipelines[i] = &pipeline{addr: addr, limit: limit, dial: dial, log: log}
	}
	return c
}

// Add makes a call and passes its outcome to done. A call that can't be written, because too many calls are
// pending or the counter can't be reached, is refused and has added nothing.
func (c *Client) Add(name string, amount float64, ttl time.Duration, done func(choice.Code, float64)) {
	h := fnv.New32a()
	io.WriteString(h, name)
	c.pipelines[h.Sum32()%pipelines].add(&call{name: name, amount: amount, ttl: ttl, done: done,
		started: time.Now()})
}

// Move sends later calls to another address. The connections to the old address are closed once all their
// pending calls are answered, at the latest when the time limit of a call has passed.
func (c *Client) Move(addr string) {
	for _, l := range c.pipelines {
		l.mu.Lock()
		if l.addr == addr {
			l.mu.Unlock()
			continue
		}
		old := l.connection
		l.addr, l.connection, l.backoff, l.retryAt = addr, nil, 0, time.Time{}
		l.mu.Unlock()
		if old != nil {
			old.drain()
		}
	}
}

type call struct {
	name    string
	amount  float64
	ttl     time.Duration
	done    func(choice.Code, float64)
	started time.Time
}

// pipeline sends calls over one connection at a time, and opens a new one when needed.
type pipeline struct {
	addr  string
	limit time.Duration
	dial  Dial
	log   zerolog.Logger

	mu         sync.Mutex
	queue      []*call       // calls that have not been written yet
	writing    bool          // a goroutine is running flush
	connection *connection   // nil if there is none
	backoff    time.Duration // delay after the last failed dial; zero after a successful one
	retryAt    time.Time     // before this time no dial is made
}

// connection is a single connection of a pipeline.
type connection struct {
	pipeline *pipeline
	addr     string
	nc       net.Conn
	opened   time.Time

	mu       sync.Mutex
	pending  []*call // written and unanswered calls, in the order of their responses
	draining bool    // replaced, and to be closed once no call is pending
	closed   bool
	sent     int // number of calls written
}

func (l *pipeline) add(c *call) {
	l.mu.Lock()
	outstanding := len(l.queue)
	if l.connection != nil {
		outstanding += l.connection.outstanding()
	}
	if outstanding >= maxOutstanding || l.connection == nil && c.started.Before(l.retryAt) {
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

// flush writes the queued calls, and dials first if necessary. It returns when the queue is empty or the dial
// fails.
func (l *pipeline) flush() {
	var buf []byte
	for {
		l.mu.Lock()
		if len(l.queue) == 0 { // checked before dialling, to avoid a dial without a call
			l.writing = false
			l.mu.Unlock()
			return
		}
		conn := l.connection
		if conn == nil {
			l.mu.Unlock()
			if conn = l.connect(); conn == nil {
				return
			}
			l.mu.Lock()
		}
		calls := l.queue
		l.queue = nil
		l.mu.Unlock()
		conn.write(&buf, calls)
	}
}

// connect dials the counter. If the dial fails, it refuses all queued calls, which have added nothing, and
// returns nil.
func (l *pipeline) connect() *connection {
	for {
		l.mu.Lock()
		addr := l.addr
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		nc, err := l.dial(ctx, "tcp", addr)
		cancel()
		l.mu.Lock()
		if l.addr == addr {
			defer l.mu.Unlock()
			return l.connected(nc, err)
		}
		l.mu.Unlock() // Move has changed the address during the dial
		if err == nil {
			nc.Close()
		}
	}
}

// connected handles the result of a dial. It must be called with l.mu held.
func (l *pipeline) connected(nc net.Conn, err error) *connection {
	if err != nil {
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		l.retryAt = time.Now().Add(l.backoff)
		calls := l.queue
		l.queue, l.writing = nil, false
		for _, c := range calls {
			c.done(choice.Refused, 0)
		}
		l.log.Info().Str("side", "counter").Str("code", "dial-failed").Err(err).Msg("connection ended")
		return nil
	}
	l.backoff = 0
	nc.SetReadDeadline(time.Now().Add(idleTimeout))
	l.connection = &connection{pipeline: l, addr: l.addr, nc: nc, opened: time.Now()}
	go l.connection.read()
	return l.connection
}

// drain closes the connection once all pending calls are answered.
func (n *connection) drain() {
	n.mu.Lock()
	n.draining = true
	n.nc.SetReadDeadline(time.Now().Add(n.pipeline.limit)) // a later response would be too late for its caller
	drained := len(n.pending) == 0
	n.mu.Unlock()
	if drained {
		n.end("counter-moved")
	}
}

func (n *connection) outstanding() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending)
}

func (n *connection) write(buf *[]byte, calls []*call) {
	data, now := (*buf)[:0], time.Now()
	n.mu.Lock()
	var sent []*call
	for _, c := range calls {
		if now.Sub(c.started) >= n.pipeline.limit {
			continue // already timed out for its caller; adding it late would spend a lease that nobody has received
		}
		sent = append(sent, c)
		data = appendCall(data, n.addr, c)
	}
	*buf = data
	if n.closed {
		n.mu.Unlock()
		for _, c := range sent {
			c.done(choice.Refused, 0)
		}
		return
	}
	if len(n.pending) == 0 && !n.draining {
		n.nc.SetReadDeadline(now.Add(answerTimeout))
	}
	n.pending = append(n.pending, sent...)
	n.sent += len(sent)
	n.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := n.nc.Write(data); err != nil {
		n.end("counter-reset") // an unknown number of calls was written, so any of them may have been added
	}
}

func appendCall(buf []byte, host string, c *call) []byte {
	buf = append(buf, "POST /v1/count/"...)
	buf = append(buf, c.name...)
	buf = append(buf, "?add="...)
	buf = strconv.AppendFloat(buf, c.amount, 'f', -1, 64)
	buf = append(buf, "&ttl_ms="...)
	buf = strconv.AppendInt(buf, max(1, c.ttl.Milliseconds()), 10)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", host)
	return append(buf, "Content-Length: 0\r\n\r\n"...)
}

func (n *connection) read() {
	framer := http1.NewResponses(limits)
	var parser http1.Parser
	buf := make([]byte, 1<<10)
	for {
		count, err := n.nc.Read(buf)
		if err != nil {
			n.end(n.reason(err, framer.Started()))
			return
		}
		framer.Feed(buf[:count])
		for {
			msg, err := framer.Next()
			if err != nil {
				n.end("bad-answer")
				return
			}
			if msg == nil {
				if framer.Started() { // the rest must follow soon: a malformed response blocks those behind it
					n.nc.SetReadDeadline(time.Now().Add(n.pipeline.limit))
				}
				break
			}
			r, err := parser.Response(msg)
			if err != nil || !n.complete(r) {
				n.end("bad-answer")
				return
			}
		}
	}
}

// reason returns the log code of a read error. partial reports whether part of a response was received.
func (n *connection) reason(err error, partial bool) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout() && partial:
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

// complete completes the oldest pending call with its response. It returns false if the response is not
// valid, and the connection has to be closed.
func (n *connection) complete(r *http1.Response) bool {
	n.mu.Lock()
	if len(n.pending) == 0 || n.closed {
		n.mu.Unlock()
		return false
	}
	c := n.pending[0]
	n.pending = n.pending[1:]
	wait, drained := idleTimeout, len(n.pending) == 0 && n.draining
	if len(n.pending) > 0 {
		wait = answerTimeout
	}
	if !n.draining {
		n.nc.SetReadDeadline(time.Now().Add(wait))
	}
	n.mu.Unlock()
	if drained {
		defer n.end("counter-moved")
	}
	switch r.StatusCode {
	case http.StatusOK:
		total, ok := readTotal(r.Content)
		if !ok { // the amount has been added nevertheless, and must not be added again
			c.done(choice.Reset, 0)
			return false
		}
		c.done(choice.OK, total)
	case http.StatusServiceUnavailable:
		c.done(choice.Busy, 0)
	default:
		n.pipeline.log.Warn().Str("code", "counter-rejects").Int("status", r.StatusCode).Str("name", c.name).
			Msg("call to the counter")
		c.done(choice.Refused, 0)
	}
	return true
}

// readTotal parses a total, which is a decimal number with an optional exponent. It rejects the other forms
// that strconv accepts (infinities, hex digits, underscores).
func readTotal(text []byte) (total float64, ok bool) {
	text = bytes.TrimSpace(text)
	if bytes.ContainsFunc(text, func(r rune) bool { return !strings.ContainsRune("0123456789+-.eE", r) }) {
		return 0, false
	}
	total, err := strconv.ParseFloat(string(text), 64)
	return total, err == nil && math.Abs(total) < 1e15
}

// end closes the connection, and completes the pending calls with choice.Reset, as they may have been added.
func (n *connection) end(code string) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	calls := n.pending
	n.pending = nil
	n.mu.Unlock()
	n.nc.Close()
	n.pipeline.mu.Lock()
	if n.pipeline.connection == n {
		n.pipeline.connection = nil
	}
	n.pipeline.mu.Unlock()
	for _, c := range calls {
		c.done(choice.Reset, 0)
	}
	n.pipeline.log.Info().Str("side", "counter").Str("code", code).Int("calls", n.sent).
		Int("unanswered", len(calls)).Dur("age", time.Since(n.opened)).Msg("connection ended")
}
