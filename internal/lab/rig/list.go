package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an app server as discovery tells it.
type entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Type    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

type change struct {
	at time.Time
	e  entry
}

// list is a stand-in for discovery. It hears of starts and ends some time later, and may be stale besides.
type list struct {
	mu      sync.Mutex
	changes []change // in order of their versions, which count from 1
	stale   time.Duration
	more    chan struct{}
}

func newList() *list { return &list{more: make(chan struct{})} }

// tell adds a change that is known from the time on.
func (l *list) tell(e entry, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.changes); n > 0 && at.Before(l.changes[n-1].at) {
		at = l.changes[n-1].at
	}
	l.changes = append(l.changes, change{at, e})
	close(l.more)
	l.more = make(chan struct{})
}

func (l *list) delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = d
	close(l.more)
	l.more = make(chan struct{})
}

// since returns the changes after a version that are known now, the version, and when to look again.
func (l *list) since(v int) ([]entry, int, <-chan struct{}, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []entry
	for ; v < len(l.changes); v++ {
		if wait := time.Until(l.changes[v].at.Add(l.stale)); wait > 0 {
			return news, v, l.more, wait
		}
		news = append(news, l.changes[v].e)
	}
	return news, v, l.more, 2 * time.Second
}

// handler serves the list to one ingress, which reaches the servers by relays of its own.
func (l *list) handler(addr func(name string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		follow := r.URL.Query().Get("follow") == "1"
		whole := !follow || since == 0
		if whole {
			since = 0
		}
		out := http.NewResponseController(w)
		for first := true; ; first = false {
			news, v, more, wait := l.since(since)
			for i := range news {
				news[i].Addr = addr(news[i].ID)
			}
			if first || len(news) > 0 {
				if news == nil {
					news = []entry{}
				}
				reset := first && whole
				if reset {
					news = latest(news)
				}
				json.NewEncoder(w).Encode(map[string]any{"generation": v, "reset": reset, "instances": news})
			} else {
				w.Write([]byte("\n"))
			}
			out.Flush()
			if since = v; !follow {
				return
			}
			t := time.NewTimer(min(wait, 2*time.Second))
			select {
			case <-r.Context().Done():
				t.Stop()
				return
			case <-more:
			case <-t.C:
			}
			t.Stop()
		}
	})
}

// latest keeps the last word on each server, without those that are gone.
func latest(news []entry) []entry {
	last := map[string]int{}
	for i, e := range news {
		last[e.ID] = i
	}
	whole := []entry{}
	for i, e := range news {
		if last[e.ID] == i && e.State != "Gone" {
			whole = append(whole, e)
		}
	}
	return whole
}

// counter is a stand-in for the quota counter.
type counter struct {
	mu     sync.Mutex
	counts map[string]*count
	slow   time.Duration
}

type count struct {
	total float64
	ends  time.Time
}

func newCounter() *counter { return &counter{counts: map[string]*count{}} }

// empty forgets all counts, as a counter does that was replaced.
func (c *counter) empty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.counts)
}

func (c *counter) delay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
}

// ServeHTTP adds to a count.
func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	add, err := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	ttl, err2 := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	now := time.Now()
	c.mu.Lock()
	n := c.counts[r.URL.Path]
	if n == nil || now.After(n.ends) {
		n = &count{ends: now.Add(time.Duration(ttl) * time.Millisecond)}
		c.counts[r.URL.Path] = n
	}
	n.total += add
	total, slow := n.total, c.slow
	if len(c.counts) > 50000 {
		for name, old := range c.counts {
			if now.After(old.ends) {
				delete(c.counts, name)
			}
		}
	}
	c.mu.Unlock()
	sleep(r.Context(), slow)
	w.Write([]byte(strconv.FormatFloat(total, 'f', -1, 64)))
}

// serveOn serves on a free port of an address, and returns that.
func serveOn(host string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return l.Addr().String(), s, nil
}
