package accept

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"
)

// What a client still sends after an error is read and dropped, since to close a connection with unread bytes
// resets it, and the reset may overtake the error.
const (
	lingerWait = time.Second
	lingerMost = 1 << 20
)

// restMost bounds the rest of a body that is dropped: twice the longest that the platform's clients send.
const restMost = 64 << 20

var errAhead = errors.New("too much ahead")

// left says how a client has gone.
func left(nc net.Conn, err error) string {
	switch {
	case unsafeYet(nc):
		return "tls-failed"
	case errors.Is(err, errAhead):
		return "too-much-ahead"
	case errors.Is(err, io.EOF):
		return "client-closed"
	}
	return "client-reset"
}

// unsafeYet reports whether a connection is to have TLS, and its handshake has not come to its end.
func unsafeYet(nc net.Conn) bool {
	t, ok := nc.(*tls.Conn)
	return ok && !t.ConnectionState().HandshakeComplete
}

func closeWrite(nc net.Conn) bool {
	w, ok := nc.(interface{ CloseWrite() error })
	return ok && w.CloseWrite() == nil
}

// sendContinue tells a client that waits for it to send its body. An error tells that the client has
// gone, which the next read tells, too.
func sendContinue(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) }
