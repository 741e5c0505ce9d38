package storage

import (
	"bytes"
	"errors"
	"io/fs"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// ErrDamaged tells of a store that is not as it was written.
var ErrDamaged = errors.New("vault: the store is not as it was written")

// Errors of a disk.
var (
	errRefused = errors.New("vault: the disk refuses a change; it is tried again")
	errBroken  = errors.New("vault: the store can't go on")
)

// Keys of the store. The head tells the digests of two lists, and each list those of its parts, so that what
// is read is what was written together, or is told as damaged.
var (
	keyHead     = []byte("head") // the digest of what follows, and a head
	configText  = partedText{[]byte("ranges"), "range/", message.Ranges}
	numbersText = partedText{[]byte("numbers"), "chunk/", message.TakenChunks}

	// Of earlier forms: the numbers taken as a whole; and before that a head without digests, and the
	// configuration.
	keyPast          = []byte("past")
	keyEarlier       = []byte("record")
	keyEarlierConfig = []byte("config")
)

// partedText is a text that the store keeps in parts under their digests, so that a change writes the parts
// that are new.
type partedText struct {
	list []byte // key of the digests of its parts, in order
	part string // and of a part, before its digest
	cut  message.Cut
}

func (t *partedText) key(sum []byte) []byte { return append([]byte(t.part), sum...) }

// head is a record as it is written, without the configuration and the numbers taken.
type head struct {
	Whole    bool              `pb:"1"`
	Registry []message.Machine `pb:"2"`
	Promised uint64            `pb:"3"`
	Epoch    uint64            `pb:"4"`
	Chain    []string          `pb:"5"`
	Version  uint64            `pb:"6"`
	Pledged  uint64            `pb:"7"` // of a first start
	Ballot   uint64            `pb:"8"`
	Draft    []message.Machine `pb:"9"`
	Stamp    uint64            `pb:"10"` // epoch under which the configuration was accepted
	Ranges   []byte            `pb:"11"` // digest of the list of ranges
	Past     []byte            `pb:"12"` // of an earlier form: digest of the numbers taken
	Numbers  []byte            `pb:"13"` // digest of the list of their chunks

	ID         uint64            `pb:"30"` // of this store
	Generation uint64            `pb:"31"`
	Former     []message.Machine `pb:"32"`
	Removed    []message.Machine `pb:"35"`
	Barred     bool              `pb:"36"`
	Sure       bool              `pb:"33"` // of a first start: all that was promised in it is here
	Seeds      []string          `pb:"34"` // of it
}

// record is the record of a head, with what it holds.
func (h *head) record(c replica.Content) replica.Record {
	return replica.Record{Whole: h.Whole, Registry: h.Registry, Promised: h.Promised, Epoch: h.Epoch,
		Chain: h.Chain, Content: c, ID: h.ID, Generation: h.Generation, Former: h.Former,
		Removed: h.Removed, Barred: h.Barred,
		Founding: replica.Founding{Sure: h.Sure, Seeds: h.Seeds, Pledged: h.Pledged, Ballot: h.Ballot,
			Draft: h.Draft}}
}

type earlierConfig struct {
	Version uint64 `pb:"1"`
	Config  []byte `pb:"2"`
}

type earlierPast struct {
	Past []message.Taken `pb:"1"`
}

// ways are how a store gets at its disk.
type ways struct {
	fs    vfs.FS
	pause func() // until a change that was refused is tried again
	now   func() time.Time
	// memory is how many bytes of changes are held before they become a table.
	memory uint64
	commit func(db *pebble.DB, b *pebble.Batch) error // writes all of a batch or nothing, and syncs it
	same   func(sum message.Sum, text []byte) bool    // holds what was read to its digest
	guard  func(s *store, o *pebble.Options)          // keeps errors of the disk from ending the process
}

// onDisk are the ways of the program.
var onDisk = ways{
	fs:     vfs.Default,
	pause:  func() { time.Sleep(100 * time.Millisecond) },
	now:    time.Now,
	memory: 512 << 10,
	commit: func(db *pebble.DB, b *pebble.Batch) error { return db.Apply(b, pebble.Sync) },
	same:   func(sum message.Sum, text []byte) bool { return message.SumOf(text) == sum },
	guard:  fenced,
}

// fenced tells pebble none of the disk's errors, and holds its word for the process's end back.
func fenced(s *store, o *pebble.Options) {
	o.FS, o.Logger = watched{s.fs, s.fence.around}, quiet{s}
}

// store is a pebble store, from its opening to the first error of the disk that can't be made up for.
type store struct {
	ways
	db     *pebble.DB
	fence  fence
	once   sync.Once
	broken chan struct{} // closed once the store can't go on
	ruined atomic.Bool   // what is on the disk is not what was written
	task   chan error    // what is under way ends here; nil: nothing

	found   replica.Record                  // when it was opened, until it is asked for
	content atomic.Pointer[replica.Content] // as it is in the store; nil: not known
	ranges  []byte                          // the lists there
	chunks  []byte
	earlier [][]byte // keys of earlier forms, until the first save
}

// openStore opens the store at a path, and reads the record in it. With errRefused the store comes too, and
// is being opened yet: see wait.
func openStore(path string, w ways, readOnly bool) (*store, error) {
	s := &store{ways: w, broken: make(chan struct{})}
	s.fence = fence{refused: make(chan struct{}, 1), broken: s.breaks, pause: w.pause}
	return s, s.do(func() (err error) {
		if s.db, err = pebble.Open(path, s.options(readOnly)); err != nil {
			return err
		}
		if s.found, err = s.read(); err != nil {
			s.db.Close()
		}
		return err
	})
}

func (s *store) options(readOnly bool) *pebble.Options {
	o := &pebble.Options{ReadOnly: readOnly, MemTableSize: s.memory, CacheSize: 512 << 10, MaxOpenFiles: 32,
		EventListener: &pebble.EventListener{
			BackgroundError: func(error) { s.breaks() },
			DataCorruption: func(pebble.DataCorruptionInfo) {
				s.ruined.Store(true)
				s.breaks()
			},
		}}
	s.guard(s, o)
	return o
}

// quiet keeps pebble's own lines out of the log, and the process alive.
type quiet struct{ s *store }

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}

