package message

// Put submits a configuration to the head of the chain.
type Put struct {
	Version uint64 `pb:"7"`
	Config  *Delta `pb:"8"`
}

// Type is TypePut.
func (*Put) Type() Type { return TypePut }

// Committed reports that a version is stored on the disks of all replicas of the chain. It is sent to the
// rest of the chain, with the epoch of the view, or as the response to a Put.
type Committed struct {
	Epoch   uint64 `pb:"4"`
	Version uint64 `pb:"7"`
	OK      bool   `pb:"9"`
}

// Type is TypeCommitted.
func (*Committed) Type() Type { return TypeCommitted }

// Conflict is the response to a Put whose version was already accepted with different content.
type Conflict struct {
	Version uint64 `pb:"7"` // the committed version
}

// Type is TypeConflict.
func (*Conflict) Type() Type { return TypeConflict }

// Replicate passes a configuration to the next replica of the chain.
type Replicate struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"`
	AcceptedVersions []AcceptedVersion `pb:"22"` // all new entries
}

// Type is TypeReplicate.
func (*Replicate) Type() Type { return TypeReplicate }

// Read requests the newest configuration from the tail of the chain.
type Read struct {
	Version uint64 `pb:"7"` // the version that the sender has
}

// Type is TypeRead.
func (*Read) Type() Type { return TypeRead }

// ReadResult is the response to Read.
type ReadResult struct {
	Version uint64 `pb:"7"`
	Config  *Delta `pb:"8"` // nil if the sender of the request already has the version
	OK      bool   `pb:"9"`
}

// Type is TypeReadResult.
func (*ReadResult) Type() Type { return TypeReadResult }
