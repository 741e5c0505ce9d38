package introspect

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/internal/http1"
	"dunespoke/internal/oauth/assertion"
	"dunespoke/internal/oauth/replay"
)

// Method is a client authentication method, under its name from RFC 8414.
type Method string

// Client authentication methods. A client has exactly one; Secret allows SecretBasic and SecretPost.
const (
	Secret        Method = ""
	SecretBasic   Method = "client_secret_basic"
	SecretPost    Method = "client_secret_post"
	SecretJWT     Method = "client_secret_jwt"
	PrivateKeyJWT Method = "private_key_jwt"
	TLS           Method = "tls_client_auth"
	SelfSignedTLS Method = "self_signed_tls_client_auth"
	BearerToken   Method = "bearer" // RFC 7662, 2.1: the caller's own access token
)

// Methods lists the methods that a client may be configured with.
var Methods = []Method{
	Secret,
	SecretBasic,
	SecretPost,
	SecretJWT,
	PrivateKeyJWT,
	TLS,
	SelfSignedTLS,
	BearerToken,
}

// Client is a client that may introspect tokens.
type Client struct {
	ID     string
	Plan   string
	Method Method

	SecretHash  [sha256.Size]byte // for Secret, SecretBasic, SecretPost: SHA-256 of the secret
	SharedKey   []byte            // for SecretJWT
	Keys        []jose.JSONWebKey // for PrivateKeyJWT: the client's public keys
	Name        Name              // for TLS
	Certificate [sha256.Size]byte // for SelfSignedTLS: SHA-256 of the certificate in DER

	Claims  []string    // returned to it besides "active"; nil allows all
	Encrypt *Encryption // of signed responses; nil means unencrypted
}

// Name is the subject name that a client's certificate must have. Only the first non-empty field, in the
// order of declaration, is compared (RFC 8705, 2.1.2).
type Name struct{ Subject, DNS, URI, IP, Email string }

// matches reports whether a certificate has the name.
func (n Name) matches(c *x509.Certificate) bool {
	switch {
	case n.Subject != "":
		return c.Subject.String() == n.Subject
	case n.DNS != "":
		return slices.Contains(c.DNSNames, n.DNS)
	case n.URI != "":
		return slices.ContainsFunc(c.URIs, func(u *url.URL) bool { return u.String() == n.URI })
	case n.IP != "":
		for _, ip := range c.IPAddresses {
			if ip.String() == n.IP {
				return true
			}
		}
		return false
	}
	return n.Email != "" && slices.Contains(c.EmailAddresses, n.Email)
}

// Limits on client assertions.
const (
	assertionLifetime = 5 * time.Minute
	assertionSkew     = 10 * time.Second // each clock may be off by 5 s in either direction
	maxAssertions     = 4096             // unexpired assertions remembered per client
)

// replayMemories hold the assertions that each client has used, to detect replays. They survive configuration
// changes. They are safe for concurrent use.
type replayMemories struct {
	mu       sync.Mutex
	byClient map[string]*replay.Memory
}

// forClient returns a function that calls its argument with a client's memory, under the lock. It must only
// be called for configured clients, which bounds the number of memories.
func (m *replayMemories) forClient(client string) func(func(*replay.Memory)) {
	return func(f func(*replay.Memory)) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.byClient == nil {
			m.byClient = map[string]*replay.Memory{}
		}
		if m.byClient[client] == nil {
			m.byClient[client] = replay.New(maxAssertions)
		}
		f(m.byClient[client])
	}
}

// Reasons for rejecting a client's authentication. Clients see these texts.
var (
	errMultipleMethods  = errors.New("two ways of client authentication")
	errMalformed        = errors.New("malformed credentials")
	errAuthFailed       = errors.New("client authentication failed")
	errWrongMethod      = errors.New("the client is set up with another way of authentication")
	errCertMissing      = errors.New("a certificate of the client is needed")
	errCertMismatch     = errors.New("the certificate is not the client's")
	errClientIDMismatch = errors.New("client_id is not the assertion's")
)

// credentials are the client credentials of a request.
type credentials struct {
	method Method
	id     string
	secret string // the client secret, the assertion or the bearer token, by method
}

