// Package introspect is the front for OAuth 2 token introspection (RFC 7662). It answers such questions of
// member apps by asking an introspection service, and it checks the bearer tokens of other fronts' requests
// (RFC 6750). Each question is a request of the core: counted against a quota, timed, and refused like any
// other work. A question that was refused or got no answer is never answered with "active": false.
package introspect

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

var errNoActive = errors.New(`the answer has no "active"`)

// Client may ask questions.
type Client struct {
	ID     string
	Secret [sha256.Size]byte // SHA-256 of its secret
	Plan   string
}

// Options are what New needs.
type Options struct {
	Core     *core.Core
	Service  Service
	Path     string        // where questions come in
	Patience time.Duration // of clients that don't tell theirs by X-Remaining
	Gateways int           // through which a client's questions arrive
	Clients  []Client
	CacheFor time.Duration // how long an active token's answer may be reused; 0: never
	Draining func() bool   // whether the program is on its way out
}

// Front answers questions. It is an accept.Handler.
type Front struct {
	Options
	clients map[string]Client
	cache   *cache
}

// margin is how long before the client gives up its answer is due.
const margin = 20 * time.Millisecond

// New returns a front.
func New(o Options) *Front {
	f := &Front{Options: o, clients: map[string]Client{}, cache: newCache(o.CacheFor)}
	for _, c := range o.Clients {
		f.clients[c.ID] = c
	}
	return f
}

// Customer is the number under which quotas are counted for a named client. Its highest bit tells it from the
// platform's customers, who are counted by the same counter.
func Customer(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64() | 1<<63
}

// Serve takes a question.
func (f *Front) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	arrived := f.Core.Now()
	switch {
	case r.URL.Path == "/healthz":
		if f.Core.Ready() && !f.Draining() {
			respond(http1.Plain(200, "ok"))
		} else {
			respond(http1.Plain(503, "draining, or no introspection service known"))
		}
		return nil
	case r.URL.Path != f.Path:
		respond(http1.Plain(404, "no such path"))
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
	client, problem := f.authenticate(r, form)
	if problem != nil {
		respond(problem)
		return nil
	}
	token := form.Get("token")
	patience, ok := f.patience(r.Header.Get("X-Remaining"))
	if token == "" || !ok {
		respond(problemOf(400, "invalid_request", "token is missing, or X-Remaining is not in seconds"))
		return nil
	}
	if text := f.cache.get(client.ID, token, arrived); text != nil {
		respond(jsonAnswer(200, text))
		return nil
	}
	return f.ask(core.Request{Plan: client.Plan, Customer: Customer(client.ID), Units: 1, Spread: f.Gateways,
		Deadline: arrived + patience - margin}, token, form.Get("token_type_hint"), func(a core.Answer) {
		if t, ok := a.Body.(*Token); ok && a.Kind == core.Served {
			f.cache.put(client.ID, token, t, f.Core.Now())
		}
		respond(f.word(a))
	})
}

// ask puts a question to the service by way of the core.
func (f *Front) ask(in core.Request, token, hint string, reply func(core.Answer)) (leave func()) {
	in.Class = ClassName
	in.Payload = &question{service: &f.Service, token: token, hint: hint}
	in.Reply = reply
	return f.Core.Submit(in).Leave
}

// patience is how long the client waits for an answer.
func (f *Front) patience(header string) (time.Duration, bool) {
	if header == "" {
		return f.Patience, true
	}
	seconds, ok := http1.Decimal(header)
	return time.Duration(seconds * float64(time.Second)), ok && seconds < 3600
}

// word turns the core's answer into the client's.
func (f *Front) word(a core.Answer) *http1.Answer {
	switch a.Kind {
	case core.Served:
		t := a.Body.(*Token)
		if !t.Active || t.Expires > 0 && t.Expires <= f.Core.Now() {
			return jsonAnswer(200, []byte(`{"active":false}`)) // RFC 7662, 2.2: nothing else is told of such a token
		}
		return jsonAnswer(200, t.Text)
	case core.Refused:
		return withRetry(problemOf(429, "temporarily_unavailable", "refused: ask again later"), a.RetryAfter)
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

// authenticate tells which client asks, by client_secret_basic or client_secret_post (RFC 6749, 2.3.1).
func (f *Front) authenticate(r *http1.Request, form url.Values) (Client, *http1.Answer) {
	id, secret, basic := r.BasicAuth()
	if basic {
		if form.Has("client_secret") {
			return Client{}, problemOf(400, "invalid_request", "two ways of client authentication")
		}
		var err1, err2 error
		id, err1 = url.QueryUnescape(id)
		secret, err2 = url.QueryUnescape(secret)
		if err := errors.Join(err1, err2); err != nil {
			return Client{}, problemOf(400, "invalid_request", "malformed credentials")
		}
	} else {
		id, secret = form.Get("client_id"), form.Get("client_secret")
	}
	client, known := f.clients[id]
	sum := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(sum[:], client.Secret[:]) != 1 || !known {
		a := problemOf(401, "invalid_client", "client authentication failed")
		return Client{}, withHeader(a, "WWW-Authenticate", `Basic realm="introspection"`)
	}
	return client, nil
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
