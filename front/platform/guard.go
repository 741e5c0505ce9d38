package platform

import (
	"sync"

	"dunespoke/core"
	"dunespoke/internal/http1"
)

// Guard decides, before a request is handed to the core, whether it may be.
type Guard interface {
	// Check calls then once, from any goroutine: with nil to let the request on, or with the answer that
	// the client gets instead. It does so within the request's deadline, and not at all if the client
	// leaves, which it learns by the function it returns (nil if that makes no difference).
	Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func())
}

// guarded is a request on its way through a guard and on to the core. What was taken is left in the place
// where it is, and a guard's late word on a request that was left starts nothing.
type guarded struct {
	mu    sync.Mutex
	left  bool
	leave func() // of the guard, then of the core
	moved bool   // it is with the core
}

func (f *Front) throughGuard(r *http1.Request, in core.Request, respond func(*http1.Answer)) (leave func()) {
	g := &guarded{}
	stop := f.guard.Check(r, in, func(instead *http1.Answer) {
		if instead != nil {
			respond(instead)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.left || g.moved {
			return
		}
		g.moved, g.leave = true, f.core.Submit(in).Leave
	})
	g.mu.Lock()
	if !g.moved {
		g.leave = stop
	}
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.left = true
		if g.leave != nil {
			g.leave()
		}
	}
}
