// Package introspect is the front for OAuth 2 token introspection (RFC 7662). It answers such questions of
// member apps by asking the services of the tokens' issuers, and it checks the bearer tokens of other fronts'
// requests (RFC 6750). Each question is a request of a core: counted against a quota, timed, and refused like
// any other work. A question that was refused or got no answer is never answered with "active": false.
//
// A question goes from Front to the askers' core of its issuer, from there to the issuer's Desk, and, unless
// that has its answer, to the issuer's questions' core, which puts it to one of the issuer's servers. See
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

// Issuer answers for some of the tokens.
type Issuer struct {
	Desk *Desk
	Asks *core.Core // the askers' core; its upstream is Desks
}

// Options are what New and Front.Use need.
type Options struct {
	Issuers  []*Issuer      // at least one
	Table    *issuers.Table // whose indexes are those of Issuers
	Path     string         // where questions come in
	Patience time.Duration  // of clients that don't tell theirs by X-Remaining
	Gateways int            // through which a client's questions arrive, the issuers' cores counted apart
	Clients  []Client
	Callers  Callers
	Draining func() bool // whether the program is on its way out
	Log      zerolog.Logger

	Issuer    string    // this front's own name, an https URL; empty: there is no metadata
	Audiences []string  // that clients' assertions may name; Issuer and the endpoint go without saying
	Signer    *Signer   // of signed answers; nil: all are JSON
	Resource  *Resource // what is told of the resource behind; nil: nothing
	// Trust reports whether a client's chain of certificates ends in a root; nil: none does.
	Trust func(chain []*x509.Certificate) error
}

// Front answers questions. It is an accept.Handler.
type Front struct {
	now      atomic.Pointer[setup]
	memories memories
}

// setup is what the front goes by. One question goes by one setup from its beginning to its end.
type setup struct {
	Options
	clients  map[string]Client
	memories *memories
}

// margin is how long before the client gives up its answer is due.
const margin = 20 * time.Millisecond

// New returns a front.
func New(o Options) *Front {
	f := &Front{}
	f.Use(o)
	return f
}

// Use makes the front go by other options from now on. Questions under way end by those they began with.
func (f *Front) Use(o Options) {
	s := &setup{Options: o, clients: map[string]Client{}, memories: &f.memories}
	if o.Issuer != "" {
		base := strings.TrimSuffix(o.Issuer, "/")
		s.Audiences = append(slices.Clone(o.Audiences), o.Issuer, base+o.Path)
	}
	// A flood of strangers is not to be a flood of log lines.
	s.Log = sampled(o.Log)
	for _, c := range o.Clients {
		s.clients[c.ID] = c
	}
	f.now.Store(s)
}

// Ready reports whether some issuer has a server that may be asked.
func (f *Front) Ready() bool { return f.now.Load().ready() }

// Customer is the number under which quotas are counted for a named client. Its highest bit tells it from the
// platform's customers, who are counted by the same counter.
func Customer(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64() | 1<<63
}

// Serve takes a question.
func (f *Front) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	s := f.now.Load()
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
		a := s.describe(r)
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
	patience, ok := s.patience(r.Header.Get("X-Remaining"))
	if !ok {
		respond(problemOf(400, "invalid_request", "X-Remaining is not in seconds"))
		return nil
	}
	deadline := arrived + patience - margin
	by, err := show(r, form)
	if err != nil {
		respond(s.refuse(by, err))
		return nil
	}
	if by.method == BearerToken {
		return s.serveCaller(r, form, by, deadline, respond)
	}
	client, err := s.authenticate(r, by)
	if err != nil {
		respond(s.refuse(by, err))
		return nil
	}
	return s.serve(r, form, client, deadline, respond)
}

// serve takes the question of a client that is known.
func (s *setup) serve(r *http1.Request, form url.Values, client Client, deadline time.Duration,
	respond func(*http1.Answer)) (leave func()) {
	token := form.Get("token")
	if token == "" {
		respond(problemOf(400, "invalid_request", "token is missing"))
		return nil
	}
	signed := wantsJWT(r)
	return s.ask(core.Request{Plan: client.Plan, Customer: Customer(client.ID), Spread: s.Gateways,
		Deadline: deadline}, token, form.Get("token_type_hint"), func(v verdict) {
		if v.kind == core.Served {
			respond(s.tell(client, signed, v))
		} else {
			respond(s.word(v))
		}
	})
}

