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

// Introspection configures the front for OAuth 2 token introspection. An empty Listen disables it, and an
// empty Bearer.Plan disables token checks of the platform's requests.
type Introspection struct {
	Listen        string   `toml:"listen"`
	Insecure      bool     `toml:"insecure"` // plain text; only on a loopback address
	TLS           TLS      `toml:"tls"`
	Path          string   `toml:"path"`
	Patience      Duration `toml:"patience"`       // deadline for clients that send none
	Aim           Duration `toml:"aim"`            // target time; responses over a part of it count as late
	CacheFor      Duration `toml:"cache_for"`      // how long "active" may be cached, unaware of a revocation
	CacheInactive Duration `toml:"cache_inactive"` // how long "inactive" may be cached
	CacheMost     int      `toml:"cache_most"`     // maximum cached responses per issuer
	Share         bool     `toml:"share"`          // coalesce concurrent identical requests
	Counter       string   `toml:"counter"`        // address of the quota counter; empty: the platform's, if set
	Gateways      int      `toml:"gateways"`
	Service       Issuer   `toml:"service"` // the only issuer; otherwise use issuer
	Issuers       []Issuer `toml:"issuer"`
	Clients       []Client `toml:"client"`
	Plans         []Plan   `toml:"plan"`
	Bearer        Bearer   `toml:"bearer"`
	Callers       struct { // clients that authenticate with an access token
		Plan  string `toml:"plan"`  // plan for introspecting those tokens; empty: not allowed
		Scope string `toml:"scope"` // required scope; empty: any
	} `toml:"callers"`
	URL       string    `toml:"url"`       // this front's URL, as its clients use it
	Audiences []string  `toml:"audiences"` // accepted in clients' assertions besides URL
	Signing   []Key     `toml:"signing"`   // keys for signed responses: the first signs, all are published
	Resource  *Resource `toml:"resource"`
}

// Bearer configures token checks of the platform's requests.
type Bearer struct {
	Plan    string        `toml:"plan"` // plan that counts them; empty: tokens are not checked
	Base    string        `toml:"base"` // base of the URLs in DPoP proofs; empty: the request's
	Others  Requirement   `toml:"others"`
	Classes []Requirement `toml:"class"`
}

// Requirement configures what tokens must satisfy for a class of requests.
type Requirement struct {
	Name      string   `toml:"name"` // name of the class
	Scopes    []string `toml:"scopes"`
	Audiences []string `toml:"audiences"`
	Issuers   []string `toml:"issuers"`
	Bound     bool     `toml:"bound"`
	DPoP      bool     `toml:"dpop"`
	ACR       []string `toml:"acr"`
	MaxAge    Duration `toml:"max_age"`
	Realm     string   `toml:"realm"`
}

// Rules converts the requirement to the type of package bearer.
func (r Requirement) Rules() bearer.Requirement {
	return bearer.Requirement{Scopes: r.Scopes, Audiences: r.Audiences, Issuers: r.Issuers, Bound: r.Bound,
		DPoP: r.DPoP, ACR: r.ACR, MaxAge: time.Duration(r.MaxAge), Realm: r.Realm}
}

// check validates the settings. at is the prefix of their keys in the file.
func (b *Bearer) check(f *faults, at string) {
	seen := map[string]bool{}
	for i, c := range b.Classes {
		key := fmt.Sprintf("%sbearer.class[%d]", at, i)
		if c.Name == "" || seen[c.Name] {
			f.add(key+".name", "%q is empty or used by another class", c.Name)
		}
		seen[c.Name] = true
	}
	for i, c := range append([]Requirement{b.Others}, b.Classes...) {
		texts := slices.Concat(c.Scopes, c.ACR, []string{c.Realm})
		if strings.ContainsAny(strings.Join(texts, ""), "\"\\\r\n") {
			f.add(
				fmt.Sprintf("%sbearer.class[%d]", at, i-1),
				"scopes, acr and realm must not contain quotes, backslashes or line breaks",
			)
		}
	}
	if u, err := url.Parse(b.Base); b.Base != "" && (err != nil || u.Host == "") {
		f.add(at+"bearer.base", "%q: want a URL", b.Base)
	}
}

