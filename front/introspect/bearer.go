package introspect

import (
	"time"

	"github.com/rs/zerolog"

	"dunespoke/bearer"
	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Bearer checks the access token of a request before the request goes on. It is a platform.Guard.
type Bearer struct {
	Front   *Front
	Plan    string                        // under which checks are counted
	Classes map[string]bearer.Requirement // by the class of the request
	Others  bearer.Requirement            // of classes that are not named
	Proofs  *bearer.Memory                // of DPoP; nil: tokens bound to keys are refused
	Base    string                        // of the URLs that proofs name; empty: as asked
	Log     zerolog.Logger
}

// customerBit tells the accounts under which checks are counted from those of the requests themselves.
const customerBit = 1 << 62

// Check asks about the token, within the deadline of the request that it came with, and calls then once: with
// nil if the token lets the request through, else with the answer that the client gets instead. Attempts made
// for it are attempts of the check alone. The request has not been sent on yet, so that any answer from here
// is one to a request that never ran.
func (b *Bearer) Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func()) {
	required, named := b.Classes[in.Class]
	if !named {
		required = b.Others
	}
	return b.Require(r, in, required, func(_ bearer.Claims, a *http1.Answer) { then(a) })
}

// Require does as Check does, by a requirement of its own, and tells what is known of the token.
func (b *Bearer) Require(r *http1.Request, in core.Request, required bearer.Requirement,
	then func(bearer.Claims, *http1.Answer)) (leave func()) {
	s := b.Front.now.Load()
	shown, refusal := bearer.Read(r.Request, b.Base)
	if refusal != nil {
		then(bearer.Claims{}, b.refused(in.Class, refusal))
		return nil
	}
	return s.ask(core.Request{Plan: b.Plan, Customer: in.Customer | customerBit,
		Spread: in.Spread * len(s.Issuers), Deadline: in.Deadline}, shown.Token, "access_token", func(v verdict) {
		if v.kind != core.Served {
			then(bearer.Claims{}, s.word(v))
			return
		}
		now := s.clock()
		claims, err := bearer.ParseClaims(v.token.Text)
		if err != nil || !v.active(now) {
			claims = bearer.Claims{} // not active
		}
		claims.Expires = 0 // v.active has read it, by the issuer's clock
		if refusal := required.Check(now, claims, shown, b.Proofs); refusal != nil {
			then(bearer.Claims{}, b.refused(in.Class, refusal))
			return
		}
		then(claims, nil)
	})
}

// refused words a refusal, and logs it without the token.
func (b *Bearer) refused(class string, r *bearer.Refusal) *http1.Answer {
	if r.Code != "" {
		b.Log.Warn().Str("code", "token-refused").Str("class", class).Str("error", r.Code).
			Str("reason", r.Description).Msg("not let in")
	}
	a := jsonAnswer(r.Status, r.Body())
	return withHeader(a, "WWW-Authenticate", r.Challenge())
}

// sampled is a log that a flood of bad tokens does not fill.
func sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: 20, Period: time.Second})
}

// NewBearer returns a check with a memory for DPoP of its own, unless there is one.
func NewBearer(b Bearer) *Bearer {
	if b.Proofs == nil {
		b.Proofs = bearer.NewMemory(proofsMost)
	}
	b.Log = sampled(b.Log)
	return &b
}

// proofsMost is how many proofs are remembered at a time: 1,000 a second for the minute that they are valid.
const proofsMost = 60_000
