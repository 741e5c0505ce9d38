package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"dunespoke/choice"
	"dunespoke/front/gateway"
	"dunespoke/internal/flow"
	"dunespoke/internal/net/transfer"
	"dunespoke/internal/routes"
)

// Gateway sets up the front for any HTTP traffic. An empty listen address leaves it off.
type Gateway struct {
	Listen    string    `toml:"listen"`
	Insecure  bool      `toml:"insecure"` // plain text
	TLS       TLS       `toml:"tls"`
	Head      int       `toml:"head"`  // bytes of a request's head
	Short     int       `toml:"short"` // bytes of a body that is read whole before its request goes on
	Trusted   []string  `toml:"trusted"`
	Counter   string    `toml:"counter"` // of quotas; empty: the platform's, if there is one
	Gateways  int       `toml:"gateways"`
	Zone      string    `toml:"zone"`
	Wait      Duration  `toml:"wait"`       // for a request's head and a short body
	KeepAlive Duration  `toml:"keep_alive"` // of clients' connections, while there are enough
	Drain     Duration  `toml:"drain"`      // for which transfers may go on after SIGTERM
	Sockets   int       `toml:"sockets"`    // that the whole program may hold, without the platform
	MemoryMB  int       `toml:"memory_mb"`  // that the program may take; 0: any
	Transfers Transfers `toml:"transfers"`
	Pace      Pace      `toml:"pace"` // of routes that have none of their own
	Pools     []Pool    `toml:"pool"`
	Classes   []Class   `toml:"class"`
	Plans     []Plan    `toml:"plan"`
	Routes    []Route   `toml:"route"`

	Trust []netip.Prefix `toml:"-"`
}

// Transfers bound the memory of long bodies.
type Transfers struct {
	Bytes     int `toml:"bytes"`  // of all
	Window    int `toml:"window"` // of one direction of one, at most
	MinWindow int `toml:"least"`  // and at least
}

// Options are those of the budget.
func (t Transfers) Options() flow.Options { return flow.Options(t) }

// Pace is how fast the sides of a transfer must be.
type Pace struct {
	Client      float64  `toml:"client"` // bytes a second; 0: any
	Server      float64  `toml:"server"`
	Grace       Duration `toml:"grace"`        // for which a side may be slower
	ClientStall Duration `toml:"client_stall"` // without a byte; 0: any
	ServerStall Duration `toml:"server_stall"`
}

// Pool is a set of app servers.
type Pool struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"`
	Discovery   string   `toml:"discovery"` // address of a server list, instead of servers
	Insecure    bool     `toml:"insecure"`  // plain text
	TLS         TLS      `toml:"tls"`
	KeepAlive   Duration `toml:"keep_alive"`
	DialTimeout Duration `toml:"dial_timeout"`
	Attempts    int      `toml:"attempts"`
	Errors      []int    `toml:"errors"` // statuses after which another server may be asked
}

// Class is a class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Repeat   string   `toml:"repeat"` // "safe", "keyed" or "never"
	Window   Duration `toml:"window"` // for keyed: how long servers know a key
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"` // for an answer's head
	Worth    float64  `toml:"worth"`
}

// Route says which requests go where, and what they count as.
type Route struct {
	Host     string      `toml:"host"`
	Path     string      `toml:"path"`
	Methods  []string    `toml:"methods"`
	Pool     string      `toml:"pool"`
	Class    string      `toml:"class"`
	Plan     string      `toml:"plan"`
	Customer string      `toml:"customer"` // address, certificate, header:NAME, path:NAME or claim:NAME
	Units    float64     `toml:"units"`
	Spread   int         `toml:"spread"`   // ingresses that a customer's requests come by
	SetHost  string      `toml:"set_host"` // told to the servers; empty: as asked
	Long     bool        `toml:"long"`     // answers are long
	Replay   int         `toml:"replay"`   // bytes of a long body held to be sent again
	Upload   Duration    `toml:"upload"`   // more time for a body while it is held
	Pace     *Pace       `toml:"pace"`
	Token    bool        `toml:"token"` // an access token is needed
	Require  Requirement `toml:"require"`
}

// On reports whether the front is set up.
func (g *Gateway) On() bool { return g.Listen != "" }

