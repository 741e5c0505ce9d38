package introspect

import (
	"encoding/json"
	"net/http"
	"testing"

	"dunespoke/choice"
	"dunespoke/internal/http1"
)

func response(status int, text string) *http1.Response {
	return &http1.Response{Response: &http.Response{StatusCode: status}, Content: []byte(text)}
}

func TestJudgeAcceptsOnlyCompleteAnswers(t *testing.T) {
	for text, want := range map[string]choice.Code{
		`{"active":true}`: choice.OK, `{"active":false}`: choice.OK, ` {"active":true,"x":[1]} `: choice.OK,
		``: choice.Error, `{}`: choice.Error, `null`: choice.Error, `{"active":"true"}`: choice.Error,
		`{"active":true`: choice.Error, `[]`: choice.Error, `{"active":null}`: choice.Error,
		`{"active":true}{`: choice.Error,
	} {
		if got := Judge(response(200, text)).Code; got != want {
			t.Errorf("%s: code %d, want %d", text, got, want)
		}
	}
	for status, want := range map[int]choice.Code{500: choice.Error, 401: choice.Error, 302: choice.Error,
		429: choice.Busy, 503: choice.Busy} {
		if got := Judge(response(status, `{"active":false}`)).Code; got != want {
			t.Errorf("status %d: code %d, want %d", status, got, want)
		}
	}
}

// Judge accepts only responses that are valid JSON, and never returns a negative expiry.
func FuzzJudge(f *testing.F) {
	f.Add(`{"active":true,"exp":1.5e9}`)
	f.Add(`{"active":false`)
	f.Fuzz(func(t *testing.T, text string) {
		result := Judge(response(200, text))
		token, ok := result.Body.(*Token)
		if (result.Code == choice.OK) != ok {
			t.Fatalf("code %d with %v", result.Code, result.Body)
		}
		if ok && (!json.Valid([]byte(text)) || token.Expires < 0) {
			t.Fatalf("%q accepted as %+v", text, token)
		}
	})
}
