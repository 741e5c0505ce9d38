package conform

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
)

// checks contains all checks, ordered by RFC and section.
var checks = []check{
	{"7662-1", "RFC 7662, 2.1", "a question by POST and form is answered with 200", activeToken},
	{"7662-2", "RFC 7662, 2.1", "the endpoint requires authorization", authorization},
	{"7662-3", "RFC 7662, 2.1", "token is required", tokenRequired},
	{"7662-4", "RFC 7662, 2.1", "a token_type_hint that does not fit is no obstacle", wrongHint},
	{"7662-5", "RFC 7662, 2.1", "parameters that are not known are ignored", unknownParameter},
	{"7662-6", "RFC 7662, 2.1", "a question by GET is not answered", getRejected},
	{"7662-7", "RFC 7662, 2.2", "an answer is JSON, and says so", responseIsJSON},
	{"7662-8", "RFC 7662, 2.2", "active is there, and a boolean", activeIsBoolean},
	{"7662-9", "RFC 7662, 2.2", "members of an active token have the types that are defined", memberTypes},
	{"7662-10", "RFC 7662, 2.2", "an active token has not expired", notExpired},
	{"7662-11", "RFC 7662, 2.2", "an unknown token is not an error, but not active", unknownToken},
	{"7662-12", "RFC 7662, 2.2", "nothing else is told of a token that is not active", inactiveOnly},
	{"7662-13", "RFC 7662, 4", "TLS 1.2 or newer, and no older", tlsVersions},
	{"6749-1", "RFC 6749, 5.2", "a wrong secret is 401 with invalid_client", wrongSecret},
	{"6749-2", "RFC 6749, 5.2", "a client that used Basic is challenged by it", basicChallenge},
	{"6749-3", "RFC 6749, 5.2", "an error is JSON, and says so", errorIsJSON},
	{"6749-4", "RFC 6749, 5.2", "a parameter that comes twice is invalid_request", duplicateParameter},
	{"6749-5", "RFC 6749, 2.3", "two ways of client authentication are invalid_request", twoMethods},
	{"6749-6", "RFC 6749, 2.3.1", "credentials in the URL let nobody in", credentialsInURL},
	{"6749-7", "RFC 6749, 5.2", "a body that is not a form is no question", nonFormBody},
	{"6750-1", "RFC 6750, 3.1", "a bearer token that is not valid is 401", invalidBearer},
	{"6750-2", "RFC 6750, 3", "and is challenged by Bearer with invalid_token", bearerChallenge},
	{"6750-3", "RFC 6750, 2.3", "a bearer token in the URL lets nobody in", bearerInURL},
	{"8414-1", "RFC 8414, 3", "there is metadata, as JSON", hasMetadata},
	{"8414-2", "RFC 8414, 3.3", "its issuer is the one asked", metadataIssuer},
	{"8414-3", "RFC 8414, 2", "it names the introspection endpoint", metadataEndpoint},
	{"8414-4", "RFC 8414, 2", "it names the endpoint's methods of authentication", metadataMethods},
	{
		"8414-5",
		"RFC 8414, 2",
		"algorithms of assertions are named where needed, and never none",
		metadataAlgorithms,
	},
	{"8414-6", "RFC 8414, 2", "its JWKS can be read, and holds public keys alone", metadataKeys},
	{"9701-1", "RFC 9701, 4", "a signed answer is given where it is asked for", signedType},
	{"9701-2", "RFC 9701, 5", "its typ is token-introspection+jwt", signedTyp},
	{"9701-3", "RFC 9701, 5", "it is signed by a key of the JWKS", signedByKey},
	{"9701-4", "RFC 9701, 5", "iss is the issuer", signedIss},
	{"9701-5", "RFC 9701, 5", "aud is the client", signedAud},
	{"9701-6", "RFC 9701, 5", "iat is there", signedIat},
	{"9701-7", "RFC 9701, 5", "token_introspection holds the answer", signedResponse},
	{"9701-8", "RFC 9701, 5", "no sub and no exp that could make it pass for another JWT", signedNoSub},
	{"9701-9", "RFC 9701, 5", "nothing else is told of a token that is not active", signedInactive},
	{"9701-10", "RFC 9701, 4", "an answer is JSON where that is asked for", jsonOnRequest},
	{"8705-1", "RFC 8705, 2", "a certificate of the client lets it in", byCertificate},
	{"8705-2", "RFC 8705, 2", "without a certificate the client is invalid_client", noCertificate},
	{"8705-3", "RFC 8705, 2", "another certificate is invalid_client", otherCertificate},
}

