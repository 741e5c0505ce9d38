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

// overbooked is a discovery that opens watches one after another, at a price of time each. Who finds the line
// full, or has waited for too long, is turned away; the work for those who have waited is done all the same.
type overbooked struct {
	line  chan chan struct{}
	price time.Duration
	asked []time.Time // of its accepting goroutine
	open  atomic.Int32
}

const patience = 2 * time.Second

func (d *overbooked) work() {
	for turn := range d.line {
		time.Sleep(d.price)
		close(turn)
	}
}

func (d *overbooked) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		d.asked = append(d.asked, time.Now())
		go d.watch(nc)
	}
}

func (d *overbooked) watch(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	turn := make(chan struct{})
	select {
	case d.line <- turn:
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
		case <-time.After(patience):
		}
	default:
	}
	io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// A fleet restarted all at once asks for its lists all at once. Each once asked again within a second,
// so that the line stayed longer than anybody waits, and next to none got its list.
func TestFleetGetsItsListsFromAnOverbookedDiscovery(t *testing.T) {
	const watchers, price = 80, 125 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network := scenario.NewNet()
		l, _ := network.Listen("tcp", "discovery")
		d := &overbooked{line: make(chan chan struct{}, 24), price: price}
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
		time.Sleep(time.Minute) // for everything in the bubble to end
		close(d.line)
		later := 0 // most calls in one second, after the first wave
		for i, at := range d.asked {
			n := 0
			for j := i; j < len(d.asked) && d.asked[j].Sub(at) < time.Second; j++ {
				n++
			}
			if at.Sub(start) > 2500*time.Millisecond {
				later = max(later, n)
			}
		}
		t.Logf("%d lists after 15 s, %d after 40 s, %d calls, %d a second", half, all, len(d.asked), later)
		if half < watchers/2 || all < watchers || later > 24 {
			t.Errorf("%d and %d of %d have their lists, at most %d calls in a second", half, all, watchers, later)
		}
	})
}

// A dial that hung once took a second, and the rest came on top: a drain told meanwhile was known too late.
func TestHangingDialsLeaveTimeForADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		last, calls := time.Now(), 0
		w := NewWatcher("discovery", 1, 4, func(bool, []core.Server) {},
			func(c context.Context, _, _ string) (net.Conn, error) {
				if gap := time.Since(last); gap > 800*time.Millisecond {
					t.Errorf("%v between two calls", gap)
				}
				last = time.Now()
				calls++
				<-c.Done()
				return nil, c.Err()
			}, zerolog.Nop())
		w.Run(ctx, List{Generation: 1})
		if calls < 20 {
			t.Errorf("%d calls in 20 s", calls)
		}
	})
}

// Rests are drawn from each ingress's own seed, and stay within what a watch that broke may cost in lateness.
func TestRestsDifferAmongIngresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := scenario.NewNet() // nobody listens: each call is refused at once
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
					// A drain told meanwhile has to be known within a second, with time to stop for it.
					if gap := time.Since(last); gap > 500*time.Millisecond {
						t.Errorf("seed %d: %v between two calls", seed, gap)
					}
					last = time.Now()
					return network.Dial(c, n, a)
				}, zerolog.Nop())
			w.Run(ctx, List{Generation: 1})
		}
		parts := [5]int{}
		for _, at := range first {
			parts[min(4, int(5*at/restMin))]++
		}
		for i, n := range parts {
			if n < 6 || n > 32 {
				t.Errorf("%d of 80 in fifth %d of the rest: %v", n, i, parts)
			}
		}
	})
}
