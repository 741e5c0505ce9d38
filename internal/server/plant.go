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
	listEvery  = 850 * time.Millisecond // between readings of the list of servers: each page has its price
	listOld    = time.Second            // a list that waited for so long to be told was held up with the process
	openEvery  = 5 * time.Millisecond   // between looks whether clients can be taken
	meterEvery = 100 * time.Millisecond // between looks at what waits for tokens
	// after SIGTERM: two checks of the platform and a connection on its way
	acceptOn    = 2300 * time.Millisecond
	fileEvery   = time.Second            // between looks at the settings file
	dialLimit   = 200 * time.Millisecond // to a server
	keepAlive   = 10 * time.Second       // of servers, until they tell
	serverPart  = 0.35                   // of the descriptors, for connections to servers
	setAside    = 320                    // descriptors for the rest, and those kept for files
	controlMost = 96                     // connections of operators and checks
	handWait    = time.Second            // for a successor in the core, at the end
	closeLimit  = 500 * time.Millisecond // for the disk, at the end
	holdAnswer  = 64 << 10               // bytes of an answer that is held until it is whole
)

// Plant is a running process.
type Plant struct {
	path     string
	set      *settings.Settings
	log      logr.Logger
	loop     *loop
	start    time.Time
	office   *node.Office
	trunk    *transport.Trunk
	vault    *storage.Vault
	front    *proxy.Front
	meter    *ratelimit.Meter
	desk     *api.Desk
	reader   *discovery.Reader
	clients  *accept.Server
	forward  *forward.Forwarder
	work     context.Context
	stopping atomic.Bool
	reading  bool // the list is being read
	readAt   time.Duration
	tollAt   atomic.Pointer[string] // who keeps the tolls
	held     atomic.Uint64          // the version in force
	asks     atomic.Pointer[string] // the host of the machine that is asked for news
	members  int
	servers  int
	epoch    uint64
	chain    []string
	opened   bool
	told     bool
}

// Run serves until the context ends and all that was taken is answered.
func Run(ctx context.Context, path string, reload <-chan os.Signal, log logr.Logger) error {
	set, err := settings.ReadFile(path)
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	p := &Plant{path: path, set: set, log: log.WithValues("node", set.Node), loop: newLoop(), start: time.Now(),
		work: work}
	p.bound()
	if err := p.open(); err != nil {
		return err
	}
	go p.loop.run(work, p.tick)
	p.Log(events.Started, "zone", set.Zone, "disk", set.DataDir != "", "first", set.Fresh)
	p.watch(ctx, reload)
	p.Log(events.Stopping)
	p.stopping.Store(true)
	p.loop.do(func() { p.office.Leave(p.now()) })
	if p.clients != nil {
		p.clients.Drain()
	}
	p.handOver()
	p.trunk.Close()
	if p.vault != nil {
		err = p.vault.Close(closeLimit)
	}
	p.Log(events.Stopped)
	return trace.Wrap(err)
}

// now is the process's clock: it never goes back.
func (p *Plant) now() time.Duration { return time.Since(p.start) + time.Hour }

// Log writes an event.
func (p *Plant) Log(e events.Event, pairs ...any) {
	p.log.V(e.Level).Info(e.Text, append([]any{"event", e.Number}, pairs...)...)
}

// handOver waits until another machine has taken this one's place in the core, where one is there to.
func (p *Plant) handOver() {
	for end := time.Now().Add(handWait); time.Now().Before(end); time.Sleep(openEvery) {
		hands := make(chan bool, 1)
		p.loop.do(func() { hands <- p.office.HandsOver() })
		if !<-hands {
			return
		}
	}
}

// lostAfter is for how long a machine of the core must be silent before another one takes its place: that has
// to have it within sync_s of its start.
func (p *Plant) lostAfter() time.Duration {
	return time.Duration(p.set.Figure("sync_s", 4) / 2 * float64(time.Second))
}

