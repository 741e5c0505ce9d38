// Package api is the control API: the calls of servers and operators, each declared beside its handler, and
// the readiness check of this process.
//
// The names of calls and of JSON fields are part of the protocol and must not change, even where the Go names
// differ.
package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
)

// Cluster executes the calls of the API.
type Cluster interface {
	// Put sends a configuration to the core.
	Put(version uint64, config []byte, done client.PutDone)
	// Read requests the newest configuration from the core.
	Read(done client.ReadDone)
	// NearestReplica returns the host of a replica that responds and has more network bandwidth than this
	// process. It is empty if this process has a replica itself or is connected to none.
	NearestReplica() string
	// ChangeMembers requests a change of the core's members: the addition of one, the removal of one, or both.
	// If both addresses are empty, it only lists the members.
	ChangeMembers(add, remove string, done client.ChangeMembersDone)
	// Status passes this process's view of the cluster to done, which is called once.
	Status(done func(NodeStatus))
}

var _ accept.Handler = (*Handler)(nil)

// Handler serves the calls of the control API.
type Handler struct {
	Cluster     Cluster
	Ready       func() bool
	SlowLog     *slowlog.Log // of requests that were late, rejected or failed
	ControlPort string       // of the control address; the same on all machines
	Log         func(e events.Event, pairs ...any)

	openCalls atomic.Int64
}

const (
	// maxOpenCalls limits the number of concurrent calls, and thereby the memory that their bodies use.
	maxOpenCalls = 64
	// busyRetryAfter is the Retry-After of a call that was rejected because too many were open.
	busyRetryAfter = 200 * time.Millisecond
)

// call declares a call of the API.
type call struct {
	method, path, name string // name is the query parameter "call"; empty if the path alone identifies the call
	serve              func(h *Handler, r *http1.Request, respond func(*http1.Answer))
}

var calls = []call{
	{http.MethodGet, "/api/ready", "", (*Handler).ready},
	{http.MethodPost, "/api/rpc", "config.replace", (*Handler).replaceConfig},
	{http.MethodPost, "/api/rpc", "config.read", (*Handler).readConfig},
	{http.MethodGet, "/api/rpc", "config.read", (*Handler).readConfig},
	{http.MethodGet, "/api/rpc", "exchange.view", (*Handler).status},
	{http.MethodGet, "/api/rpc", "exchange.late", (*Handler).slowRequests},
	{http.MethodGet, "/api/rpc", "core.show", (*Handler).listMembers},
	{http.MethodPost, "/api/rpc", "core.change", (*Handler).changeMembers},
}

// Serve dispatches a request to its call.
func (h *Handler) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	name := r.URL.Query().Get("call")
	pathKnown := false
	for _, c := range calls {
		if c.path != r.URL.Path || c.name != "" && c.name != name {
			continue
		}
		pathKnown = true
		if c.method == r.Method {
			h.admit(c, r, respond)
			return nil
		}
	}
	if pathKnown {
		respond(http1.Plain(http.StatusMethodNotAllowed, "not a method for there"))
		return nil
	}
	h.Log(events.UnknownCall, "path", r.URL.Path, "call", name)
	respond(http1.Plain(http.StatusNotFound, "no such call"))
	return nil
}

// admit serves a call unless maxOpenCalls are open. Readiness checks are served without this limit: a busy
// API is no reason for clients to use another process.
func (h *Handler) admit(c call, r *http1.Request, respond func(*http1.Answer)) {
	if c.name == "" {
		c.serve(h, r, respond)
		return
	}
	if h.openCalls.Add(1) > maxOpenCalls {
		h.openCalls.Add(-1)
		respond(unavailable("too many calls", busyRetryAfter))
		return
	}
	c.serve(h, r, func(a *http1.Answer) {
		h.openCalls.Add(-1)
		respond(a)
	})
}

// unavailable returns a response with status 503 and a Retry-After header.
func unavailable(text string, after time.Duration) *http1.Answer {
	a := http1.Plain(http.StatusServiceUnavailable, text)
	a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	return a
}

// jsonResponse returns a response whose body is v, encoded as JSON.
func jsonResponse(v any) *http1.Answer {
	body, err := json.Marshal(v)
	if err != nil { // only types of this program are encoded: this is a programming error
		return http1.Plain(http.StatusInternalServerError, "the answer can't be written")
	}
	return jsonBody(body)
}

func jsonBody(body []byte) *http1.Answer {
	return &http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
		Body: body}
}
