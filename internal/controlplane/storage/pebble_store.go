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
var ErrDamaged = errors.New("storage: the store is not as it was written")

// Errors of a disk.
var (
	errWriteRefused = errors.New("storage: the disk refuses a change; it is tried again")
	errStoreFailed  = errors.New("storage: the store can't go on")
)

// Sizes that pebble is opened with: the machines are small, and so is what is stored.
const (
	cacheSize        = 512 << 10 // bytes
	memTableSize     = 512 << 10 // bytes of changes that are held before they become a table
	maxOpenFiles     = 32
	writeRetryDelay  = 100 * time.Millisecond // until a change that the disk refused is tried again
	digestSize       = len(message.Digest{})
	errObjectTooLong = "object size mismatch" // pebble's words for a file that has another length than was noted
)

// environment is how a store gets at its disk. Tests have others.
type environment struct {
	fs           vfs.FS
	retryDelay   func() // until a change that was refused is tried again
	now          func() time.Time
	memTableSize uint64 // bytes
	// writes all of a batch or nothing, and syncs it
	commit func(db *pebble.DB, b *pebble.Batch) error
	verify func(digest message.Digest, text []byte) bool // holds what was read to its digest
	// keeps the disk's errors from ending the process
	guard func(store *pebbleStore, options *pebble.Options)
}

// diskEnvironment is the program's.
var diskEnvironment = environment{
	fs:           vfs.Default,
	retryDelay:   func() { time.Sleep(writeRetryDelay) },
	now:          time.Now,
	memTableSize: memTableSize,
	commit:       func(db *pebble.DB, b *pebble.Batch) error { return db.Apply(b, pebble.Sync) },
	verify:       func(digest message.Digest, text []byte) bool { return message.DigestOf(text) == digest },
	guard:        guardPebble,
}

// guardPebble tells pebble none of the disk's errors, and keeps it from ending the process.
func guardPebble(p *pebbleStore, options *pebble.Options) {
	options.FS, options.Logger = interceptedFS{p.fs, p.diskGuard.intercept}, quietLogger{p}
}

// pebbleStore is a pebble store, from its opening to the first error of the disk that can't be recovered
// from.
type pebbleStore struct {
	environment
	db        *pebble.DB
	diskGuard diskGuard
	once      sync.Once
	failed    chan struct{} // closed once the store can't go on
	corrupted atomic.Bool   // what is on the disk is not what was written
	running   chan error    // what is under way ends here; nil: nothing

	initial       replica.PersistentState       // as found at the opening, until it is asked for
	stored        atomic.Pointer[replica.Value] // as it is in the store; nil: not known
	configIndex   []byte                        // as they are in the store
	acceptedIndex []byte
	legacyKeys    [][]byte // of earlier forms, until the first save
}

// openPebble opens the store at a path, and reads the state in it. With errWriteRefused the store is
// returned, too, and is being opened yet: see wait.
func openPebble(path string, env environment, readOnly bool) (*pebbleStore, error) {
	p := &pebbleStore{environment: env, failed: make(chan struct{})}
	p.diskGuard = diskGuard{writeRefused: make(chan struct{}, 1), onFailure: p.fail, waitRetry: env.retryDelay}
	return p, p.do(func() (err error) {
		if p.db, err = pebble.Open(path, p.options(readOnly)); err != nil {
			return err
		}
		if p.initial, err = p.read(); err != nil {
			return errors.Join(err, p.db.Close())
		}
		return nil
	})
}

