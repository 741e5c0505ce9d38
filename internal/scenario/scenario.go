// Package scenario plays small scripts against network code under test. A script has one step a line:
//
//	PARTY send TEXT        writes the text, with Go's escapes
//	PARTY expect TEXT      waits until the text has come, and passes over it and what came before
//	PARTY close            closes the party's connection
//	PARTY wait closed      waits until the other side has closed
//	PARTY wait nothing     what has come so far has all been expected
//	PARTY wait something   something has come already that has not been expected
//	PARTY wait 1.5s        lets time pass
//
// A party whose name begins with "client" connects to the address "ingress" at its first step. Any other
// waits for a connection to the address that its name is, less digits at the end: app1 and app2 are the first
// and the second connection taken at "app". Scripts are played in a bubble of testing/synctest, on a network
// in memory, so that no time passes outside. $NAME stands for a text of the script's words.
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

// Net is a network in memory.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNet returns an empty network.
func NewNet() *Net { return &Net{listeners: map[string]*listener{}} }

// Listen takes connections to an address.
func (n *Net) Listen(_, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{addr: addr, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. Where nobody listens, it is refused.
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
	near, far := net.Pipe()
	l.conns <- far
	return near, nil
}

type listener struct {
	addr  string
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
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

// patience is how long a step may take: far over any limit of the code under test.
const patience = 2 * time.Minute

// Play plays a script. It is to be called within a bubble, with what is under test running.
func Play(t *testing.T, n *Net, words map[string]string, script string) {
	t.Helper()
	p := &player{t: t, net: n, parties: map[string]*party{}}
	for i, line := range strings.Split(strings.TrimSpace(script), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		for strings.Contains(line, "$") { // words may hold words
			before := line
			for name, text := range words {
				line = strings.ReplaceAll(line, "$"+name, text)
			}
			if line == before {
				t.Fatalf("step %d: %s: unknown word", i+1, line)
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

type player struct {
	t       *testing.T
	net     *Net
	parties map[string]*party
}

// party is one connection of a script.
type party struct {
	conn  net.Conn
	mu    sync.Mutex
	came  []byte
	ended bool
	news  chan struct{}
}

func (p *player) step(name, verb, text string) string {
	switch {
	case verb == "wait" && text == "nothing" && p.parties[name] == nil:
		synctest.Wait()
		if l := p.listener(name); l != nil && len(l.conns) > 0 {
			return "a connection has come"
		}
		return ""
	case verb == "wait" && text != "closed" && text != "nothing" && text != "something":
		d, err := time.ParseDuration(text)
		if err != nil {
			return err.Error()
		}
		time.Sleep(d) // of the bubble's clock
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
		x.conn.SetWriteDeadline(time.Now().Add(patience))
		if _, err := x.conn.Write([]byte(text)); err != nil {
			return err.Error()
		}
	case "expect":
		problem = x.await(func() bool {
			_, after, found := bytes.Cut(x.came, []byte(text))
			if found {
				x.came = after
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
		if (len(x.came) > 0) != (text == "something") {
			return "what has come: " + strconv.Quote(string(x.came))
		}
	default:
		return "unknown verb"
	}
	synctest.Wait() // the code under test may still be busy with what the step has seen
	return problem
}

func (p *player) listener(name string) *listener {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.listeners[strings.TrimRight(name, "0123456789")]
}

// party returns the connection that a name stands for.
func (p *player) party(name string) (*party, string) {
	if x := p.parties[name]; x != nil {
		return x, ""
	}
	x := &party{news: make(chan struct{}, 1)}
	if strings.HasPrefix(name, "client") {
		c, err := p.net.Dial(context.Background(), "memory", "ingress")
		if err != nil {
			return nil, err.Error()
		}
		x.conn = c
	} else {
		l := p.listener(name)
		if l == nil {
			return nil, "nobody listens there"
		}
		select {
		case x.conn = <-l.conns:
		case <-time.After(patience):
			return nil, "no connection came"
		}
	}
	p.parties[name] = x
	go x.pump()
	return x, ""
}

// pump reads on whatever comes: sockets have buffers, and a peer that waits does not hold up its sender.
func (x *party) pump() {
	buf := make([]byte, 4<<10)
	for {
		n, err := x.conn.Read(buf)
		x.mu.Lock()
		x.came = append(x.came, buf[:n]...)
		x.ended = err != nil
		x.mu.Unlock()
		select {
		case x.news <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

func (x *party) await(done func() bool) string {
	late := time.After(patience)
	for {
		x.mu.Lock()
		ok, ended, came := done(), x.ended, string(x.came)
		x.mu.Unlock()
		if ok {
			return ""
		}
		if ended {
			return "the connection has ended; before came " + strconv.Quote(came)
		}
		select {
		case <-x.news:
		case <-late:
			return "only came " + strconv.Quote(came)
		}
	}
}

// Close ends all listeners, and the connections that nobody took.
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
