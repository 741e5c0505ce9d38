// Package zones tells from many ingresses' reports which zones of servers can't be reached from where, and
// decides what the fleet does about it. It has no I/O and no clock.
package zones

import "time"

// window is how far back a report reaches. It is divided into slots, so that what is old drops out bit by
// bit.
const (
	window = 2 * time.Second
	slots  = 8
)

// Sum is what became of attempts to one zone within the window.
type Sum struct {
	Ended  int `json:"n"` // with an answer, or none
	Failed int `json:"f"` // no connection, cut off, timed out, or an error
	Row    int `json:"r"` // the last so many all failed: what fails is soon left alone
}

// Report is what one ingress has seen.
type Report struct {
	From  string          `json:"from"`
	Zone  string          `json:"zone"`
	Sums  map[string]Sum  `json:"sums"`            // by zone of servers
	Tried map[string]bool `json:"tried,omitempty"` // zones it tried to connect to: did it go well?
}

// row is how many attempts failed one after the other, and when the last did.
type row struct {
	n    int
	last time.Duration
}

// rowLasts is how long a row is told of, longer than the window: a zone that is silent is tried by few
// attempts, each of which hangs.
const rowLasts = 10 * time.Second

// Collector sums up one ingress's own attempts. It is for one goroutine.
type Collector struct {
	at   time.Duration // of the slot that is being filled
	ring [slots]map[string]Sum
	rows map[string]row
	last map[string]time.Duration // answers
	from map[string]time.Duration // zones that were let in again, and when: what was sent before tells nothing
}

// move goes on to the slot of a time.
func (c *Collector) move(now time.Duration) {
	step := window / slots
	if now-c.at > 2*window {
		c.ring, c.at = [slots]map[string]Sum{}, now
	}
	for now-c.at >= step {
		copy(c.ring[1:], c.ring[:slots-1])
		c.ring[0] = nil
		c.at += step
	}
}

// Forget begins anew with a zone that is let in. Attempts that were sent before still end, some of them late.
func (c *Collector) Forget(now time.Duration, zone string) {
	if c.from == nil {
		c.from = map[string]time.Duration{}
	}
	c.from[zone] = now
	delete(c.rows, zone)
	for _, slot := range c.ring {
		delete(slot, zone)
	}
}

// Ended takes the end of an attempt that took so long.
func (c *Collector) Ended(now time.Duration, zone string, failed bool, took time.Duration) {
	c.move(now)
	if now-took < c.from[zone] {
		return
	}
	if c.rows == nil {
		c.rows = map[string]row{}
	}
	c.rows[zone] = row{c.rows[zone].n + 1, now}
	if !failed {
		delete(c.rows, zone)
		if c.last == nil {
			c.last = map[string]time.Duration{}
		}
		c.last[zone] = now
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

// Hung takes an attempt that is still not answered, after so long. Where nothing at all was answered
// meanwhile the zone is silent, and the attempt counts as failed: it may hang until its client gives up. A
// zone that answers late is not silent.
func (c *Collector) Hung(now time.Duration, zone string, took time.Duration) {
	if c.last[zone] < now-took/2 { // most that hang were sent a little before the last answer
		c.Ended(now, zone, true, took)
	}
}

// Sums is what the window holds.
func (c *Collector) Sums(now time.Duration) map[string]Sum {
	c.move(now)
	all := map[string]Sum{}
	for _, slot := range c.ring {
		for zone, s := range slot {
			a := all[zone]
			all[zone] = Sum{Ended: a.Ended + s.Ended, Failed: a.Failed + s.Failed}
		}
	}
	for zone, r := range c.rows {
		if now-r.last > rowLasts {
			delete(c.rows, zone)
			continue
		}
		s := all[zone]
		s.Row = r.n
		all[zone] = s
	}
	return all
}
