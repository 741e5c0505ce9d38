package zones

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Link is the state of the connections from the ingresses of one zone to the servers of one zone.
type Link struct {
	Down  bool  `json:"down"`
	Since int64 `json:"since"` // Unix milliseconds of the last change
	Flaps int   `json:"flaps"` // number of times that it went down again soon after it came up
}

// Table is the state of all links and ingresses. The fleet agrees on it.
type Table struct {
	Links map[string]Link `json:"links,omitempty"` // by Name(from, to); an absent link is up
	Ill   []string        `json:"ill,omitempty"`   // unhealthy ingresses, which accept no clients
}

// Name returns the name of the link between two zones.
func Name(from, to string) string { return from + ">" + to }

// Down returns the zones that the ingresses of a zone must not send new requests to.
func (t *Table) Down(from string) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(t.Links)) {
		if f, to, _ := strings.Cut(name, ">"); f == from && t.Links[name].Down {
			all = append(all, to)
		}
	}
	return all
}

// Thresholds and times of the decisions.
const (
	// A report of an ingress on a zone counts from this number of attempts on, or with badFailureRun
	// consecutive failures.
	minAttempts   = 5
	badFailureRun = 3

	// An ingress sees a zone as down from this share of failed attempts on, and as healthy up to the other one.
	badFailureShare  = 0.7
	goodFailureShare = 0.3

	reportTTL = 3 * time.Second // ingresses without failures report at least every 2 s

	minDowntime  = 3 * time.Second  // of a link; longer than the window of a report
	flapDowntime = 30 * time.Second // minimum after a flap, doubled by each one: few changes in a minute
	maxDowntime  = 4 * time.Minute
	flapMemory   = time.Minute // a link that was up for so long has its flaps reset

	// After a link came up it stays up for this time: until then reports may contain older results.
	settleTime = reportTTL + 500*time.Millisecond

	// An ingress must look unhealthy for this time, because one ingress notices the failure of a zone before
	// the others do.
	unhealthyAfter   = time.Second
	minUnhealthyTime = 3 * time.Second // for which an ingress stays marked as unhealthy
)

// receivedReport is the latest report of an ingress with what follows from its earlier reports.
type receivedReport struct {
	Report
	receivedAt     time.Duration
	reachableSince map[string]time.Duration // by zone: since when all probes of it have succeeded
	unhealthySince time.Duration            // since when the ingress looks unhealthy; 0: it looks healthy
}

// Decider computes the next table from the received reports. Every ingress has one, because any may become
// the leader. It is not safe for concurrent use.
type Decider struct {
	reports        map[string]*receivedReport
	unhealthySince map[string]time.Duration // when the ingress was marked as unhealthy
}

// NewDecider returns a Decider without reports.
func NewDecider() *Decider {
	return &Decider{reports: map[string]*receivedReport{}, unhealthySince: map[string]time.Duration{}}
}

// maxReports limits the number of ingresses whose reports are kept.
const maxReports = 4096

// AddReport stores a report in place of the earlier one of the same ingress.
func (d *Decider) AddReport(now time.Duration, r Report) {
	old := d.reports[r.From]
	if old == nil && len(d.reports) >= maxReports {
		return
	}
	h := &receivedReport{Report: r, receivedAt: now, reachableSince: map[string]time.Duration{}}
	if old != nil {
		h.unhealthySince = old.unhealthySince
	}
	for zone, reachable := range r.Probed {
		if !reachable {
			continue
		}
		h.reachableSince[zone] = now
		if old != nil {
			if since, ok := old.reachableSince[zone]; ok {
				h.reachableSince[zone] = since
			}
		}
	}
	d.reports[r.From] = h
}

