package platform

import (
	"math"
	"net/http"
	"slices"
	"testing"

	"dunespoke/choice"
	"dunespoke/internal/http1"
)

func TestClassifierReadsLoadAndUnits(t *testing.T) {
	classifier := ResponseClassifier{LoadFields: []string{"outstanding", "backlog"}, MaxUnits: 8}
	for _, c := range []struct {
		pressure, settled []string
		load              []float64
		units             float64
	}{
		{[]string{"backlog=2, outstanding=7.5,other=x"}, []string{"3"}, []float64{7.5, 2}, 3},
		{[]string{"backlog=2"}, []string{"8.1"}, nil, 0},
		{[]string{"backlog=2,outstanding=-1"}, []string{"-1"}, nil, 0},
		{[]string{"backlog=2,backlog=2"}, []string{"1e0"}, nil, 0},
		{[]string{"backlog=1,outstanding=1", "backlog=1,outstanding=1"}, []string{"1", "2"}, nil, 0},
		{[]string{""}, []string{""}, nil, 0},
		{nil, nil, nil, 0},
	} {
		h := http.Header{"X-Pressure": c.pressure, "X-Settled": c.settled}
		got := classifier.Complete(&http1.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: h}})
		if got.Code != choice.OK || !slices.Equal(got.Load, c.load) || got.Units != c.units {
			t.Errorf("%q, %q: load %v, units %v", c.pressure, c.settled, got.Load, got.Units)
		}
	}
	busy := http.Header{"X-Turned-Away": {"1"}, "X-Pressure": {"outstanding=9,backlog=30"}, "X-Settled": {"2"}}
	got := classifier.Head(&http.Response{StatusCode: http.StatusServiceUnavailable, Header: busy})
	if got.Code != choice.Busy || !slices.Equal(got.Load, []float64{9, 30}) || got.Units != 0 {
		t.Errorf("turned away: %+v", got)
	}
}

// Whatever a response contains, the gate gets either no values, or values whose number and range are those of
// the settings.
func FuzzClassifier(f *testing.F) {
	f.Add("outstanding=1,backlog=2", "3")
	f.Add("backlog=1e300,outstanding=Inf", "0x8")
	classifier := ResponseClassifier{LoadFields: []string{"outstanding", "backlog"}, MaxUnits: 8}
	f.Fuzz(func(t *testing.T, pressure, settled string) {
		h := http.Header{"X-Pressure": {pressure}, "X-Settled": {settled}}
		got := classifier.Head(&http.Response{StatusCode: http.StatusOK, Header: h})
		if got.Units < 0 || got.Units > 8 || len(got.Load) != 0 && len(got.Load) != 2 {
			t.Errorf("%q, %q: %+v", pressure, settled, got)
		}
		if len(got.Load) > 0 && !(slices.Min(got.Load) >= 0 && slices.Max(got.Load) <= math.MaxFloat64) {
			t.Errorf("%q: %v", pressure, got.Load)
		}
	})
}
