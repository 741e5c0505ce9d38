// Package metrics exports the metrics of a process in the Prometheus exposition format: requests by outcome,
// and the state of the cluster as the process sees it. The number of label values is bounded for any
// configuration: routes are distinguished by kind and rank only, and tenants not at all.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/routing"
)

var _ proxy.RequestObserver = (*Requests)(nil)

// namespace is the prefix of all metric names.
const namespace = "dunespoke"

// maxRank is the last rank with its own label value; higher ranks share it.
const maxRank = 3

// durationBuckets are the upper bounds of the duration histogram's buckets, in seconds. They cover the usual
// latency targets.
var durationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5, 10}

// Requests counts client requests and measures their durations.
type Requests struct {
	ended    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewRequests returns a Requests whose metrics are registered with a registry.
func NewRequests(registry prometheus.Registerer) *Requests {
	labels := []string{"kind", "rank"}
	r := &Requests{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total",
			Help: "Requests of clients that have ended, by how."}, append([]string{"outcome"}, labels...)),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace,
			Name:    "request_duration_seconds",
			Help:    "Time from when a request had come whole until a server's answer to it.",
			Buckets: durationBuckets}, labels),
	}
	registry.MustRegister(r.ended, r.duration)
	return r
}

// RequestEnded counts a request, and records the duration of those that a server answered.
func (r *Requests) RequestEnded(route *routing.Route, outcome proxy.Outcome, took time.Duration) {
	kind, rank := string(route.Kind), strconv.Itoa(min(max(route.Priority, 0), maxRank))
	r.ended.WithLabelValues(string(outcome), kind, rank).Inc()
	if outcome == proxy.OutcomeServed || outcome == proxy.OutcomeLate {
		r.duration.WithLabelValues(kind, rank).Observe(took.Seconds())
	}
}
