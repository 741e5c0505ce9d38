package accept

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// Streamer answers requests whose bodies may be long.
type Streamer interface {
	// Stream takes a request, whose body may be yet to come. It must not block, and it must see to it that
	// one of Exchange's Answer and Pass is called once; unless the client leaves before, which it learns by
	// the function it returns (nil, if that makes no difference).
	Stream(*Exchange) (leave func())
}

// Streams sets up a Server for bodies that are passed on as they come.
type Streams struct {
	Head  int           // bytes of a request's head, at most
	Short int           // bytes of a body that is read whole first, if it tells its length
	Wait  time.Duration // for a request's head and a short body
	Idle  time.Duration // between requests
	// Accept is how long new connections are taken once the server drains; 0: drainAccept.
	Accept time.Duration
	Drain  time.Duration // for which exchanges may go on once the server drains; 0: any time
	// Life is how long the process lives once the server drains; 0: as long as it takes. Requests that are
	// still being sent shortly before its end are refused: their clients can be told, and ask another.
	Life time.Duration
	// Store, if set, takes bodies over Short, and those that don't tell their length, before the Streamer gets
	// the request, as long as it has room. Those that wait to be asked for are asked for then.
	Store *flow.Store
	// Promises says that to these clients 408, 421, 429 and 503 tell that a request has not run and never will:
	// one whose body breaks off is answered so only if the Streamer's answer is of these, too.
	Promises bool
	// Rest is how fast the rest of a body has to come whose request was answered before its end. It is read
	// and dropped, since a client that sends all before it reads would not see the answer. The zero Pace:
	// what comes within lingerWait.
	Rest flow.Pace
}

// Platform is how the platform's clients are taken: heads within 2.5 s, and bodies at 32 kB a second or more.
var Platform = Streams{Head: http1.DefaultLimits.Head, Short: http1.DefaultLimits.Body, Wait: requestWait,
	Idle: idleWait, Rest: flow.Pace{Least: slowest, Grace: requestWait}}

// NewStreams returns a server for a Streamer, as New does for a Handler.
func NewStreams(l net.Listener, h Streamer, connections int, o Streams,
	log zerolog.Logger) *Server {
	s := New(l, nil, connections, log)
	s.streams, s.streamer = &o, h
	return s
}

// Exchange is one request and its answer.
type Exchange struct {
	*http.Request // without its body
	Peer          net.Addr
	Upload        *transfer.Upload
	Long          bool // the body is yet to come

	c      *stream
	terms  *transfer.Terms
	room   *flow.Transfer
	clock  func() time.Duration
	expect bool   // 100 Continue
	prefix []byte // of a long body, for which the store had no room
	leave  func()
	whole  bool          // the request has come to its end
	answer *http1.Answer // instead of one that says that there is none; nil: as given
	reply  *transfer.Reply
	down   *transfer.Side
	form   bodyForm
	out    []byte
	told   bool             // the head is on its way
	up     atomic.Int64     // bytes of the body
	onEnd  func(whole bool) // of the answer; may be nil
}

// bodyForm is how a body is framed for the client.
type bodyForm int

const (
	formPlain bodyForm = iota // by its length, by the connection's end, or none
	formChunks
)

// Hold holds the exchange to terms, and, where the room is not nil, moves its bodies by that. Up to replay
// bytes of a body to come are held to be sent again. It is for the Streamer to call, before it returns.
func (x *Exchange) Hold(t *transfer.Terms, room *flow.Transfer, replay int, clock func() time.Duration) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.terms, x.room, x.clock = t, room, clock
	if x.Long && x.prefix == nil {
		x.Upload = transfer.Coming(x.Upload.Length(), room, replay)
	}
}

// Widen lets an answer that is about to be passed on move by a room, unless the exchange has one. It is for
// the caller of Pass, before that; the room is closed with the exchange.
func (x *Exchange) Widen(room *flow.Transfer, clock func() time.Duration) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	switch {
	case x.c.ended || x.c.x != x:
		room.Close(clock())
	case x.room == nil:
		x.room, x.clock = room, clock
	}
}

// Left tells how long the process still lives, if it has been told to end by a certain time.
func (x *Exchange) Left() (left time.Duration, ends bool) {
	s := x.c.s
	since := s.drained.Load()
	if s.streams.Life == 0 || since == 0 {
		return 0, false
	}
	return s.streams.Life - time.Since(time.Unix(0, since)), true
}

// OnEnd has a function told whether the answer has gone out whole, once it has, or never will. It must not
// block.
func (x *Exchange) OnEnd(f func(whole bool)) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	if x.c.ended || x.c.x != x {
		f(false)
		return
	}
	x.onEnd = f
}

