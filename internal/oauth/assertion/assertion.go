// Package assertion makes and checks the JWTs by which OAuth clients authenticate (RFC 7523, section 2.2).
// It knows no clock and no wire. Signatures are go-jose's; what is decided here is which of them to believe.
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

// Type is the client_assertion_type of a JWT.
const Type = "urn:ietf:params:oauth:client-assertion-type:jwt-bearer"

// Most bounds what is looked into, in bytes.
const Most = 8 << 10

// The algorithms that are taken, of keys and of shared secrets. "none" is not among them.
var (
	KeyAlgorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.ES512, jose.PS256, jose.PS384,
		jose.PS512, jose.RS256, jose.RS384, jose.RS512, jose.EdDSA}
	SecretAlgorithms = []jose.SignatureAlgorithm{jose.HS256, jose.HS384, jose.HS512}
)

// What may be wrong with an assertion.
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

// Rules say which assertions of a client are believed.
type Rules struct {
	ClientID  string
	Audiences []string                     // any of them must be in aud
	Keys      []jose.JSONWebKey            // public ones
	Secret    []byte                       // for client_secret_jwt; then Keys is not used
	Life      time.Duration                // exp may be so far ahead
	Skew      time.Duration                // by which clocks may differ
	Memory    func(f func(*replay.Memory)) // lends the client's memory of jti, alone to f
}

// Claimed reads the client that an assertion names, unverified, to find its rules.
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

// Check reports what is wrong with an assertion at a moment of Unix time. One that is good is remembered, and
// good only once.
func Check(now time.Duration, text string, r Rules) error {
	if len(text) > Most {
		return ErrMalformed
	}
	algorithms := KeyAlgorithms
	if r.Secret != nil {
		algorithms = SecretAlgorithms
	}
	token, err := jwt.ParseSigned(text, algorithms)
	var odd *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &odd):
		return ErrAlgorithm
	case err != nil:
		return ErrMalformed
	}
	var claims jwt.Claims
	if !verified(token, r, &claims) {
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
	verdict := replay.New(0).Show(0, "", 0) // Full, if no memory is lent
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

// verified reads the claims if a key of the client, or its secret, made the signature.
func verified(token *jwt.JSONWebToken, r Rules, claims *jwt.Claims) bool {
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

// NewMaker returns a maker that signs by a private key, whose algorithm must be told, or by a secret.
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

// Make returns an assertion that is valid from a moment of Unix time on.
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

// ErrNoKey says that a set of keys holds none that can be used.
var ErrNoKey = errors.New("no usable key in it")

// PublicKeys reads a JWKS (RFC 7517) of public keys. Private ones are not taken: they have no business in it.
func PublicKeys(text []byte) ([]jose.JSONWebKey, error) {
	var set jose.JSONWebKeySet
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var keys []jose.JSONWebKey
	for _, k := range set.Keys {
		if k.Valid() && k.IsPublic() {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 || len(keys) > 64 {
		return nil, fmt.Errorf("keys: %w, or over 64", ErrNoKey)
	}
	return keys, nil
}
