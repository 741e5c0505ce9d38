package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// endpointsStaleAfter is how long a view may serve without reading the list itself before an older list is
// distributed.
const endpointsStaleAfter = 2 * time.Second

// endpointTable is the list of servers that the holder of the role EndpointReader read last.
type endpointTable struct {
	list   message.EndpointList // Epoch is 0 if there is none
	digest message.Digest       // of the servers in the list; zero: not computed yet
}

// version returns the epoch and the sequence number of the list, without its content.
func (t *endpointTable) version() *message.EndpointList {
	return &message.EndpointList{Epoch: t.list.Epoch, Sequence: t.list.Sequence}
}

// set stores a list that was read under an epoch, and reports whether the list has changed.
func (t *endpointTable) set(epoch uint64, endpoints []message.Endpoint) bool {
	if t.list.Epoch == epoch && slices.Equal(endpoints, t.list.Endpoints) {
		return false
	}
	sequence := uint64(1)
	if t.list.Epoch == epoch {
		sequence = t.list.Sequence + 1
	}
	t.replace(message.EndpointList{Epoch: epoch, Sequence: sequence, Endpoints: endpoints})
	return true
}

// replace stores a newer list.
func (t *endpointTable) replace(list message.EndpointList) {
	t.list, t.digest = list, message.Digest{}
}

// hasSameContent reports whether a watcher already has the servers of the list.
func (t *endpointTable) hasSameContent(watch *message.Watch) bool {
	if watch.Endpoints == nil || watch.EndpointsDigest == (message.Digest{}) {
		return false
	}
	if t.digest == (message.Digest{}) {
		t.digest = t.list.ContentDigest()
	}
	return watch.EndpointsDigest == t.digest
}

// SetEndpoints stores the list of servers that this replica has read as the EndpointReader. startedUnder is
// the epoch in which it held the role when it began to read, and is the fencing token of the list. If the
// view has changed during the read, the list may be older than the one that the next holder has distributed,
// so it is dropped.
func (r *Replica) SetEndpoints(now time.Duration, startedUnder uint64, endpoints []message.Endpoint) {
	epoch, ok := r.HoldsRole(now, EndpointReader)
	if !ok || startedUnder != epoch {
		return
	}
	changed := r.endpoints.set(epoch, endpoints)
	r.sendEndpoints()
	if changed {
		r.notifyWatchers()
	}
}

// sendEndpoints sends the list to the replicas of the chain that have an older one.
func (r *Replica) sendEndpoints() {
	list := &r.endpoints.list
	for _, to := range r.chain {
		p := r.peers.byAddr[to]
		if to == r.self || p == nil || p.endpointsEpoch == list.Epoch && p.endpointsSequence >= list.Sequence {
			continue
		}
		r.sendEndpointsTo(to, p)
	}
}

func (r *Replica) sendEndpointsTo(to string, p *peerState) {
	// a copy, because this replica's own list may change before it is sent
	list := r.endpoints.list
	p.endpointsEpoch, p.endpointsSequence = list.Epoch, list.Sequence // assumed until the peer's next heartbeat
	r.send(to, &message.EndpointUpdate{Endpoints: &list})
}

// sendNewerEndpoints distributes an older view's list if the list has not been read in this view for
// endpointsStaleAfter, since the platform may be down. Replicas that have a newer list than the holder of the
// role send it to the holder, which sends it to those with an older one. The list keeps its fencing token.
func (r *Replica) sendNewerEndpoints(to string, p *peerState) {
	holder := RoleHolder(r.chain, EndpointReader)
	if r.state != StateServing || r.now < r.stateSince+endpointsStaleAfter ||
		r.endpoints.list.Epoch == r.epoch ||
		holder != r.self && holder != to || !slices.Contains(r.chain, to) {
		return
	}
	theirs := &message.EndpointList{Epoch: p.endpointsEpoch, Sequence: p.endpointsSequence}
	if r.endpoints.list.Newer(theirs) {
		r.sendEndpointsTo(to, p)
	}
}

// handleEndpointUpdate stores the list of servers that another replica has sent, if it is newer.
func (r *Replica) handleEndpointUpdate(update *message.EndpointUpdate) {
	if update.Endpoints == nil || !update.Endpoints.Newer(&r.endpoints.list) {
		return
	}
	r.endpoints.replace(*update.Endpoints)
	r.notifyWatchers()
}
