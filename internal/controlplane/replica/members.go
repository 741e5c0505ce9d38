package replica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunespoke/internal/controlplane/message"
	"dunespoke/internal/events"
)

// Times of members, each with its reason.
const (
	// lostAfter is for where the settings name no sync_s, half of which it is: a successor has to be a member
	// within sync_s of its start, and a process that is started again is back within a second.
	lostAfter  = 2 * time.Second
	learnEvery = time.Second     // to a candidate that has not answered: a configuration may be long
	orderWait  = 5 * time.Second // for an order by hand to become a view
	mostSeats  = epochStep - 1
	// mostRemoved is how many of those that staff have removed are remembered: who is started again only after
	// as many more comes as a newcomer.
	mostRemoved = 64
)

// candidate is a machine with a disk that would be a member. It is a learner, without a vote, until a view
// makes it a member.
type candidate struct {
	message.Machine
	heard time.Duration
	asked time.Duration
	ready bool // it has what there was on its disk
	// barred: staff have removed it. It takes nobody's place, and comes only if they add it.
	barred bool
}

// majority is how many of an electorate agree for all.
func majority[T any](all []T) int { return len(all)/2 + 1 }

// at reports whether a registry has a member at an address.
func at(registry []message.Machine, addr string) bool {
	return slices.ContainsFunc(registry, func(m message.Machine) bool { return m.Addr == addr })
}

// among returns the members at some addresses.
func among(registry []message.Machine, addrs []string) []message.Machine {
	return slices.DeleteFunc(slices.Clone(registry), func(m message.Machine) bool {
		return !slices.Contains(addrs, m.Addr)
	})
}

// without returns the members but the one at an address.
func without(registry []message.Machine, addr string) []message.Machine {
	return slices.DeleteFunc(slices.Clone(registry), func(m message.Machine) bool { return m.Addr == addr })
}

// has reports whether a machine is a member: the same disk at the same address.
func has(registry []message.Machine, m message.Machine) bool {
	return slices.ContainsFunc(
		registry,
		func(r message.Machine) bool { return r.Addr == m.Addr && r.ID == m.ID },
	)
}

// quorate reports whether those that a condition holds for are a majority of each of some electorates:
// registries of members, or the seeds of a first start.
func quorate[T any](holds func(voter T) bool, electorates ...[]T) bool {
	for _, all := range electorates {
		n := 0
		for _, voter := range all {
			if holds(voter) {
				n++
			}
		}
		if n < majority(all) {
			return false
		}
	}
	return true
}

// seated gives a registry without seats some, by its order.
func seated(registry []message.Machine) []message.Machine {
	if slices.ContainsFunc(registry, func(m message.Machine) bool { return m.Seat != 0 }) {
		return registry
	}
	registry = slices.Clone(registry)
	for i := range registry {
		registry[i].Seat = uint64(i) + 1
	}
	return registry
}

// byAddr is the agreed order of a registry.
func byAddr(a, b message.Machine) int { return strings.Compare(a.Addr, b.Addr) }

// identify gives a store that has just been made its id. That of an earlier program goes by the one that it
// has in its registry.
func (f *Frame) identify() {
	for _, r := range []*Record{&f.rec, &f.next} {
		r.Registry, r.Former = seated(r.Registry), seated(r.Former)
	}
	if f.rec.ID != 0 {
		return
	}
	for _, m := range f.rec.Registry {
		if m.Addr == f.self && f.rec.Whole {
			f.rec.ID, f.next.ID = m.ID, m.ID
			return
		}
	}
	f.next.ID = max(1, f.Life)
	if f.First {
		f.next.Founding = Founding{Sure: true, Seeds: f.Seeds}
	}
	f.save(nil)
}

// is reports whether the machine that is heard at a member's address, or this one, is that member.
func (f *Frame) is(m message.Machine) bool {
	if m.Addr == f.self {
		return m.ID == f.rec.ID
	}
	p := f.peers[m.Addr]
	return p != nil && p.id == m.ID
}

// me is this machine with its present store.
func (f *Frame) me() message.Machine {
	return message.Machine{Addr: f.self, Zone: f.Self.Zone, ID: f.next.ID}
}

