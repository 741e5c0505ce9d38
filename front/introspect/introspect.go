// Package introspect is the front for OAuth 2 token introspection (RFC 7662). It answers the queries of
// member apps by querying the introspection services of the tokens' issuers, and it checks the bearer tokens
// of other fronts' requests (RFC 6750). Each query is a request to a core: it counts against a quota, has a
// deadline, and can be refused like any other request. A query that was refused or got no answer is never
// answered with "active": false.
//
// A query goes from Front to Issuer.Asks, a core that enforces the quotas, and from there to the issuer's
// Desk. Unless the Desk can answer it from its cache or an upstream query in flight, the Desk sends an
// upstream query through DeskOptions.Questions, a core that balances over the issuer's servers. See
// docs/design/introspection.md for the reasons.
package introspect

import (
	"crypto/x509"
	"encoding/json"
	"hash/fnv"
	"io"
	"math"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/issuers"
)

// Issuer is an authorization server whose introspection service answers for some of the tokens.
type Issuer struct {
	Desk *Desk
	Asks *core.Core // admits the clients' queries; its upstream is Desks
}

// Options configure a Front.
type Options struct {
	Issuers  []*Issuer      // at least one
	Table    *issuers.Table // its results are indexes into Issuers
	Path     string         // of the introspection endpoint
	Patience time.Duration  // timeout of requests without the header X-Remaining
	Gateways int            // over which a client's queries spread; each issuer's core counts as one
	Clients  []Client
	Callers  Callers
	Draining func() bool // reports whether the program is shutting down
	Log      zerolog.Logger

	Issuer    string    // issuer URL (https) of this front; empty disables the metadata
	Audiences []string  // accepted in client assertions, besides Issuer and the endpoint URL
	Signer    *Signer   // signs responses on request; nil means plain JSON only
	Resource  *Resource // metadata of the protected resource; nil disables it
	// Trust returns nil if a client's certificate chain ends in a trusted root. If Trust is nil, none does.
	Trust func(chain []*x509.Certificate) error
}

// Front serves the introspection endpoint. It implements accept.Handler. It is safe for concurrent use.
type Front struct {
	current        atomic.Pointer[setup]
	replayMemories replayMemories
}

// setup is one immutable configuration of the front. A query uses the same setup from start to end.
type setup struct {
	Options
	clients        map[string]Client
	replayMemories *replayMemories
}

// responseMargin is how long before the client's timeout the response is due.
const responseMargin = 20 * time.Millisecond

// New returns a Front with the given options.
func New(o Options) *Front {
	f := &Front{}
	f.Use(o)
	return f
}

// Use replaces the options. Queries in flight keep the options that they started with.
func (f *Front) Use(o Options) {
	s := &setup{Options: o, clients: map[string]Client{}, replayMemories: &f.replayMemories}
	if o.Issuer != "" {
		base := strings.TrimSuffix(o.Issuer, "/")
		s.Audiences = append(slices.Clone(o.Audiences), o.Issuer, base+o.Path)
	}
	// A flood of unauthenticated requests must not flood the log.
	s.Log = rateLimitedLog(o.Log)
	for _, c := range o.Clients {
		s.clients[c.ID] = c
	}
	f.current.Store(s)
}

// Ready reports whether at least one issuer has a server that can be queried.
func (f *Front) Ready() bool { return f.current.Load().ready() }

// Customer returns the customer number under which quotas are counted for the client with the given ID. Its
// highest bit is set, to distinguish it from the platform's customers, who share the counter.
func Customer(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64() | 1<<63
}

// Serve handles a request and calls respond once, unless the returned function is called before. That
// function, if not nil, cancels the request.
func (f *Front) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	s := f.current.Load()
	arrived := s.clock()
	switch {
	case r.URL.Path == "/healthz":
		if s.ready() && !s.Draining() {
			respond(http1.Plain(200, "ok"))
		} else {
			respond(http1.Plain(503, "draining, or no introspection service known"))
		}
		return nil
	case r.URL.Path != s.Path:
		a := s.metadataAnswer(r)
		if a == nil {
			a = http1.Plain(404, "no such path")
		}
		respond(a)
		return nil
	case r.Method != http.MethodPost:
		respond(withHeader(http1.Plain(405, "method not allowed"), "Allow", "POST"))
		return nil
	}
	form, problem := readForm(r)
	if problem != nil {
		respond(problem)
		return nil
	}
	clientTimeout, ok := s.clientTimeout(r.Header.Get("X-Remaining"))
	if !ok {
		respond(errorAnswer(400, "invalid_request", "X-Remaining is not in seconds"))
		return nil
	}
	deadline := arrived + clientTimeout - responseMargin
	creds, err := readCredentials(r, form)
	if err != nil {
		respond(s.authFailure(creds, err))
		return nil
	}
	if creds.method == BearerToken {
		return s.serveCaller(r, form, creds, deadline, respond)
	}
	client, err := s.authenticate(r, creds)
	if err != nil {
		respond(s.authFailure(creds, err))
		return nil
	}
	return s.serve(r, form, client, deadline, respond)
}

