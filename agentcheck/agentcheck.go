// Package agentcheck tells load balancers how a program fares: by the lines of HAProxy's agent check, and by
// HTTP health and readiness.
package agentcheck

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"dunespoke/internal/listen"
)

// State is what a balancer is told.
type State int

// The kinds of State.
const (
	Up       State = iota // send work, by weight
	Draining              // finish what is there, send nothing new
	Down                  // can't serve
)

// Report is the state at one moment.
type Report struct {
	State  State
	Weight int // with Up: percent of the configured weight, from 1 to 100
}

// Line is the report as an agent-check line. HAProxy keeps a drain until it reads "ready", so a server that
// is up says both.
func (r Report) Line() string {
	switch r.State {
	case Up:
		return fmt.Sprintf("ready up %d%%\n", min(max(r.Weight, 1), 100))
	case Draining:
		return "drain\n"
	}
	return "down\n"
}

// writeWait bounds how long a checker may take to read its line.
const writeWait = time.Second

// Serve answers agent checks on a listener until the context ends: one line for a connection, which then
// closes. What a checker sends (HAProxy's agent-send) is not looked at.
func Serve(ctx context.Context, l net.Listener, report func() Report) error {
	return listen.Each(ctx, l, "agent check", func(c net.Conn) {
		c.SetWriteDeadline(time.Now().Add(writeWait))
		c.Write([]byte(report().Line()))
		c.Close()
	})
}

// Health answers 200 as long as the program runs and may be left alone: draining is healthy.
func Health(report func() Report) http.Handler {
	return handler(func() bool { return report().State != Down })
}

// Ready answers 200 while new requests are welcome.
func Ready(report func() Report) http.Handler {
	return handler(func() bool { return report().State == Up })
}

func handler(good func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		if !good() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
}
