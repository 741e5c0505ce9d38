package http1

import (
	"bytes"
	"slices"
	"strings"
)

// Kind is what Pieces has found.
type Kind int

// The kinds of pieces of a message, in the order in which they come.
const (
	More    Kind = iota // nothing: more bytes are needed
	Interim             // the head of a 1xx response, which goes before the true one
	Head                // the head, with the empty line at its end
	Data                // some of the body, without its framing
	Trailer             // the lines after a chunked body that may be there, without the empty one at their end
	End                 // the message is whole
)

// Pieces takes messages apart as their bytes come: the head first, then the body in pieces, so that nothing
// grows with its length. The guards against messages that two readers could take for different ones are the
// Framer's.
type Pieces struct {
	response bool
	most     int // bytes of a head, and of trailers
	buf      []byte
	used     int // bytes of buf handed out
	scanned  int // bytes of a head looked at
	state    pieceState
	form     form
	left     int64 // bytes of a body with a length still to come
	chunks   Chunks
	trailer  []byte
	noBody   bool
	interims int
	err      error
}

type pieceState int

const (
	pieceHead pieceState = iota
	pieceBody
	pieceTrailer // chunks have ended, and their trailer is to be handed out
	pieceEnd
)

// RequestPieces returns a machine for a client's requests, with heads of at most so many bytes.
func RequestPieces(mostHead int) *Pieces { return newPieces(mostHead, false) }

// ResponsePieces returns a machine for a server's responses.
func ResponsePieces(mostHead int) *Pieces { return newPieces(mostHead, true) }

func newPieces(most int, response bool) *Pieces {
	return &Pieces{response: response, most: most, chunks: Chunks{keep: most}}
}

// NoBody tells that the next response answers HEAD: it has no body, whatever its head says.
func (p *Pieces) NoBody() { p.noBody = true }

// Feed takes bytes as they came. Whoever feeds takes all pieces before it feeds again, so that no more is
// held than was fed at once.
func (p *Pieces) Feed(b []byte) {
	if p.used > 0 {
		p.buf = p.buf[:copy(p.buf, p.buf[p.used:])]
		p.used = 0
	}
	p.buf = append(p.buf, b...)
}

// Plain tells how many of the bytes that come next, at most so many, are all of the body, so that they need
// no taking apart. Who passes them on without feeding them tells so by Passed.
func (p *Pieces) Plain(most int) int {
	switch {
	case p.err != nil || p.state != pieceBody || p.Buffered() > 0:
		return 0
	case p.form == formUntilEnd:
		return most
	case p.form == formLength:
		return int(min(p.left, int64(most)))
	}
	return 0
}

// Passed tells that so many plain bytes were not fed.
func (p *Pieces) Passed(n int) {
	if p.form == formLength {
		p.left -= int64(n)
	}
}

// Buffered returns how many bytes were fed and not handed out.
func (p *Pieces) Buffered() int { return len(p.buf) - p.used }

// Begun reports whether part of a message is here, or was handed out, and its end was not.
func (p *Pieces) Begun() bool { return p.state != pieceHead || p.Buffered() > 0 }

// Length tells how long the body is that follows the head handed out last; -1: not known before its end.
func (p *Pieces) Length() int64 {
	if p.form != formLength {
		return -1
	}
	return p.left
}

// Endless tells that only the end of the connection ends the body that follows the head handed out last.
func (p *Pieces) Endless() bool { return p.form == formUntilEnd }

// Next returns the next piece. Its bytes are valid until the next call of Feed or Next. After an error the
// stream can't be read on.
func (p *Pieces) Next() (Kind, []byte, error) {
	if p.err != nil {
		return More, nil, p.err
	}
	kind, piece, err := p.next()
	p.err = err
	return kind, piece, err
}

// Finish tells that the stream has ended. That completes a body without a length, and cuts any other message
// short.
func (p *Pieces) Finish() (Kind, error) {
	switch {
	case p.err != nil:
		return More, p.err
	case p.state == pieceBody && p.form == formUntilEnd && p.Buffered() == 0:
		p.reset()
		return End, nil
	case p.Begun():
		p.err = bad(400, "cut-short")
		return More, p.err
	}
	return More, nil
}

