package replica

import (
	"cmp"
	"slices"

	"dunespoke/internal/controlplane/message"
)

// leastPast is how many numbers are remembered at the least, with the digest of what stands under each: an
// order that is sent again is told apart from another one under its number. Of older ones nothing is known
// any more, and they are acknowledged as all that is not above the number held.
const leastPast = 512

// Content is what the core keeps for its operators: one configuration, and what is known of earlier ones.
type Content struct {
	Stamp   uint64 // epoch under which it was accepted: what is newest is told by it before the number
	Version uint64
	Config  []byte
	Past    []message.Taken // the numbers taken last, the configuration's own among them, in rising order
}

// newer reports whether a content was accepted after another, by epoch and then by number: a number alone
// says nothing, since two machines may have taken unlike texts under it, of which one was left behind.
func (c *Content) newer(stamp, version uint64) bool {
	return cmp.Or(cmp.Compare(c.Stamp, stamp), cmp.Compare(c.Version, version)) > 0
}

// digest is that of the text under a number, if one is remembered.
func (c *Content) digest(version uint64) (sum message.Sum, known bool) {
	i, known := slices.BinarySearchFunc(c.Past, version, byVersion)
	if known {
		sum = c.Past[i].Digest
	}
	return sum, known
}

// above returns the numbers above one.
func (c *Content) above(version uint64) []message.Taken {
	i, _ := slices.BinarySearchFunc(c.Past, version+1, byVersion)
	return c.Past[i:]
}

func byVersion(t message.Taken, version uint64) int { return cmp.Compare(t.Version, version) }

// same reports whether a content has the text that an entry tells.
func (c *Content) same(t message.Taken) bool {
	sum, known := c.digest(c.Version)
	return known && t == message.Taken{Version: c.Version, Digest: sum}
}

// last is the entry of the configuration itself; none before the first.
func (c *Content) last() []message.Taken {
	if len(c.Past) == 0 {
		return nil
	}
	return c.Past[len(c.Past)-1:]
}

// known returns a content as it was found on a disk. An earlier program kept nothing but the text.
func (c Content) known() Content {
	if _, known := c.digest(c.Version); c.Version > 0 && !known {
		c.Past = Remember(c.Past, message.Taken{Version: c.Version, Digest: message.SumOf(c.Config)})
	}
	return c
}

// numbers are the numbers taken, as a text.
func (c *Content) numbers() []byte { return message.EncodeTaken(c.Past) }

// Remember returns the numbers with more of them. What is remembered of a number stays. Of the oldest, whole
// chunks are dropped, so that the others stay where they are.
func Remember(past []message.Taken, more ...message.Taken) []message.Taken {
	past = slices.Clone(past) // others hold the old one
	for _, t := range more {
		if i, found := slices.BinarySearchFunc(past, t.Version, byVersion); !found {
			past = slices.Insert(past, i, t)
		}
	}
	return past[max(0, len(past)-leastPast)/message.TakenChunk*message.TakenChunk:]
}
