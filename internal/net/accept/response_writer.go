package accept

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// bodyFraming is how a response body is framed for the client.
type bodyFraming int

const (
	framingPlain bodyFraming = iota // delimited by its length or by the connection's end, or no body
	framingChunked
)

// coalesceMax is the size in bytes up to which pieces of a body are copied into one buffer and written
// together. A copy costs less than a system call.
const coalesceMax = 8 << 10

// Head prepares the head of a response. It is written with the first piece of the body, or by Flush or End.
func (x *Exchange) Head(r *transfer.Reply) error {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.exchange != x {
		return net.ErrClosed
	}
	x.down = transfer.NewSide(c.netConn, x.terms.ClientDown)
	out := c.out[:0]
	http11 := x.ProtoAtLeast(1, 1)
	if http11 {
		for _, head := range r.Interim {
			out = append(out, head...)
		}
	}
	last := c.beginResponse(x)
	unknownLength := !r.NoBody && r.Length < 0
	if unknownLength && !http11 {
		c.closeAfter, last = true, true
	}
	out = append(out, "HTTP/1.1 "...)
	out = append(out, r.Status...)
	out = append(out, "\r\n"...)
	out = http1.AppendHeaders(out, r.Header)
	switch {
	case unknownLength && http11:
		x.framing = framingChunked
		out = http1.AppendHeader(out, "Transfer-Encoding", "chunked")
	case r.NoBody && r.StatusCode != http.StatusNoContent && r.ContentLength >= 0:
		out = http1.AppendHeader(out, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case !r.NoBody && !unknownLength:
		out = http1.AppendHeader(out, "Content-Length", strconv.FormatInt(r.Length, 10))
	}
	if last {
		out = http1.AppendHeader(out, "Connection", "close")
	}
	out = append(out, "\r\n"...)
	x.out = out
	setWriteDeadline(c.netConn, time.Time{})
	return nil
}

// Write writes a piece of the body. Small pieces are buffered until Flush or End.
func (x *Exchange) Write(p []byte) error {
	if x.framing == framingChunked {
		x.out = append(strconv.AppendInt(x.out, int64(len(p)), 16), "\r\n"...)
	}
	if len(x.out)+len(p) <= 2*coalesceMax && len(p) <= coalesceMax {
		x.out = append(x.out, p...)
	} else {
		if err := x.Flush(); err != nil {
			return err
		}
		if err := x.down.Write(p); err != nil {
			return x.failed(err)
		}
	}
	if x.framing == framingChunked {
		x.out = append(x.out, "\r\n"...)
	}
	return nil
}

// Flush writes the buffered output.
func (x *Exchange) Flush() error {
	if len(x.out) == 0 {
		return nil
	}
	err := x.down.Write(x.out)
	x.out = x.out[:0]
	return x.failed(err)
}

// failed closes the connection if err is not nil, and returns err.
func (x *Exchange) failed(err error) error {
	if err == nil {
		return nil
	}
	code := "answer-not-written"
	var slow *transfer.SlowError
	if errors.As(err, &slow) {
		code = "client-" + slow.Error()
	}
	x.conn.cut(code)
	return err
}

// End completes the response.
func (x *Exchange) End(trailer []byte) {
	if x.framing == framingChunked {
		x.out = append(append(append(x.out, "0\r\n"...), trailer...), "\r\n"...)
	}
	if x.Flush() != nil {
		return
	}
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = x.out
	c.finish(x)
}

// Fail responds with 502, as no response head will be received from the server.
func (x *Exchange) Fail() { x.conn.respond(x, http1.Plain(http.StatusBadGateway, "no answer")) }

// Cut closes the connection before the response is complete. The client can detect that by the missing last
// chunk, or by a body shorter than its length.
func (x *Exchange) Cut() {
	x.Flush()
	x.conn.cut("answer-cut")
}
