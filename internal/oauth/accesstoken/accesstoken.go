// Package accesstoken checks JWT access tokens (RFC 9068) by an issuer's public keys. It knows no clock and
// no wire. What it can't tell is whether a token has been revoked.
package accesstoken

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"dunespoke/internal/oauth/assertion"
)

// Most bounds what is looked into, in bytes.
const Most = 16 << 10

// What may be wrong with a token.
var (
	ErrMalformed = errors.New("no JWT access token that is taken")
	ErrSignature = errors.New("no key of the issuer made the signature")
	ErrClaims    = errors.New("a claim that RFC 9068 asks for is missing, or the issuer is another")
	ErrAudience  = errors.New("for another audience")
	ErrTime      = errors.New("expired, or not valid yet")
)

// Rules say which tokens are believed.
type Rules struct {
	Issuer    string
	Audiences []string // one of them must be in aud
	Keys      []jose.JSONWebKey
	Skew      time.Duration // by which clocks may differ; an expired token is expired, whatever this is
}

// Check returns a token's claims, as it holds them, at a moment of Unix time.
func Check(now time.Duration, text string, r Rules) (claims map[string]json.RawMessage, err error) {
	if len(text) > Most {
		return nil, ErrMalformed
	}
	token, err := jwt.ParseSigned(text, assertion.KeyAlgorithms)
	if err != nil {
		return nil, ErrMalformed
	}
	head := token.Headers[0]
	if kind, _ := head.ExtraHeaders[jose.HeaderType].(string); kind != "at+jwt" && kind != "application/at+jwt" {
		return nil, ErrMalformed
	}
	var told jwt.Claims
	if !slices.ContainsFunc(r.Keys, func(k jose.JSONWebKey) bool {
		return (head.KeyID == "" || k.KeyID == head.KeyID) && k.Use != "enc" && k.IsPublic() &&
			(k.Algorithm == "" || k.Algorithm == head.Algorithm) && token.Claims(k.Key, &told, &claims) == nil
	}) {
		return nil, ErrSignature
	}
	at := time.Unix(0, int64(now))
	switch {
	case told.Issuer != r.Issuer || told.Subject == "" || told.ID == "" || told.Expiry == nil ||
		told.IssuedAt == nil || len(claims["client_id"]) < 3: // a text in quotes
		return nil, ErrClaims
	case !slices.ContainsFunc(told.Audience, func(a string) bool { return slices.Contains(r.Audiences, a) }):
		return nil, ErrAudience
	case !at.Before(told.Expiry.Time()), told.IssuedAt.Time().After(at.Add(r.Skew)),
		told.NotBefore != nil && told.NotBefore.Time().After(at.Add(r.Skew)):
		return nil, ErrTime
	}
	return claims, nil
}

// Answer words claims as an answer of introspection, marked with where they come from: no claim of the
// token's own can take that mark away, or make it active.
func Answer(claims map[string]json.RawMessage, source string) ([]byte, error) {
	mark, err := json.Marshal(source)
	if err != nil {
		return nil, fmt.Errorf("access token: %w", err)
	}
	told := map[string]json.RawMessage{}
	for name, v := range claims {
		told[name] = v
	}
	told["active"], told["introspection_source"], told["token_type"] = []byte("true"), mark, []byte(`"Bearer"`)
	text, err := json.Marshal(told)
	if err != nil {
		return nil, fmt.Errorf("access token: %w", err)
	}
	return text, nil
}