// defaults fills in what a file may leave out. It comes before the file is read.
func (g *Gateway) defaults() {
	g.Head, g.Short, g.Gateways = 16<<10, 4<<10, 1
	g.Drain, g.Wait, g.KeepAlive = Duration(30*time.Second), Duration(10*time.Second), Duration(time.Minute)
	g.Transfers = Transfers{Bytes: 16 << 20, Window: 64 << 10, MinWindow: 4 << 10}
	g.Pace = Pace{ClientStall: Duration(30 * time.Second), ServerStall: Duration(30 * time.Second),
		Grace: Duration(10 * time.Second)}
}

// What the program takes at rest, and a connection beside its transfer at the most: buffers, stacks and
// what the runtime holds of it, in bytes. 2,000 transfers took 41 to 50 KiB each, with both connections
// and the windows (docs/measurements/streaming.md).
const (
	restBytes   = 16 << 20
	clientBytes = 32 << 10
	serverBytes = 32 << 10
)

// Bound is the memory that the program may take, in bytes.
func (g *Gateway) Bound(clients, servers int) int {
	return restBytes + clients*(clientBytes+g.Short+g.Head) + servers*serverBytes + g.Transfers.Bytes
}

const atGateway = "gateway."

// check names what is wrong, and reads what texts say.
func (g *Gateway) check(f *faults, tokens bool) {
	if !g.On() {
		return
	}
	switch {
	case g.Insecure && (g.TLS != TLS{}):
		f.add(atGateway+"insecure", "there are tls files: say one or the other")
	case !g.Insecure && (g.TLS.Cert == "" || g.TLS.Key == ""):
		f.add(atGateway+"tls", "cert_file and key_file are needed, or insecure = true")
	}
	if g.Head < 1<<10 || g.Head > 1<<20 {
		f.add(atGateway+"head", "%d, want 1024 to 1048576", g.Head)
	}
	if g.Short < 0 || g.Short > 64<<10 {
		f.add(atGateway+"short", "%d, want 0 to 65536", g.Short)
	}
	if g.Wait <= 0 || g.KeepAlive <= 0 {
		f.add(atGateway+"wait", "wait and keep_alive must be above 0")
	}
	if g.Gateways < 1 || g.Gateways > 1000 {
		f.add(atGateway+"gateways", "%d, want 1 to 1000", g.Gateways)
	}
	if g.Sockets < 0 || g.Sockets > 1<<20 {
		f.add(atGateway+"sockets", "%d, want up to 1048576", g.Sockets)
	}
	if err := g.Transfers.Options().Validate(); err != nil {
		f.add(atGateway+"transfers", "%w", err)
	}
	for _, text := range g.Trusted {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			f.add(atGateway+"trusted", "%w", err)
		}
		g.Trust = append(g.Trust, p)
	}
	g.Pace.check(f, atGateway+"pace")
	pools := named(f, "pool", g.Pools, func(p *Pool) string { return p.Name })
	classes := named(f, "class", g.Classes, func(c *Class) string { return c.Name })
	plans := named(f, "plan", g.Plans, func(p *Plan) string { return p.Name })
	for i := range g.Pools {
		g.Pools[i].check(f)
	}
	for _, c := range g.Classes {
		if _, ok := repeats[c.Repeat]; !ok || c.Aim <= 0 || c.Deadline < c.Aim {
			f.add(atGateway+"class["+c.Name+"]", "want repeat safe, keyed or never, and 0 < aim <= deadline")
		}
	}
	for _, p := range g.Plans {
		if !(p.Rate >= 0 && p.Rate < 1e9) || !(p.Burst >= 0 && p.Burst < 1e9) || p.Rate > 0 && p.Burst < 1 {
			f.add(atGateway+"plan["+p.Name+"]", "rate and burst must not be negative, and a rate needs a burst")
		}
	}
	list := make([]routes.Route, len(g.Routes))
	for i := range g.Routes {
		r := &g.Routes[i]
		list[i] = r.Matches()
		key := fmt.Sprintf("%sroute[%s%s]", atGateway, r.Host, r.Path)
		if !pools[r.Pool] || !classes[r.Class] || !plans[r.Plan] {
			f.add(key, "pool %q, class %q or plan %q is not there", r.Pool, r.Class, r.Plan)
		}
		r.check(f, key, g, tokens)
	}
	if len(list) == 0 {
		f.add(atGateway+"route", "there is none")
	}
	if _, err := routes.New(list); err != nil {
		f.add(atGateway+"route", "%w", err)
	}
}

