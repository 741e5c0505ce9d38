// Package bearer decides whether an access token authorizes a request. It checks the token's scopes, audience
// and issuer (RFC 6750, 9068), its binding to the sender (RFC 8705, 9449), and how its subject was
// authenticated (RFC 9470). It reads no clock and does no I/O: the caller passes the time, the claims that
// the authorization server reported and the credentials of the request. The daemon and the middleware share
// this package.
package bearer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Requirement is what a token must satisfy for one class of requests. The zero Requirement accepts any active
// token that is unbound, or that is presented with the key or certificate that it is bound to.
type Requirement struct {
	Scopes    []string      // all are required
	Audiences []string      // one must match; empty accepts any
	Issuers   []string      // one must match; empty accepts any
	Bound     bool          // accept only tokens bound to the sender, by certificate or DPoP
	DPoP      bool          // accept only tokens bound by DPoP
	ACR       []string      // one must equal the token's "acr" (RFC 9470); empty accepts any
	MaxAge    time.Duration // since the subject was authenticated; zero means no limit
	Realm     string        // for challenges
	Skew      time.Duration // tolerated clock difference; zero means 5 s
}

// Claims are the claims of a token that this package evaluates. All others are ignored.
type Claims struct {
	Active   bool     `json:"active"`
	Scope    string   `json:"scope"`
	Issuer   string   `json:"iss"`
	Subject  string   `json:"sub"`
	ClientID string   `json:"client_id"`
	Audience audience `json:"aud"`
	Expires  float64  `json:"exp"`
	Begins   float64  `json:"nbf"`
	ACR      string   `json:"acr"`
	AuthTime float64  `json:"auth_time"`
	Bound    struct {
		Certificate string `json:"x5t#S256"`
		Key         string `json:"jkt"`
	} `json:"cnf"`
}

// audience is the claim "aud": a string or a list of strings.
type audience []string

// UnmarshalJSON decodes either form.
func (a *audience) UnmarshalJSON(text []byte) error {
	var one string
	if json.Unmarshal(text, &one) == nil {
		*a = audience{one}
		return nil
	}
	return json.Unmarshal(text, (*[]string)(a))
}

// ErrClaims reports that the claims from an authorization server could not be decoded.
var ErrClaims = errors.New("bearer: malformed claims")

// ParseClaims decodes an introspection response or the payload of a JWT access token. An error wraps
// ErrClaims.
func ParseClaims(text []byte) (Claims, error) {
	var c Claims
	if err := json.Unmarshal(text, &c); err != nil {
		return Claims{}, fmt.Errorf("%w: %w", ErrClaims, err)
	}
	return c, nil
}

// Shown holds the credentials of one request.
type Shown struct {
	Scheme      string // "Bearer" or "DPoP"
	Token       string
	Proofs      []string // values of the DPoP header
	Method      string
	URL         string // of the request, without query and fragment
	Certificate []byte // TLS client certificate in DER; nil if there is none
}

// Read extracts the credentials from a request. base is the public base URL that DPoP proofs name, needed
// where a load balancer terminates TLS in front of this program; if empty, the scheme and host of the request
// are used.
func Read(r *http.Request, base string) (Shown, *Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return Shown{}, &Refusal{Status: http.StatusUnauthorized, scheme: "Bearer"}
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	token = strings.TrimSpace(token)
	s := Shown{Token: token, Proofs: r.Header.Values("Dpop"), Method: r.Method}
	switch {
	case strings.EqualFold(scheme, "Bearer"):
		s.Scheme = "Bearer"
	case strings.EqualFold(scheme, "DPoP"):
		s.Scheme = "DPoP"
	}
	if len(values) > 1 || s.Scheme == "" || !validTokenSyntax(token) {
		return Shown{}, &Refusal{Status: http.StatusBadRequest, Code: "invalid_request", scheme: "Bearer",
			Description: "want one header with one bearer token"}
	}
	scheme = "http://"
	if r.TLS != nil {
		scheme = "https://"
		if len(r.TLS.PeerCertificates) > 0 {
			s.Certificate = r.TLS.PeerCertificates[0].Raw
		}
	}
	if base == "" {
		base = scheme + r.Host
	}
	s.URL = strings.TrimSuffix(base, "/") + r.URL.Path
	return s, nil
}

// validTokenSyntax reports whether a token matches the b64token syntax of RFC 6750, 2.1.
func validTokenSyntax(token string) bool {
	rest := strings.TrimRight(token, "=")
	return rest != "" && strings.IndexFunc(rest, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && !(r >= '0' && r <= '9') && !strings.ContainsRune("-._~+/", r)
	}) < 0
}

// Refusal describes why a request is rejected.
type Refusal struct {
	Status      int
	Code        string // from RFC 6750, 3.1, 9449 or 9470; empty if the request had no token
	Description string
	scheme      string
	realm       string
	extra       string
}

// Body returns the JSON error response for the refusal (RFC 6749, 5.2).
func (r *Refusal) Body() []byte {
	code, description := r.Code, r.Description
	if code == "" {
		code, description = "invalid_token", "a bearer token that is active is needed"
	}
	text, _ := json.Marshal(map[string]string{"error": code, "error_description": description})
	return text
}

// Error returns the code and the description.
func (r *Refusal) Error() string { return "bearer: " + r.Code + ": " + r.Description }