func (p *Pieces) next() (Kind, []byte, error) {
	switch p.state {
	case pieceHead:
		return p.findHead()
	case pieceBody:
		return p.body()
	case pieceTrailer:
		p.state = pieceEnd
		p.trailer = trailers(p.trailer)
		if len(p.trailer) > 0 {
			return Trailer, p.trailer, nil
		}
	}
	p.reset()
	return End, nil, nil
}

// reset makes ready for the next message.
func (p *Pieces) reset() {
	p.state, p.scanned, p.left, p.noBody, p.interims = pieceHead, 0, 0, false, 0
	p.chunks = Chunks{line: p.chunks.line[:0], keep: p.most}
	if p.Buffered() == 0 && cap(p.buf) > keepMost { // one long body must not hold its memory for good
		p.buf, p.used = nil, 0
	}
}

func (p *Pieces) findHead() (Kind, []byte, error) {
	rest := p.buf[p.used:]
	if p.response && !statusBegins(rest) {
		return More, nil, bad(502, "status-line")
	}
	for !p.response && bytes.HasPrefix(rest, []byte("\r\n")) { // as RFC 9112 asks
		p.used, p.scanned = p.used+2, 0
		rest = p.buf[p.used:]
	}
	from := max(0, p.scanned-3)
	end := bytes.Index(rest[min(from, len(rest)):], []byte("\r\n\r\n"))
	if end < 0 {
		p.scanned = len(rest)
		if len(rest) > p.most {
			return More, nil, bad(431, "head-too-large")
		}
		if i := bytes.IndexByte(rest, '\n'); i == 0 || i > 0 && rest[i-1] != '\r' {
			return More, nil, bad(400, "bare-line-feed")
		}
		return More, nil, nil
	}
	size := from + end + 4
	if size > p.most {
		return More, nil, bad(431, "head-too-large")
	}
	head := rest[:size]
	form, length, err := framing(head[:size-2], p.response)
	if err != nil {
		return More, nil, err
	}
	p.used, p.scanned = p.used+size, 0
	if p.response && interim(head) {
		if p.interims++; p.interims > mostInterim {
			return More, nil, bad(502, "too-many-interim")
		}
		return Interim, head, nil
	}
	p.form, p.left, p.state = form, length, pieceBody
	if p.noBody {
		p.form, p.left = formLength, 0
	}
	return Head, head, nil
}

func (p *Pieces) body() (Kind, []byte, error) {
	rest := p.buf[p.used:]
	switch p.form {
	case formLength:
		if p.left == 0 {
			p.reset()
			return End, nil, nil
		}
		n := int(min(p.left, int64(len(rest))))
		p.left -= int64(n)
		p.used += n
		return dataOrMore(rest[:n])
	case formUntilEnd:
		p.used += len(rest)
		return dataOrMore(rest)
	}
	// One chunk, or what has come of it, at a time: pieces are handed out where they stand.
	piece, used, done, err := p.chunks.One(rest)
	p.used += used
	switch {
	case err != nil:
		return More, nil, err
	case len(piece) > 0:
		return Data, piece, nil
	case done:
		p.trailer = p.chunks.trailer
		p.state = pieceTrailer
		return p.next()
	}
	return More, nil, nil
}

func dataOrMore(piece []byte) (Kind, []byte, error) {
	if len(piece) == 0 {
		return More, nil, nil
	}
	return Data, piece, nil
}

// barred are the names of lines that a trailer must not hold: those that frame a message, route it, or hold
// for one connection alone (RFC 9110, 6.5.1).
var barred = []string{
	"content-length",
	"transfer-encoding",
	"host",
	"connection",
	"keep-alive",
	"te",
	"trailer",
	"upgrade",
	"expect",
	"authorization",
	"proxy-authorization",
	"proxy-authenticate",
	"proxy-connection",
	"set-cookie",
	"content-type",
	"content-encoding",
	"content-range",
}

// trailers drops the lines that must not be in a trailer, in place.
func trailers(lines []byte) []byte {
	kept := lines[:0]
	for line := range bytes.Lines(lines) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !slices.ContainsFunc(barred, func(b string) bool { return strings.EqualFold(b, string(name)) }) {
			kept = append(kept, line...)
		}
	}
	return kept
}
