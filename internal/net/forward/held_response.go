package forward

import (
	"errors"
	"io"
	"net/http"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

// hold takes a piece of an answer that is held until it is whole, or longer than may be held: then it is
// passed on from its beginning. over reports that the answer needs no more of the loop that found the piece,
// and on whether the connection is to be read on.
func (c *connection) hold(x *exchange, kind http1.Kind, r *http.Response, piece, buf []byte) (on, over bool) {
	switch kind {
	case http1.Head:
		if _, ok := x.stream.headCame(); !ok {
			return false, true
		}
		c.head, c.held = r, nil
	case http1.Data:
		if c.held == nil {
			// As long as it is to be, where that is told: most are, and are short.
			c.held = make([]byte, 0, min(len(piece)+int(max(0, c.pieces.Length())), c.forwarder.Hold))
		}
		c.held = append(c.held, piece...)
	case http1.End:
		on, again := c.whole(x, false)
		return on, !again
	}
	if n := c.pieces.Length(); len(c.held) > c.forwarder.Hold || n > int64(c.forwarder.Hold-len(c.held)) {
		return c.move(x, c.head, buf), true
	}
	return true, false
}

// Fit says what an answer is to the request that it came for.
type Fit int

// The kinds of Fit.
const (
	Good     Fit = iota
	Doubtful     // its connection is not to be used again
	Foreign      // it answers another request: this one's is yet to come
)

// Arrival is how an answer came.
type Arrival struct {
	Closed bool // only the connection's end completes it
	First  bool // nothing was asked on its connection before, and nothing has come
}

// Judging is a Streamed message that judges its answers by itself.
type Judging interface {
	Judge(r *http1.Response, a Arrival) (core.Result, Fit)
	// JudgeHead judges the head of an answer that is too long to be held, and leaves of it what goes on.
	JudgeHead(r *http.Response, a Arrival) core.Result
}

// arrival tells how an answer came.
func (c *connection) arrival(closed bool) Arrival {
	return Arrival{Closed: closed, First: c.count == 1 && !c.foreign}
}

// awaitOwn goes on to read after an answer that was another request's, which came late. The connection is not
// used again after the one awaited.
func (c *connection) awaitOwn(x *exchange) {
	c.foreign = true
	x.stream.headAwaited()
	if x.stream.head {
		c.pieces.NoBody()
	}
}

// ends reports whether the end of the connection completes the answer that is held.
func (c *connection) ends(readErr error) bool {
	if !errors.Is(readErr, io.EOF) {
		return false
	}
	kind, _ := c.pieces.Finish()
	return kind == http1.End
}

// whole has the answer judged that is held. It reports whether the connection can be used on, or whether it
// was another request's answer, so that the one awaited is yet to come.
func (c *connection) whole(x *exchange, closed bool) (on, again bool) {
	r, held := c.head, c.held
	c.head, c.held, c.interim = nil, nil, nil
	answer := &http1.Response{Response: r, Content: held}
	var result core.Result
	code := ""
	if j, ok := x.Payload.(Judging); !ok {
		result = c.forwarder.Judge(answer)
	} else {
		var fit Fit
		switch result, fit = j.Judge(answer, c.arrival(closed)); {
		case fit == Foreign && !closed:
			c.awaitOwn(x)
			return true, true
		case fit != Good || c.foreign:
			code = "doubtful"
		}
	}
	switch {
	case c.pieces.Buffered() > 0: // guards the next request against being answered with what came for nobody
		code = "unasked-bytes"
	case closed || r.Close || !r.ProtoAtLeast(1, 1):
		code = "server-closed"
	case !c.sentAll(x): // the rest of the body would be taken for the next request
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.finish(result, code)
		return false, false
	}
	next, ended := c.rest()
	if next != nil {
		next.over(result)
	}
	return !ended, false
}
