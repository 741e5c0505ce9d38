package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// Of the idle connections the one used last goes first, so that the others can end; but one whose answer has
// just come must rest, and nobody is to wait for that while another has rested.
func TestTheOneUsedLastOfThoseThatHaveRested(t *testing.T) {
	const fresh = -time.Minute // however slow the machine is, it has not rested
	at := placeOf(core.Server{Name: "s", Addr: "a"})
	for name, c := range map[string]struct {
		ages []time.Duration // since each was used, oldest first
		want int
	}{
		"all rested":  {[]time.Duration{time.Minute, time.Second, time.Second / 2}, 2},
		"last fresh":  {[]time.Duration{time.Minute, time.Second, fresh}, 1},
		"one rested":  {[]time.Duration{time.Minute, fresh, fresh}, 0},
		"none rested": {[]time.Duration{fresh, fresh, fresh}, 0},
		"one alone":   {[]time.Duration{fresh}, 0},
	} {
		f := New(Config{})
		var all []*connection
		for _, age := range c.ages {
			near, far := net.Pipe()
			defer far.Close()
			all = append(all, &connection{forwarder: f, netConn: near, at: at, used: time.Now().Add(-age)})
		}
		f.idle[at] = append(f.idle[at], all...)
		if got := f.acquire(at, nil); got != all[c.want] {
			t.Errorf("%s: not the one at %d", name, c.want)
		}
		if n := len(f.idle[at]); n != len(all)-1 {
			t.Errorf("%s: %d are left", name, n)
		}
	}
	if f := New(Config{}); f.acquire(at, nil) != nil {
		t.Error("one from an empty pool")
	}
}

// To servers that begin at the last byte, a body that broke off before that has not run.
func TestABodyHasNotRunBeforeItsLastByte(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	up := transfer.Streaming(10, nil, 0)
	s := &bodyStream{up: up, terms: &transfer.Terms{Whole: true}, side: transfer.NewSide(near, flow.Pace{})}
	s.begin(nil)
	for part, want := range []choice.Code{choice.Refused, choice.Reset} {
		for s.sentBytes < int64(5+5*part) {
			if err := s.Write(make([]byte, 5)); err != nil {
				t.Fatal(err)
			}
		}
		res := core.Result{Code: choice.Reset}
		if s.over(&res); res.Code != want {
			t.Errorf("after %d of 10 bytes: code %v, want %v", s.sentBytes, res.Code, want)
		}
	}
}

// racing is a connection by which the last byte of a request leaves just before it is closed.
type racing struct {
	net.Conn
	last func()
}

func (r racing) Close() error {
	r.last()
	return r.Conn.Close()
}

// Given an attempt that is given up, when its last byte still gets away, then it may have run; and when its
// connection carries another attempt meanwhile, that goes on.
func TestGivenUpAtTheLastMoment(t *testing.T) {
	near, _ := net.Pipe()
	f := New(Config{})
	f.slots <- struct{}{}
	c := &connection{forwarder: f, at: placeOf(core.Server{})}
	x := &exchange{forwarder: f, conn: c, written: true}
	x.stream = &bodyStream{exchange: x, up: transfer.Streaming(10, nil, 0), terms: &transfer.Terms{Whole: true}}
	x.stream.part.Store(true)
	c.exchange, c.netConn = x, racing{near, func() { x.stream.part.Store(false) }}
	if !x.Abort() {
		t.Error("its last byte has left, and it is said not to have run")
	}
	f.slots <- struct{}{}
	other := &connection{forwarder: f, netConn: near, exchange: &exchange{}}
	if x.conn = other; !x.Abort() || other.ended {
		t.Errorf("ended another's connection: %v", other.ended)
	}
}

// Given an attempt whose client has left, when nothing of it has left, then it is ended, and nothing
// leaves any more; when it has been sent, then it goes on.
func TestOnlyWhatHasNotLeftIsAborted(t *testing.T) {
	f := New(Config{})
	unsent := &exchange{forwarder: f, Attempt: core.Attempt{Payload: hello{}}}
	if !unsent.AbortUnsent() {
		t.Error("it goes on, and nothing has left")
	}
	near, _ := net.Pipe()
	f.slots <- struct{}{}
	if unsent.write(&connection{forwarder: f, netConn: near}) || unsent.written {
		t.Error("it is written after its end")
	}
	f.slots <- struct{}{}
	c := &connection{forwarder: f, netConn: near}
	sent := &exchange{forwarder: f, conn: c, written: true}
	c.exchange = sent
	if sent.AbortUnsent() || c.ended || sent.aborted {
		t.Error("it is ended, and has been sent")
	}
}

