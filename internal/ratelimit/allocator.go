package ratelimit

import (
	"maps"
	"math"
	"time"

	"dunespoke/internal/controlplane/message"
)

const (
	// exhaustedThreshold is the fill level of a bucket, as a fraction of its capacity, below which a tenant
	// is exhausted: only granted tokens may be spent.
	exhaustedThreshold = 0.5
	// initialFillFraction is the fraction of the burst with which a new bucket starts, since the allocator
	// doesn't know what was spent before.
	initialFillFraction = 0.05
	// lostNodeRetention is for how long a node that lost its lease is assumed to go on spending the share of
	// a disconnected node.
	lostNodeRetention = 30 * time.Second
)

// bucket is a tenant's token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens accrued since the last refill at the given fraction of the rate.
func (b *bucket) refill(now time.Duration, limits Limits, share float64) {
	b.tokens = min(limits.bucketSize(), b.tokens+limits.Rate*share*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Requester identifies a process that requests tokens.
type Requester struct {
	Addr        string
	Incarnation uint64
}

// lastRequest is the last request of a requester and the grant that it received.
type lastRequest struct {
	id         uint64
	receivedAt time.Duration
	grant      *message.TokenGrant
	deducted   map[string]float64 // tokens deducted from the buckets, by tenant
}

// Allocator keeps the token buckets of all tenants. It is active in one process at a time, the one that has
// the lease for this role. It is not safe for concurrent use.
type Allocator struct {
	epoch       uint64
	activatedAt time.Duration
	limits      func(tenant string) Limits
	buckets     map[string]*bucket
	nodes       map[string]bool
	lostNodes   map[string]time.Duration // nodes that left the list of nodes, with the time at which they did
	requests    map[Requester]*lastRequest
	lastSweep   time.Duration // when requests of inactive requesters were last removed
}

// NewAllocator returns an Allocator that enforces the given limits. It grants nothing before Activate.
func NewAllocator(limits func(tenant string) Limits) *Allocator {
	return &Allocator{limits: limits, buckets: map[string]*bucket{}, nodes: map[string]bool{},
		lostNodes: map[string]time.Duration{}, requests: map[Requester]*lastRequest{}}
}

// Activate starts allocation under an epoch. The allocator doesn't know what was spent before, so buckets
// start nearly empty and fill from now on. An epoch that is not above the current one is ignored.
func (a *Allocator) Activate(now time.Duration, epoch uint64) {
	if epoch <= a.epoch {
		return
	}
	a.epoch, a.activatedAt = epoch, now
	clear(a.buckets)
	clear(a.requests)
}

// SetNodes sets the list of gateways that have a lease from the control plane. A gateway that is no longer in
// the list may be disconnected and still spend its local share, which connectedShare accounts for.
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

// connectedShare returns the fraction of each rate that refills the buckets. The rest is reserved for what
// lost nodes may be spending.
func (a *Allocator) connectedShare() float64 {
	all := float64(max(1, len(a.nodes)+len(a.lostNodes)))
	return 1 - disconnectedFraction*float64(len(a.lostNodes))/all
}

// Allocate answers a token request of a gateway. Tokens that the gateway spent beyond its lease are deducted
// even if the bucket doesn't contain them: its level becomes negative and refills from there.
//
// Each request counts once. A repetition of the requester's last request gets the same grant again, and an
// older request gets nothing. A request names the last grant that the requester applied. If the previous
// grant is a later one, the requester has abandoned it: its tokens are returned to the buckets, together with
// the spending that was deducted, since the new request reports that spending again. The caller must not
// modify the grant.
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
	for _, requested := range request.Tokens {
		a.deduct(now, next, requested, share)
	}
	next.grant.ExhaustedTenants = a.exhausted(now, share)
	return next.grant
}

// deduct removes the reported spending of a tenant from its bucket, grants as many of the requested tokens as
// the bucket contains, and removes those.
func (a *Allocator) deduct(now time.Duration, request *lastRequest, requested message.TenantTokens,
	share float64) {
	limits := a.limits(requested.Tenant)
	b := a.buckets[requested.Tenant]
	if b == nil {
		b = &bucket{tokens: initialFillFraction * limits.Burst, refilledAt: a.activatedAt}
		a.buckets[requested.Tenant] = b
	}
	b.refill(now, limits, share)
	before := b.tokens
	b.tokens = max(b.tokens-max(requested.Spent, 0), -limits.bucketSize())
	granted := math.Floor(min(max(requested.Tokens, 0), max(b.tokens, 0)))
	b.tokens -= granted
	request.deducted[requested.Tenant] += before - b.tokens
	request.grant.Tokens = append(request.grant.Tokens,
		message.TenantTokens{Tenant: requested.Tenant, Tokens: granted, Spent: requested.Spent})
}

// exhausted returns the tenants whose buckets are below exhaustedThreshold: they may spend only granted
// tokens.
func (a *Allocator) exhausted(now time.Duration, share float64) (tenants []string) {
	for tenant, b := range a.buckets {
		limits := a.limits(tenant)
		b.refill(now, limits, share)
		if b.tokens < exhaustedThreshold*limits.bucketSize() {
			tenants = append(tenants, tenant)
		}
	}
	return tenants
}

// restore returns the tokens that were deducted for a request whose grant was abandoned.
func (a *Allocator) restore(now time.Duration, request *lastRequest, share float64) {
	for tenant, tokens := range request.deducted {
		if b := a.buckets[tenant]; b != nil {
			limits := a.limits(tenant)
			b.refill(now, limits, share)
			b.tokens = min(limits.bucketSize(), b.tokens+tokens)
		}
	}
}

// sweep removes the last requests of inactive requesters once none of their messages can still be in flight.
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
