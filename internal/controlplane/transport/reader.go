package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Errors of the handshake.
var (
	errNoHandshake       = errors.New("transport: message before handshake, or handshake without sender address")
	errRepeatedHandshake = errors.New("transport: repeated handshake")
	errWrongPeer         = errors.New("transport: the dialled address belongs to another process")
)

// inboundStream is the receiving side of a connection. One goroutine uses it.
type inboundStream struct {
	transport *Transport
	conn      net.Conn
	dialled   string // the address that this process dialled; empty if the peer opened the connection
	from      string // the peer's address; empty until known
	// authenticatedHost is the IP address in the certificate of the peer that opened the connection; empty: it
	// presented none, or this process opened the connection.
	authenticatedHost string
	handshakeDone     bool // the peer's handshake was received
	decoder           message.FrameDecoder
}

// read receives messages from a connection until it ends or has to be closed, and then closes it.
func (t *Transport) read(s *inboundStream) {
	conn := s.conn
	defer t.track(conn)()
	var readErr error // nil: this process closes the connection
	defer func() {
		closeQuietly(conn)
		t.detach(s.from, conn)
		if s.handshakeDone && endedByPeer(readErr) && t.Disconnected != nil {
			t.Disconnected(s.from)
		}
	}()
	buf := make([]byte, readBufferSize)
	for {
		n, err := readWithTimeout(conn, buf, idleTimeout)
		if n > 0 && !s.handshakeDone && s.decoder.Empty() && buf[0] == tlsHandshakeRecord {
			t.logRefused(conn.RemoteAddr().String(), errNoKeysConfigured)
			return
		}
		s.decoder.Feed(buf[:n])
		if !s.deliver() {
			return
		}
		if err != nil {
			readErr = err
			t.Log(events.PeerDisconnected, "from", s.from, "error", err.Error())
			return
		}
	}
}

// endedByPeer reports whether err is the read error of a connection that the peer closed or that was reset.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// readWithTimeout reads the available bytes. It fails if none arrive within the timeout.
func readWithTimeout(conn net.Conn, buf []byte, timeout time.Duration) (n int, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return conn.Read(buf)
}

// deliver handles all messages that were received completely. It returns false if the connection must be
// closed.
func (s *inboundStream) deliver() bool {
	for {
		m, err := s.decoder.Next()
		if err != nil {
			s.transport.Log(events.PeerProtocolError, "from", s.from, "error", err.Error())
			return false
		}
		if m == nil {
			return true
		}
		if err := s.handle(m); err != nil {
			s.transport.Log(events.PeerProtocolError, "from", s.conn.RemoteAddr().String(), "error", err.Error())
			return false
		}
	}
}

// handle processes a message. The first message must be the handshake; all others are passed to
// Options.Handle.
func (s *inboundStream) handle(m *message.Message) error {
	handshake, ok := m.Body.(*message.Handshake)
	switch {
	case !ok && !s.handshakeDone:
		return errNoHandshake
	case !ok:
		s.transport.Handle(s.from, m)
		return nil
	case s.handshakeDone:
		return errRepeatedHandshake
	}
	s.handshakeDone = true
	if host, _, err := net.SplitHostPort(handshake.Sender); s.authenticatedHost != "" &&
		(err != nil || host != s.authenticatedHost) {
		return errAddressMismatch
	}
	if err := s.transport.handleHandshake(s.conn, s.dialled, handshake, m.Incarnation); err != nil {
		return err
	}
	s.from = handshake.Sender
	return nil
}

// handleHandshake checks the identity of the peer, responds with a handshake if the peer opened the
// connection, and attaches the connection to the peer.
func (t *Transport) handleHandshake(conn net.Conn, dialled string, h *message.Handshake,
	incarnation uint64) error {
	switch {
	case h.Sender == "":
		return errNoHandshake
	case dialled != "" && h.Sender != dialled, dialled == "" && h.Receiver != t.Self:
		return errWrongPeer
	case dialled == "":
		if err := t.sendHandshake(conn, ""); err != nil {
			return err
		}
	}
	t.attach(h.Sender, incarnation, conn)
	return nil
}

// sendHandshake sends the identity of this process and the address that it dialled; empty: the peer opened
// the connection.
func (t *Transport) sendHandshake(conn net.Conn, dialled string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(message.AppendFrame(nil, &message.Message{Incarnation: t.Incarnation,
		Body: &message.Handshake{Sender: t.Self, Receiver: dialled}}))
	return err
}
