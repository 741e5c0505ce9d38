package choice_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"dunespoke/choice"
)

// queueingServers are backends that work on a few requests at a time each, and queue the others.
type queueingServers struct {
	work     time.Duration
	freeFrom [][]time.Duration // of each server and slot
}

func newQueueingServers(count, slots int, work time.Duration) *queueingServers {
	servers := &queueingServers{work: work}
	for range count {
		servers.freeFrom = append(servers.freeFrom, make([]time.Duration, slots))
	}
	return servers
}

// answer tells when an attempt ends, and how.
func (q *queueingServers) answer(now time.Duration, _ int, s sent) (time.Duration, choice.Code) {
	slots := q.freeFrom[s.backend-1]
	next := 0
	for i, free := range slots {
		if free < slots[next] {
			next = i
		}
	}
	slots[next] = max(now, slots[next]) + q.work
	if took := slots[next] - now; took <= s.timeout {
		return took, choice.OK
	}
	return s.timeout, choice.TimedOut
}

// mix is requests of two kinds that come to servers for a while.
type mix struct {
	cheap, dear choice.Request // class and plan of each kind
	cheapPart   float64        // of the requests that are of the cheap kind
	overload    float64        // times what the servers can do
	gateways    int
	length      time.Duration
}

// served is the part of the cheap kind and of all requests that got an answer.
func (f *fleet) served(m mix, capacity float64) (cheap, all float64) {
	const step = 10 * ms
	rng := rand.New(rand.NewPCG(1, 2))
	isCheap := map[uint64]bool{}
	askedCheap, due := 0.0, 0.0
	for now := step; now < m.length; now += step {
		for due += m.overload * capacity * step.Seconds(); due >= 1; due-- {
			id := uint64(len(isCheap) + 1)
			kind := m.dear
			if rng.Float64() < m.cheapPart {
				kind = m.cheap
				askedCheap++
				isCheap[id] = true
			} else {
				isCheap[id] = false
			}
			r := request(id, kind.Class, kind.Plan, 0.1, now)
			r.Customer = id
			f.gates[rng.IntN(len(f.gates))].Request(now, r)
		}
		f.step(now)
	}
	lost, lostCheap := 0.0, 0.0
	for id := range isCheap {
		for _, e := range f.worlds {
			if _, refused := e.refused[id]; !refused && !e.failed[id] {
				continue
			}
			lost++
			if isCheap[id] {
				lostCheap++
			}
		}
	}
	return 1 - lostCheap/askedCheap, 1 - lost/float64(len(isCheap))
}

// Given servers that are asked for a multiple of what they can do, when one kind of request is worth less
// than the others, by its class or by its plan, whether it is asked for often or seldom, then it is
// served at least a quarter as often as all. The servers' own choice of the dearest work would refuse it
// altogether.
func TestNoKindOfRequestStarves(t *testing.T) {
	const servers, slots, work = 6, 2, 100 * ms
	capacity := servers * slots / work.Seconds()
	read, pay := choice.Request{Class: "read", Plan: "soft"}, choice.Request{Class: "pay", Plan: "soft"}
	lowPriority := choice.Request{Class: "pay", Plan: "low"}
	for name, m := range map[string]mix{
		"a cheap class":               {read, pay, 0.5, 3, 3, 40 * time.Second},
		"a cheap class, far too much": {read, pay, 0.5, 8, 3, 40 * time.Second},
		"a rare class":                {read, pay, 0.02, 3, 3, 40 * time.Second},
		"behind many gateways":        {read, pay, 0.5, 3, 100, 40 * time.Second},
		"a cheap plan":                {lowPriority, pay, 0.3, 3, 3, 40 * time.Second},
		"a cheap plan for the most":   {lowPriority, pay, 0.9, 12, 3, 40 * time.Second},
	} {
		f := newFleet(t, m.gateways, func(s *choice.Settings) {
			s.Gateways = m.gateways
			s.Plans = append(s.Plans, choice.Plan{Name: "low", Price: 0.2})
		}, manyBackends(servers))
		f.answer = newQueueingServers(servers, slots, work).answer
		cheap, all := f.served(m, capacity)
		t.Logf("%s: %.3f of it and %.3f of all served", name, cheap, all)
		if cheap < all/4 {
			t.Errorf("%s: %.3f of it and %.3f of all served", name, cheap, all)
		}
	}
}

// Given servers that answer late, behind one gateway of many, when each request is the first of its class for
// long, then some are refused at once all the same: no class is known well enough there to starve.
func TestRareKindsAreShedToo(t *testing.T) {
	const requests = 800
	f := newFleet(t, 1, func(s *choice.Settings) { s.Gateways = 300 }, manyBackends(60))
	f.answer = func(time.Duration, int, sent) (time.Duration, choice.Code) { return 950 * ms, choice.OK }
	refused := 0
	for i := range requests {
		now := time.Duration(i+1) * 10 * ms
		class := choice.Class{Name: strconv.Itoa(i), Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}
		f.gates[0].Class(now, class)
		r := request(uint64(i+1), class.Name, "soft", 0.1, now)
		r.Customer = r.ID
		f.gates[0].Request(now, r)
		if _, atOnce := f.worlds[0].refused[r.ID]; atOnce {
			refused++
		}
		f.step(now)
	}
	t.Logf("%d of %d requests refused at once", refused, requests)
	if refused < requests/10 {
		t.Errorf("%d of %d requests refused at once by a late fleet", refused, requests)
	}
}
