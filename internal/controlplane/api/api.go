// Package api is the control API: the calls of servers and operators, each declared beside its handler, and
// the question whether this process is ready.
//
// The names of calls and of JSON fields are those of the wire, which stays; the Go names beside them are the
// field's.
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

// Cluster is what the API passes on to.
type Cluster interface {
	// Put hands a configuration to the core.
	Put(version uint64, config []byte, done client.PutDone)
	// Read asks for the newest configuration.
	Read(done client.ReadDone)
	// NearestReplica is the host of a replica that answers and has a wider link than this process; empty: this
	// process has a replica itself, or knows none.
	NearestReplica() string
	// ChangeMembers has the core change its members: add one, remove one or both; or tell them where both
	// addresses are empty.
	ChangeMembers(add, remove string, done client.ChangeMembersDone)
	// Status tells how this process sees the cluster; done is called once.
	Status(done func(NodeStatus))
}

var _ accept.Handler = (*Handler)(nil)

// Handler answers calls.
type Handler struct {
	Cluster     Cluster
	Ready       func() bool
	SlowLog     *slowlog.Log // of requests that ran late or were given up
	ControlPort string       // of the control address, which is alike on all machines
	Log         func(e events.Event, pairs ...any)

	open atomic.Int64
}

const (
	// maxOpenCalls bounds the calls that are answered at once, and what their bodies hold.
	maxOpenCalls = 64
	// busyRetryAfter is when a call may come back that found too many.
	busyRetryAfter = 200 * time.Millisecond
)

// call is one that the API has.
type call struct {
	method, path, name string // the name is the query's call; empty: the call has none
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

// Serve takes a call.
func (h *Handler) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	name := r.URL.Query().Get("call")
	known := false
	for _, c := range calls {
		if c.path != r.URL.Path || c.name != "" && c.name != name {
			continue
		}
		known = true
		if c.method == r.Method {
			h.admit(c, r, respond)
			return nil
		}
	}
	if known {
		respond(http1.Plain(http.StatusMethodNotAllowed, "not a method for there"))
		return nil
	}
	h.Log(events.UnknownCall, "path", r.URL.Path, "call", name)
	respond(http1.Plain(http.StatusNotFound, "no such call"))
	return nil
}

// admit bounds how many calls are open. Readiness checks are answered at once, and not counted: a busy API is
// no reason for clients to go elsewhere.
func (h *Handler) admit(c call, r *http1.Request, respond func(*http1.Answer)) {
	if c.name == "" {
		c.serve(h, r, respond)
		return
	}
	if h.open.Add(1) > maxOpenCalls {
		h.open.Add(-1)
		respond(unavailable("too many calls", busyRetryAfter))
		return
	}
	c.serve(h, r, func(a *http1.Answer) {
		h.open.Add(-1)
		respond(a)
	})
}

// unavailable is an answer that asks the caller to come back.
func unavailable(text string, after time.Duration) *http1.Answer {
	a := http1.Plain(http.StatusServiceUnavailable, text)
	a.Header = append(a.Header, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64)})
	return a
}

// jsonResponse is an answer with a document.
func jsonResponse(v any) *http1.Answer {
	body, err := json.Marshal(v)
	if err != nil { // of our own types only: a fault of the program
		return http1.Plain(http.StatusInternalServerError, "the answer can't be written")
	}
	return jsonBody(body)
}

func jsonBody(body []byte) *http1.Answer {
	return &http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", "application/json"}},
		Body: body}
}