// readCredentials extracts the client credentials of a request, which may use only one method (RFC 6749,
// 2.3). PrivateKeyJWT stands for all assertions, and TLS for all certificates.
func readCredentials(r *http1.Request, form url.Values) (s credentials, err error) {
	methods := 0
	headers := r.Header.Values("Authorization")
	if len(headers) > 1 {
		return s, errMultipleMethods
	}
	if len(headers) == 1 {
		methods++
		scheme, rest, _ := strings.Cut(headers[0], " ")
		switch {
		case strings.EqualFold(scheme, "Basic"):
			id, secret, ok := r.BasicAuth()
			var err1, err2 error
			id, err1 = url.QueryUnescape(id)
			secret, err2 = url.QueryUnescape(secret)
			if !ok || err1 != nil || err2 != nil {
				return s, errMalformed
			}
			s = credentials{SecretBasic, id, secret}
		case strings.EqualFold(scheme, "Bearer") && strings.TrimSpace(rest) != "":
			s = credentials{BearerToken, "", strings.TrimSpace(rest)}
		default:
			return s, errMalformed
		}
	}
	if form.Has("client_secret") {
		methods++
		s = credentials{SecretPost, form.Get("client_id"), form.Get("client_secret")}
	}
	if form.Has("client_assertion") || form.Has("client_assertion_type") {
		methods++
		if form.Get("client_assertion_type") != assertion.Type {
			return s, errMalformed
		}
		id, ok := assertion.Claimed(form.Get("client_assertion"))
		if !ok {
			return s, assertion.ErrMalformed
		}
		if form.Has("client_id") && form.Get("client_id") != id {
			return s, errClientIDMismatch
		}
		s = credentials{PrivateKeyJWT, id, form.Get("client_assertion")}
	}
	if methods > 1 {
		return s, errMultipleMethods
	}
	if methods == 0 && form.Has("client_id") {
		s = credentials{TLS, form.Get("client_id"), ""}
	}
	return s, nil
}

// authenticate returns the client that the credentials prove. It does not handle bearer tokens, which need an
// introspection of their own; see serveCaller.
func (s *setup) authenticate(r *http1.Request, creds credentials) (Client, error) {
	client, known := s.clients[creds.id]
	if creds.method == SecretBasic || creds.method == SecretPost {
		sum := sha256.Sum256([]byte(creds.secret))
		same := subtle.ConstantTimeCompare(sum[:], client.SecretHash[:]) == 1
		switch {
		case !known || !same:
			return Client{}, errAuthFailed
		case client.Method != Secret && client.Method != creds.method:
			return Client{}, errWrongMethod
		}
		return client, nil
	}
	if !known {
		return Client{}, errAuthFailed
	}
	switch creds.method {
	case PrivateKeyJWT:
		rules := assertion.Rules{ClientID: client.ID, Audiences: s.Audiences, Life: assertionLifetime,
			Skew: assertionSkew, Memory: s.replayMemories.forClient(client.ID)}
		switch client.Method {
		case PrivateKeyJWT:
			rules.Keys = client.Keys
		case SecretJWT:
			rules.Secret = client.SharedKey
		default:
			return Client{}, errWrongMethod
		}
		return client, assertion.Check(s.clock(), creds.secret, rules)
	case TLS:
		return client, s.checkCertificate(r, client)
	}
	return Client{}, errWrongMethod
}

// checkCertificate checks the certificate that the client presented in the TLS handshake (RFC 8705, 2).
func (s *setup) checkCertificate(r *http1.Request, client Client) error {
	if client.Method != TLS && client.Method != SelfSignedTLS {
		return errAuthFailed
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return errCertMissing
	}
	chain := r.TLS.PeerCertificates
	if client.Method == SelfSignedTLS { // trusted by its hash, whoever signed it
		sum := sha256.Sum256(chain[0].Raw)
		if subtle.ConstantTimeCompare(sum[:], client.Certificate[:]) != 1 {
			return errCertMismatch
		}
		return nil
	}
	if s.Trust == nil {
		return errCertMismatch
	}
	if err := s.Trust(chain); err != nil {
		return errCertMismatch
	}
	if !client.Name.matches(chain[0]) {
		return errCertMismatch
	}
	return nil
}

// authFailure returns the error response for a failed authentication, and logs it without the credentials.
func (s *setup) authFailure(creds credentials, err error) *http1.Answer {
	id := creds.id
	if _, known := s.clients[id]; !known {
		id = "" // don't let unauthenticated senders write arbitrary text into the log
	}
	s.Log.Warn().Str("code", "client-refused").Str("client", id).Str("method", string(creds.method)).Err(err).
		Msg("client authentication failed")
	if errors.Is(err, errMultipleMethods) || errors.Is(err, errMalformed) {
		return errorAnswer(http.StatusBadRequest, "invalid_request", err.Error())
	}
	if errors.Is(err, assertion.ErrFull) {
		return withRetryAfter(errorAnswer(http.StatusTooManyRequests, "temporarily_unavailable", err.Error()),
			time.Second)
	}
	a := errorAnswer(http.StatusUnauthorized, "invalid_client", err.Error())
	return withHeader(a, "WWW-Authenticate", `Basic realm="introspection"`)
}
