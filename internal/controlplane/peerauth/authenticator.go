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
	// ErrNoCertificate is returned for a peer that presents no certificate.
	ErrNoCertificate = errors.New("peerauth: no certificate")
	// ErrUnknownAuthority is returned for a certificate that was not issued under any key of this process.
	ErrUnknownAuthority = errors.New("peerauth: certificate issued under an unknown key")
	// ErrWrongAddress is returned for a certificate that is not for exactly one address, or is for an address
	// other than the dialled one.
	ErrWrongAddress = errors.New("peerauth: certificate is for another address")
)

// A certificate is valid for as long as the key that it was issued under. Its validity does not depend on
// the time of day, because the clock of any machine may be wrong.
var (
	notBefore = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// Authenticator authenticates both ends of connections with a fixed set of keys. It is safe for concurrent
// use.
type Authenticator struct {
	certificate tls.Certificate
	authorities []ed25519.PublicKey
}

// New returns an Authenticator for the process at the IP address host. It issues a certificate for host
// under the first key and accepts certificates issued under any of the keys.
func New(keys Keys, host string) (*Authenticator, error) {
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, trace.BadParameter("peer authentication: %q is not an IP address", host)
	}
	if len(keys.authorities) == 0 {
		return nil, trace.BadParameter("peer authentication: no key given")
	}
	certificate, err := issueCertificate(keys.authorities[0], ip)
	if err != nil {
		return nil, trace.Wrap(err, "issuing this process's certificate")
	}
	a := &Authenticator{certificate: certificate}
	for _, authority := range keys.authorities {
		a.authorities = append(a.authorities, authority.Public().(ed25519.PublicKey))
	}
	return a, nil
}

// issueCertificate generates a key pair and a certificate for it and an IP address, signed by authority.
func issueCertificate(authority ed25519.PrivateKey, ip net.IP) (tls.Certificate, error) {
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

// Client returns the client side of a TLS connection over conn. The handshake fails unless the peer's
// certificate is for the IP address host.
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

// Server returns the server side of a TLS connection over conn. The handshake requires a client certificate.
func (a *Authenticator) Server(conn net.Conn) *tls.Conn {
	config := a.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := a.verify(state)
		return err
	}
	return tls.Server(conn, config)
}

// PeerHost returns the IP address in the certificate of the peer of an authenticated connection, or an
// empty string if there is not exactly one.
func PeerHost(conn *tls.Conn) string {
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 || len(certificates[0].IPAddresses) != 1 {
		return ""
	}
	return certificates[0].IPAddresses[0].String()
}

// config returns the TLS settings that clients and servers share. The caller must set VerifyConnection.
func (a *Authenticator) config() *tls.Config {
	// InsecureSkipVerify disables the verification of names, validity periods and certificate chains, which are
	// not used here. VerifyConnection checks the signature against the keys instead.
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.certificate},
		InsecureSkipVerify: true, SessionTicketsDisabled: true}
}

// verify checks that the peer's certificate was issued under one of the keys and returns the address in it.
func (a *Authenticator) verify(state tls.ConnectionState) (host string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	trusted := slices.ContainsFunc(a.authorities, func(authority ed25519.PublicKey) bool {
		return leaf.SignatureAlgorithm == x509.PureEd25519 &&
			ed25519.Verify(authority, leaf.RawTBSCertificate, leaf.Signature)
	})
	switch {
	case !trusted:
		return "", ErrUnknownAuthority
	case len(leaf.IPAddresses) != 1:
		return "", ErrWrongAddress
	}
	return leaf.IPAddresses[0].String(), nil
}
