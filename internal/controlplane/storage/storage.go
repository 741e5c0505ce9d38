// Package storage keeps a replica's state on disk, in a pebble store. Saves are done in order by one
// goroutine, each synced before it is told as done. A disk that refuses something ends neither the process
// nor the storage: the save is told as failed, and goes on when the disk is well, before the next.
package storage

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"dunespoke/internal/controlplane/replica"
)

// errBackingOff tells that a store was given up a moment ago.
var errBackingOff = errors.New("storage: the store was given up a moment ago")

// Names in the folder, which stay: of the store, and of one that was found damaged, until another is.
const (
	storeName   = "vault"
	damagedName = "vault.damaged"
	lockName    = "LOCK" // in the store's folder
)

const (
	// initialBackoff is how long a store that was given up is left alone, the first time: what still runs of it
	// takes memory, a megabyte or two. The time doubles up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// closeTimeout is how long a store that nobody serves from may take to close.
	closeTimeout = 10 * time.Second
	// maxQueuedSaves is how many saves may wait before Save blocks.
	maxQueuedSaves = 256
)

// Storage is a store that is opened again after what the disk did to it.
type Storage struct {
	env          environment
	dir          string
	lock         io.Closer    // nil: not held
	store        *pebbleStore // nil: given up
	backoff      time.Duration
	backoffUntil time.Time
	damaged      error
	corrupted    bool // what was given up can't be opened again
	requests     chan saveRequest
	closing      chan struct{}
	done         chan struct{}
}

type saveRequest struct {
	state   replica.PersistentState
	onSaved func(ok bool)
}

// Open opens the store in a folder, and reads the state in it; an empty store gives the zero PersistentState.
// So does one that is damaged: it is set aside, see Damaged. A store that can be read and not written gives
// its state, and saves fail until it can be.
func Open(dir string) (*Storage, replica.PersistentState, error) { return open(dir, diskEnvironment) }

func open(dir string, env environment) (*Storage, replica.PersistentState, error) {
	s := &Storage{env: env, dir: dir, backoff: initialBackoff, requests: make(chan saveRequest, maxQueuedSaves),
		closing: make(chan struct{}), done: make(chan struct{})}
	state, err := s.openFirst()
	if err != nil {
		return nil, replica.PersistentState{}, trace.ConvertSystemError(errors.Join(err, s.unlockDir()))
	}
	go s.run()
	return s, state, nil
}

// openFirst opens the store for the first time.
func (s *Storage) openFirst() (replica.PersistentState, error) {
	if err := s.lockDir(); isRefusal(err) {
		return s.readOnlyState(nil)
	} else if err != nil {
		return replica.PersistentState{}, err
	}
	opened, err := openPebble(s.path(), s.env, false)
	switch {
	case err == nil:
		s.store = opened
		return opened.takeInitial(), nil
	case isDamage(err):
		s.damaged = err
		opened.giveUp()
		err = s.replaceDamaged()
		if err != nil && !errors.Is(err, errWriteRefused) {
			s.giveUp() // it is tried again with the first save
		}
		return replica.PersistentState{}, nil
	case errors.Is(err, errWriteRefused):
		s.store = opened
		return s.readOnlyState(opened)
	case errors.Is(err, errStoreFailed):
		s.store = opened
		s.giveUp()
		return s.readOnlyState(nil)
	}
	return replica.PersistentState{}, err
}

// readOnlyState reads the state of a store that can't be opened for writing now, while one that is being
// opened stands still.
func (s *Storage) readOnlyState(opening *pebbleStore) (replica.PersistentState, error) {
	if opening != nil {
		opening.diskGuard.mu.Lock()
		defer opening.diskGuard.mu.Unlock()
	}
	if _, err := s.env.fs.Stat(s.path()); errors.Is(err, fs.ErrNotExist) {
		return replica.PersistentState{}, nil
	}
	opened, err := openPebble(s.path(), s.env, true)
	switch {
	case err == nil:
		return opened.takeInitial(), opened.close()
	case errors.Is(err, pebble.ErrDBDoesNotExist): // it was never opened to the end
		return replica.PersistentState{}, nil
	case isDamage(err):
		s.damaged = err
		return replica.PersistentState{}, nil
	}
	return replica.PersistentState{}, err
}

func (s *Storage) path() string { return filepath.Join(s.dir, storeName) }

// Damaged tells why the store that Open found could not be read whole, so that the replica has to be repaired
// as after the loss of its disk; nil if it could.
func (s *Storage) Damaged() error { return s.damaged }

