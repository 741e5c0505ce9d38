// Package discovery keeps the core's list of servers up to date by a watch on the platform's
// discovery service.
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
	// Time without a line after which a watch is closed: it has missed three heartbeats of 2 s.
	watchTimeout = 7 * time.Second
	// The agent is nearby. Together with a backoff delay, a dial must take less than the second that a drain
	// allows.
	dialTimeout = 300 * time.Millisecond
	// Time to wait for the complete list, which discovery sends immediately if at all.
	listTimeout = time.Second
	// Maximum delay after the first failed watch. It doubles with each further one, up to backoffMax.
	backoffMin = 100 * time.Millisecond
	// A drain may be announced during the delay, and leaves one second to stop sending. Delays of up to a second
	// used up all of that time.
	backoffMax = 400 * time.Millisecond
	// Initial maximum delay after a refused watch, for each ingress of the fleet. All ingresses retry, and
	// discovery also spends time on requests whose clients have given up, so that its queue becomes shorter only
	// if the rate of retries is low enough.
	refusedBackoffPerIngress = 125 * time.Millisecond
	// Maximum delay after refused watches, as a multiple of the initial one.
	refusedBackoffFactorMax = 4
	// Smaller fleets can't overload discovery, and use the delays for failed watches.
	refusedBackoffMinFleet = 9
)

// List is one version of the list of servers or, without Reset, the changes since an earlier version.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Entry is a server as discovery describes it.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt float64 `json:"startedAtMs"`
}

// Servers converts the entries of the list to servers of the core. It returns an error if one is not valid.
func (l *List) Servers() ([]core.Server, error) {
	states := map[string]choice.State{"Ready": choice.Live, "Terminating": choice.Draining, "Gone": choice.Gone}
	all := make([]core.Server, 0, len(l.Instances))
	for _, e := range l.Instances {
		state, ok := states[e.Lifecycle]
		if !ok || e.ID == "" || e.Addr == "" && state != choice.Gone {
			return nil, fmt.Errorf("server %q at %q: missing ID or address, or unknown lifecycle %q",
				e.ID, e.Addr, e.Lifecycle)
		}
		all = append(all, core.Server{Name: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: state,
			Weight: e.Weight, Started: time.Duration(e.StartedAt * float64(time.Millisecond))})
	}
	return all, nil
}

// Dial opens connections, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Watcher watches the list of servers at one address, which Move can change.
type Watcher struct {
	update func(full bool, list []core.Server)
	dial   Dial
	log    zerolog.Logger

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed and replaced by Move

	rng        *rand.Rand
	fleet      int
	generation int64 // like fresh, used only by the goroutine of Run
	// No list has been received from the current address yet. Generations of two addresses are unrelated.
	fresh bool
}

// NewWatcher returns a watcher of the discovery service at addr. The seed randomizes the backoff and has to
// differ between ingresses; fleet is the number of ingresses. Run calls update with each complete list
// (full) or set of changes.
func NewWatcher(addr string, seed uint64, fleet int, update func(full bool, list []core.Server), dial Dial,
	log zerolog.Logger) *Watcher {
	return &Watcher{update: update, dial: dial, log: log, addr: addr, moved: make(chan struct{}), fleet: fleet,
		rng: rand.New(rand.NewPCG(seed, 0x77617463))}
}

// Move continues the watch at another address immediately. The current list stays in use until the new
// address has sent its complete list.
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

// target returns the current address, and a channel that is closed when it changes.
func (w *Watcher) target() (addr string, moved <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.moved
}

// Run passes the known list to update, and then all updates from discovery, until ctx is done.
func (w *Watcher) Run(ctx context.Context, known List) {
	if err := w.apply(known, true); err != nil {
		w.log.Warn().Str("code", "bad-list").Err(err).Msg("known server list is invalid")
	}
	for ctx.Err() == nil {
		addr, moved := w.target()
		w.watchAddr(ctx, addr, moved)
		w.fresh = true
	}
}

