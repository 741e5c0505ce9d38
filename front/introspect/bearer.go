package introspect

import (
	"time"

	"github.com/rs/zerolog"

	"dunespoke/bearer"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Bearer checks the access token of a request before the request is forwarded. It implements platform.Guard.
type Bearer struct {
	Front   *Front
	Plan    string                        // quota plan of the checks
	Classes map[string]bearer.Requirement // by request class
	Others  bearer.Requirement            // for all other classes
	Proofs  *bearer.Memory                // DPoP proofs seen; nil rejects tokens bound to keys
	Base    string                        // public base URL that proofs name; empty: from the request
	Log     zerolog.Logger
}

// checkCustomerBit distinguishes the quota accounts of token checks from those of the requests themselves.
const checkCustomerBit = 1 << 62

// Check introspects the token within the deadline of its request, and calls done once: with nil if the token
// authorizes the request, else with the response to send to the client instead. Attempts for the check count
// only as attempts of the check. The request has not been forwarded yet, so an error response from here means
// that the request never ran.
func (b *Bearer) Check(r *http1.Request, in core.Request, done func(*http1.Answer)) (leave func()) {
	required, named := b.Classes[in.Class]
	if !named {
		required = b.Others
	}
	return b.Require(r, in, required, func(_ bearer.Claims, a *http1.Answer) { done(a) })
}

// Require is like Check with a given requirement, and also passes the claims of an accepted token to done.
func (b *Bearer) Require(r *http1.Request, in core.Request, required bearer.Requirement,
	done func(bearer.Claims, *http1.Answer)) (leave func()) {
	s := b.Front.current.Load()
	credentials, refusal := bearer.Read(r.Request, b.Base)
	if refusal != nil {
		done(bearer.Claims{}, b.refusalAnswer(in.Class, refusal))
		return nil
	}
	return s.ask(core.Request{Plan: b.Plan, Customer: in.Customer | checkCustomerBit,
		Spread: in.Spread * len(s.Issuers), Deadline: in.Deadline},
		credentials.Token, "access_token", func(v verdict) {
			if v.kind != core.Served {
				done(bearer.Claims{}, s.failureAnswer(v))
				return
			}
			now := s.clock()
			claims, err := bearer.ParseClaims(v.token.Text)
			if err != nil || !v.active(now) {
				claims = bearer.Claims{} // the zero value is an inactive token
			}
			claims.Expires = 0 // v.active has already checked it against the issuer's clock
			if refusal := required.Check(now, claims, credentials, b.Proofs); refusal != nil {
				done(bearer.Claims{}, b.refusalAnswer(in.Class, refusal))
				return
			}
			done(claims, nil)
		})
}

// refusalAnswer returns the response for a refusal, and logs the refusal without the token.
func (b *Bearer) refusalAnswer(class string, r *bearer.Refusal) *http1.Answer {
	if r.Code != "" {
		b.Log.Warn().Str("code", "token-refused").Str("class", class).Str("error", r.Code).
			Str("reason", r.Description).Msg("access token rejected")
	}
	a := jsonAnswer(r.Status, r.Body())
	return withHeader(a, "WWW-Authenticate", r.Challenge())
}

// rateLimitedLog limits a log to 20 lines a second, so that a flood of bad tokens can't fill it.
func rateLimitedLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second})
}

// NewBearer returns a copy of b with a limited log and, if b.Proofs is nil, a new memory for DPoP proofs.
func NewBearer(b Bearer) *Bearer {
	if b.Proofs == nil {
		b.Proofs = bearer.NewMemory(maxProofs)
	}
	b.Log = rateLimitedLog(b.Log)
	return &b
}

// maxProofs is the capacity for unexpired proofs: 1,000 a second for the minute that they are valid.
const maxProofs = 60_000
