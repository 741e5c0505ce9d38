package config

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/internal/oauth/assertion"
)

// Key names a private key.
type Key struct {
	File string `toml:"file"` // PEM, PKCS #8
	ID   string `toml:"id"`   // kid
	Alg  string `toml:"alg"`  // empty: the usual one of its kind

	JWK jose.JSONWebKey `toml:"-"`
}

// What may be wrong with a key.
var (
	errNoPEM   = errors.New("no PEM block in it")
	errKind    = errors.New("a kind of key that is not used here")
	errWeakRSA = errors.New("an RSA key of less than 2048 bits")
)

// read reads the key.
func (k *Key) read() error {
	text, err := os.ReadFile(k.File)
	if err != nil {
		return err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return fmt.Errorf("%s: %w", k.File, errNoPEM)
	}
	private, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	alg, err := usual(private)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	if k.Alg != "" {
		alg = k.Alg
	}
	k.JWK = jose.JSONWebKey{Key: private, KeyID: k.ID, Algorithm: alg, Use: "sig"}
	return nil
}

// usual is the signature algorithm that goes with a kind of key.
func usual(key crypto.PrivateKey) (string, error) {
	switch key := key.(type) {
	case *ecdsa.PrivateKey:
		switch key.Curve.Params().BitSize {
		case 256:
			return string(jose.ES256), nil
		case 384:
			return string(jose.ES384), nil
		case 521:
			return string(jose.ES512), nil
		}
	case *rsa.PrivateKey:
		if key.N.BitLen() < 2048 {
			return "", errWeakRSA
		}
		return string(jose.RS256), nil
	case ed25519.PrivateKey:
		return string(jose.EdDSA), nil
	}
	return "", errKind
}

// readKeySet reads a file with a JWKS of public keys.
func readKeySet(path string) ([]jose.JSONWebKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := assertion.PublicKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}
