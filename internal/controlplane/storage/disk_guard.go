package storage

import (
	"errors"
	"io/fs"
	"sync"
)

// diskGuard stands between a store and its disk. Pebble ends the process at the first error of the disk, at
// some places so that it can't be held back: it is told none. A change that the disk refuses is tried again
// until the disk accepts it, and each refusal is told to whoever waits. After a failed sync nothing that was
// written before can be counted on, so that trying again would prove nothing: the store is given up.
type diskGuard struct {
	mu           sync.RWMutex
	closed       bool
	writeRefused chan struct{} // room for one
	onFailure    func()
	waitRetry    func() // before a change is tried again
}

// intercept does an operation. It returns no error of the disk but those that pebble expects, and does not
// return once the store was given up: pebble would take an error for its end, and the process's.
func (g *diskGuard) intercept(o operation, do func() error) error {
	for {
		closed, err := g.attempt(do)
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

func (g *diskGuard) attempt(do func() error) (closed bool, err error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.closed {
		return true, nil
	}
	return false, do()
}

// shut keeps all that still runs of the store off the disk, so that another can be opened over the same
// files. It waits for what is under way there: a disk that hangs is waited for.
func (g *diskGuard) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}
