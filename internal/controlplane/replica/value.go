package replica

import (
	"cmp"
	"slices"

	"dunespoke/internal/controlplane/message"
)

// minAcceptedVersions is the minimum number of accepted versions that are remembered, each with the digest of
// its content. The digest distinguishes a repeated proposal from a different one with the same version.
// Proposals of older, forgotten versions are acknowledged like all that are not above the current version.
const minAcceptedVersions = 512

// Value is the replicated value: one configuration, and the digests of earlier ones.
type Value struct {
	// AcceptedEpoch is the epoch in which the value was accepted. It takes precedence over the version when
	// values are compared.
	AcceptedEpoch uint64
	Version       uint64
	Config        []byte
	// AcceptedVersions are the last accepted versions, including the configuration's own, in ascending order.
	AcceptedVersions []message.AcceptedVersion
}

// newerThan reports whether a value was accepted later than another one, by epoch and then by version. A
// version alone is not sufficient: two replicas may have accepted different contents under it, of which one
// was abandoned.
func (v *Value) newerThan(acceptedEpoch, version uint64) bool {
	return cmp.Or(cmp.Compare(v.AcceptedEpoch, acceptedEpoch), cmp.Compare(v.Version, version)) > 0
}

// configVersion returns the configuration with its version.
func (v *Value) configVersion() message.ConfigVersion {
	return message.ConfigVersion{Version: v.Version, Config: v.Config}
}

// digestOf returns the digest of the content of a version, if it is remembered.
func (v *Value) digestOf(version uint64) (digest message.Digest, known bool) {
	i, known := slices.BinarySearchFunc(v.AcceptedVersions, version, compareVersion)
	if known {
		digest = v.AcceptedVersions[i].Digest
	}
	return digest, known
}

// acceptedAbove returns the accepted versions above the given one.
func (v *Value) acceptedAbove(version uint64) []message.AcceptedVersion {
	i, _ := slices.BinarySearchFunc(v.AcceptedVersions, version+1, compareVersion)
	return v.AcceptedVersions[i:]
}

func compareVersion(a message.AcceptedVersion, version uint64) int {
	return cmp.Compare(a.Version, version)
}

// matches reports whether the value has the version and content that an accepted version describes.
func (v *Value) matches(accepted message.AcceptedVersion) bool {
	digest, known := v.digestOf(v.Version)
	return known && accepted == message.AcceptedVersion{Version: v.Version, Digest: digest}
}

// matchesLast reports whether the value has the version and content of the last of the accepted versions.
func (v *Value) matchesLast(accepted []message.AcceptedVersion) bool {
	return len(accepted) > 0 && v.matches(accepted[len(accepted)-1])
}

// latestAccepted returns the accepted version of the configuration itself; nil before the first
// configuration.
func (v *Value) latestAccepted() []message.AcceptedVersion {
	if len(v.AcceptedVersions) == 0 {
		return nil
	}
	return v.AcceptedVersions[len(v.AcceptedVersions)-1:]
}

// withOwnDigest returns a value that was found on a disk, with the digest of its configuration added if it is
// missing. Earlier versions of the program stored only the configuration.
func (v Value) withOwnDigest() Value {
	if _, known := v.digestOf(v.Version); v.Version > 0 && !known {
		own := message.AcceptedVersion{Version: v.Version, Digest: message.DigestOf(v.Config)}
		v.AcceptedVersions = AppendAccepted(v.AcceptedVersions, own)
	}
	return v
}

// encodedAcceptedVersions returns the accepted versions in encoded form.
func (v *Value) encodedAcceptedVersions() []byte {
	return message.EncodeAcceptedVersions(v.AcceptedVersions)
}

// fullAcceptedDelta returns a delta with all accepted versions.
func (v *Value) fullAcceptedDelta() *message.Delta {
	return message.NewDelta(v.encodedAcceptedVersions(), 0, nil)
}

// acceptedDeltaOver returns a delta of the accepted versions to those whose chunk index a replica has sent.
func (v *Value) acceptedDeltaOver(version uint64, index []byte) *message.Delta {
	return message.NewDeltaOver(v.encodedAcceptedVersions(), version, index, message.AcceptedVersionChunks)
}

// configDeltaOver returns a delta of the configuration to the one whose chunk index a replica has sent.
func (v *Value) configDeltaOver(version uint64, index []byte) *message.Delta {
	return message.NewDeltaOver(v.Config, version, index, message.ConfigChunks)
}

// configIndex returns the chunk index of the configuration.
func (v *Value) configIndex() []byte { return message.ChunkIndex(v.Config, message.ConfigChunks) }

// acceptedIndex returns the chunk index of the accepted versions.
func (v *Value) acceptedIndex() []byte {
	return message.ChunkIndex(v.encodedAcceptedVersions(), message.AcceptedVersionChunks)
}

// transferredValue is a received value, in a form that omits what the receiver already has.
type transferredValue struct {
	acceptedEpoch uint64
	version       uint64
	latest        []message.AcceptedVersion // the accepted version of the value itself
	accepted      *message.Delta
	config        *message.Delta // nil if the receiver has the configuration
}

// receive reconstructs a received value and checks its digest. It reuses the configuration of v if that is
// the same one. The error is not nil if a part is missing, a delta does not apply or the digest differs.
func (v *Value) receive(t transferredValue) (received Value, err error) {
	received.AcceptedEpoch, received.Version = t.acceptedEpoch, t.version
	if t.version == 0 {
		return received, nil
	}
	if len(t.latest) != 1 || t.accepted == nil {
		return received, message.ErrUnknownBase
	}
	versions, err := t.accepted.Apply(v.Version, v.encodedAcceptedVersions())
	if err != nil {
		return received, err
	}
	if received.AcceptedVersions, err = message.DecodeAcceptedVersions(versions); err != nil {
		return received, err
	}
	if !received.matches(t.latest[0]) {
		return received, message.ErrDigestMismatch
	}
	if v.matches(t.latest[0]) {
		received.Config = v.Config
		return received, nil
	}
	if t.config == nil {
		return received, message.ErrUnknownBase
	}
	if received.Config, err = t.config.Apply(v.Version, v.Config); err != nil {
		return received, err
	}
	if message.DigestOf(received.Config) != t.latest[0].Digest {
		return received, message.ErrDigestMismatch
	}
	return received, nil
}

// AppendAccepted returns the existing accepted versions with the added ones. The digest of an existing
// version is kept. If there are too many, the oldest ones are dropped in complete chunks, so that the
// positions of the others in their chunks don't change.
func AppendAccepted(existing []message.AcceptedVersion,
	added ...message.AcceptedVersion) []message.AcceptedVersion {
	existing = slices.Clone(existing) // the old slice is still in use elsewhere
	for _, accepted := range added {
		if i, found := slices.BinarySearchFunc(existing, accepted.Version, compareVersion); !found {
			existing = slices.Insert(existing, i, accepted)
		}
	}
	const perChunk = message.AcceptedVersionsPerChunk
	return existing[max(0, len(existing)-minAcceptedVersions)/perChunk*perChunk:]
}
