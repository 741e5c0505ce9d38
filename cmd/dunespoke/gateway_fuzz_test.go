package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/scenario"
)

// Whatever a client sends, an app server receives only well-formed requests without hop-by-hop fields, and
// the program doesn't crash.
func FuzzGateway(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\n\r\n",
		"POST /withdraw HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\nContent-Length: 40\r\nExpect: 100-continue\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"5\r\nhello\r\n0\r\nX: 1\r\n\r\n" +
			"HEAD /b HTTP/1.1\r\nHost: h\r\nX-Account: 1\r\nConnection: x-account, te\r\nTE: trailers\r\n\r\n",
		"GET http://h:80/a%2fb HTTP/1.0\r\nX-Account: 1\r\nForwarded: for=\"\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		synctest.Test(t, func(t *testing.T) {
			n := scenario.NewNet()
			ctx, end := context.WithCancel(t.Context())
			l, _ := n.Listen("memory", "app")
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					go serveStrictly(t, nc)
				}
			}()
			p := &program{log: zerolog.Nop(), listen: n.Listen, dial: n.Dial, work: ctx,
				failed: make(chan error, 4)}
			if err := p.start(nil, gatewayConf()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			nc, err := n.Dial(ctx, "memory", "ingress")
			if err != nil {
				t.Fatal(err)
			}
			go io.Copy(io.Discard, nc)
			nc.SetWriteDeadline(time.Now().Add(time.Minute))
			nc.Write(sent)
			time.Sleep(time.Second)
			nc.Close()
			p.drain()
			end()
			n.Close()
			time.Sleep(time.Minute)
		})
	})
}

// serveStrictly simulates an app server that reports malformed requests and hop-by-hop fields.
func serveStrictly(t *testing.T, nc net.Conn) {
	defer nc.Close()
	for in := bufio.NewReader(nc); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.ErrClosedPipe) {
				t.Errorf("an app server received a malformed request: %v", err)
			}
			return
		}
		for _, name := range []string{"Keep-Alive", "Proxy-Connection", "Upgrade", "Expect", "X-Real-Ip"} {
			if r.Header.Get(name) != "" {
				t.Errorf("an app server received %s: %s", name, r.Header.Get(name))
			}
		}
		if r.Host == "" && r.ProtoAtLeast(1, 1) && r.Header.Get("Via") == "" {
			t.Error("an app server received neither Host nor Via")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
