package common

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
)

// Message is for a member, by name.
type Message struct {
	To   string
	Data []byte
}

// Kinds of messages.
const (
	kindRaft    = "raft"    // of the voters' log
	kindBeat    = "beat"    // the leader's word to all, with a majority behind it
	kindPull    = "pull"    // asks for the whole record
	kindPropose = "propose" // a change, to the leader
	kindAsk     = "ask"     // what do you know? by one who would found a group
	kindTell    = "tell"    // its answer
	kindFound   = "found"   // be of this group
)

// messageMost is the longest message that is read, in bytes.
const messageMost = 1 << 20

// envelope is a message on the wire. What a version does not know is passed over.
type envelope struct {
	Kind       string            `json:"k"`
	Generation uint64            `json:"g,omitempty"`
	Life       uint64            `json:"l,omitempty"` // the sender's
	Raft       []byte            `json:"r,omitempty"`
	Epoch      uint64            `json:"e,omitempty"`
	At         int64             `json:"t,omitempty"` // Unix nanoseconds, when a majority stood behind it
	Record     *Record           `json:"rec,omitempty"`
	Change     *Change           `json:"c,omitempty"`
	Lives      map[string]uint64 `json:"v,omitempty"` // of a group's voters, by name
	Led        bool              `json:"led,omitempty"`
	Voters     [][]uint64        `json:"vs,omitempty"` // of the sender's group; two sets while they change
}

func (e *envelope) encode() []byte {
	data, err := json.Marshal(e)
	if err != nil { // of values that were checked
		panic(fmt.Errorf("message of kind %s: %w", e.Kind, err))
	}
	return data
}

var errLong = errors.New("message too long")

func decode(data []byte) (*envelope, error) {
	if len(data) > messageMost {
		return nil, errLong
	}
	e := &envelope{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

// voterID is the number of a voter in the log: of one life of one name, so that a process that comes back
// without its memory is another voter and no vote is given twice.
func voterID(name string, life uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "/" + strconv.FormatUint(life, 16)))
	return max(1, h.Sum64())
}
