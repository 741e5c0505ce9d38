// Package toll holds tenants to their quotas over all ingresses together. One machine keeps the counts, the
// Desk; each ingress leases tokens from it by its demand, early, and spends them, its Meter. It knows no wire
// and no clock.
//
// What is out in leases is counted: a tenant's store holds at most its burst, and what all ingresses together
// may hold beside it is bounded by leaseRoom. So in any window of the rules no more than
// rate*window + burst + leaseRoom is let in, which is under what the rules allow over it.
package ratelimit

import (
	"maps"
	"math"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Limits are a tenant's.
type Limits struct {
	Rate  float64 // requests a second; 0: no limit
	Burst float64 // above that
}

// The part of a quota window that leases may hold beside the store: eight of the ten in a hundred that the
// rules allow over a quota, and fourteen of the twenty requests beside.
const (
	window     = 5.0 // seconds
	roomPart   = 0.08
	roomFixed  = 14.0
	shutPart   = 0.5              // of its burst, under which a tenant may spend only what was given
	firstPart  = 0.05             // of its burst, in a store whose past the desk doesn't know
	alonePart  = 0.5              // of an even share of the rate, for an ingress that can't reach the desk
	lostMemory = 30 * time.Second // for which a member that has gone may still be spending that
)

// leaseRoom is what all ingresses together may hold in leases of a tenant.
func leaseRoom(l Limits) float64 { return roomPart*(l.Rate*window+l.Burst) + roomFixed }

// store is what a tenant has left.
type store struct {
	tokens float64
	at     time.Duration
}

// caller is a process that asks.
type caller struct {
	addr string
	life uint64
}

// asked is the last question of a caller, with what it was given.
type asked struct {
	call  uint64
	at    time.Duration
	grant *message.Message
	taken map[string]float64 // out of the stores, by tenant
}

// Desk keeps the counts, at the one machine whose duty that is.
type Desk struct {
	epoch   uint64
	opened  time.Duration
	limits  func(tenant string) Limits
	stores  map[string]*store
	members map[string]bool
	lost    map[string]time.Duration // members that have gone, and when
	asked   map[caller]*asked
	swept   time.Duration // when callers that have gone were forgotten last
}

// NewDesk returns a desk that goes by the given limits.
func NewDesk(limits func(tenant string) Limits) *Desk {
	return &Desk{limits: limits, stores: map[string]*store{}, members: map[string]bool{},
		lost: map[string]time.Duration{}, asked: map[caller]*asked{}}
}

// Open begins the duty under an epoch. The desk knows nothing of what was spent before: stores begin low, and
// fill from then on.
func (d *Desk) Open(now time.Duration, epoch uint64) {
	if epoch > d.epoch {
		d.epoch, d.opened = epoch, now
		clear(d.stores)
		clear(d.asked)
	}
}

// Members takes who holds leases at the core. One that is gone may be cut off, and go on alone.
func (d *Desk) Members(now time.Duration, list []message.Machine) {
	named := map[string]bool{}
	for _, m := range list {
		named[m.Addr] = true
		delete(d.lost, m.Addr)
	}
	for addr := range d.members {
		if !named[addr] {
			d.lost[addr] = now
		}
	}
	d.members = named
	for addr, at := range d.lost {
		if now > at+lostMemory {
			delete(d.lost, addr)
		}
	}
}

// Ask answers what an ingress asks for. What was spent beyond leases is taken whether it is there or not: the
// store then fills from below nothing.
//
// Each question counts once. The one that came last gets the same grant again, and an earlier one nothing. A
// question says which grant was taken last: what was given since has been given up, and goes back into the
// stores with what was counted as spent, since the new question tells that, too.
func (d *Desk) Ask(now time.Duration, from string, m *message.Message) *message.Message {
	answer := &message.Message{Kind: message.Grant, Life: m.Life, Call: m.Call, Epoch: m.Epoch}
	if m.Epoch != d.epoch {
		return answer
	}
	d.sweep(now)
	who := caller{from, m.Life}
	last := d.asked[who]
	switch {
	case last == nil || m.Call > last.call:
	case m.Call == last.call:
		return last.grant
	default:
		return answer
	}
	answer.OK = true
	next := &asked{call: m.Call, at: now, grant: answer, taken: map[string]float64{}}
	d.asked[who] = next
	n := float64(max(1, len(d.members)+len(d.lost)))
	part := 1 - alonePart*float64(len(d.lost))/n
	if last != nil && last.call > m.Granted {
		d.restore(now, last, part)
	}
	for _, t := range m.Tolls {
		l := d.limits(t.Tenant)
		s := d.stores[t.Tenant]
		if s == nil {
			s = &store{tokens: firstPart * l.Burst, at: d.opened}
			d.stores[t.Tenant] = s
		}
		s.fill(now, l, part)
		before := s.tokens
		s.tokens = max(s.tokens-max(t.Spent, 0), -max(1, l.Burst))
		give := math.Floor(min(max(t.Tokens, 0), max(s.tokens, 0)))
		s.tokens -= give
		next.taken[t.Tenant] += before - s.tokens
		answer.Tolls = append(answer.Tolls, message.Toll{Tenant: t.Tenant, Tokens: give, Spent: t.Spent})
	}
	for tenant, s := range d.stores {
		l := d.limits(tenant)
		if s.fill(now, l, part); s.tokens < shutPart*max(1, l.Burst) {
			answer.Shut = append(answer.Shut, tenant)
		}
	}
	return answer
}

// restore puts back what a question took whose grant was given up.
func (d *Desk) restore(now time.Duration, q *asked, part float64) {
	for tenant, tokens := range q.taken {
		if s := d.stores[tenant]; s != nil {
			l := d.limits(tenant)
			s.fill(now, l, part)
			s.tokens = min(max(1, l.Burst), s.tokens+tokens)
		}
	}
}

// sweep forgets callers that have gone for long: what they asked is not on its way any more.
func (d *Desk) sweep(now time.Duration) {
	if now < d.swept+lostMemory {
		return
	}
	d.swept = now
	maps.DeleteFunc(d.asked, func(_ caller, q *asked) bool { return now > q.at+lostMemory })
}

func (s *store) fill(now time.Duration, l Limits, part float64) {
	s.tokens = min(max(1, l.Burst), s.tokens+l.Rate*part*(now-s.at).Seconds())
	s.at = now
}
