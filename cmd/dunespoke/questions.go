package main

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/bearer"
	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/front/gateway"
	"dunespoke/front/introspect"
	"dunespoke/front/platform"
	"dunespoke/internal/config"
	"dunespoke/internal/http1"
	"dunespoke/internal/localcount"
	"dunespoke/internal/net/counter"
	"dunespoke/internal/net/forward"
	"dunespoke/internal/net/keyset"
	"dunespoke/internal/net/secure"
	"dunespoke/internal/oauth/assertion"
)

// introspection is the front for token introspection with its issuers.
type introspection struct {
	p       *program
	share   sockets
	front   *introspect.Front
	listen  *secure.Side // nil: no TLS
	conf    *config.Introspection
	counter core.Counter // shared by the admission cores
	issuers []*issuer
	bearer  atomic.Pointer[introspect.Bearer] // nil: requests need no token
}

// issuer is the desk of one issuer, which queries its service, and the admission core, which applies the
// quotas of the clients. Both can outlive the configuration that they
// were created for: a reload keeps them where their settings are unchanged.
type issuer struct {
	conf      config.Issuer
	desk      *runningDesk
	admission *admissionCore
}

// runningDesk is a desk with its TLS client and the function that stops both.
type runningDesk struct {
	*introspect.Desk
	tls    *secure.Side // nil: plain text
	cancel context.CancelFunc
}

// admissionCore is a core that admits clients' requests to one desk. cancel stops it.
type admissionCore struct {
	*core.Core
	cancel context.CancelFunc
}

// admissionBackends is the number of backends as which a desk appears to the gate of its admission core. Each
// accepts a dozen requests at first and more while responses are fast, so that hundreds of clients can wait
// for one response.
const admissionBackends = 64

// retireDelay is how long the cores of an old configuration keep running for the requests that still wait
// there. It equals the longest timeout that a client can request.
const retireDelay = time.Hour

// startIntrospection starts token introspection. Without a listen address there is no front of its own, and
// it only checks the tokens of other fronts' requests.
func (p *program) startIntrospection(n *config.Introspection, share sockets) (*introspection, error) {
	q := &introspection{p: p, share: share}
	if n.Listen != "" && !n.Insecure {
		side, err := secure.Server(files(n.TLS), p.log)
		if err != nil {
			return nil, fmt.Errorf("introspection.tls: %w", err)
		}
		q.listen = side
		go side.Watch(p.work)
	}
	var local core.Counter = localcount.New()
	if addr := q.counterAddr(n); addr != "" {
		client := counter.New(addr, 50*time.Millisecond, p.dial, p.log)
		if p.conf != nil && addr == p.conf.Counter {
			p.counters = append(p.counters, client)
		}
		local = client
	}
	q.counter = local
	options, list, err := q.buildOptions(n)
	if err != nil {
		return nil, err
	}
	q.front = introspect.New(options)
	q.apply(n, list)
	p.ready = append(p.ready, q.front.Ready)
	if n.Listen == "" {
		return q, nil
	}
	return q, p.serve(n.Listen, q.front, share.clients, q.listen)
}

// files returns the TLS files of a configuration. A server requests client certificates, which are
// optional.
func files(t config.TLS) secure.Files {
	return secure.Files{Cert: t.Cert, Key: t.Key, CA: t.CA, Name: t.Name, Ask: true}
}

// fillOptions sets the clients that may send requests, the keys that sign responses and the metadata of the
// protected resource.
func (q *introspection) fillOptions(n *config.Introspection, o *introspect.Options) error {
	for _, k := range n.Clients {
		c := introspect.Client{ID: k.ID, Plan: k.Plan, Method: introspect.Method(k.Auth), SecretHash: k.SecretHash,
			SharedKey: k.SharedKey, Keys: k.Keys, Certificate: k.Certificate, Claims: k.Claims,
			Name: introspect.Name{Subject: k.Subject, DNS: k.DNS, URI: k.URI, IP: k.IP, Email: k.Email}}
		if k.EncryptAlg != "" {
			c.Encrypt = &introspect.Encryption{Key: k.EncryptKey, Algorithm: jose.KeyAlgorithm(k.EncryptAlg),
				Content: jose.ContentEncryption(k.EncryptEnc)}
		}
		o.Clients = append(o.Clients, c)
	}
	if len(n.Signing) > 0 {
		keys := make([]jose.JSONWebKey, len(n.Signing))
		for i, k := range n.Signing {
			keys[i] = k.JWK
		}
		var err error
		if o.Signer, err = introspect.NewSigner(n.URL, keys); err != nil {
			return err
		}
	}
	if r := n.Resource; r != nil {
		o.Resource = &introspect.Resource{Resource: r.Resource, Servers: r.Servers, Scopes: r.Scopes, Name: r.Name,
			Docs: r.Docs, Methods: []string{"header"}, DPoP: bearer.DPoPAlgorithms()}
	}
	return nil
}

