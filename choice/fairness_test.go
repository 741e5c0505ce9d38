package choice_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"dunespoke/choice"
)

// queueingServers are backends that process a limited number of requests concurrently and queue the others.
type queueingServers struct {
	serviceTime time.Duration
	slotFreeAt  [][]time.Duration // by server and slot
}

func newQueueingServers(count, slots int, serviceTime time.Duration) *queueingServers {
	servers := &queueingServers{serviceTime: serviceTime}
	for range count {
		servers.slotFreeAt = append(servers.slotFreeAt, make([]time.Duration, slots))
	}
	return servers
}

// answer returns the duration and the result of an attempt that is sent now.
func (q *queueingServers) answer(now time.Duration, _ int, s sendCall) (time.Duration, choice.Code) {
	slots := q.slotFreeAt[s.backend-1]
	next := 0
	for i, free := range slots {
		if free < slots[next] {
			next = i
		}
	}
	slots[next] = max(now, slots[next]) + q.serviceTime
	if took := slots[next] - now; took <= s.timeout {
		return took, choice.OK
	}
	return s.timeout, choice.TimedOut
}

// workload is a mix of requests of a low and a high value.
type workload struct {
	lowValue, highValue choice.Request // class and plan of the requests
	lowValueRatio       float64        // fraction of requests of the low value
	overloadFactor      float64        // rate of requests relative to the capacity of the servers
	gateways            int
	duration            time.Duration
}

// servedRatios runs a workload, and returns the fractions of the low value requests and of all requests that
// were neither refused nor failed. capacity is in requests per second.
func (f *simulation) servedRatios(load workload, capacity float64) (lowValueRatio, allRatio float64) {
	const step = 10 * ms
	rng := rand.New(rand.NewPCG(1, 2))
	isLowValue := map[uint64]bool{}
	lowValueRequests, due := 0.0, 0.0
	for now := step; now < load.duration; now += step {
		for due += load.overloadFactor * capacity * step.Seconds(); due >= 1; due-- {
			id := uint64(len(isLowValue) + 1)
			template := load.highValue
			if rng.Float64() < load.lowValueRatio {
				template = load.lowValue
				lowValueRequests++
				isLowValue[id] = true
			} else {
				isLowValue[id] = false
			}
			r := request(id, template.Class, template.Plan, 0.1, now)
			r.Customer = id
			f.gates[rng.IntN(len(f.gates))].Request(now, r)
		}
		f.advance(now)
	}
	lost, lostLowValue := 0.0, 0.0
	for id := range isLowValue {
		for _, e := range f.recorders {
			if _, refused := e.refused[id]; !refused && !e.failed[id] {
				continue
			}
			lost++
			if isLowValue[id] {
				lostLowValue++
			}
		}
	}
	return 1 - lostLowValue/lowValueRequests, 1 - lost/float64(len(isLowValue))
}

// Under overload, a flow whose requests have a lower value because of their class or plan, whether they are
// frequent or rare, is served at least a quarter as often as all requests. Sending by value only would refuse
// such a flow completely.
func TestNoFlowStarves(t *testing.T) {
	const servers, slots, work = 6, 2, 100 * ms
	capacity := servers * slots / work.Seconds()
	read, pay := choice.Request{Class: "read", Plan: "soft"}, choice.Request{Class: "pay", Plan: "soft"}
	cheapPlan := choice.Request{Class: "pay", Plan: "low"}
	for name, m := range map[string]workload{
		"low value class":                {read, pay, 0.5, 3, 3, 40 * time.Second},
		"low value class, high overload": {read, pay, 0.5, 8, 3, 40 * time.Second},
		"rare low value class":           {read, pay, 0.02, 3, 3, 40 * time.Second},
		"many gateways":                  {read, pay, 0.5, 3, 100, 40 * time.Second},
		"low value plan":                 {cheapPlan, pay, 0.3, 3, 3, 40 * time.Second},
		"low value plan, most requests":  {cheapPlan, pay, 0.9, 12, 3, 40 * time.Second},
	} {
		f := newSimulation(t, m.gateways, func(s *choice.Settings) {
			s.Gateways = m.gateways
			s.Plans = append(s.Plans, choice.Plan{Name: "low", Price: 0.2})
		}, manyBackends(servers))
		f.answer = newQueueingServers(servers, slots, work).answer
		lowValue, all := f.servedRatios(m, capacity)
		t.Logf("%s: %.3f of the low value requests and %.3f of all requests served", name, lowValue, all)
		if lowValue < all/4 {
			t.Errorf("%s: %.3f of the low value requests and %.3f of all requests served, want a quarter as many",
				name, lowValue, all)
		}
	}
}

// When backends answer late and each request at a gateway is the first of its class, some requests are
// refused immediately: a class with a single request does not count as starving.
func TestRareClassesAreShed(t *testing.T) {
	const requests = 800
	f := newSimulation(t, 1, func(s *choice.Settings) { s.Gateways = 300 }, manyBackends(60))
	f.answer = func(time.Duration, int, sendCall) (time.Duration, choice.Code) { return 950 * ms, choice.OK }
	refused := 0
	for i := range requests {
		now := time.Duration(i+1) * 10 * ms
		class := choice.Class{Name: strconv.Itoa(i), Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}
		f.gates[0].Class(now, class)
		r := request(uint64(i+1), class.Name, "soft", 0.1, now)
		r.Customer = r.ID
		f.gates[0].Request(now, r)
		if _, atOnce := f.recorders[0].refused[r.ID]; atOnce {
			refused++
		}
		f.advance(now)
	}
	t.Logf("%d of %d requests refused immediately", refused, requests)
	if refused < requests/10 {
		t.Errorf("%d of %d requests refused immediately while backends are slow, want a tenth", refused, requests)
	}
}
