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

// Gateway configures the front for general HTTP traffic. An empty listen address disables it.
type Gateway struct {
	Listen    string    `toml:"listen"`
	Insecure  bool      `toml:"insecure"` // plain text, without TLS
	TLS       TLS       `toml:"tls"`
	Head      int       `toml:"head"`     // maximum size of a request's header section, in bytes
	Short     int       `toml:"short"`    // bodies up to this many bytes are read in full before forwarding
	Trusted   []string  `toml:"trusted"`  // prefixes of trusted proxies
	Counter   string    `toml:"counter"`  // address of the quota counter; empty: the platform's, if set
	Gateways  int       `toml:"gateways"` // number of ingresses
	Zone      string    `toml:"zone"`
	Wait      Duration  `toml:"wait"`       // time limit for a request's header section and a short body
	KeepAlive Duration  `toml:"keep_alive"` // idle timeout of client connections, while there are enough
	Drain     Duration  `toml:"drain"`      // how long transfers may continue after SIGTERM
	Sockets   int       `toml:"sockets"`    // maximum of the process, when run without a platform
	MemoryMB  int       `toml:"memory_mb"`  // maximum for the process; 0: no limit
	Transfers Transfers `toml:"transfers"`
	Pace      Pace      `toml:"pace"` // of routes without their own
	Pools     []Pool    `toml:"pool"`
	Classes   []Class   `toml:"class"`
	Plans     []Plan    `toml:"plan"`
	Routes    []Route   `toml:"route"`

	Trust []netip.Prefix `toml:"-"`
}

// Transfers limits the memory for long bodies, in bytes.
type Transfers struct {
	Bytes     int `toml:"bytes"`  // all transfers together
	Window    int `toml:"window"` // maximum of one direction of a transfer
	MinWindow int `toml:"least"`  // minimum of one direction
}

// Options returns the options of the memory budget.
func (t Transfers) Options() flow.Options { return flow.Options(t) }

// Pace sets the minimum rates of both sides of a transfer.
type Pace struct {
	Client      float64  `toml:"client"` // minimum rate, in bytes per second; 0: no limit
	Server      float64  `toml:"server"`
	Grace       Duration `toml:"grace"`        // how long a side may be below its rate
	ClientStall Duration `toml:"client_stall"` // maximum time without a byte; 0: no limit
	ServerStall Duration `toml:"server_stall"`
}

// Pool configures a set of app servers.
type Pool struct {
	Name        string   `toml:"name"`
	Servers     []string `toml:"servers"`
	Discovery   string   `toml:"discovery"` // address of a server list, instead of servers
	Insecure    bool     `toml:"insecure"`  // plain text, without TLS
	TLS         TLS      `toml:"tls"`
	KeepAlive   Duration `toml:"keep_alive"`
	DialTimeout Duration `toml:"dial_timeout"`
	Attempts    int      `toml:"attempts"`
	Errors      []int    `toml:"errors"` // statuses after which a request may be retried on another server
}

// Class configures a class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Repeat   string   `toml:"repeat"`   // "safe", "keyed" or "never"
	Window   Duration `toml:"window"`   // for "keyed": how long servers remember an idempotency key
	Aim      Duration `toml:"aim"`      // target response time
	Deadline Duration `toml:"deadline"` // for a response's header section
	Worth    float64  `toml:"worth"`    // relative value; 0: 1
}

// Route configures which requests go to which pool, and their class and plan.
type Route struct {
	Host     string      `toml:"host"`
	Path     string      `toml:"path"`
	Methods  []string    `toml:"methods"`
	Pool     string      `toml:"pool"`
	Class    string      `toml:"class"`
	Plan     string      `toml:"plan"`
	Customer string      `toml:"customer"` // address, certificate, header:NAME, path:NAME or claim:NAME
	Units    float64     `toml:"units"`
	Spread   int         `toml:"spread"`   // number of ingresses that receive a customer's requests
	SetHost  string      `toml:"set_host"` // Host sent to the servers; empty: the request's
	Long     bool        `toml:"long"`     // responses are long
	Replay   int         `toml:"replay"`   // bytes of a long body to buffer for retries
	Upload   Duration    `toml:"upload"`   // additional time for a body while it is buffered
	Pace     *Pace       `toml:"pace"`
	Token    bool        `toml:"token"` // an access token is required
	Require  Requirement `toml:"require"`
}

