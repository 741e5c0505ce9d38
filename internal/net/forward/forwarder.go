// Package forward is the stage that sends attempts to servers and reads their responses. It keeps a
// connection pool per server. Each connection carries one request at a time.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Message is a request as it is sent to servers. A front end sets it as core.Request.Payload.
type Message interface {
	// Append appends the message to buf. wait is how long the ingress will wait for the response.
	Append(buf []byte, s core.Server, wait time.Duration) []byte
}

// Judge classifies a complete response and returns what of it the front end gets.
type Judge func(*http1.Response) core.Result

// JudgeHead classifies a response by its head, before its body is received.
type JudgeHead func(*http.Response) core.Result

// Config configures a Forwarder.
type Config struct {
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	DialTimeout time.Duration
	KeepAlive   time.Duration // after which servers close idle connections, unless they announce another time
	Connections int           // maximum number of connections to all servers
	Stall       time.Duration // maximum pause within a response; 0: no limit
	Judge       Judge
	Streams     JudgeHead // if set, responses are streamed, and payloads are Streamed
	Hold        int       // with Streams: responses of up to this many bytes are buffered and passed to Judge
	Limits      http1.Limits
	Log         zerolog.Logger
}

var (
	_ core.Upstream      = (*Forwarder)(nil)
	_ core.UnsentAborter = (*exchange)(nil)
)

// Forwarder sends attempts. It implements core.Upstream.
type Forwarder struct {
	Config
	slots chan struct{}

	mu    sync.Mutex
	idle  map[endpoint][]*connection // the most recently used last
	stale float64                    // smoothed share of reused connections that broke without a response
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Limits == (http1.Limits{}) {
		c.Limits = http1.DefaultLimits
	}
	return &Forwarder{Config: c, slots: make(chan struct{}, max(1, c.Connections)),
		idle: map[endpoint][]*connection{}}
}

// Start sends an attempt, on an idle connection if there is one.
func (f *Forwarder) Start(a core.Attempt) core.Running {
	x := &exchange{Attempt: a, forwarder: f}
	if f.Streams != nil && !x.initStream() {
		return x
	}
	if f.avoidReuse(a) {
		go x.dial()
		return x
	}
	if c := f.acquire(endpointOf(a.Server), a.Payload); c != nil {
		x.conn = c
		go x.reuse(c)
		return x
	}
	go x.dial()
	return x
}

// Drop closes the idle connections to a server.
func (f *Forwarder) Drop(s core.Server) {
	f.mu.Lock()
	old := f.idle[endpointOf(s)]
	delete(f.idle, endpointOf(s))
	f.mu.Unlock()
	for _, c := range old {
		c.end("server-left")
	}
}
