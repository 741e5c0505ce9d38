package message

// BootstrapPrepare asks a seed, at the first start of the system, to promise that it accepts no proposal
// below a ballot.
type BootstrapPrepare struct {
	Ballot uint64   `pb:"4"`
	Seeds  []string `pb:"5"`
}

// Type is TypeBootstrapPrepare.
func (*BootstrapPrepare) Type() Type { return TypeBootstrapPrepare }

// BootstrapPromise answers BootstrapPrepare, with the last proposal that the seed accepted.
type BootstrapPromise struct {
	Ballot          uint64 `pb:"4"`
	AcceptedMembers []Node `pb:"6"`
	AcceptedBallot  uint64 `pb:"7"` // 0: none
	Trusted         bool   `pb:"9"` // the seed's disk stores everything that it has promised
}

// Type is TypeBootstrapPromise.
func (*BootstrapPromise) Type() Type { return TypeBootstrapPromise }

// BootstrapAccept asks a seed to accept a list of members for the core.
type BootstrapAccept struct {
	Ballot  uint64 `pb:"4"`
	Members []Node `pb:"6"`
}

// Type is TypeBootstrapAccept.
func (*BootstrapAccept) Type() Type { return TypeBootstrapAccept }

// BootstrapAccepted acknowledges that the proposal is stored on the seed's disk.
type BootstrapAccepted struct {
	Ballot uint64 `pb:"4"`
}

// Type is TypeBootstrapAccepted.
func (*BootstrapAccepted) Type() Type { return TypeBootstrapAccepted }
