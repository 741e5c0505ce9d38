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

// program is the parts of a running ingress.
type program struct {
	log     zerolog.Logger
	listen  func(network, addr string) (net.Listener, error)
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	work    context.Context // ends when all that was taken is answered
	servers []*accept.Server
	ready   []func() bool // of each front
	failed  chan error
	stops   atomic.Bool // told to stop
	ill     atomic.Bool // the fleet says that this ingress reaches nothing
	leaving atomic.Bool // told to leave by an operator, until told to join

	conf     *config.Platform // as last read; nil without the platform
	main     *core.Core       // the platform's; nil without it
	watcher  *discovery.Watcher
	counters []mover // of the platform's counter

	questions *questions   // nil without the front for token introspection
	gate      *gate        // nil without the general HTTP front
	watch     core.Watcher // of attempts, for the fleet; nil without one

	fleet   *node.Node // nil without a fleet
	leave   func()     // the fleet
	guarded bool       // the platform's requests pass a guard that may ask for tokens
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
	p.log.Info().Str("code", "draining").Msg("told to stop")
	p.leaveFleet()
	p.drain()
	p.log.Info().Str("code", "stopped").Msg("all that was taken is answered")
	return nil
}

// reloadAll reads again what the program was started with.
func (p *program) reloadAll(getenv func(string) string) {
	if p.conf != nil {
		p.reload(config.ReadPlatform(getenv))
	}
	if path := getenv("DUNESPOKE_OPERATOR"); path != "" {
		p.reloadOperator(config.ReadOperator(path, getenv))
	}
}

// reloadOperator takes an operator's file as read again, whole or not at all; or the error of that.
func (p *program) reloadOperator(o *config.Operator, err error) {
	if err == nil {
		err = p.retake(o)
	}
	switch {
	case err != nil:
		p.log.Warn().Str("code", "reload-failed").Err(err).Msg("the operator's settings stay as they were")
	case p.questions == nil && p.gate == nil && p.fleet == nil:
		p.log.Warn().Str("code", "reload-needs-restart").Msg("nothing of the operator's file that is on can change")
	default:
		p.log.Info().Str("code", "reloaded").Int("issuers", len(o.Introspection.Issuers)).
			Int("clients", len(o.Introspection.Clients)).Int("routes", len(o.Gateway.Routes)).
			Msg("operator's file read again")
	}
}

// errOff is the error of a file without a front that runs.
var errOff = errors.New("gateway is switched off in it: that needs a restart")

// retake goes by an operator's file read again: all of it, or nothing.
func (p *program) retake(o *config.Operator) error {
	var plan *gateway.Plan
	var pools map[string]*pool
	if t := p.gate; t != nil {
		if !o.Gateway.On() {
			return errOff
		}
		var err error
		if plan, pools, err = t.build(&o.Gateway); err != nil {
			return err
		}
	}
	if p.questions != nil {
		if err := p.questions.reload(&o.Introspection); err != nil {
			if p.gate != nil {
				p.gate.release(pools, p.gate.pools.Load(), 0)
			}
			return err
		}
	}
	if p.gate != nil {
		p.gate.take(&o.Gateway, plan, pools)
	}
	if p.fleet != nil && o.Fleet.On() {
		return p.fleet.Keys(o.Fleet.Ring)
	}
	return nil
}

// reload takes the platform's configuration as read again, or the error of that, and goes on at the addresses
// of discovery and the counter that it names. A file that can't be used changes nothing. All that is kept or
// under way stays as it is.
func (p *program) reload(conf *config.Platform, err error) {
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
	if conf == nil && operator.Gateway.On() {
		limits.Sockets = operator.Gateway.Sockets
	}
	fronts := 0
	for _, on := range []bool{conf != nil, asks, operator.Gateway.On()} {
		if on {
			fronts++
		}
	}
	share := bound(limits, max(1, fronts))
	var guard platform.Guard
	if asks {
		q, err := p.startQuestions(&operator.Introspection, share)
		if err != nil {
			return err
		}
		p.questions = q
		if conf != nil {
			guard, p.guarded = q.guard(), true
		}
	}
	heard := &watcher{}
	if operator.Fleet.On() {
		p.watch = heard
	}
	if conf != nil {
		if err := p.platform(conf, guard, share); err != nil {
			return err
		}
	}
	if operator.Gateway.On() {
		t, err := p.startGateway(&operator.Gateway, share)
		if err != nil {
			return err
		}
		p.gate = t
	}
	if err := p.agent(operator.Agent); err != nil {
		return err
	}
	if operator.Fleet.On() {
		if err := p.startFleet(&operator.Fleet); err != nil {
			return err
		}
		heard.Store(p.fleet)
	}
	if conf != nil && conf.Mgmt != "" {
		return p.mgmt(conf.Mgmt)
	}
	return nil
}

