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
const signedMediaType = "application/token-introspection+jwt"

// Signer signs introspection responses (RFC 9701).
type Signer struct {
	issuer     string
	signer     jose.Signer
	jwks       []byte // the public keys, as a JSON-encoded JWK set
	algorithms []string
}

// NewSigner returns a Signer that issues responses in the name of issuer. The first key signs. All keys are
// published in the JWK set, so that clients can fetch a new key before it is used, and an old key as long as
// they verify responses signed with it.
func NewSigner(issuer string, keys []jose.JSONWebKey) (*Signer, error) {
	s := &Signer{issuer: issuer}
	var set jose.JSONWebKeySet
	for _, k := range keys {
		if k.IsPublic() || !k.Valid() || k.KeyID == "" {
			return nil, fmt.Errorf("signing key %q: must be a valid private key with a key ID", k.KeyID)
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
		s.algorithms = append(s.algorithms, k.Algorithm)
	}
	var err error
	if s.jwks, err = json.Marshal(set); err != nil {
		return nil, fmt.Errorf("signing keys: %w", err)
	}
	return s, nil
}

// Encryption configures how the signed responses to one client are encrypted.
type Encryption struct {
	Key       jose.JSONWebKey // the client's public key
	Algorithm jose.KeyAlgorithm
	Content   jose.ContentEncryption
}

// sign returns the signed response for one client, encrypted if the client is configured for that.
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
	encrypter, err := jose.NewEncrypter(e.Content, jose.Recipient{Algorithm: e.Algorithm, Key: e.Key.Key,
		KeyID: e.Key.KeyID}, (&jose.EncrypterOptions{}).WithContentType("JWT"))
	if err != nil {
		return nil, err
	}
	nested, err := jwt.SignedAndEncrypted(s.signer, encrypter).Claims(claims).Serialize()
	return []byte(nested), err
}

// wantsJWT reports whether a request accepts a signed response.
func wantsJWT(r *http1.Request) bool {
	for part := range strings.SplitSeq(strings.Join(r.Header.Values("Accept"), ","), ",") {
		kind, params, err := mime.ParseMediaType(part)
		if err == nil && kind == signedMediaType && params["q"] != "0" {
			return true
		}
	}
	return false
}

// filterClaims removes the claims that the client may not see. Nil claims allow all; "active" is always kept.
func filterClaims(text []byte, claims []string) ([]byte, error) {
	if claims == nil {
		return text, nil
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	visible := map[string]json.RawMessage{"active": all["active"]}
	for _, name := range claims {
		if v, ok := all[name]; ok {
			visible[name] = v
		}
	}
	return json.Marshal(visible)
}

// inactiveBody is the complete response for a token that is not active (RFC 7662, 2.2).
var inactiveBody = []byte(`{"active":false}`)

// successAnswer returns the response about a token for one client, signed if requested and configured.
func (s *setup) successAnswer(client Client, signed bool, v verdict) *http1.Answer {
	now := s.clock()
	text := inactiveBody
	if v.active(now) {
		var err error
		if text, err = filterClaims(v.token.Text, client.Claims); err != nil {
			return errorAnswer(http.StatusBadGateway, "server_error", "the answer can't be filtered")
		}
	}
	if !signed || s.Signer == nil {
		return jsonAnswer(http.StatusOK, text)
	}
	token, err := s.Signer.sign(client, text, now)
	if err != nil {
		s.Log.Warn().Str("code", "answer-not-signed").Str("client", client.ID).Err(err).
			Msg("cannot sign the response: check the signing key and the client's encryption key")
		return errorAnswer(http.StatusBadGateway, "server_error", "the answer can't be signed")
	}
	return &http1.Answer{Status: http.StatusOK, Body: token, Header: [][2]string{
		{"Content-Type", signedMediaType}, {"Cache-Control", "no-store"}}}
}
