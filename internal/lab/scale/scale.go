// Package scale measures how what the control plane costs grows with the size of a cluster: messages, bytes,
// processor time and memory, by role and by cause. It simulates clusters in virtual time, times single
// operations, and runs control nodes, which have a control plane and no data plane, beside real processes.
package scale

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// The parts of a measurement.
const (
	PartSimulation = "simulation"
	PartOperations = "operations"
	PartProcesses  = "processes"
)

// Row is one figure.
type Row struct {
	Part  string  `json:"part"` // PartSimulation, PartOperations or PartProcesses
	Case  string  `json:"case"`
	Role  string  `json:"role"`
	What  string  `json:"what"`
	Cause string  `json:"cause,omitempty"`
	Unit  string  `json:"unit"`
	By    string  `json:"by"` // what the size counts
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is how a figure grows with the size.
type Slope struct {
	Row              // of the largest size
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Power  float64   `json:"power"` // value ~ size^power, by least squares of logarithms; 0: not told
	Last   float64   `json:"last"`  // the same between the two largest sizes
	Each   float64   `json:"each"`  // what one more adds, between the two largest sizes
}

// slopeKey is what the rows of one slope have in common.
func slopeKey(r Row) string {
	return strings.Join([]string{r.Part, r.Case, r.Role, r.What, r.Cause, r.Unit, r.By}, "\x00")
}

// Slopes sorts rows into slopes, in the order in which their first rows came.
func Slopes(rows []Row) []Slope {
	var order []string
	byKey := map[string][]Row{}
	for _, r := range rows {
		k := slopeKey(r)
		if byKey[k] == nil {
			order = append(order, k)
		}
		byKey[k] = append(byKey[k], r)
	}
	var all []Slope
	for _, k := range order {
		list := byKey[k]
		slices.SortStableFunc(list, func(a, b Row) int { return cmp.Compare(a.Size, b.Size) })
		s := Slope{Row: list[len(list)-1]}
		for _, r := range list {
			s.Sizes, s.Values = append(s.Sizes, r.Size), append(s.Values, r.Value)
		}
		two := max(0, len(list)-2)
		s.Power, s.Last = fitPower(s.Sizes, s.Values), fitPower(s.Sizes[two:], s.Values[two:])
		s.Each = addedPerUnit(s.Sizes, s.Values)
		all = append(all, s)
	}
	return all
}

// fitPower fits value = c*size^power; 0 where fewer than two sizes have a value above 0.
func fitPower(sizes, values []float64) float64 {
	var n, sx, sy, sxx, sxy float64
	for i := range sizes {
		if sizes[i] <= 0 || values[i] <= 0 {
			continue
		}
		x, y := math.Log(sizes[i]), math.Log(values[i])
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; n >= 2 && d > 1e-9 {
		return (n*sxy - sx*sy) / d
	}
	return 0
}

func addedPerUnit(sizes, values []float64) float64 {
	n := len(sizes)
	if n < 2 || sizes[n-1] == sizes[n-2] {
		return 0
	}
	return (values[n-1] - values[n-2]) / (sizes[n-1] - sizes[n-2])
}

// At is the figure at another size: that of the largest one measured, grown by the last power.
func (s Slope) At(size float64) float64 {
	if s.Size <= 0 {
		return s.Value
	}
	return s.Value * math.Pow(size/s.Size, s.Last)
}
