// Package http1 implements incremental HTTP/1.1 parsers that are fed bytes and use neither sockets nor
// clocks. They find message boundaries; http.ReadRequest and http.ReadResponse parse the messages.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Error is a protocol error in a message, with the HTTP status that reports it to a client.
type Error struct {
	Status int
	Reason string // a code for log lines
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func newError(status int, reason string) error { return &Error{status, reason} }

// Limits holds the maximum sizes in bytes of the head and the body of a message.
type Limits struct{ Head, Body int }

// DefaultLimits holds the limits of the platform: 64 KiB for a body, and 16 KiB for a head, which is far more
// than its clients send.
var DefaultLimits = Limits{Head: 16 << 10, Body: 64 << 10}

// maxRetainedBuffer is the maximum buffer capacity in bytes that is kept for later messages.
const maxRetainedBuffer = 16 << 10

// Framer splits a byte stream into complete messages. It is not safe for concurrent use.
type Framer struct {
	limits          Limits
	response        bool
	buf             []byte
	scanned         int // bytes of buf examined so far
	headLen         int // length of the head; zero until it is complete
	form            form
	messageLen      int // length of the complete message, with formLength
	bodyLen         int // bytes of chunked data received so far
	chunks          Chunks
	returned        int  // length of the message returned last, which is still in buf
	continueChecked bool // WantsContinue has been evaluated for this message
	interims        int  // number of 1xx responses skipped before this response
	err             error
}

type form int

const (
	formLength form = iota
	formChunked
	formUntilEnd // the body ends with the connection; responses only
)

// NewRequests returns a framer for requests from a client.
func NewRequests(l Limits) *Framer { return &Framer{limits: l} }

// NewResponses returns a framer for responses from a server.
func NewResponses(l Limits) *Framer { return &Framer{limits: l, response: true} }

// Feed appends received bytes to the stream.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Buffered returns the number of bytes that Next has not returned yet.
func (f *Framer) Buffered() int { return len(f.buf) - f.returned }

// Started reports whether part of a message has been received.
func (f *Framer) Started() bool { return f.Buffered() > 0 }

// WantsContinue reports whether the head of a request has been received, without any byte of its body, and
// expects "100 Continue". It returns true at most once for each request.
func (f *Framer) WantsContinue() bool {
	if f.response || f.headLen == 0 || f.continueChecked || len(f.buf) > f.headLen {
		return false
	}
	f.continueChecked = true
	return bytes.Contains(bytes.ToLower(f.buf[:f.headLen]), []byte("\nexpect: 100-continue\r\n"))
}

// Next returns the next complete message, or nil if more bytes are needed. The message is valid until the
// next call of Feed or Next. After an error every later call returns the same error.
func (f *Framer) Next() ([]byte, error) {
	if f.err != nil {
		return nil, f.err
	}
	f.drop()
	msg, err := f.next()
	f.err = err
	return msg, err
}

// End handles the end of the stream, and returns the message that it completes, if there is one.
func (f *Framer) End() ([]byte, error) {
	msg, err := f.Next()
	switch {
	case err != nil || msg != nil:
		return msg, err
	case f.headLen > 0 && f.form == formUntilEnd:
		f.returned = len(f.buf)
		return f.buf, nil
	case f.Started():
		return nil, newError(400, "cut-short")
	}
	return nil, nil
}

// drop removes the message returned last from the buffer.
func (f *Framer) drop() {
	if f.returned == 0 {
		return
	}
	rest := copy(f.buf, f.buf[f.returned:])
	if cap(f.buf) > maxRetainedBuffer && rest <= maxRetainedBuffer { // release the memory of a large message
		f.buf = append(make([]byte, 0, rest), f.buf[:rest]...)
	}
	line := f.chunks.line[:0]
	*f = Framer{limits: f.limits, response: f.response, buf: f.buf[:rest], chunks: Chunks{line: line}}
}

func (f *Framer) next() ([]byte, error) {
	if f.headLen == 0 {
		if err := f.findHead(); err != nil || f.headLen == 0 {
			return nil, err
		}
	}
	switch f.form {
	case formLength:
		if len(f.buf) < f.messageLen {
			return nil, nil
		}
		f.returned = f.messageLen
	case formChunked:
		used, done, err := f.chunks.Feed(f.buf[f.scanned:], func(p []byte) { f.bodyLen += len(p) })
		f.scanned += used
		switch {
		case err != nil:
			return nil, err
		case f.bodyLen > f.limits.Body || f.scanned-f.headLen > 4*f.limits.Body: // tiny chunks
			return nil, newError(413, "body-too-large")
		case !done:
			return nil, nil
		}
		f.returned = f.scanned
	case formUntilEnd:
		if len(f.buf)-f.headLen > f.limits.Body {
			return nil, newError(413, "body-too-large")
		}
		return nil, nil
	}
	return f.buf[:f.returned], nil
}

// findHead searches for the end of the head and determines how the body is framed.
func (f *Framer) findHead() error {
	// Checked before the end of the head is known: other data may contain an empty line, or never end.
	if f.response && !hasStatusLinePrefix(f.buf) {
		return newError(502, "status-line")
	}
	for { // skip empty lines before a request, as RFC 9112 recommends
		if f.response || !bytes.HasPrefix(f.buf, []byte("\r\n")) {
			break
		}
		f.buf, f.scanned = f.buf[2:], 0
	}
	end := bytes.Index(f.buf[max(0, f.scanned-3):], []byte("\r\n\r\n"))
	if end < 0 {
		f.scanned = len(f.buf)
		if len(f.buf) > f.limits.Head {
			return newError(431, "head-too-large")
		}
		if i := bytes.IndexByte(f.buf, '\n'); i == 0 || i > 0 && f.buf[i-1] != '\r' {
			return newError(400, "bare-line-feed") // the end of such a head would never be found
		}
		return nil
	}
	head := max(0, f.scanned-3) + end + 4
	if head > f.limits.Head {
		return newError(431, "head-too-large")
	}
	if err := f.frame(f.buf[:head-2]); err != nil {
		return err
	}
	if f.response && interim(f.buf[:head]) {
		if f.interims++; f.interims > maxInterimResponses {
			return newError(502, "too-many-interim")
		}
		f.buf, f.scanned = f.buf[head:], 0
		f.form, f.messageLen = formLength, 0
		return f.findHead()
	}
	f.headLen, f.scanned = head, head
	f.messageLen += head
	return nil
}

// maxInterimResponses is the maximum number of 1xx responses before a final one. It guards against a
// server that sends them endlessly and never sends a final response.
const maxInterimResponses = 16

const statusStart = "HTTP/1."

// hasStatusLinePrefix reports whether the bytes received so far may be the start of a status line.
func hasStatusLinePrefix(p []byte) bool {
	n := min(len(p), len(statusStart))
	return string(p[:n]) == statusStart[:n]
}

// statusLine reports whether line is a status line: an HTTP/1 version, followed by a status of three digits.
func statusLine(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	_, digits := decimal(status)
	return hasStatusLinePrefix(line) && len(version) == len(statusStart)+1 && len(status) == 3 && digits
}

// interim reports whether head belongs to an interim (1xx) response.
func interim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return len(status) > 0 && status[0] == '1'
}

