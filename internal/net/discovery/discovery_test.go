package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/core"
	"dunespoke/internal/scenario"
)

// overloaded is a discovery server that opens watches one after another, each of which costs it some time. It
// refuses a request if its queue is full or the request has waited too long; it still does the work for
// requests that have timed out in the queue.
type overloaded struct {
	queue    chan chan struct{}
	cost     time.Duration
	requests []time.Time // arrival times; written by the accepting goroutine
	open     atomic.Int32
}

const queueTimeout = 2 * time.Second

func (d *overloaded) work() {
	for turn := range d.queue {
		time.Sleep(d.cost)
		close(turn)
	}
}

func (d *overloaded) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		d.requests = append(d.requests, time.Now())
		go d.watch(nc)
	}
}

func (d *overloaded) watch(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	turn := make(chan struct{})
	select {
	case d.queue <- turn:
		select {
		case <-turn:
			d.open.Add(1)
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"2e\r\n{\"generation\":2,\"reset\":false,\"instances\":[]}\n\r\n")
			for {
				if _, err := io.WriteString(nc, "1\r\n\n\r\n"); err != nil {
					return
				}
				time.Sleep(2 * time.Second)
			}
		case <-time.After(queueTimeout):
		}
	default:
	}
	io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// A fleet that restarts all at once requests its lists all at once. When each ingress retried within a
// second, the queue stayed longer than the requests wait in it, and hardly any ingress got its list.
func TestFleetGetsListsFromOverloadedDiscovery(t *testing.T) {
	const watchers, cost = 80, 125 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network := scenario.NewNet()
		l, _ := network.Listen("tcp", "discovery")
		d := &overloaded{queue: make(chan chan struct{}, 24), cost: cost}
		go d.work()
		go d.serve(l)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		for seed := range uint64(watchers) {
			w := NewWatcher("discovery", seed, 80, func(bool, []core.Server) {}, network.Dial, zerolog.Nop())
			go w.Run(ctx, List{Generation: 1})
		}
		time.Sleep(15 * time.Second)
		half := d.open.Load()
		time.Sleep(25 * time.Second)
		all := d.open.Load()
		cancel()
		l.Close()
		time.Sleep(time.Minute) // lets all goroutines of the bubble end
		close(d.queue)
		later := 0 // maximum number of requests within one second, after the first wave
		for i, at := range d.requests {
			n := 0
			for j := i; j < len(d.requests) && d.requests[j].Sub(at) < time.Second; j++ {
				n++
			}
			if at.Sub(start) > 2500*time.Millisecond {
				later = max(later, n)
			}
		}
		t.Logf("%d lists after 15 s, %d after 40 s, %d requests, at most %d a second", half, all,
			len(d.requests), later)
		if half < watchers/2 || all < watchers || later > 24 {
			t.Errorf("%d after 15 s and %d after 40 s of %d have their lists, at most %d requests a second",
				half, all, watchers, later)
		}
	})
}

// A hanging dial used to take a second, and the backoff came on top, so that a drain announced meanwhile was
// seen too late.
func TestHangingDialsLeaveTimeForDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		last, calls := time.Now(), 0
		w := NewWatcher("discovery", 1, 4, func(bool, []core.Server) {},
			func(c context.Context, _, _ string) (net.Conn, error) {
				if gap := time.Since(last); gap > 800*time.Millisecond {
					t.Errorf("%v between two dials", gap)
				}
				last = time.Now()
				calls++
				<-c.Done()
				return nil, c.Err()
			}, zerolog.Nop())
		w.Run(ctx, List{Generation: 1})
		if calls < 20 {
			t.Errorf("%d dials in 20 s", calls)
		}
	})
}

// Backoff delays depend on the seed of each ingress, and stay within the delay that is allowed after a watch
// has failed.
func TestBackoffDiffersAmongIngresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := scenario.NewNet() // without a listener, each dial is refused at once
		var first []time.Duration
		for seed := range uint64(80) {
			calls, last := 0, time.Now()
			ctx, cancel := context.WithCancel(t.Context())
			start := time.Now()
			w := NewWatcher("discovery", seed, 80, func(bool, []core.Server) {},
				func(c context.Context, n, a string) (net.Conn, error) {
					if calls++; calls == 2 {
						first = append(first, time.Since(start))
					}
					if calls == 10 {
						cancel()
					}
					// A drain announced meanwhile must be seen within a second, with time left to stop sending.
					if gap := time.Since(last); gap > 500*time.Millisecond {
						t.Errorf("seed %d: %v between two dials", seed, gap)
					}
					last = time.Now()
					return network.Dial(c, n, a)
				}, zerolog.Nop())
			w.Run(ctx, List{Generation: 1})
		}
		parts := [5]int{}
		for _, at := range first {
			parts[min(4, int(5*at/backoffMin))]++
		}
		for i, n := range parts {
			if n < 6 || n > 32 {
				t.Errorf("%d of 80 in fifth %d of the backoff: %v", n, i, parts)
			}
		}
	})
}
