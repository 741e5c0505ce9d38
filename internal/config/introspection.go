package config

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/bearer"
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
	Bearer        Bearer   `toml:"bearer"`
	Callers       struct { // clients that ask by an access token of their own
		Plan  string `toml:"plan"`  // under which those tokens are asked about; empty: nobody may
		Scope string `toml:"scope"` // that they must have; empty: any
	} `toml:"callers"`
	URL       string    `toml:"url"`       // this front's own name, as its clients know it
	Audiences []string  `toml:"audiences"` // beside it, that clients' assertions may name
	Signing   []Key     `toml:"signing"`   // keys of signed answers: the first signs, all are told
	Resource  *Resource `toml:"resource"`
}

// Bearer sets up checks of the platform's requests.
type Bearer struct {
	Plan    string        `toml:"plan"` // under which they are counted; empty: none are made
	Base    string        `toml:"base"` // of the URLs that DPoP proofs name; empty: as asked
	Others  Requirement   `toml:"others"`
	Classes []Requirement `toml:"class"`
}

// Requirement is what the tokens of a class of requests must have.
type Requirement struct {
	Name      string   `toml:"name"` // of the class
	Scopes    []string `toml:"scopes"`
	Audiences []string `toml:"audiences"`
	Issuers   []string `toml:"issuers"`
	Bound     bool     `toml:"bound"`
	DPoP      bool     `toml:"dpop"`
	ACR       []string `toml:"acr"`
	MaxAge    Duration `toml:"max_age"`
	Realm     string   `toml:"realm"`
}

// Rules are the requirement as package bearer has it.
func (r Requirement) Rules() bearer.Requirement {
	return bearer.Requirement{Scopes: r.Scopes, Audiences: r.Audiences, Issuers: r.Issuers, Bound: r.Bound,
		DPoP: r.DPoP, ACR: r.ACR, MaxAge: time.Duration(r.MaxAge), Realm: r.Realm}
}

// check names what is wrong with the checks.
func (b *Bearer) check(f *faults, at string) {
	seen := map[string]bool{}
	for i, c := range b.Classes {
		key := fmt.Sprintf("%sbearer.class[%d]", at, i)
		if c.Name == "" || seen[c.Name] {
			f.add(key+".name", "%q is empty or another class's", c.Name)
		}
		seen[c.Name] = true
	}
	for i, c := range append([]Requirement{b.Others}, b.Classes...) {
		texts := slices.Concat(c.Scopes, c.ACR, []string{c.Realm})
		if strings.ContainsAny(strings.Join(texts, ""), "\"\\\r\n") {
			f.add(
				fmt.Sprintf("%sbearer.class[%d]", at, i-1),
				"quotes, backslashes and line ends can't be told to clients",
			)
		}
	}
	if u, err := url.Parse(b.Base); b.Base != "" && (err != nil || u.Host == "") {
		f.add(at+"bearer.base", "%q: want a URL", b.Base)
	}
}

// Resource is what is told of the resource that bearer tokens are for (RFC 9728).
type Resource struct {
	Resource string   `toml:"resource"`
	Servers  []string `toml:"authorization_servers"`
	Scopes   []string `toml:"scopes"`
	Name     string   `toml:"name"`
	Docs     string   `toml:"documentation"`
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
	Rest      bool     `toml:"rest"`     // it is asked about the rest, as one with neither is
	Servers   []string `toml:"servers"`
	Insecure  bool     `toml:"insecure"` // plain text, to loopback addresses
	TLS       TLS      `toml:"tls"`
	Path      string   `toml:"path"`
	Host      string   `toml:"host"`       // for the Host header; empty: the server's address
	Auth      string   `toml:"auth"`       // how this program shows who asks; empty: client_secret_basic
	ClientID  string   `toml:"client_id"`  // what it is known as there; empty: it asks without credentials
	SecretEnv string   `toml:"secret_env"` // the variable that holds its secret, or its token
	Key       Key      `toml:"key"`        // private_key_jwt
	Audience  string   `toml:"audience"`   // of its assertions; empty: the URL that is asked
	KeepAlive Duration `toml:"keep_alive"`
	Limit     Duration `toml:"limit"`   // for one question over all its attempts
	Attempt   Duration `toml:"attempt"` // for one attempt; 0: the question's limit
	Silence   Duration `toml:"silence"` // without an answer that count as a failure
	MostOut   int      `toml:"most_out"`
	Breaker   *bool    `toml:"breaker"` // whether it is left alone while it fails; true where not said
	Failures  int      `toml:"failures"`
	FirstRest Duration `toml:"first_rest"`
	MostRest  Duration `toml:"most_rest"`
	Fallback  struct {
		For       Duration `toml:"for"`       // how long its JWTs are checked here meanwhile; 0: not at all
		Path      string   `toml:"jwks_path"` // of its public keys, at the first of its servers
		Audiences []string `toml:"audiences"` // one of them must be in the token
		Every     Duration `toml:"every"`     // between readings of the keys
	} `toml:"fallback"`

	Secret string `toml:"-"`
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
		s.Fallback.Every = cmp.Or(s.Fallback.Every, Duration(5*time.Minute))
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
	if n.Callers.Plan != "" && !plans[n.Callers.Plan] {
		f.add(at+"callers.plan", "no plan %q", n.Callers.Plan)
	}
	n.Bearer.check(f, at)
	n.checkSigning(f, at)
	n.checkClients(f, at, plans, getenv)
}

