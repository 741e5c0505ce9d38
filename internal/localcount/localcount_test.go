package localcount

import (
	"fmt"
	"testing"
	"time"

	"dunespoke/choice"
)

func TestCountsAccumulateAndExpire(t *testing.T) {
	c := New()
	now := time.Unix(1000, 0)
	c.now = func() time.Time { return now }
	add := func(name string, amount float64) (total float64) {
		c.Add(name, amount, 5*time.Second, func(code choice.Code, sum float64) {
			if code != choice.OK {
				t.Errorf("code %d, want OK", code)
			}
			total = sum
		})
		return total
	}
	add("a", 2)
	now = now.Add(4 * time.Second) // a second call does not extend the lifetime
	if got := add("a", 3); got != 5 {
		t.Errorf("total %v, want 5", got)
	}
	if got := add("b", -1); got != -1 {
		t.Errorf("total %v, want -1", got)
	}
	now = now.Add(time.Second)
	if got := add("a", 1); got != 1 {
		t.Errorf("after it expired: total %v, want 1", got)
	}
	for i := range 1000 {
		add(fmt.Sprint(i), 1)
	}
	now = now.Add(sweepInterval)
	if add("c", 1); len(c.counts) != 1 {
		t.Errorf("%d counts are stored after the deletion of expired ones, want 1", len(c.counts))
	}
}
