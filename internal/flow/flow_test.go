package flow

import (
	"testing"
	"time"
)

const kib = 1 << 10

var small = Options{Bytes: 64 * kib, Window: 16 * kib, MinWindow: 2 * kib} // 16 transfers

func admit(t *testing.T, b *Budget) *Transfer {
	t.Helper()
	x, after := b.Admit(0)
	if x == nil {
		t.Fatalf("not admitted, come back after %v", after)
	}
	return x
}

func TestAloneItHasItsWholeWindow(t *testing.T) {
	b := NewBudget(small)
	x := admit(t, b)
	if n := x.Reserve(Down, 1<<30); n != 16*kib {
		t.Errorf("a window of %d", n)
	}
	if n := x.Reserve(Down, 1); n != 0 {
		t.Errorf("%d more with a full window", n)
	}
	x.Release(Down, 5*kib)
	if n := x.Reserve(Down, 1<<30); n != 5*kib {
		t.Errorf("%d after 5 KiB were written", n)
	}
	if n := x.Reserve(Up, kib); n != kib {
		t.Errorf("%d the other way", n)
	}
	x.Close(time.Second)
	x.Close(time.Second)
	x.Release(Up, kib)
	if b.Reserved() != 0 || b.Open() != 0 || x.Reserve(Up, 1) != 0 {
		t.Errorf("%d held by %d after the end", b.Reserved(), b.Open())
	}
}

// Windows shrink under pressure, each keeps its least, and together they never hold more than the budget.
func TestUnderPressureEachKeepsItsLeast(t *testing.T) {
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
			t.Errorf("transfer %d has a window of %d after one of %d", len(all), n, last)
		}
		last = n
	}
	if b.Reserved() > small.Bytes {
		t.Errorf("%d bytes are held of %d", b.Reserved(), small.Bytes)
	}
	for _, x := range all {
		if n := x.Reserve(Up, small.MinWindow); n != small.MinWindow {
			t.Errorf("the other direction has %d", n)
		}
	}
	if x, after := b.Admit(0); x != nil || after <= 0 {
		t.Errorf("admitted beyond the budget, after %v", after)
	}
	for _, x := range all {
		x.Close(time.Second)
	}
	for range small.MaxTransfers() {
		admit(t, b)
	}
	if x, _ := b.Admit(0); x != nil {
		t.Errorf("%d transfers, %d at most", b.Open(), small.MaxTransfers())
	}
}

func TestWhenToComeBack(t *testing.T) {
	b := NewBudget(Options{Bytes: 8, Window: 2, MinWindow: 2})
	for i := range 10 {
		x := admit(t, b)
		x.Close(time.Duration(i+1) * 3 * time.Second)
	}
	admit(t, b)
	admit(t, b)
	if x, after := b.Admit(time.Minute); x != nil || after != 3*time.Second {
		t.Errorf("come back after %v, and one ends every 3 s", after)
	}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for _, o := range []Options{{}, {Bytes: 10, Window: 1, MinWindow: 2}, {Bytes: 3, Window: 2, MinWindow: 2},
		{Bytes: 10, MinWindow: -1}} {
		if o.Validate() == nil {
			t.Errorf("%+v is taken", o)
		}
	}
	if err := small.Validate(); err != nil {
		t.Error(err)
	}
}

func TestASideThatIsSlow(t *testing.T) {
	p := Pace{MinRate: 1000, Grace: 5 * time.Second, Stall: 3 * time.Second}
	w := NewMonitor(p)
	now := time.Duration(0)
	for i := 0; w.Check(now) == None; i++ { // one byte a second
		if i > 10 {
			t.Fatal("one byte a second is never too slow")
		}
		w.StartWait(now)
		now += time.Second
		w.Moved(now, 1)
	}
	if now < 5*time.Second || now > 6*time.Second || w.Check(now) != Slow {
		t.Errorf("%v after %v, with 5 s of grace", w.Check(now), now)
	}
}

func TestASideThatKeepsItsPace(t *testing.T) {
	w := NewMonitor(Pace{MinRate: 1000, Grace: 2 * time.Second, Stall: 3 * time.Second})
	now := time.Duration(0)
	for range 10_000 {
		w.StartWait(now)
		now += 100 * time.Millisecond
		w.Moved(now, 100)
		if blame := w.Check(now); blame != None {
			t.Fatalf("%v at %v", blame, now)
		}
	}
	w.Moved(now, 1<<30) // does not earn more than its grace
	w.StartWait(now)
	if at, ok := w.Deadline(); !ok || at != now+2*time.Second || w.Check(at) != Slow || w.Check(at-1) != None {
		t.Errorf("due at %v", at-now)
	}
}

// A side that nobody waits for may take any time: it is the other that is slow.
func TestASideThatTheOtherHoldsUp(t *testing.T) {
	w := NewMonitor(Pace{MinRate: 1000, Grace: time.Second, Stall: time.Second})
	w.StartWait(0)
	w.Moved(time.Millisecond, 10)
	if _, ok := w.Deadline(); ok || w.Check(time.Hour) != None {
		t.Errorf("%v while nobody waits for it", w.Check(time.Hour))
	}
	w.StartWait(time.Hour)
	if w.Check(time.Hour+500*time.Millisecond) != None || w.Check(time.Hour+time.Second) != Stalled {
		t.Error("then a stall of a second counts, and not before")
	}
}

func TestAnyPaceWillDo(t *testing.T) {
	w := NewMonitor(Pace{})
	w.StartWait(0)
	if _, ok := w.Deadline(); ok || w.Check(time.Hour) != None || w.Bytes() != 0 {
		t.Error("blamed without a pace")
	}
}

// Whatever is taken and given in whatever order: never more than the budget, and never less than the least.
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
				if x, after := b.Admit(now); x != nil {
					open = append(open, x)
				} else if after <= 0 {
					t.Fatal("turned away for no time")
				}
			} else {
				k := arg % len(open)
				x, d := open[k], Direction(steps[i]/4%2)
				switch steps[i] % 4 {
				case 1:
					before := x.held[d]
					n := x.Reserve(d, arg*kib)
					if n < 0 || n > arg*kib || n < min(arg*kib, small.MinWindow-before) {
						t.Fatalf("took %d of %d with %d held", n, arg*kib, before)
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
					extra += max(0, x.held[d]-small.MinWindow)
				}
			}
			if b.Reserved() > small.Bytes || b.Reserved() < 0 || b.extra != extra || b.Open() != len(open) {
				t.Fatalf("%d held, extra %d, want %d, %d of %d open", b.Reserved(), b.extra, extra, b.Open(), len(open))
			}
		}
	})
}
