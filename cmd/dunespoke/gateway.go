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

// gate is the general HTTP front with all that stands behind it.
type gate struct {
	p      *program
	share  sockets
	side   *secure.Side // nil: plain text
	conf   *config.Gateway
	front  *gateway.Front
	budget *flow.Budget
	counts core.Counter // shared by the pools' cores
	pools  atomic.Pointer[map[string]*pool]
}

// pool is the core of a pool of app servers. It may outlive the configuration that it was made for.
type pool struct {
	*core.Core
	conf config.Pool
	set  choice.Settings
	end  context.CancelFunc
}

// startGateway starts the front for any HTTP traffic, with a core for each pool.
func (p *program) startGateway(g *config.Gateway, share sockets) (*gate, error) {
	if g.MemoryMB > 0 {
		if bound := g.Bound(share.clients, share.servers); bound > g.MemoryMB<<20 {
			return nil, fmt.Errorf("gateway.memory_mb: %d, and with %d connections and all transfers it may take %d",
				g.MemoryMB, share.clients+share.servers, bound>>20)
		}
		if p.conf == nil { // on the platform its limit counts
			debug.SetMemoryLimit(int64(g.MemoryMB) << 20)
		}
	}
	t := &gate{p: p, share: share, budget: flow.NewBudget(g.Transfers.Options()), counts: p.gatewayCounts(g)}
	if !g.Insecure {
		var err error
		if t.side, err = secure.Server(files(g.TLS), p.log); err != nil {
			return nil, fmt.Errorf("gateway.tls: %w", err)
		}
		go t.side.Watch(p.work)
	}
	plan, pools, err := t.build(g)
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
	p.take(accept.NewStreams(l, t.front, share.clients, accept.Streams{Head: g.Head, Short: g.Short,
		Wait: time.Duration(g.Wait), Idle: time.Duration(g.KeepAlive), Drain: time.Duration(g.Drain)}, p.log),
		g.Listen, share.clients, t.side)
	return t, nil
}

// ready reports whether some pool has a live server: others go on without one that has none.
func (t *gate) ready() bool {
	for _, c := range *t.pools.Load() {
		if c.Ready() {
			return true
		}
	}
	return false
}

// build makes the parts of a configuration. Pools that are as those in use are used on. Nothing is changed by
// it.
func (t *gate) build(g *config.Gateway) (plan *gateway.Plan, pools map[string]*pool, err error) {
	pools = map[string]*pool{}
	defer func() {
		if err != nil {
			t.release(pools, t.pools.Load(), 0)
		}
	}()
	for i := range g.Pools {
		name := g.Pools[i].Name
		if pools[name], err = t.pool(g, &g.Pools[i]); err != nil {
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
	if t.p.questions != nil {
		o.Guard = t.p.questions.checks()
	}
	if plan, err = gateway.NewPlan(o); err != nil {
		return nil, pools, fmt.Errorf("gateway: %w", err)
	}
	return plan, pools, nil
}

// take goes by what was built of a configuration read again. Requests under way end at the pools that they
// began at.
func (t *gate) take(g *config.Gateway, plan *gateway.Plan, pools map[string]*pool) {
	if kept := t.conf.Keep(g); len(kept) > 0 {
		t.p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", kept).Msg("changed, and not taken")
	}
	old := t.pools.Swap(&pools)
	t.front.SetPlan(plan)
	t.conf = g
	t.release(*old, &pools, retire)
}

// release ends, after a time, the pools that others have no use for.
func (t *gate) release(pools map[string]*pool, others *map[string]*pool, after time.Duration) {
	for name, c := range pools {
		if others == nil || (*others)[name] != c {
			time.AfterFunc(after, c.end)
		}
	}
}

// gatewayCounts is where the pools' cores count what customers use: at the counter, or here alone.
func (p *program) gatewayCounts(g *config.Gateway) core.Counter {
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

// pool starts the core of a pool of app servers, or takes the one that is there.
func (t *gate) pool(g *config.Gateway, conf *config.Pool) (*pool, error) {
	p, set := t.p, g.Settings(conf)
	if old := t.pools.Load(); old != nil {
		if c := (*old)[conf.Name]; c != nil && reflect.DeepEqual(c.conf, *conf) && reflect.DeepEqual(c.set, set) {
			return c, nil
		}
	}
	work, end := context.WithCancel(p.work)
	dial := p.dial
	if !conf.Insecure {
		side, err := secure.Client(files(conf.TLS), p.log)
		if err != nil {
			end()
			return nil, err
		}
		go side.Watch(work)
		dial = side.Dial(secure.Dialer(dial))
	}
	up := forward.New(forward.Config{Dial: dial, DialTimeout: set.DialTimeout, Log: p.log,
		KeepAlive: time.Duration(conf.KeepAlive), Connections: max(1, t.share.servers/len(g.Pools)), Stall: stall,
		Streams: gateway.ClassifyHead(conf.Errors), Limits: http1.Limits{Head: answerHead}})
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: up,
		Counter: t.counts, Log: p.decision})
	if err != nil {
		end()
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
	return &pool{c, *conf, set, end}, nil
}

// answerHead bounds the heads of app servers' answers, in bytes.
const answerHead = 64 << 10
