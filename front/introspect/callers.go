package introspect

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"dunespoke/core"
	"dunespoke/front/relay"
	"dunespoke/internal/http1"
)

// Callers configures which clients may authenticate with an access token of their own (RFC 7662, 2.1). The
// token must be active, and its client_id that of a client configured with BearerToken.
type Callers struct {
	Plan  string // quota plan, per address, for introspecting callers' tokens; empty disables the method
	Scope string // required scope of these tokens; empty accepts any
}

// Reasons for rejecting a caller's token. Clients see these texts.
var (
	errTokenInactive = errors.New("the token is not active")
	errScope         = errors.New("the token lacks the scope for introspection")
	errNotCaller     = errors.New("the token is no client's that may ask by it")
)

// callerBit distinguishes the quota accounts of callers' addresses from those of clients.
const callerBit = 1<<63 | 1<<62

// serveCaller introspects the caller's own token and then, within the same deadline, the token of the
// request.
func (s *setup) serveCaller(r *http1.Request, form url.Values, creds credentials, deadline time.Duration,
	respond func(*http1.Answer)) (leave func()) {
	if s.Callers.Plan == "" {
		respond(s.callerAuthFailure(creds, errWrongMethod))
		return nil
	}
	host := ""
	if r.Peer != nil {
		host = r.Peer.String()
	}
	if name, _, err := net.SplitHostPort(host); err == nil { // all ports of an address count as one caller
		host = name
	}
	g := &relay.Relay{}
	g.Begin(s.ask(core.Request{Plan: s.Callers.Plan, Customer: Customer(host) | callerBit, Spread: s.Gateways,
		Deadline: deadline}, creds.secret, "access_token", func(v verdict) {
		client, problem := s.callerClient(creds, v)
		if problem != nil {
			respond(problem)
			return
		}
		g.StartSecond(func() func() { return s.serve(r, form, client, deadline, respond) })
	}))
	return g.Leave
}

// callerClient returns the client that a caller's token belongs to, or else the error response.
func (s *setup) callerClient(creds credentials, v verdict) (Client, *http1.Answer) {
	if v.kind != core.Served {
		return Client{}, s.failureAnswer(v)
	}
	if !v.active(s.clock()) {
		return Client{}, s.callerAuthFailure(creds, errTokenInactive)
	}
	var claims struct {
		ClientID string `json:"client_id"`
		Scope    string `json:"scope"`
	}
	if json.Unmarshal(v.token.Text, &claims) != nil {
		return Client{}, s.callerAuthFailure(creds, errNotCaller)
	}
	if s.Callers.Scope != "" && !slices.Contains(strings.Fields(claims.Scope), s.Callers.Scope) {
		return Client{}, s.callerAuthFailure(creds, errScope)
	}
	client, known := s.clients[claims.ClientID]
	if !known || client.Method != BearerToken {
		return Client{}, s.callerAuthFailure(creds, errNotCaller)
	}
	return client, nil
}

// callerAuthFailure logs why a caller's token is rejected, and returns the error response (RFC 6750, 3).
func (s *setup) callerAuthFailure(creds credentials, err error) *http1.Answer {
	s.Log.Warn().Str("code", "client-refused").Str("method", string(creds.method)).Err(err).
		Msg("client authentication failed")
	status, code := http.StatusUnauthorized, "invalid_token"
	extra := ""
	if errors.Is(err, errScope) {
		status, code = http.StatusForbidden, "insufficient_scope"
		extra = `, scope="` + s.Callers.Scope + `"`
	}
	a := errorAnswer(status, code, err.Error())
	return withHeader(
		a,
		"WWW-Authenticate",
		`Bearer error="`+code+`", error_description="`+err.Error()+`"`+extra,
	)
}
