package proxy

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/routing"
)

var (
	_ forward.Streamed = (*upstreamRequest)(nil)
	_ forward.Judging  = (*upstreamRequest)(nil)
)

// upstreamRequest is a request as it is sent to servers. It implements forward.Streamed, and forward.Judging
// to validate its own responses.
type upstreamRequest struct {
	handler *Handler
	method  string
	target  string
	host    string
	id      string
	header  http.Header // to forward
	tenant  string
	upload  *transfer.Upload
	terms   *transfer.Terms
	trace   requestTrace
}

// requestTrace records the progress of a request for the slow log. It is safe for concurrent use: the
// handler and the goroutines of upstream connections write to it.
type requestTrace struct {
	mu         sync.Mutex
	route      *routing.Route
	service    string
	receivedAt time.Duration // on Handler.Clock, as the other times
	admittedAt time.Duration // by the quota of the tenant; 0 if not yet
	sentAt     time.Duration // to the first server; 0 if not yet
	server     string        // to which it was sent last
	attempts   int
}

// recordAdmitted records that the quota admitted the request.
func (t *requestTrace) recordAdmitted(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admittedAt = now
}

// recordSent records that the request is sent to a server.
func (t *requestTrace) recordSent(now time.Duration, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts++; t.sentAt == 0 {
		t.sentAt = now
	}
	t.server = server
}

// entry returns the slow log entry of a request that has ended.
func (t *requestTrace) entry(now time.Duration, u *upstreamRequest, outcome slowlog.Outcome) slowlog.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := slowlog.Entry{
		At:            time.Now(),
		ID:            u.id,
		Route:         t.route.Name,
		Tenant:        u.tenant,
		Service:       t.service,
		Server:        t.server,
		Attempts:      t.attempts,
		Outcome:       outcome,
		LatencyTarget: t.route.LatencyTarget,
		Total:         now - t.receivedAt,
	}
	admitted, sent := cmp.Or(t.admittedAt, now), cmp.Or(t.sentAt, now)
	entry.Quota, entry.Waiting, entry.Serving = admitted-t.receivedAt, sent-admitted, now-sent
	return entry
}

// defaultTerms are the time limits of every exchange. A server that keeps sending is not cut off; only one
// that stalls for long is. There is no guarantee for a request that was sent in part: only Not-Run means
// that a request was not executed.
var defaultTerms = transfer.Terms{
	ClientUp:   flow.Pace{MinRate: 32 << 10, Grace: 3 * time.Second},
	ClientDown: flow.Pace{MinRate: 32 << 10, Grace: 5 * time.Second},
	ServerUp:   flow.Pace{Stall: 5 * time.Second},
	ServerDown: flow.Pace{Stall: 10 * time.Second},
	Awaited:    true,
}

// Names of the protocol's headers in canonical form.
const (
	headerAttemptID    = "Attempt-Id"
	headerTimeLeft     = "Time-Left-Ms"
	headerTargetServer = "Target-Server"
	headerCustomer     = "Customer"
	headerKey          = "Key"
	headerServerSeal   = "Server-Seal"
	headerNotRun       = "Not-Run"
)

// stripHopHeaders deletes the headers that apply to a single connection only.
func stripHopHeaders(h http.Header) {
	http1.DropHops(h, headerAttemptID, headerServerSeal)
	delete(h, "Expect") // it applies only between the client and this process
}

// generatedHeaders are the headers that this process generates itself. Those of the client are dropped.
var generatedHeaders = []string{
	headerAttemptID,
	headerTimeLeft,
	headerTargetServer,
	headerCustomer,
	headerKey,
	"Host",
	"Content-Length",
}

