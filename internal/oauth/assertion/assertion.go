// Package assertion makes and validates the JWTs by which OAuth clients authenticate (RFC 7523, section 2.2).
// It reads no clock and does no I/O. go-jose makes and verifies the signatures; this package decides which
// keys, algorithms and claims are accepted.
package assertion

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"dunespoke/internal/oauth/replay"
)

// Type is the client_assertion_type of a JWT assertion.
const Type = "urn:ietf:params:oauth:client-assertion-type:jwt-bearer"

// Most is the maximum length of an assertion in bytes. Longer ones are not parsed.
const Most = 8 << 10

// Accepted signature algorithms, for public keys and for shared secrets. They don't include "none".
var (
	KeyAlgorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.ES512, jose.PS256, jose.PS384,
		jose.PS512, jose.RS256, jose.RS384, jose.RS512, jose.EdDSA}
	SecretAlgorithms = []jose.SignatureAlgorithm{jose.HS256, jose.HS384, jose.HS512}
)

// Reasons for rejecting an assertion. Clients see these texts.
var (
	ErrMalformed = errors.New("not a JWT that is taken here")
	ErrAlgorithm = errors.New("signed by an algorithm that is not taken")
	ErrSignature = errors.New("no key of the client made the signature")
	ErrClaims    = errors.New("iss and sub must be the client's id, and jti and exp must be there")
	ErrAudience  = errors.New("for another audience")
	ErrTime      = errors.New("expired, not valid yet, or valid for too long")
	ErrReplayed  = errors.New("shown before")
	ErrFull      = errors.New("too many assertions of this client are still valid")
)

// Rules configure which assertions of one client are accepted.
type Rules struct {
	ClientID  string
	Audiences []string                     // at least one must be in "aud"
	Keys      []jose.JSONWebKey            // public keys
	Secret    []byte                       // for client_secret_jwt; if set, Keys is ignored
	Life      time.Duration                // maximum time until "exp"
	Skew      time.Duration                // tolerated clock difference
	Memory    func(f func(*replay.Memory)) // calls f with exclusive access to the client's memory of "jti"
}

// Claimed returns the client ID that an assertion claims, unverified, so that the caller can find its rules.
func Claimed(text string) (id string, ok bool) {
	if len(text) > Most {
		return "", false
	}
	all := append(slices.Clone(KeyAlgorithms), SecretAlgorithms...)
	token, err := jwt.ParseSigned(text, all)
	if err != nil {
		return "", false
	}
	var claims jwt.Claims
	if token.UnsafeClaimsWithoutVerification(&claims) != nil {
		return "", false
	}
	return claims.Subject, claims.Subject != ""
}

// Check validates an assertion at the Unix time now and returns nil if it is accepted. An accepted assertion
// is recorded in the memory, so that it is accepted only once.
func Check(now time.Duration, text string, r Rules) error {
	if len(text) > Most {
		return ErrMalformed
	}
	algorithms := KeyAlgorithms
	if r.Secret != nil {
		algorithms = SecretAlgorithms
	}
	token, err := jwt.ParseSigned(text, algorithms)
	var unexpected *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &unexpected):
		return ErrAlgorithm
	case err != nil:
		return ErrMalformed
	}
	var claims jwt.Claims
	if !verifyClaims(token, r, &claims) {
		return ErrSignature
	}
	at := time.Unix(0, int64(now))
	switch {
	case claims.Issuer != r.ClientID || claims.Subject != r.ClientID || claims.ID == "" || claims.Expiry == nil:
		return ErrClaims
	case !slices.ContainsFunc(claims.Audience, func(a string) bool { return slices.Contains(r.Audiences, a) }):
		return ErrAudience
	case !at.Before(claims.Expiry.Time().Add(r.Skew)), claims.Expiry.Time().After(at.Add(r.Life + r.Skew)),
		claims.NotBefore != nil && claims.NotBefore.Time().After(at.Add(r.Skew)),
		claims.IssuedAt != nil && claims.IssuedAt.Time().After(at.Add(r.Skew)):
		return ErrTime
	}
	verdict := replay.New(0).Show(0, "", 0) // Full if r.Memory does not call its argument
	r.Memory(func(m *replay.Memory) {
		verdict = m.Show(now, claims.ID, time.Duration(claims.Expiry.Time().UnixNano())+r.Skew)
	})
	switch verdict {
	case replay.Seen:
		return ErrReplayed
	case replay.Full:
		return ErrFull
	}
	return nil
}

// verifyClaims decodes the claims and returns true if the signature matches the client's secret or one of its
// keys.
func verifyClaims(token *jwt.JSONWebToken, r Rules, claims *jwt.Claims) bool {
	if r.Secret != nil {
		return token.Claims(r.Secret, claims) == nil
	}
	kid := ""
	if len(token.Headers) > 0 {
		kid = token.Headers[0].KeyID
	}
	for _, k := range r.Keys {
		if kid != "" && k.KeyID != "" && kid != k.KeyID || k.Use == "enc" || !k.Valid() || !k.IsPublic() {
			continue
		}
		if k.Algorithm != "" && k.Algorithm != token.Headers[0].Algorithm {
			continue
		}
		if token.Claims(k.Key, claims) == nil {
			return true
		}
	}
	return false
}

// Maker makes assertions for one client.
type Maker struct {
	ClientID string
	Audience string
	Life     time.Duration
	signer   jose.Signer
}

// NewMaker returns a Maker that signs with a private key or a shared secret. algorithm must match the key.
func NewMaker(id, audience string, life time.Duration, key any, algorithm, kid string) (*Maker, error) {
	o := (&jose.SignerOptions{}).WithType("JWT")
	if kid != "" {
		o = o.WithHeader("kid", kid)
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(algorithm), Key: key}, o)
	if err != nil {
		return nil, fmt.Errorf("client assertion: %w", err)
	}
	return &Maker{ClientID: id, Audience: audience, Life: life, signer: signer}, nil
}

// Make returns a new assertion, issued at the Unix time now and valid for m.Life.
func (m *Maker) Make(now time.Duration) (string, error) {
	at := time.Unix(0, int64(now))
	text, err := jwt.Signed(m.signer).Claims(jwt.Claims{Issuer: m.ClientID, Subject: m.ClientID,
		Audience: jwt.Audience{m.Audience}, ID: rand.Text(), IssuedAt: jwt.NewNumericDate(at),
		Expiry: jwt.NewNumericDate(at.Add(m.Life))}).Serialize()
	if err != nil {
		return "", fmt.Errorf("client assertion: %w", err)
	}
	return text, nil
}

// ErrNoKey reports that a JWK set contains no usable key.
var ErrNoKey = errors.New("no usable public key")

// PublicKeys parses a JWK set (RFC 7517) with 1 to 64 public keys. It ignores private and invalid keys, which
// don't belong in such a set.
func PublicKeys(text []byte) ([]jose.JSONWebKey, error) {
	var set jose.JSONWebKeySet
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("JWK set: %w", err)
	}
	var keys []jose.JSONWebKey
	for _, k := range set.Keys {
		if k.Valid() && k.IsPublic() {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 || len(keys) > 64 {
		return nil, fmt.Errorf("JWK set: %w, or more than 64 keys", ErrNoKey)
	}
	return keys, nil
}
