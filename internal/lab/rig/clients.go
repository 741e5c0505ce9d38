package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// class is what clients ask for, by the figures of the platform's site.
type class struct {
	name   string
	part   float64
	aim    time.Duration
	giveUp time.Duration
}

var classes = []class{
	{"enquiry", 0.59, 1200 * time.Millisecond, 4 * time.Second},
	{"transfer", 0.24, 1200 * time.Millisecond, 4 * time.Second},
	{"withdrawal", 0.17, 800 * time.Millisecond, 3 * time.Second},
}

// tries is how often a client asks in all.
const tries = 3

// load has clients ask until the context ends: arrivals are Poisson, and wait for nobody.
func (r *Rig) load(ctx context.Context, asks *sync.WaitGroup) {
	f := newFront(r)
	go f.watch(ctx)
	rng := rand.New(rand.NewPCG(r.sc.Seed, 11))
	next := r.begun
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.sc.Load.Rate * float64(time.Second)))
		if sleep(ctx, time.Until(next)); ctx.Err() != nil {
			return
		}
		c := r.judge.pick(rng)
		x, n := rng.Float64(), 0
		for n < len(classes)-1 && x > classes[n].part {
			x -= classes[n].part
			n++
		}
		inside := c.inside(time.Now())
		a := &asking{f: f, c: c, class: &classes[n], start: time.Now(), key: rng.Uint64(), rng: rng.Uint64()}
		asks.Go(func() { r.judge.done(a.ask(r.ctx), a, inside) })
	}
}

// front spreads clients over the ingresses of their set, and leaves out those that fail their checks.
type front struct {
	r      *Rig
	client http.Client
	down   map[string][]*atomic.Int32 // by zone of clients, by ingress: checks failed in a row
}

func newFront(r *Rig) *front {
	f := &front{r: r, down: map[string][]*atomic.Int32{}}
	f.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 4096,
		IdleConnTimeout: time.Second,
		DialContext:     (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}
	f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for zone := range r.clients {
		for range r.ingresses {
			f.down[zone] = append(f.down[zone], &atomic.Int32{})
		}
	}
	return f
}

// watch checks each ingress from each zone once a second.
func (f *front) watch(ctx context.Context) {
	for zone, down := range f.down {
		for i, n := range down {
			go func() {
				for ctx.Err() == nil {
					if f.r.healthy(ctx, f.r.clients[zone], f.r.ingresses[i]) {
						n.Store(0)
					} else {
						n.Add(1)
					}
					sleep(ctx, time.Second)
				}
			}()
		}
	}
}

// choose finds an ingress for a customer: of its set, else of its zone, its region, or any.
func (f *front) choose(c *customer, rng *rand.Rand, not *actor) *actor {
	down := f.down[c.zone]
	all := f.r.ingresses
	for _, level := range []func(*actor) bool{
		func(a *actor) bool { return (a.number-c.first+len(all))%len(all) < c.spread },
		func(a *actor) bool { return a.zone == c.zone },
		func(a *actor) bool { return a.region == f.r.clients[c.zone].region },
		func(a *actor) bool { return true },
	} {
		var good []*actor
		for _, a := range all {
			if level(a) && down[a.number].Load() < 2 && a != not {
				good = append(good, a)
			}
		}
		if len(good) > 0 {
			return good[rng.IntN(len(good))]
		}
	}
	return all[rng.IntN(len(all))]
}

// asking is one client's wish, through all its tries.
type asking struct {
	f     *front
	c     *customer
	class *class
	start time.Time
	key   uint64
	rng   uint64
}

// How an asking or a try of it ended.
const (
	served = iota
	late
	refused
	failed
	broken // no answer, for a reason of the rig's own
	lost   // no answer, for none
	unsent // no connection
)

func (a *asking) ask(ctx context.Context) int {
	rng := rand.New(rand.NewPCG(a.rng, 3))
	var last *actor
	end := failed
	for n := range tries {
		at := a.f.choose(a.c, rng, last)
		var wait time.Duration
		end, wait = a.try(ctx, at, rng, n > 0)
		last = at
		switch {
		case end == served:
			if time.Since(a.start) > a.class.aim {
				return late
			}
			return served
		case end == lost:
			return lost
		case a.class.name == "withdrawal" && (end == failed || end == broken):
			return end // it may have run
		case end == unsent:
			a.f.down[a.c.zone][at.number].Add(1)
		}
		if n < tries-1 {
			sleep(ctx, max(wait, time.Duration(a.f.r.sc.Load.Wait)))
		}
	}
	return end
}

// try is one request. Its client waits half a second longer than it says, to see whether it is lost or late.
func (a *asking) try(ctx context.Context, at *actor, rng *rand.Rand, again bool) (end int,
	wait time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, a.class.giveUp+500*time.Millisecond)
	defer cancel()
	method := "POST"
	if a.class.name == "enquiry" {
		method = "GET"
	}
	from := a.f.r.clients[a.c.zone]
	door := a.f.r.doors[from][at]
	url := fmt.Sprintf("http://%s/%s?account=%016x", door.addr, a.class.name, a.c.id)
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return failed, 0
	}
	txn := fmt.Sprintf("%016x", rng.Uint64())
	req.Header.Set("X-Txn", txn)
	req.Header.Set("X-Lane", a.class.name)
	req.Header.Set("X-Contract", a.c.plan.name)
	req.Header.Set("X-Remaining", strconv.FormatFloat(a.class.giveUp.Seconds(), 'f', 3, 64))
	req.Header.Set("X-Metering", fmt.Sprintf("units=1,spread=%d,first=%d", a.c.spread, a.c.first))
	if a.class.name == "transfer" {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", a.key))
	}
	if again {
		req.Header.Set("X-Resent", "1")
	}
	resp, err := a.f.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), txn+"\n") {
			return lost, 0 // an answer that no app server made for it
		}
	}
	if err != nil {
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return unsent, 0
		case at.well(began) && door.there.well(began) && door.back.well(began) && a.f.r.ctx.Err() == nil:
			a.f.r.note(fmt.Sprintf("lost: %s at %s after %v: %v", a.class.name, at.name, time.Since(began), err))
			return lost, 0
		}
		return broken, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	wait = time.Duration(min(seconds, 2) * float64(time.Second))
	switch resp.StatusCode {
	case http.StatusOK:
		return served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refused, wait
	}
	return failed, wait
}
