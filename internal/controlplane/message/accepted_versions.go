package message

import (
	"encoding/binary"
	"errors"
	"slices"
)

// The numbers taken last are a text of their own, on disk and on the wire: entries of one length, in chunks
// of so many. Only the last chunk of them grows, and whole chunks are dropped in front, so that all between
// stay as they are, and what is written or sent follows from what is new.

const (
	acceptedVersionSize = 8 + digestSize
	// AcceptedVersionsPerChunk is how many numbers a chunk has. Of 512, larger ones make the last one dearer to
	// write, and smaller ones the outline.
	AcceptedVersionsPerChunk = 32
)

// errAcceptedVersions tells of a text that EncodeTaken has not written.
var errAcceptedVersions = errors.New("signal: not a list of numbers")

// EncodeAcceptedVersions writes numbers.
func EncodeAcceptedVersions(list []AcceptedVersion) []byte {
	b := make([]byte, 0, len(list)*acceptedVersionSize)
	for _, t := range list {
		b = append(binary.BigEndian.AppendUint64(b, t.Version), t.Digest[:]...)
	}
	return b
}

// DecodeAcceptedVersions reads what EncodeTaken wrote.
func DecodeAcceptedVersions(text []byte) (list []AcceptedVersion, err error) {
	if len(text)%acceptedVersionSize != 0 {
		return nil, errAcceptedVersions
	}
	for entry := range slices.Chunk(text, acceptedVersionSize) {
		list = append(list, AcceptedVersion{binary.BigEndian.Uint64(entry), Digest(entry[8:])})
	}
	return list, nil
}

// AcceptedVersionChunks cuts a text of numbers into its chunks and calls f with each, in order.
func AcceptedVersionChunks(text []byte, f func(part []byte)) {
	for part := range slices.Chunk(text, AcceptedVersionsPerChunk*acceptedVersionSize) {
		f(part)
	}
}
