package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// watched is a disk of which whatever is done to it goes through a function: before, around or instead.
type watched struct {
	vfs.FS
	around around
}

// around does an operation, or doesn't. Reads of files go through it too, since they must not meet a file
// that was closed.
type around func(o op, do func() error) error

// op says what an operation does to the disk.
type op int

const (
	opRead  op = iota // nothing that counts: reads, and hints, which not every system takes
	opWrite           // it changes what is there
	opSync            // it makes that last
)

// made passes on the opening of a file.
func (w watched) made(o op, open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := w.around(o, func() (err error) {
		f, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &watchedFile{f, w.around}, nil
}

func (w watched) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return w.made(opWrite, func() (vfs.File, error) { return w.FS.Create(name, c) })
}

func (w watched) Open(name string, o ...vfs.OpenOption) (vfs.File, error) {
	return w.made(opRead, func() (vfs.File, error) { return w.FS.Open(name, o...) })
}

func (w watched) OpenDir(name string) (vfs.File, error) {
	return w.made(opRead, func() (vfs.File, error) { return w.FS.OpenDir(name) })
}

func (w watched) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	return w.made(opWrite, func() (vfs.File, error) { return w.FS.OpenReadWrite(name, c, o...) })
}

func (w watched) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return w.made(opWrite, func() (vfs.File, error) { return w.FS.ReuseForWrite(from, to, c) })
}

func (w watched) Link(from, to string) error {
	return w.around(opWrite, func() error { return w.FS.Link(from, to) })
}

func (w watched) Remove(name string) error {
	return w.around(opWrite, func() error { return w.FS.Remove(name) })
}

func (w watched) RemoveAll(name string) error {
	return w.around(opWrite, func() error { return w.FS.RemoveAll(name) })
}

func (w watched) Rename(from, to string) error {
	return w.around(opWrite, func() error { return w.FS.Rename(from, to) })
}

func (w watched) MkdirAll(name string, mode os.FileMode) error {
	return w.around(opWrite, func() error { return w.FS.MkdirAll(name, mode) })
}

// Lock is pebble's. It is the vault that holds the folder's lock, through all the stores that it opens there.
func (w watched) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (w watched) Unwrap() vfs.FS { return w.FS }

// watchedFile is a file of a watched disk.
type watchedFile struct {
	vfs.File
	around around
}

func (f *watchedFile) count(o op, do func() (int, error)) (n int, err error) {
	err = f.around(o, func() error {
		n, err = do()
		return err
	})
	return n, err
}

func (f *watchedFile) Read(p []byte) (int, error) {
	return f.count(opRead, func() (int, error) { return f.File.Read(p) })
}

func (f *watchedFile) ReadAt(p []byte, at int64) (int, error) {
	return f.count(opRead, func() (int, error) { return f.File.ReadAt(p, at) })
}

func (f *watchedFile) Write(p []byte) (int, error) {
	done := 0
	return f.count(opWrite, func() (int, error) { // again: with what is left
		n, err := f.File.Write(p[done:])
		done += n
		return done, err
	})
}

func (f *watchedFile) WriteAt(p []byte, at int64) (int, error) {
	return f.count(opWrite, func() (int, error) { return f.File.WriteAt(p, at) })
}

func (f *watchedFile) Preallocate(at, size int64) error {
	return f.around(opRead, func() error { return f.File.Preallocate(at, size) })
}

func (f *watchedFile) Sync() error { return f.around(opSync, f.File.Sync) }

func (f *watchedFile) SyncData() error { return f.around(opSync, f.File.SyncData) }

func (f *watchedFile) SyncTo(size int64) (full bool, err error) {
	err = f.around(opRead, func() error {
		full, err = f.File.SyncTo(size)
		return err
	})
	return full, err
}

func (f *watchedFile) Stat() (i vfs.FileInfo, err error) {
	err = f.around(opRead, func() error {
		i, err = f.File.Stat()
		return err
	})
	return i, err
}

func (f *watchedFile) Prefetch(at, size int64) error {
	return f.around(opRead, func() error { return f.File.Prefetch(at, size) })
}

// Fd keeps pebble from going past the watch.
func (f *watchedFile) Fd() uintptr { return vfs.InvalidFd }

// fence is what a store's disk is watched by. Pebble ends the process at the first error of the disk, at some
// places so that it can't be held back: it is told none. A change that the disk refuses is tried again until
// the disk takes it, and each refusal is told to whom waits. After a failed sync nothing that was written
// before can be counted on, so that trying again would prove nothing: the store is given up.
type fence struct {
	mu      sync.RWMutex
	down    bool
	refused chan struct{} // room for one
	broken  func()
	pause   func() // before a change is tried again
}

func (f *fence) around(o op, do func() error) error {
	for {
		err, down := f.try(do)
		switch {
		case down:
			select {} // the store was given up; it would take an error for its end, and the process's
		case err == nil, o == opRead, errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrExist):
			return err
		case o == opSync:
			f.broken()
			select {}
		}
		select {
		case f.refused <- struct{}{}:
		default:
		}
		f.pause()
	}
}

func (f *fence) try(do func() error) (err error, down bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.down {
		return nil, true
	}
	return do(), false
}

// shut keeps all that still runs of the store off the disk, so that another can be opened over the same
// files. It waits for what is under way there: a disk that hangs is waited for.
func (f *fence) shut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}
