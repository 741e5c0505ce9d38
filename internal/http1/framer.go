// Package http1 holds the protocol machines of HTTP/1.1. They are fed bytes and know neither sockets nor
// clocks. They find where a message ends, and leave what it says to http.ReadRequest and http.ReadResponse.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Error is what is wrong with a message, and the status that says so to a client.
type Error struct {
	Status int
	Reason string // a code for log lines
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func bad(status int, reason string) error { return &Error{status, reason} }

// Limits bound a message.
type Limits struct{ Head, Body int }

// DefaultLimits are those of the platform: 64 KiB of body, and a head far over what its clients send.
var DefaultLimits = Limits{Head: 16 << 10, Body: 64 << 10}

// keepMost is how much memory a framer keeps for messages to come.
const keepMost = 16 << 10

// Framer cuts a stream of bytes into whole messages.
type Framer struct {
	limits   Limits
	response bool
	buf      []byte
	scanned  int // bytes of buf looked at
	head     int // length of the head, once it is whole
	form     form
	need     int // bytes of the whole message, with formLength
	body     int // bytes of chunked data so far
	chunks   Chunks
	ready    int  // bytes of the message handed out last
	asked    bool // WantsContinue was answered
	interims int  // 1xx responses passed over before this one
	err      error
}

type form int

const (
	formLength form = iota
	formChunked
	formUntilEnd // responses only
)

// NewRequests returns a framer for a client's requests.
func NewRequests(l Limits) *Framer { return &Framer{limits: l} }

// NewResponses returns a framer for a server's responses.
func NewResponses(l Limits) *Framer { return &Framer{limits: l, response: true} }

// Feed takes bytes as they came.
func (f *Framer) Feed(p []byte) { f.buf = append(f.buf, p...) }

// Buffered returns how many bytes wait for Next.
func (f *Framer) Buffered() int { return len(f.buf) - f.ready }

// Started reports whether part of a message is here.
func (f *Framer) Started() bool { return f.Buffered() > 0 }

// WantsContinue reports, once for a request, that its head has come and asks whether to send its body.
func (f *Framer) WantsContinue() bool {
	if f.response || f.head == 0 || f.asked || len(f.buf) > f.head {
		return false
	}
	f.asked = true
	return bytes.Contains(bytes.ToLower(f.buf[:f.head]), []byte("\nexpect: 100-continue\r\n"))
}

// Next returns the next whole message, or nothing if more bytes are needed. The message is valid until the
// next call of Feed or Next. After an error the stream can't be read on.
func (f *Framer) Next() ([]byte, error) {
	if f.err != nil {
		return nil, f.err
	}
	f.drop()
	msg, err := f.next()
	f.err = err
	return msg, err
}

// End tells that the stream has ended, and returns the message that its end completes, if one does.
func (f *Framer) End() ([]byte, error) {
	msg, err := f.Next()
	switch {
	case err != nil || msg != nil:
		return msg, err
	case f.head > 0 && f.form == formUntilEnd:
		f.ready = len(f.buf)
		return f.buf, nil
	case f.Started():
		return nil, bad(400, "cut-short")
	}
	return nil, nil
}

// drop removes the message handed out last.
func (f *Framer) drop() {
	if f.ready == 0 {
		return
	}
	rest := copy(f.buf, f.buf[f.ready:])
	if cap(f.buf) > keepMost && rest <= keepMost { // one large message must not hold its memory for good
		f.buf = append(make([]byte, 0, rest), f.buf[:rest]...)
	}
	line := f.chunks.line[:0]
	*f = Framer{limits: f.limits, response: f.response, buf: f.buf[:rest], chunks: Chunks{line: line}}
}

func (f *Framer) next() ([]byte, error) {
	if f.head == 0 {
		if err := f.findHead(); err != nil || f.head == 0 {
			return nil, err
		}
	}
	switch f.form {
	case formLength:
		if len(f.buf) < f.need {
			return nil, nil
		}
		f.ready = f.need
	case formChunked:
		used, done, err := f.chunks.Feed(f.buf[f.scanned:], func(p []byte) { f.body += len(p) })
		f.scanned += used
		switch {
		case err != nil:
			return nil, err
		case f.body > f.limits.Body || f.scanned-f.head > 4*f.limits.Body: // the latter of tiny chunks
			return nil, bad(413, "body-too-large")
		case !done:
			return nil, nil
		}
		f.ready = f.scanned
	case formUntilEnd:
		if len(f.buf)-f.head > f.limits.Body {
			return nil, bad(413, "body-too-large")
		}
		return nil, nil
	}
	return f.buf[:f.ready], nil
}

// findHead looks for the end of the head and works out how the body is framed.
func (f *Framer) findHead() error {
	if f.response && !statusBegins(f.buf) { // at once: noise may hold an empty line, or never end
		return bad(502, "status-line")
	}
	for { // an empty line before a message is passed over, as RFC 9112 asks
		if f.response || !bytes.HasPrefix(f.buf, []byte("\r\n")) {
			break
		}
		f.buf, f.scanned = f.buf[2:], 0
	}
	end := bytes.Index(f.buf[max(0, f.scanned-3):], []byte("\r\n\r\n"))
	if end < 0 {
		f.scanned = len(f.buf)
		if len(f.buf) > f.limits.Head {
			return bad(431, "head-too-large")
		}
		if i := bytes.IndexByte(f.buf, '\n'); i == 0 || i > 0 && f.buf[i-1] != '\r' {
			return bad(400, "bare-line-feed") // or such a head would never end
		}
		return nil
	}
	head := max(0, f.scanned-3) + end + 4
	if head > f.limits.Head {
		return bad(431, "head-too-large")
	}
	if err := f.frame(f.buf[:head-2]); err != nil {
		return err
	}
	if f.response && interim(f.buf[:head]) {
		if f.interims++; f.interims > mostInterim {
			return bad(502, "too-many-interim")
		}
		f.buf, f.scanned = f.buf[head:], 0
		f.form, f.need = formLength, 0
		return f.findHead()
	}
	f.head, f.scanned = head, head
	f.need += head
	return nil
}

// mostInterim is how many 1xx responses may go before one: a server that sends them without end never
// answers.
const mostInterim = 16

const statusStart = "HTTP/1."

// statusBegins reports whether bytes may be the beginning of a status line, as far as they came.
func statusBegins(p []byte) bool {
	n := min(len(p), len(statusStart))
	return string(p[:n]) == statusStart[:n]
}

// statusLine reports whether a line is one: the version, and a status of three digits.
func statusLine(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	_, digits := decimal(status)
	return statusBegins(line) && len(version) == len(statusStart)+1 && len(status) == 3 && digits
}

// interim reports whether a response only goes before the true one.
func interim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return len(status) > 0 && status[0] == '1'
}

