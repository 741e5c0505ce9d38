// Package secure puts TLS on connections, by files that may change while they are in use. New connections go
// by the files as last read; those that are open stay as they are. A file that can't be used changes nothing.
package secure

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Files are the TLS files of one side, all in PEM.
type Files struct {
	Cert, Key string // this program's certificate, with those up to the root; may be empty for clients
	CA        string // the roots that the other side's must come from; empty: the system's
	Ask       bool   // whether a server asks its clients for a certificate, which they may leave out
	Name      string // what a server's certificate must name; empty: the host that was dialled
}

// Dialer opens connections, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Side is one side of connections.
type Side struct {
	files  Files
	server bool
	log    zerolog.Logger
	now    func() time.Time
	conf   atomic.Pointer[tls.Config]

	mu     sync.Mutex
	stamps []stamp
	leaf   *x509.Certificate
	warned time.Time
}

// stamp tells whether a file has changed.
type stamp struct {
	mod  time.Time
	size int64
}

// Server reads the files of a side that takes connections: a certificate and its key.
func Server(f Files, log zerolog.Logger) (*Side, error) { return open(f, true, log) }

// Client reads the files of a side that opens connections.
func Client(f Files, log zerolog.Logger) (*Side, error) { return open(f, false, log) }

func open(f Files, server bool, log zerolog.Logger) (*Side, error) {
	s := &Side{files: f, server: server, log: log, now: time.Now}
	s.stamps = s.look()
	if err := s.read(); err != nil {
		return nil, err
	}
	s.warn()
	return s, nil
}

// Listener puts TLS on the connections of a listener. The handshake is made at the first read, by whoever
// reads, so that a silent client holds up nobody.
func (s *Side) Listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.conf.Load(), nil }})
}

// Dial returns a dialer that makes a TLS handshake on each connection that another opens, within the same
// context.
func (s *Side) Dial(plain Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := plain(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conf := s.conf.Load()
		if conf.ServerName == "" {
			host, _, err := net.SplitHostPort(addr)
			if err != nil {
				nc.Close()
				return nil, fmt.Errorf("tls: address %s: %w", addr, err)
			}
			conf = conf.Clone() // shares the cache of sessions
			conf.ServerName = host
		}
		c := tls.Client(nc, conf)
		if err := c.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, fmt.Errorf("tls: %w", err)
		}
		return c, nil
	}
}

// errExpired says that a new certificate is over.
var errExpired = errors.New("the certificate has expired")

// Reload reads the files again. If they can't be used, those in use stay, and the log says why.
func (s *Side) Reload() error {
	s.mu.Lock()
	s.stamps = s.look()
	s.mu.Unlock()
	err := s.read()
	if err != nil {
		s.log.Warn().Str("code", "certificate-not-taken").Str("file", s.name()).Err(err).
			Msg("the files in use stay in use")
		return err
	}
	s.log.Info().Str("code", "certificate-taken").Str("file", s.name()).Time("until", s.until()).
		Msg("TLS files read again")
	s.warn()
	return nil
}

// errNoRoots says that clients' certificates can't be traced to a root.
var errNoRoots = errors.New("no roots for clients' certificates are set up")

// Trust reports whether a client's chain of certificates ends in one of the roots in use.
func (s *Side) Trust(chain []*x509.Certificate) error {
	roots := s.conf.Load().ClientCAs
	if roots == nil || len(chain) == 0 {
		return errNoRoots
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	return err
}

// watchEvery is how often files are looked at. Renewals come days ahead of an end.
const watchEvery = 5 * time.Second

// Watch looks for changed files until the context ends, and reads them again.
func (s *Side) Watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		changed := s.changed()
		s.mu.Unlock()
		if changed {
			s.Reload() // which leaves its log line
		}
		s.warn()
	}
}

// changed reports whether a file looks otherwise than when it was last read. A missing one may be about to
// be renamed into its place.
func (s *Side) changed() bool {
	for i, now := range s.look() {
		if now != s.stamps[i] {
			return true
		}
	}
	return false
}

func (s *Side) look() []stamp {
	stamps := make([]stamp, 0, 3)
	for _, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		var at stamp
		if info, err := os.Stat(path); path != "" && err == nil {
			at = stamp{info.ModTime(), info.Size()}
		}
		stamps = append(stamps, at)
	}
	return stamps
}

// read reads the files, and takes them if all are good.
func (s *Side) read() error {
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: s.files.Name}
	var leaf *x509.Certificate
	if s.files.Cert != "" || s.server {
		cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
		if err != nil {
			return fmt.Errorf("certificate %s, key %s: %w", s.files.Cert, s.files.Key, err)
		}
		leaf = cert.Leaf
		if s.now().After(leaf.NotAfter) {
			return fmt.Errorf("certificate %s: %w", s.files.Cert, errExpired)
		}
		conf.Certificates = []tls.Certificate{cert}
	}
	var roots *x509.CertPool
	if s.files.CA != "" {
		text, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("roots: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return fmt.Errorf("roots %s: no certificate in it", s.files.CA)
		}
	}
	switch {
	case s.server && s.files.Ask:
		conf.ClientCAs, conf.ClientAuth = roots, tls.RequestClientCert // looked at by Trust, or by whom it names
	case !s.server:
		conf.RootCAs, conf.ClientSessionCache = roots, tls.NewLRUClientSessionCache(64)
	}
	s.mu.Lock()
	s.leaf = leaf
	s.mu.Unlock()
	s.conf.Store(conf)
	return nil
}

// Ends of certificates are told so long ahead, and so often.
const (
	warnAhead = 14 * 24 * time.Hour
	warnEvery = 12 * time.Hour
)

// warn tells on-call staff that the certificate in use ends soon.
func (s *Side) warn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.leaf == nil || s.leaf.NotAfter.Sub(now) > warnAhead || now.Sub(s.warned) < warnEvery {
		return
	}
	s.warned = now
	s.log.Warn().Str("code", "certificate-ends").Str("file", s.files.Cert).Time("until", s.leaf.NotAfter).
		Msg("renew it")
}

func (s *Side) until() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaf == nil {
		return time.Time{}
	}
	return s.leaf.NotAfter
}

func (s *Side) name() string { return cmp.Or(s.files.Cert, s.files.CA) }
