package server

import (
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/http1"
	"dunespoke/internal/metrics"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/direct"
)

// maxMetricsConnections is how many connections may fetch figures at once.
const maxMetricsConnections = 8

// serveMetrics tells this process's figures where the settings say, and returns who counts requests for
// them; nil: the settings name no place, and nothing is counted.
func (s *Server) serveMetrics() (proxy.RequestObserver, error) {
	addr, path, ok := s.settings.MetricsEndpoint()
	if !ok {
		return nil, nil
	}
	listener, err := direct.Listen("tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	registry := metrics.NewRegistry()
	requests := metrics.NewRequests(registry)
	registry.MustRegister(metrics.NewCluster(s))
	server := accept.New(listener, metrics.NewHandler(path, registry), maxMetricsConnections, zerolog.Nop())
	server.Bound(http1.Limits{Head: maxControlHeader})
	go s.serve(server)
	return requests, nil
}