// Answer gives a whole answer. It does not block.
func (x *Exchange) Answer(a *http1.Answer) { go x.c.respond(x, a) }

// Pass gives an answer that is passed on as it comes. It does not block.
func (x *Exchange) Pass(r *transfer.Reply) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	if x.c.ended || x.c.x != x {
		r.Drop()
		return
	}
	x.reply = r
	r.To(x)
}

// stream is one client's connection, whose requests and answers are passed on as they come. One goroutine
// reads, and writes what it reads of a body to the server; each answer's own writes to the client.
type stream struct {
	s      *Server
	nc     net.Conn
	since  time.Time
	pieces *http1.Pieces // the reader's
	parser http1.Parser
	buf    []byte

	mu       sync.Mutex
	changed  sync.Cond
	x        *Exchange // being answered
	last     bool      // nothing more is read after the answer at hand
	turned   bool      // a request that is not whole is refused
	ended    bool
	count    int
	used     time.Time // when the last answer was out, or the connection taken
	begun    time.Time // when the request that is coming in began; zero if none is
	fed      int       // bytes of it so far
	linger   time.Time // until when what comes is dropped; zero before the last answer is out
	up, down int64     // bytes of bodies
	out      []byte
}

func newStream(s *Server, nc net.Conn, now time.Time) *stream {
	c := &stream{s: s, nc: nc, since: now, used: now, pieces: http1.RequestPieces(s.streams.Head),
		buf: make([]byte, 4<<10)}
	c.changed.L = &c.mu
	return c
}

func (c *stream) read() {
	defer c.s.gone(c)
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
func (c *stream) fill() bool {
	c.nc.SetReadDeadline(c.deadline())
	n, err := c.nc.Read(c.buf)
	if isTimeout(err) && c.turnedBack() {
		c.refuse(errDraining)
		return false
	}
	if n == 0 && isTimeout(err) { // what has come meanwhile is read all the same
		c.nc.SetReadDeadline(time.Now().Add(lateWait))
		n, err = c.nc.Read(c.buf)
	}
	if n > 0 {
		c.pieces.Feed(c.buf[:n])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fed += n
		if c.begun.IsZero() { // not anew with each byte, or a slow client would never end
			c.begun = time.Now()
		}
		return !c.ended
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
		c.end(left(c.nc, err))
	}
	return false
}

// deadline is when a read of a request is given up.
func (c *stream) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.turned:
		return time.Now()
	case c.count == 0:
		return c.since.Add(c.s.streams.Wait + allowance(c.fed))
	case c.begun.IsZero():
		return time.Now().Add(c.s.streams.Idle)
	}
	return c.begun.Add(c.s.streams.Wait + allowance(c.fed))
}

// request takes a request from its head on until it is answered. It reports whether to read on.
func (c *stream) request(r *http.Request) bool {
	x := &Exchange{Request: r, Peer: c.nc.RemoteAddr(), c: c, terms: &transfer.Terms{}}
	if t, ok := c.nc.(*tls.Conn); ok {
		state := t.ConnectionState()
		r.TLS = &state
	}
	x.expect = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	length := c.pieces.Length()
	short := length >= 0 && length <= int64(c.s.streams.Short)
	store := c.s.streams.Store
	switch {
	case short && (!x.expect || length == 0 || store != nil):
		if x.expect && length > 0 {
			c.proceed(x)
		}
		body, ok := c.collect(int(length))
		if !ok {
			return false
		}
		x.Upload, x.whole = transfer.Whole(body), true
	case store != nil && store.Fits(length):
		if x.expect {
			c.proceed(x)
		}
		if !c.store(x, length) {
			return false
		}
	default:
		x.Upload, x.Long = transfer.Coming(length, nil, 0), true
	}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		x.Upload.Over()
		return false
	}
	c.x, c.begun, c.fed = x, time.Time{}, 0
	c.count++
	c.last = r.Close || !r.ProtoAtLeast(1, 1)
	c.mu.Unlock()
	leave := c.s.streamer.Stream(x)
	c.mu.Lock()
	x.leave = leave
	gone := c.ended
	if gone { // before it was known what the exchange holds
		c.settle(x)
	}
	c.mu.Unlock()
	if gone && leave != nil {
		leave()
	}
	if x.Long && !c.upload(x) {
		return false
	}
	return c.await(x)
}

// keepMost is the most memory that a body is given before it has come.
const keepMost = 16 << 10