// checkSigning reads the keys that sign answers.
func (n *Introspection) checkSigning(f *faults, at string) {
	if n.URL != "" {
		u, err := url.Parse(n.URL)
		if err != nil || u.Host == "" || u.RawQuery != "" || u.Fragment != "" ||
			u.Scheme != "https" && !(n.Insecure && u.Scheme == "http") {
			f.add(at+"url", "%q: want an https URL without query and fragment", n.URL)
		}
	}
	if len(n.Signing) > 0 && n.URL == "" {
		f.add(at+"url", "it is needed to sign answers")
	}
	seen := map[string]bool{}
	for i := range n.Signing {
		k := &n.Signing[i]
		key := fmt.Sprintf("%ssigning[%d]", at, i)
		if k.ID == "" || seen[k.ID] {
			f.add(key+".id", "%q is empty or another key's", k.ID)
		}
		seen[k.ID] = true
		if err := k.read(); err != nil {
			f.add(key+".file", "%w", err)
			continue
		}
		if _, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.JWK.Algorithm),
			Key: k.JWK.Key}, nil); err != nil {
			f.add(key+".alg", "%w", err)
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
		s.checkAuth(f, key, getenv)
		if b := s.Fallback; b.For > 0 && (s.Iss == "" || !strings.HasPrefix(b.Path, "/") || len(b.Audiences) == 0) {
			f.add(key+".fallback", "it needs iss, jwks_path and audiences")
		}
		if time.Duration(s.Fallback.For) > mostFallback {
			f.add(key+".fallback.for", "%v at most: revocations are not seen meanwhile", mostFallback)
		}
	}
	if _, err := n.Table(); err != nil {
		f.add(at+"issuer", "%w", err)
	}
}

// checkAuth reads what shows a service who asks.
func (s *Issuer) checkAuth(f *faults, key string, getenv func(string) string) {
	if s.SecretEnv != "" {
		if s.Secret = getenv(s.SecretEnv); s.Secret == "" {
			f.add(key+".secret_env", "the environment variable %s is not set", s.SecretEnv)
		}
	}
	if s.Auth != "" && s.Auth != "bearer" && s.ClientID == "" {
		f.add(key+".client_id", "%s needs it", s.Auth)
	}
	switch s.Auth {
	case "", "client_secret_basic", "client_secret_post":
	case "bearer":
		if s.SecretEnv == "" {
			f.add(key+".secret_env", "bearer needs a token from it")
		}
	case "client_secret_jwt":
		if len(s.Secret) < sharedKeyLeast {
			f.add(key+".secret_env", "client_secret_jwt needs a secret of %d bytes or more", sharedKeyLeast)
		}
	case "private_key_jwt":
		if err := s.Key.read(); err != nil {
			f.add(key+".key", "%w", err)
		}
	case "tls_client_auth", "self_signed_tls_client_auth":
		if s.TLS.Cert == "" {
			f.add(key+".tls.cert_file", "%s needs it", s.Auth)
		}
	default:
		f.add(key+".auth", "unknown method %q", s.Auth)
	}
}

// mostFallback bounds how long tokens are believed by their signatures alone.
const mostFallback = time.Hour

// mostIssuers bounds the cores that run: each issuer has two.
const mostIssuers = 64

// Table chooses issuers by their tokens.
func (n *Introspection) Table() (*issuers.Table, error) {
	rules := make([]issuers.Rule, len(n.Issuers))
	for i, s := range n.Issuers {
		rules[i] = issuers.Rule{Name: s.Name, Iss: s.Iss, Prefixes: s.Prefixes, Rest: s.Rest}
	}
	return issuers.New(rules)
}

// Options are those of the issuer's breaker.
func (s *Issuer) Options() breaker.Options {
	o := breaker.Options{MaxInFlight: s.MostOut, Failures: s.Failures, InitialBackoff: time.Duration(s.FirstRest),
		MaxBackoff: time.Duration(s.MostRest)}
	o.NeverOpen = s.Breaker != nil && !*s.Breaker
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
