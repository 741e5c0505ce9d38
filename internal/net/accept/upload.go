package accept

import (
	"bytes"
	"errors"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// upload streams a request body to the attempt that reads it. It reports false if the connection has ended.
func (c *streamConnection) upload(x *Exchange) bool {
	if x.Upload.Wait() != nil {
		return true // no attempt will read the body
	}
	if x.expect && x.prefix == nil {
		c.allowContinue(x)
	}
	if !x.sendPrefix() {
		return true
	}
	u := &bodyUpload{connection: c, exchange: x, side: transfer.NewSide(c.netConn, x.terms.ClientUp),
		window: transfer.NewWindow(x.reservation, flow.Up, c.buf)}
	setReadDeadline(c.netConn, time.Time{})
	for {
		step := u.passOn()
		if step == uploadContinues {
			step = u.receive()
		}
		if step != uploadContinues {
			return step == uploadOver
		}
	}
}

// sendPrefix passes on the piece of the body that was read but did not fit into the store. It reports false
// if no attempt accepts it.
func (x *Exchange) sendPrefix() bool {
	prefix := x.prefix
	x.prefix = nil
	if len(prefix) == 0 {
		return true
	}
	x.up.Add(int64(len(prefix)))
	return x.Upload.Write(prefix) == nil
}

// uploadStep is the result of one step of an upload.
type uploadStep int

// The results.
const (
	uploadContinues uploadStep = iota // more of the body is expected
	uploadOver                        // the upload has ended, completely or not; the connection is usable
	uploadCut                         // the connection has ended
)

// bodyUpload is a long request body that is being streamed.
type bodyUpload struct {
	connection *streamConnection
	exchange   *Exchange
	side       *transfer.Side
	window     *transfer.Window
	trailer    []byte
}

// passOn passes on the part of the body that is buffered.
func (u *bodyUpload) passOn() uploadStep {
	c, x := u.connection, u.exchange
	for {
		kind, piece, err := c.pieces.Next()
		if err != nil {
			c.failRequest(x, err)
			return uploadOver
		}
		switch kind {
		case http1.Data:
			x.up.Add(int64(len(piece)))
			if x.Upload.Write(piece) != nil {
				return uploadOver
			}
		case http1.Trailer:
			u.trailer = bytes.Clone(piece)
		case http1.End:
			c.mu.Lock()
			x.complete = true
			c.mu.Unlock()
			x.Upload.End(u.trailer)
			return uploadOver
		default:
			return uploadContinues
		}
	}
}

// receive reads more of the body. If the length is known, the bytes are passed on from the read buffer
// without a copy.
func (u *bodyUpload) receive() uploadStep {
	c, x := u.connection, u.exchange
	buf := u.window.Acquire()
	into, plain := buf, c.pieces.Plain(len(buf))
	if plain > 0 { // read only the body, not a request that may follow it
		into = buf[:plain]
	}
	n, err := u.side.Read(into)
	received := time.Now()
	var refused error
	switch {
	case n > 0 && plain > 0:
		c.pieces.Passed(n)
		x.up.Add(int64(n))
		refused = x.Upload.Write(into[:n])
	case n > 0:
		c.pieces.Feed(into[:n])
	}
	u.window.Release(buf, n, time.Since(received))
	switch {
	case refused != nil:
		return uploadOver
	case err == nil || n > 0:
		return uploadContinues
	}
	return u.readFailed(err)
}

// readFailed ends the upload after a read error.
func (u *bodyUpload) readFailed(err error) uploadStep {
	c, x := u.connection, u.exchange
	var slow *transfer.SlowError
	switch {
	case isTimeout(err) && c.answered(x):
		return uploadOver
	case errors.As(err, &slow):
		c.failRequest(x, &http1.Error{Status: 408, Reason: "upload-" + slow.Error()})
		return uploadOver
	}
	x.Upload.Abort()
	c.cut(closeReason(c.netConn, err))
	return uploadCut
}
