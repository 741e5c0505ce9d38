package peerauth

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Errors of authentication.
var (
	// ErrNoCertificate tells of a peer that shows no certificate.
	ErrNoCertificate = errors.New("peerauth: no certificate")
	// ErrUnknownAuthority tells of a certificate under a key that this process does not have.
	ErrUnknownAuthority = errors.New("peerauth: certificate under an unknown key")
	// ErrWrongAddress tells of a certificate for another address than the one that was dialled.
	ErrWrongAddress = errors.New("peerauth: certificate for another address")
)

// A certificate lasts as long as the key that it was issued under: what it says doesn't depend on the
// time of day, which may be wrong on any machine.
var (
	notBefore = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// Authenticator authenticates connections, in both directions, by the keys that it was made with.
type Authenticator struct {
	certificate tls.Certificate
	authorities []ed25519.PublicKey
}

// New returns an Authenticator for the process at an IP address.
func New(keys Keys, host string) (*Authenticator, error) {
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, trace.BadParameter("peer authentication: %q is no IP address", host)
	}
	if len(keys.authorities) == 0 {
		return nil, trace.BadParameter("peer authentication: no key")
	}
	certificate, err := issue(keys.authorities[0], ip)
	if err != nil {
		return nil, trace.Wrap(err, "issuing this process's certificate")
	}
	a := &Authenticator{certificate: certificate}
	for _, authority := range keys.authorities {
		a.authorities = append(a.authorities, authority.Public().(ed25519.PublicKey))
	}
	return a, nil
}

// issue makes a key pair, and a certificate for it and an address.
func issue(authority ed25519.PrivateKey, ip net.IP) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: ip.String()},
		IPAddresses: []net.IP{ip}, NotBefore: notBefore, NotAfter: notAfter}
	issuer := &x509.Certificate{Subject: pkix.Name{CommonName: "dunespoke peers"}}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, public, authority)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// Client returns the client's side of TLS over a connection to a peer at an IP address.
func (a *Authenticator) Client(conn net.Conn, host string) *tls.Conn {
	config := a.config()
	config.VerifyConnection = func(state tls.ConnectionState) error {
		peer, err := a.verify(state)
		if err == nil && peer != host {
			return ErrWrongAddress
		}
		return err
	}
	return tls.Client(conn, config)
}

// Server returns the server's side of TLS over a connection.
func (a *Authenticator) Server(conn net.Conn) *tls.Conn {
	config := a.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := a.verify(state)
		return err
	}
	return tls.Server(conn, config)
}

// PeerHost returns the IP address for which the peer of an authenticated connection has shown a certificate.
func PeerHost(conn *tls.Conn) string {
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 || len(certificates[0].IPAddresses) != 1 {
		return ""
	}
	return certificates[0].IPAddresses[0].String()
}

func (a *Authenticator) config() *tls.Config {
	// Names, times and chains of authorities mean nothing here: VerifyConnection checks the signature by
	// the keys.
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.certificate},
		InsecureSkipVerify: true, SessionTicketsDisabled: true}
}

// verify returns the address for which a peer has shown a certificate under one of the keys.
func (a *Authenticator) verify(state tls.ConnectionState) (host string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	known := slices.ContainsFunc(a.authorities, func(authority ed25519.PublicKey) bool {
		return leaf.SignatureAlgorithm == x509.PureEd25519 &&
			ed25519.Verify(authority, leaf.RawTBSCertificate, leaf.Signature)
	})
	switch {
	case !known:
		return "", ErrUnknownAuthority
	case len(leaf.IPAddresses) != 1:
		return "", ErrWrongAddress
	}
	return leaf.IPAddresses[0].String(), nil
}
