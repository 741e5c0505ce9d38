// Package zones decides from the reports of many ingresses which zones of servers can't be reached from
// which zones of ingresses, and which ingresses are unhealthy. It does no I/O and reads no clock.
package zones

import "time"

// window is the time that a report covers. It is divided into slots, so that old results expire gradually.
const (
	window = 2 * time.Second
	slots  = 8
)

// Sum counts the results of attempts to one zone within the window.
type Sum struct {
	Ended      int `json:"n"` // attempts that ended, with or without an answer
	Failed     int `json:"f"` // of these: no connection, connection lost, timeout or error
	FailureRun int `json:"r"` // current run of consecutive failures, see Collector
}

// Report contains the observations of one ingress.
type Report struct {
	From   string          `json:"from"`
	Zone   string          `json:"zone"`
	Sums   map[string]Sum  `json:"sums"`            // by zone of the servers
	Probed map[string]bool `json:"tried,omitempty"` // by probed zone: whether a connection succeeded
}

// failureRun is a number of consecutive failed attempts, and the time of the last one.
type failureRun struct {
	n    int
	last time.Duration
}

// failureRunTTL is how long a failure run is reported after its last failure. It is longer than the window
// because an unresponsive zone gets few attempts, and each of them hangs.
const failureRunTTL = 10 * time.Second

// Collector counts the attempts of one ingress. Besides the counts of the window it keeps the run of failures
// of each zone, because a failing zone soon gets few attempts. It is not safe for concurrent use.
type Collector struct {
	slotStart    time.Duration // start of the current slot
	ring         [slots]map[string]Sum
	failureRuns  map[string]failureRun
	lastAnswer   map[string]time.Duration // time of the last successful answer, by zone
	readmittedAt map[string]time.Duration // when a zone was readmitted; earlier attempts are ignored
}

// advance moves the ring to the slot of the given time.
func (c *Collector) advance(now time.Duration) {
	step := window / slots
	if now-c.slotStart > 2*window {
		c.ring, c.slotStart = [slots]map[string]Sum{}, now
	}
	for now-c.slotStart >= step {
		copy(c.ring[1:], c.ring[:slots-1])
		c.ring[0] = nil
		c.slotStart += step
	}
}

// Forget drops the results of a zone that is readmitted. Attempts that were sent before now are ignored
// when they end, which may be late.
func (c *Collector) Forget(now time.Duration, zone string) {
	if c.readmittedAt == nil {
		c.readmittedAt = map[string]time.Duration{}
	}
	c.readmittedAt[zone] = now
	delete(c.failureRuns, zone)
	for _, slot := range c.ring {
		delete(slot, zone)
	}
}

// Ended records the end of an attempt that took the given time.
func (c *Collector) Ended(now time.Duration, zone string, failed bool, took time.Duration) {
	c.advance(now)
	if now-took < c.readmittedAt[zone] {
		return
	}
	if c.failureRuns == nil {
		c.failureRuns = map[string]failureRun{}
	}
	c.failureRuns[zone] = failureRun{c.failureRuns[zone].n + 1, now}
	if !failed {
		delete(c.failureRuns, zone)
		if c.lastAnswer == nil {
			c.lastAnswer = map[string]time.Duration{}
		}
		c.lastAnswer[zone] = now
	}
	if c.ring[0] == nil {
		c.ring[0] = map[string]Sum{}
	}
	s := c.ring[0][zone]
	s.Ended++
	if failed {
		s.Failed++
	}
	c.ring[0][zone] = s
}

// Hung records an attempt that has had no answer for the given time. If the zone has answered nothing at
// all in the last half of that time, it is unresponsive and the attempt counts as failed: it might hang
// until its client gives up. A zone that answers late is not unresponsive.
func (c *Collector) Hung(now time.Duration, zone string, took time.Duration) {
	if c.lastAnswer[zone] < now-took/2 { // most hanging attempts were sent shortly before the last answer
		c.Ended(now, zone, true, took)
	}
}

// Sums returns the counts of each zone within the window, with the current failure runs.
func (c *Collector) Sums(now time.Duration) map[string]Sum {
	c.advance(now)
	all := map[string]Sum{}
	for _, slot := range c.ring {
		for zone, s := range slot {
			a := all[zone]
			all[zone] = Sum{Ended: a.Ended + s.Ended, Failed: a.Failed + s.Failed}
		}
	}
	for zone, r := range c.failureRuns {
		if now-r.last > failureRunTTL {
			delete(c.failureRuns, zone)
			continue
		}
		s := all[zone]
		s.FailureRun = r.n
		all[zone] = s
	}
	return all
}
