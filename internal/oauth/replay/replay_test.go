package replay

import (
	"fmt"
	"testing"
	"time"
)

func TestShowUntilExpiry(t *testing.T) {
	m := New(10)
	for _, c := range []struct {
		now     time.Duration
		id      string
		expires time.Duration
		want    Verdict
	}{{0, "a", 5, Unseen}, {1, "a", 9, Seen}, {4, "b", 8, Unseen}, {5, "a", 9, Unseen},
		{7, "b", 9, Seen}, {8, "b", 9, Unseen}} {
		if got := m.Show(c.now, c.id, c.expires); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestFullMemoryForgetsNothing(t *testing.T) {
	m := New(100)
	m.Show(0, "mine", 50)
	full := 0
	for i := range 10_000 {
		if m.Show(1, fmt.Sprint(i), 60) == Full {
			full++
		}
	}
	if full != 10_000-99 || m.Len() != 100 || m.Show(49, "mine", 60) != Seen {
		t.Errorf("%d rejected, %d recorded", full, m.Len())
	}
	if m.Show(60, "next", 70) != Unseen || m.Len() != 1 {
		t.Errorf("after the expiry of all others, %d recorded, want 1", m.Len())
	}
}
