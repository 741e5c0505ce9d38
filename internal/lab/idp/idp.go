// Package idp is a stand-in for an authorization server: token introspection (RFC 7662), a JWKS (RFC 7517)
// and metadata (RFC 8414), with faults by a script. It is for tests and measurements on loopback addresses.
package idp

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/internal/lab/faults"
)

// Options set up a stand-in.
type Options struct {
	Issuer  string
	Script  faults.Script
	Work    time.Duration // that a question takes; 0: none
	Workers int           // questions at work at once, others wait in line; 0: 16
	Life    time.Duration // of tokens, from when they are asked about first; 0: an hour
	// Tokens that begin with this are not active; empty: "no-".
	Inactive string
	// Faulty is the path that the script is about; empty: all.
	Faulty string
	// ClientID and Secret are asked of callers, if set.
	ClientID, Secret string
}

// Server is a stand-in. It is an http.Handler.
type Server struct {
	Options
	start   time.Time
	mux     *http.ServeMux
	workers chan struct{}
	asked   atomic.Int64

	mu   sync.Mutex
	keys []jose.JSONWebKey // private, the newest last
}

// New returns a stand-in whose script begins now.
func New(o Options) (*Server, error) {
	if o.Workers == 0 {
		o.Workers = 16
	}
	if o.Life == 0 {
		o.Life = time.Hour
	}
	if o.Inactive == "" {
		o.Inactive = "no-"
	}
	s := &Server{Options: o, start: time.Now(), mux: http.NewServeMux(), workers: make(chan struct{}, o.Workers)}
	if _, err := s.Key(); err != nil {
		return nil, err
	}
	s.mux.HandleFunc("POST /introspect", s.introspect)
	s.mux.HandleFunc("GET /jwks", s.jwks)
	s.mux.HandleFunc("GET /.well-known/oauth-authorization-server", s.metadata)
	return s, nil
}

// TLS returns the server's side of TLS: it shows a certificate, and while the script says so one that has
// expired. good is asked for each connection, so that the certificate may change.
func (s *Server) TLS(good func() (*tls.Certificate, error), expired *tls.Certificate) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if fault, _ := s.Script.At(time.Since(s.start), 0); fault.Kind == faults.Expired && expired != nil {
				return expired, nil
			}
			return good()
		}}
}

// Asked tells how many questions have come.
func (s *Server) Asked() int64 { return s.asked.Load() }

// Key returns the key that signs now.
func (s *Server) Key() (jose.JSONWebKey, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.keys) <= s.Script.Rotations(time.Since(s.start)) {
		private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return jose.JSONWebKey{}, fmt.Errorf("signing key: %w", err)
		}
		s.keys = append(s.keys, jose.JSONWebKey{Key: private, KeyID: fmt.Sprint("key-", len(s.keys)+1),
			Algorithm: string(jose.ES256), Use: "sig"})
	}
	return s.keys[len(s.keys)-1], nil
}

// ServeHTTP answers, or does what the script says of this moment.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Since(s.start)
	w.Header().Set("Date", time.Now().Add(s.Script.Ahead(now)).UTC().Format(http.TimeFormat))
	if r.URL.Path == "/introspect" {
		s.asked.Add(1)
	}
	fault, _ := s.Script.At(now, mathrand.Float64())
	if s.Faulty != "" && r.URL.Path != s.Faulty {
		fault = faults.Step{}
	}
	if fault.Kind == faults.Silent {
		s.silent(r, fault)
		return
	}
	if !s.work(r, fault) {
		return
	}
	switch fault.Kind {
	case faults.Reset:
		reset(w, "")
	case faults.Half:
		reset(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 40\r\n\r\n{\"active\":fal")
	case faults.Garbage:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"active": tru`)
	case faults.Status:
		http.Error(w, "scripted", fault.Status)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// silent holds a request until its client leaves. Those that come while the script says silent get no answer
// later either, as from a machine that has lost them.
func (s *Server) silent(r *http.Request, _ faults.Step) {
	r.Body.Close()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
	panic(http.ErrAbortHandler)
}

// work takes a worker for as long as a request needs. It reports false if the client left meanwhile.
func (s *Server) work(r *http.Request, fault faults.Step) bool {
	select {
	case s.workers <- struct{}{}:
		defer func() { <-s.workers }()
	case <-r.Context().Done():
		return false
	}
	d := s.Work
	if fault.Kind == faults.Slow {
		d = time.Duration(float64(d) * fault.Factor)
	}
	if d > 0 {
		// Work varies: from half to one and a half times the mean.
		d = time.Duration(float64(d) * (0.5 + mathrand.Float64()))
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// reset writes raw bytes, if any, and breaks the connection off.
func reset(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(c, text)
	if t, ok := c.(*net.TCPConn); ok && text == "" {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) introspect(w http.ResponseWriter, r *http.Request) {
	if id, secret, _ := r.BasicAuth(); s.ClientID != "" && (id != s.ClientID || secret != s.Secret) {
		w.Header().Set("WWW-Authenticate", `Basic realm="introspection"`)
		answer(w, http.StatusUnauthorized, map[string]any{"error": "invalid_client"})
		return
	}
	token := r.PostFormValue("token")
	switch {
	case token == "":
		answer(w, http.StatusBadRequest, map[string]any{"error": "invalid_request"})
	case strings.HasPrefix(token, s.Inactive):
		answer(w, http.StatusOK, map[string]any{"active": false})
	default:
		now := time.Now().Add(s.Script.Ahead(time.Since(s.start)))
		answer(w, http.StatusOK, map[string]any{"active": true, "iss": s.Issuer, "sub": "member",
			"scope": "read pay", "iat": now.Unix(), "exp": now.Add(s.Life).Unix()})
	}
}

func (s *Server) jwks(w http.ResponseWriter, _ *http.Request) {
	if _, err := s.Key(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	var set jose.JSONWebKeySet
	for _, k := range s.keys[max(0, len(s.keys)-2):] { // the one before overlaps
		set.Keys = append(set.Keys, k.Public())
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, set)
}

func (s *Server) metadata(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, map[string]any{"issuer": s.Issuer, "jwks_uri": s.Issuer + "/jwks",
		"introspection_endpoint":                        s.Issuer + "/introspect",
		"introspection_endpoint_auth_methods_supported": []string{"client_secret_basic"},
		"response_types_supported":                      []string{"code"}})
}

func answer(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	w.Write(text)
}