// On reports whether the front is enabled.
func (g *Gateway) On() bool { return g.Listen != "" }

// defaults sets the values of keys that a file may omit. It must be called before the file is decoded.
func (g *Gateway) defaults() {
	g.Head, g.Short, g.Gateways = 16<<10, 4<<10, 1
	g.Drain, g.Wait, g.KeepAlive = Duration(30*time.Second), Duration(10*time.Second), Duration(time.Minute)
	g.Transfers = Transfers{Bytes: 16 << 20, Window: 64 << 10, MinWindow: 4 << 10}
	g.Pace = Pace{ClientStall: Duration(30 * time.Second), ServerStall: Duration(30 * time.Second),
		Grace: Duration(10 * time.Second)}
}

// Memory of the idle process, and the maximum memory of a connection apart from its transfer: buffers, stacks
// and the runtime's share. 2,000 transfers used 41 to 50 KiB each, including both connections and the windows
// (docs/measurements/streaming.md).
const (
	idleProcessBytes = 16 << 20
	clientConnBytes  = 32 << 10
	serverConnBytes  = 32 << 10
)

// Bound returns the maximum memory of the process in bytes, for the given numbers of client and server
// connections.
func (g *Gateway) Bound(clients, servers int) int {
	return idleProcessBytes + clients*(clientConnBytes+g.Short+g.Head) + servers*serverConnBytes +
		g.Transfers.Bytes
}

// keyPrefix is the prefix of the gateway's keys in validation errors.
const keyPrefix = "gateway."

// check validates the settings, and parses addresses. tokens says whether access tokens are checked.
func (g *Gateway) check(f *faults, tokens bool) {
	if !g.On() {
		return
	}
	switch {
	case g.Insecure && (g.TLS != TLS{}):
		f.add(keyPrefix+"insecure", "insecure excludes the tls settings; remove one of them")
	case !g.Insecure && (g.TLS.Cert == "" || g.TLS.Key == ""):
		f.add(keyPrefix+"tls", "cert_file and key_file are required unless insecure = true")
	}
	if g.Head < 1<<10 || g.Head > 1<<20 {
		f.add(keyPrefix+"head", "%d, want 1024 to 1048576", g.Head)
	}
	if g.Short < 0 || g.Short > 64<<10 {
		f.add(keyPrefix+"short", "%d, want 0 to 65536", g.Short)
	}
	if g.Wait <= 0 || g.KeepAlive <= 0 {
		f.add(keyPrefix+"wait", "wait and keep_alive must be greater than 0")
	}
	if g.Gateways < 1 || g.Gateways > 1000 {
		f.add(keyPrefix+"gateways", "%d, want 1 to 1000", g.Gateways)
	}
	if g.Sockets < 0 || g.Sockets > 1<<20 {
		f.add(keyPrefix+"sockets", "%d, want up to 1048576", g.Sockets)
	}
	if err := g.Transfers.Options().Validate(); err != nil {
		f.add(keyPrefix+"transfers", "%w", err)
	}
	for _, text := range g.Trusted {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			f.add(keyPrefix+"trusted", "%w", err)
		}
		g.Trust = append(g.Trust, p)
	}
	g.Pace.check(f, keyPrefix+"pace")
	pools := uniqueNames(f, "pool", g.Pools, func(p *Pool) string { return p.Name })
	classes := uniqueNames(f, "class", g.Classes, func(c *Class) string { return c.Name })
	plans := uniqueNames(f, "plan", g.Plans, func(p *Plan) string { return p.Name })
	for i := range g.Pools {
		g.Pools[i].check(f)
	}
	for _, c := range g.Classes {
		if _, ok := repeats[c.Repeat]; !ok || c.Aim <= 0 || c.Deadline < c.Aim {
			f.add(keyPrefix+"class["+c.Name+"]", "want repeat safe, keyed or never, and 0 < aim <= deadline")
		}
	}
	for _, p := range g.Plans {
		if !(p.Rate >= 0 && p.Rate < 1e9) || !(p.Burst >= 0 && p.Burst < 1e9) || p.Rate > 0 && p.Burst < 1 {
			f.add(keyPrefix+"plan["+p.Name+"]",
				"rate and burst must not be negative, and a rate requires a burst of at least 1")
		}
	}
	list := make([]routes.Route, len(g.Routes))
	for i := range g.Routes {
		r := &g.Routes[i]
		list[i] = r.Matches()
		key := fmt.Sprintf("%sroute[%s%s]", keyPrefix, r.Host, r.Path)
		if !pools[r.Pool] || !classes[r.Class] || !plans[r.Plan] {
			f.add(key, "pool %q, class %q or plan %q is not defined", r.Pool, r.Class, r.Plan)
		}
		r.check(f, key, g, tokens)
	}
	if len(list) == 0 {
		f.add(keyPrefix+"route", "at least one route is required")
	}
	if _, err := routes.New(list); err != nil {
		f.add(keyPrefix+"route", "%w", err)
	}
}

