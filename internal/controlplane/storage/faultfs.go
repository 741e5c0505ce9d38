package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// interceptedFS is a disk of which whatever is done to it goes through a function: before, around or instead.
type interceptedFS struct {
	vfs.FS
	intercept interceptor
}

// interceptor does an operation, or doesn't. Reads of files go through it too, since they must not meet a
// file that was closed.
type interceptor func(o operation, do func() error) error

// operation says what an operation does to the disk.
type operation int

const (
	operationRead  operation = iota // nothing that counts: reads, and hints, which not every system takes
	operationWrite                  // it changes what is there
	operationSync                   // it makes that last
)

// wrapOpen passes on the opening of a file.
func (w interceptedFS) wrapOpen(o operation, open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := w.intercept(o, func() (err error) {
		f, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &interceptedFile{f, w.intercept}, nil
}

func (w interceptedFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return w.wrapOpen(operationWrite, func() (vfs.File, error) { return w.FS.Create(name, c) })
}

func (w interceptedFS) Open(name string, o ...vfs.OpenOption) (vfs.File, error) {
	return w.wrapOpen(operationRead, func() (vfs.File, error) { return w.FS.Open(name, o...) })
}

func (w interceptedFS) OpenDir(name string) (vfs.File, error) {
	return w.wrapOpen(operationRead, func() (vfs.File, error) { return w.FS.OpenDir(name) })
}

func (w interceptedFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File,
	error) {
	return w.wrapOpen(operationWrite, func() (vfs.File, error) { return w.FS.OpenReadWrite(name, c, o...) })
}

func (w interceptedFS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return w.wrapOpen(operationWrite, func() (vfs.File, error) { return w.FS.ReuseForWrite(from, to, c) })
}

func (w interceptedFS) Link(from, to string) error {
	return w.intercept(operationWrite, func() error { return w.FS.Link(from, to) })
}

func (w interceptedFS) Remove(name string) error {
	return w.intercept(operationWrite, func() error { return w.FS.Remove(name) })
}

func (w interceptedFS) RemoveAll(name string) error {
	return w.intercept(operationWrite, func() error { return w.FS.RemoveAll(name) })
}

func (w interceptedFS) Rename(from, to string) error {
	return w.intercept(operationWrite, func() error { return w.FS.Rename(from, to) })
}

func (w interceptedFS) MkdirAll(name string, mode os.FileMode) error {
	return w.intercept(operationWrite, func() error { return w.FS.MkdirAll(name, mode) })
}

// Lock is pebble's. It is the vault that holds the folder's lock, through all the stores that it opens there.
func (w interceptedFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (w interceptedFS) Unwrap() vfs.FS { return w.FS }

// interceptedFile is a file of a watched disk.
type interceptedFile struct {
	vfs.File
	intercept interceptor
}

func (f *interceptedFile) count(o operation, do func() (int, error)) (n int, err error) {
	err = f.intercept(o, func() error {
		n, err = do()
		return err
	})
	return n, err
}

func (f *interceptedFile) Read(p []byte) (int, error) {
	return f.count(operationRead, func() (int, error) { return f.File.Read(p) })
}

func (f *interceptedFile) ReadAt(p []byte, at int64) (int, error) {
	return f.count(operationRead, func() (int, error) { return f.File.ReadAt(p, at) })
}

func (f *interceptedFile) Write(p []byte) (int, error) {
	done := 0
	return f.count(operationWrite, func() (int, error) { // again: with what is left
		n, err := f.File.Write(p[done:])
		done += n
		return done, err
	})
}

func (f *interceptedFile) WriteAt(p []byte, at int64) (int, error) {
	return f.count(operationWrite, func() (int, error) { return f.File.WriteAt(p, at) })
}

func (f *interceptedFile) Preallocate(at, size int64) error {
	return f.intercept(operationRead, func() error { return f.File.Preallocate(at, size) })
}

func (f *interceptedFile) Sync() error { return f.intercept(operationSync, f.File.Sync) }

func (f *interceptedFile) SyncData() error { return f.intercept(operationSync, f.File.SyncData) }

func (f *interceptedFile) SyncTo(size int64) (full bool, err error) {
	err = f.intercept(operationRead, func() error {
		full, err = f.File.SyncTo(size)
		return err
	})
	return full, err
}

func (f *interceptedFile) Stat() (i vfs.FileInfo, err error) {
	err = f.intercept(operationRead, func() error {
		i, err = f.File.Stat()
		return err
	})
	return i, err
}

func (f *interceptedFile) Prefetch(at, size int64) error {
	return f.intercept(operationRead, func() error { return f.File.Prefetch(at, size) })
}

// Fd keeps pebble from going past the watch.
func (f *interceptedFile) Fd() uintptr { return vfs.InvalidFd }

// diskGuard is what a store's disk is watched by. Pebble ends the process at the first error of the disk, at
// some places so that it can't be held back: it is told none. A change that the disk refuses is tried again
// until the disk takes it, and each refusal is told to whom waits. After a failed sync nothing that was
// written before can be counted on, so that trying again would prove nothing: the store is given up.
type diskGuard struct {
	mu           sync.RWMutex
	down         bool
	writeRefused chan struct{} // room for one
	onFailure    func()
	waitRetry    func() // before a change is tried again
}

func (f *diskGuard) intercept(o operation, do func() error) error {
	for {
		err, down := f.attempt(do)
		switch {
		case down:
			select {} // the store was given up; it would take an error for its end, and the process's
		case err == nil, o == operationRead, errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrExist):
			return err
		case o == operationSync:
			f.onFailure()
			select {}
		}
		select {
		case f.writeRefused <- struct{}{}:
		default:
		}
		f.waitRetry()
	}
}

func (f *diskGuard) attempt(do func() error) (err error, down bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.down {
		return nil, true
	}
	return do(), false
}

// shut keeps all that still runs of the store off the disk, so that another can be opened over the same
// files. It waits for what is under way there: a disk that hangs is waited for.
func (f *diskGuard) shut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}
