package rig

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// resend is the time after which a lost piece of a TCP stream would be sent again; doubled each time.
const resend = 200 * time.Millisecond

// link is one direction between two actors. Relays ask it what becomes of what they carry.
type link struct {
	from, to *actor

	mu    sync.Mutex
	cuts  int // faults that cut it
	loss  float64
	delay time.Duration
	open  chan struct{} // closed while nothing cuts it

	touched time.Time // when a fault last began or ended
}

func newLink(from, to *actor) *link {
	l := &link{from: from, to: to, open: make(chan struct{})}
	close(l.open)
	return l
}

// cut adds a cut, or takes one away.
func (l *link) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		if l.cuts++; l.cuts == 1 {
			l.open = make(chan struct{})
		}
	} else if l.cuts--; l.cuts == 0 {
		close(l.open)
	}
}

func (l *link) set(loss float64, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss, l.delay = loss, delay
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts > 0
}

func (l *link) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.touched = time.Now()
}

// well reports that the link has been as it should since then.
func (l *link) well(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts == 0 && l.loss == 0 && l.delay == 0 && l.touched.Before(since)
}

// carry waits as long as a piece of a stream takes on the link.
func (l *link) carry(ctx context.Context) {
	l.mu.Lock()
	loss, wait := l.loss, l.delay
	l.mu.Unlock()
	for again := resend; loss > 0 && rand.Float64() < loss; again *= 2 {
		wait += again
	}
	if wait > 0 {
		sleep(ctx, wait)
	}
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		select {
		case <-open:
			if !l.isCut() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// drops says whether a datagram gets lost, and how late it is otherwise.
func (l *link) drops() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts > 0 || l.loss > 0 && rand.Float64() < l.loss, l.delay
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// relay is where the actor `from` reaches the actor `to`: a listener that passes connections on. While the
// link is cut, connections never come up; while the target is dead, they are refused.
type relay struct {
	there, back *link
	addr        string
	target      string
	via         func(far net.Conn) // told of each connection to the target; may be nil
	ctx         context.Context

	mu      sync.Mutex
	l       *net.TCPListener
	fillers []net.Conn
}

// state brings the relay in line with its link and target.
func (r *relay) state() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	dead := r.there.to.dead()
	cut := r.there.isCut() || r.back.isCut()
	if dead && !cut {
		r.heal()
		if r.l != nil {
			r.l.Close()
			r.l = nil
		}
		return nil
	}
	if r.l == nil {
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			return err
		}
		r.l = l.(*net.TCPListener)
		if addr := l.Addr().String(); addr != r.addr { // the first time; later it listens there again
			r.addr = addr
		}
		go r.accept(r.l)
	}
	if cut {
		r.block()
	} else {
		r.heal()
	}
	return nil
}

// block fills the listener's queue, so that the kernel drops whoever wants to connect, as a far machine
// that is cut off would.
func (r *relay) block() {
	if r.fillers != nil {
		return
	}
	r.backlog(0)
	r.fillers = []net.Conn{}
	for range 4 {
		c, err := net.DialTimeout("tcp", r.addr, 20*time.Millisecond)
		if err != nil {
			break
		}
		r.fillers = append(r.fillers, c)
	}
}

func (r *relay) heal() {
	if r.fillers == nil {
		return
	}
	for _, c := range r.fillers {
		c.Close()
	}
	r.fillers = nil
	r.backlog(128)
}

func (r *relay) backlog(n int) {
	raw, err := r.l.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), n) })
	}
}

func (r *relay) accept(l *net.TCPListener) {
	for {
		// Nothing is taken off a blocked queue.
		r.there.carry(r.ctx)
		r.back.carry(r.ctx)
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(c *net.TCPConn) {
	defer c.Close()
	r.there.carry(r.ctx)
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		c.SetLinger(0)
		return
	}
	defer far.Close()
	if r.via != nil {
		r.via(far)
	}
	stop := context.AfterFunc(r.ctx, func() { c.Close(); far.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		pump(r.ctx, c, far.(*net.TCPConn), r.back)
		close(done)
	}()
	pump(r.ctx, far.(*net.TCPConn), c, r.there)
	<-done
}

// pump carries one direction. A connection that breaks on one side breaks on the other, once the news could
// have got there.
func pump(ctx context.Context, to, from *net.TCPConn, l *link) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.carry(ctx)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			to.CloseWrite()
			return
		}
		to.SetLinger(0)
		to.Close()
		return
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heal()
	if r.l != nil {
		r.l.Close()
	}
}
