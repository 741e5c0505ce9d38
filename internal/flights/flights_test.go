package flights

import "testing"

func TestTheLeaderLeavesAThousandAskers(t *testing.T) {
	g := New[string, int, string]()
	f := g.Begin("token", 0, "")
	for i := 1; i <= 1000; i++ {
		if joined, ok := g.Join("token", i); !ok || joined != f {
			t.Fatalf("asker %d got no place", i)
		}
	}
	for call := range 2 { // who has left may leave again
		if g.Leave(f, 0) {
			t.Errorf("call %d: the leader took the flight along", call+1)
		}
	}
	got := map[int]bool{}
	for _, a := range g.End(f) {
		got[a] = true
	}
	if len(got) != 1000 || got[0] || g.Len() != 0 || len(g.End(f)) != 0 {
		t.Errorf("%d askers answered, leader %v, %d flights left", len(got), got[0], g.Len())
	}
}

func TestTheLastOneEndsIt(t *testing.T) {
	g := New[string, int, string]()
	f := g.Begin("token", 1, "")
	g.Join("token", 2)
	if g.Leave(f, 1) || !g.Leave(f, 2) || g.Leave(f, 2) || g.Len() != 0 {
		t.Error("want the flight to end with its last asker, once")
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
