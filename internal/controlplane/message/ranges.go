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
	rangeItems = 32       // on average; a power of two
	rangeMost  = 32 << 10 // a range this long ends with the item, and a longer item is cut
)

// sumSize is the length of a digest.
const sumSize = 16

// Sum is the digest of a text, or of a part of one: the first 128 bits of its SHA-256.
type Sum [sumSize]byte

// SumOf returns the digest of a text.
func SumOf(text []byte) Sum {
	sum := sha256.Sum256(text)
	return Sum(sum[:sumSize])
}

// Cut cuts a text into parts and calls f with each, in order: Ranges or TakenChunks.
type Cut func(text []byte, f func(part []byte))

// Ranges cuts a text into its ranges and calls f with each, in order.
func Ranges(text []byte, f func(part []byte)) {
	begin := 0
	end := func(at int) {
		f(text[begin:at])
		begin = at
	}
	cut(text, func(at int, item []byte) {
		after := at + len(item)
		for after-begin > 2*rangeMost {
			end(begin + rangeMost)
		}
		if after-begin >= rangeMost || crc32.ChecksumIEEE(item)%rangeItems == 0 {
			end(after)
		}
	})
	if begin < len(text) {
		end(len(text))
	}
}

// Outline returns the digests and lengths of a text's parts: some twenty bytes for a range of eight thousand.
// It is what a machine tells of the text that it has.
func Outline(text []byte, cut Cut) []byte {
	var b []byte
	cut(text, func(part []byte) {
		sum := SumOf(part)
		b = binary.AppendUvarint(append(b, sum[:]...), uint64(len(part)))
	})
	return b
}

// PackOver packs a text as a change of what the receiver has, of which only the outline is known, and the
// version, which may be of any age. Without an outline, or with one that can't be read, the text goes whole.
func PackOver(text []byte, base uint64, outline []byte, cut Cut) *Packed {
	places := map[Sum]uint64{}
	at := uint64(0)
	for len(outline) > sumSize {
		size, n := binary.Uvarint(outline[sumSize:])
		if n <= 0 {
			return Pack(text, 0, nil)
		}
		places[Sum(outline[:sumSize])] = at
		at += size
		outline = outline[sumSize+n:]
	}
	if base == 0 || len(places) == 0 || len(outline) > 0 {
		return Pack(text, 0, nil)
	}
	c := &change{}
	cut(text, func(part []byte) {
		from, same := places[SumOf(part)]
		c.add(from, same, part)
	})
	return squeezed(&Packed{Base: base, Digest: Digest(text), Raw: Encode(nil, c)})
}

// add puts a part behind the others: a piece of the old text if it is the same as one there.
func (c *change) add(from uint64, same bool, part []byte) {
	n := len(c.Pieces)
	switch {
	case same && n > 0 && c.Pieces[n-1].Size > 0 && c.Pieces[n-1].From+c.Pieces[n-1].Size == from:
		c.Pieces[n-1].Size += uint64(len(part))
	case same:
		c.Pieces = append(c.Pieces, piece{From: from, Size: uint64(len(part))})
	case n > 0 && c.Pieces[n-1].Size == 0:
		c.Pieces[n-1].New = append(c.Pieces[n-1].New, part...)
	default:
		c.Pieces = append(c.Pieces, piece{New: bytes.Clone(part)})
	}
}
