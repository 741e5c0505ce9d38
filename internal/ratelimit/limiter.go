package ratelimit

import (
	"slices"
	"sync"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Intervals and timeouts of requests to the allocator.
const (
	requestInterval = 25 * time.Millisecond  // minimum between requests, so that a burst of traffic causes one
	reportInterval  = 80 * time.Millisecond  // minimum between requests that only report spending
	requestTimeout  = 200 * time.Millisecond // for a grant: many round trips
	maxGrantAge     = time.Second            // a later grant is ignored: a process was suspended
	disconnectAfter = 350 * time.Millisecond // without a grant, after which the allocator counts as unreachable
	statusValidity  = 600 * time.Millisecond // of a grant's list of exhausted tenants
)

// maxQueueTime is how long a request may wait for tokens. It exceeds disconnectAfter, so that by then it is
// known whether the allocator is reachable.
const maxQueueTime = 400 * time.Millisecond

// State is the connection state of a Limiter.
type State int

// The states of a Limiter.
const (
	StateConnected    State = iota // the allocator answers, or has not been silent for disconnectAfter
	StateDisconnected              // it doesn't answer: only the local shares are spent
)

// Decision is the result of Take.
type Decision int

// The decisions.
const (
	Allow Decision = iota
	Wait           // the request is queued; its Decide function will be called
	Deny
)

// Decide is called once for a request that was queued. If the request is denied, the client may retry after
// the given time.
type Decide func(allowed bool, retryAfter time.Duration)

// Limiter admits requests of a gateway within the tokens that it has leased. It is safe for concurrent use.
type Limiter struct {
	incarnation   uint64 // of the process; unique over all processes and restarts
	limits        func(tenant string) Limits
	send          func(m *message.Message) // sends to the allocator; must not block
	onStateChange func(State)

	mu      sync.Mutex
	state   State
	tenants map[string]*tenantState
	epoch   uint64  // of the allocator; zero means that none is known yet
	nodes   float64 // number of gateways, at least 1

	requestID      uint64        // of the last request
	lastGrant      uint64        // the request whose grant was applied last
	requestSentAt  time.Duration // when the request in flight was sent; zero means that none is in flight
	lastRequestAt  time.Duration // when the last request was sent; zero means that none was
	silentSince    time.Duration // since when no request was answered; zero means that the last one was
	lastResponseAt time.Duration // when the last grant arrived; zero means that none has
}

// NewLimiter returns the Limiter of an incarnation of a process. onStateChange is called on each change of
// state with a lock held, so it must not call the Limiter.
func NewLimiter(incarnation uint64, limits func(tenant string) Limits, send func(*message.Message),
	onStateChange func(State)) *Limiter {
	return &Limiter{incarnation: incarnation, limits: limits, send: send, onStateChange: onStateChange,
		tenants: map[string]*tenantState{}, nodes: 1}
}

// transition changes the state; nothing else does. It must be called with mu held.
func (l *Limiter) transition(now time.Duration, to State) {
	if to == l.state {
		return
	}
	l.state = to
	l.onStateChange(to)
	for _, tenant := range l.tenants { // local shares start empty: the last grants may have used the rate up
		tenant.localTokens, tenant.localRefilledAt = 0, now
	}
}

// SetAllocator sets the epoch for requests to the allocator, and the number of gateways. A lower epoch than
// the current one is ignored.
func (l *Limiter) SetAllocator(epoch uint64, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch > l.epoch {
		l.epoch, l.requestSentAt = epoch, 0
	}
	l.nodes = float64(max(1, nodes))
}

// Take decides whether to admit a request of a tenant. If it returns Wait, decide is called later, with no
// lock held. If it returns Deny, the client may retry after the given time.
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
		if tenant.tokens < renewThreshold*tenant.targetLease(l.nodes) {
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
		if tenant.spendLocal(now, l.nodes) {
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

// maySpendUnreported reports whether a request may be admitted without a leased token and reported to the
// allocator afterwards. This requires a recent grant that didn't list the tenant as exhausted, and is limited
// by unreportedLimit.
func (l *Limiter) maySpendUnreported(now time.Duration, tenant *tenantState) bool {
	return l.state == StateConnected && !tenant.exhausted && l.lastResponseAt != 0 &&
		now < l.lastResponseAt+statusValidity && tenant.unreported < tenant.unreportedLimit(l.nodes)
}

// tenant returns the state of a tenant, which it creates if necessary, with its limits updated.
func (l *Limiter) tenant(now time.Duration, name string, limits Limits) *tenantState {
	tenant := l.tenants[name]
	if tenant == nil {
		tenant = &tenantState{demandAt: now, localRefilledAt: now, leasedAt: now}
		l.tenants[name] = tenant
	}
	tenant.limits = limits
	return tenant
}

// requestTokens sends a request for all tenants that are short of tokens, unless one is in flight or was sent
// within requestInterval. While disconnected it sends a request even if no tenant is short of tokens: only a
// grant ends that state, and where the target leases are less than one token, no tenant would be short.
func (l *Limiter) requestTokens(now time.Duration) {
	if l.epoch == 0 { // no allocator is known yet: queued requests wait as they would for one that is silent
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
		if requested, ok := tenant.shortage(now, l.nodes); ok {
			tokens = append(tokens, message.TenantTokens{Tenant: name, Tokens: requested, Spent: tenant.unreported})
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

// hasQueued reports whether a request of any tenant is queued.
func (l *Limiter) hasQueued() bool {
	for _, tenant := range l.tenants {
		if len(tenant.queue) > 0 {
			return true
		}
	}
	return false
}

// HandleGrant applies the allocator's response to the request in flight, once. Responses to other requests
// are ignored, since those were abandoned. So is a grant under another epoch: it is from an allocator whose
// lease has ended, and the next one may grant the same tokens again.
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
		if tenant == nil || !(granted.Tokens >= 0) { // NaN or negative
			continue
		}
		decisions = append(decisions, tenant.applyGrant(now, granted, l.nodes)...)
	}
	l.requestTokens(now) // for requests that arrived since the last one
	l.mu.Unlock()
	runDecisions(decisions)
}

// Tick repeats token requests, decides on queued requests that should wait no longer, and removes idle
// tenants. It should be called about every 100 ms.
func (l *Limiter) Tick(now time.Duration) {
	l.mu.Lock()
	if l.silentSince != 0 && now > l.silentSince+disconnectAfter {
		l.transition(now, StateDisconnected)
	}
	var decisions []func()
	for name, tenant := range l.tenants {
		decisions = append(decisions, l.decideQueued(now, tenant)...)
		if tenant.idle(now) {
			delete(l.tenants, name)
		}
	}
	l.requestTokens(now)
	l.mu.Unlock()
	runDecisions(decisions)
}

// decideQueued returns decisions on the queued requests of a tenant. While connected, all are denied once the
// first has waited for longer than maxQueueTime. While disconnected, they are admitted as far as the local
// share has tokens, and the rest is denied.
func (l *Limiter) decideQueued(now time.Duration, tenant *tenantState) (decisions []func()) {
	for len(tenant.queue) > 0 && (l.state == StateDisconnected || now > tenant.queue[0].queuedAt+maxQueueTime) {
		if l.state == StateConnected || !tenant.spendLocal(now, l.nodes) {
			return append(decisions, tenant.denyQueued(l.nodes)...)
		}
		decisions = append(decisions, tenant.allowFirst())
	}
	return decisions
}

// runDecisions calls the functions of decisions. It must be called without mu held.
func runDecisions(decisions []func()) {
	for _, decision := range decisions {
		decision()
	}
}
