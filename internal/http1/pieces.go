package http1

import (
	"bytes"
	"slices"
	"strings"
)

// Kind is the kind of a piece that Pieces.Next returns.
type Kind int

// The kinds of pieces of a message, in the order in which they occur.
const (
	More    Kind = iota // no piece: more bytes are needed
	Interim             // the head of a 1xx response, which precedes the final one
	Head                // the head, including the empty line at its end
	Data                // part of the body, without its framing
	Trailer             // the optional trailer lines of a chunked body, without the empty line at the end
	End                 // the message is complete
)

// Pieces parses messages incrementally: it returns the head first and then the body in pieces, so that memory
// use does not grow with the length of the body. It rejects the same ambiguous messages as Framer. It is not
// safe for concurrent use.
type Pieces struct {
	response  bool
	maxHead   int // maximum size in bytes of a head, and of the trailers
	buf       []byte
	used      int // bytes of buf that have been returned
	scanned   int // bytes of the head examined so far
	state     pieceState
	form      form
	remaining int64 // bytes of the body not received yet, with formLength
	chunks    Chunks
	trailer   []byte
	noBody    bool
	interims  int
	err       error
}

type pieceState int

const (
	pieceHead pieceState = iota
	pieceBody
	pieceTrailer // the chunks have ended; the trailer is returned next
	pieceEnd
)

// RequestPieces returns a parser for requests from a client, whose heads have at most maxHead bytes.
func RequestPieces(maxHead int) *Pieces { return newPieces(maxHead, false) }

// ResponsePieces returns a parser for responses from a server, whose heads have at most maxHead bytes.
func ResponsePieces(maxHead int) *Pieces { return newPieces(maxHead, true) }

func newPieces(maxHead int, response bool) *Pieces {
	return &Pieces{response: response, maxHead: maxHead, chunks: Chunks{maxTrailer: maxHead}}
}

// NoBody declares that the next response is to a HEAD request, and so has no body whatever its head says.
func (p *Pieces) NoBody() { p.noBody = true }

// Feed appends received bytes to the stream. The caller must call Next until it returns More before the next
// call of Feed, so that the buffer does not outgrow the bytes of a single call.
func (p *Pieces) Feed(b []byte) {
	if p.used > 0 {
		p.buf = p.buf[:copy(p.buf, p.buf[p.used:])]
		p.used = 0
	}
	p.buf = append(p.buf, b...)
}

// Plain returns how many of the next bytes in the stream, up to limit, are known to be body bytes without
// framing, so that they need no parsing. A caller that forwards such bytes without Feed must report
// them to Passed.
func (p *Pieces) Plain(limit int) int {
	switch {
	case p.err != nil || p.state != pieceBody || p.Buffered() > 0:
		return 0
	case p.form == formUntilEnd:
		return limit
	case p.form == formLength:
		return int(min(p.remaining, int64(limit)))
	}
	return 0
}

// Passed records that n body bytes, as allowed by Plain, were forwarded without Feed.
func (p *Pieces) Passed(n int) {
	if p.form == formLength {
		p.remaining -= int64(n)
	}
}

// Buffered returns the number of bytes that Feed received and Next has not returned.
func (p *Pieces) Buffered() int { return len(p.buf) - p.used }

// Begun reports whether part of a message has been received or returned, and its end has not been returned.
func (p *Pieces) Begun() bool { return p.state != pieceHead || p.Buffered() > 0 }

// Length returns the length of the body that follows the head returned last, or -1 if it is unknown until the
// body ends.
func (p *Pieces) Length() int64 {
	if p.form != formLength {
		return -1
	}
	return p.remaining
}

// Endless reports whether the body that follows the head returned last ends only with the connection.
func (p *Pieces) Endless() bool { return p.form == formUntilEnd }

// Next returns the next piece. Its bytes are valid until the next call of Feed or Next. After an error
// every later call returns the same error.
func (p *Pieces) Next() (Kind, []byte, error) {
	if p.err != nil {
		return More, nil, p.err
	}
	kind, piece, err := p.next()
	p.err = err
	return kind, piece, err
}

