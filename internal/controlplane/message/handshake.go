package message

// Handshake comes first on a connection, from both ends: who is there. The incarnation of the message's
// header is that of the sender.
type Handshake struct {
	Sender   string `pb:"3"`  // the sender's address
	Receiver string `pb:"41"` // the address that was dialled; empty in the answer of the end that was dialled
}

// Type is TypeHandshake.
func (*Handshake) Type() Type { return TypeHandshake }

// Node is a process of the system: a replica of the control state, or a gateway that holds a lease.
type Node struct {
	Addr string `pb:"1"` // for the system's own processes
	Zone string `pb:"2"`
	// LeaseAge is how long ago the node renewed its lease, in milliseconds; 0 for a replica.
	LeaseAge uint64 `pb:"3"`
	// StoreID is that of a replica's store, made with it: another store at the address is another member.
	StoreID uint64 `pb:"30"`
	// ProposerID gives a member epochs of its own to propose under. No two in a membership and the one before it
	// have the same.
	ProposerID uint64 `pb:"31"`
}
