package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dunespoke/internal/controlplane/api"
)

// statusTimeout is how long Collect waits for the status of the process. Without a status, the metrics are
// omitted.
const statusTimeout = 500 * time.Millisecond

// StatusSource reports the view that a process has of the cluster.
type StatusSource interface {
	// Status calls done with the status once, from any goroutine.
	Status(done func(api.NodeStatus))
}

// clusterGauge is a gauge whose value is taken from a NodeStatus.
type clusterGauge struct {
	description *prometheus.Desc
	// value returns the gauge's value; ok is false if this process has none.
	value func(status *api.NodeStatus) (value float64, ok bool)
}

// clusterCollector requests the status of the process each time that metrics are collected.
type clusterCollector struct {
	source StatusSource
	gauges []clusterGauge
}

// NewCluster returns a collector of the metrics of the cluster, as the process sees it.
func NewCluster(source StatusSource) prometheus.Collector {
	always := func(f func(*api.NodeStatus) float64) func(*api.NodeStatus) (float64, bool) {
		return func(status *api.NodeStatus) (float64, bool) { return f(status), true }
	}
	ofReplica := func(f func(*api.ReplicaStatus) float64) func(*api.NodeStatus) (float64, bool) {
		return func(status *api.NodeStatus) (float64, bool) {
			if status.Replica == nil {
				return 0, false
			}
			return f(status.Replica), true
		}
	}
	gauge := func(name, help string, value func(*api.NodeStatus) (float64, bool)) clusterGauge {
		return clusterGauge{prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, nil, nil), value}
	}
	return &clusterCollector{source, []clusterGauge{
		gauge("ready", "1 while clients should come.",
			always(func(s *api.NodeStatus) float64 { return fromBool(s.Ready) })),
		gauge("endpoints", "Servers in the list that this process goes by.",
			always(func(s *api.NodeStatus) float64 { return float64(s.Endpoints) })),
		gauge("nodes", "Processes that hold leases, this one among them.",
			always(func(s *api.NodeStatus) float64 { return float64(s.Nodes) })),
		gauge("view_epoch", "Epoch of the view that this process goes by.",
			always(func(s *api.NodeStatus) float64 { return float64(s.Epoch) })),
		gauge("connected", "1 while a replica answers this process.",
			always(func(s *api.NodeStatus) float64 { return fromBool(s.ConnectedTo != "") })),
		gauge("replica_serving", "1 while this replica serves, and hears a quorum that does.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return fromBool(r.Serves) })),
		gauge("replica_disk_unhealthy", "1 while this replica's disk accepts nothing, or is slow.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return fromBool(r.DiskUnhealthy) })),
		gauge("replica_config_version", "Version of the configuration on this replica's disk.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return float64(r.Version) })),
		gauge("core_members", "Members of the core, as this replica knows them.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return float64(len(r.Members)) })),
		gauge("core_members_reachable", "Those of them that this replica hears now.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return float64(len(r.Reachable)) })),
		gauge("core_tolerated_failures", "Members that may be lost now, as far as this replica knows.",
			ofReplica(func(r *api.ReplicaStatus) float64 { return float64(r.ToleratedFailures) })),
	}}
}

// Describe sends the descriptions of all metrics.
func (c *clusterCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range c.gauges {
		out <- g.description
	}
}

// Collect sends the current values of all metrics that have one.
func (c *clusterCollector) Collect(out chan<- prometheus.Metric) {
	received := make(chan api.NodeStatus, 1)
	c.source.Status(func(status api.NodeStatus) { received <- status })
	timeout := time.NewTimer(statusTimeout)
	defer timeout.Stop()
	select {
	case status := <-received:
		for _, g := range c.gauges {
			if value, ok := g.value(&status); ok {
				out <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, value)
			}
		}
	case <-timeout.C:
	}
}

func fromBool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