// named sees to it that all of a kind have names of their own, and returns those.
func named[T any](f *faults, kind string, all []T, name func(*T) string) map[string]bool {
	seen := map[string]bool{}
	for i := range all {
		n := name(&all[i])
		if n == "" || seen[n] {
			f.add(fmt.Sprintf("%s%s[%d].name", atGateway, kind, i), "%q is empty or another's", n)
		}
		seen[n] = true
	}
	return seen
}

func (p *Pace) check(f *faults, key string) {
	if !(p.Client >= 0 && p.Client < 1e12) || !(p.Server >= 0 && p.Server < 1e12) {
		f.add(key, "rates must not be negative")
	}
	if (p.Client > 0 || p.Server > 0) && p.Grace <= 0 {
		f.add(key+".grace", "a least rate needs a grace: nobody sends a first byte at once")
	}
}

// Terms are what exchanges are held to by it, and by their class's time for a head.
func (p *Pace) Terms(head time.Duration) transfer.Terms {
	client := flow.Pace{MinRate: p.Client, Grace: time.Duration(p.Grace), Stall: time.Duration(p.ClientStall)}
	server := flow.Pace{MinRate: p.Server, Grace: time.Duration(p.Grace), Stall: time.Duration(p.ServerStall)}
	return transfer.Terms{ClientUp: client, ClientDown: client, ServerUp: server, ServerDown: server, Head: head}
}

func (p *Pool) check(f *faults) {
	key := fmt.Sprintf("%spool[%s]", atGateway, p.Name)
	p.KeepAlive = cmp.Or(p.KeepAlive, Duration(10*time.Second))
	p.DialTimeout = cmp.Or(p.DialTimeout, Duration(250*time.Millisecond))
	p.Attempts = cmp.Or(p.Attempts, 3)
	if (len(p.Servers) == 0) == (p.Discovery == "") {
		f.add(key, "want servers, or the address of a list as discovery")
	}
	for _, addr := range p.Servers {
		if !hostPort(addr) {
			f.add(key+".servers", "%q: want host:port", addr)
		}
	}
	if p.Insecure && (p.TLS != TLS{}) {
		f.add(key+".insecure", "there are tls settings: say one or the other")
	}
	if p.Attempts < 1 || p.Attempts > 10 {
		f.add(key+".attempts", "%d, want 1 to 10", p.Attempts)
	}
	for _, status := range p.Errors {
		if status < 500 || status > 599 {
			f.add(key+".errors", "%d, want statuses of 500 and more", status)
		}
	}
}

func (r *Route) check(f *faults, key string, g *Gateway, tokens bool) {
	r.Units, r.Spread = cmp.Or(r.Units, 1), cmp.Or(r.Spread, g.Gateways)
	if !(r.Units > 0 && r.Units < 1e9) {
		f.add(key+".units", "%g, want more than 0", r.Units)
	}
	if r.Spread < 1 || r.Spread > g.Gateways {
		f.add(key+".spread", "%d, want 1 to the number of gateways", r.Spread)
	}
	if r.Replay < 0 || r.Replay > g.Transfers.Window {
		f.add(key+".replay", "%d, want 0 to transfers.window", r.Replay)
	}
	source, err := gateway.ParseSource(r.Customer)
	switch {
	case err != nil:
		f.add(key+".customer", "%w", err)
	case source.Kind == gateway.Path && !strings.Contains(r.Path, "{"+source.Name+"}"):
		f.add(key+".customer", "the path has no {%s}", source.Name)
	case source.Kind == gateway.Claim && !r.Token:
		f.add(key+".customer", "a claim needs token = true")
	case source.Kind == gateway.Certificate && (g.Insecure || g.TLS.CA == ""):
		f.add(key+".customer", "a certificate needs gateway.tls with a ca_file")
	}
	if r.Token && !tokens {
		f.add(key+".token", "introspection.bearer.plan is not set: nobody checks tokens")
	}
	if strings.ContainsAny(r.SetHost, " \r\n\t/") {
		f.add(key+".set_host", "%q: want a host", r.SetHost)
	}
	if r.Pace != nil {
		r.Pace.check(f, key+".pace")
	}
}

