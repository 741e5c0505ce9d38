package forward

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/net/transfer"
)

// Streamed is a message whose body flows. Its Append writes the head alone.
type Streamed interface {
	Message
	Upload() *transfer.Upload
	Terms() *transfer.Terms
	Method() string
}

// bodyStream is what an attempt has beside, whose answer is passed on as it comes.
type bodyStream struct {
	exchange  *exchange
	up        *transfer.Upload
	terms     *transfer.Terms
	method    string
	head      bool // the request is HEAD
	long      bool // its body did not go with the head
	chunks    bool // it has no known length
	side      *transfer.Side
	sentBytes int64        // bytes of a body that did not go with the head
	part      atomic.Bool  // such a body has not gone to its last byte
	sent      atomic.Bool  // all of the request has gone, and nobody writes to the connection any more
	due       atomic.Int64 // Unix time in ns by which the answer's head has to come; 0: the core sees to it

	mu       sync.Mutex
	answered bool            // the head has come, or never will; reads have deadlines of their own
	reply    *transfer.Reply // that the core took before its head had come; nil: it waits for that
}

// Commit tells the core that its part is over: whatever comes of this attempt is the answer. So the gate's room
// for attempts is not taken up by long bodies, nor its deadline held against them.
func (s *bodyStream) Commit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || s.terms.Awaited {
		return
	}
	s.exchange.mu.Lock()
	c := s.exchange.conn
	s.exchange.mu.Unlock()
	s.reply = transfer.NewReply(func() { c.endWith(s.exchange, "client-gone") })
	s.exchange.End(core.Result{Code: choice.OK, Body: s.reply, Drop: s.reply.Drop})
}

// headCame notes that an answer's head is here, and returns the reply that was handed out before, if one was.
// ok is false if the attempt has failed meanwhile.
func (s *bodyStream) headCame() (reply *transfer.Reply, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = !s.answered
	s.answered = true
	s.due.Store(0)
	return s.reply, ok
}

// headAwaited takes back that an answer's head has come: it was not this request's.
func (s *bodyStream) headAwaited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = false
}

// expect gives the answer's head so long to come, unless it is here.
func (s *bodyStream) expect(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || wait <= 0 {
		return
	}
	due := time.Now().Add(wait)
	s.due.Store(due.UnixNano())
	setReadDeadline(s.side.Conn, due)
}

// streams makes ready, or ends the attempt because the body is gone.
func (x *exchange) streams() bool {
	m := x.Payload.(Streamed)
	x.stream = &bodyStream{exchange: x, up: m.Upload(), terms: m.Terms(), method: m.Method()}
	x.stream.head = x.stream.method == http.MethodHead
	if x.stream.up.Lost() {
		x.over(core.Result{Code: choice.Skipped})
		return false
	}
	return true
}

// over fills in whether another attempt could be made.
func (s *bodyStream) over(res *core.Result) {
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
func (s *bodyStream) unsent() bool { return s.terms.Whole && s.part.Load() }

// lost reports whether bytes of the body have left.
func (s *bodyStream) lost() bool { return s.up.Lost() }

func (s *bodyStream) detach() { s.up.Detach(s) }

// late reports whether the answer's head is overdue.
func (s *bodyStream) late() bool {
	due := s.due.Load()
	return due != 0 && time.Now().UnixNano() >= due
}

// begin writes the body behind the head if all of it is here.
func (s *bodyStream) begin(msg []byte) []byte {
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
func (x *exchange) attach(c *connection) {
	if x.stream == nil {
		return
	}
	if !x.stream.long {
		x.stream.all(c)
		return
	}
	x.stream.side = transfer.NewSide(c.netConn, x.stream.terms.ServerUp)
	// An error of the writing shows to the reader too, which may yet find an answer.
	if err := x.stream.up.Attach(x.stream); errors.Is(err, transfer.ErrLost) ||
		errors.Is(err, transfer.ErrTaken) || errors.Is(err, transfer.ErrOver) {
		c.finish(core.Result{Code: choice.Reset}, "body-gone")
	}
}

// Write sends a piece of the body.
func (s *bodyStream) Write(p []byte) error {
	var err error
	s.sentBytes += int64(len(p))
	if !s.chunks && s.sentBytes >= s.up.Length() { // before it is written: the last byte may get there
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
func (s *bodyStream) Close(trailer []byte) error {
	if s.chunks {
		s.part.Store(false)
		out := append(append([]byte("0\r\n"), trailer...), "\r\n"...)
		if err := s.side.Write(out); err != nil {
			s.broke(err)
			return err
		}
	}
	_ = s.side.Conn.SetWriteDeadline(time.Time{}) // for the requests that come after
	s.expect(s.terms.Head)
	s.exchange.mu.Lock()
	c := s.exchange.conn
	s.exchange.mu.Unlock()
	s.all(c)
	return nil
}

// all notes that all of the request has gone.
func (s *bodyStream) all(c *connection) {
	s.sent.Store(true)
	c.mu.Lock()
	c.signalSent()
	c.mu.Unlock()
}

// Cut closes the connection in the midst of the body, so that the server can tell.
func (s *bodyStream) Cut() {
	s.exchange.mu.Lock()
	c := s.exchange.conn
	s.exchange.mu.Unlock()
	if c != nil {
		c.finish(core.Result{Code: choice.Reset}, "upload-cut")
	}
}

// earlyWait is how long an answer may take to show that came before the end of its request, from when the
// server has stopped to take that.
const earlyWait = time.Second

// broke handles a body that the server does not take. It may have answered already.
func (s *bodyStream) broke(err error) {
	var slow *transfer.SlowError
	if errors.As(err, &slow) {
		s.exchange.mu.Lock()
		c := s.exchange.conn
		s.exchange.mu.Unlock()
		c.finish(core.Result{Code: choice.Reset}, "server-"+slow.Error())
		return
	}
	s.expect(earlyWait)
}
