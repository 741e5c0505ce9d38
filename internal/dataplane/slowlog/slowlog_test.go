package slowlog

import (
	"strconv"
	"testing"
	"time"
)

// Given more requests than are kept, then the last ones are, the last one first, and all are counted.
func TestTheLastOnesAreKept(t *testing.T) {
	var b Log
	for i := range Capacity + 7 {
		b.Record(Entry{ID: strconv.Itoa(i)})
	}
	list, total := b.Entries()
	if len(list) != Capacity || total != Capacity+7 || list[0].ID != strconv.Itoa(Capacity+6) ||
		list[Capacity-1].ID != "7" {
		t.Errorf("%d of %d, from %s to %s", len(list), total, list[0].ID, list[len(list)-1].ID)
	}
}

// Given requests that were late for unlike reasons, when they are summed, then the most numerous stand first,
// with where most of them spent their time.
func TestSumsTellWhereTheTimeWent(t *testing.T) {
	slow := Entry{
		Route:   "b",
		Outcome: OutcomeLate,
		Serving: time.Second,
		Total:   1100 * time.Millisecond,
		Waiting: 1e8,
	}
	quota := Entry{Route: "b", Outcome: OutcomeLate, Quota: time.Second, Total: 1500 * time.Millisecond}
	sums := Summarize([]Entry{{Route: "a", Outcome: OutcomeRejected}, slow, slow, quota})
	if len(sums) != 2 || sums[0].Count != 3 || sums[0].LongestPhase != "serving" ||
		sums[0].Worst != quota.Total ||
		sums[1].Route != "a" {
		t.Errorf("%+v", sums)
	}
}
