package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/direct"
)

// getRequest is a message without a body.
type getRequest struct{}

func (getRequest) Append(buf []byte, _ core.Server, _ time.Duration) []byte {
	return append(buf, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"...)
}

// BenchmarkAdded measures the latency that this stage adds to a server's 5 ms at 600 and 2,500 requests a
// second in an open loop, in microseconds at the median and the 99th percentile:
//
//	go test ./internal/net/forward -run xxx -bench Added -benchtime 3000x
func BenchmarkAdded(b *testing.B) {
	for _, rate := range []int{600, 2500} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			const work = 5 * time.Millisecond
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(work)
				if _, err := w.Write([]byte("hello")); err != nil {
					b.Error(err)
				}
			}))
			defer server.Close()
			f := New(Config{DialTimeout: time.Second, KeepAlive: time.Minute, Connections: 500,
				Dial:  direct.Dial,
				Judge: func(*http1.Response) core.Result { return core.Result{Code: choice.OK} }})
			to := core.Server{Name: "s", Addr: server.Listener.Addr().String()}
			var mu sync.Mutex
			var latencies []time.Duration
			var wait sync.WaitGroup
			start := time.Now()
			for i := range b.N {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				begun := time.Now()
				wait.Add(1)
				f.Start(core.Attempt{Server: to, Timeout: time.Second, Payload: getRequest{}, End: func(r core.Result) {
					mu.Lock()
					defer mu.Unlock()
					if r.Code == choice.OK {
						latencies = append(latencies, time.Since(begun)-work)
					}
					wait.Done()
				}})
			}
			wait.Wait()
			if len(latencies) < b.N {
				b.Errorf("%d of %d answered", len(latencies), b.N)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
			f.Drop(to)
		})
	}
}
