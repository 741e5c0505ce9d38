// Package keyset caches the public keys of an issuer (RFC 7517). It fetches them periodically, and keeps the
// last valid ones while they can't be fetched.
package keyset

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/rs/zerolog"

	"dunespoke/internal/oauth/assertion"
)

// Options configures a Set.
type Options struct {
	Addr string // host:port
	Host string // value of the Host header; empty means Addr
	Path string
	// Dial opens a connection, including the TLS handshake if TLS is used.
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	Every time.Duration // interval between fetches
	Log   zerolog.Logger
}

// Set holds the keys of an issuer as last fetched. Keys is safe for concurrent use with Run.
type Set struct {
	Options
	keys   atomic.Pointer[[]jose.JSONWebKey]
	client *http.Client
}

// Limits of a fetch, and the delay after a failed one, which is shorter if Options.Every is.
const (
	maxResponseBytes = 64 << 10
	requestTimeout   = 3 * time.Second
	retryInterval    = 5 * time.Second
)

// New returns an empty set, which Run fills.
func New(o Options) *Set {
	rejectRedirect := func(*http.Request, []*http.Request) error { return errRedirect }
	return &Set{Options: o, client: &http.Client{Timeout: requestTimeout, CheckRedirect: rejectRedirect,
		Transport: &http.Transport{DialContext: o.Dial, DisableKeepAlives: true}}}
}

var errRedirect = errors.New("redirects are not followed when fetching keys")

// Keys returns the keys as last fetched, or nil if none have been fetched.
func (s *Set) Keys() []jose.JSONWebKey {
	if keys := s.keys.Load(); keys != nil {
		return *keys
	}
	return nil
}

// Run fetches the keys periodically until ctx is done. It logs only the first of consecutive failures.
func (s *Set) Run(ctx context.Context) {
	failed := false
	for {
		wait := s.Every
		if err := s.read(ctx); err != nil {
			wait = min(retryInterval, s.Every)
			if !failed && ctx.Err() == nil {
				s.Log.Warn().Str("code", "keys-not-read").Str("server", s.Addr).Err(err).
					Msg("fetching keys failed; keeping the previous ones")
			}
			failed = true
		} else {
			failed = false
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// read fetches the keys once, and stores them if they are valid.
func (s *Set) read(ctx context.Context) error {
	// The HTTP client uses plain HTTP, because the connections that Dial returns already use TLS if it is
	// configured.
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+s.Path, nil)
	if err != nil {
		return err
	}
	if s.Host != "" {
		r.Host = s.Host
	}
	res, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || len(text) > maxResponseBytes {
		return fmt.Errorf("unexpected response: status %d, %d bytes", res.StatusCode, len(text))
	}
	keys, err := assertion.PublicKeys(text)
	if err != nil {
		return err
	}
	s.keys.Store(&keys)
	return nil
}
