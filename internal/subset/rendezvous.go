// Package subset assigns each gateway a subset of the servers, so that it has recent measurements of them and
// reuses its connections. Each gateway computes its subset from names and numbers alone, without
// communication. Holds is for numbered gateways and covers all servers by rendezvous hashing: when a server
// joins or leaves, no gateway loses any other server. Slice is for the nodes of a zone and uses their list:
// the numbers of subsets that contain a server differ by at most one between servers. The functions have no
// state.
package subset

import "math"

// Size is the mean number of backends in a gateway's subset: enough to distinguish a slow backend from the
// others, and few enough that connections are reused before they have been idle for too long.
const Size = 15

// Holders returns how many gateways have each backend in their subset. It is the number of all gateways
// unless gateways are numbered and there are enough gateways and backends for subsets.
func Holders(gateways, backends int, numbered bool) int {
	holders := int(math.Ceil(Size * float64(gateways) / float64(max(1, backends))))
	if !numbered || holders < minHolders || 2*holders > gateways {
		return gateways
	}
	return holders
}

// minHolders is the minimum number of gateways per backend: with fewer, load is too uneven.
const minHolders = 8

// Holds reports whether a gateway has the backend with this key in its subset, which is so for the gateways
// of the highest weights for that key. Gateways are numbered from 0; holders is the result of Holders.
func Holds(key uint64, gateway, gateways, holders int) bool {
	if holders >= gateways {
		return true
	}
	ownWeight, higher := weight(key, gateway), 0
	for i := 0; i < gateways && higher < holders; i++ {
		if w := weight(key, i); w > ownWeight || w == ownWeight && i < gateway {
			higher++
		}
	}
	return higher < holders
}

// weight hashes a backend's key and a gateway's number with the finalizer of SplitMix64.
func weight(key uint64, gateway int) uint64 {
	x := key + uint64(gateway+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