// uniqueNames checks that all entries of a kind have unique, non-empty names, and returns the set of names.
func uniqueNames[T any](f *faults, kind string, all []T, name func(*T) string) map[string]bool {
	seen := map[string]bool{}
	for i := range all {
		n := name(&all[i])
		if n == "" || seen[n] {
			f.add(fmt.Sprintf("%s%s[%d].name", keyPrefix, kind, i), "%q is empty or used twice", n)
		}
		seen[n] = true
	}
	return seen
}

// check validates the rates.
func (p *Pace) check(f *faults, key string) {
	if !(p.Client >= 0 && p.Client < 1e12) || !(p.Server >= 0 && p.Server < 1e12) {
		f.add(key, "rates must not be negative")
	}
	if (p.Client > 0 || p.Server > 0) && p.Grace <= 0 {
		f.add(key+".grace", "a minimum rate requires a grace above 0, as the first byte takes time")
	}
}

// Terms returns the limits of an exchange: the minimum rates of both sides, and head as the deadline for the
// response's header section.
func (p *Pace) Terms(head time.Duration) transfer.Terms {
	client := flow.Pace{MinRate: p.Client, Grace: time.Duration(p.Grace), Stall: time.Duration(p.ClientStall)}
	server := flow.Pace{MinRate: p.Server, Grace: time.Duration(p.Grace), Stall: time.Duration(p.ServerStall)}
	return transfer.Terms{ClientUp: client, ClientDown: client, ServerUp: server, ServerDown: server, Head: head}
}

// check sets defaults and validates the pool.
func (p *Pool) check(f *faults) {
	key := fmt.Sprintf("%spool[%s]", keyPrefix, p.Name)
	p.KeepAlive = cmp.Or(p.KeepAlive, Duration(10*time.Second))
	p.DialTimeout = cmp.Or(p.DialTimeout, Duration(250*time.Millisecond))
	p.Attempts = cmp.Or(p.Attempts, 3)
	if (len(p.Servers) == 0) == (p.Discovery == "") {
		f.add(key, "want either servers or discovery, the address of a server list")
	}
	for _, addr := range p.Servers {
		if !hostPort(addr) {
			f.add(key+".servers", "%q: want host:port", addr)
		}
	}
	if p.Insecure && (p.TLS != TLS{}) {
		f.add(key+".insecure", "insecure excludes the tls settings; remove one of them")
	}
	if p.Attempts < 1 || p.Attempts > 10 {
		f.add(key+".attempts", "%d, want 1 to 10", p.Attempts)
	}
	for _, status := range p.Errors {
		if status < 500 || status > 599 {
			f.add(key+".errors", "%d, want a status from 500 to 599", status)
		}
	}
}

