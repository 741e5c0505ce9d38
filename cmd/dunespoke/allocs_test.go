//go:build !race

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"dunespoke/internal/net/direct"
)

// What the gateway allocates, client, app server and all: 110% of it fails. Measured with go1.26 on amd64.
const (
	allocsSmall    = 177
	allocsMegabyte = 192
)

// gatewayOn runs a gateway before an app server on loopback, and returns its address.
func gatewayOn(b *testing.B) string {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var n int
		fmt.Sscan(r.URL.Query().Get("bytes"), &n)
		w.Header().Set("Content-Length", fmt.Sprint(n))
		w.Write(make([]byte, n))
	}))
	b.Cleanup(app.Close)
	o := gatewayConf()
	o.Gateway.Listen = "127.0.0.1:0"
	o.Gateway.Pools[0].Servers = []string{app.Listener.Addr().String()}
	o.Gateway.Plans[0].Rate = 0
	o.Gateway.Transfers.Bytes, o.Gateway.Transfers.Window = 1<<20, 64<<10
	ctx, end := context.WithCancel(context.Background())
	b.Cleanup(end)
	addr := make(chan string, 1)
	p := &program{log: zerolog.Nop(), dial: direct.Dial, work: ctx, failed: make(chan error, 4)}
	p.listen = func(network, at string) (net.Listener, error) {
		l, err := direct.Listen(network, at)
		if err == nil {
			addr <- l.Addr().String()
		}
		return l, err
	}
	if err := p.start(nil, o); err != nil {
		b.Fatal(err)
	}
	return <-addr
}

func benchmarkBytes(b *testing.B, n int) {
	address := fmt.Sprintf("http://%s/?bytes=%d", gatewayOn(b), n)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		q, _ := http.NewRequest("GET", address, nil)
		q.Header.Set("X-Account", "1")
		r, err := http.DefaultClient.Do(q)
		if err != nil || r.StatusCode != 200 {
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
