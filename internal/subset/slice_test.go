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

// For any numbers of nodes and servers, the numbers of subsets that contain a server differ by at most one,
// and no subset is empty or contains a server twice.
func TestSlicesCoverServersEvenly(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	p.Property("even", prop.ForAll(func(n, m int) bool {
		nodes, servers := names("m", n), names("s", m)
		subsetsPerServer := map[string]int{}
		for _, self := range nodes {
			subset := Slice(self, nodes, servers)
			seen := map[string]bool{}
			for _, s := range subset {
				if seen[s] {
					return false
				}
				seen[s] = true
				subsetsPerServer[s]++
			}
			if len(subset) == 0 {
				return false
			}
		}
		minSubsets, maxSubsets := n, 0
		for _, s := range servers {
			minSubsets, maxSubsets = min(minSubsets, subsetsPerServer[s]), max(maxSubsets, subsetsPerServer[s])
		}
		return maxSubsets-minSubsets <= 1 && minSubsets > 0
	}, gen.IntRange(1, 40), gen.IntRange(1, 60)))
	p.TestingRun(t)
}

func TestUnknownNodeGetsAllServers(t *testing.T) {
	if got := Slice("x", names("m", 30), names("s", 9)); len(got) != 9 {
		t.Errorf("subset %v, want all 9 servers", got)
	}
}

func TestFewNodesGetAllServers(t *testing.T) {
	if got := Slice("m1", names("m", minNodes-1), names("s", 9)); len(got) != 9 {
		t.Errorf("below minNodes: subset %v, want all 9 servers", got)
	}
	if got := Slice("m1", names("m", minNodes), names("s", 90)); len(got) != 9 {
		t.Errorf("with minNodes: subset %v, want 9 of 90 servers", got)
	}
}
