package flow

import "sync"

// Store accounts for the memory of request bodies that are buffered until they are complete, so that nothing
// behind the gateway waits for a slow sender. It is safe for concurrent use.
type Store struct {
	maxBody int // bytes of one body

	mu   sync.Mutex
	free int // bytes
}

// NewStore returns a store of the given number of bytes. One body may use at most a quarter of it, so that a
// few long bodies cannot crowd out many shorter ones.
func NewStore(bytes int) *Store { return &Store{maxBody: bytes / 4, free: bytes} }

// Fits reports whether a body of the given length is within the limit for one body. A length of -1 means that
// it is unknown, and fits.
func (s *Store) Fits(length int64) bool { return length <= int64(s.maxBody) }

// Reserve reserves more bytes for a body that has already reserved some. It reports false, and reserves
// nothing, if the body would exceed its limit or the store does not have that many bytes free.
func (s *Store) Reserve(reserved, more int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reserved+more > s.maxBody || more > s.free {
		return false
	}
	s.free -= more
	return true
}

// Release returns n reserved bytes to the store.
func (s *Store) Release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free += n
}
