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
	errNoHandshake       = errors.New("transport: message before the handshake, or a handshake without address")
	errRepeatedHandshake = errors.New("transport: repeated handshake")
	errWrongPeer         = errors.New("transport: another process has the dialled address")
)

// inboundStream is what is read from a connection.
type inboundStream struct {
	transport *Transport
	conn      net.Conn
	dialled   string // the address that was dialled; empty where the other end did so
	from      string // the peer's address, as far as known
	// authenticatedHost is the IP address that a peer which opened the connection has shown a certificate
	// for; empty: none.
	authenticatedHost string
	shaken            bool // the handshake has come
	decoder           message.FrameDecoder
}

// read takes messages from a connection until it ends.
func (t *Transport) read(s *inboundStream) {
	conn := s.conn
	defer t.track(conn)()
	var ended error // nil: it is closed from here
	defer func() {
		closeQuietly(conn)
		t.detach(s.from, conn)
		if s.shaken && endedByPeer(ended) && t.Disconnected != nil {
			t.Disconnected(s.from)
		}
	}()
	buf := make([]byte, readBufferSize)
	for {
		n, err := readWithin(conn, buf, idleTimeout)
		if n > 0 && !s.shaken && s.decoder.Empty() && buf[0] == tlsHandshakeRecord {
			t.logRefused(conn.RemoteAddr().String(), errNoKeysHere)
			return
		}
		s.decoder.Feed(buf[:n])
		if !s.deliver() {
			return
		}
		if err != nil {
			ended = err
			t.Log(events.PeerDisconnected, "from", s.from, "error", err.Error())
			return
		}
	}
}

// endedByPeer reports whether a connection's reads ended by its other end, or a reset.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// readWithin reads what there is, and fails if nothing comes within the time.
func readWithin(conn net.Conn, buf []byte, limit time.Duration) (n int, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return conn.Read(buf)
}

// deliver hands on the messages that are complete. It reports false if the connection is to be closed.
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
		if err := s.take(m); err != nil {
			s.transport.Log(events.PeerProtocolError, "from", s.conn.RemoteAddr().String(), "error", err.Error())
			return false
		}
	}
}

// take takes a message: the handshake first, then all others.
func (s *inboundStream) take(m *message.Message) error {
	handshake, ok := m.Body.(*message.Handshake)
	switch {
	case !ok && !s.shaken:
		return errNoHandshake
	case !ok:
		s.transport.Handle(s.from, m)
		return nil
	case s.shaken:
		return errRepeatedHandshake
	}
	s.shaken = true
	if host, _, err := net.SplitHostPort(handshake.Sender); s.authenticatedHost != "" &&
		(err != nil || host != s.authenticatedHost) {
		return errClaimedAddress
	}
	if err := s.transport.handleHandshake(s.conn, s.dialled, handshake, m.Incarnation); err != nil {
		return err
	}
	s.from = handshake.Sender
	return nil
}

// handleHandshake takes who is at the other end of a connection, and answers who is at this one.
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

// sendHandshake says who is at this end of a connection, and whom it has dialled.
func (t *Transport) sendHandshake(conn net.Conn, dialled string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(message.AppendFrame(nil, &message.Message{Incarnation: t.Incarnation,
		Body: &message.Handshake{Sender: t.Self, Receiver: dialled}}))
	return err
}
