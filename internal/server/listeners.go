package server

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/direct"
)

// Limits of accepted connections.
const (
	maxControlConnections = 96       // from operators and health checks
	maxControlHeader      = 16 << 10 // bytes
	maxControlBody        = message.MaxFrameSize - 64<<10
	maxShortBody          = 64 << 10        // bytes of a request body that is read before forwarding
	storedBodyMemoryShare = 8               // divisor: this part of the memory is for buffered request bodies
	minClientRate         = 32 << 10        // bytes per second, for the rest of a body after its response
	clientGrace           = 3 * time.Second // how long a client may fall behind minClientRate
	// acceptAfterTerm is how long connections are still accepted after SIGTERM: the time for two health checks
	// of the platform, plus connections that are already being established.
	acceptAfterTerm     = 2300 * time.Millisecond
	defaultGraceSeconds = 6 // if the bound grace_period_s is not set
)

// serveControl serves the control API and the readiness check at their addresses.
func (s *Server) serveControl() error {
	for _, addr := range []string{s.settings.Listen.Ready, s.settings.Listen.Control} {
		if addr == "" {
			continue
		}
		listener, err := direct.Listen("tcp", addr)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		server := accept.New(listener, s.api, maxControlConnections, zerolog.Nop())
		server.SetLimits(http1.Limits{Head: maxControlHeader, Body: maxControlBody})
		go s.serve(server)
	}
	return nil
}

// serve accepts connections until the listener is closed.
func (s *Server) serve(server *accept.Server) {
	if err := server.Serve(); err != nil {
		s.Log(events.Failed, "error", err.Error())
	}
}

// acceptClients starts to accept client connections. It is called once requests can be served.
func (s *Server) acceptClients() error {
	set := s.settings
	if set.Listen.Front == "" {
		return nil
	}
	listener, err := direct.Listen("tcp", set.Listen.Front)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	files := fileBudget(set)
	limits := s.handler.ClientLimits()
	grace := set.Bound("grace_period_s", defaultGraceSeconds)
	s.listener = accept.NewStreams(listener, s.handler, files-int(upstreamFileShare*float64(files)),
		accept.Streams{
			Head: limits.MaxHeaderBytes, Promises: true, Short: maxShortBody, Wait: limits.HeaderTimeout,
			Idle: limits.IdleTimeout, Accept: acceptAfterTerm, Life: time.Duration(grace * float64(time.Second)),
			Store: flow.NewStore(max(minBodyMemory, set.Limits.MemoryMB) << 20 / storedBodyMemoryShare),
			Rest:  flow.Pace{MinRate: minClientRate, Grace: clientGrace},
		}, zerolog.Nop())
	go s.serve(s.listener)
	s.Log(events.Ready)
	return nil
}
