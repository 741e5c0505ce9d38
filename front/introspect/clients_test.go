package introspect

import (
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"errors"
	"math/big"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"dunespoke/internal/http1"
	"dunespoke/internal/issuers"
	"dunespoke/internal/lab/sign"
	"dunespoke/internal/oauth/assertion"

	"dunespoke/internal/freshness"
)

// certificate returns a self-signed certificate.
func certificate(t *testing.T, name string) *x509.Certificate {
	t.Helper()
	key := sign.Key(t)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name, Organization: []string{"x"}},
		DNSNames:     []string{name + ".example"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	return c
}

func withCertificates(certs ...*x509.Certificate) func(*http.Request) {
	return func(r *http.Request) { r.TLS = &tls.ConnectionState{PeerCertificates: certs} }
}

func withBasicAuth(id, secret string) func(*http.Request) {
	return func(r *http.Request) { r.SetBasicAuth(url.QueryEscape(id), url.QueryEscape(secret)) }
}

func TestClientAuthentication(t *testing.T) {
	key, secret := sign.Key(t), strings.Repeat("s", 32)
	trusted, self, other := certificate(t, "trusted"), certificate(t, "self"), certificate(t, "other")
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].setAnswer(func(token string) (string, time.Duration) {
			switch token {
			case "caller":
				return `{"active":true,"client_id":"bearer","scope":"x introspection"}`, time.Millisecond
			case "unscoped":
				return `{"active":true,"client_id":"bearer"}`, time.Millisecond
			case "stranger":
				return `{"active":true,"client_id":"basic","scope":"introspection"}`, time.Millisecond
			case "over":
				return `{"active":false}`, time.Millisecond
			}
			return `{"active":true}`, time.Millisecond
		})
		hash := sha256.Sum256([]byte("pass&word"))
		o := r.options
		o.Issuer = "https://here.example"
		o.Callers = Callers{Plan: "member", Scope: "introspection"}
		o.Clients = []Client{{ID: "any", SecretHash: hash}, {ID: "basic", Method: SecretBasic, SecretHash: hash},
			{ID: "post", Method: SecretPost, SecretHash: hash},
			{ID: "key", Method: PrivateKeyJWT, Keys: []jose.JSONWebKey{{Key: &key.PublicKey, KeyID: "1"}}},
			{ID: "shared", Method: SecretJWT, SharedKey: []byte(secret)},
			{ID: "tls", Method: TLS, Name: Name{Subject: trusted.Subject.String()}},
			{ID: "dns", Method: TLS, Name: Name{DNS: "trusted.example"}},
			{ID: "self", Method: SelfSignedTLS, Certificate: sha256.Sum256(self.Raw)},
			{ID: "bearer", Method: BearerToken}}
		for i := range o.Clients {
			o.Clients[i].Plan = "member"
		}
		o.Trust = func(chain []*x509.Certificate) error {
			if chain[0].Equal(trusted) || chain[0].Equal(other) {
				return nil
			}
			return errors.New("no root")
		}
		r.front.Use(o)
		newAssertion := func(id, audience string, key any, alg string) url.Values {
			m, err := assertion.NewMaker(id, audience, time.Minute, key, alg, "")
			if err != nil {
				t.Fatal(err)
			}
			text, err := m.Make(time.Duration(time.Now().UnixNano()))
			if err != nil {
				t.Fatal(err)
			}
			return url.Values{"client_assertion_type": {assertion.Type}, "client_assertion": {text}}
		}
		const here, endpoint = "https://here.example", "https://here.example/introspect"
		replayed := newAssertion("key", endpoint, key, "ES256")
		none := url.Values{"client_assertion_type": {assertion.Type},
			"client_assertion": {"eyJhbGciOiJub25lIn0.eyJzdWIiOiJrZXkifQ."}}
		withBearer := func(token string) func(*http.Request) {
			return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+token) }
		}
		form := func(pairs ...string) url.Values {
			v := url.Values{}
			for i := 0; i < len(pairs); i += 2 {
				v.Set(pairs[i], pairs[i+1])
			}
			return v
		}
		for _, c := range []struct {
			name   string
			form   url.Values
			with   func(*http.Request)
			status int
			text   string
		}{
			{"basic", nil, withBasicAuth("basic", "pass&word"), 200, ""},
			{"post", form("client_id", "post", "client_secret", "pass&word"), nil, 200, ""},
			{"either: basic", nil, withBasicAuth("any", "pass&word"), 200, ""},
			{"either: post", form("client_id", "any", "client_secret", "pass&word"), nil, 200, ""},
			{"post for basic", form("client_id", "basic", "client_secret", "pass&word"), nil, 401, "another way"},
			{"wrong secret", nil, withBasicAuth("basic", "pass"), 401, "invalid_client"},
			{"unknown", nil, withBasicAuth("nobody", "pass&word"), 401, "invalid_client"},
			{"client with a key, by secret", nil, withBasicAuth("key", ""), 401, "invalid_client"},
			{"nothing", nil, nil, 401, "invalid_client"},
			{"two methods", form("client_id", "any", "client_secret", "x"), withBasicAuth("any", "pass&word"), 400,
				"two ways"},
			{"key", newAssertion("key", endpoint, key, "ES256"), nil, 200, ""},
			{"key, for the issuer", newAssertion("key", here, key, "ES256"), nil, 200, ""},
			{"key, once", replayed, nil, 200, ""},
			{"key, again", replayed, nil, 401, "shown before"},
			{"key, another audience", newAssertion("key", "https://there.example", key, "ES256"), nil, 401,
				"audience"},
			{"another key", newAssertion("key", here, sign.Key(t), "ES256"), nil, 401, "signature"},
			{"alg none", none, nil, 401, "not a JWT"},
			{"shared", newAssertion("shared", here, []byte(secret), "HS256"), nil, 200, ""},
			{"another secret", newAssertion("shared", here, []byte(strings.Repeat("x", 32)), "HS256"), nil, 401,
				"signature"},
			{"a key for a secret", newAssertion("shared", here, key, "ES256"), nil, 401, "algorithm"},
			{"a secret for a key", newAssertion("key", here, []byte(secret), "HS256"), nil, 401, "algorithm"},
			{"certificate", form("client_id", "tls"), withCertificates(trusted), 200, ""},
			{"certificate by DNS", form("client_id", "dns"), withCertificates(trusted), 200, ""},
			{"another certificate", form("client_id", "tls"), withCertificates(other), 401, "not the client's"},
			{"untrusted", form("client_id", "tls"), withCertificates(self), 401, "not the client's"},
			{"no certificate", form("client_id", "tls"), nil, 401, "needed"},
			{"self-signed", form("client_id", "self"), withCertificates(self), 200, ""},
			{"another self-signed", form("client_id", "self"), withCertificates(trusted), 401, "not the client's"},
			{"a certificate for a secret", form("client_id", "any"), withCertificates(trusted), 401, "invalid_client"},
			{"bearer", nil, withBearer("caller"), 200, ""},
			{"bearer without scope", nil, withBearer("unscoped"), 403, "scope"},
			{"bearer of another client", nil, withBearer("stranger"), 401, "invalid_token"},
			{"inactive bearer", nil, withBearer("over"), 401, "invalid_token"},
		} {
			if c.form == nil {
				c.form = url.Values{}
			}
			c.form.Set("token", "tok")
			a := r.send(c.form, c.with)
			time.Sleep(20 * time.Millisecond)
			if a.status() != c.status || !strings.Contains(a.body(), c.text) || a.times != 1 {
				t.Errorf("%s: %d %s, want %d with %q", c.name, a.status(), a.body(), c.status, c.text)
			}
		}
		if log := r.log.String(); !strings.Contains(log, "client-refused") ||
			strings.Contains(
				log,
				"caller\"",
			) || strings.Contains(log, "pass&word") || strings.Contains(log, "nobody") {
			t.Errorf("the log:\n%s", log)
		}
	})
}

