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

// upstreamRequest is a request as servers get it. It is a forward.Streamed that judges its answers itself.
type upstreamRequest struct {
	f        *Front
	method   string
	target   string
	host     string
	id       string
	header   http.Header // that goes on
	customer string
	upload   *transfer.Upload
	terms    *transfer.Terms
	trip     trip
}

// trip is a request's way so far, for staff. The front and the goroutines of connections write it.
type trip struct {
	mu       sync.Mutex
	route    *routing.Route
	service  string
	came     time.Duration // of the front's clock, as the others
	admitted time.Duration // by its tenant's quota
	sent     time.Duration // to the first server; 0: to none yet
	server   string        // the last
	attempts int
}

// admit notes that the quota lets it in.
func (t *trip) admit(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admitted = now
}

// sends notes that it goes to a server.
func (t *trip) sends(now time.Duration, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts++; t.sent == 0 {
		t.sent = now
	}
	t.server = server
}

// call tells the trip of a request that has ended.
func (t *trip) call(now time.Duration, m *upstreamRequest, end slowlog.End) slowlog.Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := slowlog.Call{At: time.Now(), ID: m.id, Route: t.route.Name, Tenant: m.customer, Service: t.service,
		Server: t.server, Attempts: t.attempts, End: end, Target: t.route.Target, Total: now - t.came}
	admitted, sent := cmp.Or(t.admitted, now), cmp.Or(t.sent, now)
	c.Quota, c.Waiting, c.Serving = admitted-t.came, sent-admitted, now-sent
	return c
}

// terms are what every exchange is held to. What a server is still giving is not cut off: only one that
// stands still for long is given up. Only Not-Run says that a request has not run: of one that has left in
// part nothing is promised, too.
var terms = transfer.Terms{
	ClientUp:   flow.Pace{Least: 32 << 10, Grace: 3 * time.Second},
	ClientDown: flow.Pace{Least: 32 << 10, Grace: 5 * time.Second},
	ServerUp:   flow.Pace{Stall: 5 * time.Second},
	ServerDown: flow.Pace{Stall: 10 * time.Second},
	Awaited:    true,
}

// Names of the protocol's headers, as package http writes them.
const (
	hID       = "Attempt-Id"
	hLeft     = "Time-Left-Ms"
	hServer   = "Target-Server"
	hCustomer = "Customer"
	hKey      = "Key"
	hSeal     = "Server-Seal"
	hNotRun   = "Not-Run"
)

// clean drops what concerns one connection only.
func clean(h http.Header) {
	http1.DropHops(h, hID, hSeal)
	delete(h, "Expect") // it is between the client and this program
}

// own are lines that this program words itself.
var own = []string{hID, hLeft, hServer, hCustomer, hKey, "Host", "Content-Length"}

// Append writes the head for a server.
func (m *upstreamRequest) Append(buf []byte, s core.Server, wait time.Duration) []byte {
	m.trip.sends(m.f.Clock(), s.Name)
	if m.terms.Head > 0 { // the attempt's time holds that of sending the body
		wait = m.terms.Head
	}
	buf = append(append(buf, m.method...), ' ')
	buf = append(append(buf, m.target...), " HTTP/1.1\r\n"...)
	buf = http1.AppendHeader(buf, "Host", m.host)
	buf = http1.AppendHeader(buf, hID, m.id)
	buf = append(append(buf, hLeft...), ": "...)
	buf = strconv.AppendInt(buf, max(1, wait.Milliseconds()), 10)
	buf = append(buf, "\r\n"...)
	buf = http1.AppendHeader(buf, hServer, s.Name)
	if m.customer != "" {
		buf = http1.AppendHeader(buf, hCustomer, m.customer)
	}
	buf = http1.AppendHeaders(buf, m.header)
	switch n := m.upload.Length(); {
	case n < 0:
		buf = http1.AppendHeader(buf, "Transfer-Encoding", "chunked")
	case n > 0 || m.method == http.MethodPost || m.method == http.MethodPut || m.method == http.MethodPatch:
		buf = http1.AppendHeader(buf, "Content-Length", strconv.FormatInt(n, 10))
	}
	return append(buf, "\r\n"...)
}

// Upload is the body.
func (m *upstreamRequest) Upload() *transfer.Upload { return m.upload }

// Terms are what the exchange is held to.
func (m *upstreamRequest) Terms() *transfer.Terms { return m.terms }

// Method is the request's.
func (m *upstreamRequest) Method() string { return m.method }

// Judge says what a whole answer is to this request. Only one that bears the request's id, and if it tells of
// success the server's seal, is the server's word on it.
func (m *upstreamRequest) Judge(r *http1.Response, a forward.Arrival) (core.Result, forward.Fit) {
	id := r.Header.Get(hID)
	if id != "" && id != m.id {
		m.f.Log(events.AnswerBad, "status", r.StatusCode)
		return core.Result{Code: choice.Reset}, forward.Foreign
	}
	result, fit := m.verdict(r.Response, id, a)
	if result.Code == choice.OK {
		result.Body = &http1.Answer{Status: r.StatusCode, Header: lines(r.Header), Body: r.Content}
	}
	return result, fit
}

// JudgeHead judges the head of a long answer.
func (m *upstreamRequest) JudgeHead(r *http.Response, a forward.Arrival) core.Result {
	id := r.Header.Get(hID)
	if id != "" && id != m.id {
		return core.Result{Code: choice.Reset}
	}
	result, _ := m.verdict(r, id, a)
	if result.Code == choice.OK {
		clean(r.Header)
	}
	return result
}

func (m *upstreamRequest) verdict(r *http.Response, id string, a forward.Arrival) (core.Result, forward.Fit) {
	_, notRun := r.Header[hNotRun]
	switch {
	case id == "" && !a.First: // it may be what came late for another request
		m.f.Log(events.AnswerBad, "status", r.StatusCode, "error", "no id")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode == http.StatusMisdirectedRequest:
		m.f.Log(events.ServerMoved)
		return core.Result{Code: choice.Busy}, forward.Doubtful
	case notRun:
		return core.Result{Code: choice.Busy}, forward.Good
	case id == "":
		m.f.Log(events.AnswerBad, "status", r.StatusCode, "error", "no id")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 500 || r.StatusCode < 200 || http1.Promises(r.StatusCode):
		return core.Result{Code: choice.Error}, forward.Good
	case a.Closed: // it may have been cut
		m.f.Log(events.AnswerBad, "status", r.StatusCode, "error", "no known end")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	case r.StatusCode >= 300:
		return core.Result{Code: choice.OK}, forward.Good
	case r.Header.Get(hSeal) == "" || r.Header.Get("Content-Encoding") != "":
		m.f.Log(events.AnswerBad, "status", r.StatusCode, "error", "no seal, or encoded")
		return core.Result{Code: choice.Reset}, forward.Doubtful
	}
	return core.Result{Code: choice.OK}, forward.Good
}

// lines returns the header lines of an answer that go on to the client, in a fixed order.
func lines(h http.Header) [][2]string {
	clean(h)
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
