package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// Streamed is a message whose body flows. Its Append writes the head alone.
type Streamed interface {
	Message
	Upload() *transfer.Upload
	Terms() *transfer.Terms
	Method() string
}

// streaming is what an attempt has beside, whose answer is passed on as it comes.
type streaming struct {
	x      *exchange
	up     *transfer.Upload
	terms  *transfer.Terms
	method string
	head   bool // the request is HEAD
	long   bool // its body did not go with the head
	chunks bool // it has no known length
	side   *transfer.Side
	gone   int64        // bytes of a body that did not go with the head
	part   atomic.Bool  // such a body has not gone to its last byte
	sent   atomic.Bool  // all of the request has gone, and nobody writes to the connection any more
	due    atomic.Int64 // Unix time in ns by which the answer's head has to come; 0: the core sees to it

	mu       sync.Mutex
	answered bool            // the head has come, or never will; reads have deadlines of their own
	reply    *transfer.Reply // that the core took before its head had come; nil: it waits for that
}

// Last tells the core that its part is over: whatever comes of this attempt is the answer. So the gate's room
// for attempts is not taken up by long bodies, nor its deadline held against them.
func (s *streaming) Last() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.terms.Awaited {
		return
	}
	s.x.mu.Lock()
	c := s.x.conn
	s.x.mu.Unlock()
	s.reply = transfer.NewReply(func() { c.endWith(s.x, "client-gone") })
	s.x.End(core.Result{Code: choice.OK, Body: s.reply, Drop: s.reply.Drop})
}

// headCame notes that an answer's head is here, and returns the reply that was handed out before, if one was.
// ok is false if the attempt has failed meanwhile.
func (s *streaming) headCame() (reply *transfer.Reply, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = !s.answered
	s.answered = true
	s.due.Store(0)
	return s.reply, ok
}

// headAwaited takes back that an answer's head has come: it was not this request's.
func (s *streaming) headAwaited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = false
}

// expect gives the answer's head so long to come, unless it is here.
func (s *streaming) expect(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || wait <= 0 {
		return
	}
	due := time.Now().Add(wait)
	s.due.Store(due.UnixNano())
	s.side.Conn.SetReadDeadline(due)
}

// streams makes ready, or ends the attempt because the body is gone.
func (x *exchange) streams() bool {
	m := x.Payload.(Streamed)
	x.stream = &streaming{x: x, up: m.Upload(), terms: m.Terms(), method: m.Method()}
	x.stream.head = x.stream.method == http.MethodHead
	if x.stream.up.Lost() {
		x.over(core.Result{Code: choice.Skipped})
		return false
	}
	return true
}

// over fills in whether another attempt could be made.
func (s *streaming) over(res *core.Result) {
	if res.Code == choice.OK {
		return // its answer may yet come before the body's end
	}
	if res.Code == choice.Reset && s.unsent() {
		res.Code = choice.Refused
	}
	s.up.Detach(s)
	res.Final = s.up.Lost()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reply != nil && !s.answered {
		s.answered = true
		go func(r *transfer.Reply) {
			if to := r.Wait(); to != nil {
				to.Fail()
			}
		}(s.reply)
	}
}

// unsent reports whether the server has not begun, since it does so only once it has the last byte.
func (s *streaming) unsent() bool { return s.terms.Whole && s.part.Load() }

// lost reports whether bytes of the body have left.
func (s *streaming) lost() bool { return s.up.Lost() }

func (s *streaming) detach() { s.up.Detach(s) }

// late reports whether the answer's head is overdue.
func (s *streaming) late() bool {
	due := s.due.Load()
	return due != 0 && time.Now().UnixNano() >= due
}

// begin writes the body behind the head if all of it is here.
func (s *streaming) begin(msg []byte) []byte {
	body, ok := s.up.Held()
	s.long, s.chunks = !ok, s.up.Length() < 0
	s.part.Store(s.long)
	if !ok {
		return msg
	}
	if s.chunks && len(body) > 0 {
		msg = append(strconv.AppendInt(msg, int64(len(body)), 16), "\r\n"...)
		msg = append(append(msg, body...), "\r\n"...)
	} else {
		msg = append(msg, body...)
	}
	if s.chunks {
		msg = append(msg, "0\r\n\r\n"...)
	}
	return msg
}