// frame reads from the lines of a head how long the body is, and whether it is too long.
func (f *Framer) frame(lines []byte) error {
	form, length, err := framing(lines, f.response)
	switch {
	case err != nil:
		return err
	case form == formLength && length > int64(f.limits.Body):
		return bad(413, "body-too-large")
	}
	f.form, f.need = form, int(length)
	return nil
}

// framing reads from the lines of a head how a body is framed, and its length where it has one. It guards
// against messages that two readers could take for different ones: a length and chunks, two lengths, two
// hosts, lines carried on, odd line ends.
func framing(lines []byte, response bool) (form, int64, error) {
	length, chunked, host := int64(-1), false, false
	first, lines, _ := bytes.Cut(lines, []byte("\r\n"))
	if bytes.IndexByte(first, '\n') >= 0 {
		return 0, 0, bad(400, "bare-line-feed")
	}
	if response && !statusLine(first) {
		return 0, 0, bad(502, "status-line")
	}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\n\r\x00"):
			return 0, 0, bad(400, "bare-line-feed")
		case !ok || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return 0, 0, bad(400, "header-line")
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, ok := decimal(bytes.Trim(value, " \t"))
			if !ok || length >= 0 {
				return 0, 0, bad(400, "content-length")
			}
			length = n
		case !response && bytes.EqualFold(name, []byte("Host")):
			if host {
				return 0, 0, bad(400, "two-hosts")
			}
			host = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
				return 0, 0, bad(400, "transfer-encoding")
			}
			chunked = true
		}
	}
	switch {
	case chunked && length >= 0:
		return 0, 0, bad(400, "length-and-chunked")
	case response && bodyless(first):
		return formLength, 0, nil
	case chunked:
		return formChunked, 0, nil
	case length < 0 && response:
		return formUntilEnd, 0, nil
	}
	return formLength, max(0, length), nil
}

// bodyless reports whether a status line is of a response that never has a body.
func bodyless(first []byte) bool {
	_, status, _ := bytes.Cut(first, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) || bytes.HasPrefix(status, []byte("204")) ||
		bytes.HasPrefix(status, []byte("304"))
}

// decimal reads a length: digits alone, and fewer than an int64 holds.
func decimal(digits []byte) (n int64, ok bool) {
	odd := func(r rune) bool { return r < '0' || r > '9' }
	if len(digits) == 0 || len(digits) > 15 || bytes.ContainsFunc(digits, odd) {
		return 0, false
	}
	n, err := strconv.ParseInt(string(digits), 10, 64)
	return n, err == nil
}
