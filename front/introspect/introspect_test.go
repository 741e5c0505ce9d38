package introspect

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"dunespoke/choice"
	"dunespoke/internal/http1"
)

func response(status int, text string) *http1.Response {
	return &http1.Response{Response: &http.Response{StatusCode: status}, Content: []byte(text)}
}

func TestOnlyAWholeAnswerSaysAnythingOfAToken(t *testing.T) {
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

func TestCacheKeepsWithinBounds(t *testing.T) {
	c := newCache(time.Minute)
	active := &Token{Active: true, Expires: 100 * time.Second, Text: []byte("x")}
	c.put("a", "t", active, 70*time.Second)
	c.put("a", "inactive", &Token{Expires: 100 * time.Second}, 0)
	c.put("a", "endless", &Token{Active: true}, 0)
	for _, at := range []struct {
		client, token string
		now           time.Duration
		kept          bool
	}{{"a", "t", 99 * time.Second, true}, {"b", "t", 99 * time.Second, false}, {"a", "inactive", 0, false},
		{"a", "endless", 0, false}, {"a", "t", 100 * time.Second, false}, {"a", "t", 99 * time.Second, false}} {
		if kept := c.get(at.client, at.token, at.now) != nil; kept != at.kept {
			t.Errorf("%+v: kept %v", at, kept)
		}
	}
	for i := range mostCached + 100 {
		c.put("a", string(rune(i+0x10000)), active, 0)
	}
	if len(c.all) > mostCached {
		t.Errorf("%d answers kept, at most %d wanted", len(c.all), mostCached)
	}
}

// Whatever a service answers, it counts as an answer only where other readers of JSON see the same in it.
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
			t.Fatalf("%q passed as %+v", text, token)
		}
	})
}
