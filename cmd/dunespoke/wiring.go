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
	"dunespoke/fleet/node"
	"dunespoke/front/gateway"
	"dunespoke/front/platform"
	"dunespoke/internal/config"
	"dunespoke/internal/flow"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/counter"
	"dunespoke/internal/net/direct"
	"dunespoke/internal/net/discovery"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/net/secure"
)

// program is a running ingress with all its components.
type program struct {
	log          zerolog.Logger
	listen       func(network, addr string) (net.Listener, error)
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	work         context.Context // canceled when all accepted requests are answered
	servers      []*accept.Server
	ready        []func() bool // readiness of each front
	failed       chan error
	stopping     atomic.Bool // the process is stopping
	isolated     atomic.Bool // set by the fleet while this ingress reaches no server
	leaveOrdered atomic.Bool // set by the call LEAVE, cleared by JOIN

	conf             *config.Platform // the platform's configuration in use; nil without the platform
	platformCore     *core.Core       // core of the platform front; nil without the platform
	discoveryWatcher *discovery.Watcher
	counters         []mover // clients of the platform's counter

	introspection  *introspection // nil without the front for token introspection
	gatewayFront   *gatewayFront  // nil without the general HTTP front
	attemptWatcher core.Watcher   // observes attempts for the fleet; nil without a fleet

	fleet       *node.Node // nil without a fleet
	cancelFleet func()     // leaves the fleet; nil without one
	guarded     bool       // the platform front has a guard that can check bearer tokens
}

// mover is a component whose remote address a configuration reload can change.
type mover interface{ Move(addr string) }

// run serves until ctx is canceled and all accepted requests are answered, or until a component fails. On
// each signal from reload it reads the platform's configuration and the operator file again.
func run(ctx context.Context, reload <-chan os.Signal, getenv func(string) string, log zerolog.Logger) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
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
	if getenv("LB_CONFIG") != "" || operator.Introspection.Listen == "" && !operator.Gateway.On() {
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
			p.reloadAll(getenv)
		case <-ctx.Done():
		}
	}
	p.log.Info().Str("code", "draining").Msg("stopping; waiting for accepted requests")
	p.leaveFleet()
	p.drain()
	p.log.Info().Str("code", "stopped").Msg("all accepted requests are answered")
	return nil
}

// reloadAll reloads the configuration files that the program was started with.
func (p *program) reloadAll(getenv func(string) string) {
	if p.conf != nil {
		p.reloadPlatform(config.ReadPlatform(getenv))
	}
	if path := getenv("DUNESPOKE_OPERATOR"); path != "" {
		p.reloadOperator(config.ReadOperator(path, getenv))
	}
}

// reloadOperator applies a newly read operator file and logs the result. err is the error of reading the
// file; if it is set, nothing changes.
func (p *program) reloadOperator(o *config.Operator, err error) {
	if err == nil {
		err = p.applyOperator(o)
	}
	switch {
	case err != nil:
		p.log.Warn().Str("code", "reload-failed").Err(err).
			Msg("cannot apply the operator file; keeping the previous settings")
	case p.introspection == nil && p.gatewayFront == nil && p.fleet == nil:
		p.log.Warn().Str("code", "reload-needs-restart").Msg("no active part of the operator file can be reloaded")
	default:
		p.log.Info().Str("code", "reloaded").Int("issuers", len(o.Introspection.Issuers)).
			Int("clients", len(o.Introspection.Clients)).Int("routes", len(o.Gateway.Routes)).
			Msg("operator file reloaded")
	}
}

// errGatewayOff is returned for a reloaded operator file that disables the running gateway.
var errGatewayOff = errors.New("the file disables the running gateway, which needs a restart")

