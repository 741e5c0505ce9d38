package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// answeredWatchRetention is how long an answer is remembered: who watches turns to all others first, and
// comes back.
const answeredWatchRetention = 4 * nodeLeaseDuration

// watcher is a watch that waits for something new.
type watcher struct {
	request  *message.Message
	watch    *message.Watch
	deadline time.Duration
}

// answeredWatch is the last watch of a process that was answered, and when it first was.
type answeredWatch struct {
	incarnation uint64
	requestID   uint64
	at          time.Duration
}

// watchers are the watches that wait, by the address of who watches.
type watchers struct {
	waiting  map[string]*watcher
	answered map[string]answeredWatch

	lastServing  time.Duration // when this replica last answered watches with what is the newest; 0: never
	servingSince time.Duration // since when it does, but for changes of the view
}

func newWatchers() watchers {
	return watchers{waiting: map[string]*watcher{}, answered: map[string]answeredWatch{}}
}

// forgetAnswers drops answers of long ago.
func (w *watchers) forgetAnswers(now time.Duration) {
	maps.DeleteFunc(w.answered, func(_ string,
		a answeredWatch) bool {
		return now > a.at+answeredWatchRetention
	})
}

// recordAnswer notes that a watch is answered, unless it was before.
func (w *watchers) recordAnswer(now time.Duration, from string, request *message.Message) {
	old := w.answered[from]
	if old.incarnation != request.Incarnation || old.requestID < request.RequestID {
		w.answered[from] = answeredWatch{request.Incarnation, request.RequestID, now}
	}
}

// due returns who waits for something new, all or those who have waited long enough, in an agreed order: a
// simulation repeats by its seed.
func (w *watchers) due(now time.Duration, all bool) (list []string) {
	for from, waiting := range w.waiting {
		if all || now >= waiting.deadline {
			list = append(list, from)
		}
	}
	slices.Sort(list)
	return list
}

// handleWatch takes a watch, which renews the lease of who sent it. The lease counts from when that was sent,
// by what it says of the response before: one that waited on its way, or comes again, is as old as it is. A
// first watch names none, and the next one follows at once.
func (r *Replica) handleWatch(from string, request *message.Message, watch *message.Watch) {
	last, known := r.watchers.answered[from]
	if known && last.incarnation == request.Incarnation && last.requestID == watch.EchoRequestID {
		sentAt := min(r.now, last.at+time.Duration(watch.EchoDelayMillis)*time.Millisecond)
		age := uint64((r.now - sentAt).Milliseconds())
		r.nodes.renew(r.now, message.Node{Addr: from, Zone: watch.Zone, LeaseAge: age}, true)
	}
	old := r.watchers.waiting[from]
	if old != nil && old.request.Incarnation == request.Incarnation &&
		old.request.RequestID >= request.RequestID {
		return // it comes again, or late: who watches has gone on
	}
	wait := min(time.Duration(watch.WaitMillis)*time.Millisecond, nodeLeaseDuration/2)
	r.watchers.waiting[from] = &watcher{request, watch, r.now + wait}
	r.answerWatcher(from, false)
}

// notifyWatchers answers all for whom there is something new.
func (r *Replica) notifyWatchers() {
	for _, from := range r.watchers.due(r.now, true) {
		r.answerWatcher(from, false)
	}
}

// answerDueWatchers answers those that have waited long enough.
func (r *Replica) answerDueWatchers() {
	if r.tellsNewest() {
		if !r.recentlyServing() {
			r.watchers.servingSince = r.now
		}
		r.watchers.lastServing = r.now
	}
	r.snapshots.expire(r.now)
	for _, from := range r.watchers.due(r.now, !r.recentlyServing()) {
		r.answerWatcher(from, r.now >= r.watchers.waiting[from].deadline)
	}
}

// tellsNewest reports whether what this replica knows may be told as the newest.
func (r *Replica) tellsNewest() bool { return r.ServingWithQuorum() && !r.commitOverdue() }

// recentlyServing reports whether this replica serves, or did so a moment ago: a change of the view is over
// soon, and those who watch need not turn elsewhere for it.
func (r *Replica) recentlyServing() bool {
	return r.watchers.lastServing != 0 && r.now < r.watchers.lastServing+viewChangeAllowance
}

// answerWatcher answers a watch, if there is something new for it or it has waited long enough.
func (r *Replica) answerWatcher(to string, due bool) {
	waiting := r.watchers.waiting[to]
	watch := waiting.watch
	response := &message.WatchResponse{Epoch: watch.Epoch, Fresh: r.tellsNewest() && watch.Epoch <= r.epoch}
	if !response.Fresh && !r.recentlyServing() {
		due = true
	}
	if response.Fresh {
		if r.epoch != watch.Epoch {
			r.tellView(response)
			due = true
		}
		if r.appendResources(to, watch, response) {
			due = true
		}
	}
	if !due {
		return
	}
	delete(r.watchers.waiting, to)
	r.watchers.recordAnswer(r.now, to, waiting.request)
	r.reply(to, waiting.request, response)
}

// tellView tells the view and the members, with the outgoing ones, where this replica knows of a change that
// may never be complete.
func (r *Replica) tellView(response *message.WatchResponse) {
	pending := &r.store.pending
	response.Epoch, response.Chain = r.epoch, r.chain
	response.Members, response.OutgoingMembers = pending.Members, pending.OutgoingMembers
	response.MembershipEpoch, response.RemovedMembers = pending.MembershipEpoch, pending.RemovedMembers
}