// activeToken checks that the configured token is reported as active, with status 200.
func activeToken(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.Token)
	if err != nil {
		return err
	}
	if err := r.wantStatus(http.StatusOK); err != nil {
		return err
	}
	if !r.active() {
		return errors.New("the response does not report the given active token as active")
	}
	return nil
}

// authorization checks that a request without credentials gets status 401.
func authorization(ctx context.Context, s *session) error {
	r, err := s.post(ctx, url.Values{"token": {s.Token}})
	if err != nil {
		return err
	}
	return r.wantStatus(http.StatusUnauthorized)
}

// tokenRequired checks that a request without a token is an invalid_request.
func tokenRequired(ctx context.Context, s *session) error {
	r, err := s.post(ctx, url.Values{"token_type_hint": {"access_token"}}, s.basic)
	if err != nil {
		return err
	}
	return r.wantError(http.StatusBadRequest, "invalid_request")
}

// stillActive checks that the active token is reported as active despite an additional parameter.
func stillActive(ctx context.Context, s *session, name, value string) error {
	r, err := s.post(ctx, url.Values{"token": {s.Token}, name: {value}}, s.basic)
	if err == nil && !r.active() {
		err = fmt.Errorf("status %d, or not active, with %s=%s", r.status, name, value)
	}
	return err
}

func wrongHint(ctx context.Context, s *session) error {
	return errors.Join(stillActive(ctx, s, "token_type_hint", "refresh_token"),
		stillActive(ctx, s, "token_type_hint", "no_such_type"))
}

func unknownParameter(ctx context.Context, s *session) error {
	return stillActive(ctx, s, "no_such_parameter", "x")
}

// getRejected checks that introspection by GET is rejected.
func getRejected(ctx context.Context, s *session) error {
	r, err := send(ctx, s.client, http.MethodGet, s.URL+"?token="+url.QueryEscape(s.Token), "", s.basic)
	if err == nil && r.status < 400 {
		err = fmt.Errorf("status %d", r.status)
	}
	return err
}

// mediaType returns the media type of the response.
func (r *reply) mediaType() string {
	mediaType, _, _ := mime.ParseMediaType(r.header.Get("Content-Type"))
	return mediaType
}

// wantJSON returns an error unless the response is a JSON object with the media type of JSON.
func (r *reply) wantJSON() error {
	if r.mediaType() != "application/json" {
		return fmt.Errorf("Content-Type %q", r.header.Get("Content-Type"))
	}
	_, err := r.object()
	return err
}

func responseIsJSON(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.Token)
	if err != nil {
		return err
	}
	return r.wantJSON()
}

// object introspects a token, and decodes the response as a JSON object.
func (s *session) object(ctx context.Context, token string) (map[string]any, error) {
	r, err := s.introspect(ctx, token)
	if err != nil {
		return nil, err
	}
	return r.object()
}

func activeIsBoolean(ctx context.Context, s *session) error {
	for _, token := range []string{s.Token, s.inactive} {
		o, err := s.object(ctx, token)
		if err != nil {
			return err
		}
		if _, ok := o["active"].(bool); !ok {
			return fmt.Errorf("active is %v", o["active"])
		}
	}
	return nil
}

// memberTypes checks the JSON types of the members that RFC 7662 defines.
func memberTypes(ctx context.Context, s *session) error {
	o, err := s.object(ctx, s.Token)
	if err != nil {
		return err
	}
	for name, v := range o {
		ok := true
		switch name {
		case "scope", "client_id", "username", "token_type", "sub", "iss", "jti":
			_, ok = v.(string)
		case "exp", "iat", "nbf":
			n, isNumber := v.(float64)
			ok = isNumber && n == float64(int64(n)) && n > 0
		case "aud":
			switch v := v.(type) {
			case string:
			case []any:
				ok = !slices.ContainsFunc(v, func(x any) bool { _, isString := x.(string); return !isString })
			default:
				ok = false
			}
		}
		if !ok {
			return fmt.Errorf("%s is %v", name, v)
		}
	}
	return nil
}

