package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Timeouts and intervals of dialling.
const (
	dialTimeout = 400 * time.Millisecond
	// dialAttemptInterval is the time between attempts to connect to an address that does not respond. The
	// first packet to a machine that is still starting is lost, and the kernel retransmits it only after a
	// second.
	dialAttemptInterval = 100 * time.Millisecond
)

// dialPeer opens a connection to a peer. It returns nil if the peer cannot be reached; the queued messages
// are then dropped, unless the peer has opened a connection in the meantime. It must be called with t.mu
// held, and releases t.mu while it dials.
func (t *Transport) dialPeer(p *peer) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.cancelDial = cancel
	t.mu.Unlock()
	conn, err := t.dial(ctx, p.addr)
	if errors.Is(err, syscall.ECONNREFUSED) && t.Refused != nil {
		t.Refused(p.addr)
	}
	t.mu.Lock()
	p.cancelDial = nil
	if err != nil {
		if p.conn == nil {
			p.lastFailure = time.Now()
			p.queue.clear()
		}
		return nil
	}
	p.conn, p.incarnation = conn, 0
	go t.read(&inboundStream{transport: t, conn: conn, dialled: p.addr, from: p.addr})
	return conn
}

// dial opens a connection, authenticates the peer and sends the handshake.
func (t *Transport) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := t.connect(ctx, addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t.setUserTimeout(conn)
	authenticated, err := t.authenticateOutbound(ctx, conn, addr)
	if err == nil {
		err = t.sendHandshake(authenticated, addr)
	}
	if err != nil {
		closeQuietly(conn)
		return nil, trace.Wrap(err)
	}
	return authenticated, nil
}

// dialResult is the result of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// connect opens a connection. While there is no result, it starts another attempt every
// dialAttemptInterval. It returns the first result of any attempt, including an error such as a refusal.
func (t *Transport) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the remaining attempts
	results := make(chan dialResult)
	attempt := func() {
		conn, err := t.Dial(ctx, "tcp", addr)
		select {
		case results <- dialResult{conn, err}:
		case <-ctx.Done():
			if err == nil {
				closeQuietly(conn)
			}
		}
	}
	attemptTicker := time.NewTicker(dialAttemptInterval)
	defer attemptTicker.Stop()
	go attempt()
	for {
		select {
		case result := <-results:
			return result.conn, result.err
		case <-attemptTicker.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
