// Package signal holds what the system's processes say to each other, and its form in bytes: protobuf's wire
// format, by the field numbers in the tags, in frames that begin with their length. It knows no sockets.
package message

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Type says what a message is.
type Type uint64

// The kinds of messages. Numbers are never used anew.
const (
	TypeHandshake        Type = iota + 1 // first on a connection: who is calling
	TypeAnnounce                         // a machine that starts asks a seed what it knows
	TypeMemberList                       // and is told the machines with a disk, and the view
	_                                    // was Found: at the first start, the machines of the core
	TypeHeartbeat                        // between machines of the core: how I am
	TypePrepare                          // a view is proposed: refuse all below its epoch
	TypePromise                          // that is so
	TypeReject                           // it is not: an epoch as high was promised
	TypeInstallView                      // the view, and the newest configuration
	TypeViewInstalled                    // both are on disk
	TypeActivateView                     // all members have installed the view
	TypePut                              // a configuration, on its way to the head
	TypeCommitted                        // it is on all disks of the chain
	TypeReplicate                        // a configuration, down the chain
	TypeRead                             // what is the newest configuration?
	TypeReadResult                       // that is it
	TypeConfirmEpoch                     // is the epoch still the newest?
	TypeEpochConfirmed                   // it is
	TypeWatch                            // what is new since? And my lease, again
	TypeWatchResponse                    // what is new
	TypeEndpointUpdate                   // the list of servers, to the rest of the chain
	TypeTokenRequest                     // tokens of tenants are asked for
	TypeTokenGrant                       // and given
	TypeBootstrapPrepare                 // between seeds, at the first start: take no draft below this ballot
	// that is so; and the draft that was taken last, with its ballot as the version
	TypeBootstrapPromise
	TypeBootstrapAccept   // the machines of the core are to be these
	TypeBootstrapAccepted // it is kept
	TypeConflict          // another configuration stands under that number
)

// The kinds of what the core says of its members.
const (
	TypeLearnerSnapshot     Type = iota + 40 // what there is, to a machine that is to become a member
	TypeLearnerReady                         // it is on its disk
	TypeMemberUpdate                         // who the members are, to one that did not ask
	TypeChangeMembers                        // an order by hand: change the members, or tell them
	TypeChangeMembersResult                  // that is done, or why not
)

