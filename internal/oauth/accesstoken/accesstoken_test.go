package accesstoken

import (
	"errors"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/sign"

	"github.com/go-jose/go-jose/v4"
)

const now = 1_800_000_000 * time.Second

func good() map[string]any {
	return map[string]any{
		"iss":                  "https://as",
		"sub":                  "me",
		"aud":                  []string{"https://api"},
		"jti":                  "1",
		"client_id":            "app",
		"iat":                  1_799_999_000,
		"exp":                  1_800_000_001,
		"active":               false,
		"introspection_source": "mine",
	}
}

func TestCheck(t *testing.T) {
	key, old := sign.Key(t), sign.Key(t)
	r := Rules{Issuer: "https://as", Audiences: []string{"https://api"}, Skew: 5 * time.Second,
		Keys: []jose.JSONWebKey{{Key: &old.PublicKey, KeyID: "old"}, {Key: &key.PublicKey, KeyID: "new"}}}
	altered := func(name string, v any) string {
		c := good()
		if c[name] = v; v == nil {
			delete(c, name)
		}
		return sign.JWT(t, jose.ES256, key, "at+jwt", "new", false, c)
	}
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"good":              {altered("x", 1), nil},
		"the old key":       {sign.JWT(t, jose.ES256, old, "at+jwt", "old", false, good()), nil},
		"full type":         {sign.JWT(t, jose.ES256, key, "application/at+jwt", "new", false, good()), nil},
		"another type":      {sign.JWT(t, jose.ES256, key, "JWT", "new", false, good()), ErrMalformed},
		"another key":       {sign.JWT(t, jose.ES256, sign.Key(t), "at+jwt", "new", false, good()), ErrSignature},
		"unknown key":       {sign.JWT(t, jose.ES256, key, "at+jwt", "newest", false, good()), ErrSignature},
		"alg none":          {"eyJhbGciOiJub25lIiwidHlwIjoiYXQrand0In0.e30.", ErrMalformed},
		"another issuer":    {altered("iss", "https://b"), ErrClaims},
		"no subject":        {altered("sub", nil), ErrClaims},
		"no client":         {altered("client_id", nil), ErrClaims},
		"empty client":      {altered("client_id", ""), ErrClaims},
		"no id":             {altered("jti", nil), ErrClaims},
		"no expiry":         {altered("exp", nil), ErrClaims},
		"another audience":  {altered("aud", "https://apis"), ErrAudience},
		"expired":           {altered("exp", 1_800_000_000), ErrTime},
		"issued in future":  {altered("iat", 1_800_000_006), ErrTime},
		"not yet valid":     {altered("nbf", 1_800_000_006), ErrTime},
		"clock skew of 5 s": {altered("nbf", 1_800_000_005), nil},
		"too long":          {altered("x", strings.Repeat("x", Most)), ErrMalformed},
		"opaque":            {"abc", ErrMalformed},
	} {
		claims, err := Check(now, c.text, r)
		if !errors.Is(err, c.want) || (claims == nil) != (err != nil) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if err != nil {
			continue
		}
		text, err := Answer(claims, "local")
		if err != nil || !strings.Contains(string(text), `"active":true`) ||
			!strings.Contains(string(text), `"sub":"me"`) ||
			!strings.Contains(string(text), `"introspection_source":"local"`) {
			t.Errorf("%s: %s, %v", name, text, err)
		}
	}
}

// No token is accepted that was not signed with the issuer's key.
func FuzzCheck(f *testing.F) {
	f.Add(sign.JWT(f, jose.ES256, sign.Key(f), "at+jwt", "new", false, good()))
	r := Rules{
		Issuer:    "https://as",
		Audiences: []string{"https://api"},
		Keys:      []jose.JSONWebKey{{Key: &sign.Key(f).PublicKey}},
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Check(now, text, r); err == nil {
			t.Fatalf("%q accepted", text)
		}
	})
}
