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

func given() *upstreamRequest {
	return &upstreamRequest{
		handler: &Handler{Options: Options{Log: func(events.Event, ...any) {},
			Clock: func() time.Duration { return time.Hour }, SlowLog: &slowlog.Log{}}},
		method: "POST",
		target: "/x/2?q=1",
		host:   "one.example",
		id:     "id-1",
		tenant: "t1",
		upload: transfer.Whole([]byte("abc")),
		terms:  &defaultTerms,
		header: http.Header{"X-Own": {"kept"}},
	}
}

// Given an answer, when it is judged, then only the request's own and whole answer is passed on.
func TestOnlyTheRequestsOwnAnswerIsPassedOn(t *testing.T) {
	kept, first, closed := forward.Arrival{}, forward.Arrival{First: true}, forward.Arrival{Closed: true}
	seal := http.Header{headerAttemptID: {"id-1"}, headerServerSeal: {"s"}}
	with := func(name, value string) http.Header {
		h := seal.Clone()
		h.Set(name, value)
		return h
	}
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		come   forward.Arrival
		code   choice.Code
		fit    forward.Fit
	}{
		{"its own", 200, seal, kept, choice.OK, forward.Good},
		{"another's", 200, with(headerAttemptID, "id-0"), kept, choice.Reset, forward.Foreign},
		{"nobody's", 200, http.Header{headerServerSeal: {"s"}}, kept, choice.Reset, forward.Doubtful},
		{"nobody's, on a new connection", 200, http.Header{headerServerSeal: {"s"}}, first, choice.Reset,
			forward.Doubtful},
		{"without a seal", 200, http.Header{headerAttemptID: {"id-1"}}, kept, choice.Reset, forward.Doubtful},
		{"with an end that may be early", 200, seal, closed, choice.Reset, forward.Doubtful},
		{"a no with such an end", 404, seal, closed, choice.Reset, forward.Doubtful},
		{"encoded", 200, with("Content-Encoding", "gzip"), kept, choice.Reset, forward.Doubtful},
		{"turned away", 503, with(headerNotRun, "1"), kept, choice.Busy, forward.Good},
		{"turned away, and not told who", 503, http.Header{headerNotRun: {"1"}}, kept, choice.Reset,
			forward.Doubtful},
		{"turned away on a new connection", 503, http.Header{headerNotRun: {"1"}}, first, choice.Busy,
			forward.Good},
		{"of another server", 421, seal, kept, choice.Busy, forward.Doubtful},
		{"of another server on a new connection", 421, http.Header{}, first, choice.Busy, forward.Doubtful},
		{"of another server, to somebody", 421, http.Header{}, kept, choice.Reset, forward.Doubtful},
		{"failed, and may have run", 503, seal, kept, choice.Error, forward.Good},
		{"the same by 429", 429, seal, kept, choice.Error, forward.Good},
		{"the same by 408", 408, seal, kept, choice.Error, forward.Good},
		{"the server's own no", 404, seal, kept, choice.OK, forward.Good},
	} {
		m := given()
		res, fit := m.Judge(&http1.Response{Response: &http.Response{StatusCode: c.status,
			Header: c.header.Clone()},
			Content: []byte("body")}, c.come)
		if res.Code != c.code || fit != c.fit {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, res.Code, fit, c.code, c.fit)
		}
		if a, ok := res.Body.(*http1.Answer); c.code == choice.OK && (!ok || a.Status != c.status) {
			t.Errorf("%s: passed on as %v", c.name, res.Body)
		}
	}
}

// Given a request with lines of its own, when a server gets it, then it names that server and the tenant, and
// not the key.
func TestWhatAServerGets(t *testing.T) {
	m := given()
	m.header = http.Header{"X-Own": {"kept"}, "Connection": {"close, X-Hop"}, "X-Hop": {"dropped"},
		"Key":      {"secret"},
		"Customer": {"forged"}, "Target-Server": {"forged"}, "Time-Left-Ms": {"900"}}
	stripHopHeaders(m.header)
	for _, name := range ownHeaders {
		delete(m.header, name)
	}
	got := string(m.Append(nil, core.Server{Name: "i-7"}, 640*time.Millisecond))
	want := "POST /x/2?q=1 HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: id-1\r\nTime-Left-Ms: 640\r\n" +
		"Target-Server: i-7\r\nCustomer: t1\r\nX-Own: kept\r\nContent-Length: 3\r\n\r\n"
	if got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if strings.Contains(got, "secret") || strings.Contains(got, "forged") {
		t.Error("the key, or what the client forged, went on")
	}
}

func TestPatience(t *testing.T) {
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

// Given routes that are alike, then they are one class: a configuration of many routes makes few.
func TestRoutesThatAreAlikeAreOneClass(t *testing.T) {
	a := routing.Route{Name: "a", Kind: routing.Writing, LatencyTarget: time.Second, Timeout: 2 * time.Second,
		MaxAttempts: 2}
	b := a
	b.Name = "b"
	if classOf(&a) != classOf(&b) || classOf(&a).Repeat != choice.Unsafe {
		t.Errorf("%+v, %+v", classOf(&a), classOf(&b))
	}
	b.Timeout = 3 * time.Second
	if classOf(&a) == classOf(&b) {
		t.Error("routes that give up at other times are one class")
	}
}

// Given a request that waits, is sent twice and is answered after its target, then operators can look up
// where its time went; one that was in time is not kept.
func TestWhatRanLateCanBeLookedUp(t *testing.T) {
	m := given()
	now := time.Hour
	m.handler.Clock = func() time.Duration { return now }
	m.trace.route = &routing.Route{Name: "transfers", LatencyTarget: 250 * time.Millisecond}
	m.trace.service, m.trace.receivedAt = "paymove", now
	now += 20 * time.Millisecond
	m.trace.recordAdmitted(now)
	now += 30 * time.Millisecond
	m.Append(nil, core.Server{Name: "i-1"}, time.Second)
	now += 50 * time.Millisecond
	m.handler.recordEnd(m, core.Served)
	if list, _ := m.handler.SlowLog.Entries(); len(list) != 0 {
		t.Fatalf("in time, and kept: %+v", list)
	}
	now += 200 * time.Millisecond
	m.Append(nil, core.Server{Name: "i-2"}, time.Second)
	now += 100 * time.Millisecond
	m.handler.recordEnd(m, core.Served)
	list, _ := m.handler.SlowLog.Entries()
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
		t.Fatalf("%d kept", len(list))
	}
	if list[0].At = (time.Time{}); list[0] != want {
		t.Errorf("got  %+v\nwant %+v", list[0], want)
	}
}
