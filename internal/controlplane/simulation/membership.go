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

// registries are all that were written on disks, by their generations.
type registries struct {
	written map[uint64][]message.Node
	removed map[uint64][]message.Node // by staff, as it goes with the registry
	settled map[uint64][]message.Node // the change to it was told as complete
	held    map[identity]uint64       // the highest generation that a disk has had
}

func newRegistries() registries {
	none := func() map[uint64][]message.Node { return map[uint64][]message.Node{} }
	return registries{none(), none(), none(), map[identity]uint64{}}
}

// sequence holds all machines to one sequence of registries: those of one generation are the same; and when
// a disk says that the change to one is complete, a majority of its members, and a majority of those of the
// one before, have had it, or a later one, on their disks. So whoever goes by the one before, and asks a
// majority of it, hears of the newer one; no two registries are ever gone by at once.
func (x *Exchange) sequence(m *Machine, r *replica.PersistentState) {
	if len(r.Members) == 0 {
		return
	}
	c, g := &x.cores, r.MembershipEpoch
	if old, known := c.written[g]; known && !slices.Equal(old, r.Members) {
		x.breaks("%s is of the core %v by generation %d, others of %v", m.Name, r.Members, g, old)
	}
	if old, known := c.removed[g]; known && !slices.Equal(old, r.RemovedMembers) {
		x.breaks("%s has %v as removed by generation %d, others %v", m.Name, r.RemovedMembers, g, old)
	}
	c.written[g], c.removed[g] = r.Members, r.RemovedMembers
	who := identity{m.self.Addr, r.StoreID}
	c.held[who] = max(c.held[who], g)
	if _, known := c.settled[g]; known || len(r.OutgoingMembers) > 0 {
		return
	}
	c.settled[g] = r.Members
	if x.Trace != nil {
	}
	order := slices.Sorted(maps.Keys(c.settled))
	i := slices.Index(order, g)
	x.meets(r.Members, g)
	if i > 0 {
		x.meets(c.settled[order[i-1]], g)
	}
	if i < len(order)-1 { // it was told late
		x.meets(r.Members, order[i+1])
	}
}

// meets holds a majority of a registry to having had a generation, or a later one, on disk.
func (x *Exchange) meets(registry []message.Node, generation uint64) {
	n := 0
	for _, r := range registry {
		if x.cores.held[identity{r.Addr, r.StoreID}] >= generation {
			n++
		}
	}
	if generation > 0 && n <= len(registry)/2 {
		x.breaks("generation %d is gone by, and %d of the %d members %v know it", generation, n,
			len(registry), registry)
	}
}

// Replace takes a machine away for good, and adds another one with an empty disk in its zone, at a new
// address. It is to be started.
func (x *Exchange) Replace(old *Machine) *Machine {
	old.Kill()
	old.gone = true
	x.Machines = slices.DeleteFunc(x.Machines, func(m *Machine) bool { return m == old })
	return x.Add(old.self.Zone)
}

// Add adds a machine with an empty disk to a zone, after the first start. It is to be started. Seeds are
// written anew as it comes: any three that run, of the core or not.
func (x *Exchange) Add(zone string) *Machine {
	x.added++
	x.seeds = nil
	for _, i := range x.rng.Perm(len(x.Machines)) {
		if m := x.Machines[i]; m.up && len(x.seeds) < 3 {
			x.seeds = append(x.seeds, m.self.Addr)
		}
	}
	m := &Machine{Name: fmt.Sprintf("n%d", x.added), disk: true, has: true, x: x, sync: x.Sync,
		self: message.Node{Addr: fmt.Sprintf("10.9.%d.1:7", x.added), Zone: zone}}
	x.Machines = append(x.Machines, m)
	return m
}

// Order is a change of members by hand.
type Order struct {
	Ended  bool
	Answer *message.ChangeMembersResult // nil: there was none in time
}

// Reform has a machine pass on a change of members by hand; without addresses it asks who they are.
func (x *Exchange) Reform(m *Machine, add, remove string) *Order {
	o := &Order{}
	m.act(m.life, func() {
		m.office.ChangeMembers(
			x.Now,
			add,
			remove,
			func(answer *message.ChangeMembersResult, _ error) { o.Ended, o.Answer = true, answer },
		)
	})
	return o
}

// Members returns the addresses of the members by the newest generation that is complete on some disk.
func (x *Exchange) Members() (list []string) {
	newest := uint64(0)
	for g := range x.cores.settled {
		newest = max(newest, g)
	}
	for _, m := range x.cores.settled[newest] {
		list = append(list, m.Addr)
	}
	return list
}

// Borne reports whether all that may be lost at once could be lost now, as all machines in service say.
func (x *Exchange) Borne() bool {
	serves := false
	for _, m := range x.Disked() {
		if f := m.Frame(); f != nil && !m.frozen && f.ServingWithQuorum() {
			if serves = f.ToleranceGap() == ""; !serves {
				return false
			}
		}
	}
	return serves
}

// Spare is how many losses could be borne now, as the machines in service say; the fewest that any of them
// does.
func (x *Exchange) Spare() int {
	spare := -1
	for _, m := range x.Disked() {
		if f := m.Frame(); f != nil && !m.frozen && f.ServingWithQuorum() &&
			(spare < 0 || f.ToleratedFailures() < spare) {
			spare = f.ToleratedFailures()
		}
	}
	return max(0, spare)
}
