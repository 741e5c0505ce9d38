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
	errWriteRefused = errors.New("vault: the disk refuses a change; it is tried again")
	errStoreFailed  = errors.New("vault: the store can't go on")
)

// Keys of the store. The head tells the digests of two lists, and each list those of its parts, so that what
// is read is what was written together, or is told as damaged.
var (
	keyState              = []byte("head") // the digest of what follows, and a head
	configValue           = chunkedValue{[]byte("ranges"), "range/", message.ConfigChunks}
	acceptedVersionsValue = chunkedValue{[]byte("numbers"), "chunk/", message.AcceptedVersionChunks}

	// Of earlier forms: the numbers taken as a whole; and before that a head without digests, and the
	// configuration.
	keyLegacyAcceptedVersions = []byte("past")
	keyLegacyState            = []byte("record")
	keyLegacyConfig           = []byte("config")
)

// chunkedValue is a text that the store keeps in parts under their digests, so that a change writes the parts
// that are new.
type chunkedValue struct {
	indexKey    []byte // key of the digests of its parts, in order
	chunkPrefix string // and of a part, before its digest
	chunker     message.Chunker
}

func (t *chunkedValue) chunkKey(sum []byte) []byte { return append([]byte(t.chunkPrefix), sum...) }

// storedState is a record as it is written, without the configuration and the numbers taken.
type storedState struct {
	CaughtUp               bool           `pb:"1"`
	Members                []message.Node `pb:"2"`
	PromisedEpoch          uint64         `pb:"3"`
	Epoch                  uint64         `pb:"4"`
	Chain                  []string       `pb:"5"`
	Version                uint64         `pb:"6"`
	PromisedBallot         uint64         `pb:"7"` // of a first start
	AcceptedBallot         uint64         `pb:"8"`
	AcceptedMembers        []message.Node `pb:"9"`
	AcceptedEpoch          uint64         `pb:"10"` // epoch under which the configuration was accepted
	ConfigIndex            []byte         `pb:"11"` // digest of the list of ranges
	LegacyAcceptedVersions []byte         `pb:"12"` // of an earlier form: digest of the numbers taken
	AcceptedVersionsIndex  []byte         `pb:"13"` // digest of the list of their chunks

	StoreID           uint64         `pb:"30"` // of this store
	MembershipEpoch   uint64         `pb:"31"`
	OutgoingMembers   []message.Node `pb:"32"`
	RemovedMembers    []message.Node `pb:"35"`
	RemovedByOperator bool           `pb:"36"`
	BootstrapTrusted  bool           `pb:"33"` // of a first start: all that was promised in it is here
	Seeds             []string       `pb:"34"` // of it
}

// persistentState is the record of a head, with what it holds.
func (h *storedState) persistentState(c replica.Value) replica.PersistentState {
	return replica.PersistentState{
		CaughtUp:          h.CaughtUp,
		Members:           h.Members,
		PromisedEpoch:     h.PromisedEpoch,
		Epoch:             h.Epoch,
		Chain:             h.Chain,
		Value:             c,
		StoreID:           h.StoreID,
		MembershipEpoch:   h.MembershipEpoch,
		OutgoingMembers:   h.OutgoingMembers,
		RemovedMembers:    h.RemovedMembers,
		RemovedByOperator: h.RemovedByOperator,
		Bootstrap: replica.BootstrapState{
			Trusted:         h.BootstrapTrusted,
			Seeds:           h.Seeds,
			PromisedBallot:  h.PromisedBallot,
			AcceptedBallot:  h.AcceptedBallot,
			AcceptedMembers: h.AcceptedMembers,
		},
	}
}

type legacyConfig struct {
	Version uint64 `pb:"1"`
	Config  []byte `pb:"2"`
}

type legacyAcceptedVersions struct {
	Past []message.AcceptedVersion `pb:"1"`
}

// environment are how a store gets at its disk.
type environment struct {
	fs         vfs.FS
	retryDelay func() // until a change that was refused is tried again
	now        func() time.Time
	// memTableSize is how many bytes of changes are held before they become a table.
	memTableSize uint64
	commit       func(db *pebble.DB, b *pebble.Batch) error // writes all of a batch or nothing, and syncs it
	verify       func(sum message.Digest, text []byte) bool // holds what was read to its digest
	// keeps errors of the disk from ending the process
	guard func(s *pebbleStore, o *pebble.Options)
}

