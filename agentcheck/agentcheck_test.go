package agentcheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

func TestAgentCheckLines(t *testing.T) {
	for want, r := range map[string]Report{
		"ready up 75%\n":  {State: Up, Weight: 75},
		"ready up 1%\n":   {State: Up, Weight: 0}, // 0% would drain the server
		"ready up 100%\n": {State: Up, Weight: 250},
		"drain\n":         {State: Draining, Weight: 75},
		"down\n":          {State: Down},
	} {
		if got := r.Line(); got != want {
			t.Errorf("%+v: %q, want %q", r, got, want)
		}
	}
}

func TestEachConnectionGetsOneLine(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	var state atomic.Int32
	ended := make(chan error)
	go func() {
		ended <- Serve(ctx, l, func() Report { return Report{State: State(state.Load()), Weight: 40} })
	}()
	for i, want := range []string{"ready up 40%\n", "drain\n", "down\n"} {
		state.Store(int32(i))
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); string(got) != want || err != nil {
			t.Errorf("%q, %v; want %q", got, err, want)
		}
		c.Close()
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestHealthAndReadiness(t *testing.T) {
	for state, want := range map[State][2]int{Up: {200, 200}, Draining: {200, 503}, Down: {503, 503}} {
		report := func() Report { return Report{State: state} }
		for i, h := range []http.Handler{Health(report), Ready(report)} {
			w := httptest.NewRecorder()
			if h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil)); w.Code != want[i] {
				t.Errorf("state %d, check %d: status %d, want %d", state, i, w.Code, want[i])
			}
			w = httptest.NewRecorder()
			if h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil)); w.Code != 405 ||
				w.Header().Get("Allow") == "" {
				t.Errorf("POST: %d, Allow %q", w.Code, w.Header().Get("Allow"))
			}
		}
	}
}