// credential returns the credential with which this ingress authenticates to an issuer's service. The
// default method is Basic, and the credential is nil for it if no client ID is configured.
func credential(s *config.Issuer) (introspect.Credential, error) {
	audience := s.Audience
	if audience == "" {
		audience = "https://" + cmp.Or(s.Host, s.Servers[0]) + s.Path
	}
	switch s.Auth {
	case "client_secret_post":
		return introspect.PostCredential(s.ClientID, s.Secret), nil
	case "client_secret_jwt":
		m, err := assertion.NewMaker(s.ClientID, audience, time.Minute, []byte(s.Secret), "HS256", "")
		return introspect.AssertionCredential(m), err
	case "private_key_jwt":
		k := s.Key.JWK
		m, err := assertion.NewMaker(s.ClientID, audience, time.Minute, k.Key, k.Algorithm, k.KeyID)
		return introspect.AssertionCredential(m), err
	case "tls_client_auth", "self_signed_tls_client_auth":
		return introspect.CertificateCredential(s.ClientID), nil
	case "bearer":
		return introspect.BearerCredential(s.Secret), nil
	}
	if s.ClientID == "" {
		return nil, nil
	}
	return introspect.BasicCredential(s.ClientID, s.Secret), nil
}

// counterAddr returns the address of the shared counter, which defaults to the platform's; empty: none.
func (q *introspection) counterAddr(n *config.Introspection) string {
	if n.Counter == "" && q.p.conf != nil {
		return q.p.conf.Counter
	}
	return n.Counter
}

// platformGuard returns the guard of the platform front. It checks requests while bearer.plan is set.
func (q *introspection) platformGuard() platform.Guard { return (*bearerGuard)(q) }

type bearerGuard introspection

// Check passes a request on at once if no tokens are required, and otherwise after a check of its token.
func (g *bearerGuard) Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func()) {
	b := g.bearer.Load()
	if b == nil {
		then(nil)
		return nil
	}
	return b.Check(r, in, then)
}

// gatewayGuard returns the guard of the gateway's routes.
func (q *introspection) gatewayGuard() gateway.Guard { return (*bearerGuard)(q) }

// Require checks the token of a request against the requirement of its route.
func (g *bearerGuard) Require(r *http1.Request, in core.Request, required bearer.Requirement,
	then func(bearer.Claims, *http1.Answer)) (leave func()) {
	b := g.bearer.Load()
	if b == nil { // a reload has disabled the checks: reject requests that need a token
		then(bearer.Claims{}, http1.Plain(503, "tokens can't be checked now"))
		return nil
	}
	return b.Require(r, in, required, then)
}

// buildOptions creates the front's options and the issuers of a configuration. It reuses what is unchanged
// from the current one: desks with their cached responses, connections and quotas. It doesn't change the
// running configuration.
func (q *introspection) buildOptions(n *config.Introspection) (introspect.Options, []*issuer, error) {
	var o introspect.Options
	table, err := n.Table()
	if err != nil {
		return o, nil, err
	}
	gateways := n.Gateways
	if q.p.conf != nil {
		gateways = q.p.conf.Settings.Gateways
	}
	gateways *= len(n.Issuers) // the admission cores share the quotas like separate ingresses
	o = introspect.Options{Table: table, Path: n.Path, Patience: time.Duration(n.Patience), Gateways: gateways,
		Draining: q.p.draining, Log: q.p.log, Issuer: n.URL, Audiences: n.Audiences,
		Callers: introspect.Callers{Plan: n.Callers.Plan, Scope: n.Callers.Scope}}
	if q.listen != nil {
		o.Trust = q.listen.Trust
	}
	if err := q.fillOptions(n, &o); err != nil {
		return o, nil, err
	}
	var list []*issuer
	for i := range n.Issuers {
		s, err := q.buildIssuer(n, &n.Issuers[i], gateways)
		if err != nil {
			q.release(list, q.issuers, 0)
			return o, nil, fmt.Errorf("introspection.issuer[%s]: %w", n.Issuers[i].Name, err)
		}
		list = append(list, s)
		o.Issuers = append(o.Issuers, &introspect.Issuer{Desk: s.desk.Desk, Asks: s.admission.Core})
	}
	return o, list, nil
}

