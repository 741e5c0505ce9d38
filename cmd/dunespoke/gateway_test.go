package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/config"
	"dunespoke/internal/lab/ca"
	"dunespoke/internal/net/direct"
)

// gatewayConf returns a configuration with one app server at "app" and a route of each class. The body of a
// withdrawal is never buffered for a retry.
func gatewayConf() config.Operator {
	second := config.Duration(time.Second)
	g := config.Gateway{
		Listen:    "ingress",
		Insecure:  true,
		Head:      16 << 10,
		Short:     16,
		Gateways:  1,
		Drain:     5 * second,
		Wait:      3 * second,
		KeepAlive: 60 * second,
		Transfers: config.Transfers{Bytes: 16 << 10, Window: 4 << 10, MinWindow: 1 << 10},
		Pace:      config.Pace{ClientStall: 20 * second, ServerStall: 20 * second},
		Pools: []config.Pool{{Name: "apps", Servers: []string{"app"}, Insecure: true, KeepAlive: 10 * second,
			DialTimeout: second / 4, Attempts: 3}},
		Classes: []config.Class{{Name: "read", Repeat: "safe", Aim: second, Deadline: 4 * second},
			{Name: "withdrawal", Repeat: "never", Aim: second, Deadline: 4 * second}},
		Plans: []config.Plan{{Name: "basic", Rate: 0.1, Burst: 12}},
		Routes: []config.Route{
			{Path: "/{rest...}", Pool: "apps", Class: "read", Plan: "basic", Customer: "header:X-Account", Units: 1,
				Spread: 1, Replay: 2 << 10, Upload: 20 * second},
			{Path: "/withdraw", Methods: []string{"POST"}, Pool: "apps", Class: "withdrawal", Plan: "basic",
				Customer: "header:X-Account", Units: 1, Spread: 1}},
	}
	return config.Operator{Gateway: g}
}

var gatewayMacros = map[string]string{
	"get":     `GET /a/b?c=d HTTP/1.1\r\nHost: shop.example\r\n$who\r\n`,
	"who":     `X-Account: 7\r\n`,
	"post":    `POST /withdraw HTTP/1.1\r\nHost: h\r\n$who`,
	"put":     `PUT /file HTTP/1.1\r\nHost: h\r\n$who`,
	"chunked": `Transfer-Encoding: chunked\r\n\r\n`,
	"ok":      `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nmoney`,
	"long":    strings.Repeat("0123456789abcdef", 64), // 1 KiB
}

// playGateway runs a script against the gateway and returns the program's log.
func playGateway(t *testing.T, o config.Operator, script string, hooks ...func(*program)) string {
	t.Helper()
	for name, text := range gatewayMacros {
		macros["g-"+name] = strings.ReplaceAll(text, "$", "$g-")
	}
	return play(t, nil, o, script, hooks...)
}

// Hop-by-hop fields and untrusted forwarding fields are removed, and all other fields are forwarded, also in
// responses without a body and in interim responses.
func TestGatewayForwardsEndToEndFields(t *testing.T) {
	playGateway(t, gatewayConf(), `
		client send GET /a/b?c=d HTTP/1.1\r\nHost: shop.example\r\n$g-who
		client send Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n
		client send X-Forwarded-For: 1.2.3.4\r\nForwarded: for=1.2.3.4\r\n
		client send Traceparent: 00-aa-bb-01\r\nUpgrade: websocket\r\n\r\n
		app expect GET /a/b?c=d HTTP/1.1\r\nHost: shop.example\r\n
		app expect Forwarded: for=unknown;host="shop.example";proto=http\r\n
		app expect Traceparent: 00-aa-bb-01\r\nVia: 1.1 dunespoke\r\nX-Account: 7\r\n
		app expect X-Forwarded-Host: shop.example\r\nX-Forwarded-Proto: http\r\n\r\n
		app wait nothing
		app send HTTP/1.1 404 Gone Fishing\r\nX-A: 1\r\nConnection: X-B\r\nX-B: 2\r\nContent-Length: 2\r\n\r\nno
		client expect HTTP/1.1 404 Gone Fishing\r\nVia: 1.1 dunespoke\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno
		client wait nothing
		client wait 10ms
		client send HEAD /x HTTP/1.1\r\nHost: h\r\n$g-who\r\n
		app expect HEAD /x HTTP/1.1\r\n
		app send HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n
		client expect Content-Length: 500\r\n\r\n
		client wait 10ms
		client send $g-get
		app expect GET /a/b
		app send HTTP/1.1 304 Not Modified\r\nEtag: "x"\r\n\r\n
		client expect Etag: "x"\r\n
		client wait 10ms
		client send $g-get
		app expect GET /a/b
		app send HTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n
		client expect 103 Early Hints\r\nLink: </s>\r\n\r\nHTTP/1.1 204 No Content\r\nVia: 1.1 dunespoke\r\n\r\n
		client wait nothing
	`)
}

