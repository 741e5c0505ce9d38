// Package discovery keeps the core's list of servers by a watch on the platform's discovery.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

const (
	silent   = 7 * time.Second        // a watch with no line for so long has missed three beats of 2 s
	dialWait = 300 * time.Millisecond // the agent is near; with a rest it has to be under the drains' second
	listWait = time.Second            // for the whole list, which is answered at once if at all
	restMin  = 100 * time.Millisecond // the longest rest after the first watch that broke, doubling to restMax
	// While the watch rests, discovery's agent may be told of a drain, from when on there is one second to stop
	// sending. Rests of a second once took it all.
	restMax = 400 * time.Millisecond
	// The same after one that was turned away, for each ingress of the fleet: all of them ask, and what waits in
	// line too long is work for nobody, so that the line gets short again only by calls that are few enough.
	fullRest  = 125 * time.Millisecond
	fullTimes = 4 // the longest is so many times the first
	fullFleet = 9 // fewer ingresses can't overbook it: they rest as ever
)

// List is one version of the list of servers, or what changed up to it.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Entry is one server as discovery names it.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt float64 `json:"startedAtMs"`
}

// Servers translates the entries of a list.
func (l *List) Servers() ([]core.Server, error) {
	states := map[string]choice.State{"Ready": choice.Live, "Terminating": choice.Draining, "Gone": choice.Gone}
	all := make([]core.Server, 0, len(l.Instances))
	for _, e := range l.Instances {
		state, ok := states[e.Lifecycle]
		if !ok || e.ID == "" || e.Addr == "" && state != choice.Gone {
			return nil, fmt.Errorf("server %q at %q: lifecycle %q", e.ID, e.Addr, e.Lifecycle)
		}
		all = append(all, core.Server{Name: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: state,
			Weight: e.Weight, Started: time.Duration(e.StartedAt * float64(time.Millisecond))})
	}
	return all, nil
}

// Dial opens connections, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Watcher follows the list of servers at one address after another.
type Watcher struct {
	tell func(full bool, list []core.Server)
	dial Dial
	log  zerolog.Logger

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed by Move, and then replaced

	rng        *rand.Rand
	fleet      int
	generation int64 // of Run's goroutine, as is fresh
	fresh      bool  // the address is new: its versions are not those of the one before
}

// NewWatcher returns a watcher of discovery at an address. The seed is for its rests: it has to differ from
// one ingress to the next, and fleet is how many there are.
func NewWatcher(addr string, seed uint64, fleet int, tell func(full bool, list []core.Server), dial Dial,
	log zerolog.Logger) *Watcher {
	return &Watcher{tell: tell, dial: dial, log: log, addr: addr, moved: make(chan struct{}), fleet: fleet,
		rng: rand.New(rand.NewPCG(seed, 0x77617463))}
}

// Move has the watch go on at another address, at once. The list so far stays in use until the new address
// has told the whole of its own.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	close(w.moved)
	w.moved = make(chan struct{})
}

func (w *Watcher) where() (addr string, moved <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.moved
}

// Run hands the known list to tell, and then all that discovery has to say, until the context ends.
func (w *Watcher) Run(ctx context.Context, known List) {
	if err := w.learn(known, true); err != nil {
		w.log.Warn().Str("code", "bad-list").Err(err).Msg("known list of servers")
	}
	for ctx.Err() == nil {
		addr, moved := w.where()
		w.stay(ctx, addr, moved)
		w.fresh = true
	}
}

// stay watches at one address until Move names another or the context ends.
func (w *Watcher) stay(ctx context.Context, addr string, moved <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	fullMin := time.Duration(w.fleet) * fullRest
	rest, full := restMin, fullMin
	for ctx.Err() == nil {
		start := time.Now()
		lines, err := w.follow(ctx, addr)
		code := reason(err)
		if ctx.Err() != nil {
			code, err = "watch-left", nil
		}
		w.log.Info().Str("side", "discovery").Str("code", code).AnErr("error", err).Int("lines", lines).
			Dur("age", time.Since(start)).Msg("connection ended")
		if lines > 0 {
			rest, full = restMin, fullMin
		}
		longest := rest
		if code == "watch-refused" && w.fleet >= fullFleet {
			longest, full = full, min(2*full, fullTimes*fullMin)
		} else {
			rest = min(2*rest, restMax)
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.jitter(longest)):
		}
	}
}

