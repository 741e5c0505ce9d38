package forward

import (
	"bytes"
	"net/http"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// maxInterim is the maximum number of 1xx responses that are kept until the final one is passed on.
const maxInterim = 4

// readResponse parses received input and buffers or streams the response. readErr is the error of the last
// read. It reports whether to continue to read.
func (c *connection) readResponse(buf []byte, readErr error) bool {
	for {
		c.mu.Lock()
		kind, piece, err := c.pieces.Next()
		x := c.exchange
		c.mu.Unlock()
		if x == nil {
			return false
		}
		var r *http.Response
		if err == nil && kind == http1.Head {
			//nolint:bodyclose // it is only a head, without a body to close
			if r, err = c.parser.ResponseHead(piece, x.stream.method); err == nil {
				c.readKeepAlive(r.Header)
			}
		}
		switch {
		case err != nil:
			c.finish(core.Result{Code: choice.Reset}, "bad-answer")
			return false
		case kind == http1.More && readErr != nil:
			if c.bufferedHead != nil && c.completesAtEOF(readErr) {
				readOn, _ := c.deliverBuffered(x, true)
				return readOn
			}
			c.finish(core.Result{Code: choice.Reset}, "server-reset")
			return false
		case kind == http1.More:
			if c.forwarder.Hold > 0 && c.forwarder.Stall > 0 && c.pieces.Begun() {
				setReadDeadline(c.netConn, time.Now().Add(c.forwarder.Stall))
			}
			return true
		case kind == http1.Interim:
			c.keepInterim(x, piece)
		case kind == http1.Head && c.forwarder.Hold == 0:
			return c.streamResponse(x, r, buf)
		default:
			if readOn, done := c.bufferPiece(x, kind, r, piece, buf); done {
				return readOn
			}
		}
	}
}

// keepInterim keeps the head of a 1xx response other than 100. It keeps none for a request that judges its
// responses: a 1xx response may be a late one to another request, and only final responses are judged.
func (c *connection) keepInterim(x *exchange, head []byte) {
	_, judges := x.Payload.(Judging)
	if status := bytes.Fields(head)[1]; !judges && string(status) != "100" && len(c.interim) < maxInterim {
		c.interim = append(c.interim, bytes.Clone(head))
	}
}

// streamResponse streams a response to the client from its head to its end, unless the attempt has failed or
// the response is not wanted. It reports whether to continue to read from the connection.
func (c *connection) streamResponse(x *exchange, r *http.Response, buf []byte) bool {
	reply, ok := x.stream.headReceived()
	if !ok && c.bufferedHead == nil {
		return false
	}
	c.bufferedHead = nil
	var result core.Result
	if j, ok := x.Payload.(Judging); ok {
		result = j.JudgeHead(r, c.arrival(c.pieces.Endless()))
	} else {
		result = c.forwarder.Streams(r)
	}
	if result.Code != choice.OK && reply == nil {
		c.finish(result, "answer-not-passed")
		return false
	}
	setReadDeadline(c.netConn, time.Time{})
	early := reply != nil
	if !early {
		reply = transfer.NewReply(func() { c.endWith(x, "client-gone") })
	}
	reply.Response, reply.Length = r, c.pieces.Length()
	if reply.Length >= 0 {
		reply.Length += int64(len(c.bufferedBody))
	}
	reply.NoBody = x.stream.isHead || r.StatusCode == http.StatusNoContent ||
		r.StatusCode == http.StatusNotModified
	reply.Interim, c.interim = c.interim, nil
	if !early {
		result.Body, result.Drop = reply, reply.Drop
		x.finish(result)
	}
	to := reply.Wait()
	if to == nil {
		c.end("answer-not-wanted")
		return false
	}
	pump := newResponsePump(c, x, to, buf)
	code, complete := pump.run(reply)
	if !complete {
		c.end(code)
		to.Cut()
		return false
	}
	// Send the end only after the connection was released or closed: a client that has received it may send its
	// next request at once, which then finds this connection in the pool, or its slot free. Send it in another
	// goroutine, since a client that reads slowly must not delay the connection's next request.
	defer func() { go to.End(pump.trailer) }()
	switch {
	case c.misdelivered:
		code = "doubtful"
	case c.pieces.Buffered() > 0:
		code = "unasked-bytes"
	case code == "" && (r.Close || !r.ProtoAtLeast(1, 1)):
		code = "server-closed"
	case code == "" && !c.awaitRequestSent(x): // the server would take the rest for the next request
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.end(code)
		return false
	}
	_, ended := c.becomeIdle()
	return !ended
}
