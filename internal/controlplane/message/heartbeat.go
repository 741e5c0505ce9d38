package message

// Heartbeat reports the state of the sender to the other replicas of the core.
type Heartbeat struct {
	Epoch     uint64        `pb:"4"` // of the view in which the sender serves; 0: it does not serve
	Version   uint64        `pb:"7"` // the sender's committed version
	CaughtUp  bool          `pb:"9"`
	Unhealthy bool          `pb:"10"` // the disk rejects writes, or the sender receives from no quorum
	Endpoints *EndpointList `pb:"12"` // epoch and sequence only
	Nodes     []Node        `pb:"13"` // nodes that renew their leases at the sender; not in every heartbeat
	Sequence  uint64        `pb:"45"` // number of the heartbeat within the sender's incarnation

	// EchoSequence is the sequence of the last heartbeat that the sender received from the receiver, and
	// EchoDelayMillis the time between receiving that one and sending this one. From both the receiver computes
	// the maximum age of this heartbeat, by its own clock.
	EchoSequence    uint64 `pb:"46"`
	EchoDelayMillis uint64 `pb:"47"`

	MembershipEpoch    uint64   `pb:"30"`
	StoreID            uint64   `pb:"32"`
	Joint              bool     `pb:"33"` // a membership change is not known to be complete
	Draining           bool     `pb:"34"` // the sender was ordered to stop
	UnreachableMembers []string `pb:"50"` // members from which the sender receives nothing
	// OldLeasesExpired means that no replica outside the chain can still have a lease from the sender.
	OldLeasesExpired bool `pb:"51"`
	// ReleasedEpoch is the epoch of the last view in which the sender released the role of the rate-limit
	// allocator: it grants no more tokens under that epoch or an earlier one. 0: none.
	ReleasedEpoch uint64 `pb:"55"`
}

// Type is TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
