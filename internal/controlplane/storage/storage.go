// Package storage keeps a replica's state on disk, in a pebble store. One goroutine saves states in order,
// and syncs each before it reports success. A disk that refuses a write terminates neither the process nor
// the storage: the save is reported as failed, and is completed before the next one once the disk accepts
// writes.
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

// errBackingOff means that a store was abandoned recently and is not reopened yet.
var errBackingOff = errors.New("storage: the store failed recently and is not reopened yet")

// Names in the data directory, which must not change. A damaged store is kept until the next one is set
// aside.
const (
	storeName   = "vault"
	damagedName = "vault.damaged"
	lockName    = "LOCK" // in the store's directory
)

const (
	// initialBackoff is the delay until a store is reopened after it was abandoned the first time, since
	// goroutines that remain of it use one or two megabytes of memory. The delay doubles each time up to
	// maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// closeTimeout is the timeout for closing a store that Restore created.
	closeTimeout = 10 * time.Second
	// maxQueuedSaves is how many saves may be queued before Save blocks.
	maxQueuedSaves = 256
)

// Storage stores a replica's state, and reopens the store after disk failures. Save is safe for concurrent
// use.
type Storage struct {
	env          environment
	dir          string
	lock         io.Closer     // of the directory; nil if not acquired
	store        *pebbleStore  // nil if it was abandoned
	backoff      time.Duration // until the next reopening
	backoffUntil time.Time
	damaged      error // why the store that Open found could not be read
	corrupted    bool  // the abandoned store can't be reopened and must be replaced
	requests     chan saveRequest
	closing      chan struct{} // closed when Close is called
	done         chan struct{} // closed when run has returned
}

type saveRequest struct {
	state   replica.PersistentState
	onSaved func(ok bool)
}

// Open opens the store in a directory and returns its state. The state is zero if the store is empty, and if
// it is damaged: it is then set aside, see Damaged. If the store can be read but not written, its state is
// returned, and saves fail until the disk accepts writes.
func Open(dir string) (*Storage, replica.PersistentState, error) { return open(dir, diskEnvironment) }

// open is Open with a replaceable environment.
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
	if err := s.lockDir(); isWriteRefusal(err) {
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
		opened.abandon()
		err = s.replaceDamaged()
		if err != nil && !errors.Is(err, errWriteRefused) {
			s.abandonStore() // the first save tries again
		}
		return replica.PersistentState{}, nil
	case errors.Is(err, errWriteRefused):
		s.store = opened
		return s.readOnlyState(opened)
	case errors.Is(err, errStoreFailed):
		s.store = opened
		s.abandonStore()
		return s.readOnlyState(nil)
	}
	return replica.PersistentState{}, err
}

// readOnlyState reads the state of a store that can't be opened for writing now. If a store is still being
// opened on the same files, its disk access is suspended meanwhile.
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
	case errors.Is(err, pebble.ErrDBDoesNotExist): // its creation was never completed
		return replica.PersistentState{}, nil
	case isDamage(err):
		s.damaged = err
		return replica.PersistentState{}, nil
	}
	return replica.PersistentState{}, err
}

func (s *Storage) path() string { return filepath.Join(s.dir, storeName) }

// Damaged returns why the store that Open found could not be read completely, so that the replica must be
// repaired as after the loss of its disk, or nil if it could.
func (s *Storage) Damaged() error { return s.damaged }

// lockDir acquires the lock of the directory, unless it is already acquired.
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

// isWriteRefusal reports whether an error means that the disk accepts no writes now.
func isWriteRefusal(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EROFS)
}

// unlockDir releases the lock of the directory, if it is acquired.
func (s *Storage) unlockDir() error {
	if s.lock == nil {
		return nil
	}
	err := s.lock.Close()
	s.lock = nil
	return err
}

// replaceDamaged sets a damaged store aside, or removes it if that fails, and opens an empty one in its
// place.
func (s *Storage) replaceDamaged() error {
	disk, aside := s.env.fs, filepath.Join(s.dir, damagedName)
	_ = s.unlockDir() // the lock file is in the directory that is set aside
	if err := disk.RemoveAll(aside); err != nil {
		return err
	}
	if err := disk.Rename(s.path(), aside); err != nil && disk.RemoveAll(s.path()) != nil {
		return err
	}
	s.corrupted = false
	return s.reopen()
}

// reopen opens the store for writing.
func (s *Storage) reopen() error {
	if err := s.lockDir(); err != nil {
		return err
	}
	var err error
	s.store, err = openPebble(s.path(), s.env, false)
	return err
}

// Save queues a state to be written and synced. onSaved is called with the result on the storage's goroutine.
// After a failed save it is unknown whether the state or the previous one is on disk. Save blocks only if
// maxQueuedSaves saves are queued. Once the storage is being closed, Save calls onSaved with false at once: a
// replica may receive requests for its promise until its process ends.
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

// run performs the saves until the storage is closed, and abandons the store when it fails.
func (s *Storage) run() {
	defer close(s.done)
	for {
		var failed chan struct{}
		if s.store != nil {
			failed = s.store.failed
		}
		select {
		case <-failed:
			s.abandonStore()
		case request := <-s.requests:
			request.onSaved(s.write(request.state) == nil)
		case <-s.closing:
			s.writeQueued()
			return
		}
	}
}

// writeQueued performs the saves that were queued before the storage was closed.
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

// abandonStore abandons the store, if there is one, and starts the backoff before the next reopening.
func (s *Storage) abandonStore() {
	if s.store != nil {
		s.store.abandon()
		s.corrupted = s.store.corrupted.Load()
		s.store = nil
	}
	s.backoffUntil = s.env.now().Add(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// write writes a state once earlier writes that the disk refused are completed.
func (s *Storage) write(state replica.PersistentState) error {
	err := s.ready()
	if err == nil {
		err = s.store.write(state)
	}
	if err != nil && !errors.Is(err, errWriteRefused) && !errors.Is(err, errBackingOff) {
		s.abandonStore()
	}
	return err
}

// ready waits until the store can be written. A store that was abandoned is reopened, and one that proves
// damaged is replaced by an empty one: nothing is lost, since the state that will be saved is complete.
func (s *Storage) ready() error {
	err := s.awaitStore()
	if isDamage(err) {
		if s.store != nil {
			s.store.abandon()
		}
		err = s.replaceDamaged()
	}
	if err == nil {
		s.store.takeInitial() // dropped: the state that will be saved is newer
	}
	return err
}

// awaitStore waits for the store's call in progress, or reopens the store after the backoff.
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

// Close completes the queued saves and closes the store. If that takes longer than the timeout, as on a disk
// that hangs, the error is a trace.LimitExceeded. Close must be called once.
func (s *Storage) Close(timeout time.Duration) error {
	close(s.closing)
	closed := make(chan error, 1)
	go func() {
		<-s.done
		closed <- errors.Join(s.closeStore(), s.unlockDir())
	}()
	select {
	case err := <-closed:
		return trace.Wrap(err)
	case <-time.After(timeout):
		return trace.LimitExceeded("storage: the store was not closed in time; the disk may hang")
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
