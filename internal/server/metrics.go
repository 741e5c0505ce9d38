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

// maxMetricsConnections limits the open connections to the metrics endpoint.
const maxMetricsConnections = 8

// serveMetrics serves the metrics of this process at the address in the settings, and returns the observer
// that counts requests for them. It returns nil, and nothing is counted, if the settings name no address.
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
	server.SetLimits(http1.Limits{Head: maxControlHeader})
	go s.serve(server)
	return requests, nil
}
