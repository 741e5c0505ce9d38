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

// held answers /now at once, and the rest when the test says so.
type held struct {
	leaving atomic.Bool
	mu      sync.Mutex
	waiting []func(*http1.Answer)
}

func (h *held) Serve(r *http1.Request, respond func(*http1.Answer)) func() {
	if r.URL.Path == "/now" {
		respond(http1.Plain(200, "at once"))
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = append(h.waiting, respond)
	return func() {}
}

func (h *held) release() {
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

// serve plays a script against a server of four connections and returns the log.
func serve(t *testing.T, play func(t *testing.T, s *Server, h *held, n *scenario.Net)) string {
	t.Helper()
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		n, h := scenario.NewNet(), &held{}
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

func TestDrainFinishesWhatWasTaken(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, h *held, n *scenario.Net) {
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
		t.Errorf("want three last answers in\n%s", log)
	}
}

func TestDrainClosesWhatIsIdle(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, _ *held, n *scenario.Net) {
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

// A client that connects just before a drain closes the listener is heard all the same.
func TestDrainHearsWhoHasJustConnected(t *testing.T) {
	serve(t, func(t *testing.T, s *Server, _ *held, n *scenario.Net) {
		time.AfterFunc(time.Second-drainAccept, func() { go s.Drain() })
		scenario.Play(t, n, nil, `
			client0 wait 990ms
			client1 send 
			client0 wait 60ms
			client1 send `+now+`
			client1 expect at once`)
	})
}

// Whoever sends nothing, or no whole request, is told or closed within 2.5 s of connecting, however it
// trickles.
func TestSilentAndSlowClientsEnd(t *testing.T) {
	log := serve(t, func(t *testing.T, s *Server, h *held, n *scenario.Net) {
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
		time.Sleep(idleWait + lateWait)
		if s.Free() != 100 {
			t.Errorf("%d%% free after all have gone", s.Free())
		}
	})
	for code, times := range map[string]int{"silent": 1, "idle": 2, "answered-last": 2} {
		if strings.Count(log, `"code":"`+code+`"`) != times {
			t.Errorf("want %d times %s in\n%s", times, code, log)
		}
	}
}

// At the limit, who has long been silent makes room before who was answered, who has just come after both,
// and who is being answered never.
func TestSilentClientsMakeRoomFirst(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *held, n *scenario.Net) {
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
		t.Errorf("want three connections that made room in\n%s", log)
	}
}

// While more than half of the connections are taken, answers close theirs: clients that ask once and keep
// their connections once held all there were, and new requests found none.
func TestAnswersCloseWhileConnectionsAreShort(t *testing.T) {
	serve(t, func(t *testing.T, _ *Server, _ *held, n *scenario.Net) {
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

// A client that sends far ahead of its answer gets that answer, and no other.
func TestTooMuchAheadIsDropped(t *testing.T) {
	serve(t, func(t *testing.T, _ *Server, h *held, n *scenario.Net) {
		time.AfterFunc(time.Second, h.release)
		scenario.Play(t, n, map[string]string{"ahead": strings.Repeat(now, 2+mostAhead/len(now))}, `
			client send `+hold+`
			client send $ahead$ahead
			client expect done
			client wait closed`)
	})
}

// serveUntilDrained takes connections until the server drains, or its listener is closed with the test.
func serveUntilDrained(s *Server) { _ = s.Serve() }

// send writes to a connection.
func send(t *testing.T, c net.Conn, p []byte) {
	t.Helper()
	if _, err := c.Write(p); err != nil {
		t.Fatal(err)
	}
}

// An error reaches a client that still sends what it is about, and its connection ends well.
func TestAnErrorIsNotOvertakenByAReset(t *testing.T) {
	l, err := direct.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, &held{}, 2, zerolog.Nop())
	go serveUntilDrained(s)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c, []byte("POST /now HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"))
	send(t, c, make([]byte, lingerMost/2))
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 413") {
		t.Errorf("%q, %v", got, err)
	}
	c.Close()
	s.Drain()
}

// refuser answers every request at once, however much of its body is yet to come, with what time is left.
type refuser struct{}

func (refuser) Stream(x *Exchange) func() {
	left, _ := x.TimeLeft()
	x.Answer(http1.Plain(429, left.String()))
	return nil
}

// Before the process must end, one that asks hears of the time left, and one still sending that it is over.
func TestDrainTurnsBackWhoIsStillSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := scenario.NewNet(), Platform
		l, _ := n.Listen("memory", "ingress")
		o.Life = 3 * time.Second
		s := NewStreams(l, refuser{}, 4, o, zerolog.Nop())
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

// taker takes bodies, and says of one that is cut that it may have run.
type taker struct{ x *Exchange }

func (taker) Stream(x *Exchange) func() {
	go func() { _ = x.Upload.Attach(taker{x}) }() // what becomes of it shows in the answer
	return nil
}

func (taker) Write([]byte) error { return nil }
func (taker) Commit()              {}
func (taker) Close([]byte) error { return nil }
func (t taker) Cut()             { t.x.Answer(http1.Plain(502, "cut")) }

// Given a body that breaks off when part of it has left, then its client is not told by a status that
// promises it that the request has not run, where these statuses promise that.
func TestNothingIsPromisedOfWhatHasLeft(t *testing.T) {
	for promises, want := range map[bool]string{false: "503", true: "502"} {
		synctest.Test(t, func(t *testing.T) {
			n, o := scenario.NewNet(), Platform
			l, _ := n.Listen("memory", "ingress")
			o.Life, o.Promises = 3*time.Second, promises
			s := NewStreams(l, taker{}, 4, o, zerolog.Nop())
			go serveUntilDrained(s)
			time.AfterFunc(time.Second, s.Drain)
			scenario.Play(t, n, map[string]string{"part": strings.Repeat("x", 65000)}, `
				client send POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n$part
				client wait 3.9s
				client expect HTTP/1.1 `+want)
		})
	}
}

// A client that sends all of a long body before it reads gets the answer that was given at its head.
func TestTheRestOfARefusedBodyIsRead(t *testing.T) {
	l, err := direct.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewStreams(l, refuser{}, 2, Platform, zerolog.Nop())
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

func TestTheLongestIdleMakesRoom(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *held, n *scenario.Net) {
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
		t.Errorf("want one connection that made room in\n%s", log)
	}
}

func TestMessagesSentAheadAreAnsweredInTurn(t *testing.T) {
	log := serve(t, func(t *testing.T, _ *Server, h *held, n *scenario.Net) {
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

// A client that takes 2 s for its head and sends its body at 48 kB a second is served: what it has sent buys
// it time. One that trickles as slowly as the silent ones above is not.
func TestSlowBodiesThatMoveAreTaken(t *testing.T) {
	half := strings.Repeat("x", 24<<10)
	serve(t, func(t *testing.T, _ *Server, _ *held, n *scenario.Net) {
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

// Told to leave, the server closes each connection with its answer but goes on taking new ones; told to join,
// it keeps them open again.
func TestLeaveEndsConnectionsUntilJoin(t *testing.T) {
	serve(t, func(t *testing.T, s *Server, h *held, n *scenario.Net) {
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
			t.Error("still draining after being told to join")
		}
	})
}