// Append appends the head of the request, as it is sent to server s, to buf. wait is the time left for the
// attempt.
func (u *upstreamRequest) Append(buf []byte, s core.Server, wait time.Duration) []byte {
	u.trace.recordSent(u.handler.Clock(), s.Name)
	if u.terms.Head > 0 { // wait also covers sending the body, Head does not
		wait = u.terms.Head
	}
	buf = append(append(buf, u.method...), ' ')
	buf = append(append(buf, u.target...), " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", u.host)
	buf = http1.AppendHeader(buf, headerAttemptID, u.id)
	buf = append(append(buf, headerTimeLeft...), ": "...)
	buf = strconv.AppendInt(buf, max(1, wait.Milliseconds()), 10)
	buf = append(buf, "\r\n"...)
	buf = http1.AppendHeader(buf, headerTargetServer, s.Name)
	if u.tenant != "" {
		buf = http1.AppendHeader(buf, headerCustomer, u.tenant)
	}
	buf = http1.AppendHeaders(buf, u.header)
	switch n := u.upload.Length(); {
	case n < 0:
		buf = http1.AppendHeader(buf, "Transfer-Encoding", "chunked")
	case n > 0 || u.method == http.MethodPost || u.method == http.MethodPut || u.method == http.MethodPatch:
		buf = http1.AppendHeader(buf, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(buf, "\r\n"...)
}

// Upload returns the request body.
func (u *upstreamRequest) Upload() *transfer.Upload { return u.upload }

// Terms returns the time limits of the exchange.
func (u *upstreamRequest) Terms() *transfer.Terms { return u.terms }

// Method returns the HTTP method.
func (u *upstreamRequest) Method() string { return u.method }

// Judge validates a complete response. A response counts as the server's response to this request only if it
// carries the request's attempt ID and, on success, the server's seal.
func (u *upstreamRequest) Judge(r *http1.Response, a forward.Arrival) (core.Result, forward.Fit) {
	id := r.Header.Get(headerAttemptID)
	if id != "" && id != u.id {
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode)
		return core.Result{Code: choice.Reset}, forward.Foreign
	}
	result, fit := u.classify(r.Response, id, a)
	if result.Code == choice.OK {
		result.Body = &http1.Answer{Status: r.StatusCode, Header: responseHeaders(r.Header), Body: r.Content}
	}
	return result, fit
}

// JudgeHead validates the head of a response that is too long to buffer.
func (u *upstreamRequest) JudgeHead(r *http.Response, a forward.Arrival) core.Result {
	id := r.Header.Get(headerAttemptID)
	if id != "" && id != u.id {
		return core.Result{Code: choice.Reset}
	}
	result, _ := u.classify(r, id, a)
	if result.Code == choice.OK {
		stripHopHeaders(r.Header)
	}
	return result
}

// classify returns the result of a response, and whether its connection can be reused. id is the attempt ID
// of the response; it is either empty or that of the request.
func (u *upstreamRequest) classify(r *http.Response, id string,
	a forward.Arrival) (core.Result, forward.Fit) {
	_, notRun := r.Header[headerNotRun]
	switch {
	case id == "" && !a.First: // it may be a late response to another request
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "missing attempt ID")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode == http.StatusMisdirectedRequest:
		u.handler.Log(events.AddressReused)
		return core.Result{Code: choice.Busy}, forward.Doubtful
	case notRun:
		return core.Result{Code: choice.Busy}, forward.Good
	case id == "":
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "missing attempt ID")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 500 || r.StatusCode < 200 || http1.Promises(r.StatusCode):
		return core.Result{Code: choice.Error}, forward.Good
	case a.Closed: // it may be truncated
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "response length unknown")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 300:
		return core.Result{Code: choice.OK}, forward.Good
	case r.Header.Get(headerServerSeal) == "" || r.Header.Get("Content-Encoding") != "":
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "missing seal, or encoded")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	}
	return core.Result{Code: choice.OK}, forward.Good
}

// responseHeaders returns the headers of a response that are passed on to the client, sorted by name.
func responseHeaders(h http.Header) [][2]string {
	stripHopHeaders(h)
	delete(h, "Content-Length")
	list := make([][2]string, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			list = append(list, [2]string{name, v})
		}
	}
	slices.SortFunc(list, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
	return list
}
