package routing

import (
	"math"
	"testing"
)

// Over uniformly distributed positions, each service gets requests in proportion to its weight, and none if
// its weight is zero.
func TestPickIsProportionalToWeights(t *testing.T) {
	const draws, tolerance = 10000, 0.001
	for name, shares := range map[string][]Share{
		"one":          {{Service: "a", Weight: 5}},
		"90 to 10":     {{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		"fractions":    {{Service: "a", Weight: 0.25}, {Service: "b", Weight: 0.5}, {Service: "c", Weight: 0.25}},
		"zero weights": {{Service: "a", Weight: 0}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}},
	} {
		route := &Route{Shares: shares}
		picked, total := map[string]int{}, 0.0
		for i := range draws {
			picked[route.Pick((float64(i)+0.5)/draws)]++
		}
		for _, share := range shares {
			total += share.Weight
		}
		for _, share := range shares {
			got, want := float64(picked[share.Service])/draws, share.Weight/total
			if math.Abs(got-want) > tolerance {
				t.Errorf("%s: %s gets %v, want %v", name, share.Service, got, want)
			}
		}
	}
}
