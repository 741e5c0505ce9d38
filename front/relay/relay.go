// Package relay passes a request through two stages, such as a guard that decides whether it may continue and
// then the core that answers it, while its client may leave at any time.
package relay

import "sync"

// Relay is a request that passes through two stages. The zero Relay is ready for use. It must not be copied,
// and is safe for concurrent use.
type Relay struct {
	mu            sync.Mutex
	left          bool // the client has left
	secondStarted bool
	leave         func() // notifies the current stage that the client has left; may be nil
}

// Begin sets the function that notifies the first stage that the client has left. It may be called after
// StartSecond, and then has no effect: Leave notifies the second stage.
func (r *Relay) Begin(leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.secondStarted {
		r.leave = leave
	}
}

// StartSecond calls start to begin the second stage, unless the client has left or the stage was started
// before: a late call of the first stage has no effect. start returns the function that notifies the second
// stage that the client has left. start must not call methods of the Relay, whose mutex is locked.
func (r *Relay) StartSecond(start func() (leave func())) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left && !r.secondStarted {
		r.secondStarted, r.leave = true, start()
	}
}

// Leave notifies the current stage that the client has left.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	if r.leave != nil {
		r.leave()
	}
}
