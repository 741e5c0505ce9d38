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

// Exchange is one request and its answer.
type Exchange struct {
	*http.Request // without its body
	Peer          net.Addr
	Upload        *transfer.Upload
	Long          bool // the body is yet to come

	conn   *streamConnection
	terms  *transfer.Terms
	room   *flow.Transfer
	clock  func() time.Duration
	expect bool   // 100 Continue
	prefix []byte // of a long body, for which the store had no room
	leave  func()
	whole  bool          // the request has come to its end
	answer *http1.Answer // instead of one that says that there is none; nil: as given
	reply  *transfer.Reply
	down   *transfer.Side
	form   bodyForm
	out    []byte
	told   bool             // the head is on its way
	up     atomic.Int64     // bytes of the body
	onEnd  func(whole bool) // of the answer; may be nil
}

// SetTerms holds the exchange to terms, and, where the room is not nil, moves its bodies by that. Up to replay
// bytes of a body to come are held to be sent again. It is for the Streamer to call, before it returns.
func (x *Exchange) SetTerms(t *transfer.Terms, room *flow.Transfer, replay int, clock func() time.Duration) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.terms, x.room, x.clock = t, room, clock
	if x.Long && x.prefix == nil {
		x.Upload = transfer.Streaming(x.Upload.Length(), room, replay)
	}
}

// SetTransfer lets an answer that is about to be passed on move by a room, unless the exchange has one. It is for
// the caller of Pass, before that; the room is closed with the exchange.
func (x *Exchange) SetTransfer(room *flow.Transfer, clock func() time.Duration) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	switch {
	case x.conn.state == stateClosed || x.conn.exchange != x:
		room.Close(clock())
	case x.room == nil:
		x.room, x.clock = room, clock
	}
}

// TimeLeft tells how long the process still lives, if it has been told to end by a certain time.
func (x *Exchange) TimeLeft() (left time.Duration, ends bool) {
	s := x.conn.server
	since := s.drained.Load()
	if s.streams.Life == 0 || since == 0 {
		return 0, false
	}
	return s.streams.Life - time.Since(time.Unix(0, since)), true
}

// OnEnd has a function told whether the answer has gone out whole, once it has, or never will. It must not
// block.
func (x *Exchange) OnEnd(f func(whole bool)) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.conn.state == stateClosed || x.conn.exchange != x {
		f(false)
		return
	}
	x.onEnd = f
}

// Answer gives a whole answer. It does not block.
func (x *Exchange) Answer(a *http1.Answer) { go x.conn.respond(x, a) }

// Pass gives an answer that is passed on as it comes. It does not block.
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

// Room is what the answer may hold.
func (x *Exchange) Room() *flow.Transfer { return x.room }
