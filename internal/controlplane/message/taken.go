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
	takenSize = 8 + sumSize
	// TakenChunk is how many numbers a chunk has. Of 512, larger ones make the last one dearer to write, and
	// smaller ones the outline.
	TakenChunk = 32
)

// errTaken tells of a text that EncodeTaken has not written.
var errTaken = errors.New("signal: not a list of numbers")

// EncodeTaken writes numbers.
func EncodeTaken(list []Taken) []byte {
	b := make([]byte, 0, len(list)*takenSize)
	for _, t := range list {
		b = append(binary.BigEndian.AppendUint64(b, t.Version), t.Digest[:]...)
	}
	return b
}

// DecodeTaken reads what EncodeTaken wrote.
func DecodeTaken(text []byte) (list []Taken, err error) {
	if len(text)%takenSize != 0 {
		return nil, errTaken
	}
	for entry := range slices.Chunk(text, takenSize) {
		list = append(list, Taken{binary.BigEndian.Uint64(entry), Sum(entry[8:])})
	}
	return list, nil
}

// TakenChunks cuts a text of numbers into its chunks and calls f with each, in order.
func TakenChunks(text []byte, f func(part []byte)) {
	for part := range slices.Chunk(text, TakenChunk*takenSize) {
		f(part)
	}
}
