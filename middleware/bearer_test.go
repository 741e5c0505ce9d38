package middleware_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"dunespoke/bearer"
	"dunespoke/middleware"
	"dunespoke/middleware/ginmw"
)

// known is an authorization server that knows two tokens.
type known map[string]string

func (k known) Introspect(_ context.Context, token string) ([]byte, error) {
	if text, ok := k[token]; ok {
		return []byte(text), nil
	}
	return []byte(`{"active":false}`), nil
}

var tokens = known{"reader": `{"active":true,"sub":"ann","scope":"read"}`,
	"payer": `{"active":true,"sub":"bob","scope":"read pay"}`}

// A handler that wants a token with a scope, and knows whose it is.
func ExampleBearer() {
	guard, err := middleware.Bearer(middleware.BearerOptions{
		Introspector: tokens, // or &middleware.Remote{URL: "https://ingress.example/introspect", ...}
		Require: func(*http.Request) bearer.Requirement {
			return bearer.Requirement{Scopes: []string{"pay"}}
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	h := guard.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		claims, _ := middleware.Claims(r.Context())
		fmt.Fprint(w, "paid by ", claims.Subject)
	}))
	for _, token := range []string{"payer", "reader", "nobody"} {
		r := httptest.NewRequest(http.MethodPost, "/pay", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == 200 {
			fmt.Println(w.Code, w.Body)
		} else {
			fmt.Println(w.Code, w.Header().Get("WWW-Authenticate"))
		}
	}
	// Output:
	// 200 paid by bob
	// 403 Bearer error="insufficient_scope", error_description="the token lacks a scope", scope="pay"
	// 401 Bearer error="invalid_token", error_description="the token is not active"
}

func TestBearerBeforeGin(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	guard, err := middleware.Bearer(middleware.BearerOptions{Introspector: tokens})
	if err != nil {
		t.Fatal(err)
	}
	ran := 0
	router := gin.New()
	router.Use(ginmw.Bearer(guard))
	router.GET("/", func(c *gin.Context) {
		ran++
		claims, _ := middleware.Claims(c.Request.Context())
		c.String(http.StatusOK, claims.Subject)
	})
	for token, want := range map[string]int{"reader": 200, "nobody": 401} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		if w.Code != want || want == 200 && w.Body.String() != "ann" {
			t.Errorf("%s: %d %s", token, w.Code, w.Body)
		}
	}
	if ran != 1 {
		t.Errorf("the handler ran %d times", ran)
	}
	if _, err := middleware.Bearer(middleware.BearerOptions{}); err == nil {
		t.Error("no introspector, and no error")
	}
}

// Only an answer with 200 says anything of a token. All else is an error, that says when to come back where
// the endpoint did.
func TestRemote(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		after  time.Duration
		busy   bool
		ok     bool
	}{
		"answered":  {200, `{"active":true}`, 0, false, true},
		"busy":      {429, `{}`, 7 * time.Second, true, false},
		"silent":    {503, `{}`, 7 * time.Second, false, false},
		"an error":  {500, `{"active":false}`, 0, false, false},
		"not known": {401, `{"active":false}`, 0, false, false},
		"too large": {200, string(make([]byte, 65<<10)), 0, false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id, secret, _ := r.BasicAuth()
			if r.PostFormValue("token") != "tok" || id != "a%3Ab" || secret != "c" ||
				r.Header.Get("X-Remaining") == "" {
				t.Errorf("%s: asked by %q, %v", name, id, r.PostForm)
			}
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(c.status)
			w.Write([]byte(c.body))
		}))
		remote := &middleware.Remote{URL: server.URL, ID: "a:b", Secret: "c", Patience: 5 * time.Second}
		text, err := remote.Introspect(t.Context(), "tok")
		server.Close()
		var u *middleware.Unavailable
		if (err == nil) != c.ok || c.ok && string(text) != c.body || errors.As(err, &u) != (c.after > 0) ||
			u != nil && (u.RetryAfter != c.after || u.Busy != c.busy) {
			t.Errorf("%s: %s, %v", name, text, err)
		}
	}
	remote := &middleware.Remote{URL: "http://127.0.0.1:1/", Patience: time.Second}
	var u *middleware.Unavailable
	if _, err := remote.Introspect(t.Context(), "tok"); !errors.As(err, &u) {
		t.Errorf("nobody there: %v", err)
	}
}
