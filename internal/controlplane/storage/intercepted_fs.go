package storage

import (
	"io"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// interceptedFS is a file system that performs all operations through an interceptor.
type interceptedFS struct {
	vfs.FS
	intercept interceptor
}

// interceptor performs an operation by calling perform, any number of times or not at all. Reads go through
// it too, since they must not access a file that was closed.
type interceptor func(o operation, perform func() error) error

// operation is the kind of a disk operation.
type operation int

const (
	operationRead  operation = iota // reads, and hints, which not every system supports
	operationWrite                  // changes files or directories
	operationSync                   // makes changes durable
)

// wrapOpen opens a file through the interceptor and wraps it.
func (i interceptedFS) wrapOpen(o operation, open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := i.intercept(o, func() (err error) {
		f, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &interceptedFile{f, i.intercept}, nil
}

func (i interceptedFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return i.wrapOpen(operationWrite, func() (vfs.File, error) { return i.FS.Create(name, c) })
}

func (i interceptedFS) Open(name string, o ...vfs.OpenOption) (vfs.File, error) {
	return i.wrapOpen(operationRead, func() (vfs.File, error) { return i.FS.Open(name, o...) })
}

func (i interceptedFS) OpenDir(name string) (vfs.File, error) {
	return i.wrapOpen(operationRead, func() (vfs.File, error) { return i.FS.OpenDir(name) })
}

func (i interceptedFS) OpenReadWrite(name string, c vfs.DiskWriteCategory,
	o ...vfs.OpenOption) (vfs.File, error) {
	return i.wrapOpen(operationWrite, func() (vfs.File, error) { return i.FS.OpenReadWrite(name, c, o...) })
}

func (i interceptedFS) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return i.wrapOpen(operationWrite, func() (vfs.File, error) { return i.FS.ReuseForWrite(from, to, c) })
}

func (i interceptedFS) Link(from, to string) error {
	return i.intercept(operationWrite, func() error { return i.FS.Link(from, to) })
}

func (i interceptedFS) Remove(name string) error {
	return i.intercept(operationWrite, func() error { return i.FS.Remove(name) })
}

func (i interceptedFS) RemoveAll(name string) error {
	return i.intercept(operationWrite, func() error { return i.FS.RemoveAll(name) })
}

func (i interceptedFS) Rename(from, to string) error {
	return i.intercept(operationWrite, func() error { return i.FS.Rename(from, to) })
}

func (i interceptedFS) MkdirAll(name string, mode os.FileMode) error {
	return i.intercept(operationWrite, func() error { return i.FS.MkdirAll(name, mode) })
}

// Lock does nothing for pebble: Storage keeps the lock of the directory across all stores that it opens
// there.
func (i interceptedFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (i interceptedFS) Unwrap() vfs.FS { return i.FS }

// interceptedFile is a file that performs all operations through an interceptor.
type interceptedFile struct {
	vfs.File
	intercept interceptor
}

// transfer performs an operation that returns a number of bytes.
func (f *interceptedFile) transfer(o operation, perform func() (int, error)) (n int, err error) {
	err = f.intercept(o, func() error {
		n, err = perform()
		return err
	})
	return n, err
}

func (f *interceptedFile) Read(p []byte) (int, error) {
	return f.transfer(operationRead, func() (int, error) { return f.File.Read(p) })
}

func (f *interceptedFile) ReadAt(p []byte, at int64) (int, error) {
	return f.transfer(operationRead, func() (int, error) { return f.File.ReadAt(p, at) })
}

func (f *interceptedFile) Write(p []byte) (int, error) {
	written := 0
	return f.transfer(operationWrite, func() (int, error) { // a retry continues after what was written
		n, err := f.File.Write(p[written:])
		written += n
		return written, err
	})
}

func (f *interceptedFile) WriteAt(p []byte, at int64) (int, error) {
	return f.transfer(operationWrite, func() (int, error) { return f.File.WriteAt(p, at) })
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

func (f *interceptedFile) Stat() (info vfs.FileInfo, err error) {
	err = f.intercept(operationRead, func() error {
		info, err = f.File.Stat()
		return err
	})
	return info, err
}

func (f *interceptedFile) Prefetch(at, size int64) error {
	return f.intercept(operationRead, func() error { return f.File.Prefetch(at, size) })
}

// Fd returns no descriptor, so that pebble can't bypass the interceptor.
func (f *interceptedFile) Fd() uintptr { return vfs.InvalidFd }