// frame determines the framing of the body from the header lines, and returns an error if the body is too
// large.
func (f *Framer) frame(lines []byte) error {
	form, length, err := framing(lines, f.response)
	switch {
	case err != nil:
		return err
	case form == formLength && length > int64(f.limits.Body):
		return newError(413, "body-too-large")
	}
	f.form, f.messageLen = form, int(length)
	return nil
}

// framing determines from the lines of a head how the body is framed, and its length if it has one. It
// rejects messages that two parsers could interpret differently (request smuggling): a length together with
// chunks, two lengths, two hosts, folded header lines and bare line feeds.
func framing(lines []byte, response bool) (form, int64, error) {
	length, chunked, host := int64(-1), false, false
	first, lines, _ := bytes.Cut(lines, []byte("\r\n"))
	if bytes.IndexByte(first, '\n') >= 0 {
		return 0, 0, newError(400, "bare-line-feed")
	}
	if response && !statusLine(first) {
		return 0, 0, newError(502, "status-line")
	}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\n\r\x00"):
			return 0, 0, newError(400, "bare-line-feed")
		case !ok || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return 0, 0, newError(400, "header-line")
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, ok := decimal(bytes.Trim(value, " \t"))
			if !ok || length >= 0 {
				return 0, 0, newError(400, "content-length")
			}
			length = n
		case !response && bytes.EqualFold(name, []byte("Host")):
			if host {
				return 0, 0, newError(400, "two-hosts")
			}
			host = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
				return 0, 0, newError(400, "transfer-encoding")
			}
			chunked = true
		}
	}
	switch {
	case chunked && length >= 0:
		return 0, 0, newError(400, "length-and-chunked")
	case response && bodyless(first):
		return formLength, 0, nil
	case chunked:
		return formChunked, 0, nil
	case length < 0 && response:
		return formUntilEnd, 0, nil
	}
	return formLength, max(0, length), nil
}

// bodyless reports whether a status line belongs to a response that never has a body: 1xx, 204 or 304.
func bodyless(first []byte) bool {
	_, status, _ := bytes.Cut(first, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) || bytes.HasPrefix(status, []byte("204")) ||
		bytes.HasPrefix(status, []byte("304"))
}

// decimal parses a length. It accepts only digits, and at most 15 of them, so that the length fits in
// an int64.
func decimal(digits []byte) (n int64, ok bool) {
	notDigit := func(r rune) bool { return r < '0' || r > '9' }
	if len(digits) == 0 || len(digits) > 15 || bytes.ContainsFunc(digits, notDigit) {
		return 0, false
	}
	n, err := strconv.ParseInt(string(digits), 10, 64)
	return n, err == nil
}
