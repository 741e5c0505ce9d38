// Package bearer decides whether an access token lets a request through: its scopes, audience and issuer
// (RFC 6750, 9068), whether it is the sender's own (RFC 8705, 9449), and how its subject was authenticated
// (RFC 9470). It knows neither clock nor wire: it is told what an authorization server says of the token,
// and what came with the request. The daemon and the middleware use the same text of it.
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

// Requirement is what a token must have for one class of requests. The zero Requirement takes any active
// token that is not bound to a key or a certificate, or is shown with it.
type Requirement struct {
	Scopes    []string      // all of them
	Audiences []string      // one of them; none named: any
	Issuers   []string      // one of them; none named: any
	Bound     bool          // only tokens bound to the sender, by certificate or DPoP
	DPoP      bool          // only DPoP
	ACR       []string      // one of them must be the token's "acr" (RFC 9470); none named: any
	MaxAge    time.Duration // since the subject was authenticated; 0: any
	Realm     string        // for challenges
	Skew      time.Duration // by which clocks may differ; 0: 5 s
}

// Claims are what is known of a token that is used here. Others are left alone.
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

// audience is a text or a list of texts.
type audience []string

// UnmarshalJSON reads either.
func (a *audience) UnmarshalJSON(text []byte) error {
	var one string
	if json.Unmarshal(text, &one) == nil {
		*a = audience{one}
		return nil
	}
	return json.Unmarshal(text, (*[]string)(a))
}

// ErrClaims says that what an authorization server told can't be read.
var ErrClaims = errors.New("bearer: malformed claims")

// ParseClaims reads an answer of introspection, or the payload of a JWT access token.
func ParseClaims(text []byte) (Claims, error) {
	var c Claims
	if err := json.Unmarshal(text, &c); err != nil {
		return Claims{}, fmt.Errorf("%w: %w", ErrClaims, err)
	}
	return c, nil
}

// Shown is what came with a request.
type Shown struct {
	Scheme      string // "Bearer" or "DPoP"
	Token       string
	Proofs      []string // values of the header DPoP
	Method      string
	URL         string // of the request, without query and fragment
	Certificate []byte // DER, of the client's side of TLS; nil: none
}

// Read reads what came with a request. base is what the URLs that proofs name begin with, where a balancer
// ends TLS before this program; empty: as the request was asked.
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
	if len(values) > 1 || s.Scheme == "" || !syntactic(token) {
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

// syntactic reports whether a token has the form b64token of RFC 6750, 2.1.
func syntactic(token string) bool {
	rest := strings.TrimRight(token, "=")
	return rest != "" && strings.IndexFunc(rest, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && !(r >= '0' && r <= '9') && !strings.ContainsRune("-._~+/", r)
	}) < 0
}

// Refusal is why a request is not let through.
type Refusal struct {
	Status      int
	Code        string // of RFC 6750, 3.1, 9449 and 9470; empty: no token was shown
	Description string
	scheme      string
	realm       string
	extra       string
}

// Body is the JSON that goes with the refusal, as RFC 6749, 5.2 has it.
func (r *Refusal) Body() []byte {
	code, description := r.Code, r.Description
	if code == "" {
		code, description = "invalid_token", "a bearer token that is active is needed"
	}
	text, _ := json.Marshal(map[string]string{"error": code, "error_description": description})
	return text
}

// Error tells the code and the description.
func (r *Refusal) Error() string { return "bearer: " + r.Code + ": " + r.Description }

// Challenge is the value of WWW-Authenticate that goes with the refusal.
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

// Check reports why a token does not let a request through at a moment of Unix time, or nil. The proofs of
// DPoP are shown to the memory, which must not be nil where tokens may be bound to keys.
func (q Requirement) Check(now time.Duration, c Claims, s Shown, m *Memory) *Refusal {
	scheme := s.Scheme
	if q.DPoP || c.Bound.Key != "" {
		scheme = "DPoP"
	}
	no := func(status int, code, description string) *Refusal {
		r := &Refusal{Status: status, Code: code, Description: description, scheme: scheme, realm: q.Realm}
		if scheme == "DPoP" {
			r.extra = `algs="` + strings.Join(DPoPAlgorithms(), " ") + `"`
		}
		return r
	}
	invalid := func(description string) *Refusal {
		return no(http.StatusUnauthorized, "invalid_token", description)
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
	if r := q.binding(now, c, s, m, skew, no); r != nil {
		return r
	}
	granted := strings.Fields(c.Scope)
	for _, scope := range q.Scopes {
		if !slices.Contains(granted, scope) {
			r := no(http.StatusForbidden, "insufficient_scope", "the token lacks a scope")
			r.add(`scope="` + strings.Join(q.Scopes, " ") + `"`)
			return r
		}
	}
	return q.stepUp(now, c, skew, no)
}

// binding checks that the token is the sender's own.
func (q Requirement) binding(now time.Duration, c Claims, s Shown, m *Memory, skew time.Duration,
	no func(int, string, string) *Refusal) *Refusal {
	if want := c.Bound.Certificate; want != "" {
		sum := sha256.Sum256(s.Certificate)
		if s.Certificate == nil || base64.RawURLEncoding.EncodeToString(sum[:]) != want {
			return no(http.StatusUnauthorized, "invalid_token", "the token is bound to another certificate")
		}
	}
	switch {
	case c.Bound.Key != "" && s.Scheme != "DPoP":
		return no(http.StatusUnauthorized, "invalid_token", "the token is bound to a key: show it by DPoP")
	case c.Bound.Key == "" && s.Scheme == "DPoP":
		return no(http.StatusUnauthorized, "invalid_token", "the token is not bound to a key")
	case c.Bound.Key == "" && q.DPoP, c.Bound.Key == "" && c.Bound.Certificate == "" && q.Bound:
		return no(http.StatusUnauthorized, "invalid_token", "only tokens that are bound to their sender are taken")
	case c.Bound.Key != "":
		if err := checkProof(now, s, c.Bound.Key, skew, m); err != nil {
			return no(http.StatusUnauthorized, "invalid_dpop_proof", err.Error())
		}
	}
	return nil
}

// stepUp asks for a better authentication of the subject (RFC 9470, 3).
func (q Requirement) stepUp(now time.Duration, c Claims, skew time.Duration,
	no func(int, string, string) *Refusal) *Refusal {
	level := len(q.ACR) == 0 || slices.Contains(q.ACR, c.ACR)
	fresh := q.MaxAge == 0 || c.AuthTime > 0 && now.Seconds()-c.AuthTime <= (q.MaxAge+skew).Seconds()
	if level && fresh {
		return nil
	}
	r := no(http.StatusUnauthorized, "insufficient_user_authentication",
		"a stronger or more recent authentication is needed")
	if !level {
		r.add(`acr_values="` + strings.Join(q.ACR, " ") + `"`)
	}
	if !fresh {
		r.add(`max_age="` + strconv.Itoa(int(q.MaxAge.Seconds())) + `"`)
	}
	return r
}

func (r *Refusal) add(param string) {
	if r.extra != "" {
		r.extra += ", "
	}
	r.extra += param
}
