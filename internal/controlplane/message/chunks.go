package message

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
)

// A long configuration is cut into ranges, whose ends follow from the items in them alone: a change of an
// item changes its range, and leaves all others as they are, wherever they move. The disk keeps ranges by
// their digests, so that a change writes only what is new; and a machine that is behind tells the digests of
// what it has, whatever that is, and is sent the ranges that differ.

// Sizes of ranges, in items and bytes.
const (
	itemsPerChunk = 32       // on average; a power of two
	maxChunkSize  = 32 << 10 // a range this long ends with the item, and a longer item is cut
)

// digestSize is the length of a digest.
const digestSize = 16

// Digest is the digest of a text, or of a part of one: the first 128 bits of its SHA-256.
type Digest [digestSize]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(sum[:digestSize])
}

// Chunker cuts a text into parts and calls f with each, in order: Ranges or TakenChunks.
type Chunker func(text []byte, f func(part []byte))

// ConfigChunks cuts a text into its ranges and calls f with each, in order.
func ConfigChunks(text []byte, f func(part []byte)) {
	begin := 0
	end := func(at int) {
		f(text[begin:at])
		begin = at
	}
	forEachItem(text, func(at int, item []byte) {
		after := at + len(item)
		for after-begin > 2*maxChunkSize {
			end(begin + maxChunkSize)
		}
		if after-begin >= maxChunkSize || crc32.ChecksumIEEE(item)%itemsPerChunk == 0 {
			end(after)
		}
	})
	if begin < len(text) {
		end(len(text))
	}
}

// ChunkIndex returns the digests and lengths of a text's parts: some twenty bytes for a range of eight
// thousand. It is what a machine tells of the text that it has.
func ChunkIndex(text []byte, cut Chunker) []byte {
	var b []byte
	cut(text, func(part []byte) {
		sum := DigestOf(part)
		b = binary.AppendUvarint(append(b, sum[:]...), uint64(len(part)))
	})
	return b
}

// NewDeltaOver packs a text as a change of what the receiver has, of which only the outline is known, and the
// version, which may be of any age. Without an outline, or with one that can't be read, the text goes whole.
func NewDeltaOver(text []byte, base uint64, outline []byte, cut Chunker) *Delta {
	places := map[Digest]uint64{}
	at := uint64(0)
	for len(outline) > digestSize {
		size, n := binary.Uvarint(outline[digestSize:])
		if n <= 0 {
			return NewDelta(text, 0, nil)
		}
		places[Digest(outline[:digestSize])] = at
		at += size
		outline = outline[digestSize+n:]
	}
	if base == 0 || len(places) == 0 || len(outline) > 0 {
		return NewDelta(text, 0, nil)
	}
	c := &patch{}
	cut(text, func(part []byte) {
		from, same := places[DigestOf(part)]
		c.add(from, same, part)
	})
	return compressed(&Delta{BaseVersion: base, Checksum: Checksum(text), Raw: MarshalAppend(nil, c)})
}

// add puts a part behind the others: a piece of the old text if it is the same as one there.
func (c *patch) add(from uint64, same bool, part []byte) {
	n := len(c.Segments)
	switch {
	case same && n > 0 && c.Segments[n-1].Length > 0 && c.Segments[n-1].Offset+c.Segments[n-1].Length == from:
		c.Segments[n-1].Length += uint64(len(part))
	case same:
		c.Segments = append(c.Segments, segment{Offset: from, Length: uint64(len(part))})
	case n > 0 && c.Segments[n-1].Length == 0:
		c.Segments[n-1].Literal = append(c.Segments[n-1].Literal, part...)
	default:
		c.Segments = append(c.Segments, segment{Literal: bytes.Clone(part)})
	}
}
