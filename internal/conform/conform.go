// Package conform checks introspection endpoints against numbered requirements of RFC 7662 and of the RFCs
// that it builds on. It sends requests as a client, over HTTP, and is independent of the implementation.
package conform

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Target is the endpoint to check, and the credentials to use.
type Target struct {
	URL      string // URL of the endpoint
	Issuer   string // issuer with the metadata; empty: the endpoint's scheme and host
	ClientID string
	Secret   string
	Token    string // an active token that the client may introspect

	TLS        *tls.Config      // root certificates, for https
	CertClient string           // client that authenticates by certificate; empty: skip those checks
	Cert       *tls.Certificate // certificate of CertClient
}

// Verdict is the outcome of one check.
type Verdict string

// Verdicts of a check.
const (
	Pass Verdict = "pass"
	Fail Verdict = "fail"
	Skip Verdict = "skipped"
)

// Result is the outcome of one check in a report.
type Result struct {
	ID      string  `json:"id"`
	Section string  `json:"section"`
	Text    string  `json:"requirement"`
	Verdict Verdict `json:"verdict"`
	Why     string  `json:"why,omitempty"`
}

// Report is the outcome of all checks.
type Report struct {
	URL     string   `json:"url"`
	Results []Result `json:"results"`
}

// Failed reports whether any check failed.
func (r *Report) Failed() bool {
	for _, result := range r.Results {
		if result.Verdict == Fail {
			return true
		}
	}
	return false
}

// check is one requirement and the function that checks it. An error of type skipped gives the reason why the
// requirement could not be checked.
type check struct {
	id, section, text string
	run               func(ctx context.Context, s *session) error
}

// skipped is the reason why a check could not be made. It is not a failure.
type skipped string

func (s skipped) Error() string { return string(s) }

// IDs returns the IDs of all checks, in order.
func IDs() []string {
	ids := make([]string, len(checks))
	for i, c := range checks {
		ids[i] = c.id
	}
	return ids
}

// exchangeTimeout limits one request and its response.
const exchangeTimeout = 10 * time.Second

var errTarget = errors.New("conform: an http or https URL, a client ID and an active token are required")

// Run makes all checks, one after the other. It returns an error only for an invalid target; failed checks
// are part of the report.
func Run(ctx context.Context, t Target) (*Report, error) {
	u, err := url.Parse(t.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || t.ClientID == "" ||
		t.Token == "" {
		return nil, errTarget
	}
	if t.Issuer == "" {
		t.Issuer = u.Scheme + "://" + u.Host
	}
	s := &session{Target: t, https: u.Scheme == "https", inactive: "no-such-token-" + rand.Text()}
	s.client = s.clientWith(nil)
	report := &Report{URL: t.URL}
	for _, c := range checks {
		r := Result{ID: c.id, Section: c.section, Text: c.text, Verdict: Pass}
		err := c.run(ctx, s)
		var skip skipped
		switch {
		case errors.As(err, &skip):
			r.Verdict, r.Why = Skip, string(skip)
		case err != nil:
			r.Verdict, r.Why = Fail, strings.ReplaceAll(err.Error(), "\n", "; ")
		}
		report.Results = append(report.Results, r)
	}
	return report, nil
}

// session is the state of checking one target.
type session struct {
	Target
	https    bool   // the endpoint's URL is https
	inactive string // a random token that nobody issued
	client   *http.Client
}

// clientWith returns an HTTP client that uses a client certificate, unless it is nil. It doesn't follow
// redirects.
func (s *session) clientWith(cert *tls.Certificate) *http.Client {
	config := &tls.Config{}
	if s.TLS != nil {
		config = s.TLS.Clone()
	}
	config.MinVersion = tls.VersionTLS12
	if cert != nil {
		config.Certificates = []tls.Certificate{*cert}
	}
	return &http.Client{
		Timeout:       exchangeTimeout,
		Transport:     &http.Transport{TLSClientConfig: config, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// object decodes the body as a JSON object.
func (r *reply) object() (map[string]any, error) {
	var o map[string]any
	if err := json.Unmarshal(r.body, &o); err != nil || o == nil {
		return nil, fmt.Errorf("the body is not a JSON object: %.60q", r.body)
	}
	return o, nil
}

// change modifies a request before it is sent.
type change func(*http.Request)

// basic authenticates a request as the client, with HTTP Basic.
func (s *session) basic(r *http.Request) {
	r.SetBasicAuth(url.QueryEscape(s.ClientID), url.QueryEscape(s.Secret))
}

// accept sets the Accept header to a media type.
func accept(mediaType string) change {
	return func(r *http.Request) { r.Header.Set("Accept", mediaType) }
}

// maxBodyBytes limits how much of a response body is read.
const maxBodyBytes = 1 << 20

// send sends a request with an HTTP client, and reads the response. A body is sent as a form.
func send(
	ctx context.Context,
	client *http.Client,
	method, target, body string,
	changes ...change,
) (*reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	r.Header.Set("Accept", "application/json")
	for _, c := range changes {
		c(r)
	}
	res, err := client.Do(r)
	var urlErr *url.Error
	if errors.As(err, &urlErr) { // its text has the URL, which may contain secrets and tokens
		err = urlErr.Err
	}
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	return &reply{res.StatusCode, res.Header, text}, nil
}

// post sends a form to the endpoint.
func (s *session) post(ctx context.Context, form url.Values, changes ...change) (*reply, error) {
	return send(ctx, s.client, http.MethodPost, s.URL, form.Encode(), changes...)
}

// introspect sends an introspection request for a token, authenticated as the client.
func (s *session) introspect(ctx context.Context, token string, changes ...change) (*reply, error) {
	return s.post(ctx, url.Values{"token": {token}}, append([]change{s.basic}, changes...)...)
}

// active reports whether the response says that the token is active. It is false for any other response,
// including errors.
func (r *reply) active() bool {
	o, err := r.object()
	return r.status == http.StatusOK && err == nil && o["active"] == true
}

// wantStatus returns an error unless the status is one of those wanted.
func (r *reply) wantStatus(want ...int) error {
	for _, w := range want {
		if r.status == w {
			return nil
		}
	}
	return fmt.Errorf("status %d, want %v", r.status, want)
}

// wantError returns an error unless the response is an error response as in RFC 6749, 5.2, with a status and
// code.
func (r *reply) wantError(status int, code string) error {
	if err := r.wantStatus(status); err != nil {
		return err
	}
	o, err := r.object()
	if err != nil {
		return err
	}
	if o["error"] != code {
		return fmt.Errorf("error %v, want %q", o["error"], code)
	}
	return nil
}

// get sends a GET request to a URL.
func (s *session) get(ctx context.Context, target string) (*reply, error) {
	return send(ctx, s.client, http.MethodGet, target, "")
}
