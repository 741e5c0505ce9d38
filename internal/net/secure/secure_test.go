package secure

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dunespoke/internal/lab/ca"
)

// authority is a certificate authority for tests.
type authority struct {
	*ca.Authority
	t   *testing.T
	dir string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	dir := t.TempDir()
	a, err := ca.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{a, t, dir}
}

// issue writes a certificate for name, valid for life, and its key.
func (a *authority) issue(name string, life time.Duration) Files {
	a.t.Helper()
	p, err := a.Issue(name, life)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{Cert: p.Cert, Key: p.Key}
}

// safeLog is a buffer that is safe for concurrent use.
type safeLog struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *safeLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *safeLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.String()
}

// echo accepts connections and sends back the data it receives.
func echo(t *testing.T, s *Side) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	wrapped := s.Listener(l)
	go func() {
		for {
			c, err := wrapped.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func plain(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}

// ping sends a message and reads the echo.
func ping(c net.Conn) error {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	buf := make([]byte, 4)
	if _, err := io.ReadFull(c, buf); err != nil {
		return err
	}
	if string(buf) != "ping" {
		return errors.New("the echo differs from the message")
	}
	return nil
}

func dial(s *Side, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.Dial(plain)(ctx, "tcp", addr)
}

func mustOpen(t *testing.T, of func(Files, zerolog.Logger) (*Side, error), f Files, log io.Writer) *Side {
	t.Helper()
	s, err := of(f, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// While certificates are replaced repeatedly, no new connection may fail, and connections that were open
// before must keep working.
func TestRotationUnderLoad(t *testing.T) {
	a := newAuthority(t)
	server := mustOpen(t, Server, a.issue("ingress", time.Hour), io.Discard)
	addr := echo(t, server)
	client := mustOpen(t, Client, Files{CA: a.Root(), Name: "ingress"}, io.Discard)
	old, err := dial(client, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range 50 {
				c, err := dial(client, addr)
				if err != nil {
					t.Error(err)
					return
				}
				if err := ping(c); err != nil {
					t.Error(err)
				}
				c.Close()
			}
		})
	}
	for range 10 {
		a.issue("ingress", time.Hour)
		if err := server.Reload(); err != nil {
			t.Error(err)
		}
		if err := ping(old); err != nil {
			t.Errorf("the connection opened before the rotation: %v", err)
		}
	}
	wait.Wait()
	// A new client is needed: others may resume their sessions and get no new certificate.
	c, err := dial(mustOpen(t, Client, Files{CA: a.Root(), Name: "ingress"}, io.Discard), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got := c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(); got != a.Last() {
		t.Errorf("server presents certificate %d, want the newest, %d", got, a.Last())
	}
}

func TestInvalidFileKeepsPreviousConfiguration(t *testing.T) {
	a := newAuthority(t)
	var log safeLog
	files := a.issue("ingress", time.Hour)
	files.CA = a.Root()
	server := mustOpen(t, Server, files, &log)
	addr := echo(t, server)
	client := mustOpen(t, Client, Files{CA: a.Root(), Name: "ingress"}, io.Discard)
	good := map[string][]byte{}
	for _, path := range []string{files.Cert, files.Key, files.CA} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		good[path] = text
	}
	restore := func() {
		for path, text := range good {
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, corrupt := range map[string]func(){
		"no certificate": func() { os.WriteFile(files.Cert, []byte("nothing"), 0o600) },
		"key of another certificate": func() {
			a.issue("other", time.Hour)
			os.Rename(filepath.Join(a.dir, "other.key"), files.Key)
		},
		"gone":                func() { os.Remove(files.Cert) },
		"no roots":            func() { os.WriteFile(files.CA, nil, 0o600) },
		"expired certificate": func() { a.issue("ingress", -time.Hour) },
	} {
		corrupt()
		if server.Reload() == nil {
			t.Errorf("%s: accepted", name)
		}
		c, err := dial(client, addr)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else {
			c.Close()
		}
		restore()
	}
	if err := server.Reload(); err != nil {
		t.Error(err)
	}
	for _, code := range []string{"certificate-not-taken", "certificate-taken", "certificate-ends"} {
		if !strings.Contains(log.String(), code) {
			t.Errorf("log has no line with code %s", code)
		}
	}
}

func TestUntrustedServersAreRejected(t *testing.T) {
	a, untrusted := newAuthority(t), newAuthority(t)
	addr := echo(t, mustOpen(t, Server, a.issue("ingress", time.Hour), io.Discard))
	for name, files := range map[string]Files{
		"another CA":         {CA: untrusted.Root(), Name: "ingress"},
		"another name":       {CA: a.Root(), Name: "somebody"},
		"the address's name": {CA: a.Root()}, // 127.0.0.1, which the certificate does not name
		"the system's roots": {Name: "ingress"},
	} {
		c, err := dial(mustOpen(t, Client, files, io.Discard), addr)
		if err == nil {
			c.Close()
			t.Errorf("%s: connected", name)
		}
	}
	old := &tls.Dialer{Config: &tls.Config{MaxVersion: tls.VersionTLS11, InsecureSkipVerify: true}}
	if c, err := old.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("TLS 1.1 is accepted")
	}
}

// A client must reject a server with an expired certificate at the handshake, before any request is sent.
func TestExpiredServerIsRejected(t *testing.T) {
	a := newAuthority(t)
	server := mustOpen(t, Server, a.issue("ingress", time.Hour), io.Discard)
	client := mustOpen(t, Client, Files{CA: a.Root(), Name: "ingress"}, io.Discard)
	expired, err := tls.LoadX509KeyPair(a.issue("ingress", -time.Hour).Cert, filepath.Join(a.dir, "ingress.key"))
	if err != nil {
		t.Fatal(err)
	}
	server.conf.Store(&tls.Config{Certificates: []tls.Certificate{expired}})
	if c, err := dial(client, echo(t, server)); err == nil {
		c.Close()
		t.Error("connected to a server with an expired certificate")
	}
}

func TestChangedFilesAreDetected(t *testing.T) {
	a := newAuthority(t)
	s := mustOpen(t, Server, a.issue("ingress", time.Hour), io.Discard)
	if s.changed() {
		t.Error("changed without a change")
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(s.files.Key, later, later); err != nil {
		t.Fatal(err)
	}
	if !s.changed() {
		t.Error("a change is not detected")
	}
	if err := s.Reload(); err != nil || s.changed() {
		t.Errorf("after reloading: %v", err)
	}
}