// Message is one message. Fields that a kind has no use for are left empty and take no bytes.
type Message struct {
	Type      Type     `pb:"1"`
	RequestID uint64   `pb:"2"` // ties an answer to what it answers
	Sender    string   `pb:"3"` // of Ringing: the sender's address
	Epoch     uint64   `pb:"4"`
	Chain     []string `pb:"5"`
	Members   []Node   `pb:"6"`
	Version   uint64   `pb:"7"`
	Config    *Delta   `pb:"8"`
	OK        bool     `pb:"9"` // of Beat: whole; of News: fresh; of Confirmed: yes
	// of Beat: the disk takes nothing, or the sender hears no majority
	Unhealthy        bool           `pb:"10"`
	HasDisk          bool           `pb:"11"` // of Hello: the sender has a disk
	Endpoints        *EndpointList  `pb:"12"`
	Nodes            []Node         `pb:"13"`
	NodesChecksum    uint64         `pb:"14"` // a digest of the members
	Tokens           []TenantTokens `pb:"15"`
	WaitMillis       uint64         `pb:"17"` // of Poll: milliseconds
	Zone             string         `pb:"18"`
	ExhaustedTenants []string       `pb:"19"` // of Grant: tenants that may spend only what they were given
	FirstStart       bool           `pb:"20"` // of Hello: the whole system starts for the first time
	// of Promise: the epoch under which the configuration was accepted
	AcceptedEpoch uint64 `pb:"21"`
	// the number itself, with what stands under it; of Relay: all that are new
	AcceptedVersions []AcceptedVersion `pb:"22"`
	ConfigIndex      []byte            `pb:"39"` // of Prepare and Promise: of the text that the sender has
	// of a question, and again of its answers: the life of the process that asked
	Incarnation uint64 `pb:"40"`
	// of Ringing: the address that was dialled; empty: the answer to that
	Receiver string `pb:"41"`
	// of Ask: the call whose grant was taken last; those since have been given up
	LastGrant uint64 `pb:"42"`
	Sequence  uint64 `pb:"45"` // of Beat: its number in the sender's life
	// of Beat: the receiver's last one that the sender had; of Poll: its last News
	EchoSequence    uint64 `pb:"46"`
	EchoDelayMillis uint64 `pb:"47"` // and how long ago it had that, in milliseconds

	MembershipEpoch    uint64   `pb:"30"` // of the registry: the epoch of the view that installed it
	OutgoingMembers    []Node   `pb:"31"` // the registry before, until the change is known to be complete
	StoreID            uint64   `pb:"32"` // of the sender's store
	Joint              bool     `pb:"33"` // of Beat: a change of members is not known to be complete
	Draining           bool     `pb:"34"` // of Beat: the sender was told to stop
	AddMember          string   `pb:"35"` // of Reform: the address of who is to be a member
	RemoveMember       string   `pb:"36"` // of Reform: and of who no longer
	Reason             string   `pb:"37"` // of Reformed: why not
	ToleratedFailures  uint64   `pb:"38"` // of Reformed: how many members may be lost now
	ToleranceGap       string   `pb:"48"` // of Reformed: why not all that may be lost at once can be now
	RemovedMembers     []Node   `pb:"53"` // with Registry: the members that staff have removed last
	RemovedByOperator  bool     `pb:"54"` // of Hello: staff have removed the sender, and are to add it if anyone
	UnreachableMembers []string `pb:"50"` // of Beat: members that the sender does not hear
	OldLeasesExpired   bool     `pb:"51"` // of Beat: no machine outside the chain can have a lease of the sender
	LeavingMembers     []string `pb:"52"` // of Active: who has the view on disk, and leaves the core by it

	Chunks      []SnapshotChunk `pb:"60"` // of Poll: what is held of snapshots; of News: what they go on with
	ChunkBudget uint64          `pb:"61"` // of Poll: bytes of snapshots that the answer may have; 0: RoomFirst
	// of Poll: a configuration that is held and not in force: changes of it will do
	BaseVersion uint64 `pb:"62"`

	AcceptedDelta *Delta `pb:"70"` // the numbers that were taken last, as EncodeTaken writes them
	AcceptedIndex []byte `pb:"71"` // of Prepare and Promise: of those that the sender has
}

// Room that an answer has for snapshots, in bytes.
const (
	// InitialChunkBudget is where the question doesn't say: on a link of a quarter of a megabyte a second it
	// takes half of the time that a first answer has.
	InitialChunkBudget = 32 << 10
	MinChunkBudget     = 4 << 10 // however slow the link is, and however many ask
	MaxChunkBudget     = 1 << 20
)

// Resource is one of the things that are told as news, each with versions of its own.
type Resource uint64

// The tables, in the order in which they are told.
const (
	ResourceConfig Resource = iota + 1
	ResourceEndpoints
	ResourceNodes
)

// SnapshotChunk is a run of bytes of a snapshot: the message that tells one table, encoded. A long snapshot
// is told in parts, which are asked for one after the other. It is named by its digest, so that a transfer
// goes on at any machine that has the same.
type SnapshotChunk struct {
	Resource  Resource `pb:"1"`
	Checksum  uint64   `pb:"2"` // of the snapshot
	TotalSize uint64   `pb:"3"` // of all of it
	Offset    uint64   `pb:"4"` // of Poll: how much of it is held; of News: where Bytes belong
	Data      []byte   `pb:"5"`
	Stale     bool     `pb:"6"` // of News: it is not the newest any more, and good as a base alone
	// Of a configuration: its number, and that of what it is a change of; 0: of none.
	Version     uint64 `pb:"7"`
	BaseVersion uint64 `pb:"8"`
}