// voters returns the registries of which a majority each has to agree: the one before, too, while a change
// is not known to be complete.
func (r *Record) voters() [][]message.Machine {
	if len(r.Former) > 0 {
		return [][]message.Machine{r.Registry, r.Former}
	}
	return [][]message.Machine{r.Registry}
}

// concerned returns the members, and those before a change that is not known to be complete.
func (f *Frame) concerned() []message.Machine {
	list := f.rec.Registry
	for _, m := range f.rec.Former {
		if !at(f.rec.Registry, m.Addr) {
			list = append(slices.Clip(list), m)
		}
	}
	return list
}

// Roll returns what this machine tells of the core.
func (f *Frame) Roll() *message.Message {
	return &message.Message{Kind: message.Roll, Registry: f.rec.Registry, Generation: f.rec.Generation,
		Former: f.rec.Former, Removed: f.rec.Removed}
}

// admits reports whether a beat is a member's. One that was removed is told so, and who knows of a newer
// registry is asked for it.
func (f *Frame) admits(from string, m *message.Message) bool {
	if m.Generation > f.rec.Generation ||
		m.Generation == f.rec.Generation && len(f.rec.Former) > 0 && !m.Joint {
		f.Actions.Send(from, &message.Message{Kind: message.Hello, Zone: f.Self.Zone})
	}
	if has(f.concerned(), message.Machine{Addr: from, ID: m.ID}) {
		return true
	}
	if m.Generation < f.rec.Generation || m.Joint && len(f.rec.Former) == 0 {
		r := f.Roll()
		r.Kind = message.Notice
		f.Actions.Send(from, r)
	}
	return false
}

// told takes what another machine says of the members. A machine without a vote waits until a change is
// known to be complete.
func (f *Frame) told(m *message.Message) {
	switch {
	case len(m.Registry) == 0:
	case f.next.Whole:
		f.adopt(m)
	case len(m.Former) == 0:
		f.register(m, has(m.Registry, f.me()))
	}
}

// register notes the members on a machine without a vote. Whoever stands in the registry of the first start
// with this very disk has had all that was acknowledged since: it is whole. Others are mended by a view.
func (f *Frame) register(m *message.Message, mine bool) {
	if !mine {
		f.next.Registry, f.next.Former, f.next.Generation = nil, nil, 0
		return
	}
	if len(f.next.Registry) > 0 && m.Generation <= f.next.Generation {
		return
	}
	f.next.Registry, f.next.Former, f.next.Generation = seated(m.Registry), nil, m.Generation
	f.next.Whole = m.Generation == 0 && f.next.Epoch == 0
	f.save(func() {
		f.Actions.Log(events.Registered, "machines", len(f.rec.Registry), "whole", f.rec.Whole)
		if f.rec.Whole && f.state == Blank {
			f.become(Aside)
		}
	})
}

// adopt takes a newer registry, if it is one. It may be of a change that is not known to be complete: then
// both registries have to agree from here on. A machine that is in neither was removed.
func (f *Frame) adopt(m *message.Message) {
	known := m.Generation == f.next.Generation && (len(f.next.Former) == 0 || len(m.Former) > 0)
	if m.Generation < f.next.Generation || known {
		return
	}
	if !has(m.Registry, f.me()) && !has(m.Former, f.me()) {
		f.retire(m.Generation, m.Removed)
		return
	}
	f.next.Registry, f.next.Former, f.next.Generation = m.Registry, m.Former, m.Generation
	f.next.Removed = m.Removed
	f.save(nil)
	if f.round != nil { // it was asked for by the older one
		f.become(Aside)
	}
}

// retire gives up this machine's membership, for ever: it was removed. What it holds counts no more, and it
// may come back as another member, with another id; if staff have removed it, by them alone. What it has
// promised stays.
func (f *Frame) retire(generation uint64, removed []message.Machine) {
	barred := has(removed, f.me())
	f.Actions.Log(events.Retired, "generation", generation, "barred", barred)
	f.retired++
	f.next = Record{ID: f.Life ^ f.retired<<40, Promised: f.next.Promised, Epoch: f.next.Epoch, Barred: barred}
	f.took = 0
	f.become(Blank)
	f.save(nil)
}