// tolerance is what may be lost of the core at once.
func (p *Plant) tolerance() replica.Tolerance {
	s := p.set.Survive
	return replica.Tolerance{Machines: s.Machines, Zones: s.Zones, Regions: s.Regions, Region: p.set.Zones}
}

func (p *Plant) bound() {
	runtime.GOMAXPROCS(1)
	if mb := p.set.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 6 / 10)
	}
	debug.SetGCPercent(100)
}

// open makes all parts.
func (p *Plant) open() error {
	self := message.Machine{Addr: p.set.Trunk(), Zone: p.set.Zone}
	var disk *replica.Record
	first := p.set.Fresh
	if p.set.DataDir != "" {
		v, record, err := storage.Open(p.set.DataDir)
		if err != nil {
			return trace.Wrap(err, "data_dir %s", p.set.DataDir)
		}
		p.vault, disk = v, &record
		if err := v.Damaged(); err != nil {
			p.Log(events.DiskDamaged, "error", err.Error())
			first = false
		}
	}
	p.forward = forward.New(forward.Config{Dial: direct.Dial, DialTimeout: dialLimit, KeepAlive: keepAlive,
		Connections: int(serverPart * float64(p.files())), Hold: holdAnswer,
		Limits: http1.Limits{Head: 32 << 10, Body: 64 << 10}, Log: zerolog.Nop(),
		Judge:   func(*http1.Response) core.Result { return core.Result{Code: choice.Reset} },
		Streams: nobody})
	var random [8]byte
	rand.Read(random[:])
	life := max(1, binary.BigEndian.Uint64(random[:])>>2)
	p.meter = ratelimit.NewMeter(life, p.limits, p.toDesk, func(s ratelimit.State) {
		if s == ratelimit.Alone {
			p.Log(events.TollAlone)
		} else {
			p.Log(events.TollBack)
		}
	})
	board := &slowlog.Board{}
	p.front = proxy.New(proxy.Options{Board: board, Self: self.Addr, Zone: p.set.Zone, Tuning: Tuning,
		Meter:  p.meter,
		Clock:  p.now,
		Budget: flow.NewBudget(p.budget()), Core: p.core, Log: p.Log})
	p.reader = discovery.New(p.set.Cloud.Address, direct.Dial)
	_, port, _ := net.SplitHostPort(p.set.Listen.Control)
	p.desk = &api.Desk{Core: p, Ready: p.ready, Board: board, Port: port, Log: p.Log}
	p.office = node.New(p.now(), node.Options{Self: self, Seeds: p.set.SeedTrunks(),
		Survive: p.tolerance(), LostAfter: p.lostAfter(), First: first, Disk: disk,
		Limits: p.limits, Life: life, Actions: (*actions)(p)})
	var err error
	p.trunk, err = transport.New(transport.Options{Self: self.Addr, Life: life, Listen: net.Listen,
		Dial: (&net.Dialer{}).DialContext, Log: p.Log, Handle: p.hear})
	if err != nil {
		return err
	}
	for _, addr := range []string{p.set.Listen.Ready, p.set.Listen.Control} {
		if err := p.answer(addr); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plant) files() int { return max(256, p.set.Limits.Files) - setAside }

// budget is that of long bodies: a small part of the memory.
func (p *Plant) budget() flow.Options {
	return flow.Options{Bytes: max(16, p.set.Limits.MemoryMB) << 20 / 16, Least: 16 << 10, Window: 128 << 10}
}

// answer takes calls at an address.
func (p *Plant) answer(addr string) error {
	if addr == "" {
		return nil
	}
	l, err := direct.Listen("tcp", addr)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s := accept.New(l, p.desk, controlMost, zerolog.Nop())
	s.Bound(http1.Limits{Head: 16 << 10, Body: message.MaxFrame - 64<<10})
	go s.Serve()
	return nil
}

// core starts a service's core.
func (p *Plant) core(service string, set choice.Settings) (*core.Core, error) {
	seed := uint64(time.Now().UnixNano())
	c, err := core.New(core.Config{Settings: set, Seed: seed, Upstream: p.forward,
		Log: func(line string) { p.Log(events.Decision, "service", service, "line", line) }})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go c.Run(p.work)
	return c, nil
}

func (p *Plant) limits(tenant string) ratelimit.Limits { return p.front.Limits(tenant) }

// toDesk sends a question of the meter to who keeps the tolls.
func (p *Plant) toDesk(m *message.Message) {
	if to := p.tollAt.Load(); to != nil && *to != "" {
		p.trunk.Send(*to, m)
	}
}

// hear takes a message, from any goroutine.
func (p *Plant) hear(from string, m *message.Message) {
	if m.Kind == message.Grant {
		p.meter.Granted(p.now(), m)
		return
	}
	p.loop.do(func() { p.office.Handle(p.now(), from, m) })
}

// ready reports whether clients should come.
func (p *Plant) ready() bool { return !p.stopping.Load() && p.clients != nil && p.front.Ready() }

// tick does what is due.
func (p *Plant) tick() time.Duration {
	now := p.now()
	next := p.office.Tick(now)
	p.meter.Tick(now)
	p.asks.Store(p.office.Asks())
	next = min(next, now+meterEvery)
	if epoch, ok := p.office.Holds(now, replica.ReadServers); ok && !p.reading && now >= p.readAt {
		p.reading = true
		go p.read(p.reader, epoch)
	}
	if !p.opened && p.front.Ready() {
		p.opened = true
		if err := p.openFront(); err != nil {
			p.Log(events.Failed, "error", err.Error())
			os.Exit(1)
		}
	}
	if !p.opened && p.held.Load() > 0 { // the cores are about to take the list
		next = min(next, now+openEvery)
	}
	return next - p.now()
}

// read reads the list of servers, by a duty that this machine holds under an epoch.
func (p *Plant) read(reader *discovery.Reader, epoch uint64) {
	list, err := reader.Read(p.work)
	if err != nil {
		p.Log(events.ListFailed, "error", trace.UserMessage(err))
	}
	ended := p.now()
	p.loop.do(func() {
		p.reading = false
		p.readAt = p.now() + listEvery
		if err == nil && p.now() < ended+listOld {
			p.office.Servers(p.now(), epoch, list)
		}
	})
}

// openFront takes clients, once requests can be served.
func (p *Plant) openFront() error {
	if p.set.Listen.Front == "" {
		return nil
	}
	l, err := direct.Listen("tcp", p.set.Listen.Front)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	limits := p.front.Bounds()
	clients := accept.NewStreams(l, p.front, p.files()-int(serverPart*float64(p.files())), accept.Streams{
		Head: limits.Head, Promises: true, Short: 64 << 10, Wait: limits.HeadWait, Idle: limits.IdleIn,
		Accept: acceptOn,
		Life:   time.Duration(p.set.Figure("grace_period_s", 6) * float64(time.Second)),
		Store:  flow.NewStore(max(16, p.set.Limits.MemoryMB) << 20 / 8),
		Rest:   flow.Pace{Least: 32 << 10, Grace: 3 * time.Second}}, zerolog.Nop())
	p.clients = clients
	go clients.Serve()
	p.Log(events.Ready)
	return nil
}

// watch waits for the end, and reads the settings again when they change.
func (p *Plant) watch(ctx context.Context, reload <-chan os.Signal) {
	look := time.NewTicker(fileEvery)
	defer look.Stop()
	seen := stamp(p.path)
	for {
		force := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			force = true
		case <-look.C:
		}
		if at := stamp(p.path); force || at != seen {
			seen = at
			p.resettle()
		}
	}
}

