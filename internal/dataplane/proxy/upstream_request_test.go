package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/routing"
)

// newTestRequest returns a POST request of the tenant t1 with the attempt ID id-1.
func newTestRequest() *upstreamRequest {
	return &upstreamRequest{
		handler: &Handler{Options: Options{Log: func(events.Event, ...any) {},
			Clock: func() time.Duration { return time.Hour }, SlowLog: &slowlog.Log{}}},
		method: "POST",
		target: "/x/2?q=1",
		host:   "one.example",
		id:     "id-1",
		tenant: "t1",
		upload: transfer.Buffered([]byte("abc")),
		terms:  &defaultTerms,
		header: http.Header{"X-Own": {"kept"}},
	}
}

// A response is passed on only if it is complete and belongs to the request.
func TestOnlyMatchingCompleteAnswersArePassedOn(t *testing.T) {
	reused, first, closed := forward.Arrival{}, forward.Arrival{First: true}, forward.Arrival{Closed: true}
	seal := http.Header{headerAttemptID: {"id-1"}, headerServerSeal: {"s"}}
	with := func(name, value string) http.Header {
		h := seal.Clone()
		h.Set(name, value)
		return h
	}
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		arrival forward.Arrival
		code    choice.Code
		fit     forward.Fit
	}{
		{"own response", 200, seal, reused, choice.OK, forward.Good},
		{"response to another request", 200, with(headerAttemptID, "id-0"), reused, choice.Reset, forward.Foreign},
		{"no ID", 200, http.Header{headerServerSeal: {"s"}}, reused, choice.Reset, forward.Doubtful},
		{"no ID, on a new connection", 200, http.Header{headerServerSeal: {"s"}}, first, choice.Reset,
			forward.Doubtful},
		{"no seal", 200, http.Header{headerAttemptID: {"id-1"}}, reused, choice.Reset, forward.Doubtful},
		{"length unknown", 200, seal, closed, choice.Reset, forward.Doubtful},
		{"error status, length unknown", 404, seal, closed, choice.Reset, forward.Doubtful},
		{"content encoding", 200, with("Content-Encoding", "gzip"), reused, choice.Reset, forward.Doubtful},
		{"rejected", 503, with(headerNotRun, "1"), reused, choice.Busy, forward.Good},
		{"rejected without ID", 503, http.Header{headerNotRun: {"1"}}, reused, choice.Reset,
			forward.Doubtful},
		{"rejected without ID on a new connection", 503, http.Header{headerNotRun: {"1"}}, first, choice.Busy,
			forward.Good},
		{"misdirected", 421, seal, reused, choice.Busy, forward.Doubtful},
		{"misdirected without ID on a new connection", 421, http.Header{}, first, choice.Busy, forward.Doubtful},
		{"misdirected without ID", 421, http.Header{}, reused, choice.Reset, forward.Doubtful},
		{"503 that may have been executed", 503, seal, reused, choice.Error, forward.Good},
		{"429 that may have been executed", 429, seal, reused, choice.Error, forward.Good},
		{"408 that may have been executed", 408, seal, reused, choice.Error, forward.Good},
		{"error status of the server", 404, seal, reused, choice.OK, forward.Good},
	} {
		u := newTestRequest()
		res, fit := u.Judge(&http1.Response{Response: &http.Response{StatusCode: c.status,
			Header: c.header.Clone()},
			Content: []byte("body")}, c.arrival)
		if res.Code != c.code || fit != c.fit {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, res.Code, fit, c.code, c.fit)
		}
		if a, ok := res.Body.(*http1.Answer); c.code == choice.OK && (!ok || a.Status != c.status) {
			t.Errorf("%s: passed on %v", c.name, res.Body)
		}
	}
}

// The head that a server receives names that server and the tenant. It contains neither the key nor protocol
// headers forged by the client.
func TestRequestHeadSentToServer(t *testing.T) {
	u := newTestRequest()
	u.header = http.Header{"X-Own": {"kept"}, "Connection": {"close, X-Hop"}, "X-Hop": {"dropped"},
		"Key":      {"secret"},
		"Customer": {"forged"}, "Target-Server": {"forged"}, "Time-Left-Ms": {"900"}}
	stripHopHeaders(u.header)
	for _, name := range generatedHeaders {
		delete(u.header, name)
	}
	got := string(u.Append(nil, core.Server{Name: "i-7"}, 640*time.Millisecond))
	want := "POST /x/2?q=1 HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: id-1\r\nTime-Left-Ms: 640\r\n" +
		"Target-Server: i-7\r\nCustomer: t1\r\nX-Own: kept\r\nContent-Length: 3\r\n\r\n"
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if strings.Contains(got, "secret") || strings.Contains(got, "forged") {
		t.Error("the key, or a forged header, was forwarded")
	}
}

func TestTimeLeft(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
	}{{"800", 800*time.Millisecond - deadlineMargin}, {"5000", time.Second}, {"", time.Second},
		{"-3", time.Second}} {
		if got := timeLeft(c.text, time.Second); got != c.want {
			t.Errorf("%q: %v, want %v", c.text, got, c.want)
		}
	}
}

// Routes with the same properties share a class, so that a configuration with many routes has few classes.
func TestEquivalentRoutesShareAClass(t *testing.T) {
	a := routing.Route{Name: "a", Kind: routing.Writing, LatencyTarget: time.Second, Timeout: 2 * time.Second,
		MaxAttempts: 2}
	b := a
	b.Name = "b"
	if classOf(&a) != classOf(&b) || classOf(&a).Repeat != choice.Unsafe {
		t.Errorf("%+v, %+v", classOf(&a), classOf(&b))
	}
	b.Timeout = 3 * time.Second
	if classOf(&a) == classOf(&b) {
		t.Error("routes with different timeouts share a class")
	}
}

// A request that waited, was sent twice and was answered after its target is in the slow log with the time
// spent in each phase; a request that met its target is not.
func TestSlowLogRecordsLateRequests(t *testing.T) {
	u := newTestRequest()
	now := time.Hour
	u.handler.Clock = func() time.Duration { return now }
	u.trace.route = &routing.Route{Name: "transfers", LatencyTarget: 250 * time.Millisecond}
	u.trace.service, u.trace.receivedAt = "paymove", now
	now += 20 * time.Millisecond
	u.trace.recordAdmitted(now)
	now += 30 * time.Millisecond
	u.Append(nil, core.Server{Name: "i-1"}, time.Second)
	now += 50 * time.Millisecond
	u.handler.recordEnd(u, core.Served)
	if list, _ := u.handler.SlowLog.Entries(); len(list) != 0 {
		t.Fatalf("request within its target is in the log: %+v", list)
	}
	now += 200 * time.Millisecond
	u.Append(nil, core.Server{Name: "i-2"}, time.Second)
	now += 100 * time.Millisecond
	u.handler.recordEnd(u, core.Served)
	list, _ := u.handler.SlowLog.Entries()
	want := slowlog.Entry{
		ID:            "id-1",
		Route:         "transfers",
		Tenant:        "t1",
		Service:       "paymove",
		Server:        "i-2",
		Attempts:      2,
		Outcome:       slowlog.OutcomeLate,
		LatencyTarget: 250 * time.Millisecond,
		Quota:         20 * time.Millisecond,
		Waiting:       30 * time.Millisecond,
		Serving:       350 * time.Millisecond,
		Total:         400 * time.Millisecond,
	}
	if len(list) != 1 {
		t.Fatalf("%d entries, want 1", len(list))
	}
	if list[0].At = (time.Time{}); list[0] != want {
		t.Errorf("got  %+v\nwant %+v", list[0], want)
	}
}
