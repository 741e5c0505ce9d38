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

// fakeUpstream keeps what was started; the test ends it.
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

type fakeCounter struct {
	calls []func(choice.Code, float64)
}

func (c *fakeCounter) Add(_ string, _ float64, _ time.Duration, done func(choice.Code, float64)) {
	c.calls = append(c.calls, done)
}

// bench is a core with fakes around it, run in a bubble of synctest.
type bench struct {
	*Core
	up      *fakeUpstream
	counter *fakeCounter
	mu      sync.Mutex
	answers []string
}

func withCore(t *testing.T, counter bool, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{up: &fakeUpstream{}, counter: &fakeCounter{}}
		c, err := New(Config{Upstream: b.up, Counter: b.counter, Settings: choice.Settings{Gateways: 1,
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

func (b *bench) ask(class string, patience time.Duration) Ticket {
	ticket := b.Submit(Request{Class: class, Plan: "p", Customer: 1, Units: 1, Spread: 1,
		Deadline: b.Now() + patience,
		Reply: func(a Answer) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.answers = append(b.answers, fmt.Sprint(a.Kind, a.Body))
		}})
	synctest.Wait()
	return ticket
}

func (b *bench) want(t *testing.T, started int, answers ...string) {
	t.Helper()
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.up.started) != started || fmt.Sprint(b.answers) != fmt.Sprint(answers) {
		t.Fatalf("%d attempts, answers %v; want %d, %v", len(b.up.started), b.answers, started, answers)
	}
}

func TestOneFinalAnswerWhateverEndsLate(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.ask("pay", time.Second)
		b.want(t, 1)
		time.Sleep(time.Second)
		b.want(t, 1, "2 <nil>")
		if !b.up.started[0].aborted {
			t.Error("the answer was given before the attempt's connection was closed")
		}
		b.up.started[0].End(Result{Code: choice.OK, Body: "late"})
		b.up.started[0].End(Result{Code: choice.Reset})
		time.Sleep(time.Minute)
		b.want(t, 1, "2 <nil>")
	})
}

// An attempt whose request was never written can't have run, so that even an unsafe one may be refused.
func TestAnAttemptNeverWrittenHasNotRun(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.ask("pay", time.Second)
		b.up.started[0].mu.Lock()
		b.up.started[0].written = false
		b.up.started[0].mu.Unlock()
		time.Sleep(time.Second)
		b.want(t, 1, "1 <nil>")
	})
}

func TestAClientThatLeavesEndsItsAttempt(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.ask("pay", time.Second).Leave()
		b.want(t, 1)
		if !b.up.started[0].aborted {
			t.Error("its attempt goes on")
		}
		time.Sleep(time.Minute)
		b.want(t, 1)
		if len(b.requests) > 0 {
			t.Error("the core remembers it")
		}
	})
}

// Where what is sent is to run to its end, a client that leaves ends the attempt of a request that may be
// repeated, and one that has not been sent yet. What was sent and may not be repeated goes on, its answer
// is dropped, and the core forgets it.
func TestWhatIsSentAndNotRepeatableRunsToItsEnd(t *testing.T) {
	for _, c := range []struct {
		class         string
		sent, aborted bool
	}{{"read", true, true}, {"pay", true, false}, {"pay", false, true}} {
		withCore(t, false, func(t *testing.T, b *bench) {
			b.finish = true
			ticket := b.ask(c.class, time.Second)
			attempt := b.up.started[0]
			attempt.mu.Lock()
			attempt.written = c.sent
			attempt.mu.Unlock()
			ticket.Leave()
			b.want(t, 1)
			if attempt.aborted != c.aborted {
				t.Errorf("%s, sent %v: aborted %v", c.class, c.sent, attempt.aborted)
			}
			if !c.aborted {
				dropped := false
				attempt.End(Result{Code: choice.OK, Body: "late", Drop: func() { dropped = true }})
				synctest.Wait()
				if !dropped {
					t.Errorf("%s: nobody drops its answer", c.class)
				}
			}
			time.Sleep(time.Minute)
			b.want(t, 1)
			if len(b.requests) > 0 {
				t.Errorf("%s, sent %v: the core remembers it", c.class, c.sent)
			}
		})
	}
}

