// Package mgmt serves management commands of operators over a line protocol. A connection carries one
// command, a line such as "OFFLINE s3". The reply starts with SUCCESS or FAILURE, unless it is a report, and
// then the connection closes. The program implements the commands; this package reads and limits them and
// writes replies.
package mgmt

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"dunespoke/internal/listen"
)

// Answer is the reply to a command: a line with the result and an optional reason, followed by further lines.
// A successful report, such as statistics, consists only of the further lines.
type Answer struct {
	OK     bool
	Reason string
	Lines  []string
	Report bool // omit the result line if OK is set
}

// Fail returns a FAILURE reply with a formatted reason.
func Fail(format string, args ...any) Answer { return Answer{Reason: fmt.Sprintf(format, args...)} }

// Handler executes a command, given its verb in upper case and its arguments. It may be called concurrently.
type Handler func(verb string, args []string) Answer

// Limits for clients. Clients get a reply within a second. Those that connect and send nothing must not block
// others or occupy a goroutine for long.
const (
	callTimeout    = 2 * time.Second // for the client to send the line and read the reply
	maxLineBytes   = 1 << 10         // maximum length of a command
	maxConnections = 64              // concurrent connections; further ones get a FAILURE reply immediately
)

// Append appends the encoded reply to b.
func (a Answer) Append(b []byte) []byte {
	switch {
	case a.Report && a.OK:
	case a.OK:
		b = append(b, "SUCCESS"...)
	default:
		b = append(b, "FAILURE"...)
	}
	if a.Reason != "" {
		b = append(append(b, ' '), a.Reason...)
	}
	if !a.Report || !a.OK {
		b = append(b, '\n')
	}
	for _, l := range a.Lines {
		b = append(append(b, l...), '\n')
	}
	return b
}

// Serve handles commands on l until ctx is done.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	slots := make(chan struct{}, maxConnections)
	return listen.Each(ctx, l, "mgmt", func(c net.Conn) {
		c.SetDeadline(time.Now().Add(callTimeout))
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				call(c, h)
			}()
		default:
			c.Write(Fail("busy").Append(nil))
			c.Close()
		}
	})
}

// call reads one command from c, writes the reply and closes c.
func call(c net.Conn, h Handler) {
	defer c.Close()
	r := bufio.NewReaderSize(c, maxLineBytes)
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		c.Write(Fail("a call is one line of at most %d bytes", maxLineBytes).Append(nil))
		return
	case err != nil && !(errors.Is(err, io.EOF) && len(line) > 0): // the stream may end without a newline
		return
	}
	c.Write(Call(string(bytes.TrimSpace(line)), h).Append(nil))
}

// Call parses one line and returns the reply of the handler.
func Call(line string, h Handler) Answer {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Fail("empty call")
	}
	return h(strings.ToUpper(words[0]), words[1:])
}
