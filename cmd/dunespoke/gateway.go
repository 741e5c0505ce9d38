package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/front/gateway"
	"dunespoke/internal/config"
	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/localcount"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/net/counter"
	"dunespoke/internal/net/discovery"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/net/secure"
)

// gatewayFront is the general HTTP front with its pools of app servers.
type gatewayFront struct {
	p       *program
	share   sockets
	side    *secure.Side // nil: no TLS
	conf    *config.Gateway
	front   *gateway.Front
	budget  *flow.Budget
	counter core.Counter // shared by the cores of all pools
	pools   atomic.Pointer[map[string]*pool]
}

// pool is the core of a pool of app servers. It can outlive the configuration that it was created for: a
// reload keeps pools whose settings are unchanged, and lets the others finish their requests.
type pool struct {
	*core.Core
	conf   config.Pool
	set    choice.Settings
	cancel context.CancelFunc
}

// startGateway starts the general HTTP front, with a core for each pool.
func (p *program) startGateway(g *config.Gateway, share sockets) (*gatewayFront, error) {
	if g.MemoryMB > 0 {
		if bound := g.Bound(share.clients, share.servers); bound > g.MemoryMB<<20 {
			return nil, fmt.Errorf("gateway.memory_mb: %d is too low: %d connections and all transfers can need %d",
				g.MemoryMB, share.clients+share.servers, bound>>20)
		}
		if p.conf == nil { // with the platform, the platform's limit applies
			debug.SetMemoryLimit(int64(g.MemoryMB) << 20)
		}
	}
	t := &gatewayFront{p: p, share: share, budget: flow.NewBudget(g.Transfers.Options()),
		counter: p.gatewayCounter(g)}
	if !g.Insecure {
		var err error
		if t.side, err = secure.Server(files(g.TLS), p.log); err != nil {
			return nil, fmt.Errorf("gateway.tls: %w", err)
		}
		go t.side.Watch(p.work)
	}
	plan, pools, err := t.buildPlan(g)
	if err != nil {
		return nil, err
	}
	t.front = gateway.New(plan)
	t.conf = g
	t.pools.Store(&pools)
	p.ready = append(p.ready, t.ready)
	l, err := p.listener(g.Listen, t.side)
	if err != nil {
		return nil, err
	}
	p.startServer(accept.NewStreams(l, t.front, share.clients, accept.Streams{Head: g.Head, Short: g.Short,
		Wait: time.Duration(g.Wait), Idle: time.Duration(g.KeepAlive), Drain: time.Duration(g.Drain)}, p.log),
		g.Listen, share.clients, t.side)
	return t, nil
}

// ready reports whether at least one pool has a live server. A pool without one doesn't affect the others.
func (t *gatewayFront) ready() bool {
	for _, c := range *t.pools.Load() {
		if c.Ready() {
			return true
		}
	}
	return false
}

// buildPlan creates the plan and the pools of a configuration, and reuses the current pools whose settings
// are unchanged. It doesn't change the running configuration; on an error it stops the pools that it started.
func (t *gatewayFront) buildPlan(g *config.Gateway) (plan *gateway.Plan, pools map[string]*pool, err error) {
	pools = map[string]*pool{}
	defer func() {
		if err != nil {
			t.release(pools, t.pools.Load(), 0)
		}
	}()
	for i := range g.Pools {
		name := g.Pools[i].Name
		if pools[name], err = t.startPool(g, &g.Pools[i]); err != nil {
			delete(pools, name)
			return nil, pools, fmt.Errorf("gateway.pool[%s]: %w", name, err)
		}
	}
	o := gateway.Options{Routes: g.Table(), Budget: t.budget, TrustedProxies: g.Trust, Draining: t.p.draining,
		Log: t.p.log}
	for i := range o.Routes {
		o.Routes[i].Core = pools[g.Routes[i].Pool].Core
	}
	if t.side != nil {
		o.VerifyClient = t.side.Trust
	}
	if t.p.introspection != nil {
		o.Guard = t.p.introspection.gatewayGuard()
	}
	if plan, err = gateway.NewPlan(o); err != nil {
		return nil, pools, fmt.Errorf("gateway: %w", err)
	}
	return plan, pools, nil
}

// apply switches to what buildPlan has created from a reloaded configuration. Requests in flight finish in
// the pools in which they started.
func (t *gatewayFront) apply(g *config.Gateway, plan *gateway.Plan, pools map[string]*pool) {
	if unapplied := t.conf.Keep(g); len(unapplied) > 0 {
		t.p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", unapplied).
			Msg("changed settings need a restart; keeping the previous values")
	}
	old := t.pools.Swap(&pools)
	t.front.SetPlan(plan)
	t.conf = g
	t.release(*old, &pools, retireDelay)
}

// release stops, after the given delay, the pools that aren't among others.
func (t *gatewayFront) release(pools map[string]*pool, others *map[string]*pool, after time.Duration) {
	for name, c := range pools {
		if others == nil || (*others)[name] != c {
			time.AfterFunc(after, c.cancel)
		}
	}
}

// gatewayCounter returns the counter of the customers' usage: a client of the shared counter at the gateway's
// or the platform's address, or a counter local to this process if neither is set.
func (p *program) gatewayCounter(g *config.Gateway) core.Counter {
	addr := g.Counter
	if addr == "" && p.conf != nil {
		addr = p.conf.Counter
	}
	if addr == "" {
		return localcount.New()
	}
	client := counter.New(addr, 50*time.Millisecond, p.dial, p.log)
	if p.conf != nil && addr == p.conf.Counter {
		p.counters = append(p.counters, client)
	}
	return client
}

// startPool starts the core of a pool, or returns the running one if its settings are unchanged.
func (t *gatewayFront) startPool(g *config.Gateway, conf *config.Pool) (*pool, error) {
	p, set := t.p, g.Settings(conf)
	if old := t.pools.Load(); old != nil {
		if c := (*old)[conf.Name]; c != nil && reflect.DeepEqual(c.conf, *conf) && reflect.DeepEqual(c.set, set) {
			return c, nil
		}
	}
	work, cancel := context.WithCancel(p.work)
	dial := p.dial
	if !conf.Insecure {
		side, err := secure.Client(files(conf.TLS), p.log)
		if err != nil {
			cancel()
			return nil, err
		}
		go side.Watch(work)
		dial = side.Dial(secure.Dialer(dial))
	}
	up := forward.New(forward.Config{Dial: dial, DialTimeout: set.DialTimeout, Log: p.log,
		KeepAlive: time.Duration(conf.KeepAlive), Connections: max(1, t.share.servers/len(g.Pools)),
		Stall: responseStallTimeout, Streams: gateway.ClassifyHead(conf.Errors),
		Limits: http1.Limits{Head: maxResponseHead}})
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: up,
		Counter: t.counter, Log: p.logDecision})
	if err != nil {
		cancel()
		return nil, err
	}
	go c.Run(work)
	if conf.Discovery != "" {
		watcher := discovery.NewWatcher(conf.Discovery, rand.Uint64(), g.Gateways, c.Servers, p.dial, p.log)
		go watcher.Run(work, discovery.List{})
	} else {
		servers := make([]core.Server, 0, len(conf.Servers))
		for _, addr := range conf.Servers {
			servers = append(servers, core.Server{Name: addr, Addr: addr, Zone: g.Zone, State: choice.Live})
		}
		c.Servers(true, servers)
	}
	return &pool{c, *conf, set, cancel}, nil
}

// maxResponseHead limits the head of an app server's response, in bytes.
const maxResponseHead = 64 << 10
