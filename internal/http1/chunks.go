package http1

import "bytes"

// Chunks takes a chunked body apart as its bytes come.
type Chunks struct {
	state chunkState
	left  int    // bytes of the present chunk still to come
	line  []byte // of a size or a trailer, as far as it came
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
	for used < len(p) && c.state != chunkDone {
		if c.state == chunkData {
			n := min(c.left, len(p)-used)
			data(p[used : used+n])
			used += n
			if c.left -= n; c.left == 0 {
				c.state = chunkEnd
			}
			continue
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
			return used, false, bad(400, "chunk-line-too-long")
		}
		if end >= 0 {
			if err := c.endLine(); err != nil {
				return used, false, err
			}
		}
	}
	return used, c.state == chunkDone, nil
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
