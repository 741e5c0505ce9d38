package forward

import (
	"bytes"
	"errors"
	"io"
	"time"

	"dunespoke/internal/flow"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/transfer"
)

// Codes with which a connection ends whose answer is not passed on whole.
const (
	codeClientGone   = "client-gone"
	codeBadAnswer    = "bad-answer"
	codeServerReset  = "server-reset"
	codeServerClosed = "server-closed"
)

// responsePump moves the body of an answer, but for its end, as it comes and as the client takes it.
type responsePump struct {
	connection *connection
	exchange   *exchange
	to         transfer.Dest
	paced      *transfer.Side // holds the server to its pace
	unpaced    *transfer.Side // does not: it may wait for the rest of the request
	window     *transfer.Window
	trailer    []byte // what follows the body
}

func newResponsePump(c *connection, x *exchange, to transfer.Dest, buf []byte) *responsePump {
	return &responsePump{connection: c, exchange: x, to: to,
		paced:   transfer.NewSide(c.netConn, x.stream.terms.ServerDown),
		unpaced: transfer.NewSide(c.netConn, flow.Pace{}),
		window:  transfer.NewWindow(to.Room(), flow.Down, buf)}
}

// pumpStep is the end of a step of a responsePump.
type pumpStep struct {
	ended bool
	whole bool   // all of the body has gone
	code  string // with which the connection is to end; empty: it need not
}

var (
	pumpContinues  = pumpStep{}
	pumpDone       = pumpStep{ended: true, whole: true}
	pumpClientGone = pumpStep{ended: true, code: codeClientGone}
)

// run moves the body. It reports whether all of it has gone, and with which code the connection is to
// end, if it is.
func (p *responsePump) run(reply *transfer.Reply) (code string, whole bool) {
	if !p.begin(reply) {
		return codeClientGone, false
	}
	for {
		step := p.passOn()
		if !step.ended {
			step = p.receive()
		}
		if step.ended {
			return step.code, step.whole
		}
	}
}

// begin passes on the head, and what was held of the body. It reports false if the client has gone.
func (p *responsePump) begin(reply *transfer.Reply) bool {
	if err := p.to.Head(reply); err != nil {
		return false
	}
	held := p.connection.held
	p.connection.held = nil
	return held == nil || p.to.Write(held) == nil
}

// passOn passes on what has come and waits in the buffer.
func (p *responsePump) passOn() pumpStep {
	for {
		kind, piece, err := p.connection.pieces.Next()
		if err != nil {
			return pumpStep{ended: true, code: codeBadAnswer}
		}
		switch kind {
		case http1.Data:
			if err := p.to.Write(piece); err != nil {
				return pumpClientGone
			}
		case http1.Trailer:
			p.trailer = bytes.Clone(piece)
		case http1.End:
			return pumpDone
		default:
			if err := p.to.Flush(); err != nil {
				return pumpClientGone
			}
			return pumpContinues
		}
	}
}

// receive reads more of the body. Of one that tells its length nothing is copied.
func (p *responsePump) receive() pumpStep {
	pieces := p.connection.pieces
	taken := p.window.Take()
	into, plain := taken, pieces.Plain(len(taken))
	from := p.paced
	if !p.exchange.stream.sent.Load() {
		from = p.unpaced
	}
	if plain > 0 { // and not what comes behind the body
		into = into[:plain]
	}
	n, err := from.Read(into)
	received := time.Now()
	switch {
	case n > 0 && plain > 0:
		pieces.Passed(n)
		if p.to.Write(into[:n]) != nil {
			return pumpClientGone
		}
	case n > 0:
		pieces.Feed(into[:n])
	}
	p.window.Done(taken, n, time.Since(received))
	if err == nil {
		return pumpContinues
	}
	return p.readFailed(err)
}

// readFailed ends a body of which no more comes. The end of the connection may be its end.
func (p *responsePump) readFailed(err error) pumpStep {
	var slow *transfer.SlowError
	switch {
	case errors.As(err, &slow):
		return pumpStep{ended: true, code: "server-" + slow.Error()}
	case errors.Is(err, io.EOF):
		if kind, _ := p.connection.pieces.Finish(); kind == http1.End {
			p.trailer = nil
			return pumpStep{ended: true, whole: true, code: codeServerClosed}
		}
	}
	return pumpStep{ended: true, code: codeServerReset}
}
