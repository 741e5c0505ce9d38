package accept

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
)

// Streamer answers requests whose bodies may be streamed.
type Streamer interface {
	// Stream handles a request whose body may not be received yet. It must not block. Either Answer or Pass
	// of the Exchange must be called once, unless the client disconnects first. The returned function is
	// called when the client disconnects; it may be nil.
	Stream(*Exchange) (cancel func())
}

// Streams configures a Server that streams bodies.
type Streams struct {
	Head  int           // maximum size of a request head, in bytes
	Short int           // bodies of a known length up to this many bytes are buffered before Stream is called
	Wait  time.Duration // time limit for a request head and a short body
	Idle  time.Duration // idle timeout between requests
	// Accept is how long new connections are accepted once the server drains; 0 means drainAcceptTime.
	Accept time.Duration
	// Drain is how long exchanges may continue after the listener is closed in a drain; 0 means no limit.
	Drain time.Duration
	// Life is the time from the start of a drain until the process exits; 0 means no limit. Requests that are
	// still being sent shortly before the exit are refused, so that their clients can use another server.
	Life time.Duration
	// Store, if set, buffers bodies that are longer than Short or of unknown length before Stream is called,
	// as long as it has capacity. Clients that wait for 100 Continue get it before that.
	Store *flow.Store
	// Promises says that for these clients 408, 421, 429 and 503 mean that a request has not run and never
	// will. A request whose body is cut off is then answered with one of these only if the Streamer's response
	// has one of them, too.
	Promises bool
	// Rest is the minimum pace of the rest of a body whose request was answered before the body's end. The
	// rest is read and discarded, since a client that sends the whole body before it reads would not see the
	// response. The zero Pace means that only what arrives within lingerTimeout is read.
	Rest flow.Pace
}

// Platform is the configuration for the platform's clients: 2.5 s for a request head, and at least 32 KiB/s
// for the rest of a body.
var Platform = Streams{Head: http1.DefaultLimits.Head, Short: http1.DefaultLimits.Body, Wait: requestTimeout,
	Idle: idleTimeout, Rest: flow.Pace{MinRate: minBytesPerSecond, Grace: requestTimeout}}

// NewStreams returns a server that passes requests to a Streamer. See New.
func NewStreams(l net.Listener, h Streamer, connections int, o Streams,
	log zerolog.Logger) *Server {
	s := New(l, nil, connections, log)
	s.streams, s.streamer = &o, h
	return s
}