// diskEnvironment are the ways of the program.
var diskEnvironment = environment{
	fs:           vfs.Default,
	retryDelay:   func() { time.Sleep(100 * time.Millisecond) },
	now:          time.Now,
	memTableSize: 512 << 10,
	commit:       func(db *pebble.DB, b *pebble.Batch) error { return db.Apply(b, pebble.Sync) },
	verify:       func(sum message.Digest, text []byte) bool { return message.DigestOf(text) == sum },
	guard:        guardPebble,
}

// guardPebble tells pebble none of the disk's errors, and holds its word for the process's end back.
func guardPebble(p *pebbleStore, o *pebble.Options) {
	o.FS, o.Logger = interceptedFS{p.fs, p.fence.intercept}, quietLogger{p}
}

// pebbleStore is a pebble store, from its opening to the first error of the disk that can't be made up for.
type pebbleStore struct {
	environment
	db        *pebble.DB
	fence     diskGuard
	once      sync.Once
	failed    chan struct{} // closed once the store can't go on
	corrupted atomic.Bool   // what is on the disk is not what was written
	running   chan error    // what is under way ends here; nil: nothing

	initial       replica.PersistentState       // when it was opened, until it is asked for
	stored        atomic.Pointer[replica.Value] // as it is in the store; nil: not known
	configIndex   []byte                        // the lists there
	acceptedIndex []byte
	legacyKeys    [][]byte // keys of earlier forms, until the first save
}

// openPebble opens the store at a path, and reads the record in it. With errRefused the store comes too, and
// is being opened yet: see wait.
func openPebble(path string, w environment, readOnly bool) (*pebbleStore, error) {
	p := &pebbleStore{environment: w, failed: make(chan struct{})}
	p.fence = diskGuard{writeRefused: make(chan struct{}, 1), onFailure: p.fail, waitRetry: w.retryDelay}
	return p, p.do(func() (err error) {
		if p.db, err = pebble.Open(path, p.options(readOnly)); err != nil {
			return err
		}
		if p.initial, err = p.read(); err != nil {
			p.db.Close()
		}
		return err
	})
}

func (p *pebbleStore) options(readOnly bool) *pebble.Options {
	o := &pebble.Options{
		ReadOnly:     readOnly,
		MemTableSize: p.memTableSize,
		CacheSize:    512 << 10,
		MaxOpenFiles: 32,
		EventListener: &pebble.EventListener{
			BackgroundError: func(error) { p.fail() },
			DataCorruption: func(pebble.DataCorruptionInfo) {
				p.corrupted.Store(true)
				p.fail()
			},
		},
	}
	p.guard(p, o)
	return o
}

// quietLogger keeps pebble's own lines out of the log, and the process alive.
type quietLogger struct{ store *pebbleStore }

func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}

// Fatalf must not return.
func (q quietLogger) Fatalf(string, ...any) {
	q.store.fail()
	select {}
}

// fail notes that the store can't go on.
func (p *pebbleStore) fail() { p.once.Do(func() { close(p.failed) }) }

// do calls pebble, which may panic, and waits. Nothing may be under way.
func (p *pebbleStore) do(f func() error) error {
	task := make(chan error, 1)
	p.running = task
	go func() {
		err := errStoreFailed
		defer func() {
			if panicked := recover(); panicked != nil {
				err = trace.Wrap(errStoreFailed, "%v", panicked)
			}
			task <- err
		}()
		err = f()
	}()
	return p.wait()
}

// wait waits for what is under way, if anything is. It returns errRefused if the disk refuses a change
// meanwhile; the task goes on, and ends once the disk is well.
func (p *pebbleStore) wait() error {
	if p.running == nil {
		return nil
	}
	select {
	case <-p.fence.writeRefused: // of before
	default:
	}
	select {
	case err := <-p.running:
		p.running = nil
		return err
	case <-p.fence.writeRefused:
		return errWriteRefused
	case <-p.failed:
		if p.corrupted.Load() {
			return trace.Wrap(ErrDamaged, "a table")
		}
		return errStoreFailed
	}
}

