package api

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
	"dunespoke/internal/routing"
)

const (
	putRetryAfter  = 50 * time.Millisecond
	readRetryAfter = 100 * time.Millisecond
	// redirectThreshold is the length in bytes above which a machine without a disk redirects the read of a
	// configuration to a replica. It takes a quarter of a second on the slowest link.
	redirectThreshold = 64 << 10
)

// replaceConfig handles the call that replaces the entire configuration.
func (h *Handler) replaceConfig(r *http1.Request, respond func(*http1.Answer)) {
	table, err := routing.Validate(r.Content)
	if err != nil {
		h.Log(events.ConfigRejected, "error", trace.UserMessage(err))
		respond(http1.Plain(http.StatusBadRequest, trace.UserMessage(err)))
		return
	}
	h.Cluster.Put(table.Version, r.Content, func(committed uint64, err error) {
		var conflict *client.ConflictError
		switch {
		case errors.As(err, &conflict):
			h.Log(events.ConfigConflict, "version", table.Version)
			respond(http1.Plain(http.StatusConflict, fmt.Sprintf(
				"another configuration stands under r%d: send this one under a higher number", table.Version)))
		case err != nil:
			h.Log(events.ConfigUnacknowledged, "version", table.Version)
			respond(unavailable("not acknowledged yet: send it again", putRetryAfter))
		default:
			h.Log(events.ConfigCommitted, "version", table.Version, "held", committed)
			respond(jsonResponse(map[string]any{"version": fmt.Sprintf("r%d", committed)}))
		}
	})
}

// readConfig responds with the newest configuration, exactly as it was put. A long one is redirected to a
// replica.
func (h *Handler) readConfig(r *http1.Request, respond func(*http1.Answer)) {
	h.Cluster.Read(func(_ uint64, config []byte, err error) {
		if err != nil || config == nil { // nil: there is none yet
			h.Log(events.ConfigReadFailed)
			respond(unavailable("the newest configuration can't be told now", readRetryAfter))
			return
		}
		host := h.Cluster.NearestReplica()
		if len(config) > redirectThreshold && host != "" && h.ControlPort != "" {
			respond(redirect("http://" + net.JoinHostPort(host, h.ControlPort) + r.RequestURI))
			return
		}
		respond(jsonBody(config))
	})
}

// redirect returns a response that redirects the caller to a replica, which has more network bandwidth.
func redirect(to string) *http1.Answer {
	a := http1.Plain(http.StatusTemporaryRedirect, "a machine of the core tells it sooner")
	a.Header = append(a.Header, [2]string{"Location", to})
	return a
}
