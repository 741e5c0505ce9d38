package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Request is a complete request.
type Request struct {
	*http.Request
	Content []byte   // the body
	Peer    net.Addr // address of the sender; nil if the caller does not set it
}

// Response is a complete response.
type Response struct {
	*http.Response
	Content []byte
}

// Parser parses complete messages into requests or responses. It is not safe for concurrent use.
type Parser struct {
	bytes bytes.Reader
	buf   *bufio.Reader
}

func (p *Parser) reader(msg []byte) *bufio.Reader {
	p.bytes.Reset(msg)
	if p.buf == nil {
		p.buf = bufio.NewReader(&p.bytes)
	} else {
		p.buf.Reset(&p.bytes)
	}
	return p.buf
}

// Request parses a complete request.
func (p *Parser) Request(msg []byte) (*Request, error) {
	r, err := http.ReadRequest(p.reader(msg))
	if err != nil {
		return nil, newError(400, "malformed")
	}
	if r.ProtoMajor != 1 {
		return nil, newError(505, "version")
	}
	content, err := body(r.Body, r.ContentLength)
	if err != nil {
		return nil, newError(400, "malformed-body")
	}
	return &Request{Request: r, Content: content}, nil
}

// RequestHead parses a request without its body.
func (p *Parser) RequestHead(head []byte) (*http.Request, error) {
	r, err := http.ReadRequest(p.reader(head))
	switch {
	case err != nil:
		return nil, newError(400, "malformed")
	case r.ProtoMajor != 1:
		return nil, newError(505, "version")
	}
	r.Body = nil
	return r, nil
}

// ResponseHead parses a response without its body. The method is that of the request.
func (p *Parser) ResponseHead(head []byte, method string) (*http.Response, error) {
	r, err := http.ReadResponse(p.reader(head), &http.Request{Method: method})
	if err != nil {
		return nil, newError(502, "malformed")
	}
	r.Body, r.Request = nil, nil
	return r, nil
}

// Response parses a complete response to a request other than HEAD.
func (p *Parser) Response(msg []byte) (*Response, error) {
	r, err := http.ReadResponse(p.reader(msg), nil)
	if err != nil {
		return nil, newError(502, "malformed")
	}
	content, err := body(r.Body, r.ContentLength)
	if err != nil {
		return nil, newError(502, "malformed-body")
	}
	return &Response{r, content}, nil
}

// body reads length bytes from r, or up to the end of r if length is negative (unknown).
func body(r io.Reader, length int64) ([]byte, error) {
	switch {
	case length == 0:
		return nil, nil
	case length < 0:
		return io.ReadAll(r)
	}
	content := make([]byte, length)
	_, err := io.ReadFull(r, content)
	return content, err
}

// Answer is a response to send.
type Answer struct {
	Status int
	Header [][2]string // name and value of each header other than Content-Length and Connection
	Body   []byte
}

// Problem returns the response to a request that could not be parsed.
func Problem(err error) *Answer {
	status, text := 400, "malformed"
	var e *Error
	if errors.As(err, &e) {
		status, text = e.Status, e.Reason
	}
	return Plain(status, text)
}

// Promises reports whether a response with this status guarantees that the request has not been executed and
// never will be.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Plain returns a plain text response of one line.
func Plain(status int, text string) *Answer {
	return &Answer{Status: status, Header: [][2]string{{"Content-Type", "text/plain; charset=utf-8"}},
		Body: []byte(text + "\n")}
}

// Append appends the encoded response to buf. If closing is set, the response says that the connection closes
// after it.
func (a *Answer) Append(buf []byte, closing bool) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(a.Status), 10)
	buf = append(buf, ' ')
	buf = append(buf, http.StatusText(a.Status)...)
	buf = append(buf, "\r\n"...)
	for _, h := range a.Header {
		buf = AppendHeader(buf, h[0], h[1])
	}
	if closing {
		buf = AppendHeader(buf, "Connection", "close")
	}
	buf = AppendHeader(buf, "Content-Length", strconv.Itoa(len(a.Body)))
	buf = append(buf, "\r\n"...)
	return append(buf, a.Body...)
}

// AppendHeader appends one header line to buf.
func AppendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

// AppendHeaders appends the header lines of h to buf, sorted by name, except Content-Length and
// Transfer-Encoding, which frame the body.
func AppendHeaders(buf []byte, h http.Header) []byte {
	var nameBuf [24]string
	names := nameBuf[:0]
	for name := range h {
		if name != "Content-Length" && name != "Transfer-Encoding" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range h[name] {
			buf = AppendHeader(buf, name, value)
		}
	}
	return buf
}

// Decimal parses a number that consists of digits and at most one decimal point between them. It rejects the
// other forms that strconv accepts (signs, exponents, infinities, hex digits, underscores), as no
// client needs them.
func Decimal(text string) (n float64, ok bool) {
	notDecimal := func(r rune) bool { return (r < '0' || r > '9') && r != '.' }
	if strings.ContainsFunc(text, notDecimal) || strings.HasPrefix(text, ".") || strings.HasSuffix(text, ".") {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

// hopByHopHeaders lists the hop-by-hop headers, which apply to a single connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Upgrade", "Transfer-Encoding"}

// DropHops removes the hop-by-hop headers from h, and the headers that a Connection header lists. The
// names in except are kept even if a Connection header lists them, so that no sender can have them removed.
func DropHops(h http.Header, except ...string) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(except, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