// lockDir takes the folder's lock.
func (s *Storage) lockDir() error {
	if s.lock != nil {
		return nil
	}
	err := s.env.fs.MkdirAll(s.path(), 0o755)
	if err == nil {
		s.lock, err = s.env.fs.Lock(filepath.Join(s.path(), lockName))
	}
	return err
}

// isRefusal reports whether an error tells that the disk accepts nothing now.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EROFS)
}

func (s *Storage) unlockDir() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	return err
}

// replaceDamaged sets a damaged store aside, and opens an empty one in its place.
func (s *Storage) replaceDamaged() error {
	disk, aside := s.env.fs, filepath.Join(s.dir, damagedName)
	_ = s.unlockDir() // the lock is of the folder that is set aside
	if err := disk.RemoveAll(aside); err != nil {
		return err
	}
	if err := disk.Rename(s.path(), aside); err != nil && disk.RemoveAll(s.path()) != nil {
		return err
	}
	s.corrupted = false
	return s.reopen()
}

func (s *Storage) reopen() error {
	if err := s.lockDir(); err != nil {
		return err
	}
	var err error
	s.store, err = openPebble(s.path(), s.env, false)
	return err
}

// Save writes a state and syncs it, and then calls onSaved, on the storage's goroutine. After a failed save
// it is unknown which of the two states is on the disk. It does not block, unless hundreds of saves wait.
// Those that come once the storage is being closed are told as failed, at once: a replica that was told to
// stop is asked for its promise up to its end.
func (s *Storage) Save(state replica.PersistentState, onSaved func(ok bool)) {
	select {
	case <-s.closing:
		onSaved(false)
		return
	default:
	}
	select {
	case s.requests <- saveRequest{state, onSaved}:
	case <-s.closing:
		onSaved(false)
	}
}

// run does the saves, until the storage is closed.
func (s *Storage) run() {
	defer close(s.done)
	for {
		var failed chan struct{}
		if s.store != nil {
			failed = s.store.failed
		}
		select {
		case <-failed:
			s.giveUp()
		case request := <-s.requests:
			request.onSaved(s.write(request.state) == nil)
		case <-s.closing:
			s.writeQueued()
			return
		}
	}
}

// writeQueued does the saves that were handed in before the storage was closed.
func (s *Storage) writeQueued() {
	for {
		select {
		case request := <-s.requests:
			request.onSaved(s.write(request.state) == nil)
		default:
			return
		}
	}
}

// giveUp leaves a store to itself, if there is one, for a while.
func (s *Storage) giveUp() {
	if s.store != nil {
		s.store.giveUp()
		s.corrupted = s.store.corrupted.Load()
		s.store = nil
	}
	s.backoffUntil = s.env.now().Add(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// write writes a state, in order behind what the disk has refused so far.
func (s *Storage) write(state replica.PersistentState) error {
	err := s.ready()
	if err == nil {
		err = s.store.write(state)
	}
	if err != nil && !errors.Is(err, errWriteRefused) && !errors.Is(err, errBackingOff) {
		s.giveUp()
	}
	return err
}

// ready waits for the store to be free. One that was given up is opened again; one that is damaged by now is
// replaced: the state to be saved has all that is to be in it.
func (s *Storage) ready() error {
	err := s.awaitStore()
	if isDamage(err) {
		if s.store != nil {
			s.store.giveUp()
		}
		err = s.replaceDamaged()
	}
	if err == nil {
		s.store.takeInitial() // the one to be saved is newer
	}
	return err
}

func (s *Storage) awaitStore() error {
	switch {
	case s.store != nil:
		return s.store.wait()
	case s.env.now().Before(s.backoffUntil):
		return errBackingOff
	case s.corrupted:
		return ErrDamaged
	}
	return s.reopen()
}

// Close ends the saves under way and closes the store. A disk that hangs is not waited for longer than the
// limit: the error is a trace.LimitExceeded then.
func (s *Storage) Close(limit time.Duration) error {
	close(s.closing)
	closed := make(chan error, 1)
	go func() {
		<-s.done
		closed <- errors.Join(s.closeStore(), s.unlockDir())
	}()
	select {
	case err := <-closed:
		return trace.Wrap(err)
	case <-time.After(limit):
		return trace.LimitExceeded("storage: the disk does not answer")
	}
}

func (s *Storage) closeStore() error {
	if s.store == nil {
		return nil
	}
	if err := s.store.wait(); err != nil {
		return err
	}
	return s.store.close()
}
