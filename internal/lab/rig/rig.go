package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Kinds of actors.
const (
	anIngress = iota
	aServer
	someClients
	theCounter
	theList
)

// actor is one end of links: a process, a stand-in, or all clients of a zone.
type actor struct {
	kind   int
	name   string
	zone   string
	region string
	cell   int
	live   atomic.Bool
	faulty atomic.Int32 // faults that are on it now
	hurtAt atomic.Int64 // when one last began or ended, Unix nanoseconds

	number int // of an ingress, from 0
	proc   *process
	mu     sync.Mutex
	server *server
}

func (a *actor) dead() bool { return (a.kind == anIngress || a.kind == aServer) && !a.live.Load() }

// hurt marks the begin or the end of a fault.
func (a *actor) hurt(on bool) {
	if on {
		a.faulty.Add(1)
	} else {
		a.faulty.Add(-1)
	}
	a.hurtAt.Store(time.Now().UnixNano())
}

// well reports that nothing has been wrong with it since, by the rig's doing.
func (a *actor) well(since time.Time) bool {
	return a.faulty.Load() == 0 && a.hurtAt.Load() < since.UnixNano()
}

// Options say how a scenario is played.
type Options struct {
	Program  string // the program's file
	Dir      string // for its logs and settings; it must be there
	Progress func(line string)
	Env      []string // of each ingress, besides
}

// Rig is a fleet that is up.
type Rig struct {
	sc    *Scenario
	o     Options
	ctx   context.Context
	end   context.CancelFunc
	lock  net.Listener // holds the addresses of this rig against others
	host  string       // of all relays and stand-ins
	net   string       // first three bytes of its addresses
	begun time.Time

	all       []*actor
	ingresses []*actor
	servers   []*server
	clients   map[string]*actor // by zone
	counterAt *actor
	listAt    *actor
	list      *list
	counter   *counter
	closers   []interface{ Close() error }

	mu     sync.Mutex
	links  map[[2]*actor]*link
	relays []*relay
	doors  map[*actor]map[*actor]*relay // by from, to
	from   sync.Map                     // ends of a relay's connection to a server: the ingress
	rng    *rand.Rand

	gossips []*gossip
	keys    [][]byte
	seen    seen

	judge *judge
}

// New brings up the fleet of a scenario. Close ends all of it.
func New(ctx context.Context, sc *Scenario, o Options) (*Rig, error) {
	r := &Rig{sc: sc, o: o, clients: map[string]*actor{}, list: newList(), counter: newCounter(),
		links: map[[2]*actor]*link{}, doors: map[*actor]map[*actor]*relay{},
		rng: rand.New(rand.NewPCG(sc.Seed, 7))}
	r.ctx, r.end = context.WithCancel(ctx)
	if r.o.Progress == nil {
		r.o.Progress = func(string) {}
	}
	if err := r.up(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) up() error {
	if err := r.reserve(); err != nil {
		return err
	}
	r.cast()
	r.judge = newJudge(r)
	for _, s := range r.servers {
		s.addr = net.JoinHostPort(r.host, "0")
		if err := s.start(false); err != nil {
			return err
		}
		r.list.tell(s.entry("Ready"), time.Time{})
	}
	addr, h, err := serveOn(r.host, r.counter)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, h)
	for _, a := range r.ingresses {
		if err := r.surround(a, addr); err != nil {
			return err
		}
	}
	if r.sc.Fleet.on() {
		if err := r.gather(); err != nil {
			return err
		}
	}
	for _, a := range r.ingresses {
		if err := r.launch(a); err != nil {
			return err
		}
	}
	return r.ready()
}

