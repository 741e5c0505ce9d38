// Package steer decides how an ingress handles zones: it replicates the common record, reports observed
// failures to the leader, makes the decisions if it is the leader, and derives from the agreed record what
// this ingress does with its traffic. It does no I/O and reads no clock.
package steer

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"dunespoke/fleet/common"
	"dunespoke/fleet/zones"
)

// Keys of the record: the table of zones and the operators' orders.
const (
	ZonesKey  = "zones"
	OrdersKey = "orders"
)

// Intervals and limits for reports and decisions about zones. The node calls Report every reportEvery.
const (
	reportEvery        = 250 * time.Millisecond
	probersPerZone     = 2               // ingresses of a zone that probe a zone that is down
	proposalTimeout    = 2 * time.Second // time after which an undecided table is proposed again
	healthyReportEvery = time.Second     // report interval of an ingress that sees no failures
	healthyReporters   = 3               // ingresses of a zone that report although they see no failures
	fullRateZones      = 6               // with more zones each ingress reports less often, see reportInterval
)

// reportMark is the first byte of a report; messages of the common record begin with a brace.
const reportMark = 'R'

// Peer is a member with its zone.
type Peer struct {
	common.Peer
	Zone string
}

// Course says how an ingress handles its traffic.
type Course struct {
	Down        []string // zones whose servers get no new requests
	Ill         bool     // it reaches no zone, and accepts no clients
	Independent bool     // the record is neither agreed nor held: the ingress acts on its own observations
	Epoch       uint64   // epoch of the decision behind it
	By, Why     string   // proposer of that decision and its reason
}

// Steer is the decision state of one ingress. It is not safe for concurrent use.
type Steer struct {
	*common.Machine
	name, zone string

	peers        []Peer
	decider      *zones.Decider
	table        *zones.Table
	tableEpoch   uint64 // epoch of the table
	orders       *zones.Orders
	ordersEpoch  uint64 // epoch of the orders
	course       Course
	lastReport   time.Duration
	lastSent     time.Duration // last report to the leader
	failingSince time.Duration // when failures began; 0: there are none
	lastFollow   time.Duration // when Follow last recomputed the course
	proposalID   string        // ID of the pending change; empty if there is none
	proposedAt   time.Duration

	outgoing []common.Message
	errs     []error
}

// New returns the state of an ingress in a zone, at a Unix time.
func New(c common.Config, zone string, now time.Duration) *Steer {
	return &Steer{Machine: common.New(c, now), name: c.Name, zone: zone, decider: zones.NewDecider(),
		table: &zones.Table{}, orders: &zones.Orders{}, course: Course{Independent: true}, lastSent: now}
}

// Take returns the messages queued for sending since the last call.
func (s *Steer) Take() []common.Message {
	out := append(s.Machine.Take(), s.outgoing...)
	s.outgoing = nil
	return out
}

// Err returns the internal errors since the last call.
func (s *Steer) Err() error {
	err := errors.Join(append(s.errs, s.Machine.Err())...)
	s.errs = nil
	return err
}

// Course returns how traffic is handled now, as of the last call of Follow.
func (s *Steer) Course() Course { return s.course }

// Peers replaces the list of members by the present view of the membership.
func (s *Steer) Peers(list []Peer) {
	s.peers = list
	members := make([]common.Peer, len(list))
	for i, p := range list {
		members[i] = p.Peer
	}
	s.Machine.Peers(members)
}

// Step processes a message from a member: a report, or a message of the common record.
func (s *Steer) Step(now time.Duration, from string, data []byte) error {
	if len(data) == 0 || data[0] != reportMark {
		return s.Machine.Step(now, from, data)
	}
	var r zones.Report
	if err := json.Unmarshal(data[1:], &r); err != nil {
		return fmt.Errorf("report from %s: %w", from, err)
	}
	r.From = from // the authenticated sender, whatever the report says
	s.decider.AddReport(now, r)
	return nil
}

// Due reports whether it is time to call Report.
func (s *Steer) Due(now time.Duration) bool { return now-s.lastReport >= reportEvery }

// reportInterval returns the time between two reports. On failures the first ingress of a zone, by name,
// reports most often, and the others less and less: a few reports are enough for a decision, but any of the
// ingresses may be the unhealthy one. If none are seen, only healthyReporters ingresses of a zone report.
// With more than fullRateZones zones the interval grows, up to double, because the leader reads all reports.
func (s *Steer) reportInterval(failing bool) time.Duration {
	rank, zones := 0, map[string]bool{}
	for _, p := range s.peers {
		if p.Alive {
			zones[p.Zone] = true
			if p.Zone == s.zone && p.Name < s.name {
				rank++
			}
		}
	}
	factor := min(2, max(1, float64(len(zones))/fullRateZones))
	switch {
	case failing:
		return time.Duration(factor * (1 + float64(rank)/2) * float64(reportEvery))
	case rank < healthyReporters:
		return time.Duration(factor * float64(healthyReportEvery))
	}
	return time.Hour
}

