package breaker

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// acquire returns a permit, and fails the test if the breaker rejects the request.
func acquire(t *testing.T, b *Breaker, now time.Duration) *Permit {
	t.Helper()
	p, after := b.Acquire(now)
	if p == nil {
		t.Fatalf("at %v: rejected with a wait of %v in state %v", now, after, b.State())
	}
	return p
}

// openBreaker reports as many consecutive failures as open a breaker with default options.
func openBreaker(t *testing.T, b *Breaker, now time.Duration) {
	t.Helper()
	for range Default.Failures {
		b.Done(now, acquire(t, b, now), Failure, 0)
	}
	if b.State() != Open {
		t.Fatalf("after %d failures the state is %v, want open", Default.Failures, b.State())
	}
}

func TestLateRequestsOpenBeforeTimeouts(t *testing.T) {
	b := New(Options{})
	var permits []*Permit
	for range 20 {
		permits = append(permits, acquire(t, b, 0))
	}
	for i, p := range permits[:Default.Failures] {
		if b.State() != Closed {
			t.Fatalf("open after %d late requests", i)
		}
		b.Late(500*ms, p)
		b.Late(500*ms, p) // a repeated report does not count
	}
	if after, rejected := b.Wait(500 * ms); b.State() != Open || !rejected || after != Default.InitialBackoff {
		t.Errorf("state %v, wait %v, rejected %v", b.State(), after, rejected)
	}
	// Failures of the other requests, which precede the opening, must not delay the next trial.
	for _, p := range permits {
		b.Done(600*ms, p, Failure, 600*ms)
	}
	if acquire(t, b, 750*ms); b.InFlight() != 1 {
		t.Errorf("%d in flight, want 1", b.InFlight())
	}
}

func TestSlowServiceDoesNotOpen(t *testing.T) {
	b := New(Options{})
	for i := range 100 {
		p := acquire(t, b, time.Duration(i)*time.Second)
		b.Late(time.Duration(i)*time.Second+500*ms, p)
		b.Done(time.Duration(i)*time.Second+600*ms, p, Success, 600*ms)
	}
	if b.State() != Closed {
		t.Errorf("state %v for a service that answers every request, want closed", b.State())
	}
}

func TestTrialsAreSingleAndBackoffDoubles(t *testing.T) {
	b := New(Options{MaxBackoff: time.Second})
	openBreaker(t, b, 0)
	now, backoffs := time.Duration(0), []time.Duration{250 * ms, 500 * ms, time.Second, time.Second}
	for _, backoff := range backoffs {
		if _, rejected := b.Wait(now + backoff - 1); !rejected {
			t.Errorf("permitted before the backoff of %v had passed", backoff)
		}
		now += backoff
		p := acquire(t, b, now)
		if other, after := b.Acquire(now); other != nil || after <= 0 {
			t.Errorf("a second trial while the first is in flight; wait %v", after)
		}
		b.Done(now, p, Failure, 0)
	}
	// After a cancelled trial the next one may start at once.
	now += time.Second
	b.Done(now, acquire(t, b, now), Unknown, 0)
	acquire(t, b, now)
}

func TestRecoveryIsGradual(t *testing.T) {
	b := New(Options{MaxInFlight: 32})
	openBreaker(t, b, 0)
	now := 250 * ms
	b.Done(now, acquire(t, b, now), Success, 20*ms)
	for rounds := 1; b.State() != Closed; rounds++ {
		if rounds > 5 {
			t.Fatal("not closed after five rounds")
		}
		var permits []*Permit
		for {
			p, _ := b.Acquire(now)
			if p == nil {
				break
			}
			permits = append(permits, p)
		}
		if want := 1 << rounds; len(permits) != want {
			t.Errorf("round %d: %d requests, want %d", rounds, len(permits), want)
		}
		now += 20 * ms
		for _, p := range permits {
			b.Done(now, p, Success, 20*ms)
		}
	}
}

