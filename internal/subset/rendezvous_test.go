package subset

import (
	"hash/fnv"
	"strconv"
	"testing"
)

func key(i int) uint64 {
	h := fnv.New64a()
	h.Write([]byte("s-" + strconv.Itoa(i)))
	return h.Sum64()
}

// subsets returns the set of backends of each gateway.
func subsets(gateways int, backends []int) []map[int]bool {
	all, holders := make([]map[int]bool, gateways), Holders(gateways, len(backends), true)
	for g := range all {
		all[g] = map[int]bool{}
		for _, b := range backends {
			if Holds(key(b), g, gateways, holders) {
				all[g][b] = true
			}
		}
	}
	return all
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestEachBackendHasEquallyManyGateways(t *testing.T) {
	for _, c := range []struct{ gateways, backends, holders int }{
		{1, 8, 1}, {4, 8, 4}, {4, 60, 4}, {8, 200, 8}, {80, 10, 80}, {80, 60, 20}, {200, 60, 50}, {80, 120, 10},
	} {
		users := map[int]int{}
		smallest, largest := c.backends, 0
		for _, subset := range subsets(c.gateways, indexes(c.backends)) {
			smallest, largest = min(smallest, len(subset)), max(largest, len(subset))
			for b := range subset {
				users[b]++
			}
		}
		for b, n := range users {
			if n != c.holders {
				t.Errorf("%d gateways, %d backends: %d use backend %d, want %d", c.gateways, c.backends, n, b, c.holders)
			}
		}
		if len(users) != c.backends || smallest < Size/3 && smallest < c.backends ||
			largest > 2*Size && largest < c.backends {
			t.Errorf("%d gateways, %d backends: %d are used, %d to %d per gateway", c.gateways, c.backends,
				len(users), smallest, largest)
		}
	}
}

func TestSubsetsAreStable(t *testing.T) {
	before, after := subsets(80, indexes(60)), subsets(80, indexes(59)) // backend 59 leaves
	for g := range before {
		lost, gained := 0, 0
		for b := range before[g] {
			if !after[g][b] && b != 59 {
				lost++
			}
		}
		for b := range after[g] {
			if !before[g][b] {
				gained++
			}
		}
		if lost > 0 || gained > 6 {
			t.Errorf("gateway %d: lost %d remaining backends, want 0, and gained %d, want up to 6", g, lost, gained)
		}
	}
}
