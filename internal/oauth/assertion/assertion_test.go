package assertion

import (
	"crypto/ecdsa"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"dunespoke/internal/lab/sign"
	"dunespoke/internal/oauth/replay"
)

const now = 1_800_000_000 * time.Second

func rules(keys ...jose.JSONWebKey) Rules {
	m := replay.New(100)
	return Rules{ClientID: "app", Audiences: []string{"https://here/introspect", "https://here"}, Keys: keys,
		Life: time.Minute, Skew: 5 * time.Second, Memory: func(f func(*replay.Memory)) { f(m) }}
}

func public(key *ecdsa.PrivateKey, kid string) jose.JSONWebKey {
	return jose.JSONWebKey{Key: &key.PublicKey, KeyID: kid, Algorithm: "ES256", Use: "sig"}
}

func at(d time.Duration) *jwt.NumericDate { return jwt.NewNumericDate(time.Unix(0, int64(d))) }

func TestAssertionIsAcceptedOnce(t *testing.T) {
	key := sign.Key(t)
	m, err := NewMaker("app", "https://here/introspect", 30*time.Second, key, "ES256", "k1")
	if err != nil {
		t.Fatal(err)
	}
	r := rules(public(sign.Key(t), "k0"), public(key, "k1"))
	text, err := m.Make(now)
	if err != nil {
		t.Fatal(err)
	}
	if id, ok := Claimed(text); id != "app" || !ok {
		t.Errorf("claimed client ID %q", id)
	}
	if err := Check(now, text, r); err != nil {
		t.Error(err)
	}
	for _, later := range []time.Duration{0, 20 * time.Second, 34 * time.Second} {
		if err := Check(now+later, text, r); !errors.Is(err, ErrReplayed) {
			t.Errorf("after %v: %v", later, err)
		}
	}
	if err := Check(now+36*time.Second, text, r); !errors.Is(err, ErrTime) {
		t.Errorf("after its expiry: %v", err)
	}
}