// watched is a connection on which something has come that nobody asked for.
type watched struct{ net.Conn }

func (watched) Unread() bool { return true }

func (w watched) ReadWanted(p []byte, _ sync.Locker, _ func() bool) (int, error) { return w.Read(p) }

// Given an idle connection on which something has come and was not noticed yet, then no request is written.
func TestNothingIsWrittenBehindWhatHasCome(t *testing.T) {
	near, far := net.Pipe()
	f := New(Config{})
	f.slots <- struct{}{}
	c := &connection{forwarder: f, netConn: watched{near}}
	x := &exchange{forwarder: f, Attempt: core.Attempt{Payload: hello{}}}
	left := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(far)
		left <- b
	}()
	if x.write(c) || !c.ended || x.written {
		t.Errorf("written: %v, ended: %v", x.written, c.ended)
	}
	near.Close()
	if b := <-left; len(b) > 0 {
		t.Errorf("%q has left", b)
	}
}

// greeting is a request whose answer is passed on as it comes.
type greeting struct{ hello }

func (greeting) Upload() *transfer.Upload { return transfer.Buffered(nil) }
func (greeting) Terms() *transfer.Terms   { return &transfer.Terms{} }
func (greeting) Method() string           { return http.MethodGet }

// judging is one that judges its answers.
type judging struct{ greeting }

func (judging) Judge(*http1.Response, Arrival) (core.Result, Fit) {
	return core.Result{Code: choice.OK}, Good
}
func (judging) JudgeHead(*http.Response, Arrival) core.Result { return core.Result{Code: choice.OK} }

// reader is a client that takes an answer's end only once it is let.
type reader struct {
	ended   chan struct{}
	let     chan struct{}
	interim *int // the 1xx answers that came
}

func (r reader) Head(reply *transfer.Reply) error {
	*r.interim += len(reply.Interim)
	return nil
}
func (reader) Write([]byte) error   { return nil }
func (reader) Flush() error         { return nil }
func (reader) Cut()                 {}
func (reader) Fail()                {}
func (reader) Room() *flow.Transfer { return nil }
func (r reader) End([]byte) {
	r.ended <- struct{}{}
	<-r.let
}

// served plays requests one after the other, none of whose clients is let, and returns how many connections
// they took, and how many 1xx answers came to the clients.
func served(t *testing.T, requests int, m Message) (dials, interim int) {
	synctest.Test(t, func(*testing.T) {
		f := New(Config{DialTimeout: time.Second, KeepAlive: time.Minute, Connections: 9, Log: zerolog.Nop(),
			Streams: func(*http.Response) core.Result { return core.Result{Code: choice.OK} },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				answers := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusEarlyHints)
					_, _ = w.Write(make([]byte, 100)) // whoever reads it tells whether it came
				})
				go func() { _ = http.Serve(&one{far}, answers) }() // until the connection ends
				return near, nil
			}})
		r := reader{make(chan struct{}), make(chan struct{}), &interim}
		for range requests {
			f.Start(core.Attempt{Payload: m, Timeout: time.Second, End: func(res core.Result) {
				res.Body.(*transfer.Reply).To(r)
			}})
			<-r.ended
		}
		close(r.let)
		f.Drop(core.Server{})
	})
	return dials, interim
}

// Given an answer whose end a client is slow to take, when that end goes out, then its connection serves
// others.
func TestAConnectionRestsBeforeItsAnswersEndIsTaken(t *testing.T) {
	if dials, _ := served(t, 3, greeting{}); dials != 1 {
		t.Errorf("%d connections, want one", dials)
	}
}

// Given 1xx answers, whose request nobody can tell, then none goes on to a client whose request judges its
// answers; and to others they do.
func TestNo1xxIsPassedOnUnjudged(t *testing.T) {
	if _, n := served(t, 2, judging{}); n != 0 {
		t.Errorf("%d unjudged 1xx answers are passed on", n)
	}
	if _, n := served(t, 2, greeting{}); n != 2 {
		t.Errorf("%d 1xx answers of 2 are passed on", n)
	}
}

// one is a listener with one connection.
type one struct{ net.Conn }

func (o *one) Accept() (net.Conn, error) {
	if nc := o.Conn; nc != nil {
		o.Conn = nil
		return nc, nil
	}
	return nil, net.ErrClosed
}

func (o *one) Addr() net.Addr { return &net.TCPAddr{} }
func (o *one) Close() error   { return nil }
