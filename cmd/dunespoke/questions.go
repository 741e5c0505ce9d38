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

// questions is the front for token introspection with all that stands behind it.
type questions struct {
	p       *program
	share   sockets
	front   *introspect.Front
	listen  *secure.Side // nil: plain text
	conf    *config.Introspection
	counts  core.Counter // shared by the askers' cores
	issuers []*issuer
	bearer  atomic.Pointer[introspect.Bearer] // nil: requests of the platform need no token
}

// issuer is one issuer's desk and askers' core. Both may outlive the configuration that they were made for.
type issuer struct {
	conf config.Issuer
	desk *deskPart
	asks *asksPart
}

type deskPart struct {
	*introspect.Desk
	tls *secure.Side // nil: plain text
	end context.CancelFunc
}

type asksPart struct {
	*core.Core
	end context.CancelFunc
}

// lanes is the number of backends that the askers' gate takes a desk for. Each bears a dozen askers to begin
// with and more while answers are quick, so that hundreds may wait for one answer.
const lanes = 64

// retire is how long the cores of an old configuration go on, for those who still wait there: as long as the
// longest patience that a client may tell.
const retire = time.Hour

// startQuestions starts the front for token introspection.
func (p *program) startQuestions(n *config.Introspection, share sockets) (*questions, error) {
	q := &questions{p: p, share: share}
	if n.Listen != "" && !n.Insecure {
		side, err := secure.Server(files(n.TLS), p.log)
		if err != nil {
			return nil, fmt.Errorf("introspection.tls: %w", err)
		}
		q.listen = side
		go side.Watch(p.work)
	}
	var local core.Counter = localcount.New()
	if addr := q.counterOf(n); addr != "" {
		client := counter.New(addr, 50*time.Millisecond, p.dial, p.log)
		if p.conf != nil && addr == p.conf.Counter {
			p.counters = append(p.counters, client)
		}
		local = client
	}
	q.counts = local
	options, list, err := q.build(n)
	if err != nil {
		return nil, err
	}
	q.front = introspect.New(options)
	q.take(n, list)
	p.ready = append(p.ready, q.front.Ready)
	if n.Listen == "" {
		return q, nil
	}
	return q, p.serve(n.Listen, q.front, share.clients, q.listen)
}

func files(t config.TLS) secure.Files {
	return secure.Files{Cert: t.Cert, Key: t.Key, CA: t.CA, Name: t.Name, Ask: true}
}

// told fills in who may ask, and what the front tells of itself.
func (q *questions) told(n *config.Introspection, o *introspect.Options) error {
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

// credential is what shows an issuer's service who asks.
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

func (q *questions) counterOf(n *config.Introspection) string {
	if n.Counter == "" && q.p.conf != nil {
		return q.p.conf.Counter
	}
	return n.Counter
}

// guard checks the platform's requests as long as a plan for that is set.
func (q *questions) guard() platform.Guard { return (*bearerGuard)(q) }

type bearerGuard questions

// Check lets a request on, or sees to it that its token is checked.
func (g *bearerGuard) Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func()) {
	b := g.bearer.Load()
	if b == nil {
		then(nil)
		return nil
	}
	return b.Check(r, in, then)
}

// checks are the checks of tokens for the gateway.
func (q *questions) checks() gateway.Guard { return (*bearerGuard)(q) }

// Require checks a token by a route's own requirement.
func (g *bearerGuard) Require(r *http1.Request, in core.Request, required bearer.Requirement,
	then func(bearer.Claims, *http1.Answer)) (leave func()) {
	b := g.bearer.Load()
	if b == nil { // a reload has switched checks off: nothing that needs a token gets through
		then(bearer.Claims{}, http1.Plain(503, "tokens can't be checked now"))
		return nil
	}
	return b.Require(r, in, required, then)
}

// build makes the parts of a configuration. What it has in common with the one in use is used on: desks with
// what they know, connections, and quotas. Nothing is changed by it.
func (q *questions) build(n *config.Introspection) (introspect.Options, []*issuer, error) {
	var o introspect.Options
	table, err := n.Table()
	if err != nil {
		return o, nil, err
	}
	gateways := n.Gateways
	if q.p.conf != nil {
		gateways = q.p.conf.Settings.Gateways
	}
	gateways *= len(n.Issuers) // to each other the askers' cores are what ingresses are
	o = introspect.Options{Table: table, Path: n.Path, Patience: time.Duration(n.Patience), Gateways: gateways,
		Draining: q.p.draining, Log: q.p.log, Issuer: n.URL, Audiences: n.Audiences,
		Callers: introspect.Callers{Plan: n.Callers.Plan, Scope: n.Callers.Scope}}
	if q.listen != nil {
		o.Trust = q.listen.Trust
	}
	if err := q.told(n, &o); err != nil {
		return o, nil, err
	}
	var list []*issuer
	for i := range n.Issuers {
		s, err := q.issuer(n, &n.Issuers[i], gateways)
		if err != nil {
			q.release(list, q.issuers, 0)
			return o, nil, fmt.Errorf("introspection.issuer[%s]: %w", n.Issuers[i].Name, err)
		}
		list = append(list, s)
		o.Issuers = append(o.Issuers, &introspect.Issuer{Desk: s.desk.Desk, Asks: s.asks.Core})
	}
	return o, list, nil
}

