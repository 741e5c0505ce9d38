package config

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"
)

// Client may ask about tokens.
type Client struct {
	ID           string   `toml:"id"`
	Plan         string   `toml:"plan"`
	Auth         string   `toml:"auth"`               // a method's name; empty: client_secret_basic or _post
	SecretSHA256 string   `toml:"secret_sha256"`      // of its secret, in hex
	SecretEnv    string   `toml:"secret_env"`         // client_secret_jwt: the variable that holds its secret
	KeysFile     string   `toml:"jwks_file"`          // its public keys
	CertSHA256   string   `toml:"certificate_sha256"` // self_signed_tls_client_auth: of the DER, in hex
	Subject      string   `toml:"tls_subject"`        // tls_client_auth: one of these five
	DNS          string   `toml:"tls_dns"`
	URI          string   `toml:"tls_uri"`
	IP           string   `toml:"tls_ip"`
	Email        string   `toml:"tls_email"`
	Claims       []string `toml:"claims"`      // that it is told beside "active"; none named: all
	EncryptAlg   string   `toml:"encrypt_alg"` // of signed answers, to a key of jwks_file with use "enc"
	EncryptEnc   string   `toml:"encrypt_enc"`

	SecretHash  [sha256.Size]byte `toml:"-"`
	Certificate [sha256.Size]byte `toml:"-"`
	SharedKey   []byte            `toml:"-"`
	Keys        []jose.JSONWebKey `toml:"-"`
	EncryptKey  jose.JSONWebKey   `toml:"-"`
}

// Algorithms that encrypt answers.
var (
	encryptAlgs = []string{"RSA-OAEP-256", "ECDH-ES", "ECDH-ES+A256KW"}
	encryptEncs = []string{"A128GCM", "A256GCM", "A128CBC-HS256"}
)

// sharedKeyLeast is the length in bytes of a secret that signs: RFC 7518, 3.2 asks for that of the hash.
const sharedKeyLeast = 32

// check names what is wrong with a client, and reads its secrets and keys.
func (c *Client) check(f *faults, key string, getenv func(string) string) {
	switch c.Auth {
	case "", "client_secret_basic", "client_secret_post":
		if err := decodeHash(c.SecretSHA256, c.SecretHash[:]); err != nil {
			f.add(key+".secret_sha256", "%w", err)
		}
	case "client_secret_jwt":
		if c.SharedKey = []byte(getenv(c.SecretEnv)); len(c.SharedKey) < sharedKeyLeast {
			f.add(key+".secret_env", "%q is not set, or under %d bytes", c.SecretEnv, sharedKeyLeast)
		}
	case "private_key_jwt":
		if c.KeysFile == "" {
			f.add(key+".jwks_file", "it is needed for private_key_jwt")
		}
	case "tls_client_auth":
		named := 0
		for _, n := range []string{c.Subject, c.DNS, c.URI, c.IP, c.Email} {
			if n != "" {
				named++
			}
		}
		if named != 1 {
			f.add(key+".tls_subject", "want one of tls_subject, tls_dns, tls_uri, tls_ip and tls_email")
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

func (c *Client) checkEncryption(f *faults, key string) {
	if c.EncryptAlg == "" && c.EncryptEnc == "" {
		return
	}
	if c.EncryptEnc == "" {
		c.EncryptEnc = "A128CBC-HS256" // RFC 9701, 6: the one that is meant where none is named
	}
	if !slices.Contains(encryptAlgs, c.EncryptAlg) || !slices.Contains(encryptEncs, c.EncryptEnc) {
		f.add(key+".encrypt_alg", "want one of %v with one of %v", encryptAlgs, encryptEncs)
		return
	}
	i := slices.IndexFunc(c.Keys, func(k jose.JSONWebKey) bool { return k.Use == "enc" })
	if i < 0 {
		f.add(key+".jwks_file", "it has no key with use \"enc\" to encrypt to")
		return
	}
	c.EncryptKey = c.Keys[i]
	_, err := jose.NewEncrypter(jose.ContentEncryption(c.EncryptEnc), jose.Recipient{
		Algorithm: jose.KeyAlgorithm(c.EncryptAlg), Key: c.EncryptKey.Key}, nil)
	if err != nil {
		f.add(key+".encrypt_alg", "%w", err)
	}
}

// checkClients names what is wrong with the clients.
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
			f.add(key+".id", "%q is empty or another client's", c.ID)
		}
		seen[c.ID] = true
		if !plans[c.Plan] {
			f.add(key+".plan", "no plan %q", c.Plan)
		}
		if (c.Auth == "tls_client_auth" || c.Auth == "self_signed_tls_client_auth") && n.Insecure {
			f.add(key+".auth", "%s needs TLS", c.Auth)
		}
		if c.Auth == "tls_client_auth" && n.TLS.CA == "" {
			f.add(at+"tls.ca_file", "client %q needs roots for its certificate", c.ID)
		}
		if (c.Auth == "private_key_jwt" || c.Auth == "client_secret_jwt") && n.URL == "" && len(n.Audiences) == 0 {
			f.add(at+"url", "client %q needs it, or audiences, to name in its assertions", c.ID)
		}
		if c.Auth == "bearer" && n.Callers.Plan == "" {
			f.add(at+"callers.plan", "client %q needs it", c.ID)
		}
		c.check(f, key, getenv)
	}
}
