package flow

import "sync"

// Store is memory for requests' bodies that are held until they are whole, so that nobody behind waits for a
// slow sender. It is safe for concurrent use.
type Store struct {
	most int // bytes of one body

	mu   sync.Mutex
	free int
}

// NewStore returns a store of so many bytes, of which one body may have a quarter: few long ones must not
// keep out many shorter ones.
func NewStore(bytes int) *Store { return &Store{most: bytes / 4, free: bytes} }

// Fits reports whether a body of a length may be held at all; one that doesn't tell its length (-1) may.
func (s *Store) Fits(length int64) bool { return length <= int64(s.most) }

// Reserve reserves so many bytes more for a body that has held bytes already, or reports that there is no room.
func (s *Store) Reserve(held, more int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held+more > s.most || more > s.free {
		return false
	}
	s.free -= more
	return true
}

// Release returns bytes.
func (s *Store) Release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free += n
}
