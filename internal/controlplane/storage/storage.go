// Package vault keeps a frame's record on disk, in a pebble store. Saves are done in order by one goroutine,
// each synced before it is told as done. A disk that refuses something ends neither the process nor the
// vault: the save is told as failed, and goes on when the disk is well, before the next.
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
var errBackingOff = errors.New("vault: the store was given up a moment ago")

// closeTimeout is how long a store that nobody serves from may take to close.
const closeTimeout = 10 * time.Second

// Names in the folder: of the store, and of one that was found damaged, until another is.
const (
	storeName   = "vault"
	damagedName = "vault.damaged"
	lockName    = "LOCK" // in the store's folder
)

// initialBackoff is how long a store that was given up is left alone, the first time: what still runs of it
// takes memory, a megabyte or two. The time doubles up to backOffMost.
const (
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
)

// Storage is a store that is opened again after what the disk did to it.
type Storage struct {
	env          environment
	dir          string
	lock         io.Closer
	store        *store // nil: given up
	backoff      time.Duration
	backoffUntil time.Time // it is left alone
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

// Open opens the store in a folder, and reads the record in it; an empty store gives the zero Record. So does
// one that is damaged: it is laid aside, see Damaged. A store that can be read and not written gives its
// record, and saves fail until it can be.
func Open(dir string) (*Storage, replica.PersistentState, error) { return open(dir, diskEnvironment) }

func open(dir string, w environment) (*Storage, replica.PersistentState, error) {
	v := &Storage{env: w, dir: dir, backoff: initialBackoff, requests: make(chan saveRequest, 256),
		closing: make(chan struct{}), done: make(chan struct{})}
	r, err := v.openFirst()
	if err != nil {
		v.unlockDir()
		return nil, replica.PersistentState{}, trace.ConvertSystemError(err)
	}
	go v.run()
	return v, r, nil
}

// openFirst opens the store for the first time.
func (v *Storage) openFirst() (replica.PersistentState, error) {
	if err := v.lockDir(); isRefusal(err) {
		return v.readOnlyState(nil)
	} else if err != nil {
		return replica.PersistentState{}, err
	}
	s, err := openStore(v.path(), v.env, false)
	switch {
	case err == nil:
		v.store = s
		return s.takeInitial(), nil
	case isDamage(err):
		v.damaged = err
		s.giveUp()
		err = v.replaceDamaged()
		if err != nil && !errors.Is(err, errWriteRefused) {
			v.giveUp() // it is tried again with the first save
		}
		return replica.PersistentState{}, nil
	case errors.Is(err, errWriteRefused):
		v.store = s
		return v.readOnlyState(s)
	case errors.Is(err, errStoreFailed):
		v.store = s
		v.giveUp()
		return v.readOnlyState(nil)
	}
	return replica.PersistentState{}, err
}

// readOnlyState reads the record of a store that can't be opened for writing now, while one that is being
// opened stands still.
func (v *Storage) readOnlyState(opening *store) (replica.PersistentState, error) {
	if opening != nil {
		opening.fence.mu.Lock()
		defer opening.fence.mu.Unlock()
	}
	if _, err := v.env.fs.Stat(v.path()); errors.Is(err, fs.ErrNotExist) {
		return replica.PersistentState{}, nil
	}
	s, err := openStore(v.path(), v.env, true)
	switch {
	case err == nil:
		return s.takeInitial(), s.close()
	case errors.Is(err, pebble.ErrDBDoesNotExist): // it was never opened to the end
		return replica.PersistentState{}, nil
	case isDamage(err):
		v.damaged = err
		return replica.PersistentState{}, nil
	}
	return replica.PersistentState{}, err
}

func (v *Storage) path() string { return filepath.Join(v.dir, storeName) }

// Damaged tells why the store that Open found could not be read whole, so that the machine has to be mended
// as after the loss of its disk; nil if it could.
func (v *Storage) Damaged() error { return v.damaged }

// lockDir takes the folder's lock.
func (v *Storage) lockDir() error {
	if v.lock != nil {
		return nil
	}
	err := v.env.fs.MkdirAll(v.path(), 0o755)
	if err == nil {
		v.lock, err = v.env.fs.Lock(filepath.Join(v.path(), lockName))
	}
	return err
}

// isRefusal reports whether an error tells that the disk takes nothing now.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EROFS)
}

