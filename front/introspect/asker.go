package introspect

import (
	"sync"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/freshness"
)

// question is what one asker wants to know. It is the payload of a request to an askers' core.
type question struct {
	token, hint string
	key         freshness.Key
	taken       time.Duration // when it was taken
	route       []*Issuer     // whom to ask, in this order
}

// asker is one question that the askers' core has let in, on its way from desk to desk.
type asker struct {
	*question
	end func(core.Result)

	mu      sync.Mutex
	left    bool
	desk    *Desk
	seat    *seat
	at      int // in the route
	trouble *outcome
}

// Desks is the upstream of an askers' core. What it sends goes to the desks of the question's route.
type Desks struct{}

// Drop does nothing: desks stay.
func (Desks) Drop(core.Server) {}

// Start lets an asker go to the desks. To the core all that they have to say is an answer: an issuer's
// troubles must not make it hold up what it could serve.
func (Desks) Start(a core.Attempt) core.Running {
	k := &asker{question: a.Payload.(*question), end: a.End}
	k.walk()
	return k
}

// Abort takes the asker off the flight that it waits for.
func (a *asker) Abort() (mayHaveRun bool) {
	a.mu.Lock()
	a.left = true
	desk, seat := a.desk, a.seat
	a.mu.Unlock()
	if seat != nil {
		desk.leave(seat, a)
	}
	return true
}

// sit notes the seat that a desk gave. It returns nil: the answer comes later.
func (a *asker) sit(d *Desk, s *seat) *outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.desk, a.seat = d, s
	return nil
}

// told takes what a desk has to say later.
func (a *asker) told(out outcome) {
	if !a.take(out) {
		a.walk()
	}
}

// walk goes from desk to desk until one gives a seat or the last has answered.
func (a *asker) walk() {
	for {
		a.mu.Lock()
		desk, left := a.route[a.at].Desk, a.left
		a.mu.Unlock()
		if left {
			return
		}
		switch out := desk.put(a); {
		case out == nil:
			a.mu.Lock()
			seat := a.seat
			left = a.left && a.desk == desk
			a.mu.Unlock()
			if left && seat != nil { // it left just before it got its seat
				desk.leave(seat, a)
			}
			return
		case a.take(*out):
			return
		}
	}
}

// take works out what an outcome means for the asker, and reports whether that was its answer. Where one of
// several issuers could not be asked, the others' "inactive" is no answer.
func (a *asker) take(out outcome) (final bool) {
	a.mu.Lock()
	a.at++
	a.seat = nil
	last := a.at == len(a.route)
	if out.token == nil && (a.trouble == nil || out.after > a.trouble.after) {
		a.trouble = &out
	}
	if out.token == nil || !out.token.Active {
		if !last {
			a.mu.Unlock()
			return false
		}
		if a.trouble != nil {
			out = *a.trouble
		}
	}
	a.mu.Unlock()
	a.end(core.Result{Code: choice.OK, Body: out})
	return true
}
