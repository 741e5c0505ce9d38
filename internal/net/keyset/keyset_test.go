package keyset

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/lab/idp"
)

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}

// The last valid keys stay in use while the server returns anything else.
func TestLastValidKeysAreKept(t *testing.T) {
	server, err := idp.New(idp.Options{Issuer: "https://as.example"})
	if err != nil {
		t.Fatal(err)
	}
	var answer atomic.Value
	answer.Store(http.HandlerFunc(server.ServeHTTP))
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer.Load().(http.HandlerFunc)(w, r)
	}))
	defer front.Close()
	s := New(
		Options{Addr: strings.TrimPrefix(front.URL, "http://"), Path: "/jwks", Dial: dial, Every: time.Minute},
	)
	if s.Keys() != nil {
		t.Error("keys before the first fetch")
	}
	if err := s.read(t.Context()); err != nil || len(s.Keys()) != 1 || !s.Keys()[0].IsPublic() {
		t.Fatalf("%v, %v", s.Keys(), err)
	}
	for name, invalid := range map[string]http.HandlerFunc{
		"an error":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"malformed": func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{")) },
		"no keys":   func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"keys":[]}`)) },
		"too large": func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, maxResponseBytes+1)) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other",
				http.StatusFound)
		},
		"nothing": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		answer.Store(invalid)
		if err := s.read(t.Context()); err == nil || len(s.Keys()) != 1 {
			t.Errorf("%s: %v, %d keys", name, err, len(s.Keys()))
		}
	}
}

func TestConsecutiveFailuresAreLoggedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var log bytes.Buffer
	attempts := 0
	s := New(Options{Addr: "as.example:443", Path: "/jwks", Every: time.Millisecond, Log: zerolog.New(&log),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			if attempts++; attempts == 3 {
				cancel()
			}
			return nil, errors.New("refused")
		}})
	s.Run(ctx)
	if n := strings.Count(log.String(), "keys-not-read"); n != 1 || attempts != 3 {
		t.Errorf("%d log lines for %d attempts", n, attempts)
	}
}
