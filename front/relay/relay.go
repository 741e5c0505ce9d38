// Package relay holds a request that goes through two hands, first one that decides whether it may go on,
// then the one that answers it, while its client may leave at any moment.
package relay

import "sync"

// Relay is such a request. The zero Relay is ready for use, and must not be copied.
type Relay struct {
	mu    sync.Mutex
	left  bool
	moved bool   // it is with the second
	leave func() // of the first, then of the second; may be nil
}

// Begin notes how the first hand learns that the client has left. It may come after StartSecond: what was
// taken on is left in the place where it is.
func (r *Relay) Begin(leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.moved {
		r.leave = leave
	}
}

// StartSecond hands the request on, unless the client has left or it was handed on before: a late word of the
// first hand starts nothing. next returns how the second learns that the client has left; it must not call back.
func (r *Relay) StartSecond(next func() (leave func())) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left && !r.moved {
		r.moved, r.leave = true, next()
	}
}

// Leave tells whoever has the request that its client has left.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	if r.leave != nil {
		r.leave()
	}
}
