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

// upstreamRequest is a request as servers get it. It is a forward.Streamed that judges its answers itself.
type upstreamRequest struct {
	handler *Handler
	method  string
	target  string
	host    string
	id      string
	header  http.Header // that goes on
	tenant  string
	upload  *transfer.Upload
	terms   *transfer.Terms
	trace   requestTrace
}

// requestTrace is a request's way so far, for operators. The front and the goroutines of connections write
// it.
type requestTrace struct {
	mu         sync.Mutex
	route      *routing.Route
	service    string
	receivedAt time.Duration // of the front's clock, as the others
	admittedAt time.Duration // by its tenant's quota
	sentAt     time.Duration // to the first server; 0: to none yet
	server     string        // the last
	attempts   int
}

// recordAdmitted notes that the quota lets it in.
func (t *requestTrace) recordAdmitted(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admittedAt = now
}

// recordSent notes that it goes to a server.
func (t *requestTrace) recordSent(now time.Duration, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts++; t.sentAt == 0 {
		t.sentAt = now
	}
	t.server = server
}

// entry tells the trip of a request that has ended.
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

// defaultTerms are what every exchange is held to. What a server is still giving is not cut off: only one
// that stands still for long is given up. Only Not-Run says that a request has not run: of one that has left
// in part nothing is promised, too.
var defaultTerms = transfer.Terms{
	ClientUp:   flow.Pace{MinRate: 32 << 10, Grace: 3 * time.Second},
	ClientDown: flow.Pace{MinRate: 32 << 10, Grace: 5 * time.Second},
	ServerUp:   flow.Pace{Stall: 5 * time.Second},
	ServerDown: flow.Pace{Stall: 10 * time.Second},
	Awaited:    true,
}

// Names of the protocol's headers, as package http writes them.
const (
	headerAttemptID    = "Attempt-Id"
	headerTimeLeft     = "Time-Left-Ms"
	headerTargetServer = "Target-Server"
	headerCustomer     = "Customer"
	headerKey          = "Key"
	headerServerSeal   = "Server-Seal"
	headerNotRun       = "Not-Run"
)

// stripHopHeaders drops what concerns one connection only.
func stripHopHeaders(h http.Header) {
	http1.DropHops(h, headerAttemptID, headerServerSeal)
	delete(h, "Expect") // it is between the client and this program
}

// ownHeaders are lines that this program words itself.
var ownHeaders = []string{
	headerAttemptID,
	headerTimeLeft,
	headerTargetServer,
	headerCustomer,
	headerKey,
	"Host",
	"Content-Length",
}

// Append writes the head for a server.
func (u *upstreamRequest) Append(buf []byte, s core.Server, wait time.Duration) []byte {
	u.trace.recordSent(u.handler.Clock(), s.Name)
	if u.terms.Head > 0 { // the attempt's time holds that of sending the body
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

// Upload is the body.
func (u *upstreamRequest) Upload() *transfer.Upload { return u.upload }

// Terms are what the exchange is held to.
func (u *upstreamRequest) Terms() *transfer.Terms { return u.terms }

// Method is the request's.
func (u *upstreamRequest) Method() string { return u.method }

// Judge says what a whole answer is to this request. Only one that bears the request's id, and if it tells of
// success the server's seal, is the server's word on it.
func (u *upstreamRequest) Judge(r *http1.Response, a forward.Arrival) (core.Result, forward.Fit) {
	id := r.Header.Get(headerAttemptID)
	if id != "" && id != u.id {
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode)
		return core.Result{Code: choice.Reset}, forward.Foreign
	}
	result, fit := u.verdict(r.Response, id, a)
	if result.Code == choice.OK {
		result.Body = &http1.Answer{Status: r.StatusCode, Header: responseHeaders(r.Header), Body: r.Content}
	}
	return result, fit
}

// JudgeHead judges the head of a long answer.
func (u *upstreamRequest) JudgeHead(r *http.Response, a forward.Arrival) core.Result {
	id := r.Header.Get(headerAttemptID)
	if id != "" && id != u.id {
		return core.Result{Code: choice.Reset}
	}
	result, _ := u.verdict(r, id, a)
	if result.Code == choice.OK {
		stripHopHeaders(r.Header)
	}
	return result
}

func (u *upstreamRequest) verdict(r *http.Response, id string, a forward.Arrival) (core.Result, forward.Fit) {
	_, notRun := r.Header[headerNotRun]
	switch {
	case id == "" && !a.First: // it may be what came late for another request
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "no id")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode == http.StatusMisdirectedRequest:
		u.handler.Log(events.AddressReused)
		return core.Result{Code: choice.Busy}, forward.Doubtful
	case notRun:
		return core.Result{Code: choice.Busy}, forward.Good
	case id == "":
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "no id")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 500 || r.StatusCode < 200 || http1.Promises(r.StatusCode):
		return core.Result{Code: choice.Error}, forward.Good
	case a.Closed: // it may have been cut
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "no known end")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 300:
		return core.Result{Code: choice.OK}, forward.Good
	case r.Header.Get(headerServerSeal) == "" || r.Header.Get("Content-Encoding") != "":
		u.handler.Log(events.ResponseInvalid, "status", r.StatusCode, "error", "no seal, or encoded")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	}
	return core.Result{Code: choice.OK}, forward.Good
}

// responseHeaders returns the header lines of an answer that go on to the client, in a fixed order.
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
