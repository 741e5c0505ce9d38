package peerauth

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	keyA = "0123456789abcdef0123456789abcdef"
	keyB = "fedcba9876543210fedcba9876543210"
)

// authenticator returns an Authenticator for a host with the given keys.
func authenticator(t *testing.T, host string, keys ...string) *Authenticator {
	t.Helper()
	parsed, err := ParseKeys([]byte(strings.Join(keys, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(parsed, host)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// handshake performs a TLS handshake between two processes. It returns the client's address as verified by
// the server, and the error of each side.
func handshake(t *testing.T, client, server *Authenticator, dialled string) (host string,
	clientErr, serverErr error) {
	t.Helper()
	a, b := net.Pipe()
	deadline := time.Now().Add(5 * time.Second)
	for _, conn := range []net.Conn{a, b} {
		if err := conn.SetDeadline(deadline); err != nil {
			t.Fatal(err)
		}
	}
	serverResult := make(chan error, 1)
	accepted := server.Server(b)
	go func() {
		err := accepted.HandshakeContext(t.Context())
		if err != nil {
			_ = b.Close()
		}
		serverResult <- err
	}()
	dialledConn := client.Client(a, dialled)
	clientErr = dialledConn.HandshakeContext(t.Context())
	if clientErr == nil { // in TLS 1.3 the client learns only from a later read that its certificate was refused
		go func() { _, _ = accepted.Write([]byte{1}) }()
		_, clientErr = dialledConn.Read(make([]byte, 1))
	} else {
		_ = a.Close()
	}
	serverErr = <-serverResult
	if serverErr == nil {
		host = PeerHost(accepted)
	}
	return host, clientErr, serverErr
}

// Two processes authenticate each other if they share a key and the server's certificate is for the dialled
// address. This includes every step of replacing a key in one process at a time.
func TestPeersAuthenticateBySharedKeys(t *testing.T) {
	for _, c := range []struct {
		name               string
		client, server     []string
		dialled            string
		clientOK, serverOK bool
	}{
		{"one key", []string{keyA}, []string{keyA}, "127.0.0.2", true, true},
		{"the server has the new key as well", []string{keyA}, []string{keyA, keyB}, "127.0.0.2", true, true},
		{"the client uses the new key", []string{keyB, keyA}, []string{keyA, keyB}, "127.0.0.2", true, true},
		{"the old key is removed from the server", []string{keyB, keyA}, []string{keyB}, "127.0.0.2", true, true},
		{"another key", []string{keyA}, []string{keyB}, "127.0.0.2", false, false},
		{"another address than the one dialled", []string{keyA}, []string{keyA}, "127.0.0.3", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := authenticator(t, "127.0.0.1", c.client...), authenticator(t, "127.0.0.2", c.server...)
			host, clientErr, serverErr := handshake(t, client, server, c.dialled)
			if (clientErr == nil) != c.clientOK || (serverErr == nil) != c.serverOK {
				t.Errorf("client %v, server %v", clientErr, serverErr)
			}
			if c.serverOK && host != "127.0.0.1" {
				t.Errorf("the server authenticated the client as %q", host)
			}
		})
	}
}

// A client that refuses the server because of an unknown key returns ErrUnknownAuthority.
func TestUnknownKeyIsReported(t *testing.T) {
	client, server := authenticator(t, "127.0.0.1", keyA), authenticator(t, "127.0.0.2", keyB)
	if _, err, _ := handshake(t, client, server, "127.0.0.2"); !errors.Is(err, ErrUnknownAuthority) {
		t.Errorf("%v", err)
	}
}

// Malformed key files are rejected with errors that do not contain the keys.
func TestMalformedKeysAreRejectedWithoutRevealingThem(t *testing.T) {
	for name, text := range map[string]string{
		"none": "# no keys yet\n", "short": "tooshort", "with a space": keyA + " " + keyB,
	} {
		if _, err := ParseKeys([]byte(text)); err == nil || strings.Contains(err.Error(), "tooshort") ||
			strings.Contains(err.Error(), keyA) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ParseKeys([]byte("# the first\n" + keyA + "\n\n" + keyB + "\n")); err != nil {
		t.Error(err)
	}
}
