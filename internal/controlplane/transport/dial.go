package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Times of opening a connection.
const (
	dialTimeout = 400 * time.Millisecond
	// dialAttemptInterval is between attempts to an address that doesn't answer. The first packet to a
	// machine that is just coming up is lost, and the system sends it again only after a second.
	dialAttemptInterval = 100 * time.Millisecond
)

// dialPeer opens a connection to a peer; nil: it can't be reached, and what was queued is lost, unless the
// peer has opened one meanwhile. The lock is held by the caller, and not while it dials.
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

// dial opens a connection and says who is calling.
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

// dialResult is the end of an attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// connect opens a connection by several attempts, each begun while none of those before has an answer.
// The first answer counts, a refusal among them.
func (t *Transport) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that are left
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
	next := time.NewTicker(dialAttemptInterval)
	defer next.Stop()
	go attempt()
	for {
		select {
		case result := <-results:
			return result.conn, result.err
		case <-next.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
