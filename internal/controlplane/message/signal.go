// Package signal holds what the system's processes say to each other, and its form in bytes: protobuf's wire
// format, by the field numbers in the tags, in frames that begin with their length. It knows no sockets.
package message

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Kind says what a message is.
type Kind uint64

// The kinds of messages. Numbers are never used anew.
const (
	Ringing   Kind = iota + 1 // first on a connection: who is calling
	Hello                     // a machine that starts asks a seed what it knows
	Roll                      // and is told the machines with a disk, and the view
	_                         // was Found: at the first start, the machines of the core
	Beat                      // between machines of the core: how I am
	Prepare                   // a view is proposed: refuse all below its epoch
	Promise                   // that is so
	Refuse                    // it is not: an epoch as high was promised
	Install                   // the view, and the newest configuration
	Installed                 // both are on disk
	Active                    // all members have installed the view
	Put                       // a configuration, on its way to the head
	Done                      // it is on all disks of the chain
	Relay                     // a configuration, down the chain
	Read                      // what is the newest configuration?
	Copy                      // that is it
	Confirm                   // is the epoch still the newest?
	Confirmed                 // it is
	Poll                      // what is new since? And my lease, again
	News                      // what is new
	Lineup                    // the list of servers, to the rest of the chain
	Ask                       // tokens of tenants are asked for
	Grant                     // and given
	Pledge                    // between seeds, at the first start: take no draft below this ballot
	Pledged                   // that is so; and the draft that was taken last, with its ballot as the version
	Draft                     // the machines of the core are to be these
	Drafted                   // it is kept
	Conflict                  // another configuration stands under that number
)

// The kinds of what the core says of its members.
const (
	Learn    Kind = iota + 40 // what there is, to a machine that is to become a member
	Learned                   // it is on its disk
	Notice                    // who the members are, to one that did not ask
	Reform                    // an order by hand: change the members, or tell them
	Reformed                  // that is done, or why not
)

// Message is one message. Fields that a kind has no use for are left empty and take no bytes.
type Message struct {
	Kind     Kind      `pb:"1"`
	Call     uint64    `pb:"2"` // ties an answer to what it answers
	From     string    `pb:"3"` // of Ringing: the sender's address
	Epoch    uint64    `pb:"4"`
	Chain    []string  `pb:"5"`
	Registry []Machine `pb:"6"`
	Version  uint64    `pb:"7"`
	Config   *Packed   `pb:"8"`
	OK       bool      `pb:"9"`  // of Beat: whole; of News: fresh; of Confirmed: yes
	Ill      bool      `pb:"10"` // of Beat: the disk takes nothing, or the sender hears no majority
	Disk     bool      `pb:"11"` // of Hello: the sender has a disk
	List     *List     `pb:"12"`
	Members  []Machine `pb:"13"`
	Roster   uint64    `pb:"14"` // a digest of the members
	Tolls    []Toll    `pb:"15"`
	Wait     uint64    `pb:"17"` // of Poll: milliseconds
	Zone     string    `pb:"18"`
	Shut     []string  `pb:"19"` // of Grant: tenants that may spend only what they were given
	First    bool      `pb:"20"` // of Hello: the whole system starts for the first time
	Stamp    uint64    `pb:"21"` // of Promise: the epoch under which the configuration was accepted
	Past     []Taken   `pb:"22"` // the number itself, with what stands under it; of Relay: all that are new
	Outline  []byte    `pb:"39"` // of Prepare and Promise: of the text that the sender has
	Life     uint64    `pb:"40"` // of a question, and again of its answers: the life of the process that asked
	To       string    `pb:"41"` // of Ringing: the address that was dialled; empty: the answer to that
	Granted  uint64    `pb:"42"` // of Ask: the call whose grant was taken last; those since have been given up
	Beat     uint64    `pb:"45"` // of Beat: its number in the sender's life
	Echo     uint64    `pb:"46"` // of Beat: the receiver's last one that the sender had; of Poll: its last News
	Held     uint64    `pb:"47"` // and how long ago it had that, in milliseconds

	Generation uint64    `pb:"30"` // of the registry: the epoch of the view that installed it
	Former     []Machine `pb:"31"` // the registry before, until the change is known to be complete
	ID         uint64    `pb:"32"` // of the sender's store
	Joint      bool      `pb:"33"` // of Beat: a change of members is not known to be complete
	Leaving    bool      `pb:"34"` // of Beat: the sender was told to stop
	Add        string    `pb:"35"` // of Reform: the address of who is to be a member
	Remove     string    `pb:"36"` // of Reform: and of who no longer
	Text       string    `pb:"37"` // of Reformed: why not
	Spare      uint64    `pb:"38"` // of Reformed: how many members may be lost now
	Lacks      string    `pb:"48"` // of Reformed: why not all that may be lost at once can be now
	Removed    []Machine `pb:"53"` // with Registry: the members that staff have removed last
	Barred     bool      `pb:"54"` // of Hello: staff have removed the sender, and are to add it if anyone
	Misses     []string  `pb:"50"` // of Beat: members that the sender does not hear
	Quiet      bool      `pb:"51"` // of Beat: no machine outside the chain can have a lease of the sender
	Leavers    []string  `pb:"52"` // of Active: who has the view on disk, and leaves the core by it

	Parts []Part `pb:"60"` // of Poll: what is held of snapshots; of News: what they go on with
	Room  uint64 `pb:"61"` // of Poll: bytes of snapshots that the answer may have; 0: RoomFirst
	Base  uint64 `pb:"62"` // of Poll: a configuration that is held and not in force: changes of it will do

	Taken        *Packed `pb:"70"` // the numbers that were taken last, as EncodeTaken writes them
	TakenOutline []byte  `pb:"71"` // of Prepare and Promise: of those that the sender has
}

