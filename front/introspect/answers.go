package introspect

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"dunespoke/internal/http1"
)

// jwtAnswer is the media type of signed answers (RFC 9701, 4).
const jwtAnswer = "application/token-introspection+jwt"

// Signer signs answers (RFC 9701).
type Signer struct {
	issuer string
	signer jose.Signer
	keys   []byte // the public ones, as a JWKS
	names  []string
}

// NewSigner returns a signer for an issuer's name. The first key signs; all are told in the JWKS, so that a
// new key can be known before it is used, and an old one for as long as answers that it signed are looked at.
func NewSigner(issuer string, keys []jose.JSONWebKey) (*Signer, error) {
	s := &Signer{issuer: issuer}
	var set jose.JSONWebKeySet
	for _, k := range keys {
		if k.IsPublic() || !k.Valid() || k.KeyID == "" {
			return nil, fmt.Errorf("signing key %q: want a private key with an id", k.KeyID)
		}
		signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.Algorithm), Key: k},
			(&jose.SignerOptions{}).WithType("token-introspection+jwt"))
		if err != nil {
			return nil, fmt.Errorf("signing key %q: %w", k.KeyID, err)
		}
		if s.signer == nil {
			s.signer = signer
		}
		public := k.Public()
		public.Use = "sig"
		set.Keys = append(set.Keys, public)
		s.names = append(s.names, k.Algorithm)
	}
	var err error
	if s.keys, err = json.Marshal(set); err != nil {
		return nil, fmt.Errorf("signing keys: %w", err)
	}
	return s, nil
}

// Encryption says how a client wants its signed answers encrypted.
type Encryption struct {
	Key       jose.JSONWebKey // public
	Algorithm jose.KeyAlgorithm
	Content   jose.ContentEncryption
}

// sign makes a signed answer for one client, encrypted if that wants it.
func (s *Signer) sign(client Client, text []byte, now time.Duration) ([]byte, error) {
	claims := struct {
		Issuer   string          `json:"iss"`
		Audience string          `json:"aud"`
		IssuedAt int64           `json:"iat"`
		Answer   json.RawMessage `json:"token_introspection"`
	}{s.issuer, client.ID, int64(now / time.Second), text}
	if client.Encrypt == nil {
		signed, err := jwt.Signed(s.signer).Claims(claims).Serialize()
		return []byte(signed), err
	}
	e := client.Encrypt
	box, err := jose.NewEncrypter(e.Content, jose.Recipient{Algorithm: e.Algorithm, Key: e.Key.Key,
		KeyID: e.Key.KeyID}, (&jose.EncrypterOptions{}).WithContentType("JWT"))
	if err != nil {
		return nil, err
	}
	nested, err := jwt.SignedAndEncrypted(s.signer, box).Claims(claims).Serialize()
	return []byte(nested), err
}

// wantsJWT reports whether a request asks for a signed answer.
func wantsJWT(r *http1.Request) bool {
	for part := range strings.SplitSeq(strings.Join(r.Header.Values("Accept"), ","), ",") {
		kind, params, err := mime.ParseMediaType(part)
		if err == nil && kind == jwtAnswer && params["q"] != "0" {
			return true
		}
	}
	return false
}

// filter leaves of an answer what the client is told.
func filter(text []byte, claims []string) ([]byte, error) {
	if claims == nil {
		return text, nil
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	told := map[string]json.RawMessage{"active": all["active"]}
	for _, name := range claims {
		if v, ok := all[name]; ok {
			told[name] = v
		}
	}
	return json.Marshal(told)
}

// inactive is all that is told of a token that is not active (RFC 7662, 2.2).
var inactive = []byte(`{"active":false}`)

// tell words what is known of a token for one client.
func (s *setup) tell(client Client, signed bool, v verdict) *http1.Answer {
	now := s.clock()
	text := inactive
	if v.active(now) {
		var err error
		if text, err = filter(v.token.Text, client.Claims); err != nil {
			return problemOf(http.StatusBadGateway, "server_error", "the answer can't be filtered")
		}
	}
	if !signed || s.Signer == nil {
		return jsonAnswer(http.StatusOK, text)
	}
	made, err := s.Signer.sign(client, text, now)
	if err != nil {
		s.Log.Warn().Str("code", "answer-not-signed").Str("client", client.ID).Err(err).Msg("see the keys")
		return problemOf(http.StatusBadGateway, "server_error", "the answer can't be signed")
	}
	return &http1.Answer{Status: http.StatusOK, Body: made, Header: [][2]string{{"Content-Type", jwtAnswer},
		{"Cache-Control", "no-store"}}}
}