func header(a *http1.Answer, name string) string {
	for _, h := range a.Header {
		if h[0] == name {
			return h[1]
		}
	}
	return ""
}

func TestSignedAnswers(t *testing.T) {
	first, second := sign.Key(t), sign.Key(t)
	encryptionKey, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	private := func(id string, key *ecdsa.PrivateKey) jose.JSONWebKey {
		return jose.JSONWebKey{Key: key, KeyID: id, Algorithm: "ES256"}
	}
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].setAnswer(
			respondWith(`{"active":true,"sub":"me","scope":"a b","client_id":"x"}`, time.Millisecond))
		o := r.options
		o.Issuer = "https://here.example"
		o.Clients = []Client{{ID: "plain", Plan: "member", SecretHash: sha256.Sum256([]byte("b"))},
			{
				ID:         "told little",
				Plan:       "member",
				SecretHash: sha256.Sum256([]byte("b")),
				Claims:     []string{"scope", "exp"},
			},
			{ID: "secret", Plan: "member", SecretHash: sha256.Sum256([]byte("b")), Encrypt: &Encryption{
				Key: jose.JSONWebKey{Key: &encryptionKey.PublicKey, KeyID: "box"}, Algorithm: jose.RSA_OAEP_256,
				Content: jose.A256GCM}}}
		signingKeys := []jose.JSONWebKey{private("new", second), private("old", first)}
		if o.Signer, err = NewSigner(o.Issuer, signingKeys); err != nil {
			t.Fatal(err)
		}
		r.front.Use(o)
		ask := func(id string, accept string) *pendingAnswer {
			a := r.send(url.Values{"token": {"tok"}}, func(req *http.Request) {
				withBasicAuth(id, "b")(req)
				req.Header.Set("Accept", accept)
			})
			time.Sleep(20 * time.Millisecond)
			if a.status() != 200 {
				t.Fatalf("%s: %d %s", id, a.status(), a.body())
			}
			return a
		}
		if a := ask("told little", "application/json"); a.body() != `{"active":true,"scope":"a b"}` {
			t.Errorf("filtered: %s", a.body())
		}
		a := ask("plain", "application/json, application/token-introspection+jwt;q=0.9")
		if header(a.answer, "Content-Type") != signedMediaType {
			t.Errorf("type %s", header(a.answer, "Content-Type"))
		}
		read := func(text string) map[string]any {
			token, err := jwt.ParseSigned(text, []jose.SignatureAlgorithm{jose.ES256})
			if err != nil {
				t.Fatal(err)
			}
			if kind := token.Headers[0].ExtraHeaders["typ"]; kind != "token-introspection+jwt" ||
				token.Headers[0].KeyID != "new" {
				t.Errorf("typ %v, kid %s", kind, token.Headers[0].KeyID)
			}
			var claims map[string]any
			if err := token.Claims(&second.PublicKey, &claims); err != nil {
				t.Fatal(err)
			}
			return claims
		}
		claims := read(a.body())
		introspection, _ := claims["token_introspection"].(map[string]any)
		if claims["iss"] != o.Issuer || claims["aud"] != "plain" || claims["iat"] == nil || claims["exp"] != nil ||
			claims["sub"] != nil || introspection["sub"] != "me" || introspection["active"] != true {
			t.Errorf("claims %v", claims)
		}
		sealed, err := jose.ParseEncrypted(ask("secret", signedMediaType).body(),
			[]jose.KeyAlgorithm{jose.RSA_OAEP_256}, []jose.ContentEncryption{jose.A256GCM})
		if err != nil {
			t.Fatal(err)
		}
		plaintext, err := sealed.Decrypt(encryptionKey)
		if err != nil {
			t.Fatal(err)
		}
		if inner := read(string(plaintext)); inner["aud"] != "secret" ||
			sealed.Header.ExtraHeaders["cty"] != "JWT" {
			t.Errorf("%v, header %v", inner, sealed.Header)
		}
		var keys jose.JSONWebKeySet
		var meta map[string]any
		r.get("/jwks", &keys)
		r.get("/.well-known/oauth-authorization-server", &meta)
		if len(keys.Keys) != 2 || !keys.Keys[0].IsPublic() || !keys.Keys[1].IsPublic() ||
			len(keys.Key("old")) != 1 {
			t.Errorf("keys %+v", keys)
		}
		if meta["issuer"] != o.Issuer || meta["introspection_endpoint"] != o.Issuer+"/introspect" ||
			meta["jwks_uri"] != o.Issuer+"/jwks" {
			t.Errorf("metadata %v", meta)
		}
		r.services[0].setAnswer(respondWith(`{"active":false,"sub":"me"}`, time.Millisecond))
		claims = read(ask("plain", signedMediaType).body())
		if introspection, _ := claims["token_introspection"].(map[string]any); len(introspection) != 1 ||
			introspection["active"] != false {
			t.Errorf("inactive: %v", claims)
		}
	})
}