func TestGatewayStreamsResponses(t *testing.T) {
	playGateway(t, gatewayConf(), `
		client send $g-get
		app expect GET /a/b
		app send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5;ext=1\r\nhello\r\n
		client expect Trailer: X-Sum\r\n
		client expect Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n
		client wait nothing
		app send 3\r\nyou\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n
		client expect 3\r\nyou\r\n0\r\nX-Sum: 1\r\n\r\n
		client wait nothing
		client wait 10ms
		client send $g-get
		app expect GET /a/b
		app send HTTP/1.0 200 OK\r\n\r\nuntil the
		client expect 9\r\nuntil the\r\n
		app send  end
		app close
		client expect end\r\n0\r\n\r\n
		client send GET /old HTTP/1.0\r\n$g-who\r\n
		app2 expect GET /old HTTP/1.1\r\n
		app2 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n
		client expect Connection: close\r\n\r\nhello
		client wait closed
	`)
}

// A response that breaks off at the server is truncated for the client, too: it ends by a close without the
// last chunk or before its Content-Length.
func TestGatewayAbortsTruncatedResponses(t *testing.T) {
	log := playGateway(t, gatewayConf(), `
		client1 send $g-get
		app1 expect GET
		app1 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n
		client1 expect hello\r\n
		app1 close
		client1 wait closed
		client1 wait nothing
		client2 send $g-get
		app2 expect GET
		app2 send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello
		client2 expect hello
		app2 wait 21s
		client2 wait closed
		app2 wait closed
		client3 send $g-get
		app3 expect GET
		app3 send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n
		client3 wait closed
	`)
	if n := strings.Count(log, `"code":"answer-cut","waiting":true,"requests":1,"up":0`); n != 3 {
		t.Errorf("%d truncated responses logged, want 3:\n%s", n, log)
	}
	if !strings.Contains(log, `"code":"server-stalled"`) {
		t.Errorf("the stalled server is not in the log:\n%s", log)
	}
}

func TestGatewayStreamsUploads(t *testing.T) {
	playGateway(t, gatewayConf(), `
		client send $g-postContent-Length: 2048\r\n\r\n$g-long
		app expect POST /withdraw HTTP/1.1\r\nHost: h\r\n
		app expect Content-Length: 2048\r\n\r\n$g-long
		app wait nothing
		client send $g-long
		client send $g-get
		app expect $g-long
		app wait nothing
		app send $g-ok
		client expect 200 OK
		client expect money
		app wait 10ms
		app expect GET /a/b
		app send $g-ok
		client expect money
		client wait 10ms
		client send $g-put$g-chunked5;x=y\r\nhello\r\n
		app expect Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n
		client send 400\r\n$g-long\r\n0\r\nX-Sum: 1\r\nHost: evil\r\n\r\n
		app expect 400\r\n$g-long\r\n0\r\nX-Sum: 1\r\n\r\n
		app wait nothing
		app send $g-ok
		client expect money
		client wait 10ms
		client send $g-putContent-Length: 0\r\n\r\n
		app expect Content-Length: 0\r\n\r\n
		app send $g-ok
		client expect money
	`)
}