// Room that an answer has for snapshots, in bytes.
const (
	// RoomFirst is where the question doesn't say: on a link of a quarter of a megabyte a second it takes half
	// of the time that a first answer has.
	RoomFirst = 32 << 10
	RoomLeast = 4 << 10 // however slow the link is, and however many ask
	RoomMost  = 1 << 20
)

// Table is one of the things that are told as news, each with versions of its own.
type Table uint64

// The tables, in the order in which they are told.
const (
	ConfigTable Table = iota + 1
	ServerTable
	MemberTable
)

// Part is a run of bytes of a snapshot: the message that tells one table, encoded. A long snapshot is told
// in parts, which are asked for one after the other. It is named by its digest, so that a transfer goes on
// at any machine that has the same.
type Part struct {
	Table  Table  `pb:"1"`
	Digest uint64 `pb:"2"` // of the snapshot
	Size   uint64 `pb:"3"` // of all of it
	From   uint64 `pb:"4"` // of Poll: how much of it is held; of News: where Bytes belong
	Bytes  []byte `pb:"5"`
	Stale  bool   `pb:"6"` // of News: it is not the newest any more, and good as a base alone
	// Of a configuration: its number, and that of what it is a change of; 0: of none.
	Version uint64 `pb:"7"`
	Base    uint64 `pb:"8"`
}

// Questions are the kinds that ask, each with the kinds that answer it. An answer says again the call or the
// epoch of what it answers, and the life of the process that asked: a process that was started again counts
// its calls from the beginning, and is not told what an earlier one wanted to know.
var Questions = map[Kind][]Kind{
	Hello:   {Roll},
	Prepare: {Promise, Refuse},
	Install: {Installed},
	Put:     {Done, Conflict, Refuse},
	Read:    {Copy, Refuse},
	Confirm: {Confirmed},
	Poll:    {News},
	Ask:     {Grant},
	Pledge:  {Pledged},
	Draft:   {Drafted},
	Reform:  {Reformed, Refuse},
}

// answers are all that answer something.
var answers = func() map[Kind]bool {
	all := map[Kind]bool{}
	for _, kinds := range Questions {
		for _, k := range kinds {
			all[k] = true
		}
	}
	return all
}()

// Asks reports whether a message is a question.
func (m *Message) Asks() bool { return len(Questions[m.Kind]) > 0 }

// Answers reports whether a message answers a question. Done without a call is none: the tail of the chain
// tells it to the others.
func (m *Message) Answers() bool { return answers[m.Kind] && (m.Kind != Done || m.Call != 0) }

// Taken is a number of a configuration that was taken, and what it stands for.
type Taken struct {
	Version uint64 `pb:"1"`
	Digest  Sum    `pb:"2"` // of the text
}

// Machine is a machine of the system.
type Machine struct {
	Addr string `pb:"1"` // for the system's own processes
	Zone string `pb:"2"`
	Age  uint64 `pb:"3"` // milliseconds since its lease was renewed
	// ID is that of its store, made with it: another disk at the address is another member.
	ID uint64 `pb:"30"`
	// Seat gives a member epochs of its own. No two in a registry and the one before it have the same.
	Seat uint64 `pb:"31"`
}

// List is the list of servers, under the epoch of who read it and a number that rises within that.
type List struct {
	Epoch   uint64   `pb:"1"`
	Seq     uint64   `pb:"2"`
	Servers []Server `pb:"3"`
}

// Server is a server as the platform lists it.
type Server struct {
	ID       string `pb:"1"`
	Service  string `pb:"2"`
	Addr     string `pb:"3"`
	Zone     string `pb:"4"`
	Capacity uint64 `pb:"5"`
	Draining bool   `pb:"6"`
	Cold     uint64 `pb:"7"` // milliseconds for which it stays slow
}

// Toll is what is asked for, or given, of a tenant's tokens.
type Toll struct {
	Tenant string  `pb:"1"`
	Tokens float64 `pb:"2"`
	Spent  float64 `pb:"3"` // of Ask: tokens that were spent beyond what was given
}

// MaxFrame is the most bytes that a frame may have. A configuration is the largest thing that is sent.
const MaxFrame = 8 << 20

// Errors of decoding.
var (
	ErrFrame   = errors.New("signal: a frame is longer than any message")
	ErrMessage = errors.New("signal: not a message")
)

// Append writes a message behind buf, as a frame.
func Append(buf []byte, m *Message) []byte {
	at := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = Encode(buf, m)
	binary.BigEndian.PutUint32(buf[at:], uint32(len(buf)-at-4))
	return buf
}

// Cutter cuts what comes into messages.
type Cutter struct{ buf []byte }

// Feed takes bytes as they came.
func (c *Cutter) Feed(p []byte) { c.buf = append(c.buf, p...) }

// Next returns the next message, or nil if more bytes are needed. After an error the stream can't be read on.
func (c *Cutter) Next() (*Message, error) {
	if len(c.buf) < 4 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(c.buf))
	if n > MaxFrame {
		return nil, ErrFrame
	}
	if len(c.buf) < 4+n {
		return nil, nil
	}
	m := new(Message)
	if err := Decode(c.buf[4:4+n], m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if c.buf = c.buf[4+n:]; len(c.buf) == 0 {
		c.buf = nil
	}
	return m, nil
}
