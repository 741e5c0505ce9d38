// Package ratelimit holds tenants to their quotas over all gateways together. One process, the Allocator,
// keeps the token buckets; each gateway's Limiter leases tokens from it by its demand, early, and spends
// them. The package knows no wire and no clock.
//
// What is out in leases is counted: a tenant's bucket holds at most its burst, and what all gateways together
// may hold beside it is bounded by maxLeasedTokens. So in any window of the rules no more than rate*window +
// burst + maxLeasedTokens is let in, which is under what the rules allow over the quota.
package ratelimit

// Limits are a tenant's.
type Limits struct {
	Rate  float64 // requests a second; 0: no limit
	Burst float64 // requests above that
}

// bucketSize is how many tokens a tenant's bucket holds: at least one, so that a request can pass at all.
func (l Limits) bucketSize() float64 { return max(1, l.Burst) }

// What the rules allow over a quota within a window, and how much of that leases may take: eight of the ten
// in a hundred over the quota, and fourteen of the twenty requests beside.
const (
	quotaWindowSeconds = 5.0
	leaseQuotaShare    = 0.08
	leaseFixedTokens   = 14.0
)

// disconnectedShare is the part of an even share of the rate that a gateway may spend while it can't reach
// the allocator.
const disconnectedShare = 0.5

// maxLeasedTokens is how many tokens of a tenant all gateways together may hold in leases.
func maxLeasedTokens(l Limits) float64 {
	return leaseQuotaShare*(l.Rate*quotaWindowSeconds+l.Burst) + leaseFixedTokens
}