// watchAddr watches at addr until Move closes moved or ctx is done.
func (w *Watcher) watchAddr(ctx context.Context, addr string, moved <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	refusedBackoffMin := time.Duration(w.fleet) * refusedBackoffPerIngress
	backoff, refusedBackoff := backoffMin, refusedBackoffMin
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
			backoff, refusedBackoff = backoffMin, refusedBackoffMin
		}
		longest := backoff
		if code == "watch-refused" && w.fleet >= refusedBackoffMinFleet {
			longest, refusedBackoff = refusedBackoff, min(2*refusedBackoff, refusedBackoffFactorMax*refusedBackoffMin)
		} else {
			backoff = min(2*backoff, backoffMax)
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.jitter(longest)):
		}
	}
}

// jitter returns a random delay of up to longest before the next watch ("full jitter"). Without it, a fleet
// that discovery has refused would retry all at once, again and again.
func (w *Watcher) jitter(longest time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(longest))
}

// apply passes a list to the core and records its generation.
func (w *Watcher) apply(l List, full bool) error {
	servers, err := l.Servers()
	if err != nil {
		return err
	}
	w.generation, w.fresh = l.Generation, false
	w.update(full, servers)
	return nil
}

// handleLine processes one line of a watch.
func (w *Watcher) handleLine(text []byte) error {
	if len(text) == 0 {
		return nil // a heartbeat
	}
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	if err := w.apply(l, l.Reset); err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	return nil
}

var (
	errList  = errors.New("invalid server list")
	errEnded = errors.New("discovery closed the watch")
)

// follow opens one watch, reads it until it ends, and returns the number of lines received. At a new address
// it requests the complete list first: changes since a generation of another address would be incomplete.
func (w *Watcher) follow(ctx context.Context, addr string) (lines int, err error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	nc, err := w.dial(dialing, "tcp", addr)
	cancel()
	if err != nil {
		return 0, fmt.Errorf("connecting: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if w.fresh {
		if err := w.fetchList(nc, addr); err != nil {
			return 0, err
		}
	}
	if err := sendGet(nc, addr, "/v1/servers?follow=1&since="+strconv.FormatInt(w.generation, 10)); err != nil {
		return 0, err
	}
	requested := time.Now()
	var s http1.Stream
	buf := make([]byte, 16<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(watchTimeout))
		n, readErr := nc.Read(buf)
		done, err := s.Feed(buf[:n], func(text []byte) error {
			if lines++; lines == 1 {
				w.log.Info().Str("side", "discovery").Str("code", "watch-open").Dur("took", time.Since(requested)).
					Msg("watch established")
			}
			return w.handleLine(text)
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

// fetchList requests the complete list and applies it.
func (w *Watcher) fetchList(nc net.Conn, addr string) error {
	if err := sendGet(nc, addr, "/v1/servers"); err != nil {
		return err
	}
	framer := http1.NewResponses(http1.Limits{Head: http1.DefaultLimits.Head, Body: http1.LongestObject})
	buf := make([]byte, 16<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(listTimeout))
		n, err := nc.Read(buf)
		if err != nil {
			return fmt.Errorf("reading the server list: %w", err)
		}
		framer.Feed(buf[:n])
		msg, err := framer.Next()
		if err != nil {
			return fmt.Errorf("reading the server list: %w", err)
		}
		if msg == nil {
			continue
		}
		r, err := new(http1.Parser).Response(msg)
		switch {
		case err != nil:
			return fmt.Errorf("reading the server list: %w", err)
		case r.StatusCode != http.StatusOK:
			return &http1.Error{Status: r.StatusCode, Reason: "status"}
		}
		var l List
		if err := json.Unmarshal(r.Content, &l); err != nil {
			return fmt.Errorf("%w: %w", errList, err)
		}
		if err := w.apply(l, true); err != nil {
			return fmt.Errorf("%w: %w", errList, err)
		}
		return nil
	}
}

// sendGet sends a GET request for target.
func sendGet(nc net.Conn, addr, target string) error {
	if _, err := nc.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")); err != nil {
		return fmt.Errorf("sending the request: %w", err)
	}
	return nil
}

// reason returns the log code for the end of a watch.
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
