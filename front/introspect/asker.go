package introspect

import (
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/freshness"
)

// query is one request to introspect a token. It is the payload of a request to Issuer.Asks.
type query struct {
	token, hint string
	key         freshness.Key
	receivedAt  time.Duration // by the clock of the cores
	route       []*Issuer     // the issuers to query, in this order
}

// waiter is one query that was admitted by Issuer.Asks. It queries the desks of its route one after the other
// and waits for their answers.
type waiter struct {
	*query
	end func(core.Result)

	mu         sync.Mutex
	aborted    bool
	desk       *Desk
	sharedCall *sharedCall
	routeIndex int      // index in route of the issuer being queried
	failure    *outcome // of the issuers that gave no answer, the one with the longest wait
}

// Desks is the upstream of Issuer.Asks. It sends each query to the desks of its route.
type Desks struct{}

// Drop does nothing, as desks are never removed.
func (Desks) Drop(core.Server) {}

// Start queries the desks. It reports every outcome to the core as a success, also the failure of an issuer,
// so that the core does not hold back requests that it could serve.
func (Desks) Start(a core.Attempt) core.Running {
	k := &waiter{query: a.Payload.(*query), end: a.End}
	k.tryDesks()
	return k
}

// Abort stops waiting for the shared upstream query.
func (a *waiter) Abort() (mayHaveRun bool) {
	a.mu.Lock()
	a.aborted = true
	desk, sharedCall := a.desk, a.sharedCall
	a.mu.Unlock()
	if sharedCall != nil {
		desk.leave(sharedCall, a)
	}
	return true
}

// attach records the upstream query that the waiter has joined. It returns nil: the outcome is delivered
// later.
func (a *waiter) attach(d *Desk, s *sharedCall) *outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.desk, a.sharedCall = d, s
	return nil
}

// deliver receives the outcome of an upstream query. If it is not final, the next desk is queried.
func (a *waiter) deliver(out outcome) {
	if !a.applyOutcome(out) {
		a.tryDesks()
	}
}

// tryDesks queries the desks in order until the waiter has joined an upstream query or has a final outcome.
func (a *waiter) tryDesks() {
	for {
		a.mu.Lock()
		desk, aborted := a.route[a.routeIndex].Desk, a.aborted
		a.mu.Unlock()
		if aborted {
			return
		}
		switch out := desk.submit(a); {
		case out == nil:
			a.mu.Lock()
			sharedCall := a.sharedCall
			aborted = a.aborted && a.desk == desk
			a.mu.Unlock()
			if aborted && sharedCall != nil { // it was aborted just before it was attached
				desk.leave(sharedCall, a)
			}
			return
		case a.applyOutcome(*out):
			return
		}
	}
}

// applyOutcome processes the outcome of one issuer and reports whether it was final, in which case it has
// ended the attempt. If one of several issuers gave no answer, "inactive" from the others is not conclusive.
func (a *waiter) applyOutcome(out outcome) (final bool) {
	a.mu.Lock()
	a.routeIndex++
	a.sharedCall = nil
	last := a.routeIndex == len(a.route)
	if out.token == nil && (a.failure == nil || out.after > a.failure.after) {
		a.failure = &out
	}
	if out.token == nil || !out.token.Active {
		if !last {
			a.mu.Unlock()
			return false
		}
		if a.failure != nil {
			out = *a.failure
		}
	}
	a.mu.Unlock()
	a.end(core.Result{Code: choice.OK, Body: out})
	return true
}
