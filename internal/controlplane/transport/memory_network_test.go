package transport

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// memoryNetwork connects transports in memory, so that tests that depend on time can run in virtual time.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	ends      []net.Conn                 // both ends of all connections
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

// dialFrom returns a dial function for the process at the address caller. It returns ECONNREFUSED for an
// address without a listener.
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
		local, remote := net.Pipe()
		n.mu.Lock()
		n.ends = append(n.ends, local, remote)
		n.mu.Unlock()
		select {
		case l.incoming <- &memoryConn{remote, from}:
			return &memoryConn{local, l.addr}, nil
		case <-l.closed:
			return nil, refused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// memoryListener accepts connections that are dialled on a memoryNetwork.
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

// Close closes the listener. Later connections to its address are refused.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.addr }

// memoryConn is one end of a connection, with the address of the other end.
type memoryConn struct {
	net.Conn
	remote *net.TCPAddr
}

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }
