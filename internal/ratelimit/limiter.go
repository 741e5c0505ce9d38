package ratelimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Tuned times, each with its reason.
const (
	requestInterval   = 25 * time.Millisecond  // between questions at the least: a burst makes one
	reportInterval    = 80 * time.Millisecond  // and between those that only tell what was spent
	statusValidity    = 600 * time.Millisecond // after an answer of the desk, what it said of a tenant holds
	requestTimeout    = 200 * time.Millisecond // for an answer: many ways there and back
	maxGrantAge       = time.Second            // and none is taken that is later: it was held up with a process
	disconnectAfter   = 350 * time.Millisecond // without an answer, the desk can't be reached
	maxQueueTime      = 400 * time.Millisecond // for a request: by then it is known whether the desk is there
	emptyHoldTime     = 60 * time.Millisecond  // for which a store that was found empty is taken to be so
	leaseAheadSeconds = 0.9                    // seconds of demand leased ahead
	renewShare        = 0.3                    // part of that under which a lease is renewed
	// requests a second of a tenant, under which nothing is leased ahead
	minLeaseDemand = 0.5
	demandHalfLife = 2.0 // seconds over which demand is averaged
	// after which what was not spent is no longer: it may be counted as lost
	leaseDuration = 2 * time.Second
)

// State is what a Meter is in.
type State int

// The states of a Meter.
const (
	StateConnected    State = iota // the desk answers, or is not known yet to be silent
	StateDisconnected              // it does not: an even share is gone by
)

// Decision is what becomes of a request.
type Decision int

// The verdicts.
const (
	Allow Decision = iota
	Wait           // Decided will be called
	Deny
)

type tenantState struct {
	limits          Limits
	tokens          float64 // leased and not spent
	leasedAt        time.Duration
	demand          float64 // requests a second, smoothed
	demandAt        time.Duration
	emptyUntil      time.Duration // until when the desk is known to have none
	requested       float64       // asked for by the question that is out
	unreported      float64       // spent beyond the lease, and not told
	exhausted       bool          // it may spend only what was given
	queue           []queuedRequest
	localTokens     float64 // tokens of the even share
	localRefilledAt time.Duration
}

type queuedRequest struct {
	queuedAt time.Duration
	decide   func(ok bool, after time.Duration)
}

// Limiter holds an ingress's requests to what it has leased. Its methods may be called from any goroutine.
type Limiter struct {
	mu             sync.Mutex
	state          State
	incarnation    uint64 // of the process: no other has or had it
	limits         func(tenant string) Limits
	send           func(m *message.Message) // to the desk; it must not block
	onStateChange  func(State)
	tenants        map[string]*tenantState
	epoch          uint64
	nodes          float64
	requestID      uint64
	lastGrant      uint64        // the call whose grant was taken last
	requestSentAt  time.Duration // when the question that is out was sent; 0: none is
	lastRequestAt  time.Duration // when the last was sent
	silentSince    time.Duration // since when no question was answered; 0: the last one was
	lastResponseAt time.Duration // when the last answer came; 0: none has
}

// NewLimiter returns the meter of a life of a process. Change is told of states.
func NewLimiter(life uint64, limits func(tenant string) Limits, send func(*message.Message),
	change func(State)) *Limiter {
	return &Limiter{
		incarnation:   life,
		limits:        limits,
		send:          send,
		onStateChange: change,
		tenants:       map[string]*tenantState{},
		nodes:         1,
	}
}

// transition is the one place where the state changes.
func (m *Limiter) transition(now time.Duration, s State) {
	if s == m.state {
		return
	}
	m.state = s
	m.onStateChange(s)
	for _, a := range m.tenants { // shares begin empty: what the desk has given last was all that there was
		a.localTokens, a.localRefilledAt = 0, now
	}
}

// SetAllocator takes the epoch under which the desk is to be asked, and how many ingresses there are.
func (m *Limiter) SetAllocator(epoch uint64, members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch > m.epoch {
		m.epoch, m.requestSentAt = epoch, 0
	}
	m.nodes = float64(max(1, members))
}

