package message

// Put is a configuration on its way to the head of the chain.
type Put struct {
	Version uint64 `pb:"7"`
	Config  *Delta `pb:"8"`
}

// Type is TypePut.
func (*Put) Type() Type { return TypePut }

// Committed says that a version is on all disks of the chain: to the rest of the chain, under the view's
// epoch, or in response to a Put.
type Committed struct {
	Epoch   uint64 `pb:"4"`
	Version uint64 `pb:"7"`
	OK      bool   `pb:"9"`
}

// Type is TypeCommitted.
func (*Committed) Type() Type { return TypeCommitted }

// Conflict answers a Put whose version was accepted before with another content.
type Conflict struct {
	Version uint64 `pb:"7"` // that is committed
}

// Type is TypeConflict.
func (*Conflict) Type() Type { return TypeConflict }

// Replicate hands a configuration down the chain.
type Replicate struct {
	Epoch            uint64            `pb:"4"`
	Version          uint64            `pb:"7"`
	Config           *Delta            `pb:"8"`
	AcceptedVersions []AcceptedVersion `pb:"22"` // all that are new
}

// Type is TypeReplicate.
func (*Replicate) Type() Type { return TypeReplicate }

// Read asks the tail of the chain for the newest configuration.
type Read struct {
	Version uint64 `pb:"7"` // that the sender has
}

// Type is TypeRead.
func (*Read) Type() Type { return TypeRead }

// ReadResult answers Read.
type ReadResult struct {
	Version uint64 `pb:"7"`
	Config  *Delta `pb:"8"` // nil where the sender of the request has it
	OK      bool   `pb:"9"`
}

// Type is TypeReadResult.
func (*ReadResult) Type() Type { return TypeReadResult }
