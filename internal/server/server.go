// Package plant is the outside plant: it gives an office its lines, its disk and its clock, and starts what
// clients, servers and operators reach. All that is decided here is when to start and when to stop.
package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/controlplane/api"
	"dunespoke/internal/controlplane/discovery"
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/storage"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/dataplane/proxy"
	"dunespoke/internal/dataplane/slowlog"
	"dunespoke/internal/events"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/ratelimit"
	"dunespoke/internal/routing"
	"dunespoke/internal/settings"
)

// Tuning is how the gates of services are set for servers of few slots behind many ingresses.
var Tuning = choice.Tuning{RetryShare: 0.12, RetrySave: 3, LimitStart: 2, Roomy: 0.45, Tight: 0.9,
	LevelLeast: 1.5, ShedFrom: 0.8, PartW: 0.05, WaitPart: 0.2, Strict: true}

// Times and bounds of a process.
const (
	// between readings of the list of servers: each page has its price
	discoveryInterval = 850 * time.Millisecond
	// a list that waited for so long to be told was held up with the process
	maxDiscoveryDelay   = time.Second
	readyPollInterval   = 5 * time.Millisecond   // between looks whether clients can be taken
	limiterTickInterval = 100 * time.Millisecond // between looks at what waits for tokens
	// after SIGTERM: two checks of the platform and a connection on its way
	acceptAfterTerm       = 2300 * time.Millisecond
	settingsPollInterval  = time.Second            // between looks at the settings file
	dialTimeout           = 200 * time.Millisecond // to a server
	keepAlive             = 10 * time.Second       // of servers, until they tell
	upstreamFileShare     = 0.35                   // of the descriptors, for connections to servers
	reservedFiles         = 320                    // descriptors for the rest, and those kept for files
	maxControlConnections = 96                     // connections of operators and checks
	handoverTimeout       = time.Second            // for a successor in the core, at the end
	closeTimeout          = 500 * time.Millisecond // for the disk, at the end
	maxHeldResponse       = 64 << 10               // bytes of an answer that is held until it is whole
)

// Server is a running process.
type Server struct {
	path          string
	settings      *settings.Settings
	log           logr.Logger
	loop          *eventLoop
	start         time.Time
	node          *node.Node
	transport     *transport.Transport
	storage       *storage.Storage
	handler       *proxy.Handler
	limiter       *ratelimit.Limiter
	api           *api.Handler
	discovery     *discovery.Client
	listener      *accept.Server
	forward       *forward.Forwarder
	workCtx       context.Context
	stopping      atomic.Bool
	discovering   bool // the list is being read
	nextDiscovery time.Duration
	allocator     atomic.Pointer[string] // who keeps the tolls
	configVersion atomic.Uint64          // the version in force
	connectedHost atomic.Pointer[string] // the host of the machine that is asked for news
	nodeCount     int
	endpointCount int
	epoch         uint64
	chain         []string
	accepting     bool
}

// Run serves until the context ends and all that was taken is answered.
func Run(ctx context.Context, path string, reload <-chan os.Signal, log logr.Logger) error {
	set, err := settings.ReadFile(path)
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	p := &Server{
		path:     path,
		settings: set,
		log:      log.WithValues("node", set.NodeName),
		loop:     newEventLoop(),
		start:    time.Now(),
		workCtx:  work,
	}
	p.setRuntimeLimits()
	if err := p.open(); err != nil {
		return err
	}
	go p.loop.run(work, p.tick)
	p.Log(events.Started, "zone", set.Zone, "disk", set.DataDir != "", "first", set.FreshStart)
	p.watchSettings(ctx, reload)
	p.Log(events.Stopping)
	p.stopping.Store(true)
	p.loop.post(func() { p.node.Drain(p.now()) })
	if p.listener != nil {
		p.listener.Drain()
	}
	p.waitHandover()
	p.transport.Close()
	if p.storage != nil {
		err = p.storage.Close(closeTimeout)
	}
	p.Log(events.Stopped)
	return trace.Wrap(err)
}

// now is the process's clock: it never goes back.
func (p *Server) now() time.Duration { return time.Since(p.start) + time.Hour }

// Log writes an event.
func (p *Server) Log(e events.Event, pairs ...any) {
	p.log.V(e.Level).Info(e.Text, append([]any{"event", e.Number}, pairs...)...)
}

// waitHandover waits until another machine has taken this one's place in the core, where one is there to.
func (p *Server) waitHandover() {
	for end := time.Now().Add(handoverTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		hands := make(chan bool, 1)
		p.loop.post(func() { hands <- p.node.HandingOver() })
		if !<-hands {
			return
		}
	}
}

