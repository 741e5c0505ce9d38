// Package ratelimit enforces the tenants' quotas across all gateways. One process, the Allocator, keeps the
// token buckets; the Limiter of each gateway leases tokens from it before they are needed, in proportion to
// its demand, and spends them. The package does no I/O and reads no clock: callers pass messages and the
// time.
//
// Leased tokens are bounded: a tenant's bucket contains at most its burst, and all gateways together have at
// most maxLeasedTokens on lease. So at most rate*window + burst + maxLeasedTokens requests are admitted in
// any window, which is within the permitted excess over the quota.
package ratelimit

// Limits is the quota of a tenant.
type Limits struct {
	Rate  float64 // requests per second; zero means no limit
	Burst float64 // requests that may be admitted beyond the rate
}

// bucketSize returns the capacity of a tenant's bucket in tokens: at least one, so that a request can be
// admitted at all.
func (l Limits) bucketSize() float64 { return max(1, l.Burst) }

// A quota is measured over a window of quotaWindowSeconds, and may be exceeded by 10% and 20 requests. Leases
// may use 8 of the 10 percent and 14 of the 20 requests.
const (
	quotaWindowSeconds = 5.0
	leaseQuotaFraction = 0.08
	leaseFixedTokens   = 14.0
)

// disconnectedFraction is the fraction of its even share of the rate and of the burst that a gateway may
// spend while it can't reach the allocator.
const disconnectedFraction = 0.5

// maxLeasedTokens returns how many tokens of a tenant all gateways together may have on lease.
func maxLeasedTokens(l Limits) float64 {
	return leaseQuotaFraction*(l.Rate*quotaWindowSeconds+l.Burst) + leaseFixedTokens
}
