// Package conform checks introspection endpoints against numbered requirements of RFC 7662 and of those that
// it rests on. It asks as a client does, over HTTP, and knows nothing of what stands behind the endpoint.
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

// Target says what is checked, and as whom.
type Target struct {
	URL      string // of the endpoint
	Issuer   string // whose metadata is read; empty: the endpoint's scheme and host
	ClientID string
	Secret   string
	Token    string // one that is active, and that the client may ask about

	TLS        *tls.Config      // roots, for https
	CertClient string           // a client that authenticates by a certificate; empty: those checks are skipped
	Cert       *tls.Certificate // its certificate
}

// Verdict is the outcome of one check.
type Verdict string

// The verdicts.
const (
	Pass Verdict = "pass"
	Fail Verdict = "fail"
	Skip Verdict = "skipped"
)

// Result is one line of a report.
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

// Failed reports whether a check has failed.
func (r *Report) Failed() bool {
	for _, x := range r.Results {
		if x.Verdict == Fail {
			return true
		}
	}
	return false
}

// check is one requirement, and how it is looked at. An error of type skipped says why it could not be.
type check struct {
	id, section, text string
	run               func(ctx context.Context, s *session) error
}

type skipped string

func (s skipped) Error() string { return string(s) }

// IDs names all checks in their order.
func IDs() []string {
	ids := make([]string, len(checks))
	for i, c := range checks {
		ids[i] = c.id
	}
	return ids
}

// patience is how long one exchange may take.
const patience = 10 * time.Second

var errTarget = errors.New("conform: want a URL with http or https, a client and a token that is active")

// Run makes all checks, one after the other. The error is about the target, not about what was found.
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

// session is a target while it is checked.
type session struct {
	Target
	https    bool
	inactive string
	client   *http.Client
}

// clientWith returns a client that shows a certificate, if there is one.
func (s *session) clientWith(cert *tls.Certificate) *http.Client {
	conf := &tls.Config{}
	if s.TLS != nil {
		conf = s.TLS.Clone()
	}
	conf.MinVersion = tls.VersionTLS12
	if cert != nil {
		conf.Certificates = []tls.Certificate{*cert}
	}
	return &http.Client{
		Timeout:       patience,
		Transport:     &http.Transport{TLSClientConfig: conf, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// reply is what came back, read whole.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// object reads the body as a JSON object.
func (r *reply) object() (map[string]any, error) {
	var o map[string]any
	if err := json.Unmarshal(r.body, &o); err != nil || o == nil {
		return nil, fmt.Errorf("the body is no JSON object: %.60q", r.body)
	}
	return o, nil
}

// change is done to a request before it is sent.
type change func(*http.Request)

func (s *session) basic(r *http.Request) {
	r.SetBasicAuth(url.QueryEscape(s.ClientID), url.QueryEscape(s.Secret))
}

func accept(kind string) change { return func(r *http.Request) { r.Header.Set("Accept", kind) } }

// mostBody bounds what is read of an answer, in bytes.
const mostBody = 1 << 20

// send makes one exchange with a client.
func send(
	ctx context.Context,
	client *http.Client,
	method, to, body string,
	changes ...change,
) (*reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, to, strings.NewReader(body))
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
	var in *url.Error
	if errors.As(err, &in) { // its text has the URL, and some of those have secrets and tokens in them
		err = in.Err
	}
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostBody))
	if err != nil {
		return nil, err
	}
	return &reply{res.StatusCode, res.Header, text}, nil
}

// post asks by a form.
func (s *session) post(ctx context.Context, form url.Values, changes ...change) (*reply, error) {
	return send(ctx, s.client, http.MethodPost, s.URL, form.Encode(), changes...)
}

// ask asks about a token as the client.
func (s *session) ask(ctx context.Context, token string, changes ...change) (*reply, error) {
	return s.post(ctx, url.Values{"token": {token}}, append([]change{s.basic}, changes...)...)
}

// active reports whether an answer calls a token active; whatever is no such answer does not.
func (r *reply) active() bool {
	o, err := r.object()
	return r.status == http.StatusOK && err == nil && o["active"] == true
}

// wantStatus reports another status than one of some.
func (r *reply) wantStatus(want ...int) error {
	for _, w := range want {
		if r.status == w {
			return nil
		}
	}
	return fmt.Errorf("status %d, want %v", r.status, want)
}

// wantError reports an answer that is not an error as RFC 6749, 5.2 has it.
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

// get reads something by GET.
func (s *session) get(ctx context.Context, from string) (*reply, error) {
	return send(ctx, s.client, http.MethodGet, from, "")
}
