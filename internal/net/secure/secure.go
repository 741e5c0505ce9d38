// Package secure adds TLS to connections, configured by files that may change at run time. New connections
// use the files as last loaded; open connections are not affected. If a changed file is not valid, the
// previous configuration stays in use.
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

// Files configures TLS for one side of a connection. All files are in PEM format.
type Files struct {
	Cert, Key string // the local certificate chain and its key; optional for clients
	CA        string // the root certificates that the peer is verified against; empty means the system's
	Ask       bool   // whether a server requests a client certificate, which clients may omit
	Name      string // expected name in the certificate of the server; empty means the dialled host
}

// Dialer opens connections, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Side is the TLS configuration of one side of connections. It is safe for concurrent use.
type Side struct {
	files  Files
	server bool
	log    zerolog.Logger
	now    func() time.Time
	conf   atomic.Pointer[tls.Config]

	mu          sync.Mutex
	versions    []fileVersion
	leaf        *x509.Certificate // nil if there is no local certificate
	lastWarning time.Time
}

// fileVersion identifies the version of a file. It is zero if the file is missing.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// Server loads the files of a side that accepts connections. A certificate and its key are required.
func Server(f Files, log zerolog.Logger) (*Side, error) { return open(f, true, log) }

// Client loads the files of a side that opens connections.
func Client(f Files, log zerolog.Logger) (*Side, error) { return open(f, false, log) }

func open(f Files, server bool, log zerolog.Logger) (*Side, error) {
	s := &Side{files: f, server: server, log: log, now: time.Now}
	s.versions = s.fileVersions()
	if err := s.read(); err != nil {
		return nil, err
	}
	s.warnExpiry()
	return s, nil
}

// Listener returns a listener that adds TLS to the connections of l. The handshake is made by the first read
// or write of a connection, so that a client that sends nothing does not delay others.
func (s *Side) Listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.conf.Load(), nil }})
}

// Dial returns a dialer that makes a TLS handshake on each connection that plain opens, within the same
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
			conf = conf.Clone() // the clone shares the session cache
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

// errExpired is returned if a new certificate has already expired.
var errExpired = errors.New("the certificate has expired")

// Reload loads the files again. If they are not valid, it logs the error and the previous ones stay in use.
func (s *Side) Reload() error {
	s.mu.Lock()
	s.versions = s.fileVersions()
	s.mu.Unlock()
	err := s.read()
	if err != nil {
		s.log.Warn().Str("code", "certificate-not-taken").Str("file", s.name()).Err(err).
			Msg("loading TLS files failed; keeping the previous ones")
		return err
	}
	s.log.Info().Str("code", "certificate-taken").Str("file", s.name()).Time("until", s.notAfter()).
		Msg("TLS files reloaded")
	s.warnExpiry()
	return nil
}

// errNoRoots is returned if there is no root, or no certificate, to verify a client by.
var errNoRoots = errors.New("no client CA roots configured, or no client certificate")

// Trust verifies the certificate chain of a client against the current roots.
func (s *Side) Trust(chain []*x509.Certificate) error {
	roots := s.conf.Load().ClientCAs
	if roots == nil || len(chain) == 0 {
		return errNoRoots
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	return err
}

// watchInterval is the interval between checks for changed files. Certificates are renewed days before
// they expire.
const watchInterval = 5 * time.Second

// Watch checks for changed files, and reloads them, until ctx is done. It also warns of expiring
// certificates.
func (s *Side) Watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
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
			s.Reload() // logs its outcome
		}
		s.warnExpiry()
	}
}

// changed reports whether a file has changed since it was last loaded. A missing file counts as a change, and
// may be about to be replaced by a rename. It must be called with s.mu held.
func (s *Side) changed() bool {
	for i, now := range s.fileVersions() {
		if now != s.versions[i] {
			return true
		}
	}
	return false
}

// fileVersions returns the versions of the certificate, key and CA files, in this order.
func (s *Side) fileVersions() []fileVersion {
	versions := make([]fileVersion, 0, 3)
	for _, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		var version fileVersion
		if info, err := os.Stat(path); path != "" && err == nil {
			version = fileVersion{info.ModTime(), info.Size()}
		}
		versions = append(versions, version)
	}
	return versions
}

// read loads the files, and puts them to use if all are valid.
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
			return fmt.Errorf("CA roots: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return fmt.Errorf("CA roots %s: file contains no certificate", s.files.CA)
		}
	}
	switch {
	case s.server && s.files.Ask:
		conf.ClientCAs, conf.ClientAuth = roots, tls.RequestClientCert // verified by Trust, or by the caller
	case !s.server:
		conf.RootCAs, conf.ClientSessionCache = roots, tls.NewLRUClientSessionCache(64)
	}
	s.mu.Lock()
	s.leaf = leaf
	s.mu.Unlock()
	s.conf.Store(conf)
	return nil
}

// Warnings of the expiry of a certificate are logged from expiryWarningPeriod before it, at intervals of
// expiryWarningInterval.
const (
	expiryWarningPeriod   = 14 * 24 * time.Hour
	expiryWarningInterval = 12 * time.Hour
)

// warnExpiry logs a warning for operators if the current certificate expires soon.
func (s *Side) warnExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.leaf == nil || s.leaf.NotAfter.Sub(now) > expiryWarningPeriod ||
		now.Sub(s.lastWarning) < expiryWarningInterval {
		return
	}
	s.lastWarning = now
	s.log.Warn().Str("code", "certificate-ends").Str("file", s.files.Cert).Time("until", s.leaf.NotAfter).
		Msg("certificate expires soon; renew it")
}

// notAfter returns the expiry time of the current certificate, or zero if there is none.
func (s *Side) notAfter() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaf == nil {
		return time.Time{}
	}
	return s.leaf.NotAfter
}

// name returns the file that identifies the side in log lines.
func (s *Side) name() string { return cmp.Or(s.files.Cert, s.files.CA) }