// stamp tells one state of a file from another.
func stamp(path string) (s [2]int64) {
	if info, err := os.Stat(path); err == nil {
		s = [2]int64{info.ModTime().UnixNano(), info.Size()}
	}
	return s
}

// resettle reads the settings again. Addresses of the platform and seeds are taken; all else needs a start.
func (p *Plant) resettle() {
	set, err := settings.ReadFile(p.path)
	if err != nil {
		p.Log(events.BadSettings, "error", trace.UserMessage(err))
		return
	}
	p.loop.do(func() {
		if set.Cloud.Address != p.set.Cloud.Address {
			p.reader = discovery.New(set.Cloud.Address, direct.Dial)
		}
		p.office.Seeds(set.SeedTrunks())
		p.set.Cloud = set.Cloud
		p.Log(events.Settings)
	})
}

// Put hands a configuration to the core.
func (p *Plant) Put(version uint64, config []byte, done func(*message.Message)) {
	config = slices.Clone(config)
	p.loop.do(func() { p.office.Put(p.now(), version, config, done) })
}

// Read asks for the newest configuration.
func (p *Plant) Read(done func(version uint64, config []byte)) {
	p.loop.do(func() { p.office.Read(p.now(), done) })
}

// Reform has the core change its members, or tell them.
func (p *Plant) Reform(add, remove string, done func(*message.Message)) {
	p.loop.do(func() { p.office.Reform(p.now(), add, remove, done) })
}