// ResponseTypes are the kinds that ask, each with the kinds that answer it. An answer says again the call or
// the epoch of what it answers, and the life of the process that asked: a process that was started again
// counts its calls from the beginning, and is not told what an earlier one wanted to know.
var ResponseTypes = map[Type][]Type{
	TypeAnnounce:         {TypeMemberList},
	TypePrepare:          {TypePromise, TypeReject},
	TypeInstallView:      {TypeViewInstalled},
	TypePut:              {TypeCommitted, TypeConflict, TypeReject},
	TypeRead:             {TypeReadResult, TypeReject},
	TypeConfirmEpoch:     {TypeEpochConfirmed},
	TypeWatch:            {TypeWatchResponse},
	TypeTokenRequest:     {TypeTokenGrant},
	TypeBootstrapPrepare: {TypeBootstrapPromise},
	TypeBootstrapAccept:  {TypeBootstrapAccepted},
	TypeChangeMembers:    {TypeChangeMembersResult, TypeReject},
}

// responseTypes are all that answer something.
var responseTypes = func() map[Type]bool {
	all := map[Type]bool{}
	for _, kinds := range ResponseTypes {
		for _, k := range kinds {
			all[k] = true
		}
	}
	return all
}()

// IsRequest reports whether a message is a question.
func (m *Message) IsRequest() bool { return len(ResponseTypes[m.Type]) > 0 }

// IsResponse reports whether a message answers a question. Done without a call is none: the tail of the chain
// tells it to the others.
func (m *Message) IsResponse() bool {
	return responseTypes[m.Type] && (m.Type != TypeCommitted || m.RequestID != 0)
}

// AcceptedVersion is a number of a configuration that was taken, and what it stands for.
type AcceptedVersion struct {
	Version uint64 `pb:"1"`
	Digest  Digest `pb:"2"` // of the text
}

// Node is a machine of the system.
type Node struct {
	Addr     string `pb:"1"` // for the system's own processes
	Zone     string `pb:"2"`
	LeaseAge uint64 `pb:"3"` // milliseconds since its lease was renewed
	// StoreID is that of its store, made with it: another disk at the address is another member.
	StoreID uint64 `pb:"30"`
	// ProposerID gives a member epochs of its own. No two in a registry and the one before it have the same.
	ProposerID uint64 `pb:"31"`
}

// EndpointList is the list of servers, under the epoch of who read it and a number that rises within that.
type EndpointList struct {
	Epoch     uint64     `pb:"1"`
	Sequence  uint64     `pb:"2"`
	Endpoints []Endpoint `pb:"3"`
}

// Endpoint is a server as the platform lists it.
type Endpoint struct {
	ID           string `pb:"1"`
	Service      string `pb:"2"`
	Addr         string `pb:"3"`
	Zone         string `pb:"4"`
	Capacity     uint64 `pb:"5"`
	Draining     bool   `pb:"6"`
	WarmupMillis uint64 `pb:"7"` // milliseconds for which it stays slow
}

// TenantTokens is what is asked for, or given, of a tenant's tokens.
type TenantTokens struct {
	Tenant string  `pb:"1"`
	Tokens float64 `pb:"2"`
	Spent  float64 `pb:"3"` // of Ask: tokens that were spent beyond what was given
}

// MaxFrameSize is the most bytes that a frame may have. A configuration is the largest thing that is sent.
const MaxFrameSize = 8 << 20

// Errors of decoding.
var (
	ErrFrameTooLong = errors.New("signal: a frame is longer than any message")
	ErrMalformed    = errors.New("signal: not a message")
)

// AppendFrame writes a message behind buf, as a frame.
func AppendFrame(buf []byte, m *Message) []byte {
	at := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = MarshalAppend(buf, m)
	binary.BigEndian.PutUint32(buf[at:], uint32(len(buf)-at-4))
	return buf
}

// FrameDecoder cuts what comes into messages.
type FrameDecoder struct{ buf []byte }

// Feed takes bytes as they came.
func (c *FrameDecoder) Feed(p []byte) { c.buf = append(c.buf, p...) }

// Next returns the next message, or nil if more bytes are needed. After an error the stream can't be read on.
func (c *FrameDecoder) Next() (*Message, error) {
	if len(c.buf) < 4 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(c.buf))
	if n > MaxFrameSize {
		return nil, ErrFrameTooLong
	}
	if len(c.buf) < 4+n {
		return nil, nil
	}
	m := new(Message)
	if err := Unmarshal(c.buf[4:4+n], m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if c.buf = c.buf[4+n:]; len(c.buf) == 0 {
		c.buf = nil
	}
	return m, nil
}
