package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// platform plays the list of servers.
type platform struct{ entries []map[string]any }

// listen returns a listener at a free port of an address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	return l
}

// add adds a server to the list. It must be called before serve.
func (p *platform) add(id, service, addr, zone string) {
	p.entries = append(p.entries, map[string]any{"id": id, "backend": service, "address": addr, "zone": zone,
		"version": "v1", "capacity": 2, "state": "warm", "warmup_left_s": 0})
}

// serve serves the list and returns its address.
func (p *platform) serve(ip string) string {
	byZone := map[string][]any{}
	for _, e := range p.entries {
		zone := e["zone"].(string)
		byZone[zone] = append(byZone[zone], e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"servers": byZone, "next_token": nil})
	})
	l := listen(ip)
	go http.Serve(l, mux)
	return l.Addr().String()
}

// serveRequests plays a server: it turns away what is for another one, and lets answer write the rest.
func serveRequests(l net.Listener, id string, answer http.HandlerFunc) {
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Id", id)
		if to := r.Header.Get("Target-Server"); to != "" && to != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answer(w, r)
	}))
}

// caller is a client that keeps its connection.
type caller struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

// send sends a request head. It returns false if there is no connection.
func (c *caller) send(limit time.Duration, path, id, key string, millis int, more string) bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return false
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(limit))
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: bank.example\r\nAttempt-Id: %s\r\n"+
		"Time-Left-Ms: %d\r\nKey: %s\r\n%s\r\n", path, id, millis, key, more)
	return err == nil
}

// head reads the head of the answer.
func (c *caller) head() (*http.Response, error) { return http.ReadResponse(c.in, nil) }

// close ends the connection, if there is one.
func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// record is the file of what was sent, answered and run.
var record struct {
	sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) {
	file, err := os.Create(path)
	if err != nil {
		giveUp("record: %v", err)
	}
	record.file, record.start = file, time.Now()
}

// note writes a line to the record, with the seconds since the start.
func note(format string, a ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, a...))
}

// giveUp ends the program because the case can't run.
func giveUp(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", a...)
	stopAll()
	os.Exit(2)
}
