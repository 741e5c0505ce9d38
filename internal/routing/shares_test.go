package routing

import (
	"math"
	"testing"
)

// Given a route whose requests are shared among services, when each number between 0 and 1 is drawn as
// often, then each service gets its weight's part, and one without a weight gets nothing.
func TestEachShareGetsItsWeightsPart(t *testing.T) {
	const draws, tolerated = 10000, 0.001
	for name, shares := range map[string][]Share{
		"one":           {{Service: "a", Weight: 5}},
		"ninety to ten": {{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		"fractions":     {{Service: "a", Weight: 0.25}, {Service: "b", Weight: 0.5}, {Service: "c", Weight: 0.25}},
		"none of it":    {{Service: "a", Weight: 0}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}},
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
			if math.Abs(got-want) > tolerated {
				t.Errorf("%s: %s gets %v, want %v", name, share.Service, got, want)
			}
		}
	}
}
