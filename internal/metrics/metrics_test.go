package metrics

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/http1"
	"dunespoke/internal/routing"
)

// fixedStatus is a StatusSource that reports this status.
type fixedStatus api.NodeStatus

func (s fixedStatus) Status(done func(api.NodeStatus)) { done(api.NodeStatus(s)) }

// silentStatus is a StatusSource that never answers, as that of a process whose event loop is blocked.
type silentStatus struct{}

func (silentStatus) Status(func(api.NodeStatus)) {}

// fetch requests a target from a handler.
func fetch(t *testing.T, h *Handler, method, target string) *http1.Answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1"+target, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.RequestURI = target
	answers := make(chan *http1.Answer, 1)
	h.Serve(&http1.Request{Request: request}, func(a *http1.Answer) { answers <- a })
	return <-answers
}

// The handler serves the cluster's gauges and the counts of finished requests in the exposition format.
func TestMetricsAreServedInTheExpositionFormat(t *testing.T) {
	registry := NewRegistry()
	requests := NewRequests(registry)
	registry.MustRegister(NewCluster(fixedStatus{Ready: true, Endpoints: 36, Nodes: 15, Epoch: 129,
		Replica: &api.ReplicaStatus{Serves: true, ToleratedFailures: 1}}))
	route := &routing.Route{Name: "r-1", Kind: routing.ReadOnly, Priority: 2}
	requests.RequestEnded(route, proxy.OutcomeServed, 40*time.Millisecond)
	requests.RequestEnded(route, proxy.OutcomeLate, 700*time.Millisecond)
	requests.RequestEnded(route, proxy.OutcomeOverQuota, time.Millisecond)
	answer := fetch(t, NewHandler("/metrics", registry), http.MethodGet, "/metrics?name=all")
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(answer.Body)))
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("status %d: %v", answer.Status, err)
	}
	durations := families["dunespoke_request_duration_seconds"].GetMetric()[0].GetHistogram()
	if got := durations.GetSampleCount(); got != 2 {
		t.Errorf("%d durations, want 2: one per request that a server answered", got)
	}
	if got := len(families["dunespoke_requests_total"].GetMetric()); got != 3 {
		t.Errorf("%d outcomes, want 3", got)
	}
	for name, want := range map[string]float64{"dunespoke_ready": 1, "dunespoke_endpoints": 36,
		"dunespoke_view_epoch": 129, "dunespoke_core_tolerated_failures": 1} {
		if got := families[name].GetMetric()[0].GetGauge().GetValue(); got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

// The number of series stays small with the maximum number of routes, each with a different rank.
func TestLabelsAreBounded(t *testing.T) {
	const routes = 14000
	registry := NewRegistry()
	requests := NewRequests(registry)
	for i := range routes {
		kind := []routing.RequestKind{routing.ReadOnly, routing.Writing}[i%2]
		requests.RequestEnded(&routing.Route{Kind: kind, Priority: i}, proxy.OutcomeServed, time.Millisecond)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		series, limit := len(family.GetMetric()), 2*(maxRank+1)
		if strings.HasPrefix(family.GetName(), namespace) && series > limit {
			t.Errorf("%s has %d series, want %d at most", family.GetName(), series, limit)
		}
	}
}

// Metrics that are unavailable, since the process has no replica or doesn't report its status, are omitted
// and the others served.
func TestUnavailableMetricsAreOmitted(t *testing.T) {
	sources := map[string]StatusSource{"no replica": fixedStatus{Nodes: 3}, "no status": silentStatus{}}
	for name, source := range sources {
		synctest.Test(t, func(t *testing.T) {
			registry := NewRegistry()
			registry.MustRegister(NewCluster(source))
			text := string(fetch(t, NewHandler("/m", registry), http.MethodGet, "/m").Body)
			if strings.Contains(text, "dunespoke_replica") || !strings.Contains(text, "go_goroutines") {
				t.Errorf("%s: %s", name, text)
			}
			if served := strings.Contains(text, "dunespoke_nodes 3"); served != (name == "no replica") {
				t.Errorf("%s: nodes served: %v", name, served)
			}
		})
	}
}

func TestOtherPathsAndMethodsAreRejected(t *testing.T) {
	h := NewHandler("/metrics", NewRegistry())
	if got := fetch(t, h, http.MethodGet, "/").Status; got != http.StatusNotFound {
		t.Errorf("another path: %d", got)
	}
	if got := fetch(t, h, http.MethodPost, "/metrics").Status; got != http.StatusMethodNotAllowed {
		t.Errorf("POST: %d", got)
	}
}

func BenchmarkRequestEnded(b *testing.B) {
	requests := NewRequests(NewRegistry())
	route := &routing.Route{Kind: routing.ReadOnly, Priority: 2}
	for b.Loop() {
		requests.RequestEnded(route, proxy.OutcomeServed, 40*time.Millisecond)
	}
}
