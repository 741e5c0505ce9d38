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

// AcceptedVersion identifies a configuration version that was accepted, by its number and its content.
type AcceptedVersion struct {
	Version uint64 `pb:"1"`
	Digest  Digest `pb:"2"` // of the configuration
}

// The accepted versions are encoded separately from the configuration, on disk and on the wire, as
// fixed-size entries in chunks of a fixed number of entries. Entries are appended to the last chunk only,
// and the oldest chunks are dropped as a unit. All chunks in between stay unchanged, so the cost of writing
// or sending the list depends on the number of new entries only.

const (
	// AcceptedVersionsPerChunk is the number of entries in a chunk. With 512 entries, larger chunks make the
	// last chunk more expensive to write, and smaller chunks make the index more expensive.
	AcceptedVersionsPerChunk = 32

	acceptedVersionSize = 8 + digestSize // bytes
)

// errAcceptedVersions is returned for input that EncodeAcceptedVersions cannot have written.
var errAcceptedVersions = errors.New("message: malformed list of accepted versions")

// EncodeAcceptedVersions returns the encoding of a list of entries.
func EncodeAcceptedVersions(list []AcceptedVersion) []byte {
	b := make([]byte, 0, len(list)*acceptedVersionSize)
	for _, accepted := range list {
		b = append(binary.BigEndian.AppendUint64(b, accepted.Version), accepted.Digest[:]...)
	}
	return b
}

// DecodeAcceptedVersions decodes the output of EncodeAcceptedVersions.
func DecodeAcceptedVersions(encoded []byte) (list []AcceptedVersion, err error) {
	if len(encoded)%acceptedVersionSize != 0 {
		return nil, errAcceptedVersions
	}
	for entry := range slices.Chunk(encoded, acceptedVersionSize) {
		list = append(list, AcceptedVersion{binary.BigEndian.Uint64(entry), Digest(entry[8:])})
	}
	return list, nil
}

// AcceptedVersionChunks splits an encoded list of entries into chunks and calls visit with each, in order.
func AcceptedVersionChunks(encoded []byte, visit func(chunk []byte)) {
	for chunk := range slices.Chunk(encoded, AcceptedVersionsPerChunk*acceptedVersionSize) {
		visit(chunk)
	}
}
