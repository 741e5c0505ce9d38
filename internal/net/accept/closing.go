package accept

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"
)

// After an error response, further input is read and discarded for a limited time and up to a limited size.
// Closing a connection with unread input resets it, and the reset may destroy the response before the client
// has read it.
const (
	lingerTimeout  = time.Second
	lingerMaxBytes = 1 << 20
)

// discardMaxBytes limits how much of a request body is discarded when Streams.Rest is set. It is twice the
// longest body that the platform's clients send.
const discardMaxBytes = 64 << 20

var errTooMuchPipelined = errors.New("client sent too much pipelined data")

// closeReason returns the log code for a connection whose read failed with err.
func closeReason(nc net.Conn, err error) string {
	switch {
	case handshakePending(nc):
		return "tls-failed"
	case errors.Is(err, errTooMuchPipelined):
		return "too-much-ahead"
	case errors.Is(err, io.EOF):
		return "client-closed"
	}
	return "client-reset"
}

// handshakePending reports whether nc is a TLS connection whose handshake is not complete.
func handshakePending(nc net.Conn) bool {
	t, ok := nc.(*tls.Conn)
	return ok && !t.ConnectionState().HandshakeComplete
}

// closeWrite closes the sending side of a connection. It reports false if that is not supported or fails.
func closeWrite(nc net.Conn) bool {
	w, ok := nc.(interface{ CloseWrite() error })
	return ok && w.CloseWrite() == nil
}

// sendContinue sends a 100 Continue response. A write error is ignored, as the next read returns it too.
func sendContinue(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) }