// applyOperator applies a reloaded operator file. If the gateway or introspection part is invalid, it changes
// nothing.
func (p *program) applyOperator(o *config.Operator) error {
	var plan *gateway.Plan
	var pools map[string]*pool
	if t := p.gatewayFront; t != nil {
		if !o.Gateway.On() {
			return errGatewayOff
		}
		var err error
		if plan, pools, err = t.buildPlan(&o.Gateway); err != nil {
			return err
		}
	}
	if p.introspection != nil {
		if err := p.introspection.reload(&o.Introspection); err != nil {
			if p.gatewayFront != nil {
				p.gatewayFront.release(pools, p.gatewayFront.pools.Load(), 0)
			}
			return err
		}
	}
	if p.gatewayFront != nil {
		p.gatewayFront.apply(&o.Gateway, plan, pools)
	}
	if p.fleet != nil && o.Fleet.On() {
		return p.fleet.Keys(o.Fleet.Ring)
	}
	return nil
}

// reloadPlatform applies the addresses of discovery and the counter from a newly read platform configuration;
// other changes need a restart. If err, the error of reading it, is set, nothing changes. Kept state and
// requests in flight aren't affected.
func (p *program) reloadPlatform(conf *config.Platform, err error) {
	if err != nil {
		p.log.Warn().Str("code", "reload-failed").Err(err).
			Msg("cannot read the configuration; keeping the previous one")
		return
	}
	if unapplied := p.conf.Kept(conf); len(unapplied) > 0 {
		p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", unapplied).
			Msg("changed settings need a restart; keeping the previous values")
	}
	p.conf.Discovery, p.conf.Counter = conf.Discovery, conf.Counter
	p.discoveryWatcher.Move(conf.Discovery)
	for _, c := range p.counters {
		if conf.Counter != "" {
			c.Move(conf.Counter)
		}
	}
	p.log.Info().Str("code", "reloaded").Str("discovery", conf.Discovery).Str("counter", conf.Counter).
		Msg("configuration reloaded")
}

// start starts all components. conf is nil without the platform.
func (p *program) start(conf *config.Platform, operator config.Operator) error {
	p.conf = conf
	var limits config.Limits
	if conf != nil {
		limits = conf.Limits
	}
	introspects := operator.Introspection.On()
	if conf == nil && operator.Gateway.On() {
		limits.Sockets = operator.Gateway.Sockets
	}
	fronts := 0
	for _, on := range []bool{conf != nil, introspects, operator.Gateway.On()} {
		if on {
			fronts++
		}
	}
	share := applyLimits(limits, max(1, fronts))
	var guard platform.Guard
	if introspects {
		q, err := p.startIntrospection(&operator.Introspection, share)
		if err != nil {
			return err
		}
		p.introspection = q
		if conf != nil {
			guard, p.guarded = q.platformGuard(), true
		}
	}
	fleetAttempts := &fleetWatcher{}
	if operator.Fleet.On() {
		p.attemptWatcher = fleetAttempts
	}
	if conf != nil {
		if err := p.startPlatform(conf, guard, share); err != nil {
			return err
		}
	}
	if operator.Gateway.On() {
		t, err := p.startGateway(&operator.Gateway, share)
		if err != nil {
			return err
		}
		p.gatewayFront = t
	}
	if err := p.startHealthEndpoints(operator.Agent); err != nil {
		return err
	}
	if operator.Fleet.On() {
		if err := p.startFleet(&operator.Fleet); err != nil {
			return err
		}
		fleetAttempts.Store(p.fleet)
	}
	if conf != nil && conf.Mgmt != "" {
		return p.startMgmt(conf.Mgmt)
	}
	return nil
}

// responseStallTimeout limits the pause within an app server's response once it has begun. Slow connections
// deliver a response in many pieces; without the limit a response that has stopped would keep its request
// until the deadline in vain.
const responseStallTimeout = 500 * time.Millisecond

// maxBufferedResponse is the maximum length in bytes of an app server's response that is buffered until it is
// complete, so that the request can be retried if the response breaks off. Longer responses are streamed.
const maxBufferedResponse = 64 << 10

