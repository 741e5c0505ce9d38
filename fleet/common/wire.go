package common

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
)

// Message is an encoded message to the member with the name To.
type Message struct {
	To   string
	Data []byte
}

// Kinds of messages.
const (
	kindRaft    = "raft"    // Raft message between voters
	kindBeat    = "beat"    // heartbeat of a leader that a majority has confirmed, or a reply to kindPull
	kindPull    = "pull"    // request for the whole record
	kindPropose = "propose" // a proposed change, to the leader
	kindQuery   = "ask"     // query for the state of a voter, by one that wants to found a group
	kindAnswer  = "tell"    // answer to kindQuery
	kindFound   = "found"   // request to join a group that is being founded
)

// maxMessageBytes is the maximum size of a message that is decoded.
const maxMessageBytes = 1 << 20

// envelope is the JSON form of a message. Unknown fields are ignored, so that versions can be mixed.
type envelope struct {
	Kind        string            `json:"k"`
	Generation  uint64            `json:"g,omitempty"`
	Life        uint64            `json:"l,omitempty"` // incarnation of the sender
	Raft        []byte            `json:"r,omitempty"`
	Epoch       uint64            `json:"e,omitempty"`
	ConfirmedAt int64             `json:"t,omitempty"` // Unix nanoseconds of the confirmation request
	Record      *Record           `json:"rec,omitempty"`
	Change      *Change           `json:"c,omitempty"`
	Lives       map[string]uint64 `json:"v,omitempty"` // incarnation of each founder, by name
	HasLeader   bool              `json:"led,omitempty"`
	Voters      [][]uint64        `json:"vs,omitempty"` // of the sender's group; two sets during a change
}

// encode returns the JSON form of the message.
func (e *envelope) encode() []byte {
	data, err := json.Marshal(e)
	if err != nil { // can't happen: all values are valid JSON
		panic(fmt.Errorf("encoding a message of kind %s: %w", e.Kind, err))
	}
	return data
}

var errMessageTooLong = errors.New("message too long")

// decode parses a message. It returns errMessageTooLong for more than maxMessageBytes.
func decode(data []byte) (*envelope, error) {
	if len(data) > maxMessageBytes {
		return nil, errMessageTooLong
	}
	e := &envelope{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

// voterID returns the Raft ID of one incarnation of a name. A process that restarts without its state gets
// a new ID, so that no voter votes twice in a term.
func voterID(name string, life uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "/" + strconv.FormatUint(life, 16)))
	return max(1, h.Sum64())
}
