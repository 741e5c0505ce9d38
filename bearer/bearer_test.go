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

// want says which refusal is wanted: its status, and parts of the challenge.
type want struct {
	status int
	parts  string
}

func check(t *testing.T, name string, got *Refusal, w want) {
	t.Helper()
	if got == nil {
		if w.status != 0 {
			t.Errorf("%s: let through, want %d", name, w.status)
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
	but := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for name, c := range map[string]struct {
		q    Requirement
		text string
		want want
	}{
		"all there":       {full, good, want{}},
		"nothing asked":   {Requirement{}, `{"active":true}`, want{}},
		"not active":      {Requirement{}, `{"active":false}`, want{401, `error="invalid_token"`}},
		"nothing known":   {Requirement{}, `{}`, want{401, `error="invalid_token"`}},
		"over":            {full, but("1800000001", "1800000000"), want{401, `realm="bank", error=`}},
		"not yet":         {full, but(`"acr"`, `"nbf":1800000006,"acr"`), want{401, "not valid yet"}},
		"clocks differ":   {full, but(`"acr"`, `"nbf":1800000005,"acr"`), want{}},
		"no scope":        {full, but("pay ", ""), want{403, `error="insufficient_scope"`}},
		"scope is told":   {full, but("pay ", ""), want{403, `scope="read pay"`}},
		"part of a scope": {full, but("pay ", "pays "), want{403, `error="insufficient_scope"`}},
		"audience":        {full, but("https://api", "https://apis"), want{401, "another audience"}},
		"one audience":    {full, but(`["https://api","y"]`, `"https://api"`), want{}},
		"no audience":     {full, but(`"aud":["https://api","y"],`, ""), want{401, "another audience"}},
		"issuer":          {full, but("https://as", "https://b"), want{401, "another issuer"}},
		"acr":             {full, but("silver", "tin"), want{401, `error="insufficient_user_authentication"`}},
		"acr is told":     {full, but("silver", "tin"), want{401, `acr_values="gold silver"`}},
		"long ago":        {full, but("1799999990", "1799999934"), want{401, `max_age="60"`}},
		"age not told":    {full, but(`"auth_time":1799999990,`, ""), want{401, `max_age="60"`}},
		"must be bound":   {Requirement{Bound: true}, `{"active":true}`, want{401, "bound to their sender"}},
		"must be DPoP":    {Requirement{DPoP: true}, `{"active":true}`, want{401, `DPoP error="invalid_token"`}},
	} {
		check(t, name, c.q.Check(now, claims(c.text), Shown{Scheme: "Bearer", Token: "t"}, nil), c.want)
	}
	for _, text := range []string{"", "[]", `{"aud":7}`, `{"scope":[]}`} {
		if _, err := ParseClaims([]byte(text)); err == nil {
			t.Errorf("%q is read", text)
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

// prover makes proofs.
type prover struct {
	t   testing.TB
	key *ecdsa.PrivateKey
}

func newProver(t testing.TB) prover { return prover{t, sign.Key(t)} }

func (p prover) print() string {
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
	but := func(name string, v any) string {
		c := good()
		c[name] = v
		return p.prove("dpop+jwt", c)
	}
	c := Claims{Active: true}
	c.Bound.Key = p.print()
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
		{"written otherwise", shown(but("htu", "HTTPS://API.example:443/pay?x=1#y")), want{}},
		{"a little old", shown(but("iat", now.Seconds()-60)), want{}},
		{"a clock 5 s off", shown(but("iat", now.Seconds()+5)), want{}},
		{"none", shown(), bad},
		{"two", shown(p.prove("dpop+jwt", good()), p.prove("dpop+jwt", good())), bad},
		{"alg none", shown(none), bad},
		{"another's", shown(stranger.prove("dpop+jwt", good())), want{401, "another key"}},
		{"another type", shown(p.prove("JWT", good())), bad},
		{"another method", shown(but("htm", "GET")), want{401, "another request"}},
		{"another path", shown(but("htu", "https://api.example/other")), want{401, "another request"}},
		{"another token", shown(but("ath", "x")), want{401, "another request or token"}},
		{"too old", shown(but("iat", now.Seconds()-66)), want{401, "not of this time"}},
		{"of the future", shown(but("iat", now.Seconds()+6)), want{401, "not of this time"}},
		{"no jti", shown(but("jti", "")), bad},
		{"too long", shown(but("x", strings.Repeat("x", proofMost))), bad},
		{"as a mere bearer", Shown{Scheme: "Bearer", Token: "tok"}, want{401, "show it by DPoP"}},
	} {
		check(t, x.name, Requirement{}.Check(now, c, x.shown, memory), x.want)
	}
	check(t, "a token without a key", Requirement{}.Check(now, Claims{Active: true}, shown(once), memory),
		want{401, "not bound to a key"})
}

// One key's flood of proofs fills its own part of the memory, and is then refused; others are not.
func TestAFloodOfProofs(t *testing.T) {
	m := NewMemory(memoryShards * 10)
	full := 0
	for i := range 100 {
		if m.show(now, "mine", string(rune('a'+i)), now+time.Minute) != 0 {
			full++
		}
	}
	if full != 90 || m.show(now, "other", "a", now+time.Minute) != 0 {
		t.Errorf("%d of 100 turned away", full)
	}
}

func TestHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		headers []string
		status  int
		token   string
	}{
		"none":         {nil, 401, ""},
		"bearer":       {[]string{"Bearer abc=="}, 0, "abc=="},
		"any case":     {[]string{"bEARER abc"}, 0, "abc"},
		"dpop":         {[]string{"DPoP abc"}, 0, "abc"},
		"basic":        {[]string{"Basic YTpi"}, 400, ""},
		"two":          {[]string{"Bearer a", "Bearer b"}, 400, ""},
		"empty":        {[]string{"Bearer "}, 400, ""},
		"two tokens":   {[]string{"Bearer a b"}, 400, ""},
		"odd letters":  {[]string{`Bearer a"b`}, 400, ""},
		"pad alone":    {[]string{"Bearer =="}, 400, ""},
		"pad in front": {[]string{"Bearer =a"}, 400, ""},
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

// Whatever comes as a proof, one that the key did not sign lets nothing through.
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
	c.Bound.Key = p.print()
	m := NewMemory(1 << 12)
	f.Fuzz(func(t *testing.T, proof string) {
		s := Shown{Scheme: "DPoP", Token: "t", Method: "GET", URL: "https://a/", Proofs: []string{proof}}
		r := Requirement{}.Check(now, c, s, m)
		if r == nil || strings.ContainsAny(r.Challenge(), "\r\n") {
			t.Fatalf("%q: %v", proof, r)
		}
	})
}
