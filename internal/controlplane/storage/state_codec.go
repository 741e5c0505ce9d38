package storage

import (
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// Keys of the store. The state contains the digests of two indexes, and each index those of its chunks, so
// that a read returns what was written together or finds the store damaged. The keys are on disk and must not
// change.
var (
	keyState              = []byte("head") // a digest, followed by the storedState that it is of
	configValue           = chunkedValue{[]byte("ranges"), "range/", message.ConfigChunks}
	acceptedVersionsValue = chunkedValue{[]byte("numbers"), "chunk/", message.AcceptedVersionChunks}

	// Keys of earlier formats. The second format has all accepted versions under one key. The first has a
	// state without digests, and the configuration.
	keyLegacyAcceptedVersions = []byte("past")
	keyLegacyState            = []byte("record")
	keyLegacyConfig           = []byte("config")
)

// chunkedValue describes a text that is stored in chunks under their digests, so that a change writes only
// the new chunks.
type chunkedValue struct {
	indexKey    []byte // key of the index, which contains the digests of the chunks in order
	chunkPrefix string // precedes the digest in the key of a chunk
	chunker     message.Chunker
}

// chunkKey returns the key of the chunk with a digest.
func (v *chunkedValue) chunkKey(digest []byte) []byte {
	return append([]byte(v.chunkPrefix), digest...)
}

// storedState is the encoded form of a replica's state. The configuration and the accepted versions are
// stored under other keys.
type storedState struct {
	CaughtUp               bool           `pb:"1"`
	Members                []message.Node `pb:"2"`
	PromisedEpoch          uint64         `pb:"3"`
	Epoch                  uint64         `pb:"4"`
	Chain                  []string       `pb:"5"`
	Version                uint64         `pb:"6"`
	PromisedBallot         uint64         `pb:"7"` // of the bootstrap, as the next two
	AcceptedBallot         uint64         `pb:"8"`
	AcceptedMembers        []message.Node `pb:"9"`
	AcceptedEpoch          uint64         `pb:"10"` // under which the configuration was accepted
	ConfigIndex            []byte         `pb:"11"` // digest of the index of the configuration
	LegacyAcceptedVersions []byte         `pb:"12"` // of the second format: digest of the accepted versions
	AcceptedVersionsIndex  []byte         `pb:"13"` // digest of the index of the accepted versions

	StoreID           uint64         `pb:"30"`
	MembershipEpoch   uint64         `pb:"31"`
	OutgoingMembers   []message.Node `pb:"32"`
	RemovedMembers    []message.Node `pb:"35"`
	RemovedByOperator bool           `pb:"36"`
	BootstrapTrusted  bool           `pb:"33"` // of the bootstrap: all promises made in it are stored
	Seeds             []string       `pb:"34"` // of the bootstrap
	EarlierHolders    []string       `pb:"37"` // of the allocator's role, in earlier views
	HoldersKnown      bool           `pb:"38"`
}

// legacyConfig is the configuration in the first format.
type legacyConfig struct {
	Version uint64 `pb:"1"`
	Config  []byte `pb:"2"`
}

// legacyAcceptedVersions are the accepted versions in the second format.
type legacyAcceptedVersions struct {
	AcceptedVersions []message.AcceptedVersion `pb:"1"`
}

// newStoredState returns the encoded form of a state, with the digests of the given indexes.
func newStoredState(s *replica.PersistentState, configIndex, acceptedIndex []byte) *storedState {
	configDigest, acceptedDigest := message.DigestOf(configIndex), message.DigestOf(acceptedIndex)
	return &storedState{
		CaughtUp:              s.CaughtUp,
		Members:               s.Members,
		PromisedEpoch:         s.PromisedEpoch,
		Epoch:                 s.Epoch,
		Chain:                 s.Chain,
		Version:               s.Version,
		PromisedBallot:        s.Bootstrap.PromisedBallot,
		AcceptedBallot:        s.Bootstrap.AcceptedBallot,
		AcceptedMembers:       s.Bootstrap.AcceptedMembers,
		AcceptedEpoch:         s.AcceptedEpoch,
		ConfigIndex:           configDigest[:],
		AcceptedVersionsIndex: acceptedDigest[:],
		StoreID:               s.StoreID,
		MembershipEpoch:       s.MembershipEpoch,
		OutgoingMembers:       s.OutgoingMembers,
		RemovedMembers:        s.RemovedMembers,
		RemovedByOperator:     s.RemovedByOperator,
		EarlierHolders:        s.EarlierHolders,
		HoldersKnown:          s.HoldersKnown,
		BootstrapTrusted:      s.Bootstrap.Trusted,
		Seeds:                 s.Bootstrap.Seeds,
	}
}

// persistentState returns the state of an encoded form and a value.
func (s *storedState) persistentState(value replica.Value) replica.PersistentState {
	return replica.PersistentState{
		CaughtUp:          s.CaughtUp,
		Members:           s.Members,
		PromisedEpoch:     s.PromisedEpoch,
		Epoch:             s.Epoch,
		Chain:             s.Chain,
		Value:             value,
		StoreID:           s.StoreID,
		MembershipEpoch:   s.MembershipEpoch,
		OutgoingMembers:   s.OutgoingMembers,
		RemovedMembers:    s.RemovedMembers,
		RemovedByOperator: s.RemovedByOperator,
		EarlierHolders:    s.EarlierHolders,
		HoldersKnown:      s.HoldersKnown,
		Bootstrap: replica.BootstrapState{
			Trusted:         s.BootstrapTrusted,
			Seeds:           s.Seeds,
			PromisedBallot:  s.PromisedBallot,
			AcceptedBallot:  s.AcceptedBallot,
			AcceptedMembers: s.AcceptedMembers,
		},
	}
}