// collect reads a short body.
func (c *stream) collect(length int) (body []byte, ok bool) {
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			c.refuse(err)
			return nil, false
		case kind == http1.Data:
			if body == nil {
				body = make([]byte, 0, max(min(length, keepMost), len(piece)))
			}
			body = append(body, piece...)
		case kind == http1.End:
			return body, true
		case kind == http1.More && !c.fill():
			return nil, false
		}
	}
}

// store reads a body into the store, to its end or as far as there is room. It reports whether the connection
// is still there.
func (c *stream) store(x *Exchange, length int64) bool {
	up := transfer.Stored(c.s.streams.Store)
	for {
		kind, piece, err := c.pieces.Next()
		switch {
		case err != nil:
			up.Over()
			c.refuse(err)
			return false
		case kind == http1.Data && !up.Store(piece):
			up.Flow(length)
			x.Upload, x.Long, x.prefix = up, true, bytes.Clone(piece)
			return true
		case kind == http1.Data:
			x.up.Add(int64(len(piece)))
		case kind == http1.End:
			up.End(nil)
			x.Upload, x.whole = up, true
			return true
		case kind == http1.More && !c.fill():
			up.Over()
			return false
		}
	}
}

// upload passes a body on, as it comes and as it is taken. It reports whether the connection is still there.
func (c *stream) upload(x *Exchange) bool {
	if x.Upload.Wait() != nil {
		return true // nobody takes it
	}
	if x.expect && x.prefix == nil {
		c.proceed(x)
	}
	if len(x.prefix) > 0 {
		x.up.Add(int64(len(x.prefix)))
		if x.Upload.Write(x.prefix) != nil {
			return true
		}
		x.prefix = nil
	}
	side := transfer.NewSide(c.nc, x.terms.ClientUp)
	c.nc.SetReadDeadline(time.Time{})
	window := transfer.NewWindow(x.room, flow.Up, c.buf)
	var trailer []byte
	for {
		kind, piece, err := c.pieces.Next()
		if err != nil {
			c.spoil(x, err)
			return true
		}
		switch kind {
		case http1.Data:
			x.up.Add(int64(len(piece)))
			if x.Upload.Write(piece) != nil {
				return true
			}
			continue
		case http1.Trailer:
			trailer = bytes.Clone(piece)
			continue
		case http1.End:
			c.mu.Lock()
			x.whole = true
			c.mu.Unlock()
			x.Upload.End(trailer)
			return true
		}
		taken := window.Take()
		into, plain := taken, c.pieces.Plain(len(taken))
		if plain > 0 { // and not the request that may come behind
			into = taken[:plain]
		}
		n, err := side.Read(into)
		got := time.Now()
		var over error
		switch {
		case n > 0 && plain > 0:
			c.pieces.Passed(n)
			x.up.Add(int64(n))
			over = x.Upload.Write(into[:n])
		case n > 0:
			c.pieces.Feed(into[:n])
		}
		window.Done(taken, n, time.Since(got))
		var slow *transfer.SlowError
		switch {
		case over != nil:
			return true
		case err == nil || n > 0:
		case isTimeout(err) && c.answered(x):
			return true
		case errors.As(err, &slow):
			c.spoil(x, &http1.Error{Status: 408, Reason: "upload-" + slow.Error()})
			return true
		default:
			x.Upload.Break()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.end(left(c.nc, err))
			return false
		}
	}
}

// answered reports whether an exchange is over.
func (c *stream) answered(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.x != x
}

// spoil ends a request in whose body something is wrong. What has left of it ends at the server as broken
// off.
func (c *stream) spoil(x *Exchange, err error) {
	c.mu.Lock()
	x.answer, c.last = http1.Problem(err), true
	c.mu.Unlock()
	x.Upload.Break()
}

// errDraining is told to a client that is still sending when the process is about to end.
var errDraining = &http1.Error{Status: http.StatusServiceUnavailable, Reason: "draining"}

// turnBack refuses a request that is not whole yet.
func (c *stream) turnBack() {
	c.mu.Lock()
	x := c.x
	c.turned = true
	switch {
	case x == nil:
		c.nc.SetReadDeadline(time.Now())
	case x.whole || x.told:
		x = nil
	}
	c.mu.Unlock()
	if x != nil {
		c.spoil(x, errDraining)
	}
}

func (c *stream) turnedBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.turned && c.x == nil && !c.begun.IsZero()
}