func (v *Storage) unlockDir() {
	if v.lock != nil {
		v.lock.Close()
		v.lock = nil
	}
}

// replaceDamaged lays a damaged store aside, and opens an empty one in its place.
func (v *Storage) replaceDamaged() error {
	disk, aside := v.env.fs, filepath.Join(v.dir, damagedName)
	v.unlockDir()
	if err := disk.RemoveAll(aside); err != nil {
		return err
	}
	if err := disk.Rename(v.path(), aside); err != nil && disk.RemoveAll(v.path()) != nil {
		return err
	}
	v.corrupted = false
	return v.reopen()
}

func (v *Storage) reopen() error {
	if err := v.lockDir(); err != nil {
		return err
	}
	var err error
	v.store, err = openStore(v.path(), v.env, false)
	return err
}

// Save writes a record and syncs it, and then calls then, on the vault's goroutine. After a failed save it is
// unknown which of the two records is on the disk. It does not block, unless hundreds of saves wait. Those
// that come once the vault is being closed are told as failed, at once: a machine that was told to stop is
// asked for its promise up to its end.
func (v *Storage) Save(r replica.PersistentState, then func(ok bool)) {
	select {
	case <-v.closing:
		then(false)
		return
	default:
	}
	select {
	case v.requests <- saveRequest{r, then}:
	case <-v.closing:
		then(false)
	}
}

func (v *Storage) run() {
	defer close(v.done)
	for {
		var broken chan struct{}
		if v.store != nil {
			broken = v.store.failed
		}
		select {
		case <-broken:
			v.giveUp()
		case j := <-v.requests:
			j.onSaved(v.write(j.state) == nil)
		case <-v.closing:
			for {
				select {
				case j := <-v.requests: // handed in before
					j.onSaved(v.write(j.state) == nil)
				default:
					return
				}
			}
		}
	}
}

// giveUp leaves a store to itself, if there is one, for a while.
func (v *Storage) giveUp() {
	if v.store != nil {
		v.store.giveUp()
		v.corrupted = v.store.corrupted.Load()
		v.store = nil
	}
	v.backoffUntil = v.env.now().Add(v.backoff)
	v.backoff = min(2*v.backoff, maxBackoff)
}

// write writes a record, in order behind what the disk has refused so far.
func (v *Storage) write(r replica.PersistentState) error {
	err := v.ready()
	if err == nil {
		err = v.store.write(r)
	}
	if err != nil && !errors.Is(err, errWriteRefused) && !errors.Is(err, errBackingOff) {
		v.giveUp()
	}
	return err
}

// ready waits for the store to be free. One that was given up is opened again; one that is damaged by now is
// made anew: the record to be saved has all that is to be in it.
func (v *Storage) ready() error {
	var err error
	switch {
	case v.store != nil:
		err = v.store.wait()
	case v.env.now().Before(v.backoffUntil):
		return errBackingOff
	case v.corrupted:
		err = ErrDamaged
	default:
		err = v.reopen()
	}
	if isDamage(err) {
		if v.store != nil {
			v.store.giveUp()
		}
		err = v.replaceDamaged()
	}
	if err == nil {
		v.store.takeInitial() // the one to be saved is newer
	}
	return err
}

// Close ends the saves under way and closes the store. A disk that hangs is not waited for longer than the
// limit.
func (v *Storage) Close(limit time.Duration) error {
	close(v.closing)
	closed := make(chan error, 1)
	go func() {
		<-v.done
		var err error
		if v.store != nil {
			if err = v.store.wait(); err == nil {
				err = v.store.close()
			}
		}
		v.unlockDir()
		closed <- err
	}()
	select {
	case err := <-closed:
		return trace.Wrap(err)
	case <-time.After(limit):
		return trace.LimitExceeded("vault: the disk does not answer")
	}
}