// issuer makes the parts of one issuer, or takes what is there.
func (q *questions) issuer(n *config.Introspection, conf *config.Issuer, gateways int) (*issuer, error) {
	s := &issuer{conf: *conf}
	old := q.known(conf.Name)
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
	if old != nil && q.sameAsks(n) {
		s.asks = old.asks
		return s, nil
	}
	// The aim is the patience: it is the issuer that answers late, and that is the questions' gate's matter.
	asks := introspect.Class(time.Duration(n.Patience), time.Duration(n.Patience))
	work, end := context.WithCancel(q.p.work)
	c, err := q.core(work, n.Asks(asks, gateways), introspect.Desks{}, q.counts)
	if err != nil {
		end()
		q.release([]*issuer{s}, q.issuers, 0)
		return nil, err
	}
	all := make([]core.Server, lanes)
	for i := range all {
		all[i] = core.Server{Name: fmt.Sprint("lane-", i), State: choice.Live}
	}
	c.Servers(true, all)
	s.asks = &asksPart{c, end}
	return s, nil
}

// sameAsks reports whether the askers' cores in use do for a configuration.
func (q *questions) sameAsks(n *config.Introspection) bool {
	return len(q.conf.Issuers) == len(n.Issuers) && q.conf.Patience == n.Patience &&
		q.conf.Gateways == n.Gateways && reflect.DeepEqual(q.conf.Plans, n.Plans)
}

// newDesk makes an issuer's desk, with the core behind it.
func (q *questions) newDesk(n *config.Introspection, conf *config.Issuer, class choice.Class) (d *deskPart,
	err error) {
	dial := q.p.dial
	shown, err := credential(conf)
	if err != nil {
		return nil, err
	}
	work, end := context.WithCancel(q.p.work)
	defer func() {
		if err != nil {
			end()
		}
	}()
	d = &deskPart{end: end}
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
	c, err := q.core(work, set, introspect.Attempts{Upstream: up, Limit: time.Duration(conf.Attempt)}, nil)
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
		Service: introspect.Service{Path: conf.Path, Host: conf.Host, Credential: shown},
		Limit:   time.Duration(conf.Limit), Silence: time.Duration(conf.Silence), Alone: !n.Share,
		Breaker: conf.Options(), Freshness: n.Freshness(), Log: q.p.log})
	return d, nil
}

func (q *questions) core(work context.Context, set choice.Settings, up core.Upstream,
	counts core.Counter) (*core.Core, error) {
	c, err := core.New(core.Config{Settings: set, Seed: uint64(time.Now().UnixNano()), Upstream: up,
		Counter: counts, Log: q.p.decision})
	if err != nil {
		return nil, err
	}
	go c.Run(work)
	return c, nil
}

// known is the issuer in use by a name.
func (q *questions) known(name string) *issuer {
	for _, s := range q.issuers {
		if s.conf.Name == name {
			return s
		}
	}
	return nil
}

// take notes what is in use now, and ends what no longer is, in its time.
func (q *questions) take(n *config.Introspection, list []*issuer) {
	q.release(q.issuers, list, retire)
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
			b.Proofs = old.Proofs // what was shown stays shown
		}
		q.bearer.Store(introspect.NewBearer(b))
	}
}

// release ends, after a time, the parts of some issuers that others have no use for.
func (q *questions) release(list, others []*issuer, after time.Duration) {
	for _, s := range list {
		used := func(same func(*issuer) bool) bool { return slices.ContainsFunc(others, same) }
		if s.desk != nil && !used(func(o *issuer) bool { return o.desk == s.desk }) {
			time.AfterFunc(after, s.desk.end)
		}
		if s.asks != nil && !used(func(o *issuer) bool { return o.asks == s.asks }) {
			time.AfterFunc(after, s.asks.end)
		}
	}
}

// reload goes on by a configuration read again, or by the one in use if it can't be used.
func (q *questions) reload(n *config.Introspection) error {
	var kept []string
	if n.Listen != q.conf.Listen || n.Insecure != q.conf.Insecure || n.TLS != q.conf.TLS {
		kept = append(kept, "introspection.listen, insecure and tls")
	}
	if n.Counter != q.conf.Counter {
		kept = append(kept, "introspection.counter")
	}
	if (n.Bearer.Plan != "") && q.p.conf != nil && !q.p.guarded {
		kept = append(kept, "introspection.bearer.plan")
	}
	if !n.On() {
		return fmt.Errorf("introspection is switched off in it: that needs a restart")
	}
	options, list, err := q.build(n)
	if err != nil {
		return err
	}
	if len(kept) > 0 {
		q.p.log.Warn().Str("code", "reload-needs-restart").Strs("settings", kept).Msg("changed, and not taken")
	}
	n.Listen, n.Insecure, n.TLS, n.Counter = q.conf.Listen, q.conf.Insecure, q.conf.TLS, q.conf.Counter
	q.front.Use(options)
	q.take(n, list)
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
