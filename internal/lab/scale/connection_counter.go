package scale

import (
	"context"
	"maps"
	"net"
	"sync"
)

// traffic is what went over the connections to one host.
type traffic struct {
	sent, received float64 // bytes
	dials          float64
	open           int // connections that are open now
}

// connectionCounter counts the traffic of control nodes by the host at the other end. It may be used by many
// goroutines.
type connectionCounter struct {
	mu     sync.Mutex
	byHost map[string]traffic
}

func newConnectionCounter() *connectionCounter {
	return &connectionCounter{byHost: map[string]traffic{}}
}

// update changes what is counted for a host.
func (c *connectionCounter) update(host string, change func(*traffic)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byHost[host]
	change(&t)
	c.byHost[host] = t
}

// totals returns what has been counted so far, by host.
func (c *connectionCounter) totals() map[string]traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byHost)
}

// dialer dials from an address, and counts.
func (c *connectionCounter) dialer(ip string) func(context.Context, string, string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		c.update(host, func(t *traffic) {
			t.open++
			t.dials++
		})
		return &countedConn{Conn: conn, counter: c, host: host}, nil
	}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *connectionCounter
	host    string
	closed  sync.Once
}

// Read counts what is read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.update(c.host, func(t *traffic) { t.received += float64(n) })
	return n, err
}

// Write counts what is written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.update(c.host, func(t *traffic) { t.sent += float64(n) })
	return n, err
}

// Close counts the connection as closed.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.counter.update(c.host, func(t *traffic) { t.open-- }) })
	return c.Conn.Close()
}
