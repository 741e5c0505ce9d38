package http1

import "bytes"

// Chunks decodes a chunked body incrementally. It is not safe for concurrent use.
type Chunks struct {
	state     chunkState
	remaining int    // bytes of the current chunk that have not been received
	line      []byte // the part received so far of a chunk size line or a trailer line

	maxTrailer int    // maximum number of trailer bytes to store; zero discards trailers
	trailer    []byte // stored trailer lines, including their line endings
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd // the line end after a chunk
	chunkTrailer
	chunkDone
)

// maxLineLength is the maximum length in bytes of a chunk size line with its extensions, or of a trailer
// line.
const maxLineLength = 256

// Feed decodes p, passes the bytes of the body to data, and returns the number of bytes consumed. That number
// is less than len(p) only if the body has ended, which done reports, or on an error.
func (c *Chunks) Feed(p []byte, data func([]byte)) (used int, done bool, err error) {
	for {
		piece, n, done, err := c.One(p[used:])
		used += n
		if len(piece) > 0 {
			data(piece)
		}
		if err != nil || done || used == len(p) {
			return used, done, err
		}
	}
}

// One decodes p up to the end of the first run of body bytes. It returns that run as a subslice of p, and the
// number of bytes consumed.
func (c *Chunks) One(p []byte) (piece []byte, used int, done bool, err error) {
	for used < len(p) && c.state != chunkDone {
		if c.state == chunkData {
			n := min(c.remaining, len(p)-used)
			piece = p[used : used+n]
			if c.remaining -= n; c.remaining == 0 {
				c.state = chunkEnd
			}
			return piece, used + n, false, nil
		}
		end := bytes.IndexByte(p[used:], '\n')
		if end < 0 {
			c.line = append(c.line, p[used:]...)
			used = len(p)
		} else {
			c.line = append(c.line, p[used:used+end+1]...)
			used += end + 1
		}
		if len(c.line) > maxLineLength {
			return nil, used, false, newError(400, "chunk-line-too-long")
		}
		if end >= 0 {
			if err := c.endLine(); err != nil {
				return nil, used, false, err
			}
		}
	}
	return nil, used, c.state == chunkDone, nil
}

// endLine processes a complete line outside the chunk data.
func (c *Chunks) endLine() error {
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	c.line = c.line[:0]
	if !ok {
		return newError(400, "bare-line-feed")
	}
	switch c.state {
	case chunkEnd:
		if len(line) != 0 {
			return newError(400, "chunk-too-long")
		}
		c.state = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			c.state = chunkDone
			break
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\r\x00") {
			return newError(400, "trailer-line")
		}
		if c.maxTrailer > 0 {
			if len(c.trailer)+len(line)+2 > c.maxTrailer {
				return newError(431, "trailer-too-large")
			}
			c.trailer = append(append(c.trailer, line...), '\r', '\n')
		}
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, ok := hexSize(bytes.TrimRight(digits, " \t"))
		if !ok {
			return newError(400, "chunk-size")
		}
		c.remaining, c.state = size, chunkData
		if size == 0 {
			c.state = chunkTrailer
		}
	}
	return nil
}

// hexSize parses a chunk size. It accepts only hex digits, and at most 7 of them, so that the size fits in a
// 32-bit int.
func hexSize(digits []byte) (n int, ok bool) {
	if len(digits) == 0 || len(digits) > 7 {
		return 0, false
	}
	for _, d := range digits {
		switch {
		case d >= '0' && d <= '9':
			n = n<<4 | int(d-'0')
		case d|0x20 >= 'a' && d|0x20 <= 'f':
			n = n<<4 | int(d|0x20-'a'+10)
		default:
			return 0, false
		}
	}
	return n, true
}
