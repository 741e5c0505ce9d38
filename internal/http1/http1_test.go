package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// frame feeds stream to f in parts of piece bytes, and returns the messages found.
func frame(f *Framer, stream string, piece int) (msgs []string, err error) {
	for len(stream) > 0 && err == nil {
		n := min(piece, len(stream))
		f.Feed([]byte(stream[:n]))
		stream = stream[n:]
		for {
			var msg []byte
			if msg, err = f.Next(); msg == nil {
				break
			}
			msgs = append(msgs, string(msg))
		}
	}
	return msgs, err
}

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	post = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func TestFramerRequestsWithAnyReadSize(t *testing.T) {
	for stream, want := range map[string]int{
		get: 1,
		"\r\n" + get + "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" + get: 3,
		post + "3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n" + get:                        2,
		post + "3\r\nabc\r\n0\r\n":                                              0,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab":                        0,
	} {
		for _, piece := range []int{1, 2, 7, 1000} {
			msgs, err := frame(NewRequests(DefaultLimits), stream, piece)
			if err != nil || len(msgs) != want {
				t.Errorf("%q in pieces of %d: %d messages, %v; want %d", stream, piece, len(msgs), err, want)
			}
		}
	}
}

func TestFramerRejectsMalformedAndOversizedRequests(t *testing.T) {
	for stream, status := range map[string]int{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                    400,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n":                             400,
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n":                                                 400,
		"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n":                                                 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                                   400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n":                                   400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n":                             400,
		"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n":                                                          400,
		"GET / HTTP/1.1\nA: b\n\n":                                                                      400,
		"GET / HTTP/1.1\r\nA: b\nContent-Length: 3\r\n\r\n":                                             400,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 20<<10):                                           431,
		"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                              413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001): 413,
	} {
		_, err := frame(NewRequests(DefaultLimits), stream, 1000)
		var e *Error
		if !errors.As(err, &e) || e.Status != status {
			t.Errorf("%.60q: %v, want status %d", stream, err, status)
		}
	}
}

func TestFramerResponsesAndEnd(t *testing.T) {
	f := NewResponses(DefaultLimits)
	const stream = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end"
	msgs, err := frame(f, stream, 5)
	if err != nil || len(msgs) != 1 {
		t.Fatalf("%q, %v: want only the 204", msgs, err)
	}
	if msg, err := f.End(); err != nil || !bytes.HasSuffix(msg, []byte("to the end")) {
		t.Errorf("at the end %q, %v", msg, err)
	}
	f = NewResponses(DefaultLimits)
	frame(f, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 100)
	if msg, err := f.End(); err == nil {
		t.Errorf("a truncated response was accepted as %q", msg)
	}
}

func TestAnswerRoundTrip(t *testing.T) {
	a := Answer{Status: 429, Header: [][2]string{{"Retry-After", "0.250"}}, Body: []byte("later")}
	r, err := new(Parser).Response(a.Append(nil, true))
	if err != nil || r.StatusCode != http.StatusTooManyRequests || !r.Close ||
		r.Header.Get("Retry-After") != "0.250" ||
		string(r.Content) != "later" {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestStreamOfLines(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"4\r\n{}\n\n\r\n3\r\n{\"a\r\n5\r\n\":1}\n\r\n0\r\n\r\n"
	for _, piece := range []int{1, 3, 1000} {
		var s Stream
		var lines []string
		done := false
		for rest := text; len(rest) > 0; {
			n := min(piece, len(rest))
			var err error
			done, err = s.Feed([]byte(rest[:n]), func(l []byte) error {
				lines = append(lines, string(l))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if got := strings.Join(lines, "|"); got != `{}||{"a":1}` || !done {
			t.Errorf("pieces of %d: %s, done %v", piece, got, done)
		}
	}
}

// For any input, a framer must not panic, must find the same messages however the bytes are split into reads,
// and must return only messages that net/http parses or rejects without a fault.
func FuzzRequests(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n", uint8(3))
	f.Add("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", uint8(1))
	f.Add("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\r\n\r\nGET", uint8(9))
	f.Fuzz(func(t *testing.T, stream string, piece uint8) {
		limits := Limits{Head: 300, Body: 200}
		unsplit, err := frame(NewRequests(limits), stream, len(stream)+1)
		split, errSplit := frame(NewRequests(limits), stream, int(piece)+1)
		if err == nil && errSplit == nil && strings.Join(unsplit, "|") != strings.Join(split, "|") {
			t.Fatalf("%q when fed at once, %q in parts", unsplit, split)
		}
		for _, msg := range unsplit {
			if r, err := new(Parser).Request([]byte(msg)); err == nil && len(r.Content) > limits.Body {
				t.Fatalf("a body of %d bytes", len(r.Content))
			}
		}
	})
}

func FuzzResponses(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest")
	f.Fuzz(func(t *testing.T, stream string) {
		fr := NewResponses(Limits{Head: 300, Body: 200})
		msgs, err := frame(fr, stream, 50)
		if err == nil {
			if msg, err := fr.End(); err == nil && msg != nil {
				msgs = append(msgs, string(msg))
			}
		}
		for _, msg := range msgs {
			new(Parser).Response([]byte(msg))
		}
		new(Stream).Feed([]byte(stream), func([]byte) error { return nil })
	})
}
