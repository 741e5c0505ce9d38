// Package steer is what an ingress's node goes by: its part in the common record, its reports to the
// leader, what it decides as the leader, and what follows for its own traffic. It has no I/O and no clock.
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

// The record's keys of the table of zones and of staff's orders.
const (
	ZonesKey  = "zones"
	OrdersKey = "orders"
)

// Times of what concerns zones.
const (
	reportEvery = 250 * time.Millisecond
	triers      = 2               // ingresses of a zone that try a zone that is down
	proposeFor  = 2 * time.Second // after which a table that is not decided is proposed anew
	calmEvery   = time.Second     // between reports of one that sees no trouble
	witnesses   = 3               // of a zone that report when they see none; others keep still
	zonesFew    = 6               // with more of them reports are fewer, down to half: the leader reads them all
)

// reportMark begins a message that is a report: the common record's begin with a brace.
const reportMark = 'R'

// Peer is a member with its zone.
type Peer struct {
	common.Peer
	Zone string
}

// Course is what an ingress does about its traffic.
type Course struct {
	Down     []string // zones of servers that get nothing new
	Ill      bool     // it takes no clients
	ByItself bool     // nothing is agreed or held: it goes by what it sees itself
	Epoch    uint64   // of the decision that it follows from
	By, Why  string   // of that
}

// Steer is one ingress's. It is for one goroutine.
type Steer struct {
	*common.Machine
	name, zone string

	peers   []Peer
	decider *zones.Decider
	table   *zones.Table
	epoch   uint64 // of the table
	orders  *zones.Orders
	ordered uint64 // their epoch
	course  Course
	due     time.Duration
	sent    time.Duration // to the leader
	since   time.Duration // when trouble began; 0: there is none
	looked  time.Duration
	asked   string // the change that is proposed
	askedAt time.Duration

	out  []common.Message
	errs []error
}

// New returns one that begins at a Unix time.
func New(c common.Config, zone string, now time.Duration) *Steer {
	return &Steer{Machine: common.New(c, now), name: c.Name, zone: zone, decider: zones.NewDecider(),
		table: &zones.Table{}, orders: &zones.Orders{}, course: Course{ByItself: true}, sent: now}
}

// Take returns the messages to send since the last call.
func (s *Steer) Take() []common.Message {
	out := append(s.Machine.Take(), s.out...)
	s.out = nil
	return out
}

// Err returns what went wrong inside since the last call.
func (s *Steer) Err() error {
	err := errors.Join(append(s.errs, s.Machine.Err())...)
	s.errs = nil
	return err
}

// Course is what to do about traffic now.
func (s *Steer) Course() Course { return s.course }

// Peers tells who the members are, as the membership sees them.
func (s *Steer) Peers(list []Peer) {
	s.peers = list
	plain := make([]common.Peer, len(list))
	for i, p := range list {
		plain[i] = p.Peer
	}
	s.Machine.Peers(plain)
}

// Step takes a message of a member.
func (s *Steer) Step(now time.Duration, from string, data []byte) error {
	if len(data) == 0 || data[0] != reportMark {
		return s.Machine.Step(now, from, data)
	}
	var r zones.Report
	if err := json.Unmarshal(data[1:], &r); err != nil {
		return fmt.Errorf("report of %s: %w", from, err)
	}
	r.From = from // who is known to have sent it, whatever it says
	s.decider.Hear(now, r)
	return nil
}

// Due reports that the ingress should report what it has seen.
func (s *Steer) Due(now time.Duration) bool { return now-s.due >= reportEvery }

// rest is the time between two reports. In trouble the first of a zone report most often, and the others
// less and less: it takes few to tell, but any of them may be the one that is ill.
func (s *Steer) rest(trouble bool) time.Duration {
	rank, zones := 0, map[string]bool{}
	for _, p := range s.peers {
		if p.Alive {
			zones[p.Zone] = true
			if p.Zone == s.zone && p.Name < s.name {
				rank++
			}
		}
	}
	many := min(2, max(1, float64(len(zones))/zonesFew))
	switch {
	case trouble:
		return time.Duration(many * (1 + float64(rank)/2) * float64(reportEvery))
	case rank < witnesses:
		return time.Duration(many * float64(calmEvery))
	}
	return time.Hour
}

