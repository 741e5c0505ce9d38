package introspect

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/url"

	"dunespoke/internal/http1"
)

// Client may ask questions.
type Client struct {
	ID     string
	Secret [sha256.Size]byte // SHA-256 of its secret
	Plan   string
}

// authenticate tells which client asks, by client_secret_basic or client_secret_post (RFC 6749, 2.3.1).
func (s *setup) authenticate(r *http1.Request, form url.Values) (Client, *http1.Answer) {
	id, secret, basic := r.BasicAuth()
	if basic {
		if form.Has("client_secret") {
			return Client{}, problemOf(400, "invalid_request", "two ways of client authentication")
		}
		var err1, err2 error
		id, err1 = url.QueryUnescape(id)
		secret, err2 = url.QueryUnescape(secret)
		if err := errors.Join(err1, err2); err != nil {
			return Client{}, problemOf(400, "invalid_request", "malformed credentials")
		}
	} else {
		id, secret = form.Get("client_id"), form.Get("client_secret")
	}
	client, known := s.clients[id]
	sum := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(sum[:], client.Secret[:]) != 1 || !known {
		a := problemOf(401, "invalid_client", "client authentication failed")
		return Client{}, withHeader(a, "WWW-Authenticate", `Basic realm="introspection"`)
	}
	return client, nil
}
