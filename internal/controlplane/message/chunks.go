package message

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
)

// A long configuration is cut into content-defined chunks, whose ends follow from the items in them alone: a
// change of an item changes its chunk, and leaves all others as they are, wherever they move. The disk keeps
// chunks by their digests, so that a change writes only what is new; and a replica that is behind tells the
// digests of what it has, whatever that is, and is sent the chunks that differ.

// Sizes of chunks.
const (
	itemsPerChunk = 32       // on average; a power of two
	maxChunkSize  = 32 << 10 // bytes: a chunk this long ends with the item, and a longer item is cut
)

// digestSize is the length of a Digest in bytes.
const digestSize = 16

// Digest names a text, or a part of one: the first 128 bits of its SHA-256.
type Digest [digestSize]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(sum[:digestSize])
}

// Chunker cuts a text into chunks and calls do with each, in order: ConfigChunks or AcceptedVersionChunks.
type Chunker func(text []byte, do func(chunk []byte))

var (
	_ Chunker = ConfigChunks
	_ Chunker = AcceptedVersionChunks
)

// ConfigChunks cuts a configuration into its chunks and calls do with each, in order.
func ConfigChunks(text []byte, do func(chunk []byte)) {
	begin := 0
	endAt := func(offset int) {
		do(text[begin:offset])
		begin = offset
	}
	forEachItem(text, func(offset int, item []byte) {
		end := offset + len(item)
		for end-begin > 2*maxChunkSize {
			endAt(begin + maxChunkSize)
		}
		if end-begin >= maxChunkSize || crc32.ChecksumIEEE(item)%itemsPerChunk == 0 {
			endAt(end)
		}
	})
	if begin < len(text) {
		endAt(len(text))
	}
}

// ChunkIndex returns the digests and lengths of a text's chunks: some twenty bytes for a chunk of eight
// thousand. It is what a replica tells of the text that it has.
func ChunkIndex(text []byte, chunker Chunker) []byte {
	var index []byte
	chunker(text, func(chunk []byte) {
		digest := DigestOf(chunk)
		index = binary.AppendUvarint(append(index, digest[:]...), uint64(len(chunk)))
	})
	return index
}

// chunkOffsets reads a ChunkIndex: the offsets of the chunks by their digests. It returns nil for an index
// that can't be read.
func chunkOffsets(index []byte) map[Digest]uint64 {
	offsets := map[Digest]uint64{}
	offset := uint64(0)
	for len(index) > digestSize {
		size, n := binary.Uvarint(index[digestSize:])
		if n <= 0 {
			return nil
		}
		offsets[Digest(index[:digestSize])] = offset
		offset += size
		index = index[digestSize+n:]
	}
	if len(index) > 0 {
		return nil
	}
	return offsets
}

// NewDeltaOver returns a text as a delta over what the receiver has, of which only the version, which may be
// of any age, and the index of chunks are known. Without an index, or with one that can't be read, the text
// goes in full.
func NewDeltaOver(text []byte, baseVersion uint64, index []byte, chunker Chunker) *Delta {
	offsets := chunkOffsets(index)
	if baseVersion == 0 || len(offsets) == 0 {
		return NewDelta(text, 0, nil)
	}
	p := &patch{}
	chunker(text, func(chunk []byte) {
		offset, found := offsets[DigestOf(chunk)]
		p.add(offset, found, chunk)
	})
	return newPatchDelta(text, baseVersion, p)
}
