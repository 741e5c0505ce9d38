package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// appServer is a sound server, as PROTOCOL.md describes it. It runs requests and notes which.
type appServer struct {
	id, service, zone, addr string
	record                  *record
	work                    time.Duration

	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
}

// addServer starts a server and puts it on the platform's list.
func (c *cluster) addServer(number int, service, zone string, work time.Duration) *appServer {
	s := &appServer{id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, record: c.record,
		addr: fmt.Sprintf("127.7.8.%d:%d", number, serverPort), work: work, runs: map[string]int{}}
	l, err := net.Listen("tcp", s.addr)
	check(err)
	go http.Serve(l, s)
	c.servers = append(c.servers, s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = append(c.listed, map[string]any{"id": s.id, "backend": service, "address": s.addr, "zone": zone,
		"version": "v1", "capacity": 2, "state": "warm", "warmup_left_s": 0})
	return s
}

// ServeHTTP runs a request, unless it names another server.
func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Id", s.id)
	switch target := r.Header.Get("Target-Server"); {
	case target != "" && target != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil { // it did not come whole: it does not run
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.record.add("%s: runs %s (%s %s, %d bytes, customer %s)", s.id, id, r.Method, r.RequestURI, len(body),
		r.Header.Get("Customer"))
	time.Sleep(s.work)
	w.Header().Set("Server-Seal", "seal-"+id)
	w.Write(bytes.Repeat([]byte(id+"\n"), 40))
}

// ran returns how often all servers have run a request.
func (c *cluster) ran(id string) (times int) {
	for _, s := range c.servers {
		s.mu.Lock()
		times += s.runs[id]
		s.mu.Unlock()
	}
	return times
}