// Shares of the memory limit for bodies on the platform front: for bodies that are stored until they are
// complete, and for streamed bodies in both directions.
const (
	bodyStoreShare = 0.25
	transfersShare = 0.125
)

// memoryBytes returns the memory limit in bytes, which is 256 MiB if none is configured.
func memoryBytes(l config.Limits) float64 {
	if l.MemoryMB <= 0 {
		return 256 << 20
	}
	return float64(l.MemoryMB << 20)
}

// After SIGTERM the platform waits for the longest deadline, counted as 3 s at most, plus 0.7 s, and then
// kills the process. killDelay leaves 0.1 s of that for a signal that arrives late.
const (
	maxDeadline = 3 * time.Second
	killDelay   = 600 * time.Millisecond
)

// drainLifetime returns how long the process can run after the signal to stop.
func drainLifetime(set choice.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDeadline) + killDelay
}

// transferOptions limits the memory of streamed bodies.
func transferOptions(l config.Limits) flow.Options {
	return flow.Options{Bytes: int(transfersShare * memoryBytes(l)), Window: 128 << 10, MinWindow: 16 << 10}
}

// startPlatform starts the platform front with its core and the discovery watcher.
func (p *program) startPlatform(conf *config.Platform, guard platform.Guard, share sockets) error {
	var known discovery.List
	if len(conf.Known) > 0 {
		if err := json.Unmarshal(conf.Known, &known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	judge := platform.ResponseClassifier{LoadFields: conf.Reports, MaxUnits: conf.Settings.MaxUnits}
	c, err := p.startCore(conf.Settings, uint64(conf.Seed), conf.Counter, forward.Config{
		DialTimeout: conf.Settings.DialTimeout, KeepAlive: conf.KeepAlive, Connections: share.servers,
		Stall: responseStallTimeout, Judge: judge.Complete, Streams: judge.Head, Hold: maxBufferedResponse})
	if err != nil {
		return err
	}
	p.platformCore = c
	if names, err := readBans(bansFile(conf.Listen)); err != nil {
		p.log.Warn().Str("code", "bans-unread").Err(err).Msg("cannot read the saved bans; no app server is banned")
	} else if len(names) > 0 {
		c.RestoreBans(names)
		p.log.Info().Str("code", "bans-kept").Strs("servers", names).
			Msg("restored the bans of the previous process")
	}
	p.discoveryWatcher = discovery.NewWatcher(conf.Discovery, uint64(conf.Seed), conf.Settings.Gateways,
		c.Servers, p.dial, p.log)
	go p.discoveryWatcher.Run(p.work, known)
	p.ready = append(p.ready, c.Ready)
	front := platform.New(c, conf.Settings, p.draining, guard, flow.NewBudget(transferOptions(conf.Limits)))
	l, err := p.listener(conf.Listen, nil)
	if err != nil {
		return err
	}
	streams := accept.Platform
	streams.Life = drainLifetime(conf.Settings)
	streams.Store = flow.NewStore(int(bodyStoreShare * memoryBytes(conf.Limits)))
	p.startServer(accept.NewStreams(l, front, share.clients, streams, p.log), conf.Listen, share.clients, nil)
	return nil
}

// startCore starts a core with its upstream. counterAddr is the address of its counter; empty: no counter.
func (p *program) startCore(set choice.Settings, seed uint64, counterAddr string,
	up forward.Config) (*core.Core, error) {
	var count core.Counter
	if counterAddr != "" {
		client := counter.New(counterAddr, set.CounterTimeout, p.dial, p.log)
		if p.conf != nil && counterAddr == p.conf.Counter {
			p.counters = append(p.counters, client)
		}
		count = client
	}
	up.Dial, up.Log = p.dial, p.log
	c, err := core.New(core.Config{Settings: set, Seed: seed, Upstream: forward.New(up), Counter: count,
		Log: p.logDecision, Watch: p.attemptWatcher})
	if err != nil {
		return nil, err
	}
	go c.Run(p.work)
	return c, nil
}

// logDecision logs a line in which a gate explains a decision to on-call operators.
func (p *program) logDecision(line string) { p.log.Warn().Str("code", "decision").Msg(line) }

// serve starts a front on addr, with TLS if side isn't nil.
func (p *program) serve(addr string, h accept.Handler, clients int, side *secure.Side) error {
	l, err := p.listener(addr, side)
	if err != nil {
		return err
	}
	p.startServer(accept.New(l, h, clients, p.log), addr, clients, side)
	return nil
}

func (p *program) listener(addr string, side *secure.Side) (net.Listener, error) {
	l, err := p.listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	if side != nil {
		l = side.Listener(l)
	}
	return l, nil
}

// startServer starts s, which stops the program if it fails.
func (p *program) startServer(s *accept.Server, addr string, clients int, side *secure.Side) {
	p.servers = append(p.servers, s)
	s.DrainWhile(p.withdrawn)
	go func() { p.failed <- s.Serve() }()
	p.log.Info().Str("code", "started").Str("listen", addr).Bool("tls", side != nil).Int("clients", clients).
		Msg("serving")
}

// startHealthEndpoints starts the agent-check and HTTP health listeners for load balancers, if configured.
func (p *program) startHealthEndpoints(a config.Agent) error {
	if a.Listen != "" {
		l, err := p.listen("tcp", a.Listen)
		if err != nil {
			return fmt.Errorf("listening for agent checks: %w", err)
		}
		go func() { p.failed <- agentcheck.Serve(p.work, l, p.healthReport) }()
	}
	if a.Health != "" {
		l, err := p.listen("tcp", a.Health)
		if err != nil {
			return fmt.Errorf("listening for health checks: %w", err)
		}
		mux := http.NewServeMux()
		mux.Handle("/health", agentcheck.Health(p.healthReport))
		mux.Handle("/ready", agentcheck.Ready(p.healthReport))
		s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second} // not on the data path, so net/http will do
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- fmt.Errorf("health checks: %w", err)
			}
		}()
		context.AfterFunc(p.work, func() { s.Close() })
	}
	return nil
}

