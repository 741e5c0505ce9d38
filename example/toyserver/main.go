// Command toyserver plays, on loopback, those whom an ingress talks to: two app servers, discovery, the quota
// counter and an introspection service. It is there to try dunespoke with, and keeps no promise of speed.
package main

import (
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var appServers = []string{"127.0.0.1:9101", "127.0.0.1:9102"}

func main() {
	for i, addr := range appServers {
		go serve(addr, appServer(i))
	}
	go serve("127.0.0.1:6400", &counter{totals: map[string]*count{}})
	go serve("127.0.0.1:8801", http.HandlerFunc(introspect))
	serve("127.0.0.1:8500", http.HandlerFunc(discover))
}

func serve(addr string, h http.Handler) { log.Fatal(http.ListenAndServe(addr, h)) }

// appServer answers each request after some work.
func appServer(number int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
		fmt.Fprintf(w, "app server %d served %s of %s\n", number, r.Method, r.URL)
	})
}

// discover gives the list of servers, and keeps a watch on it open; the list never changes.
func discover(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		ID        string  `json:"instanceId"`
		Addr      string  `json:"hostPort"`
		Zone      string  `json:"zone"`
		Lifecycle string  `json:"lifecycle"`
		Weight    float64 `json:"weight"`
	}
	var all []entry
	for i, addr := range appServers {
		all = append(all, entry{fmt.Sprintf("s-%08x", i+1), addr, "dc-1", "Ready", 1})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": 1, "reset": true, "instances": all})
	if r.URL.Query().Get("follow") != "1" {
		return
	}
	for beat := time.Tick(2 * time.Second); ; {
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-beat:
			fmt.Fprintln(w)
		}
	}
}

// counter adds to named counts.
type counter struct {
	mu     sync.Mutex
	totals map[string]*count
}

type count struct {
	total float64
	till  time.Time
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, "/v1/count/")
	add, err1 := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	ttl, err2 := strconv.ParseFloat(r.URL.Query().Get("ttl_ms"), 64)
	if !ok || err1 != nil || err2 != nil {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.totals[name]
	if k == nil || time.Now().After(k.till) {
		k = &count{till: time.Now().Add(time.Duration(min(ttl, 60_000)) * time.Millisecond)}
		c.totals[name] = k
	}
	k.total += add
	fmt.Fprint(w, k.total)
}

// introspect holds tokens active whose first letter is an a.
func introspect(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	answer := map[string]any{"active": false}
	if strings.HasPrefix(r.PostFormValue("token"), "a") {
		answer = map[string]any{"active": true, "scope": "read", "exp": time.Now().Add(time.Hour).Unix()}
	}
	json.NewEncoder(w).Encode(answer)
}
