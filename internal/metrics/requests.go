// Package metrics tells a process's own figures in the Prometheus exposition format: requests by how they
// ended, and how the process sees the cluster. Labels are bounded whatever a configuration holds: routes
// are told apart by their kind and rank alone, and tenants not at all.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/routing"
)

var _ proxy.RequestObserver = (*Requests)(nil)

// namespace is the first part of each figure's name.
const namespace = "dunespoke"

// maxRank is the last rank that has a label of its own: those behind it share it.
const maxRank = 3

// durationBuckets are the upper bounds of the histogram's buckets, in seconds: about those of latency
// targets.
var durationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5, 10}

// Requests counts clients' requests.
type Requests struct {
	ended    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewRequests returns a Requests whose figures are told by a registry.
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

// RequestEnded counts a request.
func (r *Requests) RequestEnded(route *routing.Route, outcome proxy.Outcome, took time.Duration) {
	kind, rank := string(route.Kind), strconv.Itoa(min(max(route.Priority, 0), maxRank))
	r.ended.WithLabelValues(string(outcome), kind, rank).Inc()
	if outcome == proxy.OutcomeServed || outcome == proxy.OutcomeLate {
		r.duration.WithLabelValues(kind, rank).Observe(took.Seconds())
	}
}
