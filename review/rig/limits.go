package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// limitsConfig is a configuration with a limit of the bytes of a request's head.
func limitsConfig(version, headBytes int) string {
	return fmt.Sprintf(`{"version":"r%d","items_of":[
{"item_kind":"routes","metadata":{"name":"balance"},"desired":{"domain":"bank.example","path_start":"/balance/",
"kind":"read_only","give_up_s":0.8,"target_s":0.2,"rank":2,"backend":"ledgerview","tries":2,"public":true}},
{"item_kind":"backends","metadata":{"name":"ledgerview"},"desired":{"health_path":"/health","max_conns":150,
"protocol":"h1","encryption":false}},
{"item_kind":"limits","metadata":{},"desired":{"max_header_bytes":%d,"max_body_bytes":67108864,
"header_wait_s":3,"idle_s":15}}]}`, version, headBytes)
}

// limitsCase raises max_header_bytes, and sends longer heads 4 s after the acknowledgement.
func limitsCase(trouble bool) (broken bool, summary string) {
	p := &platform{}
	for i := range 3 {
		id, l := fmt.Sprintf("i-%d", i), listen("127.0.79.2")
		p.add(id, "ledgerview", l.Addr().String(), zones[i])
		serveRequests(l, id, func(w http.ResponseWriter, r *http.Request) {
			note("run %s at %s", r.Header.Get("Attempt-Id"), id)
			w.Header().Set("Server-Seal", "seal-of-"+r.Header.Get("Attempt-Id"))
			io.WriteString(w, "balance\n")
		})
	}
	c := newCluster(79, 3, 3, p.serve("127.0.79.1"))
	const before, after = 8 << 10, 16 << 10
	if !trouble {
		c.serve(limitsConfig(1, after))
	} else {
		c.serve(limitsConfig(1, before))
	}
	time.Sleep(4 * time.Second) // all are in touch
	if !until(4*time.Second, func() bool { return c.put(c.gateways[1], limitsConfig(2, after)) == http.StatusOK }) {
		giveUp("the change was not acknowledged")
	}
	note("r2 with max_header_bytes %d is acknowledged", after)
	time.Sleep(4 * time.Second) // apply_s is 2
	statuses := map[string]int{}
	denied, all := 0, 0
	for i := range 300 {
		id, more := fmt.Sprintf("try-%d", i), ""
		if i%5 == 0 { // one in five has a head of 12 KB
			more = "Trace: " + strings.Repeat("x", 12<<10) + "\r\n"
		}
		client := &caller{addr: c.client(c.gateways[i%len(c.gateways)])}
		status := "no answer"
		if client.send(2*time.Second, "/balance/1", id, "", 800, more) {
			if r, err := client.head(); err == nil {
				status = fmt.Sprint(r.StatusCode)
			}
		}
		client.close()
		note("%s, %d bytes of headers: %s", id, len(more), status)
		statuses[status]++
		if all++; status[0] == '3' || status[0] == '4' && status != "408" && status != "421" && status != "429" {
			denied++
		}
	}
	allowed := 5 + float64(all)/500
	return float64(denied) > allowed, fmt.Sprintf("answers %v; %d of %d proper requests were ended with a 4xx; "+
		"allowed %.1f", statuses, denied, all, allowed)
}
