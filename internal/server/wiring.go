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

// Tuning holds the load balancing and load shedding parameters of all services. They suit servers that
// process few requests at once, behind many gateways.
var Tuning = choice.Tuning{RetryBudgetRatio: 0.12, RetryBudgetMax: 3, InitialConcurrency: 2,
	FastAnswerRatio: 0.45, SlowAnswerRatio: 0.9, MinConcurrency: 1.5, ShedThreshold: 0.8, LatencyWeight: 0.05,
	QueueWaitRatio: 0.2, ChargeRejected: true}

// Limits of connections to servers, and shares of the machine's memory and file descriptors.
const (
	dialTimeout         = 200 * time.Millisecond
	keepAlive           = 10 * time.Second // assumed idle timeout of servers that do not send theirs
	maxBufferedResponse = 64 << 10         // bytes; longer responses are streamed
	maxResponseHeader   = 32 << 10         // bytes
	maxShortResponse    = 64 << 10         // bytes of a response body that is read at once
	upstreamFileShare   = 0.35             // of fileBudget
	reservedFiles       = 320              // descriptors that are not for connections of clients and to servers
	minFiles            = 256              // descriptors; assumed if the settings give less
	bodyMemoryShare     = 16               // divisor: this part of the memory is for streamed long bodies
	minBodyMemory       = 16               // MB; assumed if the settings give less
	minBodyWindow       = 16 << 10         // bytes
	maxBodyWindow       = 128 << 10        // bytes
	memoryLimitTenths   = 6                // of the memory, in tenths: the soft limit of the Go runtime
	gcPercent           = 100              // heap growth between garbage collections
	defaultSyncSeconds  = 4                // if the bound sync_s is not set
)

// setRuntimeLimits limits the Go runtime to the process's resources: one CPU core, and the memory in the
// settings.
func setRuntimeLimits(set *settings.Settings) {
	runtime.GOMAXPROCS(1)
	if mb := set.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitTenths / 10)
	}
	debug.SetGCPercent(gcPercent)
}

// open creates all parts of the server. Client connections are accepted later, once requests can be served.
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

// CheckPeerKeys reads the peer key file that the settings name, if any, and returns an error if it is
// invalid.
func CheckPeerKeys(set *settings.Settings) error {
	_, err := peerAuthentication(set)
	return err
}

// peerAuthentication returns how peers are authenticated according to the settings: not at all without a key
// file.
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

// openStorage opens the storage, if the settings have a data directory. A damaged store counts as an empty
// one that is not at its first start, so firstStart is false.
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

// newIncarnation returns a random incarnation number for this process. It is greater than 0 and has 62 bits,
// so that sums of incarnation numbers do not overflow.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, trace.Wrap(err, "generating the incarnation number of the process")
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
		Connections: int(upstreamFileShare * float64(fileBudget(s.settings))), Hold: maxBufferedResponse,
		Limits: http1.Limits{Head: maxResponseHeader, Body: maxShortResponse}, Log: zerolog.Nop(),
		Judge: rejectResponse, Streams: rejectStream})
}

// rejectResponse is the fallback for requests that do not judge their own responses. There are no such
// requests.
func rejectResponse(*http1.Response) core.Result { return core.Result{Code: choice.Reset} }

// rejectStream is the same fallback for streamed responses.
func rejectStream(*http.Response) core.Result { return core.Result{Code: choice.Reset} }

// fileBudget returns the number of file descriptors for connections of clients and to servers.
func fileBudget(set *settings.Settings) int {
	return max(minFiles, set.Limits.OpenFiles) - reservedFiles
}

// bodyBudget returns the memory budget of long bodies, a small part of the memory.
func (s *Server) bodyBudget() flow.Options {
	memory := max(minBodyMemory, s.settings.Limits.MemoryMB) << 20
	return flow.Options{Bytes: memory / bodyMemoryShare, MinWindow: minBodyWindow, Window: maxBodyWindow}
}

func controlPort(set *settings.Settings) string {
	_, port, err := net.SplitHostPort(set.Listen.Control)
	if err != nil { // the process serves no control API
		return ""
	}
	return port
}

// replaceAfter returns how long a member of the core must be silent before another node takes its place. It
// is half of sync_s, because the new member must be synchronized within sync_s of its start.
func replaceAfter(set *settings.Settings) time.Duration {
	return time.Duration(set.Bound("sync_s", defaultSyncSeconds) / 2 * float64(time.Second))
}

// tolerance returns the simultaneous failures that the core must survive.
func tolerance(set *settings.Settings) replica.FaultTolerance {
	survive := set.Survive
	return replica.FaultTolerance{Machines: survive.Machines, Zones: survive.Zones, Regions: survive.Regions,
		RegionOfZone: set.Zones}
}

// newCore creates the core of a service, and runs it until workCtx ends.
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
