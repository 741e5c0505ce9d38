package server

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/peerauth"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/storage"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/settings"
)

// Tuning is how the gates of services are set for servers of few slots behind many gateways.
var Tuning = choice.Tuning{RetryBudgetRatio: 0.12, RetryBudgetMax: 3, InitialConcurrency: 2,
	FastAnswerRatio: 0.45, SlowAnswerRatio: 0.9, MinConcurrency: 1.5, ShedThreshold: 0.8, LatencyWeight: 0.05,
	QueueWaitRatio: 0.2, ChargeRejected: true}

// Connections to servers.
const (
	dialTimeout        = 200 * time.Millisecond
	keepAlive          = 10 * time.Second // of servers, until they tell
	maxHeldResponse    = 64 << 10         // bytes of a response that is held until it is complete
	maxResponseHeader  = 32 << 10         // bytes
	maxShortResponse   = 64 << 10         // bytes of a body that is read at once
	upstreamFileShare  = 0.35             // of the descriptors
	reservedFiles      = 320              // descriptors for the rest, and those kept for files
	minFiles           = 256
	bodyMemoryShare    = 16        // one in so many bytes of the memory is for long bodies that are passed on
	minBodyMemory      = 16        // MB of memory that are assumed at the least
	minBodyWindow      = 16 << 10  // bytes
	maxBodyWindow      = 128 << 10 // bytes
	memoryLimitTenths  = 6         // of the memory, from which the collector works harder
	collectorTarget    = 100       // percent of growth of the heap
	defaultSyncSeconds = 4         // of the bound sync_s
)

// setRuntimeLimits sets the runtime to the machine's limits: a process has one core at most.
func setRuntimeLimits(set *settings.Settings) {
	runtime.GOMAXPROCS(1)
	if mb := set.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitTenths / 10)
	}
	debug.SetGCPercent(collectorTarget)
}

// open makes all parts. Clients are accepted later, once requests can be served.
func (s *Server) open() error {
	set := s.settings
	self := message.Node{Addr: set.PeerAddr(), Zone: set.Zone}
	saved, firstStart, err := s.openStorage()
	if err != nil {
		return err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	s.limiter = ratelimit.NewLimiter(incarnation, s.limits, s.sendToAllocator, s.logLimiterState)
	s.forwarder = s.newForwarder()
	slowLog := &slowlog.Log{}
	observer, err := s.serveMetrics()
	if err != nil {
		return err
	}
	s.handler = proxy.New(proxy.Options{SlowLog: slowLog, NodeAddr: self.Addr, Zone: set.Zone, Tuning: Tuning,
		Limiter: s.limiter, Clock: s.now, BodyBudget: flow.NewBudget(s.bodyBudget()), NewCore: s.newCore,
		Log: s.Log, Observer: observer})
	s.discovery = discovery.New(set.CloudAPI.Address, direct.Dial)
	s.api = &api.Handler{Cluster: s, Ready: s.isReady, SlowLog: slowLog, ControlPort: controlPort(set),
		Log: s.Log}
	s.node = node.New(s.now(), node.Options{Self: self, Seeds: set.SeedPeerAddrs(), Tolerance: tolerance(set),
		ReplaceAfter: replaceAfter(set), FirstStart: firstStart, Saved: saved, Limits: s.limits,
		Incarnation: incarnation, Actions: (*actions)(s)})
	authentication, err := peerAuthentication(set)
	if err != nil {
		return err
	}
	s.authenticatesPeers = authentication.Authenticator != nil
	s.transport, err = transport.New(transport.Options{Self: self.Addr, Incarnation: incarnation,
		Listen: net.Listen, Dial: (&net.Dialer{}).DialContext, Log: s.Log, Handle: s.receive,
		Disconnected: s.handleDisconnected, Refused: s.handleRefused, Authentication: authentication})
	if err != nil {
		return err
	}
	return s.serveControl()
}

// CheckPeerKeys reads the file of keys that settings name, if they name one, and returns what is wrong.
func CheckPeerKeys(set *settings.Settings) error {
	_, err := peerAuthentication(set)
	return err
}

// peerAuthentication is by what peers are authenticated, as the settings say.
func peerAuthentication(set *settings.Settings) (transport.Authentication, error) {
	if set.PeerAuth.KeyFile == "" {
		return transport.Authentication{}, nil
	}
	keys, err := peerauth.ReadFile(set.PeerAuth.KeyFile)
	if err != nil {
		return transport.Authentication{}, trace.Wrap(err)
	}
	authenticator, err := peerauth.New(keys, set.IPAddress)
	if err != nil {
		return transport.Authentication{}, trace.Wrap(err)
	}
	return transport.Authentication{Authenticator: authenticator, Required: !set.PeerAuth.Optional}, nil
}

// openStorage opens the disk, if there is one. A store that is damaged counts as an empty disk that is not of
// the first start.
func (s *Server) openStorage() (saved *replica.PersistentState, firstStart bool, err error) {
	set := s.settings
	if set.DataDir == "" {
		return nil, set.FreshStart, nil
	}
	store, state, err := storage.Open(set.DataDir)
	if err != nil {
		return nil, false, trace.Wrap(err, "data_dir %s", set.DataDir)
	}
	s.storage = store
	if damage := store.Damaged(); damage != nil {
		s.Log(events.StoreDamaged, "error", damage.Error())
		return &state, false, nil
	}
	return &state, set.FreshStart, nil
}

// newIncarnation draws the number of this process's incarnation: above 0, and of 62 bits, so that sums of it
// fit.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, trace.Wrap(err, "drawing the process's incarnation")
	}
	return max(1, binary.BigEndian.Uint64(random[:])>>2), nil
}

