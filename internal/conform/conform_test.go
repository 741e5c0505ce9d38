package conform

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"math/big"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
)

// endpoint is a stand-in that keeps all requirements but one: its defect.
type endpoint struct {
	t      *testing.T
	defect string
	url    string
	key    *ecdsa.PrivateKey
	cert   []byte // of the client "certified", DER
}

const token, clientID, secret = "tok-1", "app &1", "s&cret"

func (e *endpoint) is(id string) bool { return e.defect == id }

// or returns the one of two that the defect asks for.
func or[T any](e *endpoint, id string, good, bad T) T {
	if e.is(id) {
		return bad
	}
	return good
}

func (e *endpoint) fail(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", or(e, "6749-3", "application/json", "text/plain"))
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"error": code})
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/.well-known/oauth-authorization-server":
		e.metadata(w)
	case "/jwks":
		k := jose.JSONWebKey{Key: &e.key.PublicKey, KeyID: "1", Algorithm: "ES256"}
		if e.is("8414-6") {
			k.Key = e.key
		}
		e.json(w, jose.JSONWebKeySet{Keys: []jose.JSONWebKey{k}})
	default:
		e.introspect(w, r)
	}
}

func (e *endpoint) json(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", or(e, "7662-7", "application/json", "text/plain"))
	json.NewEncoder(w).Encode(v)
}

func (e *endpoint) metadata(w http.ResponseWriter) {
	if e.is("8414-1") {
		http.NotFound(w, nil)
		return
	}
	e.json(w, map[string]any{"issuer": or(e, "8414-2", e.url, e.url+"/"), "jwks_uri": e.url + "/jwks",
		"introspection_endpoint": e.url + or(e, "8414-3", "/introspect", "/other"),
		"introspection_endpoint_auth_methods_supported": or(e, "8414-4",
			[]string{"client_secret_basic", "private_key_jwt"}, []string{"private_key_jwt"}),
		"introspection_endpoint_auth_signing_alg_values_supported": or(
			e,
			"8414-5",
			[]string{"ES256"},
			[]string{"none"},
		)})
}

// caller lets a client in, or answers it.
func (e *endpoint) caller(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	if strings.HasPrefix(r.Header.Get("Authorization"), "Bearer ") {
		if !e.is("6750-2") {
			w.Header().Set("WWW-Authenticate", `Bearer error="invalid_token"`)
		}
		e.fail(w, or(e, "6750-1", http.StatusUnauthorized, http.StatusBadRequest), "invalid_token")
		return "", false
	}
	id, pass, basic := r.BasicAuth()
	id, _ = url.QueryUnescape(id)
	pass, _ = url.QueryUnescape(pass)
	form := r.PostForm
	if e.is("6749-6") {
		form = r.Form
	}
	switch {
	case basic && form.Has("client_secret") && !e.is("6749-5"):
		e.fail(w, http.StatusBadRequest, "invalid_request")
		return "", false
	case !basic && form.Get("client_id") == "certified":
		if !e.knows(r.TLS) {
			e.fail(w, http.StatusUnauthorized, "invalid_client")
			return "", false
		}
		return "certified", true
	case !basic:
		id, pass = form.Get("client_id"), form.Get("client_secret")
	}
	if id == clientID && pass == secret || e.is("7662-2") && !basic ||
		e.is("6750-3") && r.Form.Has("access_token") {
		return id, true
	}
	if !e.is("6749-2") {
		w.Header().Set("WWW-Authenticate", `Basic realm="x"`)
	}
	e.fail(w, http.StatusUnauthorized, or(e, "6749-1", "invalid_client", "unauthorized_client"))
	return "", false
}

func (e *endpoint) knows(state *tls.ConnectionState) bool {
	shown := state.PeerCertificates
	mine := len(shown) > 0 && bytes.Equal(shown[0].Raw, e.cert)
	switch e.defect {
	case "8705-1":
		return false
	case "8705-2":
		return mine || len(shown) == 0
	case "8705-3":
		return len(shown) > 0
	}
	return mine
}

