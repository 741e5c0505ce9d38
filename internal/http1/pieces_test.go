package http1

import (
	"fmt"
	"strings"
	"testing"
)

// readPieces feeds stream to p and returns one word for each piece found, with consecutive data joined.
func readPieces(p *Pieces, stream string, part int) (events string, err error) {
	var b strings.Builder
	data := false
	for len(stream) > 0 && err == nil {
		n := min(part, len(stream))
		p.Feed([]byte(stream[:n]))
		stream = stream[n:]
		for err == nil {
			var kind Kind
			var piece []byte
			kind, piece, err = p.Next()
			if kind == More {
				break
			}
			if kind == Data {
				if !data {
					b.WriteString(" data=")
				}
				data = true
				b.Write(piece)
				continue
			}
			data = false
			switch kind {
			case Interim:
				fmt.Fprintf(&b, " interim=%.12s", piece)
			case Head:
				fmt.Fprintf(&b, " head(%d)", p.Length())
			case Trailer:
				fmt.Fprintf(&b, " trailer=%q", piece)
			case End:
				b.WriteString(" end")
			}
		}
	}
	return strings.TrimSpace(b.String()), err
}

func TestPieces(t *testing.T) {
	const trailed = post + "3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n"
	const head, early = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"
	const interim = early + head + "Content-Length: 1\r\n\r\nx"
	for stream, want := range map[string]string{
		get + get: "head(0) end head(0) end",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + get:    "head(5) data=hello end head(0) end",
		"POST / HTTP/1.1\r\nContent-Length: 12345678901\r\n\r\nx":    "head(12345678901) data=x",
		post + "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\n\r\n" + get: "head(-1) data=abc0123456789 end head(0) end",
		trailed:            `head(-1) data=abc trailer="A: b\r\nC: d\r\n" end`,
		post + "0\r\n\r\n": "head(-1) end",
		"\r\n\r\n" + get:   "head(0) end",
	} {
		for _, part := range []int{1, 2, 7, 1000} {
			if got, err := readPieces(RequestPieces(1<<10), stream, part); err != nil || got != want {
				t.Errorf("%q in parts of %d:\n%s, %v\nwant %s", stream, part, got, err, want)
			}
		}
	}
	for stream, want := range map[string]string{
		head + "\r\nall of it": "head(-1) data=all of it",
		interim:                "interim=HTTP/1.1 103 head(1) data=x end",
		"HTTP/1.1 204 No\r\n\r\n" + "HTTP/1.1 304 Not\r\nContent-Length: 9\r\n\r\n": "head(0) end head(0) end",
	} {
		for _, part := range []int{1, 5, 1000} {
			if got, err := readPieces(ResponsePieces(1<<10), stream, part); err != nil || got != want {
				t.Errorf("%q in parts of %d:\n%s, %v\nwant %s", stream, part, got, err, want)
			}
		}
	}
}

func TestPiecesRejectMalformedAndOversizedRequests(t *testing.T) {
	for stream, status := range map[string]int{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n":          400,
		"POST / HTTP/1.1\r\nContent-Length: 1234567890123456\r\n\r\n":                400,
		"POST / HTTP/1.1\r\nA: b\r\n c\r\n\r\n":                                      400,
		"POST / HTTP/1.1\r\nA: b\nContent-Length: 3\r\n\r\n":                         400,
		post + "3\r\nabcd\r\n":        400,
		post + "3 \r\nabc\r\n0x1\r\n": 400,
		post + "0\r\nnothing\r\n\r\n": 400,
		post + "0\r\n A: b\r\n\r\n":   400,
		post + "0\r\n" + strings.Repeat("A: "+strings.Repeat("b", 200)+"\r\n", 10): 431,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 2<<10):                       431,
	} {
		if got, err := readPieces(RequestPieces(1<<10), stream, 9); statusOf(err) != status {
			t.Errorf("%.80q: %s, %v, want %d", stream, got, err, status)
		}
	}
}

func statusOf(err error) int {
	if e, ok := err.(*Error); ok {
		return e.Status
	}
	return 0
}

func TestPiecesFinish(t *testing.T) {
	for stream, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nall":                                        true,
		"HTTP/1.1 200 OK\r\n\r\n":                                           true,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nall":                   false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall":                   true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n": false,
		"HTTP/1.1 200 OK\r\nA":                                              false,
		"":                                                                  true,
	} {
		p := ResponsePieces(1 << 10)
		if _, err := readPieces(p, stream, 4); err != nil {
			t.Errorf("%q: %v", stream, err)
		}
		if _, err := p.Finish(); (err == nil) != ok {
			t.Errorf("%q ends: %v", stream, err)
		}
	}
	p := ResponsePieces(1 << 10)
	p.NoBody()
	if got, err := readPieces(p, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", 100); got != "head(0) end" ||
		err != nil {
		t.Errorf("response to HEAD: %s, %v", got, err)
	}
}

// The buffer must not grow with the length of a body.
func TestPiecesMemoryIsBounded(t *testing.T) {
	p := RequestPieces(1 << 10)
	p.Feed([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"))
	chunk := []byte("1000\r\n" + strings.Repeat("x", 4096) + "\r\n")
	returned := 0
	for range 10_000 {
		for kind := Head; kind != More; {
			var piece []byte
			var err error
			if kind, piece, err = p.Next(); err != nil {
				t.Fatal(err)
			}
			if kind == Data {
				returned += len(piece)
			}
		}
		p.Feed(chunk)
	}
	if returned < 9_999*4096 || cap(p.buf) > 16<<10 {
		t.Errorf("%d bytes returned, with a buffer of %d bytes", returned, cap(p.buf))
	}
}

// Pieces and Framer must agree on the number of messages in every stream and on whether it is valid.
func FuzzPiecesAgreeWithFramer(f *testing.F) {
	f.Add(post+"3\r\nabc\r\n0\r\nA: b\r\n\r\n"+get, uint8(3))
	f.Add("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", uint8(1))
	f.Fuzz(func(t *testing.T, stream string, part uint8) {
		n := int(part) + 1
		msgs, want := frame(NewRequests(DefaultLimits), stream, n)
		events, got := readPieces(RequestPieces(DefaultLimits.Head), stream, n)
		if s := statusOf(want); s == 413 || s == 431 || statusOf(got) == 431 {
			return // the size limits of the two differ
		}
		ends := strings.Count(" "+events+" ", " end ")
		if (got == nil) != (want == nil) || ends != len(msgs) && !strings.Contains(stream, "end") {
			t.Fatalf("%q in parts of %d: framer: %d messages, %v; pieces: %s, %v", stream, n,
				len(msgs), want, events, got)
		}
	})
}