// clock is the time that all cores of the front share.
func (s *setup) clock() time.Duration { return s.Issuers[0].Asks.Now() }

func (s *setup) ready() bool {
	for _, i := range s.Issuers {
		if i.Desk.Questions.Ready() {
			return true
		}
	}
	return false
}

// verdict is the front's one answer to a question.
type verdict struct {
	outcome
	kind    core.Kind
	trouble bool // refused for the issuer's sake, not for the asker's
}

// ask finds the answer to a question by way of the cores.
func (s *setup) ask(in core.Request, token, hint string, then func(verdict)) (leave func()) {
	route := s.Table.Route(token)
	if len(route) == 0 { // nobody here answers for such tokens, so that no resource of ours takes it
		then(verdict{outcome: outcome{token: &Token{}}, kind: core.Served})
		return nil
	}
	q := &question{token: token, hint: hint, key: keyOf(token, hint), taken: s.clock()}
	for _, i := range route {
		q.route = append(q.route, s.Issuers[i])
	}
	finish := func(out outcome) {
		v := verdictOf(out)
		if v.trouble {
			v = s.fallBack(q, v)
		}
		then(v)
	}
	if len(route) == 1 {
		if out := q.route[0].Desk.atOnce(q.key, q.taken); out != nil {
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
		then(verdict{outcome: outcome{after: a.RetryAfter}, kind: a.Kind})
	}
	return q.route[0].Asks.Submit(in).Leave
}

func verdictOf(out outcome) verdict {
	if out.token == nil {
		return verdict{outcome: out, kind: core.Refused, trouble: true}
	}
	return verdict{outcome: out, kind: core.Served}
}

// active reports whether the token is active now: a token may end while its question waits.
func (v verdict) active(now time.Duration) bool {
	return v.kind == core.Served && v.token.Active && (v.token.Expires == 0 || now < v.token.Expires)
}

// patience is how long the client waits for an answer.
func (s *setup) patience(header string) (time.Duration, bool) {
	if header == "" {
		return s.Patience, true
	}
	seconds, ok := http1.Decimal(header)
	return time.Duration(seconds * float64(time.Second)), ok && seconds < 3600
}

// word tells a client that its question got no answer.
func (s *setup) word(v verdict) *http1.Answer {
	switch {
	case v.trouble:
		return withRetry(problemOf(503, "temporarily_unavailable",
			"the issuer's service does not answer: ask again later"), v.after)
	case v.kind == core.Refused:
		return withRetry(problemOf(429, "temporarily_unavailable", "refused: ask again later"), v.after)
	}
	return problemOf(502, "server_error", "the introspection service gave no answer")
}

// readForm reads the body. RFC 6749, 3.2: a parameter must not come twice.
func readForm(r *http1.Request) (url.Values, *http1.Answer) {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/x-www-form-urlencoded" {
		return nil, problemOf(400, "invalid_request", "want application/x-www-form-urlencoded")
	}
	form, err := url.ParseQuery(string(r.Content))
	if err != nil {
		return nil, problemOf(400, "invalid_request", "malformed form")
	}
	for _, values := range form {
		if len(values) > 1 {
			return nil, problemOf(400, "invalid_request", "a parameter came twice")
		}
	}
	return form, nil
}

// problemOf is an error response of RFC 6749, 5.2.
func problemOf(status int, code, description string) *http1.Answer {
	text, _ := json.Marshal(map[string]string{"error": code, "error_description": description})
	return jsonAnswer(status, text)
}

func jsonAnswer(status int, text []byte) *http1.Answer {
	return &http1.Answer{Status: status, Body: text, Header: [][2]string{
		{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}}
}

func withHeader(a *http1.Answer, name, value string) *http1.Answer {
	a.Header = append(a.Header, [2]string{name, value})
	return a
}

// withRetry says when to come back, in whole seconds as RFC 9110 has it.
func withRetry(a *http1.Answer, after time.Duration) *http1.Answer {
	return withHeader(a, "Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
}
