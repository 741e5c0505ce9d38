package forward

import (
	"errors"
	"io"
	"net/http"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

// bufferPiece adds a piece to a response that is buffered until it is complete. If the response is longer
// than Config.Hold, it is streamed from its beginning. done reports that readResponse has to return, and
// readOn whether to continue to read from the connection.
func (c *connection) bufferPiece(x *exchange, kind http1.Kind, r *http.Response,
	piece, buf []byte) (readOn, done bool) {
	switch kind {
	case http1.Head:
		if _, ok := x.stream.headReceived(); !ok {
			return false, true
		}
		c.bufferedHead, c.bufferedBody = r, nil
	case http1.Data:
		if c.bufferedBody == nil {
			// Allocate the whole length if it is known. Most responses have one, and are short.
			c.bufferedBody = make([]byte, 0, min(len(piece)+int(max(0, c.pieces.Length())), c.forwarder.Hold))
		}
		c.bufferedBody = append(c.bufferedBody, piece...)
	case http1.End:
		readOn, awaitAgain := c.deliverBuffered(x, false)
		return readOn, !awaitAgain
	}
	if n := c.pieces.Length(); len(c.bufferedBody) > c.forwarder.Hold ||
		n > int64(c.forwarder.Hold-len(c.bufferedBody)) {
		return c.streamResponse(x, c.bufferedHead, buf), true
	}
	return true, false
}

// Fit says whether a response belongs to the request on whose connection it was received.
type Fit int

// The kinds of Fit.
const (
	Good     Fit = iota
	Doubtful     // its connection must not be reused
	Foreign      // it answers another request; this request's response is still expected
)

// Arrival describes how a response was received.
type Arrival struct {
	Closed bool // only the end of the connection completes it
	First  bool // it is the first response to the first request on its connection
}

// Judging is a Streamed message that classifies its responses itself.
type Judging interface {
	Judge(r *http1.Response, a Arrival) (core.Result, Fit)
	// JudgeHead classifies a response that is too long to be buffered, by its head. It may remove from r what
	// the client must not get.
	JudgeHead(r *http.Response, a Arrival) core.Result
}

// arrival returns how the current response was received.
func (c *connection) arrival(closed bool) Arrival {
	return Arrival{Closed: closed, First: c.count == 1 && !c.misdelivered}
}

// awaitOwnResponse prepares to read this request's response after a late response to another request. The
// connection is not reused afterwards.
func (c *connection) awaitOwnResponse(x *exchange) {
	c.misdelivered = true
	x.stream.awaitHeadAgain()
	if x.stream.isHead {
		c.pieces.NoBody()
	}
}

// completesAtEOF reports whether readErr is the end of the connection and completes the buffered response.
func (c *connection) completesAtEOF(readErr error) bool {
	if !errors.Is(readErr, io.EOF) {
		return false
	}
	kind, _ := c.pieces.Finish()
	return kind == http1.End
}

// deliverBuffered classifies the complete buffered response and ends the attempt with it. readOn reports
// whether to continue to read from the connection. awaitAgain reports that the response was for another
// request, so that this request's response is still expected.
func (c *connection) deliverBuffered(x *exchange, closed bool) (readOn, awaitAgain bool) {
	r, body := c.bufferedHead, c.bufferedBody
	c.bufferedHead, c.bufferedBody, c.interim = nil, nil, nil
	answer := &http1.Response{Response: r, Content: body}
	var result core.Result
	code := ""
	if j, ok := x.Payload.(Judging); !ok {
		result = c.forwarder.Judge(answer)
	} else {
		var fit Fit
		switch result, fit = j.Judge(answer, c.arrival(closed)); {
		case fit == Foreign && !closed:
			c.awaitOwnResponse(x)
			return true, true
		case fit != Good || c.misdelivered:
			code = "doubtful"
		}
	}
	switch {
	case c.pieces.Buffered() > 0: // unsolicited input must not be taken for the next response
		code = "unasked-bytes"
	case closed || r.Close || !r.ProtoAtLeast(1, 1):
		code = "server-closed"
	case !c.awaitRequestSent(x): // the server would take the rest of the body for the next request
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.finish(result, code)
		return false, false
	}
	next, ended := c.becomeIdle()
	if next != nil {
		next.finish(result)
	}
	return !ended, false
}
