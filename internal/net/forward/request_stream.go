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

// Streamed is a message whose body is streamed. Its Append appends only the head.
type Streamed interface {
	Message
	Upload() *transfer.Upload
	Terms() *transfer.Terms
	Method() string
}

// bodyStream is the state of an attempt whose request and response bodies are streamed. It implements
// transfer.Sink for the request body.
type bodyStream struct {
	exchange   *exchange
	up         *transfer.Upload
	terms      *transfer.Terms
	method     string
	isHead     bool // the request is HEAD
	long       bool // the body was not written together with the head
	chunked    bool // the length of the body is unknown
	side       *transfer.Side
	sentBytes  int64        // bytes sent of a long body
	incomplete atomic.Bool  // the last byte of a long body was not sent
	sent       atomic.Bool  // the request was sent completely; no goroutine writes to the connection any more
	due        atomic.Int64 // Unix time in ns when the response head is due; 0: no limit but the core's

	mu       sync.Mutex
	answered bool            // the head was received or will not be; reads have other deadlines then
	reply    *transfer.Reply // passed to the core before the response head; nil: none was
}

// Commit ends the attempt for the core, as no retry is possible: any response to this attempt is final. Thus
// long bodies neither use up the core's limits on attempts in flight nor fail by its deadline. It does
// nothing if the terms say that the core waits for the response head.
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

// headReceived records that the response head was received. It returns the reply that Commit passed to the
// core, or nil. ok is false if the attempt has failed meanwhile.
func (s *bodyStream) headReceived() (reply *transfer.Reply, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = !s.answered
	s.answered = true
	s.due.Store(0)
	return s.reply, ok
}

// awaitHeadAgain undoes headReceived, as the head belonged to another request.
func (s *bodyStream) awaitHeadAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = false
}

// setHeadDeadline limits how long to wait for the response head, unless it was received; wait <= 0 means no
// limit.
func (s *bodyStream) setHeadDeadline(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered || wait <= 0 {
		return
	}
	due := time.Now().Add(wait)
	s.due.Store(due.UnixNano())
	setReadDeadline(s.side.Conn, due)
}

// initStream initializes the attempt's stream. If the body can't be sent again from its beginning, it ends
// the attempt and reports false.
func (x *exchange) initStream() bool {
	m := x.Payload.(Streamed)
	x.stream = &bodyStream{exchange: x, up: m.Upload(), terms: m.Terms(), method: m.Method()}
	x.stream.isHead = x.stream.method == http.MethodHead
	if x.stream.up.Unreplayable() {
		x.finish(core.Result{Code: choice.Skipped})
		return false
	}
	return true
}

// finish detaches the request body after a failed attempt and sets in res whether another attempt is
// possible. It also fails a reply that Commit passed on and whose head was not received.
func (s *bodyStream) finish(res *core.Result) {
	if res.Code == choice.OK {
		return // the response may precede the end of the body, which is still sent
	}
	if res.Code == choice.Reset && s.notStarted() {
		res.Code = choice.Refused
	}
	s.up.Detach(s)
	res.Final = s.up.Unreplayable()
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

// notStarted reports whether the server can't have begun to process the request: it needs the complete
// request to begin, and the last byte was not sent.
func (s *bodyStream) notStarted() bool { return s.terms.Whole && s.incomplete.Load() }

// lost reports whether the body can no longer be sent from its beginning.
func (s *bodyStream) lost() bool { return s.up.Unreplayable() }

// detach stops sending the body to this attempt.
func (s *bodyStream) detach() { s.up.Detach(s) }

// overdue reports whether the response head is overdue.
func (s *bodyStream) overdue() bool {
	due := s.due.Load()
	return due != 0 && time.Now().UnixNano() >= due
}

// appendBody appends the body to the head in msg if all of it is in memory.
func (s *bodyStream) appendBody(msg []byte) []byte {
	body, ok := s.up.Bytes()
	s.long, s.chunked = !ok, s.up.Length() < 0
	s.incomplete.Store(s.long)
	if !ok {
		return msg
	}
	if s.chunked && len(body) > 0 {
		msg = append(strconv.AppendInt(msg, int64(len(body)), 16), "\r\n"...)
		msg = append(append(msg, body...), "\r\n"...)
	} else {
		msg = append(msg, body...)
	}
	if s.chunked {
		msg = append(msg, "0\r\n\r\n"...)
	}
	return msg
}

// attach starts to send the body after the head was written.
func (x *exchange) attach(c *connection) {
	if x.stream == nil {
		return
	}
	if !x.stream.long {
		x.stream.markSent(c)
		return
	}
	x.stream.side = transfer.NewSide(c.netConn, x.stream.terms.ServerUp)
	// A write error is not handled here: the reader sees it too, and may still find a response.
	if err := x.stream.up.Attach(x.stream); errors.Is(err, transfer.ErrUnreplayable) ||
		errors.Is(err, transfer.ErrAttached) || errors.Is(err, transfer.ErrClosed) {
		c.finish(core.Result{Code: choice.Reset}, "body-gone")
	}
}

// Write sends a piece of the body.
func (s *bodyStream) Write(p []byte) error {
	var err error
	s.sentBytes += int64(len(p))
	// set before the write, during which the last byte may be sent
	if !s.chunked && s.sentBytes >= s.up.Length() {
		s.incomplete.Store(false)
	}
	if s.chunked {
		var line [20]byte
		size := append(strconv.AppendInt(line[:0], int64(len(p)), 16), "\r\n"...)
		// Write a chunk at once, at the cost of a copy: several small writes would wait for each other's packets.
		out := append(append(append(make([]byte, 0, len(size)+len(p)+2), size...), p...), "\r\n"...)
		err = s.side.Write(out)
	} else {
		err = s.side.Write(p)
	}
	if err != nil {
		s.writeFailed(err)
	}
	return err
}

// Close sends the end of the body. From here on the time limit for the response head runs.
func (s *bodyStream) Close(trailer []byte) error {
	if s.chunked {
		s.incomplete.Store(false)
		out := append(append([]byte("0\r\n"), trailer...), "\r\n"...)
		if err := s.side.Write(out); err != nil {
			s.writeFailed(err)
			return err
		}
	}
	_ = s.side.Conn.SetWriteDeadline(time.Time{}) // for later requests
	s.setHeadDeadline(s.terms.Head)
	s.exchange.mu.Lock()
	c := s.exchange.conn
	s.exchange.mu.Unlock()
	s.markSent(c)
	return nil
}

// markSent records that the request was sent completely.
func (s *bodyStream) markSent(c *connection) {
	s.sent.Store(true)
	c.mu.Lock()
	c.signalSent()
	c.mu.Unlock()
}

// Cut closes the connection before the body is complete, so that the server sees it as truncated.
func (s *bodyStream) Cut() {
	s.exchange.mu.Lock()
	c := s.exchange.conn
	s.exchange.mu.Unlock()
	if c != nil {
		c.finish(core.Result{Code: choice.Reset}, "upload-cut")
	}
}

// earlyResponseWait is how long to wait for an early response after the server has stopped reading the
// request body.
const earlyResponseWait = time.Second

// writeFailed handles an error in sending the body. If the server was too slow, the attempt ends; otherwise
// the server may have responded already, and the response is awaited for a short time.
func (s *bodyStream) writeFailed(err error) {
	var slow *transfer.SlowError
	if errors.As(err, &slow) {
		s.exchange.mu.Lock()
		c := s.exchange.conn
		s.exchange.mu.Unlock()
		c.finish(core.Result{Code: choice.Reset}, "server-"+slow.Error())
		return
	}
	s.setHeadDeadline(earlyResponseWait)
}
