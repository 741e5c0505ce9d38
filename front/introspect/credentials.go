package introspect

import (
	"encoding/base64"
	"net/url"
	"time"

	"dunespoke/internal/oauth/assertion"
)

// Credential authenticates a query to a service: it adds parameters to the form, and returns the value of the
// Authorization header, or an empty string if the method uses none. It must be safe for concurrent use.
type Credential func(form url.Values) (authorization string, err error)

// BasicCredential returns a Credential for client_secret_basic (RFC 6749, 2.3.1).
func BasicCredential(id, secret string) Credential {
	pair := url.QueryEscape(id) + ":" + url.QueryEscape(secret)
	header := "Basic " + base64.StdEncoding.EncodeToString([]byte(pair))
	return func(url.Values) (string, error) { return header, nil }
}

// PostCredential returns a Credential for client_secret_post.
func PostCredential(id, secret string) Credential {
	return func(form url.Values) (string, error) {
		form.Set("client_id", id)
		form.Set("client_secret", secret)
		return "", nil
	}
}

// AssertionCredential returns a Credential for private_key_jwt or client_secret_jwt (RFC 7523). Each call
// makes a new assertion.
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

// CertificateCredential returns a Credential for tls_client_auth and self_signed_tls_client_auth (RFC 8705).
// The certificate is presented in the TLS handshake; the form only names the client.
func CertificateCredential(id string) Credential {
	return func(form url.Values) (string, error) {
		form.Set("client_id", id)
		return "", nil
	}
}

// BearerCredential returns a Credential that sends this program's own access token (RFC 7662, 2.1).
func BearerCredential(token string) Credential {
	return func(url.Values) (string, error) { return "Bearer " + token, nil }
}
