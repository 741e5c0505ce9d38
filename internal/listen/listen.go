// Package listen accepts connections on auxiliary listeners, such as those for health checks of load
// balancers and for management commands, until a context is done.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Each calls handle for every connection that l accepts, until ctx is done. Then it closes l and returns nil.
// If l is closed otherwise, it returns an error with the prefix what. It accepts the next
// connection only after handle has returned.
func Each(ctx context.Context, l net.Listener, what string, handle func(net.Conn)) error {
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
		case err != nil: // such as a temporary lack of file descriptors; clients retry
			time.Sleep(10 * time.Millisecond)
			continue
		}
		handle(c)
	}
}
