//go:build !race

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"dunespoke/internal/config"
)

// Expected allocations per request, including those of the client and the app server, with go1.26 on amd64.
const (
	smallResponseAllocs    = 167
	megabyteResponseAllocs = 180
)

func benchmarkResponse(b *testing.B, n int) {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.Write(make([]byte, n))
	}))
	defer app.Close()
	address := "http://" + startGatewayOnLoopback(b, app, func(*config.Gateway) {})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		q, _ := http.NewRequest(http.MethodGet, address, nil)
		q.Header.Set("X-Account", "1")
		r, err := http.DefaultClient.Do(q)
		if err != nil || r.StatusCode != http.StatusOK {
			b.Fatal(err, r)
		}
		if got, err := io.Copy(io.Discard, r.Body); got != int64(n) {
			b.Fatal(got, err)
		}
		r.Body.Close()
	}
}

func BenchmarkGatewaySmall(b *testing.B)    { benchmarkResponse(b, 100) }
func BenchmarkGatewayMegabyte(b *testing.B) { benchmarkResponse(b, 1<<20) }

// Allocations may not exceed the expected number by more than 10%.
func TestGatewayAllocations(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.B)
		want int64
	}{{"a small request", BenchmarkGatewaySmall, smallResponseAllocs},
		{"a MB", BenchmarkGatewayMegabyte, megabyteResponseAllocs}} {
		if got := testing.Benchmark(c.run).AllocsPerOp(); got*10 > c.want*11 {
			t.Errorf("%s: %d allocations, want about %d", c.name, got, c.want)
		}
	}
}
