package platform

import (
	"dunespoke/core"
	"dunespoke/front/relay"
	"dunespoke/internal/http1"
)

// Guard decides whether a request may be submitted to the core.
type Guard interface {
	// Check calls then once, from any goroutine: with nil to accept the request, or with the answer that
	// the client gets instead. It calls then before the request's deadline. The returned function reports
	// that the client has left, after which then is not called; it is nil if Check needs no such report.
	Check(r *http1.Request, in core.Request, then func(*http1.Answer)) (leave func())
}

// checkAndSubmit submits a request to the core once the guard has accepted it.
func (f *Front) checkAndSubmit(r *http1.Request, in core.Request,
	respond func(*http1.Answer)) (leave func()) {
	stages := &relay.Relay{}
	stages.Begin(f.guard.Check(r, in, func(instead *http1.Answer) {
		if instead != nil {
			respond(instead)
			return
		}
		stages.StartSecond(func() func() { return f.core.Submit(in).Leave })
	}))
	return stages.Leave
}
