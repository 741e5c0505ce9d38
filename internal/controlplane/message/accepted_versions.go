package message

import (
	"encoding/binary"
	"errors"
	"slices"
)

// ConfigVersion is a configuration and its version.
type ConfigVersion struct {
	Version uint64 // 0: none
	Config  []byte
}

// AcceptedVersion is a version of the configuration that was accepted, and what it stands for.
type AcceptedVersion struct {
	Version uint64 `pb:"1"`
	Digest  Digest `pb:"2"` // of the configuration
}

// The accepted versions are a text of their own, on disk and on the wire: entries of one length, in chunks of
// a fixed number. Only the last chunk grows, and whole chunks are dropped in front, so that all between stay
// as they are, and what is written or sent follows from what is new.

const (
	// AcceptedVersionsPerChunk is how many entries a chunk has. Of 512, larger chunks make the last one dearer
	// to write, and smaller ones the index.
	AcceptedVersionsPerChunk = 32

	acceptedVersionSize = 8 + digestSize // bytes
)

// errAcceptedVersions tells of a text that EncodeAcceptedVersions has not written.
var errAcceptedVersions = errors.New("message: not a list of accepted versions")

// EncodeAcceptedVersions writes entries as a text.
func EncodeAcceptedVersions(list []AcceptedVersion) []byte {
	b := make([]byte, 0, len(list)*acceptedVersionSize)
	for _, accepted := range list {
		b = append(binary.BigEndian.AppendUint64(b, accepted.Version), accepted.Digest[:]...)
	}
	return b
}

// DecodeAcceptedVersions reads what EncodeAcceptedVersions wrote.
func DecodeAcceptedVersions(text []byte) (list []AcceptedVersion, err error) {
	if len(text)%acceptedVersionSize != 0 {
		return nil, errAcceptedVersions
	}
	for entry := range slices.Chunk(text, acceptedVersionSize) {
		list = append(list, AcceptedVersion{binary.BigEndian.Uint64(entry), Digest(entry[8:])})
	}
	return list, nil
}

// AcceptedVersionChunks cuts a text of entries into its chunks and calls do with each, in order.
func AcceptedVersionChunks(text []byte, do func(chunk []byte)) {
	for chunk := range slices.Chunk(text, AcceptedVersionsPerChunk*acceptedVersionSize) {
		do(chunk)
	}
}
