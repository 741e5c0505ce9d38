package replica

import (
	"cmp"
	"slices"

	"dunespoke/internal/controlplane/message"
)

// minAcceptedVersions is how many numbers are remembered at the least, with the digest of what stands under
// each: an order that is sent again is told apart from another one under its number. Of older ones nothing is
// known any more, and they are acknowledged as all that is not above the number held.
const minAcceptedVersions = 512

// Value is what the core keeps for its operators: one configuration, and what is known of earlier ones.
type Value struct {
	AcceptedEpoch uint64 // epoch under which it was accepted: what is newest is told by it before the number
	Version       uint64
	Config        []byte
	// the numbers taken last, the configuration's own among them, in rising order
	AcceptedVersions []message.AcceptedVersion
}

// acceptedAfter reports whether a content was accepted after another, by epoch and then by number: a number
// alone says nothing, since two machines may have taken unlike texts under it, of which one was left behind.
func (c *Value) acceptedAfter(stamp, version uint64) bool {
	return cmp.Or(cmp.Compare(c.AcceptedEpoch, stamp), cmp.Compare(c.Version, version)) > 0
}

// digestOf is that of the text under a number, if one is remembered.
func (c *Value) digestOf(version uint64) (sum message.Digest, known bool) {
	i, known := slices.BinarySearchFunc(c.AcceptedVersions, version, compareVersion)
	if known {
		sum = c.AcceptedVersions[i].Digest
	}
	return sum, known
}

// acceptedAbove returns the numbers above one.
func (c *Value) acceptedAbove(version uint64) []message.AcceptedVersion {
	i, _ := slices.BinarySearchFunc(c.AcceptedVersions, version+1, compareVersion)
	return c.AcceptedVersions[i:]
}

func compareVersion(t message.AcceptedVersion, version uint64) int {
	return cmp.Compare(t.Version, version)
}

// matches reports whether a content has the text that an entry tells.
func (c *Value) matches(t message.AcceptedVersion) bool {
	sum, known := c.digestOf(c.Version)
	return known && t == message.AcceptedVersion{Version: c.Version, Digest: sum}
}

// latestAccepted is the entry of the configuration itself; none before the first.
func (c *Value) latestAccepted() []message.AcceptedVersion {
	if len(c.AcceptedVersions) == 0 {
		return nil
	}
	return c.AcceptedVersions[len(c.AcceptedVersions)-1:]
}

// withOwnDigest returns a content as it was found on a disk. An earlier program kept nothing but the text.
func (c Value) withOwnDigest() Value {
	if _, known := c.digestOf(c.Version); c.Version > 0 && !known {
		c.AcceptedVersions = AppendAccepted(
			c.AcceptedVersions,
			message.AcceptedVersion{Version: c.Version, Digest: message.DigestOf(c.Config)},
		)
	}
	return c
}

// encodedAcceptedVersions are the numbers taken, as a text.
func (c *Value) encodedAcceptedVersions() []byte {
	return message.EncodeAcceptedVersions(c.AcceptedVersions)
}

// AppendAccepted returns the numbers with more of them. What is remembered of a number stays. Of the oldest,
// whole chunks are dropped, so that the others stay where they are.
func AppendAccepted(
	past []message.AcceptedVersion,
	more ...message.AcceptedVersion,
) []message.AcceptedVersion {
	past = slices.Clone(past) // others hold the old one
	for _, t := range more {
		if i, found := slices.BinarySearchFunc(past, t.Version, compareVersion); !found {
			past = slices.Insert(past, i, t)
		}
	}
	const perChunk = message.AcceptedVersionsPerChunk
	return past[max(0, len(past)-minAcceptedVersions)/perChunk*perChunk:]
}