// replaceAfter is for how long a machine of the core must be silent before another one takes its place: that
// has to have it within sync_s of its start.
func (p *Server) replaceAfter() time.Duration {
	return time.Duration(p.settings.Bound("sync_s", 4) / 2 * float64(time.Second))
}

// tolerance is what may be lost of the core at once.
func (p *Server) tolerance() replica.FaultTolerance {
	s := p.settings.Survive
	return replica.FaultTolerance{
		Machines:     s.Machines,
		Zones:        s.Zones,
		Regions:      s.Regions,
		RegionOfZone: p.settings.Zones,
	}
}

func (p *Server) setRuntimeLimits() {
	runtime.GOMAXPROCS(1)
	if mb := p.settings.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 6 / 10)
	}
	debug.SetGCPercent(100)
}

// open makes all parts.
func (p *Server) open() error {
	self := message.Node{Addr: p.settings.PeerAddr(), Zone: p.settings.Zone}
	var disk *replica.PersistentState
	first := p.settings.FreshStart
	if p.settings.DataDir != "" {
		v, record, err := storage.Open(p.settings.DataDir)
		if err != nil {
			return trace.Wrap(err, "data_dir %s", p.settings.DataDir)
		}
		p.storage, disk = v, &record
		if err := v.Damaged(); err != nil {
			p.Log(events.StoreDamaged, "error", err.Error())
			first = false
		}
	}
	p.forward = forward.New(forward.Config{Dial: direct.Dial, DialTimeout: dialTimeout, KeepAlive: keepAlive,
		Connections: int(upstreamFileShare * float64(p.fileBudget())), Hold: maxHeldResponse,
		Limits: http1.Limits{Head: 32 << 10, Body: 64 << 10}, Log: zerolog.Nop(),
		Judge:   func(*http1.Response) core.Result { return core.Result{Code: choice.Reset} },
		Streams: rejectAnswer})
	var random [8]byte
	rand.Read(random[:])
	life := max(1, binary.BigEndian.Uint64(random[:])>>2)
	p.limiter = ratelimit.NewLimiter(life, p.limits, p.sendToAllocator, func(s ratelimit.State) {
		if s == ratelimit.StateDisconnected {
			p.Log(events.AllocatorUnreachable)
		} else {
			p.Log(events.AllocatorReachable)
		}
	})
	board := &slowlog.Log{}
	p.handler = proxy.New(
		proxy.Options{SlowLog: board, NodeAddr: self.Addr, Zone: p.settings.Zone, Tuning: Tuning,
			Limiter:    p.limiter,
			Clock:      p.now,
			BodyBudget: flow.NewBudget(p.bodyBudget()), NewCore: p.newCore, Log: p.Log},
	)
	p.discovery = discovery.New(p.settings.CloudAPI.Address, direct.Dial)
	_, port, _ := net.SplitHostPort(p.settings.Listen.Control)
	p.api = &api.Handler{Cluster: p, Ready: p.isReady, SlowLog: board, ControlPort: port, Log: p.Log}
	p.node = node.New(p.now(), node.Options{Self: self, Seeds: p.settings.SeedPeerAddrs(),
		Tolerance: p.tolerance(), ReplaceAfter: p.replaceAfter(), FirstStart: first, Saved: disk,
		Limits: p.limits, Incarnation: life, Actions: (*actions)(p)})
	var err error
	p.transport, err = transport.New(transport.Options{Self: self.Addr, Incarnation: life, Listen: net.Listen,
		Dial: (&net.Dialer{}).DialContext, Log: p.Log, Handle: p.receive})
	if err != nil {
		return err
	}
	for _, addr := range []string{p.settings.Listen.Ready, p.settings.Listen.Control} {
		if err := p.serveControl(addr); err != nil {
			return err
		}
	}
	return nil
}

func (p *Server) fileBudget() int { return max(256, p.settings.Limits.OpenFiles) - reservedFiles }

// bodyBudget is that of long bodies: a small part of the memory.
func (p *Server) bodyBudget() flow.Options {
	return flow.Options{
		Bytes:  max(16, p.settings.Limits.MemoryMB) << 20 / 16,
		Least:  16 << 10,
		Window: 128 << 10,
	}
}

// serveControl takes calls at an address.
func (p *Server) serveControl(addr string) error {
	if addr == "" {
		return nil
	}
	l, err := direct.Listen("tcp", addr)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s := accept.New(l, p.api, maxControlConnections, zerolog.Nop())
	s.Bound(http1.Limits{Head: 16 << 10, Body: message.MaxFrameSize - 64<<10})
	go s.Serve()
	return nil
}

