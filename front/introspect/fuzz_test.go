package introspect

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"dunespoke/internal/http1"
)

// Whatever a stranger sends, nobody is let in by it, and it gets an error that RFC 6749 knows.
func FuzzStrangers(f *testing.F) {
	f.Add("token=x&client_id=a&client_secret=b", "Basic YTpi")
	f.Add("token=x&client_assertion_type=urn%3Aietf%3Aparams%3Aoauth%3Aclient-assertion-type%3Ajwt-bearer&"+
		"client_assertion=e30.e30.", "")
	f.Add("token=x&client_id=tls", "Bearer x")
	s := &setup{clients: map[string]Client{"app": {ID: "app"}, "tls": {ID: "tls", Method: TLS},
		"key": {ID: "key", Method: PrivateKeyJWT}}, memories: &memories{}}
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
		by, err := show(req, form)
		if err == nil && by.method != BearerToken {
			_, err = s.authenticate(req, by)
		}
		if err == nil && by.method != BearerToken {
			t.Fatalf("%q with %q is let in as %q", body, authorization, by.id)
		}
		if err != nil {
			if a := s.refuse(by, err); a.Status < 400 || a.Status > 429 {
				t.Fatalf("status %d", a.Status)
			}
		}
	})
}