// Take asks to let a request of a tenant in. With Wait, decided is called later, and not under a lock.
func (m *Limiter) Take(now time.Duration, tenant string,
	decided func(ok bool, after time.Duration)) (v Decision, after time.Duration) {
	l := m.limits(tenant)
	if l.Rate <= 0 {
		return Allow, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.tenant(now, tenant, l)
	a.demand = a.demand*math.Exp(-(now-a.demandAt).Seconds()/demandHalfLife) + 1/demandHalfLife
	a.demandAt = now
	if now > a.leasedAt+leaseDuration {
		a.tokens = min(a.tokens, 0)
	}
	switch {
	case a.tokens >= 1:
		a.tokens--
		if a.tokens < renewShare*m.targetLease(a) {
			m.requestTokens(now)
		}
		return Allow, 0
	case m.state == StateConnected && !a.exhausted && m.lastResponseAt != 0 &&
		now < m.lastResponseAt+statusValidity && a.unreported < m.unreportedLimit(a):
		a.unreported++
		if now >= m.lastRequestAt+reportInterval {
			m.requestTokens(now)
		}
		return Allow, 0
	case m.state == StateDisconnected:
		m.requestTokens(now)
		if m.takeLocal(now, a) {
			return Allow, 0
		}
		return Deny, m.retryAfter(a)
	case now < a.emptyUntil:
		return Deny, m.retryAfter(a)
	}
	a.queue = append(a.queue, queuedRequest{now, decided})
	m.requestTokens(now)
	return Wait, 0
}

func (m *Limiter) tenant(now time.Duration, tenant string, l Limits) *tenantState {
	a := m.tenants[tenant]
	if a == nil {
		a = &tenantState{demandAt: now, localRefilledAt: now, leasedAt: now}
		m.tenants[tenant] = a
	}
	a.limits = l
	return a
}

// retryAfter is when a tenant's store may have tokens again, for this ingress.
func (m *Limiter) retryAfter(a *tenantState) time.Duration {
	return time.Duration(min(1, max(0.05, m.nodes/a.limits.Rate)) * float64(time.Second))
}

// targetLease is how many tokens to hold: some of the demand to come, and no more than an even part of the
// room; none where that is less than a request.
func (m *Limiter) targetLease(a *tenantState) float64 {
	return math.Floor(min(max(1, leaseAheadSeconds*a.demand), maxLeasedTokens(a.limits)/m.nodes))
}

// unreportedLimit is how much an ingress may let in before it has told the desk.
func (m *Limiter) unreportedLimit(a *tenantState) float64 { return max(1, a.limits.Burst/4/m.nodes) }

// takeLocal spends of the even share that an ingress has alone.
func (m *Limiter) takeLocal(now time.Duration, a *tenantState) bool {
	rate := disconnectedShare * a.limits.Rate / m.nodes
	a.localTokens = min(
		max(2, disconnectedShare*a.limits.Burst/m.nodes),
		a.localTokens+rate*(now-a.localRefilledAt).Seconds(),
	)
	a.localRefilledAt = now
	if a.localTokens < 1 {
		return false
	}
	a.localTokens--
	return true
}

// requestTokens sends a question for all that is short, unless one is out. Alone it asks if nothing is short,
// too: only an answer ends that, and where shares of the room are parts of a request nothing is leased ahead.
func (m *Limiter) requestTokens(now time.Duration) {
	if m.epoch == 0 { // no desk is known yet: who waits does so no longer than for one that is silent
		if m.silentSince == 0 && m.hasQueued() {
			m.silentSince = max(now, 1)
		}
		return
	}
	if m.requestSentAt != 0 && now < m.requestSentAt+requestTimeout ||
		now < m.lastRequestAt+requestInterval && m.lastRequestAt != 0 {
		return
	}
	var tolls []message.TenantTokens
	for tenant, a := range m.tenants {
		want := float64(len(a.queue)) - max(a.tokens, 0)
		if a.demand*math.Exp(-(now-a.demandAt).Seconds()/demandHalfLife) > minLeaseDemand {
			want += m.targetLease(a)
		}
		a.requested = math.Ceil(max(want, 0))
		if want >= 1 || a.unreported > 0 {
			tolls = append(tolls, message.TenantTokens{Tenant: tenant, Tokens: a.requested, Spent: a.unreported})
		}
	}
	if len(tolls) == 0 && m.state == StateConnected {
		return
	}
	m.requestID++
	m.requestSentAt, m.lastRequestAt = max(now, 1), max(now, 1)
	if m.silentSince == 0 {
		m.silentSince = m.requestSentAt
	}
	m.send(
		&message.Message{
			Type:        message.TypeTokenRequest,
			Incarnation: m.incarnation,
			RequestID:   m.requestID,
			Epoch:       m.epoch,
			LastGrant:   m.lastGrant,
			Tokens:      tolls,
		},
	)
}

// hasQueued reports whether some request waits.
func (m *Limiter) hasQueued() bool {
	for _, a := range m.tenants {
		if len(a.queue) > 0 {
			return true
		}
	}
	return false
}

// HandleGrant takes the desk's answer to the question that is out, once. Any other has been given up. One
// under another epoch is of a desk whose duty has ended: what it gives is given once more by the next.
func (m *Limiter) HandleGrant(now time.Duration, g *message.Message) {
	m.mu.Lock()
	if g.Incarnation != m.incarnation || g.RequestID != m.requestID || g.Epoch != m.epoch || !g.OK ||
		m.requestSentAt == 0 || now >= m.requestSentAt+maxGrantAge {
		m.mu.Unlock()
		return
	}
	m.requestSentAt, m.silentSince, m.lastResponseAt, m.lastGrant = 0, 0, max(now, 1), g.RequestID
	m.transition(now, StateConnected)
	var then []func()
	for tenant, a := range m.tenants {
		a.exhausted = slices.Contains(g.ExhaustedTenants, tenant)
	}
	for _, t := range g.Tokens {
		a := m.tenants[t.Tenant]
		if a == nil || !(t.Tokens >= 0) {
			continue
		}
		a.unreported = max(0, a.unreported-max(t.Spent, 0))
		a.tokens += t.Tokens
		a.leasedAt = now
		for len(a.queue) > 0 && a.tokens >= 1 {
			w := a.queue[0]
			a.queue = a.queue[1:]
			a.tokens--
			then = append(then, func() { w.decide(true, 0) })
		}
		if len(a.queue) > 0 && t.Tokens < a.requested { // the store is empty
			a.emptyUntil = now + emptyHoldTime
			then = append(then, m.denyQueued(a)...)
		}
	}
	m.requestTokens(now) // for those that came since
	m.mu.Unlock()
	for _, f := range then {
		f()
	}
}

// denyQueued refuses all that wait for a tenant.
func (m *Limiter) denyQueued(a *tenantState) (then []func()) {
	after := m.retryAfter(a)
	for _, w := range a.queue {
		then = append(then, func() { w.decide(false, after) })
	}
	a.queue = nil
	return then
}

// Tick asks again for what is short, and decides on what has waited too long. It is to be called every 100 ms
// or so.
func (m *Limiter) Tick(now time.Duration) {
	m.mu.Lock()
	if m.silentSince != 0 && now > m.silentSince+disconnectAfter {
		m.transition(now, StateDisconnected)
	}
	var then []func()
	for tenant, a := range m.tenants {
		for len(a.queue) > 0 && (m.state == StateDisconnected || now > a.queue[0].queuedAt+maxQueueTime) {
			if m.state == StateConnected || !m.takeLocal(now, a) {
				then = append(then, m.denyQueued(a)...)
				break
			}
			w := a.queue[0]
			a.queue = a.queue[1:]
			then = append(then, func() { w.decide(true, 0) })
		}
		if len(a.queue) == 0 && now > a.demandAt+time.Minute {
			delete(m.tenants, tenant)
		}
	}
	m.requestTokens(now)
	m.mu.Unlock()
	for _, f := range then {
		f()
	}
}