// takeInitial returns what was found at the opening, once.
func (p *pebbleStore) takeInitial() replica.PersistentState {
	r := p.initial
	p.initial = replica.PersistentState{}
	return r
}

// giveUp keeps the store off the disk, and lets go of what it held.
func (p *pebbleStore) giveUp() {
	p.fence.shut()
	p.stored.Store(nil)
}

// isDamage reports whether an error tells that what is on the disk is not what was written there, as opposed
// to a disk that can't be read or written now.
func isDamage(err error) bool {
	return err != nil && (errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) ||
		errors.Is(err, fs.ErrNotExist) || strings.Contains(err.Error(), "object size mismatch"))
}

func (p *pebbleStore) get(key []byte) ([]byte, error) {
	b, closer, err := p.db.Get(key)
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	return bytes.Clone(b), nil
}

// getVerified reads what is under a key, and holds it to its digest.
func (p *pebbleStore) getVerified(key []byte, sum []byte) ([]byte, error) {
	b, err := p.get(key)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
		return nil, trace.Wrap(ErrDamaged, "%x is missing", key)
	case err != nil:
		return nil, err
	case len(sum) != len(message.Digest{}) || !p.verify(message.Digest(sum), b):
		return nil, trace.Wrap(ErrDamaged, "%x has another digest", key)
	}
	return b, nil
}

// read reads the record; the zero one from an empty store.
func (p *pebbleStore) read() (replica.PersistentState, error) {
	b, err := p.get(keyState)
	if errors.Is(err, pebble.ErrNotFound) {
		return p.readLegacy()
	}
	if err != nil {
		return replica.PersistentState{}, err
	}
	const size = len(message.Digest{})
	var h storedState
	if len(b) < size || !p.verify(message.Digest(b[:size]), b[size:]) || message.Unmarshal(b[size:], &h) != nil {
		return replica.PersistentState{}, trace.Wrap(ErrDamaged, "the head has another digest")
	}
	var c replica.Value
	if c.Config, p.configIndex, err = p.readChunked(&configValue, h.ConfigIndex); err != nil {
		return replica.PersistentState{}, err
	}
	if c.AcceptedVersions, err = p.readAcceptedVersions(&h); err != nil {
		return replica.PersistentState{}, err
	}
	c.AcceptedEpoch, c.Version = h.AcceptedEpoch, h.Version
	p.stored.Store(&c)
	return h.persistentState(c), nil
}

// readChunked reads a text and the list of its parts.
func (p *pebbleStore) readChunked(t *chunkedValue, sum []byte) (whole, list []byte, err error) {
	if list, err = p.getVerified(t.indexKey, sum); err != nil {
		return nil, nil, err
	}
	for sum := range slices.Chunk(list, len(message.Digest{})) {
		part, err := p.getVerified(t.chunkKey(sum), sum)
		if err != nil {
			return nil, nil, err
		}
		whole = append(whole, part...)
	}
	return slices.Clip(whole), list, nil
}

// readAcceptedVersions reads the numbers taken. Those of the earlier form are written anew with the first
// save.
func (p *pebbleStore) readAcceptedVersions(h *storedState) (past []message.AcceptedVersion, err error) {
	if len(h.AcceptedVersionsIndex) == 0 {
		var legacy legacyAcceptedVersions
		b, err := p.getVerified(keyLegacyAcceptedVersions, h.LegacyAcceptedVersions)
		if err == nil && message.Unmarshal(b, &legacy) != nil {
			err = trace.Wrap(ErrDamaged, "the numbers taken")
		}
		p.legacyKeys = append(p.legacyKeys, keyLegacyAcceptedVersions)
		return legacy.Past, err
	}
	b, chunks, err := p.readChunked(&acceptedVersionsValue, h.AcceptedVersionsIndex)
	if err != nil {
		return nil, err
	}
	p.acceptedIndex = chunks
	if past, err = message.DecodeAcceptedVersions(b); err != nil {
		err = trace.Wrap(ErrDamaged, "the numbers taken")
	}
	return past, err
}

