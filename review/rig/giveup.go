package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. Those of the trouble are the site's for answer_lost.
const (
	giveUpTime   = time.Second            // give_up_s of the route
	giveUpSlack  = 500 * time.Millisecond // after it, the rule wants a final answer
	giveUpWait   = 4 * time.Second        // how long the clients wait
	giveUpPlay   = 5500 * time.Millisecond
	giveUpStep   = 10 * time.Millisecond // between two requests
	lostServers  = 4                     // of 8: share 0.5
	lostEvery    = 20                    // x 0.05
	statementLen = 200 << 10             // bytes of an answer
	statementCut = 100 << 10             // bytes of an answer that is lost midway
)

// giveUpCase has half of the servers lose the second half of one answer in twenty.
func giveUpCase(trouble bool) (broken bool, summary string) {
	statement := strings.Repeat("statement ", statementLen/10)
	p := &platform{}
	quiet := make(chan struct{})
	var lost atomic.Int64
	for i := range 8 {
		id, l := fmt.Sprintf("i-%d", i), listen("127.0.78.2")
		p.add(id, "docshelf", l.Addr().String(), zones[i%len(zones)])
		var runs atomic.Int64
		serveRequests(l, id, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			loses := trouble && i < lostServers && runs.Add(1)%lostEvery == 0
			note("run %s at %s, answer lost midway: %v", r.Header.Get("Attempt-Id"), id, loses)
			w.Header().Set("Server-Seal", "seal-of-"+r.Header.Get("Attempt-Id"))
			w.Header().Set("Content-Length", fmt.Sprint(len(statement)))
			if !loses {
				io.WriteString(w, statement)
				return
			}
			lost.Add(1)
			io.WriteString(w, statement[:statementCut])
			w.(http.Flusher).Flush()
			<-quiet // nothing more comes on this connection
		})
	}
	c := newCluster(78, 3, 3, p.serve("127.0.78.1"))
	c.serve(`{"version":"r1","items_of":[
{"item_kind":"routes","metadata":{"name":"statements"},"desired":{"domain":"bank.example",
"path_start":"/statements/","kind":"read_only","give_up_s":1,"target_s":0.4,"rank":2,"backend":"docshelf",
"tries":2,"public":true}},
{"item_kind":"backends","metadata":{"name":"docshelf"},"desired":{"health_path":"/health","max_conns":150,
"protocol":"h1","encryption":false}}]}`)
	time.Sleep(4 * time.Second) // all are in touch
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := map[string]int{}
	longer, late := 0, 0
	for i := range int(giveUpPlay / giveUpStep) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * giveUpStep)
			id := fmt.Sprintf("try-%d", i)
			client := &caller{addr: c.client(c.gateways[i%len(c.gateways)])}
			defer client.close()
			sent := time.Now()
			end := "no connection"
			if client.send(giveUpWait, "/statements/1", id, "", int(giveUpWait.Milliseconds()), "") {
				end = readAnswer(client)
			}
			took := time.Since(sent)
			note("%s ended after %v: %s", id, took.Round(time.Millisecond), end)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
			if took > giveUpTime {
				longer++
			}
			if took > giveUpTime+giveUpSlack {
				late++
			}
		}()
	}
	wg.Wait()
	close(quiet)
	return late >= 8 && 4*late > longer, fmt.Sprintf("requests by their end: %v; answers lost midway: %d; %d "+
		"requests lasted longer than give_up_s (%v), and %d of these had no final answer %v after it; broken from "+
		"8 and a quarter on", ends, lost.Load(), longer, giveUpTime, late, giveUpSlack)
}

// readAnswer reads a whole answer and tells how it ended.
func readAnswer(c *caller) string {
	r, err := c.head()
	if err != nil {
		return "no head: " + reason(err)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return fmt.Sprintf("%d, %d bytes and no end: %s", r.StatusCode, n, reason(err))
	}
	return fmt.Sprintf("%d, %d bytes", r.StatusCode, n)
}

// reason returns the last part of an error, without addresses.
func reason(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndex(text, ":")+1:])
}
