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

// parts returns which backends each gateway holds.
func parts(gateways int, backends []int) []map[int]bool {
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

func count(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func TestEachBackendIsHeldByEquallyMany(t *testing.T) {
	for _, c := range []struct{ gateways, backends, holders int }{
		{1, 8, 1}, {4, 8, 4}, {4, 60, 4}, {8, 200, 8}, {80, 10, 80}, {80, 60, 20}, {200, 60, 50}, {80, 120, 10},
	} {
		held := map[int]int{}
		least, most := c.backends, 0
		for _, part := range parts(c.gateways, count(c.backends)) {
			least, most = min(least, len(part)), max(most, len(part))
			for b := range part {
				held[b]++
			}
		}
		for b, n := range held {
			if n != c.holders {
				t.Errorf("%d gateways, %d backends: %d hold backend %d, want %d", c.gateways, c.backends, n, b, c.holders)
			}
		}
		if len(held) != c.backends || least < Size/3 && least < c.backends || most > 2*Size && most < c.backends {
			t.Errorf("%d gateways, %d backends: %d held, %d to %d a gateway", c.gateways, c.backends, len(held), least,
				most)
		}
	}
}

func TestPartsAreStable(t *testing.T) {
	before, after := parts(80, count(60)), parts(80, count(59)) // one leaves
	for g := range before {
		lost, won := 0, 0
		for b := range before[g] {
			if !after[g][b] && b != 59 {
				lost++
			}
		}
		for b := range after[g] {
			if !before[g][b] {
				won++
			}
		}
		if lost > 0 || won > 6 {
			t.Errorf("gateway %d: lost %d of those that stay, and won %d", g, lost, won)
		}
	}
}
