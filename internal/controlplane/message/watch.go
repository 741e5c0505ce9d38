package message

// Watch asks for what has changed since the versions that the sender holds, and renews the sender's lease. It
// is held back until there is a change, or for WaitMillis.
type Watch struct {
	Epoch         uint64        `pb:"4"`
	Version       uint64        `pb:"7"`  // of the configuration; 0: none, or the full one is wanted
	Endpoints     *EndpointList `pb:"12"` // epoch and sequence alone; nil: none
	NodesChecksum uint64        `pb:"14"` // of the list of nodes; 0: none
	WaitMillis    uint64        `pb:"17"`
	Zone          string        `pb:"18"`

	// EchoRequestID names the request whose response the sender had last from the receiver, and EchoDelayMillis
	// how long ago that came: the lease counts from when this was sent.
	EchoRequestID   uint64 `pb:"46"`
	EchoDelayMillis uint64 `pb:"47"`

	Chunks []SnapshotChunk `pb:"60"` // how far snapshots have come
	// bytes of snapshots that the response may bring; 0: InitialChunkBudget
	ChunkBudget uint64 `pb:"61"`
	// a configuration that is held and not in force: deltas over it will do
	BaseVersion uint64 `pb:"62"`
	// EndpointsDigest is that of the endpoint list that the sender holds, if that is of an earlier view than
	// the one known; else zero.
	EndpointsDigest Digest `pb:"63"`
}

// Type is TypeWatch.
func (*Watch) Type() Type { return TypeWatch }

// WatchResponse answers Watch with what is new. A snapshot's bytes are one as well, with one resource in it.
type WatchResponse struct {
	Epoch           uint64          `pb:"4"`
	Chain           []string        `pb:"5"` // with the members, where the epoch is new
	Members         []Node          `pb:"6"`
	Version         uint64          `pb:"7"`
	Config          *Delta          `pb:"8"`
	Fresh           bool            `pb:"9"` // the sender serves with a quorum: what it tells is the newest
	Endpoints       *EndpointList   `pb:"12"`
	Nodes           []Node          `pb:"13"`
	NodesChecksum   uint64          `pb:"14"`
	MembershipEpoch uint64          `pb:"30"`
	OutgoingMembers []Node          `pb:"31"`
	RemovedMembers  []Node          `pb:"53"`
	Chunks          []SnapshotChunk `pb:"60"`
	// SameEndpoints, of epoch and sequence alone, says that the list which the watcher holds is the newest,
	// under these. Only who has told its digest is told so.
	SameEndpoints *EndpointList `pb:"64"`
}

// Type is TypeWatchResponse.
func (*WatchResponse) Type() Type { return TypeWatchResponse }

// MemberList returns the members that a response tells.
func (w *WatchResponse) MemberList() *MemberList {
	return &MemberList{Members: w.Members, MembershipEpoch: w.MembershipEpoch,
		OutgoingMembers: w.OutgoingMembers, RemovedMembers: w.RemovedMembers}
}

// EndpointUpdate hands the endpoint list to the rest of the chain.
type EndpointUpdate struct {
	Endpoints *EndpointList `pb:"12"`
}

// Type is TypeEndpointUpdate.
func (*EndpointUpdate) Type() Type { return TypeEndpointUpdate }

// EndpointList is the list of servers, under the epoch of who read it and a number that rises within that.
type EndpointList struct {
	Epoch     uint64     `pb:"1"`
	Sequence  uint64     `pb:"2"`
	Endpoints []Endpoint `pb:"3"`
}

// Newer reports whether a list is newer than another, which may be nil.
func (l *EndpointList) Newer(than *EndpointList) bool {
	return than == nil || l.Epoch > than.Epoch || l.Epoch == than.Epoch && l.Sequence > than.Sequence
}

// ContentDigest names the servers in a list, whatever epoch and sequence it has.
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
	WarmupMillis uint64 `pb:"7"` // for which it stays slow
}

// Resource is one of the things that are watched, each with versions of its own.
type Resource uint64

// The resources, in the order in which they are told.
const (
	ResourceConfig Resource = iota + 1
	ResourceEndpoints
	ResourceNodes
)

// SnapshotChunk is a run of bytes of a snapshot: a WatchResponse with one resource, encoded. A long snapshot
// is told in chunks, which are asked for one after the other. It is named by its checksum, so that a transfer
// goes on at any replica that has the same.
type SnapshotChunk struct {
	Resource  Resource `pb:"1"`
	Checksum  uint64   `pb:"2"` // of the snapshot
	TotalSize uint64   `pb:"3"` // bytes of all of it
	Offset    uint64   `pb:"4"` // in a Watch: bytes that are held; in a response: where Data belongs
	Data      []byte   `pb:"5"`
	Stale     bool     `pb:"6"` // in a response: it is not the newest any more, and good as a base alone
	// Of a configuration: its version, and the one that it is a delta over; 0: none.
	Version     uint64 `pb:"7"`
	BaseVersion uint64 `pb:"8"`
}

// Bytes of snapshots that a response may bring.
const (
	// InitialChunkBudget holds where the request doesn't say: on a link of a quarter of a megabyte a second it
	// takes half of the time that a first response has.
	InitialChunkBudget = 32 << 10
	MinChunkBudget     = 4 << 10 // however slow the link is, and however many watch
	MaxChunkBudget     = 1 << 20
)
