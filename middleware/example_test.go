package middleware_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/middleware"
)

// A handler behind a quota of two requests at once, and one more every ten seconds.
func Example() {
	limiter, err := middleware.New(context.Background(), middleware.Options{
		Settings: choice.Settings{Gateways: 1, MaxAttempts: 1, MaxUnits: 1, MaxRetryAfter: time.Minute,
			Classes: []choice.Class{{Name: "enquiry", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
			Plans:   []choice.Plan{{Name: "basic", Rate: 0.1, Burst: 2, Price: 1, ExcessCost: 1}}},
		Classify: func(r *http.Request) (core.Request, error) {
			return core.Request{Class: "enquiry", Plan: "basic", Customer: 7, Units: 1, Spread: 1}, nil
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	h := limiter.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "balance")
	}))
	for range 3 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/accounts", nil))
		fmt.Printf("%d %q\n", w.Code, w.Header().Get("Retry-After"))
	}
	// Output:
	// 200 ""
	// 200 ""
	// 429 "10"
}
