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
	askEvery   = 25 * time.Millisecond  // between questions at the least: a burst makes one
	debtEvery  = 80 * time.Millisecond  // and between those that only tell what was spent
	openFor    = 600 * time.Millisecond // after an answer of the desk, what it said of a tenant holds
	askLimit   = 200 * time.Millisecond // for an answer: many ways there and back
	grantMost  = time.Second            // and none is taken that is later: it was held up with a process
	aloneAfter = 350 * time.Millisecond // without an answer, the desk can't be reached
	waitMost   = 400 * time.Millisecond // for a request: by then it is known whether the desk is there
	dryTime    = 60 * time.Millisecond  // for which a store that was found empty is taken to be so
	ahead      = 0.9                    // seconds of demand leased ahead
	low        = 0.3                    // part of that under which a lease is renewed
	askDemand  = 0.5                    // requests a second of a tenant, under which nothing is leased ahead
	memory     = 2.0                    // seconds over which demand is averaged
	leaseLife  = 2 * time.Second        // after which what was not spent is no longer: it may be counted as lost
)

// State is what a Meter is in.
type State int

// The states of a Meter.
const (
	Reaching State = iota // the desk answers, or is not known yet to be silent
	Alone                 // it does not: an even share is gone by
)

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Pass Verdict = iota
	Wait         // Decided will be called
	Deny
)

type account struct {
	limits  Limits
	tokens  float64 // leased and not spent
	got     time.Duration
	demand  float64 // requests a second, smoothed
	at      time.Duration
	dry     time.Duration // until when the desk is known to have none
	wanted  float64       // asked for by the question that is out
	debt    float64       // spent beyond the lease, and not told
	shut    bool          // it may spend only what was given
	waiting []waiter
	alone   float64 // tokens of the even share
	aloneAt time.Duration
}

type waiter struct {
	since   time.Duration
	decided func(ok bool, after time.Duration)
}

// Meter holds an ingress's requests to what it has leased. Its methods may be called from any goroutine.
type Meter struct {
	mu       sync.Mutex
	state    State
	life     uint64 // of the process: no other has or had it
	limits   func(tenant string) Limits
	send     func(m *message.Message) // to the desk; it must not block
	change   func(State)
	accounts map[string]*account
	epoch    uint64
	members  float64
	call     uint64
	granted  uint64        // the call whose grant was taken last
	asked    time.Duration // when the question that is out was sent; 0: none is
	last     time.Duration // when the last was sent
	silent   time.Duration // since when no question was answered; 0: the last one was
	heard    time.Duration // when the last answer came; 0: none has
}

// NewMeter returns the meter of a life of a process. Change is told of states.
func NewMeter(life uint64, limits func(tenant string) Limits, send func(*message.Message),
	change func(State)) *Meter {
	return &Meter{life: life, limits: limits, send: send, change: change, accounts: map[string]*account{},
		members: 1}
}

// become is the one place where the state changes.
func (m *Meter) become(now time.Duration, s State) {
	if s == m.state {
		return
	}
	m.state = s
	m.change(s)
	for _, a := range m.accounts { // shares begin empty: what the desk has given last was all that there was
		a.alone, a.aloneAt = 0, now
	}
}

// Serve takes the epoch under which the desk is to be asked, and how many ingresses there are.
func (m *Meter) Serve(epoch uint64, members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch > m.epoch {
		m.epoch, m.asked = epoch, 0
	}
	m.members = float64(max(1, members))
}

