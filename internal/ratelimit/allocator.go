package ratelimit

import (
	"maps"
	"math"
	"time"

	"dunespoke/internal/controlplane/message"
)

const (
	// exhaustedShare is the part of its burst under which a tenant may spend only what was granted.
	exhaustedShare = 0.5
	// initialShare is the part of its burst that a bucket begins with whose past the allocator doesn't know.
	initialShare = 0.05
	// lostNodeRetention is for how long a node that has gone may still be spending the share of a disconnected
	// one.
	lostNodeRetention = 30 * time.Second
)

// bucket is a tenant's token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds what has come since the last time, of the given share of the rate.
func (b *bucket) refill(now time.Duration, limits Limits, share float64) {
	b.tokens = min(limits.bucketSize(), b.tokens+limits.Rate*share*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Requester is a process that asks for tokens.
type Requester struct {
	Addr        string
	Incarnation uint64
}

// lastRequest is the last request of a process, with what it was granted.
type lastRequest struct {
	id         uint64
	receivedAt time.Duration
	grant      *message.TokenGrant
	deducted   map[string]float64 // from the buckets, by tenant
}

// Allocator keeps the token buckets, at the one process that has the lease for it. Its methods must not be
// called concurrently.
type Allocator struct {
	epoch       uint64
	activatedAt time.Duration
	limits      func(tenant string) Limits
	buckets     map[string]*bucket
	nodes       map[string]bool
	lostNodes   map[string]time.Duration // nodes that have gone, and when
	requests    map[Requester]*lastRequest
	lastSweep   time.Duration // when requesters that have gone were forgotten last
}

// NewAllocator returns an allocator that goes by the given limits.
func NewAllocator(limits func(tenant string) Limits) *Allocator {
	return &Allocator{limits: limits, buckets: map[string]*bucket{}, nodes: map[string]bool{},
		lostNodes: map[string]time.Duration{}, requests: map[Requester]*lastRequest{}}
}

// Activate begins to allocate under an epoch. The allocator knows nothing of what was spent before: buckets
// begin low, and fill from then on. An epoch that is not above the last changes nothing.
func (a *Allocator) Activate(now time.Duration, epoch uint64) {
	if epoch <= a.epoch {
		return
	}
	a.epoch, a.activatedAt = epoch, now
	clear(a.buckets)
	clear(a.requests)
}

// SetNodes takes the gateways that hold leases of the control plane. One that is gone may be cut off, and go
// on by its own share.
func (a *Allocator) SetNodes(now time.Duration, list []message.Node) {
	current := map[string]bool{}
	for _, node := range list {
		current[node.Addr] = true
		delete(a.lostNodes, node.Addr)
	}
	for addr := range a.nodes {
		if !current[addr] {
			a.lostNodes[addr] = now
		}
	}
	a.nodes = current
	maps.DeleteFunc(a.lostNodes, func(_ string,
		lostAt time.Duration) bool {
		return now > lostAt+lostNodeRetention
	})
}

// connectedShare is the part of each rate that is left for the buckets, beside what lost nodes may be
// spending.
func (a *Allocator) connectedShare() float64 {
	all := float64(max(1, len(a.nodes)+len(a.lostNodes)))
	return 1 - disconnectedShare*float64(len(a.lostNodes))/all
}

// Allocate answers what a gateway asks for. What was spent beyond leases is deducted whether it is there or
// not: the bucket then fills from below nothing.
//
// Each request counts once. The one that came last gets the same grant again, and an earlier one nothing. A
// request says which grant was taken last: what was granted since has been given up, and goes back into the
// buckets with what was counted as spent, since the new request tells that, too. The grant must not be
// changed.
func (a *Allocator) Allocate(now time.Duration, from Requester, id uint64,
	request *message.TokenRequest) *message.TokenGrant {
	if request.Epoch != a.epoch {
		return &message.TokenGrant{Epoch: request.Epoch}
	}
	a.sweep(now)
	last := a.requests[from]
	if last != nil && id == last.id {
		return last.grant
	}
	if last != nil && id < last.id {
		return &message.TokenGrant{Epoch: request.Epoch}
	}
	share := a.connectedShare()
	if last != nil && last.id > request.LastGrant {
		a.restore(now, last, share)
	}
	next := &lastRequest{id: id, receivedAt: now, deducted: map[string]float64{},
		grant: &message.TokenGrant{Epoch: request.Epoch, OK: true}}
	a.requests[from] = next
	for _, asked := range request.Tokens {
		a.deduct(now, next, asked, share)
	}
	next.grant.ExhaustedTenants = a.exhausted(now, share)
	return next.grant
}

// deduct takes what was spent and what is granted of a tenant out of its bucket.
func (a *Allocator) deduct(now time.Duration, request *lastRequest, asked message.TenantTokens,
	share float64) {
	limits := a.limits(asked.Tenant)
	b := a.buckets[asked.Tenant]
	if b == nil {
		b = &bucket{tokens: initialShare * limits.Burst, refilledAt: a.activatedAt}
		a.buckets[asked.Tenant] = b
	}
	b.refill(now, limits, share)
	before := b.tokens
	b.tokens = max(b.tokens-max(asked.Spent, 0), -limits.bucketSize())
	granted := math.Floor(min(max(asked.Tokens, 0), max(b.tokens, 0)))
	b.tokens -= granted
	request.deducted[asked.Tenant] += before - b.tokens
	request.grant.Tokens = append(request.grant.Tokens,
		message.TenantTokens{Tenant: asked.Tenant, Tokens: granted, Spent: asked.Spent})
}

// exhausted returns the tenants that may spend only what they were granted.
func (a *Allocator) exhausted(now time.Duration, share float64) (tenants []string) {
	for tenant, b := range a.buckets {
		limits := a.limits(tenant)
		b.refill(now, limits, share)
		if b.tokens < exhaustedShare*limits.bucketSize() {
			tenants = append(tenants, tenant)
		}
	}
	return tenants
}

// restore puts back what a request took whose grant was given up.
func (a *Allocator) restore(now time.Duration, request *lastRequest, share float64) {
	for tenant, tokens := range request.deducted {
		if b := a.buckets[tenant]; b != nil {
			limits := a.limits(tenant)
			b.refill(now, limits, share)
			b.tokens = min(limits.bucketSize(), b.tokens+tokens)
		}
	}
}

// sweep forgets requesters that have gone for long: what they asked is not on its way any more.
func (a *Allocator) sweep(now time.Duration) {
	if now < a.lastSweep+lostNodeRetention {
		return
	}
	a.lastSweep = now
	maps.DeleteFunc(a.requests, func(_ Requester,
		r *lastRequest) bool {
		return now > r.receivedAt+lostNodeRetention
	})
}
