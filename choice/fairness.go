package choice

import (
	"maps"
	"math"
	"time"
)

const (
	// fairnessMemory is how long requests count in the shares of their flows: an overload of a few seconds goes
	// by worth alone.
	fairnessMemory = 30 * time.Second
	// leastShare is the part of the share of all requests that are sent, to which each flow is entitled. It is
	// above the quarter that a deployment is held to, since a part of what is sent isn't served.
	leastShare = 0.33
	// fewestRequests is the decayed count of requests under which a flow is forgotten.
	fewestRequests = 0.01
)

// flow is the requests of one class and one plan: what is worth the same by the settings.
type flow struct {
	class *class
	plan  *Plan
}

// admissions counts requests, each less as time goes by.
type admissions struct {
	asked, sent float64
}

// fairness keeps the flows that are worth least from being refused for good while servers are short.
type fairness struct {
	all   admissions
	flows map[flow]*admissions
}

// noteAsked counts a request that may be sent, once.
func (f *fairness) noteAsked(r *request) {
	if r.flow != nil {
		return
	}
	key := flow{r.class, r.plan}
	r.flow = f.flows[key]
	if r.flow == nil {
		r.flow = &admissions{}
		f.flows[key] = r.flow
	}
	r.flow.asked++
	f.all.asked++
}

// noteSent counts a request whose first attempt is sent.
func (f *fairness) noteSent(r *request) {
	r.flow.sent++
	f.all.sent++
}

// starves says that fewer of the requests of its flow before this one were sent than it is entitled to. The
// first one for long doesn't starve: behind many gateways most are.
func (f *fairness) starves(r *request) bool {
	return r.flow.sent < leastShare*f.all.share()*(r.flow.asked-1)
}

// fade lets dt seconds go by, and forgets flows that are not asked for any more.
func (f *fairness) fade(dt float64) {
	part := math.Exp(-dt / fairnessMemory.Seconds())
	f.all.fade(part)
	for _, flow := range f.flows {
		flow.fade(part)
	}
	maps.DeleteFunc(f.flows, func(_ flow, counts *admissions) bool { return counts.asked < fewestRequests })
}

// share is the part of the requests that were sent.
func (a *admissions) share() float64 {
	if a.asked == 0 {
		return 1
	}
	return a.sent / a.asked
}

func (a *admissions) fade(part float64) {
	a.asked *= part
	a.sent *= part
}
