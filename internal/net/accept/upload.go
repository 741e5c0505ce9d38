package accept

import (
	"bytes"
	"errors"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// upload passes a body on, as it comes and as it is taken. It reports whether the connection is still there.
func (c *streamConnection) upload(x *Exchange) bool {
	if x.Upload.Wait() != nil {
		return true // nobody takes it
	}
	if x.expect && x.prefix == nil {
		c.proceed(x)
	}
	if !x.sendPrefix() {
		return true
	}
	u := &bodyUpload{connection: c, exchange: x, side: transfer.NewSide(c.netConn, x.terms.ClientUp),
		window: transfer.NewWindow(x.room, flow.Up, c.buf)}
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

// sendPrefix passes on what was read of a body before there was no room for more. It reports whether it
// was taken.
func (x *Exchange) sendPrefix() bool {
	prefix := x.prefix
	x.prefix = nil
	if len(prefix) == 0 {
		return true
	}
	x.up.Add(int64(len(prefix)))
	return x.Upload.Write(prefix) == nil
}

// uploadStep says how a body goes on.
type uploadStep int

// The steps.
const (
	uploadContinues uploadStep = iota // with what comes next
	uploadOver                        // it is over, whole or not, and the connection is there
	uploadCut                         // the connection has ended
)

// bodyUpload is a long body that is being passed on.
type bodyUpload struct {
	connection *streamConnection
	exchange   *Exchange
	side       *transfer.Side
	window     *transfer.Window
	trailer    []byte
}

// passOn passes on what has come of the body and waits in the buffer.
func (u *bodyUpload) passOn() uploadStep {
	c, x := u.connection, u.exchange
	for {
		kind, piece, err := c.pieces.Next()
		if err != nil {
			c.spoil(x, err)
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
			x.whole = true
			c.mu.Unlock()
			x.Upload.End(u.trailer)
			return uploadOver
		default:
			return uploadContinues
		}
	}
}

// receive reads more of the body. Of one that tells its length nothing is copied: it goes on from where
// it was read to.
func (u *bodyUpload) receive() uploadStep {
	c, x := u.connection, u.exchange
	taken := u.window.Take()
	into, plain := taken, c.pieces.Plain(len(taken))
	if plain > 0 { // and not the request that may come behind
		into = taken[:plain]
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
	u.window.Done(taken, n, time.Since(received))
	switch {
	case refused != nil:
		return uploadOver
	case err == nil || n > 0:
		return uploadContinues
	}
	return u.readFailed(err)
}

// readFailed ends a body of which no more comes.
func (u *bodyUpload) readFailed(err error) uploadStep {
	c, x := u.connection, u.exchange
	var slow *transfer.SlowError
	switch {
	case isTimeout(err) && c.answered(x):
		return uploadOver
	case errors.As(err, &slow):
		c.spoil(x, &http1.Error{Status: 408, Reason: "upload-" + slow.Error()})
		return uploadOver
	}
	x.Upload.Break()
	c.cut(left(c.netConn, err))
	return uploadCut
}
