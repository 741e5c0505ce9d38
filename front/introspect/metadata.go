package introspect

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/go-jose/go-jose/v4"

	"dunespoke/internal/http1"
	"dunespoke/internal/oauth/assertion"
)

// Paths of the metadata documents.
const (
	metadataPath = "/.well-known/oauth-authorization-server" // RFC 8414, 3
	resourcePath = "/.well-known/oauth-protected-resource"   // RFC 9728, 3
	keysPath     = "/jwks"
)

// Resource is the metadata of the protected resource that bearer tokens are for (RFC 9728).
type Resource struct {
	Resource string   `json:"resource"`
	Servers  []string `json:"authorization_servers,omitempty"`
	Scopes   []string `json:"scopes_supported,omitempty"`
	Methods  []string `json:"bearer_methods_supported,omitempty"`
	Name     string   `json:"resource_name,omitempty"`
	Docs     string   `json:"resource_documentation,omitempty"`
	DPoP     []string `json:"dpop_signing_alg_values_supported,omitempty"`
	NeedDPoP bool     `json:"dpop_bound_access_tokens_required,omitempty"`
	Bound    bool     `json:"tls_client_certificate_bound_access_tokens,omitempty"`
}

// metadataAnswer answers requests for metadata documents and the JWK set. It returns nil for all other paths.
func (s *setup) metadataAnswer(r *http1.Request) *http1.Answer {
	var text []byte
	switch {
	case r.URL.Path == metadataPath && s.Issuer != "":
		text = s.metadata()
	case r.URL.Path == keysPath && s.Signer != nil:
		text = s.Signer.jwks
	case r.URL.Path == resourcePath && s.Resource != nil:
		text, _ = json.Marshal(s.Resource)
	default:
		return nil
	}
	if r.Method != http.MethodGet {
		return withHeader(http1.Plain(http.StatusMethodNotAllowed, "method not allowed"), "Allow", "GET")
	}
	return &http1.Answer{Status: http.StatusOK, Body: text, Header: [][2]string{
		{"Content-Type", "application/json"}, {"Cache-Control", "max-age=60"}}}
}

// metadata returns the RFC 8414 metadata of a server that only supports introspection.
func (s *setup) metadata() []byte {
	base := strings.TrimSuffix(s.Issuer, "/")
	fields := map[string]any{"issuer": s.Issuer, "introspection_endpoint": base + s.Path,
		"response_types_supported": []string{}}
	var methods, algorithms []string
	add := func(names ...Method) {
		for _, n := range names {
			if !slices.Contains(methods, string(n)) {
				methods = append(methods, string(n))
			}
		}
	}
	addAll := func(list []jose.SignatureAlgorithm) {
		for _, a := range list {
			if !slices.Contains(algorithms, string(a)) {
				algorithms = append(algorithms, string(a))
			}
		}
	}
	for _, c := range s.Clients {
		switch c.Method {
		case Secret:
			add(SecretBasic, SecretPost)
		case SecretJWT:
			add(c.Method)
			addAll(assertion.SecretAlgorithms)
		case PrivateKeyJWT:
			add(c.Method)
			addAll(assertion.KeyAlgorithms)
		default:
			add(c.Method)
		}
	}
	fields["introspection_endpoint_auth_methods_supported"] = methods
	if len(algorithms) > 0 {
		fields["introspection_endpoint_auth_signing_alg_values_supported"] = algorithms
	}
	if s.Signer != nil {
		fields["jwks_uri"] = base + keysPath
		fields["introspection_signing_alg_values_supported"] = slices.Compact(
			slices.Sorted(slices.Values(s.Signer.algorithms)),
		)
		fields["introspection_encryption_alg_values_supported"] = []string{
			"RSA-OAEP-256",
			"ECDH-ES",
			"ECDH-ES+A256KW",
		}
		fields["introspection_encryption_enc_values_supported"] = []string{"A128GCM", "A256GCM", "A128CBC-HS256"}
	}
	text, _ := json.Marshal(fields)
	return text
}
