package counter

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/internal/scenario"
)

// start returns a network with a simulated counter at "counter", a function add that makes a call, and a
// function ended that returns the outcomes of the calls that have ended since it was last called.
func start(t *testing.T) (n *scenario.Net, add func(name string), ended func() string) {
	n = scenario.NewNet()
	n.Listen("memory", "counter")
	c := New("counter", 50*time.Millisecond, n.Dial, zerolog.New(io.Discard))
	ends := make(chan string, 1000)
	add = func(name string) {
		c.Add(name, 2.5, time.Second, func(code choice.Code, total float64) {
			ends <- fmt.Sprint(name, ":", int(code), "=", total)
		})
		synctest.Wait()
	}
	ended = func() string {
		synctest.Wait()
		var all []string
		for len(ends) > 0 {
			all = append(all, <-ends)
		}
		return strings.Join(all, " ")
	}
	t.Cleanup(n.Close)
	return n, add, ended
}

func want(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("calls ended as %q, want %q", got, want)
	}
}

const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n`

func TestPipelinedCallsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, add, ended := start(t)
		add("a")
		add("a")
		add("a")
		scenario.Play(t, n, nil, `
			counter expect POST /v1/count/a?add=2.5&ttl_ms=1000 HTTP/1.1
			counter expect POST /v1/count/a
			counter expect POST /v1/count/a
			counter send `+answer+`1`+answer+`2HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n`)
		want(t, ended(), fmt.Sprintf("a:0=1 a:0=2 a:%d=0", choice.Busy))
	})
}

func TestConnectionLossResetsPendingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, add, ended := start(t)
		add("a")
		scenario.Play(t, n, nil, `
			counter expect /a?
			counter close`)
		want(t, ended(), fmt.Sprintf("a:%d=0", choice.Reset))
		scenario.Play(t, n, nil, `counter wait nothing`) // no new connection without a call
		add("a")                                         // opens a new connection
		scenario.Play(t, n, nil, `
			counter expect /a?
			counter send `+answer+`5`)
		want(t, ended(), "a:0=5")
	})
}

// An unresponsive counter gets a bounded number of calls. Then its connection is closed, which ends them.
func TestUnresponsiveCounterIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, add, ended := start(t)
		for range maxOutstanding + 3 {
			add("a")
		}
		full := strings.TrimSuffix(strings.Repeat(fmt.Sprintf("a:%d=0 ", choice.Refused), 3), " ")
		want(t, ended(), full)
		scenario.Play(t, n, nil, `
			counter expect /a?
			counter wait closed`)
		if got := strings.Count(ended(), fmt.Sprintf("a:%d=0", choice.Reset)); got != maxOutstanding {
			t.Errorf("%d calls ended with the connection, want %d", got, maxOutstanding)
		}
	})
}

func TestFailedDialRefusesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, add, ended := start(t)
		n.Close()
		add("a")
		add("a") // refused without a dial, because of the backoff
		want(t, ended(), fmt.Sprintf("a:%d=0 a:%d=0", choice.Refused, choice.Refused))
	})
}

// A malformed response, or one without a total, closes its connection at once or within the time limit of a
// call. The amount may have been added and is not added again, and the calls behind it don't wait for it.
func TestMalformedResponseClosesConnection(t *testing.T) {
	for _, malformed := range []string{`\x93noise\r\n\r\n`, `HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n1`,
		`HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1`, answer + `-`,
		`HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ninf`, `HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n0x1`,
		`HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1_0`, `HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n1e99`} {
		t.Run(malformed, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, add, ended := start(t)
				add("a")
				sentAt := time.Now()
				scenario.Play(t, n, nil, `
					counter expect /a?
					counter send `+malformed+`
					counter wait closed`)
				if elapsed := time.Since(sentAt); elapsed > 50*time.Millisecond {
					t.Errorf("closed after %v", elapsed)
				}
				want(t, ended(), fmt.Sprintf("a:%d=0", choice.Reset))
				add("a")
				scenario.Play(t, n, nil, `
					counter expect add=2.5
					counter send HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n-1.5e+1`)
				want(t, ended(), "a:0=-15")
			})
		})
	}
}
