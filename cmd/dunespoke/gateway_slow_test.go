package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/config"
	"dunespoke/internal/lab/origin"
	"dunespoke/internal/scenario"
)

// withGateway runs test against a program in front of a net/http app server, both on an in-memory network
// with simulated time.
func withGateway(t *testing.T, o config.Operator, app http.HandlerFunc,
	test func(p *program, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := scenario.NewNet()
		ctx, end := context.WithCancel(t.Context())
		l, _ := n.Listen("memory", "app")
		s := &http.Server{Handler: app}
		go s.Serve(l)
		p := &program{log: zerolog.Nop(), listen: n.Listen, dial: n.Dial, work: ctx,
			failed: make(chan error, 4)}
		if err := p.start(nil, o); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		test(p, func() net.Conn {
			nc, err := n.Dial(ctx, "memory", "ingress")
			if err != nil {
				t.Fatal(err)
			}
			return nc
		})
		p.drain()
		s.Close()
		end()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// maxLeadBytes is how far one side may be ahead of the other: the buffers of both connections and a window.
const maxLeadBytes = 40 << 10

// A client that reads 2 KB/s receives 50 MB, and the server is never far ahead of it.
func TestGatewayLimitsResponseToClientRate(t *testing.T) {
	t.Parallel()
	const total = 50 << 20
	var sent atomic.Int64
	withGateway(t, gatewayConf(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(total))
		for range total / 1024 {
			n, _ := w.Write(make([]byte, 1024))
			sent.Add(int64(n))
		}
	}, func(_ *program, dial func() net.Conn) {
		nc := dial()
		defer nc.Close()
		io.WriteString(nc, "GET /big HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReaderSize(nc, 16), nil)
		if err != nil {
			t.Fatal(err)
		}
		read, buf := int64(0), make([]byte, 2000)
		for {
			time.Sleep(time.Second)
			synctest.Wait()
			if lead := sent.Load() - read; lead > maxLeadBytes {
				t.Fatalf("the server is %d bytes ahead", lead)
			}
			n, err := io.ReadFull(r.Body, buf)
			if read += int64(n); err != nil {
				break
			}
		}
		if read != total {
			t.Errorf("%d bytes of %d", read, total)
		}
	})
}

// A server that reads 2 KB/s receives 60 MB, and the client is never far ahead of it.
func TestGatewayLimitsUploadToServerRate(t *testing.T) {
	t.Parallel()
	const total = 60 << 20
	var received atomic.Int64
	withGateway(t, gatewayConf(), func(w http.ResponseWriter, r *http.Request) {
		for buf := make([]byte, 2000); ; time.Sleep(time.Second) {
			n, err := io.ReadFull(r.Body, buf)
			if received.Add(int64(n)); err != nil {
				break
			}
		}
		fmt.Fprint(w, received.Load())
	}, func(_ *program, dial func() net.Conn) {
		nc := dial()
		defer nc.Close()
		fmt.Fprintf(nc, "POST /withdraw HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\nContent-Length: %d\r\n\r\n", total)
		for wrote := int64(0); wrote < total; {
			n, err := nc.Write(make([]byte, 1024))
			if wrote += int64(n); err != nil {
				t.Fatal(err)
			}
			if lead := wrote - received.Load(); lead > maxLeadBytes {
				t.Fatalf("the client is %d bytes ahead", lead)
			}
		}
		r, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(r.Body); string(body) != fmt.Sprint(total) {
			t.Errorf("the server received %s of %d", body, total)
		}
	})
}

// If a client disconnects during its response or its request, the server is released within 100 ms.
func TestGatewayFreesServerWhenClientDisconnects(t *testing.T) {
	freed := make(chan time.Time, 1)
	withGateway(t, gatewayConf(), func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Write(make([]byte, 1024))
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		io.Copy(io.Discard, r.Body)
		freed <- time.Now()
	}, func(_ *program, dial func() net.Conn) {
		freed = make(chan time.Time, 1)
		for _, request := range []string{"GET / HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\n\r\n",
			"POST /withdraw HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\nContent-Length: 99\r\n\r\nhalf"} {
			nc := dial()
			io.WriteString(nc, request)
			time.Sleep(time.Second)
			nc.Close()
			left := time.Now()
			if took := (<-freed).Sub(left); took > 100*time.Millisecond {
				t.Errorf("released after %v by a client that had sent %q", took, request)
			}
		}
	})
}

// 300 clients that send one byte per second don't delay other requests, and are disconnected in the end.
func TestGatewayServesDespiteManySlowClients(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Transfers.Bytes = 1 << 20
	withGateway(t, o, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "money")
	}, func(p *program, dial func() net.Conn) {
		var disconnected atomic.Int64
		for i := range 300 {
			nc := dial()
			fmt.Fprintf(nc, "POST /withdraw HTTP/1.1\r\nHost: h\r\nX-Account: s%d\r\n", i)
			if i%2 == 0 { // the other half never completes its head
				io.WriteString(nc, "Transfer-Encoding: chunked\r\n\r\n")
			}
			go io.Copy(io.Discard, nc)
			go func() {
				defer nc.Close()
				for {
					if i%2 == 0 {
						if _, err := io.WriteString(nc, "1\r\nx\r\n"); err != nil {
							break
						}
					} else if _, err := io.WriteString(nc, "X"); err != nil {
						break
					}
					time.Sleep(time.Second)
				}
				disconnected.Add(1)
			}()
		}
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			nc, start := dial(), time.Now()
			io.WriteString(nc, "GET /small HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil || r.StatusCode != http.StatusOK || time.Since(start) > 10*time.Millisecond {
				t.Fatalf("%v, %v after %v", err, r, time.Since(start))
			}
			nc.Close()
		}
		time.Sleep(5 * time.Second)
		if n := disconnected.Load(); n != 150 { // those that never completed a head
			t.Errorf("%d clients disconnected, want 150", n)
		}
		start := time.Now()
		p.drain()
		if took := time.Since(start); took < 5*time.Second || took > 6*time.Second {
			t.Errorf("drained in %v", took)
		}
		p.servers = nil
	})
}

// Bodies with lengths around each limit are forwarded unchanged in both directions at once, with a
// Content-Length and chunked.
func TestGatewayForwardsBodiesOfAnyLength(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Plans[0].Rate = 0
	withGateway(t, o, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		if r.ContentLength > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
		}
		io.Copy(w, r.Body)
	}, func(_ *program, dial func() net.Conn) {
		transport := &http.Transport{Dial: func(string, string) (net.Conn, error) { return dial(), nil }}
		defer transport.CloseIdleConnections()
		for _, size := range []int{0, 1, 15, 16, 17, 1023, 1024, 4095, 4096, 4097, 8191, 8192, 16385, 1 << 20} {
			for _, chunked := range []bool{false, true} {
				body := make([]byte, size)
				origin.Pattern(body, 0)
				q, _ := http.NewRequest(http.MethodPost, "http://ingress/withdraw", bytes.NewReader(body))
				q.Header.Set("X-Account", "1")
				if chunked {
					q.ContentLength, q.TransferEncoding = -1, []string{"chunked"}
				}
				r, err := transport.RoundTrip(q)
				if err != nil {
					t.Fatal(size, chunked, err)
				}
				got, err := io.ReadAll(r.Body)
				r.Body.Close()
				if err != nil || !bytes.Equal(got, body) || r.StatusCode != http.StatusOK {
					t.Errorf("%d bytes, chunked %v: status %d, received %d, %v", size, chunked, r.StatusCode, len(got), err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}