func (s *Server) logLimiterState(state ratelimit.State) {
	if state == ratelimit.StateDisconnected {
		s.Log(events.AllocatorUnreachable)
	} else {
		s.Log(events.AllocatorReachable)
	}
}

func (s *Server) newForwarder() *forward.Forwarder {
	return forward.New(forward.Config{Dial: direct.Dial, DialTimeout: dialTimeout, KeepAlive: keepAlive,
		Connections: int(upstreamFileShare * float64(fileBudget(s.settings))), Hold: maxHeldResponse,
		Limits: http1.Limits{Head: maxResponseHeader, Body: maxShortResponse}, Log: zerolog.Nop(),
		Judge: rejectHTTP1, Streams: rejectAnswer})
}

// rejectHTTP1 judges answers to requests that don't judge their own: there are none.
func rejectHTTP1(*http1.Response) core.Result { return core.Result{Code: choice.Reset} }

// rejectAnswer does the same for streams.
func rejectAnswer(*http.Response) core.Result { return core.Result{Code: choice.Reset} }

// fileBudget is how many descriptors connections may take.
func fileBudget(set *settings.Settings) int {
	return max(minFiles, set.Limits.OpenFiles) - reservedFiles
}

// bodyBudget is that of long bodies: a small part of the memory.
func (s *Server) bodyBudget() flow.Options {
	memory := max(minBodyMemory, s.settings.Limits.MemoryMB) << 20
	return flow.Options{Bytes: memory / bodyMemoryShare, MinWindow: minBodyWindow, Window: maxBodyWindow}
}

func controlPort(set *settings.Settings) string {
	_, port, err := net.SplitHostPort(set.Listen.Control)
	if err != nil { // the process serves no control calls
		return ""
	}
	return port
}

// replaceAfter is for how long a member of the core must be silent before another one takes its place: that
// has to have it within sync_s of its start.
func replaceAfter(set *settings.Settings) time.Duration {
	return time.Duration(set.Bound("sync_s", defaultSyncSeconds) / 2 * float64(time.Second))
}

// tolerance is what may be lost of the core at once.
func tolerance(set *settings.Settings) replica.FaultTolerance {
	survive := set.Survive
	return replica.FaultTolerance{Machines: survive.Machines, Zones: survive.Zones, Regions: survive.Regions,
		RegionOfZone: set.Zones}
}

// newCore starts a service's core.
func (s *Server) newCore(service string, set choice.Settings) (*core.Core, error) {
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: s.forwarder,
		FinishSent: true,
		Log:        func(line string) { s.Log(events.Decision, "service", service, "line", line) }})
	if err != nil {
		return nil, trace.Wrap(err, "core of service %s", service)
	}
	go c.Run(s.workCtx)
	return c, nil
}

func (s *Server) limits(tenant string) ratelimit.Limits { return s.handler.Limits(tenant) }