// If the transfer of a withdrawal's body fails for any reason, the client gets an error, the server sees the
// body truncated, and the request is never retried.
func TestGatewayNeverResendsAWithdrawal(t *testing.T) {
	for name, stop := range map[string]string{
		"reset by the server":   "app1 close\nclient expect 502",
		"close by the client":   "client close\napp1 wait closed",
		"silence of the client": "client wait 21s\nclient expect 408\napp1 wait closed",
		"bad chunk":             "client send zz\\r\\n\nclient expect 400\napp1 wait closed",
		"silence of the server": `client send 0\r\n\r\n
			app1 expect 0\r\n\r\n
			client wait 4.1s
			client expect 502`,
	} {
		t.Run(name, func(t *testing.T) {
			playGateway(t, gatewayConf(), `
				client send $g-post$g-chunked400\r\n$g-long\r\n
				app1 expect $g-long\r\n
				`+stop+`
				app2 wait nothing
			`)
		})
	}
}

// The body of a safe request is sent again from its beginning while it fits the replay buffer. The successful
// requests before add to the retry budget.
func TestGatewayRetriesBufferedBodies(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Plans[0].Burst = 100
	good := strings.Repeat(
		"client send $g-get\napp1 expect GET\napp1 send $g-ok\nclient expect money\nclient wait 10ms\n",
		40,
	)
	playGateway(t, o, good+`
		client send $g-putContent-Length: 2048\r\n\r\n$g-long
		app1 expect $g-long
		app1 close
		app2 expect Content-Length: 2048\r\n\r\n$g-long
		client send $g-long
		app2 expect $g-long
		app2 close
		app3 expect Content-Length: 2048\r\n\r\n$g-long$g-long
		app3 send $g-ok
		client expect money
		client wait 10ms
		client send $g-putContent-Length: 3072\r\n\r\n$g-long$g-long$g-long
		app3 expect $g-long$g-long$g-long
		app3 close
		client expect 502
		client wait closed
		app4 wait nothing
	`)
}

// A response that arrives before the end of its request is forwarded, and the rest of the request is
// discarded.
func TestGatewayForwardsEarlyResponses(t *testing.T) {
	for name, end := range map[string]string{"and closes": "\napp close", "and reads no more": ""} {
		t.Run(name, func(t *testing.T) {
			playGateway(t, gatewayConf(), `
				client send $g-postContent-Length: 60000\r\n\r\n$g-long
				app expect $g-long
				app send HTTP/1.1 413 Too Much\r\nContent-Length: 2\r\n\r\nno`+end+`
				client expect 413 Too Much\r\n
				client expect Connection: close\r\n\r\nno
				app wait closed
				client wait closed
			`)
		})
	}
}

// A client that expects 100 Continue receives it during an attempt, but not if its request is rejected.
func TestGatewaySendsContinueOnlyWithAnAttempt(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Plans[0].Burst = 1
	playGateway(t, o, `
		client1 send $g-postExpect: 100-continue\r\nContent-Length: 5\r\n\r\n
		app expect Content-Length: 5\r\n\r\n
		client1 expect HTTP/1.1 100 Continue\r\n\r\n
		client1 send hello
		app expect hello
		app send $g-ok
		client1 expect money
		client2 send $g-postExpect: 100-continue\r\nContent-Length: 5\r\n\r\n
		client2 expect HTTP/1.1 429 Too Many Requests\r\n
		client2 expect Retry-After:
		client2 expect Connection: close\r\n
		client2 wait closed
		client3 send $g-postExpect: tea\r\nContent-Length: 5\r\n\r\nhello
		client3 expect 417
	`)
}

// While the memory budget for long bodies is used up, further ones are rejected before any attempt, and short
// requests are served.
func TestGatewayRejectsLongBodiesOverBudget(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Transfers.Bytes = 2 << 10 // one transfer
	log := playGateway(t, o, `
		client1 send $g-postContent-Length: 2048\r\n\r\n$g-long
		app1 expect $g-long
		client2 send $g-postContent-Length: 2048\r\n\r\n
		client2 expect HTTP/1.1 503
		client2 expect Retry-After: 1\r\n
		client2 wait closed
		client3 send $g-get
		app2 expect GET
		app2 send $g-ok
		client3 expect money
		client1 send $g-long
		app1 expect $g-long
		app1 send $g-ok
		client1 expect money
		client4 send $g-postContent-Length: 2048\r\n\r\n$g-long
		app2 expect $g-long
	`)
	if !strings.Contains(log, `"code":"transfer-refused"`) {
		t.Errorf("not logged:\n%s", log)
	}
}

