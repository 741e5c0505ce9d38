package introspect

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/lab/sign"
	"dunespoke/internal/oauth/assertion"
	"dunespoke/internal/oauth/replay"
)

// appendAndParse writes a query in its wire format and parses it as a service would.
func appendAndParse(t *testing.T, c Credential) (*http.Request, url.Values) {
	t.Helper()
	m := &message{service: &Service{Path: "/ask", Host: "as.example", Credential: c}, token: "a b&c", hint: "x"}
	text := m.Append(nil, core.Server{Addr: "127.0.0.1:1"}, 0)
	frames := http1.NewRequests(http1.DefaultLimits)
	frames.Feed(text)
	whole, err := frames.Next()
	if err != nil || len(whole) != len(text) {
		t.Fatalf("%q: %v", text, err)
	}
	var parser http1.Parser
	r, err := parser.Request(whole)
	if err != nil {
		t.Fatal(err)
	}
	form, err := url.ParseQuery(string(r.Content))
	if err != nil {
		t.Fatal(err)
	}
	if r.Host != "as.example" || r.URL.Path != "/ask" || form.Get("token") != "a b&c" ||
		form.Get("token_type_hint") != "x" {
		t.Errorf("unexpected request %q", text)
	}
	return r.Request, form
}

func TestServiceCredentials(t *testing.T) {
	if r, form := appendAndParse(t, nil); r.Header.Get("Authorization") != "" || len(form) != 2 {
		t.Errorf("without a credential: %v %v", r.Header, form)
	}
	r, _ := appendAndParse(t, BasicCredential("a:b", "c&d"))
	if id, secret, ok := r.BasicAuth(); !ok || id != "a%3Ab" || secret != "c%26d" {
		t.Errorf("basic: %q %q", id, secret)
	}
	if _, form := appendAndParse(t, PostCredential("a:b", "c&d")); form.Get("client_id") != "a:b" ||
		form.Get("client_secret") != "c&d" {
		t.Errorf("post: %v", form)
	}
	if r, _ := appendAndParse(t, BearerCredential("tok")); r.Header.Get("Authorization") != "Bearer tok" {
		t.Errorf("bearer: %v", r.Header)
	}
	if _, form := appendAndParse(t, CertificateCredential("app")); form.Get("client_id") != "app" ||
		len(form) != 3 {
		t.Errorf("certificate: %v", form)
	}
	key := sign.Key(t)
	maker, err := assertion.NewMaker("app", "https://as.example/ask", time.Minute, key, "ES256", "1")
	if err != nil {
		t.Fatal(err)
	}
	memory := replay.New(10)
	rules := assertion.Rules{
		ClientID:  "app",
		Audiences: []string{"https://as.example/ask"},
		Life:      2 * time.Minute,
		Keys:      []jose.JSONWebKey{{Key: &key.PublicKey, KeyID: "1"}},
		Memory:    func(f func(*replay.Memory)) { f(memory) },
	}
	for range 3 { // each attempt of each query has a new assertion
		_, form := appendAndParse(t, AssertionCredential(maker))
		err := assertion.Check(time.Duration(time.Now().UnixNano()), form.Get("client_assertion"), rules)
		if err != nil || form.Get("client_assertion_type") != assertion.Type ||
			strings.Contains(form.Get("client_assertion"), "a b&c") {
			t.Errorf("assertion: %v, %v", form, err)
		}
	}
}