// Fatalf must not return.
func (q quiet) Fatalf(string, ...any) {
	q.s.breaks()
	select {}
}

// breaks notes that the store can't go on.
func (s *store) breaks() { s.once.Do(func() { close(s.broken) }) }

// do calls pebble, which may panic, and waits. Nothing may be under way.
func (s *store) do(f func() error) error {
	task := make(chan error, 1)
	s.task = task
	go func() {
		err := errBroken
		defer func() {
			if p := recover(); p != nil {
				err = trace.Wrap(errBroken, "%v", p)
			}
			task <- err
		}()
		err = f()
	}()
	return s.wait()
}

// wait waits for what is under way, if anything is. It returns errRefused if the disk refuses a change
// meanwhile; the task goes on, and ends once the disk is well.
func (s *store) wait() error {
	if s.task == nil {
		return nil
	}
	select {
	case <-s.fence.refused: // of before
	default:
	}
	select {
	case err := <-s.task:
		s.task = nil
		return err
	case <-s.fence.refused:
		return errRefused
	case <-s.broken:
		if s.ruined.Load() {
			return trace.Wrap(ErrDamaged, "a table")
		}
		return errBroken
	}
}

// record returns what was found at the opening, once.
func (s *store) record() replica.Record {
	r := s.found
	s.found = replica.Record{}
	return r
}

// giveUp keeps the store off the disk, and lets go of what it held.
func (s *store) giveUp() {
	s.fence.shut()
	s.content.Store(nil)
}

// damaged reports whether an error tells that what is on the disk is not what was written there, as opposed
// to a disk that can't be read or written now.
func damaged(err error) bool {
	return err != nil && (errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) ||
		errors.Is(err, fs.ErrNotExist) || strings.Contains(err.Error(), "object size mismatch"))
}

func (s *store) get(key []byte) ([]byte, error) {
	b, closer, err := s.db.Get(key)
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	return bytes.Clone(b), nil
}

// part reads what is under a key, and holds it to its digest.
func (s *store) part(key []byte, sum []byte) ([]byte, error) {
	b, err := s.get(key)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
		return nil, trace.Wrap(ErrDamaged, "%x is missing", key)
	case err != nil:
		return nil, err
	case len(sum) != len(message.Sum{}) || !s.same(message.Sum(sum), b):
		return nil, trace.Wrap(ErrDamaged, "%x has another digest", key)
	}
	return b, nil
}

// read reads the record; the zero one from an empty store.
func (s *store) read() (replica.Record, error) {
	b, err := s.get(keyHead)
	if errors.Is(err, pebble.ErrNotFound) {
		return s.readEarlier()
	}
	if err != nil {
		return replica.Record{}, err
	}
	const size = len(message.Sum{})
	var h head
	if len(b) < size || !s.same(message.Sum(b[:size]), b[size:]) || message.Decode(b[size:], &h) != nil {
		return replica.Record{}, trace.Wrap(ErrDamaged, "the head has another digest")
	}
	var c replica.Content
	if c.Config, s.ranges, err = s.readText(&configText, h.Ranges); err != nil {
		return replica.Record{}, err
	}
	if c.Past, err = s.readNumbers(&h); err != nil {
		return replica.Record{}, err
	}
	c.Stamp, c.Version = h.Stamp, h.Version
	s.content.Store(&c)
	return h.record(c), nil
}

