package conform

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"math/big"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunespoke/internal/lab/endpoint"
	"dunespoke/internal/lab/sign"
)

// run checks an endpoint that violates the requirement with the ID defect; empty: none.
func run(t *testing.T, defect string) *Report {
	t.Helper()
	clientKey := sign.Key(t)
	c := &x509.Certificate{SerialNumber: big.NewInt(7), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, &clientKey.PublicKey, clientKey)
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint.Endpoint{Defect: defect, Key: sign.Key(t), Cert: raw}
	server := httptest.NewUnstartedServer(e)
	server.TLS = &tls.Config{ClientAuth: tls.RequestClientCert, MinVersion: tls.VersionTLS12}
	if defect == "7662-13" {
		server.TLS.MinVersion = tls.VersionTLS10
	}
	server.StartTLS()
	defer server.Close()
	e.URL = server.URL
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	report, err := Run(
		t.Context(),
		Target{URL: server.URL + "/introspect", ClientID: endpoint.ClientID, Secret: endpoint.Secret,
			Token: endpoint.Token, TLS: &tls.Config{RootCAs: roots}, CertClient: endpoint.Certified,
			Cert: &tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: clientKey}},
	)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// An endpoint that satisfies all requirements passes all checks, and one that violates a requirement fails
// its check. A check that no defect can fail would be useless.
func TestEachCheckDetectsItsDefect(t *testing.T) {
	for _, r := range run(t, "").Results {
		if r.Verdict != Pass {
			t.Errorf("without a defect: %s %s: %s", r.ID, r.Verdict, r.Why)
		}
	}
	for _, id := range IDs() {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			report := run(t, id)
			for _, r := range report.Results {
				if r.ID == id && (r.Verdict != Fail || r.Why == "" || !report.Failed()) {
					t.Errorf("%s: %s %s", r.Text, r.Verdict, r.Why)
				}
			}
		})
	}
}

func TestReports(t *testing.T) {
	r := &Report{URL: "https://x", Results: []Result{{ID: "1", Section: "RFC", Text: "a", Verdict: Pass},
		{ID: "2", Text: "b", Verdict: Skip, Why: "not given"}}}
	var table, text bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(text.Bytes(), &back); err != nil || len(back.Results) != 2 || back.Failed() {
		t.Errorf("%+v, %v", back, err)
	}
	for _, want := range []string{"skipped", "b: not given", "1 pass, 0 fail, 1 skipped"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
}

// A report about an unreachable endpoint contains neither the secret nor the token.
func TestReportsContainNoSecrets(t *testing.T) {
	r, err := Run(
		t.Context(),
		Target{URL: "http://127.0.0.1:1/", ClientID: "app", Secret: "s3cr3t", Token: "t0k3n"},
	)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := r.WriteJSON(&text); err != nil || !r.Failed() || strings.Contains(text.String(), "s3cr3t") ||
		strings.Contains(text.String(), "t0k3n") {
		t.Errorf("%s, %v", text.String(), err)
	}
}

func TestInvalidTargets(t *testing.T) {
	for _, target := range []Target{{}, {URL: "x"}, {URL: "ftp://x", ClientID: "a", Token: "b"},
		{URL: "https://x", ClientID: "a"}} {
		if _, err := Run(t.Context(), target); err == nil {
			t.Errorf("%+v is accepted", target)
		}
	}
}
