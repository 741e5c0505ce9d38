// Package subset gives each gateway a part of the servers, so that what it knows of them is of use and
// connections are used again. Nobody has to talk for it: names and numbers decide. Holds is for gateways that
// are numbered, over all servers, by rendezvous hashing: a server that joins or leaves takes nothing else out
// of anyone's part. Slice is for the nodes of a zone, by their list: each server is in equally many parts,
// give or take one. It is pure.
package subset

import "math"

// Size is how many backends a gateway uses in the mean: enough to tell a slow one from its fellows, and few
// enough for a connection to be used again before it has stood idle for too long.
const Size = 15

// Holders returns how many of the gateways use each of so many backends: all of them, unless there are enough
// of both for a part to do, and each knows its number.
func Holders(gateways, backends int, numbered bool) int {
	holders := int(math.Ceil(Size * float64(gateways) / float64(max(1, backends))))
	if !numbered || holders < holdersLeast || 2*holders > gateways {
		return gateways
	}
	return holders
}

// holdersLeast is how many gateways are to use a backend: fewer ask too unevenly.
const holdersLeast = 8

// Holds reports whether a gateway, numbered from 0, is among the holders of a backend.
func Holds(key uint64, gateway, gateways, holders int) bool {
	if holders >= gateways {
		return true
	}
	mine, above := weight(key, gateway), 0
	for i := 0; i < gateways && above < holders; i++ {
		if w := weight(key, i); w > mine || w == mine && i < gateway {
			above++
		}
	}
	return above < holders
}

// weight mixes the bits of both (the finalizer of SplitMix64).
func weight(key uint64, gateway int) uint64 {
	x := key + uint64(gateway+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