// attach lets the body flow once the head is written.
func (x *exchange) attach(c *conn) {
	if x.stream == nil {
		return
	}
	if !x.stream.long {
		x.stream.all(c)
		return
	}
	x.stream.side = transfer.NewSide(c.nc, x.stream.terms.ServerUp)
	// An error of the writing shows to the reader too, which may yet find an answer.
	if err := x.stream.up.Attach(x.stream); errors.Is(err, transfer.ErrLost) ||
		errors.Is(err, transfer.ErrTaken) || errors.Is(err, transfer.ErrOver) {
		c.finish(core.Result{Code: choice.Reset}, "body-gone")
	}
}

// Write sends a piece of the body.
func (s *streaming) Write(p []byte) error {
	var err error
	if s.gone += int64(len(p)); !s.chunks && s.gone >= s.up.Length() { // before: the last byte may get there
		s.part.Store(false)
	}
	if s.chunks {
		var line [20]byte
		size := append(strconv.AppendInt(line[:0], int64(len(p)), 16), "\r\n"...)
		// One write for a chunk, at the price of a copy: small writes would wait for each other's packets.
		out := append(append(append(make([]byte, 0, len(size)+len(p)+2), size...), p...), "\r\n"...)
		err = s.side.Write(out)
	} else {
		err = s.side.Write(p)
	}
	if err != nil {
		s.broke(err)
	}
	return err
}

// Close sends the end of the body. From here on the server owes an answer.
func (s *streaming) Close(trailer []byte) error {
	if s.chunks {
		s.part.Store(false)
		out := append(append([]byte("0\r\n"), trailer...), "\r\n"...)
		if err := s.side.Write(out); err != nil {
			s.broke(err)
			return err
		}
	}
	s.side.Conn.SetWriteDeadline(time.Time{}) // for the requests that come after
	s.expect(s.terms.Head)
	s.x.mu.Lock()
	c := s.x.conn
	s.x.mu.Unlock()
	s.all(c)
	return nil
}

// all notes that all of the request has gone.
func (s *streaming) all(c *conn) {
	s.sent.Store(true)
	c.mu.Lock()
	c.tell()
	c.mu.Unlock()
}

// Cut closes the connection in the midst of the body, so that the server can tell.
func (s *streaming) Cut() {
	s.x.mu.Lock()
	c := s.x.conn
	s.x.mu.Unlock()
	if c != nil {
		c.finish(core.Result{Code: choice.Reset}, "upload-cut")
	}
}

// earlyWait is how long an answer may take to show that came before the end of its request, from when the
// server has stopped to take that.
const earlyWait = time.Second

// broke handles a body that the server does not take. It may have answered already.
func (s *streaming) broke(err error) {
	var slow *transfer.SlowError
	if errors.As(err, &slow) {
		s.x.mu.Lock()
		c := s.x.conn
		s.x.mu.Unlock()
		c.finish(core.Result{Code: choice.Reset}, "server-"+slow.Error())
		return
	}
	s.expect(earlyWait)
}

// Interim answers that are kept until the true one is known to be passed on.
const mostKept = 4

// pass looks for the head of an answer, and passes that on. It reports whether to read on.
func (c *conn) pass(buf []byte, readErr error) bool {
	for {
		c.mu.Lock()
		kind, piece, err := c.pieces.Next()
		x := c.x
		c.mu.Unlock()
		if x == nil {
			return false
		}
		var r *http.Response
		if err == nil && kind == http1.Head {
			if r, err = c.parser.ResponseHead(piece, x.stream.method); err == nil {
				c.told(r.Header)
			}
		}
		switch {
		case err != nil:
			c.finish(core.Result{Code: choice.Reset}, "bad-answer")
			return false
		case kind == http1.More && readErr != nil:
			if c.head != nil && c.ends(readErr) {
				on, _ := c.whole(x, true)
				return on
			}
			c.finish(core.Result{Code: choice.Reset}, "server-reset")
			return false
		case kind == http1.More:
			if c.f.Hold > 0 && c.f.Stall > 0 && c.pieces.Begun() {
				c.nc.SetReadDeadline(time.Now().Add(c.f.Stall))
			}
			return true
		case kind == http1.Interim:
			c.keep1xx(x, piece)
		case kind == http1.Head && c.f.Hold == 0:
			return c.move(x, r, buf)
		default:
			if on, over := c.hold(x, kind, r, piece, buf); over {
				return on
			}
		}
	}
}

// keep1xx keeps the head of an answer that goes before the true one. Of a request that judges answers, none
// is kept: it may have come late for another, and only a true answer's head is judged.
func (c *conn) keep1xx(x *exchange, head []byte) {
	_, judges := x.Payload.(Judging)
	if status := bytes.Fields(head)[1]; !judges && string(status) != "100" && len(c.interim) < mostKept {
		c.interim = append(c.interim, bytes.Clone(head))
	}
}

