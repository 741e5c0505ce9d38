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

// Callers says who may ask by an access token of its own (RFC 7662, 2.1). The token must be active, and its
// client_id that of a client set up with BearerToken.
type Callers struct {
	Plan  string // under which the callers' own tokens are asked about, for each address; empty: nobody may
	Scope string // that the tokens must have; empty: any
}

// What is wrong with a caller's token.
var (
	errNotActive = errors.New("the token is not active")
	errScope     = errors.New("the token lacks the scope for introspection")
	errNotClient = errors.New("the token is no client's that may ask by it")
)

// callerBit tells the accounts of callers' addresses from those of clients.
const callerBit = 1<<63 | 1<<62

// serveCaller asks about the caller's own token first, within the same deadline.
func (s *setup) serveCaller(r *http1.Request, form url.Values, by shown, deadline time.Duration,
	respond func(*http1.Answer)) (leave func()) {
	if s.Callers.Plan == "" {
		respond(s.refuseCaller(by, errNotItsWay))
		return nil
	}
	host := ""
	if r.Peer != nil {
		host = r.Peer.String()
	}
	if name, _, err := net.SplitHostPort(host); err == nil { // all ports of an address are one caller
		host = name
	}
	g := &relay.Relay{}
	g.Begin(s.ask(core.Request{Plan: s.Callers.Plan, Customer: Customer(host) | callerBit, Spread: s.Gateways,
		Deadline: deadline}, by.secret, "access_token", func(v verdict) {
		client, problem := s.caller(by, v)
		if problem != nil {
			respond(problem)
			return
		}
		g.StartSecond(func() func() { return s.serve(r, form, client, deadline, respond) })
	}))
	return g.Leave
}

// caller tells which client a caller's token stands for, or answers it.
func (s *setup) caller(by shown, v verdict) (Client, *http1.Answer) {
	if v.kind != core.Served {
		return Client{}, s.word(v)
	}
	if !v.active(s.clock()) {
		return Client{}, s.refuseCaller(by, errNotActive)
	}
	var told struct {
		ClientID string `json:"client_id"`
		Scope    string `json:"scope"`
	}
	if json.Unmarshal(v.token.Text, &told) != nil {
		return Client{}, s.refuseCaller(by, errNotClient)
	}
	if s.Callers.Scope != "" && !slices.Contains(strings.Fields(told.Scope), s.Callers.Scope) {
		return Client{}, s.refuseCaller(by, errScope)
	}
	client, known := s.clients[told.ClientID]
	if !known || client.Method != BearerToken {
		return Client{}, s.refuseCaller(by, errNotClient)
	}
	return client, nil
}

// refuseCaller words what is wrong with a caller's token (RFC 6750, 3).
func (s *setup) refuseCaller(by shown, err error) *http1.Answer {
	s.Log.Warn().Str("code", "client-refused").Str("method", string(by.method)).Err(err).Msg("not let in")
	status, code := http.StatusUnauthorized, "invalid_token"
	extra := ""
	if errors.Is(err, errScope) {
		status, code = http.StatusForbidden, "insufficient_scope"
		extra = `, scope="` + s.Callers.Scope + `"`
	}
	a := problemOf(status, code, err.Error())
	return withHeader(
		a,
		"WWW-Authenticate",
		`Bearer error="`+code+`", error_description="`+err.Error()+`"`+extra,
	)
}
