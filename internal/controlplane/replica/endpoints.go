package replica

import (
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// endpointsStaleAfter is after how long without a reading under a view the list that there is goes on.
const endpointsStaleAfter = 2 * time.Second

// endpointTable is the list of servers, as the holder of the role EndpointReader has read it last.
type endpointTable struct {
	list   message.EndpointList // epoch 0: none
	digest message.Digest       // of the servers in it; zero: not computed yet
}

// version is the list's epoch and sequence alone.
func (t *endpointTable) version() *message.EndpointList {
	return &message.EndpointList{Epoch: t.list.Epoch, Sequence: t.list.Sequence}
}

// set takes a reading under an epoch. It reports whether the list has changed.
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

// replace takes a newer list.
func (t *endpointTable) replace(list message.EndpointList) {
	t.list, t.digest = list, message.Digest{}
}

// sameAs reports whether the servers in the list are those that a watcher holds.
func (t *endpointTable) sameAs(watch *message.Watch) bool {
	if watch.Endpoints == nil || watch.EndpointsDigest == (message.Digest{}) {
		return false
	}
	if t.digest == (message.Digest{}) {
		t.digest = t.list.ContentDigest()
	}
	return watch.EndpointsDigest == t.digest
}

// SetEndpoints takes the list of servers as this replica has read it by its role, and the epoch under which
// it held that when it began to read: the list's fencing token. A reading that was held up while another view
// came is older than what the next holder has told by then, and is dropped.
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

// sendEndpoints sends the list to those of the chain that have an older one.
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
	// a copy: this replica's own may change before it is sent
	list := r.endpoints.list
	p.endpointsEpoch, p.endpointsSequence = list.Epoch, list.Sequence // until its heartbeat says otherwise
	r.send(to, &message.EndpointUpdate{Endpoints: &list})
}

// sendNewerEndpoints has the list go on where none was read under this view for long, since the platform may
// be down: to the replica whose role that is, if others have a newer one, and from there to those that are
// behind. It keeps its fencing token.
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

// handleEndpointUpdate takes the list of servers from the replica that reads it.
func (r *Replica) handleEndpointUpdate(update *message.EndpointUpdate) {
	if update.Endpoints == nil || !update.Endpoints.Newer(&r.endpoints.list) {
		return
	}
	r.endpoints.replace(*update.Endpoints)
	r.notifyWatchers()
}
