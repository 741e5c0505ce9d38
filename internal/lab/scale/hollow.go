package scale

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/node"
	"dunespoke/internal/controlplane/replica"
	"dunespoke/internal/controlplane/transport"
	"dunespoke/internal/events"
)

// hollow is the control side of an ingress.
type hollow struct {
	office *node.Node
	trunk  *transport.Transport
	work   chan func()
	end    context.CancelFunc
	began  time.Time

	version          atomic.Uint64
	servers, members atomic.Int64
	first            atomic.Pointer[string] // server of the list
}

func (h *hollow) now() time.Duration { return time.Since(h.began) + time.Hour }

// run looks after a hollow process until it ends.
func (h *hollow) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = h.trunk.Close()
			return
		case f := <-h.work:
			f()
		case <-timer.C:
		}
		now := h.now()
		timer.Reset(max(h.office.Tick(now)-now, time.Millisecond))
	}
}

// Send sends a message.
func (h *hollow) Send(to string, m *message.Message) { h.trunk.Send(to, m) }

// Log drops what is logged.
func (h *hollow) Log(events.Event, ...any) {}

// ApplyConfig notes the version in force.
func (h *hollow) ApplyConfig(version uint64, _ []byte) { h.version.Store(version) }

// SetEndpoints notes the list.
func (h *hollow) SetEndpoints(list []message.Endpoint) {
	h.servers.Store(int64(len(list)))
	if len(list) > 0 {
		h.first.Store(&list[0].ID)
	}
}

// SetNodes notes how many there are.
func (h *hollow) SetNodes(list []message.Node) { h.members.Store(int64(len(list))) }

// SetView notes nothing.
func (h *hollow) SetView(uint64, []string) {}

// Save saves nothing: it has no disk.
func (h *hollow) Save(uint64, replica.PersistentState) {}

// wire counts the bytes of hollow processes' lines, by the other end.
type wire struct {
	mu        sync.Mutex
	sent, got map[string]float64 // by host
	lines     map[string]int     // open now
	dials     map[string]float64
}

func (w *wire) add(to map[string]float64, host string, n int) {
	w.mu.Lock()
	to[host] += float64(n)
	w.mu.Unlock()
}

func (w *wire) copy() (sent, got, dials map[string]float64, lines map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, got, dials, lines = map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]int{}
	for h := range w.sent {
		sent[h], got[h], dials[h], lines[h] = w.sent[h], w.got[h], w.dials[h], w.lines[h]
	}
	return sent, got, dials, lines
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	w     *wire
	host  string
	ended sync.Once
}

// Read counts what is read.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.add(c.w.got, c.host, n)
	return n, err
}

// Write counts what is written.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.add(c.w.sent, c.host, n)
	return n, err
}

// Close counts the line as gone.
func (c *counted) Close() error {
	c.ended.Do(func() {
		c.w.mu.Lock()
		c.w.lines[c.host]--
		c.w.mu.Unlock()
	})
	return c.Conn.Close()
}

// dialer dials from an address, and counts.
func (w *wire) dialer(ip string) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(addr)
		w.mu.Lock()
		w.lines[host]++
		w.dials[host]++
		w.mu.Unlock()
		return &counted{Conn: nc, w: w, host: host}, nil
	}
}
