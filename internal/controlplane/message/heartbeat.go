package message

// Heartbeat tells the other replicas of the core how the sender is.
type Heartbeat struct {
	Epoch     uint64        `pb:"4"` // of the view in which the sender serves; 0: it doesn't
	Version   uint64        `pb:"7"` // that is committed there
	CaughtUp  bool          `pb:"9"`
	Unhealthy bool          `pb:"10"` // the disk takes nothing, or the sender hears no quorum
	Endpoints *EndpointList `pb:"12"` // epoch and sequence alone
	Nodes     []Node        `pb:"13"` // that renew their leases at the sender; not in every heartbeat
	Sequence  uint64        `pb:"45"` // number of the heartbeat in the sender's incarnation

	// EchoSequence names the receiver's last heartbeat that the sender had, and EchoDelayMillis how long before
	// this one that came: from both the receiver knows how old the news is, by its own clock.
	EchoSequence    uint64 `pb:"46"`
	EchoDelayMillis uint64 `pb:"47"`

	MembershipEpoch    uint64   `pb:"30"`
	StoreID            uint64   `pb:"32"`
	Joint              bool     `pb:"33"` // a change of members is not known to be complete
	Draining           bool     `pb:"34"` // the sender was told to stop
	UnreachableMembers []string `pb:"50"` // that the sender does not hear
	// OldLeasesExpired says that no replica outside the chain can hold a lease of the sender.
	OldLeasesExpired bool `pb:"51"`
	// ReleasedEpoch is the epoch of the last view in which the sender has given up the role of the rate-limit
	// allocator: it grants nothing under that, nor under an earlier one, any more. 0: none.
	ReleasedEpoch uint64 `pb:"55"`
}

// Type is TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
