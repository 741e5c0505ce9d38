package accept

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/http1"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/scenario"
)

// delayedHandler answers /now at once, and other requests when the test calls release.
type delayedHandler struct {
	leaving atomic.Bool
	mu      sync.Mutex
	waiting []func(*http1.Answer)
}

func (h *delayedHandler) Serve(r *http1.Request, respond func(*http1.Answer)) func() {
	if r.URL.Path == "/now" {
		respond(http1.Plain(200, "at once"))
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = append(h.waiting, respond)
	return func() {}
}

func (h *delayedHandler) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, respond := range h.waiting {
		respond(http1.Plain(200, "done"))
	}
	h.waiting = nil
}

const (
	now  = `GET /now HTTP/1.1\r\nHost: h\r\n\r\n`
	hold = `GET /hold HTTP/1.1\r\nHost: h\r\n\r\n`
)

// serve runs a scenario against a server with four connection slots and returns the log.
func serve(t *testing.T, play func(t *testing.T, s *Server, h *delayedHandler, n *scenario.Net)) string {
	t.Helper()
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n, h := scenario.NewNet(), &delayedHandler{}
		l, _ := n.Listen("memory", "ingress")
		s := New(l, h, 4, zerolog.New(zerolog.SyncWriter(&log)))
		s.DrainWhile(h.leaving.Load)
		ended := make(chan error)
		go func() { ended <- s.Serve() }()
		play(t, s, h, n)
		h.release()
		s.Drain()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return log.String()
}

// A drain answers the requests that were received, accepts new connections for a while, and closes each
// connection with its response.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Second, func() { go s.Drain() })
		time.AfterFunc(3*time.Second, h.release)
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client1 expect at once
			client2 send `+hold+`
			client1 wait 1.2s
			client1 send `+now+`
			client1 expect Connection: close
			client1 wait closed
			client3 send `+now+`
			client3 expect Connection: close
			client3 wait closed
			client2 expect Connection: close
			client2 expect done
			client2 wait closed`)
	})
	if strings.Count(log, `"code":"answered-last"`) != 3 {
		t.Errorf("want three final responses in\n%s", log)
	}
}

func TestDrainClosesIdleConnections(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, _ *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Second, func() { go s.Drain() })
		scenario.Play(t, n, nil, `
			client send `+now+`
			client expect at once
			client wait closed`)
	})
	if !strings.Contains(log, `"code":"drained"`) {
		t.Errorf("no drained connection in\n%s", log)
	}
}

// A client that connects just before a drain closes the listener still gets its request answered.
func TestDrainAnswersRecentlyConnectedClients(t *testing.T) {
	serve(t, func(t *testing.T, s *Server, _ *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Second-drainAcceptTime, func() { go s.Drain() })
		scenario.Play(t, n, nil, `
			client0 wait 990ms
			client1 send 
			client0 wait 60ms
			client1 send `+now+`
			client1 expect at once`)
	})
}

// A client that sends nothing or only part of a request gets an error or is disconnected within 2.5 s of
// connecting, however slowly it keeps sending.
func TestSilentAndSlowClientsAreDisconnected(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Minute, h.release)
		scenario.Play(t, n, nil, `
			client1 send GET /
			client2 send `+hold+`
			client1 wait 2.4s
			client1 send now
			client1 wait 99ms
			client1 wait nothing
			client1 wait 1ms
			client1 expect HTTP/1.1 408
			client1 wait closed
			client3 send
			client3 wait 10s
			client3 wait closed
			client4 send `+now+`
			client4 expect at once\n
			client4 wait 1.9s
			client4 wait nothing
			client4 send GET /
			client4 wait 2.4s
			client4 wait nothing
			client4 wait 100ms
			client4 expect HTTP/1.1 408
			client4 wait closed
			client5 send `+now+`
			client5 expect at once
			client5 wait 2.1s
			client5 wait closed
			client2 wait nothing
			client2 wait 1m
			client2 expect done`)
		time.Sleep(idleTimeout + lateReadTimeout)
		if s.Free() != 100 {
			t.Errorf("%d%% free after all clients were disconnected", s.Free())
		}
	})
	for code, times := range map[string]int{"silent": 1, "idle": 2, "answered-last": 2} {
		if strings.Count(log, `"code":"`+code+`"`) != times {
			t.Errorf("want %d times code %s in\n%s", times, code, log)
		}
	}
}

// When all slots are in use, a client that has long been silent is evicted first, then an idle one, then one
// that has just connected. One whose request is being answered is never evicted.
func TestSilentClientsAreEvictedFirst(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(2400*time.Millisecond, h.release)
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client1 expect at once\n
			client2 send G
			client2 wait 1s
			client3 send G
			client4 send G
			client5 send `+hold+`
			client2 wait closed
			client1 wait nothing
			client6 send `+hold+`
			client1 wait closed
			client3 wait nothing
			client7 send `+hold+`
			client3 wait closed
			client5 expect done
			client6 expect done
			client7 expect done`)
	})
	if strings.Count(log, `"code":"made-room"`) != 3 {
		t.Errorf("want three evicted connections in\n%s", log)
	}
}

