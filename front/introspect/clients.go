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

// Method is a way of client authentication, by the name that RFC 8414 gives it.
type Method string

// The methods. A client has one of them; Secret stands for the first two.
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

// Methods are all that a client may be set up with.
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

// Client may ask questions.
type Client struct {
	ID     string
	Plan   string
	Method Method

	SecretHash  [sha256.Size]byte // of Secret, SecretBasic and SecretPost: SHA-256 of the secret
	SharedKey   []byte            // of SecretJWT
	Keys        []jose.JSONWebKey // of PrivateKeyJWT: public ones
	Name        Name              // of TLS
	Certificate [sha256.Size]byte // of SelfSignedTLS: SHA-256 of the certificate, DER

	Claims  []string    // that it is told beside "active"; nil: all
	Encrypt *Encryption // of signed answers; nil: none
}

// Name is what a client's certificate must have in it: one of these (RFC 8705, 2.1.2).
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

// Limits on assertions.
const (
	assertionLife = 5 * time.Minute
	assertionSkew = 10 * time.Second // clocks may be 5 s off, either way
	assertionMost = 4096             // a client's that are remembered
)

// memories hold what each client's assertions must not repeat. They outlive changes of the configuration.
type memories struct {
	mu  sync.Mutex
	all map[string]*replay.Memory
}

// of returns the way to a client's memory. Only clients that are set up have one, so that there are few.
func (m *memories) of(client string) func(func(*replay.Memory)) {
	return func(f func(*replay.Memory)) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.all == nil {
			m.all = map[string]*replay.Memory{}
		}
		if m.all[client] == nil {
			m.all[client] = replay.New(assertionMost)
		}
		f(m.all[client])
	}
}

// What is wrong with a client's authentication.
var (
	errTwoWays    = errors.New("two ways of client authentication")
	errMalformed  = errors.New("malformed credentials")
	errNoClient   = errors.New("client authentication failed")
	errNotItsWay  = errors.New("the client is set up with another way of authentication")
	errNoCert     = errors.New("a certificate of the client is needed")
	errWrongCert  = errors.New("the certificate is not the client's")
	errOtherShown = errors.New("client_id is not the assertion's")
)

// shown is how a request says who asks.
type shown struct {
	method Method
	id     string
	secret string // of SecretBasic and SecretPost, or the assertion, or the bearer token
}

// show reads how a request says who asks. Only one way may be used at a time (RFC 6749, 2.3).
func show(r *http1.Request, form url.Values) (s shown, err error) {
	ways := 0
	headers := r.Header.Values("Authorization")
	if len(headers) > 1 {
		return s, errTwoWays
	}
	if len(headers) == 1 {
		ways++
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
			s = shown{SecretBasic, id, secret}
		case strings.EqualFold(scheme, "Bearer") && strings.TrimSpace(rest) != "":
			s = shown{BearerToken, "", strings.TrimSpace(rest)}
		default:
			return s, errMalformed
		}
	}
	if form.Has("client_secret") {
		ways++
		s = shown{SecretPost, form.Get("client_id"), form.Get("client_secret")}
	}
	if form.Has("client_assertion") || form.Has("client_assertion_type") {
		ways++
		if form.Get("client_assertion_type") != assertion.Type {
			return s, errMalformed
		}
		id, ok := assertion.Claimed(form.Get("client_assertion"))
		if !ok {
			return s, assertion.ErrMalformed
		}
		if form.Has("client_id") && form.Get("client_id") != id {
			return s, errOtherShown
		}
		s = shown{PrivateKeyJWT, id, form.Get("client_assertion")}
	}
	if ways > 1 {
		return s, errTwoWays
	}
	if ways == 0 && form.Has("client_id") {
		s = shown{TLS, form.Get("client_id"), ""}
	}
	return s, nil
}

// authenticate tells which client asks. A bearer token is not looked at here: that takes a question of its
// own.
func (s *setup) authenticate(r *http1.Request, by shown) (Client, error) {
	client, known := s.clients[by.id]
	if by.method == SecretBasic || by.method == SecretPost {
		sum := sha256.Sum256([]byte(by.secret))
		same := subtle.ConstantTimeCompare(sum[:], client.SecretHash[:]) == 1
		switch {
		case !known || !same:
			return Client{}, errNoClient
		case client.Method != Secret && client.Method != by.method:
			return Client{}, errNotItsWay
		}
		return client, nil
	}
	if !known {
		return Client{}, errNoClient
	}
	switch by.method {
	case PrivateKeyJWT:
		rules := assertion.Rules{ClientID: client.ID, Audiences: s.Audiences, Life: assertionLife,
			Skew: assertionSkew, Memory: s.memories.of(client.ID)}
		switch client.Method {
		case PrivateKeyJWT:
			rules.Keys = client.Keys
		case SecretJWT:
			rules.Secret = client.SharedKey
		default:
			return Client{}, errNotItsWay
		}
		return client, assertion.Check(s.clock(), by.secret, rules)
	case TLS:
		return client, s.byCertificate(r, client)
	}
	return Client{}, errNotItsWay
}

// byCertificate checks the certificate that the client showed in the handshake (RFC 8705, 2).
func (s *setup) byCertificate(r *http1.Request, client Client) error {
	if client.Method != TLS && client.Method != SelfSignedTLS {
		return errNoClient
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return errNoCert
	}
	chain := r.TLS.PeerCertificates
	if client.Method == SelfSignedTLS { // trusted for itself, whoever signed it
		sum := sha256.Sum256(chain[0].Raw)
		if subtle.ConstantTimeCompare(sum[:], client.Certificate[:]) != 1 {
			return errWrongCert
		}
		return nil
	}
	if s.Trust == nil {
		return errWrongCert
	}
	if err := s.Trust(chain); err != nil {
		return errWrongCert
	}
	if !client.Name.matches(chain[0]) {
		return errWrongCert
	}
	return nil
}

// refuse words what is wrong with a client's authentication, and logs it without what it showed.
func (s *setup) refuse(by shown, err error) *http1.Answer {
	id := by.id
	if _, known := s.clients[id]; !known {
		id = "" // strangers don't write our log
	}
	s.Log.Warn().Str("code", "client-refused").Str("client", id).Str("method", string(by.method)).Err(err).
		Msg("not let in")
	if errors.Is(err, errTwoWays) || errors.Is(err, errMalformed) {
		return problemOf(http.StatusBadRequest, "invalid_request", err.Error())
	}
	if errors.Is(err, assertion.ErrFull) {
		return withRetry(problemOf(http.StatusTooManyRequests, "temporarily_unavailable", err.Error()), time.Second)
	}
	a := problemOf(http.StatusUnauthorized, "invalid_client", err.Error())
	return withHeader(a, "WWW-Authenticate", `Basic realm="introspection"`)
}
