package choice

import (
	"testing"
	"time"
)

// noActions implements Actions and does nothing.
type noActions struct{}

func (noActions) Send(uint64, uint64, time.Duration) {}
func (noActions) Cancel(uint64, int)                 {}
func (noActions) Refuse(uint64, time.Duration)       {}
func (noActions) Fail(uint64)                        {}
func (noActions) Wake(time.Duration)                 {}
func (noActions) Add(string, float64, time.Duration) {}
func (noActions) Log(string)                         {}

// Values computed by hand from the formulas of the paper: A (hard quota, rate 6) has leased 8 and demands 2,
// B (soft quota, rate 2) has leased 1 and demands 6; p = 0.75 and 0.25, u = 0.5 and 3.
func TestRedistributionExample(t *testing.T) {
	hard, softPlan := &Plan{Rate: 6, Burst: 20, ExcessCost: 1}, &Plan{Rate: 2, Burst: 8, BeyondEarns: 0.3}
	a := &account{id: 1, plan: hard, alpha: 8, demand: 2, p: 0.75, u: 0.5, df: 0.375}
	b := &account{id: 2, plan: softPlan, alpha: 1, demand: 6, p: 0.25, u: 3, df: 3.75}
	g := &Gate{settings: Settings{Gateways: 1}}
	g.redistribute([]*account{a, b}, 1)
	if a.alpha != 2 || b.alpha != 7 || a.record != 6 || b.record != -6 {
		t.Fatalf("first period: alpha %v %v, record %v %v", a.alpha, b.alpha, a.record, b.record)
	}
	// In the second period C = 0.75 * (1 + 0) / 2 = 0.375, and B returns min(6, floor(0.375 * 7)) = 2.
	a.alpha, b.alpha = 8, 1
	g.redistribute([]*account{a, b}, 1)
	if a.alpha != 4 || b.alpha != 5 || a.record != 10 || b.record != -10 {
		t.Fatalf("second period: alpha %v %v, record %v %v", a.alpha, b.alpha, a.record, b.record)
	}
}

func TestDistributeKeepsUnitsAndRemainders(t *testing.T) {
	accounts := []*account{{id: 1, df: 1}, {id: 2, df: 1}, {id: 3, df: 1}}
	df := func(a *account) float64 { return a.df }
	given := map[uint64]float64{}
	for range 3 {
		sum := 0.0
		distribute(10, accounts, df, func(a *account, part float64) { sum += part; given[a.id] += part })
		if sum != 10 {
			t.Fatalf("10 units were distributed as %v", sum)
		}
	}
	for id, units := range given { // remainders cancel out over three calls
		if units != 10 {
			t.Errorf("customer %d got %v of 30, want 10", id, units)
		}
	}
}

func TestLentUnitsAndRecordsAreConserved(t *testing.T) {
	hard, softPlan := &Plan{Rate: 6, Burst: 20, ExcessCost: 1}, &Plan{Rate: 2, Burst: 8, BeyondEarns: 0.3}
	g := &Gate{settings: Settings{Gateways: 1}}
	a := &account{id: 1, plan: hard, lease: 9, demandRate: 5}
	b := &account{id: 2, plan: softPlan, demandRate: 30}
	g.accountList = []*account{a, b}
	for i := range 20 {
		a.requestedUnits, b.requestedUnits = 1, 6
		g.allocateQuotas(0.2)
		if a.lease+a.lent != 9 || a.lent != b.borrowed {
			t.Fatalf("period %d: lease %v lent %v borrowed %v", i, a.lease, a.lent, b.borrowed)
		}
		if a.record+b.record != 0 {
			t.Fatalf("period %d: records %v and %v don't cancel out", i, a.record, b.record)
		}
		b.borrowed -= min(2, b.borrowed)
	}
	if a.record <= 0 {
		t.Fatalf("lender's record %v after twenty periods of lending", a.record)
	}
}

func TestRetryDecisions(t *testing.T) {
	inWindow, afterWindow := time.Second, 6*time.Second
	for _, c := range []struct {
		repeat   Repeat
		group    Group
		mayRun   bool
		attempts int
		since    time.Duration
		left     time.Duration
		want     retryDecision
	}{
		{Safe, GroupAll, false, 1, 0, inWindow, sendAny},
		{Safe, GroupAll, true, 1, afterWindow, inWindow, sendAny},
		{Safe, GroupAll, true, 0, 0, inWindow, mayRefuse},
		{Safe, GroupAll, true, 1, 0, 0, mayRefuse},
		{Unsafe, GroupAll, false, 1, 0, inWindow, sendAny},
		{Unsafe, GroupAll, false, 0, 0, inWindow, mayRefuse},
		{Unsafe, GroupAll, true, 1, 0, inWindow, mustFail},
		{Unsafe, GroupZone, true, 0, 0, 0, mustFail},
		{Keyed, GroupAll, false, 1, afterWindow, inWindow, sendAny},
		{Keyed, GroupAll, true, 1, inWindow, inWindow, sendGroup},
		{Keyed, GroupAll, true, 1, afterWindow, inWindow, mayRefuse},
		{Keyed, GroupAll, true, 0, inWindow, inWindow, mayRefuse},
		{Keyed, GroupZone, false, 0, 0, inWindow, mayRefuse},
		{Keyed, GroupZone, true, 1, inWindow, inWindow, sendGroup},
		{Keyed, GroupZone, true, 1, afterWindow, inWindow, mustFail},
		{Keyed, GroupZone, true, 0, inWindow, inWindow, mustFail},
		{Keyed, GroupCell, true, 1, inWindow, inWindow, sendGroup},
		{Keyed, GroupCell, true, 1, inWindow, 0, mustFail},
	} {
		class := &Class{Repeat: c.repeat, Group: c.group, Window: 5 * time.Second}
		if got := decideRetry(class, c.mayRun, c.attempts, c.since, c.left); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	set := Settings{Gateways: 1, MaxAttempts: 1,
		Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second}},
		Plans:   []Plan{{Name: "p", Rate: 1, Burst: 5}}}
	g, err := New(set, 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	for id := range uint64(50000) {
		g.Request(now, Request{ID: id, Class: "c", Plan: "p", Customer: id, Units: 1, Spread: 1,
			Deadline: now + time.Second})
		if now += 20 * time.Millisecond; id%10 == 0 {
			g.Wake(now)
		}
	}
	if n := len(g.accounts); n > 1000 || len(g.accountList) != n || len(g.requests) > 100 ||
		len(g.waiting) > 100 {
		t.Fatalf("%d accounts, %d listed, %d requests, %d waiting", n, len(g.accountList), len(g.requests),
			len(g.waiting))
	}
}
