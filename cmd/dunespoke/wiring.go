package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/agentcheck"
	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/front/introspect"
	"dunespoke/front/platform"
	"dunespoke/internal/config"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/counter"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/net/discovery"
	"dunespoke/internal/net/forward"
)

// program is the parts of a running ingress.
type program struct {
	log     zerolog.Logger
	listen  func(network, addr string) (net.Listener, error)
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	work    context.Context // ends when all that was taken is answered
	servers []*accept.Server
	cores   []*core.Core
	failed  chan error
	stops   atomic.Bool // told to stop

	conf     *config.Platform // as last read; nil without the platform
	watcher  *discovery.Watcher
	counters []mover // of the platform's counter
}

// mover is what goes by an address that a new configuration may change.
type mover interface{ Move(addr string) }

// run serves until the context ends and what was taken is answered. On each reload it reads the platform's
// configuration again.
func run(ctx context.Context, reload <-chan os.Signal, getenv func(string) string, log zerolog.Logger) error {
	work, end := context.WithCancel(context.Background())
	defer end()
	p := &program{log: log, listen: direct.Listen, dial: direct.Dial, work: work,
		failed: make(chan error, 4)}
	var operator config.Operator
	if path := getenv("DUNESPOKE_OPERATOR"); path != "" {
		o, err := config.ReadOperator(path, getenv)
		if err != nil {
			return err
		}
		operator = *o
	}
	var conf *config.Platform
	if getenv("LB_CONFIG") != "" || operator.Introspection.Listen == "" {
		var err error
		if conf, err = config.ReadPlatform(getenv); err != nil {
			return err
		}
		p.log = log.With().Str("ingress", conf.Name).Logger()
	}
	if err := p.start(conf, operator); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case err := <-p.failed:
			return err
		case <-reload:
			p.reload(config.ReadPlatform(getenv))
		case <-ctx.Done():
		}
	}
	p.log.Info().Str("code", "draining").Msg("told to stop")
	p.drain()
	p.log.Info().Str("code", "stopped").Msg("all that was taken is answered")
	return nil
}

// reload takes the platform's configuration as read again, or the error of that, and goes on at the addresses
// of discovery and the counter that it names. A file that can't be used changes nothing. All that is kept or
// under way stays as it is.
func (p *program) reload(conf *config.Platform, err error) {
	if p.conf == nil {
		p.log.Warn().Str("code", "reload-failed").Msg("there is no platform's configuration to read")
		return
	}
	if err != nil {
		p.log.Warn().Str("code", "reload-failed").Err(err).Msg("the configuration stays as it was")
		return
	}
	if kept := p.conf.Kept(conf); len(kept) > 0 {
		p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", kept).Msg("changed, and not taken")
	}
	p.conf.Discovery, p.conf.Counter = conf.Discovery, conf.Counter
	p.watcher.Move(conf.Discovery)
	for _, c := range p.counters {
		if conf.Counter != "" {
			c.Move(conf.Counter)
		}
	}
	p.log.Info().Str("code", "reloaded").Str("discovery", conf.Discovery).Str("counter", conf.Counter).
		Msg("configuration read again")
}

// start sets all parts going.
func (p *program) start(conf *config.Platform, operator config.Operator) error {
	p.conf = conf
	var limits config.Limits
	if conf != nil {
		limits = conf.Limits
	}
	asks := operator.Introspection.On()
	share := bound(limits, conf != nil, asks)
	var bearer platform.Guard
	if asks {
		front, err := p.questions(&operator.Introspection, conf, share)
		if err != nil {
			return err
		}
		if plan := operator.Introspection.Bearer.Plan; plan != "" {
			bearer = &introspect.Bearer{Front: front, Plan: plan}
		}
	}
	if conf != nil {
		if err := p.platform(conf, bearer, share); err != nil {
			return err
		}
	}
	return p.agent(operator.Agent)
}

// stall is how long an app server's answer may stand still once it has begun. Slow lines bring one in many
// pieces; one of which nothing more comes would hold its request until the deadline, for nothing.
const stall = 500 * time.Millisecond

// answerLimits bound app servers' answers. Some hold more than the 64 KiB of the protocol; what a program of
// little memory can hold of them, with all connections in use, is less than one of much.
func answerLimits(l config.Limits) http1.Limits {
	limits := http1.DefaultLimits
	limits.Body = max(limits.Body, int(min(max(l.MemoryMB, 0)<<13, 1<<20)))
	return limits
}

