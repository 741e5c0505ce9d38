package middleware

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dunespoke/bearer"
)

// Introspector tells what an authorization server says of a token: the JSON of RFC 7662. An error of type
// *Unavailable says when to ask again. No error ever means that a token is not active.
type Introspector interface {
	Introspect(ctx context.Context, token string) ([]byte, error)
}

// Unavailable is the error of an Introspector that could not ask, or got no answer.
type Unavailable struct {
	RetryAfter time.Duration
	Busy       bool // a quota or a limit was reached, and not the service's fault
}

// Error tells when to ask again.
func (u *Unavailable) Error() string {
	return fmt.Sprintf("introspection is not available: ask again in %v", u.RetryAfter)
}

// BearerOptions are what Bearer needs.
type BearerOptions struct {
	Introspector Introspector
	// Require says what a request's token must have; nil: that it is active.
	Require func(*http.Request) bearer.Requirement
	Proofs  *bearer.Memory // of DPoP; nil: one for 60,000 at a time
	Base    string         // of the URLs that proofs name, as in "https://api.example"; empty: as asked
	Log     func(*bearer.Refusal)
}

type claimsKey struct{}

// Claims returns what is known of the token that let a request through Bearer.
func Claims(ctx context.Context) (bearer.Claims, bool) {
	c, ok := ctx.Value(claimsKey{}).(bearer.Claims)
	return c, ok
}

var errNoIntrospector = errors.New("middleware: BearerOptions.Introspector is missing")

// BearerGuard lets requests through by their access tokens.
type BearerGuard struct{ o BearerOptions }

// Bearer returns a guard that goes by the same rules and gives the same answers as the daemon's check.
func Bearer(o BearerOptions) (*BearerGuard, error) {
	if o.Introspector == nil {
		return nil, errNoIntrospector
	}
	if o.Require == nil {
		o.Require = func(*http.Request) bearer.Requirement { return bearer.Requirement{} }
	}
	if o.Proofs == nil {
		o.Proofs = bearer.NewMemory(60_000)
	}
	if o.Log == nil {
		o.Log = func(*bearer.Refusal) {}
	}
	return &BearerGuard{o}, nil
}

// Middleware wraps a handler, which finds what is known of the token by Claims.
func (g *BearerGuard) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r, ok := g.Check(w, r); ok {
			next.ServeHTTP(w, r)
		}
	})
}

// Check returns the request, with what is known of its token, if that lets it through; else it answers it.
func (g *BearerGuard) Check(w http.ResponseWriter, r *http.Request) (*http.Request, bool) {
	claims, ok := g.o.check(w, r)
	if !ok {
		return nil, false
	}
	return r.WithContext(context.WithValue(r.Context(), claimsKey{}, claims)), true
}

// check answers a request that its token does not let through.
func (o *BearerOptions) check(w http.ResponseWriter, r *http.Request) (bearer.Claims, bool) {
	refuse := func(refusal *bearer.Refusal) (bearer.Claims, bool) {
		o.Log(refusal)
		w.Header().Set("WWW-Authenticate", refusal.Challenge())
		problem(w, refusal.Status, refusal.Body())
		return bearer.Claims{}, false
	}
	shown, refusal := bearer.Read(r, o.Base)
	if refusal != nil {
		return refuse(refusal)
	}
	text, err := o.Introspector.Introspect(r.Context(), shown.Token)
	var claims bearer.Claims
	if err == nil {
		claims, err = bearer.ParseClaims(text)
	}
	if err != nil {
		unavailable(w, err)
		return bearer.Claims{}, false
	}
	now := time.Duration(time.Now().UnixNano())
	if refusal := o.Require(r).Check(now, claims, shown, o.Proofs); refusal != nil {
		return refuse(refusal)
	}
	return claims, true
}

func unavailable(w http.ResponseWriter, err error) {
	status, code, text := http.StatusBadGateway, "server_error", "the introspection service gave no answer"
	var u *Unavailable
	if errors.As(err, &u) {
		status, code = http.StatusServiceUnavailable, "temporarily_unavailable"
		text = "the issuer's service does not answer: ask again later"
		if u.Busy {
			status, text = http.StatusTooManyRequests, "refused: ask again later"
		}
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(u.RetryAfter.Seconds())))))
	}
	body, _ := json.Marshal(map[string]string{"error": code, "error_description": text})
	problem(w, status, body)
}

func problem(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	w.Write(body)
}

// Remote asks an introspection endpoint over HTTP, such as a daemon's. It asks once: the daemon behind it
// decides on further attempts.
type Remote struct {
	URL        string
	ID, Secret string       // client_secret_basic; an empty ID: none
	Client     *http.Client // nil: http.DefaultClient
	Patience   time.Duration
}

// mostAnswer bounds an endpoint's answer, in bytes.
const mostAnswer = 64 << 10

// Introspect asks about a token.
func (m *Remote) Introspect(ctx context.Context, token string) ([]byte, error) {
	if m.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.Patience)
		defer cancel()
	}
	form := url.Values{"token": {token}, "token_type_hint": {"access_token"}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, m.URL, strings.NewReader(form.Encode()))
	if err != nil {
		return nil, fmt.Errorf("introspection: %w", err)
	}
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Accept", "application/json")
	if m.ID != "" {
		r.SetBasicAuth(url.QueryEscape(m.ID), url.QueryEscape(m.Secret))
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set("X-Remaining", strconv.FormatFloat(max(0, time.Until(deadline).Seconds()), 'f', 3, 64))
	}
	client := m.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("introspection: %w", &Unavailable{RetryAfter: time.Second})
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostAnswer+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("introspection: %w", &Unavailable{RetryAfter: time.Second})
	case res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
		return nil, fmt.Errorf(
			"introspection: %w",
			&Unavailable{RetryAfter: time.Duration(max(1, seconds)) * time.Second,
				Busy: res.StatusCode == http.StatusTooManyRequests},
		)
	case res.StatusCode != http.StatusOK || len(text) > mostAnswer:
		return nil, fmt.Errorf("introspection: status %d, %d bytes", res.StatusCode, len(text))
	}
	return text, nil
}