// buildIssuer creates the desk and the admission core of an issuer, or reuses the current ones.
func (q *introspection) buildIssuer(n *config.Introspection, conf *config.Issuer, gateways int) (*issuer,
	error) {
	s := &issuer{conf: *conf}
	old := q.issuerInUse(conf.Name)
	if old != nil && reflect.DeepEqual(old.conf, *conf) && q.conf.Aim == n.Aim &&
		q.conf.Freshness() == n.Freshness() && q.conf.Share == n.Share {
		s.desk = old.desk
	} else {
		class := introspect.Class(time.Duration(n.Aim), time.Duration(n.Patience))
		var err error
		if s.desk, err = q.newDesk(n, conf, class); err != nil {
			return nil, err
		}
	}
	if old != nil && q.canReuseAdmission(n) {
		s.admission = old.admission
		return s, nil
	}
	// The target latency equals the timeout: a late response is the issuer's, and the gate of the desk's own
	// core reacts to it.
	admissionClass := introspect.Class(time.Duration(n.Patience), time.Duration(n.Patience))
	work, cancel := context.WithCancel(q.p.work)
	c, err := q.startCore(work, n.Asks(admissionClass, gateways), introspect.Desks{}, q.counter)
	if err != nil {
		cancel()
		q.release([]*issuer{s}, q.issuers, 0)
		return nil, err
	}
	all := make([]core.Server, admissionBackends)
	for i := range all {
		all[i] = core.Server{Name: fmt.Sprint("lane-", i), State: choice.Live}
	}
	c.Servers(true, all)
	s.admission = &admissionCore{c, cancel}
	return s, nil
}

// canReuseAdmission reports whether the current admission cores fit a configuration.
func (q *introspection) canReuseAdmission(n *config.Introspection) bool {
	return len(q.conf.Issuers) == len(n.Issuers) && q.conf.Patience == n.Patience &&
		q.conf.Gateways == n.Gateways && reflect.DeepEqual(q.conf.Plans, n.Plans)
}

// newDesk creates an issuer's desk and starts the core through which it queries the issuer's servers.
func (q *introspection) newDesk(n *config.Introspection, conf *config.Issuer,
	class choice.Class) (d *runningDesk, err error) {
	dial := q.p.dial
	cred, err := credential(conf)
	if err != nil {
		return nil, err
	}
	work, cancel := context.WithCancel(q.p.work)
	defer func() {
		if err != nil {
			cancel()
		}
	}()
	d = &runningDesk{cancel: cancel}
	if !conf.Insecure {
		if d.tls, err = secure.Client(files(conf.TLS), q.p.log); err != nil {
			return nil, err
		}
		go d.tls.Watch(work)
		dial = d.tls.Dial(secure.Dialer(dial))
	}
	set := n.Questions(class, introspect.QuestionPlan())
	up := forward.New(forward.Config{Dial: dial, Log: q.p.log, DialTimeout: set.DialTimeout,
		KeepAlive: time.Duration(conf.KeepAlive), Connections: max(1, q.share.servers/len(n.Issuers)),
		Judge: introspect.Judge})
	c, err := q.startCore(work, set, introspect.Attempts{Upstream: up, Limit: time.Duration(conf.Attempt)}, nil)
	if err != nil {
		return nil, err
	}
	servers := make([]core.Server, 0, len(conf.Servers))
	for _, addr := range conf.Servers {
		servers = append(servers, core.Server{Name: addr, Addr: addr, State: choice.Live})
	}
	c.Servers(true, servers)
	var fallback *introspect.Fallback
	if b := conf.Fallback; b.For > 0 {
		keys := keyset.New(keyset.Options{Addr: conf.Servers[0], Host: conf.Host, Path: b.Path, Dial: dial,
			Every: time.Duration(b.Every), Log: q.p.log})
		go keys.Run(work)
		fallback = &introspect.Fallback{Issuer: conf.Iss, Audiences: b.Audiences, Keys: keys.Keys,
			For: time.Duration(b.For), Skew: 5 * time.Second}
	}
	d.Desk = introspect.NewDesk(introspect.DeskOptions{Issuer: conf.Name, Questions: c, Fallback: fallback,
		Service: introspect.Service{Path: conf.Path, Host: conf.Host, Credential: cred},
		Limit:   time.Duration(conf.Limit), Silence: time.Duration(conf.Silence), Alone: !n.Share,
		Breaker: conf.Options(), Freshness: n.Freshness(), Log: q.p.log})
	return d, nil
}

