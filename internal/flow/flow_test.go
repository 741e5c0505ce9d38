package flow

import (
	"testing"
	"time"
)

const kib = 1 << 10

var small = Options{Bytes: 64 * kib, Window: 16 * kib, MinWindow: 2 * kib} // 16 transfers

func admit(t *testing.T, b *Budget) *Transfer {
	t.Helper()
	x, retryAfter := b.Admit(0)
	if x == nil {
		t.Fatalf("not admitted; retry after %v", retryAfter)
	}
	return x
}

func TestOnlyTransferGetsFullWindow(t *testing.T) {
	b := NewBudget(small)
	x := admit(t, b)
	if n := x.Reserve(Down, 1<<30); n != 16*kib {
		t.Errorf("reserved %d of the full window", n)
	}
	if n := x.Reserve(Down, 1); n != 0 {
		t.Errorf("reserved %d more after the full window", n)
	}
	x.Release(Down, 5*kib)
	if n := x.Reserve(Down, 1<<30); n != 5*kib {
		t.Errorf("reserved %d after a release of 5 KiB", n)
	}
	if n := x.Reserve(Up, kib); n != kib {
		t.Errorf("reserved %d in the other direction", n)
	}
	x.Close(time.Second)
	x.Close(time.Second)
	x.Release(Up, kib)
	if b.Reserved() != 0 || b.Open() != 0 || x.Reserve(Up, 1) != 0 {
		t.Errorf("%d bytes reserved by %d transfers after the close", b.Reserved(), b.Open())
	}
}

// As the budget runs short, windows shrink, but not below the minimum, and their total stays within the
// budget.
func TestWindowsShrinkToMinimum(t *testing.T) {
	b := NewBudget(small)
	var all []*Transfer
	last := 1 << 30
	for range 16 {
		x, _ := b.Admit(0)
		if x == nil {
			break
		}
		all = append(all, x)
		n := x.Reserve(Down, 1<<30)
		if n > last || n < small.MinWindow {
			t.Errorf("transfer %d has a window of %d, the previous one %d", len(all), n, last)
		}
		last = n
	}
	if b.Reserved() > small.Bytes {
		t.Errorf("%d bytes reserved of %d", b.Reserved(), small.Bytes)
	}
	for _, x := range all {
		if n := x.Reserve(Up, small.MinWindow); n != small.MinWindow {
			t.Errorf("the other direction has a window of %d", n)
		}
	}
	if x, retryAfter := b.Admit(0); x != nil || retryAfter <= 0 {
		t.Errorf("admitted beyond the budget; retry after %v", retryAfter)
	}
	for _, x := range all {
		x.Close(time.Second)
	}
	for range small.MaxTransfers() {
		admit(t, b)
	}
	if x, _ := b.Admit(0); x != nil {
		t.Errorf("%d transfers open, want at most %d", b.Open(), small.MaxTransfers())
	}
}

func TestRetryAfterIsIntervalBetweenEnds(t *testing.T) {
	b := NewBudget(Options{Bytes: 8, Window: 2, MinWindow: 2})
	for i := range 10 {
		x := admit(t, b)
		x.Close(time.Duration(i+1) * 3 * time.Second)
	}
	admit(t, b)
	admit(t, b)
	if x, retryAfter := b.Admit(time.Minute); x != nil || retryAfter != 3*time.Second {
		t.Errorf("retry after %v, want the 3s between ends of transfers", retryAfter)
	}
}

func TestOptionsValidate(t *testing.T) {
	for _, o := range []Options{{}, {Bytes: 10, Window: 1, MinWindow: 2}, {Bytes: 3, Window: 2, MinWindow: 2},
		{Bytes: 10, MinWindow: -1}} {
		if o.Validate() == nil {
			t.Errorf("%+v: no error", o)
		}
	}
	if err := small.Validate(); err != nil {
		t.Error(err)
	}
}

