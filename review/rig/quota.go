package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The quota of the tenant that is counted, and the figures of the rule.
const (
	quotaRate    = 20.0
	quotaBurst   = 1.0
	quotaWindow  = 5 * time.Second
	quotaAllowed = (quotaRate*5+quotaBurst)*1.1 + 20
	quotaUsual   = quotaRate / 1.6 // the site's quota_x
	quotaTimes   = 8               // of its usual, while the tenant is hot
	quotaPlay    = 9 * time.Second
	quotaClients = 60 // of the tenant; each is passed to a gateway by a hash of its name
)

// quotaRun is a request that a server has run.
type quotaRun struct{ sent, run time.Time }

// quotaLog records what was sent and run.
type quotaLog struct {
	sync.Mutex
	sent     map[string]time.Time
	runs     []quotaRun
	statuses map[string]int
}

// quotaCase has the clients of a small tenant send eight times its usual, in step, through 15 gateways, while
// another tenant has steady traffic.
func quotaCase(trouble bool) (broken bool, summary string) {
	log := &quotaLog{sent: map[string]time.Time{}, statuses: map[string]int{}}
	p := &platform{}
	for i := range 9 {
		id, l := fmt.Sprintf("i-%d", i), listen("127.0.77.2")
		p.add(id, "ledgerview", l.Addr().String(), zones[i%len(zones)])
		serveRequests(l, id, func(w http.ResponseWriter, r *http.Request) { log.serve(w, r) })
	}
	c := newCluster(77, 15, 3, p.serve("127.0.77.1"))
	c.serve(strings.NewReplacer("RATE", fmt.Sprint(quotaRate), "BURST", fmt.Sprint(quotaBurst)).Replace(
		`{"version":"r1","items_of":[
{"item_kind":"routes","metadata":{"name":"balance"},"desired":{"domain":"bank.example",
"path_start":"/balance/","kind":"read_only","give_up_s":0.8,"target_s":0.2,"rank":2,
"backend":"ledgerview","tries":2,"public":false}},
{"item_kind":"backends","metadata":{"name":"ledgerview"},"desired":{"health_path":"/health","max_conns":150,
"protocol":"h1","encryption":false}},
{"item_kind":"customers","metadata":{"name":"small"},"desired":{"api_keys":["key-of-small"],"rank":0,
"allowed_per_s":RATE,"burst_size":BURST}},
{"item_kind":"customers","metadata":{"name":"large"},"desired":{"api_keys":["key-of-large"],"rank":0,
"allowed_per_s":400,"burst_size":400}}]}`))
	time.Sleep(4 * time.Second) // all are in touch
	rate := quotaUsual
	if trouble {
		rate *= quotaTimes
	}
	perClient := rate / quotaClients
	note("small sends %.1f a second: a request of each of its %d clients at once", rate, quotaClients)
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range quotaClients {
		wg.Add(1)
		name := fmt.Sprintf("small-%d", i)
		g := c.gateways[crc32.ChecksumIEEE([]byte(name))%uint32(len(c.gateways))]
		note("%s is passed to %s", name, g.name)
		go log.call(&wg, &caller{addr: c.client(g)}, name, "key-of-small", begin, perClient)
	}
	for i, g := range c.gateways {
		wg.Add(1)
		go log.call(&wg, &caller{addr: c.client(g)}, fmt.Sprintf("large-%d", i), "key-of-large",
			begin.Add(time.Duration(i)*4*time.Millisecond), 15)
	}
	wg.Wait()
	most := log.most()
	return float64(most) > quotaAllowed, fmt.Sprintf("answers %v; of small %d ran in %v, %d of them sent and "+
		"run within %v; allowed %.1f", log.statuses, len(log.runs), quotaPlay, most, quotaWindow, quotaAllowed)
}

// serve answers a request, and records that it ran.
func (l *quotaLog) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Customer") == "small" {
		l.Lock()
		l.runs = append(l.runs, quotaRun{l.sent[id], time.Now()})
		l.Unlock()
		note("run %s", id)
	}
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Server-Seal", "seal-of-"+id)
	io.WriteString(w, "balance for "+id+"\n")
}

// call sends requests at a steady rate from begin on.
func (l *quotaLog) call(wg *sync.WaitGroup, c *caller, name, key string, begin time.Time, perSecond float64) {
	defer wg.Done()
	defer c.close()
	step := time.Duration(float64(time.Second) / perSecond)
	for k := 0; ; k++ {
		at := begin.Add(time.Duration(k) * step)
		if at.After(begin.Add(quotaPlay)) {
			return
		}
		time.Sleep(time.Until(at))
		id := fmt.Sprintf("%s-%d", name, k)
		sent := time.Now()
		l.Lock()
		l.sent[id] = sent
		l.Unlock()
		status := "no answer"
		if c.send(2*time.Second, "/balance/1", id, key, 800, "") {
			if r, err := c.head(); err == nil {
				io.Copy(io.Discard, r.Body)
				status = fmt.Sprint(r.StatusCode)
				if r.Close {
					c.close()
				}
			} else {
				c.close()
			}
		}
		l.Lock()
		l.statuses[name[:5]+" "+status]++
		l.Unlock()
		if key == "key-of-small" {
			note("sent %s at %.3f: %s", id, sent.Sub(record.start).Seconds(), status)
		}
	}
}

// most returns how many requests were both sent and run within one window, at the most.
func (l *quotaLog) most() (most int) {
	sort.Slice(l.runs, func(i, j int) bool { return l.runs[i].sent.Before(l.runs[j].sent) })
	for i := range l.runs {
		count := 0
		for _, r := range l.runs[i:] {
			if r.run.Sub(l.runs[i].sent) <= quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
