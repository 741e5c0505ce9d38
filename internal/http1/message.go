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

// Request is a whole request.
type Request struct {
	*http.Request
	Content []byte   // the body
	Peer    net.Addr // who sent it, where the driver tells
}

// Response is a whole response.
type Response struct {
	*http.Response
	Content []byte
}

// Parser turns whole messages into requests or responses.
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

// Request parses a whole request.
func (p *Parser) Request(msg []byte) (*Request, error) {
	r, err := http.ReadRequest(p.reader(msg))
	if err != nil {
		return nil, bad(400, "malformed")
	}
	if r.ProtoMajor != 1 {
		return nil, bad(505, "version")
	}
	content, err := body(r.Body, r.ContentLength)
	if err != nil {
		return nil, bad(400, "malformed-body")
	}
	return &Request{Request: r, Content: content}, nil
}

// RequestHead parses a request without its body.
func (p *Parser) RequestHead(head []byte) (*http.Request, error) {
	r, err := http.ReadRequest(p.reader(head))
	switch {
	case err != nil:
		return nil, bad(400, "malformed")
	case r.ProtoMajor != 1:
		return nil, bad(505, "version")
	}
	r.Body = nil
	return r, nil
}

// ResponseHead parses a response without its body. The method is that of the request.
func (p *Parser) ResponseHead(head []byte, method string) (*http.Response, error) {
	r, err := http.ReadResponse(p.reader(head), &http.Request{Method: method})
	if err != nil {
		return nil, bad(502, "malformed")
	}
	r.Body, r.Request = nil, nil
	return r, nil
}

// Response parses a whole response to a request that was not HEAD.
func (p *Parser) Response(msg []byte) (*Response, error) {
	r, err := http.ReadResponse(p.reader(msg), nil)
	if err != nil {
		return nil, bad(502, "malformed")
	}
	content, err := body(r.Body, r.ContentLength)
	if err != nil {
		return nil, bad(502, "malformed-body")
	}
	return &Response{r, content}, nil
}

// body reads a body at once where its length is known, and to its end where it is not.
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

// Answer is a response to be written.
type Answer struct {
	Status int
	Header [][2]string // beside the framing
	Body   []byte
}

// Problem is the answer to a request that can't be read.
func Problem(err error) *Answer {
	status, text := 400, "malformed"
	var e *Error
	if errors.As(err, &e) {
		status, text = e.Status, e.Reason
	}
	return Plain(status, text)
}

// Promises reports whether a status tells that the request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Plain is an answer of one line of text.
func Plain(status int, text string) *Answer {
	return &Answer{Status: status, Header: [][2]string{{"Content-Type", "text/plain; charset=utf-8"}},
		Body: []byte(text + "\n")}
}

// Append writes the answer's bytes behind buf. With last, it says that the connection closes after it.
func (a *Answer) Append(buf []byte, last bool) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(a.Status), 10)
	buf = append(buf, ' ')
	buf = append(buf, http.StatusText(a.Status)...)
	buf = append(buf, "\r\n"...)
	for _, h := range a.Header {
		buf = AppendHeader(buf, h[0], h[1])
	}
	if last {
		buf = AppendHeader(buf, "Connection", "close")
	}
	buf = AppendHeader(buf, "Content-Length", strconv.Itoa(len(a.Body)))
	buf = append(buf, "\r\n"...)
	return append(buf, a.Body...)
}

// AppendHeader writes one header line behind buf.
func AppendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

// AppendHeaders writes header lines behind buf, in the order of their names, but for the framing of a body.
func AppendHeaders(buf []byte, h http.Header) []byte {
	var room [24]string
	names := room[:0]
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

// Decimal reads a number of digits, perhaps with a point between them. What else strconv takes (signs,
// exponents, infinities, hex digits, underscores) no client has cause to send.
func Decimal(text string) (n float64, ok bool) {
	odd := func(r rune) bool { return (r < '0' || r > '9') && r != '.' }
	if strings.ContainsFunc(text, odd) || strings.HasPrefix(text, ".") || strings.HasSuffix(text, ".") {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

// Header lines that hold for one connection alone (RFC 9110, 7.6.1).
var ofConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Upgrade", "Transfer-Encoding"}

// DropHops drops what holds for one connection alone, also what a Connection line names, but for the given
// names: nobody may have those dropped.
func DropHops(h http.Header, but ...string) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(but, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range ofConnection {
		delete(h, name)
	}
}