// jitter is the rest before the next watch: any part of the longest ("full jitter"). Guards a discovery that
// has turned away a whole fleet against meeting it again all at once, and ever again.
func (w *Watcher) jitter(longest time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(longest))
}

func (w *Watcher) learn(l List, full bool) error {
	servers, err := l.Servers()
	if err != nil {
		return err
	}
	w.generation, w.fresh = l.Generation, false
	w.tell(full, servers)
	return nil
}

// line takes one line of a watch.
func (w *Watcher) line(text []byte) error {
	if len(text) == 0 {
		return nil // a beat
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	if err := w.learn(l, l.Reset); err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	return nil
}

var (
	errList  = errors.New("list of servers")
	errEnded = errors.New("the watch has ended")
)

// follow opens one watch and reads it to its end. At a fresh address it asks for the whole list first: what
// has changed there since a version of another address's would say nothing of what is missing.
func (w *Watcher) follow(ctx context.Context, addr string) (lines int, err error) {
	dialing, cancel := context.WithTimeout(ctx, dialWait)
	nc, err := w.dial(dialing, "tcp", addr)
	cancel()
	if err != nil {
		return 0, fmt.Errorf("connecting: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if w.fresh {
		if err := w.whole(nc, addr); err != nil {
			return 0, err
		}
	}
	if err := ask(nc, addr, "/v1/servers?follow=1&since="+strconv.FormatInt(w.generation, 10)); err != nil {
		return 0, err
	}
	asked := time.Now()
	var s http1.Stream
	buf := make([]byte, 16<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(silent))
		n, readErr := nc.Read(buf)
		done, err := s.Feed(buf[:n], func(text []byte) error {
			if lines++; lines == 1 {
				w.log.Info().Str("side", "discovery").Str("code", "watch-open").Dur("took", time.Since(asked)).
					Msg("discovery answers")
			}
			return w.line(text)
		})
		switch {
		case err != nil:
			return lines, fmt.Errorf("reading: %w", err)
		case done:
			return lines, errEnded
		case readErr != nil:
			return lines, fmt.Errorf("reading: %w", readErr)
		}
	}
}

// whole asks for the whole list, and takes it.
func (w *Watcher) whole(nc net.Conn, addr string) error {
	if err := ask(nc, addr, "/v1/servers"); err != nil {
		return err
	}
	frames := http1.NewResponses(http1.Limits{Head: http1.DefaultLimits.Head, Body: http1.LongestObject})
	buf := make([]byte, 16<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(listWait))
		n, err := nc.Read(buf)
		if err != nil {
			return fmt.Errorf("reading the list: %w", err)
		}
		frames.Feed(buf[:n])
		msg, err := frames.Next()
		if err != nil {
			return fmt.Errorf("reading the list: %w", err)
		}
		if msg == nil {
			continue
		}
		r, err := new(http1.Parser).Response(msg)
		switch {
		case err != nil:
			return fmt.Errorf("reading the list: %w", err)
		case r.StatusCode != http.StatusOK:
			return &http1.Error{Status: r.StatusCode, Reason: "status"}
		}
		var l List
		if err := json.Unmarshal(r.Content, &l); err != nil {
			return fmt.Errorf("%w: %w", errList, err)
		}
		if err := w.learn(l, true); err != nil {
			return fmt.Errorf("%w: %w", errList, err)
		}
		return nil
	}
}

func ask(nc net.Conn, addr, target string) error {
	if _, err := nc.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	return nil
}

func reason(err error) string {
	var timeout net.Error
	var protocol *http1.Error
	switch {
	case errors.Is(err, errEnded):
		return "watch-ended"
	case errors.Is(err, errList):
		return "bad-list"
	case errors.As(err, &protocol) && protocol.Status == http.StatusServiceUnavailable:
		return "watch-refused"
	case errors.As(err, &protocol):
		return "bad-answer"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "watch-silent"
	}
	return "watch-broken"
}