// notExpired checks that exp of an active token is not more than a minute in the past.
func notExpired(ctx context.Context, s *session) error {
	o, err := s.object(ctx, s.Token)
	if err != nil {
		return err
	}
	if exp, ok := o["exp"].(float64); ok && o["active"] == true &&
		exp < float64(time.Now().Add(-time.Minute).Unix()) {
		return fmt.Errorf("the token is active, but exp is %.0f, in the past", exp)
	}
	return nil
}

func unknownToken(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.inactive)
	if err != nil {
		return err
	}
	if err := r.wantStatus(http.StatusOK); err != nil {
		return err
	}
	o, err := r.object()
	if err == nil && o["active"] != false {
		err = fmt.Errorf("active is %v", o["active"])
	}
	return err
}

// inactiveOnly checks that a response about an inactive token has no member besides active.
func inactiveOnly(ctx context.Context, s *session) error {
	o, err := s.object(ctx, s.inactive)
	if err == nil && len(o) != 1 {
		err = fmt.Errorf("the response has %d members, want only active", len(o))
	}
	return err
}

// tlsVersions checks that the server accepts TLS 1.2 or 1.3, and rejects TLS 1.0 and 1.1.
func tlsVersions(ctx context.Context, s *session) error {
	if !s.https {
		return skipped("the URL is not https")
	}
	u, err := url.Parse(s.URL)
	if err != nil {
		return err
	}
	host := u.Host
	if u.Port() == "" {
		host += ":443"
	}
	dial := func(minVersion, maxVersion uint16) error {
		config := &tls.Config{}
		if s.TLS != nil {
			config = s.TLS.Clone()
		}
		config.MinVersion, config.MaxVersion = minVersion, maxVersion
		d := &tls.Dialer{Config: config}
		c, err := d.DialContext(ctx, "tcp", host)
		if err == nil {
			c.Close()
		}
		return err
	}
	if err := dial(tls.VersionTLS12, tls.VersionTLS13); err != nil {
		return err
	}
	if dial(tls.VersionTLS10, tls.VersionTLS11) == nil {
		return errors.New("the server accepts TLS 1.1 or older")
	}
	return nil
}

// withWrongSecret sends an introspection request with a wrong secret.
func (s *session) withWrongSecret(ctx context.Context) (*reply, error) {
	return s.post(ctx, url.Values{"token": {s.Token}}, func(r *http.Request) {
		r.SetBasicAuth(url.QueryEscape(s.ClientID), "wrong-"+rand.Text())
	})
}

func wrongSecret(ctx context.Context, s *session) error {
	r, err := s.withWrongSecret(ctx)
	if err != nil {
		return err
	}
	return r.wantError(http.StatusUnauthorized, "invalid_client")
}

// basicChallenge checks that a wrong secret sent by HTTP Basic gets a Basic challenge.
func basicChallenge(ctx context.Context, s *session) error {
	r, err := s.withWrongSecret(ctx)
	if err == nil && !hasScheme(r.header, "Basic") {
		err = fmt.Errorf("WWW-Authenticate %q", r.header.Values("WWW-Authenticate"))
	}
	return err
}

// hasScheme reports whether a WWW-Authenticate header has an authentication scheme.
func hasScheme(h http.Header, scheme string) bool {
	return slices.ContainsFunc(h.Values("WWW-Authenticate"), func(v string) bool {
		first, _, _ := strings.Cut(v, " ")
		return strings.EqualFold(first, scheme)
	})
}

func errorIsJSON(ctx context.Context, s *session) error {
	r, err := s.withWrongSecret(ctx)
	if err != nil {
		return err
	}
	return r.wantJSON()
}

// duplicateParameter checks that a repeated token parameter is an invalid_request.
func duplicateParameter(ctx context.Context, s *session) error {
	r, err := s.post(ctx, url.Values{"token": {s.Token, s.Token}}, s.basic)
	if err != nil {
		return err
	}
	return r.wantError(http.StatusBadRequest, "invalid_request")
}

// twoMethods checks that credentials in both the header and the body are an invalid_request.
func twoMethods(ctx context.Context, s *session) error {
	r, err := s.post(
		ctx,
		url.Values{"token": {s.Token}, "client_id": {s.ClientID}, "client_secret": {s.Secret}},
		s.basic,
	)
	if err != nil {
		return err
	}
	return r.wantError(http.StatusBadRequest, "invalid_request")
}

