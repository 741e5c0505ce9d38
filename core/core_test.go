package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunespoke/choice"
)

// fakeUpstream records the attempts that were started. They end only when the test ends them.
type fakeUpstream struct {
	started []*fakeAttempt
	dropped int
}

type fakeAttempt struct {
	Attempt
	mu               sync.Mutex
	aborted, written bool
}

func (u *fakeUpstream) Start(a Attempt) Running {
	f := &fakeAttempt{Attempt: a, written: true}
	u.started = append(u.started, f)
	return f
}

func (u *fakeUpstream) Drop(Server) { u.dropped++ }

func (a *fakeAttempt) Abort() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	return a.written
}

func (a *fakeAttempt) AbortUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = a.aborted || !a.written
	return !a.written
}

// fakeCounter records calls and does not answer them.
type fakeCounter struct {
	calls []func(choice.Code, float64)
}

func (c *fakeCounter) Add(_ string, _ float64, _ time.Duration, done func(choice.Code, float64)) {
	c.calls = append(c.calls, done)
}

// testCore is a core with a fake upstream and a fake counter, run in a synctest bubble.
type testCore struct {
	*Core
	upstream *fakeUpstream
	counter  *fakeCounter
	mu       sync.Mutex
	answers  []string
}

// withTestCore runs a test on a running core that knows one live server, "s".
func withTestCore(t *testing.T, counter bool, test func(t *testing.T, b *testCore)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testCore{upstream: &fakeUpstream{}, counter: &fakeCounter{}}
		c, err := New(Config{Upstream: b.upstream, Counter: b.counter, Settings: choice.Settings{Gateways: 1,
			Counter: counter, CounterTimeout: 50 * time.Millisecond, MaxAttempts: 2, Cancel: true, QueueField: -1,
			MaxRetryAfter: time.Second, MaxUnits: 1,
			Classes: []choice.Class{
				{Name: "read", Repeat: choice.Safe, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
				{Name: "pay", Repeat: choice.Unsafe, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
			Plans: []choice.Plan{{Name: "p", Rate: 1, Burst: 9, Price: 1, ExcessCost: 1}}}})
		if err != nil {
			t.Fatal(err)
		}
		b.Core = c
		ctx, end := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Servers(true, []Server{{Name: "s", State: choice.Live}})
		synctest.Wait()
		test(t, b)
		end()
	})
}

func (b *testCore) submit(class string, timeout time.Duration) Ticket {
	ticket := b.Submit(Request{Class: class, Plan: "p", Customer: 1, Units: 1, Spread: 1,
		Deadline: b.Now() + timeout,
		Reply: func(a Answer) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.answers = append(b.answers, fmt.Sprint(a.Kind, a.Body))
		}})
	synctest.Wait()
	return ticket
}

// expect checks the number of attempts started and all answers given so far, each as its Kind and Body.
func (b *testCore) expect(t *testing.T, started int, answers ...string) {
	t.Helper()
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.upstream.started) != started || fmt.Sprint(b.answers) != fmt.Sprint(answers) {
		t.Fatalf("%d attempts, answers %v; want %d, %v", len(b.upstream.started), b.answers, started, answers)
	}
}

func TestLateAttemptEndDoesNotChangeAnswer(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.submit("pay", time.Second)
		b.expect(t, 1)
		time.Sleep(time.Second)
		b.expect(t, 1, "2 <nil>")
		if !b.upstream.started[0].aborted {
			t.Error("the answer was given before the attempt's connection was closed")
		}
		b.upstream.started[0].End(Result{Code: choice.OK, Body: "late"})
		b.upstream.started[0].End(Result{Code: choice.Reset})
		time.Sleep(time.Minute)
		b.expect(t, 1, "2 <nil>")
	})
}

// A request that was never completely written can't have run, so it is refused rather than failed, even if
// it is not safe to repeat.
func TestUnwrittenAttemptIsRefused(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.submit("pay", time.Second)
		b.upstream.started[0].mu.Lock()
		b.upstream.started[0].written = false
		b.upstream.started[0].mu.Unlock()
		time.Sleep(time.Second)
		b.expect(t, 1, "1 <nil>")
	})
}

func TestLeavingClientAbortsAttempt(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.submit("pay", time.Second).Leave()
		b.expect(t, 1)
		if !b.upstream.started[0].aborted {
			t.Error("the attempt was not aborted")
		}
		time.Sleep(time.Minute)
		b.expect(t, 1)
		if len(b.requests) > 0 {
			t.Error("the core still stores the request")
		}
	})
}

// With Config.FinishSent, an attempt is aborted when its client leaves if its request is safe to repeat or
// was not sent yet. Otherwise the attempt continues to its end, its response is dropped, and the core removes
// the request.
func TestSentNonRepeatableAttemptContinuesAfterLeave(t *testing.T) {
	for _, c := range []struct {
		class         string
		sent, aborted bool
	}{{"read", true, true}, {"pay", true, false}, {"pay", false, true}} {
		withTestCore(t, false, func(t *testing.T, b *testCore) {
			b.finishSent = true
			ticket := b.submit(c.class, time.Second)
			attempt := b.upstream.started[0]
			attempt.mu.Lock()
			attempt.written = c.sent
			attempt.mu.Unlock()
			ticket.Leave()
			b.expect(t, 1)
			if attempt.aborted != c.aborted {
				t.Errorf("%s, sent %v: aborted %v", c.class, c.sent, attempt.aborted)
			}
			if !c.aborted {
				dropped := false
				attempt.End(Result{Code: choice.OK, Body: "late", Drop: func() { dropped = true }})
				synctest.Wait()
				if !dropped {
					t.Errorf("%s: the response was not dropped", c.class)
				}
			}
			time.Sleep(time.Minute)
			b.expect(t, 1)
			if len(b.requests) > 0 {
				t.Errorf("%s, sent %v: the core still stores the request", c.class, c.sent)
			}
		})
	}
}

