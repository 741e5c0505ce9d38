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

// Timeouts and intervals of authentication.
const (
	authTimeout = 400 * time.Millisecond // for the TLS handshake of an accepted connection
	// plaintextRetention is how long a peer without TLS is dialled in plaintext before TLS is tried again.
	plaintextRetention = 10 * time.Second
	refusalLogInterval = 10 * time.Second // minimum time between log lines about refusals of the same host
)

// tlsHandshakeRecord is the first byte that a TLS client sends. A plaintext frame cannot begin with it: the
// first byte of its length is always 0, given the maximum frame size.
const tlsHandshakeRecord = 0x16

// Errors of authentication.
var (
	errNotAuthenticated = errors.New("transport: peer does not use TLS, but authentication is required")
	errNoKeysConfigured = errors.New("transport: peer uses TLS, but this process has no keys")
	errAddressMismatch  = errors.New("transport: handshake address differs from the peer certificate")
)

// Authentication configures the authentication of peers.
type Authentication struct {
	Authenticator *peerauth.Authenticator // nil: peers are not authenticated
	// Required refuses peers that do not use TLS. If it is false, such peers are accepted and dialled in
	// plaintext, so that keys can be deployed to one process after the other.
	Required bool
}

// SetAuthentication replaces the authentication of peers. It closes all open connections; new ones are
// opened when the next messages are sent. It is safe for concurrent use.
func (t *Transport) SetAuthentication(authentication Authentication) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.authentication = authentication
	for conn := range t.openConns {
		closeQuietly(conn)
	}
}

func (t *Transport) currentAuthentication() Authentication {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.authentication
}

// track registers an open connection, so that SetAuthentication closes it, until release is called.
func (t *Transport) track(conn net.Conn) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns[conn] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.openConns, conn)
	}
}

// peekedConn is a connection from which bytes were read to inspect them.
type peekedConn struct {
	net.Conn
	unread []byte // bytes that were read from Conn and not yet returned by Read
}

// Read returns the inspected bytes before it reads from the connection.
func (c *peekedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 || len(p) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// authenticateInbound authenticates an accepted connection. host is the IP address in the peer's
// certificate, or empty if the peer does not use TLS and authentication is not required.
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
	peeked := &peekedConn{Conn: conn, unread: make([]byte, 1)}
	if _, err := io.ReadFull(conn, peeked.unread); err != nil {
		return nil, "", err
	}
	if peeked.unread[0] == tlsHandshakeRecord {
		tlsConn := authentication.Authenticator.Server(peeked)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		return tlsConn, peerauth.PeerHost(tlsConn), conn.SetDeadline(time.Time{})
	}
	if authentication.Required {
		return nil, "", errNotAuthenticated
	}
	return peeked, "", conn.SetDeadline(time.Time{})
}

// authenticateOutbound authenticates a dialled connection. If the peer does not support TLS and
// authentication is not required, this connection fails, and the peer is dialled in plaintext for
// plaintextRetention.
func (t *Transport) authenticateOutbound(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	authentication := t.currentAuthentication()
	host, _, err := net.SplitHostPort(addr)
	switch {
	case authentication.Authenticator == nil || t.usePlaintext(addr):
		return conn, nil
	case err != nil:
		return nil, err
	}
	tlsConn := authentication.Authenticator.Client(conn, host)
	err = tlsConn.HandshakeContext(ctx)
	if err == nil {
		return tlsConn, nil
	}
	if !authentication.Required && indicatesNoTLS(err) {
		t.markPlaintext(addr)
		return nil, err
	}
	t.logRefused(addr, err)
	return nil, err
}

// logRefused logs that a peer was refused, at most once per refusalLogInterval and host, as refused peers
// retry constantly.
func (t *Transport) logRefused(peer string, reason error) {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		host = peer
	}
	now := time.Now()
	t.mu.Lock()
	due := now.After(t.refusalLoggedAt[host].Add(refusalLogInterval))
	if due {
		maps.DeleteFunc(t.refusalLoggedAt, func(_ string, at time.Time) bool {
			return now.After(at.Add(refusalLogInterval))
		})
		t.refusalLoggedAt[host] = now
	}
	t.mu.Unlock()
	if due {
		t.Log(events.PeerNotAuthenticated, "peer", peer, "reason", reason.Error())
	}
}

// indicatesNoTLS reports whether err is what a TLS handshake returns if the peer does not support TLS or
// has no keys. Such a peer closes the connection or responds with a plaintext frame.
func indicatesNoTLS(err error) bool {
	var record tls.RecordHeaderError
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &record)
}

// usePlaintext reports whether the peer at an address is to be dialled without TLS.
func (t *Transport) usePlaintext(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.authentication.Required && time.Now().Before(t.plaintextUntil[addr])
}

// markPlaintext records that the peer at an address does not support TLS.
func (t *Transport) markPlaintext(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plaintextUntil[addr] = time.Now().Add(plaintextRetention)
}