// Decide returns the table that should replace t, and the reason. If nothing should change, it returns t
// and an empty reason.
func (d *Decider) Decide(now time.Duration, t *Table) (*Table, string) {
	for name, h := range d.reports {
		if now-h.receivedAt > reportTTL {
			delete(d.reports, name)
		}
	}
	next := &Table{Links: maps.Clone(t.Links), Ill: slices.Clone(t.Ill)}
	if next.Links == nil {
		next.Links = map[string]Link{}
	}
	ms := now.Milliseconds()
	// Only the first change that is found is made; further calls find the others.
	if why := d.updateUnhealthy(now, next); why != "" {
		return next, why
	}
	for _, from := range d.reportingZones() {
		for _, to := range d.observedZones(from) {
			name := Name(from, to)
			l := next.Links[name]
			since := now - time.Duration(l.Since)*time.Millisecond
			switch {
			case !l.Down && (l.Since == 0 || since > settleTime) && d.linkDown(next, from, to):
				if l.Since > 0 && since < flapMemory {
					l.Flaps++
				} else {
					l.Flaps = 0
				}
				next.Links[name] = Link{Down: true, Since: ms, Flaps: l.Flaps}
				return next, fmt.Sprintf("zone %s does not answer to zone %s: %s", to, from,
					d.evidence(next, from, to))
			case l.Down && since >= minDowntimeAfter(l.Flaps) &&
				d.reachableAgain(now, next, from, to, minDowntimeAfter(l.Flaps)/2):
				next.Links[name] = Link{Since: ms, Flaps: l.Flaps}
				for _, h := range d.reports { // earlier observations no longer count
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

// minDowntimeAfter returns the minimum time that a link stays down after the given number of flaps.
func minDowntimeAfter(flaps int) time.Duration {
	if flaps == 0 {
		return minDowntime
	}
	return min(maxDowntime, flapDowntime<<min(flaps, 8))
}

// reportingZones returns the zones of the ingresses that have reported.
func (d *Decider) reportingZones() []string {
	all := map[string]bool{}
	for _, h := range d.reports {
		all[h.Zone] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// observedZones returns the zones of servers that reports of a zone's ingresses mention.
func (d *Decider) observedZones(from string) []string {
	all := map[string]bool{}
	for _, h := range d.reports {
		if h.Zone == from {
			for to := range h.Sums {
				all[to] = true
			}
			for to := range h.Probed {
				all[to] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// bad reports whether the ingress sees a zone as down.
func (h *receivedReport) bad(to string) bool { return h.Sums[to].Bad() }

// Bad reports whether these counts show a zone as down.
func (s Sum) Bad() bool {
	return s.FailureRun >= badFailureRun || s.Ended >= minAttempts &&
		float64(s.Failed) >= badFailureShare*float64(s.Ended)
}

// healthy reports whether the ingress has made enough attempts to a zone and few of them failed.
func (h *receivedReport) healthy(to string) bool {
	s := h.Sums[to]
	return s.Ended >= minAttempts && s.FailureRun < badFailureRun &&
		float64(s.Failed) <= goodFailureShare*float64(s.Ended)
}

// linkDown reports whether more than half of a zone's ingresses with enough attempts, not counting
// unhealthy ones, see zone to as down. A single ingress is not enough, unless it is the only one that
// reports from its zone.
func (d *Decider) linkDown(t *Table, from, to string) bool {
	bad, informed, reporting := 0, 0, 0
	for name, h := range d.reports {
		if h.Zone != from || slices.Contains(t.Ill, name) {
			continue
		}
		reporting++
		if h.Sums[to].Ended < minAttempts && !h.bad(to) {
			continue
		}
		informed++
		if h.bad(to) {
			bad++
		}
	}
	return 2*bad > informed && bad >= min(2, reporting)
}

// evidence lists the ingresses that see a link as down, with their counts.
func (d *Decider) evidence(t *Table, from, to string) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.reports)) {
		if h := d.reports[name]; h.Zone == from && h.bad(to) && !slices.Contains(t.Ill, name) {
			names = append(names, fmt.Sprintf("%s %d of %d failed", name, h.Sums[to].Failed,
				h.Sums[to].Ended))
		}
	}
	return strings.Join(names, ", ")
}

// reachableAgain reports whether every healthy ingress of zone from that probes zone to has reached it for
// the given time, and there is at least one.
func (d *Decider) reachableAgain(now time.Duration, t *Table, from, to string, minTime time.Duration) bool {
	probed := false
	for name, h := range d.reports {
		if _, tried := h.Probed[to]; !tried || h.Zone != from || slices.Contains(t.Ill, name) {
			continue
		}
		since, reachable := h.reachableSince[to]
		if !reachable || now-since < minTime {
			return false
		}
		probed = true
	}
	return probed
}

// updateUnhealthy marks an ingress as unhealthy if it gets no answer from any zone while others see one of
// these zones as healthy, or clears the mark of one that has recovered. It makes at most one change and
// returns the reason, or "".
func (d *Decider) updateUnhealthy(now time.Duration, next *Table) string {
	for _, name := range slices.Sorted(maps.Keys(d.reports)) {
		h := d.reports[name]
		i := slices.Index(next.Ill, name)
		switch unhealthy := d.isUnhealthy(next, h); {
		case !unhealthy:
			h.unhealthySince = 0
		case h.unhealthySince == 0:
			h.unhealthySince = now
		}
		if i < 0 && h.unhealthySince > 0 && now-h.unhealthySince >= unhealthyAfter &&
			2*(len(next.Ill)+1) < len(d.reports) {
			next.Ill = append(next.Ill, name)
			slices.Sort(next.Ill)
			d.unhealthySince[name] = now
			return fmt.Sprintf("ingress %s reaches no zone while others do", name)
		}
		if i >= 0 && now-d.unhealthySince[name] >= minUnhealthyTime && h.reachesAll(now, minUnhealthyTime/2) {
			next.Ill = slices.Delete(next.Ill, i, i+1)
			return fmt.Sprintf("ingress %s reaches all zones again", name)
		}
	}
	return ""
}

// reachesAll reports whether an ingress probes any zones and has reached all of them for the given time.
func (h *receivedReport) reachesAll(now, minTime time.Duration) bool {
	for zone := range h.Probed {
		if since, reachable := h.reachableSince[zone]; !reachable || now-since < minTime {
			return false
		}
	}
	return len(h.Probed) > 0
}

// isUnhealthy reports whether an ingress sees every zone with enough attempts as down while another
// ingress sees one of them as healthy. Links that are already down don't count.
func (d *Decider) isUnhealthy(t *Table, h *receivedReport) bool {
	anyBad, othersHealthy := false, false
	for to, s := range h.Sums {
		if s.Ended < minAttempts && !h.bad(to) || t.Links[Name(h.Zone, to)].Down {
			continue
		}
		if !h.bad(to) {
			return false
		}
		anyBad = true
		for _, o := range d.reports {
			othersHealthy = othersHealthy || o != h && o.healthy(to)
		}
	}
	return anyBad && othersHealthy
}
