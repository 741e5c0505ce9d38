package accept

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
)

// Streamer answers requests whose bodies may be long.
type Streamer interface {
	// Stream takes a request, whose body may be yet to come. It must not block, and it must see to it that
	// one of Exchange's Answer and Pass is called once; unless the client leaves before, which it learns by
	// the function it returns (nil, if that makes no difference).
	Stream(*Exchange) (leave func())
}

// Streams sets up a Server for bodies that are passed on as they come.
type Streams struct {
	Head  int           // bytes of a request's head, at most
	Short int           // bytes of a body that is read whole first, if it tells its length
	Wait  time.Duration // for a request's head and a short body
	Idle  time.Duration // between requests
	// Accept is how long new connections are taken once the server drains; 0: drainAccept.
	Accept time.Duration
	Drain  time.Duration // for which exchanges may go on once the server drains; 0: any time
	// Life is how long the process lives once the server drains; 0: as long as it takes. Requests that are
	// still being sent shortly before its end are refused: their clients can be told, and ask another.
	Life time.Duration
	// Store, if set, takes bodies over Short, and those that don't tell their length, before the Streamer gets
	// the request, as long as it has room. Those that wait to be asked for are asked for then.
	Store *flow.Store
	// Promises says that to these clients 408, 421, 429 and 503 tell that a request has not run and never will:
	// one whose body breaks off is answered so only if the Streamer's answer is of these, too.
	Promises bool
	// Rest is how fast the rest of a body has to come whose request was answered before its end. It is read
	// and dropped, since a client that sends all before it reads would not see the answer. The zero Pace:
	// what comes within lingerWait.
	Rest flow.Pace
}

// Platform is how the platform's clients are taken: heads within 2.5 s, and bodies at 32 kB a second or more.
var Platform = Streams{Head: http1.DefaultLimits.Head, Short: http1.DefaultLimits.Body, Wait: requestWait,
	Idle: idleWait, Rest: flow.Pace{MinRate: slowest, Grace: requestWait}}

// NewStreams returns a server for a Streamer, as New does for a Handler.
func NewStreams(l net.Listener, h Streamer, connections int, o Streams,
	log zerolog.Logger) *Server {
	s := New(l, nil, connections, log)
	s.streams, s.streamer = &o, h
	return s
}
