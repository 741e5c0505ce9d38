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

// fakeCluster is a Cluster that responds as its fields say, and records the versions that are put.
type fakeCluster struct {
	version        uint64
	config         []byte
	nearestReplica string
	noResponse     bool // calls end without a definite response
	conflict       bool // the version was accepted with different content
	puts           []uint64
}

func (c *fakeCluster) Put(version uint64, _ []byte, done client.PutDone) {
	c.puts = append(c.puts, version)
	switch {
	case c.noResponse:
		done(0, client.ErrNoResponse)
	case c.conflict:
		done(c.version, &client.ConflictError{Committed: c.version})
	default:
		done(max(version, c.version), nil)
	}
}

func (c *fakeCluster) Read(done client.ReadDone)    { done(c.version, c.config, nil) }
func (c *fakeCluster) NearestReplica() string       { return c.nearestReplica }
func (c *fakeCluster) Status(done func(NodeStatus)) { done(NodeStatus{Node: "n-1", Version: "r7"}) }
func (c *fakeCluster) ChangeMembers(add, _ string, done client.ChangeMembersDone) {
	switch {
	case c.noResponse:
		done(nil, client.ErrNoResponse)
	case add == "x:1":
		done(&message.ChangeMembersResult{Reason: "no quorum would be left"}, nil)
	default:
		done(&message.ChangeMembersResult{OK: true, Members: []message.Node{{Addr: "y:1", StoreID: 10}}}, nil)
	}
}

// Each call gets the expected response, and only valid configurations are sent to the core.
func TestCallResponses(t *testing.T) {
	valid, err := os.ReadFile("../../../example/cluster/config.json")
	if err != nil {
		t.Fatal(err)
	}
	slowLog := &slowlog.Log{}
	slowLog.Record(slowlog.Entry{ID: "id-9", Route: "transfers", Outcome: slowlog.OutcomeLate})
	long := []byte(strings.Repeat("x", redirectThreshold+1))
	for _, c := range []struct {
		name, method, target string
		body                 []byte
		cluster              fakeCluster
		wantStatus           int
		wantBody             string
		wantHeader           string
		wantPuts             int
	}{
		{"valid configuration", "POST", "/api/rpc?call=config.replace", valid, fakeCluster{}, 200,
			`"r1"`, "Content-Type", 1},
		{"configuration without a definite response", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{noResponse: true}, 503,
			"send it again", "Retry-After", 1},
		{"configuration older than the committed one", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{version: 4}, 200, `"r4"`, "Content-Type", 1},
		{"old configuration without a definite response", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{version: 4, noResponse: true}, 503, "send it again", "Retry-After", 1},
		{"different configuration with the same version", "POST", "/api/rpc?call=config.replace", valid,
			fakeCluster{version: 1, conflict: true}, 409, "higher number", "", 1},
		{"invalid configuration", "POST", "/api/rpc?call=config.replace", []byte(`{"version":`), fakeCluster{}, 400,
			"configuration", "", 0},
		{"invalid old configuration", "POST", "/api/rpc?call=config.replace", []byte(`{"version":"r0"}`),
			fakeCluster{version: 4}, 400, "configuration", "", 0},
		{"read", "POST", "/api/rpc?call=config.read", nil, fakeCluster{config: valid}, 200, "items_of", "", 0},
		{"read without a configuration", "POST", "/api/rpc?call=config.read", nil, fakeCluster{}, 503,
			"can't be told", "Retry-After", 0},
		{"read of a long configuration without a local replica", "GET", "/api/rpc?call=config.read", nil,
			fakeCluster{config: long, nearestReplica: "10.0.0.4"}, 307, "sooner", "Location", 0},
		{"status", "GET", "/api/rpc?call=exchange.view", nil, fakeCluster{}, 200, `"node":"n-1"`, "", 0},
		{"slow requests", "GET", "/api/rpc?call=exchange.late", nil, fakeCluster{}, 200, `"id":"id-9"`, "", 0},
		{"list of members", "GET", "/api/rpc?call=core.show", nil, fakeCluster{}, 200, `"store":"a"`, "", 0},
		{"list of members without a definite response", "GET", "/api/rpc?call=core.show", nil,
			fakeCluster{noResponse: true}, 503,
			"no clear answer", "Retry-After", 0},
		{"change of members", "POST", "/api/rpc?call=core.change", []byte(`{"add":"y:1"}`), fakeCluster{}, 200,
			`"address":"y:1"`, "", 0},
		{"change of members that leaves no quorum", "POST", "/api/rpc?call=core.change", []byte(`{"add":"x:1"}`),
			fakeCluster{}, 409,
			"no quorum", "", 0},
		{"empty change of members", "POST", "/api/rpc?call=core.change", []byte(`{}`), fakeCluster{}, 400,
			"ADDRESS", "", 0},
		{"readiness", "GET", "/api/ready", nil, fakeCluster{}, 503, "not ready", "", 0},
		{"unsupported method", "PUT", "/api/rpc?call=config.read", nil, fakeCluster{}, 405, "method", "", 0},
		{"unknown call", "POST", "/api/rpc?call=config.burn", nil, fakeCluster{}, 404, "no such call", "", 0},
	} {
		cluster := c.cluster
		h := &Handler{Cluster: &cluster, Ready: func() bool { return false }, SlowLog: slowLog, ControlPort: "8381",
			Log: func(events.Event, ...any) {}}
		r := httptest.NewRequestWithContext(t.Context(), c.method, c.target, nil)
		var got *http1.Answer
		h.Serve(&http1.Request{Request: r, Content: c.body}, func(a *http1.Answer) { got = a })
		switch {
		case got == nil:
			t.Errorf("%s: no response", c.name)
			continue
		case got.Status != c.wantStatus || !strings.Contains(string(got.Body), c.wantBody) ||
			len(cluster.puts) != c.wantPuts:
			t.Errorf("%s: %d %.80q, %d puts; want %d %q, %d", c.name, got.Status, got.Body, len(cluster.puts),
				c.wantStatus, c.wantBody, c.wantPuts)
		}
		hasHeader := c.wantHeader == ""
		for _, h := range got.Header {
			hasHeader = hasHeader || h[0] == c.wantHeader
		}
		if !hasHeader {
			t.Errorf("%s: no header %s in %v", c.name, c.wantHeader, got.Header)
		}
	}
}

// While the maximum number of calls is open, a further call is rejected with status 503; readiness checks are
// still answered.
func TestOpenCallsAreLimited(t *testing.T) {
	h := &Handler{
		Cluster: &fakeCluster{},
		Ready:   func() bool { return true },
		Log:     func(events.Event, ...any) {},
	}
	h.openCalls.Store(maxOpenCalls)
	for target, want := range map[string]int{"/api/ready": 200, "/api/rpc?call=config.read": 503} {
		var got *http1.Answer
		r := httptest.NewRequestWithContext(t.Context(), "GET", target, nil)
		h.Serve(&http1.Request{Request: r}, func(a *http1.Answer) { got = a })
		if got == nil || got.Status != want || h.openCalls.Load() != maxOpenCalls {
			t.Errorf("%s: %+v, %d open; want %d", target, got, h.openCalls.Load(), want)
		}
	}
}
