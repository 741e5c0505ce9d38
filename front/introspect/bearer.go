package introspect

import (
	"net/http"
	"strings"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Bearer checks the bearer token of a request before the request goes on. It is a platform.Guard.
type Bearer struct {
	Front *Front
	Plan  string // under which checks are counted
}

// customerBit tells the accounts under which checks are counted from those of the requests themselves.
const customerBit = 1 << 62

// Check asks for the token, within the deadline of the request that it came with, and calls then once: with
// nil if the token is active, else with the answer that the client gets instead. Attempts made for it are
// attempts of the check alone. The request has not been sent on yet, so that any answer from here is one to
// a request that never ran.
func (b *Bearer) Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func()) {
	token, problem := bearerToken(r)
	if problem != nil {
		then(problem)
		return nil
	}
	now := b.Front.now.Load()
	return now.ask(core.Request{Plan: b.Plan, Customer: in.Customer | customerBit,
		Spread: in.Spread * len(now.Issuers), Deadline: in.Deadline}, token, "access_token",
		func(v verdict) { then(now.bearer(v)) })
}

// bearer turns a verdict into the answer to the request that came with the token; nil lets it on.
func (s *setup) bearer(v verdict) *http1.Answer {
	switch {
	case v.active(s.clock()):
		return nil
	case v.kind == core.Served:
		return unauthorized(`Bearer error="invalid_token", error_description="the token is not active"`,
			"invalid_token")
	}
	return s.word(v)
}

// bearerToken reads the token from the Authorization header, the one way that RFC 6750 asks all to support.
func bearerToken(r *http1.Request) (string, *http1.Answer) {
	headers := r.Header.Values("Authorization")
	if len(headers) == 0 {
		return "", unauthorized("Bearer", "invalid_token")
	}
	scheme, token, _ := strings.Cut(headers[0], " ")
	token = strings.TrimSpace(token)
	if len(headers) > 1 || !strings.EqualFold(scheme, "Bearer") || token == "" || strings.Contains(token, " ") {
		a := problemOf(http.StatusBadRequest, "invalid_request", "want one header with one bearer token")
		return "", withHeader(a, "WWW-Authenticate", `Bearer error="invalid_request"`)
	}
	return token, nil
}

func unauthorized(challenge, code string) *http1.Answer {
	a := problemOf(http.StatusUnauthorized, code, "a bearer token that is active is needed")
	return withHeader(a, "WWW-Authenticate", challenge)
}