// stall is how long an app server's answer may stand still once it has begun. Slow lines bring one in many
// pieces; one of which nothing more comes would hold its request until the deadline, for nothing.
const stall = 500 * time.Millisecond

// holdMost is how much of an app server's answer is held until it is whole: one that breaks off before can be
// asked for again. Longer ones are passed on as they come.
const holdMost = 64 << 10

// The parts of the memory that bodies may take on the platform's front: those held until they are whole, and
// those passed on as they come, in both directions.
const (
	storePart     = 0.25
	transfersPart = 0.125
)

// memory is what the platform's front may use in all, in bytes.
func memory(l config.Limits) float64 {
	if l.MemoryMB <= 0 {
		return 256 << 20
	}
	return float64(l.MemoryMB << 20)
}

// The platform kills a process that it has told to stop after the longest deadline, counted as 3 s at most,
// and 0.7 s. What is left of that is for a signal that comes late.
const (
	deadlineMost = 3 * time.Second
	killAfter    = 600 * time.Millisecond
)

// life is how long the process lives once it is told to stop.
func life(set choice.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, deadlineMost) + killAfter
}

// transfers bound the memory of long bodies.
func transfers(l config.Limits) flow.Options {
	return flow.Options{Bytes: int(transfersPart * memory(l)), Window: 128 << 10, MinWindow: 16 << 10}
}

// platform starts the platform's front and all that stands behind it.
func (p *program) platform(conf *config.Platform, guard platform.Guard, share sockets) error {
	var known discovery.List
	if len(conf.Known) > 0 {
		if err := json.Unmarshal(conf.Known, &known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	judge := platform.ResponseClassifier{LoadFields: conf.Reports, MaxUnits: conf.Settings.MaxUnits}
	c, err := p.core(conf.Settings, uint64(conf.Seed), conf.Counter, forward.Config{
		DialTimeout: conf.Settings.DialTimeout, KeepAlive: conf.KeepAlive, Connections: share.servers,
		Stall: stall, Judge: judge.Complete, Streams: judge.Head, Hold: holdMost})
	if err != nil {
		return err
	}
	p.main = c
	if names, err := readBans(bansFile(conf.Listen)); err != nil {
		p.log.Warn().Str("code", "bans-unread").Err(err).Msg("no app server is kept out by an earlier word")
	} else if len(names) > 0 {
		c.RestoreBans(names)
		p.log.Info().Str("code", "bans-kept").Strs("servers", names).Msg("kept out since before this process")
	}
	p.watcher = discovery.NewWatcher(conf.Discovery, uint64(conf.Seed), conf.Settings.Gateways, c.Servers,
		p.dial, p.log)
	go p.watcher.Run(p.work, known)
	p.ready = append(p.ready, c.Ready)
	front := platform.New(c, conf.Settings, p.draining, guard, flow.NewBudget(transfers(conf.Limits)))
	l, err := p.listener(conf.Listen, nil)
	if err != nil {
		return err
	}
	streams := accept.Platform
	streams.Life = life(conf.Settings)
	streams.Store = flow.NewStore(int(storePart * memory(conf.Limits)))
	p.take(accept.NewStreams(l, front, share.clients, streams, p.log), conf.Listen, share.clients, nil)
	return nil
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
		Log: p.decision, Watch: p.watch})
	if err != nil {
		return nil, err
	}
	go c.Run(p.work)
	return c, nil
}

// decision takes the lines of a gate for on-call staff.
func (p *program) decision(line string) { p.log.Warn().Str("code", "decision").Msg(line) }

// serve takes a front's clients, by TLS if there is a side for it.
func (p *program) serve(addr string, h accept.Handler, clients int, side *secure.Side) error {
	l, err := p.listener(addr, side)
	if err != nil {
		return err
	}
	p.take(accept.New(l, h, clients, p.log), addr, clients, side)
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

// take starts a server of clients.
func (p *program) take(s *accept.Server, addr string, clients int, side *secure.Side) {
	p.servers = append(p.servers, s)
	s.DrainWhile(p.leaves)
	go func() { p.failed <- s.Serve() }()
	p.log.Info().Str("code", "started").Str("listen", addr).Bool("tls", side != nil).Int("clients", clients).
		Msg("serving")
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

func (p *program) draining() bool { return p.stops.Load() || p.leaves() }

// leaves reports that no clients are wanted for now, by an operator's word or the fleet's.
func (p *program) leaves() bool { return p.leaving.Load() || p.ill.Load() }

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
func bound(l config.Limits, fronts int) sockets {
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
	free /= fronts
	servers := max(1, int(serversPart*float64(free)))
	return sockets{max(1, free-servers), servers}
}
