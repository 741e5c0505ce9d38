package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for an app server: cores, a queue, a cold start, a pod that drops repeats by key.
type server struct {
	a    *actor
	set  Servers
	rig  *Rig
	addr string

	mu      sync.Mutex
	http    *http.Server
	cores   chan struct{}
	waiting int
	started time.Time // zero: long ago
	slow    float64
	fail    float64
	recent  time.Time // second that `asked` counts
	asked   time.Duration
	falls   int
}

// start listens; a cold server has just begun.
func (s *server) start(cold bool) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr, s.started = l.Addr().String(), time.Time{}
	if cold {
		s.started = time.Now()
	}
	s.cores, s.waiting = make(chan struct{}, s.set.Cores), 0
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	h := s.http
	s.mu.Unlock()
	go h.Serve(l)
	s.a.live.Store(true)
	return nil
}

func (s *server) kill() {
	s.a.live.Store(false)
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	h.Close()
}

// speed is the part of its full speed that it has now.
func (s *server) speed() float64 {
	v := 1 / max(s.slow, 1e-3)
	if s.started.IsZero() {
		return v
	}
	part := time.Since(s.started).Seconds() / time.Duration(s.set.Warm).Seconds()
	return v * min(1, s.set.Cold+(1-s.set.Cold)*part)
}

// take counts work that arrives, and reports whether it has pushed the server over.
func (s *server) take(work time.Duration) (speed float64, over, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.recent) > time.Second {
		s.recent, s.asked = now, 0
	}
	s.asked += work
	speed = s.speed()
	cold := !s.started.IsZero() && now.Sub(s.started) < time.Duration(s.set.Warm)
	can := speed * float64(s.set.Cores)
	over = cold && s.asked.Seconds() > s.set.Hurts*can && s.asked > 4*time.Duration(s.set.Work)
	if full = s.waiting >= s.set.Queue; !full {
		s.waiting++
	}
	return speed, over, full
}

// weights of the classes' work.
var weights = map[string]float64{"enquiry": 1.1, "transfer": 1.1, "withdrawal": 0.6}

// ServeHTTP works on a request: in a queue, on a core, for a time.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class, txn := strings.Trim(r.URL.Path, "/"), r.Header.Get("X-Txn")
	if txn == "" {
		http.NotFound(w, r)
		return
	}
	work := time.Duration(float64(s.set.Work) * weights[class] * (0.5 + rand.Float64()))
	speed, over, full := s.take(work)
	if over {
		s.rig.note("server " + s.a.name + " was pushed over while cold")
		s.mu.Lock()
		s.falls++
		s.mu.Unlock()
		go s.rig.fall(s)
		panic(http.ErrAbortHandler)
	}
	if full {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	here := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	ingress := s.rig.came(ends{r.RemoteAddr, here.String()})
	s.rig.judge.arrived(txn, class, r.URL.Query().Get("account"), r.Header.Get("X-Contract"), ingress, s.a)
	s.mu.Lock()
	cores := s.cores
	s.mu.Unlock()
	select {
	case cores <- struct{}{}:
	case <-r.Context().Done():
		s.left()
		return
	}
	s.judgeRun(txn, class)
	sleep(r.Context(), time.Duration(float64(work)/speed))
	<-cores
	s.left()
	s.mu.Lock()
	fail := s.fail
	s.mu.Unlock()
	if fail > 0 && rand.Float64() < fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s served %s\n", s.a.name, txn)
}

func (s *server) judgeRun(txn, class string) { s.rig.judge.ran(txn, class, s.a.cell) }

func (s *server) left() {
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}