// credentialsInURL checks that client credentials in the query are rejected.
func credentialsInURL(ctx context.Context, s *session) error {
	query := url.Values{"client_id": {s.ClientID}, "client_secret": {s.Secret}}
	r, err := send(
		ctx,
		s.client,
		http.MethodPost,
		s.URL+"?"+query.Encode(),
		url.Values{"token": {s.Token}}.Encode(),
	)
	if err == nil && r.status < 400 {
		err = fmt.Errorf("status %d", r.status)
	}
	return err
}

// nonFormBody checks that a body with Content-Type application/json is rejected.
func nonFormBody(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.Token,
		func(r *http.Request) { r.Header.Set("Content-Type", "application/json") })
	if err == nil && r.status < 400 {
		err = fmt.Errorf("status %d for a body with Content-Type application/json", r.status)
	}
	return err
}

// withInvalidBearer sends an introspection request with a bearer token that nobody issued.
func (s *session) withInvalidBearer(ctx context.Context) (*reply, error) {
	return s.post(ctx, url.Values{"token": {s.Token}}, func(r *http.Request) {
		r.Header.Set("Authorization", "Bearer "+s.inactive)
	})
}

func invalidBearer(ctx context.Context, s *session) error {
	r, err := s.withInvalidBearer(ctx)
	if err != nil {
		return err
	}
	return r.wantStatus(http.StatusUnauthorized)
}

func bearerChallenge(ctx context.Context, s *session) error {
	r, err := s.withInvalidBearer(ctx)
	if err != nil {
		return err
	}
	if !hasScheme(r.header, "Bearer") ||
		!strings.Contains(r.header.Get("WWW-Authenticate"), `error="invalid_token"`) {
		return fmt.Errorf("WWW-Authenticate %q", r.header.Values("WWW-Authenticate"))
	}
	return nil
}

// bearerInURL checks that an access token in the query doesn't authenticate the request.
func bearerInURL(ctx context.Context, s *session) error {
	r, err := send(ctx, s.client, http.MethodPost, s.URL+"?access_token="+url.QueryEscape(s.Token),
		url.Values{"token": {s.Token}}.Encode())
	if err == nil && r.status < 400 {
		err = fmt.Errorf("status %d", r.status)
	}
	return err
}

// metadata fetches the issuer's metadata. The well-known path comes before the issuer's path (RFC 8414, 3.1).
func (s *session) metadata(ctx context.Context) (*reply, map[string]any, error) {
	u, err := url.Parse(s.Issuer)
	if err != nil {
		return nil, nil, err
	}
	r, err := s.get(
		ctx,
		u.Scheme+"://"+u.Host+"/.well-known/oauth-authorization-server"+strings.TrimSuffix(u.Path, "/"),
	)
	if err != nil {
		return nil, nil, err
	}
	if r.status == http.StatusNotFound {
		return nil, nil, errNoMetadata
	}
	if err := r.wantStatus(http.StatusOK); err != nil {
		return nil, nil, err
	}
	o, err := r.object()
	return r, o, err
}

// errNoMetadata skips the checks of the metadata's contents. Missing metadata fails only hasMetadata.
const errNoMetadata = skipped("the issuer has no metadata")

func hasMetadata(ctx context.Context, s *session) error {
	r, _, err := s.metadata(ctx)
	if errors.Is(err, errNoMetadata) {
		return errors.New("status 404")
	}
	if err != nil {
		return err
	}
	return r.wantJSON()
}

func metadataIssuer(ctx context.Context, s *session) error {
	_, o, err := s.metadata(ctx)
	if err == nil && o["issuer"] != s.Issuer {
		err = fmt.Errorf("issuer %v, want %q", o["issuer"], s.Issuer)
	}
	return err
}

func metadataEndpoint(ctx context.Context, s *session) error {
	_, o, err := s.metadata(ctx)
	if err == nil && o["introspection_endpoint"] != s.URL {
		err = fmt.Errorf("introspection_endpoint %v, want %q", o["introspection_endpoint"], s.URL)
	}
	return err
}

