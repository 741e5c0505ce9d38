package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/choice"
	"dunespoke/internal/config"
	"dunespoke/internal/scenario"
)

// testConf returns the configuration of an ingress with one app server at "app" and one customer plan with a
// burst of 12.
func testConf(counter bool) *config.Platform {
	return &config.Platform{Name: "n0", Listen: "ingress", Discovery: "discovery", Counter: "counter", Seed: 1,
		Limits:    config.Limits{MemoryMB: 32},
		KeepAlive: 15 * time.Second, Known: json.RawMessage(`{"generation":4,"reset":true,"instances":[
			{"instanceId":"s-1","hostPort":"app","zone":"a","lifecycle":"Ready","weight":1}]}`),
		Settings: choice.Settings{Zone: "a", Gateways: 1, MaxUnits: 1, Counter: counter,
			CounterTimeout: 50 * time.Millisecond, MaxAttempts: 3, DialTimeout: 250 * time.Millisecond,
			MaxRetryAfter: 2 * time.Second, Cancel: true, QueueField: -1,
			Classes: []choice.Class{
				{Name: "enquiry", Repeat: choice.Safe, Aim: time.Second, Deadline: 4 * time.Second, Worth: 3},
				{Name: "transfer", Repeat: choice.Keyed, Group: choice.GroupCell, Window: 4 * time.Second,
					Aim: time.Second, Deadline: 4 * time.Second, Worth: 5},
				{Name: "withdrawal", Repeat: choice.Unsafe, Aim: time.Second, Deadline: 3 * time.Second, Worth: 3}},
			Plans: []choice.Plan{{Name: "basic", Rate: 0.1, Burst: 12, Price: 1, ExcessCost: 1}}}}
}

// testOperator returns an operator file with introspection by a service at "idp". If bearer isn't empty, it
// is the plan for checks of bearer tokens, and there is no front for introspection.
func testOperator(bearer string) config.Operator {
	var o config.Operator
	n := &o.Introspection
	n.Listen, n.Path, n.Gateways = "ingress", "/introspect", 1
	n.Patience, n.Aim = config.Duration(3*time.Second), config.Duration(time.Second)
	n.CacheFor = config.Duration(time.Minute)
	n.Share, n.Insecure = true, true
	n.Issuers = []config.Issuer{testIssuer("service", "idp")}
	n.Plans = []config.Plan{{Name: "few", Rate: 0.1, Burst: 12}}
	n.Clients = []config.Client{{ID: "a", Plan: "few", SecretHash: sha256.Sum256([]byte("b"))}}
	if bearer != "" {
		n.Listen, n.Bearer.Plan = "", bearer
	}
	return o
}

// testIssuer returns an issuer with one server.
func testIssuer(name, server string) config.Issuer {
	return config.Issuer{Name: name, Servers: []string{server}, Path: "/ask", Insecure: true,
		KeepAlive: config.Duration(10 * time.Second), Limit: config.Duration(3 * time.Second),
		Silence: config.Duration(500 * time.Millisecond), ClientID: "dunespoke", Secret: "s3cret"}
}

var macros = map[string]string{
	"get": `GET /enquiry?account=0000000000000007 HTTP/1.1\r\nHost: h\r\nX-Lane: enquiry\r\n$head`,
	"post": `POST /withdrawal?account=0000000000000007 HTTP/1.1\r\nHost: h\r\nX-Lane: withdrawal\r\n` +
		`Content-Length: 2\r\n$head`,
	"head": `X-Txn: 00000000000000aa\r\nX-Contract: basic\r\nX-Remaining: 2.000\r\n` +
		`X-Metering: units=1,spread=1,first=0\r\n`,
	"start": `POST /withdrawal?account=0000000000000007 HTTP/1.1\r\nHost: h\r\nX-Lane: withdrawal\r\n$head`,
	"body":  `$startContent-Length: 262145\r\n`,
	"parts": `$startExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n`,
	"vast":  `$startContent-Length: 9000000\r\n\r\n`,
	"ok":    `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nmoney`,
	"basic": `POST /introspect HTTP/1.1\r\nHost: h\r\nAuthorization: Basic YTpi\r\n$form`,
	"form":  `Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 9\r\n\r\ntoken=tok`,
	"json":  `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: `,
}