func TestUnansweredCounterCallDoesNotBlockRequests(t *testing.T) {
	withTestCore(t, true, func(t *testing.T, b *testCore) {
		b.submit("read", time.Second)
		b.submit("read", time.Second)
		if len(b.counter.calls) == 0 {
			t.Fatal("the counter was not called")
		}
		time.Sleep(51 * time.Millisecond)
		b.expect(t, 2)
		for _, answer := range b.counter.calls { // after the time-out: ignored
			answer(choice.OK, 1)
		}
		b.upstream.started[0].End(Result{Code: choice.OK, Body: "x"})
		b.upstream.started[1].End(Result{Code: choice.OK, Body: "y"})
		b.expect(t, 2, "0x", "0y")
	})
}

func TestDrainingServerGetsNoAttempts(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.Servers(false, []Server{{Name: "s", State: choice.Draining}})
		b.submit("read", time.Second)
		time.Sleep(2 * time.Second)
		b.expect(t, 0, "1 <nil>")
		if b.Ready() || b.upstream.dropped != 1 {
			t.Errorf("ready %v, %d servers dropped", b.Ready(), b.upstream.dropped)
		}
		b.Servers(true, nil) // the complete server list, without the server
		synctest.Wait()
		if len(b.servers) > 0 || len(b.serverIDs) > 0 {
			t.Error("a server absent from the complete list is still stored")
		}
		b.Servers(false, []Server{{Name: "s", State: choice.Live}})
		b.submit("read", time.Second)
		b.expect(t, 1, "1 <nil>")
	})
}

// Timers of attempts and calls that ended before their limits must not wake the core: they once caused a
// third of its wakeups.
func TestObsoleteTimerIsSkipped(t *testing.T) {
	var timers timers
	obsolete := false
	timers.add(10, &obsolete, func() { t.Error("ran") })
	timers.add(20, nil, func() {})
	if at, _ := timers.next(); at != 10 {
		t.Errorf("next at %d, want 10", at)
	}
	obsolete = true
	if at, _ := timers.next(); at != 20 || timers.popDue(15) != nil || timers.popDue(20) == nil {
		t.Errorf("next at %d, want 20 and none due before", at)
	}
}

// After a final result no further attempt is made: the request fails, although it is safe to repeat, or is
// refused if it has never run.
func TestNoAttemptAfterFinalResult(t *testing.T) {
	for code, want := range map[choice.Code]string{choice.Refused: "1 <nil>", choice.Busy: "1 <nil>",
		choice.Reset: "2 <nil>", choice.Error: "2 <nil>"} {
		withTestCore(t, false, func(t *testing.T, b *testCore) {
			b.submit("read", time.Second)
			b.upstream.started[0].End(Result{Code: code, Final: true})
			b.expect(t, 1, want)
		})
	}
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		b.submit("read", time.Second)
		b.upstream.started[0].End(Result{Code: choice.Refused})
		b.expect(t, 2)
		b.upstream.started[1].End(Result{Code: choice.Refused, Final: true})
		b.expect(t, 2, "1 <nil>")
	})
}

// A response that arrives after its client has left or after its attempt has timed out is dropped once.
func TestUnusedResponsesAreDropped(t *testing.T) {
	withTestCore(t, false, func(t *testing.T, b *testCore) {
		dropped := 0
		ok := Result{Code: choice.OK, Body: "late", Drop: func() { dropped++ }}
		ticket := b.submit("pay", time.Second)
		ticket.Leave()
		synctest.Wait()
		b.upstream.started[0].End(ok)
		b.expect(t, 1)
		b.submit("pay", time.Second)
		time.Sleep(1100 * time.Millisecond)
		b.upstream.started[1].End(ok)
		b.expect(t, 2, "2 <nil>")
		b.submit("pay", time.Second)
		b.upstream.started[2].End(ok)
		b.expect(t, 3, "2 <nil>", "0late")
		if dropped != 2 {
			t.Errorf("%d dropped", dropped)
		}
	})
}

// Obsolete timers are removed before they are due.
func TestObsoleteTimersAreSwept(t *testing.T) {
	var timers timers
	obsolete := true
	for i := range 10_000 {
		timers.add(time.Duration(i)*time.Hour, &obsolete, func() {})
	}
	pending := false
	timers.add(time.Hour, &pending, func() {})
	if n := len(timers.heap); n > 2*minSweepSize {
		t.Errorf("%d timers are stored", n)
	}
	if at, ok := timers.next(); at != time.Hour || !ok {
		t.Errorf("next at %v, %v", at, ok)
	}
}
