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

// More than the sockets' buffers hold must come whole, though both sides have to wait at times.
func TestAllComesWhole(t *testing.T) {
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

func TestEndsAreThoseOfPackageNet(t *testing.T) {
	a, b := pair(t)
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := a.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("past its deadline a read ends with %v", err)
	}
	ended := make(chan error)
	go func() {
		_, err := b.Read(make([]byte, 1))
		ended <- err
	}()
	b.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("a read of a connection being closed ends with %v", err)
	}
	a.SetReadDeadline(time.Time{})
	if _, err := a.Read(make([]byte, 1)); err == nil {
		t.Error("a read from a peer that has gone ends well")
	}
	for range 100 { // the first may still go into the buffer
		if _, err := a.Write([]byte("x")); err != nil {
			return
		}
	}
	t.Error("writes to a peer that has gone end well")
}

// What comes unwanted is seen and left where it is, until it is wanted.
func TestWhatIsUnwantedStaysUnread(t *testing.T) {
	a, b := pair(t)
	var lock sync.Mutex
	wanted := false
	read := func() (string, error) {
		buf := make([]byte, 9)
		n, err := a.(*Conn).ReadWanted(buf, &lock, func() bool { return wanted })
		return string(buf[:n]), err
	}
	if a.(*Conn).Unread() {
		t.Error("something unread before anything came")
	}
	time.AfterFunc(time.Millisecond, func() { b.Write([]byte("noise")) })
	if got, err := read(); got != "" || err != ErrUnwanted {
		t.Errorf("unwanted: read %q, %v", got, err)
	}
	if !a.(*Conn).Unread() {
		t.Error("what came is not seen")
	}
	wanted = true
	if got, err := read(); got != "noise" || err != nil {
		t.Errorf("wanted: read %q, %v", got, err)
	}
	wanted = false
	b.Close()
	if _, err := read(); err != ErrUnwanted || !a.(*Conn).Unread() {
		t.Errorf("the end of an idle connection: %v", err)
	}
	a.SetReadDeadline(time.Now().Add(-time.Second))
	if _, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("past its deadline a read ends with %v", err)
	}
}

// A second process of an upgrade listens at the address of the first while that still serves.
func TestTheAddressIsShared(t *testing.T) {
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
		t.Fatalf("the first listener no longer takes connections: %v", err)
	}
	c.Close()
}