// play runs a program in a synctest bubble, with all its peers on an in-memory network, and runs a script
// against it. The hooks are called before the script begins. It returns the program's log.
func play(t *testing.T, conf *config.Platform, o config.Operator, script string,
	hooks ...func(*program)) string {
	t.Helper()
	var log safeBuffer
	synctest.Test(t, func(t *testing.T) {
		n := scenario.NewNet()
		ctx, end := context.WithCancel(t.Context())
		for _, addr := range strings.Fields("app counter discovery idp newapp newcounter newdiscovery") {
			n.Listen("memory", addr)
		}
		p := &program{log: zerolog.New(&log), listen: n.Listen, dial: n.Dial, work: ctx,
			failed: make(chan error, 4)}
		if err := p.start(conf, o); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, hook := range hooks {
			hook(p)
		}
		scenario.Play(t, n, macros, script)
		p.drain()
		end()
		n.Close()
		time.Sleep(time.Minute) // lets the remaining timers expire
	})
	return log.String()
}

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// servedEnquiry is one successful enquiry.
const servedEnquiry = `
		client send $get\r\n
		app expect GET
		app send $ok
		client expect money
`

// platformScripts test the platform front without a counter.
var platformScripts = map[string]string{
	"served, and the connection is reused": `
		client send $get\r\n
		app expect GET /enquiry?account=0000000000000007 HTTP/1.1
		app expect X-Remaining: 1.9
		app expect X-Txn: 00000000000000aa
		app send $ok
		client expect HTTP/1.1 200 OK
		client expect money
		client send $post\r\nhi
		app expect POST /withdrawal
		app expect hi
		app send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n
		client expect abcde`,
	"a reset withdrawal fails and is not retried": `
		client send $post\r\nhi
		app expect hi
		app close
		client expect HTTP/1.1 502
		app2 wait nothing`,
	"a reset enquiry is retried within the retry budget": strings.Repeat(servedEnquiry, 4) + `
		client send $get\r\n
		app expect GET
		app close
		app2 expect GET
		app2 send $ok
		client expect money`,
	"data after a response is discarded with its connection": `
		client send $get\r\n
		app expect GET
		app send $okHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong
		client expect money
		client send $get\r\n
		app2 expect GET
		app2 send $ok
		client expect money`,
	"a truncated response is a reset, and not forwarded": `
		client send $post\r\nhi
		app expect hi
		app send HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nmon
		app close
		client expect HTTP/1.1 502`,
	"a malformed response head is a reset at once": `
		client send $post\r\nhi
		app expect hi
		app send \x93noise\r\n\r\n
		client expect HTTP/1.1 502
		app wait closed`,
	"a stalled response is a reset, and delays no one": strings.Repeat(servedEnquiry, 4) + `
		app expect \r\n\r\n
		client send $get\r\n
		app expect 00000000000000aa\r\n\r\n
		app send HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nm
		client wait 400ms
		app send o
		client wait 400ms
		app send n
		client wait 499ms
		app wait nothing
		client wait 1ms
		app wait closed
		app2 expect GET
		app2 send $ok
		client expect money`,
	"interim responses are limited in number": servedEnquiry + `
		client send $post\r\nhi
		app expect hi
		app send HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n$ok
		client expect money
		client send $post\r\nhi
		app expect hi
		app send $interims
		client expect HTTP/1.1 502
		app wait closed`,
	"a new server at the address of a removed one gets new connections": `
		client send $get\r\n
		app expect GET
		app send $ok
		client expect money
		discovery expect since=4
		discovery send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
		discovery send 7d\r\n{"generation":5,"reset":false,"instances":[{"instanceId":"s-2","hostPort":"app",
		discovery send "zone":"a","lifecycle":"Ready","weight":1}]}\n\r\n
		discovery send 83\r\n{"generation":6,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"app",
		discovery send "zone":"a","lifecycle":"Terminating","weight":1}]}\n\r\n
		app wait closed
		client send $get\r\n
		app2 expect GET
		app2 send $ok
		client expect money
		discovery send 7c\r\n{"generation":7,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"app",
		discovery send "zone":"a","lifecycle":"Gone","weight":1}]}\n\r\n
		client send $get\r\n
		app2 expect GET
		app2 send $ok
		client expect money`,
	"a long response is streamed, however slow": `
		client send $get\r\n
		app expect GET
		app send HTTP/1.1 200 OK\r\nContent-Length: 262145\r\nX-Own: 1\r\nConnection: keep-alive\r\n\r\n
		client expect HTTP/1.1 200 OK\r\nContent-Length: 262145\r\n\r\n
		app send $large
		client expect the end
		client wait 4s
		app send !
		client expect !
		client send $post\r\nhi
		app expect hi
		app send $ok
		client expect money`,
	"a long response that breaks off never looks complete": `
		client send $get\r\n
		app expect GET
		app send HTTP/1.1 200 OK\r\nContent-Length: 262145\r\n\r\n$large
		client expect the end
		app close
		client wait closed
		client wait nothing`,
	"a short response that breaks off is retried": strings.Repeat(servedEnquiry, 4) + `
		client send $get\r\n
		app expect GET
		app send HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\npart
		app close
		app2 expect GET
		app2 send $ok
		client expect money`,
	"a long response is forwarded only on success": `
		client send $post\r\nhi
		app expect hi
		app send HTTP/1.1 500 Oops\r\nContent-Length: 262145\r\n\r\n
		client expect HTTP/1.1 502
		app wait closed`,
	"a long body is stored until it is complete, however slow": `
		client send $body\r\n
		client send $large
		client wait 4s
		app wait nothing
		client send !
		app expect Content-Length: 262145\r\n\r\n
		app expect the end!
		app send $ok
		client expect money
		client send $post\r\nhi
		app expect hi`,
	"a long chunked body gets 100 Continue, and is retried if it never ran": strings.Repeat(servedEnquiry, 4) + `
		client send $parts
		client expect HTTP/1.1 100 Continue\r\n\r\n
		client send 40000\r\n$large\r\n1\r\n!\r\n0\r\nX-Sum: 1\r\n\r\n
		app expect Content-Length: 262145\r\n\r\n
		app expect the end!
		app send HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n
		app expect the end!
		app send $ok
		client expect money`,
	"a body beyond the store is streamed, and cut when its client disconnects": `
		client send $vast
		app expect Content-Length: 9000000\r\n\r\n
		client send $large
		app expect the end
		client wait 2s
		client send $large
		app expect the end
		client close
		app wait closed`,
	"a streamed body whose server closes is rejected, since it never ran": `
		client send $vast
		app expect Content-Length: 9000000\r\n\r\n
		client send $large
		app expect the end
		app close
		client expect HTTP/1.1 429
		client expect Connection: close
		client wait closed`,
	"unsafe requests avoid idle connections after one has failed": strings.Repeat(servedEnquiry, 4) + `
		client send $get\r\n
		app expect GET
		app close
		app2 expect GET
		app2 send $ok
		client expect money
		client send $post\r\nhi
		app2 wait closed
		app3 expect hi
		app3 send $ok
		client expect money
		client send $get\r\n
		app3 expect GET
		app3 send $ok
		client expect money`,
	"a withdrawal that the server rejected unprocessed is retried": `
		client send $post\r\nhi
		app expect hi
		app send HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n
		app expect hi
		app send $ok
		client expect money`,
	"an unanswered attempt ends in time and is closed": `
		client send $post\r\nhi
		app expect hi
		app wait closed
		client expect HTTP/1.1 502
		client expect failed\n
		client wait 3s
		client wait nothing`,
	"the attempt of a disconnected client is canceled": `
		client send $get\r\n
		app expect GET
		client close
		app wait closed`,
	"a closed idle connection is not reused": `
		client send $post\r\nhi
		app expect hi
		app send $ok
		client expect money
		app close
		client send $post\r\nhi
		app2 expect hi
		app2 send $ok
		client expect money`,
	"an idle connection is closed well before the server does": `
		client send $get\r\n
		app expect 00000000000000aa\r\n\r\n
		app send $ok
		client expect money
		client wait 8.8s
		app wait nothing
		client wait 300ms
		app wait closed`,
	"requests over quota are rejected with Retry-After": strings.Repeat(servedEnquiry, 12) + `
		client send $get\r\n
		client expect HTTP/1.1 429
		client expect Retry-After: 2.000
		client expect refused`,
	"updates of the server list are applied": `
		discovery expect since=4
		discovery send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n
		discovery send 83\r\n{"generation":5,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"app",
		discovery send "zone":"a","lifecycle":"Terminating","weight":1}]}\n\r\n
		client send GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n
		client expect HTTP/1.1 503
		client send $get\r\n
		client expect HTTP/1.1 429
		app wait nothing
		discovery wait 8s
		discovery wait closed
		discovery2 expect since=5`,
	"the ID of a request in flight is rejected": `
		client send $get\r\n
		app expect 00000000000000aa\r\n\r\n
		client2 send $get\r\n
		client2 expect HTTP/1.1 409
		app wait nothing
		app send $ok
		client expect money
		client2 send $get\r\n
		app expect 00000000000000aa\r\n\r\n
		client2 close
		app wait closed
		client send $get\r\n
		app2 expect GET
		app2 send $ok
		client expect money`,
	"invalid requests are rejected and not forwarded": `
		client send GET /nosuch HTTP/1.1\r\nHost: h\r\n\r\n
		client expect HTTP/1.1 404
		client send POST /enquiry HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n
		client expect HTTP/1.1 405
		client expect Allow: GET
		client send GET /enquiry?account=7 HTTP/1.1\r\nHost: h\r\n\r\n
		client expect HTTP/1.1 400
		client send GET /enquiry?account=0000000200000000 HTTP/1.1\r\nHost: h\r\nX-Lane: enquiry\r\n$head\r\n
		client expect below 2^33
		client send $getX-Metering: \r\n\r\n
		client send $post\r\nhi
		client wait 1ms
		client2 send $getTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n
		client2 expect HTTP/1.1 400
		client2 expect Connection: close
		client2 wait closed
		client3 send $getContent-Length: 2\r\n\r\nhi
		client3 expect HTTP/1.1 400
		client4 send $get$long\r\n
		client4 expect HTTP/1.1 431
		client4 wait closed`,
}

