package introspect

import (
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/core"
	"dunespoke/internal/breaker"
	"dunespoke/internal/oauth/accesstoken"
)

// Fallback configures the local validation of JWT access tokens (RFC 9068) while the breaker of their issuer
// is not closed. Local validation can't detect revoked tokens, so its duration is limited.
type Fallback struct {
	Issuer    string
	Audiences []string
	Keys      func() []jose.JSONWebKey
	For       time.Duration // maximum time since the breaker opened
	Skew      time.Duration
}

// introspectionSource marks responses that come from local validation and not from the issuer.
const introspectionSource = "local"

// tryFallback answers a query that no issuer could answer, if an issuer of its route has a Fallback and the
// token passes local validation. Otherwise it returns v, a refusal: a token that fails is not reported as
// inactive.
func (s *setup) tryFallback(q *query, v verdict) verdict {
	for _, i := range q.route {
		d := i.Desk
		down := d.outageDuration()
		if d.Fallback == nil || down <= 0 || down > d.Fallback.For {
			continue
		}
		now := s.clock()
		claims, err := accesstoken.Check(now, q.token, accesstoken.Rules{Issuer: d.Fallback.Issuer,
			Audiences: d.Fallback.Audiences, Keys: d.Fallback.Keys(), Skew: d.Fallback.Skew})
		if err != nil {
			continue
		}
		text, err := accesstoken.Answer(claims, introspectionSource)
		if err != nil {
			continue
		}
		token, err := decodeToken(text)
		if err != nil {
			continue
		}
		s.Log.Warn().Str("code", "answered-by-fallback").Str("issuer", d.Issuer).Dur("down", down).
			Msg("token validated locally because its issuer is unavailable")
		return verdict{outcome: outcome{token: token}, kind: core.Served}
	}
	return v
}

// outageDuration returns the time since the breaker opened, or zero if the breaker is closed.
func (d *Desk) outageDuration() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == breaker.Closed {
		return 0
	}
	return max(1, d.Questions.Now()-d.openedAt)
}
