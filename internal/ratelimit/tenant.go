package ratelimit

import (
	"math"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Parameters of leases.
const (
	targetLeaseSeconds  = 0.9             // seconds of demand that a lease covers
	renewThreshold      = 0.3             // fraction of the target lease below which it is renewed
	minLeaseDemand      = 0.5             // requests per second, below which no lease is kept
	demandWindowSeconds = 2.0             // time constant of the demand average
	leaseDuration       = 2 * time.Second // after which unspent tokens expire: they may be counted as lost
)

const (
	// emptyValidity is for how long a bucket that was found empty is assumed to be empty.
	emptyValidity = 60 * time.Millisecond
	// idleRetention is after how long without a request the state of a tenant is removed.
	idleRetention = time.Minute
	// Bounds of the time after which a client may retry.
	minRetryAfterSeconds = 0.05
	maxRetryAfterSeconds = 1
	// unreportedBurstFraction is the fraction of a gateway's even share of the burst that it may spend before
	// it reports the spending.
	unreportedBurstFraction = 0.25
	// minLocalBurst is the minimum burst of the local share, in requests.
	minLocalBurst = 2
)

// tenantState is a Limiter's state for a tenant.
type tenantState struct {
	limits     Limits
	tokens     float64 // leased and unspent
	leasedAt   time.Duration
	demand     float64 // at demandAt: requests per second, exponentially averaged
	demandAt   time.Duration
	requested  float64       // tokens requested by the request in flight
	unreported float64       // spent beyond the lease and not reported
	exhausted  bool          // only granted tokens may be spent
	emptyUntil time.Duration // until when the bucket is assumed to be empty
	queue      []queuedRequest

	localTokens     float64 // of the local share, which is spent while disconnected
	localRefilledAt time.Duration
}

// queuedRequest is a request that waits for tokens.
type queuedRequest struct {
	queuedAt time.Duration
	decide   Decide
}

// recordDemand adds a request to the average demand.
func (t *tenantState) recordDemand(now time.Duration) {
	t.demand = t.currentDemand(now) + 1/demandWindowSeconds
	t.demandAt = now
}

// currentDemand returns the average demand in requests per second, decayed to now.
func (t *tenantState) currentDemand(now time.Duration) float64 {
	return t.demand * math.Exp(-(now-t.demandAt).Seconds()/demandWindowSeconds)
}

// dropExpiredLease drops tokens that were not spent within leaseDuration.
func (t *tenantState) dropExpiredLease(now time.Duration) {
	if now > t.leasedAt+leaseDuration {
		t.tokens = min(t.tokens, 0)
	}
}

// retryAfter returns the time after which the bucket may have a token again for this gateway, one of nodes.
func (t *tenantState) retryAfter(nodes float64) time.Duration {
	seconds := min(maxRetryAfterSeconds, max(minRetryAfterSeconds, nodes/t.limits.Rate))
	return time.Duration(seconds * float64(time.Second))
}

// targetLease returns how many tokens to lease: those for the demand of the next targetLeaseSeconds, and at
// most an even share of maxLeasedTokens; zero if that share is less than one token.
func (t *tenantState) targetLease(nodes float64) float64 {
	return math.Floor(min(max(1, targetLeaseSeconds*t.demand), maxLeasedTokens(t.limits)/nodes))
}

// unreportedLimit returns how many requests a gateway may admit before it reports them to the allocator.
func (t *tenantState) unreportedLimit(nodes float64) float64 {
	return max(1, t.limits.Burst*unreportedBurstFraction/nodes)
}

// shortage returns how many tokens to request; ok reports whether there is anything to request or to report.
func (t *tenantState) shortage(now time.Duration, nodes float64) (tokens float64, ok bool) {
	want := float64(len(t.queue)) - max(t.tokens, 0)
	if t.currentDemand(now) > minLeaseDemand {
		want += t.targetLease(nodes)
	}
	t.requested = math.Ceil(max(want, 0))
	return t.requested, want >= 1 || t.unreported > 0
}

// spendLocal spends a token of the local share of a disconnected gateway, and reports whether there was one.
func (t *tenantState) spendLocal(now time.Duration, nodes float64) bool {
	rate := disconnectedFraction * t.limits.Rate / nodes
	burst := max(minLocalBurst, disconnectedFraction*t.limits.Burst/nodes)
	t.localTokens = min(burst, t.localTokens+rate*(now-t.localRefilledAt).Seconds())
	t.localRefilledAt = now
	if t.localTokens < 1 {
		return false
	}
	t.localTokens--
	return true
}

// applyGrant adds granted tokens to the lease, and returns the decisions on queued requests. If the grant is
// less than was requested and requests remain, the bucket is empty and they are denied.
func (t *tenantState) applyGrant(now time.Duration, granted message.TenantTokens,
	nodes float64) (decisions []func()) {
	t.unreported = max(0, t.unreported-max(granted.Spent, 0))
	t.tokens += granted.Tokens
	t.leasedAt = now
	for len(t.queue) > 0 && t.tokens >= 1 {
		t.tokens--
		decisions = append(decisions, t.allowFirst())
	}
	if len(t.queue) > 0 && granted.Tokens < t.requested { // the bucket is empty
		t.emptyUntil = now + emptyValidity
		decisions = append(decisions, t.denyQueued(nodes)...)
	}
	return decisions
}

// allowFirst removes the first request of the queue and returns the decision that admits it.
func (t *tenantState) allowFirst() func() {
	first := t.queue[0]
	t.queue = t.queue[1:]
	return func() { first.decide(true, 0) }
}

// denyQueued empties the queue and returns the decisions that deny its requests.
func (t *tenantState) denyQueued(nodes float64) (decisions []func()) {
	retryAfter := t.retryAfter(nodes)
	for _, request := range t.queue {
		decisions = append(decisions, func() { request.decide(false, retryAfter) })
	}
	t.queue = nil
	return decisions
}

// idle reports whether the state of a tenant can be removed.
func (t *tenantState) idle(now time.Duration) bool {
	return len(t.queue) == 0 && now > t.demandAt+idleRetention
}