// readLegacy reads a record of the earlier form; the zero one from an empty store. The first save writes all
// of it anew.
func (p *pebbleStore) readLegacy() (replica.PersistentState, error) {
	var h storedState
	var c legacyConfig
	for key, into := range map[*[]byte]any{&keyLegacyState: &h, &keyLegacyConfig: &c} {
		b, err := p.get(*key)
		switch {
		case errors.Is(err, pebble.ErrNotFound):
			continue
		case err != nil:
			return replica.PersistentState{}, err
		case message.Unmarshal(b, into) != nil:
			return replica.PersistentState{}, trace.Wrap(ErrDamaged, "%s can't be read", *key)
		}
		p.legacyKeys = append(p.legacyKeys, *key)
	}
	return h.persistentState(replica.Value{Version: c.Version, Config: c.Config}), nil
}

// write writes a record and syncs it: what differs from the one that is there, in one batch. After an error
// it is unknown whether the record is there; unless that is errRefused, the store is to be given up.
func (p *pebbleStore) write(r replica.PersistentState) error {
	return p.do(func() error { return p.commitState(r) })
}

func (p *pebbleStore) commitState(r replica.PersistentState) error {
	b := p.db.NewBatch()
	defer b.Close()
	var failed error
	set := func(key, value []byte) { failed = errors.Join(failed, b.Set(key, value, nil)) }
	ranges, chunks, there := p.configIndex, p.acceptedIndex, p.stored.Load()
	if there == nil || !bytes.Equal(r.Config, there.Config) {
		ranges = writeChunked(b, &configValue, r.Config, p.configIndex, set)
	}
	if there == nil || len(p.legacyKeys) > 0 || !slices.Equal(r.AcceptedVersions, there.AcceptedVersions) {
		chunks = writeChunked(
			b,
			&acceptedVersionsValue,
			message.EncodeAcceptedVersions(r.AcceptedVersions),
			p.acceptedIndex,
			set,
		)
	}
	for _, key := range p.legacyKeys {
		b.Delete(key, nil)
	}
	rangesSum, chunksSum := message.DigestOf(ranges), message.DigestOf(chunks)
	text := message.MarshalAppend(
		nil,
		&storedState{
			CaughtUp:              r.CaughtUp,
			Members:               r.Members,
			PromisedEpoch:         r.PromisedEpoch,
			Epoch:                 r.Epoch,
			Chain:                 r.Chain,
			Version:               r.Version,
			PromisedBallot:        r.Bootstrap.PromisedBallot,
			AcceptedBallot:        r.Bootstrap.AcceptedBallot,
			AcceptedMembers:       r.Bootstrap.AcceptedMembers,
			AcceptedEpoch:         r.AcceptedEpoch,
			ConfigIndex:           rangesSum[:],
			AcceptedVersionsIndex: chunksSum[:],
			StoreID:               r.StoreID,
			MembershipEpoch:       r.MembershipEpoch,
			OutgoingMembers:       r.OutgoingMembers,
			RemovedMembers:        r.RemovedMembers,
			RemovedByOperator:     r.RemovedByOperator,
			BootstrapTrusted:      r.Bootstrap.Trusted,
			Seeds:                 r.Bootstrap.Seeds,
		},
	)
	sum := message.DigestOf(text)
	set(keyState, append(sum[:], text...))
	if failed != nil {
		return trace.Wrap(failed)
	}
	if err := p.commit(p.db, b); err != nil {
		return trace.Wrap(err)
	}
	p.stored.Store(&r.Value)
	p.configIndex, p.acceptedIndex, p.legacyKeys = ranges, chunks, nil
	return nil
}

// writeChunked writes the parts of a text that are not there, removes those that it has no more, and returns
// the list of its parts.
func writeChunked(b *pebble.Batch, t *chunkedValue, now, before []byte, set func(key, value []byte)) []byte {
	gone := map[string]bool{}
	for sum := range slices.Chunk(before, len(message.Digest{})) {
		gone[string(sum)] = true
	}
	list, there := []byte{}, map[string]bool{}
	t.chunker(now, func(part []byte) {
		sum := message.DigestOf(part)
		list = append(list, sum[:]...)
		key := string(sum[:])
		if !gone[key] && !there[key] {
			set(t.chunkKey(sum[:]), part)
		}
		there[key] = true
	})
	for sum := range gone {
		if !there[sum] {
			b.Delete(t.chunkKey([]byte(sum)), nil)
		}
	}
	set(t.indexKey, list)
	return list
}

// close closes the store.
func (p *pebbleStore) close() error { return p.do(p.db.Close) }
