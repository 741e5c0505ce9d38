package ratelimit

import (
	"testing"
	"time"

	"dunespoke/internal/controlplane/message"
)

// question is one of a incarnation of an gateway, as its allocator gets it.
type question struct {
	incarnation, call, granted uint64
	tokens, spent              float64
}

// left asks an allocator all questions, with a tenant's store of 100 full, and returns what was given by each
// and what is left. forgets plays an allocator that counts each question by itself.
func left(questions []question, forgets bool) (given []float64, rest float64) {
	now := time.Hour
	d := NewAllocator(func(string) Limits { return Limits{Rate: 100, Burst: 100} })
	d.Activate(now, 1)
	now += 10 * time.Second
	ask := func(from string, q question) float64 {
		if forgets {
			clear(d.requests)
		}
		g := d.Allocate(now, Requester{from, q.incarnation}, q.call, &message.TokenRequest{Epoch: 1,
			LastGrant: q.granted,
			Tokens:    []message.TenantTokens{{Tenant: "t", Tokens: q.tokens, Spent: q.spent}}})
		if !g.OK {
			return 0
		}
		return g.Tokens[0].Tokens
	}
	for _, q := range questions {
		given = append(given, ask("a", q))
	}
	return given, ask("b", question{incarnation: 9, call: 1, tokens: 1000})
}

// Given an gateway whose question comes twice, late, or anew after a silence, when the allocator answers,
// then what it leases and what was spent counts once, and that of another incarnation by itself. A allocator
// that forgets counts twice.
func TestAQuestionForTokensCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		questions []question
		given     float64 // for the last one
		rest      float64
		forgetful bool // an allocator that forgets does the same
	}{
		{"comes twice", []question{{1, 1, 0, 10, 5}, {1, 1, 0, 10, 5}}, 10, 85, false},
		{"asked anew after a silence", []question{{1, 1, 0, 10, 5}, {1, 2, 0, 12, 6}}, 12, 82, false},
		{"after two", []question{{1, 1, 0, 10, 5}, {1, 2, 0, 12, 6}, {1, 3, 0, 9, 7}}, 9, 84, false},
		{"overtaken by the next", []question{{1, 2, 0, 12, 6}, {1, 1, 0, 10, 5}}, 0, 82, false},
		{"each answered", []question{{1, 1, 0, 10, 5}, {1, 2, 1, 10, 5}}, 10, 70, true},
		{"the second not answered", []question{{1, 1, 0, 10, 0}, {1, 2, 1, 20, 0}, {1, 3, 1, 5, 0}}, 5, 85, false},
		{"another incarnation's", []question{{1, 1, 0, 10, 5}, {2, 1, 0, 10, 5}}, 10, 70, true},
	} {
		given, rest := left(c.questions, false)
		if last := given[len(given)-1]; last != c.given || rest != c.rest {
			t.Errorf("%s: given %v, left %v; want %v, %v", c.name, last, rest, c.given, c.rest)
		}
		if _, rest := left(c.questions, true); (rest == c.rest) != c.forgetful {
			t.Errorf("%s: %v left at an allocator that forgets: the test doesn't tell it apart", c.name, rest)
		}
	}
}

// Given an gateway that was started again, when the grant of its earlier incarnation comes under a call that
// is out again, then it is not taken, and its own is, once. Without the incarnation it would be.
func TestAGrantForAnEarlierIncarnationIsNotTaken(t *testing.T) {
	now := time.Hour
	var out []*message.Message
	m := NewLimiter(2, func(string) Limits { return Limits{Rate: 100, Burst: 100} },
		func(q *message.Message) { out = append(out, q) }, func(State) {})
	m.SetAllocator(1, 1)
	passed := 0
	take := func() Decision {
		v, _ := m.Take(now, "t", func(ok bool, _ time.Duration) {
			if ok {
				passed++
			}
		})
		return v
	}
	grant := func(incarnation uint64) {
		tokens := out[0].Body.(*message.TokenRequest).Tokens[0].Tokens
		m.HandleGrant(now, incarnation, out[0].RequestID, &message.TokenGrant{Epoch: 1, OK: true,
			Tokens: []message.TenantTokens{{Tenant: "t", Tokens: tokens}}})
	}
	if take() != Wait || len(out) != 1 {
		t.Fatalf("the first request doesn't ask: %v", out)
	}
	if grant(1); passed != 0 || m.lastGrant != 0 {
		t.Errorf("%d passed by a grant of an earlier incarnation", passed)
	}
	grant(out[0].Incarnation) // what the grant before would be, were its incarnation not looked at
	tokens := m.tenants["t"].tokens
	grant(out[0].Incarnation)
	if passed != 1 || m.tenants["t"].tokens != tokens {
		t.Errorf("%d passed, %v tokens left; %v before it came again", passed, m.tenants["t"].tokens, tokens)
	}
}