// Hello notes a machine with a disk that would be a member.
func (f *Frame) Hello(now time.Duration, from string, m *message.Message) {
	f.now = now
	if from == f.self || has(f.rec.Registry, message.Machine{Addr: from, ID: m.ID}) {
		return
	}
	c := f.candidates[from]
	if c == nil || c.ID != m.ID {
		c = &candidate{Machine: message.Machine{Addr: from, Zone: m.Zone, ID: m.ID}}
		f.candidates[from] = c
	}
	c.heard, c.barred = now, m.Barred
	if f.state == InService && !c.ready && f.first() == f.self && (c.asked == 0 || now >= c.asked+learnEvery) {
		c.asked = now
		f.Actions.Send(from, &message.Message{Kind: message.Learn, ID: c.ID, Stamp: f.rec.Stamp,
			Version: f.rec.Version, Past: f.rec.last(), Taken: message.Pack(f.rec.numbers(), 0, nil),
			Config: message.Pack(f.rec.Config, 0, nil)})
	}
}

// learn takes what there is, as a machine without a vote: a view that makes it a member finds it there.
func (f *Frame) learn(from string, m *message.Message) {
	if f.state != Blank || f.next.Whole || m.ID != f.rec.ID || f.sick() {
		return
	}
	learnt, err := f.content(m)
	if err != nil {
		return
	}
	f.next.Content = learnt
	f.save(func() {
		f.Actions.Send(from, &message.Message{Kind: message.Learned, ID: m.ID, Version: m.Version})
	})
}

func (f *Frame) learned(from string, m *message.Message) {
	if c := f.candidates[from]; c != nil && c.ID == m.ID {
		c.ready, c.heard = true, f.now
	}
}

// change is the registry that there should be next; nil: the present one. It is asked for while a view
// serves well, so one change follows the other.
func (f *Frame) change() []message.Machine {
	if len(f.rec.Former) > 0 || len(f.next.Former) > 0 || f.first() != f.self || !f.Fresh() {
		return nil
	}
	for addr, c := range f.candidates {
		if f.now > c.heard+deadAfter || has(f.rec.Registry, c.Machine) {
			delete(f.candidates, addr)
		}
	}
	ready := f.ready()
	for _, m := range ready { // its disk is another one: the old one is gone
		if at(f.rec.Registry, m.Addr) {
			return f.replaced(m.Addr, m)
		}
	}
	if f.order != nil {
		if f.now > f.order.came+orderWait { // it may be sent again
			f.order = nil
			return nil
		}
		next, _ := f.ordered(f.order.add, f.order.remove)
		return next
	}
	if gone := f.gone(); gone != "" {
		if len(ready) == 0 {
			return nil
		}
		zone := among(f.rec.Registry, []string{gone})[0].Zone
		return f.replaced(gone, ready[f.Survive.pick(without(f.rec.Registry, gone), ready, zone)])
	}
	// Who is away may be gone, and a newcomer is its successor then: members are spread only while all serve.
	few := len(f.rec.Registry) < 2*f.Survive.Machines+1
	if !few && (len(f.chain) < len(f.rec.Registry) || f.now < f.spreadAt) {
		return nil
	}
	if old, i, ok := f.Survive.better(f.rec.Registry, ready); ok {
		return f.replaced(old, ready[i])
	}
	if old := f.Survive.shed(f.rec.Registry); old != "" {
		return without(f.rec.Registry, old)
	}
	f.spreadAt = f.now + learnEvery
	return nil
}

// ready returns the machines that may become members of themselves: they have caught up, and staff have not
// removed them.
func (f *Frame) ready() (list []message.Machine) {
	for _, c := range f.candidates {
		if c.ready && !c.barred {
			list = append(list, c.Machine)
		}
	}
	slices.SortFunc(list, byAddr)
	return list
}

// gone is the member whose place another should take: one that leaves, or the one that is lost for longest:
// silent, deaf, or with a disk that takes nothing.
func (f *Frame) gone() string {
	lost, since := "", f.now-cmp.Or(f.LostAfter, lostAfter)
	for _, m := range f.rec.Registry {
		p := f.peers[m.Addr]
		switch {
		case m.Addr == f.self && f.leaving, p != nil && p.leaving:
			return m.Addr
		case m.Addr == f.self:
		case p == nil && f.since < since: // not heard in this life, and long since this view began
			lost, since = m.Addr, f.since
		case p != nil && p.well < since:
			lost, since = m.Addr, p.well
		}
	}
	return lost
}