// Report sends the observations of this ingress to the leader, if its report interval has elapsed. New
// failures must have lasted for a quarter of the interval. If this ingress is the leader, it processes its
// observations itself and may propose a new table.
func (s *Steer) Report(now time.Duration, sums map[string]zones.Sum, probed map[string]bool) {
	s.lastReport = now
	r := zones.Report{From: s.name, Zone: s.zone, Sums: sums, Probed: probed}
	if s.Leads(now) {
		s.decider.AddReport(now, r)
		s.decide(now)
		return
	}
	failing := len(probed) > 0 || s.course.Ill
	for _, sum := range sums {
		failing = failing || sum.Bad()
	}
	switch {
	case !failing:
		s.failingSince = 0
	case s.failingSince == 0:
		s.failingSince = now
	}
	wait := s.reportInterval(failing)
	early := now-s.lastSent < wait || failing && now-s.failingSince < wait/4
	if early || s.Leader() == "" || s.Leader() == s.name {
		return
	}
	s.lastSent = now
	data, err := json.Marshal(r)
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	s.outgoing = append(s.outgoing, common.Message{To: s.Leader(), Data: append([]byte{reportMark}, data...)})
}

// decide proposes a new table if the reports require one. Only one proposal is pending at a time, and none
// is made while operators hold the table.
func (s *Steer) decide(now time.Duration) {
	if s.proposalID != "" {
		if _, done := s.Record().Done(s.proposalID); !done && now-s.proposedAt < proposalTimeout {
			return
		}
		s.Forget(s.proposalID)
		s.proposalID = ""
	}
	if s.orders.Held(now) {
		return
	}
	next, why := s.decider.Decide(now, s.table)
	if why == "" {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	s.proposalID, s.proposedAt = fmt.Sprintf("%s-zones-%x", s.name, now), now
	s.Propose(now, common.Change{ID: s.proposalID, Key: ZonesKey, Base: s.tableEpoch, Value: value,
		By: s.name, Why: why, At: now.Milliseconds()})
}

// Follow derives the course from the table and the orders, as long as the record is agreed or held, and
// reports whether the course changed. Because orders expire, it is recomputed at least every reportEvery.
func (s *Steer) Follow(now time.Duration) (changed bool) {
	r, standing := s.Record(), s.Standing(now)
	e, o := r.Entries[ZonesKey], r.Entries[OrdersKey]
	independent := standing != common.Agreed && standing != common.Held
	unchanged := e.Epoch == s.tableEpoch && o.Epoch == s.ordersEpoch && independent == s.course.Independent
	if unchanged && now-s.lastFollow < reportEvery {
		return false
	}
	s.lastFollow = now
	if !unchanged {
		s.table, s.orders = &zones.Table{}, &zones.Orders{}
		s.tableEpoch, s.ordersEpoch = e.Epoch, o.Epoch
		if err := errors.Join(Read(e, s.table), Read(o, s.orders)); err != nil {
			s.errs = append(s.errs, fmt.Errorf("table of zones: %w", err))
		}
	}
	next := Course{Independent: independent, Epoch: max(e.Epoch, o.Epoch), By: e.By, Why: e.Why}
	if o.Epoch > e.Epoch {
		next.By, next.Why = o.By, o.Why
	}
	if !independent {
		next.Down = append(s.table.Down(s.zone), s.orders.Evacuated(now)...)
		slices.Sort(next.Down)
		next.Down = slices.Compact(next.Down)
		next.Ill = slices.Contains(s.table.Ill, s.name)
	}
	changed = !unchanged || !slices.Equal(next.Down, s.course.Down)
	s.course = next
	return changed
}

// Read decodes the value of an entry into the given variable, which stays as it is if the entry is absent.
func Read(e common.Entry, into any) error {
	if e.Epoch == 0 {
		return nil
	}
	return json.Unmarshal(e.Value, into)
}

// ZonesToProbe returns the zones that this ingress should probe with connections: those that are down for
// its zone, if it is among the first probersPerZone healthy ingresses of the zone. For an unhealthy ingress
// all is true: it probes every zone.
func (s *Steer) ZonesToProbe() (down []string, all bool) {
	if s.course.Ill {
		return nil, true
	}
	healthyBefore := 0
	for _, p := range s.peers {
		if p.Zone == s.zone && p.Alive && p.Name < s.name && !slices.Contains(s.table.Ill, p.Name) {
			healthyBefore++
		}
	}
	if healthyBefore >= probersPerZone || s.course.Independent {
		return nil, false
	}
	return s.table.Down(s.zone), false
}
