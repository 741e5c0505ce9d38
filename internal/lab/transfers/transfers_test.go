package transfers

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dunespoke/internal/lab/origin"
)

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		address string
		count   int
		d       time.Duration
		ok      bool
	}{
		{"loopback", "http://127.0.0.1:80", 1, time.Second, true},
		{"another machine", "http://192.0.2.1:80", 1, time.Second, false},
		{"a name", "http://localhost:80", 1, time.Second, false},
		{"none", "http://127.0.0.1:80", 0, time.Second, false},
		{"too many", "http://127.0.0.1:80", maxCount + 1, time.Second, false},
		{"no time", "http://127.0.0.1:80", 1, 0, false},
		{"too long", "http://127.0.0.1:80", 1, maxDuration + 1, false},
	} {
		if err := Check(c.address, c.count, c.d); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestRunAtEitherPace(t *testing.T) {
	front := httptest.NewServer(origin.New(origin.Options{}))
	defer front.Close()
	for _, side := range []Side{Client, Server} {
		started := make(chan struct{})
		report, err := Run(t.Context(), Options{URL: front.URL, Count: 8, Duration: 200 * time.Millisecond,
			SlowSide: side}, func() { close(started) })
		if err != nil {
			t.Fatal(err)
		}
		if report.Done != 8 || report.FirstError != nil {
			t.Errorf("%s: %+v, want 8 done", side, report)
		}
		<-started
	}
}

func TestRunCountsRefusedAndWrong(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    Report
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, Report{Refused: 2}},
		{"not served", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, Report{Failed: 2}},
		{"wrong bytes", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 100))
		}, Report{Wrong: 1, Failed: 1}}, // of the upload the server says that it got another length
	} {
		front := httptest.NewServer(c.handler)
		report, err := Run(t.Context(), Options{URL: front.URL, Count: 2, Duration: 50 * time.Millisecond,
			SlowSide: Client}, nil)
		front.Close()
		if err != nil {
			t.Fatal(err)
		}
		if report.Refused != c.want.Refused || report.Failed != c.want.Failed || report.Wrong != c.want.Wrong ||
			report.FirstError == nil {
			t.Errorf("%s: %+v, want %+v and an error", c.name, report, c.want)
		}
	}
}

func TestMeasureLatencies(t *testing.T) {
	front := httptest.NewServer(origin.New(origin.Options{}))
	defer front.Close()
	result, err := MeasureLatencies(t.Context(), front.URL+"/small?bytes=100", 100, 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if result.Sent != 10 || result.Served != 10 || result.Microseconds.TotalCount() != 10 {
		t.Errorf("%d sent, %d served, %d timed, want 10 of each", result.Sent, result.Served,
			result.Microseconds.TotalCount())
	}
}