func TestSlowSideExceedsGrace(t *testing.T) {
	p := Pace{MinRate: 1000, Grace: 5 * time.Second, Stall: 3 * time.Second}
	m := NewMonitor(p)
	now := time.Duration(0)
	for i := 0; m.Check(now) == None; i++ { // one byte per second
		if i > 10 {
			t.Fatal("one byte per second is never reported as slow")
		}
		m.StartWait(now)
		now += time.Second
		m.Moved(now, 1)
	}
	if now < 5*time.Second || now > 6*time.Second || m.Check(now) != Slow {
		t.Errorf("%v after %v, want slow after the grace of 5s", m.Check(now), now)
	}
}

func TestSideAtMinRateIsNotSlow(t *testing.T) {
	m := NewMonitor(Pace{MinRate: 1000, Grace: 2 * time.Second, Stall: 3 * time.Second})
	now := time.Duration(0)
	for range 10_000 {
		m.StartWait(now)
		now += 100 * time.Millisecond
		m.Moved(now, 100)
		if violation := m.Check(now); violation != None {
			t.Fatalf("%v at %v", violation, now)
		}
	}
	m.Moved(now, 1<<30) // earns back no more than the grace
	m.StartWait(now)
	if at, ok := m.Deadline(); !ok || at != now+2*time.Second || m.Check(at) != Slow || m.Check(at-1) != None {
		t.Errorf("deadline after %v", at-now)
	}
}

// A side that the transfer is not waiting for may take any time: the other side is the slow one.
func TestIdleTimeWithoutWaitDoesNotCount(t *testing.T) {
	m := NewMonitor(Pace{MinRate: 1000, Grace: time.Second, Stall: time.Second})
	m.StartWait(0)
	m.Moved(time.Millisecond, 10)
	if _, ok := m.Deadline(); ok || m.Check(time.Hour) != None {
		t.Errorf("%v without a wait", m.Check(time.Hour))
	}
	m.StartWait(time.Hour)
	if m.Check(time.Hour+500*time.Millisecond) != None || m.Check(time.Hour+time.Second) != Stalled {
		t.Error("want a stall exactly one second after the wait started")
	}
}

func TestZeroPaceHasNoLimit(t *testing.T) {
	m := NewMonitor(Pace{})
	m.StartWait(0)
	if _, ok := m.Deadline(); ok || m.Check(time.Hour) != None || m.Bytes() != 0 {
		t.Error("violation or deadline without a pace")
	}
}

// In any order of reservations and releases, the total stays within the budget, and each direction of a
// transfer can reserve its minimum window.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 1, 200, 3, 0, 5, 9, 255, 2})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := NewBudget(small)
		var open []*Transfer
		now := time.Duration(0)
		for i := 0; i+1 < len(steps); i += 2 {
			now += time.Millisecond
			arg := int(steps[i+1])
			if steps[i]%4 == 0 || len(open) == 0 {
				if x, retryAfter := b.Admit(now); x != nil {
					open = append(open, x)
				} else if retryAfter <= 0 {
					t.Fatal("rejected without a positive retry delay")
				}
			} else {
				k := arg % len(open)
				x, d := open[k], Direction(steps[i]/4%2)
				switch steps[i] % 4 {
				case 1:
					before := x.reserved[d]
					n := x.Reserve(d, arg*kib)
					if n < 0 || n > arg*kib || n < min(arg*kib, small.MinWindow-before) {
						t.Fatalf("reserved %d of %d, with %d reserved before", n, arg*kib, before)
					}
				case 2:
					x.Release(d, arg*100)
				default:
					x.Close(now)
					open = append(open[:k], open[k+1:]...)
				}
			}
			extra := 0
			for _, x := range open {
				for d := range directions {
					extra += max(0, x.reserved[d]-small.MinWindow)
				}
			}
			if b.Reserved() > small.Bytes || b.Reserved() < 0 || b.extra != extra || b.Open() != len(open) {
				t.Fatalf("%d reserved; extra %d, want %d; %d/%d open", b.Reserved(), b.extra, extra, b.Open(), len(open))
			}
		}
	})
}