// readText reads a text and the list of its parts.
func (s *store) readText(t *partedText, sum []byte) (whole, list []byte, err error) {
	if list, err = s.part(t.list, sum); err != nil {
		return nil, nil, err
	}
	for sum := range slices.Chunk(list, len(message.Sum{})) {
		part, err := s.part(t.key(sum), sum)
		if err != nil {
			return nil, nil, err
		}
		whole = append(whole, part...)
	}
	return slices.Clip(whole), list, nil
}

// readNumbers reads the numbers taken. Those of the earlier form are written anew with the first save.
func (s *store) readNumbers(h *head) (past []message.Taken, err error) {
	if len(h.Numbers) == 0 {
		var p earlierPast
		b, err := s.part(keyPast, h.Past)
		if err == nil && message.Decode(b, &p) != nil {
			err = trace.Wrap(ErrDamaged, "the numbers taken")
		}
		s.earlier = append(s.earlier, keyPast)
		return p.Past, err
	}
	b, chunks, err := s.readText(&numbersText, h.Numbers)
	if err != nil {
		return nil, err
	}
	s.chunks = chunks
	if past, err = message.DecodeTaken(b); err != nil {
		err = trace.Wrap(ErrDamaged, "the numbers taken")
	}
	return past, err
}

// readEarlier reads a record of the earlier form; the zero one from an empty store. The first save writes all
// of it anew.
func (s *store) readEarlier() (replica.Record, error) {
	var h head
	var c earlierConfig
	for key, into := range map[*[]byte]any{&keyEarlier: &h, &keyEarlierConfig: &c} {
		b, err := s.get(*key)
		switch {
		case errors.Is(err, pebble.ErrNotFound):
			continue
		case err != nil:
			return replica.Record{}, err
		case message.Decode(b, into) != nil:
			return replica.Record{}, trace.Wrap(ErrDamaged, "%s can't be read", *key)
		}
		s.earlier = append(s.earlier, *key)
	}
	return h.record(replica.Content{Version: c.Version, Config: c.Config}), nil
}

// write writes a record and syncs it: what differs from the one that is there, in one batch. After an error
// it is unknown whether the record is there; unless that is errRefused, the store is to be given up.
func (s *store) write(r replica.Record) error { return s.do(func() error { return s.change(r) }) }

func (s *store) change(r replica.Record) error {
	b := s.db.NewBatch()
	defer b.Close()
	var failed error
	set := func(key, value []byte) { failed = errors.Join(failed, b.Set(key, value, nil)) }
	ranges, chunks, there := s.ranges, s.chunks, s.content.Load()
	if there == nil || !bytes.Equal(r.Config, there.Config) {
		ranges = setText(b, &configText, r.Config, s.ranges, set)
	}
	if there == nil || len(s.earlier) > 0 || !slices.Equal(r.Past, there.Past) {
		chunks = setText(b, &numbersText, message.EncodeTaken(r.Past), s.chunks, set)
	}
	for _, key := range s.earlier {
		b.Delete(key, nil)
	}
	rangesSum, chunksSum := message.SumOf(ranges), message.SumOf(chunks)
	text := message.Encode(
		nil,
		&head{Whole: r.Whole, Registry: r.Registry, Promised: r.Promised, Epoch: r.Epoch,
			Chain: r.Chain, Version: r.Version, Pledged: r.Founding.Pledged, Ballot: r.Founding.Ballot,
			Draft: r.Founding.Draft, Stamp: r.Stamp, Ranges: rangesSum[:], Numbers: chunksSum[:],
			ID: r.ID, Generation: r.Generation, Former: r.Former, Removed: r.Removed, Barred: r.Barred,
			Sure: r.Founding.Sure, Seeds: r.Founding.Seeds},
	)
	sum := message.SumOf(text)
	set(keyHead, append(sum[:], text...))
	if failed != nil {
		return trace.Wrap(failed)
	}
	if err := s.commit(s.db, b); err != nil {
		return trace.Wrap(err)
	}
	s.content.Store(&r.Content)
	s.ranges, s.chunks, s.earlier = ranges, chunks, nil
	return nil
}

// setText writes the parts of a text that are not there, removes those that it has no more, and returns the
// list of its parts.
func setText(b *pebble.Batch, t *partedText, now, before []byte, set func(key, value []byte)) []byte {
	gone := map[string]bool{}
	for sum := range slices.Chunk(before, len(message.Sum{})) {
		gone[string(sum)] = true
	}
	list, there := []byte{}, map[string]bool{}
	t.cut(now, func(part []byte) {
		sum := message.SumOf(part)
		list = append(list, sum[:]...)
		key := string(sum[:])
		if !gone[key] && !there[key] {
			set(t.key(sum[:]), part)
		}
		there[key] = true
	})
	for sum := range gone {
		if !there[sum] {
			b.Delete(t.key([]byte(sum)), nil)
		}
	}
	set(t.list, list)
	return list
}

// close closes the store.
func (s *store) close() error { return s.do(s.db.Close) }