// Nearer is the host of the machine of the core that this one asks for news, if that is another.
func (p *Plant) Nearer() string {
	if at := p.asks.Load(); at != nil && p.vault == nil {
		return *at
	}
	return ""
}

// View tells how this machine sees the exchange.
func (p *Plant) View(done func(api.View)) {
	p.loop.do(func() {
		v := api.View{Node: p.set.Node, Zone: p.set.Zone, Version: fmt.Sprintf("r%d", p.held.Load()),
			Servers: p.servers, Members: p.members, Epoch: p.epoch, Chain: p.chain}
		if at := p.office.Asks(); at != nil {
			v.Asks = *at
		}
		if f := p.office.Frame(); f != nil {
			c := &api.CoreView{
				State:      f.State().String(),
				Serves:     f.Fresh(),
				Whole:      f.Record().Whole,
				Sick:       f.Sick(),
				Version:    f.Record().Version,
				Heard:      f.Heard(),
				Generation: f.Record().Generation,
				Spare:      f.Spare(),
				Lacks:      f.Lacks(),
			}
			for _, m := range f.Record().Registry {
				c.Machines = append(c.Machines, m.Addr)
			}
			for _, d := range []replica.Duty{replica.ReadServers, replica.KeepTolls} {
				if _, ok := f.Holds(p.now(), d); ok {
					c.Duties = append(c.Duties, d.String())
				}
			}
			v.Core = c
		}
		done(v)
	})
}

// actions is what an office sees of the plant. Its methods are called on the loop.
type actions Plant

func (a *actions) plant() *Plant { return (*Plant)(a) }

func (a *actions) Send(to string, m *message.Message) { a.trunk.Send(to, m) }

func (a *actions) Log(e events.Event, pairs ...any) { a.plant().Log(e, pairs...) }

func (a *actions) Save(token uint64, r replica.Record) {
	p := a.plant()
	p.vault.Save(r, func(ok bool) {
		p.loop.do(func() { p.office.Saved(p.now(), token, ok) })
	})
}

func (a *actions) Config(version uint64, config []byte) {
	p := a.plant()
	d, err := routing.Read(config)
	if err != nil {
		p.Log(events.ConfigBad, "version", version, "error", trace.UserMessage(err))
		return
	}
	p.front.Use(d)
	p.held.Store(version)
	p.Log(events.ConfigTaken, "config", d.String())
}

func (a *actions) Servers(list []message.Server) {
	a.servers = len(list)
	a.plant().front.Servers(list)
	a.plant().Log(events.ListTaken, "servers", len(list))
}

func (a *actions) Members(list []message.Machine) {
	a.members = len(list)
	a.front.Members(list)
	a.meter.Serve(a.epoch, a.members)
}

func (a *actions) View(epoch uint64, chain []string) {
	holder := replica.Holder(chain, replica.KeepTolls)
	a.epoch, a.chain = epoch, chain
	a.tollAt.Store(&holder)
	a.meter.Serve(epoch, a.members)
}
