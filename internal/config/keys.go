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
	Alg  string `toml:"alg"`  // signature algorithm; empty: the default for the type of key

	JWK jose.JSONWebKey `toml:"-"`
}

// Errors of private keys.
var (
	errNoPEM   = errors.New("the file has no PEM block")
	errKeyType = errors.New("unsupported type of key")
	errWeakRSA = errors.New("the RSA key has fewer than 2048 bits")
)

// read loads the private key from the file and stores it in JWK.
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
	alg, err := defaultAlgorithm(private)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	if k.Alg != "" {
		alg = k.Alg
	}
	k.JWK = jose.JSONWebKey{Key: private, KeyID: k.ID, Algorithm: alg, Use: "sig"}
	return nil
}

// defaultAlgorithm returns the signature algorithm for a type of key.
func defaultAlgorithm(key crypto.PrivateKey) (string, error) {
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
	return "", errKeyType
}

// readKeySet reads a JWKS file of public keys.
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
