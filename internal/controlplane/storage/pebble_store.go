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

// ErrDamaged means that the content of a store is not what was written.
var ErrDamaged = errors.New("storage: the store is damaged")

// Errors of writes.
var (
	errWriteRefused = errors.New("storage: the disk refused a write, which is being retried")
	errStoreFailed  = errors.New("storage: the store failed")
)

// Limits of a pebble store, which are low since the machines are small and so is the state.
const (
	cacheSize        = 512 << 10 // bytes
	memTableSize     = 512 << 10 // bytes of changes that are buffered before they are written as a table
	maxOpenFiles     = 32
	writeRetryDelay  = 100 * time.Millisecond // until a refused write is retried
	digestSize       = len(message.Digest{})  // bytes
	sizeMismatchText = "object size mismatch" // pebble's error text for a file of an unexpected size
)

// environment is how a store accesses its disk and the clock. Tests replace parts of it.
type environment struct {
	fs           vfs.FS
	retryDelay   func() // waits before a refused write is retried
	now          func() time.Time
	memTableSize uint64 // bytes
	// commit writes a batch atomically and syncs it.
	commit func(db *pebble.DB, b *pebble.Batch) error
	// verify reports whether a text has the given digest.
	verify func(digest message.Digest, text []byte) bool
	// guard configures pebble so that disk errors don't terminate the process.
	guard func(store *pebbleStore, options *pebble.Options)
}

// diskEnvironment is the environment outside of tests.
var diskEnvironment = environment{
	fs:           vfs.Default,
	retryDelay:   func() { time.Sleep(writeRetryDelay) },
	now:          time.Now,
	memTableSize: memTableSize,
	commit:       func(db *pebble.DB, b *pebble.Batch) error { return db.Apply(b, pebble.Sync) },
	verify:       func(digest message.Digest, text []byte) bool { return message.DigestOf(text) == digest },
	guard:        guardPebble,
}

// guardPebble hides disk errors from pebble, and prevents it from terminating the process.
func guardPebble(p *pebbleStore, options *pebble.Options) {
	options.FS, options.Logger = interceptedFS{p.fs, p.diskGuard.intercept}, quietLogger{p}
}

// pebbleStore is a pebble store, which is used until the first disk error that it can't recover from. It is
// not safe for concurrent use; fail may be called from any goroutine.
type pebbleStore struct {
	environment
	db        *pebble.DB
	diskGuard diskGuard
	failOnce  sync.Once
	failed    chan struct{} // closed once the store has failed
	corrupted atomic.Bool   // pebble found data that is not what was written
	running   chan error    // receives the result of the call in progress; nil if there is none

	initial       replica.PersistentState       // the state found by openPebble, until takeInitial
	stored        atomic.Pointer[replica.Value] // the value in the store; nil if unknown
	configIndex   []byte                        // the index in the store
	acceptedIndex []byte                        // the index in the store
	legacyKeys    [][]byte                      // keys of earlier formats, which the first save deletes
}

// openPebble opens the store at a path and reads its state. The store is returned also with an error. If that
// is errWriteRefused, the store is still being opened: see wait.
func openPebble(path string, env environment, readOnly bool) (*pebbleStore, error) {
	p := &pebbleStore{environment: env, failed: make(chan struct{})}
	p.diskGuard = diskGuard{writeRefused: make(chan struct{}, 1), onFailure: p.fail, waitRetry: env.retryDelay}
	return p, p.call(func() (err error) {
		if p.db, err = pebble.Open(path, p.options(readOnly)); err != nil {
			return err
		}
		if p.initial, err = p.read(); err != nil {
			return errors.Join(err, p.db.Close())
		}
		return nil
	})
}

// options returns pebble's options for the store.
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

// quietLogger discards pebble's log lines and prevents it from terminating the process.
type quietLogger struct{ store *pebbleStore }

func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}

// Fatalf marks the store as failed and blocks forever, since pebble requires that it doesn't return.
func (q quietLogger) Fatalf(string, ...any) {
	q.store.fail()
	select {}
}

// fail marks the store as failed. It is safe for concurrent use.
func (p *pebbleStore) fail() { p.failOnce.Do(func() { close(p.failed) }) }

// call calls a function that uses pebble on a goroutine of its own and waits for it as wait does. A panic
// becomes an error. No other call may be in progress.
func (p *pebbleStore) call(f func() error) error {
	result := make(chan error, 1)
	p.running = result
	go func() {
		err := errStoreFailed
		defer func() {
			if panicked := recover(); panicked != nil {
				err = trace.Wrap(errStoreFailed, "%v", panicked)
			}
			result <- err
		}()
		err = f()
	}()
	return p.wait()
}

// wait waits for the call in progress, if there is one, and returns its result. It returns errWriteRefused if
// the disk refuses a write meanwhile: the call remains in progress, and ends once the disk accepts the
// write. It returns an error without waiting further if the store fails.
func (p *pebbleStore) wait() error {
	if p.running == nil {
		return nil
	}
	select {
	case <-p.diskGuard.writeRefused: // discard an earlier signal
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
			return trace.Wrap(ErrDamaged, "pebble found a corrupt file")
		}
		return errStoreFailed
	}
}

