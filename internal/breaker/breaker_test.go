package breaker

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// ask takes a permit that must be given.
func ask(t *testing.T, b *Breaker, now time.Duration) *Permit {
	t.Helper()
	p, after := b.Acquire(now)
	if p == nil {
		t.Fatalf("at %v: turned away for %v (%v)", now, after, b.State())
	}
	return p
}

func opened(t *testing.T, b *Breaker, now time.Duration) {
	t.Helper()
	for range Default.Failures {
		b.Done(now, ask(t, b, now), Failure, 0)
	}
	if b.State() != Open {
		t.Fatalf("after %d failures it is %v", Default.Failures, b.State())
	}
}

func TestSilenceIsRecognisedBeforeTimeOuts(t *testing.T) {
	b := New(Options{})
	var out []*Permit
	for range 20 {
		out = append(out, ask(t, b, 0))
	}
	for i, p := range out[:Default.Failures] {
		if b.State() != Closed {
			t.Fatalf("open after %d late ones", i)
		}
		b.Late(500*ms, p)
		b.Late(500*ms, p) // counts once
	}
	if after, turned := b.Wait(500 * ms); b.State() != Open || !turned || after != Default.InitialBackoff {
		t.Errorf("%v, wait %v %v", b.State(), after, turned)
	}
	// That the others fail too tells nothing new, and must not put off the next trial.
	for _, p := range out {
		b.Done(600*ms, p, Failure, 600*ms)
	}
	if ask(t, b, 750*ms); b.InFlight() != 1 {
		t.Errorf("%d out", b.InFlight())
	}
}

func TestSlowIsNotSilent(t *testing.T) {
	b := New(Options{})
	for i := range 100 {
		p := ask(t, b, time.Duration(i)*time.Second)
		b.Late(time.Duration(i)*time.Second+500*ms, p)
		b.Done(time.Duration(i)*time.Second+600*ms, p, Success, 600*ms)
	}
	if b.State() != Closed {
		t.Errorf("a service that answers all is %v", b.State())
	}
}

func TestTrialsAreSingleAndRestsDouble(t *testing.T) {
	b := New(Options{MaxBackoff: time.Second})
	opened(t, b, 0)
	now, rests := time.Duration(0), []time.Duration{250 * ms, 500 * ms, time.Second, time.Second}
	for _, rest := range rests {
		if _, turned := b.Wait(now + rest - 1); !turned {
			t.Errorf("let through before its rest of %v was over", rest)
		}
		now += rest
		p := ask(t, b, now)
		if other, after := b.Acquire(now); other != nil || after <= 0 {
			t.Errorf("a second trial beside the first; wait %v", after)
		}
		b.Done(now, p, Failure, 0)
	}
	// A trial that was withdrawn leaves the next one free.
	now += time.Second
	b.Done(now, ask(t, b, now), Unknown, 0)
	ask(t, b, now)
}

func TestReturnsGradually(t *testing.T) {
	b := New(Options{MaxInFlight: 32})
	opened(t, b, 0)
	now := 250 * ms
	b.Done(now, ask(t, b, now), Success, 20*ms)
	for rounds := 1; b.State() != Closed; rounds++ {
		if rounds > 5 {
			t.Fatal("not taken back in five rounds")
		}
		var out []*Permit
		for {
			p, _ := b.Acquire(now)
			if p == nil {
				break
			}
			out = append(out, p)
		}
		if want := 1 << rounds; len(out) != want {
			t.Errorf("round %d: %d questions, want %d", rounds, len(out), want)
		}
		now += 20 * ms
		for _, p := range out {
			b.Done(now, p, Success, 20*ms)
		}
	}
}

func TestOneFailureOnReturnOpensAgain(t *testing.T) {
	b := New(Options{})
	opened(t, b, 0)
	b.Done(250*ms, ask(t, b, 250*ms), Success, ms)
	first, second := ask(t, b, 260*ms), ask(t, b, 260*ms)
	b.Done(270*ms, first, Failure, ms)
	if after, _ := b.Wait(270 * ms); b.State() != Open || after < 500*ms {
		t.Errorf("%v, wait %v", b.State(), after)
	}
	b.Done(280*ms, second, Success, ms) // asked before, answered now: it is there
	if b.State() != Returning {
		t.Errorf("after a good answer it is %v", b.State())
	}
}

func TestShareOfFailuresOpens(t *testing.T) {
	b := New(Options{})
	for i := range 40 {
		end := Failure
		if i%5 > 2 {
			end = Success
		}
		b.Done(0, ask(t, b, 0), end, ms)
		if (b.State() == Open) != (i >= Default.Window) {
			t.Fatalf("after %d questions, 3 of 5 bad: %v", i+1, b.State())
		}
		if b.State() == Open {
			return
		}
	}
}

// One that never opens keeps nothing of what it is told, however long that goes on.
func TestNever(t *testing.T) {
	b := New(Options{NeverOpen: true, MaxInFlight: 2})
	for range 1000 {
		b.Done(0, ask(t, b, 0), Failure, 0)
	}
	if b.State() != Closed || len(b.latest) > 0 {
		t.Errorf("%v, %d kept", b.State(), len(b.latest))
	}
}

func TestBulkhead(t *testing.T) {
	b := New(Options{MaxInFlight: 3})
	first := ask(t, b, 0)
	ask(t, b, 0)
	ask(t, b, 0)
	if p, after := b.Acquire(0); p != nil || after <= 0 {
		t.Errorf("a fourth of three; wait %v", after)
	}
	b.Done(0, first, Unknown, 0)
	b.Done(0, first, Unknown, 0)
	if ask(t, b, 0); b.InFlight() != 3 {
		t.Errorf("%d out", b.InFlight())
	}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for _, o := range []Options{{MaxInFlight: -1}, {Failures: -1}, {Window: -2}, {FailureRatio: 1.5},
		{FailureRatio: -1}, {InitialBackoff: time.Second}, {InitialBackoff: -1}} {
		if o.Validate() == nil {
			t.Errorf("%+v is taken", o)
		}
	}
	if err := (Options{}).Validate(); err != nil {
		t.Error(err)
	}
}

// Whatever comes in whatever order: never more out than the bulkhead allows, never two trials, and a service
// that answers gets its work back.
func FuzzBreaker(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 9, 9, 9, 1, 2, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := New(Options{MaxInFlight: 8})
		var out []*Permit
		now := time.Duration(0)
		for _, s := range steps {
			now += time.Duration(s) * ms
			i := int(s / 8)
			switch {
			case s%4 == 0 || len(out) == 0:
				if p, after := b.Acquire(now); p != nil {
					out = append(out, p)
				} else if after <= 0 {
					t.Fatalf("turned away for %v", after)
				}
			case s%4 == 1:
				b.Late(now, out[i%len(out)])
			default:
				b.Done(now, out[i%len(out)], Outcome(s%3), ms)
			}
			trials := 0
			live := out[:0]
			for _, p := range out {
				if !p.ended {
					live = append(live, p)
					if p.trial && p.turn == b.turn && !p.late {
						trials++
					}
				}
			}
			out = live
			if b.InFlight() != len(out) || len(out) > 8 || trials > 1 {
				t.Fatalf("%d out of %d, %d trials", b.InFlight(), len(out), trials)
			}
		}
		for _, p := range out {
			b.Done(now, p, Unknown, 0)
		}
		for range 30 {
			now += 2 * Default.MaxBackoff
			b.Done(now, ask(t, b, now), Success, ms)
		}
		if b.State() != Closed {
			t.Fatalf("%v after 30 good answers", b.State())
		}
	})
}