func TestCheck(t *testing.T) {
	key, other := sign.Key(t), sign.Key(t)
	good := jwt.Claims{Issuer: "app", Subject: "app", Audience: jwt.Audience{"https://here"}, ID: "1",
		Expiry: at(now + 30*time.Second)}
	change := func(f func(*jwt.Claims)) jwt.Claims {
		c := good
		f(&c)
		return c
	}
	altered := func(f func(*jwt.Claims)) string { return sign.JWT(t, jose.ES256, key, "", "", false, change(f)) }
	payload, err := json.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	b64 := base64.RawURLEncoding.EncodeToString
	none := b64([]byte(`{"alg":"none"}`)) + "." + b64(payload) + "."
	sharedSecretSigned := sign.JWT(t, jose.HS256, []byte(strings.Repeat("k", 32)), "", "", false, good)
	signed := sign.JWT(t, jose.ES256, key, "", "", false, good)
	parts := strings.Split(signed, ".")
	forged := parts[0] + "." + b64(
		[]byte(strings.Replace(string(payload), `"jti":"1"`, `"jti":"2"`, 1)),
	) + "." + parts[2]
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"good":              {signed, nil},
		"alg none":          {none, ErrAlgorithm},
		"another payload":   {forged, ErrSignature},
		"another key":       {sign.JWT(t, jose.ES256, other, "", "", false, good), ErrSignature},
		"secret algorithm":  {sharedSecretSigned, ErrAlgorithm},
		"another audience":  {altered(func(c *jwt.Claims) { c.Audience = jwt.Audience{"x"} }), ErrAudience},
		"no audience":       {altered(func(c *jwt.Claims) { c.Audience = nil }), ErrAudience},
		"another issuer":    {altered(func(c *jwt.Claims) { c.Issuer = "x" }), ErrClaims},
		"another subject":   {altered(func(c *jwt.Claims) { c.Subject = "x" }), ErrClaims},
		"no jti":            {altered(func(c *jwt.Claims) { c.ID = "" }), ErrClaims},
		"no exp":            {altered(func(c *jwt.Claims) { c.Expiry = nil }), ErrClaims},
		"expired":           {altered(func(c *jwt.Claims) { c.Expiry = at(now - 5*time.Second) }), ErrTime},
		"valid too long":    {altered(func(c *jwt.Claims) { c.Expiry = at(now + time.Hour) }), ErrTime},
		"not yet valid":     {altered(func(c *jwt.Claims) { c.NotBefore = at(now + 9*time.Second) }), ErrTime},
		"issued in future":  {altered(func(c *jwt.Claims) { c.IssuedAt = at(now + 9*time.Second) }), ErrTime},
		"clock skew of 5 s": {altered(func(c *jwt.Claims) { c.IssuedAt = at(now + 5*time.Second) }), nil},
		"not a JWT":         {"x.y.z", ErrMalformed},
		"nothing":           {"", ErrMalformed},
		"too long":          {signed + strings.Repeat("A", Most), ErrMalformed},
	} {
		if err := Check(now, c.text, rules(public(key, ""))); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

func TestSharedSecrets(t *testing.T) {
	secret := []byte(strings.Repeat("s", 32))
	m, err := NewMaker("app", "https://here", time.Minute, secret, "HS256", "")
	if err != nil {
		t.Fatal(err)
	}
	r := rules()
	r.Secret = secret
	text, err := m.Make(now)
	if err != nil {
		t.Fatal(err)
	}
	wrong := r
	wrong.Secret = []byte(strings.Repeat("x", 32))
	if err := Check(now, text, wrong); !errors.Is(err, ErrSignature) {
		t.Errorf("another secret: %v", err)
	}
	if err := Check(now, text, r); err != nil {
		t.Error(err)
	}
	// A public key must not be usable as a shared secret, since everybody knows it.
	key := sign.Key(t)
	if err := Check(now, text, rules(public(key, ""))); !errors.Is(err, ErrAlgorithm) {
		t.Errorf("HS256 for a client with a key: %v", err)
	}
}

func TestFullReplayMemory(t *testing.T) {
	key := sign.Key(t)
	r := rules(public(key, ""))
	m, err := NewMaker("app", "https://here", time.Minute, key, "ES256", "")
	if err != nil {
		t.Fatal(err)
	}
	full := 0
	for range 110 {
		text, err := m.Make(now)
		if err != nil {
			t.Fatal(err)
		}
		if errors.Is(Check(now, text, r), ErrFull) {
			full++
		}
	}
	if full != 10 {
		t.Errorf("%d of 110 rejected with a memory for 100, want 10", full)
	}
}

func TestPublicKeys(t *testing.T) {
	key := sign.Key(t)
	private := jose.JSONWebKey{Key: key, KeyID: "p"}
	for name, c := range map[string]struct {
		keys []jose.JSONWebKey
		n    int
	}{"public": {[]jose.JSONWebKey{public(key, "a")}, 1}, "private": {[]jose.JSONWebKey{private}, 0},
		"none": {nil, 0}} {
		text, err := json.Marshal(jose.JSONWebKeySet{Keys: c.keys})
		if err != nil {
			t.Fatal(err)
		}
		if keys, err := PublicKeys(text); len(keys) != c.n || (err == nil) != (c.n > 0) {
			t.Errorf("%s: %d keys, %v", name, len(keys), err)
		}
	}
	if _, err := PublicKeys([]byte("[")); err == nil {
		t.Error("a malformed JWK set is accepted")
	}
}

// No assertion is accepted that was not signed with the client's key. Claimed must not panic.
func FuzzCheck(f *testing.F) {
	key := sign.Key(f)
	f.Add(
		sign.JWT(
			f,
			jose.ES256,
			sign.Key(f),
			"",
			"",
			false,
			jwt.Claims{Issuer: "app", Subject: "app", ID: "1", Expiry: at(now + time.Second),
				Audience: jwt.Audience{"https://here"}},
		),
	)
	f.Add("e30.e30.")
	r := rules(public(key, ""))
	f.Fuzz(func(t *testing.T, text string) {
		if Check(now, text, r) == nil {
			t.Fatalf("%q accepted", text)
		}
		Claimed(text)
	})
}