// If a client disconnects, its server connection is closed, before and during the response.
func TestGatewayClosesServerConnectionOfDisconnectedClient(t *testing.T) {
	playGateway(t, gatewayConf(), `
		client1 send $g-get
		app1 expect GET
		app1 send HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nhello
		client1 expect hello
		client1 close
		app1 wait closed
		client2 send $g-get
		app2 expect GET
		client2 close
		app2 wait closed
	`)
}

// Requests that two parsers could read differently are rejected and not forwarded.
func TestGatewayRejectsAmbiguousRequests(t *testing.T) {
	for request, status := range map[string]string{
		`GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n`:                                                "400",
		`GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n`:                                          "400",
		`GET /a HTTP/1.1\r\n\r\n`:                                                                "400",
		`POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n`: "400",
		`POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n`:          "400",
		`GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n 2\r\n\r\n`:                                       "400",
		`GET /a HTTP/1.1\nHost: h\n\n`:                                                           "400",
		`POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n`:                "400",
		`GET /withdraw/.%2e/x HTTP/1.1\r\nHost: h\r\n$g-who\r\n`:                                 "400",
		`CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n`:                                                "501",
		`GET /a HTTP/1.1\r\nHost: h\r\n\r\n`:                                                     "400",
		`GET /a HTTP/1.1\r\nHost: h\r\n$g-who$g-who\r\n`:                                         "400",
	} {
		playGateway(t, gatewayConf(),
			"client send "+request+"\nclient expect HTTP/1.1 "+status+"\napp wait nothing")
	}
}

// After the start of a drain, transfers in flight continue until the drain timeout and are then cut; new ones
// are rejected.
func TestGatewayDrains(t *testing.T) {
	log := playGateway(t, gatewayConf(), `
		client1 send $g-postContent-Length: 2048\r\n\r\n$g-long
		app1 expect $g-long
		client2 send $g-get
		app2 expect GET
		app2 send HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nhello
		client2 expect hello
		client2 wait 1s
		client3 send $g-postContent-Length: 2048\r\n\r\n
		client3 expect 503
		client1 send $g-long
		app1 expect $g-long
		app1 send $g-ok
		client1 expect Connection: close\r\n\r\nmoney
		client1 wait closed
		client2 wait closed
		client2 wait nothing
		app2 wait closed
	`, func(p *program) { time.AfterFunc(900*time.Millisecond, func() { go p.drain() }) })
	if strings.Count(log, `"code":"drain-cut"`) != 1 || !strings.Contains(log, `"down":`) {
		t.Errorf("the cut transfer is not in the log:\n%s", log)
	}
}

// A route can require an access token and apply quotas by one of its claims.
func TestGatewayCountsByClaims(t *testing.T) {
	o := testOperator("few")
	o.Gateway = gatewayConf().Gateway
	o.Gateway.Plans[0].Burst = 1
	r := &o.Gateway.Routes[0]
	r.Token, r.Customer, r.Require.Scopes = true, "claim:sub", []string{"files"}
	const requestHead = `GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer `
	playGateway(t, o, `
		client1 send GET /a HTTP/1.1\r\nHost: h\r\n\r\n
		client1 expect HTTP/1.1 401
		client1 expect WWW-Authenticate: Bearer
		client1 send `+requestHead+`tok1\r\n\r\n
		idp1 expect token=tok1
		idp1 send $json41\r\n\r\n{"active":true,"sub":"a","scope":"books"}
		client1 expect HTTP/1.1 403
		client1 send `+requestHead+`tok2\r\n\r\n
		client1 wait 10ms
		idp1 expect token=tok2
		idp1 send $json41\r\n\r\n{"active":true,"sub":"a","scope":"files"}
		app expect GET /a
		app send $g-ok
		client1 expect money
		client2 send `+requestHead+`tok3\r\n\r\n
		idp1 expect token=tok3
		idp1 send $json41\r\n\r\n{"active":true,"sub":"a","scope":"files"}
		client2 expect HTTP/1.1 429
		client2 send `+requestHead+`tok4\r\n\r\n
		idp1 expect token=tok4
		idp1 send $json41\r\n\r\n{"active":true,"sub":"b","scope":"files"}
		app expect GET /a
		app send $g-ok
		client2 expect money
	`)
}

