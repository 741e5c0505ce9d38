package simulation

import (
	"fmt"
	"maps"
	"slices"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/controlplane/replica"
)

// identity identifies a member by its address and the id of its store.
type identity struct {
	addr string
	id   uint64
}

// membershipHistory records the memberships that were written to disks, by membership epoch.
type membershipHistory struct {
	written      map[uint64][]message.Node
	removed      map[uint64][]message.Node // the members removed by operators, stored with the membership
	completed    map[uint64][]message.Node // memberships whose change was stored as complete
	storedEpochs map[identity]uint64       // the highest membership epoch that a disk has stored
}

func newMembershipHistory() membershipHistory {
	empty := func() map[uint64][]message.Node { return map[uint64][]message.Node{} }
	return membershipHistory{empty(), empty(), empty(), map[identity]uint64{}}
}

// checkMemberships checks what a machine stored against one sequence of memberships for the whole cluster:
// all memberships with the same epoch are equal, and when a disk stores the change to a membership as
// complete, a majority of its members and a majority of the previous membership's members have stored it or a
// later one. A machine that uses the previous membership and queries a majority of it therefore learns of the
// newer one, and no two memberships are ever in use at once.
func (c *Cluster) checkMemberships(m *Machine, r *replica.PersistentState) {
	if len(r.Members) == 0 {
		return
	}
	history, epoch := &c.memberships, r.MembershipEpoch
	if old, known := history.written[epoch]; known && !slices.Equal(old, r.Members) {
		c.reportViolation("%s stores members %v for membership epoch %d, others store %v", m.Name, r.Members,
			epoch, old)
	}
	if old, known := history.removed[epoch]; known && !slices.Equal(old, r.RemovedMembers) {
		c.reportViolation("%s stores removed members %v for membership epoch %d, others store %v", m.Name,
			r.RemovedMembers, epoch, old)
	}
	history.written[epoch], history.removed[epoch] = r.Members, r.RemovedMembers
	member := identity{m.node.Addr, r.StoreID}
	history.storedEpochs[member] = max(history.storedEpochs[member], epoch)
	if _, known := history.completed[epoch]; known || len(r.OutgoingMembers) > 0 {
		return
	}
	history.completed[epoch] = r.Members
	completedEpochs := slices.Sorted(maps.Keys(history.completed))
	i := slices.Index(completedEpochs, epoch)
	c.checkMajorityStored(r.Members, epoch)
	if i > 0 {
		c.checkMajorityStored(history.completed[completedEpochs[i-1]], epoch)
	}
	if i < len(completedEpochs)-1 { // it was stored as complete after a later one
		c.checkMajorityStored(r.Members, completedEpochs[i+1])
	}
}

// checkMajorityStored reports a violation unless a majority of the members has stored a membership epoch of
// at least epoch.
func (c *Cluster) checkMajorityStored(members []message.Node, epoch uint64) {
	n := 0
	for _, r := range members {
		if c.memberships.storedEpochs[identity{r.Addr, r.StoreID}] >= epoch {
			n++
		}
	}
	if epoch > 0 && n <= len(members)/2 {
		c.reportViolation("membership epoch %d is in use, but only %d of the %d members %v store it", epoch, n,
			len(members), members)
	}
}

// Replace powers a machine off, removes it permanently and adds another one with an empty disk in its zone,
// at a new address. The caller starts the new machine.
func (c *Cluster) Replace(old *Machine) *Machine {
	old.PowerOff()
	old.removed = true
	c.Machines = slices.DeleteFunc(c.Machines, func(m *Machine) bool { return m == old })
	return c.Add(old.node.Zone)
}

// Add adds a machine with an empty disk to a zone, after the cluster's first start. The caller starts it. The
// seeds are replaced: by any three machines that run, members of the core or not.
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

// MemberChange is an operator's request to change the members.
type MemberChange struct {
	Ended  bool
	Answer *message.ChangeMembersResult // nil if none arrived before the deadline
}

// ChangeMembers sends an operator's request through a machine: to add the member at address add and to remove
// the one at address remove. With both empty it queries the members.
func (c *Cluster) ChangeMembers(m *Machine, add, remove string) *MemberChange {
	change := &MemberChange{}
	m.execute(m.starts, func() {
		m.controlNode.ChangeMembers(c.Now, add, remove,
			func(answer *message.ChangeMembersResult, _ error) { change.Ended, change.Answer = true, answer })
	})
	return change
}

// Members returns the addresses of the members of the newest membership that a disk has stored as complete.
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

// Tolerant reports whether the configured losses can be tolerated now, according to all replicas that serve
// with a quorum and are not frozen. It is false if there are none.
func (c *Cluster) Tolerant() bool {
	tolerant := false
	for _, m := range c.Replicas() {
		if f := m.Replica(); f != nil && !m.frozen && f.ServingWithQuorum() {
			if tolerant = f.ToleranceGap() == ""; !tolerant {
				return false
			}
		}
	}
	return tolerant
}

// ToleratedFailures returns how many failures can be tolerated now: the minimum that a replica reports which
// serves with a quorum and is not frozen. It is 0 if there is none.
func (c *Cluster) ToleratedFailures() int {
	tolerated := -1
	for _, m := range c.Replicas() {
		if f := m.Replica(); f != nil && !m.frozen && f.ServingWithQuorum() &&
			(tolerated < 0 || f.ToleratedFailures() < tolerated) {
			tolerated = f.ToleratedFailures()
		}
	}
	return max(0, tolerated)
}
