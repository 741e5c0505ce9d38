package message

// Watch requests what has changed since the versions that the sender has, and renews the sender's lease. It
// is a long poll: the response is delayed until there is a change, for at most WaitMillis.
type Watch struct {
	Epoch         uint64        `pb:"4"`
	Version       uint64        `pb:"7"`  // of the configuration; 0: none, or the full one is requested
	Endpoints     *EndpointList `pb:"12"` // epoch and sequence only; nil: none
	NodesChecksum uint64        `pb:"14"` // of the list of nodes; 0: none
	WaitMillis    uint64        `pb:"17"`
	Zone          string        `pb:"18"`

	// EchoRequestID is the id of the request to which the sender last received a response from the receiver,
	// and EchoDelayMillis the time since that response arrived. The lease counts from when this watch was sent,
	// which the receiver computes from both.
	EchoRequestID   uint64 `pb:"46"`
	EchoDelayMillis uint64 `pb:"47"`

	Chunks []SnapshotChunk `pb:"60"` // progress of snapshot transfers
	// ChunkBudget is the maximum number of snapshot bytes in the response. 0: InitialChunkBudget.
	ChunkBudget uint64 `pb:"61"`
	// BaseVersion is the version of a configuration that the sender has but does not apply. The response may
	// use it as the base of a delta.
	BaseVersion uint64 `pb:"62"`
	// EndpointsDigest is the ContentDigest of the sender's endpoint list, if that list is from a view earlier
	// than the latest one that the sender knows. Otherwise it is zero.
	EndpointsDigest Digest `pb:"63"`
}

// Type is TypeWatch.
func (*Watch) Type() Type { return TypeWatch }

// WatchResponse is the response to Watch and contains what has changed. The bytes of a snapshot are an
// encoded WatchResponse as well, with a single resource.
type WatchResponse struct {
	Epoch           uint64          `pb:"4"`
	Chain           []string        `pb:"5"` // with the members, if the epoch is new
	Members         []Node          `pb:"6"`
	Version         uint64          `pb:"7"`
	Config          *Delta          `pb:"8"`
	Fresh           bool            `pb:"9"` // the sender serves with a quorum, so its versions are the newest
	Endpoints       *EndpointList   `pb:"12"`
	Nodes           []Node          `pb:"13"`
	NodesChecksum   uint64          `pb:"14"`
	MembershipEpoch uint64          `pb:"30"`
	OutgoingMembers []Node          `pb:"31"`
	RemovedMembers  []Node          `pb:"53"`
	Chunks          []SnapshotChunk `pb:"60"`
	// SameEndpoints means that the content of the watcher's list is the newest, under this epoch and sequence;
	// the other fields are empty. It is sent only to watchers that sent an EndpointsDigest.
	SameEndpoints *EndpointList `pb:"64"`
}

// Type is TypeWatchResponse.
func (*WatchResponse) Type() Type { return TypeWatchResponse }

// MemberList returns the members in a response as a MemberList.
func (w *WatchResponse) MemberList() *MemberList {
	return &MemberList{Members: w.Members, MembershipEpoch: w.MembershipEpoch,
		OutgoingMembers: w.OutgoingMembers, RemovedMembers: w.RemovedMembers}
}

// EndpointUpdate sends the endpoint list to the rest of the chain.
type EndpointUpdate struct {
	Endpoints *EndpointList `pb:"12"`
}

// Type is TypeEndpointUpdate.
func (*EndpointUpdate) Type() Type { return TypeEndpointUpdate }

// EndpointList is the list of servers, versioned by the epoch of the replica that read it and by a sequence
// number that increases within the epoch.
type EndpointList struct {
	Epoch     uint64     `pb:"1"`
	Sequence  uint64     `pb:"2"`
	Endpoints []Endpoint `pb:"3"`
}

// Newer reports whether a list is newer than another, which may be nil.
func (l *EndpointList) Newer(than *EndpointList) bool {
	return than == nil || l.Epoch > than.Epoch || l.Epoch == than.Epoch && l.Sequence > than.Sequence
}

// ContentDigest returns a digest of the servers in a list that does not depend on its epoch and sequence.
func (l *EndpointList) ContentDigest() Digest {
	return DigestOf(MarshalAppend(nil, &EndpointList{Endpoints: l.Endpoints}))
}

// Endpoint is a server as the platform lists it.
type Endpoint struct {
	ID           string `pb:"1"`
	Service      string `pb:"2"`
	Addr         string `pb:"3"`
	Zone         string `pb:"4"`
	Capacity     uint64 `pb:"5"`
	Draining     bool   `pb:"6"`
	WarmupMillis uint64 `pb:"7"` // how long the server is expected to stay slow
}

// Resource identifies a kind of watched data. Each resource has its own versions.
type Resource uint64

// The resources, in the order in which they are sent.
const (
	ResourceConfig Resource = iota + 1
	ResourceEndpoints
	ResourceNodes
)

// SnapshotChunk is a range of the bytes of a snapshot, which is an encoded WatchResponse with one resource.
// A long snapshot is sent in chunks that are requested one after the other. A snapshot is identified by its
// checksum, so that a transfer can be resumed at any replica that has the same snapshot.
type SnapshotChunk struct {
	Resource  Resource `pb:"1"`
	Checksum  uint64   `pb:"2"` // of the snapshot
	TotalSize uint64   `pb:"3"` // size of the snapshot in bytes
	Offset    uint64   `pb:"4"` // in a Watch: number of bytes received; in a response: the offset of Data
	Data      []byte   `pb:"5"`
	Stale     bool     `pb:"6"` // in a response: the snapshot is outdated and usable only as a base
	// Version and BaseVersion are, for a configuration, its version and the version that it is a delta over;
	// 0: none.
	Version     uint64 `pb:"7"`
	BaseVersion uint64 `pb:"8"`
}

// Limits on the number of snapshot bytes in a response.
const (
	// InitialChunkBudget applies if the request has no ChunkBudget. On a link of 0.25 MB/s it takes half of the
	// time allowed for a first response.
	InitialChunkBudget = 32 << 10
	MinChunkBudget     = 4 << 10 // regardless of the speed of the link and the number of watchers
	MaxChunkBudget     = 1 << 20
)