// takeInitial returns the state that openPebble read. Further calls return the zero state, so that its memory
// is freed.
func (p *pebbleStore) takeInitial() replica.PersistentState {
	state := p.initial
	p.initial = replica.PersistentState{}
	return state
}

// abandon prevents the store from accessing the disk, and releases its value.
func (p *pebbleStore) abandon() {
	p.diskGuard.close()
	p.stored.Store(nil)
}

// isDamage reports whether an error means that data on the disk is missing or is not what was written, as
// opposed to a disk that can't be read or written now.
func isDamage(err error) bool {
	return err != nil && (errors.Is(err, ErrDamaged) || pebble.IsCorruptionError(err) ||
		errors.Is(err, fs.ErrNotExist) || strings.Contains(err.Error(), sizeMismatchText))
}

// get returns a copy of the value of a key.
func (p *pebbleStore) get(key []byte) ([]byte, error) {
	value, closer, err := p.db.Get(key)
	if err != nil {
		return nil, err
	}
	copied := bytes.Clone(value)
	return copied, closer.Close()
}

// getVerified returns the value of a key. The error wraps ErrDamaged if the value is missing or doesn't have
// the given digest.
func (p *pebbleStore) getVerified(key, digest []byte) ([]byte, error) {
	value, err := p.get(key)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
		return nil, trace.Wrap(ErrDamaged, "key %x is missing", key)
	case err != nil:
		return nil, err
	case len(digest) != digestSize || !p.verify(message.Digest(digest), value):
		return nil, trace.Wrap(ErrDamaged, "digest mismatch of key %x", key)
	}
	return value, nil
}

// read reads the state. It is the zero state if the store is empty.
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
		return replica.PersistentState{}, trace.Wrap(ErrDamaged, "digest mismatch of the state")
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

// readChunked reads a chunked text, and the index of its chunks, which must have the given digest.
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

// readAcceptedVersions reads the accepted versions in the present or the previous format.
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
		return nil, trace.Wrap(ErrDamaged, "can't decode the accepted versions")
	}
	return list, nil
}

// readLegacyAcceptedVersions reads the accepted versions in the second format. The first save rewrites them.
func (p *pebbleStore) readLegacyAcceptedVersions(stored *storedState) ([]message.AcceptedVersion, error) {
	p.legacyKeys = append(p.legacyKeys, keyLegacyAcceptedVersions)
	text, err := p.getVerified(keyLegacyAcceptedVersions, stored.LegacyAcceptedVersions)
	if err != nil {
		return nil, err
	}
	var legacy legacyAcceptedVersions
	if message.Unmarshal(text, &legacy) != nil {
		return nil, trace.Wrap(ErrDamaged, "can't decode the accepted versions")
	}
	return legacy.AcceptedVersions, nil
}

// readLegacy reads a state in the first format. It is the zero state if the store is empty. The first save
// rewrites all of it.
func (p *pebbleStore) readLegacy() (replica.PersistentState, error) {
	var state storedState
	var config legacyConfig
	for _, entry := range []struct {
		key    []byte
		target any
	}{{keyLegacyState, &state}, {keyLegacyConfig, &config}} {
		text, err := p.get(entry.key)
		switch {
		case errors.Is(err, pebble.ErrNotFound):
			continue
		case err != nil:
			return replica.PersistentState{}, err
		case message.Unmarshal(text, entry.target) != nil:
			return replica.PersistentState{}, trace.Wrap(ErrDamaged, "can't decode key %s", entry.key)
		}
		p.legacyKeys = append(p.legacyKeys, entry.key)
	}
	return state.persistentState(replica.Value{Version: config.Version, Config: config.Config}), nil
}

// write writes the differences between a state and the stored one in one batch, and syncs it. After an error
// it is unknown whether the state was stored. The caller must abandon the store after any error but
// errWriteRefused.
func (p *pebbleStore) write(state replica.PersistentState) error {
	return p.call(func() error { return p.commitState(&state) })
}

// commitState does the work of write.
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

// batch collects changes and their errors.
type batch struct {
	batch *pebble.Batch
	err   error
}

func newBatch(db *pebble.DB) *batch { return &batch{batch: db.NewBatch()} }

func (b *batch) close() error { return b.batch.Close() }

func (b *batch) set(key, value []byte) { b.err = errors.Join(b.err, b.batch.Set(key, value, nil)) }

func (b *batch) delete(key []byte) { b.err = errors.Join(b.err, b.batch.Delete(key, nil)) }

// setChunked writes the chunks of a text that are not in the old index, deletes those that are only in the
// old index, and writes and returns the new index.
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

// close closes the store. No call may be in progress.
func (p *pebbleStore) close() error { return p.call(p.db.Close) }
