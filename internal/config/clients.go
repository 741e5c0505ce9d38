package config

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"
)

// Client is a caller that may introspect tokens.
type Client struct {
	ID           string   `toml:"id"`
	Plan         string   `toml:"plan"`
	Auth         string   `toml:"auth"`               // method; empty: client_secret_basic or _post
	SecretSHA256 string   `toml:"secret_sha256"`      // SHA-256 of its secret, in hex
	SecretEnv    string   `toml:"secret_env"`         // client_secret_jwt: environment variable with its secret
	KeysFile     string   `toml:"jwks_file"`          // JWKS file with its public keys
	CertSHA256   string   `toml:"certificate_sha256"` // self_signed_tls_client_auth: SHA-256 of the DER, in hex
	Subject      string   `toml:"tls_subject"`        // tls_client_auth: exactly one of these five is set
	DNS          string   `toml:"tls_dns"`
	URI          string   `toml:"tls_uri"`
	IP           string   `toml:"tls_ip"`
	Email        string   `toml:"tls_email"`
	Claims       []string `toml:"claims"`      // returned besides "active"; empty: all
	EncryptAlg   string   `toml:"encrypt_alg"` // for signed responses; uses the key of jwks_file with use "enc"
	EncryptEnc   string   `toml:"encrypt_enc"`

	SecretHash  [sha256.Size]byte `toml:"-"`
	Certificate [sha256.Size]byte `toml:"-"`
	SharedKey   []byte            `toml:"-"`
	Keys        []jose.JSONWebKey `toml:"-"`
	EncryptKey  jose.JSONWebKey   `toml:"-"`
}

// Supported algorithms for encrypted responses.
var (
	encryptAlgs = []string{"RSA-OAEP-256", "ECDH-ES", "ECDH-ES+A256KW"}
	encryptEncs = []string{"A128GCM", "A256GCM", "A128CBC-HS256"}
)

// minSharedKeyBytes is the minimum length of a secret that signs with HMAC. RFC 7518, 3.2 requires at least
// the size of the hash output.
const minSharedKeyBytes = 32

// check validates a client's credentials, and loads its secrets and keys.
func (c *Client) check(f *faults, key string, getenv func(string) string) {
	switch c.Auth {
	case "", "client_secret_basic", "client_secret_post":
		if err := decodeHash(c.SecretSHA256, c.SecretHash[:]); err != nil {
			f.add(key+".secret_sha256", "%w", err)
		}
	case "client_secret_jwt":
		if c.SharedKey = []byte(getenv(c.SecretEnv)); len(c.SharedKey) < minSharedKeyBytes {
			f.add(key+".secret_env", "environment variable %q is not set or shorter than %d bytes",
				c.SecretEnv, minSharedKeyBytes)
		}
	case "private_key_jwt":
		if c.KeysFile == "" {
			f.add(key+".jwks_file", "required for private_key_jwt")
		}
	case "tls_client_auth":
		subjects := 0
		for _, n := range []string{c.Subject, c.DNS, c.URI, c.IP, c.Email} {
			if n != "" {
				subjects++
			}
		}
		if subjects != 1 {
			f.add(key+".tls_subject", "want exactly one of tls_subject, tls_dns, tls_uri, tls_ip and tls_email")
		}
	case "self_signed_tls_client_auth":
		if err := decodeHash(c.CertSHA256, c.Certificate[:]); err != nil {
			f.add(key+".certificate_sha256", "%w", err)
		}
	case "bearer":
	default:
		f.add(key+".auth", "unknown method %q", c.Auth)
	}
	if c.KeysFile != "" {
		var err error
		if c.Keys, err = readKeySet(c.KeysFile); err != nil {
			f.add(key+".jwks_file", "%w", err)
		}
	}
	c.checkEncryption(f, key)
}

// checkEncryption validates the algorithms for encrypted responses, and selects the client's encryption key.
func (c *Client) checkEncryption(f *faults, key string) {
	if c.EncryptAlg == "" && c.EncryptEnc == "" {
		return
	}
	if c.EncryptEnc == "" {
		c.EncryptEnc = "A128CBC-HS256" // the default of RFC 9701, 6
	}
	if !slices.Contains(encryptAlgs, c.EncryptAlg) || !slices.Contains(encryptEncs, c.EncryptEnc) {
		f.add(key+".encrypt_alg", "want encrypt_alg to be one of %v and encrypt_enc one of %v",
			encryptAlgs, encryptEncs)
		return
	}
	i := slices.IndexFunc(c.Keys, func(k jose.JSONWebKey) bool { return k.Use == "enc" })
	if i < 0 {
		f.add(key+".jwks_file", "the key set has no key with use \"enc\", which encrypted responses require")
		return
	}
	c.EncryptKey = c.Keys[i]
	_, err := jose.NewEncrypter(jose.ContentEncryption(c.EncryptEnc), jose.Recipient{
		Algorithm: jose.KeyAlgorithm(c.EncryptAlg), Key: c.EncryptKey.Key}, nil)
	if err != nil {
		f.add(key+".encrypt_alg", "%w", err)
	}
}

// checkClients validates all clients. at is the prefix of their keys in the file.
func (n *Introspection) checkClients(
	f *faults,
	at string,
	plans map[string]bool,
	getenv func(string) string,
) {
	seen := map[string]bool{}
	for i := range n.Clients {
		c := &n.Clients[i]
		key := fmt.Sprintf("%sclient[%d]", at, i)
		if c.ID == "" || seen[c.ID] {
			f.add(key+".id", "%q is empty or used by another client", c.ID)
		}
		seen[c.ID] = true
		if !plans[c.Plan] {
			f.add(key+".plan", "no plan %q", c.Plan)
		}
		if (c.Auth == "tls_client_auth" || c.Auth == "self_signed_tls_client_auth") && n.Insecure {
			f.add(key+".auth", "%s requires TLS", c.Auth)
		}
		if c.Auth == "tls_client_auth" && n.TLS.CA == "" {
			f.add(at+"tls.ca_file", "required to verify the certificate of client %q", c.ID)
		}
		if (c.Auth == "private_key_jwt" || c.Auth == "client_secret_jwt") && n.URL == "" && len(n.Audiences) == 0 {
			f.add(at+"url", "client %q requires url or audiences as the audience of its assertions", c.ID)
		}
		if c.Auth == "bearer" && n.Callers.Plan == "" {
			f.add(at+"callers.plan", "required by client %q", c.ID)
		}
		c.check(f, key, getenv)
	}
}
