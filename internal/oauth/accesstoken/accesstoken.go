// Package accesstoken validates JWT access tokens (RFC 9068) with an issuer's public keys. It reads no clock
// and does no I/O. It cannot detect revoked tokens.
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

// Most is the maximum length of a token in bytes. Longer tokens are not parsed.
const Most = 16 << 10

// Reasons for rejecting a token.
var (
	ErrMalformed = errors.New("not a JWT access token with an accepted algorithm")
	ErrSignature = errors.New("the signature matches no key of the issuer")
	ErrClaims    = errors.New("a claim required by RFC 9068 is missing, or the issuer differs")
	ErrAudience  = errors.New("for another audience")
	ErrTime      = errors.New("expired, or not valid yet")
)

// Rules configure which tokens are accepted.
type Rules struct {
	Issuer    string
	Audiences []string // at least one must be in "aud"
	Keys      []jose.JSONWebKey
	Skew      time.Duration // tolerated clock difference; does not apply to "exp"
}

// Check validates a token at the Unix time now and returns its claims, undecoded.
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
	var parsed jwt.Claims
	if !slices.ContainsFunc(r.Keys, func(k jose.JSONWebKey) bool {
		return (head.KeyID == "" || k.KeyID == head.KeyID) && k.Use != "enc" && k.IsPublic() &&
			(k.Algorithm == "" || k.Algorithm == head.Algorithm) && token.Claims(k.Key, &parsed, &claims) == nil
	}) {
		return nil, ErrSignature
	}
	at := time.Unix(0, int64(now))
	switch {
	case parsed.Issuer != r.Issuer || parsed.Subject == "" || parsed.ID == "" || parsed.Expiry == nil ||
		parsed.IssuedAt == nil || len(claims["client_id"]) < 3: // a non-empty JSON string has at least 3 bytes
		return nil, ErrClaims
	case !slices.ContainsFunc(parsed.Audience, func(a string) bool { return slices.Contains(r.Audiences, a) }):
		return nil, ErrAudience
	case !at.Before(parsed.Expiry.Time()), parsed.IssuedAt.Time().After(at.Add(r.Skew)),
		parsed.NotBefore != nil && parsed.NotBefore.Time().After(at.Add(r.Skew)):
		return nil, ErrTime
	}
	return claims, nil
}

// Answer returns claims as an introspection response for an active token. "active", "introspection_source",
// which is set to source, and "token_type" override claims of the same name in the token.
func Answer(claims map[string]json.RawMessage, source string) ([]byte, error) {
	encodedSource, err := json.Marshal(source)
	if err != nil {
		return nil, fmt.Errorf("access token: %w", err)
	}
	response := map[string]json.RawMessage{}
	for name, v := range claims {
		response[name] = v
	}
	response["active"], response["introspection_source"], response["token_type"] =
		[]byte("true"), encodedSource, []byte(`"Bearer"`)
	text, err := json.Marshal(response)
	if err != nil {
		return nil, fmt.Errorf("access token: %w", err)
	}
	return text, nil
}
