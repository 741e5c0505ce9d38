package zones

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Link is how the ingresses of one zone fare with the servers of one zone.
type Link struct {
	Down  bool  `json:"down"`
	Since int64 `json:"since"` // Unix milliseconds of its last change
	Flaps int   `json:"flaps"` // times that it went down again soon after it came back
}

// Table is what the fleet does: it is decided in common.
type Table struct {
	Links map[string]Link `json:"links,omitempty"` // by From>To; one that is not there is up
	Ill   []string        `json:"ill,omitempty"`   // ingresses that take no clients
}

// Name is a link's.
func Name(from, to string) string { return from + ">" + to }

// Down are the zones that the ingresses of a zone are to leave alone.
func (t *Table) Down(from string) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(t.Links)) {
		if f, to, _ := strings.Cut(name, ">"); f == from && t.Links[name].Down {
			all = append(all, to)
		}
	}
	return all
}

// Figures of the decisions.
const (
	enough    = 5                // attempts that an ingress must have made to a zone for its word to count
	badRow    = 3                // or so many that failed one after the other
	badPart   = 0.7              // part of them that failed: the zone is down for it
	goodPart  = 0.3              // at the most, where it is well
	stale     = 3 * time.Second  // after which a report counts no more: the calm come every 2 s at the least
	restFirst = 3 * time.Second  // that a link stays down at the least: longer than a report reaches back
	restFlap  = 30 * time.Second // doubled by each flap: two changes in a minute are enough
	restMost  = 4 * time.Minute
	calm      = time.Minute                  // up for so long, and its flaps are forgotten
	settleFor = stale + 500*time.Millisecond // after a link came up: until then reports may be older than that
	illAfter  = time.Second                  // that it must look ill: one sees a zone's end before others
	illRest   = 3 * time.Second              // that an ingress stays ill at the least
)

// heard is a report and when it came.
type heard struct {
	Report
	at   time.Duration
	good map[string]time.Duration // since when all tries of a zone have gone well
	ill  time.Duration            // since when it looks ill; 0: it does not
}

// Decider is the leader's, and that of any ingress that may become one. It is for one goroutine.
type Decider struct {
	reports map[string]*heard
	ill     map[string]time.Duration // since when
}

// NewDecider returns one that has heard nothing.
func NewDecider() *Decider {
	return &Decider{reports: map[string]*heard{}, ill: map[string]time.Duration{}}
}

// reportsMost bounds the ingresses that are heard.
const reportsMost = 4096

// Hear takes a report.
func (d *Decider) Hear(now time.Duration, r Report) {
	old := d.reports[r.From]
	if old == nil && len(d.reports) >= reportsMost {
		return
	}
	h := &heard{Report: r, at: now, good: map[string]time.Duration{}}
	if old != nil {
		h.ill = old.ill
	}
	for zone, well := range r.Tried {
		if !well {
			continue
		}
		h.good[zone] = now
		if old != nil {
			if since, ok := old.good[zone]; ok {
				h.good[zone] = since
			}
		}
	}
	d.reports[r.From] = h
}

// Decide returns the table that should take the place of one, and why; "" if it should stay.
func (d *Decider) Decide(now time.Duration, t *Table) (*Table, string) {
	for name, h := range d.reports {
		if now-h.at > stale {
			delete(d.reports, name)
		}
	}
	next := &Table{Links: maps.Clone(t.Links), Ill: slices.Clone(t.Ill)}
	if next.Links == nil {
		next.Links = map[string]Link{}
	}
	ms := now.Milliseconds()
	// One step at a time: the first that is found.
	if why := d.illness(now, next); why != "" {
		return next, why
	}
	for _, from := range d.zones() {
		for _, to := range d.seen(from) {
			name := Name(from, to)
			l := next.Links[name]
			since := now - time.Duration(l.Since)*time.Millisecond
			switch {
			case !l.Down && (l.Since == 0 || since > settleFor) && d.bad(next, from, to):
				if l.Since > 0 && since < calm {
					l.Flaps++
				} else {
					l.Flaps = 0
				}
				next.Links[name] = Link{Down: true, Since: ms, Flaps: l.Flaps}
				return next, fmt.Sprintf("zone %s does not answer to zone %s: %s", to, from, d.who(next, from, to))
			case l.Down && since >= rest(l.Flaps) && d.back(now, next, from, to, rest(l.Flaps)/2):
				next.Links[name] = Link{Since: ms, Flaps: l.Flaps}
				for _, h := range d.reports { // what was seen before tells nothing
					if h.Zone == from {
						delete(h.Sums, to)
					}
				}
				return next, fmt.Sprintf("zone %s takes connections of zone %s again", to, from)
			}
		}
	}
	return t, ""
}

