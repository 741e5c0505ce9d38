// Package scenario runs short scripts against network code under test. A script has one step per line:
//
//	PARTY send TEXT        writes the text, which may contain Go escapes
//	PARTY expect TEXT      waits until the text is received, and discards it and what precedes it
//	PARTY close            closes the party's connection
//	PARTY wait closed      waits until the peer closes the connection
//	PARTY wait nothing     fails if data was received that has not been expected
//	PARTY wait something   fails unless data was received that has not been expected
//	PARTY wait 1.5s        advances the time
//
// A party whose name starts with "client" connects to the address "ingress" at its first step. Any other
// party accepts a connection at the address that is its name without trailing digits: app1 and app2 are the
// first and the second connection accepted at "app". Scripts run in a bubble of testing/synctest, on an
// in-memory network, so that no real time passes. $NAME is replaced by the script variable with that name.
package scenario

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Net is an in-memory network. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
}

// NewNet returns an empty network.
func NewNet() *Net { return &Net{listeners: map[string]*listener{}} }

// Listen returns a listener for an address. It replaces any earlier listener of that address.
func (n *Net) Listen(_, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{addr: addr, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. It returns an error if there is no open listener.
func (n *Net) Dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	select {
	case <-l.done:
		return nil, errors.New("connection refused")
	default:
	}
	local, remote := net.Pipe()
	l.conns <- remote
	return local, nil
}

// listener is an address of the network with its queue of connections to accept.
type listener struct {
	addr  string
	conns chan net.Conn
	once  sync.Once
	done  chan struct{} // closed by Close
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

// stepTimeout limits one step, in the bubble's time. It is far longer than any timeout of the code under
// test.
const stepTimeout = 2 * time.Minute

// Play runs a script with variables. It must be called within a synctest bubble in which the code under test
// is running. The first step that fails ends the script and fails the test.
func Play(t *testing.T, n *Net, variables map[string]string, script string) {
	t.Helper()
	p := &player{t: t, net: n, parties: map[string]*party{}}
	for i, line := range strings.Split(strings.TrimSpace(script), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		for strings.Contains(line, "$") { // values may contain variables
			before := line
			for name, text := range variables {
				line = strings.ReplaceAll(line, "$"+name, text)
			}
			if line == before {
				t.Fatalf("step %d: %s: unknown variable", i+1, line)
			}
		}
		name, rest, _ := strings.Cut(line, " ")
		verb, text, _ := strings.Cut(rest, " ")
		if problem := p.step(name, verb, text); problem != "" {
			t.Errorf("step %d: %s: %s", i+1, line, problem)
			break
		}
	}
	for _, x := range p.parties {
		x.conn.Close()
	}
	synctest.Wait()
}

// player runs one script.
type player struct {
	t       *testing.T
	net     *Net
	parties map[string]*party
}

// party is one connection of a script.
type party struct {
	conn     net.Conn
	mu       sync.Mutex
	received []byte        // not yet expected by the script; guarded by mu
	ended    bool          // reading has failed, or the peer has closed; guarded by mu
	updated  chan struct{} // signals a change of received or ended; capacity 1
}

// step runs one step. It returns a description of the failure, or "".
func (p *player) step(name, verb, text string) string {
	switch {
	case verb == "wait" && text == "nothing" && p.parties[name] == nil:
		synctest.Wait()
		if l := p.listener(name); l != nil && len(l.conns) > 0 {
			return "received a connection"
		}
		return ""
	case verb == "wait" && text != "closed" && text != "nothing" && text != "something":
		d, err := time.ParseDuration(text)
		if err != nil {
			return err.Error()
		}
		time.Sleep(d) // on the bubble's clock
		synctest.Wait()
		return ""
	}
	x, problem := p.party(name)
	if problem != "" {
		return problem
	}
	text, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		return err.Error()
	}
	switch verb {
	case "send":
		x.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
		if _, err := x.conn.Write([]byte(text)); err != nil {
			return err.Error()
		}
	case "expect":
		problem = x.await(func() bool {
			_, after, found := bytes.Cut(x.received, []byte(text))
			if found {
				x.received = after
			}
			return found
		})
	case "close":
		x.conn.Close()
	case "wait":
		if text == "closed" {
			problem = x.await(func() bool { return x.ended })
			break
		}
		synctest.Wait()
		x.mu.Lock()
		defer x.mu.Unlock()
		if (len(x.received) > 0) != (text == "something") {
			return "received since the last expect: " + strconv.Quote(string(x.received))
		}
	default:
		return "unknown verb"
	}
	synctest.Wait() // the code under test may still be processing the step
	return problem
}

// listener returns the listener for a party's name, or nil.
func (p *player) listener(name string) *listener {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.listeners[strings.TrimRight(name, "0123456789")]
}

// party returns the party with a name, and opens or accepts its connection if it is new. The string describes
// a failure, or is "".
func (p *player) party(name string) (*party, string) {
	if x := p.parties[name]; x != nil {
		return x, ""
	}
	x := &party{updated: make(chan struct{}, 1)}
	if strings.HasPrefix(name, "client") {
		c, err := p.net.Dial(context.Background(), "memory", "ingress")
		if err != nil {
			return nil, err.Error()
		}
		x.conn = c
	} else {
		l := p.listener(name)
		if l == nil {
			return nil, "no listener at this address"
		}
		select {
		case x.conn = <-l.conns:
		case <-time.After(stepTimeout):
			return nil, "received no connection"
		}
	}
	p.parties[name] = x
	go x.readAll()
	return x, ""
}

// readAll reads continuously until the connection ends, as if sockets had unlimited buffers: a script that
// isn't at an expect step doesn't block the sender.
func (x *party) readAll() {
	buf := make([]byte, 4<<10)
	for {
		n, err := x.conn.Read(buf)
		x.mu.Lock()
		x.received = append(x.received, buf[:n]...)
		x.ended = err != nil
		x.mu.Unlock()
		select {
		case x.updated <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// await waits until done returns true. It calls done with mu held. It returns a description of the failure if
// the connection ends or the step times out first, or "".
func (x *party) await(done func() bool) string {
	timeout := time.After(stepTimeout)
	for {
		x.mu.Lock()
		ok, ended, received := done(), x.ended, string(x.received)
		x.mu.Unlock()
		if ok {
			return ""
		}
		if ended {
			return "the connection has ended; received only " + strconv.Quote(received)
		}
		select {
		case <-x.updated:
		case <-timeout:
			return "timed out; received only " + strconv.Quote(received)
		}
	}
}

// Close closes all listeners, and the connections that were not accepted.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
		for len(l.conns) > 0 {
			(<-l.conns).Close()
		}
	}
}