// startCore starts a core that runs until work is canceled.
func (q *introspection) startCore(work context.Context, set choice.Settings, up core.Upstream,
	counts core.Counter) (*core.Core, error) {
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: up,
		Counter: counts, Log: q.p.logDecision})
	if err != nil {
		return nil, err
	}
	go c.Run(work)
	return c, nil
}

// issuerInUse returns the current issuer of the given name, or nil.
func (q *introspection) issuerInUse(name string) *issuer {
	for _, s := range q.issuers {
		if s.conf.Name == name {
			return s
		}
	}
	return nil
}

// apply makes a configuration the current one, and stops the issuers' parts that it doesn't use after
// retireDelay.
func (q *introspection) apply(n *config.Introspection, list []*issuer) {
	q.release(q.issuers, list, retireDelay)
	q.conf, q.issuers = n, list
	if n.Bearer.Plan == "" {
		q.bearer.Store(nil)
	} else {
		b := introspect.Bearer{Front: q.front, Plan: n.Bearer.Plan, Base: n.Bearer.Base, Log: q.p.log,
			Others: n.Bearer.Others.Rules(), Classes: map[string]bearer.Requirement{}}
		for _, c := range n.Bearer.Classes {
			b.Classes[c.Name] = c.Rules()
		}
		if old := q.bearer.Load(); old != nil {
			b.Proofs = old.Proofs // proofs seen before the reload remain seen
		}
		q.bearer.Store(introspect.NewBearer(b))
	}
}

// release stops, after the given delay, the desks and admission cores in list that others doesn't use.
func (q *introspection) release(list, others []*issuer, after time.Duration) {
	for _, s := range list {
		used := func(same func(*issuer) bool) bool { return slices.ContainsFunc(others, same) }
		if s.desk != nil && !used(func(o *issuer) bool { return o.desk == s.desk }) {
			time.AfterFunc(after, s.desk.cancel)
		}
		if s.admission != nil && !used(func(o *issuer) bool { return o.admission == s.admission }) {
			time.AfterFunc(after, s.admission.cancel)
		}
	}
}

// reload applies a newly read configuration. On an error the current one stays in use.
func (q *introspection) reload(n *config.Introspection) error {
	var unapplied []string
	if n.Listen != q.conf.Listen || n.Insecure != q.conf.Insecure || n.TLS != q.conf.TLS {
		unapplied = append(unapplied, "introspection.listen, insecure and tls")
	}
	if n.Counter != q.conf.Counter {
		unapplied = append(unapplied, "introspection.counter")
	}
	if (n.Bearer.Plan != "") && q.p.conf != nil && !q.p.guarded {
		unapplied = append(unapplied, "introspection.bearer.plan")
	}
	if !n.On() {
		return fmt.Errorf("the file disables introspection, which needs a restart")
	}
	options, list, err := q.buildOptions(n)
	if err != nil {
		return err
	}
	if len(unapplied) > 0 {
		q.p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", unapplied).
			Msg("changed settings need a restart; keeping the previous values")
	}
	n.Listen, n.Insecure, n.TLS, n.Counter = q.conf.Listen, q.conf.Insecure, q.conf.TLS, q.conf.Counter
	q.front.Use(options)
	q.apply(n, list)
	if q.listen != nil {
		q.listen.Reload()
	}
	for _, s := range list {
		if s.desk.tls != nil {
			s.desk.tls.Reload()
		}
	}
	return nil
}
