package introspect

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/bearer"
	"dunespoke/core"
	"dunespoke/internal/freshness"
	"dunespoke/internal/http1"
	"dunespoke/middleware"
)

// fakeIntrospector maps tokens to introspection responses for the middleware. It is unavailable for other
// tokens.
type fakeIntrospector map[string]string

func (a fakeIntrospector) Introspect(_ context.Context, token string) ([]byte, error) {
	if text, ok := a[token]; ok {
		return []byte(text), nil
	}
	return nil, &middleware.Unavailable{RetryAfter: time.Second}
}

// The daemon's check and the middleware, given the same requirements and introspection responses, must decide
// alike and return byte-identical error responses.
func TestGuardMatchesMiddleware(t *testing.T) {
	answers := fakeIntrospector{
		"good":   `{"active":true,"scope":"read pay","acr":"gold"}`,
		"weak":   `{"active":true,"scope":"read pay"}`,
		"narrow": `{"active":true,"scope":"read"}`,
		"over":   `{"active":false}`,
		"bound":  `{"active":true,"scope":"read pay","cnf":{"jkt":"x"}}`,
	}
	classes := map[string]bearer.Requirement{
		"pay": {Scopes: []string{"read", "pay"}, ACR: []string{"gold"}, Realm: "bank"},
	}
	inBubble(t, func(t *testing.T) {
		r := newFixture(t, oneRule, freshness.Options{}, 1e6)
		r.services[0].setAnswer(
			func(token string) (string, time.Duration) { return answers[token], time.Millisecond },
		)
		guard := NewBearer(Bearer{Front: r.front, Plan: "member", Classes: classes})
		byMiddleware, err := middleware.Bearer(middleware.BearerOptions{Introspector: answers,
			Require: func(r *http.Request) bearer.Requirement { return classes[strings.TrimPrefix(r.URL.Path, "/")] }})
		if err != nil {
			t.Fatal(err)
		}
		authorized := 0
		handler := byMiddleware.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := middleware.Claims(r.Context()); !ok || !c.Active {
				t.Error("authorized without claims")
			}
			authorized++
		}))
		for _, c := range []struct {
			path, header string
			status       int
		}{{"/pay", "Bearer good", 0}, {"/other", "Bearer narrow", 0}, {"/pay", "Bearer narrow", 403},
			{"/pay", "Bearer weak", 401}, {"/pay", "Bearer over", 401}, {"/other", "Bearer over", 401},
			{"/pay", "Bearer bound", 401}, {"/pay", "DPoP good", 401}, {"/pay", "", 401}, {"/pay", "Basic YTpi", 400},
			{"/pay", "Bearer a b", 400}} {
			req := httptest.NewRequest(http.MethodPost, "http://h"+c.path, nil)
			if c.header != "" {
				req.Header.Set("Authorization", c.header)
			}
			w, before := httptest.NewRecorder(), authorized
			handler.ServeHTTP(w, req)
			var answer *http1.Answer
			calls := 0
			guard.Check(&http1.Request{Request: req}, core.Request{Class: strings.TrimPrefix(c.path, "/"), Spread: 1,
				Customer: 7, Deadline: r.front.current.Load().clock() + time.Second}, func(a *http1.Answer) {
				answer, calls = a, calls+1
			})
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			if calls != 1 {
				t.Fatalf("%+v: %d answers", c, calls)
			}
			if (authorized > before) != (c.status == 0) || (answer == nil) != (c.status == 0) {
				t.Errorf("%+v: authorized by the middleware %v, by the guard %v", c, authorized > before, answer == nil)
			}
			if answer == nil {
				continue
			}
			if answer.Status != c.status || w.Code != c.status || string(answer.Body) != w.Body.String() ||
				header(answer, "WWW-Authenticate") != w.Header().Get("WWW-Authenticate") {
				t.Errorf("%+v:\nguard      %d %s %s\nmiddleware %d %s %s", c, answer.Status,
					header(answer, "WWW-Authenticate"), answer.Body, w.Code, w.Header().Get("WWW-Authenticate"), w.Body)
			}
		}
		if strings.Contains(r.log.String(), "narrow") {
			t.Error("a token is in the log")
		}
	})
}

// If the introspection service is unavailable, the middleware responds with 503 and a Retry-After header, as
// the daemon does, and doesn't report the token as invalid.
func TestUnavailableIntrospectorIsNotInvalidToken(t *testing.T) {
	guard, err := middleware.Bearer(middleware.BearerOptions{Introspector: fakeIntrospector{}})
	if err != nil {
		t.Fatal(err)
	}
	req := httptest.NewRequest(http.MethodGet, "http://h/", nil)
	req.Header.Set("Authorization", "Bearer x")
	w := httptest.NewRecorder()
	guard.Middleware(http.NotFoundHandler()).ServeHTTP(w, req)
	if w.Code != 503 || w.Header().Get("Retry-After") != "1" ||
		strings.Contains(w.Body.String(), "invalid_token") {
		t.Errorf("%d %v %s", w.Code, w.Header(), w.Body)
	}
}