func (p *pebbleStore) options(readOnly bool) *pebble.Options {
	options := &pebble.Options{
		ReadOnly:     readOnly,
		MemTableSize: p.memTableSize,
		CacheSize:    cacheSize,
		MaxOpenFiles: maxOpenFiles,
		EventListener: &pebble.EventListener{
			BackgroundError: func(error) { p.fail() },
			DataCorruption: func(pebble.DataCorruptionInfo) {
				p.corrupted.Store(true)
				p.fail()
			},
		},
	}
	p.guard(p, options)
	return options
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
func (p *pebbleStore) do(call func() error) error {
	ended := make(chan error, 1)
	p.running = ended
	go func() {
		err := errStoreFailed
		defer func() {
			if panicked := recover(); panicked != nil {
				err = trace.Wrap(errStoreFailed, "%v", panicked)
			}
			ended <- err
		}()
		err = call()
	}()
	return p.wait()
}

// wait waits for what is under way, if anything is. It returns errWriteRefused if the disk refuses a change
// meanwhile; the call goes on, and ends once the disk is well.
func (p *pebbleStore) wait() error {
	if p.running == nil {
		return nil
	}
	select {
	case <-p.diskGuard.writeRefused: // of before
	default:
	}
	select {
	case err := <-p.running:
		p.running = nil
		return err
	case <-p.diskGuard.writeRefused:
		return errWriteRefused
	case <-p.failed:
		if p.corrupted.Load() {
			return trace.Wrap(ErrDamaged, "a table")
		}
		return errStoreFailed
	}
}

// takeInitial returns the state that was found at the opening, once.
func (p *pebbleStore) takeInitial() replica.PersistentState {
	state := p.initial
	p.initial = replica.PersistentState{}
	return state
}

// giveUp keeps the store off the disk, and lets go of what it held.
func (p *pebbleStore) giveUp() {
	p.diskGuard.shut()
	p.stored.Store(nil)
}

// isDamage reports whether an error tells that what is on the disk is not what was written there, as opposed
// to a disk that can't be read or written now.
func isDamage(err error) bool {
	return err != nil && (errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) ||
		errors.Is(err, fs.ErrNotExist) || strings.Contains(err.Error(), errObjectTooLong))
}

func (p *pebbleStore) get(key []byte) ([]byte, error) {
	value, closer, err := p.db.Get(key)
	if err != nil {
		return nil, err
	}
	copied := bytes.Clone(value)
	return copied, closer.Close()
}

// getVerified reads what is under a key, and holds it to its digest.
func (p *pebbleStore) getVerified(key, digest []byte) ([]byte, error) {
	value, err := p.get(key)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
		return nil, trace.Wrap(ErrDamaged, "%x is missing", key)
	case err != nil:
		return nil, err
	case len(digest) != digestSize || !p.verify(message.Digest(digest), value):
		return nil, trace.Wrap(ErrDamaged, "%x has another digest", key)
	}
	return value, nil
}

// read reads the state; the zero one from an empty store.
func (p *pebbleStore) read() (replica.PersistentState, error) {
	b, err := p.get(keyState)
	if errors.Is(err, pebble.ErrNotFound) {
		return p.readLegacy()
	}
	if err != nil {
		return replica.PersistentState{}, err
	}
	var stored storedState
	if len(b) < digestSize || !p.verify(message.Digest(b[:digestSize]), b[digestSize:]) ||
		message.Unmarshal(b[digestSize:], &stored) != nil {
		return replica.PersistentState{}, trace.Wrap(ErrDamaged, "the state has another digest")
	}
	value := replica.Value{AcceptedEpoch: stored.AcceptedEpoch, Version: stored.Version}
	if value.Config, p.configIndex, err = p.readChunked(&configValue, stored.ConfigIndex); err != nil {
		return replica.PersistentState{}, err
	}
	if value.AcceptedVersions, err = p.readAcceptedVersions(&stored); err != nil {
		return replica.PersistentState{}, err
	}
	p.stored.Store(&value)
	return stored.persistentState(value), nil
}

// readChunked reads a text and the index of its chunks, which has the given digest.
func (p *pebbleStore) readChunked(v *chunkedValue, indexDigest []byte) (text, index []byte, err error) {
	if index, err = p.getVerified(v.indexKey, indexDigest); err != nil {
		return nil, nil, err
	}
	for digest := range slices.Chunk(index, digestSize) {
		chunk, err := p.getVerified(v.chunkKey(digest), digest)
		if err != nil {
			return nil, nil, err
		}
		text = append(text, chunk...)
	}
	return slices.Clip(text), index, nil
}

// readAcceptedVersions reads the accepted versions. Those of the earlier form are written anew with the first
// save.
func (p *pebbleStore) readAcceptedVersions(stored *storedState) (list []message.AcceptedVersion, err error) {
	if len(stored.AcceptedVersionsIndex) == 0 {
		return p.readLegacyAcceptedVersions(stored)
	}
	text, index, err := p.readChunked(&acceptedVersionsValue, stored.AcceptedVersionsIndex)
	if err != nil {
		return nil, err
	}
	p.acceptedIndex = index
	if list, err = message.DecodeAcceptedVersions(text); err != nil {
		return nil, trace.Wrap(ErrDamaged, "the accepted versions")
	}
	return list, nil
}

