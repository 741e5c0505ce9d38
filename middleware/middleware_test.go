package middleware_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/middleware"
	"dunespoke/middleware/ginmw"
)

func limiter(t *testing.T, burst float64) *middleware.Limiter {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	l, err := middleware.New(ctx, middleware.Options{
		Settings: choice.Settings{Gateways: 1, MaxAttempts: 1, MaxUnits: 1, MaxRetryAfter: 5 * time.Second,
			QueueField: -1, Classes: []choice.Class{{Name: "read", Repeat: choice.Safe, Aim: time.Second,
				Deadline: 2 * time.Second, Worth: 1}},
			Plans: []choice.Plan{{Name: "p", Rate: 0.1, Burst: burst, Price: 1, ExcessCost: 1}}},
		Classify: func(r *http.Request) (core.Request, error) {
			if r.URL.Path == "/odd" {
				return core.Request{}, errors.New("odd")
			}
			return core.Request{Class: "read", Plan: "p", Customer: 1, Units: 1, Spread: 1}, nil
		},
		MostBody: 100,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return l
}

// bothWays runs a test with the handler behind net/http's middleware, and behind gin's.
func bothWays(t *testing.T, burst float64, h http.HandlerFunc, test func(t *testing.T, h http.Handler)) {
	gin.SetMode(gin.TestMode)
	t.Run("net/http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, limiter(t, burst).Middleware(h)) })
	})
	t.Run("gin", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			engine := gin.New()
			engine.Use(ginmw.New(limiter(t, burst)))
			engine.NoRoute(func(c *gin.Context) {
				c.Status(http.StatusOK) // gin presets 404 for these
				h(c.Writer, c.Request)
			})
			test(t, engine)
		})
	})
}

func ask(h http.Handler, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestServedUntilTheQuotaIsSpent(t *testing.T) {
	runs := 0
	echo := func(w http.ResponseWriter, r *http.Request) {
		runs++
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "yes")
		w.WriteHeader(http.StatusCreated)
		w.Write(append([]byte("got "), body...))
	}
	bothWays(t, 3, echo, func(t *testing.T, h http.Handler) {
		runs = 0
		for range 3 {
			w := ask(h, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("hi")))
			if w.Code != 201 || w.Body.String() != "got hi" || w.Header().Get("X-Own") != "yes" {
				t.Fatalf("%d %q %v", w.Code, w.Body, w.Header())
			}
		}
		w := ask(h, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("hi")))
		if w.Code != 429 || w.Header().Get("Retry-After") != "5" || runs != 3 {
			t.Errorf("%d, Retry-After %q, %d runs", w.Code, w.Header().Get("Retry-After"), runs)
		}
	})
}

func TestASlowHandlerIsAnsweredForInTime(t *testing.T) {
	heeds := func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		time.Sleep(time.Second) // and takes its time
		w.Write([]byte("too late"))
	}
	bothWays(t, 9, heeds, func(t *testing.T, h http.Handler) {
		start, answered := time.Now(), time.Duration(0)
		w := &watched{httptest.NewRecorder(), func() { answered = time.Since(start) }}
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if answered != 2*time.Second || w.Code != 429 || strings.Contains(w.Body.String(), "too late") {
			t.Errorf("%d %q after %v", w.Code, w.Body, answered)
		}
		time.Sleep(5 * time.Second)
	})
}

type watched struct {
	*httptest.ResponseRecorder
	flushed func()
}

func (w *watched) Flush() { w.flushed() }

func TestAPanicIsAFailureOfItsRequestAlone(t *testing.T) {
	panics := func(http.ResponseWriter, *http.Request) { panic("oops") }
	bothWays(t, 9, panics, func(t *testing.T, h http.Handler) {
		for range 2 {
			if w := ask(h, httptest.NewRequest(http.MethodGet, "/", nil)); w.Code != 429 && w.Code != 502 {
				t.Errorf("%d %q", w.Code, w.Body)
			}
		}
	})
}

func TestAClientThatLeavesEndsTheRun(t *testing.T) {
	var ended bool
	waits := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended = true
	}
	bothWays(t, 9, waits, func(t *testing.T, h http.Handler) {
		ended = false
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		ask(h, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
		synctest.Wait()
		if !ended {
			t.Error("the run goes on")
		}
	})
}

func TestBadRequestsDoNotRun(t *testing.T) {
	fails := func(http.ResponseWriter, *http.Request) { t.Error("it ran") }
	bothWays(t, 9, fails, func(t *testing.T, h http.Handler) {
		if w := ask(h, httptest.NewRequest(http.MethodGet, "/odd", nil)); w.Code != 400 {
			t.Errorf("odd: %d", w.Code)
		}
		body := strings.NewReader(strings.Repeat("x", 101))
		if w := ask(h, httptest.NewRequest(http.MethodPost, "/", body)); w.Code != 413 {
			t.Errorf("too large: %d", w.Code)
		}
	})
}
