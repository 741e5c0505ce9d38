package rig

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// fault brings about a fault as often as its file says, and ends it each time.
func (r *Rig) fault(ctx context.Context, f *Fault, rng *rand.Rand) {
	for i := range max(1, f.Times) {
		at := time.Duration(f.At) + time.Duration(i)*time.Duration(f.Every)
		if sleep(ctx, time.Until(r.begun.Add(at))); ctx.Err() != nil {
			return
		}
		r.note(fmt.Sprintf("%s %s %s begins", f.Do, f.On, f.To))
		end := r.begin(ctx, f, rng)
		if f.For > 0 {
			sleep(ctx, time.Duration(f.For))
		} else {
			<-ctx.Done()
		}
		if end != nil {
			end()
		}
		if f.For > 0 {
			r.note(fmt.Sprintf("%s %s %s ends", f.Do, f.On, f.To))
		}
	}
}

// begin begins a fault, and returns what ends it.
func (r *Rig) begin(ctx context.Context, f *Fault, rng *rand.Rand) (end func()) {
	on := r.targets(f.On)
	var ends []func()
	all := func() {
		for _, end := range ends {
			end()
		}
	}
	switch f.Do {
	case "cut", "cut-oneway", "lose", "delay":
		return r.linkFault(f, on)
	case "stale":
		r.list.delay(f.delay)
		return func() { r.list.delay(0) }
	}
	if f.Share > 0 {
		rng.Shuffle(len(on), func(i, j int) { on[i], on[j] = on[j], on[i] })
		if f.Do != "fail" {
			on = on[:int(math.Ceil(f.Share*float64(len(on))))]
		}
	}
	if f.Do == "restart" {
		r.rolling(ctx, f, on)
		return nil
	}
	_, zone, named := strings.Cut(f.On, ":")
	if named && (f.Do == "kill" || f.Do == "silent" || f.Do == "stop") {
		r.seen.gone(zone)
	}
	for _, a := range on {
		if a.kind != someClients {
			a.hurt(true)
			undo := r.one(f, a)
			ends = append(ends, func() { undo(); a.hurt(false) })
		}
	}
	r.refresh()
	return func() { all(); r.refresh() }
}

// one does to one actor what the fault says.
func (r *Rig) one(f *Fault, a *actor) (undo func()) {
	switch {
	case f.Do == "silent" || f.Do == "stop" && a.kind != anIngress:
		return r.cutOff(a)
	case f.Do == "kill" && a.kind == anIngress:
		a.live.Store(false)
		a.process().kill()
		return func() {
			if r.ctx.Err() == nil {
				if err := r.launch(a); err != nil {
					r.note(err.Error())
				}
			}
		}
	case f.Do == "kill" && a.kind == aServer:
		r.end1(a.server)
		return func() { r.again(a.server) }
	case f.Do == "stop":
		a.process().signal(syscall.SIGSTOP)
		return func() { a.process().signal(syscall.SIGCONT) }
	case f.Do == "slow" && a.kind == aServer:
		return a.server.tune(func(s *server) { s.slow *= f.factor }, func(s *server) { s.slow /= f.factor })
	case f.Do == "slow" && a.kind == theCounter:
		r.counter.delay(f.delay)
		return func() { r.counter.delay(0) }
	case f.Do == "fail" && a.kind == aServer:
		share := f.Share
		if share == 0 {
			share = 1
		}
		return a.server.tune(func(s *server) { s.fail = share }, func(s *server) { s.fail = 0 })
	case f.Do == "kill" && a.kind == theCounter:
		return r.cutOff(a)
	}
	r.note(fmt.Sprintf("%s does nothing to %s", f.Do, a.name))
	return func() {}
}

func (a *actor) process() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proc
}

func (s *server) tune(set, back func(*server)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(s)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		back(s)
	}
}

// end1 ends a server at once; the list hears of it later.
func (r *Rig) end1(s *server) {
	s.kill()
	r.list.tell(s.entry("Gone"), time.Now().Add(time.Duration(s.set.Tell)))
}

// again starts a server that had ended, cold.
func (r *Rig) again(s *server) {
	if r.ctx.Err() != nil || s.a.live.Load() {
		return
	}
	if err := s.start(true); err != nil {
		r.note(err.Error())
		return
	}
	r.list.tell(s.entry("Ready"), time.Now().Add(time.Duration(s.set.Tell)/2))
}

// fall ends a cold server that was pushed over; it comes back some time later.
func (r *Rig) fall(s *server) {
	s.a.hurt(true)
	r.end1(s)
	r.refresh()
	sleep(r.ctx, 3*time.Second)
	r.again(s)
	s.a.hurt(false)
	r.refresh()
}

// cutOff takes all links of an actor away: nothing it sends arrives, and nothing arrives at it.
func (r *Rig) cutOff(a *actor) func() {
	var mine []*link
	for _, b := range r.all {
		if a != b {
			mine = append(mine, r.link(a, b), r.link(b, a))
		}
	}
	for _, l := range mine {
		l.cut(true)
	}
	return func() {
		for _, l := range mine {
			l.cut(false)
		}
	}
}

// linkFault does something to all links between two sets; without the second, between the first and the rest.
func (r *Rig) linkFault(f *Fault, on []*actor) func() {
	in := map[*actor]bool{}
	for _, a := range on {
		in[a] = true
	}
	to := r.targets(f.To)
	if f.To == "" {
		for _, a := range r.all {
			if !in[a] {
				to = append(to, a)
			}
		}
	}
	var all []*link
	for _, a := range on {
		for _, b := range to {
			if a == b {
				continue
			}
			all = append(all, r.link(a, b))
			if f.Do != "cut-oneway" {
				all = append(all, r.link(b, a))
			}
		}
	}
	set := func(on bool) {
		for _, l := range all {
			switch {
			case f.Do == "cut" || f.Do == "cut-oneway":
				l.cut(on)
			case on:
				l.set(f.Share, f.delay)
			default:
				l.set(0, 0)
			}
			l.touch()
		}
		r.refresh()
	}
	set(true)
	return func() { set(false) }
}

// rolling restarts actors one by one, within the fault's time.
func (r *Rig) rolling(ctx context.Context, f *Fault, on []*actor) {
	step := time.Duration(f.For) / time.Duration(max(1, len(on)))
	for _, a := range on {
		if ctx.Err() != nil {
			return
		}
		began := time.Now()
		a.hurt(true)
		switch a.kind {
		case anIngress:
			a.process().stop(5 * time.Second)
			if err := r.launch(a); err != nil {
				r.note(err.Error())
			}
			for !r.healthy(ctx, r.clients[a.zone], a) && ctx.Err() == nil {
				sleep(ctx, 20*time.Millisecond)
			}
		case aServer:
			r.list.tell(a.server.entry("Terminating"), time.Now())
			sleep(ctx, 1500*time.Millisecond)
			r.end1(a.server)
			r.refresh()
			r.again(a.server)
			r.refresh()
		case theCounter:
			r.counter.empty()
		}
		a.hurt(false)
		sleep(ctx, step-time.Since(began))
	}
}
