package platform

import (
	"dunespoke/core"
	"dunespoke/front/relay"
	"dunespoke/internal/http1"
)

// Guard decides, before a request is handed to the core, whether it may be.
type Guard interface {
	// Check calls then once, from any goroutine: with nil to let the request on, or with the answer that
	// the client gets instead. It does so within the request's deadline, and not at all if the client
	// leaves, which it learns by the function it returns (nil if that makes no difference).
	Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func())
}

// throughGuard has a request pass the guard, and then go on to the core.
func (f *Front) throughGuard(r *http1.Request, in core.Request, respond func(*http1.Answer)) (leave func()) {
	g := &relay.Relay{}
	g.Begin(f.guard.Check(r, in, func(instead *http1.Answer) {
		if instead != nil {
			respond(instead)
			return
		}
		g.StartSecond(func() func() { return f.core.Submit(in).Leave })
	}))
	return g.Leave
}
