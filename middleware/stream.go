package middleware

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/flow"
)

// streamed is the answer of a handler whose request's body is read, and whose answer goes out, as they come.
// The core's part ends with the answer's head; or with the first byte of the body that the handler reads, for
// from there on nobody could run the request again.
type streamed struct {
	call     *call
	header   http.Header
	patience time.Duration // for the head, once the body has been read
	end      func(core.Result)
	granted  chan http.ResponseWriter // nil: nobody wants the answer
	late     chan struct{}            // closed when the head is overdue

	mu     sync.Mutex
	judged bool // the core knows how the attempt has ended
	to     http.ResponseWriter
	told   bool // the head is out
	over   bool // nothing more is taken
	broken bool // the handler has panicked
	timer  *time.Timer
}

var errOver = errors.New("middleware: the answer is over")

// Header is what the head is to say.
func (s *streamed) Header() http.Header { return s.header }

// judge tells the core how the attempt has ended, once. The lock is held.
func (s *streamed) judge(code choice.Code) {
	if !s.judged {
		s.judged = true
		s.end(core.Result{Code: code, Body: s, Drop: s.drop})
	}
}

// drop says that nobody wants the answer.
func (s *streamed) drop() {
	select {
	case s.granted <- nil:
	default:
	}
}

// WriteHeader sends the head once the core has said that this answer is the final one.
func (s *streamed) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status < 200 || s.told || s.over {
		return
	}
	if status == http.StatusInternalServerError && !s.judged {
		s.judge(choice.Error) // answered for like one that panics, as it is where answers are held whole
		s.over = true
		return
	}
	s.judge(choice.OK)
	if !s.open() {
		return
	}
	s.told = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for name, values := range s.header {
		s.to.Header()[name] = values
	}
	s.to.WriteHeader(status)
}

// open waits until the answer is wanted. The lock is held, but for the waiting.
func (s *streamed) open() bool {
	if s.to == nil && !s.over {
		s.mu.Unlock()
		to := <-s.granted
		s.mu.Lock()
		s.to = to
	}
	s.over = s.over || s.to == nil
	return !s.over
}

// Write sends some of the body.
func (s *streamed) Write(p []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return 0, errOver
	}
	return s.to.Write(p)
}

// Flush sends what the server has gathered.
func (s *streamed) Flush() {
	s.WriteHeader(http.StatusOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		http.NewResponseController(s.to).Flush()
	}
}

// Read reads some of the request's body.
func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.call.request.Body.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 {
		s.judge(choice.OK)
	}
	if err == io.EOF && !s.told && !s.over && s.timer == nil {
		s.timer = time.AfterFunc(s.patience, func() { close(s.late) })
	}
	return n, err
}

// Close closes the request's body.
func (s *streamed) Close() error { return s.call.request.Body.Close() }

// close ends the answer: whatever the handler still writes is dropped.
func (s *streamed) close() (told, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.told, s.broken
}

// run runs the handler.
func (s *streamed) run(ctx context.Context) {
	defer close(s.call.ended)
	defer func() {
		if recover() != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.broken = true
			s.judge(choice.Error)
		}
	}()
	r := s.call.request.Clone(ctx)
	r.Body = s
	s.call.run(s, r)
	s.WriteHeader(http.StatusOK)
}

// stream admits one request and runs it, passing on what comes.
func (l *Limiter) stream(w http.ResponseWriter, r *http.Request, in core.Request, c *call) <-chan struct{} {
	clock := func() time.Duration { return time.Since(l.start) }
	room, after := l.streams.Admit(clock())
	if room == nil {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
		http.Error(w, "no room for a long body now", http.StatusServiceUnavailable)
		return c.none()
	}
	defer func() { room.Close(clock()) }()
	s := &streamed{call: c, header: http.Header{}, patience: l.patience[in.Class],
		granted: make(chan http.ResponseWriter, 1), late: make(chan struct{})}
	c.stream = s
	ticket := l.core.Submit(in)
	select {
	case a := <-c.answer:
		if a.Kind != core.Served {
			s.close()
			write(w, a)
			break
		}
		s.granted <- w
		select {
		case <-c.ended:
		case <-s.late:
		case <-r.Context().Done(): // the client has gone
		}
		switch told, broken := s.close(); {
		case told && broken:
			panic(http.ErrAbortHandler) // the answer has begun, and must not look whole
		case !told && r.Context().Err() == nil:
			write(w, core.Answer{Kind: core.Failed})
		}
	case <-r.Context().Done():
		ticket.Leave()
		s.close()
		s.drop()
	}
	c.cancel()
	if c.begun.CompareAndSwap(false, true) {
		return c.none()
	}
	return c.ended
}

// budget is that of so many streams. The memory is the server's own: what counts is their number.
func budget(most int) *flow.Budget {
	return flow.NewBudget(flow.Options{Bytes: 2 * most, Window: 1, MinWindow: 1})
}