// Report tells the leader what this ingress has seen, or goes by it as the leader.
func (s *Steer) Report(now time.Duration, sums map[string]zones.Sum, tried map[string]bool) {
	s.due = now
	r := zones.Report{From: s.name, Zone: s.zone, Sums: sums, Tried: tried}
	if s.Leads(now) {
		s.decider.Hear(now, r)
		s.decide(now)
		return
	}
	trouble := len(tried) > 0 || s.course.Ill
	for _, sum := range sums {
		trouble = trouble || sum.Bad()
	}
	switch {
	case !trouble:
		s.since = 0
	case s.since == 0:
		s.since = now
	}
	wait := s.rest(trouble)
	early := now-s.sent < wait || trouble && now-s.since < wait/4
	if early || s.Leader() == "" || s.Leader() == s.name {
		return
	}
	s.sent = now
	data, err := json.Marshal(r)
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	s.out = append(s.out, common.Message{To: s.Leader(), Data: append([]byte{reportMark}, data...)})
}

// decide proposes another table, one at a time.
func (s *Steer) decide(now time.Duration) {
	if s.asked != "" {
		if _, done := s.Record().Done(s.asked); !done && now-s.askedAt < proposeFor {
			return
		}
		s.Forget(s.asked)
		s.asked = ""
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
	s.asked, s.askedAt = fmt.Sprintf("%s-zones-%x", s.name, now), now
	s.Propose(now, common.Change{ID: s.asked, Key: ZonesKey, Base: s.epoch, Value: value, By: s.name, Why: why,
		At: now.Milliseconds()})
}

// Follow brings the course in line with the table and the orders that are agreed, or were and still hold, and
// reports whether it has changed. Orders run out by the time, so that it looks again now and then.
func (s *Steer) Follow(now time.Duration) (changed bool) {
	r, standing := s.Record(), s.Standing(now)
	e, o := r.Entries[ZonesKey], r.Entries[OrdersKey]
	alone := standing != common.Agreed && standing != common.Held
	same := e.Epoch == s.epoch && o.Epoch == s.ordered && alone == s.course.ByItself
	if same && now-s.looked < reportEvery {
		return false
	}
	s.looked = now
	if !same {
		s.table, s.orders = &zones.Table{}, &zones.Orders{}
		s.epoch, s.ordered = e.Epoch, o.Epoch
		if err := errors.Join(Read(e, s.table), Read(o, s.orders)); err != nil {
			s.errs = append(s.errs, fmt.Errorf("table of zones: %w", err))
		}
	}
	next := Course{ByItself: alone, Epoch: max(e.Epoch, o.Epoch), By: e.By, Why: e.Why}
	if o.Epoch > e.Epoch {
		next.By, next.Why = o.By, o.Why
	}
	if !alone {
		next.Down = append(s.table.Down(s.zone), s.orders.Evacuated(now)...)
		slices.Sort(next.Down)
		next.Down = slices.Compact(next.Down)
		next.Ill = slices.Contains(s.table.Ill, s.name)
	}
	changed = !same || !slices.Equal(next.Down, s.course.Down)
	s.course = next
	return changed
}

// Read reads an entry of the record, if it is there.
func Read(e common.Entry, into any) error {
	if e.Epoch == 0 {
		return nil
	}
	return json.Unmarshal(e.Value, into)
}

// ToTry are the zones that this ingress is to try connections to: those that are down for its zone, if it
// is one of the first there; all of them, if it is ill.
func (s *Steer) ToTry() (down []string, all bool) {
	if s.course.Ill {
		return nil, true
	}
	before := 0
	for _, p := range s.peers {
		if p.Zone == s.zone && p.Alive && p.Name < s.name && !slices.Contains(s.table.Ill, p.Name) {
			before++
		}
	}
	if before >= triers || s.course.ByItself {
		return nil, false
	}
	return s.table.Down(s.zone), false
}
