package replica

import (
	"cmp"
	"slices"

	"dunespoke/internal/controlplane/message"
)

// minAcceptedVersions is how many accepted versions are remembered at the least, with the digest of what
// stands under each: an order that is sent again is told apart from another one under its version. Of older
// ones nothing is known any more, and they are acknowledged as all that is not above the version held.
const minAcceptedVersions = 512

// Value is what the core keeps for its operators: one configuration, and what is known of earlier ones.
type Value struct {
	// AcceptedEpoch is the epoch under which it was accepted: what is newest is told by it before the version.
	AcceptedEpoch uint64
	Version       uint64
	Config        []byte
	// AcceptedVersions are the last ones, the configuration's own among them, in rising order.
	AcceptedVersions []message.AcceptedVersion
}

// newerThan reports whether a value was accepted after another, by epoch and then by version: a version alone
// says nothing, since two replicas may have accepted different contents under it, of which one was left
// behind.
func (v *Value) newerThan(acceptedEpoch, version uint64) bool {
	return cmp.Or(cmp.Compare(v.AcceptedEpoch, acceptedEpoch), cmp.Compare(v.Version, version)) > 0
}

// configVersion is the configuration with its version.
func (v *Value) configVersion() message.ConfigVersion {
	return message.ConfigVersion{Version: v.Version, Config: v.Config}
}

// digestOf returns the digest of the content of a version, if one is remembered.
func (v *Value) digestOf(version uint64) (digest message.Digest, known bool) {
	i, known := slices.BinarySearchFunc(v.AcceptedVersions, version, compareVersion)
	if known {
		digest = v.AcceptedVersions[i].Digest
	}
	return digest, known
}

// acceptedAbove returns the accepted versions above one.
func (v *Value) acceptedAbove(version uint64) []message.AcceptedVersion {
	i, _ := slices.BinarySearchFunc(v.AcceptedVersions, version+1, compareVersion)
	return v.AcceptedVersions[i:]
}

func compareVersion(a message.AcceptedVersion, version uint64) int {
	return cmp.Compare(a.Version, version)
}

// matches reports whether a value has the content that an entry tells.
func (v *Value) matches(accepted message.AcceptedVersion) bool {
	digest, known := v.digestOf(v.Version)
	return known && accepted == message.AcceptedVersion{Version: v.Version, Digest: digest}
}

// matchesLast reports whether a value has the content that the last of some entries tells.
func (v *Value) matchesLast(accepted []message.AcceptedVersion) bool {
	return len(accepted) > 0 && v.matches(accepted[len(accepted)-1])
}

// latestAccepted is the entry of the configuration itself; none before the first.
func (v *Value) latestAccepted() []message.AcceptedVersion {
	if len(v.AcceptedVersions) == 0 {
		return nil
	}
	return v.AcceptedVersions[len(v.AcceptedVersions)-1:]
}

// withOwnDigest returns a value as it was found on a disk. An earlier program kept nothing but the
// configuration.
func (v Value) withOwnDigest() Value {
	if _, known := v.digestOf(v.Version); v.Version > 0 && !known {
		own := message.AcceptedVersion{Version: v.Version, Digest: message.DigestOf(v.Config)}
		v.AcceptedVersions = AppendAccepted(v.AcceptedVersions, own)
	}
	return v
}

// encodedAcceptedVersions are the accepted versions as a text.
func (v *Value) encodedAcceptedVersions() []byte {
	return message.EncodeAcceptedVersions(v.AcceptedVersions)
}

// fullAcceptedDelta brings all accepted versions.
func (v *Value) fullAcceptedDelta() *message.Delta {
	return message.NewDelta(v.encodedAcceptedVersions(), 0, nil)
}

// acceptedDeltaOver brings the accepted versions over those of which a replica has told the index.
func (v *Value) acceptedDeltaOver(version uint64, index []byte) *message.Delta {
	return message.NewDeltaOver(v.encodedAcceptedVersions(), version, index, message.AcceptedVersionChunks)
}

// configDeltaOver brings the configuration over one of which a replica has told the index.
func (v *Value) configDeltaOver(version uint64, index []byte) *message.Delta {
	return message.NewDeltaOver(v.Config, version, index, message.ConfigChunks)
}

// configIndex tells of which chunks the configuration is.
func (v *Value) configIndex() []byte { return message.ChunkIndex(v.Config, message.ConfigChunks) }

// acceptedIndex tells of which chunks the accepted versions are.
func (v *Value) acceptedIndex() []byte {
	return message.ChunkIndex(v.encodedAcceptedVersions(), message.AcceptedVersionChunks)
}

// transferredValue is a value on its way to a replica that may have a part of it.
type transferredValue struct {
	acceptedEpoch uint64
	version       uint64
	latest        []message.AcceptedVersion // the version's own entry
	accepted      *message.Delta
	config        *message.Delta // nil where the receiver has it
}

// receive returns a value that was told, with this replica's own configuration if that is the same. The error
// is that of a delta that does not apply.
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

// AppendAccepted returns the accepted versions with more of them. What is remembered of a version stays. Of
// the oldest, whole chunks are dropped, so that the others stay where they are.
func AppendAccepted(past []message.AcceptedVersion,
	more ...message.AcceptedVersion) []message.AcceptedVersion {
	past = slices.Clone(past) // others hold the old one
	for _, accepted := range more {
		if i, found := slices.BinarySearchFunc(past, accepted.Version, compareVersion); !found {
			past = slices.Insert(past, i, accepted)
		}
	}
	const perChunk = message.AcceptedVersionsPerChunk
	return past[max(0, len(past)-minAcceptedVersions)/perChunk*perChunk:]
}