// serve handles the query of an authenticated client.
func (s *setup) serve(r *http1.Request, form url.Values, client Client, deadline time.Duration,
	respond func(*http1.Answer)) (leave func()) {
	token := form.Get("token")
	if token == "" {
		respond(errorAnswer(400, "invalid_request", "token is missing"))
		return nil
	}
	signed := wantsJWT(r)
	return s.ask(core.Request{Plan: client.Plan, Customer: Customer(client.ID), Spread: s.Gateways,
		Deadline: deadline}, token, form.Get("token_type_hint"), func(v verdict) {
		if v.kind == core.Served {
			respond(s.successAnswer(client, signed, v))
		} else {
			respond(s.failureAnswer(v))
		}
	})
}

// clock returns the current time of the clock that all cores of the front share.
func (s *setup) clock() time.Duration { return s.Issuers[0].Asks.Now() }

// ready implements Front.Ready.
func (s *setup) ready() bool {
	for _, i := range s.Issuers {
		if i.Desk.Questions.Ready() {
			return true
		}
	}
	return false
}

// verdict is the final result of a query.
type verdict struct {
	outcome
	kind         core.Kind
	issuerFailed bool // refused because of the issuer, not because of the client's quota
}

// ask introspects a token through the cores, and calls done with the verdict. The returned function, if not
// nil, cancels the query.
func (s *setup) ask(in core.Request, token, hint string, done func(verdict)) (leave func()) {
	route := s.Table.Route(token)
	if len(route) == 0 { // no configured issuer answers for such tokens, so they are inactive here
		done(verdict{outcome: outcome{token: &Token{}}, kind: core.Served})
		return nil
	}
	q := &query{token: token, hint: hint, key: cacheKey(token, hint), receivedAt: s.clock()}
	for _, i := range route {
		q.route = append(q.route, s.Issuers[i])
	}
	finish := func(out outcome) {
		v := verdictOf(out)
		if v.issuerFailed {
			v = s.tryFallback(q, v)
		}
		done(v)
	}
	if len(route) == 1 {
		if out := q.route[0].Desk.answerImmediately(q.key, q.receivedAt); out != nil {
			finish(*out)
			return nil
		}
	}
	in.Class, in.Units, in.Payload = ClassName, 1, q
	in.Reply = func(a core.Answer) {
		if out, ok := a.Body.(outcome); ok && a.Kind == core.Served {
			finish(out)
			return
		}
		done(verdict{outcome: outcome{after: a.RetryAfter}, kind: a.Kind})
	}
	return q.route[0].Asks.Submit(in).Leave
}

// verdictOf converts an outcome. An outcome without a token is a refusal caused by the issuer.
func verdictOf(out outcome) verdict {
	if out.token == nil {
		return verdict{outcome: out, kind: core.Refused, issuerFailed: true}
	}
	return verdict{outcome: out, kind: core.Served}
}

// active reports whether the token is active now. It checks the expiry, which may pass while the query waits.
func (v verdict) active(now time.Duration) bool {
	return v.kind == core.Served && v.token.Active && (v.token.Expires == 0 || now < v.token.Expires)
}

// patience returns the client's timeout from the header X-Remaining, in seconds, or else the default. It
// reports false if the header is not a number of seconds below 3600.
func (s *setup) clientTimeout(header string) (time.Duration, bool) {
	if header == "" {
		return s.Patience, true
	}
	seconds, ok := http1.Decimal(header)
	return time.Duration(seconds * float64(time.Second)), ok && seconds < 3600
}

// failureAnswer returns the error response for a query that got no answer.
func (s *setup) failureAnswer(v verdict) *http1.Answer {
	switch {
	case v.issuerFailed:
		return withRetryAfter(errorAnswer(503, "temporarily_unavailable",
			"the issuer's service does not answer: ask again later"), v.after)
	case v.kind == core.Refused:
		return withRetryAfter(errorAnswer(429, "temporarily_unavailable", "refused: ask again later"), v.after)
	}
	return errorAnswer(502, "server_error", "the introspection service gave no answer")
}

// readForm parses the body, or returns an error response. A parameter must not occur twice (RFC 6749, 3.2).
func readForm(r *http1.Request) (url.Values, *http1.Answer) {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/x-www-form-urlencoded" {
		return nil, errorAnswer(400, "invalid_request", "want application/x-www-form-urlencoded")
	}
	form, err := url.ParseQuery(string(r.Content))
	if err != nil {
		return nil, errorAnswer(400, "invalid_request", "malformed form")
	}
	for _, values := range form {
		if len(values) > 1 {
			return nil, errorAnswer(400, "invalid_request", "a parameter came twice")
		}
	}
	return form, nil
}

// errorAnswer returns an error response in the form of RFC 6749, 5.2.
func errorAnswer(status int, code, description string) *http1.Answer {
	text, _ := json.Marshal(map[string]string{"error": code, "error_description": description})
	return jsonAnswer(status, text)
}

// jsonAnswer returns a JSON response that must not be cached.
func jsonAnswer(status int, text []byte) *http1.Answer {
	return &http1.Answer{Status: status, Body: text, Header: [][2]string{
		{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}}
}

func withHeader(a *http1.Answer, name, value string) *http1.Answer {
	a.Header = append(a.Header, [2]string{name, value})
	return a
}

// withRetryAfter adds a Retry-After header, rounded up to whole seconds (RFC 9110) and at least 1.
func withRetryAfter(a *http1.Answer, after time.Duration) *http1.Answer {
	return withHeader(a, "Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
}