// get fetches a JSON document from the front and decodes it.
func (r *fixture) get(path string, into any) {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://h"+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	a := &pendingAnswer{}
	r.front.Serve(&http1.Request{Request: req}, func(answer *http1.Answer) { a.answer = answer })
	if a.answer == nil || a.answer.Status != 200 {
		r.t.Fatalf("%s: %+v", path, a.answer)
	}
	if err := json.Unmarshal(a.answer.Body, into); err != nil {
		r.t.Fatal(err)
	}
}

func TestNewSignerRejectsInvalidKeys(t *testing.T) {
	key := sign.Key(t)
	for name, k := range map[string]jose.JSONWebKey{
		"public":       {Key: &key.PublicKey, KeyID: "1", Algorithm: "ES256"},
		"no id":        {Key: key, Algorithm: "ES256"},
		"another alg":  {Key: key, KeyID: "1", Algorithm: "RS256"},
		"none":         {Key: key, KeyID: "1", Algorithm: "none"},
		"no algorithm": {Key: key, KeyID: "1"},
	} {
		if _, err := NewSigner("https://here", []jose.JSONWebKey{k}); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
}

// After a reload, the new configuration applies to the next request, and an assertion used before the reload
// is still rejected as a replay.
func TestUseKeepsReplayMemories(t *testing.T) {
	key := sign.Key(t)
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, []issuers.Rule{{Name: "only"}}, freshness.Options{}, 1e6)
		o := r.options
		o.Issuer = "https://here.example"
		o.Clients = []Client{{ID: "key", Plan: "member", Method: PrivateKeyJWT,
			Keys: []jose.JSONWebKey{{Key: &key.PublicKey}}}}
		r.front.Use(o)
		m, err := assertion.NewMaker("key", o.Issuer, time.Minute, key, "ES256", "")
		if err != nil {
			t.Fatal(err)
		}
		text, err := m.Make(time.Duration(time.Now().UnixNano()))
		if err != nil {
			t.Fatal(err)
		}
		form := url.Values{"token": {"tok"}, "client_assertion_type": {assertion.Type}, "client_assertion": {text}}
		first := r.send(form, nil)
		r.front.Use(o)
		second := r.send(form, nil)
		time.Sleep(20 * time.Millisecond)
		if first.status() != 200 || second.status() != 401 {
			t.Errorf("status %d, want 200; replayed after the reload: status %d, want 401",
				first.status(), second.status())
		}
		if old := r.ask("tok"); old.status() != 401 {
			t.Errorf("removed client: status %d, want 401", old.status())
		}
	})
}