func (p *pebbleStore) readLegacyAcceptedVersions(stored *storedState) ([]message.AcceptedVersion, error) {
	p.legacyKeys = append(p.legacyKeys, keyLegacyAcceptedVersions)
	text, err := p.getVerified(keyLegacyAcceptedVersions, stored.LegacyAcceptedVersions)
	if err != nil {
		return nil, err
	}
	var legacy legacyAcceptedVersions
	if message.Unmarshal(text, &legacy) != nil {
		return nil, trace.Wrap(ErrDamaged, "the accepted versions")
	}
	return legacy.AcceptedVersions, nil
}

// readLegacy reads a state of the first form; the zero one from an empty store. The first save writes all of
// it anew.
func (p *pebbleStore) readLegacy() (replica.PersistentState, error) {
	var state storedState
	var config legacyConfig
	for _, entry := range []struct {
		key  []byte
		into any
	}{{keyLegacyState, &state}, {keyLegacyConfig, &config}} {
		text, err := p.get(entry.key)
		switch {
		case errors.Is(err, pebble.ErrNotFound):
			continue
		case err != nil:
			return replica.PersistentState{}, err
		case message.Unmarshal(text, entry.into) != nil:
			return replica.PersistentState{}, trace.Wrap(ErrDamaged, "%s can't be read", entry.key)
		}
		p.legacyKeys = append(p.legacyKeys, entry.key)
	}
	return state.persistentState(replica.Value{Version: config.Version, Config: config.Config}), nil
}

// write writes a state and syncs it: what differs from the one that is there, in one batch. After an error it
// is unknown whether the state is there; unless that is errWriteRefused, the store is to be given up.
func (p *pebbleStore) write(state replica.PersistentState) error {
	return p.do(func() error { return p.commitState(&state) })
}

func (p *pebbleStore) commitState(state *replica.PersistentState) (err error) {
	batch := newBatch(p.db)
	defer func() { err = errors.Join(err, batch.close()) }()
	configIndex, acceptedIndex, stored := p.configIndex, p.acceptedIndex, p.stored.Load()
	if stored == nil || !bytes.Equal(state.Config, stored.Config) {
		configIndex = batch.setChunked(&configValue, state.Config, p.configIndex)
	}
	if stored == nil || len(p.legacyKeys) > 0 || !slices.Equal(state.AcceptedVersions, stored.AcceptedVersions) {
		text := message.EncodeAcceptedVersions(state.AcceptedVersions)
		acceptedIndex = batch.setChunked(&acceptedVersionsValue, text, p.acceptedIndex)
	}
	for _, key := range p.legacyKeys {
		batch.delete(key)
	}
	text := message.MarshalAppend(nil, newStoredState(state, configIndex, acceptedIndex))
	digest := message.DigestOf(text)
	batch.set(keyState, append(digest[:], text...))
	if batch.err != nil {
		return trace.Wrap(batch.err)
	}
	if err := p.commit(p.db, batch.batch); err != nil {
		return trace.Wrap(err)
	}
	p.stored.Store(&state.Value)
	p.configIndex, p.acceptedIndex, p.legacyKeys = configIndex, acceptedIndex, nil
	return nil
}

// batch gathers changes, and the first error of one.
type batch struct {
	batch *pebble.Batch
	err   error
}

func newBatch(db *pebble.DB) *batch { return &batch{batch: db.NewBatch()} }

func (b *batch) close() error { return b.batch.Close() }

func (b *batch) set(key, value []byte) { b.err = errors.Join(b.err, b.batch.Set(key, value, nil)) }

func (b *batch) delete(key []byte) { b.err = errors.Join(b.err, b.batch.Delete(key, nil)) }

// setChunked writes the chunks of a text that are not there, deletes those that it has no more, and returns
// the index of its chunks.
func (b *batch) setChunked(v *chunkedValue, text, oldIndex []byte) (index []byte) {
	old := map[string]bool{}
	for digest := range slices.Chunk(oldIndex, digestSize) {
		old[string(digest)] = true
	}
	index, current := []byte{}, map[string]bool{}
	v.chunker(text, func(chunk []byte) {
		digest := message.DigestOf(chunk)
		index = append(index, digest[:]...)
		name := string(digest[:])
		if !old[name] && !current[name] {
			b.set(v.chunkKey(digest[:]), chunk)
		}
		current[name] = true
	})
	for name := range old {
		if !current[name] {
			b.delete(v.chunkKey([]byte(name)))
		}
	}
	b.set(v.indexKey, index)
	return index
}

// close closes the store.
func (p *pebbleStore) close() error { return p.do(p.db.Close) }
