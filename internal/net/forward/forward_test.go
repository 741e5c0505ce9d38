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

// The most recently used idle connection is reused first, so that the others can time out. But a connection
// must settle after a response, and no request waits for that while another connection has settled.
func TestAcquireMostRecentlyUsedSettledConnection(t *testing.T) {
	const fresh = -time.Minute // has not settled, however slow the machine is
	at := endpointOf(core.Server{Name: "s", Addr: "a"})
	for name, c := range map[string]struct {
		ages []time.Duration // since each was used, oldest first
		want int
	}{
		"all settled":  {[]time.Duration{time.Minute, time.Second, time.Second / 2}, 2},
		"last fresh":   {[]time.Duration{time.Minute, time.Second, fresh}, 1},
		"one settled":  {[]time.Duration{time.Minute, fresh, fresh}, 0},
		"none settled": {[]time.Duration{fresh, fresh, fresh}, 0},
		"only one":     {[]time.Duration{fresh}, 0},
	} {
		f := New(Config{})
		var all []*connection
		for _, age := range c.ages {
			near, far := net.Pipe()
			defer far.Close()
			all = append(all, &connection{forwarder: f, netConn: near, endpoint: at, lastUsed: time.Now().Add(-age)})
		}
		f.idle[at] = append(f.idle[at], all...)
		if got := f.acquire(at, nil); got != all[c.want] {
			t.Errorf("%s: got another connection than the one at %d", name, c.want)
		}
		if n := len(f.idle[at]); n != len(all)-1 {
			t.Errorf("%s: %d connections left in the pool", name, n)
		}
	}
	if f := New(Config{}); f.acquire(at, nil) != nil {
		t.Error("got a connection from an empty pool")
	}
}

// For servers that need the complete request to begin, a request whose body was cut off before its last byte
// has not run.
func TestRequestHasNotRunBeforeItsLastByte(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	up := transfer.Streaming(10, nil, 0)
	s := &bodyStream{up: up, terms: &transfer.Terms{Whole: true}, side: transfer.NewSide(near, flow.Pace{})}
	s.appendBody(nil)
	for part, want := range []choice.Code{choice.Refused, choice.Reset} {
		for s.sentBytes < int64(5+5*part) {
			if err := s.Write(make([]byte, 5)); err != nil {
				t.Fatal(err)
			}
		}
		res := core.Result{Code: choice.Reset}
		if s.finish(&res); res.Code != want {
			t.Errorf("after %d of 10 bytes: code %v, want %v", s.sentBytes, res.Code, want)
		}
	}
}

// closeHookConn is a connection that calls beforeClose just before it is closed, as if the last byte of a
// request were sent then.
type closeHookConn struct {
	net.Conn
	beforeClose func()
}

func (r closeHookConn) Close() error {
	r.beforeClose()
	return r.Conn.Close()
}

// An aborted attempt whose last byte was sent just before its connection closed may have run. If its
// connection carries another attempt meanwhile, that attempt is not interrupted.
func TestAbortRacingWithTheLastByte(t *testing.T) {
	near, _ := net.Pipe()
	f := New(Config{})
	f.slots <- struct{}{}
	c := &connection{forwarder: f, endpoint: endpointOf(core.Server{})}
	x := &exchange{forwarder: f, conn: c, mayHaveSent: true}
	x.stream = &bodyStream{exchange: x, up: transfer.Streaming(10, nil, 0), terms: &transfer.Terms{Whole: true}}
	x.stream.incomplete.Store(true)
	c.exchange, c.netConn = x, closeHookConn{near, func() { x.stream.incomplete.Store(false) }}
	if !x.Abort() {
		t.Error("Abort reports that the attempt has not run, but its last byte was sent")
	}
	f.slots <- struct{}{}
	other := &connection{forwarder: f, netConn: near, exchange: &exchange{}}
	if x.conn = other; !x.Abort() || other.ended {
		t.Errorf("Abort ended the connection of another attempt: %v", other.ended)
	}
}

// AbortUnsent ends an attempt of which nothing was sent, and nothing is sent afterwards. An attempt that was
// sent continues.
func TestAbortUnsentEndsOnlyUnsentAttempts(t *testing.T) {
	f := New(Config{})
	unsent := &exchange{forwarder: f, Attempt: core.Attempt{Payload: getRequest{}}}
	if !unsent.AbortUnsent() {
		t.Error("the attempt continues, but nothing of it was sent")
	}
	near, _ := net.Pipe()
	f.slots <- struct{}{}
	if unsent.write(&connection{forwarder: f, netConn: near}) || unsent.mayHaveSent {
		t.Error("the attempt was written after its end")
	}
	f.slots <- struct{}{}
	c := &connection{forwarder: f, netConn: near}
	sent := &exchange{forwarder: f, conn: c, mayHaveSent: true}
	c.exchange = sent
	if sent.AbortUnsent() || c.ended || sent.aborted {
		t.Error("the attempt was ended, but it had been sent")
	}
}

