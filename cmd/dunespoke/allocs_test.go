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

// What the gateway allocates, client, app server and all: 110% of it fails. Measured with go1.26 on amd64.
const (
	allocsSmall    = 167
	allocsMegabyte = 180
)

func benchmarkBytes(b *testing.B, n int) {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.Write(make([]byte, n))
	}))
	defer app.Close()
	address := "http://" + gatewayOn(b, app, func(*config.Gateway) {})
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

func BenchmarkGatewaySmall(b *testing.B)    { benchmarkBytes(b, 100) }
func BenchmarkGatewayMegabyte(b *testing.B) { benchmarkBytes(b, 1<<20) }

// A rise of allocations by more than a tenth is a fault.
func TestGatewayAllocations(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.B)
		most int64
	}{{"a small request", BenchmarkGatewaySmall, allocsSmall},
		{"a MB", BenchmarkGatewayMegabyte, allocsMegabyte}} {
		if got := testing.Benchmark(c.run).AllocsPerOp(); got*10 > c.most*11 {
			t.Errorf("%s: %d allocations, %d before", c.name, got, c.most)
		}
	}
}