// Finish handles the end of the stream. It completes a body that ends with the connection; any other
// incomplete message is an error.
func (p *Pieces) Finish() (Kind, error) {
	switch {
	case p.err != nil:
		return More, p.err
	case p.state == pieceBody && p.form == formUntilEnd && p.Buffered() == 0:
		p.reset()
		return End, nil
	case p.Begun():
		p.err = newError(400, "cut-short")
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
		p.trailer = allowedTrailers(p.trailer)
		if len(p.trailer) > 0 {
			return Trailer, p.trailer, nil
		}
	}
	p.reset()
	return End, nil, nil
}

// reset prepares for the next message.
func (p *Pieces) reset() {
	p.state, p.scanned, p.remaining, p.noBody, p.interims = pieceHead, 0, 0, false, 0
	p.chunks = Chunks{line: p.chunks.line[:0], maxTrailer: p.maxHead}
	if p.Buffered() == 0 && cap(p.buf) > maxRetainedBuffer { // release the memory of a large body
		p.buf, p.used = nil, 0
	}
}

func (p *Pieces) findHead() (Kind, []byte, error) {
	rest := p.buf[p.used:]
	if p.response && !hasStatusLinePrefix(rest) {
		return More, nil, newError(502, "status-line")
	}
	for !p.response && bytes.HasPrefix(rest, []byte("\r\n")) { // skip empty lines, as RFC 9112 recommends
		p.used, p.scanned = p.used+2, 0
		rest = p.buf[p.used:]
	}
	from := max(0, p.scanned-3)
	end := bytes.Index(rest[min(from, len(rest)):], []byte("\r\n\r\n"))
	if end < 0 {
		p.scanned = len(rest)
		if len(rest) > p.maxHead {
			return More, nil, newError(431, "head-too-large")
		}
		if i := bytes.IndexByte(rest, '\n'); i == 0 || i > 0 && rest[i-1] != '\r' {
			return More, nil, newError(400, "bare-line-feed")
		}
		return More, nil, nil
	}
	size := from + end + 4
	if size > p.maxHead {
		return More, nil, newError(431, "head-too-large")
	}
	head := rest[:size]
	form, length, err := framing(head[:size-2], p.response)
	if err != nil {
		return More, nil, err
	}
	p.used, p.scanned = p.used+size, 0
	if p.response && interim(head) {
		if p.interims++; p.interims > maxInterimResponses {
			return More, nil, newError(502, "too-many-interim")
		}
		return Interim, head, nil
	}
	p.form, p.remaining, p.state = form, length, pieceBody
	if p.noBody {
		p.form, p.remaining = formLength, 0
	}
	return Head, head, nil
}

func (p *Pieces) body() (Kind, []byte, error) {
	rest := p.buf[p.used:]
	switch p.form {
	case formLength:
		if p.remaining == 0 {
			p.reset()
			return End, nil, nil
		}
		n := int(min(p.remaining, int64(len(rest))))
		p.remaining -= int64(n)
		p.used += n
		return dataOrMore(rest[:n])
	case formUntilEnd:
		p.used += len(rest)
		return dataOrMore(rest)
	}
	// Return at most one chunk, or the received part of it, at a time: pieces are subslices of the buffer.
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

// notInTrailer lists the names of fields that must not occur in a trailer, such as those that frame a
// message, route it, or apply to a single connection only (RFC 9110, 6.5.1).
var notInTrailer = []string{
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

// allowedTrailers removes the forbidden fields from the trailer lines, in place.
func allowedTrailers(lines []byte) []byte {
	kept := lines[:0]
	for line := range bytes.Lines(lines) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !slices.ContainsFunc(notInTrailer, func(b string) bool { return strings.EqualFold(b, string(name)) }) {
			kept = append(kept, line...)
		}
	}
	return kept
}
