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

// errResting tells that a store was given up a moment ago.
var errResting = errors.New("vault: the store was given up a moment ago")

// closeWait is how long a store that nobody serves from may take to close.
const closeWait = 10 * time.Second

// Names in the folder: of the store, and of one that was found damaged, until another is.
const (
	storeName   = "vault"
	damagedName = "vault.damaged"
	lockName    = "LOCK" // in the store's folder
)

// backOff is how long a store that was given up is left alone, the first time: what still runs of it takes
// memory, a megabyte or two. The time doubles up to backOffMost.
const (
	backOff     = 500 * time.Millisecond
	backOffMost = 30 * time.Second
)

// Vault is a store that is opened again after what the disk did to it.
type Vault struct {
	ways    ways
	dir     string
	lock    io.Closer
	store   *store // nil: given up
	rest    time.Duration
	until   time.Time // it is left alone
	damaged error
	ruined  bool // what was given up can't be opened again
	jobs    chan job
	closing chan struct{}
	done    chan struct{}
}

type job struct {
	record replica.Record
	then   func(ok bool)
}

// Open opens the store in a folder, and reads the record in it; an empty store gives the zero Record. So does
// one that is damaged: it is laid aside, see Damaged. A store that can be read and not written gives its
// record, and saves fail until it can be.
func Open(dir string) (*Vault, replica.Record, error) { return open(dir, onDisk) }

func open(dir string, w ways) (*Vault, replica.Record, error) {
	v := &Vault{ways: w, dir: dir, rest: backOff, jobs: make(chan job, 256),
		closing: make(chan struct{}), done: make(chan struct{})}
	r, err := v.begin()
	if err != nil {
		v.release()
		return nil, replica.Record{}, trace.ConvertSystemError(err)
	}
	go v.run()
	return v, r, nil
}

// begin opens the store for the first time.
func (v *Vault) begin() (replica.Record, error) {
	if err := v.hold(); refusal(err) {
		return v.look(nil)
	} else if err != nil {
		return replica.Record{}, err
	}
	s, err := openStore(v.path(), v.ways, false)
	switch {
	case err == nil:
		v.store = s
		return s.record(), nil
	case damaged(err):
		v.damaged = err
		s.giveUp()
		err = v.renew()
		if err != nil && !errors.Is(err, errRefused) {
			v.giveUp() // it is tried again with the first save
		}
		return replica.Record{}, nil
	case errors.Is(err, errRefused):
		v.store = s
		return v.look(s)
	case errors.Is(err, errBroken):
		v.store = s
		v.giveUp()
		return v.look(nil)
	}
	return replica.Record{}, err
}

// look reads the record of a store that can't be opened for writing now, while one that is being opened
// stands still.
func (v *Vault) look(opening *store) (replica.Record, error) {
	if opening != nil {
		opening.fence.mu.Lock()
		defer opening.fence.mu.Unlock()
	}
	if _, err := v.ways.fs.Stat(v.path()); errors.Is(err, fs.ErrNotExist) {
		return replica.Record{}, nil
	}
	s, err := openStore(v.path(), v.ways, true)
	switch {
	case err == nil:
		return s.record(), s.close()
	case errors.Is(err, pebble.ErrDBDoesNotExist): // it was never opened to the end
		return replica.Record{}, nil
	case damaged(err):
		v.damaged = err
		return replica.Record{}, nil
	}
	return replica.Record{}, err
}

func (v *Vault) path() string { return filepath.Join(v.dir, storeName) }

// Damaged tells why the store that Open found could not be read whole, so that the machine has to be mended
// as after the loss of its disk; nil if it could.
func (v *Vault) Damaged() error { return v.damaged }

// hold takes the folder's lock.
func (v *Vault) hold() error {
	if v.lock != nil {
		return nil
	}
	err := v.ways.fs.MkdirAll(v.path(), 0o755)
	if err == nil {
		v.lock, err = v.ways.fs.Lock(filepath.Join(v.path(), lockName))
	}
	return err
}

// refusal reports whether an error tells that the disk takes nothing now.
func refusal(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EROFS)
}

func (v *Vault) release() {
	if v.lock != nil {
		v.lock.Close()
		v.lock = nil
	}
}

// renew lays a damaged store aside, and opens an empty one in its place.
func (v *Vault) renew() error {
	disk, aside := v.ways.fs, filepath.Join(v.dir, damagedName)
	v.release()
	if err := disk.RemoveAll(aside); err != nil {
		return err
	}
	if err := disk.Rename(v.path(), aside); err != nil && disk.RemoveAll(v.path()) != nil {
		return err
	}
	v.ruined = false
	return v.reopen()
}

func (v *Vault) reopen() error {
	if err := v.hold(); err != nil {
		return err
	}
	var err error
	v.store, err = openStore(v.path(), v.ways, false)
	return err
}

// Save writes a record and syncs it, and then calls then, on the vault's goroutine. After a failed save it is
// unknown which of the two records is on the disk. It does not block, unless hundreds of saves wait. Those
// that come once the vault is being closed are told as failed, at once: a machine that was told to stop is
// asked for its promise up to its end.
func (v *Vault) Save(r replica.Record, then func(ok bool)) {
	select {
	case <-v.closing:
		then(false)
		return
	default:
	}
	select {
	case v.jobs <- job{r, then}:
	case <-v.closing:
		then(false)
	}
}

func (v *Vault) run() {
	defer close(v.done)
	for {
		var broken chan struct{}
		if v.store != nil {
			broken = v.store.broken
		}
		select {
		case <-broken:
			v.giveUp()
		case j := <-v.jobs:
			j.then(v.write(j.record) == nil)
		case <-v.closing:
			for {
				select {
				case j := <-v.jobs: // handed in before
					j.then(v.write(j.record) == nil)
				default:
					return
				}
			}
		}
	}
}

// giveUp leaves a store to itself, if there is one, for a while.
func (v *Vault) giveUp() {
	if v.store != nil {
		v.store.giveUp()
		v.ruined = v.store.ruined.Load()
		v.store = nil
	}
	v.until = v.ways.now().Add(v.rest)
	v.rest = min(2*v.rest, backOffMost)
}

// write writes a record, in order behind what the disk has refused so far.
func (v *Vault) write(r replica.Record) error {
	err := v.opened()
	if err == nil {
		err = v.store.write(r)
	}
	if err != nil && !errors.Is(err, errRefused) && !errors.Is(err, errResting) {
		v.giveUp()
	}
	return err
}

// opened waits for the store to be free. One that was given up is opened again; one that is damaged by now is
// made anew: the record to be saved has all that is to be in it.
func (v *Vault) opened() error {
	var err error
	switch {
	case v.store != nil:
		err = v.store.wait()
	case v.ways.now().Before(v.until):
		return errResting
	case v.ruined:
		err = ErrDamaged
	default:
		err = v.reopen()
	}
	if damaged(err) {
		if v.store != nil {
			v.store.giveUp()
		}
		err = v.renew()
	}
	if err == nil {
		v.store.record() // the one to be saved is newer
	}
	return err
}

// Close ends the saves under way and closes the store. A disk that hangs is not waited for longer than the
// limit.
func (v *Vault) Close(limit time.Duration) error {
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
		v.release()
		closed <- err
	}()
	select {
	case err := <-closed:
		return trace.Wrap(err)
	case <-time.After(limit):
		return trace.LimitExceeded("vault: the disk does not answer")
	}
}
