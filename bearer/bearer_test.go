package bearer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/sign"

	"github.com/go-jose/go-jose/v4"
)

const now = 1_800_000_000 * time.Second

// want is the expected refusal: its status (zero if the request is authorized) and a substring of its
// challenge.
type want struct {
	status int
	parts  string
}

func check(t *testing.T, name string, got *Refusal, w want) {
	t.Helper()
	if got == nil {
		if w.status != 0 {
			t.Errorf("%s: authorized, want status %d", name, w.status)
		}
		return
	}
	if got.Status != w.status || !strings.Contains(got.Challenge(), w.parts) {
		t.Errorf("%s: %d %s, want %d with %s", name, got.Status, got.Challenge(), w.status, w.parts)
	}
}

func TestRequirements(t *testing.T) {
	claims := func(text string) Claims {
		c, err := ParseClaims([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	full := Requirement{
		Scopes:    []string{"read", "pay"},
		Audiences: []string{"https://api"},
		Issuers:   []string{"https://as"},
		ACR:       []string{"gold", "silver"},
		MaxAge:    time.Minute,
		Realm:     "bank",
	}
	const good = `{"active":true,"scope":"pay read x","aud":["https://api","y"],"iss":"https://as",
		"acr":"silver","auth_time":1799999990,"exp":1800000001}`
	altered := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for name, c := range map[string]struct {
		q    Requirement
		text string
		want want
	}{
		"all satisfied":   {full, good, want{}},
		"no requirement":  {Requirement{}, `{"active":true}`, want{}},
		"not active":      {Requirement{}, `{"active":false}`, want{401, `error="invalid_token"`}},
		"no claims":       {Requirement{}, `{}`, want{401, `error="invalid_token"`}},
		"expired":         {full, altered("1800000001", "1800000000"), want{401, `realm="bank", error=`}},
		"not yet valid":   {full, altered(`"acr"`, `"nbf":1800000006,"acr"`), want{401, "not valid yet"}},
		"clock skew":      {full, altered(`"acr"`, `"nbf":1800000005,"acr"`), want{}},
		"no scope":        {full, altered("pay ", ""), want{403, `error="insufficient_scope"`}},
		"scope reported":  {full, altered("pay ", ""), want{403, `scope="read pay"`}},
		"part of a scope": {full, altered("pay ", "pays "), want{403, `error="insufficient_scope"`}},
		"audience":        {full, altered("https://api", "https://apis"), want{401, "another audience"}},
		"one audience":    {full, altered(`["https://api","y"]`, `"https://api"`), want{}},
		"no audience":     {full, altered(`"aud":["https://api","y"],`, ""), want{401, "another audience"}},
		"issuer":          {full, altered("https://as", "https://b"), want{401, "another issuer"}},
		"acr":             {full, altered("silver", "tin"), want{401, `error="insufficient_user_authentication"`}},
		"acr reported":    {full, altered("silver", "tin"), want{401, `acr_values="gold silver"`}},
		"too old":         {full, altered("1799999990", "1799999934"), want{401, `max_age="60"`}},
		"no auth_time":    {full, altered(`"auth_time":1799999990,`, ""), want{401, `max_age="60"`}},
		"must be bound":   {Requirement{Bound: true}, `{"active":true}`, want{401, "bound to their sender"}},
		"must be DPoP":    {Requirement{DPoP: true}, `{"active":true}`, want{401, `DPoP error="invalid_token"`}},
	} {
		check(t, name, c.q.Check(now, claims(c.text), Shown{Scheme: "Bearer", Token: "t"}, nil), c.want)
	}
	for _, text := range []string{"", "[]", `{"aud":7}`, `{"scope":[]}`} {
		if _, err := ParseClaims([]byte(text)); err == nil {
			t.Errorf("%q: parsed, want an error", text)
		}
	}
}

func TestCertificateBound(t *testing.T) {
	mine := []byte("certificate")
	sum := sha256.Sum256(mine)
	c := Claims{Active: true}
	c.Bound.Certificate = base64.RawURLEncoding.EncodeToString(sum[:])
	q := Requirement{Bound: true}
	check(t, "mine", q.Check(now, c, Shown{Scheme: "Bearer", Certificate: mine}, nil), want{})
	check(t, "another's", q.Check(now, c, Shown{Scheme: "Bearer", Certificate: []byte("x")}, nil),
		want{401, "invalid_token"})
	check(t, "none", Requirement{}.Check(now, c, Shown{Scheme: "Bearer"}, nil), want{401, "another certificate"})
}

// prover signs DPoP proofs with its key.
type prover struct {
	t   testing.TB
	key *ecdsa.PrivateKey
}

func newProver(t testing.TB) prover { return prover{t, sign.Key(t)} }

func (p prover) thumbprint() string {
	sum, err := (&jose.JSONWebKey{Key: &p.key.PublicKey}).Thumbprint(crypto.SHA256)
	if err != nil {
		p.t.Fatal(err)
	}
	return base64.RawURLEncoding.EncodeToString(sum)
}

func (p prover) prove(kind string, claims map[string]any) string {
	return sign.JWT(p.t, jose.ES256, p.key, kind, "", true, claims)
}

func TestDPoP(t *testing.T) {
	p, stranger, memory := newProver(t), newProver(t), NewMemory(1<<16)
	sum := sha256.Sum256([]byte("tok"))
	good := func() map[string]any {
		return map[string]any{
			"jti": rand.Text(),
			"htm": "POST",
			"htu": "https://api.example/pay",
			"iat": now.Seconds(),
			"ath": base64.RawURLEncoding.EncodeToString(sum[:]),
		}
	}
	altered := func(name string, v any) string {
		c := good()
		c[name] = v
		return p.prove("dpop+jwt", c)
	}
	c := Claims{Active: true}
	c.Bound.Key = p.thumbprint()
	shown := func(proofs ...string) Shown {
		return Shown{Scheme: "DPoP", Token: "tok", Method: "POST", URL: "https://api.example/pay", Proofs: proofs}
	}
	once := p.prove("dpop+jwt", good())
	none := base64.RawURLEncoding.EncodeToString([]byte(`{"typ":"dpop+jwt","alg":"none"}`)) + ".e30."
	bad := want{401, `DPoP error="invalid_dpop_proof"`}
	for _, x := range []struct {
		name  string
		shown Shown
		want  want
	}{
		{"good", shown(once), want{}},
		{"replayed", shown(once), want{401, "shown before"}},
		{"equivalent URL", shown(altered("htu", "HTTPS://API.example:443/pay?x=1#y")), want{}},
		{"oldest accepted", shown(altered("iat", now.Seconds()-60)), want{}},
		{"issued 5 s ahead", shown(altered("iat", now.Seconds()+5)), want{}},
		{"none", shown(), bad},
		{"two", shown(p.prove("dpop+jwt", good()), p.prove("dpop+jwt", good())), bad},
		{"alg none", shown(none), bad},
		{"another's", shown(stranger.prove("dpop+jwt", good())), want{401, "another key"}},
		{"another type", shown(p.prove("JWT", good())), bad},
		{"another method", shown(altered("htm", "GET")), want{401, "another request"}},
		{"another path", shown(altered("htu", "https://api.example/other")), want{401, "another request"}},
		{"another token", shown(altered("ath", "x")), want{401, "another request or token"}},
		{"too old", shown(altered("iat", now.Seconds()-66)), want{401, "not of this time"}},
		{"issued in the future", shown(altered("iat", now.Seconds()+6)), want{401, "not of this time"}},
		{"no jti", shown(altered("jti", "")), bad},
		{"too long", shown(altered("x", strings.Repeat("x", maxProofBytes))), bad},
		{"as a bearer token", Shown{Scheme: "Bearer", Token: "tok"}, want{401, "show it by DPoP"}},
	} {
		check(t, x.name, Requirement{}.Check(now, c, x.shown, memory), x.want)
	}
	check(t, "a token without a key", Requirement{}.Check(now, Claims{Active: true}, shown(once), memory),
		want{401, "not bound to a key"})
}

// Proofs of one key beyond the capacity of its shard are rejected, while another key's proof is accepted.
func TestProofFloodFillsOnlyItsShard(t *testing.T) {
	m := NewMemory(memoryShards * 10)
	full := 0
	for i := range 100 {
		if m.record(now, "mine", string(rune('a'+i)), now+time.Minute) != 0 {
			full++
		}
	}
	if full != 90 || m.record(now, "other", "a", now+time.Minute) != 0 {
		t.Errorf("%d of 100 proofs rejected, want 90, and the other key's proof accepted", full)
	}
}

func TestReadAuthorizationHeader(t *testing.T) {
	for name, c := range map[string]struct {
		headers []string
		status  int
		token   string
	}{
		"none":          {nil, 401, ""},
		"bearer":        {[]string{"Bearer abc=="}, 0, "abc=="},
		"any case":      {[]string{"bEARER abc"}, 0, "abc"},
		"dpop":          {[]string{"DPoP abc"}, 0, "abc"},
		"basic":         {[]string{"Basic YTpi"}, 400, ""},
		"two":           {[]string{"Bearer a", "Bearer b"}, 400, ""},
		"empty":         {[]string{"Bearer "}, 400, ""},
		"two tokens":    {[]string{"Bearer a b"}, 400, ""},
		"bad character": {[]string{`Bearer a"b`}, 400, ""},
		"only padding":  {[]string{"Bearer =="}, 400, ""},
		"pad in front":  {[]string{"Bearer =a"}, 400, ""},
	} {
		r := httptest.NewRequest(http.MethodGet, "https://api.example/pay?x=1", nil)
		r.Header["Authorization"] = c.headers
		s, refusal := Read(r, "")
		if refusal == nil && (s.URL != "https://api.example/pay" || s.Method != http.MethodGet) {
			t.Errorf("%s: %+v", name, s)
		}
		if behind, _ := Read(r, "https://public.example/"); refusal == nil &&
			behind.URL != "https://public.example/pay" {
			t.Errorf("%s: %+v", name, behind)
		}
		if (refusal == nil) != (c.status == 0) || refusal != nil && refusal.Status != c.status ||
			s.Token != c.token {
			t.Errorf("%s: %+v, %v", name, s, refusal)
		}
	}
}

// A proof that was not signed with the key of the token never authorizes a request, whatever its content. A
// challenge never contains a line break.
func FuzzProof(f *testing.F) {
	p, stranger := newProver(f), newProver(f)
	f.Add(
		stranger.prove(
			"dpop+jwt",
			map[string]any{"jti": "1", "htm": "GET", "htu": "https://a/", "iat": now.Seconds()},
		),
	)
	f.Add("e30.e30.")
	c := Claims{Active: true}
	c.Bound.Key = p.thumbprint()
	m := NewMemory(1 << 12)
	f.Fuzz(func(t *testing.T, proof string) {
		s := Shown{Scheme: "DPoP", Token: "t", Method: "GET", URL: "https://a/", Proofs: []string{proof}}
		r := Requirement{}.Check(now, c, s, m)
		if r == nil || strings.ContainsAny(r.Challenge(), "\r\n") {
			t.Fatalf("%q: %v", proof, r)
		}
	})
}