// rest is how long a link stays down at the least.
func rest(flaps int) time.Duration {
	if flaps == 0 {
		return restFirst
	}
	return min(restMost, restFlap<<min(flaps, 8))
}

func (d *Decider) zones() []string {
	all := map[string]bool{}
	for _, h := range d.reports {
		all[h.Zone] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// seen are the zones of servers that the ingresses of a zone have anything to say of.
func (d *Decider) seen(from string) []string {
	all := map[string]bool{}
	for _, h := range d.reports {
		if h.Zone == from {
			for to := range h.Sums {
				all[to] = true
			}
			for to := range h.Tried {
				all[to] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// The words of an ingress on a zone.
func (h *heard) bad(to string) bool { return h.Sums[to].Bad() }

// Bad reports that a zone is down, by this alone.
func (s Sum) Bad() bool {
	return s.Row >= badRow || s.Ended >= enough && float64(s.Failed) >= badPart*float64(s.Ended)
}

func (h *heard) well(to string) bool {
	s := h.Sums[to]
	return s.Ended >= enough && s.Row < badRow && float64(s.Failed) <= goodPart*float64(s.Ended)
}

// bad reports that more than half of a zone's ingresses that can tell, those that are ill left out, get no
// answer from a zone. One alone is not believed unless it is alone in its zone.
func (d *Decider) bad(t *Table, from, to string) bool {
	bad, tell, here := 0, 0, 0
	for name, h := range d.reports {
		if h.Zone != from || slices.Contains(t.Ill, name) {
			continue
		}
		here++
		if h.Sums[to].Ended < enough && !h.bad(to) {
			continue
		}
		tell++
		if h.bad(to) {
			bad++
		}
	}
	return 2*bad > tell && bad >= min(2, here)
}

// who names those by whose word a link is down.
func (d *Decider) who(t *Table, from, to string) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.reports)) {
		if h := d.reports[name]; h.Zone == from && h.bad(to) && !slices.Contains(t.Ill, name) {
			names = append(names, fmt.Sprintf("%s %d of %d failed", name, h.Sums[to].Failed, h.Sums[to].Ended))
		}
	}
	return strings.Join(names, ", ")
}

// back reports that whoever of a zone's ingresses tries a zone has reached it for so long, and somebody has.
func (d *Decider) back(now time.Duration, t *Table, from, to string, long time.Duration) bool {
	some := false
	for name, h := range d.reports {
		if _, tried := h.Tried[to]; !tried || h.Zone != from || slices.Contains(t.Ill, name) {
			continue
		}
		since, well := h.good[to]
		if !well || now-since < long {
			return false
		}
		some = true
	}
	return some
}

// illness finds an ingress that gets no answer from any zone while others do well with one of these, and
// one that has recovered.
func (d *Decider) illness(now time.Duration, next *Table) string {
	for _, name := range slices.Sorted(maps.Keys(d.reports)) {
		h := d.reports[name]
		i := slices.Index(next.Ill, name)
		switch looks := d.isIll(next, h); {
		case !looks:
			h.ill = 0
		case h.ill == 0:
			h.ill = now
		}
		if i < 0 && h.ill > 0 && now-h.ill >= illAfter && 2*(len(next.Ill)+1) < len(d.reports) {
			next.Ill = append(next.Ill, name)
			slices.Sort(next.Ill)
			d.ill[name] = now
			return fmt.Sprintf("ingress %s reaches no zone while others do", name)
		}
		if i >= 0 && now-d.ill[name] >= illRest && h.reaches(now, illRest/2) {
			next.Ill = slices.Delete(next.Ill, i, i+1)
			return fmt.Sprintf("ingress %s reaches all zones again", name)
		}
	}
	return ""
}

// reaches reports that an ingress has reached all zones that it tried for so long.
func (h *heard) reaches(now, long time.Duration) bool {
	for zone := range h.Tried {
		if since, well := h.good[zone]; !well || now-since < long {
			return false
		}
	}
	return len(h.Tried) > 0
}

func (d *Decider) isIll(t *Table, h *heard) bool {
	some, others := false, false
	for to, s := range h.Sums {
		if s.Ended < enough && !h.bad(to) || t.Links[Name(h.Zone, to)].Down {
			continue
		}
		if !h.bad(to) {
			return false
		}
		some = true
		for _, o := range d.reports {
			others = others || o != h && o.well(to)
		}
	}
	return some && others
}
