package subset

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func names(kind string, n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint(kind, i))
	}
	return list
}

// Given any members and servers, when each has its part, then every server is in equally many parts, give or
// take one, and no part is empty or holds a server twice.
func TestSlicesAreEven(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("even", prop.ForAll(func(n, m int) bool {
		members, servers := names("m", n), names("s", m)
		held := map[string]int{}
		for _, self := range members {
			part := Slice(self, members, servers)
			seen := map[string]bool{}
			for _, s := range part {
				if seen[s] {
					return false
				}
				seen[s] = true
				held[s]++
			}
			if len(part) == 0 {
				return false
			}
		}
		fewest, most := n, 0
		for _, s := range servers {
			fewest, most = min(fewest, held[s]), max(most, held[s])
		}
		return most-fewest <= 1 && fewest > 0
	}, gen.IntRange(1, 40), gen.IntRange(1, 60)))
	p.TestingRun(t)
}

func TestAnUnknownNodeHasAllServers(t *testing.T) {
	if got := Slice("x", names("m", 30), names("s", 9)); len(got) != 9 {
		t.Errorf("%v", got)
	}
}

func TestFewNodesHaveAllServers(t *testing.T) {
	if got := Slice("m1", names("m", minNodes-1), names("s", 9)); len(got) != 9 {
		t.Errorf("%v", got)
	}
	if got := Slice("m1", names("m", minNodes), names("s", 90)); len(got) != 9 {
		t.Errorf("%v", got)
	}
}
