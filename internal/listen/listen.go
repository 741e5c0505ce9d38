// Package listen takes connections of a side door, such as balancers' checks or operators' calls, until a
// context ends.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Each hands every connection that the listener takes to take, until the context ends; then it closes the
// listener and returns nil. A listener closed by anyone else is an error, named by what.
func Each(ctx context.Context, l net.Listener, what string, take func(net.Conn)) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if c != nil {
				c.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("%s: %w", what, err)
		case err != nil: // short of descriptors for a moment: callers come back
			time.Sleep(10 * time.Millisecond)
			continue
		}
		take(c)
	}
}
