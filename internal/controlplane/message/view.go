package message

// Prepare proposes a view: refuse all below its epoch.
type Prepare struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"` // that the proposer holds
	AcceptedEpoch    uint64            `pb:"21"`
	AcceptedVersions []AcceptedVersion `pb:"22"` // the version's own entry
	ConfigIndex      []byte            `pb:"39"` // ChunkIndex of the proposer's configuration
	MembershipEpoch  uint64            `pb:"30"`
	AcceptedIndex    []byte            `pb:"71"` // ChunkIndex of the proposer's accepted versions
}

// Type is TypePrepare.
func (*Prepare) Type() Type { return TypePrepare }

// Promise answers Prepare: nothing below the epoch is accepted any more, and this is what the sender holds.
type Promise struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"` // where it is newer than the proposer's
	AcceptedEpoch    uint64            `pb:"21"`
	AcceptedVersions []AcceptedVersion `pb:"22"`
	ConfigIndex      []byte            `pb:"39"` // where it differs and is not newer
	StoreID          uint64            `pb:"32"`
	AcceptedDelta    *Delta            `pb:"70"`
	AcceptedIndex    []byte            `pb:"71"`
}

// Type is TypePromise.
func (*Promise) Type() Type { return TypePromise }

// Reject says that the sender has promised a later epoch, or is not the replica to ask; it tells the view or
// the members that it knows.
type Reject struct {
	Epoch           uint64   `pb:"4"`
	Chain           []string `pb:"5"`
	Members         []Node   `pb:"6"`
	MembershipEpoch uint64   `pb:"30"`
	OutgoingMembers []Node   `pb:"31"`
	RemovedMembers  []Node   `pb:"53"`
}

// Type is TypeReject.
func (*Reject) Type() Type { return TypeReject }

// MemberList returns the members that a rejection tells.
func (r *Reject) MemberList() *MemberList {
	return &MemberList{Members: r.Members, MembershipEpoch: r.MembershipEpoch,
		OutgoingMembers: r.OutgoingMembers, RemovedMembers: r.RemovedMembers}
}

// InstallView hands out a view that a quorum has promised, and the newest value.
type InstallView struct {
	Epoch            uint64            `pb:"4"`
	Chain            []string          `pb:"5"`
	Members          []Node            `pb:"6"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"`  // nil where the receiver has it
	AcceptedVersions []AcceptedVersion `pb:"22"` // the version's own entry
	MembershipEpoch  uint64            `pb:"30"`
	OutgoingMembers  []Node            `pb:"31"`
	RemovedMembers   []Node            `pb:"53"`
	AcceptedDelta    *Delta            `pb:"70"`
}

// Type is TypeInstallView.
func (*InstallView) Type() Type { return TypeInstallView }

// ViewInstalled says that a view and its value are on the sender's disk.
type ViewInstalled struct {
	Epoch uint64 `pb:"4"`
}

// Type is TypeViewInstalled.
func (*ViewInstalled) Type() Type { return TypeViewInstalled }

// ActivateView says that all replicas of a view have installed it: it serves.
type ActivateView struct {
	Epoch          uint64   `pb:"4"`
	Chain          []string `pb:"5"`
	Version        uint64   `pb:"7"`
	LeavingMembers []string `pb:"52"` // who has the view on disk, and leaves the core by it
}

// Type is TypeActivateView.
func (*ActivateView) Type() Type { return TypeActivateView }

// ConfirmEpoch asks whether an epoch is the highest that the receiver has promised.
type ConfirmEpoch struct {
	Epoch uint64 `pb:"4"`
}

// Type is TypeConfirmEpoch.
func (*ConfirmEpoch) Type() Type { return TypeConfirmEpoch }

// EpochConfirmed answers ConfirmEpoch.
type EpochConfirmed struct {
	Epoch uint64 `pb:"4"`
	OK    bool   `pb:"9"` // it is
}

// Type is TypeEpochConfirmed.
func (*EpochConfirmed) Type() Type { return TypeEpochConfirmed }
