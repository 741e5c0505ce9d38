// Package keyset keeps an issuer's public keys (RFC 7517) at hand: it reads them now and then, and keeps the
// last good ones while they can't be read.
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

// Options are what New needs.
type Options struct {
	Addr  string // host:port
	Host  string // for the Host header
	Path  string
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error) // with TLS, where there is to be any
	Every time.Duration
	Log   zerolog.Logger
}

// Set is an issuer's keys as last read.
type Set struct {
	Options
	keys   atomic.Pointer[[]jose.JSONWebKey]
	client *http.Client
}

// Limits of one reading, and the wait after one that failed.
const (
	mostBytes = 64 << 10
	patience  = 3 * time.Second
	retry     = 5 * time.Second
)

// New returns an empty set, to be filled by Run.
func New(o Options) *Set {
	elsewhere := func(*http.Request, []*http.Request) error { return errRedirect }
	return &Set{Options: o, client: &http.Client{Timeout: patience, CheckRedirect: elsewhere,
		Transport: &http.Transport{DialContext: o.Dial, DisableKeepAlives: true}}}
}

var errRedirect = errors.New("keys elsewhere are not followed")

// Keys returns the keys as last read.
func (s *Set) Keys() []jose.JSONWebKey {
	if keys := s.keys.Load(); keys != nil {
		return *keys
	}
	return nil
}

// Run reads the keys until the context ends.
func (s *Set) Run(ctx context.Context) {
	failed := false
	for {
		wait := s.Every
		if err := s.read(ctx); err != nil {
			wait = min(retry, s.Every)
			if !failed && ctx.Err() == nil {
				s.Log.Warn().Str("code", "keys-not-read").Str("server", s.Addr).Err(err).Msg("the last ones stay in use")
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

func (s *Set) read(ctx context.Context) error {
	// By plain HTTP as far as the client knows: what it dials has TLS already.
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
	text, err := io.ReadAll(io.LimitReader(res.Body, mostBytes+1))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || len(text) > mostBytes {
		return fmt.Errorf("status %d, %d bytes", res.StatusCode, len(text))
	}
	keys, err := assertion.PublicKeys(text)
	if err != nil {
		return err
	}
	s.keys.Store(&keys)
	return nil
}