// newCore starts a service's core.
func (p *Server) newCore(service string, set choice.Settings) (*core.Core, error) {
	seed := uint64(time.Now().UnixNano())
	c, err := core.New(core.Config{Settings: set, Seed: seed, Upstream: p.forward,
		Log: func(line string) { p.Log(events.Decision, "service", service, "line", line) }})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go c.Run(p.workCtx)
	return c, nil
}

func (p *Server) limits(tenant string) ratelimit.Limits { return p.handler.Limits(tenant) }

// sendToAllocator sends a question of the meter to who keeps the tolls.
func (p *Server) sendToAllocator(m *message.Message) {
	if to := p.allocator.Load(); to != nil && *to != "" {
		p.transport.Send(*to, m)
	}
}

// receive takes a message, from any goroutine.
func (p *Server) receive(from string, m *message.Message) {
	if m.Type == message.TypeTokenGrant {
		p.limiter.HandleGrant(p.now(), m)
		return
	}
	p.loop.post(func() { p.node.Step(p.now(), from, m) })
}

// isReady reports whether clients should come.
func (p *Server) isReady() bool { return !p.stopping.Load() && p.listener != nil && p.handler.Ready() }

// tick does what is due.
func (p *Server) tick() time.Duration {
	now := p.now()
	next := p.node.Tick(now)
	p.limiter.Tick(now)
	p.connectedHost.Store(p.node.ConnectedHost())
	next = min(next, now+limiterTickInterval)
	if epoch, ok := p.node.HoldsRole(
		now,
		replica.EndpointReader,
	); ok && !p.discovering &&
		now >= p.nextDiscovery {
		p.discovering = true
		go p.discover(p.discovery, epoch)
	}
	if !p.accepting && p.handler.Ready() {
		p.accepting = true
		if err := p.acceptClients(); err != nil {
			p.Log(events.Failed, "error", err.Error())
			os.Exit(1)
		}
	}
	if !p.accepting && p.configVersion.Load() > 0 { // the cores are about to take the list
		next = min(next, now+readyPollInterval)
	}
	return next - p.now()
}

// discover reads the list of servers, by a duty that this machine holds under an epoch.
func (p *Server) discover(reader *discovery.Client, epoch uint64) {
	list, err := reader.Read(p.workCtx)
	if err != nil {
		p.Log(events.DiscoveryFailed, "error", trace.UserMessage(err))
	}
	ended := p.now()
	p.loop.post(func() {
		p.discovering = false
		p.nextDiscovery = p.now() + discoveryInterval
		if err == nil && p.now() < ended+maxDiscoveryDelay {
			p.node.SetEndpoints(p.now(), epoch, list)
		}
	})
}

// acceptClients takes clients, once requests can be served.
func (p *Server) acceptClients() error {
	if p.settings.Listen.Front == "" {
		return nil
	}
	l, err := direct.Listen("tcp", p.settings.Listen.Front)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	limits := p.handler.ClientLimits()
	clients := accept.NewStreams(
		l,
		p.handler,
		p.fileBudget()-int(upstreamFileShare*float64(p.fileBudget())),
		accept.Streams{
			Head:     limits.MaxHeaderBytes,
			Promises: true,
			Short:    64 << 10,
			Wait:     limits.HeaderTimeout,
			Idle:     limits.IdleTimeout,
			Accept:   acceptAfterTerm,
			Life:     time.Duration(p.settings.Bound("grace_period_s", 6) * float64(time.Second)),
			Store:    flow.NewStore(max(16, p.settings.Limits.MemoryMB) << 20 / 8),
			Rest:     flow.Pace{Least: 32 << 10, Grace: 3 * time.Second},
		},
		zerolog.Nop(),
	)
	p.listener = clients
	go clients.Serve()
	p.Log(events.Ready)
	return nil
}

// watchSettings waits for the end, and reads the settings again when they change.
func (p *Server) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	look := time.NewTicker(settingsPollInterval)
	defer look.Stop()
	seen := fileVersion(p.path)
	for {
		force := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			force = true
		case <-look.C:
		}
		if at := fileVersion(p.path); force || at != seen {
			seen = at
			p.reloadSettings()
		}
	}
}

// fileVersion tells one state of a file from another.
func fileVersion(path string) (s [2]int64) {
	if info, err := os.Stat(path); err == nil {
		s = [2]int64{info.ModTime().UnixNano(), info.Size()}
	}
	return s
}

