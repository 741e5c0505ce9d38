package simulatedfleet

import (
	"testing"
	"time"

	"dunespoke/fleet/zones"
)

const hold = 30 * time.Second

// A zone of servers is lost and comes back: all live ingresses leave it alone soon, and come back to it,
// by two tables; and no ingress gets more messages than it may.
func TestZoneLostAtManyIngresses(t *testing.T) {
	for seed := range uint64(10) {
		f := NewFleet(seed+1, 60, 6, 2*time.Second, hold)
		f.Net.Loss = 0.07
		f.Run(8 * time.Second)
		if f.Tables() > 0 {
			t.Fatalf("seed %d: a table without a cause", seed+1)
		}
		zone, gone := f.Ingresses[5].Zone, true
		f.Fails = func(_ *Ingress, to string) bool { return gone && to == zone }
		for _, in := range f.Ingresses {
			if in.Zone == f.Ingresses[0].Zone { // a zone with a voter dies as well
				f.Kill(in)
			}
		}
		for _, down := range []bool{true, false} {
			gone = down
			took, ok := f.Until(20*time.Second, func() bool {
				return f.All(func(in *Ingress) bool { return in.Knows(f.Net.Now(), zones.Name(zone, zone), down) })
			})
			if !ok || down && took > 6*time.Second {
				t.Errorf("seed %d: down %v took %v", seed+1, down, took)
			}
			f.Run(time.Second)
		}
		if n := f.Tables(); n != 2 {
			t.Errorf("seed %d: %d tables, want 2", seed+1, n)
		}
		if f.MostIn > 100 || len(f.Errs) > 0 {
			t.Errorf("seed %d: %d messages a second, errors %v", seed+1, f.MostIn, f.Errs)
		}
	}
}

// Without a majority the table holds for a while, and then each ingress goes by itself.
func TestHeldThenByItself(t *testing.T) {
	f := NewFleet(1, 12, 4, 2*time.Second, hold)
	f.Run(8 * time.Second)
	zone := f.Ingresses[3].Zone
	f.Fails = func(_ *Ingress, to string) bool { return to == zone }
	last := f.Ingresses[7] // of the zone that is lost, no voter
	left := func() bool { return len(last.Steer.Course().Down) > 0 }
	if _, ok := f.Until(10*time.Second, left); !ok {
		t.Fatal("the zone is not left alone")
	}
	for _, in := range f.Ingresses {
		if in != last {
			f.Kill(in)
		}
	}
	f.Run(hold / 2)
	if !left() || last.Steer.Course().Independent {
		t.Error("the table does not hold")
	}
	f.Run(hold)
	if c := last.Steer.Course(); len(c.Down) > 0 || !c.Independent {
		t.Errorf("%+v: want it to go by itself", c)
	}
}

// Orders run out by themselves.
func TestOrdersRunOut(t *testing.T) {
	o := (&zones.Orders{}).With(time.Hour, "a", time.Hour+time.Minute)
	if z := o.Evacuated(time.Hour); len(z) != 1 || len(o.Evacuated(time.Hour+time.Minute)) != 0 {
		t.Errorf("%v", z)
	}
	if o = o.Without(time.Hour, "a"); len(o.Evacuated(time.Hour)) != 0 {
		t.Errorf("%+v", o)
	}
}
