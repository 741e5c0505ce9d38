package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// pair returns both ends of a direct connection.
func pair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if a, err = Dial(context.Background(), "tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		a.Close()
		b.Close()
	})
	if _, ok := a.(*Conn); !ok {
		t.Fatal("not direct")
	}
	return a, b
}

// Data that exceeds the socket buffers must arrive completely, although both sides have to wait at times.
func TestLargeTransferIsComplete(t *testing.T) {
	a, b := pair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		a.Write(sent)
		a.Close()
	}()
	if got, err := io.ReadAll(b); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d of %d bytes, %v", len(got), len(sent), err)
	}
}

func TestErrorsMatchPackageNet(t *testing.T) {
	a, b := pair(t)
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read past its deadline returns %v", err)
	}
	ended := make(chan error)
	go func() {
		_, err := b.Read(make([]byte, 1))
		ended <- err
	}()
	b.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("a read of a connection being closed returns %v", err)
	}
	a.SetReadDeadline(time.Time{})
	if _, err := a.Read(make([]byte, 1)); err == nil {
		t.Error("a read from a closed peer succeeds")
	}
	for range 100 { // the first may still go into the buffer
		if _, err := a.Write([]byte("x")); err != nil {
			return
		}
	}
	t.Error("writes to a closed peer succeed")
}

// Data that arrives while it is unwanted is detected, and stays unread until it is wanted.
func TestUnwantedDataStaysUnread(t *testing.T) {
	a, b := pair(t)
	var lock sync.Mutex
	wanted := false
	read := func() (string, error) {
		buf := make([]byte, 9)
		n, err := a.(*Conn).ReadWanted(buf, &lock, func() bool { return wanted })
		return string(buf[:n]), err
	}
	if a.(*Conn).Unread() {
		t.Error("Unread is true before anything was received")
	}
	time.AfterFunc(time.Millisecond, func() { b.Write([]byte("noise")) })
	if got, err := read(); got != "" || err != ErrUnwanted {
		t.Errorf("unwanted: read %q, %v", got, err)
	}
	if !a.(*Conn).Unread() {
		t.Error("Unread is false after data was received")
	}
	wanted = true
	if got, err := read(); got != "noise" || err != nil {
		t.Errorf("wanted: read %q, %v", got, err)
	}
	wanted = false
	b.Close()
	if _, err := read(); err != ErrUnwanted || !a.(*Conn).Unread() {
		t.Errorf("closing of an idle connection: %v", err)
	}
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read past its deadline returns %v", err)
	}
}

// During an upgrade, a second process listens on the address of the first while that still serves.
func TestListenAddressCanBeShared(t *testing.T) {
	first, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Listen("tcp", first.Addr().String())
	if err != nil {
		t.Fatalf("a second listener at the same address: %v", err)
	}
	second.Close()
	c, err := net.Dial("tcp", first.Addr().String())
	if err != nil {
		t.Fatalf("the first listener no longer accepts connections: %v", err)
	}
	c.Close()
}