// While more than half of the slots are in use, responses close their connections. Guards against clients
// that send one request and keep the connection: they once used up all slots and blocked new requests.
func TestResponsesCloseConnectionsAboveHalfOfTheLimit(t *testing.T) {
	serve(t, func(t *testing.T, _ *Server, _ *delayedHandler, n *scenario.Net) {
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client1 expect at once\n
			client2 send `+now+`
			client2 expect at once\n
			client3 send `+now+`
			client3 expect Connection: close
			client3 wait closed
			client1 send `+now+`
			client1 expect at once\n
			client1 wait nothing`)
	})
}

// A client that pipelines too much while it waits for a response gets that response and no other.
func TestTooMuchPipelinedInputIsDiscarded(t *testing.T) {
	serve(t, func(t *testing.T, _ *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Second, h.release)
		scenario.Play(t, n, map[string]string{"ahead": strings.Repeat(now, 2+maxPipelinedBytes/len(now))}, `
			client send `+hold+`
			client send $ahead$ahead
			client expect done
			client wait closed`)
	})
}

// serveUntilDrained accepts connections until the server drains or its listener is closed with the test.
func serveUntilDrained(s *Server) { _ = s.Serve() }

// send writes to a connection.
func send(t *testing.T, c net.Conn, p []byte) {
	t.Helper()
	if _, err := c.Write(p); err != nil {
		t.Fatal(err)
	}
}

// An error response reaches a client that is still sending the refused request, and the connection ends
// without a reset.
func TestErrorResponseIsNotLostToAReset(t *testing.T) {
	l, err := direct.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, &delayedHandler{}, 2, zerolog.Nop())
	go serveUntilDrained(s)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c, []byte("POST /now HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"))
	send(t, c, make([]byte, lingerMaxBytes/2))
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 413") {
		t.Errorf("%q, %v", got, err)
	}
	c.Close()
	s.Drain()
}

// immediateResponder answers every request as soon as its head is received. The body of the response is the
// time left until the process exits.
type immediateResponder struct{}

func (immediateResponder) Stream(x *Exchange) func() {
	left, _ := x.TimeLeft()
	x.Answer(http1.Plain(429, left.String()))
	return nil
}

// During a drain, Exchange.TimeLeft returns the time until the exit. Shortly before the exit, a client that
// is still sending its request gets a 503.
func TestDrainRefusesIncompleteRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := scenario.NewNet(), Platform
		l, _ := n.Listen("memory", "ingress")
		o.Life = 3 * time.Second
		s := NewStreams(l, immediateResponder{}, 4, o, zerolog.Nop())
		go serveUntilDrained(s)
		time.AfterFunc(time.Second, s.Drain)
		scenario.Play(t, n, map[string]string{"half": strings.Repeat("x", 50000)}, `
			client1 send POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n$half
			client2 send `+now[:17]+`
			client2 wait 1.2s
			client2 send `+now[17:]+`
			client2 expect 2.8s
			client1 wait 2.6s
			client1 wait nothing
			client1 wait 60ms
			client1 wait something
			client1 expect HTTP/1.1 503`)
	})
}

// bodySink accepts request bodies. If one is cut off, it answers with a status that allows that the request
// has run.
type bodySink struct{ x *Exchange }

func (bodySink) Stream(x *Exchange) func() {
	go func() { _ = x.Upload.Attach(bodySink{x}) }() // the response shows the outcome
	return nil
}

func (bodySink) Write([]byte) error { return nil }
func (bodySink) Commit()            {}
func (bodySink) Close([]byte) error { return nil }
func (t bodySink) Cut()             { t.x.Answer(http1.Plain(502, "cut")) }

// When a body is cut off after part of it was sent to a server, the request may have run. Under
// Streams.Promises the client must not get a status that says that it has not.
func TestNoPromiseAfterPartOfABodyWasSent(t *testing.T) {
	for promises, want := range map[bool]string{false: "503", true: "502"} {
		synctest.Test(t, func(t *testing.T) {
			n, o := scenario.NewNet(), Platform
			l, _ := n.Listen("memory", "ingress")
			o.Life, o.Promises = 3*time.Second, promises
			s := NewStreams(l, bodySink{}, 4, o, zerolog.Nop())
			go serveUntilDrained(s)
			time.AfterFunc(time.Second, s.Drain)
			scenario.Play(t, n, map[string]string{"part": strings.Repeat("x", 65000)}, `
				client send POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n$part
				client wait 3.9s
				client expect HTTP/1.1 `+want)
		})
	}
}

// A client that sends all of a long body before it reads gets the response that was sent after its head.
func TestRestOfARefusedBodyIsRead(t *testing.T) {
	l, err := direct.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewStreams(l, immediateResponder{}, 2, Platform, zerolog.Nop())
	go serveUntilDrained(s)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	send(t, c, []byte("POST /now HTTP/1.1\r\nHost: h\r\nContent-Length: 20000000\r\n\r\n"))
	for range 20 {
		if _, err := c.Write(make([]byte, 1000000)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 429") {
		t.Errorf("%q, %v", got, err)
	}
	c.Close()
	s.Drain()
}

func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(1500*time.Millisecond, h.release)
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client2 send `+now+`
			client2 expect at once
			client1 wait 1s
			client1 send `+now+`
			client1 expect at once
			client3 send `+hold+`
			client4 send `+hold+`
			client5 send `+now+`
			client5 expect at once
			client2 wait closed
			client1 send `+now+`
			client1 expect at once`)
	})
	if strings.Count(log, `"code":"made-room"`) != 1 {
		t.Errorf("want one evicted connection in\n%s", log)
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *delayedHandler, n *scenario.Net) {
		time.AfterFunc(time.Second, h.release)
		scenario.Play(t, n, nil, `
			client send `+hold+now+now+`
			client expect done
			client expect at once
			client expect at once
			client send POST /now HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n
			client expect 100 Continue
			client send hi
			client expect at once`)
	})
	if !strings.Contains(log, `"requests":4`) {
		t.Errorf("want four requests on a connection in\n%s", log)
	}
}

