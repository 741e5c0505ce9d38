package replica

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// watcher is a question for news that waits for some.
type watcher struct {
	message.Message
	deadline time.Duration
}

// answeredWatch is the last question for news that was answered, and when it first was.
type answeredWatch struct {
	incarnation, requestID uint64
	at                     time.Duration
}

// answeredWatchRetention is how long an answer is remembered: who asks turns to all others first, and comes
// back.
const answeredWatchRetention = 4 * nodeLeaseDuration

// leaseGatherTime is how long it takes until all have asked again: a question's time, and an answer's.
const leaseGatherTime = 1250 * time.Millisecond

type nodeLease struct {
	message.Node
	renewedAt     time.Duration
	renewedHereAt time.Duration // when it last renewed its lease at this machine
}

// handleWatch takes a question for news, which renews the lease of who asks. The lease counts from when that
// was sent, by what it says of the answer before: one that waited on its way, or comes again, is as old as it
// is. A first question names none, and the next one follows at once.
func (f *Replica) handleWatch(from string, m *message.Message) {
	if t, ok := f.answeredWatches[from]; ok && t.incarnation == m.Incarnation && t.requestID == m.EchoSequence {
		sent := min(f.now, t.at+time.Duration(m.EchoDelayMillis)*time.Millisecond)
		f.renewLease(message.Node{Addr: from, Zone: m.Zone, LeaseAge: uint64((f.now - sent).Milliseconds())}, true)
	}
	wait := min(time.Duration(m.WaitMillis)*time.Millisecond, nodeLeaseDuration/2)
	if old, waits := f.watchers[from]; waits && old.Incarnation == m.Incarnation &&
		old.RequestID >= m.RequestID {
		return // it comes again, or late: who asked has gone on
	}
	f.watchers[from] = watcher{*m, f.now + wait}
	f.answerWatcher(from, false)
}

// notifyWatchers answers all that wait for it.
func (f *Replica) notifyWatchers() {
	for _, from := range f.waitingWatchers(true) {
		f.answerWatcher(from, false)
	}
}

// mayAnswerWatches reports whether what this machine knows may be told as the newest.
func (f *Replica) mayAnswerWatches() bool { return f.ServingWithQuorum() && !f.commitOverdue() }

// answerDueWatchers answers those that have waited long enough.
func (f *Replica) answerDueWatchers() {
	if f.mayAnswerWatches() {
		if !f.recentlyServing() {
			f.servingSince = f.now
		}
		f.lastServing = f.now
	}
	f.snapshotCache.expire(f.now)
	for _, from := range f.waitingWatchers(!f.recentlyServing()) {
		f.answerWatcher(from, f.now >= f.watchers[from].deadline)
	}
}

// waitingWatchers returns who waits for news, all or those who have waited long enough, in an agreed
// order: a rehearsal repeats by its seed.
func (f *Replica) waitingWatchers(all bool) (list []string) {
	for from, p := range f.watchers {
		if all || f.now >= p.deadline {
			list = append(list, from)
		}
	}
	slices.Sort(list)
	return list
}

// recentlyServing reports whether this machine serves, or did so a moment ago: a change of the view is over
// soon, and those who ask need not turn elsewhere for it.
func (f *Replica) recentlyServing() bool {
	return f.lastServing != 0 && f.now < f.lastServing+viewChangeAllowance
}

// answerWatcher answers a poll, if there is news for it or it has waited long enough.
func (f *Replica) answerWatcher(to string, now bool) {
	p := f.watchers[to]
	m := &message.Message{
		Type:        message.TypeWatchResponse,
		Incarnation: p.Incarnation,
		RequestID:   p.RequestID,
		OK:          f.mayAnswerWatches() && p.Epoch <= f.epoch,
		Epoch:       p.Epoch,
	}
	if !m.OK && !f.recentlyServing() {
		now = true
	}
	if m.OK {
		if f.epoch != p.Epoch {
			m.Epoch, m.Chain, now = f.epoch, f.chain, true
			// With the registry before, where this machine knows of a change that may never be complete.
			m.Members = f.pending.Members
			m.OutgoingMembers = f.pending.OutgoingMembers
			m.MembershipEpoch = f.pending.MembershipEpoch
			m.RemovedMembers = f.pending.RemovedMembers
		}
		now = f.appendResources(to, &p, m) || now
	}
	if now {
		delete(f.watchers, to)
		if old := f.answeredWatches[to]; old.incarnation != p.Incarnation ||
			old.requestID < p.RequestID { // else it was answered earlier
			f.answeredWatches[to] = answeredWatch{p.Incarnation, p.RequestID, f.now}
		}
		f.Actions.Send(to, m)
	}
}

// renewLease notes that a member's lease was renewed.
func (f *Replica) renewLease(x message.Node, own bool) {
	renewed := f.now - time.Duration(x.LeaseAge)*time.Millisecond
	old, known := f.nodes[x.Addr]
	if renewed < f.now-nodeLeaseDuration || known && old.renewedAt > renewed {
		return
	}
	here := old.renewedHereAt
	if own {
		here = max(here, renewed)
	}
	f.nodes[x.Addr] = nodeLease{message.Node{Addr: x.Addr, Zone: x.Zone}, renewed, here}
	if !known {
		f.updateNodesChecksum()
	}
}

// leasesGathered reports whether this machine has told news for as long as all who ask take to ask again.
// Before that it knows of too few members, and each would take too large a share of a quota: who knows others
// goes by those, and no lease runs out.
func (f *Replica) leasesGathered() bool {
	return f.recentlyServing() && f.now >= f.servingSince+leaseGatherTime
}

