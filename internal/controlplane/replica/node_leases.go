package replica

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Times of nodes' leases.
const (
	nodeLeaseDuration = 3 * time.Second // three watches
	// leaseGatherTime is how long it takes until all have watched again: a request's time, and a response's.
	leaseGatherTime = 1250 * time.Millisecond
)

// nodeLease is that of a process that watches the control plane.
type nodeLease struct {
	node          message.Node
	renewedAt     time.Duration
	renewedHereAt time.Duration // when it last renewed it at this replica; 0: never
}

// nodeLeases are those of all processes, as the replicas tell each other.
type nodeLeases struct {
	byAddr   map[string]nodeLease
	checksum uint64 // of the list of nodes
}

func newNodeLeases() nodeLeases { return nodeLeases{byAddr: map[string]nodeLease{}} }

// renew notes that a node's lease was renewed, as long ago as it says; here: at this replica.
func (l *nodeLeases) renew(now time.Duration, node message.Node, here bool) {
	renewedAt := now - time.Duration(node.LeaseAge)*time.Millisecond
	old, known := l.byAddr[node.Addr]
	if renewedAt < now-nodeLeaseDuration || known && old.renewedAt > renewedAt {
		return
	}
	lease := nodeLease{message.Node{Addr: node.Addr, Zone: node.Zone}, renewedAt, old.renewedHereAt}
	if here {
		lease.renewedHereAt = max(lease.renewedHereAt, renewedAt)
	}
	l.byAddr[node.Addr] = lease
	if !known {
		l.updateChecksum()
	}
}

// expire drops the leases that have run out.
func (l *nodeLeases) expire(now time.Duration) {
	before := len(l.byAddr)
	maps.DeleteFunc(l.byAddr, func(_ string,
		lease nodeLease) bool {
		return now > lease.renewedAt+nodeLeaseDuration
	})
	if len(l.byAddr) != before {
		l.updateChecksum()
	}
}

func (l *nodeLeases) updateChecksum() {
	h := fnv.New64a()
	for _, node := range l.all() {
		h.Write([]byte(node.Addr))
		h.Write([]byte{0})
	}
	l.checksum = h.Sum64()
}

// all returns the nodes in an agreed order.
func (l *nodeLeases) all() []message.Node {
	list := make([]message.Node, 0, len(l.byAddr))
	for _, lease := range l.byAddr {
		list = append(list, lease.node)
	}
	slices.SortFunc(list, compareAddress)
	return list
}

// renewedHere returns the nodes that renew their leases at this replica, with how long ago they did.
func (l *nodeLeases) renewedHere(now time.Duration) (list []message.Node) {
	for _, addr := range slices.Sorted(maps.Keys(l.byAddr)) {
		lease := l.byAddr[addr]
		if lease.renewedHereAt != 0 && now <= lease.renewedHereAt+nodeLeaseDuration {
			node := lease.node
			node.LeaseAge = uint64((now - lease.renewedHereAt).Milliseconds())
			list = append(list, node)
		}
	}
	return list
}

// leasesGathered reports whether this replica has answered watches for as long as all who watch take to ask
// again. Before that it knows of too few nodes, and each would take too large a share of a quota: who knows
// others goes by those, and no lease runs out.
func (r *Replica) leasesGathered() bool {
	return r.recentlyServing() && r.now >= r.watchers.servingSince+leaseGatherTime
}

// expireNodeLeases drops what has run out.
func (r *Replica) expireNodeLeases() {
	r.watchers.forgetAnswers(r.now)
	if r.leasesGathered() {
		r.nodes.expire(r.now)
	}
}