// move passes an answer on, from its head to its end, if it is wanted. It reports whether the connection can
// be used on.
func (c *conn) move(x *exchange, r *http.Response, buf []byte) bool {
	reply, ok := x.stream.headCame()
	if !ok && c.head == nil {
		return false
	}
	c.head = nil
	var result core.Result
	if j, ok := x.Payload.(Judging); ok {
		result = j.JudgeHead(r, c.arrival(c.pieces.Endless()))
	} else {
		result = c.f.Streams(r)
	}
	if result.Code != choice.OK && reply == nil {
		c.finish(result, "answer-not-passed")
		return false
	}
	c.nc.SetReadDeadline(time.Time{})
	early := reply != nil
	if !early {
		reply = transfer.NewReply(func() { c.endWith(x, "client-gone") })
	}
	reply.Response, reply.Length = r, c.pieces.Length()
	if reply.Length >= 0 {
		reply.Length += int64(len(c.held))
	}
	reply.Bare = x.stream.head || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	reply.Interim, c.interim = c.interim, nil
	if !early {
		result.Body, result.Drop = reply, reply.Drop
		x.over(result)
	}
	to := reply.Wait()
	if to == nil {
		c.end("answer-not-wanted")
		return false
	}
	whole, trailer, code := c.pump(x, reply, to, buf)
	if !whole {
		c.end(code)
		to.Cut()
		return false
	}
	// The end goes out last: who has it may ask again at once, and finds this connection resting, or its slot
	// free. It goes by itself, since a client that reads slowly must not hold up whom that serves next.
	defer func() { go to.End(trailer) }()
	switch {
	case c.foreign:
		code = "doubtful"
	case c.pieces.Buffered() > 0:
		code = "unasked-bytes"
	case code == "" && (r.Close || !r.ProtoAtLeast(1, 1)):
		code = "server-closed"
	case code == "" && !c.sentAll(x): // the rest of the request would be taken for the next
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.end(code)
		return false
	}
	_, ended := c.rest()
	return !ended
}

// pump moves the body of an answer, but for its end. It reports whether all of it has gone, what follows it,
// and with which code the connection is to end, if it is.
func (c *conn) pump(
	x *exchange,
	reply *transfer.Reply,
	to transfer.Dest,
	buf []byte,
) (whole bool, trailer []byte, code string) {
	if err := to.Head(reply); err != nil {
		return false, nil, "client-gone"
	}
	if held := c.held; held != nil {
		c.held = nil
		if to.Write(held) != nil {
			return false, nil, "client-gone"
		}
	}
	side := transfer.NewSide(c.nc, x.stream.terms.ServerDown)
	free := transfer.NewSide(c.nc, flow.Pace{})
	window := transfer.NewWindow(to.Room(), flow.Down, buf)
	for {
		kind, piece, err := c.pieces.Next()
		if err != nil {
			return false, nil, "bad-answer"
		}
		switch kind {
		case http1.Data:
			if err := to.Write(piece); err != nil {
				return false, nil, "client-gone"
			}
			continue
		case http1.Trailer:
			trailer = bytes.Clone(piece)
			continue
		case http1.End:
			return true, trailer, ""
		}
		if err := to.Flush(); err != nil {
			return false, nil, "client-gone"
		}
		taken := window.Take()
		into, plain := taken, c.pieces.Plain(len(taken))
		from := side
		if !x.stream.sent.Load() { // it may wait for the rest of the request
			from = free
		}
		if plain > 0 { // and not what comes behind the body
			into = into[:plain]
		}
		n, err := from.Read(into)
		got := time.Now()
		switch {
		case n > 0 && plain > 0:
			c.pieces.Passed(n)
			if to.Write(into[:n]) != nil {
				return false, nil, "client-gone"
			}
		case n > 0:
			c.pieces.Feed(into[:n])
		}
		window.Done(taken, n, time.Since(got))
		if err == nil {
			continue
		}
		var slow *transfer.SlowError
		switch {
		case errors.As(err, &slow):
			return false, nil, "server-" + slow.Error()
		case errors.Is(err, io.EOF):
			if kind, _ := c.pieces.Finish(); kind == http1.End {
				return true, nil, "server-closed"
			}
		}
		return false, nil, "server-reset"
	}
}
