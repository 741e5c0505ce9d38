// Package endpoint is a stand-in for an introspection endpoint that keeps all requirements that package
// conform knows but one, its defect. It is for tests of those checks, and to be looked at with them.
package endpoint

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
)

// jwtKind is the media type of signed answers.
const jwtKind = "application/token-introspection+jwt"

// Endpoint is a stand-in that keeps all requirements but one: its defect.
type Endpoint struct {
	Defect string // the number of the requirement that it breaks; empty: none
	URL    string // its own, without a path
	Key    *ecdsa.PrivateKey
	Cert   []byte // of the client Certified, DER
}

// What it knows.
const (
	Token     = "tok-1" // is active
	ClientID  = "app &1"
	Secret    = "s&cret"
	Certified = "certified" // a client that shows a certificate
)

func (e *Endpoint) is(id string) bool { return e.Defect == id }

// or returns the one of two that the defect asks for.
func or[T any](e *Endpoint, id string, good, bad T) T {
	if e.is(id) {
		return bad
	}
	return good
}

func (e *Endpoint) fail(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", or(e, "6749-3", "application/json", "text/plain"))
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"error": code})
}

// ServeHTTP answers.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/.well-known/oauth-authorization-server":
		e.metadata(w)
	case "/jwks":
		k := jose.JSONWebKey{Key: &e.Key.PublicKey, KeyID: "1", Algorithm: "ES256"}
		if e.is("8414-6") {
			k.Key = e.Key
		}
		e.json(w, jose.JSONWebKeySet{Keys: []jose.JSONWebKey{k}})
	default:
		e.introspect(w, r)
	}
}

func (e *Endpoint) json(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", or(e, "7662-7", "application/json", "text/plain"))
	json.NewEncoder(w).Encode(v)
}

func (e *Endpoint) metadata(w http.ResponseWriter) {
	if e.is("8414-1") {
		http.NotFound(w, nil)
		return
	}
	e.json(w, map[string]any{"issuer": or(e, "8414-2", e.URL, e.URL+"/"), "jwks_uri": e.URL + "/jwks",
		"introspection_endpoint": e.URL + or(e, "8414-3", "/introspect", "/other"),
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
func (e *Endpoint) caller(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
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
	case !basic && form.Get("client_id") == Certified:
		if !e.knows(r.TLS) {
			e.fail(w, http.StatusUnauthorized, "invalid_client")
			return "", false
		}
		return Certified, true
	case !basic:
		id, pass = form.Get("client_id"), form.Get("client_secret")
	}
	if id == ClientID && pass == Secret || e.is("7662-2") && !basic ||
		e.is("6750-3") && r.Form.Has("access_token") {
		return id, true
	}
	if !e.is("6749-2") {
		w.Header().Set("WWW-Authenticate", `Basic realm="x"`)
	}
	e.fail(w, http.StatusUnauthorized, or(e, "6749-1", "invalid_client", "unauthorized_client"))
	return "", false
}

func (e *Endpoint) knows(state *tls.ConnectionState) bool {
	var shown []*x509.Certificate
	if state != nil {
		shown = state.PeerCertificates
	}
	mine := len(shown) > 0 && bytes.Equal(shown[0].Raw, e.Cert)
	switch e.Defect {
	case "8705-1":
		return false
	case "8705-2":
		return mine || len(shown) == 0
	case "8705-3":
		return len(shown) > 0
	}
	return mine
}

func (e *Endpoint) introspect(w http.ResponseWriter, r *http.Request) {
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
	active := len(asked) > 0 && asked[0] == Token && !(e.is("7662-4") && hint != "" && hint != "access_token")
	if !active && e.is("7662-11") {
		e.fail(w, http.StatusNotFound, "invalid_token")
		return
	}
	answer := e.answer(active)
	signs := r.Header.Get("Accept") == jwtKind || e.is("9701-10")
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

func (e *Endpoint) answer(active bool) map[string]any {
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

func (e *Endpoint) sign(w http.ResponseWriter, id string, active bool, answer map[string]any) {
	key := e.Key
	if e.is("9701-3") {
		key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader) // never fails
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: key}, (&jose.SignerOptions{}).
		WithType(jose.ContentType(or(e, "9701-2", "token-introspection+jwt", "JWT"))))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	claims := map[string]any{"iss": or(e, "9701-4", e.URL, "x"), "aud": or(e, "9701-5", id, "x"),
		"iat": time.Now().Unix(), "token_introspection": answer}
	switch e.Defect {
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
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jwtKind)
	w.Write([]byte(text))
}