// reserve takes a /24 of loopback addresses for this rig, by listening at its last one.
func (r *Rig) reserve() error {
	for range 50 {
		net3 := fmt.Sprintf("127.%d.%d.", 32+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", net3+"254:7999")
		if err == nil {
			r.lock, r.net, r.host = l, net3, net3+"254"
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// cast names all actors.
func (r *Rig) cast() {
	cell := 0
	add := func(a *actor) *actor {
		r.all = append(r.all, a)
		return a
	}
	for _, region := range r.sc.Regions {
		for _, z := range region.Zones {
			for i := range z.Ingresses {
				a := add(&actor{kind: anIngress, name: z.Name + strconv.Itoa(i+1), zone: z.Name, region: region.Name,
					number: len(r.ingresses)})
				r.ingresses = append(r.ingresses, a)
			}
			for i := range z.Servers {
				if i%4 == 0 { // a pod is of one zone
					cell++
				}
				a := add(&actor{kind: aServer, name: "s-" + z.Name + strconv.Itoa(i+1), zone: z.Name,
					region: region.Name, cell: cell})
				a.server = &server{a: a, set: r.sc.Servers, rig: r, slow: 1}
				r.servers = append(r.servers, a.server)
			}
			c := add(&actor{kind: someClients, name: "clients-" + z.Name, zone: z.Name, region: region.Name})
			r.clients[z.Name] = c
		}
	}
	r.counterAt = add(&actor{kind: theCounter, name: "counter"})
	r.listAt = add(&actor{kind: theList, name: "list"})
}

func (s *server) entry(state string) entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := entry{ID: s.a.name, Zone: s.a.zone, Type: "std", Cell: s.a.cell, State: state, Weight: 1}
	if !s.started.IsZero() {
		e.Started = s.started.UnixMilli()
	}
	return e
}

// link is the direction from one actor to another.
func (r *Rig) link(from, to *actor) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]*actor{from, to}
	if r.links[key] == nil {
		r.links[key] = newLink(from, to)
	}
	return r.links[key]
}

// door makes a relay from one actor to another, who listens at the target.
func (r *Rig) door(from, to *actor, target string, via func(net.Conn)) (*relay, error) {
	d := &relay{there: r.link(from, to), back: r.link(to, from), addr: net.JoinHostPort(r.host, "0"),
		target: target, via: via, ctx: r.ctx}
	r.mu.Lock()
	r.relays = append(r.relays, d)
	if r.doors[from] == nil {
		r.doors[from] = map[*actor]*relay{}
	}
	r.doors[from][to] = d
	r.mu.Unlock()
	if to.dead() { // it is about to start
		to.live.Store(true)
		defer to.live.Store(false)
	}
	return d, d.state()
}

// surround makes the relays round an ingress, and writes its settings.
func (r *Rig) surround(a *actor, counterAddr string) error {
	listen := fmt.Sprintf("%s%d:9000", r.net, a.number+1)
	for _, c := range r.clients {
		if _, err := r.door(c, a, listen, nil); err != nil {
			return err
		}
	}
	addrs := map[string]string{}
	for _, s := range r.servers {
		d, err := r.door(a, s.a, s.addr, func(far net.Conn) {
			r.from.Store(ends{far.LocalAddr().String(), far.RemoteAddr().String()}, a)
		})
		if err != nil {
			return err
		}
		addrs[s.a.name] = d.addr
	}
	addr, h, err := serveOn(r.host, r.list.handler(func(name string) string { return addrs[name] }))
	if err != nil {
		return err
	}
	r.closers = append(r.closers, h)
	list, err := r.door(a, r.listAt, addr, nil)
	if err != nil {
		return err
	}
	count, err := r.door(a, r.counterAt, counterAddr, nil)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(r.settings(a, listen, list.addr, count.addr), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.o.Dir, a.name+".json"), text, 0o644)
}

// ends tell a connection from others. One end alone does not: the kernel gives the same local address to
// connections that go to different servers.
type ends struct{ from, to string }

// came tells which ingress a connection to a server comes from.
func (r *Rig) came(e ends) *actor {
	a, _ := r.from.Load(e)
	from, _ := a.(*actor)
	return from
}

type object = map[string]any

// settings is an ingress's configuration in the platform's form.
func (r *Rig) settings(a *actor, listen, list, count string) object {
	var plans []object
	for _, p := range r.judge.plans {
		plans = append(plans, object{"name": p.name, "refill": p.rate, "most_at_once": p.burst, "price": p.price,
			"beyond_earns": 0, "excess_cost": 1})
	}
	return object{
		"name": a.name, "listen": listen, "discovery": list, "counter": count,
		"mgmt":   fmt.Sprintf("%s%d:9100", r.net, a.number+1),
		"seed":   strconv.FormatUint(r.sc.Seed<<8|uint64(a.number), 16),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{
			"az": a.zone, "n_instances": len(r.ingresses), "me": a.number,
			"family_info": object{"counter": true, "count_limit": 50, "units_top": 1},
			"invariants": object{"start_capacity": r.sc.Servers.Cold, "cold": millis(r.sc.Servers.Warm), "fall": 1000,
				"fall_multiple": r.sc.Servers.Hurts},
			"limits": object{"cancelling": true, "dial_timeout": 250, "keepalive": 15000, "max_attempts": 3,
				"max_retry_after": 2000},
			"load_report": object{"via": "off", "fields": []string{}},
			"prices":      object{"cross_zone": r.sc.Load.CrossZone},
			"profiles": []object{
				{"name": "enquiry", "repeat": "free", "aim": 1200, "give_up": 4000, "worth": 3, "late_share": 0.2},
				{"name": "transfer", "repeat": "guarded", "group": "cell", "window": 4000, "aim": 1200, "give_up": 4000,
					"worth": 5},
				{"name": "withdrawal", "repeat": "single_shot", "aim": 800, "give_up": 3000, "worth": 3},
			},
			"tariffs": plans,
		},
	}
}

