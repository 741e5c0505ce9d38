package slowlog

import (
	"strconv"
	"testing"
	"time"
)

// A log that received more requests than its capacity returns the last ones, newest first, and counts all.
func TestLogKeepsNewestEntries(t *testing.T) {
	var l Log
	for i := range Capacity + 7 {
		l.Record(Entry{ID: strconv.Itoa(i)})
	}
	list, total := l.Entries()
	if len(list) != Capacity || total != Capacity+7 || list[0].ID != strconv.Itoa(Capacity+6) ||
		list[Capacity-1].ID != "7" {
		t.Errorf("%d of %d entries, from %s to %s", len(list), total, list[0].ID, list[len(list)-1].ID)
	}
}

// Requests that were late in different phases are grouped, the largest group first, with the phase in which
// most of them spent most of their time.
func TestSummarizeReportsLongestPhase(t *testing.T) {
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
