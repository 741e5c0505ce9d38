// Package server runs a gateway process: it provides a control-plane node with connections, storage and a
// clock, and starts the data plane, the control API and the metrics endpoint. It decides only when to start
// and when to stop them.
package server

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/storage"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/events"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/settings"
)

// Intervals and timeouts of a process.
const (
	// between reads of the server list; not shorter, because each page of the list has a price
	discoveryInterval = 850 * time.Millisecond
	// a server list that waited longer for the event loop is dropped: the process itself was held up
	maxDiscoveryDelay   = time.Second
	readyPollInterval   = 5 * time.Millisecond   // between checks whether a condition is true
	limiterTickInterval = 100 * time.Millisecond // for requests that wait for tokens
	handoverTimeout     = time.Second            // at shutdown, for another replica to take over
	leaveTimeout        = 300 * time.Millisecond // at shutdown, for a view without this replica
	closeTimeout        = 500 * time.Millisecond // at shutdown, for the storage
)

// Server is a running process.
type Server struct {
	path      string // of the settings file
	log       logr.Logger
	startedAt time.Time
	workCtx   context.Context // is canceled after the last request has ended
	stopping  atomic.Bool

	handler   *proxy.Handler
	forwarder *forward.Forwarder
	limiter   *ratelimit.Limiter
	transport *transport.Transport
	storage   *storage.Storage // nil without a data directory
	api       *api.Handler
	listener  *accept.Server // of clients; nil until they are accepted
	// authenticatesPeers reports whether the settings name a peer key file. After open, only the goroutine
	// that reloads settings uses it.
	authenticatesPeers bool

	allocator     atomic.Pointer[string] // address of the rate-limit allocator; nil if unknown
	configVersion atomic.Uint64          // of the applied configuration; 0 if there is none
	connectedHost atomic.Pointer[string] // host of the replica that the node is connected to; nil if none

	// The event loop drives the node. The fields below are used only on it once it runs.
	loop          *eventLoop
	settings      *settings.Settings
	node          *node.Node
	discovery     *discovery.Client
	discovering   bool // a read of the server list is running
	nextDiscovery time.Duration
	accepting     bool // acceptClients was called
	nodeCount     int
	endpointCount int
	epoch         uint64
	chain         []string
}

// Run serves until the context ends and all accepted requests are answered. It reads the settings from the
// file at path, and again when a value arrives on reload.
func Run(ctx context.Context, path string, reload <-chan os.Signal, log logr.Logger) error {
	set, err := settings.ReadFile(path)
	if err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Server{path: path, settings: set, log: log.WithValues("node", set.NodeName), loop: newEventLoop(),
		startedAt: time.Now(), workCtx: workCtx}
	setRuntimeLimits(set)
	if err := s.open(); err != nil {
		return err
	}
	go s.loop.run(workCtx, s.tick)
	s.Log(events.Started, "zone", set.Zone, "disk", set.DataDir != "", "first", set.FreshStart)
	s.watchSettings(ctx, reload)
	return s.stop()
}

// stop drains the process: it serves clients until their connections end, hands this replica's place in the
// core over to another one, and closes the storage.
func (s *Server) stop() error {
	s.Log(events.Stopping)
	s.stopping.Store(true)
	s.loop.post(func() { s.node.Drain(s.now()) })
	if s.listener != nil {
		s.listener.Drain()
	}
	s.waitForHandover()
	s.waitForLeave()
	err := s.transport.Close()
	if s.storage != nil {
		err = trace.NewAggregate(err, s.storage.Close(closeTimeout))
	}
	s.Log(events.Stopped)
	return trace.Wrap(err)
}

// now returns the time on the process's clock. It is monotonic, and never 0.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) + time.Hour }

// Log writes an event to the log.
func (s *Server) Log(e events.Event, pairs ...any) {
	s.log.V(e.Level).Info(e.Text, append([]any{"event", e.Number}, pairs...)...)
}

// waitForHandover waits until no handover to another replica is in progress, up to handoverTimeout.
func (s *Server) waitForHandover() {
	s.waitUntil(handoverTimeout, func() bool { return !s.node.HandingOver() })
}

// waitForLeave has the other replicas install a view without this one, so that they do not have to detect
// its failure first. It waits up to leaveTimeout.
func (s *Server) waitForLeave() {
	if s.storage == nil {
		return
	}
	s.loop.post(func() { s.node.Leave(s.now()) })
	s.waitUntil(leaveTimeout, s.node.Left)
}

// waitUntil polls a condition on the event loop until it is true or the limit has passed.
func (s *Server) waitUntil(limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyPollInterval) {
		results := make(chan bool, 1)
		s.loop.post(func() { results <- condition() })
		if <-results {
			return
		}
	}
}

// receive processes a message from a peer. It is safe for concurrent use.
func (s *Server) receive(from string, m *message.Message) {
	if grant, ok := m.Body.(*message.TokenGrant); ok {
		s.limiter.HandleGrant(s.now(), m.Incarnation, m.RequestID, grant)
		return
	}
	s.loop.post(func() { s.node.Step(s.now(), from, m) })
}

// handleDisconnected tells the node that the connection to a peer was lost. It is safe for concurrent use.
func (s *Server) handleDisconnected(peer string) {
	s.loop.post(func() { s.node.HandleDisconnected(s.now(), peer) })
}

// handleRefused tells the node that a peer refused a connection, so that its process is down. It is safe for
// concurrent use.
func (s *Server) handleRefused(peer string) {
	s.loop.post(func() { s.node.HandleRefused(s.now(), peer) })
}

// sendToAllocator sends a message of the limiter to the allocator. It drops the message if the allocator is
// unknown.
func (s *Server) sendToAllocator(m *message.Message) {
	if to := s.allocator.Load(); to != nil && *to != "" {
		s.transport.Send(*to, m)
	}
}

// isReady reports whether the process can serve clients.
func (s *Server) isReady() bool { return !s.stopping.Load() && s.listener != nil && s.handler.Ready() }

// tick does what is due, and returns the time until the next tick. It runs on the event loop.
func (s *Server) tick() time.Duration {
	now := s.now()
	next := s.node.Tick(now)
	s.limiter.Tick(now)
	s.connectedHost.Store(s.node.ConnectedHost())
	next = min(next, now+limiterTickInterval)
	epoch, isReader := s.node.HoldsRole(now, replica.EndpointReader)
	if isReader && !s.discovering && now >= s.nextDiscovery {
		s.discovering = true
		go s.discover(s.discovery, epoch)
	}
	if !s.accepting && s.handler.Ready() {
		s.accepting = true
		if err := s.acceptClients(); err != nil {
			s.Log(events.Failed, "error", err.Error())
			os.Exit(1)
		}
	}
	if !s.accepting && s.configVersion.Load() > 0 { // the cores are about to apply the server list
		next = min(next, now+readyPollInterval)
	}
	return next - s.now()
}

// discover reads the server list, and passes it to the node under the epoch in which this process holds the
// role of endpoint reader. It runs on its own goroutine.
func (s *Server) discover(client *discovery.Client, epoch uint64) {
	list, err := client.Read(s.workCtx)
	if err != nil {
		s.Log(events.DiscoveryFailed, "error", trace.UserMessage(err))
	}
	readAt := s.now()
	s.loop.post(func() {
		s.discovering = false
		s.nextDiscovery = s.now() + discoveryInterval
		if err == nil && s.now() < readAt+maxDiscoveryDelay {
			s.node.SetEndpoints(s.now(), epoch, list)
		}
	})
}
