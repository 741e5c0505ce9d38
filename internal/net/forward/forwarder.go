// Package forward is the stage that sends attempts to servers and reads what they answer. It keeps a pool
// of connections to each, and each connection carries one request at a time.
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

// Message is a request as the servers are to get it. A front puts it into core.Request.Payload.
type Message interface {
	// Append writes the whole message behind buf, saying how long the ingress will wait for its answer.
	Append(buf []byte, s core.Server, wait time.Duration) []byte
}

// Judge says what a whole response means, and what of it the front is to get.
type Judge func(*http1.Response) core.Result

// JudgeHead says what a response means whose head alone has come.
type JudgeHead func(*http.Response) core.Result

// Config is what New needs.
type Config struct {
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	DialTimeout time.Duration
	KeepAlive   time.Duration // servers close connections that stood idle so long, unless they tell another time
	Connections int           // the most to all servers
	Stall       time.Duration // how long an answer that has begun may stand still; 0: any time
	Judge       Judge
	Streams     JudgeHead // if set, answers are passed on as they come, and payloads are Streamed
	Hold        int       // with Streams: answers of at most so many bytes are held, for Judge to see them whole
	Limits      http1.Limits
	Log         zerolog.Logger
}

var (
	_ core.Upstream      = (*Forwarder)(nil)
	_ core.UnsentAborter = (*exchange)(nil)
)

// Forwarder sends attempts. It is a core.Upstream.
type Forwarder struct {
	Config
	slots chan struct{}

	mu    sync.Mutex
	idle  map[place][]*connection // the one used last at the end
	stale float64                 // smoothed share of reused connections that broke without an answer
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.Limits == (http1.Limits{}) {
		c.Limits = http1.DefaultLimits
	}
	return &Forwarder{Config: c, slots: make(chan struct{}, max(1, c.Connections)),
		idle: map[place][]*connection{}}
}

// Start sends an attempt, on an idle connection if there is one.
func (f *Forwarder) Start(a core.Attempt) core.Running {
	x := &exchange{Attempt: a, forwarder: f}
	if f.Streams != nil && !x.streams() {
		return x
	}
	if f.avoidsReuse(a) {
		go x.dial()
		return x
	}
	if c := f.acquire(placeOf(a.Server), a.Payload); c != nil {
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
	old := f.idle[placeOf(s)]
	delete(f.idle, placeOf(s))
	f.mu.Unlock()
	for _, c := range old {
		c.end("server-left")
	}
}