// proceed tells a client that asked whether to send its body.
func (c *stream) proceed(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.x != nil && c.x != x || x.told {
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(answerWait))
	c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// await reads on until a request is answered, for that is how it learns that the client has gone. It reports
// whether to read the next one.
func (c *stream) await(x *Exchange) bool {
	c.mu.Lock()
	if c.x == x {
		c.nc.SetReadDeadline(time.Time{})
	}
	for {
		for c.x == x && !c.ended && c.pieces.Buffered() > 0 { // the next request has come, or what is left
			c.changed.Wait()
		}
		switch {
		case c.ended:
			c.mu.Unlock()
			return false
		case c.x != x && !c.linger.IsZero():
			c.mu.Unlock()
			c.drop()
			return false
		case c.x != x:
			if c.pieces.Buffered() > 0 {
				c.begun = time.Now()
			}
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		n, err := c.nc.Read(c.buf)
		if n > 0 {
			c.pieces.Feed(c.buf[:n])
		}
		c.mu.Lock()
		switch {
		case n > 0 || err == nil || c.ended || !c.linger.IsZero():
		case isTimeout(err) && c.x == x: // a deadline of before
			c.nc.SetReadDeadline(time.Time{})
		case isTimeout(err):
			c.end("idle")
		default:
			c.end(left(c.nc, err))
		}
	}
}

// drop reads what a client still sends after its last answer, for a while, or to the body's end at its pace.
func (c *stream) drop() {
	read, most := c.nc.Read, int64(lingerMost)
	if c.s.streams.Rest != (flow.Pace{}) {
		c.nc.SetReadDeadline(time.Time{})
		read, most = transfer.NewSide(c.nc, c.s.streams.Rest).Read, restMost
	}
	for spilt := int64(0); spilt <= most; {
		n, err := read(c.buf)
		if spilt += int64(n); err != nil {
			break
		}
	}
	c.cut("answered-last")
}

// restMost bounds the rest of a body that is dropped: twice the longest that the platform's clients send.
const restMost = 64 << 20

// refuse answers what can't be read, or came too slowly. Nothing more is read after it.
func (c *stream) refuse(err error) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.last, c.count = true, c.count+1
	c.mu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(answerWait))
	if _, err := c.nc.Write(http1.Problem(err).Append(nil, true)); err == nil && closeWrite(c.nc) {
		c.mu.Lock()
		c.linger = time.Now().Add(lingerWait)
		c.mu.Unlock()
		c.nc.SetReadDeadline(time.Now().Add(lingerWait))
		c.drop()
		return
	}
	c.cut("answered-last")
}

// closes reports whether the answer that begins now is the last one. The lock is held.
func (c *stream) closes(x *Exchange) bool {
	x.told = true
	c.last = c.last || !x.whole || c.s.Draining() || c.s.crowded()
	return c.last
}

// respond writes a whole answer.
func (c *stream) respond(x *Exchange, a *http1.Answer) {
	c.mu.Lock()
	if c.ended || c.x != x {
		c.mu.Unlock()
		return
	}
	// Its body was not whole when x.answer was to be the answer; what had left of it may have run all the same.
	if p := c.s.streams.Promises; x.answer != nil &&
		(!p || http1.Promises(a.Status) || !http1.Promises(x.answer.Status)) {
		a = x.answer
	}
	out := a.Append(c.out[:0], c.closes(x))
	if x.Method == http.MethodHead {
		out = out[:len(out)-len(a.Body)]
	}
	c.out = out
	c.mu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(answerWait))
	_, err := c.nc.Write(out)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.end("answer-not-written")
	}
	c.finish(x)
}

// finish ends an exchange whose answer is out. The lock is held.
func (c *stream) finish(x *Exchange) {
	c.settle(x)
	if c.ended || c.x != x {
		return
	}
	if x.onEnd != nil {
		x.onEnd(true)
	}
	c.add(x)
	c.x, c.used = nil, time.Now()
	c.changed.Broadcast()
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	switch {
	case !c.last:
		c.nc.SetReadDeadline(c.used.Add(c.s.streams.Idle))
	case x.whole || !closeWrite(c.nc):
		c.end("answered-last")
	default: // the client may still be sending
		c.linger = c.used.Add(lingerWait)
		if c.s.streams.Rest == (flow.Pace{}) {
			c.nc.SetReadDeadline(c.linger)
		} else { // the reader may be waiting by a deadline of the upload
			c.nc.SetReadDeadline(c.used)
		}
	}
}

// settle gives back what an exchange holds. The lock is held.
func (c *stream) settle(x *Exchange) {
	x.Upload.Over()
	if x.room != nil {
		x.room.Close(x.clock())
	}
}

func (c *stream) usage() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.used
	if !c.begun.IsZero() && c.count > 0 {
		since = c.begun
	}
	switch {
	case c.ended || !c.linger.IsZero():
		return usage{rankOver, c.since}
	case c.x != nil:
		return usage{rankBusy, c.since}
	case c.count > 0 && c.begun.IsZero():
		return usage{rankIdle, since}
	case time.Since(since) < silentWait:
		return usage{rankNew, since}
	}
	return usage{rankSilent, since}
}

