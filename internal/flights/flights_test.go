package flights

import "testing"

func TestFlightSurvivesItsFirstWaiter(t *testing.T) {
	g := New[string, int, string]()
	f := g.Begin("token", 0, "")
	for i := 1; i <= 1000; i++ {
		if joined, ok := g.Join("token", i); !ok || joined != f {
			t.Fatalf("waiter %d could not join the flight", i)
		}
	}
	for call := range 2 { // leaving twice has no effect
		if g.Leave(f, 0) {
			t.Errorf("call %d: the flight ended with its first waiter", call+1)
		}
	}
	got := map[int]bool{}
	for _, a := range g.End(f) {
		got[a] = true
	}
	if len(got) != 1000 || got[0] || g.Len() != 0 || len(g.End(f)) != 0 {
		t.Errorf("%d waiters returned, the first included: %v, %d flights left", len(got), got[0], g.Len())
	}
}

func TestLastWaiterEndsTheFlight(t *testing.T) {
	g := New[string, int, string]()
	f := g.Begin("token", 1, "")
	g.Join("token", 2)
	if g.Leave(f, 1) || !g.Leave(f, 2) || g.Leave(f, 2) || g.Len() != 0 {
		t.Error("want the flight to end with its last waiter, once")
	}
	if _, ok := g.Join("token", 3); ok {
		t.Error("joined a flight that has ended")
	}
	second := g.Begin("token", 3, "")
	if g.End(f); g.Len() != 1 {
		t.Error("the end of an old flight ended its successor")
	}
	g.End(second)
}
