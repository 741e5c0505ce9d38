package replica

import (
	"slices"
	"strings"

	"dunespoke/internal/controlplane/message"
)

// majority returns how many voters of an electorate form a majority.
func majority[T any](electorate []T) int { return len(electorate)/2 + 1 }

// hasQuorum reports whether the voters that agree are a majority of each of the electorates, which are
// memberships or the seeds of a first start.
func hasQuorum[T any](agrees func(voter T) bool, electorates ...[]T) bool {
	for _, electorate := range electorates {
		votes := 0
		for _, voter := range electorate {
			if agrees(voter) {
				votes++
			}
		}
		if votes < majority(electorate) {
			return false
		}
	}
	return true
}

// hasAddress reports whether there is a member at an address.
func hasAddress(members []message.Node, addr string) bool {
	return slices.ContainsFunc(members, func(m message.Node) bool { return m.Addr == addr })
}

// hasMember reports whether a replica is a member: the same store at the same address.
func hasMember(members []message.Node, replica message.Node) bool {
	return slices.ContainsFunc(members, func(m message.Node) bool {
		return m.Addr == replica.Addr && m.StoreID == replica.StoreID
	})
}

// membersAt returns the members at the given addresses.
func membersAt(members []message.Node, addrs []string) []message.Node {
	return slices.DeleteFunc(slices.Clone(members), func(m message.Node) bool {
		return !slices.Contains(addrs, m.Addr)
	})
}

// withoutAddress returns the members except the one at an address.
func withoutAddress(members []message.Node, addr string) []message.Node {
	return slices.DeleteFunc(slices.Clone(members), func(m message.Node) bool { return m.Addr == addr })
}

// compareAddress defines the order of members on all replicas.
func compareAddress(a, b message.Node) int { return strings.Compare(a.Addr, b.Addr) }

// epochsPerRound is how many epochs a round has, so that each member has its own epoch in each round and no
// two members propose under the same one.
const epochsPerRound = 64

// maxProposerID is the maximum of a member's ProposerID.
const maxProposerID = epochsPerRound - 1

// nextEpoch returns the epoch of a proposer in the first round after the one of the given epoch.
func nextEpoch(above, proposerID uint64) uint64 {
	return (above/epochsPerRound+1)*epochsPerRound + proposerID
}

// withProposerIDs assigns proposer ids by the order of the members, if none of them has one.
func withProposerIDs(members []message.Node) []message.Node {
	if slices.ContainsFunc(members, func(m message.Node) bool { return m.ProposerID != 0 }) {
		return members
	}
	members = slices.Clone(members)
	for i := range members {
		members[i].ProposerID = uint64(i) + 1
	}
	return members
}