// platform starts the platform's front and all that stands behind it.
func (p *program) platform(conf *config.Platform, guard platform.Guard, share sockets) error {
	var known discovery.List
	if len(conf.Known) > 0 {
		if err := json.Unmarshal(conf.Known, &known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	c, err := p.core(conf.Settings, uint64(conf.Seed), conf.Counter, forward.Config{
		DialTimeout: conf.Settings.DialTimeout, KeepAlive: conf.KeepAlive, Connections: share.servers,
		Stall: stall, Judge: platform.Judge, Limits: answerLimits(conf.Limits)})
	if err != nil {
		return err
	}
	p.watcher = discovery.NewWatcher(conf.Discovery, c.Servers, p.dial, p.log)
	go p.watcher.Run(p.work, known)
	return p.serve(conf.Listen, platform.New(c, conf.Settings, p.draining, guard), share.clients)
}

// questions starts the front for token introspection.
func (p *program) questions(n *config.Introspection, conf *config.Platform, share sockets) (*introspect.Front,
	error) {
	quota := n.Counter
	if quota == "" && conf != nil {
		quota = conf.Counter
	}
	class := introspect.Class(time.Duration(n.Aim), time.Duration(n.Patience))
	settings := n.Settings(class, quota != "")
	if conf != nil {
		settings.Gateways = conf.Settings.Gateways
	}
	c, err := p.core(settings, uint64(time.Now().UnixNano()), quota, forward.Config{
		DialTimeout: settings.DialTimeout, KeepAlive: time.Duration(n.Service.KeepAlive),
		Connections: share.servers, Judge: introspect.Judge})
	if err != nil {
		return nil, err
	}
	services := make([]core.Server, 0, len(n.Service.Servers))
	for _, addr := range n.Service.Servers {
		services = append(services, core.Server{Name: addr, Addr: addr, State: choice.Live})
	}
	c.Servers(true, services)
	options := introspect.Options{Core: c, Path: n.Path, Patience: time.Duration(n.Patience),
		Gateways: settings.Gateways, CacheFor: time.Duration(n.CacheFor), Draining: p.draining,
		Service: introspect.Service{Path: n.Service.Path, ClientID: n.Service.ClientID, Secret: n.Service.Secret}}
	for _, k := range n.Clients {
		options.Clients = append(options.Clients, introspect.Client{ID: k.ID, Secret: k.Secret, Plan: k.Plan})
	}
	front := introspect.New(options)
	if n.Listen == "" {
		return front, nil
	}
	return front, p.serve(n.Listen, front, share.clients)
}

// core starts a core with its upstream and its counter.
func (p *program) core(set choice.Settings, seed uint64, quota string, up forward.Config) (*core.Core,
	error) {
	var count core.Counter
	if quota != "" {
		client := counter.New(quota, set.CounterTimeout, p.dial, p.log)
		if p.conf != nil && quota == p.conf.Counter {
			p.counters = append(p.counters, client)
		}
		count = client
	}
	up.Dial, up.Log = p.dial, p.log
	c, err := core.New(core.Config{Settings: set, Seed: seed, Upstream: forward.New(up), Counter: count,
		Log: func(line string) { p.log.Warn().Str("code", "decision").Msg(line) }})
	if err != nil {
		return nil, err
	}
	go c.Run(p.work)
	p.cores = append(p.cores, c)
	return c, nil
}

// serve takes a front's clients.
func (p *program) serve(addr string, h accept.Handler, clients int) error {
	l, err := p.listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	s := accept.New(l, h, clients, p.log)
	p.servers = append(p.servers, s)
	go func() { p.failed <- s.Serve() }()
	p.log.Info().Str("code", "started").Str("listen", addr).Int("clients", clients).Msg("serving")
	return nil
}

// agent starts what balancers ask.
func (p *program) agent(a config.Agent) error {
	if a.Listen != "" {
		l, err := p.listen("tcp", a.Listen)
		if err != nil {
			return fmt.Errorf("listening for agent checks: %w", err)
		}
		go func() { p.failed <- agentcheck.Serve(p.work, l, p.report) }()
	}
	if a.Health != "" {
		l, err := p.listen("tcp", a.Health)
		if err != nil {
			return fmt.Errorf("listening for health checks: %w", err)
		}
		mux := http.NewServeMux()
		mux.Handle("/health", agentcheck.Health(p.report))
		mux.Handle("/ready", agentcheck.Ready(p.report))
		s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second} // a side door, not the data path
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- fmt.Errorf("health checks: %w", err)
			}
		}()
		context.AfterFunc(p.work, func() { s.Close() })
	}
	return nil
}

// report is what balancers are told. The weight is the part of the connections that is free.
func (p *program) report() agentcheck.Report {
	if p.draining() {
		return agentcheck.Report{State: agentcheck.Draining}
	}
	weight := 100
	for _, c := range p.cores {
		if !c.Ready() {
			return agentcheck.Report{State: agentcheck.Down}
		}
	}
	for _, s := range p.servers {
		weight = min(weight, s.Free())
	}
	return agentcheck.Report{State: agentcheck.Up, Weight: weight}
}

func (p *program) draining() bool { return p.stops.Load() }

// drain ends all fronts at once and waits for the last answer.
func (p *program) drain() {
	p.stops.Store(true)
	done := make(chan struct{})
	for _, s := range p.servers {
		go func() {
			s.Drain()
			done <- struct{}{}
		}()
	}
	for range p.servers {
		<-done
	}
}

// Of the sockets an ingress may hold, some are set aside for the counter, discovery, listeners, checks and
// the runtime, and a part of the rest is for connections to servers.
const (
	setAside    = 48
	serversPart = 0.3
)

// sockets is how many connections each front may hold to either side.
type sockets struct{ clients, servers int }

// bound keeps the program within its limits, and splits the sockets between the fronts.
func bound(l config.Limits, platform, questions bool) sockets {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
		debug.SetGCPercent(400) // collect seldom while far under the limit
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	free := 1024 - setAside
	if l.Sockets > 0 {
		free = l.Sockets - setAside
	}
	if platform && questions {
		free /= 2
	}
	servers := max(1, int(serversPart*float64(free)))
	return sockets{max(1, free-servers), servers}
}
