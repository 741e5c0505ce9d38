// Package server runs a process: it gives a control-plane node its connections, its disk and its clock, and
// starts what clients, servers and operators reach. All that is decided here is when to start and when to
// stop.
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

// Times of a process.
const (
	// between readings of the list of servers: each page has its price
	discoveryInterval = 850 * time.Millisecond
	// a list that waited for so long to be told was held up with the process
	maxDiscoveryDelay   = time.Second
	readyPollInterval   = 5 * time.Millisecond   // between looks whether clients can be accepted
	limiterTickInterval = 100 * time.Millisecond // between looks at what waits for tokens
	handoverTimeout     = time.Second            // for a successor in the core, at the end
	leaveTimeout        = 300 * time.Millisecond // for a view of the others, at the end
	closeTimeout        = 500 * time.Millisecond // for the disk, at the end
)

// Server is a running process.
type Server struct {
	path      string // of the settings
	log       logr.Logger
	startedAt time.Time
	workCtx   context.Context // ends after the last request
	stopping  atomic.Bool

	handler   *proxy.Handler
	forwarder *forward.Forwarder
	limiter   *ratelimit.Limiter
	transport *transport.Transport
	storage   *storage.Storage // nil without a disk
	api       *api.Handler
	listener  *accept.Server // of clients; nil: not yet
	// authenticatesPeers says whether the settings name keys; only the goroutine that reloads settings
	// touches it.
	authenticatesPeers bool

	allocator     atomic.Pointer[string] // the address of the rate-limit allocator; nil: none is known
	configVersion atomic.Uint64          // in force; 0: none
	connectedHost atomic.Pointer[string] // the host of the replica that is watched; nil: none answers

	// The loop drives the node. Only it touches what follows.
	loop          *eventLoop
	settings      *settings.Settings
	node          *node.Node
	discovery     *discovery.Client
	discovering   bool // the list is being read
	nextDiscovery time.Duration
	accepting     bool // clients are accepted
	nodeCount     int
	endpointCount int
	epoch         uint64
	chain         []string
}

// Run serves until the context ends and all that was accepted is answered. A value on reload has the
// settings, in the file at path, read again.
func Run(ctx context.Context, path string, reload <-chan os.Signal, log logr.Logger) error {
	set, err := settings.ReadFile(path)
	if err != nil {
		return err
	}
	workCtx, end := context.WithCancel(context.Background())
	defer end()
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

// stop drains the process: clients are served until their connections end, another replica takes this one's
// place, and the disk is closed.
func (s *Server) stop() error {
	s.Log(events.Stopping)
	s.stopping.Store(true)
	s.loop.post(func() { s.node.Drain(s.now()) })
	if s.listener != nil {
		s.listener.Drain()
	}
	s.awaitHandover()
	s.awaitLeave()
	err := s.transport.Close()
	if s.storage != nil {
		err = trace.NewAggregate(err, s.storage.Close(closeTimeout))
	}
	s.Log(events.Stopped)
	return trace.Wrap(err)
}

// now is the process's clock: it never goes back, and never is 0.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) + time.Hour }

// Log writes an event.
func (s *Server) Log(e events.Event, pairs ...any) {
	s.log.V(e.Level).Info(e.Text, append([]any{"event", e.Number}, pairs...)...)
}

// awaitHandover waits until another replica has taken this one's place in the core, where one is there to.
func (s *Server) awaitHandover() {
	s.await(handoverTimeout, func() bool { return !s.node.HandingOver() })
}

// awaitLeave has the other replicas make a view without this one, so that nothing waits until they miss it.
func (s *Server) awaitLeave() {
	if s.storage == nil {
		return
	}
	s.loop.post(func() { s.node.Leave(s.now()) })
	s.await(leaveTimeout, s.node.Left)
}

// await waits until a condition holds, which is looked at on the loop, and not for longer than the limit.
func (s *Server) await(limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyPollInterval) {
		held := make(chan bool, 1)
		s.loop.post(func() { held <- holds() })
		if <-held {
			return
		}
	}
}

// receive takes a message, from any goroutine.
func (s *Server) receive(from string, m *message.Message) {
	if grant, ok := m.Body.(*message.TokenGrant); ok {
		s.limiter.HandleGrant(s.now(), m.Incarnation, m.RequestID, grant)
		return
	}
	s.loop.post(func() { s.node.Step(s.now(), from, m) })
}

// handleDisconnected and handleRefused take what a connection tells of a peer's process, from any goroutine.
func (s *Server) handleDisconnected(peer string) {
	s.loop.post(func() { s.node.HandleDisconnected(s.now(), peer) })
}

func (s *Server) handleRefused(peer string) {
	s.loop.post(func() { s.node.HandleRefused(s.now(), peer) })
}

// sendToAllocator sends a request of the limiter.
func (s *Server) sendToAllocator(m *message.Message) {
	if to := s.allocator.Load(); to != nil && *to != "" {
		s.transport.Send(*to, m)
	}
}

// isReady reports whether clients should come.
func (s *Server) isReady() bool { return !s.stopping.Load() && s.listener != nil && s.handler.Ready() }

// tick does what is due, and returns for how long nothing will be.
func (s *Server) tick() time.Duration {
	now := s.now()
	next := s.node.Tick(now)
	s.limiter.Tick(now)
	s.connectedHost.Store(s.node.ConnectedHost())
	next = min(next, now+limiterTickInterval)
	epoch, reads := s.node.HoldsRole(now, replica.EndpointReader)
	if reads && !s.discovering && now >= s.nextDiscovery {
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
	if !s.accepting && s.configVersion.Load() > 0 { // the cores are about to take the list
		next = min(next, now+readyPollInterval)
	}
	return next - s.now()
}

// discover reads the list of servers, by a role that this process holds under an epoch.
func (s *Server) discover(from *discovery.Client, epoch uint64) {
	list, err := from.Read(s.workCtx)
	if err != nil {
		s.Log(events.DiscoveryFailed, "error", trace.UserMessage(err))
	}
	ended := s.now()
	s.loop.post(func() {
		s.discovering = false
		s.nextDiscovery = s.now() + discoveryInterval
		if err == nil && s.now() < ended+maxDiscoveryDelay {
			s.node.SetEndpoints(s.now(), epoch, list)
		}
	})
}