// A client that takes 2 s for its head and then sends its body at 48 kB/s is served, as the bytes that it has
// sent extend its time limit. One that trickles as in TestSilentAndSlowClientsAreDisconnected is not.
func TestSteadySlowBodiesAreAccepted(t *testing.T) {
	half := strings.Repeat("x", 24<<10)
	serve(t, func(t *testing.T, _ *Server, _ *delayedHandler, n *scenario.Net) {
		scenario.Play(t, n, map[string]string{"half": half}, `
			client send POST /now HTTP/1.1\r\nHost: h\r\n
			client wait 2s
			client send Content-Length: 49152\r\n\r\n$half
			client wait 600ms
			client wait nothing
			client send $half
			client expect at once`)
	})
}

// While an operator drains the server, each response closes its connection, but new connections are accepted.
// After the drain, connections stay open again.
func TestOperatorDrainClosesConnectionsUntilItEnds(t *testing.T) {
	serve(t, func(t *testing.T, s *Server, h *delayedHandler, n *scenario.Net) {
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client1 expect at once`)
		h.leaving.Store(true)
		scenario.Play(t, n, nil, `
			client1 send `+now+`
			client1 expect Connection: close
			client1 wait closed
			client2 send `+now+`
			client2 expect Connection: close
			client2 wait closed`)
		h.leaving.Store(false)
		scenario.Play(t, n, nil, `
			client3 send `+now+`
			client3 expect at once
			client3 send `+now+`
			client3 expect at once\n
			client3 wait nothing`)
		if s.Draining() {
			t.Error("still draining after the operator ended the drain")
		}
	})
}
