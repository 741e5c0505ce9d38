package introspect

import (
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/core"
	"dunespoke/internal/breaker"
	"dunespoke/internal/oauth/accesstoken"
)

// Fallback checks JWT access tokens (RFC 9068) here while their issuer is left alone. It can't know of
// revocations, and so has a bound on how long.
type Fallback struct {
	Issuer    string
	Audiences []string
	Keys      func() []jose.JSONWebKey
	For       time.Duration // since the issuer was left alone
	Skew      time.Duration
}

// source marks answers that come from here, and not from the issuer.
const source = "local"

// fallBack answers a question that its issuer could not be asked, if the token proves itself and the operator
// lets that do. What proves nothing is refused as before: it is not told as inactive.
func (s *setup) fallBack(q *question, v verdict) verdict {
	for _, i := range q.route {
		d := i.Desk
		down := d.downFor()
		if d.Fallback == nil || down <= 0 || down > d.Fallback.For {
			continue
		}
		now := s.clock()
		claims, err := accesstoken.Check(now, q.token, accesstoken.Rules{Issuer: d.Fallback.Issuer,
			Audiences: d.Fallback.Audiences, Keys: d.Fallback.Keys(), Skew: d.Fallback.Skew})
		if err != nil {
			continue
		}
		text, err := accesstoken.Answer(claims, source)
		if err != nil {
			continue
		}
		token, err := decode(text)
		if err != nil {
			continue
		}
		s.Log.Warn().Str("code", "answered-by-fallback").Str("issuer", d.Issuer).Dur("down", down).
			Msg("a token was checked here; its issuer is left alone")
		return verdict{outcome: outcome{token: token}, kind: core.Served}
	}
	return v
}

// downFor is how long the issuer has been left alone; 0: it is not.
func (d *Desk) downFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == breaker.Closed {
		return 0
	}
	return max(1, d.Questions.Now()-d.opened)
}
