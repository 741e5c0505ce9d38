// Package direct reads and writes TCP connections by system calls that the Go scheduler is not told of.
//
// An ordinary read or write first announces to the scheduler that it may block, which after an idle moment
// wakes the scheduler's monitor thread; that then polls for as long as the program is busy. At the few dozen
// requests a second of an ingress the program is idle before nearly every call, and the monitor cost more
// than the calls. The sockets of package net never block, so there is nothing to announce: a call that would
// have to wait goes to the network poller as ever. Deadlines and closing are package net's.
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

// Conn is a connection read and written directly. One goroutine may read while another writes.
type Conn struct {
	net.Conn
	raw           syscall.RawConn
	in, out       transfer
	reads, writes func(fd uintptr) bool // made once, so that calls allocate nothing
}

// transfer is a read or a write under way.
type transfer struct {
	p     []byte
	done  int
	errno syscall.Errno
}

// Wrap makes a connection direct, or returns it as it is where that can't be done.
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
	d.reads = func(fd uintptr) bool { return d.in.step(syscall.SYS_READ, fd) }
	d.writes = func(fd uintptr) bool {
		for d.out.step(syscall.SYS_WRITE, fd) {
			if d.out.errno != 0 || d.out.done == len(d.out.p) {
				return true
			}
		}
		return false
	}
	return d
}

// step makes one call, and reports false if it would have had to wait.
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

// Read reads as net.Conn has it.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.read(p, c.reads)
}

// ReadWanted reads as Read does, as long as wanted reports true when something comes; else that is left where
// it is, and the error is ErrUnwanted. The lock is held from the question to the end of the read, so that
// what changes the answer under that lock can rely on Unread.
func (c *Conn) ReadWanted(p []byte, lock sync.Locker, wanted func() bool) (int, error) {
	unwanted := false
	n, err := c.read(p, func(fd uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if wanted() {
			return c.in.step(syscall.SYS_READ, fd)
		}
		unwanted = unread(fd)
		return unwanted
	})
	if unwanted {
		return 0, ErrUnwanted
	}
	return n, err
}

// Unread reports whether something has come, an end or an error included, that was not read yet.
func (c *Conn) Unread() bool {
	found := true
	err := c.raw.Control(func(fd uintptr) { found = unread(fd) })
	return found || err != nil
}

func unread(fd uintptr) bool {
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

// Write writes all of p, as net.Conn has it.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.out = transfer{p: p}
	err := c.raw.Write(c.writes)
	n, errno := c.out.done, c.out.errno
	c.out.p = nil
	if err == nil && errno != 0 {
		err = os.NewSyscallError("write", errno)
	}
	return n, err
}

// CloseWrite ends the sending side alone, where the connection can do that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Listen is net.Listen, for direct connections. The address may be shared by SO_REUSEPORT: a new process
// of an upgrade listens beside the old one, so that clients are taken by either while both live.
func Listen(network, addr string) (net.Listener, error) {
	l, err := shared.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// shared sets SO_REUSEPORT on the socket before it is bound.
var shared = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); cerr != nil {
		return cerr
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

// Dial is that of a net.Dialer, for direct connections.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}
