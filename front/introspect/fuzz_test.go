package introspect

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"dunespoke/internal/http1"
)

// Arbitrary bodies and Authorization headers never authenticate a client, and get an error status from 400 to
// 429.
func FuzzStrangers(f *testing.F) {
	f.Add("token=x&client_id=a&client_secret=b", "Basic YTpi")
	f.Add("token=x&client_assertion_type=urn%3Aietf%3Aparams%3Aoauth%3Aclient-assertion-type%3Ajwt-bearer&"+
		"client_assertion=e30.e30.", "")
	f.Add("token=x&client_id=tls", "Bearer x")
	s := &setup{clients: map[string]Client{"app": {ID: "app"}, "tls": {ID: "tls", Method: TLS},
		"key": {ID: "key", Method: PrivateKeyJWT}}, replayMemories: &replayMemories{}}
	f.Fuzz(func(t *testing.T, body, authorization string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		if authorization != "" {
			r.Header.Set("Authorization", authorization)
		}
		req := &http1.Request{Request: r, Content: []byte(body)}
		form, problem := readForm(req)
		if problem != nil {
			return
		}
		creds, err := readCredentials(req, form)
		if err == nil && creds.method != BearerToken {
			_, err = s.authenticate(req, creds)
		}
		if err == nil && creds.method != BearerToken {
			t.Fatalf("%q with %q is authenticated as %q", body, authorization, creds.id)
		}
		if err != nil {
			if a := s.authFailure(creds, err); a.Status < 400 || a.Status > 429 {
				t.Fatalf("status %d", a.Status)
			}
		}
	})
}
