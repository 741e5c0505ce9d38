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

// bodyForm is how a body is framed for the client.
type bodyForm int

const (
	formPlain bodyForm = iota // by its length, by the connection's end, or none
	formChunks
)

// Pieces up to this size are gathered and go out together: a copy costs less than a system call.
const gather = 8 << 10

// Head writes the head of an answer.
func (x *Exchange) Head(r *transfer.Reply) error {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed || c.exchange != x {
		return net.ErrClosed
	}
	x.down = transfer.NewSide(c.netConn, x.terms.ClientDown)
	out := c.out[:0]
	modern := x.ProtoAtLeast(1, 1)
	if modern {
		for _, head := range r.Interim {
			out = append(out, head...)
		}
	}
	last := c.closes(x)
	lengthless := !r.NoBody && r.Length < 0
	if lengthless && !modern {
		c.last, last = true, true
	}
	out = append(out, "HTTP/1.1 "...)
	out = append(out, r.Status...)
	out = append(out, "\r\n"...)
	out = http1.AppendHeaders(out, r.Header)
	switch {
	case lengthless && modern:
		x.form = formChunks
		out = http1.AppendHeader(out, "Transfer-Encoding", "chunked")
	case r.NoBody && r.StatusCode != http.StatusNoContent && r.ContentLength >= 0:
		out = http1.AppendHeader(out, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case !r.NoBody && !lengthless:
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

// Write writes some of the body.
func (x *Exchange) Write(p []byte) error {
	if x.form == formChunks {
		x.out = append(strconv.AppendInt(x.out, int64(len(p)), 16), "\r\n"...)
	}
	if len(x.out)+len(p) <= 2*gather && len(p) <= gather {
		x.out = append(x.out, p...)
	} else {
		if err := x.Flush(); err != nil {
			return err
		}
		if err := x.down.Write(p); err != nil {
			return x.failed(err)
		}
	}
	if x.form == formChunks {
		x.out = append(x.out, "\r\n"...)
	}
	return nil
}

// Flush writes what was gathered.
func (x *Exchange) Flush() error {
	if len(x.out) == 0 {
		return nil
	}
	err := x.down.Write(x.out)
	x.out = x.out[:0]
	return x.failed(err)
}

// failed ends the connection if a write has failed.
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

// End ends the answer, which is whole.
func (x *Exchange) End(trailer []byte) {
	if x.form == formChunks {
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

// Fail says that there is no answer.
func (x *Exchange) Fail() { x.conn.respond(x, http1.Plain(http.StatusBadGateway, "no answer")) }

// Cut breaks the answer off, so that the client can tell: there is no last chunk, or less than the length.
func (x *Exchange) Cut() {
	x.Flush()
	x.conn.cut("answer-cut")
}
