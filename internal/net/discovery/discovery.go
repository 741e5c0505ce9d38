// Package discovery keeps the core's list of servers by a watch on the platform's discovery.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

const (
	silent   = 7 * time.Second // a watch with no line for so long has missed three beats of 2 s
	dialWait = time.Second
	restMin  = 50 * time.Millisecond // between watches that broke, growing to restMax
	restMax  = time.Second
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

// Watch hands the known list to tell, and then all that discovery has to say, until the context ends.
func Watch(ctx context.Context, addr string, known List, tell func(full bool, list []core.Server), dial Dial,
	log zerolog.Logger) {
	w := &watch{addr: addr, tell: tell, dial: dial, log: log}
	if err := w.learn(known, true); err != nil {
		log.Warn().Str("code", "bad-list").Err(err).Msg("known list of servers")
	}
	rest := restMin
	for ctx.Err() == nil {
		start := time.Now()
		lines, err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		log.Info().Str("side", "discovery").Str("code", reason(err)).AnErr("error", err).Int("lines", lines).
			Dur("age", time.Since(start)).Msg("connection ended")
		if lines > 0 {
			rest = restMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
		rest = min(2*rest, restMax)
	}
}

type watch struct {
	addr       string
	generation int64
	tell       func(bool, []core.Server)
	dial       Dial
	log        zerolog.Logger
}

func (w *watch) learn(l List, full bool) error {
	servers, err := l.Servers()
	if err != nil {
		return err
	}
	w.generation = l.Generation
	w.tell(full, servers)
	return nil
}

// line takes one line of a watch.
func (w *watch) line(text []byte) error {
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

// follow opens one watch and reads it to its end.
func (w *watch) follow(ctx context.Context) (lines int, err error) {
	dialing, cancel := context.WithTimeout(ctx, dialWait)
	nc, err := w.dial(dialing, "tcp", w.addr)
	cancel()
	if err != nil {
		return 0, fmt.Errorf("connecting: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	request := "GET /v1/servers?follow=1&since=" + strconv.FormatInt(w.generation, 10) + " HTTP/1.1\r\nHost: " +
		w.addr + "\r\n\r\n"
	if _, err := nc.Write([]byte(request)); err != nil {
		return 0, fmt.Errorf("asking: %w", err)
	}
	var s http1.Stream
	buf := make([]byte, 16<<10)
	for {
		nc.SetReadDeadline(time.Now().Add(silent))
		n, readErr := nc.Read(buf)
		done, err := s.Feed(buf[:n], func(text []byte) error {
			lines++
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

func reason(err error) string {
	var timeout net.Error
	var protocol *http1.Error
	switch {
	case errors.Is(err, errEnded):
		return "watch-ended"
	case errors.Is(err, errList):
		return "bad-list"
	case errors.As(err, &protocol):
		return "bad-answer"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "watch-silent"
	}
	return "watch-broken"
}