// Resource is the published metadata of the protected resource (RFC 9728).
type Resource struct {
	Resource string   `toml:"resource"`
	Servers  []string `toml:"authorization_servers"`
	Scopes   []string `toml:"scopes"`
	Name     string   `toml:"name"`
	Docs     string   `toml:"documentation"`
}

// TLS configures the certificate files of one side of a connection.
type TLS struct {
	Cert string `toml:"cert_file"` // PEM, own certificate with its intermediates
	Key  string `toml:"key_file"`  // PEM
	CA   string `toml:"ca_file"`   // PEM, roots to verify the peer; empty: the system's
	Name string `toml:"name"`      // name that the peer's certificate must have; empty: the requested host
}

// Issuer configures the introspection service of one issuer.
type Issuer struct {
	Name      string   `toml:"name"`
	Iss       string   `toml:"iss"`      // iss claim of its JWTs
	Prefixes  []string `toml:"prefixes"` // prefixes of its tokens
	Rest      bool     `toml:"rest"`     // gets unmatched tokens; implied without iss and prefixes
	Servers   []string `toml:"servers"`
	Insecure  bool     `toml:"insecure"` // plain text; only to loopback addresses
	TLS       TLS      `toml:"tls"`
	Path      string   `toml:"path"`
	Host      string   `toml:"host"`       // value of the Host header; empty: the server's address
	Auth      string   `toml:"auth"`       // how this process authenticates; empty: client_secret_basic
	ClientID  string   `toml:"client_id"`  // client ID at the issuer; empty: no credentials are sent
	SecretEnv string   `toml:"secret_env"` // environment variable with the secret or token
	Key       Key      `toml:"key"`        // private_key_jwt
	Audience  string   `toml:"audience"`   // audience of assertions; empty: the requested URL
	KeepAlive Duration `toml:"keep_alive"`
	Limit     Duration `toml:"limit"`    // time limit for a request with all its attempts
	Attempt   Duration `toml:"attempt"`  // time limit for one attempt; 0: that of the request
	Silence   Duration `toml:"silence"`  // time without a response that counts as a failure
	MostOut   int      `toml:"most_out"` // maximum requests in flight
	Breaker   *bool    `toml:"breaker"`  // whether the circuit breaker is enabled; default true
	Failures  int      `toml:"failures"`
	FirstRest Duration `toml:"first_rest"`
	MostRest  Duration `toml:"most_rest"`
	Fallback  struct {
		For       Duration `toml:"for"`       // how long to verify JWTs locally in an outage; 0: disabled
		Path      string   `toml:"jwks_path"` // path of its JWKS, at its first server
		Audiences []string `toml:"audiences"` // a token must have one of them
		Every     Duration `toml:"every"`     // interval of fetching the keys
	} `toml:"fallback"`

	Secret string `toml:"-"`
}