// stringList returns the strings in a JSON array. Any other value gives nil.
func stringList(v any) (all []string) {
	list, _ := v.([]any)
	for _, x := range list {
		if text, ok := x.(string); ok {
			all = append(all, text)
		}
	}
	return all
}

// metadataMethods checks that the metadata lists client_secret_basic, which these checks use.
func metadataMethods(ctx context.Context, s *session) error {
	_, o, err := s.metadata(ctx)
	if err != nil {
		return err
	}
	methods := stringList(o["introspection_endpoint_auth_methods_supported"])
	if !slices.Contains(methods, "client_secret_basic") {
		return fmt.Errorf("methods %v do not include client_secret_basic, which the endpoint accepts", methods)
	}
	return nil
}

// metadataAlgorithms checks that signing algorithms are listed if an assertion method is, and never "none".
func metadataAlgorithms(ctx context.Context, s *session) error {
	_, o, err := s.metadata(ctx)
	if err != nil {
		return err
	}
	methods := stringList(o["introspection_endpoint_auth_methods_supported"])
	algorithms := stringList(o["introspection_endpoint_auth_signing_alg_values_supported"])
	required := slices.Contains(methods, "private_key_jwt") || slices.Contains(methods, "client_secret_jwt")
	if required && len(algorithms) == 0 || slices.Contains(algorithms, "none") {
		return fmt.Errorf("methods %v are inconsistent with algorithms %v", methods, algorithms)
	}
	return nil
}

// keys fetches the JWKS at the jwks_uri of the metadata.
func (s *session) keys(ctx context.Context) (*jose.JSONWebKeySet, error) {
	_, o, err := s.metadata(ctx)
	if err != nil {
		return nil, err
	}
	keysURL, ok := o["jwks_uri"].(string)
	if !ok {
		return nil, errors.New("no jwks_uri in the metadata")
	}
	r, err := s.get(ctx, keysURL)
	if err != nil {
		return nil, err
	}
	if err := r.wantStatus(http.StatusOK); err != nil {
		return nil, err
	}
	var set jose.JSONWebKeySet
	if err := json.Unmarshal(r.body, &set); err != nil || len(set.Keys) == 0 {
		return nil, fmt.Errorf("the JWKS is invalid or empty: %v", err)
	}
	return &set, nil
}

func metadataKeys(ctx context.Context, s *session) error {
	set, err := s.keys(ctx)
	if err != nil {
		return err
	}
	for _, k := range set.Keys {
		if !k.IsPublic() || !k.Valid() {
			return fmt.Errorf("key %q is private or invalid", k.KeyID)
		}
	}
	return nil
}

// signatureAlgorithms contains the accepted algorithms of signed responses.
var signatureAlgorithms = []jose.SignatureAlgorithm{
	jose.ES256,
	jose.ES384,
	jose.ES512,
	jose.PS256,
	jose.PS384,
	jose.PS512,
	jose.RS256,
	jose.RS384,
	jose.RS512,
	jose.EdDSA,
}

const signedMediaType = "application/token-introspection+jwt"

// signed requests a signed response, and decodes its claims without verifying the signature.
func (s *session) signed(ctx context.Context, token string) (*jwt.JSONWebToken, map[string]any, error) {
	r, err := s.introspect(ctx, token, accept(signedMediaType))
	if err != nil {
		return nil, nil, err
	}
	if r.status == http.StatusOK && r.mediaType() == "application/json" {
		return nil, nil, skipped("the endpoint gives no signed responses")
	}
	t, err := jwt.ParseSigned(string(bytes.TrimSpace(r.body)), signatureAlgorithms)
	if err != nil {
		return nil, nil, fmt.Errorf("status %d, and the body is not a signed JWT: %w", r.status, err)
	}
	var claims map[string]any
	if err := t.UnsafeClaimsWithoutVerification(&claims); err != nil {
		return nil, nil, err
	}
	return t, claims, nil
}

func signedType(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.Token, accept(signedMediaType))
	if err == nil && (r.status != http.StatusOK || r.mediaType() != signedMediaType) {
		err = fmt.Errorf("status %d, Content-Type %q", r.status, r.header.Get("Content-Type"))
	}
	return err
}

