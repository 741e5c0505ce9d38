package listen

import (
	"context"
	"net"
	"testing"
)

func TestEachEndsWithContextAndFailsIfListenerCloses(t *testing.T) {
	for _, byContext := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		accepted := make(chan net.Conn)
		ended := make(chan error)
		go func() { ended <- Each(ctx, l, "test", func(c net.Conn) { accepted <- c }) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		(<-accepted).Close()
		c.Close()
		if byContext {
			end()
		} else {
			l.Close()
		}
		if err := <-ended; (err == nil) != byContext {
			t.Errorf("ended by the context: %v, error: %v", byContext, err)
		}
		end()
	}
}