// Take asks to let a request of a tenant in. With Wait, decided is called later, and not under a lock.
func (m *Meter) Take(now time.Duration, tenant string,
	decided func(ok bool, after time.Duration)) (v Verdict, after time.Duration) {
	l := m.limits(tenant)
	if l.Rate <= 0 {
		return Pass, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(now, tenant, l)
	a.demand = a.demand*math.Exp(-(now-a.at).Seconds()/memory) + 1/memory
	a.at = now
	if now > a.got+leaseLife {
		a.tokens = min(a.tokens, 0)
	}
	switch {
	case a.tokens >= 1:
		a.tokens--
		if a.tokens < low*m.target(a) {
			m.ask(now)
		}
		return Pass, 0
	case m.state == Reaching && !a.shut && m.heard != 0 && now < m.heard+openFor && a.debt < m.credit(a):
		a.debt++
		if now >= m.last+debtEvery {
			m.ask(now)
		}
		return Pass, 0
	case m.state == Alone:
		m.ask(now)
		if m.share(now, a) {
			return Pass, 0
		}
		return Deny, m.after(a)
	case now < a.dry:
		return Deny, m.after(a)
	}
	a.waiting = append(a.waiting, waiter{now, decided})
	m.ask(now)
	return Wait, 0
}

func (m *Meter) account(now time.Duration, tenant string, l Limits) *account {
	a := m.accounts[tenant]
	if a == nil {
		a = &account{at: now, aloneAt: now, got: now}
		m.accounts[tenant] = a
	}
	a.limits = l
	return a
}

// after is when a tenant's store may have tokens again, for this ingress.
func (m *Meter) after(a *account) time.Duration {
	return time.Duration(min(1, max(0.05, m.members/a.limits.Rate)) * float64(time.Second))
}

// target is how many tokens to hold: some of the demand to come, and no more than an even part of the room;
// none where that is less than a request.
func (m *Meter) target(a *account) float64 {
	return math.Floor(min(max(1, ahead*a.demand), leaseRoom(a.limits)/m.members))
}

// credit is how much an ingress may let in before it has told the desk.
func (m *Meter) credit(a *account) float64 { return max(1, a.limits.Burst/4/m.members) }

// share spends of the even share that an ingress has alone.
func (m *Meter) share(now time.Duration, a *account) bool {
	rate := alonePart * a.limits.Rate / m.members
	a.alone = min(max(2, alonePart*a.limits.Burst/m.members), a.alone+rate*(now-a.aloneAt).Seconds())
	a.aloneAt = now
	if a.alone < 1 {
		return false
	}
	a.alone--
	return true
}

// ask sends a question for all that is short, unless one is out. Alone it asks if nothing is short, too: only
// an answer ends that, and where shares of the room are parts of a request nothing is leased ahead.
func (m *Meter) ask(now time.Duration) {
	if m.epoch == 0 { // no desk is known yet: who waits does so no longer than for one that is silent
		if m.silent == 0 && m.waits() {
			m.silent = max(now, 1)
		}
		return
	}
	if m.asked != 0 && now < m.asked+askLimit || now < m.last+askEvery && m.last != 0 {
		return
	}
	var tolls []message.Toll
	for tenant, a := range m.accounts {
		want := float64(len(a.waiting)) - max(a.tokens, 0)
		if a.demand*math.Exp(-(now-a.at).Seconds()/memory) > askDemand {
			want += m.target(a)
		}
		a.wanted = math.Ceil(max(want, 0))
		if want >= 1 || a.debt > 0 {
			tolls = append(tolls, message.Toll{Tenant: tenant, Tokens: a.wanted, Spent: a.debt})
		}
	}
	if len(tolls) == 0 && m.state == Reaching {
		return
	}
	m.call++
	m.asked, m.last = max(now, 1), max(now, 1)
	if m.silent == 0 {
		m.silent = m.asked
	}
	m.send(&message.Message{Kind: message.Ask, Life: m.life, Call: m.call, Epoch: m.epoch, Granted: m.granted,
		Tolls: tolls})
}

// waits reports whether some request waits.
func (m *Meter) waits() bool {
	for _, a := range m.accounts {
		if len(a.waiting) > 0 {
			return true
		}
	}
	return false
}

// Granted takes the desk's answer to the question that is out, once. Any other has been given up. One under
// another epoch is of a desk whose duty has ended: what it gives is given once more by the next.
func (m *Meter) Granted(now time.Duration, g *message.Message) {
	m.mu.Lock()
	if g.Life != m.life || g.Call != m.call || g.Epoch != m.epoch || !g.OK ||
		m.asked == 0 || now >= m.asked+grantMost {
		m.mu.Unlock()
		return
	}
	m.asked, m.silent, m.heard, m.granted = 0, 0, max(now, 1), g.Call
	m.become(now, Reaching)
	var then []func()
	for tenant, a := range m.accounts {
		a.shut = slices.Contains(g.Shut, tenant)
	}
	for _, t := range g.Tolls {
		a := m.accounts[t.Tenant]
		if a == nil || !(t.Tokens >= 0) {
			continue
		}
		a.debt = max(0, a.debt-max(t.Spent, 0))
		a.tokens += t.Tokens
		a.got = now
		for len(a.waiting) > 0 && a.tokens >= 1 {
			w := a.waiting[0]
			a.waiting = a.waiting[1:]
			a.tokens--
			then = append(then, func() { w.decided(true, 0) })
		}
		if len(a.waiting) > 0 && t.Tokens < a.wanted { // the store is empty
			a.dry = now + dryTime
			then = append(then, m.deny(a)...)
		}
	}
	m.ask(now) // for those that came since
	m.mu.Unlock()
	for _, f := range then {
		f()
	}
}

// deny refuses all that wait for a tenant.
func (m *Meter) deny(a *account) (then []func()) {
	after := m.after(a)
	for _, w := range a.waiting {
		then = append(then, func() { w.decided(false, after) })
	}
	a.waiting = nil
	return then
}

// Tick asks again for what is short, and decides on what has waited too long. It is to be called every 100 ms
// or so.
func (m *Meter) Tick(now time.Duration) {
	m.mu.Lock()
	if m.silent != 0 && now > m.silent+aloneAfter {
		m.become(now, Alone)
	}
	var then []func()
	for tenant, a := range m.accounts {
		for len(a.waiting) > 0 && (m.state == Alone || now > a.waiting[0].since+waitMost) {
			if m.state == Reaching || !m.share(now, a) {
				then = append(then, m.deny(a)...)
				break
			}
			w := a.waiting[0]
			a.waiting = a.waiting[1:]
			then = append(then, func() { w.decided(true, 0) })
		}
		if len(a.waiting) == 0 && now > a.at+time.Minute {
			delete(m.accounts, tenant)
		}
	}
	m.ask(now)
	m.mu.Unlock()
	for _, f := range then {
		f()
	}
}
