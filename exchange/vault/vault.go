// Package vault keeps a frame's record on disk, in a pebble store. Saves are done in order by one goroutine,
// each synced before it is told as done.
package vault

import (
	"bytes"
	"errors"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"dunespoke/exchange/frame"
	"dunespoke/exchange/signal"
)

// closeWait is how long a store that nobody serves from may take to close.
const closeWait = 10 * time.Second

// Keys of the store.
var (
	keyRecord = []byte("record")
	keyConfig = []byte("config")
	keyPast   = []byte("past")
)

// stored is a record as it is written, without the configuration and the numbers taken, which stand under
// keys of their own.
type stored struct {
	Whole    bool             `pb:"1"`
	Registry []signal.Machine `pb:"2"`
	Promised uint64           `pb:"3"`
	Epoch    uint64           `pb:"4"`
	Chain    []string         `pb:"5"`
	Version  uint64           `pb:"6"`
	Pledged  uint64           `pb:"7"` // of a first start
	Ballot   uint64           `pb:"8"`
	Draft    []signal.Machine `pb:"9"`
	Stamp    uint64           `pb:"10"` // epoch under which the configuration was accepted

	ID         uint64           `pb:"30"` // of this store
	Generation uint64           `pb:"31"`
	Former     []signal.Machine `pb:"32"`
	Sure       bool             `pb:"33"` // of a first start: all that was promised in it is here
	Seeds      []string         `pb:"34"` // of it
}

type storedConfig struct {
	Version uint64 `pb:"1"`
	Config  []byte `pb:"2"`
}

type storedPast struct {
	Past []signal.Taken `pb:"1"`
}

// Vault is a store.
type Vault struct {
	db      *pebble.DB
	dir     string
	written frame.Content // as it is in the store
	jobs    chan job
	done    chan struct{}
}

type job struct {
	record frame.Record
	then   func(ok bool)
}

// quiet keeps pebble's own lines out of the log.
type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) { panic("vault: the store can't go on") }

// Open opens the store in a folder, and reads the record in it; an empty store gives the zero Record.
func Open(dir string) (*Vault, frame.Record, error) {
	opts := &pebble.Options{MemTableSize: 512 << 10, Cache: pebble.NewCache(512 << 10), MaxOpenFiles: 32,
		Logger: quiet{}, DisableAutomaticCompactions: false, WALBytesPerSync: 0}
	db, err := pebble.Open(filepath.Join(dir, "vault"), opts)
	if err != nil {
		return nil, frame.Record{}, trace.ConvertSystemError(err)
	}
	v := &Vault{db: db, dir: dir, jobs: make(chan job, 256), done: make(chan struct{})}
	r, err := v.read()
	if err != nil {
		db.Close()
		return nil, r, err
	}
	go v.run()
	return v, r, nil
}

func (v *Vault) get(key []byte, into any) error {
	b, closer, err := v.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	defer closer.Close()
	return trace.Wrap(signal.Decode(b, into))
}

func (v *Vault) read() (frame.Record, error) {
	var s stored
	var c storedConfig
	if err := v.get(keyRecord, &s); err != nil {
		return frame.Record{}, trace.Wrap(err, "record")
	}
	if err := v.get(keyConfig, &c); err != nil {
		return frame.Record{}, trace.Wrap(err, "configuration")
	}
	var p storedPast
	if err := v.get(keyPast, &p); err != nil {
		return frame.Record{}, trace.Wrap(err, "numbers taken")
	}
	v.written = frame.Content{Stamp: s.Stamp, Version: c.Version, Config: c.Config, Past: p.Past}
	return frame.Record{Whole: s.Whole, Registry: s.Registry, Promised: s.Promised, Epoch: s.Epoch,
		Chain: s.Chain, Content: v.written,
		ID: s.ID, Generation: s.Generation, Former: s.Former,
		Founding: frame.Founding{Sure: s.Sure, Seeds: s.Seeds, Pledged: s.Pledged, Ballot: s.Ballot,
			Draft: s.Draft}}, nil
}

// Save writes a record and syncs it, and then calls then, on the vault's goroutine. It does not block, unless
// hundreds of saves wait.
func (v *Vault) Save(r frame.Record, then func(ok bool)) { v.jobs <- job{r, then} }

func (v *Vault) run() {
	defer close(v.done)
	for j := range v.jobs {
		j.then(v.write(j.record) == nil)
	}
}

func (v *Vault) write(r frame.Record) error {
	b := v.db.NewBatch()
	defer b.Close()
	s := stored{Whole: r.Whole, Registry: r.Registry, Promised: r.Promised, Epoch: r.Epoch, Chain: r.Chain,
		Version: r.Version, Pledged: r.Founding.Pledged, Ballot: r.Founding.Ballot, Draft: r.Founding.Draft,
		Stamp: r.Stamp, ID: r.ID, Generation: r.Generation, Former: r.Former, Sure: r.Founding.Sure,
		Seeds: r.Founding.Seeds}
	if err := b.Set(keyRecord, signal.Encode(nil, &s), nil); err != nil {
		return trace.Wrap(err)
	}
	if r.Version != v.written.Version || !bytes.Equal(r.Config, v.written.Config) {
		c := storedConfig{r.Version, r.Config}
		if err := b.Set(keyConfig, signal.Encode(nil, &c), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	if !slices.EqualFunc(r.Past, v.written.Past, signal.Taken.Equal) {
		if err := b.Set(keyPast, signal.Encode(nil, &storedPast{r.Past}), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return trace.Wrap(err)
	}
	v.written = r.Content
	return nil
}

// Close ends the saves under way and closes the store. A disk that hangs is not waited for longer than the
// limit.
func (v *Vault) Close(limit time.Duration) error {
	close(v.jobs)
	select {
	case <-v.done:
		return trace.Wrap(v.db.Close())
	case <-time.After(limit):
		return trace.LimitExceeded("vault: the disk does not answer")
	}
}
