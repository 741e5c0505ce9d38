package introspect

import (
	"time"

	"dunespoke/choice"
	"dunespoke/core"
)

// Attempts stands between the core that puts questions and the sockets. It notes which attempts told
// something of the service, and gives up each after a limit, so that the core can try another server while
// the question has time left.
type Attempts struct {
	core.Upstream
	Limit time.Duration // for one attempt; 0: the question's own
}

// Start sends an attempt.
func (u Attempts) Start(a core.Attempt) core.Running {
	m, end := a.Payload.(*message), a.End
	m.begun.Add(1)
	a.End = func(r core.Result) {
		if r.Code != choice.Cancelled && r.Code != choice.Skipped {
			m.sent.Add(1)
		}
		end(r)
	}
	running := u.Upstream.Start(a)
	if u.Limit <= 0 || u.Limit >= a.Timeout {
		return running
	}
	t := &timed{Running: running}
	t.timer = time.AfterFunc(u.Limit, func() {
		code := choice.TimedOut
		if !running.Abort() {
			code = choice.Refused
		}
		a.End(core.Result{Code: code}) // of no effect if it ended meanwhile
	})
	return t
}

// timed is an attempt with a limit of its own.
type timed struct {
	core.Running
	timer *time.Timer
}

// Abort ends the attempt.
func (t *timed) Abort() bool {
	t.timer.Stop()
	return t.Running.Abort()
}
