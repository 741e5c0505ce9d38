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
	quotaWindowSeconds = 5.0 // seconds
	leaseQuotaShare    = 0.08
	leaseFixedTokens   = 14.0
	exhaustedShare     = 0.5  // of its burst, under which a tenant may spend only what was given
	initialShare       = 0.05 // of its burst, in a store whose past the desk doesn't know
	// of an even share of the rate, for an ingress that can't reach the desk
	disconnectedShare = 0.5
	lostNodeRetention = 30 * time.Second // for which a member that has gone may still be spending that
)

// maxLeasedTokens is what all ingresses together may hold in leases of a tenant.
func maxLeasedTokens(l Limits) float64 {
	return leaseQuotaShare*(l.Rate*quotaWindowSeconds+l.Burst) + leaseFixedTokens
}

// bucket is what a tenant has left.
type bucket struct {
	tokens float64
	at     time.Duration
}

// requester is a process that asks.
type requester struct {
	addr        string
	incarnation uint64
}

// lastRequest is the last question of a caller, with what it was given.
type lastRequest struct {
	requestID  uint64
	receivedAt time.Duration
	grant      *message.Message
	deducted   map[string]float64 // out of the stores, by tenant
}

// Allocator keeps the counts, at the one machine whose duty that is.
type Allocator struct {
	epoch       uint64
	activatedAt time.Duration
	limits      func(tenant string) Limits
	buckets     map[string]*bucket
	nodes       map[string]bool
	lostNodes   map[string]time.Duration // members that have gone, and when
	requests    map[requester]*lastRequest
	lastSweep   time.Duration // when callers that have gone were forgotten last
}

// NewAllocator returns a desk that goes by the given limits.
func NewAllocator(limits func(tenant string) Limits) *Allocator {
	return &Allocator{limits: limits, buckets: map[string]*bucket{}, nodes: map[string]bool{},
		lostNodes: map[string]time.Duration{}, requests: map[requester]*lastRequest{}}
}

// Activate begins the duty under an epoch. The desk knows nothing of what was spent before: stores begin low,
// and fill from then on.
func (d *Allocator) Activate(now time.Duration, epoch uint64) {
	if epoch > d.epoch {
		d.epoch, d.activatedAt = epoch, now
		clear(d.buckets)
		clear(d.requests)
	}
}

// SetNodes takes who holds leases at the core. One that is gone may be cut off, and go on alone.
func (d *Allocator) SetNodes(now time.Duration, list []message.Node) {
	named := map[string]bool{}
	for _, m := range list {
		named[m.Addr] = true
		delete(d.lostNodes, m.Addr)
	}
	for addr := range d.nodes {
		if !named[addr] {
			d.lostNodes[addr] = now
		}
	}
	d.nodes = named
	for addr, at := range d.lostNodes {
		if now > at+lostNodeRetention {
			delete(d.lostNodes, addr)
		}
	}
}

// Allocate answers what an ingress asks for. What was spent beyond leases is taken whether it is there or
// not: the store then fills from below nothing.
//
// Each question counts once. The one that came last gets the same grant again, and an earlier one nothing. A
// question says which grant was taken last: what was given since has been given up, and goes back into the
// stores with what was counted as spent, since the new question tells that, too.
func (d *Allocator) Allocate(now time.Duration, from string, m *message.Message) *message.Message {
	answer := &message.Message{
		Type:        message.TypeTokenGrant,
		Incarnation: m.Incarnation,
		RequestID:   m.RequestID,
		Epoch:       m.Epoch,
	}
	if m.Epoch != d.epoch {
		return answer
	}
	d.sweep(now)
	who := requester{from, m.Incarnation}
	last := d.requests[who]
	switch {
	case last == nil || m.RequestID > last.requestID:
	case m.RequestID == last.requestID:
		return last.grant
	default:
		return answer
	}
	answer.OK = true
	next := &lastRequest{requestID: m.RequestID, receivedAt: now, grant: answer, deducted: map[string]float64{}}
	d.requests[who] = next
	n := float64(max(1, len(d.nodes)+len(d.lostNodes)))
	part := 1 - disconnectedShare*float64(len(d.lostNodes))/n
	if last != nil && last.requestID > m.LastGrant {
		d.restore(now, last, part)
	}
	for _, t := range m.Tokens {
		l := d.limits(t.Tenant)
		s := d.buckets[t.Tenant]
		if s == nil {
			s = &bucket{tokens: initialShare * l.Burst, at: d.activatedAt}
			d.buckets[t.Tenant] = s
		}
		s.fill(now, l, part)
		before := s.tokens
		s.tokens = max(s.tokens-max(t.Spent, 0), -max(1, l.Burst))
		give := math.Floor(min(max(t.Tokens, 0), max(s.tokens, 0)))
		s.tokens -= give
		next.deducted[t.Tenant] += before - s.tokens
		answer.Tokens = append(answer.Tokens, message.TenantTokens{Tenant: t.Tenant, Tokens: give, Spent: t.Spent})
	}
	for tenant, s := range d.buckets {
		l := d.limits(tenant)
		if s.fill(now, l, part); s.tokens < exhaustedShare*max(1, l.Burst) {
			answer.ExhaustedTenants = append(answer.ExhaustedTenants, tenant)
		}
	}
	return answer
}

// restore puts back what a question took whose grant was given up.
func (d *Allocator) restore(now time.Duration, q *lastRequest, part float64) {
	for tenant, tokens := range q.deducted {
		if s := d.buckets[tenant]; s != nil {
			l := d.limits(tenant)
			s.fill(now, l, part)
			s.tokens = min(max(1, l.Burst), s.tokens+tokens)
		}
	}
}

// sweep forgets callers that have gone for long: what they asked is not on its way any more.
func (d *Allocator) sweep(now time.Duration) {
	if now < d.lastSweep+lostNodeRetention {
		return
	}
	d.lastSweep = now
	maps.DeleteFunc(
		d.requests,
		func(_ requester, q *lastRequest) bool { return now > q.receivedAt+lostNodeRetention },
	)
}

func (s *bucket) fill(now time.Duration, l Limits, part float64) {
	s.tokens = min(max(1, l.Burst), s.tokens+l.Rate*part*(now-s.at).Seconds())
	s.at = now
}