// reloadSettings reads the settings again. Addresses of the platform and seeds are taken; all else needs a
// start.
func (p *Server) reloadSettings() {
	set, err := settings.ReadFile(p.path)
	if err != nil {
		p.Log(events.SettingsInvalid, "error", trace.UserMessage(err))
		return
	}
	p.loop.post(func() {
		if set.CloudAPI.Address != p.settings.CloudAPI.Address {
			p.discovery = discovery.New(set.CloudAPI.Address, direct.Dial)
		}
		p.node.SetSeeds(set.SeedPeerAddrs())
		p.settings.CloudAPI = set.CloudAPI
		p.Log(events.Settings)
	})
}

// Put hands a configuration to the core.
func (p *Server) Put(version uint64, config []byte, done func(*message.Message)) {
	config = slices.Clone(config)
	p.loop.post(func() { p.node.Put(p.now(), version, config, done) })
}

// Read asks for the newest configuration.
func (p *Server) Read(done func(version uint64, config []byte)) {
	p.loop.post(func() { p.node.Read(p.now(), done) })
}

// ChangeMembers has the core change its members, or tell them.
func (p *Server) ChangeMembers(add, remove string, done func(*message.Message)) {
	p.loop.post(func() { p.node.ChangeMembers(p.now(), add, remove, done) })
}

// NearestReplica is the host of the machine of the core that this one asks for news, if that is another.
func (p *Server) NearestReplica() string {
	if at := p.connectedHost.Load(); at != nil && p.storage == nil {
		return *at
	}
	return ""
}

// Status tells how this machine sees the exchange.
func (p *Server) Status(done func(api.NodeStatus)) {
	p.loop.post(func() {
		v := api.NodeStatus{
			Node:    p.settings.NodeName,
			Zone:    p.settings.Zone,
			Version: fmt.Sprintf("r%d", p.configVersion.Load()),
			Servers: p.endpointCount,
			Members: p.nodeCount,
			Epoch:   p.epoch,
			Chain:   p.chain,
		}
		if at := p.node.ConnectedHost(); at != nil {
			v.ConnectedTo = *at
		}
		if f := p.node.Replica(); f != nil {
			c := &api.ReplicaStatus{
				State:             f.State().String(),
				Serves:            f.ServingWithQuorum(),
				CaughtUp:          f.PersistentState().CaughtUp,
				DiskUnhealthy:     f.DiskUnhealthy(),
				Version:           f.PersistentState().Version,
				Reachable:         f.ReachableMembers(),
				MembershipEpoch:   f.PersistentState().MembershipEpoch,
				ToleratedFailures: f.ToleratedFailures(),
				ToleranceGap:      f.ToleranceGap(),
			}
			for _, m := range f.PersistentState().Members {
				c.Members = append(c.Members, m.Addr)
			}
			for _, d := range []replica.Role{replica.EndpointReader, replica.QuotaAllocator} {
				if _, ok := f.HoldsRole(p.now(), d); ok {
					c.Roles = append(c.Roles, d.String())
				}
			}
			v.Replica = c
		}
		done(v)
	})
}

// actions is what an office sees of the plant. Its methods are called on the loop.
type actions Server

func (a *actions) plant() *Server { return (*Server)(a) }

func (a *actions) Send(to string, m *message.Message) { a.transport.Send(to, m) }

func (a *actions) Log(e events.Event, pairs ...any) { a.plant().Log(e, pairs...) }

func (a *actions) Save(token uint64, r replica.PersistentState) {
	p := a.plant()
	p.storage.Save(r, func(ok bool) {
		p.loop.post(func() { p.node.HandleSaved(p.now(), token, ok) })
	})
}

func (a *actions) Config(version uint64, config []byte) {
	p := a.plant()
	d, err := routing.Parse(config)
	if err != nil {
		p.Log(events.ConfigUnreadable, "version", version, "error", trace.UserMessage(err))
		return
	}
	p.handler.SetConfig(d)
	p.configVersion.Store(version)
	p.Log(events.ConfigApplied, "config", d.String())
}

func (a *actions) Servers(list []message.Endpoint) {
	a.endpointCount = len(list)
	a.plant().handler.SetEndpoints(list)
	a.plant().Log(events.EndpointsChanged, "servers", len(list))
}

func (a *actions) Members(list []message.Node) {
	a.nodeCount = len(list)
	a.handler.SetNodes(list)
	a.limiter.SetAllocator(a.epoch, a.nodeCount)
}

func (a *actions) View(epoch uint64, chain []string) {
	holder := replica.RoleHolder(chain, replica.QuotaAllocator)
	a.epoch, a.chain = epoch, chain
	a.allocator.Store(&holder)
	a.limiter.SetAllocator(epoch, a.nodeCount)
}