func TestASilentCounterHoldsNobodyUp(t *testing.T) {
	withCore(t, true, func(t *testing.T, b *bench) {
		b.ask("read", time.Second)
		b.ask("read", time.Second)
		if len(b.counter.calls) == 0 {
			t.Fatal("the counter was not asked")
		}
		time.Sleep(51 * time.Millisecond)
		b.want(t, 2)
		for _, answer := range b.counter.calls { // late: dropped
			answer(choice.OK, 1)
		}
		b.up.started[0].End(Result{Code: choice.OK, Body: "x"})
		b.up.started[1].End(Result{Code: choice.OK, Body: "y"})
		b.want(t, 2, "0x", "0y")
	})
}

func TestNothingIsSentToAServerThatDrains(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		b.Servers(false, []Server{{Name: "s", State: choice.Draining}})
		b.ask("read", time.Second)
		time.Sleep(2 * time.Second)
		b.want(t, 0, "1 <nil>")
		if b.Ready() || b.up.dropped != 1 {
			t.Errorf("ready %v, %d servers dropped", b.Ready(), b.up.dropped)
		}
		b.Servers(true, nil) // the server list anew, without it
		synctest.Wait()
		if len(b.servers) > 0 || len(b.ids) > 0 {
			t.Error("a server that the whole list leaves out is still known")
		}
		b.Servers(false, []Server{{Name: "s", State: choice.Live}})
		b.ask("read", time.Second)
		b.want(t, 1, "1 <nil>")
	})
}

// What ended long before its limit must not wake the core: that was a third of all its wakes once.
func TestNoTimerOutlivesItsPurpose(t *testing.T) {
	var timers timers
	over := false
	timers.add(10, &over, func() { t.Error("ran") })
	timers.add(20, nil, func() {})
	if at, _ := timers.next(); at != 10 {
		t.Errorf("next in %d, want 10", at)
	}
	over = true
	if at, _ := timers.next(); at != 20 || timers.due(15) != nil || timers.due(20) == nil {
		t.Errorf("next in %d, want 20 and nothing before", at)
	}
}

// After an attempt without which no other can be made, the request fails, though it may run again; it is
// refused if it has never run.
func TestNoFurtherAttemptAfterAFinalOne(t *testing.T) {
	for code, want := range map[choice.Code]string{choice.Refused: "1 <nil>", choice.Busy: "1 <nil>",
		choice.Reset: "2 <nil>", choice.Error: "2 <nil>"} {
		withCore(t, false, func(t *testing.T, b *bench) {
			b.ask("read", time.Second)
			b.up.started[0].End(Result{Code: code, Final: true})
			b.want(t, 1, want)
		})
	}
	withCore(t, false, func(t *testing.T, b *bench) {
		b.ask("read", time.Second)
		b.up.started[0].End(Result{Code: choice.Refused})
		b.want(t, 2)
		b.up.started[1].End(Result{Code: choice.Refused, Final: true})
		b.want(t, 2, "1 <nil>")
	})
}

// What nobody wants is dropped, once: an answer after the client has left, or after the attempt's time.
func TestUnwantedAnswersAreDropped(t *testing.T) {
	withCore(t, false, func(t *testing.T, b *bench) {
		dropped := 0
		ok := Result{Code: choice.OK, Body: "late", Drop: func() { dropped++ }}
		ticket := b.ask("pay", time.Second)
		ticket.Leave()
		synctest.Wait()
		b.up.started[0].End(ok)
		b.want(t, 1)
		b.ask("pay", time.Second)
		time.Sleep(1100 * time.Millisecond)
		b.up.started[1].End(ok)
		b.want(t, 2, "2 <nil>")
		b.ask("pay", time.Second)
		b.up.started[2].End(ok)
		b.want(t, 3, "2 <nil>", "0late")
		if dropped != 2 {
			t.Errorf("%d dropped", dropped)
		}
	})
}

// Timers of what was answered don't wait for their time.
func TestAnsweredRequestsAreForgotten(t *testing.T) {
	var all timers
	over := true
	for i := range 10_000 {
		all.add(time.Duration(i)*time.Hour, &over, func() {})
	}
	live := false
	all.add(time.Hour, &live, func() {})
	if n := len(all.heap); n > 2*sweepLeast {
		t.Errorf("%d timers are held", n)
	}
	if at, ok := all.next(); at != time.Hour || !ok {
		t.Errorf("the next at %v, %v", at, ok)
	}
}
