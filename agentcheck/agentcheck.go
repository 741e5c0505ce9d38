// Package agentcheck reports the state of a program to load balancers, by HAProxy's agent check and by HTTP
// health and readiness checks.
package agentcheck

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"dunespoke/internal/listen"
)

// State is the state that is reported to a load balancer.
type State int

// The values of State.
const (
	Up       State = iota // accepts requests, in proportion to the weight
	Draining              // finishes its requests and accepts no new ones
	Down                  // can't serve requests
)

// Report is the state at a point in time.
type Report struct {
	State  State
	Weight int // percentage of the configured weight, from 1 to 100; only used if State is Up
}

// Line returns the report as a line of the agent check. HAProxy keeps a server in drain mode until it reads
// "ready", so the line of a server that is up contains both "ready" and "up".
func (r Report) Line() string {
	switch r.State {
	case Up:
		return fmt.Sprintf("ready up %d%%\n", min(max(r.Weight, 1), 100))
	case Draining:
		return "drain\n"
	}
	return "down\n"
}

// writeTimeout limits the time to write the line to a checker that reads slowly.
const writeTimeout = time.Second

// Serve answers agent checks on l until ctx is done. It writes one line to each connection and closes it.
// Data that the checker sends (HAProxy's agent-send) is ignored.
func Serve(ctx context.Context, l net.Listener, report func() Report) error {
	return listen.Each(ctx, l, "agent check", func(c net.Conn) {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		c.Write([]byte(report().Line()))
		c.Close()
	})
}

// Health returns a handler that responds with 200 unless the state is Down: a draining program is healthy and
// needs no intervention.
func Health(report func() Report) http.Handler {
	return handler(func() bool { return report().State != Down })
}

// Ready returns a handler that responds with 200 while new requests are accepted.
func Ready(report func() Report) http.Handler {
	return handler(func() bool { return report().State == Up })
}

// handler responds to GET and HEAD with 200 if healthy returns true, and with 503 otherwise.
func handler(healthy func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		if !healthy() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
}