func millis(d duration) int64 { return time.Duration(d).Milliseconds() }

// launch starts an ingress's process, and watches over it.
func (r *Rig) launch(a *actor) error {
	env := r.o.Env
	if r.sc.Fleet.on() {
		env = append([]string{"DUNESPOKE_OPERATOR=" + filepath.Join(r.o.Dir, a.name+".toml")}, env...)
	}
	p, err := launch(r.o.Program, r.o.Dir, a.name, env)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.proc = p
	a.mu.Unlock()
	a.live.Store(true)
	r.refresh()
	go func() {
		<-p.ended
		a.mu.Lock()
		mine := a.proc == p
		a.mu.Unlock()
		if mine && r.ctx.Err() == nil {
			a.live.Store(false)
			r.refresh()
			if a.faulty.Load() == 0 {
				r.judge.crashed(a.name)
			}
		}
	}()
	return nil
}

// ready waits until all ingresses take clients.
func (r *Rig) ready() error {
	ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
	defer cancel()
	for _, a := range r.ingresses {
		for !r.healthy(ctx, r.clients[a.zone], a) {
			if a.proc.gone() {
				return fmt.Errorf("ingress %s ended at its start: see %s", a.name, filepath.Join(r.o.Dir, a.name+".log"))
			}
			if sleep(ctx, 20*time.Millisecond); ctx.Err() != nil {
				return fmt.Errorf("ingress %s does not get ready", a.name)
			}
		}
	}
	return nil
}

// healthy asks an ingress for its health, as balancers do.
func (r *Rig) healthy(ctx context.Context, from, a *actor) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r.mu.Lock()
	addr := r.doors[from][a].addr
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// refresh brings all relays in line with what is dead and what is cut.
func (r *Rig) refresh() {
	r.mu.Lock()
	relays := r.relays
	r.mu.Unlock()
	for _, d := range relays {
		if err := d.state(); err != nil {
			r.note("relay: " + err.Error())
		}
	}
}

// note says what happens.
func (r *Rig) note(line string) {
	at := 0.0
	if !r.begun.IsZero() {
		at = time.Since(r.begun).Seconds()
	}
	r.o.Progress(fmt.Sprintf("%6.2f s  %s", at, line))
}

// Play makes the load and the faults of the scenario, and returns what came of it.
func (r *Rig) Play() *Result {
	r.begun = time.Now()
	ctx, stop := context.WithDeadline(r.ctx, r.begun.Add(time.Duration(r.sc.Seconds*float64(time.Second))))
	defer stop()
	var faults, asks sync.WaitGroup
	for i := range r.sc.Faults {
		faults.Go(func() { r.fault(ctx, &r.sc.Faults[i], rand.New(rand.NewPCG(r.sc.Seed, uint64(i)))) })
	}
	go r.report(ctx)
	if r.sc.Fleet.on() {
		r.watchFleet(ctx)
	}
	r.load(ctx, &asks)
	faults.Wait()
	asks.Wait()
	return r.judge.result(r.sc)
}

// report says how it goes, every five seconds.
func (r *Rig) report(ctx context.Context) {
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.note(r.judge.line())
		}
	}
}

// Close ends all that the rig started.
func (r *Rig) Close() {
	r.end()
	var all sync.WaitGroup
	for _, a := range r.ingresses {
		a.mu.Lock()
		p := a.proc
		a.mu.Unlock()
		if p != nil {
			all.Go(func() { p.signal(syscall.SIGCONT); p.kill() })
		}
	}
	all.Wait()
	for _, d := range r.relays {
		d.close()
	}
	for _, s := range r.servers {
		if s.http != nil {
			s.http.Close()
		}
	}
	for _, c := range r.closers {
		c.Close()
	}
	if r.lock != nil {
		r.lock.Close()
	}
}

// targets are the actors that a name of a scenario's file means.
func (r *Rig) targets(name string) []*actor {
	kind, which, _ := strings.Cut(name, ":")
	var found []*actor
	leader := ""
	if kind == "leader" {
		leader = r.Leader()
	}
	for _, a := range r.all {
		is := false
		switch kind {
		case "zone":
			is = a.zone == which
		case "region":
			is = a.region == which
		case "ingress":
			is = a.kind == anIngress && a.name == which
		case "ingresses":
			is = a.kind == anIngress && a.zone == which
		case "servers":
			is = a.kind == aServer && a.zone == which
		case "counter":
			is = a.kind == theCounter
		case "list":
			is = a.kind == theList
		case "voter":
			is = a.kind == anIngress && slices.Contains(r.sc.Fleet.Voters, a.name)
		case "leader":
			is = a.kind == anIngress && a.name == leader
		}
		if is {
			found = append(found, a)
		}
	}
	return found
}
