package accept

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// Exchange is one request and its response.
type Exchange struct {
	*http.Request // without its body
	Peer          net.Addr
	Upload        *transfer.Upload
	Long          bool // the body is not completely received

	conn        *streamConnection
	terms       *transfer.Terms
	reservation *flow.Transfer
	clock       func() time.Duration
	expect      bool          // the client waits for 100 Continue
	prefix      []byte        // part of a long body that was read but did not fit into the store
	cancel      func()        // tells the Streamer that the client disconnected; may be nil
	complete    bool          // the whole request was received
	answer      *http1.Answer // error response that replaces the Streamer's; nil: none
	reply       *transfer.Reply
	down        *transfer.Side
	framing     bodyFraming
	out         []byte
	responding  bool             // writing the response has begun
	up          atomic.Int64     // bytes received of the request body
	onEnd       func(whole bool) // see OnEnd; may be nil
}

// SetTerms sets the limits of the exchange and, if reservation is not nil, the transfer that its bodies'
// memory is reserved from. Up to replay bytes of a streamed body are kept for retries. The Streamer may call
// it until Stream returns.
func (x *Exchange) SetTerms(t *transfer.Terms, reservation *flow.Transfer, replay int,
	clock func() time.Duration) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.terms, x.reservation, x.clock = t, reservation, clock
	if x.Long && x.prefix == nil {
		x.Upload = transfer.Streaming(x.Upload.Length(), reservation, replay)
	}
}

// SetTransfer sets the transfer that the memory of a streamed response is reserved from, unless the exchange
// has one. It must be called before Pass. The transfer is closed when the exchange ends, or at once if it has
// ended.
func (x *Exchange) SetTransfer(reservation *flow.Transfer, clock func() time.Duration) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	switch {
	case x.conn.state == stateClosed || x.conn.exchange != x:
		reservation.Close(clock())
	case x.reservation == nil:
		x.reservation, x.clock = reservation, clock
	}
}

// TimeLeft returns the time until the process exits; ends is false if the server does not drain or its exit
// has no time limit.
func (x *Exchange) TimeLeft() (left time.Duration, ends bool) {
	s := x.conn.server
	since := s.drained.Load()
	if s.streams.Life == 0 || since == 0 {
		return 0, false
	}
	return s.streams.Life - time.Since(time.Unix(0, since)), true
}

// OnEnd sets a function that is called when the exchange ends, with whole true if the complete response was
// sent. If the exchange has already ended, f(false) is called at once. f must not block.
func (x *Exchange) OnEnd(f func(whole bool)) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.conn.state == stateClosed || x.conn.exchange != x {
		f(false)
		return
	}
	x.onEnd = f
}

// Answer sends a complete response. It does not block.
func (x *Exchange) Answer(a *http1.Answer) { go x.conn.respond(x, a) }

// Pass streams a response to the client while it is received from the server. It does not block.
func (x *Exchange) Pass(r *transfer.Reply) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.conn.state == stateClosed || x.conn.exchange != x {
		r.Drop()
		return
	}
	x.reply = r
	r.To(x)
}

// Room returns the transfer that the response's memory is reserved from, or nil.
func (x *Exchange) Room() *flow.Transfer { return x.reservation }