func TestFailureDuringRecoveryOpensAgain(t *testing.T) {
	b := New(Options{})
	openBreaker(t, b, 0)
	b.Done(250*ms, acquire(t, b, 250*ms), Success, ms)
	first, second := acquire(t, b, 260*ms), acquire(t, b, 260*ms)
	b.Done(270*ms, first, Failure, ms)
	if after, _ := b.Wait(270 * ms); b.State() != Open || after < 500*ms {
		t.Errorf("state %v, wait %v", b.State(), after)
	}
	b.Done(280*ms, second, Success, ms) // sent before the breaker opened again: the service answers
	if b.State() != Returning {
		t.Errorf("after a success the state is %v, want returning", b.State())
	}
}

func TestFailureRatioOpens(t *testing.T) {
	b := New(Options{})
	for i := range 40 {
		outcome := Failure
		if i%5 > 2 {
			outcome = Success
		}
		b.Done(0, acquire(t, b, 0), outcome, ms)
		if (b.State() == Open) != (i >= Default.Window) {
			t.Fatalf("after %d requests, of which 3 in 5 failed, the state is %v", i+1, b.State())
		}
		if b.State() == Open {
			return
		}
	}
}

// A breaker that never opens records no outcomes, so its memory does not grow.
func TestNeverOpen(t *testing.T) {
	b := New(Options{NeverOpen: true, MaxInFlight: 2})
	for range 1000 {
		b.Done(0, acquire(t, b, 0), Failure, 0)
	}
	if b.State() != Closed || len(b.recent) > 0 {
		t.Errorf("state %v, %d outcomes recorded", b.State(), len(b.recent))
	}
}

func TestBulkhead(t *testing.T) {
	b := New(Options{MaxInFlight: 3})
	first := acquire(t, b, 0)
	acquire(t, b, 0)
	acquire(t, b, 0)
	if p, after := b.Acquire(0); p != nil || after <= 0 {
		t.Errorf("a fourth request in flight with a limit of three; wait %v", after)
	}
	b.Done(0, first, Unknown, 0)
	b.Done(0, first, Unknown, 0)
	if acquire(t, b, 0); b.InFlight() != 3 {
		t.Errorf("%d in flight, want 3", b.InFlight())
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for _, o := range []Options{{MaxInFlight: -1}, {Failures: -1}, {Window: -2}, {FailureRatio: 1.5},
		{FailureRatio: -1}, {InitialBackoff: time.Second}, {InitialBackoff: -1}} {
		if o.Validate() == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
	if err := (Options{}).Validate(); err != nil {
		t.Error(err)
	}
}

// For any sequence of events: never more requests in flight than the bulkhead allows, never two trials at
// once, and the breaker closes when the service answers again.
func FuzzBreaker(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 9, 9, 9, 1, 2, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := New(Options{MaxInFlight: 8})
		var permits []*Permit
		now := time.Duration(0)
		for _, s := range steps {
			now += time.Duration(s) * ms
			i := int(s / 8)
			switch {
			case s%4 == 0 || len(permits) == 0:
				if p, after := b.Acquire(now); p != nil {
					permits = append(permits, p)
				} else if after <= 0 {
					t.Fatalf("rejected with a wait of %v", after)
				}
			case s%4 == 1:
				b.Late(now, permits[i%len(permits)])
			default:
				b.Done(now, permits[i%len(permits)], Outcome(s%3), ms)
			}
			trials := 0
			stillInFlight := permits[:0]
			for _, p := range permits {
				if !p.ended {
					stillInFlight = append(stillInFlight, p)
					if p.trial && p.epoch == b.epoch && !p.late {
						trials++
					}
				}
			}
			permits = stillInFlight
			if b.InFlight() != len(permits) || len(permits) > 8 || trials > 1 {
				t.Fatalf("%d in flight, want %d; %d trials", b.InFlight(), len(permits), trials)
			}
		}
		for _, p := range permits {
			b.Done(now, p, Unknown, 0)
		}
		for range 30 {
			now += 2 * Default.MaxBackoff
			b.Done(now, acquire(t, b, now), Success, ms)
		}
		if b.State() != Closed {
			t.Fatalf("state %v after 30 successes", b.State())
		}
	})
}
