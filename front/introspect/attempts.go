package introspect

import (
	"time"

	"dunespoke/choice"
	"dunespoke/core"
)

// Attempts is an upstream of DeskOptions.Questions that wraps the upstream to the servers. It counts the
// attempts that say something about the health of the service, and gives up each attempt after a limit, so
// that the core can try another server while the query has time left.
type Attempts struct {
	core.Upstream
	Limit time.Duration // for one attempt; zero means the timeout of the query
}

// Start starts an attempt.
func (u Attempts) Start(a core.Attempt) core.Running {
	m, end := a.Payload.(*message), a.End
	m.started.Add(1)
	a.End = func(r core.Result) {
		if r.Code != choice.Cancelled && r.Code != choice.Skipped {
			m.completed.Add(1)
		}
		end(r)
	}
	running := u.Upstream.Start(a)
	if u.Limit <= 0 || u.Limit >= a.Timeout {
		return running
	}
	t := &limitedAttempt{Running: running}
	t.timer = time.AfterFunc(u.Limit, func() {
		code := choice.TimedOut
		if !running.Abort() {
			code = choice.Refused
		}
		a.End(core.Result{Code: code}) // has no effect if the attempt has ended meanwhile
	})
	return t
}

// limitedAttempt is an attempt with a limit shorter than its timeout.
type limitedAttempt struct {
	core.Running
	timer *time.Timer
}

// Abort stops the timer and aborts the attempt.
func (t *limitedAttempt) Abort() bool {
	t.timer.Stop()
	return t.Running.Abort()
}
