package replica

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dunespoke/internal/controlplane/message"
)

// Timing of node leases.
const (
	nodeLeaseDuration = 3 * time.Second // three watches
	// leaseCollectionTime is how long it takes until all nodes have sent another watch: the duration of a
	// request and of a response.
	leaseCollectionTime = 1250 * time.Millisecond
)

// nodeLease is the lease of a process that watches the control plane.
type nodeLease struct {
	node             message.Node
	renewedAt        time.Duration
	renewedLocallyAt time.Duration // when it was last renewed at this replica; 0: never
}

// nodeLeases are the leases of all processes, which the replicas report to each other.
type nodeLeases struct {
	byAddr   map[string]nodeLease
	checksum uint64 // of the list of nodes
}

func newNodeLeases() nodeLeases { return nodeLeases{byAddr: map[string]nodeLease{}} }

// renew records that a node's lease was renewed, as long ago as node says; local: at this replica.
func (l *nodeLeases) renew(now time.Duration, node message.Node, local bool) {
	renewedAt := now - time.Duration(node.LeaseAge)*time.Millisecond
	old, known := l.byAddr[node.Addr]
	if renewedAt < now-nodeLeaseDuration || known && old.renewedAt > renewedAt {
		return
	}
	lease := nodeLease{message.Node{Addr: node.Addr, Zone: node.Zone}, renewedAt, old.renewedLocallyAt}
	if local {
		lease.renewedLocallyAt = max(lease.renewedLocallyAt, renewedAt)
	}
	l.byAddr[node.Addr] = lease
	if !known {
		l.updateChecksum()
	}
}

// expire removes the expired leases.
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

// all returns the nodes, sorted by address.
func (l *nodeLeases) all() []message.Node {
	list := make([]message.Node, 0, len(l.byAddr))
	for _, lease := range l.byAddr {
		list = append(list, lease.node)
	}
	slices.SortFunc(list, compareAddress)
	return list
}

// renewedLocally returns the nodes whose leases were renewed at this replica, with the age of that renewal.
func (l *nodeLeases) renewedLocally(now time.Duration) (list []message.Node) {
	for _, addr := range slices.Sorted(maps.Keys(l.byAddr)) {
		lease := l.byAddr[addr]
		if lease.renewedLocallyAt != 0 && now <= lease.renewedLocallyAt+nodeLeaseDuration {
			node := lease.node
			node.LeaseAge = uint64((now - lease.renewedLocallyAt).Milliseconds())
			list = append(list, node)
		}
	}
	return list
}

// leasesCollected reports whether this replica has answered watches for long enough that all nodes have sent
// another one. Before that it knows too few nodes, and each of these would use too large a share of a quota:
// nodes that know a longer list keep it, and no lease expires.
func (r *Replica) leasesCollected() bool {
	return r.recentlyServing() && r.now >= r.watchers.servingSince+leaseCollectionTime
}

// expireNodeLeases removes expired leases, and answered watches that are too old.
func (r *Replica) expireNodeLeases() {
	r.watchers.expireAnswers(r.now)
	if r.leasesCollected() {
		r.nodes.expire(r.now)
	}
}