func TestPlatform(t *testing.T) {
	macros["interims"] = strings.Repeat(`HTTP/1.1 103 Early Hints\r\n\r\n`, 17)
	macros["large"] = strings.Repeat("x", 262144-len("the end")) + "the end"
	macros["long"] = `X-Long: ` + strings.Repeat("x", 17<<10)
	for name, script := range platformScripts {
		t.Run(name, func(t *testing.T) { play(t, testConf(false), config.Operator{}, script) })
	}
}

// Calls to the counter share one connection, and a counter that doesn't respond must not delay clients.
func TestCounter(t *testing.T) {
	log := play(t, testConf(true), config.Operator{}, `
		client send $get\r\n
		counter expect POST /v1/count/u7.
		counter expect ttl_ms=60000
		counter send HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1
		app expect GET
		app send $ok
		client expect money
		client send $get\r\n
		counter expect POST /v1/count/u7.
		client wait 60ms
		app expect GET
		counter send HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2
		app send $ok
		client expect money`)
	if !strings.Contains(log, `"side":"counter"`) {
		t.Errorf("the counter's connection is not in the log:\n%s", log)
	}
}

// The agent-check listener reports the state to load balancers if the operator file enables it.
func TestAgentCheck(t *testing.T) {
	conf := testConf(false)
	conf.Listen = "front"
	play(t, conf, config.Operator{Agent: config.Agent{Listen: "ingress"}}, `
		client1 expect ready up 100%\n
		client1 wait closed
		discovery expect since=4
		discovery send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
		discovery send 31\r\n{"generation":5,"reset":true,"instances":[]    }\n\r\n
		client2 expect down\n
		client2 wait closed`)
}

