package storage

import (
	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// Keys of the store. The state tells the digests of two indexes, and each index those of its chunks, so that
// what is read is what was written together, or is told as damaged. The keys are those of the disk, which
// stay.
var (
	keyState              = []byte("head") // the digest of what follows, and a storedState
	configValue           = chunkedValue{[]byte("ranges"), "range/", message.ConfigChunks}
	acceptedVersionsValue = chunkedValue{[]byte("numbers"), "chunk/", message.AcceptedVersionChunks}

	// Of earlier forms: all accepted versions under one key; and before that a state without digests, and the
	// configuration.
	keyLegacyAcceptedVersions = []byte("past")
	keyLegacyState            = []byte("record")
	keyLegacyConfig           = []byte("config")
)

// chunkedValue is a text that the store keeps in chunks under their digests, so that a change writes the
// chunks that are new.
type chunkedValue struct {
	indexKey    []byte // key of the index: the digests of the chunks, in order
	chunkPrefix string // and of a chunk, before its digest
	chunker     message.Chunker
}

func (v *chunkedValue) chunkKey(digest []byte) []byte {
	return append([]byte(v.chunkPrefix), digest...)
}

// storedState is a replica's state as it is written, without its value.
type storedState struct {
	CaughtUp               bool           `pb:"1"`
	Members                []message.Node `pb:"2"`
	PromisedEpoch          uint64         `pb:"3"`
	Epoch                  uint64         `pb:"4"`
	Chain                  []string       `pb:"5"`
	Version                uint64         `pb:"6"`
	PromisedBallot         uint64         `pb:"7"` // of a first start, as the next two
	AcceptedBallot         uint64         `pb:"8"`
	AcceptedMembers        []message.Node `pb:"9"`
	AcceptedEpoch          uint64         `pb:"10"` // under which the configuration was accepted
	ConfigIndex            []byte         `pb:"11"` // digest of the index of the configuration
	LegacyAcceptedVersions []byte         `pb:"12"` // of an earlier form: digest of the accepted versions
	AcceptedVersionsIndex  []byte         `pb:"13"` // digest of the index of the accepted versions

	StoreID           uint64         `pb:"30"`
	MembershipEpoch   uint64         `pb:"31"`
	OutgoingMembers   []message.Node `pb:"32"`
	RemovedMembers    []message.Node `pb:"35"`
	RemovedByOperator bool           `pb:"36"`
	BootstrapTrusted  bool           `pb:"33"` // of a first start: all that was promised in it is here
	Seeds             []string       `pb:"34"` // of it
	EarlierHolders    []string       `pb:"37"` // of the allocator's role, in views before
	HoldersKnown      bool           `pb:"38"`
}

// legacyConfig is the configuration of the first form.
type legacyConfig struct {
	Version uint64 `pb:"1"`
	Config  []byte `pb:"2"`
}

// legacyAcceptedVersions are the accepted versions of the second form.
type legacyAcceptedVersions struct {
	AcceptedVersions []message.AcceptedVersion `pb:"1"`
}

// newStoredState returns a state as it is written, with the indexes of its value.
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

// persistentState returns a state as it was written, with its value.
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