func (e *endpoint) introspect(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost && !e.is("7662-6") {
		http.Error(w, "method", http.StatusMethodNotAllowed)
		return
	}
	if e.is("6749-7") {
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	r.ParseForm()
	id, ok := e.caller(w, r)
	if !ok {
		return
	}
	form := r.PostForm
	if r.Method == http.MethodGet {
		form = r.Form
	}
	asked := form["token"]
	hint := form.Get("token_type_hint")
	switch {
	case len(asked) == 0 && !e.is("7662-3"), len(asked) > 1 && !e.is("6749-4"),
		form.Has("no_such_parameter") && e.is("7662-5"):
		e.fail(w, http.StatusBadRequest, "invalid_request")
		return
	}
	active := len(asked) > 0 && asked[0] == token && !(e.is("7662-4") && hint != "" && hint != "access_token")
	if !active && e.is("7662-11") {
		e.fail(w, http.StatusNotFound, "invalid_token")
		return
	}
	answer := e.answer(active)
	signs := r.Header.Get("Accept") == signedKind || e.is("9701-10")
	switch {
	case signs && !e.is("9701-1"):
		e.sign(w, id, active, answer)
	case e.is("7662-1"):
		w.WriteHeader(http.StatusAccepted)
		fallthrough
	default:
		e.json(w, answer)
	}
}

func (e *endpoint) answer(active bool) map[string]any {
	answer := map[string]any{"active": active}
	if e.is("7662-8") {
		answer["active"] = map[bool]string{true: "true", false: "false"}[active]
	}
	switch {
	case active:
		exp := time.Now().Add(time.Hour).Unix()
		answer["exp"], answer["scope"], answer["aud"] = exp, "a b", []string{"x"}
		if e.is("7662-9") {
			answer["exp"] = "soon"
		}
		if e.is("7662-10") {
			answer["exp"] = exp - 7200
		}
	case e.is("7662-12"), e.is("9701-9"):
		answer["sub"] = "me"
	}
	return answer
}

func (e *endpoint) sign(w http.ResponseWriter, id string, active bool, answer map[string]any) {
	key := e.key
	if e.is("9701-3") {
		key = newKey(e.t)
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: key}, (&jose.SignerOptions{}).
		WithType(jose.ContentType(or(e, "9701-2", "token-introspection+jwt", "JWT"))))
	if err != nil {
		e.t.Error(err)
	}
	claims := map[string]any{"iss": or(e, "9701-4", e.url, "x"), "aud": or(e, "9701-5", id, "x"),
		"iat": time.Now().Unix(), "token_introspection": answer}
	switch e.defect {
	case "9701-6":
		delete(claims, "iat")
	case "9701-7":
		delete(claims, "token_introspection")
		claims["active"] = active
	case "9701-8":
		claims["sub"] = "me"
	}
	text, err := jwt.Signed(signer).Claims(claims).Serialize()
	if err != nil {
		e.t.Error(err)
	}
	w.Header().Set("Content-Type", signedKind)
	w.Write([]byte(text))
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// run checks an endpoint with a defect.
func run(t *testing.T, defect string) *Report {
	t.Helper()
	own := newKey(t)
	c := &x509.Certificate{SerialNumber: big.NewInt(7), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, &own.PublicKey, own)
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, defect: defect, key: newKey(t), cert: raw}
	server := httptest.NewUnstartedServer(e)
	server.TLS = &tls.Config{ClientAuth: tls.RequestClientCert, MinVersion: tls.VersionTLS12}
	if defect == "7662-13" {
		server.TLS.MinVersion = tls.VersionTLS10
	}
	server.StartTLS()
	defer server.Close()
	e.url = server.URL
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	report, err := Run(t.Context(), Target{URL: server.URL + "/introspect", ClientID: clientID, Secret: secret,
		Token: token, TLS: &tls.Config{RootCAs: roots}, CertClient: "certified",
		Cert: &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: own}})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// An endpoint that keeps all requirements passes all checks, and one that breaks a requirement fails its
// check: a check that no defect can fail is none.
func TestEachCheckFindsItsDefect(t *testing.T) {
	for _, r := range run(t, "").Results {
		if r.Verdict != Pass {
			t.Errorf("without a defect: %s %s: %s", r.ID, r.Verdict, r.Why)
		}
	}
	for _, id := range IDs() {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			report := run(t, id)
			for _, r := range report.Results {
				if r.ID == id && (r.Verdict != Fail || r.Why == "" || !report.Failed()) {
					t.Errorf("%s: %s %s", r.Text, r.Verdict, r.Why)
				}
			}
		})
	}
}

func TestReports(t *testing.T) {
	r := &Report{URL: "https://x", Results: []Result{{ID: "1", Section: "RFC", Text: "a", Verdict: Pass},
		{ID: "2", Text: "b", Verdict: Skip, Why: "not given"}}}
	var table, text bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(text.Bytes(), &back); err != nil || len(back.Results) != 2 || back.Failed() {
		t.Errorf("%+v, %v", back, err)
	}
	for _, want := range []string{"skipped", "b: not given", "1 pass, 0 fail, 1 skipped"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
}

func TestTargetsThatMakeNoSense(t *testing.T) {
	for _, target := range []Target{{}, {URL: "x"}, {URL: "ftp://x", ClientID: "a", Token: "b"},
		{URL: "https://x", ClientID: "a"}} {
		if _, err := Run(t.Context(), target); err == nil {
			t.Errorf("%+v is taken", target)
		}
	}
}
