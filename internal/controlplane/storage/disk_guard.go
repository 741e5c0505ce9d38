package storage

import (
	"errors"
	"io/fs"
	"sync"
)

// diskGuard hides disk errors from pebble, which terminates the process on the first one, in some places
// inevitably. A write that the disk refuses is retried until it succeeds, and each refusal is signalled on
// writeRefused. A failed sync is not retried: earlier writes may be lost even if a later sync succeeds, so
// the store is abandoned.
type diskGuard struct {
	mu           sync.RWMutex
	closed       bool
	writeRefused chan struct{} // capacity 1
	onFailure    func()        // called after a failed sync
	waitRetry    func()        // delays the retry of a write
}

// intercept performs an operation. It returns only errors that pebble handles: those of reads, and of files
// that exist or don't. It blocks forever once the store was abandoned, since pebble would terminate the
// process on an error.
func (g *diskGuard) intercept(o operation, perform func() error) error {
	for {
		closed, err := g.attempt(perform)
		switch {
		case closed:
			select {}
		case err == nil, o == operationRead, errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrExist):
			return err
		case o == operationSync:
			g.onFailure()
			select {}
		}
		select {
		case g.writeRefused <- struct{}{}:
		default:
		}
		g.waitRetry()
	}
}

// attempt performs an operation once, unless the guard is closed.
func (g *diskGuard) attempt(perform func() error) (closed bool, err error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.closed {
		return true, nil
	}
	return false, perform()
}

// close prevents the store's goroutines from accessing the disk, so that another store can be opened on the
// same files. It waits for operations in flight, without a time limit if the disk hangs.
func (g *diskGuard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}
