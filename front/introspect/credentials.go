package introspect

import (
	"encoding/base64"
	"net/url"
	"time"

	"dunespoke/internal/oauth/assertion"
)

// Credential shows a service who asks: it adds to the form of a question, and returns the Authorization
// header, if there is one. It may be called from several goroutines.
type Credential func(form url.Values) (authorization string, err error)

// BasicCredential is client_secret_basic (RFC 6749, 2.3.1).
func BasicCredential(id, secret string) Credential {
	pair := url.QueryEscape(id) + ":" + url.QueryEscape(secret)
	header := "Basic " + base64.StdEncoding.EncodeToString([]byte(pair))
	return func(url.Values) (string, error) { return header, nil }
}

// PostCredential is client_secret_post.
func PostCredential(id, secret string) Credential {
	return func(form url.Values) (string, error) {
		form.Set("client_id", id)
		form.Set("client_secret", secret)
		return "", nil
	}
}

// AssertionCredential is private_key_jwt or client_secret_jwt (RFC 7523), with a new assertion each time.
func AssertionCredential(m *assertion.Maker) Credential {
	return func(form url.Values) (string, error) {
		text, err := m.Make(time.Duration(time.Now().UnixNano()))
		if err != nil {
			return "", err
		}
		form.Set("client_id", m.ClientID)
		form.Set("client_assertion_type", assertion.Type)
		form.Set("client_assertion", text)
		return "", nil
	}
}

// CertificateCredential is tls_client_auth and its self-signed sister (RFC 8705): the certificate is shown
// in the handshake, and the form names the client.
func CertificateCredential(id string) Credential {
	return func(form url.Values) (string, error) {
		form.Set("client_id", id)
		return "", nil
	}
}

// BearerCredential is an access token of this program's own (RFC 7662, 2.1).
func BearerCredential(token string) Credential {
	return func(url.Values) (string, error) { return "Bearer " + token, nil }
}