// check sets defaults and validates the route.
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
		f.add(key+".customer", "a claim requires token = true")
	case source.Kind == gateway.Certificate && (g.Insecure || g.TLS.CA == ""):
		f.add(key+".customer", "a certificate requires ca_file in gateway.tls")
	}
	if r.Token && !tokens {
		f.add(key+".token", "introspection.bearer.plan is not set, so tokens cannot be checked")
	}
	if strings.ContainsAny(r.SetHost, " \r\n\t/") {
		f.add(key+".set_host", "%q: want a host name", r.SetHost)
	}
	if r.Pace != nil {
		r.Pace.check(f, key+".pace")
	}
}

// Matches returns the pattern of the requests that use the route.
func (r *Route) Matches() routes.Route {
	return routes.Route{Host: r.Host, Path: r.Path, Methods: r.Methods}
}

// repeats maps the values of the key repeat to whether requests are safe to send twice.
var repeats = map[string]choice.Repeat{"safe": choice.Safe, "keyed": choice.Keyed, "never": choice.Unsafe}

// Settings returns the settings of a pool's gate. The gates of all pools share quotas.
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

// Keep copies settings that only take effect after a restart into a reloaded configuration, and returns the
// names of those that differed.
func (g *Gateway) Keep(reloaded *Gateway) (kept []string) {
	keep := func(name string, same bool, restore func()) {
		if !same {
			kept = append(kept, keyPrefix+name)
			restore()
		}
	}
	keep("listen, insecure and tls",
		g.Listen == reloaded.Listen && g.Insecure == reloaded.Insecure && g.TLS == reloaded.TLS,
		func() { reloaded.Listen, reloaded.Insecure, reloaded.TLS = g.Listen, g.Insecure, g.TLS })
	keep("head and short", g.Head == reloaded.Head && g.Short == reloaded.Short,
		func() { reloaded.Head, reloaded.Short = g.Head, g.Short })
	keep("wait, keep_alive and drain",
		g.Wait == reloaded.Wait && g.KeepAlive == reloaded.KeepAlive && g.Drain == reloaded.Drain,
		func() { reloaded.Wait, reloaded.KeepAlive, reloaded.Drain = g.Wait, g.KeepAlive, g.Drain })
	keep("sockets and memory_mb", g.Sockets == reloaded.Sockets && g.MemoryMB == reloaded.MemoryMB,
		func() { reloaded.Sockets, reloaded.MemoryMB = g.Sockets, g.MemoryMB })
	keep("transfers", g.Transfers == reloaded.Transfers, func() { reloaded.Transfers = g.Transfers })
	keep("counter", g.Counter == reloaded.Counter, func() { reloaded.Counter = g.Counter })
	return kept
}

// class returns the class with a name, which must exist.
func (g *Gateway) class(name string) *Class {
	i := slices.IndexFunc(g.Classes, func(c Class) bool { return c.Name == name })
	return &g.Classes[i]
}

// Table returns the front's routes. The caller must set their cores.
func (g *Gateway) Table() []gateway.Route {
	all := make([]gateway.Route, len(g.Routes))
	pools := map[string]map[string]bool{} // by plan; cores that share a quota count as ingresses to each other
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
		source, _ := gateway.ParseSource(r.Customer) // validated by Route.check
		all[i] = gateway.Route{Route: r.Matches(), Class: r.Class, Patience: head, Plan: r.Plan,
			Customer: source, Units: r.Units, Spread: r.Spread * len(pools[r.Plan]), Host: r.SetHost, Long: r.Long,
			Replay: r.Replay, Upload: time.Duration(r.Upload), Terms: pace.Terms(head), Token: r.Token,
			Require: r.Require.Rules()}
	}
	return all
}