// Challenge returns the value of the WWW-Authenticate header for the refusal.
func (r *Refusal) Challenge() string {
	var b strings.Builder
	b.WriteString(r.scheme)
	sep := " "
	add := func(name, value string) {
		if value != "" {
			b.WriteString(sep + name + `="` + strings.NewReplacer(`"`, "", `\`, "").Replace(value) + `"`)
			sep = ", "
		}
	}
	add("realm", r.realm)
	add("error", r.Code)
	add("error_description", r.Description)
	if r.extra != "" {
		b.WriteString(sep + r.extra)
	}
	return b.String()
}

// Check returns nil if the token authorizes the request at the Unix time now, or the reason why it does not.
// It records DPoP proofs in m to detect replays; with a nil m, every token bound to a key is rejected.
func (q Requirement) Check(now time.Duration, c Claims, s Shown, m *Memory) *Refusal {
	scheme := s.Scheme
	if q.DPoP || c.Bound.Key != "" {
		scheme = "DPoP"
	}
	refuse := func(status int, code, description string) *Refusal {
		r := &Refusal{Status: status, Code: code, Description: description, scheme: scheme, realm: q.Realm}
		if scheme == "DPoP" {
			r.extra = `algs="` + strings.Join(DPoPAlgorithms(), " ") + `"`
		}
		return r
	}
	invalid := func(description string) *Refusal {
		return refuse(http.StatusUnauthorized, "invalid_token", description)
	}
	skew := q.Skew
	if skew == 0 {
		skew = 5 * time.Second
	}
	switch {
	case !c.Active:
		return invalid("the token is not active")
	case c.Expires > 0 && now.Seconds() >= c.Expires:
		return invalid("the token has expired")
	case c.Begins > 0 && now.Seconds() < c.Begins-skew.Seconds():
		return invalid("the token is not valid yet")
	case len(q.Issuers) > 0 && !slices.Contains(q.Issuers, c.Issuer):
		return invalid("the token is another issuer's")
	case len(q.Audiences) > 0 && !slices.ContainsFunc(c.Audience, func(a string) bool {
		return slices.Contains(q.Audiences, a)
	}):
		return invalid("the token is for another audience")
	}
	if r := q.checkBinding(now, c, s, m, skew, refuse); r != nil {
		return r
	}
	granted := strings.Fields(c.Scope)
	for _, scope := range q.Scopes {
		if !slices.Contains(granted, scope) {
			r := refuse(http.StatusForbidden, "insufficient_scope", "the token lacks a scope")
			r.add(`scope="` + strings.Join(q.Scopes, " ") + `"`)
			return r
		}
	}
	return q.checkAuthentication(now, c, skew, refuse)
}

// checkBinding checks that the token is presented with the certificate or key that it is bound to.
func (q Requirement) checkBinding(now time.Duration, c Claims, s Shown, m *Memory, skew time.Duration,
	refuse func(int, string, string) *Refusal) *Refusal {
	if want := c.Bound.Certificate; want != "" {
		sum := sha256.Sum256(s.Certificate)
		if s.Certificate == nil || base64.RawURLEncoding.EncodeToString(sum[:]) != want {
			return refuse(http.StatusUnauthorized, "invalid_token", "the token is bound to another certificate")
		}
	}
	switch {
	case c.Bound.Key != "" && s.Scheme != "DPoP":
		return refuse(http.StatusUnauthorized, "invalid_token", "the token is bound to a key: show it by DPoP")
	case c.Bound.Key == "" && s.Scheme == "DPoP":
		return refuse(http.StatusUnauthorized, "invalid_token", "the token is not bound to a key")
	case c.Bound.Key == "" && q.DPoP, c.Bound.Key == "" && c.Bound.Certificate == "" && q.Bound:
		return refuse(http.StatusUnauthorized, "invalid_token",
			"only tokens that are bound to their sender are taken")
	case c.Bound.Key != "":
		if err := checkProof(now, s, c.Bound.Key, skew, m); err != nil {
			return refuse(http.StatusUnauthorized, "invalid_dpop_proof", err.Error())
		}
	}
	return nil
}

// checkAuthentication checks how and how recently the subject was authenticated, and requests a step-up
// authentication if that does not suffice (RFC 9470, 3).
func (q Requirement) checkAuthentication(now time.Duration, c Claims, skew time.Duration,
	refuse func(int, string, string) *Refusal) *Refusal {
	acrSatisfied := len(q.ACR) == 0 || slices.Contains(q.ACR, c.ACR)
	recentEnough := q.MaxAge == 0 || c.AuthTime > 0 && now.Seconds()-c.AuthTime <= (q.MaxAge+skew).Seconds()
	if acrSatisfied && recentEnough {
		return nil
	}
	r := refuse(http.StatusUnauthorized, "insufficient_user_authentication",
		"a stronger or more recent authentication is needed")
	if !acrSatisfied {
		r.add(`acr_values="` + strings.Join(q.ACR, " ") + `"`)
	}
	if !recentEnough {
		r.add(`max_age="` + strconv.Itoa(int(q.MaxAge.Seconds())) + `"`)
	}
	return r
}

// add appends a parameter to the challenge.
func (r *Refusal) add(param string) {
	if r.extra != "" {
		r.extra += ", "
	}
	r.extra += param
}
