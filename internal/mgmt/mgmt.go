// Package mgmt answers operators' calls on a line listener: one call a connection, a line such as
// "OFFLINE s3", answered by a line that begins with SUCCESS or FAILURE, and closed. What a call does is the
// program's; this package reads, bounds and writes.
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

// Answer is what a call gets: a verdict, a reason on its line, and lines after it, such as figures.
// Lines without a verdict are a report, such as figures, that stands for SUCCESS.
type Answer struct {
	OK     bool
	Reason string
	Lines  []string
	Report bool // the lines alone
}

// Fail is a FAILURE with a reason.
func Fail(format string, args ...any) Answer { return Answer{Reason: fmt.Sprintf(format, args...)} }

// Handler answers a call: its verb in upper case, and the words after it.
type Handler func(verb string, args []string) Answer

// Bounds on callers. A caller gets its answer within a second; some connect and send nothing, and must not
// keep out others, nor hold a goroutine for long.
const (
	callWait = 2 * time.Second // to send the line and take the answer
	lineMost = 1 << 10
	callers  = 64 // connections at once; more are answered FAILURE at once
)

// Append words an answer.
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

// Serve answers calls on a listener until the context ends.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	slots := make(chan struct{}, callers)
	return listen.Each(ctx, l, "mgmt", func(c net.Conn) {
		c.SetDeadline(time.Now().Add(callWait))
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

// call reads one line and answers it.
func call(c net.Conn, h Handler) {
	defer c.Close()
	r := bufio.NewReaderSize(c, lineMost)
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		c.Write(Fail("a call is one line of at most %d bytes", lineMost).Append(nil))
		return
	case err != nil && !(errors.Is(err, io.EOF) && len(line) > 0): // a last line may lack its newline
		return
	}
	c.Write(Call(string(bytes.TrimSpace(line)), h).Append(nil))
}

// Call answers one line by the handler.
func Call(line string, h Handler) Answer {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Fail("empty call")
	}
	return h(strings.ToUpper(words[0]), words[1:])
}