func signedTyp(ctx context.Context, s *session) error {
	t, _, err := s.signed(ctx, s.Token)
	if err == nil && t.Headers[0].ExtraHeaders[jose.HeaderType] != "token-introspection+jwt" {
		err = fmt.Errorf("typ %v", t.Headers[0].ExtraHeaders[jose.HeaderType])
	}
	return err
}

// signedByKey checks that a key of the JWKS verifies a signed response.
func signedByKey(ctx context.Context, s *session) error {
	set, err := s.keys(ctx)
	if err != nil {
		return err
	}
	t, _, err := s.signed(ctx, s.Token)
	if err != nil {
		return err
	}
	var claims map[string]any
	for _, k := range set.Keys {
		if t.Claims(k.Key, &claims) == nil {
			return nil
		}
	}
	return errors.New("no key of the JWKS verifies the signature")
}

// signedClaim checks a claim of a signed response with valid.
func signedClaim(ctx context.Context, s *session, name string, valid func(any) bool) error {
	_, claims, err := s.signed(ctx, s.Token)
	if err == nil && !valid(claims[name]) {
		err = fmt.Errorf("%s is %v", name, claims[name])
	}
	return err
}

func signedIss(ctx context.Context, s *session) error {
	return signedClaim(ctx, s, "iss", func(v any) bool { return v == s.Issuer })
}

func signedAud(ctx context.Context, s *session) error {
	return signedClaim(ctx, s, "aud", func(v any) bool {
		return v == s.ClientID || slices.Contains(stringList(v), s.ClientID)
	})
}

func signedIat(ctx context.Context, s *session) error {
	return signedClaim(ctx, s, "iat", func(v any) bool { n, ok := v.(float64); return ok && n > 0 })
}

func signedResponse(ctx context.Context, s *session) error {
	return signedClaim(ctx, s, "token_introspection", func(v any) bool {
		o, ok := v.(map[string]any)
		return ok && o["active"] == true
	})
}

// signedNoSub checks that a signed response has neither sub nor exp, so that it can't pass for another JWT.
func signedNoSub(ctx context.Context, s *session) error {
	return errors.Join(signedClaim(ctx, s, "sub", func(v any) bool { return v == nil }),
		signedClaim(ctx, s, "exp", func(v any) bool { return v == nil }))
}

// signedInactive checks that a signed response about an inactive token has no member besides active.
func signedInactive(ctx context.Context, s *session) error {
	_, claims, err := s.signed(ctx, s.inactive)
	if err != nil {
		return err
	}
	if o, ok := claims["token_introspection"].(map[string]any); !ok || len(o) != 1 || o["active"] != false {
		return fmt.Errorf("token_introspection is %v", claims["token_introspection"])
	}
	return nil
}

// jsonOnRequest checks that a request for application/json gets an unsigned response.
func jsonOnRequest(ctx context.Context, s *session) error {
	r, err := s.introspect(ctx, s.Token, accept("application/json"))
	if err != nil {
		return err
	}
	return r.wantJSON()
}

// withCertificate sends an introspection request as CertClient with a certificate, or without one if cert is
// nil.
func (s *session) withCertificate(ctx context.Context, cert *tls.Certificate) (*reply, error) {
	switch {
	case s.CertClient == "" || s.Cert == nil:
		return nil, skipped("no client with a certificate is configured")
	case !s.https:
		return nil, skipped("the URL is not https")
	}
	return send(ctx, s.clientWith(cert), http.MethodPost, s.URL,
		url.Values{"token": {s.Token}, "client_id": {s.CertClient}}.Encode())
}

func byCertificate(ctx context.Context, s *session) error {
	r, err := s.withCertificate(ctx, s.Cert)
	if err == nil && !r.active() {
		err = fmt.Errorf("status %d, or not active", r.status)
	}
	return err
}

func noCertificate(ctx context.Context, s *session) error {
	r, err := s.withCertificate(ctx, nil)
	if err != nil {
		return err
	}
	return r.wantError(http.StatusUnauthorized, "invalid_client")
}

// otherCertificate checks that an unknown certificate is rejected. A server may also abort the TLS handshake,
// which counts as a rejection.
func otherCertificate(ctx context.Context, s *session) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	r, err := s.withCertificate(ctx, &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key})
	var skip skipped
	switch {
	case errors.As(err, &skip):
		return err
	case err != nil:
		return nil
	}
	return r.wantError(http.StatusUnauthorized, "invalid_client")
}
