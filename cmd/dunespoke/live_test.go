package main

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/rs/zerolog"

	"dunespoke/internal/config"
	"dunespoke/internal/conform"
	"dunespoke/internal/lab/ca"
	"dunespoke/internal/lab/faults"
	"dunespoke/internal/lab/idp"
	"dunespoke/internal/lab/sign"
	"dunespoke/internal/net/direct"
)

// liveDaemon is a program on real sockets in front of a simulated authorization server, both with TLS.
type liveDaemon struct {
	t       *testing.T
	dir     string
	ca      *ca.Authority
	idp     *idp.Server
	idpAddr string
	addr    string
	program *program
	log     safeBuffer
	client  *http.Client
}

// freeAddr returns an unused loopback address.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (l *liveDaemon) issue(name string) ca.Pair {
	l.t.Helper()
	p, err := l.ca.Issue(name, time.Hour)
	if err != nil {
		l.t.Fatal(err)
	}
	return p
}

func (l *liveDaemon) signingKey(name string) {
	l.t.Helper()
	if err := ca.WriteKey(filepath.Join(l.dir, name), sign.Key(l.t)); err != nil {
		l.t.Fatal(err)
	}
}

// operator writes an operator file with more appended, and reads it.
func (l *liveDaemon) operator(more string) (*config.Operator, error) {
	l.t.Helper()
	sum := sha256.Sum256([]byte("s&cret"))
	names := strings.NewReplacer("DIR", l.dir, "ADDR", l.addr, "IDP", l.idpAddr, "HASH",
		hex.EncodeToString(sum[:]))
	text := names.Replace(`
[introspection]
listen = "ADDR"
url = "https://ADDR"
[introspection.tls]
cert_file = "DIR/127.0.0.1.pem"
key_file = "DIR/127.0.0.1.key"
ca_file = "DIR/root.pem"
[[introspection.signing]]
file = "DIR/first.key"
id = "first"
[[introspection.plan]]
name = "member"
rate = 5000.0
burst = 10000.0
[[introspection.client]]
id = "app &1"
secret_sha256 = "HASH"
plan = "member"
[[introspection.client]]
id = "certified"
auth = "tls_client_auth"
tls_dns = "member.example"
plan = "member"
[[introspection.issuer]]
name = "members"
iss = "https://as.example"
rest = true
servers = ["IDP"]
tls = { ca_file = "DIR/root.pem", name = "as.example" }
fallback = { for = "1m", jwks_path = "/jwks", audiences = ["api"], every = "100ms" }
` + more)
	path := filepath.Join(l.dir, "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		l.t.Fatal(err)
	}
	return config.ReadOperator(path, func(string) string { return "" })
}

func startLiveDaemon(t *testing.T, script string) *liveDaemon {
	t.Helper()
	l := &liveDaemon{t: t, dir: t.TempDir(), addr: freeAddr(t)}
	var err error
	if l.ca, err = ca.New(l.dir); err != nil {
		t.Fatal(err)
	}
	l.issue("127.0.0.1")
	l.issue("as.example")
	l.issue("member.example")
	l.signingKey("first.key")
	l.signingKey("second.key")
	steps, err := faults.Parse(script)
	if err != nil {
		t.Fatal(err)
	}
	o := idp.Options{Issuer: "https://as.example", Script: steps, Inactive: "no-", Faulty: "/introspect"}
	if l.idp, err = idp.New(o); err != nil {
		t.Fatal(err)
	}
	pair := filepath.Join(l.dir, "as.example")
	expired := l.expiredCertificate()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", l.idp.TLS(func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(pair+".pem", pair+".key")
		return &c, err
	}, expired))
	if err != nil {
		t.Fatal(err)
	}
	l.idpAddr = listener.Addr().String()
	server := &http.Server{Handler: l.idp, ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(listener)
	file, err := l.operator("")
	if err != nil {
		t.Fatal(err)
	}
	work, end := context.WithCancel(t.Context())
	l.program = &program{log: zerolog.New(&l.log), listen: direct.Listen, dial: direct.Dial, work: work,
		failed: make(chan error, 4)}
	if err := l.program.start(nil, *file); err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	text, err := os.ReadFile(l.ca.Root())
	if err != nil {
		t.Fatal(err)
	}
	roots.AppendCertsFromPEM(text)
	l.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		TLSClientConfig: &tls.Config{RootCAs: roots}}}
	t.Cleanup(func() {
		l.client.CloseIdleConnections()
		l.program.drain()
		end()
		server.Close()
	})
	return l
}

// expiredCertificate returns an expired certificate for the authorization server.
func (l *liveDaemon) expiredCertificate() *tls.Certificate {
	l.t.Helper()
	dir := l.t.TempDir()
	other, err := ca.New(dir)
	if err != nil {
		l.t.Fatal(err)
	}
	p, err := other.Issue("as.example", -time.Hour)
	if err != nil {
		l.t.Fatal(err)
	}
	c, err := tls.LoadX509KeyPair(p.Cert, p.Key)
	if err != nil {
		l.t.Fatal(err)
	}
	return &c
}

