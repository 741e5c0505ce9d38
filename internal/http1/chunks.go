package http1

import "bytes"

// Chunks takes a chunked body apart as its bytes come.
type Chunks struct {
	state chunkState
	left  int    // bytes of the present chunk still to come
	line  []byte // of a size or a trailer, as far as it came

	keep    int    // bytes of trailers to keep; 0: none
	trailer []byte // those kept, each line with its end
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd // the line end after a chunk
	chunkTrailer
	chunkDone
)

const longestLine = 256 // of a chunk's size with extensions, or of a trailer

// Feed takes bytes, hands those of the body to data, and returns how many it used: fewer than all only once
// the body has ended, as done tells.
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

// One takes bytes up to the end of the first ones that belong to the body, which it returns where they
// stand, and how many it used.
func (c *Chunks) One(p []byte) (piece []byte, used int, done bool, err error) {
	for used < len(p) && c.state != chunkDone {
		if c.state == chunkData {
			n := min(c.left, len(p)-used)
			piece = p[used : used+n]
			if c.left -= n; c.left == 0 {
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
		if len(c.line) > longestLine {
			return nil, used, false, bad(400, "chunk-line-too-long")
		}
		if end >= 0 {
			if err := c.endLine(); err != nil {
				return nil, used, false, err
			}
		}
	}
	return nil, used, c.state == chunkDone, nil
}

// endLine handles a whole line outside the data.
func (c *Chunks) endLine() error {
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	c.line = c.line[:0]
	if !ok {
		return bad(400, "bare-line-feed")
	}
	switch c.state {
	case chunkEnd:
		if len(line) != 0 {
			return bad(400, "chunk-too-long")
		}
		c.state = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			c.state = chunkDone
			break
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\r\x00") {
			return bad(400, "trailer-line")
		}
		if c.keep > 0 {
			if len(c.trailer)+len(line)+2 > c.keep {
				return bad(431, "trailer-too-large")
			}
			c.trailer = append(append(c.trailer, line...), '\r', '\n')
		}
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, ok := hexSize(bytes.TrimRight(digits, " \t"))
		if !ok {
			return bad(400, "chunk-size")
		}
		c.left, c.state = size, chunkData
		if size == 0 {
			c.state = chunkTrailer
		}
	}
	return nil
}

// hexSize reads a chunk's size: hex digits alone, and few enough for an int of 32 bits.
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
