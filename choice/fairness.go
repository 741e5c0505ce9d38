package choice

import (
	"maps"
	"math"
	"time"
)

const (
	// fairnessMemory is the decay time of the request counts of flows. In an overload of a few seconds only the
	// value of requests decides.
	fairnessMemory = 30 * time.Second
	// minShareRatio is the minimum share of a flow's requests that is sent, as a fraction of the share over all
	// flows. It is above the quarter that deployments guarantee, since some of the requests sent aren't served.
	minShareRatio = 0.33
	// minFlowRequests is the decayed count of requests below which a flow is removed.
	minFlowRequests = 0.01
)

// flow identifies the requests of one class and one plan, which have the same worth according to the
// settings.
type flow struct {
	class *class
	plan  *Plan
}

// requestCounts are exponentially decaying counts of requests.
type requestCounts struct {
	arrived, sent float64
}

// fairness keeps the flows of the lowest value from starving while backend capacity is short.
type fairness struct {
	all   requestCounts
	flows map[flow]*requestCounts
}

// noteArrival counts a request when it is admitted for the first time; further calls have no effect.
func (f *fairness) noteArrival(r *request) {
	if r.flowCounts != nil {
		return
	}
	key := flow{r.class, r.plan}
	r.flowCounts = f.flows[key]
	if r.flowCounts == nil {
		r.flowCounts = &requestCounts{}
		f.flows[key] = r.flowCounts
	}
	r.flowCounts.arrived++
	f.all.arrived++
}

// noteSent counts a request. It must be called only for its first attempt.
func (f *fairness) noteSent(r *request) {
	r.flowCounts.sent++
	f.all.sent++
}

// starves reports whether fewer of the flow's earlier requests were sent than its minimum share. The first
// request after a long time does not starve: behind many gateways most requests are the first.
func (f *fairness) starves(r *request) bool {
	return r.flowCounts.sent < minShareRatio*f.all.share()*(r.flowCounts.arrived-1)
}

// decay decays all counts by dt seconds, and removes flows without recent requests.
func (f *fairness) decay(dt float64) {
	factor := math.Exp(-dt / fairnessMemory.Seconds())
	f.all.decay(factor)
	for _, flow := range f.flows {
		flow.decay(factor)
	}
	maps.DeleteFunc(f.flows, func(_ flow, counts *requestCounts) bool {
		return counts.arrived < minFlowRequests
	})
}

// share returns the fraction of the requests that were sent, or 1 if there were none.
func (c *requestCounts) share() float64 {
	if c.arrived == 0 {
		return 1
	}
	return c.sent / c.arrived
}

// decay multiplies the counts by a factor.
func (c *requestCounts) decay(factor float64) {
	c.arrived *= factor
	c.sent *= factor
}
