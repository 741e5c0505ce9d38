package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Bounds of Slice. A busy server needs another beside it. With few nodes in a zone each keeps its connections
// to all servers anyway: on small sites subsets gained nothing (0.814 and 0.880 against 0.819 and 0.890,
// which is noise), on a grown one they lowered the prices of a calm day from 0.073 to 0.065 of the worth.
const (
	minSubsetSize = 2
	minNodes      = 10
)

// Slice returns the servers that a node tries first, of one service in its zone: an even slice of them in the
// order of their hashes. Nodes are the zone's; each server is in equally many slices, give or take one. With
// few nodes, or for one who is none of them, it is all servers.
func Slice(self string, nodes, servers []string) []string {
	position, count := slices.Index(nodes, self), len(nodes)
	if position < 0 || count < minNodes || len(servers) <= minSubsetSize {
		return servers
	}
	order := slices.Clone(servers) // not by name: names rise with age, and slices are to be mixed
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	size := float64(max(minSubsetSize*count, len(order))) / float64(count)
	begin, end := int(math.Round(float64(position)*size)), int(math.Round(float64(position+1)*size))
	var subset []string
	for i := begin; i < end; i++ {
		subset = append(subset, order[i%len(order)])
	}
	return subset
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