// Each closed connection is logged once, with its code.
func TestLogLines(t *testing.T) {
	log := play(t, testConf(false), config.Operator{}, `
		client send $get\r\n
		app expect GET
		app send $ok
		client expect money
		client close
		client2 send $get\r\n
		client2 close
		app wait closed`)
	for _, want := range []string{`"side":"client","code":"client-closed","waiting":false,"requests":1`,
		`"side":"client","code":"client-closed","waiting":true`, `"side":"server","code":"attempt-given-up"`} {
		if strings.Count(log, want) != 1 {
			t.Errorf("want one line with %s in\n%s", want, log)
		}
	}
}

// A reload moves the discovery watch and the calls to the counter to new addresses. It doesn't affect the
// request in flight, the connections to the client and the server, the state of quotas, and the servers that
// are also on the new list.
func TestReload(t *testing.T) {
	moved := *testConf(true)
	moved.Discovery, moved.Counter = "newdiscovery", "newcounter"
	log := play(t, testConf(true), config.Operator{}, `
		client send $get\r\n
		counter expect POST /v1/count/u7.
		counter send HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1
		app expect GET
		discovery expect since=4
		client wait 1s
		discovery wait closed
		counter wait closed
		newdiscovery expect GET /v1/servers HTTP/1.1
		newdiscovery send HTTP/1.1 200 OK\r\nContent-Length: 123\r\n\r\n{"generation":2,"reset":true,"instances":[
		newdiscovery send {"instanceId":"s-1","hostPort":"app","zone":"a","lifecycle":"Ready","weight":1}]}
		newdiscovery expect GET /v1/servers?follow=1&since=2
		app send $ok
		client expect money
		client send $get\r\n
		newcounter expect POST /v1/count/u7.
		newcounter send HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2
		app expect GET
		app send $ok
		client expect money
		discovery2 wait nothing
		counter2 wait nothing`, func(p *program) {
		time.AfterFunc(500*time.Millisecond, func() {
			p.reloadPlatform(nil, errors.New("a bad file"))
			p.reloadPlatform(&moved, nil)
			p.reloadPlatform(&moved, nil)
		})
	})
	for want, times := range map[string]int{"reload-failed": 1, `"code":"reloaded"`: 2, "watch-left": 2,
		"counter-moved": 1, "reload-needs-restart": 0} {
		if strings.Count(log, want) != times {
			t.Errorf("want %d lines with %s in\n%s", times, want, log)
		}
	}
}

// SIGHUP would otherwise terminate the program.
func TestHangupSignalIsCaught(t *testing.T) {
	all := hangupSignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-all
}