func (c *stream) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.x != nil && !c.ended {
		return false
	}
	c.end("made-room")
	return true
}

func (c *stream) closeIdle(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.x == nil && c.begun.IsZero() && !justCame(c.count, c.since) {
		c.end(code)
	}
}

// cut ends the connection, whatever it is used for.
func (c *stream) cut(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(code)
}

// end closes the connection and leaves its log line. The lock is held.
func (c *stream) end(code string) {
	if c.ended {
		return
	}
	c.ended = true
	c.nc.Close()
	x := c.x
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
	c.s.log.Info().Str("side", "client").Str("code", code).Bool("waiting", x != nil).Int("requests", c.count).
		Int64("up", c.up).Int64("down", c.down).Dur("age", time.Since(c.since)).Msg("connection ended")
}

// add counts the bytes of an exchange that is over. The lock is held.
func (c *stream) add(x *Exchange) {
	c.up += x.up.Load()
	if x.down != nil {
		c.down += x.down.Bytes()
	}
}

// Room is what the answer may hold.
func (x *Exchange) Room() *flow.Transfer { return x.room }

// Head writes the head of an answer.
func (x *Exchange) Head(r *transfer.Reply) error {
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.x != x {
		return net.ErrClosed
	}
	x.down = transfer.NewSide(c.nc, x.terms.ClientDown)
	out := c.out[:0]
	modern := x.ProtoAtLeast(1, 1)
	if modern {
		for _, head := range r.Interim {
			out = append(out, head...)
		}
	}
	last := c.closes(x)
	lengthless := !r.Bare && r.Length < 0
	if lengthless && !modern {
		c.last, last = true, true
	}
	out = append(out, "HTTP/1.1 "...)
	out = append(out, r.Status...)
	out = append(out, "\r\n"...)
	out = http1.AppendHeaders(out, r.Header)
	switch {
	case lengthless && modern:
		x.form = formChunks
		out = http1.AppendHeader(out, "Transfer-Encoding", "chunked")
	case r.Bare && r.StatusCode != http.StatusNoContent && r.ContentLength >= 0:
		out = http1.AppendHeader(out, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case !r.Bare && !lengthless:
		out = http1.AppendHeader(out, "Content-Length", strconv.FormatInt(r.Length, 10))
	}
	if last {
		out = http1.AppendHeader(out, "Connection", "close")
	}
	x.out = append(out, "\r\n"...)
	c.nc.SetWriteDeadline(time.Time{})
	return nil
}

// Pieces up to this size are gathered and go out together: a copy costs less than a system call.
const gather = 8 << 10

// Write writes some of the body.
func (x *Exchange) Write(p []byte) error {
	if x.form == formChunks {
		x.out = append(strconv.AppendInt(x.out, int64(len(p)), 16), "\r\n"...)
	}
	if len(x.out)+len(p) <= 2*gather && len(p) <= gather {
		x.out = append(x.out, p...)
	} else {
		if err := x.Flush(); err != nil {
			return err
		}
		if err := x.down.Write(p); err != nil {
			return x.failed(err)
		}
	}
	if x.form == formChunks {
		x.out = append(x.out, "\r\n"...)
	}
	return nil
}

// Flush writes what was gathered.
func (x *Exchange) Flush() error {
	if len(x.out) == 0 {
		return nil
	}
	err := x.down.Write(x.out)
	x.out = x.out[:0]
	return x.failed(err)
}

// failed ends the connection if a write has failed.
func (x *Exchange) failed(err error) error {
	if err == nil {
		return nil
	}
	code := "answer-not-written"
	var slow *transfer.SlowError
	if errors.As(err, &slow) {
		code = "client-" + slow.Error()
	}
	x.c.cut(code)
	return err
}

// End ends the answer, which is whole.
func (x *Exchange) End(trailer []byte) {
	if x.form == formChunks {
		x.out = append(append(append(x.out, "0\r\n"...), trailer...), "\r\n"...)
	}
	if x.Flush() != nil {
		return
	}
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = x.out
	c.finish(x)
}

// Fail says that there is no answer.
func (x *Exchange) Fail() { x.c.respond(x, http1.Plain(http.StatusBadGateway, "no answer")) }

// Cut breaks the answer off, so that the client can tell: there is no last chunk, or less than the length.
func (x *Exchange) Cut() {
	x.Flush()
	x.c.cut("answer-cut")
}
