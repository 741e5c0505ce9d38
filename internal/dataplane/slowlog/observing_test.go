package slowlog

import (
	"strconv"
	"testing"
	"time"
)

// Given more requests than are kept, then the last ones are, the last one first, and all are counted.
func TestTheLastOnesAreKept(t *testing.T) {
	var b Board
	for i := range Most + 7 {
		b.Note(Call{ID: strconv.Itoa(i)})
	}
	list, total := b.Latest()
	if len(list) != Most || total != Most+7 || list[0].ID != strconv.Itoa(Most+6) || list[Most-1].ID != "7" {
		t.Errorf("%d of %d, from %s to %s", len(list), total, list[0].ID, list[len(list)-1].ID)
	}
}

// Given requests that were late for unlike reasons, when they are summed, then the most numerous stand first,
// with where most of them spent their time.
func TestSumsTellWhereTheTimeWent(t *testing.T) {
	slow := Call{Route: "b", End: Late, Serving: time.Second, Total: 1100 * time.Millisecond, Waiting: 1e8}
	quota := Call{Route: "b", End: Late, Quota: time.Second, Total: 1500 * time.Millisecond}
	sums := Sums([]Call{{Route: "a", End: Refused}, slow, slow, quota})
	if len(sums) != 2 || sums[0].N != 3 || sums[0].Longest != "serving" || sums[0].Worst != quota.Total ||
		sums[1].Route != "a" {
		t.Errorf("%+v", sums)
	}
}
