package message

// Prepare proposes a view and requests a promise to reject all lower epochs.
type Prepare struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"` // the proposer's version
	AcceptedEpoch    uint64            `pb:"21"`
	AcceptedVersions []AcceptedVersion `pb:"22"` // the version's own entry
	ConfigIndex      []byte            `pb:"39"` // ChunkIndex of the proposer's configuration
	MembershipEpoch  uint64            `pb:"30"`
	AcceptedIndex    []byte            `pb:"71"` // ChunkIndex of the proposer's accepted versions
}

// Type is TypePrepare.
func (*Prepare) Type() Type { return TypePrepare }

// Promise is the response to Prepare: the sender no longer accepts anything below the epoch, and reports
// what it has stored.
type Promise struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"` // if it is newer than the proposer's
	AcceptedEpoch    uint64            `pb:"21"`
	AcceptedVersions []AcceptedVersion `pb:"22"`
	ConfigIndex      []byte            `pb:"39"` // if the configuration differs and is not newer
	StoreID          uint64            `pb:"32"`
	AcceptedDelta    *Delta            `pb:"70"`
	AcceptedIndex    []byte            `pb:"71"`
}

// Type is TypePromise.
func (*Promise) Type() Type { return TypePromise }

// Reject is the response of a replica that has promised a later epoch or does not handle the request. It
// contains the view or the members that the sender knows.
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

// MemberList returns the members in a rejection as a MemberList.
func (r *Reject) MemberList() *MemberList {
	return &MemberList{Members: r.Members, MembershipEpoch: r.MembershipEpoch,
		OutgoingMembers: r.OutgoingMembers, RemovedMembers: r.RemovedMembers}
}

// InstallView distributes a view that a quorum has promised, together with the newest value.
type InstallView struct {
	Epoch            uint64            `pb:"4"`
	Chain            []string          `pb:"5"`
	Members          []Node            `pb:"6"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"`  // nil if the receiver already has it
	AcceptedVersions []AcceptedVersion `pb:"22"` // the version's own entry
	MembershipEpoch  uint64            `pb:"30"`
	OutgoingMembers  []Node            `pb:"31"`
	RemovedMembers   []Node            `pb:"53"`
	AcceptedDelta    *Delta            `pb:"70"`
}

// Type is TypeInstallView.
func (*InstallView) Type() Type { return TypeInstallView }

// ViewInstalled acknowledges that a view and its value are stored on the sender's disk.
type ViewInstalled struct {
	Epoch uint64 `pb:"4"`
}

// Type is TypeViewInstalled.
func (*ViewInstalled) Type() Type { return TypeViewInstalled }

// ActivateView announces that all replicas of a view have installed it, so that the view may serve.
type ActivateView struct {
	Epoch          uint64   `pb:"4"`
	Chain          []string `pb:"5"`
	Version        uint64   `pb:"7"`
	LeavingMembers []string `pb:"52"` // members that have stored the view and leave the core with it
}

// Type is TypeActivateView.
func (*ActivateView) Type() Type { return TypeActivateView }

// ConfirmEpoch requests confirmation that an epoch is the highest that the receiver has promised.
type ConfirmEpoch struct {
	Epoch uint64 `pb:"4"`
}

// Type is TypeConfirmEpoch.
func (*ConfirmEpoch) Type() Type { return TypeConfirmEpoch }

// EpochConfirmed is the response to ConfirmEpoch.
type EpochConfirmed struct {
	Epoch uint64 `pb:"4"`
	OK    bool   `pb:"9"` // the epoch is the highest promised
}

// Type is TypeEpochConfirmed.
func (*EpochConfirmed) Type() Type { return TypeEpochConfirmed }