// A draining server gets no new requests, and its transfers in flight continue.
func TestGatewayFinishesTransfersOfDrainingServers(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Pools[0].Servers, o.Gateway.Pools[0].Discovery = nil, "discovery"
	list := func(lifecycle string, generation int) string {
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"app",`+
			`"zone":"a","lifecycle":"%s","weight":1}]}`, generation, lifecycle)
	}
	line := func(text string) string { return fmt.Sprintf(`%x\r\n%s\n\r\n`, len(text)+1, text) }
	playGateway(t, o, `
		discovery expect GET
		discovery send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`+line(list("Ready", 5))+`
		client1 send $g-get
		app expect GET
		app send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello
		client1 expect hello
		discovery send `+line(list("Draining", 6))+`
		client2 send $g-get
		client2 expect HTTP/1.1 429
		app send world
		client1 expect world
		client1 wait nothing
	`)
}

// A reload adds routes and pools, keeps unchanged pools and lets requests in flight finish. An invalid file
// changes nothing.
func TestGatewayReload(t *testing.T) {
	other := gatewayConf()
	g := &other.Gateway
	g.Short = 32 // needs a restart
	g.Pools = append(g.Pools, config.Pool{Name: "new", Servers: []string{"newapp"}, Insecure: true,
		KeepAlive: config.Duration(10 * time.Second), DialTimeout: config.Duration(time.Second), Attempts: 1})
	g.Routes = append(g.Routes, config.Route{Path: "/new", Pool: "new", Class: "read", Plan: "basic",
		Customer: "address", Units: 1, Spread: 1})
	bad := gatewayConf()
	bad.Gateway.Routes = append(bad.Gateway.Routes, bad.Gateway.Routes[0])
	log := playGateway(t, gatewayConf(), `
		client1 send $g-get
		app1 expect GET
		app1 send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello
		client1 expect hello
		client1 wait 1s
		app1 send world
		client1 expect world
		client1 wait 10ms
		client1 send GET /new HTTP/1.1\r\nHost: h\r\n\r\n
		newapp expect GET /new
		newapp send $g-ok
		client1 expect money
		client1 wait 1s
		client1 send GET /new HTTP/1.1\r\nHost: h\r\n\r\n
		newapp expect GET /new
		newapp send $g-ok
		client1 expect money
	`, func(p *program) {
		time.AfterFunc(500*time.Millisecond, func() { p.reloadOperator(&other, nil) })
		time.AfterFunc(1500*time.Millisecond, func() { p.reloadOperator(&bad, nil) })
	})
	for _, want := range []string{`"reloaded"`, `"settings":["gateway.head and short"]`, `"reload-failed"`} {
		if !strings.Contains(log, want) {
			t.Errorf("no %s in the log:\n%s", want, log)
		}
	}
}

// A client that sends too slowly is disconnected, and is distinguished in the log from a slow server.
func TestGatewayReportsTheSlowSide(t *testing.T) {
	o := gatewayConf()
	o.Gateway.Pace = config.Pace{Client: 1000, Server: 1000, Grace: config.Duration(2 * time.Second)}
	log := playGateway(t, o, `
		client1 send $g-post$g-chunked5\r\nhello\r\n
		app1 expect hello
		client1 wait 3s
		client1 expect 408
		app1 wait closed
		client2 send $g-get
		app2 expect GET
		app2 send HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello
		client2 wait 3s
		app2 wait closed
		client2 expect hello
		client2 wait closed
	`)
	for _, want := range []string{`"upload-cut"`, `"server-slow"`} {
		if strings.Count(log, want) != 1 {
			t.Errorf("want %s once in the log:\n%s", want, log)
		}
	}
}

func TestGatewayTrustsOnlyConfiguredProxies(t *testing.T) {
	var got [2]string
	for i, trusted := range []string{"10.0.0.0/8", "127.0.0.0/8"} {
		app := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			got[i] = r.Header.Get("X-Forwarded-For") + " " + r.Header.Get("Forwarded")
		}))
		defer app.Close()
		address := startGatewayOnLoopback(t, app, func(g *config.Gateway) {
			g.Trust = []netip.Prefix{netip.MustParsePrefix(trusted)}
		})
		q, _ := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		q.Host, q.Header = "h", http.Header{"X-Account": {"1"}, "X-Forwarded-For": {"192.0.2.1"},
			"Forwarded": {"for=192.0.2.1"}}
		r, err := http.DefaultClient.Do(q)
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatal(err, r)
		}
		r.Body.Close()
	}
	const own = `for=127.0.0.1;host="h";proto=http`
	if want := [2]string{"127.0.0.1 " + own, "192.0.2.1, 127.0.0.1 for=192.0.2.1, " + own}; got != want {
		t.Errorf("%q", got)
	}
}

// startGatewayOnLoopback runs a gateway in front of an app server on loopback and returns its address.
func startGatewayOnLoopback(t testing.TB, app *httptest.Server, set func(*config.Gateway)) string {
	o := gatewayConf()
	g := &o.Gateway
	g.Listen, g.Plans[0].Rate = "127.0.0.1:0", 0
	g.Pools[0].Servers = []string{app.Listener.Addr().String()}
	g.Transfers.Bytes, g.Transfers.Window = 1<<20, 64<<10
	set(g)
	return startOnLoopback(t, nil, o)
}

// startOnLoopback runs a program with one listener on a free port and returns the listener's address.
func startOnLoopback(t testing.TB, conf *config.Platform, o config.Operator) string {
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	addr := make(chan string, 1)
	p := &program{log: zerolog.Nop(), dial: direct.Dial, work: ctx, failed: make(chan error, 4)}
	p.listen = func(network, at string) (net.Listener, error) {
		l, err := direct.Listen(network, at)
		if err == nil {
			addr <- l.Addr().String()
		}
		return l, err
	}
	if err := p.start(conf, o); err != nil {
		t.Fatal(err)
	}
	return <-addr
}

// With TLS on both sides, the client's certificate determines whose quota is used.
func TestGatewayByTLS(t *testing.T) {
	authority, err := ca.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	pairs := map[string]tls.Certificate{}
	for _, name := range []string{"localhost", "ann", "bob"} {
		p, err := authority.Issue(name, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		if pairs[name], err = tls.LoadX509KeyPair(p.Cert, p.Key); err != nil {
			t.Fatal(err)
		}
		if name == "localhost" {
			pairs["files"] = tls.Certificate{Certificate: [][]byte{[]byte(p.Cert), []byte(p.Key)}}
		}
	}
	text, err := os.ReadFile(authority.Root())
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	app := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Forwarded-Proto"))
	}))
	app.TLS = &tls.Config{Certificates: []tls.Certificate{pairs["localhost"]}}
	app.StartTLS()
	defer app.Close()
	files := pairs["files"].Certificate
	address := startGatewayOnLoopback(t, app, func(g *config.Gateway) {
		g.Insecure, g.TLS = false, config.TLS{Cert: string(files[0]), Key: string(files[1]), CA: authority.Root()}
		g.Pools[0].Insecure, g.Pools[0].TLS = false, config.TLS{CA: authority.Root(), Name: "localhost"}
		g.Plans[0].Rate, g.Plans[0].Burst = 0.001, 1
		g.Routes[0].Customer = "certificate"
	})
	for i, c := range []struct {
		who  string
		want int
	}{{"ann", 200}, {"ann", 429}, {"bob", 200}, {"", 400}} {
		conf := &tls.Config{RootCAs: roots, ServerName: "localhost"}
		if c.who != "" {
			conf.Certificates = []tls.Certificate{pairs[c.who]}
		}
		client := http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
		r, err := client.Get("https://" + address + "/")
		if err != nil {
			t.Fatal(i, err)
		}
		body, _ := io.ReadAll(r.Body)
		r.Body.Close()
		client.CloseIdleConnections()
		if r.StatusCode != c.want || c.want == 200 && string(body) != "https" {
			t.Errorf("%d, %q: %d %s", i, c.who, r.StatusCode, body)
		}
	}
}
