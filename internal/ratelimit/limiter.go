package ratelimit

import (
	"slices"
	"sync"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Times of asking the allocator.
const (
	requestInterval = 25 * time.Millisecond  // between requests at the least: a burst makes one
	reportInterval  = 80 * time.Millisecond  // and between those that only tell what was spent
	requestTimeout  = 200 * time.Millisecond // for a grant: many round trips
	maxGrantAge     = time.Second            // none is taken that is later: it was held up with a process
	disconnectAfter = 350 * time.Millisecond // without a grant, the allocator counts as unreachable
	statusValidity  = 600 * time.Millisecond // after a grant, for which what it said of a tenant holds
)

// maxQueueTime is how long a request may wait: by then it is known whether the allocator is there.
const maxQueueTime = 400 * time.Millisecond

// State is what a Limiter is in.
type State int

// The states of a Limiter.
const (
	StateConnected    State = iota // the allocator answers, or is not known yet to be silent
	StateDisconnected              // it does not: half of an even share of each rate is spent
)

// Decision is what becomes of a request.
type Decision int

// The decisions.
const (
	Allow Decision = iota
	Wait           // decide will be called
	Deny
)

// Decide is called once for a request that has waited. Where it is not allowed, the client may come back
// after the given time.
type Decide func(allowed bool, retryAfter time.Duration)

// Limiter holds a gateway's requests to what it has leased. Its methods may be called from any goroutine.
type Limiter struct {
	incarnation   uint64 // of the process: no other has or had it
	limits        func(tenant string) Limits
	send          func(m *message.Message) // to the allocator; it must not block
	onStateChange func(State)

	mu      sync.Mutex
	state   State
	tenants map[string]*tenantState
	epoch   uint64 // of the allocator; 0: none is known yet
	nodes   float64

	requestID      uint64        // of the last request
	lastGrant      uint64        // the request whose grant was taken last
	requestSentAt  time.Duration // when the request that is out was sent; 0: none is
	lastRequestAt  time.Duration // when the last was sent; 0: none was
	silentSince    time.Duration // since when no request was answered; 0: the last one was
	lastResponseAt time.Duration // when the last grant came; 0: none has
}

// NewLimiter returns the limiter of an incarnation of a process. onStateChange is told of states, under a
// lock.
func NewLimiter(incarnation uint64, limits func(tenant string) Limits, send func(*message.Message),
	onStateChange func(State)) *Limiter {
	return &Limiter{incarnation: incarnation, limits: limits, send: send, onStateChange: onStateChange,
		tenants: map[string]*tenantState{}, nodes: 1}
}

// transition is the one place where the state changes.
func (l *Limiter) transition(now time.Duration, to State) {
	if to == l.state {
		return
	}
	l.state = to
	l.onStateChange(to)
	for _, tenant := range l.tenants { // local shares begin empty: what was granted last was all that there was
		tenant.localTokens, tenant.localRefilledAt = 0, now
	}
}

// SetAllocator takes the epoch under which the allocator is to be asked, and how many gateways there are.
func (l *Limiter) SetAllocator(epoch uint64, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch > l.epoch {
		l.epoch, l.requestSentAt = epoch, 0
	}
	l.nodes = float64(max(1, nodes))
}

// Take asks to let a request of a tenant in. With Wait, decide is called later, and not under a lock. With
// Deny, the client may come back after the given time.
func (l *Limiter) Take(now time.Duration, name string, decide Decide) (d Decision, retryAfter time.Duration) {
	limits := l.limits(name)
	if limits.Rate <= 0 {
		return Allow, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tenant := l.tenant(now, name, limits)
	tenant.recordDemand(now)
	tenant.dropExpiredLease(now)
	switch {
	case tenant.tokens >= 1:
		tenant.tokens--
		if tenant.tokens < renewShare*tenant.targetLease(l.nodes) {
			l.requestTokens(now)
		}
		return Allow, 0
	case l.maySpendUnreported(now, tenant):
		tenant.unreported++
		if now >= l.lastRequestAt+reportInterval {
			l.requestTokens(now)
		}
		return Allow, 0
	case l.state == StateDisconnected:
		l.requestTokens(now)
		if tenant.takeLocal(now, l.nodes) {
			return Allow, 0
		}
		return Deny, tenant.retryAfter(l.nodes)
	case now < tenant.emptyUntil:
		return Deny, tenant.retryAfter(l.nodes)
	}
	tenant.queue = append(tenant.queue, queuedRequest{now, decide})
	l.requestTokens(now)
	return Wait, 0
}

// maySpendUnreported reports whether a request may pass that is told to the allocator afterwards: it has said
// a moment ago that the tenant has plenty.
func (l *Limiter) maySpendUnreported(now time.Duration, tenant *tenantState) bool {
	return l.state == StateConnected && !tenant.exhausted && l.lastResponseAt != 0 &&
		now < l.lastResponseAt+statusValidity && tenant.unreported < tenant.unreportedLimit(l.nodes)
}

func (l *Limiter) tenant(now time.Duration, name string, limits Limits) *tenantState {
	tenant := l.tenants[name]
	if tenant == nil {
		tenant = &tenantState{demandAt: now, localRefilledAt: now, leasedAt: now}
		l.tenants[name] = tenant
	}
	tenant.limits = limits
	return tenant
}

// requestTokens sends a request for all that is short, unless one is out. While disconnected it asks if
// nothing is short, too: only a grant ends that, and where shares of the leases are parts of a request
// nothing is leased ahead.
func (l *Limiter) requestTokens(now time.Duration) {
	if l.epoch == 0 { // no allocator is known yet: who waits does so no longer than for one that is silent
		if l.silentSince == 0 && l.hasQueued() {
			l.silentSince = max(now, 1)
		}
		return
	}
	if l.requestSentAt != 0 && now < l.requestSentAt+requestTimeout {
		return
	}
	if l.lastRequestAt != 0 && now < l.lastRequestAt+requestInterval {
		return
	}
	var tokens []message.TenantTokens
	for name, tenant := range l.tenants {
		if asked, ok := tenant.shortage(now, l.nodes); ok {
			tokens = append(tokens, message.TenantTokens{Tenant: name, Tokens: asked, Spent: tenant.unreported})
		}
	}
	if len(tokens) == 0 && l.state == StateConnected {
		return
	}
	l.requestID++
	l.requestSentAt, l.lastRequestAt = max(now, 1), max(now, 1)
	if l.silentSince == 0 {
		l.silentSince = l.requestSentAt
	}
	l.send(&message.Message{RequestID: l.requestID, Incarnation: l.incarnation,
		Body: &message.TokenRequest{Epoch: l.epoch, LastGrant: l.lastGrant, Tokens: tokens}})
}

// hasQueued reports whether some request waits.
func (l *Limiter) hasQueued() bool {
	for _, tenant := range l.tenants {
		if len(tenant.queue) > 0 {
			return true
		}
	}
	return false
}

// HandleGrant takes the allocator's answer to the request that is out, once. Any other has been given up. One
// under another epoch is of an allocator whose lease has ended: what it grants is granted once more by the
// next.
func (l *Limiter) HandleGrant(now time.Duration, incarnation, requestID uint64, grant *message.TokenGrant) {
	l.mu.Lock()
	if incarnation != l.incarnation || requestID != l.requestID || grant.Epoch != l.epoch || !grant.OK ||
		l.requestSentAt == 0 || now >= l.requestSentAt+maxGrantAge {
		l.mu.Unlock()
		return
	}
	l.requestSentAt, l.silentSince, l.lastResponseAt, l.lastGrant = 0, 0, max(now, 1), requestID
	l.transition(now, StateConnected)
	for name, tenant := range l.tenants {
		tenant.exhausted = slices.Contains(grant.ExhaustedTenants, name)
	}
	var decisions []func()
	for _, granted := range grant.Tokens {
		tenant := l.tenants[granted.Tenant]
		if tenant == nil || !(granted.Tokens >= 0) { // not a number, or negative: of no use
			continue
		}
		decisions = append(decisions, tenant.takeGrant(now, granted, l.nodes)...)
	}
	l.requestTokens(now) // for those that came since
	l.mu.Unlock()
	runAll(decisions)
}

// Tick asks again for what is short, and decides on what has waited too long. It is to be called every 100 ms
// or so.
func (l *Limiter) Tick(now time.Duration) {
	l.mu.Lock()
	if l.silentSince != 0 && now > l.silentSince+disconnectAfter {
		l.transition(now, StateDisconnected)
	}
	var decisions []func()
	for name, tenant := range l.tenants {
		decisions = append(decisions, l.decideOverdue(now, tenant)...)
		if tenant.idle(now) {
			delete(l.tenants, name)
		}
	}
	l.requestTokens(now)
	l.mu.Unlock()
	runAll(decisions)
}

// decideOverdue decides on the requests of a tenant that have waited too long; while disconnected, on all.
func (l *Limiter) decideOverdue(now time.Duration, tenant *tenantState) (decisions []func()) {
	for len(tenant.queue) > 0 && (l.state == StateDisconnected || now > tenant.queue[0].queuedAt+maxQueueTime) {
		if l.state == StateConnected || !tenant.takeLocal(now, l.nodes) {
			return append(decisions, tenant.denyQueued(l.nodes)...)
		}
		decisions = append(decisions, tenant.allowFirst())
	}
	return decisions
}

// runAll calls what was decided, outside of the lock.
func runAll(decisions []func()) {
	for _, decision := range decisions {
		decision()
	}
}
