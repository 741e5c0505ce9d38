package message

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
)

// A long configuration is split into content-defined chunks, whose boundaries depend only on the items in
// them: changing an item changes its chunk and leaves all others unchanged, even if they move. The disk
// stores chunks by digest, so a change writes only new chunks. A replica that is behind sends the digests
// of the chunks that it has, from whichever version, and receives the chunks that differ.

// Sizes of chunks.
const (
	itemsPerChunk = 32       // average; must be a power of two
	maxChunkSize  = 32 << 10 // bytes; a chunk ends with the item that reaches this, and longer items are split
)

// digestSize is the length of a Digest in bytes.
const digestSize = 16

// Digest identifies a text, or a part of one, by the first 128 bits of its SHA-256 hash.
type Digest [digestSize]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(sum[:digestSize])
}

// Chunker splits a text into chunks and calls visit with each, in order. The implementations are
// ConfigChunks and AcceptedVersionChunks.
type Chunker func(text []byte, visit func(chunk []byte))

var (
	_ Chunker = ConfigChunks
	_ Chunker = AcceptedVersionChunks
)

// ConfigChunks splits a configuration into chunks and calls visit with each, in order.
func ConfigChunks(text []byte, visit func(chunk []byte)) {
	start := 0
	emitUntil := func(offset int) {
		visit(text[start:offset])
		start = offset
	}
	forEachItem(text, func(offset int, item []byte) {
		end := offset + len(item)
		for end-start > 2*maxChunkSize {
			emitUntil(start + maxChunkSize)
		}
		if end-start >= maxChunkSize || crc32.ChecksumIEEE(item)%itemsPerChunk == 0 {
			emitUntil(end)
		}
	})
	if start < len(text) {
		emitUntil(len(text))
	}
}

// ChunkIndex returns the digests and lengths of a text's chunks: about 20 bytes for a chunk of 8,000 bytes.
// A replica sends it to describe the text that it has.
func ChunkIndex(text []byte, chunker Chunker) []byte {
	var index []byte
	chunker(text, func(chunk []byte) {
		digest := DigestOf(chunk)
		index = binary.AppendUvarint(append(index, digest[:]...), uint64(len(chunk)))
	})
	return index
}

// chunkOffsets decodes the output of ChunkIndex and returns the offsets of the chunks by digest. It returns
// nil for a malformed index.
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

// NewDeltaOver returns a text as a delta over the receiver's text, of which only the version and the chunk
// index are known. The version may be of any age. Without an index, or with a malformed one, the delta
// contains the full text.
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
