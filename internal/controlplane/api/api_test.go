package api

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"dunespoke/internal/controlplane/client"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
)

// fakeCluster is a stand-in for what the API passes on to.
type fakeCluster struct {
	held     uint64
	config   []byte
	nearer   string
	silent   bool // it gives no clear answer
	conflict bool // another text stands under the number
	put      []uint64
}

func (c *fakeCluster) Put(version uint64, _ []byte, done client.PutDone) {
	c.put = append(c.put, version)
	switch {
	case c.silent:
		done(0, client.ErrNoResponse)
	case c.conflict:
		done(c.held, &client.ConflictError{Committed: c.held})
	default:
		done(max(version, c.held), nil)
	}
}

func (c *fakeCluster) Read(done client.ReadDone)    { done(c.held, c.config, nil) }
func (c *fakeCluster) NearestReplica() string       { return c.nearer }
func (c *fakeCluster) Status(done func(NodeStatus)) { done(NodeStatus{Node: "n-1", Version: "r7"}) }
func (c *fakeCluster) ChangeMembers(add, _ string, done client.ChangeMembersDone) {
	switch {
	case c.silent:
		done(nil, client.ErrNoResponse)
	case add == "x:1":
		done(&message.ChangeMembersResult{Reason: "no quorum would be left"}, nil)
	default:
		done(&message.ChangeMembersResult{OK: true, Members: []message.Node{{Addr: "y:1", StoreID: 10}}}, nil)
	}
}

// Given the API, when calls come in, then each gets its answer, and only what is valid and new is passed on.
func TestCallsAndTheirAnswers(t *testing.T) {
	valid, err := os.ReadFile("../../../example/cluster/config.json")
	if err != nil {
		t.Fatal(err)
	}
	board := &slowlog.Log{}
	board.Record(slowlog.Entry{ID: "id-9", Route: "transfers", Outcome: slowlog.OutcomeLate})
	long := []byte(strings.Repeat("x", redirectThreshold+1))
	for _, c := range []struct {
		name, method, target string
		body                 []byte
		cluster              fakeCluster
		status               int
		says                 string
		header               string
		put                  int
	}{
		{"a valid change", "POST", "/api/rpc?call=config.replace", valid, fakeCluster{}, 200,
			`"r1"`, "Content-Type", 1},
		{"one without a clear answer", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{silent: true}, 503,
			"send it again", "Retry-After", 1},
		{"one that is not above the held", "POST", "/api/rpc?call=config.replace", valid, fakeCluster{held: 4}, 200,
			`"r4"`, "Content-Type", 1},
		{"one of which the core does not say that", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{held: 4, silent: true}, 503, "send it again", "Retry-After", 1},
		{"another one under a number", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{held: 1, conflict: true}, 409, "higher number", "", 1},
		{"an invalid one", "POST", "/api/rpc?call=config.replace", []byte(`{"version":`), fakeCluster{}, 400,
			"configuration", "", 0},
		{"an invalid old one", "POST", "/api/rpc?call=config.replace", []byte(`{"version":"r0"}`),
			fakeCluster{held: 4}, 400, "configuration", "", 0},
		{"a reading", "POST", "/api/rpc?call=config.read", nil, fakeCluster{config: valid}, 200, "items_of", "", 0},
		{"a reading of nothing sure", "POST", "/api/rpc?call=config.read", nil, fakeCluster{}, 503, "can't be told",
			"Retry-After", 0},
		{"a long reading over a thin link", "GET", "/api/rpc?call=config.read", nil,
			fakeCluster{config: long, nearer: "10.0.0.4"}, 307, "sooner", "Location", 0},
		{"the view", "GET", "/api/rpc?call=exchange.view", nil, fakeCluster{}, 200, `"node":"n-1"`, "", 0},
		{"late requests", "GET", "/api/rpc?call=exchange.late", nil, fakeCluster{}, 200, `"id":"id-9"`, "", 0},
		{"who the core is", "GET", "/api/rpc?call=core.show", nil, fakeCluster{}, 200, `"store":"a"`, "", 0},
		{"who the core is, without an answer", "GET", "/api/rpc?call=core.show", nil,
			fakeCluster{silent: true}, 503,
			"no clear answer", "Retry-After", 0},
		{"a change of members", "POST", "/api/rpc?call=core.change", []byte(`{"add":"y:1"}`), fakeCluster{}, 200,
			`"address":"y:1"`, "", 0},
		{"one that leaves no quorum", "POST", "/api/rpc?call=core.change", []byte(`{"add":"x:1"}`),
			fakeCluster{}, 409,
			"no quorum", "", 0},
		{"one of nothing", "POST", "/api/rpc?call=core.change", []byte(`{}`), fakeCluster{}, 400, "ADDRESS", "", 0},
		{"whether it is ready", "GET", "/api/ready", nil, fakeCluster{}, 503, "not ready", "", 0},
		{"another method", "PUT", "/api/rpc?call=config.read", nil, fakeCluster{}, 405, "method", "", 0},
		{"another call", "POST", "/api/rpc?call=config.burn", nil, fakeCluster{}, 404, "no such call", "", 0},
	} {
		k := c.cluster
		d := &Handler{Cluster: &k, Ready: func() bool { return false }, SlowLog: board, ControlPort: "8381",
			Log: func(events.Event, ...any) {}}
		r := httptest.NewRequestWithContext(t.Context(), c.method, c.target, nil)
		var got *http1.Answer
		d.Serve(&http1.Request{Request: r, Content: c.body}, func(a *http1.Answer) { got = a })
		switch {
		case got == nil:
			t.Errorf("%s: no answer", c.name)
			continue
		case got.Status != c.status || !strings.Contains(string(got.Body), c.says) || len(k.put) != c.put:
			t.Errorf("%s: %d %.80q, %d passed on; want %d %q, %d", c.name, got.Status, got.Body, len(k.put),
				c.status, c.says, c.put)
		}
		has := c.header == ""
		for _, h := range got.Header {
			has = has || h[0] == c.header
		}
		if !has {
			t.Errorf("%s: no %s in %v", c.name, c.header, got.Header)
		}
	}
}

// Given a API with as many calls open as it takes, when one more comes, then it is told when to come back;
// checks whether clients should come are answered all the same.
func TestCallsAreBounded(t *testing.T) {
	d := &Handler{
		Cluster: &fakeCluster{},
		Ready:   func() bool { return true },
		Log:     func(events.Event, ...any) {},
	}
	d.open.Store(maxOpenCalls)
	for target, want := range map[string]int{"/api/ready": 200, "/api/rpc?call=config.read": 503} {
		var got *http1.Answer
		r := httptest.NewRequestWithContext(t.Context(), "GET", target, nil)
		d.Serve(&http1.Request{Request: r}, func(a *http1.Answer) { got = a })
		if got == nil || got.Status != want || d.open.Load() != maxOpenCalls {
			t.Errorf("%s: %+v, %d open; want %d", target, got, d.open.Load(), want)
		}
	}
}
