package scale

import (
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/ratelimit"
)

const (
	// tenantsPerRequest is how many tenants a token request names that is timed.
	tenantsPerRequest = 5
	// exhaustedPart is which part of the tenants has less than half of its burst left: each grant names them.
	exhaustedPart = 0.01

	tenantBurst = 20
	tenantRate  = 10
)

func tenantLimits(string) ratelimit.Limits {
	return ratelimit.Limits{Rate: tenantRate, Burst: tenantBurst}
}

// measureAllocator measures a token request at the allocator that holds all tenants' quotas.
func (m *operationsMeter) measureAllocator(d Dataset) {
	row := m.rows("allocator", "tenants", d.Tenants)
	allocator := ratelimit.NewAllocator(tenantLimits)
	before := liveHeap()
	allocator.Activate(time.Hour, 1)
	now := time.Hour + time.Minute // by when all token buckets are full
	all, exhausted := &message.TokenRequest{Epoch: 1}, &message.TokenRequest{Epoch: 1, LastGrant: 1}
	for i := range d.Tenants {
		all.Tokens = append(all.Tokens, message.TenantTokens{Tenant: tenant(i)})
		if i < int(exhaustedPart*float64(d.Tenants)) {
			exhausted.Tokens = append(exhausted.Tokens,
				message.TenantTokens{Tenant: tenant(i), Tokens: tenantBurst})
		}
	}
	requester := ratelimit.Requester{Addr: "10.0.0.1:7"}
	allocator.Allocate(now, requester, 1, all)
	row("token buckets", "MB", (liveHeap()-before)/1e6)
	allocator.Allocate(now, requester, 2, exhausted)

	request := &message.TokenRequest{Epoch: 1}
	for i := range tenantsPerRequest {
		request.Tokens = append(request.Tokens, message.TenantTokens{Tenant: tenant(d.Tenants - 1 - i), Spent: 1})
	}
	requestID := uint64(2)
	var grant *message.TokenGrant
	allocate := m.measure(func() {
		request.LastGrant = requestID
		requestID++
		grant = allocator.Allocate(now, requester, requestID, request)
	})
	row("a request", "ms", allocate.milliseconds())
	row("a request: message", "B", float64(encodedSize(request)))
	row("its grant, with 1 in 100 tenants exhausted", "B", float64(encodedSize(grant)))
}

// limiterSession is a limiter whose requests are granted at once.
type limiterSession struct {
	limiter *ratelimit.Limiter
	now     time.Duration
	pending *message.Message // that the limiter has sent
	grant   message.TokenGrant
}

func newLimiterSession(ingresses, exhaustedTenants int) *limiterSession {
	s := &limiterSession{now: time.Hour, grant: message.TokenGrant{OK: true}}
	s.limiter = ratelimit.NewLimiter(1, tenantLimits, func(m *message.Message) { s.pending = m },
		func(ratelimit.State) {})
	s.limiter.SetAllocator(1, ingresses)
	for i := range exhaustedTenants {
		s.grant.ExhaustedTenants = append(s.grant.ExhaustedTenants, tenant(1_000_000+i))
	}
	return s
}

func (s *limiterSession) take(i int) {
	s.limiter.Take(s.now, tenant(i), func(bool, time.Duration) {})
}

// grantAll grants what the limiter asks for, until it asks for nothing more.
func (s *limiterSession) grantAll() {
	for request := s.pending; request != nil; request = s.pending {
		s.pending, s.grant.Tokens = nil, request.Body.(*message.TokenRequest).Tokens
		s.now += 30 * time.Millisecond // past the pause between requests
		s.limiter.HandleGrant(s.now, 1, request.RequestID, &s.grant)
	}
}

// measureLimiter measures a token request of an ingress and its grant, with so many tenants seen in the last
// minute.
func (m *operationsMeter) measureLimiter(tenantsSeen, ingresses int) {
	const rounds = 10
	row := m.rows("limiter", "tenants seen in a minute", tenantsSeen)
	session := newLimiterSession(ingresses, int(exhaustedPart*float64(m.Dataset.Tenants)))
	before := liveHeap()
	for i := range tenantsSeen {
		session.take(i)
	}
	session.grantAll()
	row("accounts", "MB", (liveHeap()-before)/1e6)
	round := m.measure(func() {
		for i := range rounds {
			session.now += 100 * time.Millisecond
			session.take(tenantsSeen - 1 - i%tenantsSeen)
			session.grantAll()
		}
	})
	row("a request and its grant", "ms", round.milliseconds()/rounds)
}