// Plan is a quota per client, or per customer whose bearer tokens are checked.
type Plan struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`  // requests per second
	Burst float64 `toml:"burst"` // maximum burst, in requests
}

// On reports whether the introspection front or token checks are enabled.
func (n *Introspection) On() bool { return n.Listen != "" || n.Bearer.Plan != "" }

// resolveIssuers adds the service to the issuers if the file defines one, and sets the issuers' defaults.
func (n *Introspection) resolveIssuers(hasService bool) {
	if hasService {
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

// check validates the settings, and reads secrets from the environment.
func (n *Introspection) check(f *faults, getenv func(string) string) {
	if !n.On() {
		return
	}
	const at = "introspection."
	plans := map[string]bool{}
	for i, p := range n.Plans {
		key := fmt.Sprintf("%splan[%d]", at, i)
		if p.Name == "" || plans[p.Name] {
			f.add(key+".name", "%q is empty or used by another plan", p.Name)
		}
		plans[p.Name] = true
		if !(p.Rate >= 0 && p.Rate < 1e9) || !(p.Burst >= 0 && p.Burst < 1e9) || p.Rate > 0 && p.Burst < 1 {
			f.add(key, "rate and burst must not be negative, and a rate requires a burst of at least 1")
		}
	}
	if n.Bearer.Plan != "" && !plans[n.Bearer.Plan] {
		f.add(at+"bearer.plan", "no plan %q", n.Bearer.Plan)
	}
	if n.Aim == 0 || n.Patience == 0 {
		f.add(at+"aim", "aim and patience must be greater than 0")
	}
	if n.Gateways < 1 || n.Gateways > 1000 {
		f.add(at+"gateways", "%d, want 1 to 1000", n.Gateways)
	}
	if !strings.HasPrefix(n.Path, "/") {
		f.add(at+"path", "%q does not start with /", n.Path)
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

// checkSigning validates the URL, and loads the keys that sign responses.
func (n *Introspection) checkSigning(f *faults, at string) {
	if n.URL != "" {
		u, err := url.Parse(n.URL)
		if err != nil || u.Host == "" || u.RawQuery != "" || u.Fragment != "" ||
			u.Scheme != "https" && !(n.Insecure && u.Scheme == "http") {
			f.add(at+"url", "%q: want an https URL without query or fragment", n.URL)
		}
	}
	if len(n.Signing) > 0 && n.URL == "" {
		f.add(at+"url", "required to sign responses")
	}
	seen := map[string]bool{}
	for i := range n.Signing {
		k := &n.Signing[i]
		key := fmt.Sprintf("%ssigning[%d]", at, i)
		if k.ID == "" || seen[k.ID] {
			f.add(key+".id", "%q is empty or used by another key", k.ID)
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

// checkListen checks that requests, which contain tokens and secrets, do not cross a network in plain text
// (RFC 7662, 4).
func (n *Introspection) checkListen(f *faults, at string) {
	switch {
	case n.Insecure && (n.TLS != TLS{}):
		f.add(at+"insecure", "insecure excludes the tls settings; remove one of them")
	case n.Insecure && !loopback(n.Listen):
		f.add(at+"insecure", "%s is not a loopback address: plain text would expose tokens on the network",
			n.Listen)
	case !n.Insecure && (n.TLS.Cert == "" || n.TLS.Key == ""):
		f.add(at+"tls", "cert_file and key_file are required unless insecure = true on a loopback address")
	}
}

// checkIssuers validates all issuers. at is the prefix of their keys in the file.
func (n *Introspection) checkIssuers(f *faults, at string, getenv func(string) string) {
	if len(n.Issuers) == 0 {
		f.add(at+"issuer", "at least one issuer is required")
	}
	if len(n.Issuers) > maxIssuers {
		f.add(at+"issuer", "%d issuers, want at most %d", len(n.Issuers), maxIssuers)
	}
	for i := range n.Issuers {
		s := &n.Issuers[i]
		key := fmt.Sprintf("%sissuer[%s]", at, s.Name)
		if len(s.Servers) == 0 {
			f.add(key+".servers", "at least one server is required")
		}
		for _, addr := range s.Servers {
			if !hostPort(addr) {
				f.add(key+".servers", "%q: want host:port", addr)
			}
		}
		switch {
		case s.Insecure && (s.TLS != TLS{}):
			f.add(key+".insecure", "insecure excludes the tls settings; remove one of them")
		case s.Insecure && !allLoopback(s.Servers):
			f.add(key+".insecure", "not all servers have loopback addresses: plain text would expose tokens")
		case (s.TLS.Cert == "") != (s.TLS.Key == ""):
			f.add(key+".tls", "cert_file and key_file must be set together")
		}
		if !strings.HasPrefix(s.Path, "/") || strings.ContainsAny(s.Path+s.Host, " \r\n") {
			f.add(key+".path", "%q with host %q: want a path that starts with /, and no space or line break in either",
				s.Path, s.Host)
		}
		if err := s.Options().Validate(); err != nil {
			f.add(key, "%w", err)
		}
		s.checkAuth(f, key, getenv)
		if b := s.Fallback; b.For > 0 && (s.Iss == "" || !strings.HasPrefix(b.Path, "/") || len(b.Audiences) == 0) {
			f.add(key+".fallback", "iss, jwks_path and audiences are required")
		}
		if time.Duration(s.Fallback.For) > maxFallback {
			f.add(key+".fallback.for", "want at most %v: revocations are not seen during a fallback", maxFallback)
		}
	}
	if _, err := n.Table(); err != nil {
		f.add(at+"issuer", "%w", err)
	}
}

// checkAuth validates how this process authenticates at the issuer, and loads the credentials.
func (s *Issuer) checkAuth(f *faults, key string, getenv func(string) string) {
	if s.SecretEnv != "" {
		if s.Secret = getenv(s.SecretEnv); s.Secret == "" {
			f.add(key+".secret_env", "the environment variable %s is not set", s.SecretEnv)
		}
	}
	if s.Auth != "" && s.Auth != "bearer" && s.ClientID == "" {
		f.add(key+".client_id", "required for %s", s.Auth)
	}
	switch s.Auth {
	case "", "client_secret_basic", "client_secret_post":
	case "bearer":
		if s.SecretEnv == "" {
			f.add(key+".secret_env", "required for bearer: the variable contains the token")
		}
	case "client_secret_jwt":
		if len(s.Secret) < minSharedKeyBytes {
			f.add(key+".secret_env", "client_secret_jwt requires a secret of at least %d bytes", minSharedKeyBytes)
		}
	case "private_key_jwt":
		if err := s.Key.read(); err != nil {
			f.add(key+".key", "%w", err)
		}
	case "tls_client_auth", "self_signed_tls_client_auth":
		if s.TLS.Cert == "" {
			f.add(key+".tls.cert_file", "required for %s", s.Auth)
		}
	default:
		f.add(key+".auth", "unknown method %q", s.Auth)
	}
}

// maxFallback limits how long tokens are accepted by their signatures only, without asking the issuer.
const maxFallback = time.Hour

// maxIssuers limits the number of running cores: each issuer has two.
const maxIssuers = 64

// Table returns the table that selects the issuer of a token.
func (n *Introspection) Table() (*issuers.Table, error) {
	rules := make([]issuers.Rule, len(n.Issuers))
	for i, s := range n.Issuers {
		rules[i] = issuers.Rule{Name: s.Name, Iss: s.Iss, Prefixes: s.Prefixes, Rest: s.Rest}
	}
	return issuers.New(rules)
}

// Options returns the options of the issuer's circuit breaker.
func (s *Issuer) Options() breaker.Options {
	o := breaker.Options{MaxInFlight: s.MostOut, Failures: s.Failures,
		InitialBackoff: time.Duration(s.FirstRest),
		MaxBackoff:     time.Duration(s.MostRest)}
	o.NeverOpen = s.Breaker != nil && !*s.Breaker
	return o
}

// Freshness returns the limits on reusing cached responses.
func (n *Introspection) Freshness() freshness.Options {
	return freshness.Options{Positive: time.Duration(n.CacheFor), Negative: time.Duration(n.CacheInactive),
		Most: n.CacheMost}
}

// Asks returns the settings of the gate that admits clients' requests, one of several as each issuer has its
// own. The front supplies the class and the number of gateways.
func (n *Introspection) Asks(class choice.Class, gateways int) choice.Settings {
	s := n.settings(class)
	s.Gateways, s.Counter = gateways, true
	for _, p := range n.Plans {
		s.Plans = append(s.Plans, choice.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Price: 1})
	}
	return s
}

// Questions returns the settings of the gate that sends requests to an issuer's servers.
func (n *Introspection) Questions(class choice.Class, plan choice.Plan) choice.Settings {
	s := n.settings(class)
	s.Gateways, s.MaxAttempts, s.Plans = 1, 3, []choice.Plan{plan}
	return s
}

// settings returns what the settings of both gates have in common.
func (n *Introspection) settings(class choice.Class) choice.Settings {
	return choice.Settings{Classes: []choice.Class{class}, MaxUnits: 1, CounterTimeout: 50 * time.Millisecond,
		MaxAttempts: 1, DialTimeout: 250 * time.Millisecond, MaxRetryAfter: 10 * time.Second, Cancel: true,
		QueueField: -1}
}
