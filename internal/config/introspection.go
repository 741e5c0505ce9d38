package config

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
	"time"

	"dunespoke/choice"
	"dunespoke/internal/breaker"
	"dunespoke/internal/freshness"
	"dunespoke/internal/issuers"
)

// Introspection sets up the front for OAuth 2 token introspection. An empty Listen leaves it off, and an
// empty Bearer.Plan leaves checks of the platform's requests off.
type Introspection struct {
	Listen        string   `toml:"listen"`
	Insecure      bool     `toml:"insecure"` // plain text, on a loopback address
	TLS           TLS      `toml:"tls"`
	Path          string   `toml:"path"`
	Patience      Duration `toml:"patience"`       // of clients that don't tell theirs
	Aim           Duration `toml:"aim"`            // answers over a part of this count as late
	CacheFor      Duration `toml:"cache_for"`      // revocation bound: how long "active" may be told again
	CacheInactive Duration `toml:"cache_inactive"` // and how long "inactive"
	CacheMost     int      `toml:"cache_most"`     // answers kept for each issuer
	Share         bool     `toml:"share"`          // one question for many who ask the same at once
	Counter       string   `toml:"counter"`        // of quotas; empty: the platform's, if there is one
	Gateways      int      `toml:"gateways"`
	Service       Issuer   `toml:"service"` // the only issuer, or else:
	Issuers       []Issuer `toml:"issuer"`
	Clients       []Client `toml:"client"`
	Plans         []Plan   `toml:"plan"`
	Bearer        struct {
		Plan string `toml:"plan"`
	} `toml:"bearer"`
}

// TLS names files of one side of a connection.
type TLS struct {
	Cert string `toml:"cert_file"` // PEM, this program's own, with those between it and the root
	Key  string `toml:"key_file"`  // PEM
	CA   string `toml:"ca_file"`   // PEM, the roots that the other side's must come from; empty: the system's
	Name string `toml:"name"`      // what the other side's certificate must name; empty: the host asked
}

// Issuer sets up one issuer's service.
type Issuer struct {
	Name      string   `toml:"name"`
	Iss       string   `toml:"iss"`      // of its JWTs
	Prefixes  []string `toml:"prefixes"` // of its tokens
	Servers   []string `toml:"servers"`
	Insecure  bool     `toml:"insecure"` // plain text, to loopback addresses
	TLS       TLS      `toml:"tls"`
	Path      string   `toml:"path"`
	Host      string   `toml:"host"` // for the Host header; empty: the server's address
	ClientID  string   `toml:"client_id"`
	SecretEnv string   `toml:"secret_env"` // the environment variable that holds its secret
	KeepAlive Duration `toml:"keep_alive"`
	Limit     Duration `toml:"limit"`   // for one question over all its attempts
	Attempt   Duration `toml:"attempt"` // for one attempt; 0: the question's limit
	Silence   Duration `toml:"silence"` // without an answer that count as a failure
	MostOut   int      `toml:"most_out"`
	Breaker   *bool    `toml:"breaker"` // whether it is left alone while it fails; true where not said
	Failures  int      `toml:"failures"`
	FirstRest Duration `toml:"first_rest"`
	MostRest  Duration `toml:"most_rest"`

	Secret string `toml:"-"`
}

// Client may ask about tokens.
type Client struct {
	ID           string            `toml:"id"`
	SecretSHA256 string            `toml:"secret_sha256"` // of its secret, in hex
	Plan         string            `toml:"plan"`
	Secret       [sha256.Size]byte `toml:"-"`
}