// replaced is the registry with a machine in place of another, or, where that is empty, besides all; nil:
// there is no seat for it.
func (f *Frame) replaced(old string, fresh message.Machine) []message.Machine {
	taken := map[uint64]bool{}
	var list []message.Machine
	for _, m := range f.rec.Registry {
		if taken[m.Seat] = true; m.Addr != old {
			list = append(list, m)
		}
	}
	for fresh.Seat = 1; taken[fresh.Seat]; fresh.Seat++ {
	}
	if fresh.Seat > mostSeats {
		return nil
	}
	list = append(list, fresh)
	slices.SortFunc(list, byAddr)
	return list
}

// order is a change of members by hand.
type order struct {
	from        string
	life, call  uint64
	add, remove string
	came        time.Duration
}

// reform takes an order by hand at the head, or tells the members where nothing is to be changed. An order
// that comes again is the same one, and is answered when it is done.
func (f *Frame) reform(from string, m *message.Message) {
	if f.place() != 0 || !f.Fresh() {
		f.sendOn(from, m)
		return
	}
	o := order{from, m.Life, m.Call, m.Add, m.Remove, f.now}
	if m.Add == "" && m.Remove == "" || len(f.next.Former) == 0 && f.isSo(m.Add, m.Remove) {
		f.reformed(&o, "")
		return
	}
	if f.order != nil {
		if f.order.add != m.Add || f.order.remove != m.Remove {
			f.reformed(&o, "another change by hand is under way: try again")
			return
		}
		f.order.from, f.order.life, f.order.call = from, m.Life, m.Call // who asked last waits for it
		return
	}
	if _, why := f.ordered(m.Add, m.Remove); why != "" {
		f.reformed(&o, why)
		return
	}
	f.order = &o
	f.consider()
}

// reformed answers an order: it is done, or why it is not.
func (f *Frame) reformed(o *order, why string) {
	m := &message.Message{Kind: message.Reformed, Life: o.life, Call: o.call, OK: why == "", Text: why,
		Registry: f.rec.Registry, Generation: f.rec.Generation, Chain: f.chain, Spare: uint64(f.Spare()),
		Lacks: f.Lacks()}
	for _, c := range f.candidates {
		if f.now <= c.heard+deadAfter && !has(f.rec.Registry, c.Machine) {
			m.Members = append(m.Members, c.Machine)
		}
	}
	slices.SortFunc(m.Members, byAddr)
	f.Actions.Send(o.from, m)
}

// removed returns the members that staff have removed, once another registry is in force. As they are part of
// it, who is told of one is told of the other.
func (f *Frame) removed(next []message.Machine) []message.Machine {
	if f.order == nil || at(next, f.order.remove) {
		return f.rec.Removed
	}
	list := slices.Concat(f.rec.Removed, among(f.rec.Registry, []string{f.order.remove}))
	return list[max(0, len(list)-mostRemoved):]
}

// isSo reports whether an order is carried out.
func (f *Frame) isSo(add, remove string) bool {
	return (add == "" || at(f.rec.Registry, add)) && (remove == "" || !at(f.rec.Registry, remove))
}

// answerOrder answers an order that is carried out.
func (f *Frame) answerOrder() {
	if o := f.order; o != nil && f.isSo(o.add, o.remove) {
		f.order = nil
		f.reformed(o, "")
	}
}