// expireLeases drops the members whose leases have run out.
func (f *Replica) expireLeases() {
	maps.DeleteFunc(
		f.answeredWatches,
		func(_ string, t answeredWatch) bool { return f.now > t.at+answeredWatchRetention },
	)
	if !f.leasesGathered() {
		return
	}
	n := len(f.nodes)
	for addr, m := range f.nodes {
		if f.now > m.renewedAt+nodeLeaseDuration {
			delete(f.nodes, addr)
		}
	}
	if len(f.nodes) != n {
		f.updateNodesChecksum()
	}
}

// updateNodesChecksum makes the members' digest.
func (f *Replica) updateNodesChecksum() {
	h := fnv.New64a()
	for _, m := range f.leasedNodes() {
		h.Write([]byte(m.Addr))
		h.Write([]byte{0})
	}
	f.nodesChecksum = h.Sum64()
}

// leasedNodes returns the members in an agreed order.
func (f *Replica) leasedNodes() []message.Node {
	list := make([]message.Node, 0, len(f.nodes))
	for _, m := range f.nodes {
		list = append(list, m.Node)
	}
	slices.SortFunc(list, func(a, b message.Node) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// nodesLeasedHere returns the members that renew their leases here, with how long ago they did.
func (f *Replica) nodesLeasedHere() []message.Node {
	var list []message.Node
	for _, addr := range slices.Sorted(maps.Keys(f.nodes)) {
		m := f.nodes[addr]
		if m.renewedHereAt != 0 && f.now <= m.renewedHereAt+nodeLeaseDuration {
			x := m.Node
			x.LeaseAge = uint64((f.now - m.renewedHereAt).Milliseconds())
			list = append(list, x)
		}
	}
	return list
}

// Role names a task that one machine does.
type Role int

// The duties, each done by another machine of the chain where there are as many.
const (
	EndpointReader Role = iota // reads the platform's list of servers
	QuotaAllocator             // keeps the counts of tenants
)

func (d Role) String() string { return [...]string{"read-servers", "keep-tolls"}[d] }

// RoleHolder returns which machine of a chain does a duty.
func RoleHolder(chain []string, d Role) string {
	if len(chain) == 0 {
		return ""
	}
	if d == EndpointReader {
		return chain[len(chain)-1]
	}
	return chain[1%len(chain)]
}

// HoldsRole reports whether this machine is to do a duty now, and under which epoch.
func (f *Replica) HoldsRole(now time.Duration, d Role) (epoch uint64, ok bool) {
	f.now = now
	ok = f.ServingWithQuorum() && RoleHolder(f.chain, d) == f.self
	return f.epoch, ok && (d != QuotaAllocator || f.holdsQuorumLease() && f.predecessorLeasesExpired())
}

// SetEndpoints takes the list of servers as this machine has read it by its duty, and the epoch under which
// it held that when it began to read: the list's fencing token. A reading that was held up while another view
// came is older than what the next holder has told by then, and is dropped.
func (f *Replica) SetEndpoints(now time.Duration, began uint64, servers []message.Endpoint) {
	epoch, ok := f.HoldsRole(now, EndpointReader)
	if !ok || began != epoch {
		return
	}
	if f.endpoints.Epoch == epoch && slices.Equal(servers, f.endpoints.Endpoints) {
		f.sendEndpoints()
		return
	}
	seq := uint64(1)
	if f.endpoints.Epoch == epoch {
		seq = f.endpoints.Sequence + 1
	}
	f.endpoints = message.EndpointList{Epoch: epoch, Sequence: seq, Endpoints: servers}
	f.sendEndpoints()
	f.notifyWatchers()
}

// sendEndpoints sends the list to those of the chain that have an older one.
func (f *Replica) sendEndpoints() {
	for _, to := range f.chain {
		p := f.peers[to]
		if to == f.self || p == nil ||
			p.endpointsEpoch == f.endpoints.Epoch && p.endpointsSequence >= f.endpoints.Sequence {
			continue
		}
		// until its beat says otherwise
		p.endpointsEpoch, p.endpointsSequence = f.endpoints.Epoch, f.endpoints.Sequence
		l := f.endpoints
		f.Actions.Send(to, &message.Message{Type: message.TypeEndpointUpdate, Endpoints: &l})
	}
}

// sendNewerEndpoints has the list go on where none was read under this view for long, since the platform may
// be down: to the machine whose duty that is, if others have a newer one, and from there to those that are
// behind. It keeps its token.
func (f *Replica) sendNewerEndpoints(to string, p *peerState) {
	holder := RoleHolder(f.chain, EndpointReader)
	if f.state != StateServing || f.now < f.stateSince+endpointsStaleAfter || f.endpoints.Epoch == f.epoch ||
		holder != f.self && holder != to || !slices.Contains(f.chain, to) ||
		!isNewer(&f.endpoints, &message.EndpointList{Epoch: p.endpointsEpoch, Sequence: p.endpointsSequence}) {
		return
	}
	// until its beat says otherwise
	p.endpointsEpoch, p.endpointsSequence = f.endpoints.Epoch, f.endpoints.Sequence
	l := f.endpoints
	f.Actions.Send(to, &message.Message{Type: message.TypeEndpointUpdate, Endpoints: &l})
}

// handleEndpointUpdate takes the list of servers from the machine that reads it.
func (f *Replica) handleEndpointUpdate(m *message.Message) {
	l := m.Endpoints
	if l == nil || !isNewer(l, &f.endpoints) {
		return
	}
	f.endpoints = *l
	f.notifyWatchers()
}

// isNewer reports whether a list is newer than another, which may be none.
func isNewer(a, b *message.EndpointList) bool {
	return b == nil || a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Sequence > b.Sequence
}