// introspect sends an introspection request for a token and returns the status and the body.
func (l *liveDaemon) introspect(token string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "https://"+l.addr+"/introspect",
		strings.NewReader(url.Values{"token": {token}}.Encode()))
	if err != nil {
		return 0, "", err
	}
	r.SetBasicAuth(url.QueryEscape("app &1"), url.QueryEscape("s&cret"))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := l.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// The daemon passes all checks of package conform.
func TestDaemonConforms(t *testing.T) {
	l := startLiveDaemon(t, "")
	cert, err := tls.LoadX509KeyPair(filepath.Join(l.dir, "member.example.pem"),
		filepath.Join(l.dir, "member.example.key"))
	if err != nil {
		t.Fatal(err)
	}
	report, err := conform.Run(
		t.Context(),
		conform.Target{URL: "https://" + l.addr + "/introspect", ClientID: "app &1",
			Secret: "s&cret", Token: "tok-1", CertClient: "certified", Cert: &cert,
			TLS: l.client.Transport.(*http.Transport).TLSClientConfig},
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range report.Results {
		if r.Verdict != conform.Pass {
			t.Errorf("%s %s: %s: %s", r.ID, r.Verdict, r.Text, r.Why)
		}
	}
}

// Certificates and keys are replaced and the operator file is reloaded, once with an invalid one, under
// constant load. No request may fail.
func TestKeysAndCertificatesRotatedUnderLoad(t *testing.T) {
	l := startLiveDaemon(t, "")
	answered, done := make(chan struct{}), make(chan struct{})
	var wait sync.WaitGroup
	for worker := range 6 {
		wait.Go(func() {
			for i := 0; ; i++ {
				if i%10 == 0 { // new connections use the new files
					l.client.CloseIdleConnections()
				}
				status, text, err := l.introspect(fmt.Sprintf("tok-%d-%d", worker, i))
				if status != 200 || !strings.Contains(text, `"active":true`) || err != nil {
					t.Errorf("%d %s %v", status, text, err)
					return
				}
				select {
				case answered <- struct{}{}:
				case <-done:
					return
				}
			}
		})
	}
	const newKey = "[[introspection.signing]]\nid = \"second\"\nfile = \"DIR/second.key\"\n"
	const newPlan = "[[introspection.plan]]\nname = \"x\"\n"
	for round, more := range []string{newKey, "", "surprise = true", newKey, newPlan, ""} {
		for range 60 {
			select {
			case <-answered:
			case <-time.After(20 * time.Second):
				t.Fatal("no response for 20 s")
			}
		}
		l.issue("127.0.0.1")
		l.issue("as.example")
		o, err := l.operator(strings.ReplaceAll(more, "DIR", l.dir))
		if (err != nil) != (round == 2) {
			t.Errorf("round %d: %v", round, err)
		}
		l.program.reloadOperator(o, err)
	}
	close(done)
	wait.Wait()
	text := l.log.String()
	for code, times := range map[string]int{`"reloaded"`: 5, `"reload-failed"`: 1} {
		if n := strings.Count(text, code); n != times {
			t.Errorf("the log contains %s %d times, want %d", code, n, times)
		}
	}
}

// No request is sent to an authorization server whose certificate has expired.
func TestExpiredIssuerCertificateIsRejected(t *testing.T) {
	l := startLiveDaemon(t, "at 0s expired")
	for i := range 10 {
		status, text, err := l.introspect(fmt.Sprint("tok-", i))
		if err != nil || status != 503 && status != 429 || strings.Contains(text, "active") {
			t.Errorf("%d %s %v", status, text, err)
		}
	}
	if l.idp.Asked() != 0 || !strings.Contains(l.log.String(), "expired") {
		t.Errorf("%d requests reached it; the log:\n%s", l.idp.Asked(), l.log.String())
	}
}

// While an authorization server fails, its tokens are validated locally with its published keys, if the
// operator has enabled the fallback.
func TestFallbackWhileIssuerFails(t *testing.T) {
	l := startLiveDaemon(t, "at 0s status 500")
	key, err := l.idp.Key()
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now().Unix()
	token := sign.JWT(t, jose.ES256, key, "at+jwt", "", false, map[string]any{"iss": "https://as.example",
		"aud": "api", "sub": "me", "jti": "1", "client_id": "x", "iat": now, "exp": now + 600})
	refused := 0
	for end := time.Now().Add(20 * time.Second); ; {
		status, text, err := l.introspect(token)
		if err != nil || strings.Contains(text, `"active":false`) || time.Now().After(end) {
			t.Fatalf("%d %s %v, after %d refusals; the log:\n%s", status, text, err, refused, l.log.String())
		}
		if status == 200 {
			if !strings.Contains(text, `"introspection_source":"local"`) {
				t.Errorf("not marked: %s", text)
			}
			break
		}
		refused++
	}
	if refused < 4 {
		t.Errorf("%d refusals before the fallback, want at least 4", refused)
	}
	if text := l.log.String(); strings.Contains(text, token) ||
		!strings.Contains(text, "answered-by-fallback") {
		t.Error("the log contains the token, or lacks the fallback")
	}
}