// ordered is the registry that an order asks for, or why there is none.
func (f *Frame) ordered(add, remove string) (next []message.Machine, why string) {
	var fresh message.Machine
	if add != "" {
		c := f.candidates[add]
		switch {
		case at(f.rec.Registry, add):
			return nil, add + " is a member already"
		case c == nil || f.now > c.heard+deadAfter:
			return nil, "no machine with a disk says that it is there at " + add
		case !c.ready:
			return nil, add + " has not caught up yet: try again"
		}
		fresh = c.Machine
	}
	if remove != "" && !at(f.rec.Registry, remove) {
		return nil, "no member is at " + remove
	}
	if next = f.rec.Registry; add != "" {
		if next = f.replaced(remove, fresh); next == nil {
			return nil, "there is no place for more members"
		}
	} else {
		next = without(next, remove)
	}
	votes := 0
	for _, m := range next {
		if m.Addr == add || f.votes(m) {
			votes++
		}
	}
	switch {
	case len(next) <= f.Survive.Machines:
		return nil, fmt.Sprintf("%d members would be left: the loss of %d could not be borne", len(next),
			f.Survive.Machines)
	case votes < majority(next):
		return nil, fmt.Sprintf(
			"no quorum would be left: of the %d members, %d are heard and have a vote, and %d "+
				"have to",
			len(next),
			votes,
			majority(next),
		)
	}
	if t := f.Survive; t.byDomain() {
		well := f.well()
		stay := slices.DeleteFunc(slices.Clone(next), func(m message.Machine) bool {
			return m.Addr != add && !has(well, m)
		})
		if why := t.lacks(stay, next); why != "" && t.lacks(well, f.rec.Registry) == "" {
			return nil, "a loss that can be borne now could not be any more: " + why
		}
	}
	return next, ""
}

// Leave notes that this process was told to stop: another machine may take its place, and until it has,
// this one stays a member.
func (f *Frame) Leave(now time.Duration) {
	f.now, f.leaving = now, true
	f.beat()
}

// HandsOver reports whether this machine is about to be replaced: it leaves, and another one waits.
func (f *Frame) HandsOver() bool {
	if !f.leaving || !f.next.Whole || len(f.next.Registry) == 0 {
		return false
	}
	for _, c := range f.candidates {
		if f.now <= c.heard+deadAfter && !c.barred && !has(f.rec.Registry, c.Machine) {
			return true
		}
	}
	return false
}

// Spare is how many machines of the core may be lost now with nothing lost and a view that serves again; 0
// on one that does not know that a view serves. A repair has ended once it is what is to be borne.
func (f *Frame) Spare() int { return f.Survive.spare(f.well(), f.rec.Registry) }

// Lacks tells why not all that may be lost at once can be now, by machines, zones and regions; "": it can.
func (f *Frame) Lacks() string {
	if f.Survive.none() {
		return ""
	}
	if !f.Fresh() || len(f.rec.Former) > 0 {
		return "no view serves here, or its members are changing"
	}
	return f.Survive.lacks(f.well(), f.rec.Registry)
}

// well returns the members of the view that can be counted on: heard, whole, in service in it, with the last
// change noted as complete; none on a machine that does not know that a view serves.
func (f *Frame) well() []message.Machine {
	if !f.Fresh() || len(f.rec.Former) > 0 {
		return nil
	}
	return slices.DeleteFunc(among(f.rec.Registry, f.chain), func(m message.Machine) bool {
		p := f.peers[m.Addr]
		return !(m.Addr == f.self && !f.sick() || p != nil && f.live(m.Addr) && p.whole && p.epoch == f.epoch &&
			p.generation == f.rec.Generation && !p.joint)
	})
}

// watch tells when what is to be borne can be borne again, and when not; and once when it never can be, by
// the machines that there are.
func (f *Frame) watch() {
	why, was := f.Lacks(), f.borne
	f.borne = why == ""
	switch {
	case f.borne && !was:
		f.Actions.Log(events.Repaired, "spare", f.Spare(), "epoch", f.epoch, "members", len(f.rec.Registry))
	case !f.borne && was:
		f.Actions.Log(events.Exposed, "spare", f.Spare(), "epoch", f.epoch, "why", why)
	}
	f.complain()
}

// complain says once that the members can't bear what the settings name, where no newcomer mends that for a
// while.
func (f *Frame) complain() {
	why := ""
	if f.Survive.byDomain() {
		why = f.Survive.lacks(f.rec.Registry, f.rec.Registry)
	}
	switch {
	case why == "":
		f.lacking, f.lackTold = 0, false
	case f.lackTold:
	case f.first() != f.self || !f.Fresh(): // who comes first only for a moment, or alone, has nothing to tell
		f.lacking = 0
	case f.lacking == 0:
		f.lacking = f.now
	case f.now >= f.lacking+lackFor:
		f.lackTold = true
		f.Actions.Log(events.Unbearable, "why", why, "members", len(f.rec.Registry))
	}
}
