package replica

import (
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// answeredWatchRetention is how long an answered watch is remembered: a watcher may go to all other replicas
// before it returns.
const answeredWatchRetention = 4 * nodeLeaseDuration

// watcher is a pending watch, which is answered when there is an update or at its deadline.
type watcher struct {
	request  *message.Message
	watch    *message.Watch
	deadline time.Duration
}

// answeredWatch identifies the last answered watch of a process, and when it was first answered.
type answeredWatch struct {
	incarnation uint64
	requestID   uint64
	at          time.Duration
}

// watchers are the pending and the answered watches, by the address of the watching process.
type watchers struct {
	pending  map[string]*watcher
	answered map[string]answeredWatch

	lastServing  time.Duration // when this replica last could answer watches with fresh state; 0: never
	servingSince time.Duration // since when it could, disregarding view changes
}

func newWatchers() watchers {
	return watchers{pending: map[string]*watcher{}, answered: map[string]answeredWatch{}}
}

// expireAnswers removes answered watches that are too old.
func (w *watchers) expireAnswers(now time.Duration) {
	maps.DeleteFunc(w.answered, func(_ string,
		a answeredWatch) bool {
		return now > a.at+answeredWatchRetention
	})
}

// recordAnswer records that a watch is answered, unless it was answered before.
func (w *watchers) recordAnswer(now time.Duration, from string, request *message.Message) {
	old := w.answered[from]
	if old.incarnation != request.Incarnation || old.requestID < request.RequestID {
		w.answered[from] = answeredWatch{request.Incarnation, request.RequestID, now}
	}
}

// due returns the addresses of the pending watches whose deadline has passed, or of all. They are sorted, so
// that a simulation is reproducible from its seed.
func (w *watchers) due(now time.Duration, all bool) (list []string) {
	for from, pending := range w.pending {
		if all || now >= pending.deadline {
			list = append(list, from)
		}
	}
	slices.Sort(list)
	return list
}

// handleWatch handles a watch, which renews the lease of its sender. The lease counts from when the watch was
// sent, which follows from the delay since the previous response that it reports, so that a delayed or
// repeated watch doesn't extend it. A first watch reports no previous response, and the next one follows at
// once.
func (r *Replica) handleWatch(from string, request *message.Message, watch *message.Watch) {
	last, known := r.watchers.answered[from]
	if known && last.incarnation == request.Incarnation && last.requestID == watch.EchoRequestID {
		sentAt := min(r.now, last.at+time.Duration(watch.EchoDelayMillis)*time.Millisecond)
		age := uint64((r.now - sentAt).Milliseconds())
		r.nodes.renew(r.now, message.Node{Addr: from, Zone: watch.Zone, LeaseAge: age}, true)
	}
	old := r.watchers.pending[from]
	if old != nil && old.request.Incarnation == request.Incarnation &&
		old.request.RequestID >= request.RequestID {
		return // a repeated or late watch: the watcher has already sent a newer one
	}
	wait := min(time.Duration(watch.WaitMillis)*time.Millisecond, nodeLeaseDuration/2)
	r.watchers.pending[from] = &watcher{request, watch, r.now + wait}
	r.answerWatcher(from, false)
}

// notifyWatchers answers all watches for which there is an update.
func (r *Replica) notifyWatchers() {
	for _, from := range r.watchers.due(r.now, true) {
		r.answerWatcher(from, false)
	}
}

// answerDueWatchers answers the watches whose deadline has passed.
func (r *Replica) answerDueWatchers() {
	if r.isFresh() {
		if !r.recentlyServing() {
			r.watchers.servingSince = r.now
		}
		r.watchers.lastServing = r.now
	}
	r.snapshots.expire(r.now)
	for _, from := range r.watchers.due(r.now, !r.recentlyServing()) {
		r.answerWatcher(from, r.now >= r.watchers.pending[from].deadline)
	}
}

// isFresh reports whether this replica may report its state as the newest one.
func (r *Replica) isFresh() bool { return r.ServingWithQuorum() && !r.commitOverdue() }

// recentlyServing reports whether this replica serves or recently did. A view change is short, so watchers
// need not turn to other replicas during it.
func (r *Replica) recentlyServing() bool {
	return r.watchers.lastServing != 0 && r.now < r.watchers.lastServing+viewChangeAllowance
}

// answerWatcher answers a watch if there is an update for it, its deadline has passed (due), or this replica
// has no fresh state and is not just changing views.
func (r *Replica) answerWatcher(to string, due bool) {
	pending := r.watchers.pending[to]
	watch := pending.watch
	response := &message.WatchResponse{Epoch: watch.Epoch, Fresh: r.isFresh() && watch.Epoch <= r.epoch}
	if !response.Fresh && !r.recentlyServing() {
		due = true
	}
	if response.Fresh {
		if r.epoch != watch.Epoch {
			r.appendView(response)
			due = true
		}
		if r.appendResources(to, watch, response) {
			due = true
		}
	}
	if !due {
		return
	}
	delete(r.watchers.pending, to)
	r.watchers.recordAnswer(r.now, to, pending.request)
	r.reply(to, pending.request, response)
}

// appendView adds the view and the membership to a response, including the outgoing members, if this replica
// knows of a change that may never complete.
func (r *Replica) appendView(response *message.WatchResponse) {
	pending := &r.store.pending
	response.Epoch, response.Chain = r.epoch, r.chain
	response.Members, response.OutgoingMembers = pending.Members, pending.OutgoingMembers
	response.MembershipEpoch, response.RemovedMembers = pending.MembershipEpoch, pending.RemovedMembers
}
