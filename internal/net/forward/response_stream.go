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

// Interim answers that are kept until the true one is known to be passed on.
const mostKept = 4

// pass looks for the head of an answer, and passes that on. It reports whether to read on.
func (c *connection) pass(buf []byte, readErr error) bool {
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
			//nolint:bodyclose // it is a head alone, which has no body to close
			if r, err = c.parser.ResponseHead(piece, x.stream.method); err == nil {
				c.readKeepAlive(r.Header)
			}
		}
		switch {
		case err != nil:
			c.finish(core.Result{Code: choice.Reset}, "bad-answer")
			return false
		case kind == http1.More && readErr != nil:
			if c.head != nil && c.ends(readErr) {
				on, _ := c.whole(x, true)
				return on
			}
			c.finish(core.Result{Code: choice.Reset}, "server-reset")
			return false
		case kind == http1.More:
			if c.forwarder.Hold > 0 && c.forwarder.Stall > 0 && c.pieces.Begun() {
				setReadDeadline(c.netConn, time.Now().Add(c.forwarder.Stall))
			}
			return true
		case kind == http1.Interim:
			c.keep1xx(x, piece)
		case kind == http1.Head && c.forwarder.Hold == 0:
			return c.move(x, r, buf)
		default:
			if on, over := c.hold(x, kind, r, piece, buf); over {
				return on
			}
		}
	}
}

// keep1xx keeps the head of an answer that goes before the true one. Of a request that judges answers, none
// is kept: it may have come late for another, and only a true answer's head is judged.
func (c *connection) keep1xx(x *exchange, head []byte) {
	_, judges := x.Payload.(Judging)
	if status := bytes.Fields(head)[1]; !judges && string(status) != "100" && len(c.interim) < mostKept {
		c.interim = append(c.interim, bytes.Clone(head))
	}
}

// move passes an answer on, from its head to its end, if it is wanted. It reports whether the connection can
// be used on.
func (c *connection) move(x *exchange, r *http.Response, buf []byte) bool {
	reply, ok := x.stream.headCame()
	if !ok && c.head == nil {
		return false
	}
	c.head = nil
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
		reply.Length += int64(len(c.held))
	}
	reply.NoBody = x.stream.head || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	reply.Interim, c.interim = c.interim, nil
	if !early {
		result.Body, result.Drop = reply, reply.Drop
		x.over(result)
	}
	to := reply.Wait()
	if to == nil {
		c.end("answer-not-wanted")
		return false
	}
	pump := newResponsePump(c, x, to, buf)
	code, whole := pump.run(reply)
	if !whole {
		c.end(code)
		to.Cut()
		return false
	}
	// The end goes out last: who has it may ask again at once, and finds this connection resting, or its slot
	// free. It goes by itself, since a client that reads slowly must not hold up whom that serves next.
	defer func() { go to.End(pump.trailer) }()
	switch {
	case c.foreign:
		code = "doubtful"
	case c.pieces.Buffered() > 0:
		code = "unasked-bytes"
	case code == "" && (r.Close || !r.ProtoAtLeast(1, 1)):
		code = "server-closed"
	case code == "" && !c.sentAll(x): // the rest of the request would be taken for the next
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.end(code)
		return false
	}
	_, ended := c.rest()
	return !ended
}
