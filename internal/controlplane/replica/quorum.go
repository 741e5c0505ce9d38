package replica

import (
	"slices"
	"strings"

	"dunespoke/internal/controlplane/message"
)

// majority is how many of an electorate agree for all.
func majority[T any](electorate []T) int { return len(electorate)/2 + 1 }

// hasQuorum reports whether those that a condition holds for are a majority of each of some electorates:
// memberships, or the seeds of a first start.
func hasQuorum[T any](holds func(voter T) bool, electorates ...[]T) bool {
	for _, electorate := range electorates {
		votes := 0
		for _, voter := range electorate {
			if holds(voter) {
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

// membersAt returns the members at some addresses.
func membersAt(members []message.Node, addrs []string) []message.Node {
	return slices.DeleteFunc(slices.Clone(members), func(m message.Node) bool {
		return !slices.Contains(addrs, m.Addr)
	})
}

// withoutAddress returns the members but the one at an address.
func withoutAddress(members []message.Node, addr string) []message.Node {
	return slices.DeleteFunc(slices.Clone(members), func(m message.Node) bool { return m.Addr == addr })
}

// compareAddress is the agreed order of members.
func compareAddress(a, b message.Node) int { return strings.Compare(a.Addr, b.Addr) }

// epochsPerRound leaves each member epochs of its own, so that no two propose under the same.
const epochsPerRound = 64

// maxProposerID is the most that a member's ProposerID can be.
const maxProposerID = epochsPerRound - 1

// nextEpoch returns the first epoch of a proposer that is above all rounds up to the given epoch.
func nextEpoch(above, proposerID uint64) uint64 {
	return (above/epochsPerRound+1)*epochsPerRound + proposerID
}

// withProposerIDs gives members without proposer ids some, by their order.
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