// Plan is a quota for each client, or for each customer whose bearer tokens are checked.
type Plan struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`  // questions a second
	Burst float64 `toml:"burst"` // questions at once
}

// On reports whether introspection is set up at all.
func (n *Introspection) On() bool { return n.Listen != "" || n.Bearer.Plan != "" }

// one makes the service that a file names the only issuer, and fills in what issuers leave out.
func (n *Introspection) one(service bool) {
	if service {
		n.Service.Name = cmp.Or(n.Service.Name, "service")
		n.Issuers = append([]Issuer{n.Service}, n.Issuers...)
	}
	for i := range n.Issuers {
		s := &n.Issuers[i]
		s.Path = cmp.Or(s.Path, "/introspect")
		s.KeepAlive = cmp.Or(s.KeepAlive, Duration(10*time.Second))
		s.Limit = cmp.Or(s.Limit, n.Patience)
		s.Silence = cmp.Or(s.Silence, Duration(500*time.Millisecond))
		s.MostOut = cmp.Or(s.MostOut, 256)
	}
}

// check names what is wrong, and reads secrets from the environment.
func (n *Introspection) check(f *faults, getenv func(string) string) {
	if !n.On() {
		return
	}
	const at = "introspection."
	plans := map[string]bool{}
	for i, p := range n.Plans {
		key := fmt.Sprintf("%splan[%d]", at, i)
		if p.Name == "" || plans[p.Name] {
			f.add(key+".name", "%q is empty or another plan's", p.Name)
		}
		plans[p.Name] = true
		if !(p.Rate >= 0 && p.Rate < 1e9) || !(p.Burst >= 0 && p.Burst < 1e9) || p.Rate > 0 && p.Burst < 1 {
			f.add(key, "rate and burst must not be negative, and a rate needs a burst of 1 or more")
		}
	}
	if n.Bearer.Plan != "" && !plans[n.Bearer.Plan] {
		f.add(at+"bearer.plan", "no plan %q", n.Bearer.Plan)
	}
	if n.Aim == 0 || n.Patience == 0 {
		f.add(at+"aim", "aim and patience must be above 0")
	}
	if n.Gateways < 1 || n.Gateways > 1000 {
		f.add(at+"gateways", "%d, want 1 to 1000", n.Gateways)
	}
	if !strings.HasPrefix(n.Path, "/") {
		f.add(at+"path", "%q does not begin with /", n.Path)
	}
	if n.CacheMost < 0 || n.CacheMost > 1<<20 {
		f.add(at+"cache_most", "%d, want 0 to 1048576", n.CacheMost)
	}
	if err := n.Freshness().Validate(); err != nil {
		f.add(at+"cache_inactive", "%w", err)
	}
	if n.Listen != "" {
		n.checkListen(f, at)
	}
	n.checkIssuers(f, at, getenv)
	seen := map[string]bool{}
	for i := range n.Clients {
		c := &n.Clients[i]
		key := fmt.Sprintf("%sclient[%d]", at, i)
		if c.ID == "" || seen[c.ID] {
			f.add(key+".id", "%q is empty or another client's", c.ID)
		}
		seen[c.ID] = true
		if !plans[c.Plan] {
			f.add(key+".plan", "no plan %q", c.Plan)
		}
		if err := decodeHash(c.SecretSHA256, c.Secret[:]); err != nil {
			f.add(key+".secret_sha256", "%w", err)
		}
	}
}

// checkListen sees to it that questions, which hold tokens and secrets, don't go over a network in plain text
// (RFC 7662, 4).
func (n *Introspection) checkListen(f *faults, at string) {
	switch {
	case n.Insecure && (n.TLS != TLS{}):
		f.add(at+"insecure", "there are tls files: say one or the other")
	case n.Insecure && !loopback(n.Listen):
		f.add(at+"insecure", "%s is not a loopback address: plain text would show tokens to the network", n.Listen)
	case !n.Insecure && (n.TLS.Cert == "" || n.TLS.Key == ""):
		f.add(at+"tls", "cert_file and key_file are needed, or insecure = true on a loopback address")
	}
}

func (n *Introspection) checkIssuers(f *faults, at string, getenv func(string) string) {
	if len(n.Issuers) == 0 {
		f.add(at+"issuer", "there is none: nobody to ask")
	}
	if len(n.Issuers) > mostIssuers {
		f.add(at+"issuer", "%d issuers, %d at most", len(n.Issuers), mostIssuers)
	}
	for i := range n.Issuers {
		s := &n.Issuers[i]
		key := fmt.Sprintf("%sissuer[%s]", at, s.Name)
		if len(s.Servers) == 0 {
			f.add(key+".servers", "there is none: nobody to ask")
		}
		for _, addr := range s.Servers {
			if !hostPort(addr) {
				f.add(key+".servers", "%q: want host:port", addr)
			}
		}
		switch {
		case s.Insecure && (s.TLS != TLS{}):
			f.add(key+".insecure", "there are tls settings: say one or the other")
		case s.Insecure && !allLoopback(s.Servers):
			f.add(key+".insecure", "not all servers have loopback addresses: plain text would show tokens")
		case (s.TLS.Cert == "") != (s.TLS.Key == ""):
			f.add(key+".tls", "cert_file and key_file go together")
		}
		if !strings.HasPrefix(s.Path, "/") || strings.ContainsAny(s.Path+s.Host, " \r\n") {
			f.add(key+".path", "%q with host %q: want a path that begins with /, and no blanks", s.Path, s.Host)
		}
		if err := s.Options().Validate(); err != nil {
			f.add(key, "%w", err)
		}
		if s.SecretEnv != "" {
			if s.Secret = getenv(s.SecretEnv); s.Secret == "" {
				f.add(key+".secret_env", "the environment variable %s is not set", s.SecretEnv)
			}
		}
	}
	if _, err := n.Table(); err != nil {
		f.add(at+"issuer", "%w", err)
	}
}

// mostIssuers bounds the cores that run: each issuer has two.
const mostIssuers = 64

// Table chooses issuers by their tokens.
func (n *Introspection) Table() (*issuers.Table, error) {
	rules := make([]issuers.Rule, len(n.Issuers))
	for i, s := range n.Issuers {
		rules[i] = issuers.Rule{Name: s.Name, Iss: s.Iss, Prefixes: s.Prefixes}
	}
	return issuers.New(rules)
}

// Options are those of the issuer's breaker.
func (s *Issuer) Options() breaker.Options {
	o := breaker.Options{MostOut: s.MostOut, Failures: s.Failures, FirstRest: time.Duration(s.FirstRest),
		MostRest: time.Duration(s.MostRest)}
	if s.Breaker != nil && !*s.Breaker { // the bulkhead stays
		o.Failures, o.Window = math.MaxInt, math.MaxInt
	}
	return o
}

// Freshness are the bounds on using answers again.
func (n *Introspection) Freshness() freshness.Options {
	return freshness.Options{Positive: time.Duration(n.CacheFor), Negative: time.Duration(n.CacheInactive),
		Most: n.CacheMost}
}

// Asks are the settings of an askers' gate, one of several that the issuers have. The class and the lanes are
// the front's own.
func (n *Introspection) Asks(class choice.Class, gateways int) choice.Settings {
	s := n.settings(class)
	s.Gateways, s.Counter = gateways, true
	for _, p := range n.Plans {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Price: 1})
	}
	return s
}

// Questions are the settings of the gate that puts questions to an issuer's servers.
func (n *Introspection) Questions(class choice.Class, plan choice.Plan) choice.Settings {
	s := n.settings(class)
	s.Gateways, s.MaxAttempts, s.Plans = 1, 3, []choice.Plan{plan}
	return s
}

func (n *Introspection) settings(class choice.Class) choice.Settings {
	return choice.Settings{Classes: []choice.Class{class}, MaxUnits: 1, CounterTimeout: 50 * time.Millisecond,
		MaxAttempts: 1, DialTimeout: 250 * time.Millisecond, MaxRetryAfter: 10 * time.Second, Cancel: true,
		QueueField: -1}
}
