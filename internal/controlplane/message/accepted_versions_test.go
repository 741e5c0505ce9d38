package message

import (
	"errors"
	"slices"
	"testing"
)

// window returns the accepted versions that a replica keeps when the last one that it accepted is last.
func window(last int) (list []AcceptedVersion) {
	for n := max(0, last-512) / AcceptedVersionsPerChunk * AcceptedVersionsPerChunk; n < last; n++ {
		list = append(list, AcceptedVersion{uint64(n + 1), DigestOf([]byte{byte(n), byte(n >> 8)})})
	}
	return list
}

// A replica that lacks the last accepted versions is sent a delta whose size depends on the number of
// missing versions only, whichever older ones were dropped in the meantime. Applied to a list other than
// the one that the chunk index describes, the delta never yields a wrong list.
func TestAcceptedVersionsDeltaSizeDependsOnNewVersions(t *testing.T) {
	for _, last := range []int{40, 700, 731} {
		for _, behind := range []int{0, 1, 31, 33, 200} {
			if behind > last {
				continue
			}
			old, list := window(last-behind), window(last)
			index := ChunkIndex(EncodeAcceptedVersions(old), AcceptedVersionChunks)
			delta := NewDeltaOver(EncodeAcceptedVersions(list), 7, index, AcceptedVersionChunks)
			encoded, err := delta.Apply(7, EncodeAcceptedVersions(old))
			if got, _ := DecodeAcceptedVersions(encoded); err != nil || !slices.Equal(got, list) {
				t.Errorf("%d behind %d: decoded list differs from the one sent: %v", behind, last, err)
			}
			n := len(MarshalAppend(nil, delta))
			if n > 50+acceptedVersionSize*(behind+AcceptedVersionsPerChunk) || behind == 0 && n > 40 {
				t.Errorf("%d behind %d: %d bytes", behind, last, n)
			}
			t.Logf("%d behind %d: chunk index %d, %d bytes of %d", behind, last, len(index), n, len(encoded))
			if delta.BaseVersion == 0 {
				t.Errorf("%d behind %d: sent in full", behind, last)
			}
			old[len(old)/2].Digest[0]++ // in a chunk that is not sent, unless older versions were dropped
			encoded, err = delta.Apply(7, EncodeAcceptedVersions(old))
			if got, _ := DecodeAcceptedVersions(encoded); !errors.Is(err, ErrDigestMismatch) &&
				(last > 512 || !slices.Equal(got, list)) {
				t.Errorf("%d behind %d: applied to another list: %v", behind, last, err)
			}
		}
	}
}

// A truncated list of accepted versions, or a digest of the wrong length, is rejected with an error.
func TestMalformedAcceptedVersionsAreRejected(t *testing.T) {
	if _, err := DecodeAcceptedVersions(make([]byte, 3*acceptedVersionSize-1)); err == nil {
		t.Error("a truncated entry is accepted")
	}
	for size, accepted := range map[int]bool{digestSize - 1: false, digestSize: true, digestSize + 1: false} {
		b := MarshalAppend(nil, &struct {
			Digest []byte `pb:"2"`
		}{make([]byte, size)})
		if err := Unmarshal(b, new(AcceptedVersion)); (err == nil) != accepted {
			t.Errorf("a digest of %d bytes: %v", size, err)
		}
	}
}
