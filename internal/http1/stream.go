package http1

import (
	"bufio"
	"bytes"
	"net/http"
)

// Stream decodes a long-lived chunked response with one object per line. It is not safe for concurrent use.
type Stream struct {
	head   []byte // the part of the head received so far; nil once it is complete
	opened bool   // the head has been accepted
	chunks Chunks
	line   []byte // decoded bytes that have not been passed on as a line
}

// LongestObject is the maximum length of a line in bytes, enough for a list of tens of thousands of servers.
const LongestObject = 4 << 20

// Feed decodes received bytes and calls line for each complete line, including empty ones. It returns done
// once the response has ended.
func (s *Stream) Feed(p []byte, line func([]byte) error) (done bool, err error) {
	if !s.opened {
		s.head = append(s.head, p...)
		end := bytes.Index(s.head, []byte("\r\n\r\n"))
		switch {
		case end < 0 && len(s.head) > DefaultLimits.Head:
			return false, newError(502, "head-too-large")
		case end < 0:
			return false, nil
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(s.head[:end+4])), nil)
		switch {
		case err != nil:
			return false, newError(502, "malformed")
		case r.StatusCode != http.StatusOK:
			return false, newError(r.StatusCode, "status")
		case len(r.TransferEncoding) == 0:
			return false, newError(502, "not-chunked")
		}
		p, s.head, s.opened = s.head[end+4:], nil, true
	}
	_, done, err = s.chunks.Feed(p, func(data []byte) { s.line = append(s.line, data...) })
	for err == nil {
		end := bytes.IndexByte(s.line, '\n')
		if end < 0 {
			if len(s.line) > LongestObject {
				err = newError(502, "line-too-long")
			}
			break
		}
		err = line(bytes.TrimSpace(s.line[:end]))
		s.line = s.line[:copy(s.line, s.line[end+1:])]
	}
	return done, err
}
