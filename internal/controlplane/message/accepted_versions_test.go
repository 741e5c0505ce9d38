package message

import (
	"errors"
	"slices"
	"testing"
)

// window are the numbers that are remembered when one was taken last.
func window(last int) (list []AcceptedVersion) {
	for n := max(0, last-512) / AcceptedVersionsPerChunk * AcceptedVersionsPerChunk; n < last; n++ {
		list = append(list, AcceptedVersion{uint64(n + 1), DigestOf([]byte{byte(n), byte(n >> 8)})})
	}
	return list
}

// Given numbers, when a machine lacks the last of them, then what it is sent follows from those, whichever
// older ones have been dropped since; over other numbers than those of its outline no others come out.
func TestAcceptedVersionsCostWhatIsNew(t *testing.T) {
	for _, last := range []int{40, 700, 731} {
		for _, behind := range []int{0, 1, 31, 33, 200} {
			if behind > last {
				continue
			}
			old, list := window(last-behind), window(last)
			outline := ChunkIndex(EncodeAcceptedVersions(old), AcceptedVersionChunks)
			packed := NewDeltaOver(EncodeAcceptedVersions(list), 7, outline, AcceptedVersionChunks)
			text, err := packed.Apply(7, EncodeAcceptedVersions(old))
			if got, _ := DecodeAcceptedVersions(text); err != nil || !slices.Equal(got, list) {
				t.Errorf("%d behind %d: not as sent: %v", behind, last, err)
			}
			n := len(MarshalAppend(nil, packed))
			if n > 50+acceptedVersionSize*(behind+AcceptedVersionsPerChunk) || behind == 0 && n > 40 {
				t.Errorf("%d behind %d: %d bytes", behind, last, n)
			}
			t.Logf("%d behind %d: outline %d, %d bytes of %d", behind, last, len(outline), n, len(text))
			if packed.BaseVersion == 0 {
				t.Errorf("%d behind %d: sent whole", behind, last)
			}
			old[len(old)/2].Digest[0]++ // of a chunk that is not sent, where numbers were dropped
			text, err = packed.Apply(7, EncodeAcceptedVersions(old))
			if got, _ := DecodeAcceptedVersions(text); !errors.Is(err, ErrDigestMismatch) &&
				(last > 512 || !slices.Equal(got, list)) {
				t.Errorf("%d behind %d: over other numbers: %v", behind, last, err)
			}
		}
	}
}

// Given what is no list of numbers, or a digest of another length, when it is read, then that is told.
func TestMalformedAcceptedVersionsAreRejected(t *testing.T) {
	if _, err := DecodeAcceptedVersions(make([]byte, 3*acceptedVersionSize-1)); err == nil {
		t.Error("an entry that is cut off is taken")
	}
	for size, taken := range map[int]bool{digestSize - 1: false, digestSize: true, digestSize + 1: false} {
		b := MarshalAppend(nil, &struct {
			Digest []byte `pb:"2"`
		}{make([]byte, size)})
		if err := Unmarshal(b, new(AcceptedVersion)); (err == nil) != taken {
			t.Errorf("a digest of %d bytes: %v", size, err)
		}
	}
}
