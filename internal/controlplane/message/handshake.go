package message

// Handshake is the first message that either end sends on a connection. It identifies the sender by its
// address and by the incarnation in the header of the message.
type Handshake struct {
	Sender   string `pb:"3"`  // the sender's address
	Receiver string `pb:"41"` // the address that was dialled; empty in the response of the dialled end
}

// Type is TypeHandshake.
func (*Handshake) Type() Type { return TypeHandshake }

// Node is a process of the system: a replica of the control state, or a gateway that has a lease.
type Node struct {
	Addr string `pb:"1"` // at which the system's own processes reach it
	Zone string `pb:"2"`
	// LeaseAge is the time since the node renewed its lease, in milliseconds; 0 for a replica.
	LeaseAge uint64 `pb:"3"`
	// StoreID identifies a replica's store and is generated with it. A replica with another store at the same
	// address is a different member.
	StoreID uint64 `pb:"30"`
	// ProposerID gives a member epochs that no other member proposes under. It is unique among the members of a
	// membership and of the preceding one.
	ProposerID uint64 `pb:"31"`
}