// unreadConn is a connection with unsolicited input that was not read.
type unreadConn struct{ net.Conn }

func (unreadConn) Unread() bool { return true }

func (w unreadConn) ReadWanted(p []byte, _ sync.Locker, _ func() bool) (int, error) { return w.Read(p) }

// No request is written to an idle connection that has unread input.
func TestNoRequestIsWrittenAfterUnsolicitedInput(t *testing.T) {
	near, far := net.Pipe()
	f := New(Config{})
	f.slots <- struct{}{}
	c := &connection{forwarder: f, netConn: unreadConn{near}}
	x := &exchange{forwarder: f, Attempt: core.Attempt{Payload: getRequest{}}}
	left := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(far)
		left <- b
	}()
	if x.write(c) || !c.ended || x.mayHaveSent {
		t.Errorf("written: %v, ended: %v", x.mayHaveSent, c.ended)
	}
	near.Close()
	if b := <-left; len(b) > 0 {
		t.Errorf("%q was sent", b)
	}
}

// streamedRequest is a request whose response is streamed.
type streamedRequest struct{ getRequest }

func (streamedRequest) Upload() *transfer.Upload { return transfer.Buffered(nil) }
func (streamedRequest) Terms() *transfer.Terms   { return &transfer.Terms{} }
func (streamedRequest) Method() string           { return http.MethodGet }

// judgingRequest is a streamed request that judges its responses.
type judgingRequest struct{ streamedRequest }

func (judgingRequest) Judge(*http1.Response, Arrival) (core.Result, Fit) {
	return core.Result{Code: choice.OK}, Good
}
func (judgingRequest) JudgeHead(*http.Response, Arrival) core.Result {
	return core.Result{Code: choice.OK}
}

// slowEndClient is a client that blocks in End until allowEnd is closed.
type slowEndClient struct {
	ended    chan struct{}
	allowEnd chan struct{}
	interim  *int // number of 1xx responses received
}

func (r slowEndClient) Head(reply *transfer.Reply) error {
	*r.interim += len(reply.Interim)
	return nil
}
func (slowEndClient) Write([]byte) error   { return nil }
func (slowEndClient) Flush() error         { return nil }
func (slowEndClient) Cut()                 {}
func (slowEndClient) Fail()                {}
func (slowEndClient) Room() *flow.Transfer { return nil }
func (r slowEndClient) End([]byte) {
	r.ended <- struct{}{}
	<-r.allowEnd
}

// serveRequests sends requests one after the other while all their clients block in End. It returns how many
// connections were opened and how many 1xx responses the clients received.
func serveRequests(t *testing.T, requests int, m Message) (dials, interim int) {
	synctest.Test(t, func(*testing.T) {
		f := New(Config{DialTimeout: time.Second, KeepAlive: time.Minute, Connections: 9, Log: zerolog.Nop(),
			Streams: func(*http.Response) core.Result { return core.Result{Code: choice.OK} },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				near, far := net.Pipe()
				answers := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusEarlyHints)
					_, _ = w.Write(make([]byte, 100)) // errors show at the reader
				})
				go func() { _ = http.Serve(&singleConnListener{far}, answers) }() // until the connection ends
				return near, nil
			}})
		r := slowEndClient{make(chan struct{}), make(chan struct{}), &interim}
		for range requests {
			f.Start(core.Attempt{Payload: m, Timeout: time.Second, End: func(res core.Result) {
				res.Body.(*transfer.Reply).To(r)
			}})
			<-r.ended
		}
		close(r.allowEnd)
		f.Drop(core.Server{})
	})
	return dials, interim
}

// A client that is slow to read the end of a response does not keep the server connection from being reused.
func TestConnectionIsReusedBeforeClientReadsTheEnd(t *testing.T) {
	if dials, _ := serveRequests(t, 3, streamedRequest{}); dials != 1 {
		t.Errorf("%d connections, want one", dials)
	}
}

// It can't be known which request a 1xx response belongs to, so none is passed on to the client of a request
// that judges its responses. Other clients get them.
func TestNo1xxIsPassedOnUnjudged(t *testing.T) {
	if _, n := serveRequests(t, 2, judgingRequest{}); n != 0 {
		t.Errorf("%d unjudged 1xx responses were passed on", n)
	}
	if _, n := serveRequests(t, 2, streamedRequest{}); n != 2 {
		t.Errorf("%d of 2 1xx responses were passed on", n)
	}
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct{ net.Conn }

func (o *singleConnListener) Accept() (net.Conn, error) {
	if nc := o.Conn; nc != nil {
		o.Conn = nil
		return nc, nil
	}
	return nil, net.ErrClosed
}

func (o *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }
func (o *singleConnListener) Close() error   { return nil }
