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

// Log codes of connections that end while their response is streamed.
const (
	codeClientGone   = "client-gone"
	codeBadResponse  = "bad-answer"
	codeServerReset  = "server-reset"
	codeServerClosed = "server-closed"
)

// responsePump streams a response from the server to the client, except for the end of its body.
type responsePump struct {
	connection *connection
	exchange   *exchange
	to         transfer.Dest
	paced      *transfer.Side // enforces the server's minimum pace
	unpaced    *transfer.Side // doesn't, as the server may be waiting for the rest of the request
	window     *transfer.Window
	trailer    []byte // the trailer lines after the body
}

func newResponsePump(c *connection, x *exchange, to transfer.Dest, buf []byte) *responsePump {
	return &responsePump{connection: c, exchange: x, to: to,
		paced:   transfer.NewSide(c.netConn, x.stream.terms.ServerDown),
		unpaced: transfer.NewSide(c.netConn, flow.Pace{}),
		window:  transfer.NewWindow(to.Room(), flow.Down, buf)}
}

// pumpStep is the result of one step of a responsePump.
type pumpStep struct {
	ended    bool
	complete bool   // the whole body was passed on
	code     string // log code to end the connection with; empty: it can be reused
}

var (
	pumpContinues  = pumpStep{}
	pumpDone       = pumpStep{ended: true, complete: true}
	pumpClientGone = pumpStep{ended: true, code: codeClientGone}
)

// run passes on the head and the body. It reports whether the whole body was passed on, and the log code to
// end the connection with, or "" if the connection can be reused.
func (p *responsePump) run(reply *transfer.Reply) (code string, complete bool) {
	if !p.begin(reply) {
		return codeClientGone, false
	}
	for {
		step := p.passOn()
		if !step.ended {
			step = p.receive()
		}
		if step.ended {
			return step.code, step.complete
		}
	}
}

// begin passes on the head and the part of the body that was buffered. It reports false if the client has
// disconnected.
func (p *responsePump) begin(reply *transfer.Reply) bool {
	if err := p.to.Head(reply); err != nil {
		return false
	}
	buffered := p.connection.bufferedBody
	p.connection.bufferedBody = nil
	return buffered == nil || p.to.Write(buffered) == nil
}

// passOn passes on what was received and is in the parser's buffer.
func (p *responsePump) passOn() pumpStep {
	for {
		kind, piece, err := p.connection.pieces.Next()
		if err != nil {
			return pumpStep{ended: true, code: codeBadResponse}
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

// receive reads more of the body. If the length is known, the bytes are passed on from the read buffer
// without a copy.
func (p *responsePump) receive() pumpStep {
	pieces := p.connection.pieces
	buf := p.window.Acquire()
	into, plain := buf, pieces.Plain(len(buf))
	from := p.paced
	if !p.exchange.stream.sent.Load() {
		from = p.unpaced
	}
	if plain > 0 { // read only the body, not what may follow it
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
	p.window.Release(buf, n, time.Since(received))
	if err == nil {
		return pumpContinues
	}
	return p.readFailed(err)
}

// readFailed ends the body after a read error. The end of the connection may be the end of the body.
func (p *responsePump) readFailed(err error) pumpStep {
	var slow *transfer.SlowError
	switch {
	case errors.As(err, &slow):
		return pumpStep{ended: true, code: "server-" + slow.Error()}
	case errors.Is(err, io.EOF):
		if kind, _ := p.connection.pieces.Finish(); kind == http1.End {
			p.trailer = nil
			return pumpStep{ended: true, complete: true, code: codeServerClosed}
		}
	}
	return pumpStep{ended: true, code: codeServerReset}
}