// Matches says which requests take the route.
func (r *Route) Matches() routes.Route {
	return routes.Route{Host: r.Host, Path: r.Path, Methods: r.Methods}
}

// repeats are the words for what sending a request twice may do.
var repeats = map[string]choice.Repeat{"safe": choice.Safe, "keyed": choice.Keyed, "never": choice.Unsafe}

// Settings are those of a pool's gate, one of several that share quotas.
func (g *Gateway) Settings(p *Pool) choice.Settings {
	s := choice.Settings{Zone: g.Zone, Gateways: g.Gateways * len(g.Pools), Counter: true, MaxUnits: 1,
		CounterTimeout: 50 * time.Millisecond, MaxAttempts: p.Attempts, DialTimeout: time.Duration(p.DialTimeout),
		MaxRetryAfter: 10 * time.Second, Cancel: true, QueueField: -1}
	for _, r := range g.Routes {
		s.MaxUnits = max(s.MaxUnits, r.Units)
	}
	for _, c := range g.Classes {
		s.Classes = append(s.Classes, choice.Class{Name: c.Name, Repeat: repeats[c.Repeat],
			Window: time.Duration(c.Window), Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline),
			Worth: cmp.Or(c.Worth, 1), LateShare: 0.5})
	}
	for _, p := range g.Plans {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Price: 1})
	}
	return s
}

// Keep keeps in a configuration read again what only a restart takes, and names what differs.
func (g *Gateway) Keep(read *Gateway) (kept []string) {
	keep := func(name string, same bool, restore func()) {
		if !same {
			kept = append(kept, atGateway+name)
			restore()
		}
	}
	keep("listen, insecure and tls", g.Listen == read.Listen && g.Insecure == read.Insecure && g.TLS == read.TLS,
		func() { read.Listen, read.Insecure, read.TLS = g.Listen, g.Insecure, g.TLS })
	keep("head and short", g.Head == read.Head && g.Short == read.Short,
		func() { read.Head, read.Short = g.Head, g.Short })
	keep("wait, keep_alive and drain",
		g.Wait == read.Wait && g.KeepAlive == read.KeepAlive && g.Drain == read.Drain,
		func() { read.Wait, read.KeepAlive, read.Drain = g.Wait, g.KeepAlive, g.Drain })
	keep("sockets and memory_mb", g.Sockets == read.Sockets && g.MemoryMB == read.MemoryMB,
		func() { read.Sockets, read.MemoryMB = g.Sockets, g.MemoryMB })
	keep("transfers", g.Transfers == read.Transfers, func() { read.Transfers = g.Transfers })
	keep("counter", g.Counter == read.Counter, func() { read.Counter = g.Counter })
	return kept
}

func (g *Gateway) class(name string) *Class {
	i := slices.IndexFunc(g.Classes, func(c Class) bool { return c.Name == name })
	return &g.Classes[i]
}

// Table are the front's routes; their cores are to be filled in.
func (g *Gateway) Table() []gateway.Route {
	all := make([]gateway.Route, len(g.Routes))
	pools := map[string]map[string]bool{} // by plan: to each other, cores that share a quota are ingresses
	for _, r := range g.Routes {
		if pools[r.Plan] == nil {
			pools[r.Plan] = map[string]bool{}
		}
		pools[r.Plan][r.Pool] = true
	}
	for i := range g.Routes {
		r := &g.Routes[i]
		head := time.Duration(g.class(r.Class).Deadline)
		pace := cmp.Or(r.Pace, &g.Pace)
		source, _ := gateway.ParseSource(r.Customer) // checked
		all[i] = gateway.Route{Route: r.Matches(), Class: r.Class, Patience: head, Plan: r.Plan,
			Customer: source, Units: r.Units, Spread: r.Spread * len(pools[r.Plan]), Host: r.SetHost, Long: r.Long,
			Replay: r.Replay, Upload: time.Duration(r.Upload), Terms: pace.Terms(head), Token: r.Token,
			Require: r.Require.Rules()}
	}
	return all
}
