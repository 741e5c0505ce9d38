// Package direct reads and writes TCP connections by raw system calls, which bypass the Go scheduler.
//
// An ordinary read or write first notifies the scheduler that it may block. After an idle period this wakes
// the scheduler's monitor thread, which then polls for as long as the program is busy. At the few dozen
// requests per second of an ingress, the program is idle before nearly every call, and the monitor thread
// cost more than the calls. The sockets of package net are non-blocking, so that no notification is needed: a
// call that would block waits in the network poller as usual. Package net still implements deadlines and
// closing.
package direct

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Conn is a connection that is read and written by raw system calls. One goroutine may read while another
// writes, but concurrent reads or concurrent writes are not safe.
type Conn struct {
	net.Conn
	raw                 syscall.RawConn
	in, out             transfer
	readStep, writeStep func(fd uintptr) bool // created once, so that calls do not allocate
}

// transfer is the state of a read or write in progress.
type transfer struct {
	p     []byte
	done  int
	errno syscall.Errno
}

// Wrap returns a Conn for c, or c itself if it gives no access to its file descriptor.
func Wrap(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c
	}
	d := &Conn{Conn: c, raw: raw}
	d.readStep = func(fd uintptr) bool { return d.in.step(syscall.SYS_READ, fd) }
	d.writeStep = func(fd uintptr) bool {
		for d.out.step(syscall.SYS_WRITE, fd) {
			if d.out.errno != 0 || d.out.done == len(d.out.p) {
				return true
			}
		}
		return false
	}
	return d
}

// step makes one read or write system call, and returns false if it would have blocked.
func (t *transfer) step(call, fd uintptr) bool {
	rest := t.p[t.done:]
	for {
		n, _, errno := syscall.RawSyscall(call, fd, uintptr(unsafe.Pointer(unsafe.SliceData(rest))),
			uintptr(len(rest)))
		switch errno {
		case 0:
			t.done += int(n)
			return true
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			t.errno = errno
			return true
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.read(p, c.readStep)
}

// ReadWanted is like Read if wanted returns true when data, the end of the stream or an error arrives.
// Otherwise it leaves that unread and returns ErrUnwanted. It holds lock from the call of wanted to the end
// of the read system call, so that code which changes the result of wanted under the same lock can rely on
// Unread.
func (c *Conn) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	unwanted := false
	n, err := c.read(p, func(fd uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if wanted() {
			return c.in.step(syscall.SYS_READ, fd)
		}
		unwanted = hasUnread(fd)
		return unwanted
	})
	if unwanted {
		return 0, ErrUnwanted
	}
	return n, err
}

// Unread reports whether data, the end of the stream or an error has arrived and has not been read yet.
func (c *Conn) Unread() bool {
	found := true
	err := c.raw.Control(func(fd uintptr) { found = hasUnread(fd) })
	return found || err != nil
}

// hasUnread implements Unread for a file descriptor, by peeking without blocking.
func hasUnread(fd uintptr) bool {
	var b [1]byte
	for {
		_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if errno != syscall.EINTR {
			return errno != syscall.EAGAIN
		}
	}
}

func (c *Conn) read(p []byte, step func(fd uintptr) bool) (int, error) {
	c.in = transfer{p: p}
	err := c.raw.Read(step)
	n, errno := c.in.done, c.in.errno
	c.in.p = nil
	switch {
	case err != nil:
		return 0, err
	case errno != 0:
		return 0, os.NewSyscallError("read", errno)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Write writes all of p. It implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.out = transfer{p: p}
	err := c.raw.Write(c.writeStep)
	n, errno := c.out.done, c.out.errno
	c.out.p = nil
	if err == nil && errno != 0 {
		err = os.NewSyscallError("write", errno)
	}
	return n, err
}

// CloseWrite closes only the sending side. It returns errors.ErrUnsupported if the connection can't do that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Listen is like net.Listen, but accepts direct connections. It sets SO_REUSEPORT, so that during an upgrade
// the new process can listen on the address of the old one. Either accepts connections while both run.
func Listen(network, addr string) (net.Listener, error) {
	l, err := sharedAddr.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// sharedAddr sets SO_REUSEPORT on a socket before it is bound.
var sharedAddr = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

// Dial is like net.Dialer.DialContext, but returns direct connections.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}
