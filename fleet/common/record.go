// Package common replicates a small record among the ingresses of a fleet. Each change is committed by a
// majority of a few voters with Raft; the other members follow the leader. The package does no I/O and
// reads no clock: the owner of a Machine passes it the time and the received messages, and sends the
// messages that it returns.
package common

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Limits of the record. The whole record is sent in one message to a member that lacks it.
const (
	maxValueBytes = 256 << 10
	maxKeys       = 64
	maxDones      = 16 // results kept, so that a change sent twice is applied once
)

// Change is a proposal to set the value of a key, unless the key has changed since the proposer read it.
type Change struct {
	ID    string          `json:"id"`            // unique
	Key   string          `json:"key"`           // such as "zones"
	Base  uint64          `json:"base"`          // epoch of the value that the proposer read; 0: absent
	Value json.RawMessage `json:"value"`         // null deletes the key
	By    string          `json:"by"`            // name of the proposer
	Why   string          `json:"why,omitempty"` // one line for operators
	At    int64           `json:"at"`            // Unix milliseconds of the proposer's clock
}

// Entry is a value with the details of the change that set it.
type Entry struct {
	Epoch uint64          `json:"epoch"`
	Value json.RawMessage `json:"value"`
	By    string          `json:"by"`
	Why   string          `json:"why,omitempty"`
	At    int64           `json:"at"`
}

// Done is the result of a change.
type Done struct {
	ID      string `json:"id"`
	Refused string `json:"refused,omitempty"` // reason; empty if the change was applied
}

// Record is the replicated state. Of two records, the one of the later generation is newer, then the one of
// the later epoch.
type Record struct {
	Generation uint64           `json:"generation"` // of the group of voters; each new group has a higher one
	Epoch      uint64           `json:"epoch"`      // number of changes so far, over all generations
	Entries    map[string]Entry `json:"entries,omitempty"`
	Dones      []Done           `json:"dones,omitempty"`
}

// Newer reports whether r is newer than o.
func (r *Record) Newer(o *Record) bool {
	return r.Generation > o.Generation || r.Generation == o.Generation && r.Epoch > o.Epoch
}

// Done returns the result of a change, and whether it is known. Only the latest maxDones results are kept.
func (r *Record) Done(id string) (Done, bool) {
	i := slices.IndexFunc(r.Dones, func(d Done) bool { return d.ID == id })
	if i < 0 {
		return Done{}, false
	}
	return r.Dones[i], true
}

// withChange returns the record after a change. It is deterministic: all voters must compute the same
// record, including the texts of refusalReason. A refused change advances the epoch too; a change whose
// result is already in the record changes nothing.
func (r *Record) withChange(c Change) *Record {
	if _, again := r.Done(c.ID); again {
		return r
	}
	next := &Record{Generation: r.Generation, Epoch: r.Epoch + 1, Entries: map[string]Entry{}}
	for key, e := range r.Entries {
		next.Entries[key] = e
	}
	done := Done{ID: c.ID, Refused: r.refusalReason(c)}
	if done.Refused == "" {
		if len(c.Value) == 0 || string(c.Value) == "null" {
			delete(next.Entries, c.Key)
		} else {
			next.Entries[c.Key] = Entry{next.Epoch, c.Value, c.By, c.Why, c.At}
		}
	}
	next.Dones = append(slices.Clone(r.Dones[max(0, len(r.Dones)-maxDones+1):]), done)
	return next
}

// refusalReason returns why a change is refused, or "" if it is applied. The texts are stored in the
// replicated record, so all versions must use the same ones.
func (r *Record) refusalReason(c Change) string {
	_, known := r.Entries[c.Key]
	switch at := r.Entries[c.Key].Epoch; {
	case c.Key == "" || c.ID == "":
		return "it has no key or no id"
	case at != c.Base:
		return fmt.Sprintf("%s was changed meanwhile, in epoch %d", c.Key, at)
	case len(c.Value) > maxValueBytes:
		return fmt.Sprintf("its value has %d bytes, %d at most", len(c.Value), maxValueBytes)
	case !known && len(r.Entries) >= maxKeys:
		return fmt.Sprintf("there are %d keys", maxKeys)
	}
	return ""
}
