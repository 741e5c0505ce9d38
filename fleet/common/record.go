// Package common keeps a small record that a fleet of ingresses decides in common: each change is agreed by a
// majority of a few voters, the rest follow. It has no I/O and no clock: whoever holds a Machine tells it the
// time, hands it messages and carries its messages on.
package common

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Bounds of the record. Its whole goes by one message to a member that has none of it.
const (
	valueMost = 256 << 10 // bytes of one value
	keysMost  = 64
	donesMost = 16 // ids of changes that are remembered, so that one that is sent twice counts once
)

// Change is a proposal: to give a key a value, if nobody has changed it since the proposer looked.
type Change struct {
	ID    string          `json:"id"`            // unlike all others
	Key   string          `json:"key"`           // as in "zones"
	Base  uint64          `json:"base"`          // the epoch of the key's value that the proposer knew; 0: none
	Value json.RawMessage `json:"value"`         // null takes the key away
	By    string          `json:"by"`            // who proposes it
	Why   string          `json:"why,omitempty"` // a line for staff
	At    int64           `json:"at"`            // Unix milliseconds, by the proposer's clock
}

// Entry is a value with the change that made it.
type Entry struct {
	Epoch uint64          `json:"epoch"`
	Value json.RawMessage `json:"value"`
	By    string          `json:"by"`
	Why   string          `json:"why,omitempty"`
	At    int64           `json:"at"`
}

// Done tells how a change ended.
type Done struct {
	ID      string `json:"id"`
	Refused string `json:"refused,omitempty"` // why; empty: it was taken
}

// Record is what is agreed. Of two records the one of the later generation counts, then of the later epoch.
type Record struct {
	Generation uint64           `json:"generation"` // of the group of voters; it grows when a new one is founded
	Epoch      uint64           `json:"epoch"`      // changes so far, over all generations
	Entries    map[string]Entry `json:"entries,omitempty"`
	Dones      []Done           `json:"dones,omitempty"`
}

// Newer reports whether r counts over o.
func (r *Record) Newer(o *Record) bool {
	return r.Generation > o.Generation || r.Generation == o.Generation && r.Epoch > o.Epoch
}

// Done tells how a change ended, if it has.
func (r *Record) Done(id string) (Done, bool) {
	i := slices.IndexFunc(r.Dones, func(d Done) bool { return d.ID == id })
	if i < 0 {
		return Done{}, false
	}
	return r.Dones[i], true
}

// with returns the record after a change. It is the same at all voters.
func (r *Record) with(c Change) *Record {
	if _, again := r.Done(c.ID); again {
		return r
	}
	next := &Record{Generation: r.Generation, Epoch: r.Epoch + 1, Entries: map[string]Entry{}}
	for key, e := range r.Entries {
		next.Entries[key] = e
	}
	done := Done{ID: c.ID, Refused: r.refuses(c)}
	if done.Refused == "" {
		if len(c.Value) == 0 || string(c.Value) == "null" {
			delete(next.Entries, c.Key)
		} else {
			next.Entries[c.Key] = Entry{next.Epoch, c.Value, c.By, c.Why, c.At}
		}
	}
	next.Dones = append(slices.Clone(r.Dones[max(0, len(r.Dones)-donesMost+1):]), done)
	return next
}

func (r *Record) refuses(c Change) string {
	_, known := r.Entries[c.Key]
	switch at := r.Entries[c.Key].Epoch; {
	case c.Key == "" || c.ID == "":
		return "it has no key or no id"
	case at != c.Base:
		return fmt.Sprintf("%s was changed meanwhile, in epoch %d", c.Key, at)
	case len(c.Value) > valueMost:
		return fmt.Sprintf("its value has %d bytes, %d at most", len(c.Value), valueMost)
	case !known && len(r.Entries) >= keysMost:
		return fmt.Sprintf("there are %d keys", keysMost)
	}
	return ""
}
