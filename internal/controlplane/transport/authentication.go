package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"syscall"
	"time"

	"dunespoke/internal/controlplane/peerauth"
	"dunespoke/internal/events"
)

// Times of authentication.
const (
	authTimeout = 400 * time.Millisecond // for the handshake of a connection that a peer has opened
	// plaintextRetention is for how long a peer that knows no TLS is dialled without, before it is tried again.
	plaintextRetention = 10 * time.Second
	refusalLogInterval = 10 * time.Second // between log lines of the same host's refusals
)

// tlsHandshakeRecord is the first byte of a connection with TLS. Frames begin with 0: none is that long.
const tlsHandshakeRecord = 0x16

// Errors of authentication.
var (
	errNotAuthenticated = errors.New("transport: no TLS, and authentication is required")
	errNoKeysHere       = errors.New("transport: the peer uses TLS, and this process has no keys")
	errClaimedAddress   = errors.New("transport: the peer claims another address than its certificate has")
)

// Authentication is by what peers are authenticated.
type Authentication struct {
	Authenticator *peerauth.Authenticator // nil: by nothing
	// Required refuses peers that use no TLS. Without it they are let in and dialled as they are, so that
	// keys can be given to one process after the other.
	Required bool
}

// SetAuthentication has peers authenticated from now on. Open connections end, and are made again.
func (t *Transport) SetAuthentication(authentication Authentication) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.authentication = authentication
	for conn := range t.open {
		closeQuietly(conn)
	}
}

func (t *Transport) currentAuthentication() Authentication {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.authentication
}

// track notes an open connection until release is called.
func (t *Transport) track(conn net.Conn) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, conn)
	}
}

// peekedConn is a connection of which a byte was read ahead.
type peekedConn struct {
	net.Conn
	ahead []byte
}

// Read returns what was read ahead first.
func (c *peekedConn) Read(p []byte) (int, error) {
	if len(c.ahead) == 0 || len(p) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// authenticateInbound authenticates a connection that a peer has opened. host is the IP address that the
// peer has shown a certificate for; empty: it uses no TLS, and need not.
func (t *Transport) authenticateInbound(conn net.Conn) (authenticated net.Conn, host string, err error) {
	authentication := t.currentAuthentication()
	if authentication.Authenticator == nil {
		return conn, "", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), authTimeout)
	defer cancel()
	if err := conn.SetDeadline(time.Now().Add(authTimeout)); err != nil {
		return nil, "", err
	}
	peeked := &peekedConn{Conn: conn, ahead: make([]byte, 1)}
	if _, err := io.ReadFull(conn, peeked.ahead); err != nil {
		return nil, "", err
	}
	if peeked.ahead[0] == tlsHandshakeRecord {
		secured := authentication.Authenticator.Server(peeked)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		return secured, peerauth.PeerHost(secured), conn.SetDeadline(time.Time{})
	}
	if authentication.Required {
		return nil, "", errNotAuthenticated
	}
	return peeked, "", conn.SetDeadline(time.Time{})
}

// authenticateOutbound authenticates a connection to a peer that was dialled. A peer that knows no TLS is
// dialled without for a while, unless authentication is required.
func (t *Transport) authenticateOutbound(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	authentication := t.currentAuthentication()
	host, _, err := net.SplitHostPort(addr)
	switch {
	case authentication.Authenticator == nil || t.knowsNoTLS(addr):
		return conn, nil
	case err != nil:
		return nil, err
	}
	secured := authentication.Authenticator.Client(conn, host)
	err = secured.HandshakeContext(ctx)
	if err == nil {
		return secured, nil
	}
	if !authentication.Required && speaksNoTLS(err) {
		t.noteNoTLS(addr)
		return nil, err
	}
	t.logRefused(addr, err)
	return nil, err
}

// logRefused tells of a peer that is refused, once in a while for each host: it comes again and again.
func (t *Transport) logRefused(peer string, reason error) {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		host = peer
	}
	now := time.Now()
	t.mu.Lock()
	due := now.After(t.refusedAt[host].Add(refusalLogInterval))
	if due {
		maps.DeleteFunc(t.refusedAt, func(_ string, at time.Time) bool {
			return now.After(at.Add(refusalLogInterval))
		})
		t.refusedAt[host] = now
	}
	t.mu.Unlock()
	if due {
		t.Log(events.PeerNotAuthenticated, "peer", peer, "reason", reason.Error())
	}
}

// speaksNoTLS reports whether a handshake failed as it does with a process that knows no TLS or has no
// keys: it closes the connection, or sends a frame.
func speaksNoTLS(err error) bool {
	var record tls.RecordHeaderError
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &record)
}

func (t *Transport) knowsNoTLS(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.authentication.Required && time.Now().Before(t.plaintextUntil[addr])
}

func (t *Transport) noteNoTLS(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plaintextUntil[addr] = time.Now().Add(plaintextRetention)
}
