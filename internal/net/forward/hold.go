package forward

import (
	"errors"
	"io"
	"net/http"

	"dunespoke/internal/http1"
)

// hold takes a piece of an answer that is held until it is whole, or longer than may be held: then it is
// passed on from its beginning. over reports that the answer needs no more of the loop that found the piece,
// and on whether the connection is to be read on.
func (c *conn) hold(x *exchange, kind http1.Kind, r *http.Response, piece, buf []byte) (on, over bool) {
	switch kind {
	case http1.Head:
		if _, ok := x.stream.headCame(); !ok {
			return false, true
		}
		c.head, c.held = r, nil
	case http1.Data:
		if c.held == nil {
			// As long as it is to be, where that is told: most are, and are short.
			c.held = make([]byte, 0, min(len(piece)+int(max(0, c.pieces.Length())), c.f.Hold))
		}
		c.held = append(c.held, piece...)
	case http1.End:
		return c.whole(x, false), true
	}
	if n := c.pieces.Length(); len(c.held) > c.f.Hold || n > int64(c.f.Hold-len(c.held)) {
		return c.move(x, c.head, buf), true
	}
	return true, false
}

// ends reports whether the end of the connection completes the answer that is held.
func (c *conn) ends(readErr error) bool {
	if !errors.Is(readErr, io.EOF) {
		return false
	}
	kind, _ := c.pieces.Finish()
	return kind == http1.End
}

// whole has the answer judged that is held. It reports whether the connection can be used on.
func (c *conn) whole(x *exchange, closed bool) bool {
	r, held := c.head, c.held
	c.head, c.held, c.interim = nil, nil, nil
	result := c.f.Judge(&http1.Response{Response: r, Content: held})
	code := ""
	switch {
	case c.pieces.Buffered() > 0: // guards the next request against being answered with what came for nobody
		code = "unasked-bytes"
	case closed || r.Close || !r.ProtoAtLeast(1, 1):
		code = "server-closed"
	case !x.stream.up.Ended(): // the rest of the body would be taken for the next request
		code = "answered-early"
	}
	if code != "" {
		x.stream.detach()
		c.finish(result, code)
		return false
	}
	next, ended := c.rest()
	if next != nil {
		next.over(result)
	}
	return !ended
}
