package ratelimit

import (
	"math"
	"time"

	"dunespoke/internal/controlplane/message"
)

// How much is leased ahead.
const (
	leaseAheadSeconds = 0.9             // seconds of demand
	renewShare        = 0.3             // part of that under which a lease is renewed
	minLeaseDemand    = 0.5             // requests a second of a tenant, under which nothing is leased ahead
	demandWindow      = 2.0             // seconds over which demand is averaged
	leaseDuration     = 2 * time.Second // after which what was not spent is no longer: it may be counted as lost
)

const (
	// emptyHoldTime is for how long a bucket that was found empty is taken to be so.
	emptyHoldTime = 60 * time.Millisecond
	// idleRetention is after how long without a request a tenant is forgotten.
	idleRetention = time.Minute
	// Bounds of what a client is told when to come back, in seconds.
	minRetryAfter = 0.05
	maxRetryAfter = 1
	// burstPartUnreported is the part of an even share of its burst that may be spent before it is reported.
	burstPartUnreported = 0.25
	// minLocalBurst is how many requests the local share lets through at once at the least.
	minLocalBurst = 2
)

// tenantState is what a Limiter knows of a tenant.
type tenantState struct {
	limits     Limits
	tokens     float64 // leased and not spent
	leasedAt   time.Duration
	demand     float64 // requests a second, smoothed
	demandAt   time.Duration
	requested  float64 // tokens asked for by the request that is out
	unreported float64 // spent beyond the lease, and not reported
	exhausted  bool    // it may spend only what was granted
	emptyUntil time.Duration
	queue      []queuedRequest

	localTokens     float64 // of the local share, while disconnected
	localRefilledAt time.Duration
}

// queuedRequest is one that waits for tokens.
type queuedRequest struct {
	queuedAt time.Duration
	decide   Decide
}

// recordDemand counts a request.
func (t *tenantState) recordDemand(now time.Duration) {
	t.demand = t.currentDemand(now) + 1/demandWindow
	t.demandAt = now
}

// currentDemand is the smoothed demand, in requests a second.
func (t *tenantState) currentDemand(now time.Duration) float64 {
	return t.demand * math.Exp(-(now-t.demandAt).Seconds()/demandWindow)
}

// dropExpiredLease drops tokens that were not spent in time.
func (t *tenantState) dropExpiredLease(now time.Duration) {
	if now > t.leasedAt+leaseDuration {
		t.tokens = min(t.tokens, 0)
	}
}

// retryAfter is when a tenant's bucket may have tokens again for one of so many nodes.
func (t *tenantState) retryAfter(nodes float64) time.Duration {
	seconds := min(maxRetryAfter, max(minRetryAfter, nodes/t.limits.Rate))
	return time.Duration(seconds * float64(time.Second))
}

// targetLease is how many tokens to hold: some of the demand to come, and no more than an even part of what
// may be leased; none where that is less than a request.
func (t *tenantState) targetLease(nodes float64) float64 {
	return math.Floor(min(max(1, leaseAheadSeconds*t.demand), maxLeasedTokens(t.limits)/nodes))
}

// unreportedLimit is how much a gateway may let in before it has told the allocator.
func (t *tenantState) unreportedLimit(nodes float64) float64 {
	return max(1, t.limits.Burst*burstPartUnreported/nodes)
}

// shortage returns how many tokens to ask for; ok reports whether there is anything to ask for or to report.
func (t *tenantState) shortage(now time.Duration, nodes float64) (tokens float64, ok bool) {
	want := float64(len(t.queue)) - max(t.tokens, 0)
	if t.currentDemand(now) > minLeaseDemand {
		want += t.targetLease(nodes)
	}
	t.requested = math.Ceil(max(want, 0))
	return t.requested, want >= 1 || t.unreported > 0
}

// takeLocal spends a token of the even share that a disconnected gateway has.
func (t *tenantState) takeLocal(now time.Duration, nodes float64) bool {
	rate := disconnectedShare * t.limits.Rate / nodes
	burst := max(minLocalBurst, disconnectedShare*t.limits.Burst/nodes)
	t.localTokens = min(burst, t.localTokens+rate*(now-t.localRefilledAt).Seconds())
	t.localRefilledAt = now
	if t.localTokens < 1 {
		return false
	}
	t.localTokens--
	return true
}

// takeGrant takes what was granted, and returns the decisions on requests that have waited for it.
func (t *tenantState) takeGrant(now time.Duration, granted message.TenantTokens,
	nodes float64) (decisions []func()) {
	t.unreported = max(0, t.unreported-max(granted.Spent, 0))
	t.tokens += granted.Tokens
	t.leasedAt = now
	for len(t.queue) > 0 && t.tokens >= 1 {
		t.tokens--
		decisions = append(decisions, t.allowFirst())
	}
	if len(t.queue) > 0 && granted.Tokens < t.requested { // the bucket is empty
		t.emptyUntil = now + emptyHoldTime
		decisions = append(decisions, t.denyQueued(nodes)...)
	}
	return decisions
}

// allowFirst lets the first request of the queue in.
func (t *tenantState) allowFirst() func() {
	first := t.queue[0]
	t.queue = t.queue[1:]
	return func() { first.decide(true, 0) }
}

// denyQueued refuses all that wait.
func (t *tenantState) denyQueued(nodes float64) (decisions []func()) {
	retryAfter := t.retryAfter(nodes)
	for _, request := range t.queue {
		decisions = append(decisions, func() { request.decide(false, retryAfter) })
	}
	t.queue = nil
	return decisions
}

// idle reports whether a tenant can be forgotten.
func (t *tenantState) idle(now time.Duration) bool {
	return len(t.queue) == 0 && now > t.demandAt+idleRetention
}
