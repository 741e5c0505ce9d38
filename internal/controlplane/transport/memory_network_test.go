package transport

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// memoryNetwork connects transports in memory, so that tests of what takes time run in virtual time.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	ends      []net.Conn                 // of all connections
}

// newMemoryNetwork returns a network whose connections are closed when the test ends.
func newMemoryNetwork(t *testing.T) *memoryNetwork {
	n := &memoryNetwork{listeners: map[string]*memoryListener{}}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, end := range n.ends {
			closeQuietly(end)
		}
	})
	return n
}

// listen opens a listener at an address.
func (n *memoryNetwork) listen(_, addr string) (net.Listener, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &memoryListener{addr: tcpAddr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

// dialFrom returns a function that opens connections from an address. An address at which nobody listens
// refuses.
func (n *memoryNetwork) dialFrom(caller string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		refused := &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, refused
		}
		from, err := net.ResolveTCPAddr(network, caller)
		if err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		n.mu.Lock()
		n.ends = append(n.ends, near, far)
		n.mu.Unlock()
		select {
		case l.incoming <- &memoryConn{far, from}:
			return &memoryConn{near, l.addr}, nil
		case <-l.closed:
			return nil, refused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// memoryListener accepts what is dialled on a memoryNetwork.
type memoryListener struct {
	addr     *net.TCPAddr
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close has the address refuse connections.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.addr }

// memoryConn is an end of a connection that knows the address of the other one.
type memoryConn struct {
	net.Conn
	remote *net.TCPAddr
}

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }
