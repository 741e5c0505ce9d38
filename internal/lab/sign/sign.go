// Package sign makes keys and JWTs for tests, whatever is in them.
package sign

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"testing"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
)

// Key makes a key for ES256.
func Key(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// JWT signs claims. typ and kid are left out where they are empty; embed puts the public key into the head.
func JWT(t testing.TB, alg jose.SignatureAlgorithm, key any, typ, kid string, embed bool, claims any) string {
	t.Helper()
	o := &jose.SignerOptions{EmbedJWK: embed}
	if typ != "" {
		o = o.WithType(jose.ContentType(typ))
	}
	if kid != "" {
		o = o.WithHeader("kid", kid)
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: alg, Key: key}, o)
	if err != nil {
		t.Fatal(err)
	}
	text, err := jwt.Signed(signer).Claims(claims).Serialize()
	if err != nil {
		t.Fatal(err)
	}
	return text
}
