package simulation

import (
	"fmt"
	"maps"
	"slices"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// identity is who a member is: its address, and the id of its store.
type identity struct {
	addr string
	id   uint64
}

// membershipHistory are all that were written on disks, by their membership epochs.
type membershipHistory struct {
	written      map[uint64][]message.Node
	removed      map[uint64][]message.Node // by operators, as it goes with the membership
	completed    map[uint64][]message.Node // the change to it was told as complete
	storedEpochs map[identity]uint64       // the highest membership epoch that a disk has had
}

func newMembershipHistory() membershipHistory {
	empty := func() map[uint64][]message.Node { return map[uint64][]message.Node{} }
	return membershipHistory{empty(), empty(), empty(), map[identity]uint64{}}
}

// checkMemberships holds all machines to one sequence of memberships: those of one epoch are the same;
// and when a disk says that the change to one is complete, a majority of its members, and a majority of those
// of the one before, have had it, or a later one, on their disks. So whoever goes by the one before, and asks
// a majority of it, hears of the newer one; no two memberships are ever gone by at once.
func (c *Cluster) checkMemberships(m *Machine, r *replica.PersistentState) {
	if len(r.Members) == 0 {
		return
	}
	history, g := &c.memberships, r.MembershipEpoch
	if old, known := history.written[g]; known && !slices.Equal(old, r.Members) {
		c.violate("%s is of the core %v by membership epoch %d, others of %v", m.Name, r.Members, g, old)
	}
	if old, known := history.removed[g]; known && !slices.Equal(old, r.RemovedMembers) {
		c.violate("%s has %v as removed by membership epoch %d, others %v", m.Name, r.RemovedMembers, g, old)
	}
	history.written[g], history.removed[g] = r.Members, r.RemovedMembers
	who := identity{m.node.Addr, r.StoreID}
	history.storedEpochs[who] = max(history.storedEpochs[who], g)
	if _, known := history.completed[g]; known || len(r.OutgoingMembers) > 0 {
		return
	}
	history.completed[g] = r.Members
	order := slices.Sorted(maps.Keys(history.completed))
	i := slices.Index(order, g)
	c.checkQuorum(r.Members, g)
	if i > 0 {
		c.checkQuorum(history.completed[order[i-1]], g)
	}
	if i < len(order)-1 { // it was told late
		c.checkQuorum(r.Members, order[i+1])
	}
}

// checkQuorum holds a majority of a membership to having had a membership epoch, or a later one, on disk.
func (c *Cluster) checkQuorum(registry []message.Node, epoch uint64) {
	n := 0
	for _, r := range registry {
		if c.memberships.storedEpochs[identity{r.Addr, r.StoreID}] >= epoch {
			n++
		}
	}
	if epoch > 0 && n <= len(registry)/2 {
		c.violate("membership epoch %d is gone by, and %d of the %d members %v know it", epoch, n,
			len(registry), registry)
	}
}

// Replace takes a machine away for good, and adds another one with an empty disk in its zone, at a new
// address. It is to be started.
func (c *Cluster) Replace(old *Machine) *Machine {
	old.PowerOff()
	old.removed = true
	c.Machines = slices.DeleteFunc(c.Machines, func(m *Machine) bool { return m == old })
	return c.Add(old.node.Zone)
}

// Add adds a machine with an empty disk to a zone, after the first start. It is to be started. Seeds are
// written anew as it comes: any three that run, of the core or not.
func (c *Cluster) Add(zone string) *Machine {
	c.addedMachines++
	c.seeds = nil
	for _, i := range c.rng.Perm(len(c.Machines)) {
		if m := c.Machines[i]; m.up && len(c.seeds) < 3 {
			c.seeds = append(c.seeds, m.node.Addr)
		}
	}
	m := &Machine{Name: fmt.Sprintf("n%d", c.addedMachines), hasDisk: true, startedBefore: true, cluster: c,
		syncTime: c.SyncTime,
		node:     message.Node{Addr: fmt.Sprintf("10.9.%d.1:7", c.addedMachines), Zone: zone}}
	c.Machines = append(c.Machines, m)
	return m
}

// MemberChange is a change of members by hand.
type MemberChange struct {
	Ended  bool
	Answer *message.ChangeMembersResult // nil: there was none in time
}

// ChangeMembers has a machine pass on a change of members by hand; without addresses it asks who they are.
func (c *Cluster) ChangeMembers(m *Machine, add, remove string) *MemberChange {
	o := &MemberChange{}
	m.act(m.starts, func() {
		m.controlNode.ChangeMembers(c.Now, add, remove,
			func(answer *message.ChangeMembersResult, _ error) { o.Ended, o.Answer = true, answer })
	})
	return o
}

// Members returns the addresses of the members by the newest membership epoch that is complete on some disk.
func (c *Cluster) Members() (list []string) {
	newest := uint64(0)
	for g := range c.memberships.completed {
		newest = max(newest, g)
	}
	for _, m := range c.memberships.completed[newest] {
		list = append(list, m.Addr)
	}
	return list
}

// Tolerant reports whether all that may be lost at once could be lost now, as all machines in service say.
func (c *Cluster) Tolerant() bool {
	serves := false
	for _, m := range c.Replicas() {
		if f := m.Replica(); f != nil && !m.frozen && f.ServingWithQuorum() {
			if serves = f.ToleranceGap() == ""; !serves {
				return false
			}
		}
	}
	return serves
}

// ToleratedFailures is how many losses could be tolerated now, as the machines in service say; the fewest
// that any of them does.
func (c *Cluster) ToleratedFailures() int {
	spare := -1
	for _, m := range c.Replicas() {
		if f := m.Replica(); f != nil && !m.frozen && f.ServingWithQuorum() &&
			(spare < 0 || f.ToleratedFailures() < spare) {
			spare = f.ToleratedFailures()
		}
	}
	return max(0, spare)
}
