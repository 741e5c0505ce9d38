package main

import (
	"fmt"
	"runtime/debug"
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

// gateway starts the front for any HTTP traffic, with a core for each pool.
func (p *program) gateway(g *config.Gateway, share sockets) error {
	if g.MemoryMB > 0 {
		if bound := g.Bound(share.clients, share.servers); bound > g.MemoryMB<<20 {
			return fmt.Errorf("gateway.memory_mb: %d, and %d connections with transfers may take %d", g.MemoryMB,
				share.clients+share.servers, bound>>20)
		}
		if p.conf == nil { // on the platform its limit counts
			debug.SetMemoryLimit(int64(g.MemoryMB) << 20)
		}
	}
	var side *secure.Side
	if !g.Insecure {
		var err error
		if side, err = secure.Server(files(g.TLS), p.log); err != nil {
			return fmt.Errorf("gateway.tls: %w", err)
		}
		go side.Watch(p.work)
	}
	cores := map[string]*core.Core{}
	counts := p.gatewayCounts(g)
	for i := range g.Pools {
		c, err := p.pool(g, &g.Pools[i], max(1, share.servers/len(g.Pools)), counts)
		if err != nil {
			return fmt.Errorf("gateway.pool[%s]: %w", g.Pools[i].Name, err)
		}
		cores[g.Pools[i].Name] = c
	}
	p.ready = append(p.ready, func() bool { // other pools go on without one that has nobody
		for _, c := range cores {
			if c.Ready() {
				return true
			}
		}
		return false
	})
	o := gateway.Options{Routes: g.Table(), Budget: flow.NewBudget(g.Transfers.Options()), Trusted: g.Trust,
		Draining: p.draining, Log: p.log}
	for i := range o.Routes {
		o.Routes[i].Core = cores[g.Routes[i].Pool]
	}
	if side != nil {
		o.Trust = side.Trust
	}
	if p.questions != nil {
		o.Guard = p.questions.checks()
	}
	front, err := gateway.New(o)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	l, err := p.listener(g.Listen, side)
	if err != nil {
		return err
	}
	p.take(accept.NewStreams(l, front, share.clients, accept.Streams{Head: g.Head, Short: g.Short,
		Wait: time.Duration(
			g.Wait,
		), Idle: time.Duration(g.KeepAlive), Drain: time.Duration(g.Drain)}, p.log), g.Listen, share.clients, side)
	return nil
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

// pool starts the core of a pool of app servers.
func (p *program) pool(
	g *config.Gateway,
	pool *config.Pool,
	connections int,
	counts core.Counter,
) (*core.Core,
	error) {
	dial := p.dial
	if !pool.Insecure {
		side, err := secure.Client(files(pool.TLS), p.log)
		if err != nil {
			return nil, err
		}
		go side.Watch(p.work)
		dial = side.Dial(secure.Dialer(dial))
	}
	set := g.Settings(pool)
	up := forward.New(forward.Config{Dial: dial, DialTimeout: set.DialTimeout, Log: p.log,
		KeepAlive: time.Duration(pool.KeepAlive), Connections: connections, Stall: stall,
		Streams: gateway.Judge(pool.Errors), Limits: http1.Limits{Head: answerHead}})
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: up,
		Counter: counts, Log: p.decision})
	if err != nil {
		return nil, err
	}
	go c.Run(p.work)
	if pool.Discovery != "" {
		go discovery.NewWatcher(pool.Discovery, c.Servers, p.dial, p.log).Run(p.work, discovery.List{})
		return c, nil
	}
	servers := make([]core.Server, 0, len(pool.Servers))
	for _, addr := range pool.Servers {
		servers = append(servers, core.Server{Name: addr, Addr: addr, Zone: g.Zone, State: choice.Live})
	}
	c.Servers(true, servers)
	return c, nil
}

// answerHead bounds the heads of app servers' answers, in bytes.
const answerHead = 64 << 10