// healthReport returns the state for load balancers. The weight is the percentage of client connections that
// are free, the lowest of all fronts.
func (p *program) healthReport() agentcheck.Report {
	if p.draining() {
		return agentcheck.Report{State: agentcheck.Draining}
	}
	weight := 100
	for _, ready := range p.ready {
		if !ready() {
			return agentcheck.Report{State: agentcheck.Down}
		}
	}
	for _, s := range p.servers {
		weight = min(weight, s.Free())
	}
	return agentcheck.Report{State: agentcheck.Up, Weight: weight}
}

func (p *program) draining() bool { return p.stopping.Load() || p.withdrawn() }

// withdrawn reports whether an operator or the fleet has ordered that this ingress gets no new clients.
func (p *program) withdrawn() bool { return p.leaveOrdered.Load() || p.isolated.Load() }

// drain drains all fronts concurrently and waits until they have answered their last requests.
func (p *program) drain() {
	p.stopping.Store(true)
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

// reservedSockets of the socket limit are reserved for the counter, discovery, listeners, health checks and
// the runtime. serverSocketShare is the share of the others for connections to servers.
const (
	reservedSockets   = 48
	serverSocketShare = 0.3
)

// sockets is the maximum number of connections of one front to clients and to servers.
type sockets struct{ clients, servers int }

// applyLimits sets the memory and CPU limits of the runtime and splits the sockets evenly between the fronts.
// Without a socket limit it assumes 1024.
func applyLimits(l config.Limits, fronts int) sockets {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
		debug.SetGCPercent(400) // collect rarely while far below the memory limit
	}
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	free := 1024 - reservedSockets
	if l.Sockets > 0 {
		free = l.Sockets - reservedSockets
	}
	free /= fronts
	servers := max(1, int(serverSocketShare*float64(free)))
	return sockets{max(1, free-servers), servers}
}
