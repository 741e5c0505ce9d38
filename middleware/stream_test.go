package middleware_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/middleware"
)

// streaming runs a test against a handler whose requests stream, two at a time.
func streaming(t *testing.T, h http.HandlerFunc, test func(t *testing.T, h http.Handler)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		l, err := middleware.New(ctx, middleware.Options{
			Settings: choice.Settings{Gateways: 1, MaxUnits: 1, MaxRetryAfter: 5 * time.Second, QueueField: -1,
				Classes: []choice.Class{{Name: "read", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
				Plans:   []choice.Plan{{Name: "p", Price: 1}}},
			Classify: func(*http.Request) (core.Request, error) {
				return core.Request{Class: "read", Plan: "p", Customer: 1, Units: 1, Spread: 1}, nil
			},
			Streams:     func(*http.Request) bool { return true },
			MostStreams: 2,
		})
		if err != nil {
			t.Fatal(err)
		}
		test(t, l.Middleware(h))
	})
}

// begin serves a request in the background; wait returns what ServeHTTP panicked with.
func begin(h http.Handler, r *http.Request) (w *httptest.ResponseRecorder, wait func() any) {
	w = httptest.NewRecorder()
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		h.ServeHTTP(w, r)
	}()
	return w, func() any { return <-done }
}

// An upload may come for longer than the class's deadline, and the answer goes out as it is written.
func TestStreamsBothWays(t *testing.T) {
	next := make(chan struct{})
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "yes")
		w.WriteHeader(http.StatusCreated)
		w.Write(body)
		<-next
		io.WriteString(w, " and more")
	}
	streaming(t, echo, func(t *testing.T, h http.Handler) {
		next = make(chan struct{})
		reader, writer := io.Pipe()
		w, wait := begin(h, httptest.NewRequest(http.MethodPut, "/", reader))
		for range 5 {
			time.Sleep(time.Second)
			io.WriteString(writer, "x")
		}
		writer.Close()
		synctest.Wait()
		if w.Code != 201 || w.Body.String() != "xxxxx" || w.Header().Get("X-Own") != "yes" {
			t.Errorf("before its end: %d %q %v", w.Code, w.Body, w.Header())
		}
		time.Sleep(time.Minute)
		close(next)
		if p := wait(); p != nil || w.Body.String() != "xxxxx and more" {
			t.Errorf("%v %q", p, w.Body)
		}
	})
}

// A handler that breaks off is told by a cut connection once its answer has begun; before, like one whose
// answer is held whole, as far as nothing was read of its request.
func TestStreamsThatBreakOff(t *testing.T) {
	breaks := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			io.WriteString(w, "half")
		}
		io.Copy(io.Discard, r.Body)
		panic("broken")
	}
	streaming(t, breaks, func(t *testing.T, h http.Handler) {
		_, wait := begin(h, httptest.NewRequest(http.MethodGet, "/late", nil))
		if p := wait(); p != http.ErrAbortHandler {
			t.Errorf("after the head: %v", p)
		}
		w, wait := begin(h, httptest.NewRequest(http.MethodGet, "/early", nil))
		if p := wait(); p != nil || w.Code != 429 {
			t.Errorf("before the head: %v, %d", p, w.Code)
		}
		w, wait = begin(h, httptest.NewRequest(http.MethodPut, "/early", strings.NewReader("x")))
		if p := wait(); p != nil || w.Code != 502 {
			t.Errorf("before the head of an upload's answer: %v, %d", p, w.Code)
		}
	})
}

// The deadline is about the answer's head, counted from the end of the upload.
func TestStreamsWhoseHeadIsLate(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		io.WriteString(w, "too late")
	}
	streaming(t, silent, func(t *testing.T, h http.Handler) {
		start := time.Now()
		w, wait := begin(h, httptest.NewRequest(http.MethodPut, "/", strings.NewReader("x")))
		wait()
		if took := time.Since(start); w.Code != 502 || took != 2*time.Second {
			t.Errorf("%d after %v: %q", w.Code, took, w.Body)
		}
	})
}

func TestStreamsBeyondTheirNumberAreRefusedAtOnce(t *testing.T) {
	hold := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	streaming(t, hold, func(t *testing.T, h http.Handler) {
		ctx, leave := context.WithCancel(t.Context())
		var waits []func() any
		for range 2 {
			_, wait := begin(h, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
			waits = append(waits, wait)
		}
		synctest.Wait()
		w, wait := begin(h, httptest.NewRequest(http.MethodGet, "/", nil))
		wait()
		if w.Code != 503 || w.Header().Get("Retry-After") != "1" {
			t.Errorf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
		leave()
		for _, wait := range waits {
			wait()
		}
	})
}
