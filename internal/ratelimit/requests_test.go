package ratelimit

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// tokenRequest is a token request of an incarnation of a gateway, as the allocator receives it.
type tokenRequest struct {
	incarnation, id, lastGrant uint64
	tokens, spent              float64
}

// allocateAll sends requests to an allocator whose bucket contains 100 tokens, and returns what each was
// granted and what remains. With forget, the allocator has no record of earlier requests.
func allocateAll(requests []tokenRequest, forget bool) (granted []float64, remaining float64) {
	now := time.Hour
	allocator := NewAllocator(func(string) Limits { return Limits{Rate: 100, Burst: 100} })
	allocator.Activate(now, 1)
	now += 10 * time.Second
	allocate := func(from string, r tokenRequest) float64 {
		if forget {
			clear(allocator.requests)
		}
		g := allocator.Allocate(now, Requester{from, r.incarnation}, r.id, &message.TokenRequest{Epoch: 1,
			LastGrant: r.lastGrant,
			Tokens:    []message.TenantTokens{{Tenant: "t", Tokens: r.tokens, Spent: r.spent}}})
		if !g.OK {
			return 0
		}
		return g.Tokens[0].Tokens
	}
	for _, r := range requests {
		granted = append(granted, allocate("a", r))
	}
	return granted, allocate("b", tokenRequest{incarnation: 9, id: 1, tokens: 1000})
}

// A token request that arrives twice or late, or that is superseded after a timeout, counts once: both its
// lease and the spending that it reports. Requests of another incarnation count separately. An allocator
// without a record of earlier requests counts them twice.
func TestTokenRequestCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name         string
		requests     []tokenRequest
		granted      float64 // for the last request
		remaining    float64
		sameIfForgot bool // an allocator without a record of earlier requests gives the same result
	}{
		{"arrives twice", []tokenRequest{{1, 1, 0, 10, 5}, {1, 1, 0, 10, 5}}, 10, 85, false},
		{"superseded after a timeout", []tokenRequest{{1, 1, 0, 10, 5}, {1, 2, 0, 12, 6}}, 12, 82, false},
		{"superseded twice", []tokenRequest{{1, 1, 0, 10, 5}, {1, 2, 0, 12, 6}, {1, 3, 0, 9, 7}}, 9, 84, false},
		{"overtaken by the next", []tokenRequest{{1, 2, 0, 12, 6}, {1, 1, 0, 10, 5}}, 0, 82, false},
		{"each answered", []tokenRequest{{1, 1, 0, 10, 5}, {1, 2, 1, 10, 5}}, 10, 70, true},
		{"second unanswered", []tokenRequest{{1, 1, 0, 10, 0}, {1, 2, 1, 20, 0}, {1, 3, 1, 5, 0}}, 5, 85, false},
		{"another incarnation", []tokenRequest{{1, 1, 0, 10, 5}, {2, 1, 0, 10, 5}}, 10, 70, true},
	} {
		granted, remaining := allocateAll(c.requests, false)
		if last := granted[len(granted)-1]; last != c.granted || remaining != c.remaining {
			t.Errorf("%s: granted %v, remaining %v; want %v, %v", c.name, last, remaining, c.granted, c.remaining)
		}
		if _, remaining := allocateAll(c.requests, true); (remaining == c.remaining) != c.sameIfForgot {
			t.Errorf("%s: undetected: an allocator without a record of requests has %v remaining", c.name, remaining)
		}
	}
}

// After a restart of a gateway, a grant for its earlier incarnation may arrive under a request ID that is in
// flight again. The limiter ignores it, and applies its own grant once. Only the incarnation tells them
// apart.
func TestGrantForAnEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Hour
	var sent []*message.Message
	limiter := NewLimiter(2, func(string) Limits { return Limits{Rate: 100, Burst: 100} },
		func(msg *message.Message) { sent = append(sent, msg) }, func(State) {})
	limiter.SetAllocator(1, 1)
	admitted := 0
	take := func() Decision {
		v, _ := limiter.Take(now, "t", func(ok bool, _ time.Duration) {
			if ok {
				admitted++
			}
		})
		return v
	}
	grant := func(incarnation uint64) {
		tokens := sent[0].Body.(*message.TokenRequest).Tokens[0].Tokens
		limiter.HandleGrant(now, incarnation, sent[0].RequestID, &message.TokenGrant{Epoch: 1, OK: true,
			Tokens: []message.TenantTokens{{Tenant: "t", Tokens: tokens}}})
	}
	if take() != Wait || len(sent) != 1 {
		t.Fatalf("the first request sends no token request: %v", sent)
	}
	if grant(1); admitted != 0 || limiter.lastGrant != 0 {
		t.Errorf("%d admitted by a grant for an earlier incarnation", admitted)
	}
	grant(sent[0].Incarnation) // the same as the grant before, but for the incarnation
	tokens := limiter.tenants["t"].tokens
	grant(sent[0].Incarnation)
	if admitted != 1 || limiter.tenants["t"].tokens != tokens {
		t.Errorf("%d admitted, %v tokens; %v before the grant was repeated", admitted,
			limiter.tenants["t"].tokens, tokens)
	}
}
