// Package ca is a certificate authority for tests and measurements: it writes certificates and keys to files
// of a directory, as PEM.
package ca

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Authority signs certificates.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	last atomic.Int64
}

// Pair names the files of a certificate and its key.
type Pair struct{ Cert, Key string }

// New makes an authority whose root is in the file root.pem of a directory.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	a := &Authority{dir: dir, key: key}
	root := &x509.Certificate{Subject: pkix.Name{CommonName: "root"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(24 * time.Hour)}
	if a.cert, err = a.sign(root, root, &key.PublicKey); err != nil {
		return nil, err
	}
	return a, writePEM(a.Root(), "CERTIFICATE", a.cert.Raw)
}

// Root is the file of the authority's own certificate.
func (a *Authority) Root() string { return filepath.Join(a.dir, "root.pem") }

// Last is the serial number of the certificate made last.
func (a *Authority) Last() int64 { return a.last.Load() }

// Issue makes a certificate for a name, or for an IP address, that ends after a life, which may be below 0.
// Its files take the place of those made for the name before, one after the other.
func (a *Authority) Issue(name string, life time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certificate of %s: %w", name, err)
	}
	c := &x509.Certificate{Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(life),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	if ip := net.ParseIP(name); ip != nil {
		c.IPAddresses = []net.IP{ip}
	} else {
		c.DNSNames = []string{name}
	}
	if c, err = a.sign(c, a.cert, &key.PublicKey); err != nil {
		return Pair{}, err
	}
	p := Pair{filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key")}
	if err := writePEM(p.Cert, "CERTIFICATE", c.Raw); err != nil {
		return Pair{}, err
	}
	return p, WriteKey(p.Key, key)
}

func (a *Authority) sign(c, parent *x509.Certificate, public crypto.PublicKey) (*x509.Certificate, error) {
	c.SerialNumber, c.NotBefore = big.NewInt(a.last.Add(1)), time.Now().Add(-48*time.Hour)
	raw, err := x509.CreateCertificate(rand.Reader, c, parent, public, a.key)
	if err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", c.Subject.CommonName, err)
	}
	return x509.ParseCertificate(raw)
}

// WriteKey writes a private key to a file.
func WriteKey(path string, key crypto.PrivateKey) error {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("key %s: %w", path, err)
	}
	return writePEM(path, "PRIVATE KEY", raw)
}

func writePEM(path, kind string, raw []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
